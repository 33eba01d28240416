#!/usr/bin/env python3
"""Count what a poll, a job of one task and a retry of a broken job cost, and a huge job's pass.

    target/dev/bin/python tools/measure_ops.py

Simulated machines; each line is what a run costs more than its twin without that, divided by
how many there were more. The last lines are a ratio of processor times in one run.
"""

import logging
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / part) for part in ("target/deps", "target/extras", ".")]

import click  # noqa: E402

from tests.support.builders import add_job, cluster, job_spec  # noqa: E402
from tools.measure_size import cost  # noqa: E402
from weldhead.emulator.experiment import Result, play  # noqa: E402
from weldhead.emulator.scenario import Fault, JobClass, Scenario, ScenarioTeam  # noqa: E402
from weldhead.protocol.settings import Team  # noqa: E402
from weldhead.scheduling.forecast.run_times import RunTimeEstimates  # noqa: E402
from weldhead.scheduling.objectives import ServiceLevelObjectives  # noqa: E402
from weldhead.scheduling.placement.placement_pass import plan_pass  # noqa: E402
from weldhead.scheduling.placement.placement_plan import PlacementInput  # noqa: E402

COUNTED = ("requests to the store", "writes", "direct requests", "bytes")
LONG = JobClass("long", "red", 0.0, 20, 200.0, initial=12, cancelled=0.0)


def run(*jobs: JobClass, faults: tuple[Fault, ...] = ()) -> Result:
    """Play two minutes of a site with some long jobs, and what is given besides."""
    teams = [ScenarioTeam("red", 1e4, 0.0)]
    return play(Scenario("ops", teams, [LONG, *jobs], 120.0, faults=list(faults)), 1)


def line(what: str, unit: str, less: Result, more: Result) -> None:
    """Print what each of ``unit`` costs."""
    count = more.counts[unit] - less.counts[unit]
    each = ", ".join(f"{k} {(more.counts[k] - less.counts[k]) / count:.2f}" for k in COUNTED)
    click.echo(f"{what} ({count} of them): {each}")


def huge(tasks: int) -> float:
    """Return the processor time of passes beside a waiting job of so many tasks."""
    into = cluster(Team("red", 1e6, 1e7))
    add_job(into, job_spec(1, tasks=tasks))
    jobs = [add_job(into, job_spec(number)) for number in range(2, 500)]
    scene = PlacementInput(into, RunTimeEstimates(), ServiceLevelObjectives([]), 0)
    plan_pass(scene, 1, 1)

    def work() -> None:
        jobs[0].notify_changed()
        plan_pass(scene, 1, 1)

    return cost(work)


if __name__ == "__main__":
    logging.disable()
    if "PYTHONHASHSEED" not in os.environ:
        os.execve(
            sys.executable, [sys.executable, *sys.argv], {**os.environ, "PYTHONHASHSEED": "0"}
        )
    plain = run()
    eager = run(faults=(Fault("users_poll", 5.0, 110.0, factor=8.0),))
    single = JobClass("single", "red", 5.0, 1, 5.0, cpus=0.1, cancelled=0.0)
    broken = JobClass("broken", "red", 0.2, 8, 5.0, broken=1.0)
    line("a poll of a job that is not over", "poll 200", plain, eager)
    line("a job of one task, with its polls", "submit 201", plain, run(single))
    line("a failure of a broken job, its jobs' submissions and polls with it", "failed", plain,
        run(broken))  # fmt: skip
    click.echo(f"a pass beside a job of 100,000 tasks: {huge(100_000) / huge(100):.2f} times one "
        "beside a job of 100 tasks")  # fmt: skip
