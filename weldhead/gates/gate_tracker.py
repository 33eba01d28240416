"""What a term has in memory of one gate: its state, and the jobs that it holds. No I/O.

A job that is bound to the gate is *held* while the gate is not open for it by what is
committed, nor by what is being committed: so it is held before a closing is written, and
released after an opening is.
"""

from collections.abc import Iterable, Iterator

from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.records import GateHold
from weldhead.cluster_state.states import AttemptPhase, GateStatus, StopRequest
from weldhead.gates.gate_document import Gate
from weldhead.gates.gate_state import GateState, needed_now, permits, waits_for

#: Attempts that have not begun, as far as is known.
UNBEGUN = (AttemptPhase.ASSIGNED, AttemptPhase.PULLING)


class GateTracker:
    """One gate in a term."""

    def __init__(self, name: str) -> None:
        self.name = name
        #: None: it cannot be read, so nothing is let through.
        self.document: Gate | None = None
        self.state: GateState | None = None
        #: The state that is being written.
        self.pending_state: GateState | None = None
        #: The edition of the documents that is in force has no such gate: it holds nothing.
        self.retired = False
        #: It may be open for more than when its jobs were looked at last.
        self.needs_release = True
        #: All jobs that are bound to it, held or not.
        self.jobs: dict[str, Job] = {}
        self.status = GateStatus(name)
        #: Acts that are entered and wait until it is surely closed.
        self.pending_actions: dict[str, Job] = {}
        #: No task of a job that it holds can begin any more.
        self.quiesced = False
        #: What was said of it last.
        self.last_logged = ""
        #: Since when machines are rented ahead for it (0: they are not).
        self.prerented_since_us = 0
        #: A job has left since what it lends was reckoned anew, and when that was.
        self.jobs_left = False
        self.inheritance_checked_us = 0

    def may_start(self, job: Job) -> bool:
        """Whether it is open for a job that is bound to it."""
        if self.retired:
            return True
        if self.document is None or self.state is None or job.gate_hold is None:
            return False
        former, least = self.document.former, job.gate_hold.edition
        if self.pending_state is not None and not permits(former, self.pending_state, least):
            return False
        return permits(former, self.state, least)

    def add_job(self, job: Job) -> None:
        """Take up a job that is bound to it; one whose record does not say so by what holds now."""
        if job.gate_hold is None:
            known = self.pending_state or self.state
            job.gate_hold = GateHold(self.name, needed_now(known) if known is not None else 1)
        self.jobs[job.id] = job
        job.blocking_gate = None if self.may_start(job) else self.status

    def hold_jobs(self) -> list[Job]:
        """Hold the jobs for which it is not open any more, and return them."""
        found = [
            job
            for job in self.jobs.values()
            if job.blocking_gate is None and not self.may_start(job)
        ]
        for job in found:
            job.blocking_gate = self.status
        return found

    def releasable(self) -> list[Job]:
        """Return the jobs for which it is open and that are held still, most urgent first."""
        found = [
            job
            for job in self.jobs.values()
            if job.blocking_gate is not None and self.may_start(job)
        ]
        return sorted(found, key=urgency)

    def opened_us(self, job: Job) -> int:
        """Return the time of day since when it is open for a job; 0: it is not, or is gone."""
        if self.state is None or job.gate_hold is None:
            return 0
        least = job.gate_hold.edition
        found = [e.opened_us for e in self.state.editions if e.open and e.number >= least]
        return min(found, default=0)

    def held_count(self) -> int:
        """How many jobs it holds."""
        return sum(1 for job in self.jobs.values() if job.blocking_gate is not None)

    def required_stops(self, job: Job) -> Iterator[tuple[Attempt, StopRequest]]:
        """Iterate over what has to be stopped of a job that is held, and how."""
        stop_running = self.document is not None and self.document.former == "stop"
        for attempt in job.active.values():
            wanted = StopRequest.NO
            if attempt.phase in UNBEGUN:
                wanted = StopRequest.HARD
            elif attempt.phase is AttemptPhase.RUNNING and stop_running:
                wanted = StopRequest.SOFT
            if wanted.value > attempt.stop_request.value:
                yield attempt, wanted

    def waiting_reason(self) -> str:
        """Say in words what its newest edition waits for; "": it is open."""
        if self.document is None or self.state is None:
            return "its document or state cannot be read"
        return waits_for(self.document, self.state)


def unbegun(job: Job) -> bool:
    """Whether a task of the job may be about to begin."""
    return any(attempt.phase in UNBEGUN for attempt in job.active.values())


def urgency(job: Job) -> tuple[int, int, int]:
    """Order jobs by priority, deadline and age."""
    due_us = job.inherited_due_us[0] if job.inherited_due_us else 1 << 62
    if job.spec.deadline_s is not None:
        due_us = min(due_us, job.first_seen_us + round(job.spec.deadline_s * 1_000_000))
    return -job.effective_level, due_us, job.first_seen_us


def opens_us(tracker: GateTracker, ends_us: dict[str, int | None]) -> int | None:
    """Return when a gate is expected to open for what it holds; None: it cannot be told.

    ``ends_us`` are the expected ends of the acts under way. While somebody still has to submit
    an act nobody knows when that will be.
    """
    state = tracker.state
    if state is None or state.newest is None or state.newest.open or tracker.document is None:
        return None
    edition = state.newest
    missing = [
        act
        for act, done in (
            ("rebuild", edition.rebuilt),
            ("approval", bool(edition.approved_by)),
            ("publication", bool(edition.published_by)),
        )
        if not done
    ]
    latest: list[int] = []
    for act in missing:
        ends = [ends_us.get(job_id) for job_id in state.pends(act, edition.number)]
        known = [end_us for end_us in ends if end_us is not None]
        if not known:
            return None
        latest.append(min(known))
    return max(latest)


def lent(
    bounds: Iterable[tuple[int, Iterable[int]]], most: int, at_us: int
) -> tuple[int, tuple[int, ...]]:
    """Return the priority and the nearest bounds that can be kept of what is held."""
    level, found = 0, set[int]()
    for job_level, ends in bounds:
        level = max(level, job_level)
        found.update(ends)
    kept = sorted(end_us for end_us in found if end_us > at_us) or sorted(found)[-1:]
    return level, tuple(kept[:most])
