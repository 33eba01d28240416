"""Shapes of tasks, kinds of jobs, and a job's position in the placement order.

Jobs of one kind need the same sort of capacity and share one queue. If a job finds no capacity,
or its team's limit rejects it, the same holds for all jobs behind it in the queue, so that a
placement pass skips the rest of that queue.
"""

from typing import NamedTuple

from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, Urgency


class TaskShape(NamedTuple):
    """The resources and placement constraints of a task, regardless of its team and job."""

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool

    @classmethod
    def of(cls, job: Job) -> "TaskShape":
        """Return the shape of a job's tasks."""
        spec = job.spec
        return cls(spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


def exclusive_id(job: Job) -> str:
    """Return the job's ID if its own tasks restrict where its other tasks may run, or else ""."""
    spec = job.spec
    return job.id if spec.one_zone or spec.spread or job.failed_machines else ""


class JobKind(NamedTuple):
    """The properties by which placement treats jobs alike; the key of a backlog queue."""

    team: str
    level: int
    job_class: str
    service: bool
    shape: TaskShape
    #: The job's ID if its running or failed tasks restrict where its other tasks may run, so
    #: that the job has a queue of its own; empty for all other jobs.
    exclusive_job_id: str

    @classmethod
    def of(cls, job: Job) -> "JobKind":
        """Return a job's kind."""
        spec = job.spec
        return cls(
            job.team,
            job.effective_level,
            spec.job_class,
            spec.is_service,
            TaskShape.of(job),
            exclusive_id(job),
        )


class BacklogEntry(NamedTuple):
    """A job's sort key in the placement order, compared field by field.

    The serial is unique, so that the comparison never reaches the job.
    """

    urgency: int
    negated_level: int
    service: int
    latest_start_us: int
    first_seen_us: int
    serial: int
    job: Job


def create_backlog_entry(
    job: Job,
    estimates: RunTimeEstimates,
    objectives: ServiceLevelObjectives,
    at_us: int,
    patience_us: int,
) -> tuple[BacklogEntry, int]:
    """Return a job's entry in the placement order, and the time until which it stays valid."""
    task_us = estimates.published_task_us(job)
    urgency, latest_start_us, until_us = objectives.urgency_window(job, task_us, at_us, patience_us)
    return BacklogEntry(
        int(urgency),
        -job.effective_level if urgency is not Urgency.DEFERRABLE else 0,
        1 if job.spec.is_service else 0,
        latest_start_us,
        job.first_seen_us,
        job.serial,
        job,
    ), until_us
