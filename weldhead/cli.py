"""The command line."""

import asyncio
import gc
import logging
import os
import sys
from pathlib import Path

import click

from weldhead import __version__


def _configure_logging() -> None:
    levels = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
    level = levels.get(os.environ.get("LOG_LEVEL", "info").strip().lower(), logging.INFO)
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(levelname).1s %(name)s: %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)


@click.group()
@click.version_option(__version__)
def main() -> None:
    """weldhead, a cluster scheduler."""


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{path}: {error}") from error


@main.command()
@click.option("--config", required=True, type=click.Path(path_type=Path), help="Settings (JSON).")
@click.option(
    "--tunables",
    "tunables_file",
    type=click.Path(path_type=Path),
    envvar="WELDHEAD_TUNABLES",
    help="Operators' own settings; see docs/operations.md.",
)
def serve(config: Path, tunables_file: Path | None) -> None:
    """Run a controller with the platform's settings file."""
    _configure_logging()
    import uvloop

    from weldhead.coordination.node import Node
    from weldhead.protocol.settings import SettingsError, load_settings
    from weldhead.tunables.defaults import Tunables

    try:
        settings = load_settings(config)
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    tunables = Tunables()
    if tunables_file is not None:
        # The language's parser costs memory and start time: only who uses it pays.
        from weldhead.tunables.language import LanguageError, evaluate, facts_of

        try:
            tunables = evaluate(_read(tunables_file), facts_of(settings))
        except LanguageError as error:
            raise click.ClickException(f"{tunables_file}:\n{error}") from error

    async def run() -> None:
        # What was loaded so far lives for ever; the collector need not look at it again.
        gc.freeze()
        await Node(settings, tunables).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a file of operators' settings; every error has its line and column."""
    from weldhead.tunables.language import LanguageError
    from weldhead.tunables.language import check as check_text

    try:
        tree = check_text(_read(file))
    except LanguageError as error:
        for problem in error.problems:
            click.echo(f"{file}: {problem}", err=True)
        sys.exit(1)
    click.echo(f"{file}: {len(tree.children)} statements, no errors")
