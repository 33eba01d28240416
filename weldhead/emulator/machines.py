"""Simulated machines: the worker's own model, its tasks, and how they report.

A task's commands are timers; images are fetched once for all tasks that need them.
"""

import asyncio
import contextlib
import random

import msgspec

from weldhead.clock import SECOND_US, now_us
from weldhead.emulator.checker import Checker, TaskLocation
from weldhead.emulator.loop import ProcessInstance, VirtualLoop
from weldhead.emulator.network import Network
from weldhead.protocol.wire import (
    MAX_BODY_BYTES,
    DirectCommands,
    HeartbeatAnswer,
    JobSpec,
    LeaderRedirect,
    MachineType,
)
from weldhead.site.worker import (
    PROGRESS_SAVED_EXIT_CODE,
    Action,
    FetchDescription,
    JobDescription,
    KillAllTasks,
    MachineInfo,
    SendSignal,
    StartTask,
    StoreSession,
    Worker,
)
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response

ANSWER_US = 4 * SECOND_US
_encode = msgspec.json.Encoder().encode


class SimulatedMachine:
    """One machine with its worker."""

    def __init__(
        self,
        name: str,
        number: int,
        kind: MachineType,
        zone: str,
        spot: bool,
        loop: VirtualLoop,
        network: Network,
        checker: Checker,
        rng: random.Random,
        jobs: dict[str, JobSpec],
        nodes: dict[str, str],
        times_s: tuple[float, float],
        drift: float,
    ) -> None:
        self.name = name
        self.address = f"10.1.{number // 250}.{number % 250}:9000"
        self.kind, self.zone, self.spot = kind, zone, spot
        self._loop, self._network, self._checker, self._rng = loop, network, checker, rng
        self._jobs = jobs
        self._nodes = list(nodes.items())
        self._report_s, self._lease_s = times_s
        self._drift = drift
        self._at = rng.randrange(len(self._nodes))
        self._images: set[str] = set()
        self._running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._session = 1
        self._began_s: dict[str, float] = {}
        self.gone = False
        #: Every task that begins here fails; and whether that was ever so.
        self.sick = self.was_sick = False
        self.life = ProcessInstance(name)
        network.known(self.address, name)

    # -- its life --------------------------------------------------------------------------

    def boot(self) -> None:
        """Start the worker's process."""
        self.life = ProcessInstance(self.name, 1 + self._rng.uniform(0, self._drift))
        self._network.listen(self.life, self.address, self._serve)
        self._loop.spawn(self.life, self._run)

    def die(self) -> None:
        """Lose power: nothing answers any more, and all tasks are gone."""
        self.gone = True
        self._network.dark.add(self.name)
        self._stop("died")

    def fall_sick(self) -> None:
        """Fail every task that begins from now on."""
        self.sick = self.was_sick = True

    def end(self) -> None:
        """End the worker's process and its tasks."""
        self._stop("restarted")
        self._network.ended(self.life)

    def come_back(self) -> None:
        """Start the worker's process again, under a new session."""
        if not self.gone and self.life.ended:
            self._session = self.worker.session + 1
            self.boot()

    def _stop(self, why: str) -> None:
        if hasattr(self, "worker"):
            self._end_all(why)
        self._loop.end(self.life)

    @property
    def present(self) -> bool:
        """Whether its tasks may still go on."""
        if self.gone or self.life.ended or not hasattr(self, "worker"):
            return False
        # One that hangs past its lease ends its tasks before anything else.
        return self.life.context.run(now_us) <= self.worker.lease_end_us

    @property
    def reports_to(self) -> str:
        """The controller that its next report goes to."""
        return self._nodes[self._at][0]

    def tasks(self) -> list[str]:
        """Return the tasks that are on it, or wait for their image."""
        return [task for task, _ in self._running] if self.present else []

    async def _run(self) -> None:
        self._changed = asyncio.Event()
        place = MachineInfo(
            self.name, self.address, self.kind.name, self.zone, self.spot,
            self.kind.cpus, self.kind.gpus, self.kind.memory_gb,
        )  # fmt: skip
        lease_us = round(self._lease_s * SECOND_US)
        self.worker = Worker(place, lease_us, now_us(), self._session)
        watch = asyncio.create_task(self._watch())
        try:
            while True:
                sent_us = now_us()
                pause_s = await self._report(sent_us)
                if pause_s is None:
                    pause_s = self._report_s * self._rng.uniform(0.75, 1.25)
                    # Changes are told sooner, though not more often than every half second.
                    await asyncio.sleep(max(0.0, 0.5 - (now_us() - sent_us) / SECOND_US))
                    if not self.worker.has_unreported_changes:
                        self._changed.clear()
                        with contextlib.suppress(asyncio.TimeoutError):
                            await asyncio.wait_for(self._changed.wait(), pause_s - 0.5)
                else:
                    await asyncio.sleep(pause_s)
        finally:
            watch.cancel()

    async def _watch(self) -> None:
        while True:
            self._do(self.worker.collect_due_actions(now_us()))
            await asyncio.sleep(max(0.001, (self.worker.next_wake_us() - now_us()) / SECOND_US))

    async def _report(self, sent_us: int) -> float | None:
        """Report once; seconds until the next node is tried, None: all is well."""
        self._do(self.worker.collect_due_actions(sent_us))
        session = self.worker.session
        name, address = self._nodes[self._at]
        body = _encode(self.worker.build_report(sent_us))
        if self._is_too_long("report", body):
            return self._next()
        try:
            answer = await self._network.request(
                "POST", f"http://{address}/v1/report", body, ANSWER_US
            )
        except CallError:
            self._checker.counts["reports unanswered"] += 1
            return self._next()
        if answer.status == 200 and self._is_too_long("answer", answer.body):
            return self._next()
        if answer.status == 200:
            told = msgspec.json.decode(answer.body, type=HeartbeatAnswer)
            self._do(
                self.worker.handle_answer(session, sent_us, told.token, told.commands, now_us())
            )
            return None
        self._checker.counts[f"reports {answer.status}"] += 1
        if answer.status == 421:
            leader = msgspec.json.decode(answer.body, type=LeaderRedirect).leader
            names = [known for known, _ in self._nodes]
            if leader in names and leader != name:
                self._at = names.index(leader)
                return self._rng.uniform(0, 0.5)
        return self._next()

    def _is_too_long(self, what: str, body: bytes) -> bool:
        """Whether a body is longer than the protocol allows, which breaks a rule."""
        is_too_long = len(body) > MAX_BODY_BYTES
        if is_too_long:
            self._checker.breaks("too_long", f"{what} of {len(body)} bytes, {self.name}")
        return is_too_long

    def _next(self) -> float:
        self._at = (self._at + 1) % len(self._nodes)
        return 1.0

    async def _serve(self, method: str, path: str, body: bytes) -> Response:
        status = 200
        if self._is_too_long("request", body):
            return Response(400, b"{}")
        if path == "/commands":
            asked = msgspec.json.decode(body, type=DirectCommands)
            self._checker.counts["direct requests"] += 1
            good, actions = self.worker.handle_commands(
                asked.session, asked.token, asked.commands, now_us()
            )
            self._do(actions)
            status = 200 if good else 409
        return Response(status, _encode(self.worker.build_report(now_us())))

    # -- tasks -----------------------------------------------------------------------------

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case FetchDescription(task, attempt):
                    self._later(task, attempt, self._fetch(task, attempt))
                case StartTask(task, attempt, _):
                    site = TaskLocation(
                        self.name, self.kind, self.zone, self.spot, lambda: self.present
                    )
                    self._checker.started(task, attempt, site)
                    self._later(task, attempt, self._work(task, attempt))
                case SendSignal(task, attempt, hard):
                    self._signal(task, attempt, hard=hard)
                case KillAllTasks():
                    self._end_all("killed by a lease")
                case StoreSession():
                    pass
        if self.worker.has_unreported_changes:
            self._changed.set()

    def _later(self, task: str, attempt: int, background_task: object) -> None:
        previous = self._running.pop((task, attempt), None)
        if previous is not None and previous is not asyncio.current_task():
            previous.cancel()
        self._running[task, attempt] = asyncio.create_task(background_task)  # type: ignore[arg-type]

    async def _fetch(self, task: str, attempt: int) -> None:
        spec = self._jobs.get(task.rpartition("/")[0])
        if spec is not None and spec.image not in self._images:
            await asyncio.sleep(spec.image_gb / self.kind.fetch_gb_per_s)
            self._images.add(spec.image)
        else:
            await asyncio.sleep(0.01)
        work = None
        if spec is not None:
            work = JobDescription(
                (), spec.tasks, spec.cpus, spec.memory_gb, spec.gpus, spec.checkpoint_s, spec.save_s
            )
        job_id, _, index = task.rpartition("/")
        done = int(index) in self._checker.done[job_id]
        self._do(self.worker.handle_description(task, attempt, work, done))
        if done:
            self._changed.set()

    async def _work(self, task: str, attempt: int) -> None:
        spec = self._jobs[task.rpartition("/")[0]]
        if self.sick or spec.id in self._checker.broken_jobs:
            await asyncio.sleep(self._rng.uniform(0.05, 0.5))
            if (task, attempt) in self._running:
                self._exit(task, attempt, 1, "failed")
            return
        if spec.is_service:
            # A replica runs until it is stopped.
            await asyncio.get_running_loop().create_future()
        saved_s = self._checker.saved_s[task]
        lasts_s = spec.estimate_s * self._rng.uniform(0.5, 1.5)
        self._began_s[task] = self._loop.true_s
        await asyncio.sleep(max(lasts_s - saved_s, 0.1))
        # A machine that hung may be past its lease: that comes first.
        self._do(self.worker.collect_due_actions(now_us()))
        if (task, attempt) in self._running:
            self._exit(task, attempt, 0, "done")

    def _signal(self, task: str, attempt: int, *, hard: bool) -> None:
        self._checker.told_to_stop(task, self.name)
        slot = self.worker.slots.get((task, attempt))
        if slot is None or (task, attempt) not in self._running:
            return
        if not hard and slot.description is not None and slot.phase.value == "saving":
            self._later(task, attempt, self._save(task, attempt, slot.description.save_s))
        else:
            self._running.pop((task, attempt)).cancel()
            self._exit(task, attempt, None, "stopped")

    async def _save(self, task: str, attempt: int, save_s: float) -> None:
        ran_s = self._loop.true_s - self._began_s.get(task, self._loop.true_s)
        await asyncio.sleep(save_s)
        self._checker.saved_s[task] += ran_s  # type: ignore[assignment]
        self._exit(task, attempt, PROGRESS_SAVED_EXIT_CODE, "stopped")

    def _exit(self, task: str, attempt: int, code: int | None, why: str) -> None:
        self._running.pop((task, attempt), None)
        self._checker.left(task, self.name, why)
        self.worker.handle_exit(task, attempt, code)
        self._changed.set()

    def _end_all(self, why: str) -> None:
        for (task, _), running in list(self._running.items()):
            running.cancel()
            self._checker.left(task, self.name, why)
        self._running.clear()
