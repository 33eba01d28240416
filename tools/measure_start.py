#!/usr/bin/env python3
"""Count what a start after all controllers were down costs, by the size of the site.

    target/dev/bin/python tools/measure_start.py --machines 250,500,1000,2500 --jobs 20000

Simulated machines; counts of the first 10 s after the new leader won its key, ordinary traffic
among them. Nothing here is a time but seconds of the experiment.
"""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / part) for part in ("target/deps", "target/extras", ".")]

import click  # noqa: E402

from weldhead.emulator.experiment import play  # noqa: E402
from weldhead.emulator.scenario import Fault, JobClass, Scenario, ScenarioTeam  # noqa: E402


def site(machines: int, jobs: int, dead: float) -> Scenario:
    """A full fleet with a backlog, all of whose controllers end once."""
    down = Fault("controllers_end", 70.0, 4.0)
    return Scenario(
        "size", [ScenarioTeam("red", 1e5, 1e6)], [JobClass("long", "red", 0.0, 1, 60.0, initial=0)],
        seconds=90.0, machines=machines, boot_s=5.0, report_s=2.5, lease_s=15.0,
        store_rps=500.0, store_write_rps=200.0, cloud_rps=10.0, stored_jobs=jobs,
        faults=[Fault("machines_die", 70.0, share=dead), down] if dead else [down],
    )  # fmt: skip


@click.command()
@click.option("--machines", default="250,500,1000,2500", show_default=True)
@click.option("--jobs", default="20000", show_default=True)
@click.option("--dead", default=0.0, help="The share of the machines that die at the same time.")
def main(machines: str, jobs: str, dead: float) -> None:
    """Print a line for each size."""
    click.echo("machines |   jobs | direct | of the store | transactions | cloud | KB a machine | "
        "s to ready | s to first task | direct a machine")  # fmt: skip
    for count in map(int, machines.split(",")):
        for waiting in map(int, jobs.split(",")):
            result = play(site(count, waiting, dead), 1)
            calls = result.first_calls[-1]
            first_s = f"{min(result.first_start_s):.2f}" if result.first_start_s else "none"
            click.echo(
                f"{count:8} | {waiting:6} | {calls['machines']:6} | {calls['state']:12} | "
                f"{calls['transactions']:12} | {calls['cloud']:5} | "
                f"{calls['bytes'] / 1024 / count:12.2f} | {max(result.ready_s):10.2f} | "
                f"{first_s:>15} | {calls['machines'] / count:.2f}"
                + ("" if not result.broken else f" BROKEN {dict(result.broken)}")
            )


if __name__ == "__main__":
    if "PYTHONHASHSEED" not in os.environ:
        os.execve(
            sys.executable, [sys.executable, *sys.argv], {**os.environ, "PYTHONHASHSEED": "0"}
        )
    main()
