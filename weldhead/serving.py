"""A controller's start: the settings and files it is given, and what is loaded for them.

The platform's own command line is read here: a controller has no use for the library that reads
people's, which takes over a megabyte.
"""

import asyncio
import contextlib
import gc
import logging
import os
import sys
from collections.abc import Iterator
from pathlib import Path

#: Files of the operators, for controllers that the platform starts; see docs/operations.md.
TUNABLES_VARIABLE = "WELDHEAD_TUNABLES"
DOCUMENTS_VARIABLE = "WELDHEAD_DOCUMENTS"
#: Where OpenSSL is told to look for the system's certificates.
CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")


class StartError(Exception):
    """A controller cannot start with what it is given."""


def configure_logging() -> None:
    """Log to standard error, as much as ``LOG_LEVEL`` says."""
    levels = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
    level = levels.get(os.environ.get("LOG_LEVEL", "info").strip().lower(), logging.INFO)
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(levelname).1s %(name)s: %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)


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


def run_controller(
    config: Path, tunables_file: Path | None = None, documents_file: Path | None = None
) -> None:
    """Run a controller until it is killed; StartError if a file cannot be used."""
    configure_logging()
    import uvloop

    with no_certificates():
        from weldhead.controller.process import ControllerProcess
    from weldhead.protocol.settings import SettingsError, load_settings
    from weldhead.tunables.defaults import Tunables

    try:
        settings = load_settings(config)
    except SettingsError as error:
        raise StartError(str(error)) from error
    tunables = Tunables()
    if tunables_file is not None:
        # The language's parser costs memory and start time: only who uses it pays.
        from weldhead.tunables.language import LanguageError, compute_fact_values, evaluate_tunables

        try:
            tunables = evaluate_tunables(
                tunables_file.read_text(encoding="utf-8"), compute_fact_values(settings)
            )
        except LanguageError as error:
            raise StartError(f"{tunables_file}:\n{error}") from error
        except (OSError, UnicodeDecodeError) as error:
            raise StartError(f"{tunables_file}: {error}") from error

    offer = None
    if documents_file is not None:
        from weldhead.controller.configuration.document_file import read_source
        from weldhead.tomlfiles import FileProblemError

        try:
            offer = read_source(documents_file, settings.facts.state.tightest().value_bytes)
        except FileProblemError as error:
            raise StartError(str(error)) from error

    async def run() -> None:
        # What was loaded so far lives for ever; the collector need not look at it again.
        gc.freeze()
        await ControllerProcess(settings, tunables, offer=offer).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def run_for_platform(config: str) -> int:
    """Run a controller as the platform starts it; return the exit code."""
    tunables, documents = (os.environ.get(v) for v in (TUNABLES_VARIABLE, DOCUMENTS_VARIABLE))
    try:
        run_controller(
            Path(config),
            Path(tunables) if tunables else None,
            Path(documents) if documents else None,
        )
    except StartError as error:
        print(f"Error: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 1
    return 0
