"""A controller's in-memory copy of the documents. No I/O.

Each value has a version (the revision of the store at its last change), and the cache knows as of
when it was current. A decision can thus state the versions that it is based on: a job is bound on
the condition that these versions still hold.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from weldhead.documents.records import DOCUMENT_PREFIX, HEAD_KEY, HeadRecord, document_key

T = TypeVar("T")


@dataclass(frozen=True)
class CacheEntry(Generic[T]):
    """A decoded value, its version, and as of when the cache was current (steady clock)."""

    value: T
    version: int
    as_of_us: int


class DocumentCache:
    """The keys under ``d/`` with their values; a value is decoded once per change."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[bytes, int]] = {}
        self._decoded: dict[tuple[str, type[Any]], Any] = {}
        #: Functions that are called with the key of each change.
        self.listeners: list[Callable[[str], None]] = []
        #: When the copy was last current, on this node's steady clock; 0 before the first read.
        self.as_of_us = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the documents have been read from the store at least once."""
        return self.as_of_us > 0

    def keys(self) -> list[str]:
        """Return all cached keys."""
        return list(self._entries)

    def put(self, key: str, body: bytes, version: int) -> None:
        """Store a changed value; a change that is not newer than the cached version is ignored."""
        cached = self._entries.get(key)
        if cached is not None and cached[1] >= version:
            return
        self._entries[key] = body, version
        self._on_change(key)

    def drop(self, key: str, version: int) -> None:
        """Remove a key that was deleted at a revision, unless the cached value is newer."""
        cached = self._entries.get(key)
        if cached is None or cached[1] > version:
            return
        del self._entries[key]
        self._on_change(key)

    def replace(self, entries: dict[str, tuple[bytes, int]], revision: int) -> None:
        """Replace the contents by those of the store at a revision; newer changes are kept."""
        for key in list(self._entries.keys() - entries.keys()):
            self.drop(key, revision)
        for key, (body, version) in entries.items():
            self.put(key, body, version)

    def _on_change(self, key: str) -> None:
        """Discard the decoded values of a changed key, and call the listeners."""
        for stale in [pair for pair in self._decoded if pair[0] == key]:
            del self._decoded[stale]
        for listener in self.listeners:
            listener(key)

    def get(self, key: str, value_type: type[T]) -> CacheEntry[T] | None:
        """Return a key's decoded value, or None if the key is missing or cannot be decoded."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        if (key, value_type) not in self._decoded:
            try:
                self._decoded[key, value_type] = msgspec.json.decode(entry[0], type=value_type)
            except (msgspec.DecodeError, UnicodeDecodeError):
                # Another version wrote the value in another format, so it counts as missing.
                self._decoded[key, value_type] = None
        value = self._decoded[key, value_type]
        return None if value is None else CacheEntry(value, entry[1], self.as_of_us)

    def version(self, key: str) -> int:
        """Return a key's version, or 0 if the key is missing."""
        entry = self._entries.get(key)
        return entry[1] if entry is not None else 0

    @property
    def head(self) -> HeadRecord | None:
        """The head record of the edition in force, or None if there is no edition."""
        entry = self.get(HEAD_KEY, HeadRecord)
        return entry.value if entry is not None else None

    def documents_in_force(self, kind: str, document_type: type[T]) -> Iterator[CacheEntry[T]]:
        """Iterate over the documents of one kind in the edition in force."""
        head = self.head
        if head is None:
            return
        for name in head.documents:
            if name.startswith(kind + "/"):
                entry = self.get(document_key(head.edition, name), document_type)
                if entry is not None:
                    yield entry

    def document_keys(self) -> list[str]:
        """Return the cached document keys of all editions."""
        return [key for key in self._entries if key.startswith(DOCUMENT_PREFIX)]
