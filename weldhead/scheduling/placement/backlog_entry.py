"""Shapes of tasks, kinds of jobs, and a job's position in the placement order.

Jobs of one kind look for the same capacity and stand in one queue: where one of them finds none,
or its team's limit refuses it, none behind it does better, and a pass leaves the whole queue.
"""

from typing import NamedTuple

from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, Urgency


class TaskShape(NamedTuple):
    """What decides where a task fits, whoever's it is."""

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


class JobKind(NamedTuple):
    """Jobs whose tasks are looked for room alike."""

    team: str
    level: int
    job_class: str
    service: bool
    shape: TaskShape
    #: The job alone, where its own tasks limit or move where others may go.
    own: str

    @classmethod
    def of(cls, job: Job) -> "JobKind":
        """Return a job's kind."""
        spec = job.spec
        own = job.id if spec.one_zone or spec.spread or job.failed_machines else ""
        return cls(
            job.team, job.effective_level, spec.job_class, spec.is_service, TaskShape.of(job), own
        )


class BacklogEntry(NamedTuple):
    """A job's place in the order; the first differing field decides, the serial at last."""

    urgency: int
    level: int
    service: int
    start_us: int
    first_seen_us: int
    serial: int
    job: Job


def entry_of(
    job: Job,
    estimates: RunTimeEstimates,
    objectives: ServiceLevelObjectives,
    at_us: int,
    patience_us: int,
) -> tuple[BacklogEntry, int]:
    """Return a job's place in the order, and until when it is that."""
    task_us = estimates.published_task_us(job)
    press, start_us, until_us = objectives.urgency_window(job, task_us, at_us, patience_us)
    return BacklogEntry(
        int(press),
        -job.effective_level if press is not Urgency.DEFERRABLE else 0,
        1 if job.spec.is_service else 0,
        start_us,
        job.first_seen_us,
        job.serial,
        job,
    ), until_us
