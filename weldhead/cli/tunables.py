"""The verb for what operators write: their settings, and documents."""

import sys
from pathlib import Path

import click

from weldhead.cli.common import read_text

#: What a document may take where no controller's settings say it.
VALUE_BYTES = 8 * 1024


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a file of operators' settings, or (.toml) of documents; errors have their line."""
    if file.suffix == ".toml":
        _check_documents(file)
        return
    from weldhead.tunables.language import LanguageError
    from weldhead.tunables.language import check as check_text

    try:
        tree = check_text(read_text(file))
    except LanguageError as error:
        for problem in error.problems:
            click.echo(f"{file}: {problem}", err=True)
        sys.exit(1)
    click.echo(f"{file}: {len(tree.children)} statements, no errors")


def _check_documents(file: Path) -> None:
    """Check calendars and gates; what a record takes is the least that PROTOCOL's sites give."""
    from weldhead.documents.source import read_source
    from weldhead.tomlfiles import FileProblem

    try:
        offer = read_source(file, VALUE_BYTES)
    except FileProblem as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    click.echo(
        f"{file}: edition {offer.edition} ({offer.digest}), {len(offer.documents)} documents, "
        "no errors"
    )
