"""Files that people write, in TOML: read into a checked type, errors with line and field."""

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_AT = re.compile(r" - at `\$([^`]*)`")
_NAMED = re.compile(r"(?:unknown|required) field `([^`]+)`")
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]|(\[\.\.\.\])")
_SYNTAX = re.compile(r" \(at line (\d+), column (\d+)\)$")


class FileProblemError(Exception):
    """A file that cannot be used: where, which field, and why.

    ``line`` counts from 1 and is None if the trouble is in no single line.
    """

    def __init__(self, source: str, line: int | None, field: str, reason: str) -> None:
        where = source if line is None else f"{source}:{line}"
        super().__init__(f"{where}: {field}: {reason}" if field else f"{where}: {reason}")
        self.line = line
        self.field = field
        self.reason = reason


def _reach(document: Any, path: list[str | int]) -> bool:
    for step in path:
        if isinstance(step, int):
            if not isinstance(document, list) or step >= len(document):
                return False
        elif not isinstance(document, dict) or step not in document:
            return False
        document = document[step]
    return True


def line_of(text: str, path: list[str | int]) -> int | None:
    """Return the line in which the value at the path begins; None if it is not there.

    The parser itself tells: it is the line behind the longest head of the file that is
    whole and does not hold the value yet.
    """
    lines = text.splitlines(keepends=True)
    begins = 1
    for count in range(1, len(lines) + 1):
        try:
            document = tomllib.loads("".join(lines[:count]))
        except tomllib.TOMLDecodeError:
            continue
        if _reach(document, path):
            while begins < count and not lines[begins - 1].split("#")[0].strip():
                begins += 1
            return begins
        begins = count + 1
    return None


def problem_at(source: str, text: str, path: list[str | int], reason: str) -> FileProblemError:
    """Return the problem with the value at the path."""
    field = ""
    for step in path:
        field += f"[{step}]" if isinstance(step, int) else f".{step}" if field else step
    while path and line_of(text, path) is None:
        # What is missing is the fault of the table that should hold it.
        path = path[:-1]
    return FileProblemError(source, line_of(text, path) if path else None, field, reason)


def parse(source: str, text: str, kind: type[T]) -> T:
    """Decode a text into the type; FileProblem names line and field.

    ``source`` is what the text is called in errors. Types that forbid unknown fields get
    misspelt ones refused.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = _SYNTAX.search(str(error))
        reason = _SYNTAX.sub("", str(error))
        if found is None:
            raise FileProblemError(source, None, "", reason) from error
        reason = f"column {found.group(2)}: {reason}"
        raise FileProblemError(source, int(found.group(1)), "", reason) from error
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        message = str(error)
        at = _AT.search(message)
        path: list[str | int] = []
        for name, index, any_key in _STEP.findall(at.group(1) if at else ""):
            if any_key:
                path += _wrong_key(document, path, kind, message)
            else:
                path.append(name or int(index))
        named = _NAMED.search(message)
        if named:
            path.append(named.group(1))
        reason = _AT.sub("", message)
        raise problem_at(source, text, path, reason[:1].lower() + reason[1:]) from error


def _wrong_key(document: Any, path: list[str | int], kind: Any, message: str) -> list[str | int]:
    """Return the key of the table at the path that makes the decoder say this.

    The decoder names no keys of tables whose keys are free; each is tried by itself.
    """
    table = document
    for step in path:
        table = table[step]
    if not isinstance(table, dict):
        return []
    rest = dict(table)
    found: list[str | int] = []
    for key, value in rest.items():
        table.clear()
        table[key] = value
        try:
            msgspec.convert(document, kind)
        except msgspec.ValidationError as error:
            if str(error) == message:
                found = [key]
                break
    table.clear()
    table.update(rest)
    return found


def read_text(path: Path) -> str:
    """Read a file's text; FileProblem if that fails."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileProblemError(str(path), None, "", str(error)) from error


def read(path: Path, kind: type[T]) -> T:
    """Read and decode a file."""
    return parse(str(path), read_text(path), kind)
