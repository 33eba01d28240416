"""The client of the state service: typed answers, rate limits and errors.

An answer that cannot be decoded is a failed call, never an empty result.
"""

import asyncio
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, to_seconds
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

#: The delay before a page that could not be read is requested again.
PAGE_RETRY_DELAY_S = 0.2
#: The timeout of the calls with which a candidate obtains the leader's lease. The rest of the
#: lease's 3 s suffices to write the leader's key and to renew the lease once, even if the service
#: answers those calls as slowly.
CAMPAIGN_TIMEOUT_US = 1_300 * MILLISECOND_US


#: The statuses that state definitely whether the request was executed.
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
    """The service answered that it did not execute the request (503 or 429)."""


class RateLimitedError(RequestRefusedError):
    """The rate limit is exceeded at the moment; the service itself is available."""


class TransactionRejectedError(CallError):
    """The service rejected the transaction as invalid (400); a retry would fail as well."""


class ConflictError(Exception):
    """A condition of a transaction did not hold."""


class LeaseNotFoundError(Exception):
    """The state service does not know a lease, because the lease has ended."""

    def __init__(self, lease: int | None = None) -> None:
        super().__init__("lease not found" if lease is None else f"lease {lease} not found")
        self.lease = lease


class RevisionCompactedError(Exception):
    """The watch's start revision has been compacted; the keys have to be read again."""

    def __init__(self, prefix: str, revision: int) -> None:
        super().__init__(f"changes of {prefix} after revision {revision} are compacted")
        self.prefix = prefix
        self.revision = revision


def decode(body: bytes, value_type: type[T]) -> T:
    """Decode an answer's JSON body; CallError if the body is invalid."""
    try:
        return msgspec.json.decode(body, type=value_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallError(f"answer cannot be decoded: {error}") from error


@dataclass(frozen=True, slots=True)
class AnsweredCall:
    """The last answered read or write: when the answer came, and the highest revision seen so far.

    The time is microseconds of the steady clock; 0: there was none.
    """

    answered_us: int = 0
    revision: int = 0

    def next(self, revision: int) -> "AnsweredCall":
        """Return the call that has just been answered with this revision."""
        return AnsweredCall(now_us(), max(revision, self.revision))

    def describe(self, at_us: int) -> str:
        """Return the call's age and revision as text for a log line."""
        if not self.answered_us:
            return "none"
        return f"{to_seconds(at_us - self.answered_us):.1f} s ago at revision {self.revision}"


class StateClient:
    """Makes all calls to the state service."""

    def __init__(self, http: HttpClient, address: str, limits: StateLimits) -> None:
        self._http = http
        self._base = f"http://{address}"
        # Limits may change later without notice, so the tighter ones apply from the start.
        limits = limits.tightest()
        self.limits = limits
        # All controllers share the service's rate. Each may use most of it, because the leader
        # makes most writes and the other controllers rarely need their share.
        self.request_budget = TokenBucket(limits.rps * 0.6, limits.rps * 0.4, limits.rps * 0.1)
        burst = max(limits.write_rps * 0.6, 4.0)
        # The budget of the leader's writes: completed jobs, machines, progress. They keep at least
        # half of the rate under too many submissions; otherwise no job would be reported as done.
        self.write_budget = TokenBucket(limits.write_rps * 0.85, burst, limits.write_rps * 0.1, 0.6)
        #: The budget of the writes of submissions, on every controller.
        self.submission_budget = TokenBucket(
            limits.write_rps * 0.85, burst, limits.write_rps * 0.1, 0.05
        )
        #: The largest transaction: one that exceeds the burst would wait without end.
        self.max_writes = min(limits.txn_ops, int(burst))
        #: When the last served call was sent, and when a call last failed (monotonic clock, 0:
        #: never).
        self.last_served_us = 0
        self.last_failed_us = 0
        self.last_read = self.last_write = AnsweredCall()

    @property
    def is_available(self) -> bool:
        """Whether a call that was sent after the last failure has been served."""
        return self.last_served_us > self.last_failed_us

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_us: int,
        urgent: bool,
        writes: int = 0,
        is_watch: bool = False,
        submission_wait_us: int | None = None,
    ) -> tuple[int, bytes]:
        max_wait_us = submission_wait_us if urgent or submission_wait_us is not None else SECOND_US
        budget = self.write_budget if submission_wait_us is None else self.submission_budget
        if writes and not await budget.take(writes, urgent=urgent, max_wait_us=max_wait_us):
            raise RateLimitedError(f"state service: no budget for {writes} writes in time")
        if not await self.request_budget.take(urgent=urgent, max_wait_us=max_wait_us):
            budget.refund(writes)
            raise RateLimitedError("state service: no budget for a request in time")
        sent_us = now_us()
        try:
            status, answer = await self._http.call(method, self._base + path, body, timeout_us)
        except CallError:
            if not is_watch:
                self.last_failed_us = max(self.last_failed_us, now_us())
            raise
        if status in (http_status.TOO_MANY_REQUESTS, http_status.UNAVAILABLE):
            if status == http_status.UNAVAILABLE:
                self.last_failed_us = now_us()
            else:
                # Other controllers have used up the shared rate, so the tokens that this bucket has
                # accumulated are not available.
                (budget if writes else self.request_budget).back_off()
                raise RateLimitedError(f"state service: {method} {path} answered 429")
            raise RequestRefusedError(f"state service: {method} {path} answered {status}")
        if status not in _DEFINITE_STATUSES:
            raise CallError(f"state service: {method} {path} answered {status}")
        if not is_watch:
            self.last_served_us = max(self.last_served_us, sent_us)
        return status, answer

    async def get(
        self, key: str, *, urgent: bool = False, timeout_us: int = 800 * MILLISECOND_US
    ) -> KeyValue | None:
        """Read a key's value and version; None if the key does not exist."""
        status, body = await self._call("GET", f"/store/{key}", None, timeout_us, urgent)
        if status == http_status.NOT_FOUND:
            # Only an answer with the service's revision proves that the key is absent.
            self.last_read = self.last_read.next(decode(body, CommittedRevision).revision)
            return None
        if status != http_status.OK:
            raise CallError(f"state service: {status}")
        entry = decode(body, KeyValue)
        self.last_read = self.last_read.next(entry.version)
        return entry

    async def pages(self, prefix: str) -> AsyncIterator[tuple[list[KeyValue], int]]:
        """Read all keys with a prefix; yield each page with the first page's revision.

        Pages are read one after the other; a watch that starts at the first page's revision
        sees the changes between two pages. A page after the first that cannot be read is
        requested again: with many keys, a reader that started over never finished while the
        service was slow.
        """
        revision: int | None = None
        last_key = ""
        while True:
            path = f"/store?starts={prefix}&most=1000" + (f"&from={last_key}" if last_key else "")
            try:
                status, body = await self._call("GET", path, None, 3 * SECOND_US, True)
                if status != http_status.OK:
                    raise CallError(f"state service: {status}")
                page = decode(body, KeyValuePage)
            except CallError as error:
                if revision is None:
                    raise
                log.info("page of keys %s after %s not read, retrying: %s", prefix, last_key, error)
                await asyncio.sleep(PAGE_RETRY_DELAY_S)
                continue
            self.last_read = self.last_read.next(page.revision)
            if revision is None:
                revision = page.revision
            if page.more and not page.items:
                raise CallError(
                    f"state service: empty page of keys {prefix}, yet more pages follow"
                )
            yield page.items, revision
            if not page.more:
                return
            last_key = page.items[-1].key

    async def transact(
        self,
        conditions: list[Condition],
        writes: list[PutKey | DeleteKey],
        *,
        urgent: bool = False,
        timeout_us: int = 1500 * MILLISECOND_US,
        submission_wait_us: int | None = None,
    ) -> int:
        """Apply a transaction and return its revision.

        ``submission_wait_us`` is given for a submission and limits its wait for the rate limit.
        If it is None, the transaction is one of the leader's and waits at most a second, or
        without limit if it is urgent.

        RateLimitedError if that wait was too short or other controllers exceeded the rate;
        ConflictError if a condition failed; LeaseNotFoundError if a lease has ended;
        RequestRefusedError if the transaction was not executed; TransactionRejectedError if the
        service will never accept it; any other CallError if it may have been executed.
        """
        body = msgspec.json.encode(Transaction(conditions, writes))
        status, answer = await self._call(
            "POST",
            "/multi",
            body,
            timeout_us,
            urgent,
            writes=len(writes),
            submission_wait_us=submission_wait_us,
        )
        if status == http_status.OK:
            revision = decode(answer, CommittedRevision).revision
            self.last_write = self.last_write.next(revision)
            return revision
        if status == http_status.CONFLICT:
            raise ConflictError(answer.decode("utf-8", "replace"))
        if status == http_status.BAD_REQUEST and b"no such lease" in answer:
            raise LeaseNotFoundError
        if status == http_status.BAD_REQUEST:
            raise TransactionRejectedError(f"state service: 400 {answer[:200]!r}")
        raise CallError(f"state service: {status} {answer[:200]!r}")

    async def grant(self, ttl_us: int) -> int:
        """Create a lease and return its id; its time to live is rounded down to milliseconds."""
        body = msgspec.json.encode(LeaseRequest(ttl_us // MILLISECOND_US))
        status, answer = await self._call("POST", "/grants", body, CAMPAIGN_TIMEOUT_US, True)
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
        """End a lease; the service deletes the keys that are attached to it."""
        status, _ = await self._call("DELETE", f"/grants/{lease}", None, 800 * MILLISECOND_US, True)
        if status not in (http_status.OK, http_status.NOT_FOUND):
            raise CallError(f"state service: {status}")

    async def watch(self, prefix: str, revision: int, wait_us: int) -> KeyChanges:
        """Wait for changes after a revision; RevisionCompactedError if that is too old."""
        path = f"/changes?starts={prefix}&from={revision}&wait_ms={wait_us // MILLISECOND_US}"
        status, body = await self._call(
            "GET", path, None, wait_us + 2 * SECOND_US, True, is_watch=True
        )
        if status == http_status.GONE:
            raise RevisionCompactedError(prefix, revision)
        if status != http_status.OK:
            raise CallError(f"state service: {status}")
        changes = decode(body, KeyChanges)
        self.last_read = self.last_read.next(changes.revision)
        return changes
