"""What happens in a run that a fault can be tied to.

Those who see something happen say so here; faults wait for it, each for no longer than it says.
What no fault of the scenario waits for is not looked at, and costs nothing.
"""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

import msgspec

from weldhead.cluster_state.preemption_history import PREEMPTED_PREFIX
from weldhead.cluster_state.records import (
    FINAL,
    JOBS,
    LEADER_KEY,
    PROGRESS,
    RENTALS,
    LeaderRecord,
)
from weldhead.documents.records import KEY_PREFIX as DOCUMENTS
from weldhead.emulator.checker import Checker
from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.loop import VirtualLoop
from weldhead.emulator.network import Network
from weldhead.emulator.scenario import Event, WriteKind
from weldhead.protocol.wire import Command, DirectCommands, HeartbeatAnswer
from weldhead.site.store.model import Batch, Store, Write
from weldhead.transport.http_server import Response
from weldhead.transport.state_client import decode

#: How often it is looked how far a term is.
LOOK_S = 0.01

_KINDS: dict[str, WriteKind] = {
    FINAL: "completion",
    PROGRESS: "progress",
    RENTALS: "rental",
    PREEMPTED_PREFIX: "taken",
    DOCUMENTS: "document",
}


@dataclass(frozen=True)
class SimulationEvent:
    """Something that happened: whose doing it was (a controller), and on which machine.

    ``leader`` led by then, as the store's record says.
    """

    event: Event
    at_s: float
    controller: str
    leader: str
    machine: str = ""
    write: WriteKind | None = None


@dataclass
class Waiting:
    """A fault that waits for the ``nth`` event of its kind from now on."""

    event: Event
    write: WriteKind | None
    #: Only what another leader's term brought, or None.
    not_under: str | None
    nth: int
    came: "asyncio.Future[SimulationEvent]"

    def see(self, happened: SimulationEvent) -> None:
        """Count what happened, if it is of the kind."""
        if happened.event != self.event or happened.write != self.write:
            return
        if self.not_under is not None and happened.leader in ("", self.not_under):
            return
        self.nth -= 1
        if self.nth == 0 and not self.came.done():
            self.came.set_result(happened)


class Events:
    """Sees what happens, and wakes who waits for it."""

    def __init__(
        self,
        loop: VirtualLoop,
        wanted: set[Event],
        network: Network,
        store: Store,
        checker: Checker,
        controllers: list[SimulatedController],
    ) -> None:
        self._loop, self._wanted, self._store = loop, wanted, store
        self._network, self._checker = network, checker
        self._controllers = controllers
        self._waiting: list[Waiting] = []
        #: Who led last, as the store's record said, and that record's version.
        self.leader = ""
        self._version = 0
        #: Who is told of it at once that a term was won.
        self.on_term: list[Callable[[], None]] = []
        #: The terms that were seen to have come so far.
        self._seen: set[tuple[Event, int]] = set()
        if "write_sent" in wanted:
            network.on_sent.append(partial(self._written, "write_sent"))
        if "write_given_up" in wanted:
            network.on_given_up.append(partial(self._written, "write_given_up"))
        if wanted & {"run_sent", "kill_sent", "forget_sent", "first_run_sent"}:
            network.on_sent.append(self._sent)
            network.on_answered.append(self._answered)
        if "first_run_started" in wanted:
            checker.on_started.append(self._started)
        if "task_moved" in wanted:
            checker.on_started.append(self._moved)
        if "task_stopped" in wanted:
            checker.on_told_to_stop.append(self._stopped)
        if "job_ended" in wanted:
            checker.on_complete.append(self._ended)
        #: The machine on which each task ran last.
        self._last_machine: dict[str, str] = {}

    def happened(
        self, event: Event, controller: str, machine: str = "", write: WriteKind | None = None
    ) -> None:
        """Say what has happened just now."""
        if event not in self._wanted:
            return
        came = SimulationEvent(event, self._loop.true_s, controller, self.leader, machine, write)
        for waiting in list(self._waiting):
            waiting.see(came)

    async def wait(
        self,
        event: Event,
        *,
        nth: int,
        until_s: float,
        write: WriteKind | None = None,
        not_under: str | None = None,
    ) -> SimulationEvent | None:
        """Wait for an event from now on; None: it had not come at that (true) time."""
        came: asyncio.Future[SimulationEvent] = self._loop.create_future()
        waiting = Waiting(event, write, not_under, nth, came)
        self._waiting.append(waiting)
        try:
            async with asyncio.timeout_at(until_s):
                return await came
        except TimeoutError:
            return None
        finally:
            self._waiting.remove(waiting)

    # -- who leads -------------------------------------------------------------------------

    async def watch(self) -> None:
        """See how far each term is, for ever, if anybody waits for that."""
        while self._wanted & {"term_loaded", "term_ready"}:
            self._look_at_terms()
            await asyncio.sleep(LOOK_S)

    def look(self) -> None:
        """See whether a term was won; whoever writes to the store calls this too."""
        entry = self._store.get(LEADER_KEY)
        if entry is None or entry.version == self._version:
            return
        self._version = entry.version
        self.leader = decode(bytes(entry.value), LeaderRecord).name
        for look in self.on_term:
            look()
        self.happened("term_won", self.leader)

    def _look_at_terms(self) -> None:
        for controller in self._controllers:
            leader = controller.node.leader if controller.node is not None else None
            if leader is None:
                continue
            states: list[tuple[Event, bool]] = [
                ("term_loaded", leader.term.loaded),
                ("term_ready", leader.term.ready),
            ]
            for event, so in states:
                if so and (event, leader.token) not in self._seen:
                    self._seen.add((event, leader.token))
                    self.happened(event, controller.name)

    # -- writes ----------------------------------------------------------------------------

    def _written(self, event: Event, controller: str, _: str, path: str, body: bytes) -> None:
        if path.startswith("grants/"):
            self.happened(event, controller, write="lease")
        elif path == "multi":
            batch = msgspec.json.decode(body, type=Batch)
            for kind in dict.fromkeys(kinds(batch)):
                self.happened(event, controller, write=kind)

    # -- commands --------------------------------------------------------------------------

    def _sent(self, source: str, target: str, path: str, body: bytes) -> None:
        if path == "commands":
            asked = msgspec.json.decode(body, type=DirectCommands)
            self._commanded(source, target, asked.token, asked.commands)

    def _answered(self, source: str, target: str, path: str, answer: Response) -> None:
        if path == "v1/report" and answer.status == 200:
            told = msgspec.json.decode(answer.body, type=HeartbeatAnswer)
            self._commanded(source, target, told.token, told.commands)

    def _commanded(
        self, controller: str, machine: str, token: int, commands: list[Command]
    ) -> None:
        sent: dict[str, Event] = {
            "run": "run_sent", "kill": "kill_sent", "forget": "forget_sent"
        }  # fmt: skip
        for op in dict.fromkeys(command.op for command in commands):
            self.happened(sent[op], controller, machine)
            if op == "run" and ("first_run_sent", token) not in self._seen:
                self._seen.add(("first_run_sent", token))
                self.happened("first_run_sent", controller, machine)

    def _started(self, task: str, machine: str) -> None:
        for token in self._checker.first_starts:
            if ("first_run_started", token) not in self._seen:
                self._seen.add(("first_run_started", token))
                self.happened("first_run_started", self.leader, machine)

    def _moved(self, task: str, machine: str) -> None:
        previous = self._last_machine.get(task, machine)
        self._last_machine[task] = machine
        if previous != machine:
            self.happened("task_moved", self.leader, previous)

    def _stopped(self, _task: str, machine: str) -> None:
        self.happened("task_stopped", self.leader, machine)

    def _ended(self, _job_id: str) -> None:
        self.happened("job_ended", self.leader)


def kinds(batch: Batch) -> Iterator[WriteKind]:
    """Say of what kinds a transaction's writes are."""
    for write in batch.writes:
        key = write.set or write.delete or ""
        if key == LEADER_KEY:
            yield "leader"
        elif key.startswith(JOBS):
            if write.set is not None:
                yield "cancellation" if _cancels(write) else "submission"
        else:
            for prefix, kind in _KINDS.items():
                if key.startswith(prefix):
                    yield kind


def _cancels(write: Write) -> bool:
    return bool(msgspec.json.decode(write.value).get("cancelled"))
