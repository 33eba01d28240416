"""What the state service holds of documents.

=======================  ==========================================================
key                      value
=======================  ==========================================================
d/head                   HeadRecord: the edition that is in force
d/doc/EDITION/KIND/NAME  one document of an edition, as its kind's structure
d/state/KIND/NAME        what the kind's package keeps of it, across editions
=======================  ==========================================================

A document is written once and never changed. An edition comes into force with its head, in
one change, after all of its documents are there: so nobody ever sees half of one, however
many there are. Only the leader writes these keys, each time on the condition of its token and
of the key's version (``cluster_state/state_writer.py``); every controller watches them.
"""

import hashlib

import msgspec

PREFIX = "d/"
HEAD_KEY = "d/head"
DOCUMENTS = "d/doc/"
STATES = "d/state/"


class HeadRecord(msgspec.Struct, omit_defaults=True):
    """The edition in force: its digest, and its documents as ``KIND/NAME``."""

    edition: int
    digest: str
    documents: tuple[str, ...] = ()


class DocumentSet(msgspec.Struct, frozen=True):
    """An edition that a controller brings: documents as JSON, by ``KIND/NAME``."""

    edition: int
    documents: dict[str, msgspec.Raw]

    @property
    def digest(self) -> str:
        """Tell its content from any other; the order of the documents does not count."""
        whole = hashlib.sha256()
        for name in sorted(self.documents):
            body = bytes(self.documents[name])
            whole.update(f"{name} {len(body)}\n".encode())
            whole.update(body)
        return whole.hexdigest()[:16]


def document_key(edition: int, name: str) -> str:
    """Return the key of a document; ``name`` is ``KIND/NAME``."""
    return f"{DOCUMENTS}{edition}/{name}"


def state_key(kind: str, name: str) -> str:
    """Return the key of what is kept of a document across editions."""
    return f"{STATES}{kind}/{name}"


def edition_of(key: str) -> int | None:
    """Return the edition of a document's key; None: it is no such key."""
    if not key.startswith(DOCUMENTS):
        return None
    number = key.removeprefix(DOCUMENTS).partition("/")[0]
    return int(number) if number.isdigit() else None
