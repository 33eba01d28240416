"""What follows changes decides as what looks at everything, step by step over random changes."""

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
def test_the_same_plans_as_looking_at_everything(seed: int) -> None:
    town = Town(seed)
    for _ in range(60):
        for _ in range(town.dice.randint(1, 3)):
            town.change()
        town.compare_placement()
        town.cluster.check_invariants()
        town.scene.refresh(town.now)
        assert town.scene.backlog.find_inconsistent_jobs() == []
        town.compare_forecasts()


def test_who_found_nobody_to_stop_gets_what_another_leaves_over() -> None:
    into = Cluster([Team("red", 0, 99), Team("blue", 8, 99)], TOKEN)
    machine = Machine("vm-000001", machine_type(), "a", False, 0)
    into.machines[machine.name] = machine
    machine.enrolled = machine.reconciled = True
    machine.newest_message, machine.last_heartbeat_us = (1, 1), S
    held = add_job(into, job_spec(1, team="blue", priority="idle", tasks=1, cpus=4.0))
    attempt = into.start(held, 0, machine, S)
    attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, S
    # The same kind before and behind the one that may stop the idle task. (The first of a
    # kind is listed by itself, those behind it are what a pass left.)
    orders = ((2, "red", 2.0), (3, "red", 2.0), (4, "blue", 1.0), (5, "red", 2.0))
    first, before, between, behind = (
        add_job(
            into,
            job_spec(n, team=team, tasks=1, cpus=cpus, deadline_s=8.0 + n, estimate_s=9.0),
        )
        for n, team, cpus in orders
    )
    plan = plan_starts(
        into, RunTimeEstimates(), ServiceLevelObjectives([]), 2 * S, SILENCE, PATIENCE
    )
    assert [job for job, _ in plan.unplaced] == [first, before, between, behind]
    found = plan_preemptions(
        into, ReclaimLists(), plan, RunTimeEstimates(), 2 * S, PREEMPTOR, ServiceLevelObjectives([])
    )  # fmt: skip
    assert [(entry.job_id, entry.victims) for entry in found] == [
        (between.id, [attempt]),
        (behind.id, []),
    ]


def test_what_is_late_claims_behind_those_of_its_kind_that_can_wait() -> None:
    into = Cluster([Team("red", 0, 99)], TOKEN)
    machine = Machine("vm-000001", machine_type(), "a", False, 0)
    into.machines[machine.name] = machine
    machine.enrolled = machine.reconciled = True
    machine.newest_message, machine.last_heartbeat_us = (1, 1), S
    held = add_job(into, job_spec(1, priority="idle", tasks=2, cpus=2.0))
    for index in range(2):
        attempt = into.start(held, index, machine, S)
        attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, S
    # 30 s to spare: it presses, and claims nothing yet. The other has missed its deadline.
    waits, too = (
        add_job(into, job_spec(n, tasks=1, deadline_s=39.0 + n, estimate_s=9.0)) for n in (2, 3)
    )
    late = add_job(into, job_spec(4, tasks=1, deadline_s=1.0, estimate_s=9.0))
    plan = plan_starts(
        into, RunTimeEstimates(), ServiceLevelObjectives([]), 2 * S, SILENCE, PATIENCE
    )
    assert [job for job, _ in plan.unplaced] == [waits, too, late]
    found = plan_preemptions(
        into, ReclaimLists(), plan, RunTimeEstimates(), 2 * S, PREEMPTOR, ServiceLevelObjectives([])
    )  # fmt: skip
    assert [entry.job_id for entry in found] == [late.id]
