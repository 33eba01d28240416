"""Helpers shared by several commands."""

from pathlib import Path

import click


def read_text(path: Path) -> str:
    """Return the text of a file that the user named; ClickException if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{path}: {error}") from error
