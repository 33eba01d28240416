"""The state service's HTTP interface: rate limits, long-polling watches and error answers."""

import asyncio
import logging
from pathlib import Path
from urllib.parse import unquote

import msgspec
from aiohttp import web

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us
from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import (
    CommittedRevision,
    GrantedLease,
    KeyChanges,
    KeyValuePage,
    LeaseRequest,
)
from weldhead.site.http import Reply, error, parse_count, reply
from weldhead.site.records import RecordFile
from weldhead.site.store.model import Batch, Change, ConditionFailedError, Store, StoreError
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.token_bucket import TokenBucket

log = logging.getLogger(__name__)

#: Expired leases are ended at this interval, so that none ends more than 100 ms late.
LEASE_SWEEP_INTERVAL_US = 40 * MILLISECOND_US
#: The record file is rewritten as a snapshot once it is larger than twice its size after
#: the last rewrite plus this many bytes.
MIN_GROWTH_FOR_REWRITE_BYTES = 64 * 1024 * 1024

_batch_decoder = msgspec.json.Decoder(Batch)
_lease_request_decoder = msgspec.json.Decoder(LeaseRequest)


class StateService:
    """Answers the state service's HTTP requests from a store.

    ``record_path`` is the file that the store's changes are persisted to; without it they are
    kept in memory only.
    """

    def __init__(self, limits: StateLimits, record_path: Path | None = None) -> None:
        self._record_file: RecordFile[Change] | None = None
        self.store = Store(limits, self._append_to_record_file)
        if record_path is not None:
            self._record_file = RecordFile(record_path, Change)
            self.store.load(self._record_file.read(), now_us())
            self._record_file.rewrite(self.store.snapshot())
        self._size_after_rewrite = self._record_file.size if self._record_file else 0
        self._request_bucket = TokenBucket(limits.rps, limits.rps)
        self._write_bucket = TokenBucket(limits.write_rps, limits.write_rps)
        self._changed = asyncio.Event()
        #: While true, requests are answered with 503 and no lease expires, as in an outage.
        self.outage = False

    def _append_to_record_file(self, changes: object) -> None:
        if self._record_file is not None:
            self._record_file.append(changes)  # type: ignore[arg-type]

    def set_limits(self, limits: StateLimits) -> None:
        """Replace the limits; values stored under the old limits stay readable."""
        self.store.limits = limits
        self._request_bucket = TokenBucket(limits.rps, limits.rps)
        self._write_bucket = TokenBucket(limits.write_rps, limits.write_rps)

    def end_outage(self) -> None:
        """Serve requests again; every lease gets its full time to live."""
        self.outage = False
        self.store.renew_all_leases(now_us())

    def start(self, background_tasks: BackgroundTasks) -> None:
        """Start the background task that ends expired leases."""
        background_tasks.start("grants", self._expire_leases_periodically)

    async def _expire_leases_periodically(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_INTERVAL_US / SECOND_US)
            if not self.outage:
                self._expire_leases()
            record_file = self._record_file
            if (
                record_file is not None
                and record_file.size > 2 * self._size_after_rewrite + MIN_GROWTH_FOR_REWRITE_BYTES
            ):
                record_file.rewrite(self.store.snapshot())
                self._size_after_rewrite = record_file.size

    def _expire_leases(self) -> None:
        if self.store.expire(now_us()):
            self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest, body: bytes) -> Reply:
        """Answer one HTTP request."""
        if self.outage:
            return error(503, "trouble")
        if not self._request_bucket.try_take(1, now_us()):
            return error(429, "too many requests")
        try:
            self._expire_leases()
            return await self._route(request, body)
        except ConditionFailedError as failed:
            return reply(409, {"failed": failed.keys, "ledger": failed.revision})
        except StoreError as refused:
            return error(refused.status, str(refused))
        except (msgspec.DecodeError, ValueError) as malformed:
            return error(400, str(malformed))
        except OSError as failure:
            # The store applied nothing, because it persists changes before it applies them.
            log.error("cannot write the state service's record file: %s", failure)
            return error(503, "cannot write")

    async def _route(self, request: web.BaseRequest, body: bytes) -> Reply:
        method, path, query = request.method, request.path, request.query
        if method == "GET" and path.startswith("/store/"):
            entry = self.store.get(unquote(path[len("/store/") :]))
            if entry is None:
                return reply(404, CommittedRevision(self.store.revision))
            return reply(200, entry)
        if (method, path) == ("GET", "/store"):
            return reply(200, self._read_page(request))
        if (method, path) == ("POST", "/multi"):
            return self._commit_transaction(body)
        if (method, path) == ("GET", "/changes"):
            wait_us = min(parse_count(query.get("wait_ms", "0")), 60_000) * MILLISECOND_US
            since_revision = parse_count(query.get("from", "0"))
            return await self._watch(query.get("starts", ""), since_revision, wait_us)
        if path == "/grants" or path.startswith("/grants/"):
            return self._handle_lease_request(method, path, body)
        return error(404, "no such call")

    def _read_page(self, request: web.BaseRequest) -> KeyValuePage:
        query = request.query
        limit = parse_count(query.get("most", "1000"))
        return self.store.page(query.get("starts", ""), query.get("from", ""), limit)

    def _commit_transaction(self, body: bytes) -> Reply:
        batch = _batch_decoder.decode(body)
        if batch.writes and not self._write_bucket.try_take(len(batch.writes), now_us()):
            return error(429, "too many changes")
        previous_revision = self.store.revision
        try:
            revision = self.store.commit(batch, now_us())
        finally:
            if self.store.revision != previous_revision:
                self._wake_watches()
        return reply(200, CommittedRevision(revision))

    async def _watch(self, prefix: str, since_revision: int, wait_us: int) -> Reply:
        deadline_us = now_us() + wait_us
        while True:
            changed = self._changed
            remaining_us = deadline_us - now_us()
            if not self.outage:
                events = self.store.changes(prefix, since_revision)
                if events or remaining_us <= 0:
                    return reply(200, KeyChanges(self.store.revision, events))
            elif remaining_us <= 0:
                # Watches stay open during an outage, so a watch past its deadline polls on.
                remaining_us = SECOND_US // 10
            try:
                await asyncio.wait_for(changed.wait(), remaining_us / SECOND_US)
            except asyncio.TimeoutError:
                continue

    def _handle_lease_request(self, method: str, path: str, body: bytes) -> Reply:
        if (method, path) == ("POST", "/grants"):
            return reply(
                200,
                GrantedLease(
                    self.store.grant(_lease_request_decoder.decode(body).ttl_ms, now_us())
                ),
            )
        lease_text, _, verb = path[len("/grants/") :].partition("/")
        lease = parse_count(lease_text)
        if (method, verb) == ("POST", "extend"):
            self.store.extend(lease, now_us())
        elif (method, verb) == ("DELETE", ""):
            self.store.revoke(lease, now_us())
            self._wake_watches()
        else:
            return error(404, "no such call")
        return reply(200, GrantedLease(lease))

    def close(self) -> None:
        """Close the record file."""
        if self._record_file is not None:
            self._record_file.close()
