"""One-task jobs come four a second, a quarter is cancelled: nothing grows with those that are over.

`meet-short-jobs` with slow and late writes and two changes of leader; what controllers keep is
looked at every second.
"""

import asyncio
from collections import Counter

import pytest

from tests.support.paths import ROOT
from weldhead.cluster_state.records import FINAL, JOBS
from weldhead.controller.process import ControllerProcess
from weldhead.controller.requests.completions import MAX_FINAL_RECORDS
from weldhead.controller.requests.job_status_reader import MAX_REMEMBERED_JOBS
from weldhead.controller.workers.heartbeat_forwarding import (
    MAX_REMEMBERED_REDIRECTS,
    REDIRECT_RETURN_WINDOW_US,
    HeartbeatForwarding,
)
from weldhead.emulator.experiment import Experiment
from weldhead.emulator.loop import simulated
from weldhead.emulator.scenario import read_scenario
from weldhead.tunables.defaults import Tunables

SCENARIO = ROOT / "deploy" / "scenarios" / "meet-short-jobs.toml"
#: What the store holds and is written besides the jobs: leadership, machines, what was taken.
OTHER_KEYS, OTHER_WRITES = 60, 300
#: Of each job: its submission, its end, its cancellation, and what is repeated of them.
WRITES_A_JOB = 3


def kept(node: ControllerProcess) -> Counter[str]:
    """How much a controller keeps: of jobs that are over, and that is bounded otherwise."""
    sizes = Counter(
        desk=len(node._request_handler.reader.finals),
        waiting=len(node._request_handler.polls.limiter._waiting),
    )
    leader = node.leader
    if leader is not None and leader.loaded:
        cluster, versions = leader.cluster, leader.state_writer._versions
        keys = {key.partition("/")[2] for key in versions if key.startswith((JOBS, FINAL))}
        sizes["finals"] = len(leader.completions.finals)
        sizes["starts of jobs that are over"] = len(
            set(cluster._attempt_counts) - set(cluster.jobs)
        )
        sizes["versions of jobs that are over"] = len(keys - set(cluster.jobs))
        sizes["versions"] = len(versions) - len(keys)
    return sizes


@pytest.mark.parametrize(("controllers", "seed"), [(3, 3), (5, 4)])
def test_what_is_kept_of_short_jobs_is_bounded(controllers: int, seed: int) -> None:
    site = read_scenario(SCENARIO)
    site.controllers = controllers
    most = Counter[str]()
    with simulated() as loop:
        experiment = Experiment(loop, site, seed, Tunables())

        async def look() -> None:
            while True:
                await asyncio.sleep(1.0)
                for node in (c.node for c in experiment.controllers):
                    if node is not None and hasattr(node, "_desk"):
                        for name, size in kept(node).items():
                            most[name] = max(most[name], size)

        async def run() -> None:
            looking = asyncio.create_task(look())
            await experiment.run()
            looking.cancel()

        loop.run_until_complete(run())
    checker, store = experiment.checker, experiment.store
    assert not checker.broken, checker.details
    # It came about: so many jobs, a quarter called off, late writes, and three terms.
    jobs = len(checker.jobs)
    asked = sum(told.cancel_asked for told in checker.jobs.values())
    assert jobs > 450 and asked > jobs / 5 and store.late_writes > 20
    assert [met.event for met in experiment.faults.met] == ["write_given_up", "write_sent"]
    assert len(experiment.led_s) >= 3
    assert all(due == done for due, done in checker.served().values())
    assert not any(told.accepted and not told.final for told in checker.jobs.values())
    # What is over leaves its end in the store, and no more than some of them in memory.
    keys = len(store.service.store.page("", "", 1_000_000).items)
    assert keys < jobs + OTHER_KEYS
    assert store.writes < WRITES_A_JOB * jobs + OTHER_WRITES
    assert most["starts of jobs that are over"] == most["versions of jobs that are over"] == 0
    assert most["versions"] < OTHER_KEYS
    assert most["finals"] <= MAX_FINAL_RECORDS and most["desk"] <= MAX_REMEMBERED_JOBS
    assert most["waiting"] < jobs / 2


def test_workers_that_do_not_come_back_are_forgotten() -> None:
    relays = HeartbeatForwarding()
    for number in range(MAX_REMEMBERED_REDIRECTS):
        relays.record_redirect(f"vm-{number}", 1)
    relays.record_redirect("vm-late", 1 + REDIRECT_RETURN_WINDOW_US)
    assert list(relays._redirected_us) == ["vm-late"]
    assert relays.should_forward("vm-late", 2 + REDIRECT_RETURN_WINDOW_US)
