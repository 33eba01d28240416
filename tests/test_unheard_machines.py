"""Machines that can't be reached, or don't hear, while leaders change: until when they count."""

import asyncio

from tests.builders import job_spec
from tests.stand_ins import StandInState, StandInTask
from tests.test_recovery import Clock, clock, leader_of, put_job, put_machine
from weldhead.clock import surely_valid_us

S = 1_000_000
__all__ = ["clock"]


def test_an_answer_from_before_the_load_does_not_shorten_a_lease(clock: Clock) -> None:
    """Its answer was lost, and the leader before answered later; only then it showed the token."""
    state = StandInState()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    worker.token = 1
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    leader = leader_of(state, clock(), predecessor_over_us=clock() + 3 * S)
    assert leader.report(worker.report(), clock(), relayed=False) is not None
    clock.us += 2 * S
    renewed_us = clock()  # By the leader before, which has not noticed yet.
    worker.sequence += 1
    clock.us += S // 2
    _, shown = worker.direct(leader.token, 1, [])
    leader.recovery.early.shown(shown)
    asyncio.run(leader.recovery.load())
    machine = leader.cluster.machines[worker.name]
    assert machine.synced and machine.attempts
    lease_us = leader.term.lease_us
    over_us = machine.lease_over_us(lease_us, leader.term.floor_us())
    assert over_us > surely_valid_us(renewed_us, lease_us)
