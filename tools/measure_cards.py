"""What a pass of the preemptor costs where cards are claimed.

Half of the machines have cards, all of them taken by tasks that save; replicas of two sets of
weights claim. `python3 tools/measure_cards.py --help`
"""

import statistics
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]
sys.path.append(str(ROOT / "target" / "extras"))

import click  # noqa: E402

from tests.support.builders import add_job, add_machine, cluster, job_spec  # noqa: E402
from weldhead.cluster_state.reclaim import ReclaimLists  # noqa: E402
from weldhead.cluster_state.states import AttemptPhase  # noqa: E402
from weldhead.protocol.settings import Objective, Team  # noqa: E402
from weldhead.scheduling.forecast.run_times import RunTimeEstimates  # noqa: E402
from weldhead.scheduling.objectives import ServiceLevelObjectives  # noqa: E402
from weldhead.scheduling.placement.placement_pass import plan_starts  # noqa: E402
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions  # noqa: E402
from weldhead.tunables.defaults import Tunables  # noqa: E402

S = 1_000_000


@click.command()
@click.option("--machines", default=600)
@click.option("--tasks", default=1_000, help="Tasks that hold a card.")
@click.option("--claimants", default=64)
@click.option("--times", default=9)
def main(machines: int, tasks: int, claimants: int, times: int) -> None:
    """Print the median time of a pass, and how many claims it made."""
    goals = ServiceLevelObjectives([Objective("wait", "serve", 0.9, 8.0)])
    settings = Tunables().preemptor.settings(600 * S)
    spent, claims = [], 0
    for _ in range(times):
        into = cluster(Team("serving", 1e6, 0, 400), Team("tuning", 0, 0, 100), Team("red", 0))
        for number in range(machines):
            cards = 4.0 if number < machines // 2 else 0.0
            add_machine(into, f"vm-{number:06}", "ab"[number % 2], gpus=cards, cpus=16.0)
        held = [m for m in into.machines.values() if m.gpus]
        other = [m for m in into.machines.values() if not m.gpus]
        for number in range(tasks // 20):
            spec = job_spec(number, team="tuning", priority="idle", gpus=1.0, cpus=4.0, tasks=20,
                            memory_gb=4.0, checkpoint_s=20.0)  # fmt: skip
            for index in range(20):
                place = (number * 20 + index) // 4 % len(held)
                job = into.jobs.get(spec.id) or add_job(into, spec)
                attempt = into.start(job, index, held[place], S)
                attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, S
        for number, machine in enumerate(other):
            job = add_job(into, job_spec(10_000 + number, priority="idle", cpus=2.0, tasks=8,
                                         memory_gb=2.0))  # fmt: skip
            for index in range(8):
                into.start(job, index, machine, S).phase = AttemptPhase.RUNNING
        for machine in held:
            machine.draining = machine.gpus > 0
        for number in range(claimants):
            add_job(into, job_spec(20_000 + number, team="serving", job_class="serve", gpus=1.0,
                                   priority="high", cpus=4.0, tasks=2, memory_gb=4.0,
                                   image=f"weights-{number % 2}", image_gb=15.0))  # fmt: skip
        plan = plan_starts(into, RunTimeEstimates(), goals, 2 * S, 600 * S, 45 * S)
        lists = ReclaimLists()
        begun = time.perf_counter()
        claims = len(
            plan_preemptions(into, lists, plan, RunTimeEstimates(), 2 * S, settings, goals)
        )
        spent.append(time.perf_counter() - begun)
    print(f"{claims} claims, {1e3 * statistics.median(spent):.1f} ms a pass")


if __name__ == "__main__":
    main()
