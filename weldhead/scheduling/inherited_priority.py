"""What a job inherits from those that need it: their priority, and their deadline.

Users set both on the last job of a chain only. A job that others need counts with the
highest priority among its own and theirs, and has to be done so early that the rest of the
path can still be in time. The paper's order by priority and laxity is then applied as it
is, by placement and preemptor alike; inherited values go with the follower that gave them.
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

#: How many inherited bounds a job keeps.
MOST_BOUNDS = 4

#: What committing an end and starting what waited for it takes, generously.
HANDOVER_US = SECOND_US


def stage_us(
    cluster: Cluster, job: Job, estimates: RunTimeEstimates, fetch_gb_per_s: float, margin: float
) -> int:
    """Estimate how long a waiting job takes from its release to its end.

    Of many tasks the last one takes longer than the mean: that is the margin.
    """
    spec = job.spec
    team = cluster.teams.get(job.team)
    at_once = tasks_that_fit(spec, team.cpus_max, team.gpus_max) if team is not None else spec.tasks
    waves = -(-spec.tasks // max(1, at_once))
    run_us = round(waves * estimates.task_us(job) * (1 + margin))
    return HANDOVER_US + seconds_us(spec.image_gb / fetch_gb_per_s) + run_us


def fetch_rate(types: Sequence[MachineType]) -> float:
    """Return how many GB a second most images arrive at."""
    return max((t.fetch_gb_per_s for t in types if t.fetch_gb_per_s > 0), default=1.0)


def refresh(
    dependency_graph: DependencyGraph,
    jobs: Iterable[Job],
    objectives: ServiceLevelObjectives,
    path_us: Callable[[Job], int],
    at_us: int,
) -> None:
    """Bring up to date what these jobs and those that they need inherit.

    ``path_us`` estimates how long a job takes from its release to its end. Followers come
    first, so each edge upstream of the change is looked at once.
    """
    paths_us: dict[str, int] = {}
    for job in dependency_graph.upstream(jobs):
        lent_level, lent_us = dependency_graph.gate_inheritance.get(job.id, (0, ()))
        level = max(job.spec.level, lent_level)
        bounds = set(lent_us)
        for follower in dependency_graph.dependents(job.id):
            level = max(level, follower.effective_level)
            ends = (*objectives.deadlines_us(follower), *follower.inherited_due_us)
            if ends:
                if follower.id not in paths_us:
                    paths_us[follower.id] = path_us(follower)
                bounds.update(end_us - paths_us[follower.id] for end_us in ends)
        job.effective_level = level
        # Those that can still be kept; of bounds that are all missed the last one.
        kept = sorted(bound for bound in bounds if bound > at_us) or sorted(bounds)[-1:]
        job.inherited_due_us = tuple(kept[:MOST_BOUNDS])
