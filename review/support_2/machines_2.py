"""Stand-ins of the workers, as PROTOCOL-weldhead.md describes them; tasks are only waited for."""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from support_2.record_2 import Record
from support_2.web_2 import Answer, CallFailedError, Request, Server, call_raw, note_fault

LEAST_BETWEEN_REPORTS_S = 0.5
REPORT_TIMEOUT_S = 4.0
#: Of larger jobs only so many tasks are recorded, those with the lowest numbers.
MOST_RECORDED_TASKS = 20
#: What a task takes of its machine.
AMOUNTS = ("cores", "cards", "ram_gb")


@dataclass
class Job:
    """What the workers know of a job: its description, and how long its tasks really run."""

    spec: dict[str, Any]
    run_s: float


@dataclass
class World:
    """What all machines share."""

    record: Record
    facts: dict[str, Any]
    #: The controllers' addresses by name.
    nodes: dict[str, str]
    jobs: dict[str, Job] = field(default_factory=dict)
    #: Tasks that have completed.
    results: set[str] = field(default_factory=set)


@dataclass
class Task:
    piece: str
    number: int
    status: str = "pulling"
    cause: str | None = None
    kept: bool | None = None
    work: asyncio.Task[None] | None = None

    def listed(self) -> dict[str, Any]:
        entry: dict[str, Any] = {"piece": self.piece, "pass": self.number, "status": self.status}
        if self.cause is not None:
            entry["cause"] = self.cause
        if self.kept is not None:
            entry["kept"] = self.kept
        return entry


class Worker:
    """The worker of one machine. ``faulty``: every task that it starts fails."""

    def __init__(
        self, world: World, name: str, frame: dict[str, Any], yard: str, *, loaners: bool
    ) -> None:
        self.world, self.name, self.frame, self.yard = world, name, frame, yard
        self.loaners = loaners
        self.faulty = False
        self.session, self.stamp, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        #: The attempts that have not ended, by task, and what they take of the machine.
        self._live: dict[str, Task] = {}
        self._used = dict.fromkeys(AMOUNTS, 0.0)
        self._images: dict[str, asyncio.Event] = {}
        self._lease_from = time.monotonic()
        self._changed = asyncio.Event()
        self._token_told = 0.0
        self._duties: list[asyncio.Task[None]] = []
        self.server = Server(self._handle)
        self.up = False
        #: Called with the request's or answer's size in bytes and what it was.
        self.on_size: Callable[[int, str], None] = lambda size, what: None

    async def start(self) -> None:
        await self.server.start()
        self.up = True
        self._lease_from = time.monotonic()
        self.world.record.write(
            "machine up", name=self.name, frame=self.frame["label"], yard=self.yard,
            loaners=self.loaners, faulty=self.faulty,
        )  # fmt: skip
        self._duties = [
            asyncio.create_task(self._report_for_ever()),
            asyncio.create_task(self._watch_lease()),
        ]
        for duty in self._duties:
            duty.add_done_callback(note_fault)

    def stop(self) -> None:
        """Stop with all that is on the machine."""
        self.up = False
        for duty in self._duties:
            duty.cancel()
        self.server.stop()
        self._drop_tasks("the machine stopped")

    def _drop_tasks(self, why: str) -> None:
        for task in self.tasks.values():
            if task.work is not None:
                task.work.cancel()
            if task.status != "ended":
                self._tell("gone", task, why=why)
        self.tasks.clear()
        self._live.clear()
        self._used = dict.fromkeys(AMOUNTS, 0.0)

    def _tell(self, what: str, task: Task, **values: Any) -> None:
        if int(task.piece.rpartition("/")[2]) >= MOST_RECORDED_TASKS:
            return
        self.world.record.write(
            f"task {what}", task=task.piece, attempt=task.number, machine=self.name, **values
        )

    # Reports

    def _report(self) -> dict[str, Any]:
        self.stamp += 1
        return {
            "welder": self.name, "endpoint": self.server.address, "frame": self.frame["label"],
            "yard": self.yard, "loaners": self.loaners, "shift": self.session,
            "stamp": self.stamp, "torch": self.token, "recall_s": None,
            "pieces": [task.listed() for task in self.tasks.values()],
        }  # fmt: skip

    async def _report_for_ever(self) -> None:
        names = list(self.world.nodes)
        at = random.randrange(len(names))
        period = self.world.facts["workers"]["report_s"]
        # Before Python 3.12, ``wait_for`` may miss that its task is cancelled.
        while self.up:
            began = time.monotonic()
            self._changed.clear()
            status, value = await self._report_once(self.world.nodes[names[at]])
            told = value.get("foreman") if status == 421 and isinstance(value, dict) else None
            if status == 200:
                wait = began + period * random.uniform(0.75, 1.25) - time.monotonic()
                if wait > 0:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), wait)
            elif told in names and told != names[at]:
                at = names.index(told)
                await asyncio.sleep(random.uniform(0, 0.3))
            else:
                at = (at + 1) % len(names)
                await asyncio.sleep(1.0)
            await asyncio.sleep(max(0.0, began + LEAST_BETWEEN_REPORTS_S - time.monotonic()))

    async def _report_once(self, address: str) -> tuple[int, Any]:
        report, session, sent = self._report(), self.session, time.monotonic()
        size = len(json.dumps(report, separators=(",", ":")))
        self.on_size(size, "report")
        try:
            status, body, _ = await call_raw(
                address, "POST", "/v1/report", report, REPORT_TIMEOUT_S
            )
            value = json.loads(body)
        except (CallFailedError, ValueError):
            return 0, None
        if status == 200:
            self.on_size(max(map(len, body.split(b"\n"))), "answer")
            self._check_lease()
            if session == self.session and value.get("torch", -1) >= self.token:
                self._lease_from = max(self._lease_from, sent)
                self._accept(value["torch"])
                self._execute(value.get("orders") or [])
        elif status != 421:
            self.world.record.write(
                "report refused", machine=self.name, status=status, bytes=size, answer=value
            )
        return status, value

    def _accept(self, token: int) -> None:
        if token > self.token:
            self.token = token
            if time.monotonic() - self._token_told >= self.world.facts["workers"]["lease_s"] / 2:
                self._token_told = time.monotonic()
                self._changed.set()

    # The lease

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._check_lease()

    def _check_lease(self) -> None:
        if time.monotonic() - self._lease_from > self.world.facts["workers"]["lease_s"]:
            self.world.record.write(
                "lease over", machine=self.name, shift=self.session, tasks=len(self.tasks)
            )
            self._drop_tasks("the lease ran out")
            self.session += 1
            self._lease_from = time.monotonic()
            self._changed.set()

    # Commands

    async def _handle(self, request: Request) -> Answer:
        self._check_lease()
        if (request.method, request.path) == ("GET", "/status"):
            return 200, self._report()
        if (request.method, request.path) != ("POST", "/commands"):
            return 404, {}
        self.on_size(request.body_bytes, "commands")
        body = request.json()
        if "torch" not in body or "shift" not in body:
            return 400, {}
        if body["torch"] < self.token:
            return 409, self._report()
        self._accept(body["torch"])
        if body["shift"] != self.session:
            return 409, self._report()
        self._execute(body.get("orders") or [])
        return 200, self._report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        if not self.up:
            return
        for order in orders:
            key = (order["piece"], order["pass"])
            task = self.tasks.get(key)
            if order["order"] == "run" and task is None:
                self._run(*key)
            elif order["order"] == "kill" and task is not None:
                self._kill(task, order.get("cooldown_s") or 0.0)
            elif order["order"] == "forget" and task is not None and task.status == "ended":
                del self.tasks[key]

    def _run(self, piece: str, number: int) -> None:
        task = self.tasks[piece, number] = Task(piece, number)
        name, _, index = piece.rpartition("/")
        job = self.world.jobs.get(name)
        if job is None or int(index) >= job.spec["pieces"]:
            self._end(task, "unknown")
        elif piece in self._live:
            self._end(task, "busy")
        elif not self._has_room(job):
            self._end(task, "no_room")
        else:
            self._live[piece] = task
            self._take(job, 1)
            task.work = asyncio.create_task(self._work(task, job))
            task.work.add_done_callback(note_fault)
        self._changed.set()

    def _has_room(self, job: Job) -> bool:
        return all(
            self._used[amount] + job.spec[amount] <= self.frame[amount] + 1e-6 for amount in AMOUNTS
        )

    def _take(self, job: Job, sign: int) -> None:
        for amount in AMOUNTS:
            self._used[amount] += sign * job.spec[amount]

    async def _work(self, task: Task, job: Job) -> None:
        await self._fetch(job.spec["build"], job.spec["pull_gb"])
        task.status = "running"
        self._changed.set()
        self._tell("started", task)
        if self.faulty:
            await asyncio.sleep(0.2)
            self._end(task, "error")
            return
        if job.spec["shape"] == "standing":
            await asyncio.Event().wait()
        if task.piece not in self.world.results:
            await asyncio.sleep(job.run_s)
        self.world.results.add(task.piece)
        self._end(task, "done")

    async def _fetch(self, build: str, size_gb: float) -> None:
        event = self._images.get(build)
        if event is None:
            event = self._images[build] = asyncio.Event()
            asyncio.get_running_loop().call_later(size_gb / self.frame["fetch_gb_per_s"], event.set)
        await event.wait()

    def _kill(self, task: Task, grace_s: float) -> None:
        spec = self.world.jobs[task.piece.rpartition("/")[0]].spec if task.work else None
        if task.status == "ended":
            return
        if task.work is not None:
            task.work.cancel()
        saves = spec is not None and spec["tack_s"] > 0 and grace_s >= spec["weld_s"]
        if task.status == "running" and saves and spec is not None:
            task.status = "saving"
            task.work = asyncio.create_task(self._save(task, spec["weld_s"]))
            self._changed.set()
        else:
            self._end(task, "halted")

    async def _save(self, task: Task, save_s: float) -> None:
        await asyncio.sleep(save_s)
        task.kept = True
        self._end(task, "halted")

    def _end(self, task: Task, cause: str) -> None:
        task.status, task.cause = "ended", cause
        if self._live.get(task.piece) is task:
            del self._live[task.piece]
            self._take(self.world.jobs[task.piece.rpartition("/")[0]], -1)
        self._tell("ended", task, cause=cause)
        self._changed.set()
