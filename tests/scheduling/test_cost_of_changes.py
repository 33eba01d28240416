"""What a leader does each period costs what has changed: operations counted, never timed.

And what a fleet of thousands does to a term: loading, silence of half of it, a slow background
task.
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
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand, endangered
from weldhead.scheduling.autoscaling.rental_offers import RentalOffer, RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out, replacements, usual_boots
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


def scene_of(into: Cluster) -> PlacementInput:
    scene = PlacementInput(into, RunTimeEstimates(), ServiceLevelObjectives([]), 45 * S)
    assert len(plan_pass(scene, 2 * S, 10 * S).unplaced) == len(scene.backlog)
    return scene


# -- operations ----------------------------------------------------------------------------


@pytest.mark.parametrize(("machines", "jobs"), SIZES)
def test_a_pass_costs_what_changed(
    machines: int, jobs: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    into = full_fleet(machines, jobs)
    scene = scene_of(into)
    counts: dict[str, int] = {}
    count_calls(monkeypatch, backlog, "entry_of", counts)
    count_calls(monkeypatch, FreeCapacity, "__init__", counts)
    count_calls(monkeypatch, FreeCapacity, "capacity_for", counts)
    for module in (pass_capacity, placement_pass):
        count_calls(monkeypatch, module, "usable", counts)
    plan = plan_pass(scene, 2 * S, 10 * S)
    assert plan.starts == [] and bool(plan.unplaced)
    assert counts == {}
    # One job and one machine: their places, and each of the two shapes on that machine.
    into.jobs["run-000003"].notify_changed()
    attempt = next(iter(into.jobs["run-000001"].active.values()))
    into.release(attempt, completed=True)
    plan = plan_pass(scene, 2 * S, 10 * S)
    assert len(plan.starts) == 1
    assert counts["entry_of"] == 1
    assert counts["__init__"] == 1
    assert counts["usable"] <= 4 and counts["capacity_for"] <= 8


def test_time_alone_moves_only_the_jobs_that_it_carries_over_a_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    into = full_fleet(10, 0)
    for number in range(1_000):
        add_job(into, job_spec(100 + number, deadline_s=1_000.0 + number, estimate_s=10.0))
    scene = scene_of(into)
    counts: dict[str, int] = {}
    count_calls(monkeypatch, backlog, "entry_of", counts)
    plan_pass(scene, 900 * S, 2_000 * S)
    assert counts == {}
    # Patient until 45 s before the last start that is in time: one a second from here on.
    plan_pass(scene, 945 * S + 1, 2_000 * S)
    plan_pass(scene, 950 * S + 1, 2_000 * S)
    assert counts["entry_of"] == 6


@pytest.mark.parametrize(("machines", "jobs"), SIZES)
def test_forecasts_cost_what_changed(
    machines: int, jobs: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    into = full_fleet(machines, jobs)
    due = add_job(into, job_spec(90_001, deadline_s=1e6))
    watch = JobForecasts(
        into, DependencyGraph(into.jobs), RunTimeEstimates(), lambda job: S, S, 4 * S, 50_000
    )
    assert len(watch.refresh(S)) == jobs + 2
    counts: dict[str, int] = {}
    count_calls(monkeypatch, job_forecasts, "forecast_us", counts)
    count_calls(monkeypatch, job_forecasts.BootTracker, "_enter", counts)
    assert watch.refresh(2 * S) == []
    assert counts == {}
    into.jobs["run-000003"].notify_changed()
    due.notify_changed()
    assert len(watch.refresh(3 * S)) == 2
    # Only the second has a deadline; the other is forecast when somebody asks, once a second.
    assert counts == {"forecast_us": 1}
    for _ in range(3):
        watch.refresh_job(into.jobs["run-000003"], 3 * S)
    assert counts == {"forecast_us": 2}
    # What others take and what boots changes it as well: looked at again after a while.
    assert watch.refresh(7 * S + 1) == [due]


def test_a_look_ahead_has_a_bound_and_leaves_nobody_out() -> None:
    into = full_fleet(10, 0)
    jobs = [add_job(into, job_spec(100 + n, deadline_s=1e5)) for n in range(1_000)]
    watch = JobForecasts(
        into, DependencyGraph(into.jobs), RunTimeEstimates(), lambda job: S, S, 4 * S, 300
    )
    seen: list[Job] = []
    for at_s in range(1, 5):
        seen += watch.refresh(at_s * S)
    assert watch.cut_short == 3
    assert {job.id for job in seen} >= {job.id for job in jobs}


def test_lateness_is_noticed_within_a_recheck_and_never_too_soon() -> None:
    """Nothing happens to the jobs; only time, and what others take, makes them late."""
    into = full_fleet(10, 0)
    jobs = [
        add_job(into, job_spec(100 + n, deadline_s=30.0 + 3 * n, estimate_s=20.0, tasks=1))
        for n in range(40)
    ]
    watch = JobForecasts(
        into, DependencyGraph(into.jobs), RunTimeEstimates(), lambda job: S, S, 4 * S, 5_000
    )
    noticed: dict[str, int] = {}
    turned: dict[str, int] = {}
    for at_us in range(S, 200 * S, S):
        for job in watch.refresh(at_us):
            due = job.first_seen_us + round((job.spec.deadline_s or 0) * S)
            if job.expected_finish_us is not None and job.expected_finish_us > due:
                noticed.setdefault(job.id, at_us)
        for job in jobs:
            # Nothing boots: 30 s until a machine that would be rented now is up, 20 s to run.
            if at_us + 50 * S > round((job.spec.deadline_s or 0) * S):
                turned.setdefault(job.id, at_us)
    assert noticed.keys() == turned.keys() == {job.id for job in jobs}
    for job in jobs:
        assert 0 <= noticed[job.id] - turned[job.id] <= 1 * S


def test_the_fleets_forecast_costs_starts_that_differ_not_tasks() -> None:
    into = full_fleet(10, 0)
    job = add_job(into, job_spec(9, tasks=50_000, cpus=1.0))
    scene = scene_of(into)
    plan = plan_pass(scene, 2 * S, 10 * S)
    queue = CapacityForecast(into, [], RunTimeEstimates(), 2 * S, usual_boots(FLEET))
    pushed = itertools.count()
    take = queue.schedule

    def counted(*args: Any) -> Iterator[tuple[int | None, int]]:
        for found in take(*args):
            next(pushed)
            yield found

    cast(Any, queue).take = counted
    goals = ServiceLevelObjectives([])
    given = DemandForecastInput(
        into, plan, RunTimeEstimates(), goals, FLEET, 2 * S, 20 * S, lambda job: 1.0
    )
    found = forecast_unmet_demand(given, queue)
    assert found.deferrable and found.deferrable[0][0] is job
    # 80 CPUs: 625 turns of 80 tasks.
    assert next(pushed) <= 700


def test_of_very_many_jobs_the_fleet_looks_at_the_foremost() -> None:
    into = full_fleet(10, 5_000)
    scene = scene_of(into)
    plan = plan_pass(scene, 2 * S, 10 * S)
    few, all_of_them = (
        forecast_unmet_demand(
            DemandForecastInput(
                into, plan, RunTimeEstimates(), ServiceLevelObjectives([]), settings, 2 * S,
                20 * S, lambda job: 1.0, (), 5_000,
            ),
            CapacityForecast(into, [], RunTimeEstimates(), 2 * S, usual_boots(FLEET)),
        )
        for settings in (FLEET, FleetTunables(most_considered=10_000).settings())
    )  # fmt: skip
    assert len(few.deferrable) == FLEET.most_considered
    assert len(all_of_them.deferrable) == 5_000
    assert few.backlog_us == pytest.approx(all_of_them.backlog_us, rel=0.05)


# -- size ----------------------------------------------------------------------------------


def test_a_term_of_twenty_thousand_jobs_is_loaded_in_slices(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    state = StandInState()
    state.page = 1_000
    spec = job_spec(1, tasks=1)
    for number in range(20_000):
        put_job(state, job_spec(number, tasks=1))
    names: dict[str, str | None] = {}
    for number in range(2_500):
        names[f"vm-{number:06}"] = "10.0.0.9:1"
        if len(names) == 50:
            state.put(f"h/{number}", RentalRecord("m4", "a", False, 50, START, True, names))
            names = {}
    turns = longest = since = 0
    original = TermRecovery.add_job

    def add(self: TermRecovery, *args: Any) -> Job:
        nonlocal since, longest
        since += 1
        longest = max(longest, since)
        return original(self, *args)

    monkeypatch.setattr(TermRecovery, "add_job", add)
    leader = leader_of(state, clock())

    async def scenario() -> None:
        nonlocal turns, since
        loading = asyncio.create_task(leader.recovery.load())
        while not loading.done():
            await asyncio.sleep(0)
            turns, since = turns + 1, 0
        await loading
        await leader.scheduling_loop.load_backlog()

    asyncio.run(scenario())
    assert (len(leader.cluster.jobs), len(leader.cluster.machines)) == (20_000, 2_500)
    assert longest <= LOAD_BATCH_SIZE and turns >= 2 * 20_000 // LOAD_BATCH_SIZE
    assert len(leader.scheduling_loop.placement_input().backlog) == 20_000
    assert spec.id in leader.cluster.jobs


def test_the_machine_watch_looks_only_at_who_is_silent(clock: Clock) -> None:
    state = StandInState()
    workers = [put_machine(state, f"vm-{n:06}") for n in range(300)]
    leader = new_leader(state, clock())
    for worker in workers:
        for _ in range(2):
            report(leader, worker, clock())
    looked = itertools.count()

    class Counting(dict[str, Any]):
        def values(self) -> Any:
            for value in dict.values(self):
                next(looked)
                yield value

    leader.machine_monitor.by_last_heartbeat = Counting(leader.machine_monitor.by_last_heartbeat)
    clock.us += S
    assert leader.machine_monitor.expired_or_silent(clock()) == []
    assert next(looked) == 1
    clock.us += leader.term.silence_us
    for worker in workers[7:]:
        report(leader, worker, clock())
    found = leader.machine_monitor.silent(clock(), leader.term.silence_us, 0)
    assert {machine.name for machine in found} == {worker.name for worker in workers[:7]}
    assert next(looked) <= 1 + 8 + 1


@pytest.mark.parametrize("late_us", [-S, S])
def test_half_of_the_machines_fall_silent_and_come_back(clock: Clock, late_us: int) -> None:
    """One second before their leases end all go on; one after, each runs once elsewhere."""
    state = StandInState()
    put_job(state, job_spec(1, tasks=80, cpus=1.0))
    workers = [put_machine(state, f"vm-{n:06}") for n in range(30)]
    for number, worker in enumerate(workers[:20]):
        for place in range(4):
            worker.tasks[f"run-000001/{4 * number + place}"] = StandInTask(7, "running")
    leader = new_leader(state, clock())
    term = leader.term
    for worker in workers:
        for _ in range(2):
            report(leader, worker, clock())
    assert leader.recovery.all_known.is_set()
    term.ready = True
    leader.term.tunables.direct_runs = False
    silent, heard = workers[:15], workers[15:]
    sent_us = clock()

    def running() -> list[str]:
        return [task for worker in workers for task in worker.live()]

    while clock() < sent_us + term.lease_us + late_us:
        clock.us += S // 2
        if clock() >= sent_us + term.lease_us:
            # By their own clocks, a drift before the leader may believe it.
            for worker in silent:
                if worker.session == 1:
                    worker.expire()
        for worker in heard:
            report(leader, worker, clock())
        doomed = leader.machine_monitor.expired_or_silent(clock())
        # Half of the fleet at once looks like the network: nothing is given up on.
        assert doomed == [] or clock() > sent_us + term.lease_us
        leader.scheduling_loop.place()
        for worker in heard:
            report(leader, worker, clock())
        assert len(running()) == len(set(running()))
    for worker in silent:
        report(leader, worker, clock())
        report(leader, worker, clock())
    leader.cluster.check_invariants()
    assert len(running()) == len(set(running()))
    kept = {task for worker in silent for task in worker.live()}
    assert len(kept) == (60 if late_us < 0 else 0)


def test_a_job_that_was_lost_sight_of_is_found_and_said(
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
    kept = leader.scheduling_loop.placement_input().backlog
    kept._remove(job)
    leader.scheduling_loop.place()
    assert len(leader.scheduling_loop.last_plan.unplaced) == 2
    leader.autoscaler.audit(clock())
    assert "1 jobs were out of order, run-000001 first" in caplog.text
    leader.scheduling_loop.place()
    assert len(leader.scheduling_loop.last_plan.unplaced) == 3
    caplog.clear()
    leader.autoscaler.audit(clock())
    assert caplog.text == ""


# -- the loop ------------------------------------------------------------------------------


class Loop:
    """A clock that sleeping moves, for a pacer."""

    def __init__(self) -> None:
        self.us = 0
        self.slept: list[float] = []
        self.late_us = 0

    def __call__(self) -> int:
        return self.us

    async def sleep(self, seconds: float) -> None:
        self.slept.append(seconds)
        self.us += round(seconds * S) + self.late_us


def test_a_duty_that_holds_the_loop_is_said_and_pauses_for_its_share(
    caplog: pytest.LogCaptureFixture,
) -> None:
    loop = Loop()
    pacer = EventLoopBudget(S // 10, loop, loop.sleep)
    with caplog.at_level(logging.WARNING):
        for took_us in (S // 20, S // 5, S // 5):
            with pacer.measure("fleet"):
                loop.us += took_us
    said = [record.getMessage() for record in caplog.records]
    assert said == [
        "background task fleet held the event loop for 0.200 s (limit 0.100 s, 1 times so far)"
    ]
    assert pacer.overruns == {"fleet": 2}
    assert pacer.summary() == "fleet held 2 times"
    for rank, share in LOOP_SHARES.items():
        pause_us = pacer.compute_pause_us("fleet", rank, S // 100)
        assert (S // 5) / (S // 5 + pause_us) == pytest.approx(share, rel=1e-3)
    assert pacer.compute_pause_us("fleet", LoopPriority.PLACEMENT, 3 * S) == 3 * S


def test_while_the_loop_is_late_the_last_in_order_waits_first_and_not_for_ever() -> None:
    loop = Loop()
    pacer = EventLoopBudget(S // 10, loop, loop.sleep)
    waiting = {}
    for late_us in (0, 30_000, 60_000, 110_000):
        pacer.lag_us = late_us
        waiting[late_us] = [rank for rank in LoopPriority if pacer.must_defer(rank)]
    assert list(waiting.values()) == [
        [],
        [LoopPriority.FORECASTS],
        [LoopPriority.FLEET, LoopPriority.FORECASTS],
        [LoopPriority.PREEMPTOR, LoopPriority.FLEET, LoopPriority.FORECASTS],
    ]

    async def scenario() -> None:
        began_us = loop()
        await pacer.pause("fleet", LoopPriority.FLEET, S)
        assert MAX_DEFERRAL_US <= loop() - began_us - S <= MAX_DEFERRAL_US + S
        assert pacer.deferrals == {"fleet": 1}
        loop.late_us = 5_000
        watch = asyncio.create_task(pacer.watch_lag())
        pacer._sleep = _yielding(loop)
        for _ in range(5):
            await asyncio.sleep(0)
        watch.cancel()
        assert pacer.lag_us == 5_000

    asyncio.run(scenario())


def _yielding(loop: Loop) -> Any:
    async def sleep(seconds: float) -> None:
        loop.us += round(seconds * S) + loop.late_us
        await asyncio.sleep(0)

    return sleep


# -- when half of the fleet goes at once --------------------------------------------------


def test_what_silent_machines_hold_is_asked_for_before_their_leases_are_over() -> None:
    into = full_fleet(30, 0)
    filler = into.jobs["run-000001"]
    silent = list(into.machines.values())[:15]
    at_us, lease_us = 8 * S, 14 * S
    (lost,) = endangered(silent, at_us, lease_us)
    assert (lost.job, lost.starts_us, lost.tasks(into)) == (filler, S + lease_us, 60)
    market = RentalOffers([machine_type(cpus=8.0, memory_gb=64.0, zones=("a",), boot_s=10.0)])
    estimates, goals = RunTimeEstimates(), ServiceLevelObjectives([])
    names = {machine.name for machine in silent}

    def rentals(upcoming: list[ExpectedDemand], away: set[str]) -> int:
        found = plan_scale_out(
            into,
            PlacementPlan(),
            market,
            estimates,
            goals,
            at_us,
            FLEET,
            (),
            None,
            upcoming,
            0,
            away,
        )
        return sum(found.values())

    # What runs elsewhere for another minute does not help them: 60 tasks of 2 CPUs.
    assert rentals([lost], names) == 15
    assert rentals([], set()) == 0
    # Cancelled work and replicas are not asked for again.
    filler.cancelled = True
    assert endangered(silent, at_us, lease_us) == []


@given(
    st.lists(st.tuples(st.sampled_from([2.0, 8.0, 64.0]), st.integers(1, 50)), max_size=6),
    st.floats(-10.0, 500.0),
)
def test_no_more_is_rented_ahead_than_what_is_missing(
    orders: list[tuple[float, int]], missing: float
) -> None:
    rentals = {
        RentalOffer(machine_type(name=f"m{n}", cpus=cpus), "a", True): count
        for n, (cpus, count) in enumerate(orders)
    }
    found = replacements(rentals, missing)
    assert sum(o.type.cpus * count for o, count in found.items()) <= max(0.0, missing)
    assert all(0 < count <= rentals[offer] for offer, count in found.items())
    # Whatever was cut off did not fit any more.
    left = missing - sum(o.type.cpus * count for o, count in found.items())
    assert all(found.get(o, 0) == count or o.type.cpus > left for o, count in rentals.items())


def test_recovery_rents_what_replaces_machines_that_do_not_answer(clock: Clock) -> None:
    state, cloud = StandInState(), StandInCloud()
    put_job(state, job_spec(1, tasks=100, cpus=4.0))
    workers = [put_machine(state, f"vm-{n:06}") for n in range(20)]
    leader = new_leader(state, clock())
    leader.term.cloud = cast(Any, cloud)
    cloud.next = 1_000
    clock.us += 3 * S

    async def look() -> int:
        leader.autoscaler.rent_replacements(clock())
        background_task = asyncio.create_task(leader.state_writer.run())
        await settle()
        background_task.cancel()
        return sum(request.count for request in cloud.rented)

    # Nobody has been asked in vain yet: they may all be about to answer.
    assert asyncio.run(look()) == 0
    for worker in workers[:8]:
        for _ in range(2):
            report(leader, worker, clock())
    for worker in workers[8:]:
        leader.cluster.machines[worker.name].probes_failed = True
    assert not leader.recovery.all_known.is_set()
    # What they may hold bounds starts; it must not keep what replaces them from being rented
    # (found on an own day: half as many were asked for).
    leader.recovery.partial_view()
    assert leader.cluster.unverified_usage
    assert asyncio.run(look()) == 12
    # What is on its way counts, and nothing was started or given up on.
    assert asyncio.run(look()) == 12
    assert not any(m.attempts or m.deleting for m in leader.cluster.machines.values())
    # The room is still there for the plan that is made once all is known.
    leader.term.ready = True
    leader.term.tunables.direct_runs = False
    leader.scheduling_loop.place()
    assert sum(len(m.attempts) for m in leader.cluster.machines.values()) == 8


def test_a_page_that_fails_is_asked_for_again_and_nothing_is_read_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reader that began anew at each failure came to no end while the store was slow."""
    monkeypatch.setattr("weldhead.transport.state_client.PAGE_PAUSE_S", 0)
    item = b'{"key":"j/%d","value":%d,"mark":%d}'
    pages = [
        b'{"items":[%s],"has_next":true,"ledger":7}' % (item % (1, 1, 5)),
        b'{"items":[%s],"has_next":true,"ledger":8}' % (item % (2, 2, 6)),
        b'{"items":[%s],"has_next":false,"ledger":9}' % (item % (3, 3, 8)),
    ]
    fates: list[int | None] = [200, 503, None, 200, 429, 200]
    asked: list[str] = []

    class Http:
        async def call(self, method: str, url: str, *_: Any) -> tuple[int, bytes]:
            asked.append(url.partition("&from=")[2])
            fate = fates.pop(0)
            if fate is None:
                raise CallError("no answer")
            return fate, pages[len(set(asked)) - 1]

    async def read() -> list[tuple[list[str], int]]:
        client = StateClient(cast(HttpClient, Http()), "x", StateLimits(1e6, 1e6, 8.0, 12))
        return [
            ([entry.key for entry in part], revision) async for part, revision in client.pages("j/")
        ]

    found = asyncio.run(read())
    # All with the first page's revision: what changed since is seen by a watch from there.
    assert found == [(["j/1"], 7), (["j/2"], 7), (["j/3"], 7)]
    assert asked == ["", "j/1", "j/1", "j/1", "j/2", "j/2"]
    # Nothing has been read yet: whoever asked decides.
    fates = [503]
    asked.clear()
    with pytest.raises(RequestRefusedError):
        asyncio.run(read())
