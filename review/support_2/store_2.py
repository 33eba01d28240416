"""A stand-in of the state service, as PROTOCOL-weldhead.md describes it, in memory."""

import asyncio
import json
import time
from typing import Any

from support_2.web_2 import Answer, Request, Server

MOST_KEPT_CHANGES = 10_000


class Bucket:
    """A rate limit that allows a burst."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self._rate, self._burst = rate, rate * burst_s
        self._tokens, self._at = self._burst, time.monotonic()

    def take(self, count: float) -> bool:
        now = time.monotonic()
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class Refused(Exception):  # noqa: N818
    def __init__(self, status: int, value: Any) -> None:
        super().__init__(status)
        self.answer: Answer = (status, value)


class Store:
    """Keys, leases and watches. ``out`` refuses all requests, as an outage does."""

    def __init__(self, limits: dict[str, float]) -> None:
        self._limits = limits
        self._requests = Bucket(limits["rps"])
        self._changes_rate = Bucket(limits["write_rps"])
        self.ledger = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self.out = False
        self.server = Server(self.handle)

    async def run(self) -> None:
        """End leases that were not renewed."""
        while True:
            await asyncio.sleep(0.02)
            if self.out:
                continue
            now = time.monotonic()
            for lease, (ends, _) in list(self._leases.items()):
                if ends < now:
                    self._end(lease)

    def end_outage(self) -> None:
        now = time.monotonic()
        self._leases = {lease: (now + life, life) for lease, (_, life) in self._leases.items()}
        self.out = False

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        self._apply([{"delete": key} for key, entry in self.keys.items() if entry[2] == lease])

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        writes = [w for w in writes if "set" in w or w["delete"] in self.keys]
        if not writes:
            return
        self.ledger += 1
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["value"], self.ledger, write.get("permit"))
                event = {"set": write["set"], "value": write["value"], "mark": self.ledger}
            else:
                self.keys.pop(write["delete"], None)
                event = {"delete": write["delete"], "mark": self.ledger}
            self._events.append(event)
        del self._events[:-MOST_KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request) -> Answer:
        await asyncio.sleep(0.004)
        try:
            if self.out:
                raise Refused(503, {"error": "trouble"})
            if not self._requests.take(1):
                raise Refused(429, {"error": "too many requests"})
            return await self._route(request)
        except Refused as refused:
            return refused.answer
        except (KeyError, TypeError, ValueError) as error:
            return 400, {"error": repr(error)}

    async def _route(self, request: Request) -> Answer:
        method, path = request.method, request.path
        if method == "GET" and path.startswith("/store/"):
            return self._get(path.removeprefix("/store/"))
        if (method, path) == ("GET", "/store"):
            return self._page(request.query)
        if (method, path) == ("POST", "/multi"):
            return self._multi(request.json())
        if (method, path) == ("GET", "/changes"):
            return await self._watch(request.query)
        if path.startswith("/grants"):
            return self._grant(method, path, request.json())
        return 404, {"error": "no such call"}

    def _get(self, key: str) -> Answer:
        if key not in self.keys:
            return 404, {"ledger": self.ledger}
        value, mark, lease = self.keys[key]
        answer = {"key": key, "value": value, "mark": mark}
        return 200, answer | ({"permit": lease} if lease is not None else {})

    def _page(self, query: dict[str, str]) -> Answer:
        after, most = query.get("from", ""), min(int(query.get("most", "1000")), 1000)
        names = sorted(k for k in self.keys if k.startswith(query["starts"]) and k > after)
        items: list[dict[str, Any]] = []
        size = 0
        for name in names[:most]:
            item = {"key": name, "value": self.keys[name][0], "mark": self.keys[name][1]}
            size += len(json.dumps(item)) + 1
            if items and size > 512 * 1024:
                break
            items.append(item)
        return 200, {"items": items, "has_next": len(items) < len(names), "ledger": self.ledger}

    def _multi(self, batch: dict[str, Any]) -> Answer:
        conditions, writes = batch.get("if") or [], batch.get("writes") or []
        if writes and not self._changes_rate.take(len(writes)):
            raise Refused(429, {"error": "too many changes"})
        if len(writes) > self._limits["txn_ops"] or len(conditions) > 4 * self._limits["txn_ops"]:
            raise Refused(400, {"error": "too large"})
        for write in writes:
            if "set" not in write:
                continue
            if len(json.dumps(write["value"])) > self._limits["value_kb"] * 1024:
                raise Refused(400, {"error": "value too large"})
            if write.get("permit") is not None and write["permit"] not in self._leases:
                raise Refused(400, {"error": "no such lease"})
        failed = [
            condition["key"]
            for condition in conditions
            if self.keys.get(condition["key"], (None, 0, None))[1] != condition["mark"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        self._apply(writes)
        return 200, {"ledger": self.ledger}

    async def _watch(self, query: dict[str, str]) -> Answer:
        since, ends = int(query["from"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if len(self._events) == MOST_KEPT_CHANGES and since < self._events[0]["mark"]:
                return 410, {"error": "too old"}
            prefix, changed = query["starts"], self._changed
            events = [
                event
                for event in self._events
                if event["mark"] > since
                and (event.get("set") or event.get("delete") or "").startswith(prefix)
            ]
            left = ends - time.monotonic()
            if not self.out and (events or left <= 0):
                return 200, {"ledger": self.ledger, "events": events}
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.1))
            except asyncio.TimeoutError:
                continue

    def _grant(self, method: str, path: str, body: Any) -> Answer:
        if (method, path) == ("POST", "/grants"):
            self._last_lease += 1
            life = body["life_ms"] / 1000
            self._leases[self._last_lease] = (time.monotonic() + life, life)
            return 200, {"permit": self._last_lease}
        number, _, verb = path.removeprefix("/grants/").partition("/")
        lease = int(number)
        if lease not in self._leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(lease)
        elif verb == "extend":
            life = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + life, life)
        return 200, {"permit": lease}
