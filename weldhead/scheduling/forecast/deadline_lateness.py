"""Whether a job will meet its calendar deadline, and the reason if it will not. No I/O.

A calendar deadline is the instant by which a calendar wants the job finished. A forecast is only as
good as the observed run times behind it: a job of a class without observations counts as neither on
track nor late until its deadline has passed.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from weldhead.calendars.deadline_table import DUE_SOON_WINDOW_US
from weldhead.calendars.formatting import format_duration, format_utc
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.forecast.completion_times import BootForecast, find_blocking_job

#: The summary line names at most this many late jobs.
MAX_NAMED_LATE_JOBS = 5


class DeadlineStatus(enum.Enum):
    """Whether a job with a calendar deadline will meet the deadline."""

    ON_TRACK = "on track"
    LATE = "late"
    UNKNOWN = "unknown"


def assess_deadline(
    job: Job, at_us: int, *, has_history: bool, min_duration_us: int = 0
) -> DeadlineStatus:
    """Compare a job's latest forecast with its calendar deadline.

    The deadline that the user set in the job (``deadline_s``) is not considered.

    ``min_duration_us`` is how long the job would take if it were released now. The forecast of a
    job behind a closed gate may be unknown, because the opening time of the gate is. Such a job is
    late if an immediate release would already be too late.
    """
    due_us = job.calendar_due_us
    if due_us is None or job.is_complete:
        return DeadlineStatus.ON_TRACK
    if at_us > due_us or job.fails_everywhere:
        return DeadlineStatus.LATE
    if not has_history:
        return DeadlineStatus.UNKNOWN
    if job.expected_finish_us is None:
        is_too_late = job.blocking_gate is not None and at_us + min_duration_us > due_us
        return DeadlineStatus.LATE if is_too_late else DeadlineStatus.UNKNOWN
    return DeadlineStatus.LATE if job.expected_finish_us > due_us else DeadlineStatus.ON_TRACK


def explain_lateness(
    cluster: Cluster,
    job: Job,
    boots: BootForecast,
    at_us: int,
    describe_gate: Callable[[Job], str],
) -> str:
    """Return why a job is late: what currently delays it, or the dependency that blocks it.

    ``describe_gate`` returns which gate blocks a job, and why the gate is closed.
    """
    blocking_job = find_blocking_job(cluster, job)
    if blocking_job is not job:
        cause = _explain_own_delay(cluster, blocking_job, boots, at_us, describe_gate)
        return f"it waits for {blocking_job.id} ({blocking_job.spec.job_class}), {cause}"
    if job.unmet_dependencies:
        return "it waits for a job of which nothing is known yet"
    return _explain_own_delay(cluster, job, boots, at_us, describe_gate)


def _explain_own_delay(
    cluster: Cluster,
    job: Job,
    boots: BootForecast,
    at_us: int,
    describe_gate: Callable[[Job], str],
) -> str:
    """Return what currently delays a job without unmet dependencies."""
    if job.blocking_gate is not None and not job.active and not job.is_complete:
        # A closed gate keeps all tasks from starting, even if machines have free capacity.
        return f"held by {describe_gate(job) or 'a gate of which nothing is known yet'}"
    progress = f"{job.done} of {job.spec.tasks} tasks done"
    if job.fails_everywhere:
        return f"its tasks fail everywhere; {progress}"
    waiting = job.waiting
    if not waiting:
        return f"its last tasks run; {progress}"
    if cluster.tasks_within_limit(job) < 1:
        return f"no room within the limit of team {job.team} for {waiting} tasks; {progress}"
    if boots.next_ready_us is not None and not job.active:
        return (
            f"a machine boots, up in {format_duration(max(0, boots.next_ready_us - at_us))}; "
            f"{progress}"
        )
    if not job.active:
        return f"no machine has room for its tasks yet; {progress}"
    return f"{waiting} tasks wait for room beside {len(job.active)} that run; {progress}"


@dataclass
class LatenessSummary:
    """Counts of the unfinished jobs with calendar deadlines, which a new leader logs."""

    job_count: int = 0
    #: Jobs due within the hour or overdue, by status.
    due_soon: dict[DeadlineStatus, int] = field(
        default_factory=lambda: dict.fromkeys(DeadlineStatus, 0)
    )
    #: Ids of the late jobs among those due within the hour or overdue.
    late_job_ids: list[str] = field(default_factory=list)
    #: The job with the earliest deadline.
    first_due_job: Job | None = None

    def format_line(self) -> str:
        """Return the summary as one line of text."""
        due_soon = self.due_soon
        text = f"{self.job_count} jobs are bound; due within the hour: {sum(due_soon.values())}"
        text += "".join(f", {status.value} {count}" for status, count in due_soon.items())
        if self.late_job_ids:
            unnamed = len(self.late_job_ids) - MAX_NAMED_LATE_JOBS
            text += f" (late: {', '.join(self.late_job_ids[:MAX_NAMED_LATE_JOBS])}"
            text += f" and {unnamed} more)" if unnamed > 0 else ")"
        if self.first_due_job is not None and self.first_due_job.calendar_deadline is not None:
            due = self.first_due_job.calendar_deadline
            text += f"; first {self.first_due_job.id}, by {format_utc(due.due_us)} ({due.calendar})"
        return text


def summarize_lateness(
    assessed_jobs: Iterable[tuple[Job, DeadlineStatus]], at_us: int
) -> LatenessSummary:
    """Count the unfinished jobs with calendar deadlines."""
    summary = LatenessSummary()
    for job, status in assessed_jobs:
        due_us = job.calendar_due_us
        if due_us is None or job.cancelled or job.is_complete:
            continue
        summary.job_count += 1
        if summary.first_due_job is None or due_us < (summary.first_due_job.calendar_due_us or 0):
            summary.first_due_job = job
        if due_us - at_us <= DUE_SOON_WINDOW_US:
            summary.due_soon[status] += 1
            if status is DeadlineStatus.LATE:
                summary.late_job_ids.append(job.id)
    return summary
