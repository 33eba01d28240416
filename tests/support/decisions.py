"""Placement and machines for tests of decisions."""

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase
from weldhead.protocol.settings import Objective
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_pass import plan_starts
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.tunables.defaults import Tunables

S = 1_000_000


TUNABLES = Tunables()


SILENCE = 10 * S


PATIENCE = TUNABLES.preemptor.patience_us


GOALS = ServiceLevelObjectives(
    [
        Objective("wait", "prompt", 0.9, 4.0),
        Objective("finished", "soon", 0.9, 100.0),
        Objective("finished", "soon", 0.8, 50.0),
        Objective("wait", "steady", 0.9, 180.0),
        Objective("deadline", "twice", 0.9, None, 1.0),
        Objective("deadline", "twice", 0.99, None, 1.5),
    ]
)


def starts(into: Cluster, at_us: int = S) -> PlacementPlan:
    return plan_starts(into, RunTimeEstimates(), GOALS, at_us, SILENCE, PATIENCE)


def run_on(into: Cluster, job: Job, index: int, machine: Machine, since_us: int = 0) -> Attempt:
    attempt = into.start(job, index, machine, since_us)
    attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, max(1, since_us)
    return attempt
