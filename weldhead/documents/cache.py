"""What a controller has in memory of the documents. No I/O.

Everything is kept with its mark (the revision of its last change) and with the moment as of
which it was current, so that whoever decides by it can say by what it decided: a job is bound
on the condition of these marks.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from weldhead.documents.records import DOCUMENTS, HEAD_KEY, HeadRecord, document_key

T = TypeVar("T")


@dataclass(frozen=True)
class CacheEntry(Generic[T]):
    """A value, its mark (0: there is none in the store), and as of when it was current."""

    value: T
    version: int
    as_of_us: int


class DocumentCache:
    """The keys under ``d/``, decoded once a change."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[bytes, int]] = {}
        self._decoded: dict[tuple[str, type[Any]], Any] = {}
        #: Called with the key of each change.
        self.listeners: list[Callable[[str], None]] = []
        #: Steady clock of this node; 0: never read.
        self.as_of_us = 0

    @property
    def loaded(self) -> bool:
        """Whether the store has been read."""
        return self.as_of_us > 0

    def keys(self) -> list[str]:
        """Return the keys that are there."""
        return list(self._entries)

    def put(self, key: str, body: bytes, mark: int) -> None:
        """Take up a change; one that is older than what is known is no news."""
        known = self._entries.get(key)
        if known is not None and known[1] >= mark:
            return
        self._entries[key] = body, mark
        self._forget(key)

    def drop(self, key: str, mark: int) -> None:
        """Take up that a key was deleted at a revision."""
        known = self._entries.get(key)
        if known is None or known[1] > mark:
            return
        del self._entries[key]
        self._forget(key)

    def replace(self, entries: dict[str, tuple[bytes, int]], revision: int) -> None:
        """Take up all that the store had at a revision."""
        for key in list(self._entries.keys() - entries.keys()):
            self.drop(key, revision)
        for key, (body, mark) in entries.items():
            self.put(key, body, mark)

    def _forget(self, key: str) -> None:
        for known in [pair for pair in self._decoded if pair[0] == key]:
            del self._decoded[known]
        for listener in self.listeners:
            listener(key)

    def get(self, key: str, kind: type[T]) -> CacheEntry[T] | None:
        """Return a key's value, decoded; None: it is not there, or cannot be read."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        if (key, kind) not in self._decoded:
            try:
                self._decoded[key, kind] = msgspec.json.decode(entry[0], type=kind)
            except (msgspec.DecodeError, UnicodeDecodeError):
                # Written by a version with another format: as good as not there.
                self._decoded[key, kind] = None
        value = self._decoded[key, kind]
        return None if value is None else CacheEntry(value, entry[1], self.as_of_us)

    def version(self, key: str) -> int:
        """Return a key's mark; 0: it is not there."""
        entry = self._entries.get(key)
        return entry[1] if entry is not None else 0

    @property
    def head(self) -> HeadRecord | None:
        """The edition in force; None: there is none."""
        kept = self.get(HEAD_KEY, HeadRecord)
        return kept.value if kept is not None else None

    def in_force(self, kind: str, structure: type[T]) -> Iterator[CacheEntry[T]]:
        """Iterate over the documents of a kind of the edition in force."""
        head = self.head
        if head is None:
            return
        for name in head.documents:
            if name.startswith(kind + "/"):
                kept = self.get(document_key(head.edition, name), structure)
                if kept is not None:
                    yield kept

    def documents(self) -> list[str]:
        """Return the keys of documents that are there, of whichever edition."""
        return [key for key in self._entries if key.startswith(DOCUMENTS)]
