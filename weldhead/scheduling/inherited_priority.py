"""Priority and deadlines that a job inherits from its dependents, the jobs that need its result.

Users set a priority and a deadline only on the last job of a chain. A job that others depend on
runs with the highest priority among its own and theirs, and its inherited deadlines leave enough
time for the rest of the chain. Placement and the preemptor then apply the order by priority and
laxity from the Natjam paper unchanged. A dependent that goes away takes its inherited values along.
"""

from collections.abc import Callable, Iterable, Sequence

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import tasks_that_fit
from weldhead.protocol.wire import MachineType
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives

#: A job keeps at most this many inherited deadlines.
MAX_INHERITED_DEADLINES = 4

#: Generous estimate of the time to commit a job's end and start the jobs that waited for it.
STAGE_HANDOVER_US = SECOND_US


def estimate_stage_us(
    cluster: Cluster, job: Job, estimates: RunTimeEstimates, fetch_gb_per_s: float, margin: float
) -> int:
    """Estimate how long a waiting job takes from its release to its end.

    ``margin`` is added as a share of the run time, because the last of many tasks takes longer
    than the mean.
    """
    spec = job.spec
    team = cluster.teams.get(job.team)
    parallel_tasks = (
        tasks_that_fit(spec, team.cpus_max, team.gpus_max) if team is not None else spec.tasks
    )
    waves = -(-spec.tasks // max(1, parallel_tasks))
    run_us = round(waves * estimates.task_us(job) * (1 + margin))
    return STAGE_HANDOVER_US + seconds_us(spec.image_gb / fetch_gb_per_s) + run_us


def max_fetch_gb_per_s(types: Sequence[MachineType]) -> float:
    """Return the highest image fetch rate of the machine types; 1 GB/s if none states a rate."""
    return max((t.fetch_gb_per_s for t in types if t.fetch_gb_per_s > 0), default=1.0)


def update_inheritance(
    dependency_graph: DependencyGraph,
    jobs: Iterable[Job],
    objectives: ServiceLevelObjectives,
    path_us: Callable[[Job], int],
    at_us: int,
) -> None:
    """Update what the given jobs and all jobs that they depend on inherit from their dependents.

    ``path_us`` estimates how long a job takes from its release to its end. Dependents are updated
    before the jobs that they depend on, so each edge upstream of the change is visited once.
    """
    paths_us: dict[str, int] = {}
    for job in dependency_graph.upstream(jobs):
        gate_level, gate_due_us = dependency_graph.gate_inheritance.get(job.id, (0, ()))
        level = max(job.spec.priority_level, gate_level)
        deadlines_us = set(gate_due_us)
        for dependent in dependency_graph.dependents(job.id):
            level = max(level, dependent.effective_level)
            ends_us = (*objectives.deadlines_us(dependent), *dependent.inherited_due_us)
            if ends_us:
                if dependent.id not in paths_us:
                    paths_us[dependent.id] = path_us(dependent)
                deadlines_us.update(end_us - paths_us[dependent.id] for end_us in ends_us)
        job.effective_level = level
        # The job inherits only the deadlines that lie in the future. If all deadlines have passed,
        # it inherits the latest one.
        kept_us = (
            sorted(due_us for due_us in deadlines_us if due_us > at_us) or sorted(deadlines_us)[-1:]
        )
        job.inherited_due_us = tuple(kept_us[:MAX_INHERITED_DEADLINES])
