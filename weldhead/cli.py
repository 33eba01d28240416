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


@main.command()
@click.option("--config", "config", required=True, type=click.Path(path_type=Path))
@click.option("--tunables", "tunables_file", type=click.Path(path_type=Path), envvar="WELDHEAD_TUNABLES")
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

    async def run() -> None:
        # What was loaded so far lives for ever; the collector need not look at it again.
        gc.freeze()
        await Node(settings, tunables).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
