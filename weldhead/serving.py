"""Starts a controller: reads its settings and files, and imports only the modules they need.

The platform's command line is handled here without click, the library of the other commands:
click takes more than 1 MB of memory, and a controller does not need it.
"""

import asyncio
import contextlib
import gc
import logging
import os
import sys
from collections.abc import Iterator
from pathlib import Path

#: The environment variables that name the operators' files for a controller that the platform
#: starts; see docs/operations.md.
TUNABLES_VARIABLE = "WELDHEAD_TUNABLES"
DOCUMENTS_VARIABLE = "WELDHEAD_DOCUMENTS"
#: The environment variables that tell OpenSSL where the system's certificates are.
CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")


class StartError(Exception):
    """A controller cannot start, because one of its files cannot be used."""


def configure_logging() -> None:
    """Configure logging to standard error at the level that ``LOG_LEVEL`` names."""
    levels = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
    level = levels.get(os.environ.get("LOG_LEVEL", "info").strip().lower(), logging.INFO)
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(levelname).1s %(name)s: %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)


@contextlib.contextmanager
def without_system_certificates() -> Iterator[None]:
    """Hide the system's certificates from modules that are imported within this context.

    When aiohttp is imported, it loads the system's certificates for its default TLS contexts.
    They took 2 MB of memory of each controller and most of a tenth of a second of its start,
    while controllers use plain HTTP only.
    """
    previous_values = {name: os.environ.get(name) for name in CERTIFICATE_VARIABLES}
    os.environ.update(dict.fromkeys(CERTIFICATE_VARIABLES, os.devnull))
    try:
        yield
    finally:
        for name, value in previous_values.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value


def run_controller(
    config: Path, tunables_file: Path | None = None, documents_file: Path | None = None
) -> None:
    """Run a controller until the process is killed; StartError if a file cannot be used."""
    configure_logging()
    import uvloop

    with without_system_certificates():
        from weldhead.controller.process import ControllerProcess
    from weldhead.protocol.settings import SettingsError, load_settings
    from weldhead.tunables.defaults import Tunables

    try:
        settings = load_settings(config)
    except SettingsError as error:
        raise StartError(str(error)) from error
    tunables = Tunables()
    if tunables_file is not None:
        # The parser of the tunables' language costs memory and start time, so it is imported
        # only by a controller that has a tunables file.
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
        from weldhead.controller.configuration.document_file import read_documents
        from weldhead.tomlfiles import FileProblemError

        try:
            offer = read_documents(documents_file, settings.facts.state.tightest().value_bytes)
        except FileProblemError as error:
            raise StartError(str(error)) from error

    async def run() -> None:
        # The objects loaded so far live as long as the process; exclude them from collection.
        gc.freeze()
        await ControllerProcess(settings, tunables, offer=offer).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def run_for_platform(config: str) -> int:
    """Run a controller with the platform's command line and environment; return its exit code."""
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
