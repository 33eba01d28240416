"""Each ``run`` command is sent in a way that prevents a second execution."""

from tests.support.builders import add_job, add_machine, cluster, job_spec, report
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.controller.workers.heartbeat_reconciler import apply_heartbeat
from weldhead.controller.workers.pending_commands import pending_commands
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.protocol.wire import Command, ReportedTask
from weldhead.reconciliation.buffered_heartbeats import MessageSource


def pending_runs(machine: Machine, sequence: int | None) -> list[Command]:
    commands = pending_commands(machine, lambda task: True, may_start=True, sequence=sequence)
    return [command for command in commands if command.op == "run"]


def test_direct_answer_does_not_prove_heartbeat_answer_lost() -> None:
    """The heartbeat's answer may still arrive; sent again directly, the ``run`` could run twice."""
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    attempt = cluster_state.start(add_job(cluster_state, job_spec()), 0, machine, 0)
    assert len(pending_runs(machine, 2)) == 1
    apply_heartbeat(cluster_state, machine, report(machine, 3, []), 0, MessageSource.COMMAND_ANSWER)
    assert pending_runs(machine, None) == []
    # The worker's next heartbeat does show that the answer was lost.
    apply_heartbeat(cluster_state, machine, report(machine, 4, []), 0, MessageSource.HEARTBEAT)
    assert pending_runs(machine, None) == [Command("run", attempt.task, attempt.number)]


def test_run_sent_in_heartbeat_answer_is_not_sent_directly() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    cluster_state.start(add_job(cluster_state, job_spec()), 0, machine, 0)
    assert len(pending_runs(machine, 2)) == 1
    assert pending_runs(machine, None) == []
    # Commands are level-triggered: the answer to the next heartbeat carries the run again.
    assert len(pending_runs(machine, 3)) == 1


def test_unanswered_direct_run_is_not_repeated_or_released() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    job = add_job(cluster_state, job_spec())
    attempt = cluster_state.start(job, 0, machine, 0)
    assert len(pending_runs(machine, None)) == 1
    assert attempt.sent_directly
    assert pending_runs(machine, 2) == pending_runs(machine, None) == []
    attempt.sent_directly, attempt.unconfirmed_since_us = False, 5
    assert pending_runs(machine, 2) == pending_runs(machine, None) == []
    # The attempt is counted, although heartbeats do not list it, until its fate is certain.
    apply_heartbeat(cluster_state, machine, report(machine, 9, []), 0, MessageSource.HEARTBEAT)
    assert job.active[0] is attempt
    assert not request_stop(cluster_state, attempt, StopRequest.HARD, 0, "cancelled")
    apply_heartbeat(cluster_state, machine, report(machine, 10, []), 0, MessageSource.HEARTBEAT)
    assert job.active[0] is attempt
    listed = [ReportedTask(attempt.task, attempt.number, "running")]
    apply_heartbeat(cluster_state, machine, report(machine, 11, listed), 0, MessageSource.HEARTBEAT)
    assert (attempt.unconfirmed_since_us, attempt.phase) == (0, AttemptPhase.RUNNING)


def test_new_session_releases_unconfirmed_attempts() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    job = add_job(cluster_state, job_spec())
    attempt = cluster_state.start(job, 0, machine, 0)
    attempt.unconfirmed_since_us = 5
    apply_heartbeat(
        cluster_state, machine, report(machine, 1, [], session=2), 0, MessageSource.HEARTBEAT
    )
    assert job.active == {} and machine.attempts == {}


def test_unsent_attempt_is_released_when_stopped() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    job = add_job(cluster_state, job_spec())
    assert request_stop(
        cluster_state, cluster_state.start(job, 0, machine, 0), StopRequest.HARD, 0, "room"
    )
    assert job.active == {} and job.waiting == job.spec.tasks


def test_attempt_with_malformed_task_name_is_killed() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    malformed = report(machine, 2, [ReportedTask("///", 1, "running")])
    apply_heartbeat(cluster_state, machine, malformed, 0, MessageSource.HEARTBEAT)
    commands = pending_commands(machine, lambda task: True, may_start=True, sequence=2)
    assert commands == [Command("kill", "///", 1, 0.0)]
    cluster_state.check_invariants()


def test_failed_request_of_removed_machine_is_not_recorded() -> None:
    """A request's failure is not recorded for an attempt whose machine has been removed.

    The recorded failure made the machine monitor look up the removed machine again and again.
    """
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    job = add_job(cluster_state, job_spec())
    first, second = cluster_state.start(job, 0, machine, 0), cluster_state.start(job, 1, machine, 0)
    cluster_state.mark_unconfirmed(first, 5)
    assert list(cluster_state.unconfirmed.values()) == [first]
    cluster_state.remove_machine(machine)
    cluster_state.mark_unconfirmed(second, 6)
    cluster_state.stop(second, StopRequest.HARD, 6, "test")
    assert not cluster_state.unconfirmed and not cluster_state.stopping
    cluster_state.check_invariants()


def test_direct_answer_with_new_session_starts_a_new_lease() -> None:
    """A direct answer with a new session starts a new lease.

    Counted from the previous session, the lease expired while directly started tasks still ran.
    """
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    machine.lease_start_us = 1
    new_session = report(machine, 3, [])
    new_session.session += 1
    apply_heartbeat(cluster_state, machine, new_session, 9_000_000, MessageSource.COMMAND_ANSWER)
    assert machine.lease_expired_us(14_000_000, 0) > 23_000_000
