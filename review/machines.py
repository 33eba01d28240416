"""Stand-ins of the cloud and of its machines' workers, as the protocol describes them."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from record import Record
from web import Answer, Client, Listener


@dataclass
class Slot:
    piece: str
    attempt: int
    status: str = "pulling"
    cause: str | None = None
    kept: bool | None = None
    timer: asyncio.Task[None] | None = None

    def listed(self) -> dict[str, Any]:
        found = {"piece": self.piece, "pass": self.attempt, "status": self.status}
        if self.cause is not None:
            found["cause"] = self.cause
        if self.kept is not None:
            found["kept"] = self.kept
        return found


class Ground:
    """What really runs where; it notices a task that runs on two machines."""

    def __init__(self, record: Record) -> None:
        self.record = record
        #: The submissions, by job.
        self.jobs: dict[str, dict[str, Any]] = {}
        #: How long each job's tasks really run, in seconds.
        self.run_s: dict[str, float] = {}
        self.results: set[str] = set()
        self.running: dict[str, str] = {}
        self.starts: list[tuple[float, str, int, str]] = []

    def begin(self, piece: str, attempt: int, machine: str) -> None:
        other = self.running.get(piece)
        if other is not None and other != machine:
            self.record.violation("ran_twice", f"{piece} starts on {machine}, is on {other}")
        self.running[piece] = machine
        self.starts.append((self.record.now, piece, attempt, machine))
        self.record.add("run", piece=piece, attempt=attempt, machine=machine)

    def end(self, piece: str, machine: str, cause: str) -> None:
        if self.running.get(piece) == machine:
            del self.running[piece]
        self.record.add("ended", piece=piece, machine=machine, cause=cause)


@dataclass
class Times:
    report_s: float
    lease_s: float
    cancel_s: float


@dataclass
class Worker:
    name: str
    kind: dict[str, Any]
    zone: str
    spot: bool
    times: Times
    ground: Ground
    #: The addresses of all controllers, by name.
    nodes: dict[str, str]
    client: Client
    shift: int = 1
    stamp: int = 0
    torch: int = 0
    slots: dict[tuple[str, int], Slot] = field(default_factory=dict)
    #: Answers and commands to this machine are lost.
    deaf: bool = False
    #: No report of this machine arrives.
    mute: bool = False

    async def start(self) -> None:
        self._changed = asyncio.Event()
        self._lease_from = time.monotonic()
        self._images: set[str] = set()
        self._node = random.choice(sorted(self.nodes))
        self._listener = Listener(self._handle)
        self.endpoint = await self._listener.start()
        self._tasks = [
            asyncio.create_task(self._report_forever()),
            asyncio.create_task(self._watch_lease()),
        ]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._drop_all("machine gone")
        await self._listener.close()

    def report(self) -> dict[str, Any]:
        self.stamp += 1
        return {
            "welder": self.name,
            "endpoint": self.endpoint,
            "frame": self.kind["label"],
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.shift,
            "stamp": self.stamp,
            "torch": self.torch,
            "recall_s": None,
            "pieces": [slot.listed() for slot in self.slots.values()],
        }

    # -- reports -----------------------------------------------------------------------------

    async def _report_forever(self) -> None:
        while True:
            self._changed.clear()
            wait_s = await self._report_once()
            if wait_s is None:
                period_s = self.times.report_s * random.uniform(0.75, 1.25)
                await asyncio.sleep(0.5)
                try:
                    await asyncio.wait_for(self._changed.wait(), max(0.01, period_s - 0.5))
                except TimeoutError:
                    continue
            else:
                await asyncio.sleep(wait_s)

    async def _report_once(self) -> float | None:
        """Send a report; return the wait before the next try, None after an answer."""
        sent, shift = time.monotonic(), self.shift
        body = self.report()
        if self.mute:
            await asyncio.sleep(4.0)
            return self._try_next()
        status, answer = await self.client.call(
            "POST", self.nodes[self._node], "/v1/report", body, 4.0
        )
        if self.deaf:
            await asyncio.sleep(max(0.0, sent + 4.0 - time.monotonic()))
            return self._try_next()
        if status == 200:
            if shift == self.shift and answer.get("torch", -1) >= self.torch:
                self._lease_from = max(self._lease_from, sent)
                self._accept_token(answer["torch"])
                self._execute(answer["orders"])
            return None
        foreman = answer.get("foreman") if status == 421 and answer else None
        if foreman in self.nodes and foreman != self._node:
            self._node = foreman
            return 0.1
        return self._try_next()

    def _try_next(self) -> float:
        names = sorted(self.nodes)
        self._node = names[(names.index(self._node) + 1) % len(names)]
        return 1.0

    def _accept_token(self, torch: int) -> None:
        if torch > self.torch:
            self.torch = torch
            self._changed.set()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if time.monotonic() - self._lease_from > self.times.lease_s:
                self.ground.record.add("lease over", machine=self.name)
                self._drop_all("lease over")
                self.shift += 1
                self._lease_from = time.monotonic()
                self._changed.set()

    def _drop_all(self, cause: str) -> None:
        for slot in list(self.slots.values()):
            self._end(slot, cause)
        self.slots.clear()

    # -- commands ----------------------------------------------------------------------------

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer | None:
        if self.deaf:
            await asyncio.sleep(30.0)
            return None
        if method == "GET" and path == "/status":
            return 200, self.report()
        if "torch" not in body or "shift" not in body:
            return 400, {"error": "torch or shift is missing"}
        if body["torch"] < self.torch:
            return 409, self.report()
        self._accept_token(body["torch"])
        if body["shift"] != self.shift:
            return 409, self.report()
        self._execute(body["orders"])
        return 200, self.report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = order["piece"], order["pass"]
            slot = self.slots.get(key)
            if order["order"] == "run" and slot is None:
                self._begin(*key)
            elif order["order"] == "kill" and slot is not None and slot.status != "ended":
                self._end(slot, "halted")
            elif order["order"] == "forget" and slot is not None and slot.status == "ended":
                del self.slots[key]

    def _begin(self, piece: str, attempt: int) -> None:
        job = self.ground.jobs.get(piece.rpartition("/")[0])
        slot = self.slots[piece, attempt] = Slot(piece, attempt)
        live = [s for s in self.slots.values() if s.status != "ended" and s is not slot]
        if job is None:
            self._end(slot, "unknown")
        elif any(other.piece == piece for other in live):
            self._end(slot, "busy")
        elif not self._has_room(job, live):
            self._end(slot, "no_room")
        else:
            slot.timer = asyncio.create_task(self._run(slot, job))
        self._changed.set()

    def _has_room(self, job: dict[str, Any], live: list[Slot]) -> bool:
        taken = [self.ground.jobs[slot.piece.rpartition("/")[0]] for slot in live]
        return all(
            sum(other[name] for other in taken) + job[name] <= self.kind[name] + 1e-6
            for name in ("cores", "cards", "ram_gb")
        )

    async def _run(self, slot: Slot, job: dict[str, Any]) -> None:
        if job["build"] not in self._images:
            await asyncio.sleep(job["pull_gb"] / self.kind["fetch_gb_per_s"])
            self._images.add(job["build"])
        slot.status = "running"
        self.ground.begin(slot.piece, slot.attempt, self.name)
        self._changed.set()
        if slot.piece not in self.ground.results:
            await asyncio.sleep(self.ground.run_s[job["uid"]])
        self.ground.results.add(slot.piece)
        slot.timer = None
        self._end(slot, "done")

    def _end(self, slot: Slot, cause: str) -> None:
        if slot.timer is not None:
            slot.timer.cancel()
            slot.timer = None
        if slot.status == "running":
            self.ground.end(slot.piece, self.name, cause)
        slot.status, slot.cause = "ended", cause
        if cause == "halted":
            slot.kept = False
        self._changed.set()


class Cloud:
    def __init__(
        self, kinds: list[dict[str, Any]], boot_s: float, times: Times, ground: Ground
    ) -> None:
        self._kinds, self._boot_s, self._times, self._ground = kinds, boot_s, times, ground
        self._hires: dict[str, list[str]] = {}
        self._listed: dict[str, dict[str, Any]] = {}
        self._count = 0
        self._boots: set[asyncio.Task[None]] = set()
        self.workers: dict[str, Worker] = {}
        self.nodes: dict[str, str] = {}
        #: How many machines of each kind, spot or ordinary, there are to rent.
        self.room = 8
        self._client = Client(keep_open=True)
        self._listener = Listener(self._handle)

    async def start(self) -> str:
        return await self._listener.start()

    async def close(self) -> None:
        for boot in self._boots:
            boot.cancel()
        for worker in self.workers.values():
            await worker.stop()
        await self._listener.close()
        await self._client.close()

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        await asyncio.sleep(0.05)
        if path == "/catalog":
            return 200, {"frames": self._kinds}
        if path == "/rentals/delete":
            await self._delete(body["welders"])
            return 200, {}
        if path == "/rentals" and method == "POST":
            return self._rent(body)
        if path == "/rentals":
            names = [name for name in self._listed if name > query.get("from", "")]
            most = min(int(query.get("most", 500)), 500)
            found = [self._describe(name) for name in names[:most]]
            return 200, {"welders": found, "has_next": len(names) > most}
        return 400, {"error": "no such call"}

    def _describe(self, name: str) -> dict[str, Any]:
        item = {k: v for k, v in self._listed[name].items() if k != "since"}
        worker = self.workers.get(name)
        item["status"] = "running" if worker else "starting"
        item["endpoint"] = worker.endpoint if worker else None
        item["age_s"] = round(time.monotonic() - self._listed[name]["since"], 1)
        return item

    def _rent(self, body: dict[str, Any]) -> Answer:
        if body["hire"] in self._hires:
            return 200, {"welders": self._hires[body["hire"]]}
        same_kind = [i for i in self._listed.values() if i["loaners"] == body["loaners"]]
        count = min(body["how_many"], self.room - len(same_kind))
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            name = f"vm-{self._count:06d}"
            self._count += 1
            names.append(name)
            self._listed[name] = {
                "uid": name,
                "frame": body["frame"],
                "yard": body["yard"],
                "loaners": body["loaners"],
                "since": time.monotonic(),
            }
            boot = asyncio.create_task(self._boot(name))
            self._boots.add(boot)
            boot.add_done_callback(self._boots.discard)
        self._hires[body["hire"]] = names
        self._ground.record.add("rented", machines=names)
        return 200, {"welders": names}

    async def _boot(self, name: str) -> None:
        await asyncio.sleep(self._boot_s)
        item = self._listed.get(name)
        if item is None:
            return
        kind = next(kind for kind in self._kinds if kind["label"] == item["frame"])
        worker = Worker(
            name, kind, item["yard"], item["loaners"], self._times, self._ground, self.nodes,
            self._client,
        )  # fmt: skip
        await worker.start()
        self.workers[name] = worker

    async def _delete(self, names: list[str]) -> None:
        for name in names:
            if self._listed.pop(name, None) is not None:
                self._ground.record.add("deleted", machine=name)
            worker = self.workers.pop(name, None)
            if worker is not None:
                await worker.stop()
