"""A stand-in of the cloud, as PROTOCOL-weldhead.md describes it; its machines are in-process."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from support_2.machines_2 import Worker, World
from support_2.store_2 import Bucket
from support_2.web_2 import Answer, Request, Server


class Cloud:
    """Rents machines. ``prepare`` may change a machine before it boots."""

    def __init__(self, world: World, frames: list[dict[str, Any]], boot_s: float) -> None:
        self._world, self._frames, self._boot_s = world, frames, boot_s
        self._limit = Bucket(world.facts["cloud"]["rps"], 2.0)
        self._hires: dict[str, list[str]] = {}
        self.workers: dict[str, Worker] = {}
        self._rented: dict[str, float] = {}
        self._up: dict[str, float] = {}
        #: When a machine stopped by itself, or was deleted.
        self._failed: dict[str, float] = {}
        self._gone: dict[str, float] = {}
        self._boots: list[asyncio.Task[None]] = []
        self.prepare: Callable[[Worker], None] = lambda worker: None
        self.server = Server(self.handle)

    async def handle(self, request: Request) -> Answer:
        if not self._limit.take(1):
            return 429, {"error": "too many"}
        await asyncio.sleep(0.1)
        route = (request.method, request.path)
        if route == ("GET", "/catalog"):
            return 200, {"frames": self._frames}
        if route == ("POST", "/rentals"):
            return self._rent(request.json())
        if route == ("POST", "/rentals/delete"):
            return self._delete(request.json()["welders"])
        if route == ("GET", "/rentals"):
            return 200, self._list(request.query)
        return 404, {}

    def _rent(self, order: dict[str, Any]) -> Answer:
        names = self._hires.get(order["hire"])
        if names is None:
            frame = next((f for f in self._frames if f["label"] == order["frame"]), None)
            if (
                frame is None
                or order["yard"] not in frame["yards"]
                or not 0 < order["how_many"] < 51
            ):
                return 400, {"error": "malformed"}
            names = [f"vm-{len(self.workers) + n + 1:06}" for n in range(order["how_many"])]
            self._hires[order["hire"]] = names
            for name in names:
                worker = Worker(self._world, name, frame, order["yard"], loaners=order["loaners"])
                self.workers[name] = worker
                self._rented[name] = time.monotonic()
                self.prepare(worker)
                self._boots.append(asyncio.create_task(self._boot(worker)))
        self._world.record.write("cloud rents", **order, welders=names)
        return 200, {"welders": names}

    async def _boot(self, worker: Worker) -> None:
        await asyncio.sleep(self._boot_s)
        if worker.name not in self._gone:
            await worker.start()
            self._up[worker.name] = time.monotonic()

    def _delete(self, names: list[str]) -> Answer:
        for name in names:
            if name in self.workers and name not in self._gone:
                self._world.record.write("cloud deletes", name=name)
                self._gone[name] = time.monotonic()
                self.workers[name].stop()
        return 200, {}

    def stop_machine(self, name: str) -> None:
        """A machine stops by itself, with all that is on it."""
        self._world.record.write("TROUBLE: a machine stops", name=name)
        self._failed[name] = time.monotonic()
        self.workers[name].stop()

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        then = time.monotonic() - self._world.facts["cloud"]["list_lag_s"]
        names = [
            name
            for name in self.workers
            if name > query.get("from", "")
            and self._rented[name] <= then
            and self._gone.get(name, then + 1) > then
        ]
        most = min(int(query.get("most", "500")), 500)
        return {
            "welders": [self._entry(name, then) for name in names[:most]],
            "has_next": len(names) > most,
        }

    def _entry(self, name: str, then: float) -> dict[str, Any]:
        worker = self.workers[name]
        status = "running" if self._up.get(name, then + 1) <= then else "starting"
        # A machine that dies is listed as running for about 30 s more.
        if name in self._failed and self._failed[name] + 30 <= then:
            status = "failed"
        return {
            "uid": name, "endpoint": worker.server.address or None,
            "frame": worker.frame["label"], "yard": worker.yard, "loaners": worker.loaners,
            "status": status, "age_s": round(then - self._rented[name], 3),
        }  # fmt: skip

    def close(self) -> None:
        for boot in self._boots:
            boot.cancel()
        for worker in self.workers.values():
            worker.stop()
        self.server.stop()
