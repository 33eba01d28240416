"""Cancellations that another leader confirmed: leases of their tasks end within ``cancel_s``.

A leader that renews a worker's lease either knows the cancellations or stops renewing in time.
Times are microseconds. Tests of whole sites are in ``tests/emulator/test_meeting_faults.py``.
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


# -- how long an unloaded term renews leases -----------------------------------------------------


class InaccurateClocks:
    """One controller's clocks: a time of day with an offset, and a steady clock that drifts."""

    def __init__(self, offset_us: int, drift_ppm: int) -> None:
        self.offset_us, self.drift_ppm = offset_us, drift_ppm

    def to_steady(self, true_us: int) -> int:
        return true_us + true_us * self.drift_ppm // 1_000_000

    def to_true(self, steady_us: int) -> int:
        return steady_us * 1_000_000 // (1_000_000 + self.drift_ppm)


ERROR_US = S
CLOCKS = st.builds(InaccurateClocks, st.integers(-ERROR_US, ERROR_US), st.integers(-500, 500))


@given(
    timing=st.sampled_from(
        [(44 * S, 14 * S), (30 * S, 12 * S), (90 * S, 15 * S), (25 * S, 12 * S)]
    ),
    terms=st.lists(st.tuples(CLOCKS, st.integers(0, 20 * S), st.integers(0, 60 * S)), max_size=5),
    worker_ppm=st.integers(-500, 500),
    first_term_delay_us=st.integers(0, 15 * S),
)
def test_leases_kept_by_successive_unloaded_terms_end_in_time(
    timing: tuple[int, int],
    terms: list[tuple[InaccurateClocks, int, int]],
    worker_ppm: int,
    first_term_delay_us: int,
) -> None:
    """Leases of cancelled tasks end within ``cancel_s``, however many unloaded terms follow.

    Each term renews leases for as long as it may. Leases would outlast ``cancel_s`` if a
    successor ignored what its predecessors may have missed.
    """
    cancel_us, lease_us = timing
    cancelled_us = 1_000 * S
    lease = lease_us + lease_us * worker_ppm // 1_000_000
    # The answer to a heartbeat just before the confirmation renews the lease without a kill.
    lease_end_us = cancelled_us + lease
    inherited: int | None = None
    at_us = cancelled_us + first_term_delay_us
    for clocks, duration_us, pause_us in terms:
        if at_us > lease_end_us:
            break
        wall_us = at_us + clocks.offset_us
        until_us = clocks.to_true(
            unloaded_answers_until_us(
                clocks.to_steady(at_us), wall_us, inherited, cancel_us, lease_us, ERROR_US
            )
        )
        inherited = earliest_missed_cancellation_us(wall_us, lease_us, inherited)
        # The term begins just after its campaign, and may end at any time.
        last_us = min(at_us + duration_us, until_us)
        if last_us > at_us:
            lease_end_us = max(lease_end_us, last_us + lease)
        at_us += duration_us + pause_us
    assert lease_end_us <= cancelled_us + cancel_us


def test_leases_survive_a_short_load_and_short_times_are_named() -> None:
    single_term_us = unloaded_answers_until_us(100 * S, 0, None, 44 * S, 14 * S, S)
    assert 115 * S < single_term_us < 116 * S
    # Earlier terms may have missed cancellations since ten seconds earlier, by two clocks that
    # may each be off by one second.
    second_term_us = unloaded_answers_until_us(100 * S, 50 * S, 50 * S - 24 * S, 44 * S, 14 * S, S)
    assert second_term_us == 100 * S - 26 * S + safe_answer_window_us(44 * S, 14 * S)
    assert describe_unmet_guarantee(44 * S, 14 * S) == ""
    assert "before it has read the jobs" in describe_unmet_guarantee(20 * S, 14 * S)
    assert "may last 14 s" in describe_unmet_guarantee(10 * S, 14 * S)


# -- a term that has not read the records --------------------------------------------------------


def worker_with_task(task: str = "run-000001/0") -> StandInWorker:
    worker = StandInWorker("vm-000001", 4.0)
    worker.tasks[task] = StandInTask(77, "running")
    return worker


def test_unloaded_term_stops_renewing_leases_with_tasks(clock: Clock) -> None:
    """Only leases of workers without live tasks are renewed after ``answers_until_us``.

    In an outage an unloaded leader renewed all leases, also those of tasks whose cancellation an
    earlier leader had confirmed.
    """
    leader = leader_of(StandInState(), clock(), answers_until_us=clock() + 5 * S)
    busy, idle = worker_with_task(), StandInWorker("vm-000002", 4.0)
    ended = worker_with_task()
    ended.name, ended.tasks["run-000001/0"].state = "vm-000003", "ended"
    assert all(report(leader, worker, clock()) for worker in (busy, idle, ended))
    clock.us += 5 * S
    assert [report(leader, w, clock()) for w in (busy, idle, ended)] == [False, True, True]
    # The worker's lease has expired, so its tasks are gone and it may be answered.
    busy.expire()
    assert report(leader, busy, clock())


def test_partly_loaded_term_renews_leases_of_known_wanted_jobs(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    put_job(state, job_spec(2), cancelled=True)
    leader = leader_of(state, clock(), answers_until_us=clock() - S)
    wanted, cancelled, unread = (worker_with_task(f"run-00000{n}/0") for n in (1, 2, 3))
    assert not report(leader, wanted, clock())
    pages = state.pages

    def failing_pages(prefix: str) -> Any:
        if prefix != "t/" and prefix != "p/":
            return pages(prefix)
        raise CallError("503")

    state.__dict__["pages"] = failing_pages
    with pytest.raises(CallError):
        asyncio.run(leader.recovery.load())
    assert not leader.loaded
    assert [report(leader, w, clock()) for w in (wanted, cancelled, unread)] == [True, False, False]


def test_unanswered_heartbeat_renews_no_lease_but_is_buffered(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    put_machine(state, "vm-000001")
    leader = leader_of(state, clock(), answers_until_us=clock() + S)
    worker = worker_with_task()
    assert report(leader, worker, clock())
    answered_us = clock()
    clock.us += 2 * S
    worker.tasks["run-000001/1"] = StandInTask(78, "running")
    assert not report(leader, worker, clock())
    asyncio.run(leader.recovery.load())
    machine = leader.cluster.machines["vm-000001"]
    assert machine.lease_start_us == answered_us and set(machine.attempts) == set(worker.tasks)


def test_tasks_on_an_unrecorded_machine_are_killed(clock: Clock) -> None:
    """The answer renewed the lease of such a machine, and its tasks counted for no team."""
    leader = new_leader(StandInState(), clock())
    worker = worker_with_task()
    assert report(leader, worker, clock())
    assert worker.live() == set()


@pytest.mark.parametrize("crowded", [False, True])
def test_worker_with_an_old_token_is_sent_the_kills(clock: Clock, crowded: bool) -> None:
    """Only starts wait until a worker has seen the term's token; kills do not."""
    state = StandInState()
    put_job(state, job_spec(1, cpus=9.0 if crowded else 2.0), cancelled=True)
    put_machine(state, "vm-000001")
    leader, worker = new_leader(state, clock()), worker_with_task()
    worker.token = leader.token - 1
    assert report(leader, worker, clock())
    assert worker.live() == set()


def test_overtaken_heartbeat_is_answered_with_the_kills(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1), cancelled=True)
    put_machine(state, "vm-000001")
    leader, worker = new_leader(state, clock()), worker_with_task()
    machine = leader.cluster.machines["vm-000001"]
    overtaken = worker.report()
    _, shown = worker.direct(leader.token, 1, [])
    leader.heartbeats.apply(machine, shown, MessageSource.COMMAND_ANSWER)
    answer = leader.handle_heartbeat(overtaken, clock(), relayed=False)
    assert answer is not None
    worker.answered(answer)
    assert worker.live() == set()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


# -- a write without an answer -------------------------------------------------------------------


@pytest.mark.parametrize("applied", [True, False])
def test_tasks_stop_before_their_cancellation_is_committed(
    clock: Clock, monkeypatch: pytest.MonkeyPatch, applied: bool
) -> None:
    """Tasks stop when the cancellation is requested, also if its write is never answered.

    If the write was applied but not answered, the store reported the job as withdrawn while its
    tasks ran until the outage ended.
    """
    monkeypatch.setattr("weldhead.controller.leadership.leader.CANCELLATION_TIMEOUT_US", 0)
    state = StandInState()
    put_job(state, job_spec(1))
    put_machine(state, "vm-000001")
    put_machine(state, "vm-000002")
    leader, worker, other = (
        new_leader(state, clock()),
        worker_with_task(),
        worker_with_task("run-000001/1"),
    )
    other.name = "vm-000002"
    for _ in range(2):
        report(leader, worker, clock())
    job = leader.cluster.jobs["run-000001"]

    async def outage() -> None:
        state.fates = ["unanswered" if applied else "lost"] + ["refused"] * 1_000
        writer_task = asyncio.create_task(leader.state_writer.run())
        with pytest.raises(NotReadyError):
            await leader.cancel(job.id)
        for _ in range(20):
            await asyncio.sleep(0)
        assert msgspec.convert(state.keys[job_key(job.id)][0], JobRecord).cancelled == applied
        # The cancellation is not confirmed, but the job's tasks are stopped and none is started.
        assert leader.status(job.id).state != "withdrawn"  # type: ignore[union-attr]
        assert job.waiting == 0
        for running_worker in (worker, other):
            answer = leader.handle_heartbeat(running_worker.report(), clock(), relayed=False)
            assert answer is not None
            running_worker.answered(answer)
            assert running_worker.live() == set()
        assert all(a.stop_request is StopRequest.HARD for a in job.active.values())
        leader.state_writer.close()
        writer_task.cancel()

    asyncio.run(outage())


def test_simultaneous_cancellation_and_end_are_serialized(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A job ended as done after its cancellation was confirmed, since both writes ran at once."""
    state = StandInState()
    put_job(state, job_spec(1, tasks=1))
    leader = new_leader(state, clock())
    job = leader.cluster.jobs["run-000001"]
    job.complete_waiting(0)
    cancellations: list[asyncio.Task[None]] = []

    def cancel_before_selection(jobs: list[Job], team_of: Any) -> list[Job]:
        # Starts the cancellation in the same loop iteration, just before the end is written.
        cancellations.append(
            asyncio.get_running_loop().create_task(leader.completions._commit_cancellation(job))
        )
        return round_robin(jobs, team_of)

    monkeypatch.setattr(
        "weldhead.controller.requests.completions.round_robin", cancel_before_selection
    )

    async def scenario() -> None:
        writer_task = asyncio.create_task(leader.state_writer.run())
        leader.completions.start()
        leader.term.commit_wanted.set()
        await wait_until(lambda: final_key(job.id) in state.keys)
        await cancellations[0]
        writer_task.cancel()
        await leader.close()

    asyncio.run(scenario())
    assert (state.keys[final_key(job.id)][0]["status"], job.cancelled) == ("done", False)


def test_cancelled_job_ends_only_after_its_tasks_are_known(
    clock: Clock,
) -> None:
    """A cancelled job must not end before all machines have reported its tasks.

    When the job's record was removed earlier, the resources that its tasks still used counted
    for no team, and the team could start the same amount again.
    """
    state = StandInState()
    put_job(state, job_spec(1), cancelled=True)
    put_machine(state, "vm-000001")
    leader, worker = new_leader(state, clock()), worker_with_task()

    async def end_scenario() -> None:
        leader.completions.start()
        writer_task = asyncio.create_task(leader.state_writer.run())
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
        await wait_until(lambda: final_key("run-000001") in state.keys)
        writer_task.cancel()
        await leader.close()

    asyncio.run(end_scenario())


# -- successive terms ----------------------------------------------------------------------------


def test_unsettled_start_is_inherited_until_a_term_settles(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each unloaded term counted from its own beginning instead of the first unsettled term's."""
    # The test itself runs the steps of the leader's background tasks.
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
        if settle:
            await leader.recovery.load()
            leader._check_known()
            writer_task = asyncio.create_task(leader.state_writer.run())
            await leader.recovery.finish(lambda: None)
            await leader.recovery.clear_unsettled()
            writer_task.cancel()
            assert UNSETTLED_KEY not in state.keys
        await leader.close()
        await node._background_tasks.close()
        return until_us, from_us

    settle = False
    single_until_us, first_from_us = asyncio.run(term())
    inherited_until_us, second_from_us = asyncio.run(term())
    assert second_from_us == first_from_us
    # The inherited time allows for the errors of two clocks.
    assert inherited_until_us < single_until_us - S
    settle = True
    assert asyncio.run(term())[1] == first_from_us
    settle = False
    settled_until_us, third_from_us = asyncio.run(term())
    assert third_from_us > first_from_us and abs(settled_until_us - single_until_us) < S // 2
