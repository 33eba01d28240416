"""A controller near its memory limit refuses new jobs, and no other request."""

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
    LEADER_STATEMENT_VALIDITY_US,
    MEMORY_RETRY_AFTER_S,
    REFUSE_SHARE,
    TRIAL_INTERVAL_US,
    TRIAL_SHARE,
    MemoryGate,
    MemoryTransition,
)
from weldhead.clock import now_us
from weldhead.controller.memory_monitor import MIB, MIN_READING_INTERVAL_US, MemoryMonitor
from weldhead.controller.process import ControllerProcess
from weldhead.controller.requests.request_handler import RequestHandler
from weldhead.protocol import peer
from weldhead.protocol.settings import SettingsError, Team, parse_settings
from weldhead.transport.process_memory import private_resident_bytes
from weldhead.tunables.defaults import Tunables

LIMIT = 100 * MIB
SECOND_US = 1_000_000


@given(st.lists(st.tuples(st.integers(0, 110), st.integers(1, 3 * SECOND_US)), max_size=60))
def test_jobs_are_refused_until_use_falls_below_accept_share(
    readings: list[tuple[int, int]],
) -> None:
    gate, at_us, trial_us, full = MemoryGate(LIMIT), 10 * SECOND_US, 0, False
    for percent, pause_us in readings:
        at_us += pause_us
        change, before = gate.update(percent * MIB), full
        full = percent >= 100 * (ACCEPT_SHARE if full else REFUSE_SHARE)
        assert change is (
            MemoryTransition.UNCHANGED
            if full is before
            else MemoryTransition.REFUSING
            if full
            else MemoryTransition.ACCEPTING
        )
        taken = gate.try_admit(at_us)
        if full and taken:
            # Python keeps most of the memory that it frees. Without accepting a trial job now and
            # then, a process whose jobs have ended might refuse new ones for ever.
            assert percent < 100 * TRIAL_SHARE and at_us - trial_us >= TRIAL_INTERVAL_US
            trial_us = at_us
        assert taken or full


def test_leaders_memory_statement_expires() -> None:
    gate = MemoryGate(LIMIT)
    gate.observe_leader(SECOND_US, exhausted=True)
    assert not gate.try_admit(SECOND_US) and not gate.try_admit(
        SECOND_US + LEADER_STATEMENT_VALIDITY_US - 1
    )
    assert gate.try_admit(SECOND_US + LEADER_STATEMENT_VALIDITY_US)
    gate.observe_leader(5 * SECOND_US, exhausted=True)
    gate.observe_leader(5 * SECOND_US, exhausted=False)
    assert gate.try_admit(5 * SECOND_US)


def test_memory_is_exhausted_only_above_trial_share() -> None:
    """A leader tells its followers that its memory is exhausted only if it accepts no trial jobs.

    Leaders used to state this as soon as they refused new jobs, and four of five controllers
    refused all jobs for most of a day.
    """
    used = [94 * MIB]
    memory = MemoryMonitor(100.0, lambda: used[0])
    assert not memory.is_exhausted(SECOND_US) and memory.admits(2 * SECOND_US + TRIAL_INTERVAL_US)
    used[0] = 96 * MIB
    assert memory.is_exhausted(10 * SECOND_US) and not memory.admits(20 * SECOND_US)


@pytest.mark.parametrize("used", [None, 10**12])
def test_jobs_are_accepted_without_limit_or_reading(used: int | None) -> None:
    assert MemoryMonitor(0.0, lambda: used).admits(SECOND_US)
    assert MemoryMonitor(100.0, lambda: None).admits(SECOND_US)


def test_own_bytes_measures_this_process() -> None:
    before = private_resident_bytes()
    allocated = b"x" * (32 * MIB)
    after = private_resident_bytes()
    assert before is not None and after is not None
    assert after - before > 0.9 * len(allocated)


def test_full_controller_refuses_only_new_jobs_and_logs_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    used, at_us = [50 * MIB], [now_us()]
    set_request_clock(monkeypatch, lambda: at_us[0])
    memory = MemoryMonitor(100.0, lambda: used[0])
    state = cast(Any, StandInState())
    handler = RequestHandler(StandInNode(), state, [Team("red", 8, 16)], memory=memory)
    caplog.set_level(logging.INFO, "weldhead.controller.memory_monitor")
    assert run(handler.submit(GOOD_BODY))[0] == 201
    used[0] = 97 * MIB
    for _ in range(3):
        at_us[0] += MIN_READING_INTERVAL_US
        answer = asyncio.run(asyncio.wait_for(handler.submit(OTHER_BODY), 5))
        assert (answer.status, answer.retry_after_s) == (503, MEMORY_RETRY_AFTER_S)
        assert run(handler.poll(JOB))[0] == 200
        # The cancellation is refused because there is no leader, not because of the memory.
        assert run(handler.cancel(JOB)) == (503, {"error": "no leader"})
    used[0] = 80 * MIB
    at_us[0] += MIN_READING_INTERVAL_US
    assert run(handler.submit(OTHER_BODY))[0] == 201
    assert [record.message for record in caplog.records] == [
        "memory: 97 of 100 MB used; new jobs are refused until use is below 90 MB",
        "memory: 80 of 100 MB used; new jobs are accepted again",
    ]


def test_followers_of_leader_with_exhausted_memory_refuse_jobs() -> None:
    """The leader keeps every job in memory, also the jobs that other controllers accept.

    These used to fill up the memory of a leader that refused new jobs itself.
    """
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())
    node._state = cast(Any, SimpleNamespace(is_available=True))
    # The memory use of the test process itself must not matter.
    node.memory = MemoryMonitor(100.0, lambda: 0)
    assert node.memory.admits(now_us())
    asyncio.run(node._handle_peer_message("n-1", peer.Ping(7, 41, True, (), full=True)))
    assert not node.memory.admits(now_us())


@pytest.mark.parametrize("limit_mb", [-1.0, 1.0, 31.9])
def test_memory_limit_too_small_for_a_controller_is_rejected(limit_mb: float) -> None:
    document = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    document["facts"]["machine_limits"]["mem_mb"] = limit_mb
    with pytest.raises(SettingsError, match="mem_mb"):
        parse_settings(msgspec.json.encode(document))
    del document["facts"]["machine_limits"]["mem_mb"]
    assert parse_settings(msgspec.json.encode(document)).facts.limits.memory_mb == 0.0
