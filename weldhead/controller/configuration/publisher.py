"""Documents: every controller follows them, and the leader brings editions into force."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from weldhead.calendars.deadline_table import DeadlineTable
from weldhead.clock import SECOND_US, now_us
from weldhead.cluster_state.records import AdmissionBinding, JobRecord
from weldhead.cluster_state.state_writer import LeadershipLostError, StateWriter
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import EditionVerdict, judge_edition, leftovers, steps
from weldhead.documents.records import HEAD_KEY, PREFIX, DocumentSet, HeadRecord
from weldhead.protocol.wire import JobSpec
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, refusal
from weldhead.transport.state_client import (
    RevisionCompactedError,
    StateClient,
    TransactionRejectedError,
)

log = logging.getLogger(__name__)

#: Between two looks whether the edition that this controller brings is in force.
OFFER_PAUSE_S = 2.0

_encode = msgspec.json.Encoder().encode
_offer_decoder = msgspec.json.Decoder(DocumentSet)


class DocumentsNotLoadedError(Exception):
    """What decides is not in memory yet; ask again later."""


class AdmissionBinder(Protocol):
    """What a job is bound to when it is accepted; ``wall_us`` is the time of day."""

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return it with the conditions on which it holds; Unready if that cannot be told."""


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
        """Return all that a job is bound to by what is in memory; Unready if nothing is."""
        if not self.cache.loaded:
            raise DocumentsNotLoadedError
        bound = AdmissionBinding()
        for binder in self.binders:
            bound = bound.merged(binder(spec, wall_us))
        return bound

    async def follow(self) -> None:
        """Keep the copy; a duty."""
        revision = await self._read()
        while True:
            sent_us = now_us()
            try:
                changes = await self._state.watch(PREFIX, revision, 10 * SECOND_US)
            except RevisionCompactedError:
                revision = await self._read()
                continue
            for event in changes.events:
                if event.put is not None:
                    self.cache.put(event.put, bytes(event.value), event.version)
                elif event.delete is not None:
                    self.cache.drop(event.delete, event.version)
            self.cache.as_of_us = max(self.cache.as_of_us, sent_us)
            revision = max(revision, changes.revision)

    async def _read(self) -> int:
        sent_us, revision = now_us(), 0
        entries: dict[str, tuple[bytes, int]] = {}
        async for page, revision in self._state.pages(PREFIX):  # noqa: B007
            entries.update((e.key, (bytes(e.value), e.version)) for e in page)
        self.cache.replace(entries, revision)
        self.cache.as_of_us = max(self.cache.as_of_us, sent_us)
        return revision

    async def offer_own_documents(self) -> None:
        """Have the leader take up the edition that this controller brings; a duty."""
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


class DocumentPublisher:
    """A term's part: it brings editions into force, on the condition of its token.

    ``load`` reads what is recorded once the token is won. From then on nobody else changes it,
    so what this term has in memory is what the store has, however late the watch is.
    """

    def __init__(
        self,
        documents: DocumentReplica,
        state: StateClient,
        ledger: Callable[[], StateWriter],
        valid: Callable[[], bool],
    ) -> None:
        self._documents = documents
        self._state = state
        self._ledger = ledger
        self._valid = valid
        self._offers: asyncio.Queue[DocumentSet] = asyncio.Queue()
        self.cache = DocumentCache()
        #: The head that is being written: until that is answered it may be in force for whoever
        #: reads the store, and bind what they accept.
        self.pending_head: HeadRecord | None = None
        self.loaded = False
        #: Say why an edition cannot be used; the packages that use documents add theirs.
        self.validators: list[Callable[[DocumentSet], str | None]] = []
        self._unusable: set[str] = set()

    async def load(self) -> None:
        """Read the documents after the token was won; CallFailed if that is not possible."""
        entries: dict[str, tuple[bytes, int]] = {}
        revision = 0
        async for page, revision in self._state.pages(PREFIX):  # noqa: B007
            entries.update((e.key, (bytes(e.value), e.version)) for e in page)
        for key, (_, version) in entries.items():
            self._ledger().record_version(key, version)
        self.cache.replace(entries, revision)
        self.cache.as_of_us = now_us()
        self.loaded = True

    @property
    def max_changes(self) -> int:
        """How many keys a transaction may change."""
        return self._state.max_writes

    @property
    def value_bytes(self) -> int:
        """How long a value may be."""
        return self._state.limits.value_bytes

    async def write(self, changes: dict[str, Any], *, urgent: bool = False) -> None:
        """Commit changes of documents' keys; they are in memory when this returns.

        Deposed if this leads no more, Rejected if the store never takes them.
        """
        encoded = {k: None if v is None else msgspec.Raw(_encode(v)) for k, v in changes.items()}
        revision = await self._ledger().write(encoded, urgent=urgent)
        for key, body in encoded.items():
            if body is None:
                self.cache.drop(key, revision)
            else:
                self.cache.put(key, bytes(body), revision)
        self.cache.as_of_us = now_us()

    def accept_offer(self, body: bytes) -> Response:
        """Answer another controller that brings an edition."""
        try:
            offer = _offer_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return refusal(400, str(error))
        if not self.loaded or not self._valid():
            return refusal(503, "not now", retry_after_s=1)
        verdict = judge_edition(self.cache.head, offer, self._state.limits.value_bytes)
        if verdict is EditionVerdict.TAKEN:
            self._offers.put_nowait(offer)
        return Response(200, _encode(verdict.value))

    async def publish(self) -> None:
        """Bring editions into force, one after the other; a duty."""
        if self._documents.own_documents is not None:
            self._offers.put_nowait(self._documents.own_documents)
        while True:
            offer = await self._offers.get()
            head = self.cache.head
            if (
                judge_edition(head, offer, self._state.limits.value_bytes)
                is not EditionVerdict.TAKEN
            ):
                continue
            if offer.digest in self._unusable:
                # It is brought again and again, and was said once.
                continue
            wrong = next((found for vet in self.validators if (found := vet(offer))), None)
            if wrong is not None:
                self._unusable.add(offer.digest)
                log.error("documents: edition %d is refused: %s", offer.edition, wrong)
                continue
            try:
                await self._publish(offer)
            except (LeadershipLostError, TransactionRejectedError, CallError) as error:
                log.info("documents: edition %d not brought into force: %s", offer.edition, error)
                continue
            log.info(
                "documents: edition %d (%s) is in force, %d documents; before it %s",
                offer.edition, offer.digest, len(offer.documents),
                "there was none" if head is None else f"{head.edition}",
            )  # fmt: skip

    async def _publish(self, offer: DocumentSet) -> None:
        most = self._state.max_writes
        for changes in steps(offer, self.cache.documents(), most):
            self.pending_head = changes.get(HEAD_KEY)
            await self.write(changes, urgent=HEAD_KEY in changes)
        self.pending_head = None
        old = leftovers(self.cache.head, self.cache.documents())
        for start in range(0, len(old), most):
            await self.write(dict.fromkeys(old[start : start + most]))
