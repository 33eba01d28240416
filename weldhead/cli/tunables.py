"""The verb for operators' settings."""

import sys
from pathlib import Path

import click

from weldhead.cli.common import read_text


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a file of operators' settings; every error has its line and column."""
    from weldhead.tunables.language import LanguageError
    from weldhead.tunables.language import check as check_text

    try:
        tree = check_text(read_text(file))
    except LanguageError as error:
        for problem in error.problems:
            click.echo(f"{file}: {problem}", err=True)
        sys.exit(1)
    click.echo(f"{file}: {len(tree.children)} statements, no errors")
