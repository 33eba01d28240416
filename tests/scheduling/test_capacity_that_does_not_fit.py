"""Rentals for jobs that no machine of the fleet can run, though the fleet has free CPUs."""

from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from tests.support.builders import add_job, add_machine, cluster, job_spec, machine_type
from tests.support.decisions import GOALS, TUNABLES, S, run_on, starts
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.protocol.settings import Team
from weldhead.scheduling.autoscaling.machine_availability import latest_starts
from weldhead.scheduling.autoscaling.rental_offers import PendingRental, RentalOffer, RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates

FLEET = TUNABLES.fleet.settings()
GUARANTEED = (Team("red", 100_000, 100_000, 1_000, 1_000), Team("blue", 10, 100_000, 0, 1_000))
AT_US = 5 * S


def plan_rentals(state: Cluster, *pending: PendingRental) -> dict[RentalOffer, int]:
    offers = RentalOffers([machine_type(name="m4", cpus=8.0, gpus=4.0, memory_gb=64.0)])
    return plan_scale_out(
        state, starts(state, AT_US), offers, RunTimeEstimates(), GOALS, AT_US, FLEET, pending
    )


@dataclass(frozen=True)
class Obstacle:
    """What keeps a task off a machine: its service's task, the waiting task, and the machine."""

    service: dict[str, Any]
    task: dict[str, Any]
    type_name: str = "m4"
    zone: str = "a"
    spot: bool = False


PLAIN: dict[str, Any] = {"cpus": 8.0, "gpus": 4.0, "memory_gb": 64.0}
OBSTACLES = {
    "memory": Obstacle({"cpus": 0.5, "memory_gb": 45.0}, {"memory_gb": 20.0}),
    "gpus": Obstacle({"cpus": 0.5, "gpus": 3.0, "memory_gb": 1.0}, {"gpus": 2.0}),
    "fragments of CPUs": Obstacle({"cpus": 5.5, "memory_gb": 1.0}, {"cpus": 3.0}),
    "machine type": Obstacle({"cpus": 0.5}, {"types": ("m4",)}, type_name="m9"),
    "zone": Obstacle({"cpus": 0.5}, {"zone": "a"}, zone="b"),
    "spot": Obstacle({"cpus": 0.5}, {"spot": False}, spot=True),
}


def fill(state: Cluster, obstacle: Obstacle, machines: int) -> list[Machine]:
    """Add machines that each run a task of a service."""
    service = add_job(
        state, job_spec(1, team="blue", kind="standing", tasks=machines, **obstacle.service)
    )
    added = []
    for number in range(machines):
        machine = add_machine(state, f"vm-{number:06}", obstacle.zone, obstacle.spot, **PLAIN)
        machine.type = machine_type(name=obstacle.type_name, **PLAIN)
        run_on(state, service, number, machine)
        added.append(machine)
    return added


def boot(state: Cluster, rentals: dict[RentalOffer, int]) -> None:
    """Add the machines of granted rentals, which boot from now on."""
    for offer, count in rentals.items():
        for _ in range(count):
            name = f"vm-{100_000 + len(state.machines):06}"
            state.machines[name] = Machine(name, offer.type, offer.zone, offer.spot, AT_US)


# A job waited for ever, because free CPUs that none of its tasks could use counted as room for it.
@pytest.mark.parametrize("obstacle", list(OBSTACLES))
@given(
    machines=st.integers(1, 30),
    tasks=st.integers(1, 6),
    kind=st.sampled_from(["batch", "standing"]),
    estimate_s=st.sampled_from([1.0, 10.0, 600.0]),
)
@settings(max_examples=15)
def test_machine_is_rented_for_a_job_that_fits_on_none(
    obstacle: str, machines: int, tasks: int, kind: str, estimate_s: float
) -> None:
    state = cluster(*GUARANTEED)
    fill(state, OBSTACLES[obstacle], machines)
    needs = {"cpus": 0.5, "memory_gb": 1.0} | OBSTACLES[obstacle].task
    add_job(state, job_spec(2, kind=kind, tasks=tasks, estimate_s=estimate_s, **needs), AT_US)
    assert plan_rentals(state)
    # What is being rented or boots counts, so that renting ends, at a machine for each task.
    rounds = 0
    while rentals := plan_rentals(state):
        granted = [
            PendingRental(offer.type, count, offer.zone, offer.spot)
            for offer, count in rentals.items()
        ]
        assert sum(plan_rentals(state, *granted).values()) <= sum(rentals.values())
        boot(state, rentals)
        rounds += 1
        assert rounds <= tasks
    assert len(state.machines) <= machines + tasks


# The second replica of a service that has to be spread waited beside free room in the same zone.
@given(machines=st.integers(1, 6), replicas=st.integers(1, 4))
@settings(max_examples=15)
def test_machine_is_rented_in_another_zone_for_a_spread_service(
    machines: int, replicas: int
) -> None:
    state = cluster(*GUARANTEED)
    added = [add_machine(state, f"vm-{n:06}", zone="a", **PLAIN) for n in range(machines)]
    job = add_job(
        state,
        job_spec(1, kind="standing", spread=True, tasks=2 * replicas, cpus=0.5, memory_gb=0.5),
    )
    for index in range(replicas):
        run_on(state, job, index, added[index % machines])
    assert {offer.zone for offer in plan_rentals(state)} == {"b"}


# A machine that the cloud is about to take back gets no tasks, so its room is none.
@pytest.mark.parametrize("flaw", ["interruption_us", "not_receiving", "draining"])
def test_machine_that_accepts_no_tasks_does_not_count(flaw: str) -> None:
    state = cluster(*GUARANTEED)
    machine = add_machine(state, **PLAIN)
    setattr(machine, flaw, 60 * S if flaw == "interruption_us" else True)
    add_job(state, job_spec(1, tasks=1), AT_US)
    assert plan_rentals(state)


# CPUs that are kept for jobs with GPUs counted as room for jobs without, which could not use them.
def test_capacity_reserved_beside_free_gpus_does_not_count() -> None:
    state = cluster(*GUARANTEED)
    add_machine(state, "vm-000001", cpus=8.0, gpus=4.0)
    full = add_machine(state, "vm-000002", cpus=2.0)
    service = add_job(state, job_spec(1, kind="standing", tasks=1, cpus=2.0))
    run_on(state, service, 0, full)
    add_job(state, job_spec(2, tasks=1, gpus=8.0, cpus=1.0), AT_US)
    waiting = add_job(state, job_spec(3, tasks=1, cpus=2.0), AT_US)
    plan = starts(state, AT_US)
    assert not plan.starts and waiting in dict(plan.unplaced)
    assert plan_rentals(state)


# A task behind one that ends after a boot waited for it, whatever its team's guarantee.
@given(end_s=st.integers(1, 600), memory_gb=st.integers(33, 64))
def test_memory_that_is_released_in_time_is_waited_for(end_s: int, memory_gb: int) -> None:
    assume(abs(end_s - 30) > 1)
    state = cluster(*GUARANTEED)
    machine = add_machine(state, **PLAIN)
    needs: dict[str, Any] = {"tasks": 1, "cpus": 0.5, "memory_gb": float(memory_gb)}
    running = add_job(state, job_spec(1, estimate_s=float(end_s), **needs))
    run_on(state, running, 0, machine, AT_US)
    add_job(state, job_spec(2, **needs), AT_US)
    assert bool(plan_rentals(state)) == (end_s > 30)


# A task that ran for much longer than estimated counted as ending at once, for as long as it ran.
@given(estimate_s=st.integers(0, 60), overrun_s=st.integers(0, 600))
def test_overrunning_task_is_not_waited_for_without_end(estimate_s: int, overrun_s: int) -> None:
    assume(abs(overrun_s - 30) > 1)
    state = cluster(*GUARANTEED)
    machine = add_machine(state, **PLAIN)
    needs: dict[str, Any] = {"tasks": 1, "cpus": 0.5, "memory_gb": 60.0}
    running = add_job(state, job_spec(1, estimate_s=float(estimate_s), **needs))
    run_on(state, running, 0, machine, AT_US - (estimate_s + overrun_s) * S).running_since_us = (
        AT_US - (estimate_s + overrun_s) * S
    )
    add_job(state, job_spec(2, **needs), AT_US)
    assert bool(plan_rentals(state)) == (overrun_s > 30)


def _add_waiting(state: Cluster, count: int) -> Job:
    return add_job(state, job_spec(2, tasks=count, cpus=0.5, memory_gb=20.0), AT_US)


# Tasks beyond the room of a new machine counted as started there, whatever their memory.
@given(count=st.integers(1, 60))
def test_new_machines_are_rented_by_memory(count: int) -> None:
    state = cluster(*GUARANTEED)
    _add_waiting(state, count)
    rounds = 0
    while rentals := plan_rentals(state):
        boot(state, rentals)
        rounds += 1
        assert rounds < 5
    assert len(state.machines) == -(-count // 3)


TIMES = st.lists(st.tuples(st.none() | st.integers(0, 9), st.integers(1, 4)), min_size=1)


@given(TIMES, TIMES)
def test_the_later_start_of_each_task_counts(
    first: list[tuple[int | None, int]], second: list[tuple[int | None, int]]
) -> None:
    def each(starts_of: list[tuple[int | None, int]]) -> list[float]:
        return [float("inf") if t is None else t for t, count in starts_of for _ in range(count)]

    missing = sum(count for _, count in first) - sum(count for _, count in second)
    (second if missing > 0 else first).append((0, abs(missing) or 1))
    if not missing:
        second.append((0, 1))
    expected = [max(pair) for pair in zip(each(first), each(second), strict=True)]
    assert each(latest_starts(first, second)) == expected
