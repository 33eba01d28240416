"""Reads TOML files that people write into typed values; errors name the line and the field."""

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_ERROR_PATH = re.compile(r" - at `\$([^`]*)`")
_ERROR_FIELD = re.compile(r"(?:unknown|required) field `([^`]+)`")
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]|(\[\.\.\.\])")
_SYNTAX_POSITION = re.compile(r" \(at line (\d+), column (\d+)\)$")


class FileProblemError(Exception):
    """A file cannot be used; the error names the place, the field and the reason.

    ``line`` counts from 1 and is None if the problem has no single line.
    """

    def __init__(self, source: str, line: int | None, field: str, reason: str) -> None:
        location = source if line is None else f"{source}:{line}"
        super().__init__(f"{location}: {field}: {reason}" if field else f"{location}: {reason}")
        self.line = line
        self.field = field
        self.reason = reason


def _contains_path(document: Any, path: list[str | int]) -> bool:
    for step in path:
        if isinstance(step, int):
            if not isinstance(document, list) or step >= len(document):
                return False
        elif not isinstance(document, dict) or step not in document:
            return False
        document = document[step]
    return True


def find_line(text: str, path: list[str | int]) -> int | None:
    """Return the line in which the value at the path begins; None if there is no such value.

    The TOML parser does not report where values are, so ever longer heads of the file are
    parsed. The value begins in the line after the longest head that is valid TOML and does not
    contain the value.
    """
    lines = text.splitlines(keepends=True)
    first_line = 1
    for count in range(1, len(lines) + 1):
        try:
            document = tomllib.loads("".join(lines[:count]))
        except tomllib.TOMLDecodeError:
            continue
        if _contains_path(document, path):
            while first_line < count and not lines[first_line - 1].split("#")[0].strip():
                first_line += 1
            return first_line
        first_line = count + 1
    return None


def build_problem(source: str, text: str, path: list[str | int], reason: str) -> FileProblemError:
    """Return an error about the value at the path."""
    field = ""
    for step in path:
        field += f"[{step}]" if isinstance(step, int) else f".{step}" if field else step
    while path and find_line(text, path) is None:
        # For a missing value, report the line of the table that should contain the value.
        path = path[:-1]
    return FileProblemError(source, find_line(text, path) if path else None, field, reason)


def parse_toml(source: str, text: str, value_type: type[T]) -> T:
    """Decode a TOML text into a type; FileProblemError if the text does not fit the type.

    ``source`` names the text in errors. If ``value_type`` forbids unknown fields, a misspelt
    field is an error.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = _SYNTAX_POSITION.search(str(error))
        reason = _SYNTAX_POSITION.sub("", str(error))
        if found is None:
            raise FileProblemError(source, None, "", reason) from error
        reason = f"column {found.group(2)}: {reason}"
        raise FileProblemError(source, int(found.group(1)), "", reason) from error
    try:
        return msgspec.convert(document, value_type)
    except msgspec.ValidationError as error:
        message = str(error)
        path_match = _ERROR_PATH.search(message)
        path: list[str | int] = []
        for name, index, is_any_key in _PATH_STEP.findall(
            path_match.group(1) if path_match else ""
        ):
            if is_any_key:
                path += _find_wrong_key(document, path, value_type, message)
            else:
                path.append(name or int(index))
        field_match = _ERROR_FIELD.search(message)
        if field_match:
            path.append(field_match.group(1))
        reason = _ERROR_PATH.sub("", message)
        raise build_problem(source, text, path, reason[:1].lower() + reason[1:]) from error


def _find_wrong_key(
    document: Any, path: list[str | int], value_type: Any, message: str
) -> list[str | int]:
    """Return the key of the table at the path that causes the decoder's error message.

    For a table with arbitrary keys, the decoder's message does not name the key. Each key is
    decoded on its own until one gives the same message.
    """
    table = document
    for step in path:
        table = table[step]
    if not isinstance(table, dict):
        return []
    entries = dict(table)
    found: list[str | int] = []
    for key, value in entries.items():
        table.clear()
        table[key] = value
        try:
            msgspec.convert(document, value_type)
        except msgspec.ValidationError as error:
            if str(error) == message:
                found = [key]
                break
    table.clear()
    table.update(entries)
    return found


def read_text(path: Path) -> str:
    """Return a file's text; FileProblemError if the file cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileProblemError(str(path), None, "", str(error)) from error


def read_toml(path: Path, value_type: type[T]) -> T:
    """Read a TOML file and decode it into a type; FileProblemError if that fails."""
    return parse_toml(str(path), read_text(path), value_type)
