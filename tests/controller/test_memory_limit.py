"""Near its memory limit a controller refuses new jobs, and nothing else."""

import asyncio
import logging
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.clocks import set_request_clock
from tests.support.settings import SETTINGS
from tests.support.stand_ins import StandInState
from tests.support.users import GOOD_BODY, JOB, OTHER_BODY, StandInNode, run
from weldhead.admission.memory_gate import (
    ACCEPT_SHARE,
    COME_BACK_S,
    LEADER_WORD_US,
    REFUSE_SHARE,
    TRIAL_SHARE,
    TRIAL_US,
    MemoryGate,
    MemoryTransition,
)
from weldhead.clock import now_us
from weldhead.controller.memory_monitor import MIB, READING_US, MemoryMonitor
from weldhead.controller.process import ControllerProcess
from weldhead.controller.requests.request_handler import RequestHandler
from weldhead.protocol import peer
from weldhead.protocol.settings import SettingsError, Team, parse_settings
from weldhead.transport.process_memory import own_bytes
from weldhead.tunables.defaults import Tunables

LIMIT = 100 * MIB
S = 1_000_000


@given(st.lists(st.tuples(st.integers(0, 110), st.integers(1, 3 * S)), max_size=60))
def test_new_work_is_refused_from_one_mark_on_until_below_the_other(
    readings: list[tuple[int, int]],
) -> None:
    gate, at_us, trial_us, full = MemoryGate(LIMIT), 10 * S, 0, False
    for percent, pause_us in readings:
        at_us += pause_us
        change, before = gate.read(percent * MIB), full
        full = percent >= 100 * (ACCEPT_SHARE if full else REFUSE_SHARE)
        assert change is (
            MemoryTransition.NONE
            if full is before
            else MemoryTransition.FULL
            if full
            else MemoryTransition.ROOM
        )
        taken = gate.admits(at_us)
        if full and taken:
            # Python keeps what it frees: without a trial a full one might refuse for ever.
            assert percent < 100 * TRIAL_SHARE and at_us - trial_us >= TRIAL_US
            trial_us = at_us
        assert taken or full


def test_what_the_leader_says_of_its_memory_counts_for_a_while() -> None:
    gate = MemoryGate(LIMIT)
    gate.observe_leader(S, full=True)
    assert not gate.admits(S) and not gate.admits(S + LEADER_WORD_US - 1)
    assert gate.admits(S + LEADER_WORD_US)
    gate.observe_leader(5 * S, full=True)
    gate.observe_leader(5 * S, full=False)
    assert gate.admits(5 * S)


def test_followers_are_told_when_not_even_trials_are_taken() -> None:
    """Told from the first mark on, four of five controllers refused all for most of a day."""
    used = [94 * MIB]
    memory = MemoryMonitor(100.0, lambda: used[0])
    assert not memory.exhausted(S) and memory.admits(2 * S + TRIAL_US)
    used[0] = 96 * MIB
    assert memory.exhausted(10 * S) and not memory.admits(20 * S)


@pytest.mark.parametrize("used", [None, 10**12])
def test_without_a_limit_or_a_reading_everything_is_taken(used: int | None) -> None:
    assert MemoryMonitor(0.0, lambda: used).admits(S)
    assert MemoryMonitor(100.0, lambda: None).admits(S)


def test_a_process_reads_what_it_holds_itself() -> None:
    before = own_bytes()
    held = b"x" * (32 * MIB)
    after = own_bytes()
    assert before is not None and after is not None
    assert after - before > 0.9 * len(held)


def test_a_full_controller_refuses_new_jobs_only_and_says_so_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    used, at_us = [50 * MIB], [now_us()]
    set_request_clock(monkeypatch, lambda: at_us[0])
    memory = MemoryMonitor(100.0, lambda: used[0])
    state = cast(Any, StandInState())
    desk = RequestHandler(StandInNode(), state, [Team("red", 8, 16)], memory=memory)
    caplog.set_level(logging.INFO, "weldhead.controller.memory_monitor")
    assert run(desk.submit(GOOD_BODY))[0] == 201
    used[0] = 97 * MIB
    for _ in range(3):
        at_us[0] += READING_US
        answer = asyncio.run(asyncio.wait_for(desk.submit(OTHER_BODY), 5))
        assert (answer.status, answer.retry_after_s) == (503, COME_BACK_S)
        assert run(desk.poll(JOB))[0] == 200
        # Without a leader: refused for that, not for memory.
        assert run(desk.cancel(JOB)) == (503, {"error": "no leader"})
    used[0] = 80 * MIB
    at_us[0] += READING_US
    assert run(desk.submit(OTHER_BODY))[0] == 201
    assert [record.message for record in caplog.records] == [
        "memory: 97 of 100 MB are used; new jobs are refused until it is below 90",
        "memory: 80 of 100 MB are used; new jobs are taken again",
    ]


def test_followers_of_a_full_leader_refuse_too() -> None:
    """Whoever accepts a job, the leader keeps it: its memory filled up by others' acceptances."""
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())
    node._state = cast(Any, SimpleNamespace(available=True))
    # What the tests' own process holds is no matter here.
    node.memory = MemoryMonitor(100.0, lambda: 0)
    assert node.memory.admits(now_us())
    asyncio.run(node._peer_request("n-1", peer.Ping(7, 41, True, (), full=True)))
    assert not node.memory.admits(now_us())


@pytest.mark.parametrize("stated", [-1.0, 1.0, 31.9])
def test_a_limit_in_which_no_controller_can_live_is_an_error(stated: float) -> None:
    document = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    document["facts"]["machine_limits"]["mem_mb"] = stated
    with pytest.raises(SettingsError, match="mem_mb"):
        parse_settings(msgspec.json.encode(document))
    del document["facts"]["machine_limits"]["mem_mb"]
    assert parse_settings(msgspec.json.encode(document)).facts.limits.memory_mb == 0.0
