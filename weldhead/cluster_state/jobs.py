"""Jobs and the attempts of their tasks in memory. No I/O."""

from collections import Counter
from collections.abc import Container

from weldhead.clock import seconds_us
from weldhead.cluster_state.change_feed import ChangeFeeds, ObservedAttribute
from weldhead.cluster_state.records import CHUNK_TASKS, CalendarDeadline, GateHold
from weldhead.cluster_state.states import AttemptPhase, GateStatus, StopRequest, TaskState
from weldhead.protocol.wire import JobSpec

#: Translates a task state into a flag: 1 if the task is completed, committed or not. Chunks of
#: thousands of tasks are written repeatedly; converting their flags one by one took a thirtieth
#: of a leader's time.
_IS_COMPLETED = bytes(state >= TaskState.COMPLETED for state in range(256))


class Attempt:
    """One attempt of a task, from the decision to start it until it has certainly ended."""

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
        #: The name of the task: job id and task index.
        self.task = f"{job.id}/{index}"
        self.number = number
        self.machine = machine
        #: Whether an earlier leader started the attempt; the start time is unknown then.
        self.adopted = False
        self.phase = AttemptPhase.ASSIGNED
        self.stop_request = StopRequest.NO
        self.stop_requested_us = 0
        self.running_since_us = 0
        #: Sequence number of the heartbeat whose answer carried the ``run`` command; None: no
        #: answer carried it.
        self.sent_sequence: int | None = None
        #: Whether the ``run`` command was sent to the worker directly and not answered yet.
        self.sent_directly = False
        #: The time since which the direct command may be lost or be executed late; 0: no such
        #: command.
        self.unconfirmed_since_us = 0
        #: Run time whose progress earlier attempts have saved.
        self.checkpointed_us = job.checkpoints_us.get(index, 0)
        self.stop_reason = ""

    def elapsed_us(self, at_us: int) -> int:
        """Return the run time so far, including the progress that earlier attempts saved."""
        return self.checkpointed_us + (
            at_us - self.running_since_us if self.running_since_us else 0
        )

    def remaining_us(self, task_us: int, at_us: int) -> int:
        """Return the remaining part of an estimated run time, at least 0.

        An attempt that an earlier leader started counts as half done at its adoption.
        """
        if self.adopted:
            task_us //= 2
        task_us -= self.checkpointed_us
        if self.running_since_us:
            task_us += self.running_since_us - at_us
        return task_us if task_us > 0 else 0


class Job:
    """A job that has not ended."""

    __slots__ = (
        "_blocking_gate",
        "_calendar_due_us",
        "_cancel_requested",
        "_cancelled",
        "_effective_level",
        "_finishing",
        "_first_seen_us",
        "_inherited_due_us",
        "_next_new_task",
        "_not_before_us",
        "_on_probation",
        "_runnable_since_us",
        "_stranded",
        "active",
        "calendar_deadline",
        "change_feeds",
        "checkpoints_us",
        "committed",
        "done",
        "expected_finish_us",
        "expected_start_us",
        "failed_machines",
        "fails_everywhere",
        "failures",
        "forecast_made_us",
        "gate_hold",
        "id",
        "last_machine",
        "reported_late",
        "restart_queue",
        "retry_failed_us",
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

    #: Changes of these attributes are published, as they decide whether and when tasks are placed.
    cancelled = ObservedAttribute[bool]("_cancelled")
    cancel_requested = ObservedAttribute[bool]("_cancel_requested")
    finishing = ObservedAttribute[bool]("_finishing")
    first_seen_us = ObservedAttribute[int]("_first_seen_us")
    runnable_since_us = ObservedAttribute[int]("_runnable_since_us")
    not_before_us = ObservedAttribute[int]("_not_before_us")
    on_probation = ObservedAttribute[bool]("_on_probation")
    stranded = ObservedAttribute[bool]("_stranded")
    effective_level = ObservedAttribute[int]("_effective_level")
    inherited_due_us = ObservedAttribute[tuple[int, ...]]("_inherited_due_us")
    calendar_due_us = ObservedAttribute[int | None]("_calendar_due_us")
    blocking_gate = ObservedAttribute[GateStatus | None]("_blocking_gate")

    def __init__(self, spec: JobSpec, submitted_us: int, version: int, at_us: int) -> None:
        self.change_feeds: ChangeFeeds[Job] | None = None
        self.serial = 0
        self.spec = spec
        self.id = spec.id
        self.team = spec.team
        #: Time of day of the submission; ``first_seen_us`` is the same on this node's steady clock.
        self.submitted_us = submitted_us
        self._first_seen_us = at_us
        self.version = version
        #: The time at which the last needed job was done. Waiting times that users see count from
        #: then; the deadline does not.
        self._runnable_since_us = at_us
        #: The deadline that a calendar document set when the job was accepted.
        self.calendar_deadline: CalendarDeadline | None = None
        #: The calendar deadline on this node's steady clock, early enough to be met by every clock.
        self._calendar_due_us: int | None = None
        self.gate_hold: GateHold | None = None
        #: The status of the gate that blocks the job now; None: no gate blocks the job.
        self._blocking_gate: GateStatus | None = None
        #: Ids of needed jobs that are not known to be committed as done.
        self.unmet_dependencies: frozenset[str] = frozenset()
        #: The highest priority among the job and the jobs that need it; and the due times at which
        #: the job has to be done so that those jobs are in time, the earliest first
        #: (``scheduling/inherited_priority.py``).
        self._effective_level = spec.priority_level
        self._inherited_due_us: tuple[int, ...] = ()
        #: Whether the cancellation is committed; and whether the user has requested it, so that it
        #: may be committed already.
        self._cancelled = False
        self._cancel_requested = False
        #: Whether the job's end or cancellation is being committed; and whether its progress is.
        self._finishing = False
        self.saving = False
        self.states = bytearray(spec.tasks)
        self.active: dict[int, Attempt] = {}
        self.done = 0
        self.committed = 0
        #: Stopped tasks, which are restarted before new tasks are started.
        self.restart_queue: list[int] = []
        self._next_new_task = 0
        self.zones: Counter[str] = Counter()
        self.uncommitted_chunks: set[int] = set()
        self.last_machine: dict[int, str] = {}
        self.checkpoints_us: dict[int, int] = {}
        self.failed_machines: frozenset[str] = frozenset()
        self.failures = 0
        #: Whether tasks fail and none is known to succeed. Such a job is tried one task at a time,
        #: and no task is stopped and no machine rented for it. ``fails_everywhere``: the job
        #: fails on healthy machines.
        self._on_probation = False
        self.fails_everywhere = False
        #: Whether the job is on probation without a machine to try it on; one may be rented then.
        self._stranded = False
        #: The time from which it may be tried again on a machine where it failed, if it has room
        #: on no other and it is not known yet whose fault the failures are.
        self.retry_failed_us = 0
        self._not_before_us = 0
        self.reported_late = False
        #: The time at which the jobs that it needs are expected to be done; None: unknown.
        self.expected_start_us: int | None = None
        #: The expected finish on the steady clock; None: unknown.
        self.expected_finish_us: int | None = None
        #: The time at which the expected finish was computed; 0: never.
        self.forecast_made_us = 0

    def notify_changed(self) -> None:
        """Publish a change of the job that may affect decisions about it."""
        if self.change_feeds is not None:
            self.change_feeds.publish(self.id, self)

    @property
    def due_us(self) -> int | None:
        """The earlier of the job's own deadline and its calendar deadline; None: it has neither."""
        calendar_due_us = self._calendar_due_us
        if self.spec.deadline_s is None:
            return calendar_due_us
        deadline_us = self._first_seen_us + seconds_us(self.spec.deadline_s)
        return deadline_us if calendar_due_us is None else min(calendar_due_us, deadline_us)

    @property
    def waiting(self) -> int:
        """The number of tasks to be placed; 0 while other jobs or a gate block the job.

        A job on probation has one such task at most. A job that failed wherever it ran took
        capacity for all its tasks again and again, on every machine and to the cost of other jobs.
        """
        if self.must_stop or self.unmet_dependencies or self._blocking_gate is not None:
            return 0
        if self._on_probation and self.active:
            return 0
        waiting = self.spec.tasks - self.done - len(self.active)
        return min(waiting, 1) if self._on_probation else waiting

    def avoids(self, machine: str) -> bool:
        """Whether the job failed on a machine and is to be tried elsewhere to learn why."""
        is_to_be_tried = self._on_probation and (self._stranded or not self.fails_everywhere)
        return is_to_be_tried and machine in self.failed_machines

    @property
    def must_stop(self) -> bool:
        """Whether its tasks have to stop: the job is cancelled, or a cancellation was requested."""
        return self._cancelled or self._cancel_requested

    @property
    def running(self) -> int:
        """The number of tasks that run or save their progress."""
        return sum(
            1
            for a in self.active.values()
            if a.phase in (AttemptPhase.RUNNING, AttemptPhase.SAVING)
        )

    @property
    def status(self) -> str:
        """The status that users see until the job has ended."""
        if self.cancelled:
            return "withdrawn"
        return "running" if self.running else "pending"

    def expected_ends_us(
        self, task_us: int, at_us: int, excluded_machines: Container[str] = ()
    ) -> list[int]:
        """Return the expected end of each attempt that runs on none of the excluded machines.

        An end is the current time plus the attempt's ``remaining_us``, computed inline here. This
        runs for all attempts of a fleet each second, and calling ``remaining_us`` for each attempt
        took a third of the time of a pass at fleet size.
        """
        half_us = task_us // 2
        found = []
        for attempt in self.active.values():
            if excluded_machines and attempt.machine in excluded_machines:
                continue
            remaining_us = (half_us if attempt.adopted else task_us) - attempt.checkpointed_us
            if attempt.running_since_us:
                remaining_us += attempt.running_since_us - at_us
            found.append(at_us + remaining_us if remaining_us > 0 else at_us)
        return found

    def peek_waiting(self) -> int | None:
        """Return the next task to start, preferring stopped tasks; None if no task waits."""
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

    def waiting_indexes(self, limit: int) -> list[int]:
        """Return up to ``limit`` waiting tasks, stopped tasks first, each once."""
        found: list[int] = []
        seen: set[int] = set()
        for index in self.restart_queue:
            if len(found) >= limit:
                return found
            if self.states[index] == TaskState.WAITING and index not in seen:
                seen.add(index)
                found.append(index)
        self.peek_waiting()
        index = self._next_new_task
        while index < self.spec.tasks and len(found) < limit:
            if self.states[index] == TaskState.WAITING and index not in seen:
                found.append(index)
            index += 1
        return found

    def begin(self, attempt: Attempt, zone: str) -> None:
        """Record an attempt of a waiting task that exists or is about to start."""
        index = attempt.index
        if self.states[index] != TaskState.WAITING:
            raise ValueError(f"cannot start {attempt.task}: the task is not waiting")
        self.states[index] = TaskState.ACTIVE
        self.active[index] = attempt
        self.zones[zone] += 1
        self.last_machine[index] = attempt.machine
        self.notify_changed()

    def end(self, attempt: Attempt, zone: str, *, completed: bool) -> None:
        """Record that an attempt has certainly ended; an uncompleted task waits again."""
        index = attempt.index
        if self.active.get(index) is not attempt:
            raise ValueError(f"{attempt.task}: attempt {attempt.number} is not the active attempt")
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
        """Queue a task that an earlier leader stopped, to start first and on its last machine."""
        if self.states[index] == TaskState.WAITING and index not in self.restart_queue:
            self.restart_queue.append(index)
            self.last_machine[index] = machine
            self.notify_changed()

    def complete_waiting(self, index: int) -> None:
        """Record that a task without an active attempt turned out to be completed."""
        if self.states[index] != TaskState.WAITING:
            raise ValueError(f"cannot complete {self.id}/{index}: the task is not waiting")
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
        """Return the completed flags of a chunk, and the completed tasks not committed yet."""
        start = chunk * CHUNK_TASKS
        states = bytes(self.states[start : start + CHUNK_TASKS])
        uncommitted_indexes: list[int] = []
        position = states.find(TaskState.COMPLETED)
        while position >= 0:
            uncommitted_indexes.append(start + position)
            position = states.find(TaskState.COMPLETED, position + 1)
        return states.translate(_IS_COMPLETED), uncommitted_indexes

    def mark_committed(self, indexes: list[int]) -> None:
        """Record that completions are committed in the store."""
        for index in indexes:
            if self.states[index] == TaskState.COMPLETED:
                self.states[index] = TaskState.COMMITTED
                self.committed += 1

    @property
    def is_complete(self) -> bool:
        """Whether every task is completed; replicas never complete by design."""
        return self.done == self.spec.tasks

    @property
    def has_ended(self) -> bool:
        """Whether all tasks are completed, or the job is cancelled and has no active attempt."""
        return self.is_complete or (self.cancelled and not self.active)

    def zone_limit(self) -> int:
        """Return how many of the tasks may run in one zone."""
        return -(-self.spec.tasks // 2) if self.spec.spread else self.spec.tasks

    def capacity_in_zone(self, zone: str) -> int:
        """Return how many more tasks may be placed in a zone beside the active attempts."""
        if self.spec.zone is not None and zone != self.spec.zone:
            return 0
        if self.spec.one_zone and any(n > 0 for z, n in self.zones.items() if z != zone):
            return 0
        return max(0, self.zone_limit() - self.zones[zone])
