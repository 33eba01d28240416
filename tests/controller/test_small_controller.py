"""Controllers with a share of a core: what is due waits its turn, and what must not wait does not.

Which seeds show what depends on the order of sets of names too: `make test` fixes the hash.
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
#: One of these loses its lease if nothing bounds what is passed on; most did when written.
STORMS = (SEED, 2, 5, 6)
#: More than were ever passed on at once.
NO_BOUND = 1_000_000


def small_controllers(seed: int) -> Result:
    return play(read_scenario(SCENARIO), seed)


def test_what_must_not_wait_does_not() -> None:
    result = small_controllers(SEED)
    assert not result.broken, result.details
    # It was short of processor time, and the lease was renewed all the same.
    assert result.latest_s > 0.1
    assert (result.counts["terms"], result.undecided_s) == (1, 0.0)
    # Each report was answered before its worker's lease ended; cancelled tasks were killed.
    assert not result.counts["reports unanswered"] and not result.counts["killed by a lease"]
    assert result.counts["cancel 200"] > 10 and result.cancelled_s < 2.0
    # Submissions: nobody was sent away, and few waited for more than a second.
    assert not result.counts["submit 503"]
    assert result.counts["submissions over 1 s"] < 0.05 * result.counts["submit 201"]


def test_a_storm_of_polls_that_is_passed_on_whole_costs_the_lease() -> None:
    """What the bound guards against; if this passes without, the scenario shows nothing."""
    with patch.object(poll_handler, "MAX_FORWARDED_POLLS", NO_BOUND):
        storms = map(small_controllers, STORMS)
        assert any(storm.counts["terms"] > 1 and storm.undecided_s > 1.0 for storm in storms)


def test_a_busy_process_falls_behind_in_its_order() -> None:
    """Clocks go on within a callback; callbacks and timers that are due meanwhile wait."""
    seen: list[tuple[str, float]] = []

    def note(what: str) -> None:
        seen.append((what, round(now_us() / SECOND_US - BEGIN_S, 3)))

    async def work() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, note, "timer")
        note("begins")
        cast(Any, loop).spend(200_000.0)
        note("has worked")
        loop.call_soon(note, "next")
        await asyncio.sleep(1.0)
        note("slept")

    with simulated() as loop:
        slow, free = (
            ProcessInstance(name, share=share) for name, share in (("slow", 0.5), ("free", 0.0))
        )
        loop.spawn(slow, work)
        loop.spawn(free, work)
        loop.run_until_complete(asyncio.sleep(3.0))
        # The work, and the callbacks of the two timers, the task and its end.
        assert slow.spent_us == 200_000.0 + 6 * CALLBACK_US
        # What became due within the work counts from when that began.
        assert slow.latest_s == pytest.approx(0.4, abs=0.001)
    assert [what for what in seen if what[1] < 0.1] == [
        ("begins", 0.0), ("begins", 0.0), ("has worked", 0.0), ("next", 0.0)
    ]  # fmt: skip
    slow_s = dict(s for s in seen if s[1] >= 0.4)
    assert slow_s == {"has worked": 0.4, "timer": 0.4, "next": 0.4, "slept": 1.4}


@pytest.mark.parametrize("share", ["-0.1", "1.5"])
def test_a_share_of_a_core_is_checked(share: str) -> None:
    text = SCENARIO.read_text().replace("core-share = 0.04", f"core-share = {share}")
    with pytest.raises(FileProblemError, match="core-share: must be from 0"):
        parse_scenario("s.toml", text)


def test_the_leader_is_asked_about_so_many_jobs_at_once() -> None:
    """The next one is answered from the store at once, and the leader is asked again later."""

    class SlowLeader(StandInNode):
        asked = 0

        async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
            self.asked += 1
            await answers.wait()
            return Response(200, b"{}")

    async def scene() -> None:
        node = SlowLeader()
        front = desk(StandInState(), node)
        waiting = [asyncio.create_task(front.poll(JOB)) for _ in range(MAX_FORWARDED_POLLS)]
        await asyncio.sleep(0)
        assert (await front.poll(JOB)).status == 404
        answers.set()
        assert {answer.status for answer in await asyncio.gather(*waiting)} == {200}
        assert (await front.poll(JOB)).status == 200
        assert node.asked == MAX_FORWARDED_POLLS + 1

    answers = asyncio.Event()
    asyncio.run(scene())


def test_a_process_that_has_ended_cannot_be_frozen() -> None:
    """A machine that hung as it was restarted kept the run from ever ending."""
    with simulated() as loop:
        life = ProcessInstance("m")

        async def story() -> None:
            task = loop.spawn(life, lambda: asyncio.sleep(1_000))
            await asyncio.sleep(1)
            loop.end(life)
            loop.freeze(life)
            await asyncio.wait([task], timeout=5)
            assert task.cancelled()

        loop.run_until_complete(story())
