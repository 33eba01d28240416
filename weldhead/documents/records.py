"""Records of the operators' documents in the state service.

=======================  ==========================================================
key                      value
=======================  ==========================================================
d/head                   HeadRecord: the edition in force
d/doc/EDITION/KIND/NAME  one document of an edition, in the format of its kind
d/state/KIND/NAME        state of a document that is kept across editions
=======================  ==========================================================

A document is never changed once its edition is in force. All documents of an edition are written
before the head record, and a single write of the head brings the edition into force, so no reader
ever sees part of an edition, however many documents it has. Only the leader writes these keys.
Each write is conditional on the leader's token and on the key's version
(``weldhead/cluster_state/state_writer.py``). Every controller watches the keys.
"""

import hashlib

import msgspec

KEY_PREFIX = "d/"
HEAD_KEY = "d/head"
DOCUMENT_PREFIX = "d/doc/"
STATE_PREFIX = "d/state/"


class HeadRecord(msgspec.Struct, omit_defaults=True):
    """The edition in force, with its digest and the names (``KIND/NAME``) of its documents."""

    edition: int
    digest: str
    documents: tuple[str, ...] = ()


class DocumentSet(msgspec.Struct, frozen=True):
    """An edition that a controller offers: its documents as JSON, by name (``KIND/NAME``)."""

    edition: int
    documents: dict[str, msgspec.Raw]

    @property
    def digest(self) -> str:
        """A hash of the names and contents of the documents, independent of their order."""
        hasher = hashlib.sha256()
        for name in sorted(self.documents):
            body = bytes(self.documents[name])
            hasher.update(f"{name} {len(body)}\n".encode())
            hasher.update(body)
        return hasher.hexdigest()[:16]


def document_key(edition: int, name: str) -> str:
    """Return the key of a document; ``name`` is ``KIND/NAME``."""
    return f"{DOCUMENT_PREFIX}{edition}/{name}"


def state_key(kind: str, name: str) -> str:
    """Return the key of the state that is kept of a document across editions."""
    return f"{STATE_PREFIX}{kind}/{name}"


def parse_edition(key: str) -> int | None:
    """Return the edition number in a document's key, or None if the key is not a document's."""
    if not key.startswith(DOCUMENT_PREFIX):
        return None
    number = key.removeprefix(DOCUMENT_PREFIX).partition("/")[0]
    return int(number) if number.isdigit() else None
