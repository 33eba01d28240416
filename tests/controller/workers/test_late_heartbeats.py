"""Reports that come late, or more than once, at a term that knows no better yet.

What a machine said before it heard of this term may be a copy from any time before.
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


def runs(worker: StandInWorker, task: str, attempt: int) -> Heartbeat:
    """Let a worker run something, and return what it reports then."""
    worker.tasks[task] = StandInTask(attempt, "running")
    return worker.report()


@pytest.mark.parametrize("early", [False, True])
def test_a_copy_that_comes_first_takes_no_place_from_what_runs(clock: Clock, early: bool) -> None:
    """It counted as the task's attempt; the one that ran was to be killed, and counted nowhere."""
    state = StandInState()
    put_job(state, job_spec(1))
    stopped, runner = (put_machine(state, f"vm-{n:06}") for n in (1, 2))
    task = "run-000001/0"
    copy = runs(stopped, task, 5)
    # Since then it was stopped there, and started elsewhere.
    stopped.tasks.clear()
    runs(runner, task, 9)
    leader = leader_of(state, clock())
    if early:
        deliver(leader, copy, clock())
    asyncio.run(leader.recovery.load())
    if not early:
        deliver(leader, copy, clock())
    # Asked directly, the one that runs it shows the token; what its report is told is lost.
    _, shown = runner.direct(leader.token, 1, [])
    leader._apply_command_answer(leader.cluster.machines[runner.name], shown)
    meet(leader, runner, clock(), heard=False)
    for _ in range(3):
        clock.us += S
        meet(leader, stopped, clock())
    assert leader.recovery.all_known.is_set()
    # Free to be started elsewhere, it would run twice.
    job = leader.cluster.jobs["run-000001"]
    assert {index: attempt.number for index, attempt in job.active.items()} == {0: 9}
    meet(leader, runner, clock())
    assert runner.live() == {task}
    leader.cluster.check_invariants()


def test_a_copy_that_comes_first_takes_no_room_from_what_runs(clock: Clock) -> None:
    """What had run there filled the machine in the books; what ran there now was killed."""
    state = StandInState()
    put_job(state, job_spec(1, cpus=4.0))
    worker = put_machine(state, "vm-000001")
    copy = runs(worker, "run-000001/0", 5)
    worker.tasks.clear()
    runs(worker, "run-000001/1", 6)
    leader = new_leader(state, clock())
    deliver(leader, copy, clock())
    for _ in range(3):
        clock.us += S
        meet(leader, worker, clock())
    assert worker.live() == {"run-000001/1"}
    assert list(leader.cluster.jobs["run-000001"].active) == [1]


def test_before_it_heard_of_a_term_a_machine_says_what_must_end_and_what_was_completed(
    clock: Clock,
) -> None:
    """Neither waits for the token: one that hears nothing may never show it."""
    state = StandInState()
    put_job(state, job_spec(1))
    put_job(state, job_spec(2), cancelled=True)
    worker = put_machine(state, "vm-000001")
    runs(worker, "run-000002/0", 3)
    runs(worker, "run-000009/0", 4)
    worker.tasks["run-000001/0"] = StandInTask(5, "ended", "done")
    leader = new_leader(state, clock())
    meet(leader, worker, clock())
    assert leader.cluster.jobs["run-000001"].states[0] == TaskState.COMPLETED
    assert worker.live() == set() and "run-000001/0" in worker.tasks
