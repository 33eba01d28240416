"""Machines that are held for tasks that take most of one."""

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
from weldhead.scheduling.autoscaling.rental_offers import RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.eligibility import usable
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan
from weldhead.scheduling.placement.unplaced_tasks import UnplacedTasks
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions
from weldhead.scheduling.reservations.capacity_reserver import CapacityReserver
from weldhead.scheduling.reservations.reservations import Reservations, ReservationSettings
from weldhead.scheduling.reservations.wide_tasks import WideTaskForecast

S = 1_000_000
SETTINGS = ReservationSettings(15 * S, 60 * S, 0.5, 0.25)


class Field:
    """Machines of eight CPUs that small tasks fill, and what is decided about them."""

    def __init__(self, machines: int, hold: bool = True, limit: float = 1_000.0) -> None:
        self.now = 100 * S
        self.hold = hold
        self.cluster = Cluster([Team("red", 0, limit), Team("blue", 0, 1_000)], 41)
        for number in range(machines):
            add_machine(self.cluster, f"vm-{number:06}", cpus=8.0, memory_gb=64.0)
        self.estimates = RunTimeEstimates()
        self.scene = PlacementInput(self.cluster, self.estimates, GOALS, PATIENCE)
        self.holding = CapacityReserver(self.cluster, self.scene.backlog, self.estimates, SETTINGS)
        self.jobs = 0

    def job(self, waited_us: int = 0, **changes: object) -> Job:
        self.jobs += 1
        values = {"tasks": 1, "cpus": 1.0, "memory_gb": 1.0, "image_gb": 0.0, "job_class": "other"}
        spec = job_spec(self.jobs, **(values | changes))
        return add_job(self.cluster, spec, self.now - waited_us)

    def run(self, job: Job, machine: Machine, for_us: int = 0) -> None:
        attempt = self.cluster.start(job, job.waiting_indexes(1)[0], machine, self.now)
        attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, self.now - for_us

    def decide(self) -> PlacementPlan:
        for machine in self.cluster.machines.values():
            machine.record_heartbeat(self.now, SILENCE)
        self.scene.refresh(self.now)
        if self.hold:
            self.scene.reservations = self.holding.update(
                self.now, lambda machine: usable(machine, self.now, SILENCE)
            )
        return plan_pass(self.scene, self.now, SILENCE)

    def step(self, dice: random.Random) -> None:
        """A second: some tasks end, what is placed begins, and more small work arrives."""
        for machine in self.cluster.machines.values():
            for attempt in list(machine.attempts.values()):
                if self.now - attempt.running_since_us >= attempt.job.spec.estimate_us:
                    self.cluster.release(attempt, completed=True)
                    if attempt.job.complete:
                        self.cluster.jobs.remove(attempt.job.id)
        for _ in range(dice.randint(0, 3)):
            self.job(tasks=dice.randint(1, 8), estimate_s=float(dice.randint(5, 30)))
        plan = self.decide()
        if self.hold:
            self.check_share()
        for start in plan.starts:
            held_for = self.scene.reservations.machines.get(start.machine.name, start.job.id)
            if held_for != start.job.id:
                until_us, _ = self.scene.reservations.until_us[start.machine.name]
                assert self.now + 2 * start.job.spec.estimate_us <= until_us
            attempt = self.cluster.start(start.job, start.index, start.machine, self.now)
            attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, self.now
        self.now += S

    def check_share(self) -> None:
        """What is emptied stays within the share, or is one machine."""
        emptied = [
            machine
            for name, job_id in self.scene.reservations.machines.items()
            if not (machine := self.cluster.machines[name]).capacity_for(self.cluster.jobs[job_id])
            and sum(a.job.spec.cpus for a in machine.attempts.values() if a.job.spec.cpus > 4)
            < machine.type.cpus / 2
        ]
        total = sum(machine.type.cpus for machine in self.cluster.machines.values())
        cpus = sum(machine.type.cpus for machine in emptied)
        assert cpus <= max(SETTINGS.share * total, 8.0)


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10_000))
def test_wide_work_begins_in_time_however_much_small_work_arrives(seed: int) -> None:
    dice = random.Random(seed)
    field = Field(dice.randint(2, 10))
    for _ in range(40):
        field.step(dice)
    wide = field.job(cpus=7.0, estimate_s=20.0, tasks=dice.randint(1, 2))
    since_us = field.now
    while not wide.active and not wide.done:
        field.step(dice)
        # Its age, and what the longest of the others may run then.
        assert field.now - since_us <= (60 + 30 + 2) * S


def test_without_holding_it_waits_for_as_long_as_small_work_arrives() -> None:
    dice = random.Random(1)
    field = Field(4, hold=False)
    for _ in range(40):
        field.step(dice)
    wide = field.job(cpus=7.0, estimate_s=20.0)
    for _ in range(300):
        field.step(dice)
    assert not wide.active and not wide.done


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 100_000))
def test_nothing_changes_where_nothing_is_wide(seed: int) -> None:
    town = Town(seed)
    holding = CapacityReserver(
        town.cluster, town.scene.backlog, town.estimates, ReservationSettings(1, 1 << 60, 1.0, 0.5)
    )
    for _ in range(40):
        town.change()
        town.scene.refresh(town.now)
        town.scene.reservations = holding.update(town.now, lambda machine: True)
        assert town.scene.reservations == Reservations()
        town.compare_placement()


def filled(field: Field, runs: dict[str, int]) -> None:
    """Fill each machine with eight tasks of which the last has so many seconds left."""
    for name, left_s in runs.items():
        small = field.job(tasks=8, estimate_s=100.0)
        for _ in range(8):
            field.run(small, field.cluster.machines[name], (100 - left_s) * S)


def test_the_machine_that_empties_soonest_is_held_by_any_leader() -> None:
    field = Field(3)
    filled(field, {"vm-000000": 80, "vm-000001": 45, "vm-000002": 70})
    wide = field.job(waited_us=20 * S, cpus=8.0)
    assert field.decide().starts == []
    assert field.scene.reservations.machines == {"vm-000001": wide.id}
    # Later by half more than is estimated it would be too late; not before that.
    field.now -= 15 * S
    early = CapacityReserver(field.cluster, field.scene.backlog, field.estimates, SETTINGS)
    assert early.update(field.now, lambda machine: True).machines == {}
    field.now += 16 * S
    successor = CapacityReserver(field.cluster, field.scene.backlog, field.estimates, SETTINGS)
    assert successor.update(field.now, lambda machine: True).machines == {"vm-000001": wide.id}


def test_what_is_held_no_longer_is_looked_at_again() -> None:
    field = Field(1)
    filled(field, {"vm-000000": 45})
    wide = field.job(waited_us=50 * S, cpus=8.0)
    machine = field.cluster.machines["vm-000000"]
    small = field.job(estimate_s=300.0)
    field.decide()
    for attempt in list(machine.attempts.values())[:4]:
        field.cluster.release(attempt, completed=True)
    assert field.decide().starts == []
    wide.cancelled = True
    field.now += S
    assert [start.job for start in field.decide().starts] == [small]


def test_a_limit_is_kept_free_as_well() -> None:
    field = Field(3, limit=8.0)
    filled(field, {"vm-000000": 10})
    field.cluster.release(next(iter(field.cluster.machines["vm-000000"].attempts.values())))
    field.job(waited_us=5 * S)
    wide = field.job(waited_us=50 * S, cpus=6.0)
    assert field.decide().starts == []
    assert field.scene.reservations == Reservations({}, {}, {wide.team: (6.0, 0.0)})


def test_a_held_machine_is_emptied_as_a_set_and_nobody_else_claims_it() -> None:
    field = Field(2)
    idle = field.job(tasks=10, priority="idle", estimate_s=1_000.0)
    equal = field.job(tasks=6, estimate_s=100.0)
    for number, name in enumerate(field.cluster.machines):
        for _ in range(5):
            field.run(idle, field.cluster.machines[name])
        for _ in range(3 - number):
            field.run(equal, field.cluster.machines[name], (30 + 40 * number) * S)
    wide = field.job(waited_us=50 * S, cpus=6.0)
    field.job(waited_us=50 * S, job_class="prompt", cpus=1.0)
    plan = field.decide()
    held = field.scene.reservations.machines
    assert list(held.values()) == [wide.id]
    # What may not be stopped still runs there: nobody is stopped in vain.
    for expected in (0, 1):
        reclaims = plan_preemptions(
            field.cluster, ReclaimLists(), plan, field.estimates, field.now, PREEMPTOR, GOALS,
            reserved_machines=held,
        )  # fmt: skip
        mine = [reclaim for reclaim in reclaims if reclaim.job_id == wide.id]
        assert len(mine) == expected
        assert all(r.machine not in held for r in reclaims if r.job_id != wide.id)
        for attempt in list(field.cluster.machines[next(iter(held))].attempts.values()):
            if attempt.job is equal:
                field.cluster.release(attempt, completed=True)
    assert {victim.job for victim in mine[0].victims} == {idle}


def test_machines_are_rented_for_what_fits_on_no_piece() -> None:
    into = cluster()
    for number in range(8):
        machine = add_machine(into, f"vm-{number:06}", cpus=8.0, memory_gb=64.0)
        into.start(add_job(into, job_spec(number, cpus=2.0, tasks=1)), 0, machine, 0)
    wide = add_job(into, job_spec(99, cpus=7.0, tasks=2, estimate_s=200.0), 100 * S)
    plan = PlacementPlan(unplaced=UnplacedTasks([(wide, 2)]))
    market = RentalOffers([machine_type(cpus=8.0, memory_gb=64.0)])

    def rentals(coming: int) -> int:
        kind = market.types[0]
        found = plan_scale_out(
            into, plan, market, RunTimeEstimates(), GOALS, 100 * S, FLEET,
            ahead=lambda up_us: WideTaskForecast(
                into.machines.values(), [(kind, coming)], Reservations(), 0.5, up_us
            ),
        )  # fmt: skip
        return sum(found.values())

    assert [rentals(coming) for coming in (0, 1, 2)] == [2, 1, 0]
