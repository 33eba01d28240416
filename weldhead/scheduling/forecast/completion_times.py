"""Forecasts of when jobs finish, and when they are due."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.scheduling.forecast.run_times import RunTimeEstimates


@dataclass(frozen=True)
class BootForecast:
    """When the next machine finishes booting, and how long boots take."""

    #: When the next booting machine is expected to be up; None if no machine is booting.
    next_ready_us: int | None
    #: The longest boot time of the machine types in the cluster.
    longest_boot_us: int


def forecast_boots(machines: Iterable[Machine]) -> BootForecast:
    """Compute the boot forecast from all machines of a cluster."""
    machines = list(machines)
    ready_us = [m.rented_us + seconds_us(m.type.boot_s) for m in machines if m.is_booting]
    longest_boot_us = max((seconds_us(m.type.boot_s) for m in machines), default=0)
    return BootForecast(min(ready_us, default=None), longest_boot_us)


def is_failing_everywhere(job: Job) -> bool:
    """Return whether a job's tasks fail on every machine, so that its finish is unknown."""
    return job.fails_everywhere


def forecast_finish_us(
    cluster: Cluster, job: Job, estimates: RunTimeEstimates, at_us: int, boots: BootForecast
) -> int | None:
    """Return when the job is expected to finish, on the steady clock.

    None if the finish is unknown: services never finish, a cancelled job does not complete, and
    the tasks of a broken job fail on every machine.
    """
    if job.spec.is_service or job.cancelled or is_failing_everywhere(job):
        return None
    task_us = estimates.task_us(job)
    waiting = job.waiting
    if not job.active:
        if waiting == 0:
            return at_us
        # No task runs yet. The next machine to finish booting, or a machine that is still to be
        # rented, is assumed to run as many tasks at once as the team's limit allows.
        ready_us = (
            at_us + boots.longest_boot_us if boots.next_ready_us is None else boots.next_ready_us
        )
        slots = max(1, min(waiting, cluster.tasks_within_limit(job)))
        return max(at_us, ready_us) + -(-waiting // slots) * task_us
    ends_us = sorted(job.expected_ends_us(task_us, at_us))
    if waiting == 0:
        return ends_us[-1]
    # The waiting tasks are assumed to run in waves, each in the place of a task that has ended.
    waves, rest = divmod(waiting, len(ends_us))
    finish_us = ends_us[-1] + waves * task_us
    if rest:
        finish_us = max(finish_us, ends_us[rest - 1] + (waves + 1) * task_us)
    return finish_us


def forecast_dependent_jobs(
    dependency_graph: DependencyGraph, cluster: Cluster, stage_us: Callable[[Job], int], at_us: int
) -> None:
    """Update the forecasts of all jobs with unmet dependencies, from those dependencies' forecasts.

    ``stage_us`` estimates how long a job takes from its release to its end. Dependencies come
    before their dependents, so each edge is visited once.
    """
    for job in dependency_graph.topological_order():
        ends_us = [
            cluster.jobs[name].expected_finish_us if name in cluster.jobs else None
            for name in job.unmet_dependencies
        ]
        known_us = [end_us for end_us in ends_us if end_us is not None]
        job.expected_start_us = max(at_us, *known_us) if len(known_us) == len(ends_us) else None
        if job.expected_start_us is None or job.spec.is_service:
            job.expected_finish_us = None
        else:
            job.expected_finish_us = job.expected_start_us + stage_us(job)


def find_blocking_job(cluster: Cluster, job: Job) -> Job:
    """Return the job without unmet dependencies that delays the given job the most.

    The search follows, from dependency to dependency, the one that is expected to finish last. A
    job without unmet dependencies is returned itself.
    """
    while True:
        dependencies = [
            cluster.jobs[name] for name in job.unmet_dependencies if name in cluster.jobs
        ]
        if not dependencies:
            return job
        job = max(
            dependencies,
            key=lambda dependency: (dependency.expected_finish_us or math.inf, dependency.id),
        )


def effective_due_us(job: Job) -> int | None:
    """Return the job's own due time, or else its first inherited one, on the steady clock."""
    own_us = job.due_us
    if own_us is not None:
        return own_us
    return job.inherited_due_us[0] if job.inherited_due_us else None
