"""Which edition comes into force, and by which changes. Pure.

The highest number that any controller brings wins. The same number with other content is a
mistake of the operators, which nobody can resolve for them: it is refused.
"""

import enum
from collections.abc import Collection
from typing import Any

from weldhead.documents.records import (
    HEAD_KEY,
    DocumentSet,
    HeadRecord,
    document_key,
    edition_of,
)


class EditionVerdict(enum.Enum):
    """What becomes of an edition that is brought."""

    TAKEN = "taken"
    #: It is in force already.
    SAME = "same"
    #: One with a higher number is in force.
    OLDER = "older"
    #: One with this number and other content is in force.
    CONTRADICTS = "contradicts"
    #: A document of it is larger than the store's values may be.
    TOO_LARGE = "too large"


def judge_edition(head: HeadRecord | None, offer: DocumentSet, value_bytes: int) -> EditionVerdict:
    """Say what becomes of an edition, given the one in force."""
    if any(len(bytes(body)) > value_bytes for body in offer.documents.values()):
        return EditionVerdict.TOO_LARGE
    if head is None or offer.edition > head.edition:
        return EditionVerdict.TAKEN
    if offer.edition < head.edition:
        return EditionVerdict.OLDER
    return EditionVerdict.SAME if offer.digest == head.digest else EditionVerdict.CONTRADICTS


def steps(offer: DocumentSet, present: Collection[str], most: int) -> list[dict[str, Any]]:
    """Return the transactions that bring an edition into force; the head is the last.

    ``present`` are the keys that are there: what an earlier leader left of this edition when
    it ended in the midst of it is written over, as it may be of another content.
    """
    bodies = {document_key(offer.edition, n): body for n, body in offer.documents.items()}
    names = sorted(bodies)
    found: list[dict[str, Any]] = [
        {k: bodies[k] for k in names[i : i + most]} for i in range(0, len(names), most)
    ]
    head = HeadRecord(offer.edition, offer.digest, tuple(sorted(offer.documents)))
    stray = [key for key in present if edition_of(key) == offer.edition and key not in bodies]
    found += [dict.fromkeys(stray[i : i + most]) for i in range(0, len(stray), most)]
    return [*found, {HEAD_KEY: head}]


def leftovers(head: HeadRecord | None, present: Collection[str]) -> list[str]:
    """Return the keys of documents of editions that are over."""
    if head is None:
        return []
    return sorted(k for k in present if (number := edition_of(k)) is not None
                  and number < head.edition)  # fmt: skip
