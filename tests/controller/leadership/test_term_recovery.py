"""Recovery of a new leader: it starts no task before it knows which tasks may be running.

The tests call the leader directly. Its background tasks are not started, the state service is a
stand-in, and the tests move the clock.
"""

import asyncio
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec
from tests.support.leaders import (
    START,
    Clock,
    S,
    fixed_clock,
    new_leader,
    put_job,
    put_machine,
    report,
)
from tests.support.stand_ins import StandInState, StandInTask, StandInWorker
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.preemption_history import MIN_UNDISTURBED_RUN_US
from weldhead.cluster_state.records import (
    LEADER_KEY,
    encode_progress,
    progress_key,
)
from weldhead.cluster_state.states import AttemptPhase
from weldhead.controller.leadership.leader import Leader, NotReadyError
from weldhead.reconciliation.buffered_heartbeats import MessageSource


def reconciled_machines(leader: Leader) -> list[str]:
    return [machine.name for machine in leader.cluster.machines.values() if machine.reconciled]


def test_recovery_loads_jobs_progress_and_cancellations(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1, tasks=4))
    state.put(progress_key("run-000001", 0), encode_progress(bytes([1, 0, 1, 0])))
    put_job(state, job_spec(2), cancelled=True)
    leader = new_leader(state, clock())
    job = leader.cluster.jobs["run-000001"]
    assert (job.done, job.committed, job.waiting_indexes(9)) == (2, 2, [1, 3])
    assert job.first_seen_us == START - 10 * S
    assert leader.cluster.jobs["run-000002"].waiting == 0
    assert leader.recovery.all_known.is_set()


def test_all_machines_are_known_only_after_showing_the_new_token(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1, tasks=4))
    workers = [put_machine(state, f"vm-{n:06}") for n in range(2)]
    put_machine(state, "vm-000009", up=False)
    workers[0].tasks["run-000001/2"] = StandInTask(77, "running")
    leader = new_leader(state, clock())
    assert not leader.recovery.all_known.is_set()
    # The first heartbeat still has the old token, so an earlier leader could command the worker.
    assert report(leader, workers[0], clock())
    assert reconciled_machines(leader) == []
    assert report(leader, workers[0], clock())
    assert reconciled_machines(leader) == ["vm-000000"]
    assert not leader.recovery.all_known.is_set()
    report(leader, workers[1], clock())
    report(leader, workers[1], clock())
    assert leader.recovery.all_known.is_set()
    attempt = leader.cluster.jobs["run-000001"].active[2]
    assert (attempt.number, attempt.phase) == (77, AttemptPhase.RUNNING)


def test_machine_reconciled_by_command_answer_keeps_its_lease(clock: Clock) -> None:
    """A machine that had sent no heartbeat in the new term seemed to have an expired lease."""
    state = StandInState()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    leader = new_leader(state, clock(), predecessor_over_us=clock())
    machine = leader.cluster.machines["vm-000001"]
    _, heartbeat = worker.direct(leader.token, 1, [])
    leader.heartbeats.apply(machine, heartbeat, MessageSource.COMMAND_ANSWER)
    assert machine.reconciled
    lease_us = leader.term.lease_us
    assert machine.lease_expired_us(lease_us, 0) > clock() + lease_us
    clock.us += lease_us + S
    assert machine.lease_expired_us(lease_us, 0) < clock()


def test_silent_machines_lease_counts_from_previous_leaders_end(clock: Clock) -> None:
    state = StandInState()
    put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    machine = leader.cluster.machines["vm-000001"]
    over_us = machine.lease_expired_us(leader.term.lease_us, clock() + 3 * S)
    assert over_us > clock() + 3 * S + leader.term.lease_us


def test_heartbeats_of_an_expired_session_are_not_answered(clock: Clock) -> None:
    state = StandInState()
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    report(leader, worker, clock())
    leader.machine_monitor.expire(leader.cluster.machines["vm-000001"])
    assert not report(leader, worker, clock())
    worker.expire()
    assert report(leader, worker, clock())


def test_worker_keeps_completions_until_they_are_committed(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1, tasks=4))
    worker = put_machine(state, "vm-000001")
    worker.tasks["run-000001/0"] = StandInTask(77, "ended", "done")
    leader = new_leader(state, clock())
    for _ in range(3):
        report(leader, worker, clock())
    assert "run-000001/0" in worker.tasks
    job = leader.cluster.jobs["run-000001"]
    job.mark_committed([0])
    report(leader, worker, clock())
    assert worker.tasks == {}


def test_next_leader_restarts_preempted_tasks_first(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1, tasks=6, checkpoint_s=20.0, cpus=0.5, memory_gb=1.0))
    put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    job, machine = leader.cluster.jobs["run-000001"], leader.cluster.machines["vm-000001"]
    revision_before = state.revision

    async def preempt() -> None:
        writer = asyncio.create_task(leader.state_writer.run())
        for index in (3, 0, 5):
            clock.us += S
            attempt = leader.cluster.start(job, index, machine, clock())
            leader.scheduling_loop.preemption_recorder.record(attempt, clock())
        for _ in range(50):
            await asyncio.sleep(0)
        leader.state_writer.close()
        await writer

    asyncio.run(preempt())
    # Three tasks of one job that are preempted in one pass need a single write.
    assert (
        state.revision == revision_before + 1
        and leader.scheduling_loop.preemption_recorder.writes == 1
    )
    # While the leader changes, one preempted task is saving its checkpoint. The worker reports a
    # further task as halted, which the first leader had not recorded.
    worker = StandInWorker("vm-000001", 4.0)
    worker.tasks["run-000001/5"] = StandInTask(9, "saving")
    worker.tasks["run-000001/4"] = StandInTask(8, "ended", "halted", True)
    second = new_leader(state, clock() + S)
    for _ in range(3):
        report(second, worker, clock() + S)
    job = second.cluster.jobs["run-000001"]
    assert job.waiting_indexes(9) == [3, 0, 4, 1, 2]
    assert job.last_machine == dict.fromkeys((0, 3, 4, 5), "vm-000001")
    assert (
        second.scheduling_loop.reclaims.preemption_history.min_undisturbed_run_us(
            job.id, 3, clock()
        )
        == MIN_UNDISTURBED_RUN_US
    )
    assert list(second.cluster.stopping) == [("run-000001/5", 9)]


def test_attempt_numbers_are_unique_across_terms(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    first, second = new_leader(state, clock()), new_leader(state, clock())
    numbers = {leader.cluster.next_attempt_number("run-000001", 0) for leader in (first, second)}
    assert len(numbers) == 2 and all(number < 2**64 for number in numbers)


@given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 2), st.booleans()), max_size=40))
def test_attempt_numbers_are_unique_within_a_term(steps: list[tuple[str, int, bool]]) -> None:
    """Attempt numbers stay unique although an ended job is forgotten and may be added again."""
    cluster = Cluster([], 41)
    assigned: set[tuple[str, int, int]] = set()
    for job_id, index, has_ended in steps:
        if has_ended:
            cluster.forget_attempt_numbers(job_id)
            assert job_id not in cluster._attempt_counts
        else:
            number = cluster.next_attempt_number(job_id, index)
            assert (job_id, index, number) not in assigned and number >> 20 == 41
            assigned.add((job_id, index, number))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["report", "old term runs", "direct", "expire"]), st.integers(0, 2)
        ),
        max_size=25,
    )
)
def test_all_tasks_are_known_once_all_machines_are_known(
    events: list[tuple[str, int]],
) -> None:
    """An earlier leader may start tasks until all machines are known, but not afterwards.

    Otherwise the new leader would start the same tasks a second time.
    """
    with fixed_clock() as clock:
        state = StandInState()
        put_job(state, job_spec(1, tasks=50, cpus=1.0))
        workers = [put_machine(state, f"vm-{n:06}") for n in range(3)]
        leader = new_leader(state, clock())
        for number, (event, index) in enumerate(events):
            clock.us += 100_000
            worker = workers[index]
            machine = leader.cluster.machines[worker.name]
            match event:
                case "report":
                    report(leader, worker, clock())
                case "old term runs":
                    # A worker that has seen the new token rejects commands of the old term.
                    if worker.token < leader.token and len(worker.live()) < 4:
                        worker.tasks[f"run-000001/{number}"] = StandInTask(number, "running")
                case "direct":
                    accepted, heartbeat = worker.direct(leader.token, worker.session, [])
                    assert accepted
                    leader.heartbeats.apply(machine, heartbeat, MessageSource.COMMAND_ANSWER)
                case "expire":
                    worker.expire()
            if leader.recovery.all_known.is_set():
                for other in workers:
                    known = leader.cluster.machines[other.name].attempts
                    assert other.live() <= set(known)
        leader.cluster.check_invariants()


def test_cancellation_is_answered_while_the_store_is_down(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In an outage of the state service, users waited until the service was back."""
    monkeypatch.setattr("weldhead.controller.leadership.leader.CANCELLATION_TIMEOUT_US", 0)
    state = StandInState()
    put_job(state, job_spec(1))
    leader = new_leader(state, clock())
    job = leader.cluster.jobs["run-000001"]

    async def scenario() -> None:
        commit: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        async def write(changes: dict[str, Any], *, urgent: bool = False) -> int:
            return await commit

        monkeypatch.setattr(leader.state_writer, "write", write)
        for _ in range(2):
            with pytest.raises(NotReadyError):
                await leader.cancel(job.id)
        assert not job.cancelled and len(leader.completions.pending_cancellations) == 1
        commit.set_result(99)
        await asyncio.gather(*leader.completions.pending_cancellations.values())
        answer = await leader.cancel(job.id)
        assert answer is not None and answer.state == "withdrawn"
        assert (job.cancelled, job.version, job.waiting) == (True, 99, 0)

    asyncio.run(scenario())


@pytest.mark.parametrize("replaced", [False, True])
def test_replaced_leader_does_not_expire_leases(clock: Clock, replaced: bool) -> None:
    """A successor may be renewing the worker's lease.

    If the replaced leader expired it and started the tasks elsewhere, they would run twice.
    """
    state = StandInState()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    leader = new_leader(state, clock())
    reasons: list[str] = []
    leader.term.on_leadership_lost = reasons.append
    for _ in range(2):
        report(leader, worker, clock())
    monitor, term, machine = (
        leader.machine_monitor,
        leader.term,
        leader.cluster.machines["vm-000001"],
    )
    clock.us += term.lease_us + S
    assert monitor.has_unverified_expiry(clock())
    monitor.expire_leases_and_find_lost(clock(), term.leadership_verified_us)
    assert machine.attempts
    if replaced:
        state.put(LEADER_KEY, {"name": "n-1", "nonce": "y", "ttl_us": 3 * S})
    asyncio.run(monitor._verify_leadership())
    monitor.expire_leases_and_find_lost(clock(), term.leadership_verified_us)
    assert bool(reasons) == bool(machine.attempts) == replaced


def test_term_ends_when_its_state_writer_fails(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Such a leader used to go on renewing its lease although it could write nothing."""
    leader = new_leader(StandInState(), clock())
    reasons: list[str] = []
    monkeypatch.setattr(leader.term, "on_leadership_lost", reasons.append)

    async def fail() -> None:
        raise ValueError("unexpected")

    monkeypatch.setattr(leader.state_writer, "run", fail)
    asyncio.run(leader._run_state_writer())
    assert reasons == ["its state writer failed"]
