"""The state machine of a machine's worker: its session, token, lease and task attempts.

The state machine does no I/O. Its methods take messages, exits of processes and the current
time, and return actions that the caller carries out in order. CPUs and memory (in GB) are
amounts per task; times are microseconds of the monotonic clock.

The token is the fencing token of a leader: it is higher for each new leader. A worker keeps the
highest token that it has received, and obeys no answer or command with a lower one. A session ends
when the worker's lease expires: the worker then kills all its tasks and begins the next session.
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

#: A task that was told to stop exits with this code if it has saved its progress.
PROGRESS_SAVED_EXIT_CODE = 75
#: Longest time between SIGTERM and SIGKILL for a task that cannot save its progress.
MAX_TERMINATION_GRACE_US = SECOND_US


class JobDescription(msgspec.Struct, frozen=True, omit_defaults=True):
    """The command of a job's tasks and the resources of each task, as the user uploads them.

    ``command`` is a program with its arguments. ``directory`` is the working directory of the
    command (None: a directory of the attempt's own). ``tasks`` is the number of tasks of the
    job. ``cpus``, ``gpus`` and ``memory_gb`` are the resources that one task takes.
    ``checkpoint_s`` and ``save_s`` are the values of the job's submission.
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
    """Phase in the life of a task attempt."""

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"
    ENDED = "ended"


@dataclass
class Slot:
    """A task attempt that the worker knows, running or ended."""

    task: str
    attempt: int
    phase: SlotPhase = SlotPhase.FETCHING
    end_reason: str | None = None
    saved: bool | None = None
    description: JobDescription | None = None
    #: The attempt was told to stop, so its exit by a signal is no failure of the task.
    is_stopping: bool = False
    #: Time at which SIGKILL is due; 0: the attempt need not stop, or SIGKILL was already sent.
    kill_us: int = 0


@dataclass(frozen=True)
class FetchDescription:
    """Fetch the description of the task's job, and call :meth:`Worker.handle_description`."""

    task: str
    attempt: int


@dataclass(frozen=True)
class StartTask:
    """Start the task's command."""

    task: str
    attempt: int
    description: JobDescription


@dataclass(frozen=True)
class SendSignal:
    """Send SIGTERM (``force``: SIGKILL) to the process group of the attempt."""

    task: str
    attempt: int
    force: bool


@dataclass(frozen=True)
class KillAllTasks:
    """Kill all processes of all attempts, because the session has ended."""


@dataclass(frozen=True)
class StoreSession:
    """Store the changed session and token before carrying out any later action."""

    session: int
    token: int


Action = FetchDescription | StartTask | SendSignal | KillAllTasks | StoreSession


@dataclass
class MachineInfo:
    """Identity, location and resources of the machine, as the worker reports them."""

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
    """State of a worker: its session, its lease, and the attempts on its machine.

    ``token`` is the highest fencing token of a leader that the worker has received.
    """

    machine_info: MachineInfo
    lease_us: int
    now_us: int
    session: int = 1
    token: int = 0
    sequence: int = 0
    #: Time at which the cloud removes the machine; 0: no removal is announced.
    removal_us: int = 0
    slots: dict[tuple[str, int], Slot] = field(default_factory=dict)
    #: The state has changed, so a report should be sent before the next period.
    has_unreported_changes: bool = True

    def __post_init__(self) -> None:
        self.lease_start_us = self.now_us
        self._token_reported_us = self.now_us - self.lease_us

    @property
    def lease_end_us(self) -> int:
        """Time at which the lease expires unless an answer to a report renews it before."""
        return self.lease_start_us + self.lease_us

    # Reports and answers

    def build_report(self, now_us: int) -> Heartbeat:
        """Return the next report, and count the worker's changes as reported."""
        self.sequence += 1
        self.has_unreported_changes = False
        tasks = [
            ReportedTask(
                slot.task, slot.attempt, _reported_state(slot.phase), slot.end_reason, slot.saved
            )
            for slot in self.slots.values()
        ]
        info = self.machine_info
        return Heartbeat(
            machine=info.machine,
            address=info.address,
            type=info.type,
            zone=info.zone,
            spot=info.spot,
            session=self.session,
            sequence=self.sequence,
            token=self.token,
            tasks=tasks,
            notice_s=max(0, self.removal_us - now_us) / SECOND_US if self.removal_us else None,
        )

    def handle_answer(
        self, session: int, sent_us: int, token: int | None, commands: list[Command], now_us: int
    ) -> list[Action]:
        """Handle the answer to a report of ``session`` that was sent at ``sent_us``."""
        actions = self.check_lease(now_us)
        if session != self.session or token is None or token < self.token:
            return actions
        # The lease starts when the report was sent, because an answer proves only that the
        # worker was alive at that time.
        self.lease_start_us = max(self.lease_start_us, sent_us)
        return actions + self._accept_token(token, now_us) + self._execute(commands, now_us)

    def handle_commands(
        self, session: int, token: int, commands: list[Command], now_us: int
    ) -> tuple[bool, list[Action]]:
        """Handle a direct request, and return whether its commands were accepted."""
        actions = self.check_lease(now_us)
        if token < self.token:
            return False, actions
        # The token is valid even if the session does not match, because it was issued.
        actions += self._accept_token(token, now_us)
        if session != self.session:
            return False, actions
        return True, actions + self._execute(commands, now_us)

    def _accept_token(self, token: int, now_us: int) -> list[Action]:
        if token <= self.token:
            return []
        self.token = token
        # A series of new leaders must not make all workers report immediately each time.
        if now_us - self._token_reported_us >= self.lease_us // 2:
            self._token_reported_us = now_us
            self.has_unreported_changes = True
        return [StoreSession(self.session, token)]

    def handle_notice(self, now_us: int, remaining_us: int) -> None:
        """Record that the cloud removes the machine after ``remaining_us``."""
        self.removal_us = now_us + remaining_us
        self.has_unreported_changes = True

    # The lease

    def check_lease(self, now_us: int) -> list[Action]:
        """End the session if its lease has expired; call this before handling any event."""
        if now_us <= self.lease_end_us:
            return []
        return self.end_session(now_us)

    def end_session(self, now_us: int) -> list[Action]:
        """Drop all attempts on the machine and begin the next session."""
        self.slots.clear()
        self.session += 1
        self.lease_start_us = now_us
        self.has_unreported_changes = True
        return [KillAllTasks(), StoreSession(self.session, self.token)]

    def next_wake_us(self) -> int:
        """Return the time at which :meth:`collect_due_actions` must be called next."""
        kills = [slot.kill_us for slot in self.slots.values() if slot.kill_us]
        return min([self.lease_end_us + 1, *kills])

    def collect_due_actions(self, now_us: int) -> list[Action]:
        """Return the actions that are due: KillAllTasks at lease expiry, SIGKILL after a grace."""
        actions = self.check_lease(now_us)
        for slot in self.slots.values():
            if slot.kill_us and slot.kill_us <= now_us:
                slot.kill_us = 0
                actions.append(SendSignal(slot.task, slot.attempt, force=True))
        return actions

    # Commands

    def _execute(self, commands: list[Command], now_us: int) -> list[Action]:
        actions: list[Action] = []
        for command in commands:
            slot = self.slots.get((command.task, command.attempt))
            if command.op == "run":
                if slot is None:
                    actions += self._start_attempt(command.task, command.attempt)
            elif slot is None:
                continue
            elif command.op == "kill":
                actions += self._stop_attempt(slot, seconds_us(command.grace_s or 0.0), now_us)
            elif slot.phase is SlotPhase.ENDED:
                del self.slots[(command.task, command.attempt)]
        return actions

    def _start_attempt(self, task: str, attempt: int) -> list[Action]:
        slot = Slot(task, attempt)
        self.has_unreported_changes = True
        is_task_running = any(
            other.task == task and other.phase is not SlotPhase.ENDED
            for other in self.slots.values()
        )
        self.slots[(task, attempt)] = slot
        if is_task_running:
            self._end_attempt(slot, "busy")
            return []
        return [FetchDescription(task, attempt)]

    def _stop_attempt(self, slot: Slot, grace_us: int, now_us: int) -> list[Action]:
        if slot.phase is SlotPhase.ENDED:
            return []
        if slot.phase is SlotPhase.FETCHING:
            self._end_attempt(slot, "halted")
            return []
        was_stopping = slot.is_stopping
        slot.is_stopping = True
        description = slot.description
        can_save = (
            description is not None
            and description.checkpoint_s > 0
            and grace_us >= seconds_us(description.save_s)
        )
        if grace_us == 0 or (not can_save and was_stopping):
            slot.kill_us = 0
            return [SendSignal(slot.task, slot.attempt, force=True)]
        if was_stopping:
            return []
        if can_save:
            slot.phase = SlotPhase.SAVING
            self.has_unreported_changes = True
        slot.kill_us = now_us + (grace_us if can_save else min(grace_us, MAX_TERMINATION_GRACE_US))
        return [SendSignal(slot.task, slot.attempt, force=False)]

    # Events of attempts

    def handle_description(
        self, task: str, attempt: int, description: JobDescription | None, has_result: bool
    ) -> list[Action]:
        """Start the attempt, or end it with the reason why it cannot run.

        ``description`` is None if the job has no description; ``has_result`` says that a
        result of the task is already stored.
        """
        slot = self.slots.get((task, attempt))
        if slot is None or slot.phase is not SlotPhase.FETCHING:
            return []
        index = split_task_name(task)[1]
        if description is None or index >= description.tasks:
            self._end_attempt(slot, "unknown")
        elif has_result:
            self._end_attempt(slot, "done")
        elif not self._has_room(description):
            self._end_attempt(slot, "no_room")
        else:
            slot.description = description
            slot.phase = SlotPhase.RUNNING
            self.has_unreported_changes = True
            return [StartTask(task, attempt, description)]
        return []

    def _has_room(self, description: JobDescription) -> bool:
        running = [
            slot.description for slot in self.slots.values() if slot.description and _is_live(slot)
        ]
        info = self.machine_info
        return (
            sum(other.cpus for other in running) + description.cpus <= info.cpus + 1e-6
            and sum(other.gpus for other in running) + description.gpus <= info.gpus + 1e-6
            and sum(other.memory_gb for other in running) + description.memory_gb
            <= info.memory_gb + 1e-6
        )

    def handle_exit(self, task: str, attempt: int, code: int | None) -> None:
        """Handle the exit of an attempt's command.

        ``code`` is None if a signal ended the command or the command could not start.
        """
        slot = self.slots.get((task, attempt))
        if slot is None or slot.phase is SlotPhase.ENDED:
            return
        if code == 0:
            self._end_attempt(slot, "done")
        elif slot.is_stopping:
            slot.saved = slot.phase is SlotPhase.SAVING and code == PROGRESS_SAVED_EXIT_CODE
            self._end_attempt(slot, "halted")
        else:
            self._end_attempt(slot, "error")

    def _end_attempt(self, slot: Slot, end_reason: str) -> None:
        slot.phase = SlotPhase.ENDED
        slot.end_reason = end_reason
        slot.kill_us = 0
        self.has_unreported_changes = True


def _is_live(slot: Slot) -> bool:
    return slot.phase is not SlotPhase.ENDED


def _reported_state(phase: SlotPhase) -> ReportedTaskState:
    match phase:
        case SlotPhase.FETCHING:
            return "pulling"
        case SlotPhase.RUNNING:
            return "running"
        case SlotPhase.SAVING:
            return "saving"
    return "ended"
