"""One controller's replica of the operators' documents."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from weldhead.calendars.deadline_table import DeadlineTable
from weldhead.cluster_state.records import AdmissionBinding, JobRecord
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import EditionVerdict, judge_edition
from weldhead.documents.records import PREFIX, DocumentSet
from weldhead.protocol.wire import JobSpec
from weldhead.transport.http_server import Response
from weldhead.transport.prefix_follower import follow_prefix, read_prefix
from weldhead.transport.state_client import (
    StateClient,
)

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode

#: Between two looks whether the edition that this controller brings is in force.
OFFER_PAUSE_S = 2.0


class DocumentsNotLoadedError(Exception):
    """What decides is not in memory yet; ask again later."""


class AdmissionBinder(Protocol):
    """What a job is bound to when it is accepted; ``wall_us`` is the time of day."""

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return it with the conditions on which it holds; DocumentsNotLoadedError if that cannot
        be told.
        """


class DocumentReplica:
    """One controller's copy of the documents, and the edition that it brings itself.

    ``ask_leader`` has the leader take an edition up; None where it cannot be reached.
    """

    def __init__(
        self,
        state: StateClient,
        offer: DocumentSet | None,
        ask_leader: Callable[[str, str, bytes], Awaitable[Response | None]],
    ) -> None:
        self._state = state
        self._ask_leader = ask_leader
        self._logged: tuple[EditionVerdict, int] | None = None
        self.own_documents = offer
        self.cache = DocumentCache()
        #: What binds jobs at acceptance: the packages that use documents add theirs.
        self.binders: list[AdmissionBinder] = []
        #: Called with the record of each bound or held job that this controller accepted.
        self.on_accepted: list[Callable[[JobRecord], None]] = []
        #: What has to be finished by when, as far as this controller knows.
        self.deadline_table = DeadlineTable()

    def bind(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return all that a job is bound to by what is in memory; DocumentsNotLoadedError if
        nothing is.
        """
        if not self.cache.loaded:
            raise DocumentsNotLoadedError
        bound = AdmissionBinding()
        for binder in self.binders:
            bound = bound.merged(binder(spec, wall_us))
        return bound

    async def follow(self) -> None:
        """Keep the copy; a background task."""
        async for batch in follow_prefix(self._state, PREFIX, None, self._read):
            for event in batch.events:
                if event.put is not None:
                    self.cache.put(event.put, bytes(event.value), event.version)
                elif event.delete is not None:
                    self.cache.drop(event.delete, event.version)
            self.cache.as_of_us = max(self.cache.as_of_us, batch.sent_us)

    async def _read(self) -> int:
        entries, revision, sent_us = await read_prefix(self._state, PREFIX)
        self.cache.replace(entries, revision)
        self.cache.as_of_us = max(self.cache.as_of_us, sent_us)
        return revision

    async def offer_own_documents(self) -> None:
        """Have the leader take up the edition that this controller brings; a background task."""
        while True:
            await asyncio.sleep(OFFER_PAUSE_S)
            if self.own_documents is None or not self.cache.loaded:
                continue
            verdict = judge_edition(
                self.cache.head, self.own_documents, self._state.limits.value_bytes
            )
            self._log_verdict(verdict, self.own_documents)
            if verdict is EditionVerdict.TAKEN:
                await self._ask_leader("documents", "", _encode(self.own_documents))

    def _log_verdict(self, verdict: EditionVerdict, offer: DocumentSet) -> None:
        """Log what becomes of this controller's edition, when that changes."""
        head = self.cache.head
        said = verdict, head.edition if head is not None else 0
        if self._logged == said:
            return
        self._logged = said
        match verdict:
            case EditionVerdict.SAME:
                log.info("documents: edition %d is in force", offer.edition)
            case EditionVerdict.OLDER if head is not None:
                log.warning("documents: edition %d is ignored: %d is in force", offer.edition,
                    head.edition)  # fmt: skip
            case EditionVerdict.CONTRADICTS if head is not None:
                log.error(
                    "documents: edition %d is refused: its content is %s, and %s is in force",
                    offer.edition, offer.digest, head.digest,
                )  # fmt: skip
            case EditionVerdict.TOO_LARGE:
                log.error("documents: edition %d has a document that no record takes",
                    offer.edition)  # fmt: skip
