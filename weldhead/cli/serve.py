"""The verb of the controllers."""

import asyncio
import contextlib
import gc
import os
from collections.abc import Iterator
from pathlib import Path

import click

from weldhead.cli.common import configure_logging, read_text

#: Where OpenSSL is told to look for the system's certificates.
CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")


@contextlib.contextmanager
def no_certificates() -> Iterator[None]:
    """Let whatever is loaded meanwhile find no certificates.

    aiohttp reads those of the system when it is loaded, for its default TLS contexts. They took
    2 MB of each controller and most of a tenth of a second at its start; controllers speak
    plain HTTP only.
    """
    before = {name: os.environ.get(name) for name in CERTIFICATE_VARIABLES}
    os.environ.update(dict.fromkeys(CERTIFICATE_VARIABLES, os.devnull))
    try:
        yield
    finally:
        for name, value in before.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value


@click.command()
@click.option("--config", required=True, type=click.Path(path_type=Path), help="Settings (JSON).")
@click.option(
    "--tunables",
    "tunables_file",
    type=click.Path(path_type=Path),
    envvar="WELDHEAD_TUNABLES",
    help="Operators' own settings; see docs/operations.md.",
)
@click.option(
    "--documents",
    "documents_file",
    type=click.Path(path_type=Path),
    envvar="WELDHEAD_DOCUMENTS",
    help="Calendars and gates that all controllers share; see docs/operations.md.",
)
def serve(config: Path, tunables_file: Path | None, documents_file: Path | None) -> None:
    """Run a controller with the platform's settings file."""
    configure_logging()
    import uvloop

    with no_certificates():
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
            tunables = evaluate(read_text(tunables_file), facts_of(settings))
        except LanguageError as error:
            raise click.ClickException(f"{tunables_file}:\n{error}") from error

    offer = None
    if documents_file is not None:
        from weldhead.documents.source import read_source
        from weldhead.tomlfiles import FileProblem

        try:
            offer = read_source(documents_file, settings.facts.state.tightest().value_bytes)
        except FileProblem as error:
            raise click.ClickException(str(error)) from error

    async def run() -> None:
        # What was loaded so far lives for ever; the collector need not look at it again.
        gc.freeze()
        await Node(settings, tunables, offer=offer).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
