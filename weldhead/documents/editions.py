"""Decides which edition comes into force, and by which transactions. Pure.

The edition with the highest number that any controller offers comes into force. An edition with
the number of the one in force but other content is a mistake of the operators that the software
cannot resolve, so that edition is refused.
"""

import enum
from collections.abc import Collection
from typing import Any

import msgspec

from weldhead.documents.records import (
    HEAD_KEY,
    DocumentSet,
    HeadRecord,
    document_key,
    parse_edition,
)
from weldhead.protocol.wire import MAX_TRANSACTION_VALUE_BYTES


class EditionVerdict(enum.Enum):
    """The result of comparing an offered edition with the edition in force."""

    #: The offered edition comes into force.
    ACCEPTED = "taken"
    #: The offered edition is already in force.
    IN_FORCE = "same"
    #: An edition with a higher number is in force.
    OLDER = "older"
    #: An edition with the same number and other content is in force.
    CONFLICTING = "contradicts"
    #: A document of the offered edition exceeds the value size limit of the state service.
    TOO_LARGE = "too large"


def classify_edition(
    head: HeadRecord | None, offer: DocumentSet, max_value_bytes: int
) -> EditionVerdict:
    """Compare an offered edition with the edition in force."""
    if any(len(bytes(body)) > max_value_bytes for body in offer.documents.values()):
        return EditionVerdict.TOO_LARGE
    if head is None or offer.edition > head.edition:
        return EditionVerdict.ACCEPTED
    if offer.edition < head.edition:
        return EditionVerdict.OLDER
    return EditionVerdict.IN_FORCE if offer.digest == head.digest else EditionVerdict.CONFLICTING


def plan_publication(
    offer: DocumentSet, stored_keys: Collection[str], max_changes: int
) -> list[dict[str, Any]]:
    """Return the transactions that bring an edition into force; the last one writes the head.

    Each transaction changes at most ``max_changes`` keys and fits into a body. ``stored_keys`` are
    the document keys in the store. An earlier leader may have written part of an edition with the
    same number and other content before its term ended: those documents are overwritten, and
    surplus ones are deleted.
    """
    bodies = {document_key(offer.edition, n): body for n, body in offer.documents.items()}
    transactions: list[dict[str, Any]] = _divide_bodies(bodies, max_changes)
    head = HeadRecord(offer.edition, offer.digest, tuple(sorted(offer.documents)))
    surplus = [
        key for key in stored_keys if parse_edition(key) == offer.edition and key not in bodies
    ]
    transactions += [
        dict.fromkeys(surplus[i : i + max_changes]) for i in range(0, len(surplus), max_changes)
    ]
    return [*transactions, {HEAD_KEY: head}]


def _divide_bodies(bodies: dict[str, msgspec.Raw], max_changes: int) -> list[dict[str, Any]]:
    """Divide documents into writes of so many keys, and of so many bytes as a body takes."""
    parts: list[dict[str, Any]] = []
    part_bytes = 0
    for key in sorted(bodies):
        size = len(bytes(bodies[key]))
        is_full = parts and (
            len(parts[-1]) >= max_changes or part_bytes + size > MAX_TRANSACTION_VALUE_BYTES
        )
        if not parts or is_full:
            parts.append({})
            part_bytes = 0
        parts[-1][key] = bodies[key]
        part_bytes += size
    return parts


def find_outdated_documents(head: HeadRecord | None, stored_keys: Collection[str]) -> list[str]:
    """Return the keys of documents of editions older than the one in force."""
    if head is None:
        return []
    return sorted(k for k in stored_keys if (number := parse_edition(k)) is not None
                  and number < head.edition)  # fmt: skip
