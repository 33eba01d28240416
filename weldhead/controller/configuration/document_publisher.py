"""The leader's part in documents: it brings document sets into force."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from weldhead.clock import now_us
from weldhead.cluster_state.state_writer import LeadershipLostError, StateWriter
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import EditionVerdict, judge_edition, leftovers, steps
from weldhead.documents.records import HEAD_KEY, PREFIX, DocumentSet, HeadRecord
from weldhead.protocol import http_status
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, error_response, unavailable_response
from weldhead.transport.prefix_follower import read_prefix
from weldhead.transport.state_client import (
    StateClient,
    TransactionRejectedError,
)

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode

_offer_decoder = msgspec.json.Decoder(DocumentSet)


class DocumentPublisher:
    """A term's part: it brings editions into force, on the condition of its token.

    ``load`` reads what is recorded once the token is won. From then on nobody else changes it,
    so what this term has in memory is what the store has, however late the watch is.
    """

    def __init__(
        self,
        documents: DocumentReplica,
        state: StateClient,
        state_writer: Callable[[], StateWriter],
        valid: Callable[[], bool],
    ) -> None:
        self._documents = documents
        self._state = state
        self._ledger = state_writer
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
        """Read the documents after the token was won; CallError if that is not possible."""
        entries, revision, _ = await read_prefix(self._state, PREFIX)
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

        LeadershipLostError if this leads no more, TransactionRejectedError if the store never takes
        them.
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
            return error_response(http_status.BAD_REQUEST, str(error))
        if not self.loaded or not self._valid():
            return unavailable_response("not now")
        verdict = judge_edition(self.cache.head, offer, self._state.limits.value_bytes)
        if verdict is EditionVerdict.TAKEN:
            self._offers.put_nowait(offer)
        return Response(http_status.OK, _encode(verdict.value))

    async def publish(self) -> None:
        """Bring editions into force, one after the other; a background task."""
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
