"""A controller's replica of the operators' documents; binds jobs at admission."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from weldhead.calendars.deadline_table import DeadlineTable
from weldhead.cluster_state.records import AdmissionBinding, JobRecord
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import EditionVerdict, classify_edition
from weldhead.documents.records import KEY_PREFIX, DocumentSet
from weldhead.protocol.wire import JobSpec
from weldhead.transport.http_server import Response
from weldhead.transport.prefix_follower import follow_prefix, read_prefix
from weldhead.transport.state_client import (
    StateClient,
)

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode

#: Interval between checks whether this controller's own edition has to be offered.
OFFER_INTERVAL_S = 2.0


class DocumentsNotLoadedError(Exception):
    """The documents needed to decide about a job are not loaded yet; the caller may retry."""


class AdmissionBinder(Protocol):
    """Determines what a job is bound to at its acceptance; ``wall_us`` is the time of day."""

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return the binding of a job and the conditions under which the binding is valid.

        Raises DocumentsNotLoadedError if the binding cannot be determined yet.
        """


class DocumentReplica:
    """A controller's copy of the documents, and the edition that it offers to the leader.

    ``ask_leader`` sends a request to the leader; it returns None if the leader is unreachable.
    """

    def __init__(
        self,
        state: StateClient,
        offer: DocumentSet | None,
        ask_leader: Callable[[str, str, bytes], Awaitable[Response | None]],
    ) -> None:
        self._state = state
        self._ask_leader = ask_leader
        self._last_logged: tuple[EditionVerdict, int] | None = None
        self.own_documents = offer
        self.cache = DocumentCache()
        #: The binders of jobs at their acceptance; packages that use documents append theirs.
        self.binders: list[AdmissionBinder] = []
        #: Functions that are called with the record of each bound or held job that this
        #: controller has accepted.
        self.acceptance_listeners: list[Callable[[JobRecord], None]] = []
        #: The deadlines of the jobs, as far as this controller knows them.
        self.deadline_table = DeadlineTable()

    def bind(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return the merged binding of a job from all binders, based on the cached documents.

        Raises DocumentsNotLoadedError if no documents have been read yet.
        """
        if not self.cache.is_loaded:
            raise DocumentsNotLoadedError
        binding = AdmissionBinding()
        for binder in self.binders:
            binding = binding.merged(binder(spec, wall_us))
        return binding

    async def follow(self) -> None:
        """Keep the cache up to date with the store; runs as a background task."""
        async for batch in follow_prefix(self._state, KEY_PREFIX, None, self._read_all):
            for event in batch.events:
                if event.put is not None:
                    self.cache.put(event.put, bytes(event.value), event.version)
                elif event.delete is not None:
                    self.cache.drop(event.delete, event.version)
            self.cache.as_of_us = max(self.cache.as_of_us, batch.sent_us)

    async def _read_all(self) -> int:
        """Read all documents into the cache, and return their revision."""
        entries, revision, sent_us = await read_prefix(self._state, KEY_PREFIX)
        self.cache.replace(entries, revision)
        self.cache.as_of_us = max(self.cache.as_of_us, sent_us)
        return revision

    async def offer_own_documents(self) -> None:
        """Offer this controller's own edition to the leader; runs as a background task."""
        while True:
            await asyncio.sleep(OFFER_INTERVAL_S)
            if self.own_documents is None or not self.cache.is_loaded:
                continue
            verdict = classify_edition(
                self.cache.head, self.own_documents, self._state.limits.value_bytes
            )
            self._log_verdict(verdict, self.own_documents)
            if verdict is EditionVerdict.ACCEPTED:
                await self._ask_leader("documents", "", _encode(self.own_documents))

    def _log_verdict(self, verdict: EditionVerdict, offer: DocumentSet) -> None:
        """Log the verdict on this controller's own edition when the verdict changes."""
        head = self.cache.head
        current = verdict, head.edition if head is not None else 0
        if self._last_logged == current:
            return
        self._last_logged = current
        match verdict:
            case EditionVerdict.IN_FORCE:
                log.info("documents: edition %d is in force", offer.edition)
            case EditionVerdict.OLDER if head is not None:
                log.warning(
                    "documents: edition %d is ignored: edition %d is in force",
                    offer.edition, head.edition,
                )  # fmt: skip
            case EditionVerdict.CONFLICTING if head is not None:
                log.error(
                    "documents: edition %d is refused: its digest is %s, but the edition in force "
                    "with this number has digest %s",
                    offer.edition, offer.digest, head.digest,
                )  # fmt: skip
            case EditionVerdict.TOO_LARGE:
                log.error(
                    "documents: edition %d is refused: a document exceeds the value size limit",
                    offer.edition,
                )  # fmt: skip
