"""Cancellations confirmed elsewhere: whoever keeps a worker's lease knows them, or stops in time.

Times are microseconds. What plays whole sites is in ``test_meet_scenarios.py``.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec, machine_type
from tests.support.leaders import Clock, leader_of, new_leader, put_job, put_machine, report
from tests.support.settings import SETTINGS
from tests.support.stand_ins import StandInState, StandInTask, StandInWorker
from weldhead.admission.team_rate_limiter import round_robin
from weldhead.clock import now_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import LEADER_KEY, UNSETTLED_KEY, JobRecord, final_key, job_key
from weldhead.cluster_state.states import StopRequest
from weldhead.controller.leadership.leader import Leader, NotReadyError
from weldhead.controller.leadership.leader_lease import Candidacy
from weldhead.controller.process import ControllerProcess
from weldhead.protocol.settings import parse_settings
from weldhead.reconciliation.answer_window import (
    describe_unmet_guarantee,
    earliest_missed_cancellation_us,
    safe_answer_window_us,
    unloaded_answers_until_us,
)
from weldhead.reconciliation.buffered_heartbeats import MessageSource
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import StateClient
from weldhead.tunables.defaults import Tunables

S = 1_000_000


# -- the argument, by its numbers ---------------------------------------------------------------


class Wrong:
    """The clocks of one controller: a time of day that is off, and a rate."""

    def __init__(self, off_us: int, drift_ppm: int) -> None:
        self.off_us, self.drift_ppm = off_us, drift_ppm

    def steady(self, true_us: int) -> int:
        return true_us + true_us * self.drift_ppm // 1_000_000

    def true(self, steady_us: int) -> int:
        return steady_us * 1_000_000 // (1_000_000 + self.drift_ppm)


ERROR_US = S
CLOCKS = st.builds(Wrong, st.integers(-ERROR_US, ERROR_US), st.integers(-500, 500))


@given(
    times=st.sampled_from([(44 * S, 14 * S), (30 * S, 12 * S), (90 * S, 15 * S), (25 * S, 12 * S)]),
    row=st.lists(st.tuples(CLOCKS, st.integers(0, 20 * S), st.integers(0, 60 * S)), max_size=5),
    worker_ppm=st.integers(-500, 500),
    first_us=st.integers(0, 15 * S),
)
def test_leases_that_a_row_of_unloaded_terms_keeps_end_in_time(
    times: tuple[int, int], row: list[tuple[Wrong, int, int]], worker_ppm: int, first_us: int
) -> None:
    """Each answers as long as it may; a successor that began anew would pass ``cancel_s``."""
    cancel_us, lease_us = times
    cancelled_us = 1_000 * S
    lease = lease_us + lease_us * worker_ppm // 1_000_000
    # A report sent just before the confirmation was answered without the kill.
    over_us = cancelled_us + lease
    inherited: int | None = None
    at_us = cancelled_us + first_us
    for clocks, lasts_us, pause_us in row:
        if at_us > over_us:
            break
        wall_us = at_us + clocks.off_us
        until_us = clocks.true(
            unloaded_answers_until_us(
                clocks.steady(at_us), wall_us, inherited, cancel_us, lease_us, ERROR_US
            )
        )
        inherited = earliest_missed_cancellation_us(wall_us, lease_us, inherited)
        # It wins a moment after it stood, and ends or loses the store's view at any time.
        last_us = min(at_us + lasts_us, until_us)
        if last_us > at_us:
            over_us = max(over_us, last_us + lease)
        at_us += lasts_us + pause_us
    assert over_us <= cancelled_us + cancel_us


def test_a_load_of_seconds_costs_nobody_a_lease_and_short_times_are_told() -> None:
    alone = unloaded_answers_until_us(100 * S, 0, None, 44 * S, 14 * S, S)
    assert 115 * S < alone < 116 * S
    # The row before it began ten seconds earlier, by clocks that may both be wrong by one.
    later = unloaded_answers_until_us(100 * S, 50 * S, 50 * S - 24 * S, 44 * S, 14 * S, S)
    assert later == 100 * S - 26 * S + safe_answer_window_us(44 * S, 14 * S)
    assert describe_unmet_guarantee(44 * S, 14 * S) == ""
    assert "before it has read the jobs" in describe_unmet_guarantee(20 * S, 14 * S)
    assert "may last 14 s" in describe_unmet_guarantee(10 * S, 14 * S)


# -- a term that is not loaded -------------------------------------------------------------------


def busy_worker(task: str = "run-000001/0") -> StandInWorker:
    worker = StandInWorker("vm-000001", 4.0)
    worker.tasks[task] = StandInTask(77, "running")
    return worker


def test_an_unloaded_term_lets_leases_run_out_of_which_it_knows_nothing(clock: Clock) -> None:
    """In an outage it kept all leases, with tasks that an earlier leader had told cancelled."""
    leader = leader_of(StandInState(), clock(), answers_until_us=clock() + 5 * S)
    busy, idle = busy_worker(), StandInWorker("vm-000002", 4.0)
    ended = busy_worker()
    ended.name, ended.tasks["run-000001/0"].state = "vm-000003", "ended"
    assert all(report(leader, worker, clock()) for worker in (busy, idle, ended))
    clock.us += 5 * S
    assert [report(leader, w, clock()) for w in (busy, idle, ended)] == [False, True, True]
    # Its lease is over: it has nothing to hide.
    busy.expire()
    assert report(leader, busy, clock())


def test_what_was_read_and_is_wanted_is_kept_though_the_rest_cannot_be_read(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    put_job(state, job_spec(2), cancelled=True)
    leader = leader_of(state, clock(), answers_until_us=clock() - S)
    wanted, cancelled, unread = (busy_worker(f"run-00000{n}/0") for n in (1, 2, 3))
    assert not report(leader, wanted, clock())
    pages = state.pages

    def down(prefix: str) -> Any:
        if prefix != "t/" and prefix != "p/":
            return pages(prefix)
        raise CallError("503")

    state.__dict__["pages"] = down
    with pytest.raises(CallError):
        asyncio.run(leader.recovery.load())
    assert not leader.loaded
    assert [report(leader, w, clock()) for w in (wanted, cancelled, unread)] == [True, False, False]


def test_what_is_not_answered_counts_no_lease_and_is_known_once_loaded(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    put_machine(state, "vm-000001")
    leader = leader_of(state, clock(), answers_until_us=clock() + S)
    worker = busy_worker()
    assert report(leader, worker, clock())
    answered_us = clock()
    clock.us += 2 * S
    worker.tasks["run-000001/1"] = StandInTask(78, "running")
    assert not report(leader, worker, clock())
    asyncio.run(leader.recovery.load())
    machine = leader.cluster.machines["vm-000001"]
    assert machine.lease_start_us == answered_us and set(machine.attempts) == set(worker.tasks)


def test_what_runs_on_a_machine_of_no_record_is_ended_by_the_answer(clock: Clock) -> None:
    """The answer renewed its lease, and what ran there counted for nobody."""
    leader = new_leader(StandInState(), clock())
    worker = busy_worker()
    assert report(leader, worker, clock())
    assert worker.live() == set()


@pytest.mark.parametrize("crowded", [False, True])
def test_a_report_from_before_the_term_is_not_answered_without_the_kills(
    clock: Clock, crowded: bool
) -> None:
    """What waits until a machine shows the token is what may go on, not what must end."""
    state = StandInState()
    put_job(state, job_spec(1, cpus=9.0 if crowded else 2.0), cancelled=True)
    put_machine(state, "vm-000001")
    leader, worker = new_leader(state, clock()), busy_worker()
    worker.token = leader.token - 1
    assert report(leader, worker, clock())
    assert worker.live() == set()


def test_an_overtaken_report_is_not_answered_without_the_kills(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1), cancelled=True)
    put_machine(state, "vm-000001")
    leader, worker = new_leader(state, clock()), busy_worker()
    machine = leader.cluster.machines["vm-000001"]
    overtaken = worker.report()
    _, shown = worker.direct(leader.token, 1, [])
    leader.heartbeats.apply(machine, shown, MessageSource.COMMAND_ANSWER)
    answer = leader.handle_heartbeat(overtaken, clock(), relayed=False)
    assert answer is not None
    worker.answered(answer)
    assert worker.live() == set()


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not holds():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


# -- a write whose outcome is in doubt -----------------------------------------------------------


@pytest.mark.parametrize("applied", [True, False])
def test_tasks_stop_when_the_user_asks_whatever_becomes_of_the_write(
    clock: Clock, monkeypatch: pytest.MonkeyPatch, applied: bool
) -> None:
    """Applied and unanswered, the store said withdrawn while the tasks ran on for the outage."""
    monkeypatch.setattr("weldhead.controller.leadership.leader.CANCEL_WAIT_US", 0)
    state = StandInState()
    put_job(state, job_spec(1))
    put_machine(state, "vm-000001")
    put_machine(state, "vm-000002")
    leader, worker, other = new_leader(state, clock()), busy_worker(), busy_worker("run-000001/1")
    other.name = "vm-000002"
    for _ in range(2):
        report(leader, worker, clock())
    job = leader.cluster.jobs["run-000001"]

    async def outage() -> None:
        state.fates = ["unanswered" if applied else "lost"] + ["refused"] * 1_000
        ledger = asyncio.create_task(leader.state_writer.run())
        with pytest.raises(NotReadyError):
            await leader.cancel(job.id)
        for _ in range(20):
            await asyncio.sleep(0)
        assert msgspec.convert(state.keys[job_key(job.id)][0], JobRecord).cancelled == applied
        # It is not told, and nothing of it is kept, started, or taken for wanted later.
        assert leader.status(job.id).state != "withdrawn"  # type: ignore[union-attr]
        assert job.waiting == 0
        for late in (worker, other):
            answer = leader.handle_heartbeat(late.report(), clock(), relayed=False)
            assert answer is not None
            late.answered(answer)
            assert late.live() == set()
        assert all(a.stop_request is StopRequest.HARD for a in job.active.values())
        leader.state_writer.close()
        ledger.cancel()

    asyncio.run(outage())


def test_a_cancellation_and_an_end_that_meet_are_one_after_the_other(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both found that nothing of the job was being written: told withdrawn, it ended as done."""
    state = StandInState()
    put_job(state, job_spec(1, tasks=1))
    leader = new_leader(state, clock())
    job = leader.cluster.jobs["run-000001"]
    job.complete_waiting(0)
    met: list[asyncio.Task[None]] = []

    def meet(jobs: list[Job], part: Any) -> list[Job]:
        # Of one turn of the loop: asked for just before, and about to be written.
        met.append(asyncio.get_running_loop().create_task(leader.completions._commit_cancel(job)))
        return round_robin(jobs, part)

    monkeypatch.setattr("weldhead.controller.requests.completions.round_robin", meet)

    async def scenario() -> None:
        ledger = asyncio.create_task(leader.state_writer.run())
        leader.completions.start()
        leader.term.commit_wanted.set()
        await until(lambda: final_key(job.id) in state.keys)
        await met[0]
        ledger.cancel()
        await leader.close()

    asyncio.run(scenario())
    assert (state.keys[final_key(job.id)][0]["status"], job.cancelled) == ("done", False)


def test_a_cancelled_job_is_not_ended_before_all_machines_have_shown_its_tasks(
    clock: Clock,
) -> None:
    """Off the record, what it still used counted for nobody: its team could start as much."""
    state = StandInState()
    put_job(state, job_spec(1), cancelled=True)
    put_machine(state, "vm-000001")
    leader, worker = new_leader(state, clock()), busy_worker()

    async def ends() -> None:
        leader.completions.start()
        ledger = asyncio.create_task(leader.state_writer.run())
        leader.term.commit_wanted.set()
        await asyncio.sleep(0.1)
        assert final_key("run-000001") not in state.keys
        for _ in range(2):
            answer = leader.handle_heartbeat(worker.report(), clock(), relayed=False)
            assert answer is not None
            worker.token = answer.token
        assert leader.cluster.usage["red"].cpus == 2.0
        answer = leader.handle_heartbeat(worker.report(), clock(), relayed=False)
        assert answer is not None
        worker.answered(answer)
        leader.handle_heartbeat(worker.report(), clock(), relayed=False)
        assert leader.cluster.usage["red"].cpus == 0.0
        await leader.recovery.finish(lambda: None)
        await until(lambda: final_key("run-000001") in state.keys)
        ledger.cancel()
        await leader.close()

    asyncio.run(ends())


# -- from term to term ---------------------------------------------------------------------------


def test_what_terms_may_have_missed_is_handed_on_until_one_has_seen_to_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each unloaded term counted anew from its own beginning."""
    # The test does what its background tasks would do, in its own time.
    monkeypatch.setattr(Leader, "start", lambda self: None)
    state = StandInState()
    state.__dict__["grant"] = lambda ttl_us: asyncio.sleep(0, state.store.grant(ttl_us // 1_000, 0))

    async def term() -> tuple[int, int]:
        node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables()).election
        node.open(cast(StateClient, state), cast(Any, None), cast(Any, None))
        node.catalog = [machine_type()]
        node.candidacy = Candidacy(node.timing, now_us() - 60 * S)
        await node.read_leader()
        stood_us = now_us()
        await node.campaign(node.known_leader_token, 0)
        await asyncio.sleep(0)
        leader = node.leader
        assert leader is not None
        until_us = leader.term.answer_unloaded_until_us - stood_us
        from_us: int = state.keys[UNSETTLED_KEY][0]["from_us"]
        assert state.keys[UNSETTLED_KEY][1] == leader.token == state.keys[LEADER_KEY][1]
        if settles:
            await leader.recovery.load()
            leader._check_known()
            ledger = asyncio.create_task(leader.state_writer.run())
            await leader.recovery.finish(lambda: None)
            await leader.recovery.clear_unsettled()
            ledger.cancel()
            assert UNSETTLED_KEY not in state.keys
        await leader.close()
        await node._background_tasks.close()
        return until_us, from_us

    settles = False
    alone_us, first = asyncio.run(term())
    inherited_us, second = asyncio.run(term())
    assert second == first
    # Two clocks may be wrong.
    assert inherited_us < alone_us - S
    settles = True
    assert asyncio.run(term())[1] == first
    settles = False
    again_us, third = asyncio.run(term())
    assert third > first and abs(again_us - alone_us) < S // 2
