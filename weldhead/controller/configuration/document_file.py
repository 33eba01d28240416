"""Reads the TOML file in which operators write an edition of calendars and gates.

A controller that is given no such file does not load this module.
"""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from weldhead.calendars.calendar_document import Calendar
from weldhead.documents.records import DocumentSet
from weldhead.gates.gate_document import Gate, find_conflicts
from weldhead.tomlfiles import build_problem, parse_toml, read_text

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
#: Size limit of an edition; controllers send a whole edition in one message.
MAX_EDITION_BYTES = 192 * 1024


class DocumentFile(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """The contents of a document file: one edition."""

    edition: int
    calendar: list[Calendar] = []
    gate: list[Gate] = []

    def documents(self) -> Iterator[tuple[str, int, Calendar | Gate]]:
        """Iterate over the documents: kind, position among those of the kind, content."""
        for number, calendar in enumerate(self.calendar):
            yield "calendar", number, calendar
        for number, gate in enumerate(self.gate):
            yield "gate", number, gate


def read_documents(path: Path, max_value_bytes: int) -> DocumentSet:
    """Read and check a file; FileProblemError names the line and field of the first error."""
    return parse_documents(str(path), read_text(path), max_value_bytes)


def parse_documents(name: str, text: str, max_value_bytes: int) -> DocumentSet:
    """Read and check an edition from its TOML text, which errors refer to as ``name``.

    ``max_value_bytes`` limits the size of one encoded document.
    """
    file = parse_toml(name, text, DocumentFile)
    if not 0 < file.edition < 1 << 53:
        raise build_problem(name, text, ["edition"], "an edition is a number from 1 on")
    documents: dict[str, msgspec.Raw] = {}
    for kind, number, document in file.documents():
        path: list[str | int] = [kind, number]
        key = f"{kind}/{document.name}"
        if not _NAME.fullmatch(document.name):
            reason = "a name is 1 to 40 small letters, digits and dashes"
            raise build_problem(name, text, [*path, "name"], reason)
        if key in documents:
            raise build_problem(name, text, [*path, "name"], f"there are two {key}")
        problem: tuple[list[Any], str] | None = next(document.problems(), None)
        if problem is not None:
            raise build_problem(name, text, [*path, *problem[0]], problem[1])
        body = msgspec.json.encode(document)
        if len(body) > max_value_bytes:
            reason = f"{len(body)} bytes, and a record takes {max_value_bytes} at most"
            raise build_problem(name, text, path, reason)
        documents[key] = msgspec.Raw(body)
    for number, field, reason in find_conflicts(file.gate):
        raise build_problem(name, text, ["gate", number, *field], reason)
    if sum(len(bytes(body)) for body in documents.values()) > MAX_EDITION_BYTES:
        raise build_problem(name, text, [], f"an edition takes {MAX_EDITION_BYTES} bytes at most")
    return DocumentSet(file.edition, documents)
