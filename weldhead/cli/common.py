"""What several verbs share."""

from pathlib import Path

import click


def read_text(path: Path) -> str:
    """Read a file that the user named."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{path}: {error}") from error
