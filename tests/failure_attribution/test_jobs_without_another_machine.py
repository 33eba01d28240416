"""Jobs that fail where room is, while the other machines are full.

A sound job was started on the same faulty machine once a second: it counted as placed, so nothing
was rented for it.
"""

import asyncio
from itertools import count

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.builders import add_job, add_machine, cluster, job_spec, machine_type
from tests.support.decisions import GOALS, PATIENCE, SILENCE, TUNABLES, S, run_on
from tests.support.leaders import leader_of
from tests.support.stand_ins import StandInState
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.reclaim import ReclaimLists
from weldhead.failure_attribution.failure_tracker import (
    MAX_WAIT_FOR_ROOM_US,
    MIN_RENTAL_DELAY_US,
    MIN_SAME_MACHINE_DELAY_US,
    RETRIAL_DELAY_US,
)
from weldhead.failure_attribution.judgement import MAX_SUSPECT_MACHINES
from weldhead.protocol.settings import Team
from weldhead.scheduling.autoscaling.rental_offers import RentalOffer, RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.placement_pass import plan_starts
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions

OFFERS = RentalOffers([machine_type(cpus=8.0, memory_gb=64.0)])
FLEET = TUNABLES.fleet.settings()


class FailingFleet:
    """A leader whose machines are full or faulty, and that reviews failures as it goes."""

    def __init__(self, full_machines: int = 0) -> None:
        leader = leader_of(StandInState(), S)
        asyncio.run(leader.recovery.load())
        self.cluster = leader.term.cluster = cluster(
            Team("red", 10_000, 10_000), Team("blue", 10_000, 10_000)
        )
        self.monitor = leader.machine_monitor
        self.at_us = S
        self.names = (f"vm-{n:06}" for n in count(1))
        self.rented: list[Machine] = []
        service = job_spec(900, team="blue", kind="standing", tasks=max(1, full_machines), cpus=7.5)
        for index in range(full_machines):
            job = self.cluster.jobs.get(service.id) or add_job(self.cluster, service)
            run_on(self.cluster, job, index, self.add_machine())

    def add_machine(self) -> Machine:
        return add_machine(self.cluster, next(self.names), cpus=8.0, memory_gb=64.0)

    def plan(self) -> PlacementPlan:
        for machine in self.cluster.machines.values():
            machine.last_heartbeat_us = self.at_us
        self.monitor.review_failures(self.at_us)
        estimates = RunTimeEstimates()
        return plan_starts(self.cluster, estimates, GOALS, self.at_us, SILENCE, PATIENCE)

    def plan_rentals(self) -> dict[RentalOffer, int]:
        plan = self.plan()
        estimates = RunTimeEstimates()
        return plan_scale_out(self.cluster, plan, OFFERS, estimates, GOALS, self.at_us, FLEET)

    def step(self, faulty: set[str]) -> list[Job]:
        """Start what can start, fail it on faulty machines, and rent; return what runs soundly."""
        sound: list[Job] = []
        for start in self.plan().starts:
            if start.machine.name not in faulty:
                sound.append(start.job)
                continue
            attempt = run_on(self.cluster, start.job, start.index, start.machine, self.at_us)
            self.cluster.release(attempt)
            self.monitor.record_failure(attempt, self.at_us)
        for number in self.plan_rentals().values():
            self.rented += [self.add_machine() for _ in range(number)]
        self.at_us += S
        return sound


# A sound job was tried on one faulty machine only, once a second, and no machine was rented.
@given(full=st.integers(0, 5), tasks=st.integers(1, 20), cpus=st.sampled_from([0.6, 1.0, 4.0]))
@settings(max_examples=25, deadline=None)
def test_machine_is_rented_for_a_job_that_failed_where_room_is(
    full: int, tasks: int, cpus: float
) -> None:
    fleet = FailingFleet(full)
    faulty = fleet.add_machine()
    job = add_job(fleet.cluster, job_spec(1, tasks=tasks, cpus=cpus, estimate_s=5.0))
    for _ in range(5):
        if fleet.step({faulty.name}):
            break
    else:
        raise AssertionError("the job is not tried elsewhere")
    assert len(fleet.rented) == 1 and job.failures <= tasks


# The machines left to try a job on may be full for long, too.
@given(end_s=st.integers(1, 600))
@settings(max_examples=15, deadline=None)
def test_job_waits_for_room_elsewhere_only_for_a_while(end_s: int) -> None:
    fleet = FailingFleet()
    faulty, busy = fleet.add_machine(), fleet.add_machine()
    running = add_job(fleet.cluster, job_spec(1, tasks=1, cpus=8.0, estimate_s=float(end_s)))
    add_job(fleet.cluster, job_spec(2, tasks=1, cpus=1.0))
    attempt = run_on(fleet.cluster, running, 0, busy, fleet.at_us)
    done_us = fleet.at_us + end_s * S
    # A machine that is free before another one would have booted is waited for.
    for _ in range(2 + MAX_WAIT_FOR_ROOM_US // S + round(OFFERS.types[0].boot_s)):
        if attempt.job.active and fleet.at_us >= done_us:
            fleet.cluster.release(attempt, completed=True)
        if fleet.step({faulty.name}):
            return
    raise AssertionError("the job is not tried elsewhere")


# A job that was submitted with a mistake rented machine after machine.
@given(jobs=st.integers(1, 12), full=st.integers(0, 3), machines=st.integers(0, 2))
@settings(max_examples=20, deadline=None)
def test_jobs_with_a_mistake_rent_few_machines(jobs: int, full: int, machines: int) -> None:
    fleet = FailingFleet(full)
    for _ in range(machines):
        fleet.add_machine()
    for number in range(jobs):
        add_job(fleet.cluster, job_spec(number + 1, tasks=1, cpus=1.0))
    every_machine = {f"vm-{n:06}" for n in range(100)}
    for _ in range(MIN_RENTAL_DELAY_US // S):
        assert not fleet.step(every_machine)
    # Each job takes one CPU for a try, so that at first one or two machines are needed.
    assert len(fleet.rented) <= MAX_SUSPECT_MACHINES + 1


# A sound job that had failed on two faulty machines was called broken, and tried nowhere else.
@given(faulty=st.integers(2, 3), jobs=st.integers(3, 9))
@settings(max_examples=15, deadline=None)
def test_jobs_that_fail_on_several_faulty_machines_run_elsewhere(faulty: int, jobs: int) -> None:
    fleet = FailingFleet(1)
    names = {fleet.add_machine().name for _ in range(faulty)}
    for number in range(jobs):
        add_job(fleet.cluster, job_spec(number + 1, tasks=1, cpus=1.0))
    for _ in range(60):
        if fleet.step(names):
            return
    raise AssertionError("no job is tried elsewhere")


# A faulty job's pause counted from its last failure, which each retry moved: it never ended.
def test_job_called_faulty_by_mistake_is_tried_elsewhere_in_the_end() -> None:
    fleet = FailingFleet(1)
    names = {fleet.add_machine().name for _ in range(2)}
    job = add_job(fleet.cluster, job_spec(1, tasks=1, cpus=1.0))
    while fleet.at_us < RETRIAL_DELAY_US:
        assert not fleet.step(names)
    assert job.fails_everywhere and not fleet.rented
    for _ in range(120):
        if fleet.step(names):
            assert len(fleet.rented) == 1
            return
    raise AssertionError("the job is not tried elsewhere")


# If no machine can be rented, waiting for one for ever is worse than another try.
def test_job_is_tried_again_where_it_failed_if_there_is_nothing_else() -> None:
    fleet = FailingFleet()
    machine = fleet.add_machine()
    job = add_job(fleet.cluster, job_spec(1, tasks=1, cpus=1.0))
    attempt = run_on(fleet.cluster, job, 0, machine, fleet.at_us)
    fleet.cluster.release(attempt)
    fleet.monitor.record_failure(attempt, fleet.at_us)
    failed_us = fleet.at_us
    while not fleet.plan().starts:
        fleet.at_us += S
        assert fleet.at_us <= failed_us + 90 * S
    assert fleet.at_us >= failed_us + MIN_SAME_MACHINE_DELAY_US


# It may fail wherever it runs, so no other work is stopped for it.
def test_nothing_is_stopped_for_a_job_that_may_be_faulty() -> None:
    fleet = FailingFleet()
    faulty, full = fleet.add_machine(), fleet.add_machine()
    idle = add_job(fleet.cluster, job_spec(1, tasks=1, cpus=8.0, priority="idle"))
    run_on(fleet.cluster, idle, 0, full, fleet.at_us)
    job = add_job(fleet.cluster, job_spec(2, tasks=1, cpus=1.0, priority="production"))
    attempt = run_on(fleet.cluster, job, 0, faulty, fleet.at_us)
    fleet.cluster.release(attempt)
    fleet.monitor.record_failure(attempt, fleet.at_us)
    fleet.monitor.review_failures(fleet.at_us)
    fleet.at_us += MAX_WAIT_FOR_ROOM_US
    plan = fleet.plan()
    job.retry_failed_us = fleet.at_us + S
    assert job.stranded and job in dict(fleet.plan().unplaced)
    settings_of_pass = TUNABLES.preemptor.settings(SILENCE)
    assert not plan_preemptions(
        fleet.cluster,
        ReclaimLists(),
        plan,
        RunTimeEstimates(),
        fleet.at_us,
        settings_of_pass,
        GOALS,
    )
