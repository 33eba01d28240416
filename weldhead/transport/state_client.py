"""The state service's client: typed answers, budgets, and what counts as a failure.

Nonsense from the service is a failed call, never an empty answer.
"""

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us
from weldhead.protocol import http_status
from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import (
    CommittedRevision,
    Condition,
    DeleteKey,
    GrantedLease,
    KeyChanges,
    KeyValue,
    KeyValuePage,
    LeaseRequest,
    PutKey,
    Transaction,
)
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.token_bucket import TokenBucket

log = logging.getLogger(__name__)

T = TypeVar("T")

#: Before a page that failed is asked for again.
PAGE_PAUSE_S = 0.2
#: How long who stands waits for its lease: of the lease's 3 s enough is left to write the key and
#: to renew it once, by a service that is as slow again.
STAND_US = 1_300 * MILLISECOND_US


#: Statuses that say for sure what became of a request.
_DEFINITE_STATUSES = frozenset(
    {
        http_status.OK,
        http_status.BAD_REQUEST,
        http_status.NOT_FOUND,
        http_status.CONFLICT,
        http_status.GONE,
    }
)


class RequestRefusedError(CallError):
    """The service said that it did not execute the request (503, 429)."""


class RateLimitedError(RequestRefusedError):
    """The rate is used up for the moment; the service itself is well."""


class TransactionRejectedError(CallError):
    """The service takes no such transaction (400): the same one again is as useless."""


class ConflictError(Exception):
    """A condition of a transaction did not hold."""


class LeaseNotFoundError(Exception):
    """A lease has ended."""

    def __init__(self, lease: int | None = None) -> None:
        super().__init__("lease not found" if lease is None else f"lease {lease} not found")
        self.lease = lease


class RevisionCompactedError(Exception):
    """The watch's starting point is too old; read the keys again."""

    def __init__(self, prefix: str, revision: int) -> None:
        super().__init__(f"changes of {prefix} after revision {revision} are compacted")
        self.prefix = prefix
        self.revision = revision


def decode(body: bytes, kind: type[T]) -> T:
    """Decode an answer; CallError if it is nonsense."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallError(f"nonsense: {error}") from error


class StateClient:
    """All calls to the state service."""

    def __init__(self, http: HttpClient, address: str, limits: StateLimits) -> None:
        self._http = http
        self._base = f"http://{address}"
        # What comes without notice is kept to from the start.
        limits = limits.tightest()
        self.limits = limits
        # Every controller calls the same service, and each gets an equal claim on most of
        # the rate: the leader writes most, so it may use what the others rarely need.
        self.request_budget = TokenBucket(limits.rps * 0.6, limits.rps * 0.4, limits.rps * 0.1)
        burst = max(limits.write_rps * 0.6, 4.0)
        # The leader's: ends of jobs, machines, progress. They keep half of the rate when
        # more is submitted than there is room for, or nothing would be told done.
        self.write_budget = TokenBucket(limits.write_rps * 0.85, burst, limits.write_rps * 0.1, 0.6)
        #: Submissions, on every controller.
        self.submission_budget = TokenBucket(
            limits.write_rps * 0.85, burst, limits.write_rps * 0.1, 0.05
        )
        #: A transaction larger than the burst would wait for ever.
        self.max_writes = min(limits.txn_ops, int(burst))
        #: When a call was last served, and when one last failed (steady clock, 0: never).
        self.served_us = 0
        self.failed_us = 0

    @property
    def available(self) -> bool:
        """Whether the last call was served."""
        return self.served_us > self.failed_us

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_us: int,
        urgent: bool,
        writes: int = 0,
        passive: bool = False,
        patience_us: int | None = None,
    ) -> tuple[int, bytes]:
        limit_us = patience_us if urgent or patience_us is not None else SECOND_US
        budget = self.write_budget if patience_us is None else self.submission_budget
        if writes and not await budget.take(writes, urgent=urgent, limit_us=limit_us):
            raise RateLimitedError("state service: write budget used up")
        if not await self.request_budget.take(urgent=urgent, limit_us=limit_us):
            budget.refund(writes)
            raise RateLimitedError("state service: request budget used up")
        started_us = now_us()
        try:
            status, answer = await self._http.call(method, self._base + path, body, timeout_us)
        except CallError:
            if not passive:
                self.failed_us = max(self.failed_us, now_us())
            raise
        if status in (http_status.TOO_MANY_REQUESTS, http_status.UNAVAILABLE):
            if status == http_status.UNAVAILABLE:
                self.failed_us = now_us()
            else:
                # Others use the same rate: what this node had saved up is not there.
                (budget if writes else self.request_budget).drain()
                raise RateLimitedError("state service: 429")
            raise RequestRefusedError(f"state service: {status}")
        if status not in _DEFINITE_STATUSES:
            raise CallError(f"state service: {status}")
        if not passive:
            self.served_us = max(self.served_us, started_us)
        return status, answer

    async def get(
        self, key: str, *, urgent: bool = False, timeout_us: int = 800 * MILLISECOND_US
    ) -> KeyValue | None:
        """Read a key."""
        status, body = await self._call("GET", f"/store/{key}", None, timeout_us, urgent)
        if status == http_status.NOT_FOUND:
            # Proof of absence is the service's own answer, with its revision in it.
            decode(body, CommittedRevision)
            return None
        if status != http_status.OK:
            raise CallError(f"state service: {status}")
        return decode(body, KeyValue)

    async def pages(self, prefix: str) -> AsyncIterator[tuple[list[KeyValue], int]]:
        """Read all keys with a prefix; yield each page with the first page's revision.

        Pages are read one after the other; a change between two pages is seen by a watch
        that starts at the first page's revision. A page that fails is asked for again: at
        size a reader that began anew came to no end while the service was slow.
        """
        revision: int | None = None
        start = ""
        while True:
            path = f"/store?starts={prefix}&most=1000" + (f"&from={start}" if start else "")
            try:
                status, body = await self._call("GET", path, None, 3 * SECOND_US, True)
                if status != http_status.OK:
                    raise CallError(f"state service: {status}")
                page = decode(body, KeyValuePage)
            except CallError as error:
                if revision is None:
                    raise
                log.info("page of %s behind %s: %s", prefix, start, error)
                await asyncio.sleep(PAGE_PAUSE_S)
                continue
            if revision is None:
                revision = page.revision
            if page.more and not page.items:
                raise CallError("state service: empty page that claims more")
            yield page.items, revision
            if not page.more:
                return
            start = page.items[-1].key

    async def transact(
        self,
        conditions: list[Condition],
        writes: list[PutKey | DeleteKey],
        *,
        urgent: bool = False,
        timeout_us: int = 1500 * MILLISECOND_US,
        patience_us: int | None = None,
    ) -> int:
        """Apply a transaction and return its revision.

        ``patience_us``: for how long a submission may wait for its turn; None: it is the
        leader's, and waits for a second, or for ever where it is urgent.
        RateLimitedError if that was not long enough, or others had used the rate up, ConflictError
        if a condition failed, LeaseNotFoundError if a lease is over, RequestRefusedError if it was
        surely not executed, TransactionRejectedError if it never will be, CallError if that is not
        known.
        """
        body = msgspec.json.encode(Transaction(conditions, writes))
        status, answer = await self._call(
            "POST",
            "/multi",
            body,
            timeout_us,
            urgent,
            writes=len(writes),
            patience_us=patience_us,
        )
        if status == http_status.OK:
            return decode(answer, CommittedRevision).revision
        if status == http_status.CONFLICT:
            raise ConflictError(answer.decode("utf-8", "replace"))
        if status == http_status.BAD_REQUEST and b"no such lease" in answer:
            raise LeaseNotFoundError
        if status == http_status.BAD_REQUEST:
            raise TransactionRejectedError(f"state service: 400 {answer[:200]!r}")
        raise CallError(f"state service: {status} {answer[:200]!r}")

    async def grant(self, ttl_us: int) -> int:
        """Create a lease."""
        body = msgspec.json.encode(LeaseRequest(ttl_us // MILLISECOND_US))
        status, answer = await self._call("POST", "/grants", body, STAND_US, True)
        if status != http_status.OK:
            raise CallError(f"state service: {status}")
        return decode(answer, GrantedLease).lease

    async def extend(self, lease: int, timeout_us: int) -> None:
        """Renew a lease; LeaseNotFoundError if it has ended."""
        status, _ = await self._call("POST", f"/grants/{lease}/extend", b"{}", timeout_us, True)
        if status == http_status.NOT_FOUND:
            raise LeaseNotFoundError(lease)
        if status != http_status.OK:
            raise CallError(f"state service: {status}")

    async def revoke(self, lease: int) -> None:
        """End a lease at once; its keys go with it."""
        status, _ = await self._call("DELETE", f"/grants/{lease}", None, 800 * MILLISECOND_US, True)
        if status not in (http_status.OK, http_status.NOT_FOUND):
            raise CallError(f"state service: {status}")

    async def watch(self, prefix: str, revision: int, wait_us: int) -> KeyChanges:
        """Wait for changes after the revision; RevisionCompactedError if it is too old."""
        path = f"/changes?starts={prefix}&from={revision}&wait_ms={wait_us // MILLISECOND_US}"
        status, body = await self._call(
            "GET", path, None, wait_us + 2 * SECOND_US, True, passive=True
        )
        if status == http_status.GONE:
            raise RevisionCompactedError(prefix, revision)
        if status != http_status.OK:
            raise CallError(f"state service: {status}")
        return decode(body, KeyChanges)
