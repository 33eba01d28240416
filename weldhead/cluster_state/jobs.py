"""A job and the attempts of its tasks in memory. No I/O."""

from collections import Counter
from collections.abc import Container

from weldhead.clock import seconds_us
from weldhead.cluster_state.change_feed import ChangeFeeds, ObservedAttribute
from weldhead.cluster_state.records import CHUNK_TASKS, CalendarDeadline, GateHold
from weldhead.cluster_state.states import AttemptPhase, GateStatus, StopRequest, TaskState
from weldhead.protocol.wire import JobSpec

#: By state: 1 if the task is completed, committed or not. Chunks of thousands of tasks are
#: written again and again: flag by flag that took a thirtieth of a leader's time.
_IS_COMPLETED = bytes(state >= TaskState.COMPLETED for state in range(256))


class Attempt:
    """One attempt of a task, from the decision to start it until it is surely gone."""

    __slots__ = (
        "adopted",
        "checkpointed_us",
        "index",
        "job",
        "machine",
        "number",
        "phase",
        "running_since_us",
        "sent_directly",
        "sent_sequence",
        "stop_reason",
        "stop_request",
        "stop_requested_us",
        "task",
        "unconfirmed_since_us",
    )  # fmt: skip

    def __init__(self, job: "Job", index: int, number: int, machine: str, at_us: int) -> None:
        self.job = job
        self.index = index
        #: The task's name.
        self.task = f"{job.id}/{index}"
        self.number = number
        self.machine = machine
        #: An earlier leader started it, nobody knows when.
        self.adopted = False
        self.phase = AttemptPhase.ASSIGNED
        self.stop_request = StopRequest.NO
        self.stop_requested_us = 0
        self.running_since_us = 0
        #: Sequence of the report whose answer carried the ``run``; None: not sent so.
        self.sent_sequence: int | None = None
        #: A direct request with the ``run`` has been sent and not been answered.
        self.sent_directly = False
        #: Since when that request may be lost, and may be executed late (0: it is not).
        self.unconfirmed_since_us = 0
        #: Progress that earlier attempts saved.
        self.checkpointed_us = job.checkpoints_us.get(index, 0)
        self.stop_reason = ""

    def elapsed_us(self, at_us: int) -> int:
        """Return the run time so far, with what earlier attempts saved."""
        return self.checkpointed_us + (
            at_us - self.running_since_us if self.running_since_us else 0
        )

    def remaining_us(self, task_us: int, at_us: int) -> int:
        """Return what remains of an estimated run time, at least 0.

        A task that an earlier leader started is taken to have been half done when adopted.
        """
        if self.adopted:
            task_us //= 2
        task_us -= self.checkpointed_us
        if self.running_since_us:
            task_us += self.running_since_us - at_us
        return task_us if task_us > 0 else 0


class Job:
    """A job that is not over."""

    __slots__ = (
        "_bound_due_us",
        "_cancel_asked",
        "_cancelled",
        "_chain_due_us",
        "_finishing",
        "_first_seen_us",
        "_held",
        "_level",
        "_next_new_task",
        "_not_before_us",
        "_probing",
        "_ready_us",
        "_stranded",
        "active",
        "broken",
        "calendar_deadline",
        "change_feeds",
        "checkpoints_us",
        "committed",
        "done",
        "expected_finish_us",
        "expected_start_us",
        "failed_machines",
        "failures",
        "forecast_made_us",
        "gate_hold",
        "id",
        "last_machine",
        "reported_late",
        "restart_queue",
        "saving",
        "serial",
        "spec",
        "states",
        "submitted_us",
        "team",
        "uncommitted_chunks",
        "unmet_dependencies",
        "version",
        "zones",
    )  # fmt: skip

    #: What decides whether and when its tasks are placed tells of its changes.
    cancelled = ObservedAttribute[bool]("_cancelled")
    cancel_requested = ObservedAttribute[bool]("_cancel_asked")
    finishing = ObservedAttribute[bool]("_finishing")
    first_seen_us = ObservedAttribute[int]("_first_seen_us")
    runnable_since_us = ObservedAttribute[int]("_ready_us")
    not_before_us = ObservedAttribute[int]("_not_before_us")
    on_probation = ObservedAttribute[bool]("_probing")
    stranded = ObservedAttribute[bool]("_stranded")
    effective_level = ObservedAttribute[int]("_level")
    inherited_due_us = ObservedAttribute[tuple[int, ...]]("_chain_due_us")
    calendar_due_us = ObservedAttribute[int | None]("_bound_due_us")
    blocking_gate = ObservedAttribute[GateStatus | None]("_held")

    def __init__(self, spec: JobSpec, submitted_us: int, version: int, at_us: int) -> None:
        self.change_feeds: ChangeFeeds[Job] | None = None
        self.serial = 0
        self.spec = spec
        self.id = spec.id
        self.team = spec.team
        #: Time of day; ``first_seen_us`` is the same moment on this node's steady clock.
        self.submitted_us = submitted_us
        self._first_seen_us = at_us
        self.version = version
        #: When its last needed job was done: users' times but the deadline count from then.
        self._ready_us = at_us
        #: What documents said of it when it was accepted.
        self.calendar_deadline: CalendarDeadline | None = None
        #: When that is on this node's steady clock, so early that it is met by every clock.
        self._bound_due_us: int | None = None
        self.gate_hold: GateHold | None = None
        #: What holds it now; None: nothing does.
        self._held: GateStatus | None = None
        #: Needed jobs that are not known to be committed as done.
        self.unmet_dependencies: frozenset[str] = frozenset()
        #: Its priority, or that of a job that needs it; and by when it has to be done for
        #: the jobs that need it to be in time, the nearest bound first (``urgency.py``).
        self._level = spec.priority_level
        self._chain_due_us: tuple[int, ...] = ()
        #: That is committed; and that its user has asked for it, so it may be committed.
        self._cancelled = False
        self._cancel_asked = False
        #: Its end or its cancellation is being committed, or its progress.
        self._finishing = False
        self.saving = False
        self.states = bytearray(spec.tasks)
        self.active: dict[int, Attempt] = {}
        self.done = 0
        self.committed = 0
        #: Stopped tasks, to be restarted before new ones are started.
        self.restart_queue: list[int] = []
        self._next_new_task = 0
        self.zones: Counter[str] = Counter()
        self.uncommitted_chunks: set[int] = set()
        self.last_machine: dict[int, str] = {}
        self.checkpoints_us: dict[int, int] = {}
        self.failed_machines: frozenset[str] = frozenset()
        self.failures = 0
        #: Its tasks fail and none is known to succeed: it is tried one task at a time, and
        #: nothing is stopped or rented for it; ``broken`` where it fails on healthy machines.
        self._probing = False
        self.broken = False
        #: It is tried, and there is no machine to try it on: one may be rented.
        self._stranded = False
        self._not_before_us = 0
        self.reported_late = False
        #: When the jobs that it waits for are expected to be done; None: cannot be told.
        self.expected_start_us: int | None = None
        #: Expected finish on the steady clock; None: cannot be told.
        self.expected_finish_us: int | None = None
        #: When that was reckoned; 0: never.
        self.forecast_made_us = 0

    def notify_changed(self) -> None:
        """Something has changed by which decisions about the job are made."""
        if self.change_feeds is not None:
            self.change_feeds.publish(self.id, self)

    @property
    def due_us(self) -> int | None:
        """When it is due by itself: the earlier of its deadline and what binds it."""
        bound_us = self._bound_due_us
        if self.spec.deadline_s is None:
            return bound_us
        deadline_us = self._first_seen_us + seconds_us(self.spec.deadline_s)
        return deadline_us if bound_us is None else min(bound_us, deadline_us)

    @property
    def waiting(self) -> int:
        """How many tasks wait for a place; none while the job waits for others, or is held.

        One that fails wherever it runs took its whole width in room, again and again, and
        spoiled every machine for others: it waits for one.
        """
        if self.unwanted or self.unmet_dependencies or self._held is not None:
            return 0
        if self._probing and self.active:
            return 0
        waiting = self.spec.tasks - self.done - len(self.active)
        return min(waiting, 1) if self._probing else waiting

    @property
    def unwanted(self) -> bool:
        """Whether its tasks have to go: it is cancelled, or is to be and may be already."""
        return self._cancelled or self._cancel_asked

    @property
    def running(self) -> int:
        """How many tasks run."""
        return sum(
            1
            for a in self.active.values()
            if a.phase in (AttemptPhase.RUNNING, AttemptPhase.SAVING)
        )

    @property
    def status(self) -> str:
        """The status that users see while the job is not over."""
        if self.cancelled:
            return "withdrawn"
        return "running" if self.running else "pending"

    def expected_ends_us(self, task_us: int, at_us: int, away: Container[str] = ()) -> list[int]:
        """Return when its attempts are expected to end, ``remaining_us`` of each from now on.

        Without those on machines that are away. Asked for all attempts of a fleet each second:
        a call for each of them took a third of a look at its size.
        """
        half_us = task_us // 2
        found = []
        for attempt in self.active.values():
            if away and attempt.machine in away:
                continue
            left_us = (half_us if attempt.adopted else task_us) - attempt.checkpointed_us
            if attempt.running_since_us:
                left_us += attempt.running_since_us - at_us
            found.append(at_us + left_us if left_us > 0 else at_us)
        return found

    def peek_waiting(self) -> int | None:
        """Return the next task to start: a stopped one if there is any."""
        while self.restart_queue and self.states[self.restart_queue[0]] != TaskState.WAITING:
            del self.restart_queue[0]
        if self.restart_queue:
            return self.restart_queue[0]
        while (
            self._next_new_task < self.spec.tasks
            and self.states[self._next_new_task] != TaskState.WAITING
        ):
            self._next_new_task += 1
        return self._next_new_task if self._next_new_task < self.spec.tasks else None

    def waiting_indexes(self, most: int) -> list[int]:
        """Return up to that many waiting tasks, stopped ones first, without repeats."""
        found: list[int] = []
        seen: set[int] = set()
        for index in self.restart_queue:
            if len(found) >= most:
                return found
            if self.states[index] == TaskState.WAITING and index not in seen:
                seen.add(index)
                found.append(index)
        self.peek_waiting()
        index = self._next_new_task
        while index < self.spec.tasks and len(found) < most:
            if self.states[index] == TaskState.WAITING and index not in seen:
                found.append(index)
            index += 1
        return found

    def begin(self, attempt: Attempt, zone: str) -> None:
        """Record that an attempt may exist."""
        index = attempt.index
        if self.states[index] != TaskState.WAITING:
            raise ValueError(f"{attempt.task}: not waiting")
        self.states[index] = TaskState.ACTIVE
        self.active[index] = attempt
        self.zones[zone] += 1
        self.last_machine[index] = attempt.machine
        self.notify_changed()

    def end(self, attempt: Attempt, zone: str, *, completed: bool) -> None:
        """Record that an attempt is surely gone."""
        index = attempt.index
        if self.active.get(index) is not attempt:
            raise ValueError(f"{attempt.task}: attempt {attempt.number} is not the active one")
        del self.active[index]
        self.zones[zone] -= 1
        if completed:
            self.states[index] = TaskState.COMPLETED
            self.done += 1
            self.uncommitted_chunks.add(index // CHUNK_TASKS)
        else:
            self.states[index] = TaskState.WAITING
            self.restart_queue.append(index)
        self.notify_changed()

    def restart_first(self, index: int, machine: str) -> None:
        """An earlier leader stopped a task: it starts first, and best where it was last."""
        if self.states[index] == TaskState.WAITING and index not in self.restart_queue:
            self.restart_queue.append(index)
            self.last_machine[index] = machine
            self.notify_changed()

    def complete_waiting(self, index: int) -> None:
        """Record that a task without an active attempt turned out to be completed."""
        if self.states[index] != TaskState.WAITING:
            raise ValueError(f"{self.id}/{index}: not waiting")
        self.states[index] = TaskState.COMPLETED
        self.done += 1
        self.uncommitted_chunks.add(index // CHUNK_TASKS)
        self.notify_changed()

    def load_committed(self, indexes: list[int]) -> None:
        """Record completions read from the store."""
        for index in indexes:
            if self.states[index] == TaskState.WAITING:
                self.done += 1
            elif self.states[index] != TaskState.COMPLETED:
                continue
            self.states[index] = TaskState.COMMITTED
            self.committed += 1
        self.notify_changed()

    def snapshot_chunk(self, chunk: int) -> tuple[bytes, list[int]]:
        """Return a chunk's completed flags, and which of them are not committed yet."""
        start = chunk * CHUNK_TASKS
        states = bytes(self.states[start : start + CHUNK_TASKS])
        fresh: list[int] = []
        place = states.find(TaskState.COMPLETED)
        while place >= 0:
            fresh.append(start + place)
            place = states.find(TaskState.COMPLETED, place + 1)
        return states.translate(_IS_COMPLETED), fresh

    def mark_committed(self, indexes: list[int]) -> None:
        """Record that completions are in the store."""
        for index in indexes:
            if self.states[index] == TaskState.COMPLETED:
                self.states[index] = TaskState.COMMITTED
                self.committed += 1

    @property
    def complete(self) -> bool:
        """Whether every task is completed (replicas never complete by design)."""
        return self.done == self.spec.tasks

    @property
    def over(self) -> bool:
        """Whether nothing more is to come: all completed, or cancelled and all gone."""
        return self.complete or (self.cancelled and not self.active)

    def zone_limit(self) -> int:
        """How many of the tasks may be in one zone."""
        return -(-self.spec.tasks // 2) if self.spec.spread else self.spec.tasks

    def capacity_in_zone(self, zone: str) -> int:
        """How many more tasks may be placed in a zone, given the others at this moment."""
        if self.spec.zone is not None and zone != self.spec.zone:
            return 0
        if self.spec.one_zone and any(n > 0 for z, n in self.zones.items() if z != zone):
            return 0
        return max(0, self.zone_limit() - self.zones[zone])
