"""A stand-in of the state service, as "Controller nodes -> state service" describes it.

Each controller has a listener of its own, so that a case can refuse one of them alone.
"""

import asyncio
import time
from bisect import bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from web import Answer, Listener

#: What becomes of a transaction's answer: "answer" or "lost" (carried out, then no answer).
Fate = Callable[[str, dict[str, Any]], str]


@dataclass
class Lease:
    ttl_s: float
    ends: float
    keys: set[str] = field(default_factory=set)


@dataclass
class Entry:
    value: Any
    mark: int
    permit: int | None


class Bucket:
    """A rate limit with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = self._level = rate
        self._at = time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class State:
    def __init__(self, limits: dict[str, float]) -> None:
        self._limits = limits
        self._requests = Bucket(limits["rps"])
        self._changes = Bucket(limits["write_rps"])
        self.ledger = 0
        self.keys: dict[str, Entry] = {}
        self._order: list[str] = []
        self._events: list[tuple[int, str, Any]] = []
        self._leases: dict[int, Lease] = {}
        self._last_permit = 0
        self._changed = asyncio.Event()
        self._listeners: dict[str, Listener] = {}
        self._sweeper: asyncio.Task[None] | None = None
        #: Everybody gets 503, and leases stand still.
        self.outage = False
        #: These controllers get 503.
        self.refused: set[str] = set()
        self.fate: Fate = lambda node, body: "answer"
        #: When each controller last had a lease extended: the one that does so leads.
        self.extended: dict[str, float] = {}
        #: When the leader's key was written, and by whom.
        self.leaders: list[tuple[float, str]] = []

    async def listen(self, node: str) -> str:
        async def handle(method: str, path: str, query: dict[str, str], body: Any) -> Answer | None:
            return await self._handle(node, method, path, query, body)

        self._listeners[node] = Listener(handle)
        if self._sweeper is None:
            self._sweeper = asyncio.create_task(self._sweep())
        return await self._listeners[node].start()

    async def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        for listener in self._listeners.values():
            await listener.close()

    def end_outage(self) -> None:
        self.outage = False
        for lease in self._leases.values():
            lease.ends = time.monotonic() + lease.ttl_s
        self._wake()

    def _serves(self, node: str) -> bool:
        return not self.outage and node not in self.refused

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for permit in [p for p, lease in self._leases.items() if lease.ends < now]:
                self._end_lease(permit)

    def _end_lease(self, permit: int) -> None:
        lease = self._leases.pop(permit)
        keys = [key for key in lease.keys if key in self.keys]
        if keys:
            self._apply([{"delete": key} for key in keys])

    # -- requests ----------------------------------------------------------------------------

    async def _handle(
        self, node: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer | None:
        if not self._serves(node):
            return 503, {"error": "trouble"}
        if not self._requests.take(1):
            return 429, {"error": "too many requests"}
        await asyncio.sleep(0.002)
        if method == "GET" and path.startswith("/store/"):
            return self._get(unquote(path.removeprefix("/store/")))
        if method == "GET" and path == "/store":
            return self._page(query)
        if method == "GET" and path == "/changes":
            return await self._watch(node, query)
        if method == "POST" and path == "/multi":
            return await self._multi(node, body)
        if path.startswith("/grants"):
            return self._grants(node, method, path, body)
        return 400, {"error": "no such call"}

    def _get(self, key: str) -> Answer:
        entry = self.keys.get(key)
        if entry is None:
            return 404, {"ledger": self.ledger}
        return 200, {"key": key, "value": entry.value, "mark": entry.mark, "permit": entry.permit}

    def _page(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("starts", ""), query.get("from", "")
        most = min(int(query.get("most", 1000)), 1000)
        start = bisect_right(self._order, after) if after else 0
        found = [key for key in self._order[start:] if key.startswith(prefix)]
        items = [
            {"key": key, "value": self.keys[key].value, "mark": self.keys[key].mark}
            for key in found[:most]
        ]
        return 200, {"items": items, "has_next": len(found) > most, "ledger": self.ledger}

    async def _watch(self, node: str, query: dict[str, str]) -> Answer:
        prefix, since = query.get("starts", ""), int(query["from"])
        ends = time.monotonic() + min(int(query.get("wait_ms", 0)), 60_000) / 1000
        while True:
            changed, left = self._changed, ends - time.monotonic()
            if self._serves(node):
                events = [
                    {"delete": key, "mark": mark}
                    if value is None
                    else {"set": key, "value": value, "mark": mark}
                    for mark, key, value in self._events
                    if mark > since and key.startswith(prefix)
                ]
                if events or left <= 0:
                    return 200, {"ledger": self.ledger, "events": events}
            try:
                await asyncio.wait_for(changed.wait(), left if left > 0 else 0.1)
            except TimeoutError:
                continue

    async def _multi(self, node: str, body: dict[str, Any]) -> Answer | None:
        writes = body.get("writes") or []
        if writes and not self._changes.take(len(writes)):
            return 429, {"error": "too many changes"}
        fate = self.fate(node, body)
        answer = self._transact(body.get("if") or [], writes)
        if fate == "lost":
            await asyncio.sleep(600)
        return answer

    def _transact(self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]]) -> Answer:
        if len(writes) > self._limits["txn_ops"] or len(conditions) > 4 * self._limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        for write in writes:
            if write.get("permit") is not None and write["permit"] not in self._leases:
                return 400, {"error": "no such lease"}
        failed = [
            condition["key"]
            for condition in conditions
            if (self.keys[condition["key"]].mark if condition["key"] in self.keys else 0)
            != condition["mark"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if writes:
            self._apply(writes)
            for write in writes:
                if write.get("set") == "leader":
                    self.leaders.append((time.monotonic(), write["value"]["name"]))
        return 200, {"ledger": self.ledger}

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self.ledger += 1
        for write in writes:
            key = write.get("set") or write["delete"]
            previous = self.keys.pop(key, None)
            if previous is not None:
                self._order.remove(key)
                if previous.permit in self._leases:
                    self._leases[previous.permit].keys.discard(key)
            if "set" in write:
                permit = write.get("permit")
                self.keys[key] = Entry(write["value"], self.ledger, permit)
                insort(self._order, key)
                if permit is not None:
                    self._leases[permit].keys.add(key)
                self._events.append((self.ledger, key, write["value"]))
            elif previous is not None:
                self._events.append((self.ledger, key, None))
        self._wake()

    def _grants(self, node: str, method: str, path: str, body: Any) -> Answer:
        now = time.monotonic()
        if method == "POST" and path == "/grants":
            self._last_permit += 1
            ttl_s = body["life_ms"] / 1000
            self._leases[self._last_permit] = Lease(ttl_s, now + ttl_s)
            return 200, {"permit": self._last_permit}
        permit = int(path.split("/")[2])
        lease = self._leases.get(permit)
        if lease is None:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(permit)
        else:
            lease.ends = now + lease.ttl_s
            self.extended[node] = now
        return 200, {"permit": permit}
