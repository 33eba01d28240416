"""Whether a bound job is on track, and the true reason if it is not. Pure.

A forecast is only as good as what is known of a class: of a job whose class has no history
here nothing is guessed, until its instant is past.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from weldhead.calendars.deadline_table import SOON_US
from weldhead.calendars.formatting import span, utc
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.forecast.completion_times import BootForecast, holding_up

#: How many late jobs that line names.
NAMED = 5


class DeadlineStanding(enum.Enum):
    """How a bound job stands."""

    ON_TRACK = "on track"
    LATE = "late"
    UNKNOWN = "unknown"


def standing(job: Job, at_us: int, *, has_history: bool, least_us: int = 0) -> DeadlineStanding:
    """Say how a bound job stands, by its latest forecast; ``due_s`` is another matter.

    ``least_us`` is what it would take if it were released now: one that is held, nobody knows
    for how long, is late when even that is too much.
    """
    due_us = job.calendar_due_us
    if due_us is None or job.complete:
        return DeadlineStanding.ON_TRACK
    if at_us > due_us or job.broken:
        return DeadlineStanding.LATE
    if not has_history:
        return DeadlineStanding.UNKNOWN
    if job.expected_finish_us is None:
        too_much = job.blocking_gate is not None and at_us + least_us > due_us
        return DeadlineStanding.LATE if too_much else DeadlineStanding.UNKNOWN
    return DeadlineStanding.LATE if job.expected_finish_us > due_us else DeadlineStanding.ON_TRACK


def reason(
    cluster: Cluster, job: Job, boots: BootForecast, at_us: int, held: Callable[[Job], str]
) -> str:
    """Say why a job is late: what keeps it now, the first of what has to go first.

    ``held`` says of a held job which gate holds it, and why.
    """
    stage = holding_up(cluster, job)
    if stage is not job:
        own = _own(cluster, stage, boots, at_us, held)
        return f"it waits for {stage.id} ({stage.spec.job_class}), {own}"
    if job.unmet_dependencies:
        return "it waits for a job of which nothing is known yet"
    return _own(cluster, job, boots, at_us, held)


def _own(
    cluster: Cluster, job: Job, boots: BootForecast, at_us: int, held: Callable[[Job], str]
) -> str:
    if job.blocking_gate is not None and not job.active and not job.complete:
        # Nothing of it may start, whatever room there is.
        return f"held by {held(job) or 'a gate of which nothing is known yet'}"
    done = f"{job.done} of {job.spec.tasks} tasks done"
    if job.broken:
        return f"its tasks fail everywhere; {done}"
    waiting = job.waiting
    if not waiting:
        return f"its last tasks run; {done}"
    if cluster.tasks_within_limit(job) < 1:
        return f"no room within the limit of team {job.team} for {waiting} tasks; {done}"
    if boots.next_us is not None and not job.active:
        return f"a machine boots, up in {span(max(0, boots.next_us - at_us))}; {done}"
    if not job.active:
        return f"no machine has room for its tasks yet; {done}"
    return f"{waiting} tasks wait for room beside {len(job.active)} that run; {done}"


@dataclass
class LatenessSummary:
    """The bound jobs of one moment, as a new leader tells of them."""

    bound: int = 0
    soon: dict[DeadlineStanding, int] = field(
        default_factory=lambda: dict.fromkeys(DeadlineStanding, 0)
    )
    late: list[str] = field(default_factory=list)
    first: Job | None = None

    def line(self) -> str:
        """Return it in words."""
        soon = self.soon
        text = f"{self.bound} jobs are bound; due within the hour: {sum(soon.values())}"
        text += "".join(f", {one.value} {count}" for one, count in soon.items())
        if self.late:
            more = len(self.late) - NAMED
            text += f" (late: {', '.join(self.late[:NAMED])}"
            text += f" and {more} more)" if more > 0 else ")"
        if self.first is not None and self.first.calendar_deadline is not None:
            bound = self.first.calendar_deadline
            text += f"; first {self.first.id}, by {utc(bound.due_us)} ({bound.calendar})"
        return text


def account(judged: Iterable[tuple[Job, DeadlineStanding]], at_us: int) -> LatenessSummary:
    """Count bound jobs that are not over."""
    found = LatenessSummary()
    for job, stands in judged:
        due_us = job.calendar_due_us
        if due_us is None or job.cancelled or job.complete:
            continue
        found.bound += 1
        if found.first is None or due_us < (found.first.calendar_due_us or 0):
            found.first = job
        if due_us - at_us <= SOON_US:
            found.soon[stands] += 1
            if stands is DeadlineStanding.LATE:
                found.late.append(job.id)
    return found
