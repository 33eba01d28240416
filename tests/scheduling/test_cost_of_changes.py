"""Cost of a leader's periodic work, and behavior of a term with a large fleet.

The periodic work must cost in proportion to what has changed, not to the size of the cluster.
The tests count operations instead of measuring time. Further tests load a large state, silence
half of a fleet, replace silent machines, and run slow background tasks.
"""

import asyncio
import itertools
import logging
from collections.abc import Iterator
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import add_job, job_spec, machine_type
from tests.support.fleets import StandInCloud, count_calls, full_fleet, settle
from tests.support.leaders import (
    START,
    Clock,
    fixed_clock,
    leader_of,
    new_leader,
    put_job,
    put_machine,
    report,
)
from tests.support.stand_ins import StandInState, StandInTask
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import RentalRecord
from weldhead.controller.leadership.term_recovery import TermRecovery
from weldhead.controller.loop_budget import (
    LOOP_SHARES,
    MAX_DEFERRAL_US,
    EventLoopBudget,
    LoopPriority,
)
from weldhead.controller.term import LOAD_BATCH_SIZE
from weldhead.protocol.settings import StateLimits
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand, forecast_lost_tasks
from weldhead.scheduling.autoscaling.rental_offers import RentalOffer, RentalOffers
from weldhead.scheduling.autoscaling.scale_out import (
    default_boot_expectations,
    limit_rentals,
    plan_scale_out,
)
from weldhead.scheduling.autoscaling.unmet_demand import DemandForecastInput, forecast_unmet_demand
from weldhead.scheduling.forecast import job_forecasts
from weldhead.scheduling.forecast.job_forecasts import JobForecasts
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement import backlog, pass_capacity, placement_pass
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.state_client import RequestRefusedError, StateClient
from weldhead.tunables.defaults import FleetTunables, Tunables

S = 1_000_000
SIZES = [(250, 100), (250, 10_000), (2_500, 1_000)]
FLEET = Tunables().fleet.settings()


@pytest.fixture
def clock() -> Iterator[Clock]:
    with fixed_clock() as clock:
        yield clock


def create_placement_input(cluster: Cluster) -> PlacementInput:
    placement_input = PlacementInput(
        cluster, RunTimeEstimates(), ServiceLevelObjectives([]), 45 * S
    )
    assert len(plan_pass(placement_input, 2 * S, 10 * S).unplaced) == len(placement_input.backlog)
    return placement_input


# -- cost of periodic work -----------------------------------------------------------------


@pytest.mark.parametrize(("machines", "jobs"), SIZES)
def test_placement_pass_cost_is_proportional_to_changes(
    machines: int, jobs: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster = full_fleet(machines, jobs)
    placement_input = create_placement_input(cluster)
    counts: dict[str, int] = {}
    count_calls(monkeypatch, backlog, "create_backlog_entry", counts)
    count_calls(monkeypatch, FreeCapacity, "__init__", counts)
    count_calls(monkeypatch, FreeCapacity, "capacity_for", counts)
    for module in (pass_capacity, placement_pass):
        count_calls(monkeypatch, module, "is_schedulable", counts)
    plan = plan_pass(placement_input, 2 * S, 10 * S)
    assert plan.starts == [] and bool(plan.unplaced)
    assert counts == {}
    # One job and one machine change: one backlog entry, the capacity of one machine, and the
    # fit of the two task shapes on that machine.
    cluster.jobs["run-000003"].notify_changed()
    attempt = next(iter(cluster.jobs["run-000001"].active.values()))
    cluster.release(attempt, completed=True)
    plan = plan_pass(placement_input, 2 * S, 10 * S)
    assert len(plan.starts) == 1
    assert counts["create_backlog_entry"] == 1
    assert counts["__init__"] == 1
    assert counts["is_schedulable"] <= 4 and counts["capacity_for"] <= 8


def test_passing_time_updates_only_jobs_that_reach_a_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = full_fleet(10, 0)
    for number in range(1_000):
        add_job(cluster, job_spec(100 + number, deadline_s=1_000.0 + number, estimate_s=10.0))
    placement_input = create_placement_input(cluster)
    counts: dict[str, int] = {}
    count_calls(monkeypatch, backlog, "create_backlog_entry", counts)
    plan_pass(placement_input, 900 * S, 2_000 * S)
    assert counts == {}
    # A job becomes urgent 45 s before its latest punctual start. From here on, that happens to
    # one job each second.
    plan_pass(placement_input, 945 * S + 1, 2_000 * S)
    plan_pass(placement_input, 950 * S + 1, 2_000 * S)
    assert counts["create_backlog_entry"] == 6


@pytest.mark.parametrize(("machines", "jobs"), SIZES)
def test_forecast_cost_is_proportional_to_changes(
    machines: int, jobs: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster = full_fleet(machines, jobs)
    deadline_job = add_job(cluster, job_spec(90_001, deadline_s=1e6))
    forecasts = JobForecasts(
        cluster, DependencyGraph(cluster.jobs), RunTimeEstimates(), lambda job: S, S, 4 * S, 50_000
    )
    assert len(forecasts.refresh(S)) == jobs + 2
    counts: dict[str, int] = {}
    count_calls(monkeypatch, job_forecasts, "forecast_finish_us", counts)
    count_calls(monkeypatch, job_forecasts.BootTracker, "_update", counts)
    assert forecasts.refresh(2 * S) == []
    assert counts == {}
    cluster.jobs["run-000003"].notify_changed()
    deadline_job.notify_changed()
    assert len(forecasts.refresh(3 * S)) == 2
    # Only the second job has a deadline. The other one is forecast on request, at most once per
    # second.
    assert counts == {"forecast_finish_us": 1}
    for _ in range(3):
        forecasts.refresh_job(cluster.jobs["run-000003"], 3 * S)
    assert counts == {"forecast_finish_us": 2}
    # Other jobs and booting machines affect a forecast as well, so it is refreshed periodically.
    assert forecasts.refresh(7 * S + 1) == [deadline_job]


def test_limited_forecast_refresh_reaches_every_job() -> None:
    cluster = full_fleet(10, 0)
    jobs = [add_job(cluster, job_spec(100 + n, deadline_s=1e5)) for n in range(1_000)]
    forecasts = JobForecasts(
        cluster, DependencyGraph(cluster.jobs), RunTimeEstimates(), lambda job: S, S, 4 * S, 300
    )
    refreshed: list[Job] = []
    for at_s in range(1, 5):
        refreshed += forecasts.refresh(at_s * S)
    assert forecasts.truncated_refreshes == 3
    assert {job.id for job in refreshed} >= {job.id for job in jobs}


def test_lateness_is_noticed_within_one_second() -> None:
    """The jobs themselves don't change: they become late only because time passes."""
    cluster = full_fleet(10, 0)
    jobs = [
        add_job(cluster, job_spec(100 + n, deadline_s=30.0 + 3 * n, estimate_s=20.0, tasks=1))
        for n in range(40)
    ]
    forecasts = JobForecasts(
        cluster, DependencyGraph(cluster.jobs), RunTimeEstimates(), lambda job: S, S, 4 * S, 5_000
    )
    noticed_us: dict[str, int] = {}
    late_since_us: dict[str, int] = {}
    for at_us in range(S, 200 * S, S):
        for job in forecasts.refresh(at_us):
            due_us = job.first_seen_us + round((job.spec.deadline_s or 0) * S)
            if job.expected_finish_us is not None and job.expected_finish_us > due_us:
                noticed_us.setdefault(job.id, at_us)
        for job in jobs:
            # No machine boots: 30 s until a machine rented now would be up, and 20 s to run.
            if at_us + 50 * S > round((job.spec.deadline_s or 0) * S):
                late_since_us.setdefault(job.id, at_us)
    assert noticed_us.keys() == late_since_us.keys() == {job.id for job in jobs}
    for job in jobs:
        assert 0 <= noticed_us[job.id] - late_since_us[job.id] <= 1 * S


def test_capacity_forecast_cost_depends_on_distinct_starts() -> None:
    cluster = full_fleet(10, 0)
    job = add_job(cluster, job_spec(9, tasks=50_000, cpus=1.0))
    placement_input = create_placement_input(cluster)
    plan = plan_pass(placement_input, 2 * S, 10 * S)
    cpu_forecast = CapacityForecast(
        cluster, [], RunTimeEstimates(), 2 * S, default_boot_expectations(FLEET)
    )
    start_counter = itertools.count()
    original_schedule = cpu_forecast.schedule

    def counting_schedule(*args: Any) -> Iterator[tuple[int | None, int]]:
        for start in original_schedule(*args):
            next(start_counter)
            yield start

    cast(Any, cpu_forecast).take = counting_schedule
    objectives = ServiceLevelObjectives([])
    forecast_input = DemandForecastInput(
        cluster, plan, RunTimeEstimates(), objectives, FLEET, 2 * S, 20 * S, lambda job: 1.0
    )
    unmet = forecast_unmet_demand(forecast_input, cpu_forecast)
    assert unmet.deferrable and unmet.deferrable[0][0] is job
    # The fleet has 80 CPUs, so that 50,000 tasks start at 625 distinct times.
    assert next(start_counter) <= 700


def test_demand_forecast_considers_a_limited_number_of_jobs() -> None:
    cluster = full_fleet(10, 5_000)
    placement_input = create_placement_input(cluster)
    plan = plan_pass(placement_input, 2 * S, 10 * S)
    limited, unlimited = (
        forecast_unmet_demand(
            DemandForecastInput(
                cluster, plan, RunTimeEstimates(), ServiceLevelObjectives([]), settings, 2 * S,
                20 * S, lambda job: 1.0, (), 5_000,
            ),
            CapacityForecast(
                cluster, [], RunTimeEstimates(), 2 * S, default_boot_expectations(FLEET)
            ),
        )
        for settings in (FLEET, FleetTunables(most_considered=10_000).settings())
    )  # fmt: skip
    assert len(limited.deferrable) == FLEET.max_considered_jobs
    assert len(unlimited.deferrable) == 5_000
    assert limited.backlog_cpu_us == pytest.approx(unlimited.backlog_cpu_us, rel=0.05)


# -- large fleets --------------------------------------------------------------------------


def test_large_state_is_loaded_in_batches(clock: Clock, monkeypatch: pytest.MonkeyPatch) -> None:
    state = StandInState()
    state.page = 1_000
    spec = job_spec(1, tasks=1)
    for number in range(20_000):
        put_job(state, job_spec(number, tasks=1))
    addresses: dict[str, str | None] = {}
    for number in range(2_500):
        addresses[f"vm-{number:06}"] = "10.0.0.9:1"
        if len(addresses) == 50:
            state.put(f"h/{number}", RentalRecord("m4", "a", False, 50, START, True, addresses))
            addresses = {}
    yield_count = largest_batch = jobs_since_yield = 0
    original_add_job = TermRecovery.add_job

    def counting_add_job(self: TermRecovery, *args: Any) -> Job:
        nonlocal jobs_since_yield, largest_batch
        jobs_since_yield += 1
        largest_batch = max(largest_batch, jobs_since_yield)
        return original_add_job(self, *args)

    monkeypatch.setattr(TermRecovery, "add_job", counting_add_job)
    leader = leader_of(state, clock())

    async def scenario() -> None:
        nonlocal yield_count, jobs_since_yield
        loading = asyncio.create_task(leader.recovery.load())
        while not loading.done():
            await asyncio.sleep(0)
            yield_count, jobs_since_yield = yield_count + 1, 0
        await loading
        await leader.scheduling_loop.load_backlog()

    asyncio.run(scenario())
    assert (len(leader.cluster.jobs), len(leader.cluster.machines)) == (20_000, 2_500)
    assert largest_batch <= LOAD_BATCH_SIZE and yield_count >= 2 * 20_000 // LOAD_BATCH_SIZE
    assert len(leader.scheduling_loop.placement_input().backlog) == 20_000
    assert spec.id in leader.cluster.jobs


def test_machine_monitor_examines_only_silent_machines(clock: Clock) -> None:
    state = StandInState()
    workers = [put_machine(state, f"vm-{n:06}") for n in range(300)]
    leader = new_leader(state, clock())
    for worker in workers:
        for _ in range(2):
            report(leader, worker, clock())
    examined_counter = itertools.count()

    class CountingDict(dict[str, Any]):
        def values(self) -> Any:
            for value in dict.values(self):
                next(examined_counter)
                yield value

    leader.machine_monitor.by_last_heartbeat = CountingDict(
        leader.machine_monitor.by_last_heartbeat
    )
    clock.us += S
    assert leader.machine_monitor.expire_leases_and_find_lost(clock()) == []
    assert next(examined_counter) == 1
    clock.us += leader.term.silence_us
    for worker in workers[7:]:
        report(leader, worker, clock())
    silent_machines = leader.machine_monitor.find_silent(clock(), leader.term.silence_us, 0)
    assert {machine.name for machine in silent_machines} == {worker.name for worker in workers[:7]}
    assert next(examined_counter) <= 1 + 8 + 1


@pytest.mark.parametrize("late_us", [-S, S])
def test_silence_of_half_the_fleet_runs_no_task_twice(clock: Clock, late_us: int) -> None:
    """Tasks on silent machines must never run twice.

    If the machines return one second before their leases expire, their tasks continue. If they
    return one second after, each task runs once on another machine.
    """
    state = StandInState()
    put_job(state, job_spec(1, tasks=80, cpus=1.0))
    workers = [put_machine(state, f"vm-{n:06}") for n in range(30)]
    for number, worker in enumerate(workers[:20]):
        for task_number in range(4):
            worker.tasks[f"run-000001/{4 * number + task_number}"] = StandInTask(7, "running")
    leader = new_leader(state, clock())
    term = leader.term
    for worker in workers:
        for _ in range(2):
            report(leader, worker, clock())
    assert leader.recovery.all_known.is_set()
    term.ready = True
    leader.term.tunables.direct_runs = False
    silent, responding = workers[:15], workers[15:]
    silent_since_us = clock()

    def running_tasks() -> list[str]:
        return [task for worker in workers for task in worker.live()]

    while clock() < silent_since_us + term.lease_us + late_us:
        clock.us += S // 2
        if clock() >= silent_since_us + term.lease_us:
            # The workers' leases expire by their own clocks, earlier than the leader may assume
            # because of clock drift.
            for worker in silent:
                if worker.session == 1:
                    worker.expire()
        for worker in responding:
            report(leader, worker, clock())
        lost_machines = leader.machine_monitor.expire_leases_and_find_lost(clock())
        # The silence of half of the fleet looks like a network failure: no machine is given up
        # before its lease expires.
        assert lost_machines == [] or clock() > silent_since_us + term.lease_us
        leader.scheduling_loop.place()
        for worker in responding:
            report(leader, worker, clock())
        assert len(running_tasks()) == len(set(running_tasks()))
    for worker in silent:
        report(leader, worker, clock())
        report(leader, worker, clock())
    leader.cluster.check_invariants()
    assert len(running_tasks()) == len(set(running_tasks()))
    running_on_silent = {task for worker in silent for task in worker.live()}
    assert len(running_on_silent) == (60 if late_us < 0 else 0)


def test_audit_restores_a_job_missing_from_the_backlog(
    clock: Clock, caplog: pytest.LogCaptureFixture
) -> None:
    state = StandInState()
    for number in range(3):
        put_job(state, job_spec(number, tasks=1))
    leader = new_leader(state, clock())
    leader.scheduling_loop.place()
    assert [job.id for job, _ in leader.scheduling_loop.last_plan.unplaced] == [
        f"run-{n:06}" for n in range(3)
    ]
    job = leader.cluster.jobs["run-000001"]
    job_backlog = leader.scheduling_loop.placement_input().backlog
    job_backlog._remove(job)
    leader.scheduling_loop.place()
    assert len(leader.scheduling_loop.last_plan.unplaced) == 2
    leader.autoscaler.audit(clock())
    assert "1 jobs out of order, first run-000001" in caplog.text
    leader.scheduling_loop.place()
    assert len(leader.scheduling_loop.last_plan.unplaced) == 3
    caplog.clear()
    leader.autoscaler.audit(clock())
    assert caplog.text == ""


# -- event loop ----------------------------------------------------------------------------


class ManualClock:
    """A clock that only sleeping advances."""

    def __init__(self) -> None:
        self.us = 0
        self.slept: list[float] = []
        self.late_us = 0

    def __call__(self) -> int:
        return self.us

    async def sleep(self, seconds: float) -> None:
        self.slept.append(seconds)
        self.us += round(seconds * S) + self.late_us


def test_loop_overrun_is_logged_and_followed_by_a_pause(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = ManualClock()
    budget = EventLoopBudget(S // 10, clock, clock.sleep)
    with caplog.at_level(logging.WARNING):
        for run_us in (S // 20, S // 5, S // 5):
            with budget.measure("fleet"):
                clock.us += run_us
    messages = [record.getMessage() for record in caplog.records]
    assert messages == [
        "background task fleet held the event loop for 0.200 s (limit 0.100 s, 1 times so far)"
    ]
    assert budget.overruns == {"fleet": 2}
    assert budget.summary() == "fleet held 2 times"
    for priority, share in LOOP_SHARES.items():
        pause_us = budget.compute_pause_us("fleet", priority, S // 100)
        assert (S // 5) / (S // 5 + pause_us) == pytest.approx(share, rel=1e-3)
    assert budget.compute_pause_us("fleet", LoopPriority.PLACEMENT, 3 * S) == 3 * S


def test_late_loop_defers_low_priorities_for_limited_time() -> None:
    clock = ManualClock()
    budget = EventLoopBudget(S // 10, clock, clock.sleep)
    deferred = {}
    for late_us in (0, 30_000, 60_000, 110_000):
        budget.lag_us = late_us
        deferred[late_us] = [priority for priority in LoopPriority if budget.must_defer(priority)]
    assert list(deferred.values()) == [
        [],
        [LoopPriority.FORECASTS],
        [LoopPriority.FLEET, LoopPriority.FORECASTS],
        [LoopPriority.PREEMPTOR, LoopPriority.FLEET, LoopPriority.FORECASTS],
    ]

    async def scenario() -> None:
        start_us = clock()
        await budget.pause("fleet", LoopPriority.FLEET, S)
        assert MAX_DEFERRAL_US <= clock() - start_us - S <= MAX_DEFERRAL_US + S
        assert budget.deferrals == {"fleet": 1}
        clock.late_us = 5_000
        lag_watch = asyncio.create_task(budget.watch_lag())
        budget._sleep = _create_yielding_sleep(clock)
        for _ in range(5):
            await asyncio.sleep(0)
        lag_watch.cancel()
        assert budget.lag_us == 5_000

    asyncio.run(scenario())


def _create_yielding_sleep(clock: ManualClock) -> Any:
    async def sleep(seconds: float) -> None:
        clock.us += round(seconds * S) + clock.late_us
        await asyncio.sleep(0)

    return sleep


# -- failure of half of the fleet ----------------------------------------------------------


def test_replacements_are_rented_before_leases_expire() -> None:
    cluster = full_fleet(30, 0)
    filling_job = cluster.jobs["run-000001"]
    silent = list(cluster.machines.values())[:15]
    at_us, lease_us = 8 * S, 14 * S
    (lost,) = forecast_lost_tasks(silent, at_us, lease_us)
    assert (lost.job, lost.expected_start_us, lost.task_count(cluster)) == (
        filling_job,
        S + lease_us,
        60,
    )
    offers = RentalOffers([machine_type(cpus=8.0, memory_gb=64.0, zones=("a",), boot_s=10.0)])
    estimates, objectives = RunTimeEstimates(), ServiceLevelObjectives([])
    all_silent_names = {machine.name for machine in silent}

    def count_rentals(expected_demand: list[ExpectedDemand], silent_names: set[str]) -> int:
        offers_to_rent = plan_scale_out(
            cluster,
            PlacementPlan(),
            offers,
            estimates,
            objectives,
            at_us,
            FLEET,
            (),
            None,
            expected_demand,
            0,
            silent_names,
        )
        return sum(offers_to_rent.values())

    # The other machines are busy for another minute, so all 60 tasks of 2 CPUs need new machines.
    assert count_rentals([lost], all_silent_names) == 15
    assert count_rentals([], set()) == 0
    # Cancelled jobs need no replacement.
    filling_job.cancelled = True
    assert forecast_lost_tasks(silent, at_us, lease_us) == []


@given(
    st.lists(st.tuples(st.sampled_from([2.0, 8.0, 64.0]), st.integers(1, 50)), max_size=6),
    st.floats(-10.0, 500.0),
)
def test_limited_rentals_stay_within_the_missing_cpus(
    requested: list[tuple[float, int]], missing_cpus: float
) -> None:
    rentals = {
        RentalOffer(machine_type(name=f"m{n}", cpus=cpus), "a", True): count
        for n, (cpus, count) in enumerate(requested)
    }
    limited = limit_rentals(rentals, missing_cpus)
    assert sum(o.type.cpus * count for o, count in limited.items()) <= max(0.0, missing_cpus)
    assert all(0 < count <= rentals[offer] for offer, count in limited.items())
    # An offer is cut short only if its next machine exceeds the missing CPUs.
    remaining_cpus = missing_cpus - sum(o.type.cpus * count for o, count in limited.items())
    assert all(
        limited.get(o, 0) == count or o.type.cpus > remaining_cpus for o, count in rentals.items()
    )


def test_recovery_replaces_machines_that_do_not_answer(clock: Clock) -> None:
    state, cloud = StandInState(), StandInCloud()
    put_job(state, job_spec(1, tasks=100, cpus=4.0))
    workers = [put_machine(state, f"vm-{n:06}") for n in range(20)]
    leader = new_leader(state, clock())
    leader.term.cloud = cast(Any, cloud)
    cloud.next = 1_000
    clock.us += 3 * S

    async def rent_replacements_once() -> int:
        leader.autoscaler.rent_replacements(clock())
        background_task = asyncio.create_task(leader.state_writer.run())
        await settle()
        background_task.cancel()
        return sum(request.count for request in cloud.rented)

    # No status probe has failed yet: all machines may be about to answer.
    assert asyncio.run(rent_replacements_once()) == 0
    for worker in workers[:8]:
        for _ in range(2):
            report(leader, worker, clock())
    for worker in workers[8:]:
        leader.cluster.machines[worker.name].probes_failed = True
    assert not leader.recovery.all_known.is_set()
    # Tasks that unanswering machines may hold limit new starts. This limit must not apply to the
    # rental of replacements: with it, only half as many machines were rented.
    leader.recovery.partial_view()
    assert leader.cluster.unverified_usage
    assert asyncio.run(rent_replacements_once()) == 12
    # Pending rentals count, and no task was started and no machine given up.
    assert asyncio.run(rent_replacements_once()) == 12
    assert not any(m.attempts or m.deleting for m in leader.cluster.machines.values())
    # The free capacity is still available to the first pass after recovery.
    leader.term.ready = True
    leader.term.tunables.direct_runs = False
    leader.scheduling_loop.place()
    assert sum(len(m.attempts) for m in leader.cluster.machines.values()) == 8


def test_failed_page_is_retried_and_no_page_is_read_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reader that restarted at each failure never finished while the store was slow."""
    monkeypatch.setattr("weldhead.transport.state_client.PAGE_RETRY_DELAY_S", 0)
    item = b'{"key":"j/%d","value":%d,"mark":%d}'
    pages = [
        b'{"items":[%s],"has_next":true,"ledger":7}' % (item % (1, 1, 5)),
        b'{"items":[%s],"has_next":true,"ledger":8}' % (item % (2, 2, 6)),
        b'{"items":[%s],"has_next":false,"ledger":9}' % (item % (3, 3, 8)),
    ]
    responses: list[int | None] = [200, 503, None, 200, 429, 200]
    page_starts: list[str] = []

    class Http:
        async def call(self, method: str, url: str, *_: Any) -> tuple[int, bytes]:
            page_starts.append(url.partition("&from=")[2])
            status = responses.pop(0)
            if status is None:
                raise CallError("no answer")
            return status, pages[len(set(page_starts)) - 1]

    async def read() -> list[tuple[list[str], int]]:
        client = StateClient(cast(HttpClient, Http()), "x", StateLimits(1e6, 1e6, 8.0, 12))
        return [
            ([entry.key for entry in entries], revision)
            async for entries, revision in client.pages("j/")
        ]

    pages_read = asyncio.run(read())
    # All pages carry the first page's revision, so that a watch from there sees later changes.
    assert pages_read == [(["j/1"], 7), (["j/2"], 7), (["j/3"], 7)]
    assert page_starts == ["", "j/1", "j/1", "j/1", "j/2", "j/2"]
    # If the first page fails, the error goes to the caller, who decides whether to retry.
    responses = [503]
    page_starts.clear()
    with pytest.raises(RequestRefusedError):
        asyncio.run(read())
