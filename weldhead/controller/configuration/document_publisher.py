"""Brings editions of the documents into force; runs on the leader.

Documents are configuration that the operators write, for example deadline calendars. An *edition*
is a numbered version of the whole set of documents, and one edition at a time is in force.
Controllers *offer* the edition that they were configured with to the leader.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from weldhead.clock import now_us
from weldhead.cluster_state.state_writer import LeadershipLostError, StateWriter
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import (
    EditionVerdict,
    classify_edition,
    find_outdated_documents,
    plan_publication,
)
from weldhead.documents.records import HEAD_KEY, KEY_PREFIX, DocumentSet, HeadRecord
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
    """Brings editions into force in one leader term, on the condition of the term's token.

    ``load`` reads the recorded documents after the token has been acquired. From then on no other
    controller can change them, so ``cache`` matches the store however late watch events arrive.
    """

    def __init__(
        self,
        documents: DocumentReplica,
        state: StateClient,
        state_writer: Callable[[], StateWriter],
        is_valid: Callable[[], bool],
    ) -> None:
        self._documents = documents
        self._state = state
        self._state_writer = state_writer
        self._is_valid = is_valid
        self._offers: asyncio.Queue[DocumentSet] = asyncio.Queue()
        self.cache = DocumentCache()
        #: The head record that is being written; it names the edition in force. Until the store has
        #: answered, that edition may already be in force for controllers that read the store, and
        #: may set the deadlines and gates of jobs that they accept.
        self.pending_head: HeadRecord | None = None
        self.is_loaded = False
        #: Functions that return why an edition cannot be used, or None if it can; packages that
        #: use documents append theirs.
        self.validators: list[Callable[[DocumentSet], str | None]] = []
        self._refused_digests: set[str] = set()

    async def load(self) -> None:
        """Read the documents after the token has been acquired; CallError if that fails."""
        entries, revision, _ = await read_prefix(self._state, KEY_PREFIX)
        for key, (_, version) in entries.items():
            self._state_writer().record_version(key, version)
        self.cache.replace(entries, revision)
        self.cache.as_of_us = now_us()
        self.is_loaded = True

    @property
    def max_changes(self) -> int:
        """The maximum number of keys that a transaction may change."""
        return self._state.max_writes

    @property
    def max_value_bytes(self) -> int:
        """The maximum size of a value in the state service."""
        return self._state.limits.value_bytes

    async def write(self, changes: dict[str, Any], *, urgent: bool = False) -> None:
        """Commit changes of document keys, and then apply them to the cache; None deletes a key.

        Raises LeadershipLostError if this controller no longer leads, and TransactionRejectedError
        if the store can never accept the transaction.
        """
        encoded = {k: None if v is None else msgspec.Raw(_encode(v)) for k, v in changes.items()}
        revision = await self._state_writer().write(encoded, urgent=urgent)
        for key, body in encoded.items():
            if body is None:
                self.cache.drop(key, revision)
            else:
                self.cache.put(key, bytes(body), revision)
        self.cache.as_of_us = now_us()

    def handle_offer(self, body: bytes) -> Response:
        """Answer the request of another controller that offers an edition."""
        try:
            offer = _offer_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_response(http_status.BAD_REQUEST, str(error))
        if not self.is_loaded or not self._is_valid():
            return unavailable_response("not now")
        verdict = classify_edition(self.cache.head, offer, self._state.limits.value_bytes)
        if verdict is EditionVerdict.ACCEPTED:
            self._offers.put_nowait(offer)
        return Response(http_status.OK, _encode(verdict.value))

    async def publish_offers(self) -> None:
        """Bring offered editions into force, one after another; runs as a background task."""
        if self._documents.own_documents is not None:
            self._offers.put_nowait(self._documents.own_documents)
        while True:
            offer = await self._offers.get()
            head = self.cache.head
            if (
                classify_edition(head, offer, self._state.limits.value_bytes)
                is not EditionVerdict.ACCEPTED
            ):
                continue
            if offer.digest in self._refused_digests:
                # Controllers keep offering the edition; its refusal has been logged once.
                continue
            problem = next((text for check in self.validators if (text := check(offer))), None)
            if problem is not None:
                self._refused_digests.add(offer.digest)
                log.error("documents: edition %d is refused: %s", offer.edition, problem)
                continue
            try:
                await self._publish(offer)
            except (LeadershipLostError, TransactionRejectedError, CallError) as error:
                log.info("documents: edition %d not brought into force: %s", offer.edition, error)
                continue
            log.info(
                "documents: edition %d (digest %s) is in force, %d documents; previous edition: %s",
                offer.edition, offer.digest, len(offer.documents),
                "none" if head is None else f"{head.edition}",
            )  # fmt: skip

    async def _publish(self, offer: DocumentSet) -> None:
        """Bring an edition into force, and then delete the documents of older editions."""
        max_changes = self._state.max_writes
        for changes in plan_publication(offer, self.cache.document_keys(), max_changes):
            self.pending_head = changes.get(HEAD_KEY)
            await self.write(changes, urgent=HEAD_KEY in changes)
        self.pending_head = None
        outdated = find_outdated_documents(self.cache.head, self.cache.document_keys())
        for start in range(0, len(outdated), max_changes):
            await self.write(dict.fromkeys(outdated[start : start + max_changes]))
