"""Forecasts: when each job will be finished, and whether that is too late."""

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
    """When the next machine comes up (None: none boots), and the longest usual boot."""

    next_us: int | None
    usual_us: int


def boot_forecast_of(machines: Iterable[Machine]) -> BootForecast:
    """Return what a forecast has to know of the machines."""
    machines = list(machines)
    boots = [m.rented_us + seconds_us(m.type.boot_s) for m in machines if m.booting]
    usual_us = max((seconds_us(m.type.boot_s) for m in machines), default=0)
    return BootForecast(min(boots, default=None), usual_us)


def looks_unable(job: Job) -> bool:
    """Whether a job's tasks fail wherever they run, so that its end cannot be told."""
    return job.broken


def forecast_us(
    cluster: Cluster, job: Job, estimates: RunTimeEstimates, at_us: int, boots: BootForecast
) -> int | None:
    """Return when the job is expected to finish, on the steady clock.

    None: it cannot be told (replicas never finish; a job whose tasks all fail has no end).
    """
    if job.spec.is_service or job.cancelled or looks_unable(job):
        return None
    task_us = estimates.task_us(job)
    waiting = job.waiting
    if not job.active:
        if waiting == 0:
            return at_us
        # Nothing runs yet: the next machine to come up, or else one that is still to be
        # rented, will take as many tasks as the team's limit allows at once.
        next_us = at_us + boots.usual_us if boots.next_us is None else boots.next_us
        slots = max(1, min(waiting, cluster.tasks_within_limit(job)))
        return max(at_us, next_us) + -(-waiting // slots) * task_us
    ends = sorted(job.expected_ends_us(task_us, at_us))
    if waiting == 0:
        return ends[-1]
    # The places that the job holds now take the waiting tasks one after the other.
    waves, rest = divmod(waiting, len(ends))
    finish_us = ends[-1] + waves * task_us
    if rest:
        finish_us = max(finish_us, ends[rest - 1] + (waves + 1) * task_us)
    return finish_us


def forecast_chains(
    dependency_graph: DependencyGraph, cluster: Cluster, stage_us: Callable[[Job], int], at_us: int
) -> None:
    """Forecast the jobs that wait for others, from the forecasts of those; in place.

    Those that are needed come first, so each edge is looked at once.
    """
    for job in dependency_graph.topological_order():
        ends = [
            cluster.jobs[n].expected_finish_us if n in cluster.jobs else None
            for n in job.unmet_dependencies
        ]
        known = [end_us for end_us in ends if end_us is not None]
        job.expected_start_us = max(at_us, *known) if len(known) == len(ends) else None
        if job.expected_start_us is None or job.spec.is_service:
            job.expected_finish_us = None
        else:
            job.expected_finish_us = job.expected_start_us + stage_us(job)


def holding_up(cluster: Cluster, job: Job) -> Job:
    """Return the job that makes a chain's job wait longest: one that waits for none itself."""
    while True:
        needs = [cluster.jobs[name] for name in job.unmet_dependencies if name in cluster.jobs]
        if not needs:
            return job
        job = max(needs, key=lambda need: (need.expected_finish_us or math.inf, need.id))


def due_us(job: Job) -> int | None:
    """Return when the job is due on the steady clock, for itself or for those that need it."""
    own_us = job.due_us
    if own_us is not None:
        return own_us
    return job.inherited_due_us[0] if job.inherited_due_us else None
