"""Machines that can't be reached, or don't hear, while leaders change: until when they count."""

import asyncio
from typing import cast

import pytest

from tests.support.builders import job_spec
from tests.support.held_network import Wire, settle
from tests.support.leaders import Clock, leader_of, new_leader, put_job, put_machine
from tests.support.meetings import meet
from tests.support.stand_ins import StandInState, StandInTask
from weldhead.clock import surely_valid_us
from weldhead.reconciliation.attempt_verdicts import AttemptVerdict
from weldhead.transport.http_client import HttpClient

S = 1_000_000


def test_an_answer_from_before_the_load_does_not_shorten_a_lease(clock: Clock) -> None:
    """Its answer was lost, and the leader before answered later; only then it showed the token."""
    state = StandInState()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    worker.token = 1
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    leader = leader_of(state, clock(), predecessor_over_us=clock() + 3 * S)
    assert leader.handle_heartbeat(worker.report(), clock(), relayed=False) is not None
    clock.us += 2 * S
    renewed_us = clock()  # By the leader before, which has not noticed yet.
    worker.sequence += 1
    clock.us += S // 2
    _, shown = worker.direct(leader.token, 1, [])
    leader.recovery.heartbeat_buffer.add_probe_answer(shown)
    asyncio.run(leader.recovery.load())
    machine = leader.cluster.machines[worker.name]
    assert machine.reconciled and machine.attempts
    lease_us = leader.term.lease_us
    over_us = machine.lease_expired_us(lease_us, leader.term.previous_leader_until_us())
    assert over_us > surely_valid_us(renewed_us, lease_us)


def test_what_runs_on_a_type_that_left_the_catalog_goes_on(clock: Clock) -> None:
    """No room by the books: it was killed, and free to start elsewhere before it had ended."""
    state = StandInState()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    leader = leader_of(state, clock())
    leader.term.types.clear()
    asyncio.run(leader.recovery.load())
    for _ in range(3):
        answer = leader.handle_heartbeat(worker.report(), clock(), relayed=False)
        assert answer is not None
        worker.answered(answer)
    assert worker.live() == {"run-000001/0"}
    assert list(leader.cluster.jobs["run-000001"].active) == [0]


@pytest.mark.parametrize(
    "verdict", [AttemptVerdict.NO_CAPACITY, AttemptVerdict.JOB_OVER, AttemptVerdict.UNKNOWN_JOB]
)
def test_what_must_go_counts_until_it_has_gone(clock: Clock, verdict: AttemptVerdict) -> None:
    """Its kill may be lost: its team was given its room, and its task started elsewhere."""
    state = StandInState()
    put_job(state, job_spec(1, tasks=2, cpus=5.0 if verdict is AttemptVerdict.NO_CAPACITY else 4.0))
    runner, other = (put_machine(state, f"vm-{n:06}") for n in (1, 2))
    leader = new_leader(state, clock())
    leader.term.ready = True
    job = leader.cluster.jobs["run-000001"]

    async def place() -> None:
        leader.term.worker_http = cast(HttpClient, Wire())
        leader.scheduling_loop.place()
        await settle()
        await leader.close()

    for worker in (runner, other):
        for _ in range(2):
            meet(leader, worker, clock())
    if verdict is AttemptVerdict.JOB_OVER:
        job.complete_waiting(0)
    elif verdict is AttemptVerdict.UNKNOWN_JOB:
        leader.cluster.jobs.remove(job.id)
    runner.tasks["run-000001/0"] = StandInTask(77, "running")
    meet(leader, runner, clock(), heard=False)
    assert leader.term.reconciliation_counts.attempts == {verdict: 1}
    if verdict is AttemptVerdict.UNKNOWN_JOB:
        # Accepted and started under the leader before; the watch tells it late.
        leader.cluster.jobs[job.id] = job
    else:
        assert leader.cluster.usage["red"].cpus == job.spec.cpus
    asyncio.run(place())
    # The other task may have been started.
    assert all(a.number == 77 for index, a in job.active.items() if index == 0)
    leader.cluster.check_invariants()
    for _ in range(2):
        meet(leader, runner, clock())
    # What turns out to be wanted goes on.
    assert (runner.live() == set()) == (verdict is not AttemptVerdict.UNKNOWN_JOB)
    assert not leader.cluster.orphans and not leader.cluster.has_orphan("run-000001/0")
    leader.cluster.check_invariants()


def test_a_lease_ends_also_while_the_deletion_is_not_answered(clock: Clock) -> None:
    """The cloud was down: what a machine held that was being returned waited for it to be back."""
    state = StandInState()
    put_job(state, job_spec(1))
    worker, silent = (put_machine(state, f"vm-{n:06}") for n in (1, 2))
    leader = new_leader(state, clock(), predecessor_over_us=clock() + 3 * S)
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    for _ in range(2):
        meet(leader, worker, clock())
    watch, term = leader.machine_monitor, leader.term
    leader.rental_manager.return_machines(dict(leader.cluster.machines))
    assert leader.handle_heartbeat(worker.report(), clock(), relayed=False) is None
    begun_us = clock()
    while not leader.recovery.all_known.is_set() or leader.cluster.machines[worker.name].attempts:
        clock.us += S // 2
        assert clock() < begun_us + 3 * S + 2 * term.lease_us
        if watch.has_unverified_expiry(clock()):
            asyncio.run(watch._verify_leadership())
        assert watch.expired_or_silent(clock(), term.leadership_verified_us) == []
        if clock() < begun_us + term.lease_us:
            # Not before its lease is over: the deletion may never be carried out.
            assert leader.cluster.machines[worker.name].attempts
        if clock() < begun_us + 3 * S + term.lease_us:
            assert not leader.cluster.machines[silent.name].reconciled
    assert set(leader.cluster.machines) == {worker.name, silent.name}
    leader.cluster.check_invariants()
