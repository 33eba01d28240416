"""Polls are answered fairly when the store is too slow for all and no leader has read the jobs.

The test runs five real controllers on the emulator's network and store. Each poll of a job goes to
a random controller.
"""

import asyncio
import itertools
import random
from unittest.mock import patch

from weldhead.controller.leadership.term_recovery import TermRecovery
from weldhead.emulator.checker import FORGOTTEN_IN_CALM_US
from weldhead.emulator.experiment import Experiment
from weldhead.emulator.loop import BEGIN_S, simulated
from weldhead.emulator.scenario import JobClass, Scenario, ScenarioTeam
from weldhead.tunables.defaults import Tunables

JOBS, STORE_RPS, DURATION_S = 300, 20.0, 160.0


async def _never(_: TermRecovery) -> None:
    """Replace the loading of the jobs, so that the leader cannot answer polls from memory."""
    await asyncio.Event().wait()


def test_no_job_starves_while_polls_exceed_the_store_rate() -> None:
    """When each controller tracked waiting jobs by itself, some polls failed for 118 s."""
    job = JobClass("one", "red", 0.0, tasks=1, run_s=1_000.0, cpus=0.1, initial=0)
    scenario = Scenario(
        "fair-polls", [ScenarioTeam("red", 8.0, 40.0)], [job], controllers=5, machines=4,
        store_rps=STORE_RPS, store_write_rps=10.0, stored_jobs=JOBS,
    )  # fmt: skip
    rng, end_s = random.Random(1), BEGIN_S + DURATION_S
    with simulated() as loop, patch.object(TermRecovery, "load_until_done", _never):
        experiment = Experiment(loop, scenario, 1, Tunables())
        users, addresses = experiment.users, list(experiment.addresses.values())
        users.store(experiment.store.service.store)
        answered_s: dict[str, list[float]] = {}

        async def poll(name: str) -> None:
            address = rng.choice(addresses)
            answer = await users._call("GET", address, f"/submissions/{name}", b"", 2.0)
            if answer is not None and answer.status == 200:
                answered_s[name].append(loop.true_s)

        async def follow(name: str) -> None:
            await asyncio.sleep(10.0 + rng.uniform(0, 5))
            answered_s[name] = [loop.true_s]
            polls = []
            while loop.true_s < end_s:
                polls.append(asyncio.create_task(poll(name)))
                await asyncio.sleep(rng.uniform(4, 6))
            await asyncio.gather(*polls)
            answered_s[name].append(loop.true_s)

        async def poll_all_jobs() -> None:
            await asyncio.gather(*(follow(name) for name in experiment.checker.jobs))

        async def run() -> None:
            for controller in experiment.controllers:
                controller.start()
            await loop.spawn(users.life, poll_all_jobs)

        loop.run_until_complete(run())
    longest_s = max(
        later_s - earlier_s
        for times in answered_s.values()
        for earlier_s, later_s in itertools.pairwise(times)
    )
    assert len(answered_s) == JOBS
    # The store was overloaded: fewer than half of the polls were answered.
    assert sum(len(times) for times in answered_s.values()) < JOBS * DURATION_S / 5 / 2
    assert longest_s < FORGOTTEN_IN_CALM_US / 1e6
