"""What a leader's periodic work costs by the size of its fleet and its backlog.

Ratios within one run, on this machine; docs/performance.md has what they gave. The plain
decisions of ``tests/support/reference_decisions.py`` are what the service did before it followed
changes. `python3 tools/measure_size.py passes --help`
"""

import asyncio
import gc
import itertools
import sys
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]
sys.path.append(str(ROOT / "target" / "extras"))

import click  # noqa: E402

from tests.support.builders import add_job, job_spec, machine_type  # noqa: E402
from tests.support.leaders import leader_of, put_job  # noqa: E402
from tests.support.reference_decisions import PlainPlan, PlainQueue, plain_starts  # noqa: E402
from tests.support.stand_ins import StandInState  # noqa: E402
from weldhead.clock import now_us  # noqa: E402
from weldhead.cluster_state.cluster import Cluster  # noqa: E402
from weldhead.cluster_state.dependency_graph import DependencyGraph  # noqa: E402
from weldhead.cluster_state.machines import Machine  # noqa: E402
from weldhead.cluster_state.records import RentalRecord  # noqa: E402
from weldhead.cluster_state.states import AttemptPhase, StopRequest  # noqa: E402
from weldhead.controller.leadership.leader import Leader  # noqa: E402
from weldhead.protocol.settings import Objective, Team  # noqa: E402
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast  # noqa: E402
from weldhead.scheduling.autoscaling.scale_out import default_boot_expectations  # noqa: E402
from weldhead.scheduling.autoscaling.unmet_demand import (  # noqa: E402
    DemandForecastInput,
    UnmetDemand,
    forecast_unmet_demand,
)
from weldhead.scheduling.forecast.completion_times import forecast_boots, forecast_finish_us  # noqa: E402
from weldhead.scheduling.forecast.job_forecasts import JobForecasts  # noqa: E402
from weldhead.scheduling.forecast.run_times import RunTimeEstimates  # noqa: E402
from weldhead.scheduling.objectives import ServiceLevelObjectives  # noqa: E402
from weldhead.scheduling.placement.placement_pass import plan_pass  # noqa: E402
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan  # noqa: E402
from weldhead.scheduling.placement.unplaced_tasks import UnplacedTasks  # noqa: E402
from weldhead.tunables.defaults import Tunables  # noqa: E402

S = 1_000_000
SILENCE, PATIENCE = 6 * S, 45 * S
GOALS = ServiceLevelObjectives(
    [Objective("wait", "train", 0.9, 60.0), Objective("finished", "train", 0.9, 200.0)]
)
FLEET = Tunables().fleet.settings()
TASKS_A_MACHINE = 8


def fleet(machines: int, jobs: int) -> Cluster:
    """A full fleet with that many small jobs waiting, of a few kinds, half with a deadline."""
    into = Cluster([Team("red", 100, 1e9), Team("blue", 100, 1e9)], 7)
    kind = machine_type(cpus=float(TASKS_A_MACHINE), memory_gb=64.0)
    holders = []
    for number in range(machines):
        machine = Machine(f"vm-{number:06}", kind, "ab"[number % 2], True, 0)
        machine.newest_message, machine.reconciled, machine.enrolled, machine.last_heartbeat_us = (
            (1, 1),
            True,
            True,
            S,
        )
        into.machines[machine.name] = machine
        if number % 50 == 0:
            tasks = 50 * TASKS_A_MACHINE
            holders.append(add_job(into, job_spec(len(holders), cpus=1.0, tasks=tasks)))
        for place in range(TASKS_A_MACHINE):
            index = number % 50 * TASKS_A_MACHINE + place
            attempt = into.start(holders[-1], index, machine, S)
            attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, S
    for number in range(jobs):
        add_job(
            into,
            job_spec(
                100_000 + number,
                team=("red", "blue")[number % 2],
                priority=("normal", "idle")[number // 2 % 2],
                cpus=1.0 + number % 3,
                tasks=1 + number % 2,
                estimate_s=20.0 + number % 50,
                deadline_s=(None, 100_000.0)[number // 4 % 2],
            ),
        )
    return into


def cost(work: Callable[[], object], most_s: float = 1.0, least: int = 1) -> float:
    """Return the processor time of one run, the least of several."""
    best, spent, runs = float("inf"), 0.0, 0
    while runs < least or (spent < most_s and runs < 20):
        began = time.process_time()
        work()
        took = time.process_time() - began
        best, spent, runs = min(best, took), spent + took, runs + 1
    return best


def plain_forecasts(into: Cluster, estimates: RunTimeEstimates, at_us: int, most: int) -> None:
    """Forecast as before: each job without a running task looks at every machine."""
    for job in list(into.jobs.values())[-most:]:
        boots = forecast_boots(into.machines.values())
        forecast_finish_us(into, job, estimates, at_us, boots)


def touch_some(into: Cluster, share: float) -> Iterator[None]:
    """Change that share of the jobs, again and again."""
    jobs = list(into.jobs.values())
    step = max(1, round(1 / share))
    while True:
        for job in jobs[::step]:
            job.notify_changed()
        yield


@click.group()
def main() -> None:
    """Measure."""


@main.command()
@click.option("--machines", default="650,1300,2600,5000")
@click.option("--jobs", default="100,1000,10000,50000")
def passes(machines: str, jobs: str) -> None:
    """A pass, a round of forecasts and a look at the fleet: plain against following changes.

    Columns are milliseconds of processor time; of the plain forecasts up to 200 jobs are
    measured and the rest reckoned, as each costs the same.
    """
    click.echo(
        "machines   jobs | pass: plain, nothing changed, 1 % changed | forecasts: plain, "
        "nothing, 1 % | fleet: plain, now | first look"
    )
    for count in map(int, machines.split(",")):
        for waiting in map(int, jobs.split(",")):
            figures = measure_passes(count, waiting)
            click.echo(f"{count:8} {waiting:6} | " + " ".join(f"{1e3 * f:9.3f}" for f in figures))


def measure_passes(machines: int, jobs: int) -> tuple[float, ...]:
    """Return the costs of one line of the table, in seconds."""
    into, estimates = fleet(machines, jobs), RunTimeEstimates()
    gc.collect()
    gc.freeze()
    moment = itertools.count(2 * S, 1_000)
    some = touch_some(into, 0.01)

    def plain_pass() -> PlainPlan:
        return plain_starts(into, estimates, GOALS, next(moment), SILENCE, PATIENCE)

    def look_at_all() -> None:
        while outlook.refresh(next(moment)):
            pass

    plain = cost(plain_pass)
    scene = PlacementInput(into, estimates, GOALS, PATIENCE)
    first = cost(lambda: plan_pass(scene, next(moment), SILENCE), 0.0)
    still = cost(lambda: plan_pass(scene, next(moment), SILENCE))
    moved = cost(lambda: (next(some), plan_pass(scene, next(moment), SILENCE)))
    sample = min(200, jobs)
    told = cost(lambda: plain_forecasts(into, estimates, next(moment), sample)) * jobs / sample
    outlook = JobForecasts(
        into, DependencyGraph(into.jobs), estimates, lambda job: S, S, 4 * S, 5_000
    )
    look_at_all()
    quiet = cost(lambda: outlook.refresh(next(moment)))
    looked = cost(lambda: (next(some), outlook.refresh(next(moment))))
    plan, plain_plan = plan_pass(scene, next(moment), SILENCE), plain_pass()
    listed = PlacementPlan(unplaced=UnplacedTasks(plain_plan.listed))
    at_us = next(moment)
    rest = (estimates, GOALS, FLEET, at_us, 20 * S, lambda job: 1.5)

    def plain_fleet() -> UnmetDemand:
        queue = PlainQueue(into, [], estimates, at_us, FLEET)
        return forecast_unmet_demand(DemandForecastInput(into, listed, *rest), queue)

    def fleet_now() -> UnmetDemand:
        queue = CapacityForecast(into, [], estimates, at_us, default_boot_expectations(FLEET))
        return forecast_unmet_demand(DemandForecastInput(into, plan, *rest), queue)

    figures = (plain, still, moved, told, quiet, looked, cost(plain_fleet), cost(fleet_now), first)
    gc.unfreeze()
    return figures


@main.command()
@click.option("--machines", default="650,1300,2600,5000")
def watch(machines: str) -> None:
    """A look of the machine watch, five times a second: plain, and now where all are heard."""
    for count in map(int, machines.split(",")):
        into = fleet(count, 0)
        leader = leader_of(StandInState(), now_us())
        asyncio.run(leader.recovery.load())
        leader.term.cluster = into
        leader.machine_monitor.changed = into.machines.feeds.subscribe()
        leader.machine_monitor.by_last_heartbeat = dict(into.machines)
        at_us = S + leader.term.heartbeat_interval_us
        leader.term.loaded_us = 0
        plain = cost(partial(plain_watch, leader, at_us))
        now = cost(partial(_watch_once, leader, at_us))
        click.echo(f"{count:8} | plain {1e3 * plain:9.3f}, now {1e3 * now:9.4f}: {plain / now:.0f}")


def plain_watch(leader: Leader, at_us: int) -> list[Machine]:
    """Look at all machines and all that runs on them, as before."""
    term, machines = leader.term, list(leader.cluster.machines.values())
    live = [m for m in machines if m.enrolled and not m.deleting]
    doomed = [m for m in live if at_us - max(m.last_heartbeat_us, 0) > term.silence_us]
    for machine in live:
        for attempt in machine.attempts.values():
            if (
                attempt.unconfirmed_since_us
                and at_us - attempt.unconfirmed_since_us > term.cancel_us // 4
            ):
                doomed.append(machine)
            if (
                attempt.stop_request is StopRequest.HARD
                and at_us - attempt.stop_requested_us > term.cancel_us // 2
            ):
                doomed.append(machine)
    return doomed + [m for m in machines if leader.machine_monitor.was_interrupted(m, at_us)]


def _watch_once(leader: Leader, at_us: int) -> list[Machine]:
    doomed = leader.machine_monitor.expire_leases_and_find_lost(
        at_us
    ) + leader.machine_monitor.machines_with_overdue_stops(at_us)
    return doomed + [
        m
        for m in leader.machine_monitor.interrupted.values()
        if leader.machine_monitor.was_interrupted(m, at_us)
    ]


@main.command()
@click.option("--machines", default="650,1300,2600,5000")
@click.option("--jobs", default="100,1000,10000,50000")
def takeover(machines: str, jobs: str) -> None:
    """Load a term from a store in memory and put its jobs in order; what holds the loop.

    Columns are milliseconds: all the processor time of it, the longest time for which nothing
    else on the loop got its turn, and the turns that something else got.
    """
    click.echo("machines   jobs | processor, longest hold, turns")
    for count in map(int, machines.split(",")):
        for waiting in map(int, jobs.split(",")):
            total, longest, turns = asyncio.run(measure_takeover(count, waiting))
            click.echo(f"{count:8} {waiting:6} | {1e3 * total:9.1f} {1e3 * longest:9.1f} {turns:6}")


async def measure_takeover(machines: int, jobs: int) -> tuple[float, float, int]:
    """Return the processor time of a takeover's loading, the longest hold, and the turns."""
    state = StandInState()
    state.page = 1_000
    for number in range(jobs):
        put_job(state, job_spec(number, tasks=1 + number % 3, deadline_s=1e5))
    names = [f"vm-{number:06}" for number in range(machines)]
    for start in range(0, machines, 50):
        held: dict[str, str | None] = dict.fromkeys(names[start : start + 50], "10.0.0.9:1")
        state.put(f"h/{start}", RentalRecord("m4", "a", False, len(held), 0, True, held))
    leader = leader_of(state, now_us())
    gc.collect()
    gc.freeze()

    async def load() -> None:
        await leader.recovery.load()
        await leader.scheduling_loop.load_backlog()

    loading = asyncio.create_task(load())
    began = last = time.process_time()
    longest, turns = 0.0, 0
    while not loading.done():
        await asyncio.sleep(0)
        at = time.process_time()
        longest, last, turns = max(longest, at - last), at, turns + 1
    await loading
    gc.unfreeze()
    return last - began, longest, turns


if __name__ == "__main__":
    main()
