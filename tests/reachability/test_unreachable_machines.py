"""How long attempts on unreachable or silent machines count while leaders change."""

import asyncio
from typing import cast

import pytest

from tests.support.builders import job_spec
from tests.support.held_network import Wire, settle
from tests.support.leaders import Clock, leader_of, new_leader, put_job, put_machine
from tests.support.meetings import meet
from tests.support.stand_ins import StandInState, StandInTask
from weldhead.clock import earliest_lease_end_us
from weldhead.reconciliation.attempt_verdicts import AttemptVerdict
from weldhead.transport.http_client import HttpClient

S = 1_000_000


def test_answer_before_the_load_does_not_shorten_a_lease(clock: Clock) -> None:
    """An answer sent before the term is loaded does not shorten a lease.

    The answer was lost, the previous leader renewed the lease later, and only then the worker
    showed the new token.
    """
    state = StandInState()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    worker.token = 1
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    leader = leader_of(state, clock(), predecessor_over_us=clock() + 3 * S)
    assert leader.handle_heartbeat(worker.report(), clock(), relayed=False) is not None
    clock.us += 2 * S
    renewed_us = clock()  # The previous leader renews the lease; it does not know its successor.
    worker.sequence += 1
    clock.us += S // 2
    _, probe_answer = worker.direct(leader.token, 1, [])
    leader.recovery.heartbeat_buffer.add_probe_answer(probe_answer)
    asyncio.run(leader.recovery.load())
    machine = leader.cluster.machines[worker.name]
    assert machine.reconciled and machine.attempts
    lease_us = leader.term.lease_us
    expired_us = machine.lease_expired_us(lease_us, leader.term.previous_leader_until_us())
    assert expired_us > earliest_lease_end_us(renewed_us, lease_us)


def test_attempt_on_type_missing_from_catalog_continues(clock: Clock) -> None:
    """Attempts on a machine whose type left the catalog are adopted and continue.

    Such a type has no known capacity. The attempt was killed for lack of capacity, and its task
    could start elsewhere before it had ended.
    """
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
def test_attempt_to_be_killed_counts_until_it_has_ended(
    clock: Clock, verdict: AttemptVerdict
) -> None:
    """An attempt that must be killed counts until it has ended.

    The kill may be lost. The attempt's capacity was given to its team, and its task was started
    elsewhere.
    """
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
        # The previous leader accepted and started the job; this leader learns of it late.
        leader.cluster.jobs[job.id] = job
    else:
        assert leader.cluster.usage["red"].cpus == job.spec.cpus
    asyncio.run(place())
    # The job's other task may have been started.
    assert all(a.number == 77 for index, a in job.active.items() if index == 0)
    leader.cluster.check_invariants()
    for _ in range(2):
        meet(leader, runner, clock())
    # An attempt whose job becomes known continues.
    assert (runner.live() == set()) == (verdict is not AttemptVerdict.UNKNOWN_JOB)
    assert not leader.cluster.orphans and not leader.cluster.has_orphan("run-000001/0")
    leader.cluster.check_invariants()


def test_lease_expires_while_deletion_is_unanswered(clock: Clock) -> None:
    """The lease of a machine that is being deleted expires even if the cloud does not answer.

    While the cloud was down, the attempts on such a machine counted until it was back.
    """
    state = StandInState()
    put_job(state, job_spec(1))
    worker, silent = (put_machine(state, f"vm-{n:06}") for n in (1, 2))
    leader = new_leader(state, clock(), predecessor_over_us=clock() + 3 * S)
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    for _ in range(2):
        meet(leader, worker, clock())
    monitor, term = leader.machine_monitor, leader.term
    leader.rental_manager.return_machines(dict(leader.cluster.machines))
    assert leader.handle_heartbeat(worker.report(), clock(), relayed=False) is None
    started_us = clock()
    while not leader.recovery.all_known.is_set() or leader.cluster.machines[worker.name].attempts:
        clock.us += S // 2
        assert clock() < started_us + 3 * S + 2 * term.lease_us
        if monitor.has_unverified_expiry(clock()):
            asyncio.run(monitor._verify_leadership())
        assert monitor.expire_leases_and_find_lost(clock(), term.leadership_verified_us) == []
        if clock() < started_us + term.lease_us:
            # The attempts count until the lease has expired: the deletion may never be executed.
            assert leader.cluster.machines[worker.name].attempts
        if clock() < started_us + 3 * S + term.lease_us:
            assert not leader.cluster.machines[silent.name].reconciled
    assert set(leader.cluster.machines) == {worker.name, silent.name}
    leader.cluster.check_invariants()
