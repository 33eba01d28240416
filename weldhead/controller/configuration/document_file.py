"""The file that operators write: an edition of calendars and gates, in TOML.

Only the command line and a controller that is given such a file load this.
"""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from weldhead.calendars.calendar_document import Calendar
from weldhead.documents.records import DocumentSet
from weldhead.gates.gate_document import Gate, clashes
from weldhead.tomlfiles import build_problem, parse_toml, read_text

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
#: All of an edition passes from one controller to another in one message.
EDITION_BYTES = 192 * 1024


class Source(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """One edition."""

    edition: int
    calendar: list[Calendar] = []
    gate: list[Gate] = []

    def documents(self) -> Iterator[tuple[str, int, Calendar | Gate]]:
        """Iterate over the documents: kind, place in the file, content."""
        for number, calendar in enumerate(self.calendar):
            yield "calendar", number, calendar
        for number, gate in enumerate(self.gate):
            yield "gate", number, gate


def read_source(path: Path, value_bytes: int) -> DocumentSet:
    """Read and check a file; FileProblem names the line and the field of what is wrong."""
    return parse_source(str(path), read_text(path), value_bytes)


def parse_source(name: str, text: str, value_bytes: int) -> DocumentSet:
    """Read an edition from its text; ``value_bytes`` is the most that a document may take."""
    source = parse_toml(name, text, Source)
    if not 0 < source.edition < 1 << 53:
        raise build_problem(name, text, ["edition"], "an edition is a number from 1 on")
    found: dict[str, msgspec.Raw] = {}
    for kind, number, document in source.documents():
        path: list[str | int] = [kind, number]
        key = f"{kind}/{document.name}"
        if not _NAME.fullmatch(document.name):
            reason = "a name is 1 to 40 small letters, digits and dashes"
            raise build_problem(name, text, [*path, "name"], reason)
        if key in found:
            raise build_problem(name, text, [*path, "name"], f"there are two {key}")
        wrong: tuple[list[Any], str] | None = next(document.problems(), None)
        if wrong is not None:
            raise build_problem(name, text, [*path, *wrong[0]], wrong[1])
        body = msgspec.json.encode(document)
        if len(body) > value_bytes:
            reason = f"{len(body)} bytes, and a record takes {value_bytes} at most"
            raise build_problem(name, text, path, reason)
        found[key] = msgspec.Raw(body)
    for number, field, reason in clashes(source.gate):
        raise build_problem(name, text, ["gate", number, *field], reason)
    if sum(len(bytes(body)) for body in found.values()) > EDITION_BYTES:
        raise build_problem(name, text, [], f"an edition takes {EDITION_BYTES} bytes at most")
    return DocumentSet(source.edition, found)
