"""Incremental decisions equal those of a full recomputation, after each of many random changes.

Each of the two short tests pins a rare case in which the incremental preemption pass skips a queue
of claimants and has to return to it.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.builders import TOKEN, add_job, job_spec, machine_type
from tests.support.towns import PATIENCE, PREEMPTOR, SILENCE, S, Town
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.reclaim import ReclaimLists
from weldhead.cluster_state.states import AttemptPhase
from weldhead.protocol.settings import Team
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_pass import plan_starts
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_incremental_plans_equal_full_recomputation(seed: int) -> None:
    town = Town(seed)
    for _ in range(60):
        for _ in range(town.dice.randint(1, 3)):
            town.change()
        town.compare_placement()
        town.cluster.check_invariants()
        town.scene.refresh(town.now)
        assert town.scene.backlog.find_inconsistent_jobs() == []
        town.compare_forecasts()


def test_surplus_of_a_victim_reaches_skipped_claimants() -> None:
    state = Cluster([Team("red", 0, 99), Team("blue", 8, 99)], TOKEN)
    machine = Machine("vm-000001", machine_type(), "a", False, 0)
    state.machines[machine.name] = machine
    machine.enrolled = machine.reconciled = True
    machine.newest_message, machine.last_heartbeat_us = (1, 1), S
    idle_job = add_job(state, job_spec(1, team="blue", priority="idle", tasks=1, cpus=4.0))
    attempt = state.start(idle_job, 0, machine, S)
    attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, S
    # Team red's jobs are of one kind and may not preempt the idle task; team blue's job between
    # them may. (The placement plan lists the first job of a kind by itself and the jobs behind it
    # as the rest of their queue.)
    orders = ((2, "red", 2.0), (3, "red", 2.0), (4, "blue", 1.0), (5, "red", 2.0))
    first, before, between, behind = (
        add_job(
            state,
            job_spec(n, team=team, tasks=1, cpus=cpus, deadline_s=8.0 + n, estimate_s=9.0),
        )
        for n, team, cpus in orders
    )
    plan = plan_starts(
        state, RunTimeEstimates(), ServiceLevelObjectives([]), 2 * S, SILENCE, PATIENCE
    )
    assert [job for job, _ in plan.unplaced] == [first, before, between, behind]
    reclaims = plan_preemptions(
        state, ReclaimLists(), plan, RunTimeEstimates(), 2 * S, PREEMPTOR,
        ServiceLevelObjectives([]),
    )  # fmt: skip
    assert [(entry.job_id, entry.victims) for entry in reclaims] == [
        (between.id, [attempt]),
        (behind.id, []),
    ]


def test_late_job_claims_although_deferrable_jobs_precede_it() -> None:
    state = Cluster([Team("red", 0, 99)], TOKEN)
    machine = Machine("vm-000001", machine_type(), "a", False, 0)
    state.machines[machine.name] = machine
    machine.enrolled = machine.reconciled = True
    machine.newest_message, machine.last_heartbeat_us = (1, 1), S
    idle_job = add_job(state, job_spec(1, priority="idle", tasks=2, cpus=2.0))
    for index in range(2):
        attempt = state.start(idle_job, index, machine, S)
        attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, S
    # Two jobs with 30 s of laxity: urgent for placement, but deferrable for the preemptor. The
    # third job has missed its deadline and claims capacity.
    deferrable, also_deferrable = (
        add_job(state, job_spec(n, tasks=1, deadline_s=39.0 + n, estimate_s=9.0)) for n in (2, 3)
    )
    late = add_job(state, job_spec(4, tasks=1, deadline_s=1.0, estimate_s=9.0))
    plan = plan_starts(
        state, RunTimeEstimates(), ServiceLevelObjectives([]), 2 * S, SILENCE, PATIENCE
    )
    assert [job for job, _ in plan.unplaced] == [deferrable, also_deferrable, late]
    reclaims = plan_preemptions(
        state, ReclaimLists(), plan, RunTimeEstimates(), 2 * S, PREEMPTOR,
        ServiceLevelObjectives([]),
    )  # fmt: skip
    assert [entry.job_id for entry in reclaims] == [late.id]
