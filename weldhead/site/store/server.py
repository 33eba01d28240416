"""The state service's HTTP side: limits, watches, and what becomes of errors."""

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
from weldhead.site.http import Reply, error, integer, reply
from weldhead.site.records import RecordFile
from weldhead.site.store.model import Batch, Change, ConditionFailedError, Store, StoreError
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.token_bucket import TokenBucket

log = logging.getLogger(__name__)

#: Grants are looked through this often, so none ends more than 100 ms late.
SWEEP_US = 40 * MILLISECOND_US
#: The record is written anew when it has grown by so much over what it needs.
REWRITE_BYTES = 64 * 1024 * 1024

_batches = msgspec.json.Decoder(Batch)
_grants = msgspec.json.Decoder(LeaseRequest)


class StateService:
    """Answers PROTOCOL's calls from a store whose record is a file (or nowhere)."""

    def __init__(self, limits: StateLimits, record: Path | None = None) -> None:
        self._file: RecordFile[Change] | None = None
        self.store = Store(limits, self._record)
        if record is not None:
            self._file = RecordFile(record, Change)
            self.store.load(self._file.read(), now_us())
            self._file.rewrite(self.store.snapshot())
        self._rewritten = self._file.size if self._file else 0
        self._requests = TokenBucket(limits.rps, limits.rps)
        self._writes = TokenBucket(limits.write_rps, limits.write_rps)
        self._moved = asyncio.Event()
        #: Set while nothing is served, as in an outage.
        self.outage = False

    def _record(self, changes: object) -> None:
        if self._file is not None:
            self._file.append(changes)  # type: ignore[arg-type]

    def set_limits(self, limits: StateLimits) -> None:
        """Change the limits from now on; what is stored stays readable."""
        self.store.limits = limits
        self._requests = TokenBucket(limits.rps, limits.rps)
        self._writes = TokenBucket(limits.write_rps, limits.write_rps)

    def end_outage(self) -> None:
        """Serve again; every grant has its full time."""
        self.outage = False
        self.store.renew_all(now_us())

    def start(self, background_tasks: BackgroundTasks) -> None:
        """Start ending grants."""
        background_tasks.start("grants", self._sweep)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_US / SECOND_US)
            if not self.outage:
                self._expire()
            file = self._file
            if file is not None and file.size > 2 * self._rewritten + REWRITE_BYTES:
                file.rewrite(self.store.snapshot())
                self._rewritten = file.size

    def _expire(self) -> None:
        if self.store.expire(now_us()):
            self._wake()

    def _wake(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()

    async def handle(self, request: web.BaseRequest, body: bytes) -> Reply:
        """Answer one request."""
        if self.outage:
            return error(503, "trouble")
        if not self._requests.try_take(1, now_us()):
            return error(429, "too many requests")
        try:
            self._expire()
            return await self._route(request, body)
        except ConditionFailedError as failed:
            return reply(409, {"failed": failed.keys, "ledger": failed.revision})
        except StoreError as refused:
            return error(refused.status, str(refused))
        except (msgspec.DecodeError, ValueError) as malformed:
            return error(400, str(malformed))
        except OSError as full:
            # Nothing was applied: the record comes first.
            log.error("the state's record cannot be written: %s", full)
            return error(503, "cannot write")

    async def _route(self, request: web.BaseRequest, body: bytes) -> Reply:
        method, path, query = request.method, request.path, request.query
        if method == "GET" and path.startswith("/store/"):
            entry = self.store.get(unquote(path[len("/store/") :]))
            if entry is None:
                return reply(404, CommittedRevision(self.store.revision))
            return reply(200, entry)
        if (method, path) == ("GET", "/store"):
            return reply(200, self._page(request))
        if (method, path) == ("POST", "/multi"):
            return self._transact(body)
        if (method, path) == ("GET", "/changes"):
            wait_us = min(integer(query.get("wait_ms", "0")), 60_000) * MILLISECOND_US
            start = integer(query.get("from", "0"))
            return await self._watch(query.get("starts", ""), start, wait_us)
        if path == "/grants" or path.startswith("/grants/"):
            return self._grant(method, path, body)
        return error(404, "no such call")

    def _page(self, request: web.BaseRequest) -> KeyValuePage:
        query = request.query
        most = integer(query.get("most", "1000"))
        return self.store.page(query.get("starts", ""), query.get("from", ""), most)

    def _transact(self, body: bytes) -> Reply:
        batch = _batches.decode(body)
        if batch.writes and not self._writes.try_take(len(batch.writes), now_us()):
            return error(429, "too many changes")
        before = self.store.revision
        try:
            revision = self.store.commit(batch, now_us())
        finally:
            if self.store.revision != before:
                self._wake()
        return reply(200, CommittedRevision(revision))

    async def _watch(self, prefix: str, start: int, wait_us: int) -> Reply:
        end_us = now_us() + wait_us
        while True:
            moved = self._moved
            left_us = end_us - now_us()
            if not self.outage:
                events = self.store.changes(prefix, start)
                if events or left_us <= 0:
                    return reply(200, KeyChanges(self.store.revision, events))
            elif left_us <= 0:
                # Open watches stay open in an outage.
                left_us = SECOND_US // 10
            try:
                await asyncio.wait_for(moved.wait(), left_us / SECOND_US)
            except asyncio.TimeoutError:
                continue

    def _grant(self, method: str, path: str, body: bytes) -> Reply:
        if (method, path) == ("POST", "/grants"):
            return reply(200, GrantedLease(self.store.grant(_grants.decode(body).ttl_ms, now_us())))
        number, _, verb = path[len("/grants/") :].partition("/")
        lease = integer(number)
        if (method, verb) == ("POST", "extend"):
            self.store.extend(lease, now_us())
        elif (method, verb) == ("DELETE", ""):
            self.store.revoke(lease, now_us())
            self._wake()
        else:
            return error(404, "no such call")
        return reply(200, GrantedLease(lease))

    def close(self) -> None:
        """Let the record go."""
        if self._file is not None:
            self._file.close()
