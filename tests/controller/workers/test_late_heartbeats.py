"""Heartbeats that arrive late or more than once at a leader that cannot recognize them yet.

A heartbeat sent before its machine received this term's token may be a copy of any age.
"""

import asyncio

import pytest

from tests.support.builders import job_spec
from tests.support.leaders import Clock, leader_of, new_leader, put_job, put_machine
from tests.support.meetings import deliver, meet
from tests.support.stand_ins import StandInState, StandInTask, StandInWorker
from weldhead.cluster_state.states import TaskState
from weldhead.protocol.wire import Heartbeat

S = 1_000_000


def heartbeat_with_running(worker: StandInWorker, task: str, attempt: int) -> Heartbeat:
    """Let a worker run an attempt, and return its next heartbeat."""
    worker.tasks[task] = StandInTask(attempt, "running")
    return worker.report()


@pytest.mark.parametrize("before_load", [False, True])
def test_copied_heartbeat_does_not_replace_the_running_attempt(
    clock: Clock, before_load: bool
) -> None:
    """A copied heartbeat that arrives first does not replace the attempt that runs elsewhere.

    The copied attempt counted as the task's attempt. The running one was about to be killed and was
    not counted.
    """
    state = StandInState()
    put_job(state, job_spec(1))
    previous_worker, current_worker = (put_machine(state, f"vm-{n:06}") for n in (1, 2))
    task = "run-000001/0"
    copy = heartbeat_with_running(previous_worker, task, 5)
    # Since then the attempt was stopped there, and another one started elsewhere.
    previous_worker.tasks.clear()
    heartbeat_with_running(current_worker, task, 9)
    leader = leader_of(state, clock())
    if before_load:
        deliver(leader, copy, clock())
    asyncio.run(leader.recovery.load())
    if not before_load:
        deliver(leader, copy, clock())
    # The running attempt's worker shows the token when probed; its heartbeat's answer is lost.
    _, answer = current_worker.direct(leader.token, 1, [])
    leader._apply_command_answer(leader.cluster.machines[current_worker.name], answer)
    meet(leader, current_worker, clock(), heard=False)
    for _ in range(3):
        clock.us += S
        meet(leader, previous_worker, clock())
    assert leader.recovery.all_known.is_set()
    # A task counted as free could be started elsewhere, and would run twice.
    job = leader.cluster.jobs["run-000001"]
    assert {index: attempt.number for index, attempt in job.active.items()} == {0: 9}
    meet(leader, current_worker, clock())
    assert current_worker.live() == {task}
    leader.cluster.check_invariants()


def test_copied_heartbeat_occupies_no_capacity(clock: Clock) -> None:
    """A copied heartbeat that arrives first occupies no capacity on its machine.

    In the leader's view an ended attempt filled the machine, so the running one was killed.
    """
    state = StandInState()
    put_job(state, job_spec(1, cpus=4.0))
    worker = put_machine(state, "vm-000001")
    copy = heartbeat_with_running(worker, "run-000001/0", 5)
    worker.tasks.clear()
    heartbeat_with_running(worker, "run-000001/1", 6)
    leader = new_leader(state, clock())
    deliver(leader, copy, clock())
    for _ in range(3):
        clock.us += S
        meet(leader, worker, clock())
    assert worker.live() == {"run-000001/1"}
    assert list(leader.cluster.jobs["run-000001"].active) == [1]


def test_kills_and_completions_do_not_wait_for_the_token(
    clock: Clock,
) -> None:
    """Kills and completions do not wait for the token.

    A machine that receives no answers may never show the token.
    """
    state = StandInState()
    put_job(state, job_spec(1))
    put_job(state, job_spec(2), cancelled=True)
    worker = put_machine(state, "vm-000001")
    heartbeat_with_running(worker, "run-000002/0", 3)
    heartbeat_with_running(worker, "run-000009/0", 4)
    worker.tasks["run-000001/0"] = StandInTask(5, "ended", "done")
    leader = new_leader(state, clock())
    meet(leader, worker, clock())
    assert leader.cluster.jobs["run-000001"].states[0] == TaskState.COMPLETED
    assert worker.live() == set() and "run-000001/0" in worker.tasks
