"""A worker as PROTOCOL describes it, without I/O: what it knows, and what it must do.

Messages and the ends of processes go in with the time; actions come out, to be carried out
in order. Amounts of CPUs and memory are a task's own, in CPUs and GB; times are
microseconds of the steady clock.
"""

import enum
from dataclasses import dataclass, field

import msgspec

from weldhead.clock import SECOND_US, seconds_us
from weldhead.protocol.wire import (
    Command,
    Heartbeat,
    ReportedTask,
    ReportedTaskState,
    split_task_name,
)

#: Exit code by which a task that was told to stop says that it has saved its progress.
SAVED_CODE = 75
#: How long a task that cannot save gets between SIGTERM and SIGKILL, at the most.
POLITE_US = SECOND_US


class Work(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a job's tasks run, as its user uploads it.

    ``command`` is a program with its arguments; ``directory`` is where it starts (None: one
    of the attempt's own); ``tasks`` is how many tasks the job has; ``cpus``, ``gpus`` and
    ``memory_gb`` are what one takes, ``checkpoint_s`` and ``save_s`` what the submission says.
    """

    command: tuple[str, ...]
    tasks: int
    cpus: float
    memory_gb: float
    gpus: float = 0.0
    checkpoint_s: float = 0.0
    save_s: float = 0.0
    environment: dict[str, str] = {}
    directory: str | None = None


class SlotPhase(enum.Enum):
    """Where an attempt is."""

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"
    ENDED = "ended"


@dataclass
class Slot:
    """An attempt on the machine."""

    task: str
    attempt: int
    phase: SlotPhase = SlotPhase.FETCHING
    why: str | None = None
    saved: bool | None = None
    work: Work | None = None
    #: Was told to stop, so that its end by a signal is no failure of its own.
    stopping: bool = False
    #: When it gets SIGKILL; 0: not told to stop, or told already.
    kill_us: int = 0


@dataclass(frozen=True)
class Fetch:
    """Fetch the description of the task's job."""

    task: str
    attempt: int


@dataclass(frozen=True)
class StartSlot:
    """Start the task's command."""

    task: str
    attempt: int
    work: Work


@dataclass(frozen=True)
class Signal:
    """Send SIGTERM (``hard``: SIGKILL) to the whole group."""

    task: str
    attempt: int
    hard: bool


@dataclass(frozen=True)
class KillAll:
    """The lease is over: end and forget everything."""


@dataclass(frozen=True)
class Remember:
    """Session or token have changed: store them before anything else is done."""

    session: int
    token: int


Action = Fetch | StartSlot | Signal | KillAll | Remember


@dataclass
class Place:
    """What a worker says of its machine, and what the machine has."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float


@dataclass
class Worker:
    """Sessions, tokens, the lease, and the attempts on the machine."""

    place: Place
    lease_us: int
    now_us: int
    session: int = 1
    token: int = 0
    sequence: int = 0
    #: When the cloud takes the machine; 0: nothing known of it.
    notice_us: int = 0
    slots: dict[tuple[str, int], Slot] = field(default_factory=dict)
    #: Something changed that the controllers should hear of before the next period.
    changed: bool = True

    def __post_init__(self) -> None:
        self.lease_from_us = self.now_us
        self._token_told_us = self.now_us - self.lease_us

    @property
    def lease_ends_us(self) -> int:
        """When everything here ends unless a report is answered."""
        return self.lease_from_us + self.lease_us

    # Reports and answers

    def report(self, now_us: int) -> Heartbeat:
        """Return the next report."""
        self.sequence += 1
        self.changed = False
        tasks = [
            ReportedTask(slot.task, slot.attempt, _state(slot.phase), slot.why, slot.saved)
            for slot in self.slots.values()
        ]
        place = self.place
        return Heartbeat(
            machine=place.machine,
            address=place.address,
            type=place.type,
            zone=place.zone,
            spot=place.spot,
            session=self.session,
            sequence=self.sequence,
            token=self.token,
            tasks=tasks,
            notice_s=max(0, self.notice_us - now_us) / SECOND_US if self.notice_us else None,
        )

    def answered(
        self, session: int, sent_us: int, token: int | None, commands: list[Command], now_us: int
    ) -> list[Action]:
        """Take the answer to a report of ``session`` that was sent at ``sent_us``."""
        actions = self.check_lease(now_us)
        if session != self.session or token is None or token < self.token:
            return actions
        # The lease counts from sending: whoever answered knew the worker alive by then.
        self.lease_from_us = max(self.lease_from_us, sent_us)
        return actions + self._see(token, now_us) + self._execute(commands, now_us)

    def direct(
        self, session: int, token: int, commands: list[Command], now_us: int
    ) -> tuple[bool, list[Action]]:
        """Take a direct request; whether it is executed."""
        actions = self.check_lease(now_us)
        if token < self.token:
            return False, actions
        # The token counts even where the session does not match: it was issued.
        actions += self._see(token, now_us)
        if session != self.session:
            return False, actions
        return True, actions + self._execute(commands, now_us)

    def _see(self, token: int, now_us: int) -> list[Action]:
        if token <= self.token:
            return []
        self.token = token
        # Several leaders in a row must not make every worker report at once each time.
        if now_us - self._token_told_us >= self.lease_us // 2:
            self._token_told_us = now_us
            self.changed = True
        return [Remember(self.session, token)]

    def notice(self, now_us: int, left_us: int) -> None:
        """The cloud takes the machine away."""
        self.notice_us = now_us + left_us
        self.changed = True

    # The lease

    def check_lease(self, now_us: int) -> list[Action]:
        """End the session if its lease is over; call this before acting on anything."""
        if now_us <= self.lease_ends_us:
            return []
        return self.lose_all(now_us)

    def lose_all(self, now_us: int) -> list[Action]:
        """Everything on the machine is ended; the next session begins."""
        self.slots.clear()
        self.session += 1
        self.lease_from_us = now_us
        self.changed = True
        return [KillAll(), Remember(self.session, self.token)]

    def wake_us(self) -> int:
        """Return when :meth:`due` or :meth:`check_lease` must be called next."""
        kills = [slot.kill_us for slot in self.slots.values() if slot.kill_us]
        return min([self.lease_ends_us + 1, *kills])

    def due(self, now_us: int) -> list[Action]:
        """Return what has become due: ends of leases, kills after their grace."""
        actions = self.check_lease(now_us)
        for slot in self.slots.values():
            if slot.kill_us and slot.kill_us <= now_us:
                slot.kill_us = 0
                actions.append(Signal(slot.task, slot.attempt, hard=True))
        return actions

    # Commands

    def _execute(self, commands: list[Command], now_us: int) -> list[Action]:
        actions: list[Action] = []
        for command in commands:
            slot = self.slots.get((command.task, command.attempt))
            if command.op == "run":
                if slot is None:
                    actions += self._run(command.task, command.attempt)
            elif slot is None:
                continue
            elif command.op == "kill":
                actions += self._kill(slot, seconds_us(command.grace_s or 0.0), now_us)
            elif slot.phase is SlotPhase.ENDED:
                del self.slots[(command.task, command.attempt)]
        return actions

    def _run(self, task: str, attempt: int) -> list[Action]:
        slot = Slot(task, attempt)
        self.changed = True
        busy = any(
            other.task == task and other.phase is not SlotPhase.ENDED
            for other in self.slots.values()
        )
        self.slots[(task, attempt)] = slot
        if busy:
            self._end(slot, "busy")
            return []
        return [Fetch(task, attempt)]

    def _kill(self, slot: Slot, grace_us: int, now_us: int) -> list[Action]:
        if slot.phase is SlotPhase.ENDED:
            return []
        if slot.phase is SlotPhase.FETCHING:
            self._end(slot, "halted")
            return []
        repeated = slot.stopping
        slot.stopping = True
        work = slot.work
        saves = work is not None and work.checkpoint_s > 0 and grace_us >= seconds_us(work.save_s)
        if grace_us == 0 or (not saves and repeated):
            slot.kill_us = 0
            return [Signal(slot.task, slot.attempt, hard=True)]
        if repeated:
            return []
        if saves:
            slot.phase = SlotPhase.SAVING
            self.changed = True
        slot.kill_us = now_us + (grace_us if saves else min(grace_us, POLITE_US))
        return [Signal(slot.task, slot.attempt, hard=False)]

    # What happens to attempts

    def fetched(self, task: str, attempt: int, work: Work | None, done: bool) -> list[Action]:
        """The description is here (None: there is none); ``done``: its result is kept."""
        slot = self.slots.get((task, attempt))
        if slot is None or slot.phase is not SlotPhase.FETCHING:
            return []
        index = split_task_name(task)[1]
        if work is None or index >= work.tasks:
            self._end(slot, "unknown")
        elif done:
            self._end(slot, "done")
        elif not self._room(work):
            self._end(slot, "no_room")
        else:
            slot.work = work
            slot.phase = SlotPhase.RUNNING
            self.changed = True
            return [StartSlot(task, attempt, work)]
        return []

    def _room(self, work: Work) -> bool:
        used = [slot.work for slot in self.slots.values() if slot.work and _live(slot)]
        place = self.place
        return (
            sum(w.cpus for w in used) + work.cpus <= place.cpus + 1e-6
            and sum(w.gpus for w in used) + work.gpus <= place.gpus + 1e-6
            and sum(w.memory_gb for w in used) + work.memory_gb <= place.memory_gb + 1e-6
        )

    def exited(self, task: str, attempt: int, code: int | None) -> None:
        """The command has ended with an exit code; None: by a signal, or it never began."""
        slot = self.slots.get((task, attempt))
        if slot is None or slot.phase is SlotPhase.ENDED:
            return
        if code == 0:
            self._end(slot, "done")
        elif slot.stopping:
            slot.saved = slot.phase is SlotPhase.SAVING and code == SAVED_CODE
            self._end(slot, "halted")
        else:
            self._end(slot, "error")

    def _end(self, slot: Slot, why: str) -> None:
        slot.phase = SlotPhase.ENDED
        slot.why = why
        slot.kill_us = 0
        self.changed = True


def _live(slot: Slot) -> bool:
    return slot.phase is not SlotPhase.ENDED


def _state(phase: SlotPhase) -> ReportedTaskState:
    match phase:
        case SlotPhase.FETCHING:
            return "pulling"
        case SlotPhase.RUNNING:
            return "running"
        case SlotPhase.SAVING:
            return "saving"
    return "ended"
