"""Controllers with a small share of a core still serve their urgent work in time.

Lease renewals, heartbeats and cancellations must not wait for other work. The results of a seed
also depend on the iteration order of sets of strings; ``make test`` fixes the hash seed.
"""

import asyncio
from typing import Any, cast
from unittest.mock import patch

import pytest

from tests.support.paths import ROOT
from tests.support.stand_ins import StandInState
from tests.support.users import JOB, StandInNode, desk
from weldhead.clock import SECOND_US, now_us
from weldhead.controller.requests import poll_handler
from weldhead.controller.requests.poll_handler import MAX_FORWARDED_POLLS
from weldhead.emulator.experiment import Result, play
from weldhead.emulator.loop import BEGIN_S, CALLBACK_US, ProcessInstance, simulated
from weldhead.emulator.scenario import parse_scenario, read_scenario
from weldhead.tomlfiles import FileProblemError
from weldhead.transport.http_server import Response

SCENARIO = ROOT / "deploy" / "scenarios" / "small-controller.toml"
SEED = 4
#: With at least one of these seeds the leader loses its lease if forwarded polls are unbounded.
POLL_STORM_SEEDS = (SEED, 2, 5, 6)
#: More polls than a run ever forwards at the same time.
UNBOUNDED_POLLS = 1_000_000


def small_controllers(seed: int) -> Result:
    return play(read_scenario(SCENARIO), seed)


def test_small_controller_serves_urgent_work_in_time() -> None:
    result = small_controllers(SEED)
    assert not result.broken, result.details
    # The controllers lacked processor time, and the leader renewed its lease all the same.
    assert result.latest_s > 0.1
    assert (result.counts["terms"], result.undecided_s) == (1, 0.0)
    # Each heartbeat was answered before its worker's lease expired; cancelled tasks were killed.
    assert not result.counts["reports unanswered"] and not result.counts["killed by a lease"]
    assert result.counts["cancel 200"] > 10 and result.cancelled_s < 2.0
    # No submission was refused, and few submissions took more than a second.
    assert not result.counts["submit 503"]
    assert result.counts["submissions over 1 s"] < 0.05 * result.counts["submit 201"]


def test_unbounded_forwarded_polls_cost_the_leader_its_lease() -> None:
    """Shows that the scenario needs the bound on forwarded polls.

    If the leader kept its lease without the bound, the scenario would not test the bound.
    """
    with patch.object(poll_handler, "MAX_FORWARDED_POLLS", UNBOUNDED_POLLS):
        results = map(small_controllers, POLL_STORM_SEEDS)
        assert any(result.counts["terms"] > 1 and result.undecided_s > 1.0 for result in results)


def test_busy_simulated_process_delays_its_callbacks_in_order() -> None:
    """A callback's processor time advances its clock; timers that become due meanwhile wait."""
    recorded: list[tuple[str, float]] = []

    def record(event: str) -> None:
        recorded.append((event, round(now_us() / SECOND_US - BEGIN_S, 3)))

    async def work() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, record, "timer")
        record("begins")
        cast(Any, loop).spend(200_000.0)
        record("has worked")
        loop.call_soon(record, "next")
        await asyncio.sleep(1.0)
        record("slept")

    with simulated() as loop:
        slow, free = (
            ProcessInstance(name, share=share) for name, share in (("slow", 0.5), ("free", 0.0))
        )
        loop.spawn(slow, work)
        loop.spawn(free, work)
        loop.run_until_complete(asyncio.sleep(3.0))
        # The processor time is that of the work and of six callbacks: those of the two timers, the
        # task and its end.
        assert slow.spent_us == 200_000.0 + 6 * CALLBACK_US
        # The lateness of a callback that became due during the work counts from the work's start.
        assert slow.latest_s == pytest.approx(0.4, abs=0.001)
    assert [event for event in recorded if event[1] < 0.1] == [
        ("begins", 0.0), ("begins", 0.0), ("has worked", 0.0), ("next", 0.0)
    ]  # fmt: skip
    slow_s = dict(s for s in recorded if s[1] >= 0.4)
    assert slow_s == {"has worked": 0.4, "timer": 0.4, "next": 0.4, "slept": 1.4}


@pytest.mark.parametrize("share", ["-0.1", "1.5"])
def test_core_share_outside_zero_to_one_is_rejected(share: str) -> None:
    text = SCENARIO.read_text().replace("core-share = 0.04", f"core-share = {share}")
    with pytest.raises(FileProblemError, match="core-share: must be from 0"):
        parse_scenario("s.toml", text)


def test_concurrent_polls_forwarded_to_the_leader_are_bounded() -> None:
    """A poll above the bound is answered from the store; later polls are forwarded again."""

    class SlowLeader(StandInNode):
        asked = 0

        async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
            self.asked += 1
            await answers.wait()
            return Response(200, b"{}")

    async def scenario() -> None:
        node = SlowLeader()
        handler = desk(StandInState(), node)
        waiting = [asyncio.create_task(handler.poll(JOB)) for _ in range(MAX_FORWARDED_POLLS)]
        await asyncio.sleep(0)
        assert (await handler.poll(JOB)).status == 404
        answers.set()
        assert {answer.status for answer in await asyncio.gather(*waiting)} == {200}
        assert (await handler.poll(JOB)).status == 200
        assert node.asked == MAX_FORWARDED_POLLS + 1

    answers = asyncio.Event()
    asyncio.run(scenario())


def test_ended_simulated_process_cannot_be_frozen() -> None:
    """A machine that was frozen while it restarted used to keep the run from ending."""
    with simulated() as loop:
        process = ProcessInstance("m")

        async def scenario() -> None:
            task = loop.spawn(process, lambda: asyncio.sleep(1_000))
            await asyncio.sleep(1)
            loop.end(process)
            loop.freeze(process)
            await asyncio.wait([task], timeout=5)
            assert task.cancelled()

        loop.run_until_complete(scenario())
