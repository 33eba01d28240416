"""Leaders in a row, workers, and a network that holds, copies and reorders what they say.

Leaders, their dispatchers, books and the workers are the code that runs; the network, the cloud
and time are the test's. Every lease is as long as the leaders think it is.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import cast

import msgspec

from tests.support.builders import job_spec
from tests.support.leaders import Clock, leader_of, put_job, put_machine
from tests.support.stand_ins import StandInState
from weldhead.cluster_state.records import decode_progress, progress_key
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.cluster_state.states import StopRequest, TaskState
from weldhead.controller.leadership.leader import Leader
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import Command, DirectCommands, Heartbeat, split_task_name
from weldhead.site.worker import (
    Action,
    FetchDescription,
    JobDescription,
    MachineInfo,
    SendSignal,
    SlotPhase,
    StartTask,
    Worker,
)
from weldhead.transport.http_client import CallError, HttpClient, NotConnectedError

S = 1_000_000
JOB = "run-000001"
TASKS = 40
LIMIT = 6
#: For so long a leader that was replaced may not know it.
UNAWARE_US = 3 * S
#: A worker drops what comes later.
ANSWER_US = 4 * S


@dataclass
class Request:
    """A direct request; whoever sent it may have given it up, and it may arrive all the same."""

    host: str
    sent: DirectCommands
    answer: asyncio.Future[tuple[int, bytes]]
    arrived: bool = False
    reply: tuple[int, bytes] | None = None


@dataclass
class Wire:
    """Takes the place of the connections to workers."""

    requests: list[Request] = field(default_factory=list)

    async def call(
        self, method: str, url: str, body: bytes, timeout_us: int, **more: object
    ) -> tuple[int, bytes]:
        host = url.removeprefix("http://").partition(":")[0]
        answer: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        request = Request(host, msgspec.json.decode(body, type=DirectCommands), answer)
        self.requests.append(request)
        return await answer


async def settle() -> None:
    """Let everything run that waits for nothing outside."""
    for _ in range(15):
        await asyncio.sleep(0)


@dataclass
class Sent:
    """A report on its way; it may arrive more than once."""

    host: str
    report: Heartbeat
    at_us: int


class Network:
    """The world of one history."""

    def __init__(self, clock: Clock, hosts: int = 3) -> None:
        self.clock = clock
        self.state = StandInState()
        put_job(self.state, job_spec(1, tasks=TASKS, cpus=1.0, memory_gb=1.0))
        self.wire = Wire()
        self.hosts: dict[str, Worker] = {}
        for number in range(hosts):
            name = f"vm-{number:06}"
            put_machine(self.state, name)
            place = MachineInfo(name, f"{name}:1", "m4", "a", False, 4.0, 0.0, 16.0)
            self.hosts[name] = Worker(place, 14 * S, clock())
        self.reports: list[Sent] = []
        self.flights: dict[str, Sent] = {}
        self.starts: list[tuple[str, int]] = []
        #: Completed, and completed ones that their worker was told to forget.
        self.done: set[str] = set()
        self.forgotten: set[str] = set()
        self.leader: Leader
        self.before: Leader | None = None
        self._before_over_us = 0
        self._ledgers: dict[int, asyncio.Task[None]] = {}

    # -- leaders -------------------------------------------------------------------------------

    async def take_over(self, first: int | None = None) -> None:
        """Begin a term; the leader before goes on for a while. ``first``: a report comes early."""
        if self.before is not None:
            await self._end(self.before)
        self.before = getattr(self, "leader", None)
        over_us = self.clock() + (UNAWARE_US if self.before is not None else 0)
        self._before_over_us = over_us
        leader = self.leader = leader_of(self.state, self.clock(), over_us)
        leader.term.worker_http = cast(HttpClient, self.wire)
        self._ledgers[leader.token] = asyncio.create_task(self._write(leader))
        if first is not None:
            self.arrive(first, relayed=False)
        await leader.recovery.load()
        leader.cluster.teams["red"] = Team("red", 0, LIMIT)
        leader._check_known()
        await settle()

    async def _write(self, leader: Leader) -> None:
        with contextlib.suppress(LeadershipLostError):
            await leader.state_writer.run()

    async def _end(self, leader: Leader) -> None:
        await leader.close()
        await self._ledgers.pop(leader.token)

    async def close(self) -> None:
        """End everything."""
        for leader in (self.before, self.leader):
            if leader is not None:
                await self._end(leader)

    async def look(self) -> None:
        """Let time have its effect on workers and leaders."""
        for worker in self.hosts.values():
            self._do(worker, worker.collect_due_actions(self.clock()))
        if self.before is not None and self.clock() >= self._before_over_us:
            await self._end(self.before)
            self.before = None
        # This one holds the key; the one before can prove nothing any more.
        self.leader.term.state_writer.leadership_verified_us = self.clock()
        for leader in filter(None, (self.before, self.leader)):
            watch = leader.machine_monitor
            doomed = watch.expire_leases_and_find_lost(
                self.clock(), leader.term.leadership_verified_us
            )
            doomed += watch.machines_with_overdue_stops(self.clock())
            leader.rental_manager.return_machines({m.name: m for m in doomed if not m.deleting})
            leader._check_known()
        await settle()

    async def place(self, leader: Leader | None) -> None:
        """Make a placement pass."""
        if leader is not None:
            leader.term.ready = leader.recovery.all_known.is_set()
            leader.scheduling_loop.place()
            await settle()

    async def stop(self, number: int, stop: StopRequest) -> None:
        """Ask one of the attempts that the leader counts to stop."""
        active = list(self.leader.cluster.jobs[JOB].active.values())
        if active:
            attempt = active[number % len(active)]
            self.leader.scheduling_loop.stop(attempt, stop, self.clock(), "room")
            await settle()

    async def save(self) -> None:
        """Commit what has been completed."""
        job = self.leader.cluster.jobs[JOB]
        if job.uncommitted_chunks and not job.finishing:
            self.leader.term.background_tasks.spawn(
                "save", self.leader.completions._save_progress(job)
            )
            await settle()

    async def delete(self) -> None:
        """The cloud carries out what the leader has asked it to return, and answers."""
        doomed = list(self.leader.rental_manager.returner.to_delete.values())
        for machine in doomed:
            worker = self.hosts.pop(machine.name, None)
            if worker is not None:
                worker.slots.clear()
        if doomed:
            self.leader.rental_manager.returner.record_deletion(doomed)
            await settle()

    # -- workers -------------------------------------------------------------------------------

    def _do(self, worker: Worker, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case FetchDescription(task, attempt):
                    work = JobDescription((), TASKS, 1.0, 1.0)
                    found = worker.handle_description(task, attempt, work, task in self.done)
                    self._do(worker, found)
                case StartTask(task, attempt, _):
                    self.starts.append((task, attempt))
                case SendSignal(task, attempt, _):
                    worker.handle_exit(task, attempt, None)

    def _execute(self, worker: Worker, commands: list[Command], actions: list[Action]) -> None:
        self._do(worker, actions)
        for command in commands:
            key = (command.task, command.attempt)
            if command.op == "forget" and key not in worker.slots and command.task in self.done:
                self.forgotten.add(command.task)

    def exit(self, number: int) -> None:
        """A task completes."""
        running = [
            (worker, slot)
            for worker in self.hosts.values()
            for slot in worker.slots.values()
            if slot.phase is SlotPhase.RUNNING
        ]
        if running:
            worker, slot = running[number % len(running)]
            worker.handle_exit(slot.task, slot.attempt, 0)
            self.done.add(slot.task)

    def speak(self, number: int) -> int | None:
        """A worker sends a report, unless one is under way; return which it is."""
        if not self.hosts:
            return None
        name = list(self.hosts)[number % len(self.hosts)]
        flight = self.flights.get(name)
        if flight is not None and self.clock() - flight.at_us <= ANSWER_US:
            return None
        sent = Sent(name, self.hosts[name].build_report(self.clock()), self.clock())
        self.reports.append(sent)
        self.flights[name] = sent
        return len(self.reports) - 1

    def round(self, *, heard: bool) -> None:
        """All workers report to the leader; ``heard``: they hear the answer."""
        for number in range(len(self.hosts)):
            sent = self.speak(number)
            if sent is not None:
                self.arrive(sent, relayed=False, lost=not heard)

    # -- the network ---------------------------------------------------------------------------

    def arrive(self, number: int, *, relayed: bool, old: bool = False, lost: bool = False) -> None:
        """A report arrives, for the first time or not; ``old``: at the leader before."""
        leader = self.before if old else self.leader
        if not self.reports or leader is None:
            return
        sent = self.reports[number % len(self.reports)]
        answer = leader.handle_heartbeat(sent.report, self.clock(), relayed=relayed)
        worker = self.hosts.get(sent.host)
        if answer is None or worker is None or self.flights.get(sent.host) is not sent:
            return
        if lost or self.clock() - sent.at_us > ANSWER_US:
            return
        del self.flights[sent.host]
        actions = worker.handle_answer(
            sent.report.session, sent.at_us, answer.token, answer.commands, self.clock()
        )
        self._execute(worker, answer.commands, actions)

    async def request(self, number: int, fate: str) -> None:
        """Something becomes of a direct request: it arrives, is answered, given up or refused."""
        if not self.wire.requests:
            return
        request = self.wire.requests[number % len(self.wire.requests)]
        worker = self.hosts.get(request.host)
        waits = not request.answer.done()
        match fate:
            case "arrive" if worker is not None and not request.arrived:
                request.arrived = True
                sent = request.sent
                good, actions = worker.handle_commands(
                    sent.session, sent.token, sent.commands, self.clock()
                )
                self._execute(worker, sent.commands if good else [], actions)
                body = msgspec.json.encode(worker.build_report(self.clock()))
                request.reply = (200 if good else 409), body
            case "again" if worker is not None and request.reply is not None:
                # A copy of a request that was carried out; its answer is for nobody.
                sent = request.sent
                good, actions = worker.handle_commands(
                    sent.session, sent.token, sent.commands, self.clock()
                )
                self._execute(worker, sent.commands if good else [], actions)
                worker.build_report(self.clock())
            case "answer" if waits and request.reply is not None:
                request.answer.set_result(request.reply)
            case "fail" if waits:
                request.answer.set_exception(CallError("no answer in time"))
            case "refuse" if waits and not request.arrived:
                request.arrived = True
                request.answer.set_exception(NotConnectedError("refused"))
        await settle()

    async def calm(self) -> None:
        """Everything under way arrives, and everybody is heard, for a while."""
        for number in range(len(self.wire.requests)):
            for fate in ("arrive", "answer"):
                await self.request(number, fate)
        for _ in range(6):
            self.clock.us += ANSWER_US + S
            await self.look()
            self.round(heard=True)
            await settle()
            for number in range(len(self.wire.requests)):
                for fate in ("arrive", "answer"):
                    await self.request(number, fate)

    # -- what must hold ------------------------------------------------------------------------

    def live(self) -> list[tuple[str, str, int]]:
        """Return what is on the machines: machine, task, attempt."""
        return [
            (name, slot.task, slot.attempt)
            for name, worker in self.hosts.items()
            for slot in worker.slots.values()
            if slot.phase is not SlotPhase.ENDED
        ]

    def check(self) -> None:
        """No rule is broken, and the books hold all that may exist."""
        assert len(self.starts) == len(set(self.starts)), "an attempt began twice"
        live = self.live()
        assert len({task for _, task, _ in live}) == len(live), "a task is on two machines"
        assert len(live) <= LIMIT, "over the limit"
        for leader in filter(None, (self.before, self.leader)):
            leader.cluster.check_invariants()
            job = leader.cluster.jobs.get(JOB)
            if job is None:
                continue
            for index, state in enumerate(job.states):
                if state in (TaskState.COMPLETED, TaskState.COMMITTED):
                    assert f"{JOB}/{index}" in self.done, "a completion was invented"
        if self.leader.recovery.all_known.is_set():
            machines = self.leader.cluster.machines
            for name, task, number in live:
                known = machines[name].attempts.get(task)
                ghost = (task, number) in machines[name].orphans
                assert ghost or (known is not None and known.number == number), "not in the books"
        if self.forgotten:
            text, _ = self.state.keys[progress_key(JOB, 0)]
            kept = set(decode_progress(text, TASKS))
            lost = {split_task_name(task)[1] for task in self.forgotten} - kept
            assert not lost, "forgotten before it was committed"
