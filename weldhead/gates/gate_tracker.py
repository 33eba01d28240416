"""A leader's in-memory state of one release gate: its stored state, and its jobs. No I/O.

A job that is bound to a gate is *held* unless both the committed state of the gate and the state
that is being committed permit it to start. So jobs are held before a change that closes the gate is
written, and released after a change that opens the gate is committed.
"""

from collections.abc import Iterable, Iterator

from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.records import GateHold
from weldhead.cluster_state.states import AttemptPhase, GateStatus, StopRequest
from weldhead.gates.gate_document import Gate
from weldhead.gates.gate_state import (
    GateState,
    explain_closed_gate,
    is_open_for,
    required_edition,
)

#: Phases of attempts whose task, as far as the leader knows, has not started to run.
STARTING_PHASES = (AttemptPhase.ASSIGNED, AttemptPhase.PULLING)


class GateTracker:
    """Tracks the state of one gate and the jobs that are bound to it, for one leader's term."""

    def __init__(self, name: str) -> None:
        self.name = name
        #: The gate's document; None: it can't be read, so no job may start.
        self.document: Gate | None = None
        #: The committed state; None: it can't be read, so no job may start.
        self.state: GateState | None = None
        #: The state that is being written; None: no write is in progress.
        self.pending_state: GateState | None = None
        #: The edition of the documents in force doesn't contain the gate, so it holds no job.
        self.retired = False
        #: Jobs may have become releasable since the last release.
        self.needs_release = True
        #: All jobs that are bound to the gate, held or not, by id.
        self.jobs: dict[str, Job] = {}
        self.status = GateStatus(name)
        #: Jobs whose actions are entered and which may start once the gate is quiesced, by id.
        self.pending_actions: dict[str, Job] = {}
        #: No task of a job that the gate holds can start any more.
        self.quiesced = False
        #: The state of the gate as logged last.
        self.last_logged = ""
        #: Since when machines are rented for the gate's jobs before it opens; 0: none are.
        self.prerented_since_us = 0
        #: Whether a job has left the gate since the inheritance was last recomputed from all jobs.
        self.has_departed_jobs = False
        #: When the inheritance was last recomputed from all jobs.
        self.inheritance_checked_us = 0

    def can_start(self, job: Job) -> bool:
        """Return whether the gate permits the start of a job that is bound to it."""
        if self.retired:
            return True
        if self.document is None or self.state is None or job.gate_hold is None:
            return False
        former_work, min_edition = self.document.former, job.gate_hold.edition
        if self.pending_state is not None and not is_open_for(
            former_work, self.pending_state, min_edition
        ):
            return False
        return is_open_for(former_work, self.state, min_edition)

    def add_job(self, job: Job) -> None:
        """Bind a job to the gate, and hold the job unless it can start.

        A job whose record names no edition gets the one that a job accepted now would need.
        """
        if job.gate_hold is None:
            state = self.pending_state or self.state
            job.gate_hold = GateHold(self.name, required_edition(state) if state is not None else 1)
        self.jobs[job.id] = job
        job.blocking_gate = None if self.can_start(job) else self.status

    def hold_jobs(self) -> list[Job]:
        """Hold the released jobs that can't start any more, and return them."""
        newly_held = [
            job
            for job in self.jobs.values()
            if job.blocking_gate is None and not self.can_start(job)
        ]
        for job in newly_held:
            job.blocking_gate = self.status
        return newly_held

    def find_releasable_jobs(self) -> list[Job]:
        """Return the held jobs that can start, the most urgent ones first."""
        releasable = [
            job
            for job in self.jobs.values()
            if job.blocking_gate is not None and self.can_start(job)
        ]
        return sorted(releasable, key=urgency_key)

    def opened_us(self, job: Job) -> int:
        """Return the time of day at which the gate opened for a job.

        0: the gate is closed for the job, or the edition is not kept any more.
        """
        if self.state is None or job.gate_hold is None:
            return 0
        min_edition = job.gate_hold.edition
        opening_times_us = [
            e.opened_us for e in self.state.editions if e.is_open and e.number >= min_edition
        ]
        return min(opening_times_us, default=0)

    def count_held_jobs(self) -> int:
        """Return the number of jobs that the gate holds."""
        return sum(1 for job in self.jobs.values() if job.blocking_gate is not None)

    def required_stops(self, job: Job) -> Iterator[tuple[Attempt, StopRequest]]:
        """Iterate over the attempts of a held job that have to be stopped, and how."""
        stop_running = self.document is not None and self.document.former == "stop"
        for attempt in job.active.values():
            request = StopRequest.NO
            if attempt.phase in STARTING_PHASES:
                request = StopRequest.HARD
            elif attempt.phase is AttemptPhase.RUNNING and stop_running:
                request = StopRequest.SOFT
            if request.value > attempt.stop_request.value:
                yield attempt, request

    def waiting_reason(self) -> str:
        """Return what the newest edition waits for; "": it is open."""
        if self.document is None or self.state is None:
            return "its document or state cannot be read"
        return explain_closed_gate(self.document, self.state)


def has_starting_attempts(job: Job) -> bool:
    """Return whether a task of the job may be about to start."""
    return any(attempt.phase in STARTING_PHASES for attempt in job.active.values())


def urgency_key(job: Job) -> tuple[int, int, int]:
    """Return a sort key that orders jobs by priority, deadline and age."""
    due_us = job.inherited_due_us[0] if job.inherited_due_us else 1 << 62
    if job.spec.deadline_s is not None:
        due_us = min(due_us, job.first_seen_us + round(job.spec.deadline_s * 1_000_000))
    return -job.effective_level, due_us, job.first_seen_us


def estimate_opening_us(tracker: GateTracker, ends_us: dict[str, int | None]) -> int | None:
    """Return when the newest edition is expected to open; None: it is open, or unknown.

    ``ends_us`` has the expected ends of the jobs that perform the pending actions, by id. The
    opening time is unknown while a required action isn't pending, because nobody knows when its
    job will be submitted.
    """
    state = tracker.state
    if state is None or state.newest is None or state.newest.is_open or tracker.document is None:
        return None
    edition = state.newest
    missing_actions = [
        action
        for action, is_done in (
            ("rebuild", edition.rebuilt),
            ("approval", bool(edition.approved_by)),
            ("publication", bool(edition.published_by)),
        )
        if not is_done
    ]
    action_ends_us: list[int] = []
    for action in missing_actions:
        job_ends_us = [ends_us.get(job_id) for job_id in state.pending_jobs(action, edition.number)]
        known_ends_us = [end_us for end_us in job_ends_us if end_us is not None]
        if not known_ends_us:
            return None
        action_ends_us.append(min(known_ends_us))
    return max(action_ends_us)


def combine_inheritance(
    held_jobs: Iterable[tuple[int, Iterable[int]]], max_deadlines: int, at_us: int
) -> tuple[int, tuple[int, ...]]:
    """Return the priority and the deadlines that an action inherits from the held jobs.

    ``held_jobs`` has the priority level and the deadlines of each job. The result is the highest
    level and the nearest ``max_deadlines`` future deadlines. If all deadlines have passed, the
    result has only the latest of them.
    """
    level, all_deadlines_us = 0, set[int]()
    for job_level, deadlines_us in held_jobs:
        level = max(level, job_level)
        all_deadlines_us.update(deadlines_us)
    inherited_us = (
        sorted(due_us for due_us in all_deadlines_us if due_us > at_us)
        or sorted(all_deadlines_us)[-1:]
    )
    return level, tuple(inherited_us[:max_deadlines])
