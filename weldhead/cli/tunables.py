"""The ``check`` command: checks the operators' tunables files and document files."""

import sys
from pathlib import Path

import click
import msgspec

from weldhead.cli.common import read_text
from weldhead.clock import wall_us
from weldhead.documents.records import DocumentSet

#: The size limit of a document. The command has no controller settings to take the limit from.
MAX_DOCUMENT_BYTES = 8 * 1024


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
    """Check a file of calendars and gates, with the smallest value size that a site may have."""
    from weldhead.controller.configuration.document_file import read_documents
    from weldhead.tomlfiles import FileProblemError

    try:
        document_set = read_documents(file, MAX_DOCUMENT_BYTES)
        _print_next_instants(file, document_set)
    except FileProblemError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    click.echo(
        f"{file}: edition {document_set.edition} ({document_set.digest}), "
        f"{len(document_set.documents)} documents, no errors"
    )


def _print_next_instants(file: Path, document_set: DocumentSet) -> None:
    """Print each calendar's next instant; FileProblemError if a calendar cannot be computed."""
    from weldhead.calendars.binding import CALENDAR_KIND
    from weldhead.calendars.calendar_document import Calendar
    from weldhead.calendars.formatting import format_utc
    from weldhead.calendars.recurrence import (
        UnusableCalendarError,
        iterate_instants,
        validate_calendar,
    )
    from weldhead.tomlfiles import build_problem

    # The calendars are in the file's order, so their numbers are those of the file's tables.
    bodies = [
        body
        for name, body in document_set.documents.items()
        if name.startswith(CALENDAR_KIND + "/")
    ]
    for number, body in enumerate(bodies):
        calendar = msgspec.json.decode(bytes(body), type=Calendar)
        try:
            validate_calendar(calendar)
        except UnusableCalendarError as error:
            path: list[str | int] = [CALENDAR_KIND, number, error.field]
            raise build_problem(str(file), read_text(file), path, error.reason) from error
        first_us = next(iterate_instants(calendar, wall_us()), None)
        next_instant = format_utc(first_us) if first_us is not None else "none"
        click.echo(f"{CALENDAR_KIND} {calendar.name}: the next instant is {next_instant}")
