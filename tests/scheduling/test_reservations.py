"""Machines that are reserved for wide tasks, which need a large part of one machine."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.builders import add_job, add_machine, cluster, job_spec, machine_type
from tests.support.towns import FLEET, GOALS, PATIENCE, PREEMPTOR, SILENCE, Town
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.reclaim import ReclaimLists
from weldhead.cluster_state.states import AttemptPhase
from weldhead.protocol.settings import Team
from weldhead.scheduling.autoscaling.rental_offers import PendingRental, RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan
from weldhead.scheduling.placement.unplaced_tasks import UnplacedTasks
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions
from weldhead.scheduling.reservations.capacity_reserver import CapacityReserver
from weldhead.scheduling.reservations.reservations import Reservations, ReservationSettings
from weldhead.scheduling.reservations.wide_tasks import WideTaskForecast

S = 1_000_000
SETTINGS = ReservationSettings(15 * S, 60 * S, 0.5, 0.25)


class ReservationScenario:
    """A simulated cluster of machines with eight CPUs, most of which small tasks use.

    ``limit`` is the number of CPUs that the team "red" may use.
    """

    def __init__(
        self, machine_count: int, use_reservations: bool = True, limit: float = 1_000.0
    ) -> None:
        self.now = 100 * S
        self.use_reservations = use_reservations
        self.cluster = Cluster([Team("red", 0, limit), Team("blue", 0, 1_000)], 41)
        for number in range(machine_count):
            add_machine(self.cluster, f"vm-{number:06}", cpus=8.0, memory_gb=64.0)
        self.estimates = RunTimeEstimates()
        self.placement_input = PlacementInput(self.cluster, self.estimates, GOALS, PATIENCE)
        self.reserver = CapacityReserver(
            self.cluster, self.placement_input.backlog, self.estimates, SETTINGS
        )
        self.job_count = 0

    def add_job(self, waited_us: int = 0, **changes: object) -> Job:
        self.job_count += 1
        defaults = {
            "tasks": 1,
            "cpus": 1.0,
            "memory_gb": 1.0,
            "image_gb": 0.0,
            "job_class": "other",
        }
        spec = job_spec(self.job_count, **(defaults | changes))
        return add_job(self.cluster, spec, self.now - waited_us)

    def start_task(self, job: Job, machine: Machine, elapsed_us: int = 0) -> None:
        attempt = self.cluster.start(job, job.waiting_indexes(1)[0], machine, self.now)
        attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, self.now - elapsed_us

    def plan_placement(self) -> PlacementPlan:
        for machine in self.cluster.machines.values():
            machine.record_heartbeat(self.now, SILENCE)
        self.placement_input.refresh(self.now)
        if self.use_reservations:
            self.placement_input.reservations = self.reserver.update(
                self.now, lambda machine: is_schedulable(machine, self.now, SILENCE)
            )
        return plan_pass(self.placement_input, self.now, SILENCE)

    def advance_one_second(self, rng: random.Random) -> None:
        """End the tasks that are due, submit more small tasks, and start what placement plans."""
        for machine in self.cluster.machines.values():
            for attempt in list(machine.attempts.values()):
                if self.now - attempt.running_since_us >= attempt.job.spec.estimate_us:
                    self.cluster.release(attempt, completed=True)
                    if attempt.job.is_complete:
                        self.cluster.jobs.remove(attempt.job.id)
        for _ in range(rng.randint(0, 3)):
            self.add_job(tasks=rng.randint(1, 8), estimate_s=float(rng.randint(5, 30)))
        plan = self.plan_placement()
        if self.use_reservations:
            self.check_vacated_fraction()
        for start in plan.starts:
            reserving_job_id = self.placement_input.reservations.machines.get(
                start.machine.name, start.job.id
            )
            if reserving_job_id != start.job.id:
                deadline_us, _ = self.placement_input.reservations.fill_deadlines[
                    start.machine.name
                ]
                assert self.now + 2 * start.job.spec.estimate_us <= deadline_us
            attempt = self.cluster.start(start.job, start.index, start.machine, self.now)
            attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, self.now
        self.now += S

    def check_vacated_fraction(self) -> None:
        """Check that vacated machines stay within the configured fraction, or are just one."""
        vacated = [
            machine
            for name, job_id in self.placement_input.reservations.machines.items()
            if not (machine := self.cluster.machines[name]).capacity_for(self.cluster.jobs[job_id])
            and sum(a.job.spec.cpus for a in machine.attempts.values() if a.job.spec.cpus > 4)
            < machine.type.cpus / 2
        ]
        total_cpus = sum(machine.type.cpus for machine in self.cluster.machines.values())
        vacated_cpus = sum(machine.type.cpus for machine in vacated)
        assert vacated_cpus <= max(SETTINGS.max_vacated_fraction * total_cpus, 8.0)


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10_000))
def test_wide_job_starts_in_time_while_small_tasks_arrive(seed: int) -> None:
    """Small tasks took each fragment that became free, so that a wide task never fit."""
    rng = random.Random(seed)
    scenario = ReservationScenario(rng.randint(2, 10))
    for _ in range(40):
        scenario.advance_one_second(rng)
    wide_job = scenario.add_job(cpus=7.0, estimate_s=20.0, tasks=rng.randint(1, 2))
    submitted_us = scenario.now
    while not wide_job.active and not wide_job.done:
        scenario.advance_one_second(rng)
        # 60 s of the start target, 30 s of the longest small task, and 2 s of tolerance.
        assert scenario.now - submitted_us <= (60 + 30 + 2) * S


def test_wide_job_starves_without_reservations() -> None:
    """Shows that reservations are needed: a wide job never starts while small tasks arrive."""
    rng = random.Random(1)
    scenario = ReservationScenario(4, use_reservations=False)
    for _ in range(40):
        scenario.advance_one_second(rng)
    wide_job = scenario.add_job(cpus=7.0, estimate_s=20.0)
    for _ in range(300):
        scenario.advance_one_second(rng)
    assert not wide_job.active and not wide_job.done


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 100_000))
def test_placement_is_unchanged_without_wide_jobs(seed: int) -> None:
    """With a wide task fraction of 1, no task is wide and the reserver has to do nothing."""
    town = Town(seed)
    reserver = CapacityReserver(
        town.cluster, town.scene.backlog, town.estimates, ReservationSettings(1, 1 << 60, 1.0, 0.5)
    )
    for _ in range(40):
        town.change()
        town.scene.refresh(town.now)
        town.scene.reservations = reserver.update(town.now, lambda machine: True)
        assert town.scene.reservations == Reservations()
        town.compare_placement()


def fill_machines(scenario: ReservationScenario, remaining_s_by_machine: dict[str, int]) -> None:
    """Fill each machine with eight tasks that have the given number of seconds left."""
    for name, remaining_s in remaining_s_by_machine.items():
        small_job = scenario.add_job(tasks=8, estimate_s=100.0)
        for _ in range(8):
            scenario.start_task(small_job, scenario.cluster.machines[name], (100 - remaining_s) * S)


def test_every_leader_reserves_the_soonest_available_machine() -> None:
    scenario = ReservationScenario(3)
    fill_machines(scenario, {"vm-000000": 80, "vm-000001": 45, "vm-000002": 70})
    wide_job = scenario.add_job(waited_us=20 * S, cpus=8.0)
    assert scenario.plan_placement().starts == []
    assert scenario.placement_input.reservations.machines == {"vm-000001": wide_job.id}
    # A reservation is due when 1.5 times the estimated vacating time reaches the start target.
    scenario.now -= 15 * S
    early_reserver = CapacityReserver(
        scenario.cluster, scenario.placement_input.backlog, scenario.estimates, SETTINGS
    )
    assert early_reserver.update(scenario.now, lambda machine: True).machines == {}
    scenario.now += 16 * S
    next_leader_reserver = CapacityReserver(
        scenario.cluster, scenario.placement_input.backlog, scenario.estimates, SETTINGS
    )
    assert next_leader_reserver.update(scenario.now, lambda machine: True).machines == {
        "vm-000001": wide_job.id
    }


def test_released_machine_is_searched_again() -> None:
    """A shape that found no capacity while a machine was reserved must be searched once more.

    The end of a reservation changes nothing about the machine itself, so placement would skip the
    search if the reserver did not report the machine as changed.
    """
    scenario = ReservationScenario(1)
    fill_machines(scenario, {"vm-000000": 45})
    wide_job = scenario.add_job(waited_us=50 * S, cpus=8.0)
    machine = scenario.cluster.machines["vm-000000"]
    small_job = scenario.add_job(estimate_s=300.0)
    scenario.plan_placement()
    for attempt in list(machine.attempts.values())[:4]:
        scenario.cluster.release(attempt, completed=True)
    assert scenario.plan_placement().starts == []
    wide_job.cancelled = True
    scenario.now += S
    assert [start.job for start in scenario.plan_placement().starts] == [small_job]


def test_wide_job_has_quota_of_its_team_reserved() -> None:
    scenario = ReservationScenario(3, limit=8.0)
    fill_machines(scenario, {"vm-000000": 10})
    scenario.cluster.release(next(iter(scenario.cluster.machines["vm-000000"].attempts.values())))
    scenario.add_job(waited_us=5 * S)
    wide_job = scenario.add_job(waited_us=50 * S, cpus=6.0)
    assert scenario.plan_placement().starts == []
    assert scenario.placement_input.reservations == Reservations(
        {}, {}, {wide_job.team: (6.0, 0.0)}
    )


def test_reserved_machine_is_preempted_whole_only_for_its_job() -> None:
    scenario = ReservationScenario(2)
    idle_job = scenario.add_job(tasks=10, priority="idle", estimate_s=1_000.0)
    equal_job = scenario.add_job(tasks=6, estimate_s=100.0)
    for number, name in enumerate(scenario.cluster.machines):
        for _ in range(5):
            scenario.start_task(idle_job, scenario.cluster.machines[name])
        for _ in range(3 - number):
            scenario.start_task(equal_job, scenario.cluster.machines[name], (30 + 40 * number) * S)
    wide_job = scenario.add_job(waited_us=50 * S, cpus=6.0)
    scenario.add_job(waited_us=50 * S, job_class="prompt", cpus=1.0)
    plan = scenario.plan_placement()
    reserved = scenario.placement_input.reservations.machines
    assert list(reserved.values()) == [wide_job.id]
    # While tasks of equal priority, which can't be preempted, still run there, preempting the
    # others would be in vain.
    for expected_count in (0, 1):
        reclaims = plan_preemptions(
            scenario.cluster, ReclaimLists(), plan, scenario.estimates, scenario.now, PREEMPTOR,
            GOALS, reserved_machines=reserved,
        )  # fmt: skip
        wide_job_reclaims = [reclaim for reclaim in reclaims if reclaim.job_id == wide_job.id]
        assert len(wide_job_reclaims) == expected_count
        assert all(r.machine not in reserved for r in reclaims if r.job_id != wide_job.id)
        for attempt in list(scenario.cluster.machines[next(iter(reserved))].attempts.values()):
            if attempt.job is equal_job:
                scenario.cluster.release(attempt, completed=True)
    assert {victim.job for victim in wide_job_reclaims[0].victims} == {idle_job}


def test_machines_are_rented_for_unplaceable_wide_tasks() -> None:
    """Free fragments on many machines had counted as capacity for a task that fits on none."""
    fragmented_cluster = cluster()
    for number in range(8):
        machine = add_machine(fragmented_cluster, f"vm-{number:06}", cpus=8.0, memory_gb=64.0)
        fragmented_cluster.start(
            add_job(fragmented_cluster, job_spec(number, cpus=2.0, tasks=1)), 0, machine, 0
        )
    wide_job = add_job(
        fragmented_cluster, job_spec(99, cpus=7.0, tasks=2, estimate_s=200.0), 100 * S
    )
    plan = PlacementPlan(unplaced=UnplacedTasks([(wide_job, 2)]))
    offers = RentalOffers([machine_type(cpus=8.0, memory_gb=64.0)])

    def count_rentals(pending_count: int) -> int:
        pending_type = offers.types[0]
        rentals = plan_scale_out(
            fragmented_cluster, plan, offers, RunTimeEstimates(), GOALS, 100 * S, FLEET,
            [PendingRental(pending_type, pending_count)],
            wide_task_forecast=lambda up_us: WideTaskForecast(
                fragmented_cluster.machines.values(), [(pending_type, pending_count)],
                Reservations(), 0.5, up_us,
            ),
        )  # fmt: skip
        return sum(rentals.values())

    assert [count_rentals(pending_count) for pending_count in (0, 1, 2)] == [2, 1, 0]
