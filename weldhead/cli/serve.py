"""The ``serve`` command; the platform's start is in ``weldhead/serving.py``."""

from pathlib import Path

import click

from weldhead.serving import DOCUMENTS_VARIABLE, TUNABLES_VARIABLE, StartError, run_controller


@click.command()
@click.option("--config", required=True, type=click.Path(path_type=Path), help="Settings (JSON).")
@click.option(
    "--tunables",
    "tunables_file",
    type=click.Path(path_type=Path),
    envvar=TUNABLES_VARIABLE,
    help="Operators' own settings; see docs/operations.md.",
)
@click.option(
    "--documents",
    "documents_file",
    type=click.Path(path_type=Path),
    envvar=DOCUMENTS_VARIABLE,
    help="Calendars and gates that all controllers share; see docs/operations.md.",
)
def serve(config: Path, tunables_file: Path | None, documents_file: Path | None) -> None:
    """Run a controller with the platform's settings file."""
    try:
        run_controller(config, tunables_file, documents_file)
    except StartError as error:
        raise click.ClickException(str(error)) from error
