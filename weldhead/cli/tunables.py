"""The verb for what operators write: their settings, and documents."""

import sys
from pathlib import Path

import click
import msgspec

from weldhead.cli.common import read_text
from weldhead.clock import wall_us
from weldhead.documents.records import DocumentSet

#: What a document may take where no controller's settings say it.
VALUE_BYTES = 8 * 1024


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a file of operators' settings, or (.toml) of documents; errors have their line."""
    if file.suffix == ".toml":
        _check_documents(file)
        return
    from weldhead.tunables.language import LanguageError, parse_and_check

    try:
        tree = parse_and_check(read_text(file))
    except LanguageError as error:
        for problem in error.problems:
            click.echo(f"{file}: {problem}", err=True)
        sys.exit(1)
    click.echo(f"{file}: {len(tree.children)} statements, no errors")


def _check_documents(file: Path) -> None:
    """Check calendars and gates; what a record takes is the least that PROTOCOL's sites give."""
    from weldhead.controller.configuration.document_file import read_source
    from weldhead.tomlfiles import FileProblemError

    try:
        offer = read_source(file, VALUE_BYTES)
        _compute(file, offer)
    except FileProblemError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    click.echo(
        f"{file}: edition {offer.edition} ({offer.digest}), {len(offer.documents)} documents, "
        "no errors"
    )


def _compute(file: Path, offer: DocumentSet) -> None:
    """Say each calendar's next instant; FileProblem where the leader could compute none."""
    from weldhead.calendars.binding import KIND
    from weldhead.calendars.calendar_document import Calendar
    from weldhead.calendars.formatting import utc
    from weldhead.calendars.recurrence import UnusableCalendarError, check, instants
    from weldhead.tomlfiles import problem_at

    # They are there in the file's order.
    bodies = [body for name, body in offer.documents.items() if name.startswith(KIND + "/")]
    for number, body in enumerate(bodies):
        calendar = msgspec.json.decode(bytes(body), type=Calendar)
        try:
            check(calendar)
        except UnusableCalendarError as error:
            path: list[str | int] = [KIND, number, error.field]
            raise problem_at(str(file), read_text(file), path, error.reason) from error
        first_us = next(instants(calendar, wall_us()), None)
        when = utc(first_us) if first_us is not None else "none"
        click.echo(f"{KIND} {calendar.name}: the next instant is {when}")
