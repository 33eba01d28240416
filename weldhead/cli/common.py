"""What several verbs share."""

import logging
import os
import sys
from pathlib import Path

import click


def configure_logging() -> None:
    """Log to standard error, as much as ``LOG_LEVEL`` says."""
    levels = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
    level = levels.get(os.environ.get("LOG_LEVEL", "info").strip().lower(), logging.INFO)
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(levelname).1s %(name)s: %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)


def read_text(path: Path) -> str:
    """Read a file that the user named."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{path}: {error}") from error
