"""Each `run` is sent so that it cannot be executed a second time."""

from tests.support.builders import add_job, add_machine, cluster, job_spec, report
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.controller.workers.heartbeat_reconciler import apply_heartbeat
from weldhead.controller.workers.pending_commands import pending_commands
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.protocol.wire import Command, ReportedTask
from weldhead.reconciliation.buffered_heartbeats import MessageSource


def runs(machine: Machine, sequence: int | None) -> list[Command]:
    commands = pending_commands(machine, lambda task: True, may_start=True, sequence=sequence)
    return [command for command in commands if command.op == "run"]


def test_a_direct_answer_does_not_show_that_a_reports_answer_was_lost() -> None:
    """The answer may still be on its way; sent again directly, it could run twice."""
    into = cluster()
    machine = add_machine(into)
    attempt = into.start(add_job(into, job_spec()), 0, machine, 0)
    assert len(runs(machine, 2)) == 1
    apply_heartbeat(into, machine, report(machine, 3, []), 0, MessageSource.COMMAND_ANSWER)
    assert runs(machine, None) == []
    # The worker's next report does show it.
    apply_heartbeat(into, machine, report(machine, 4, []), 0, MessageSource.HEARTBEAT)
    assert runs(machine, None) == [Command("run", attempt.task, attempt.number)]


def test_what_went_out_in_a_reports_answer_does_not_go_out_directly() -> None:
    into = cluster()
    machine = add_machine(into)
    into.start(add_job(into, job_spec()), 0, machine, 0)
    assert len(runs(machine, 2)) == 1
    assert runs(machine, None) == []
    # Level-triggered: the next answer carries it again.
    assert len(runs(machine, 3)) == 1


def test_an_unanswered_direct_run_is_neither_repeated_nor_forgotten() -> None:
    into = cluster()
    machine = add_machine(into)
    job = add_job(into, job_spec())
    attempt = into.start(job, 0, machine, 0)
    assert len(runs(machine, None)) == 1
    assert attempt.sent_directly
    assert runs(machine, 2) == runs(machine, None) == []
    attempt.sent_directly, attempt.unconfirmed_since_us = False, 5
    assert runs(machine, 2) == runs(machine, None) == []
    # It stays counted, whatever reports fail to show, until it is surely resolved.
    apply_heartbeat(into, machine, report(machine, 9, []), 0, MessageSource.HEARTBEAT)
    assert job.active[0] is attempt
    assert not request_stop(into, attempt, StopRequest.HARD, 0, "cancelled")
    apply_heartbeat(into, machine, report(machine, 10, []), 0, MessageSource.HEARTBEAT)
    assert job.active[0] is attempt
    listed = [ReportedTask(attempt.task, attempt.number, "running")]
    apply_heartbeat(into, machine, report(machine, 11, listed), 0, MessageSource.HEARTBEAT)
    assert (attempt.unconfirmed_since_us, attempt.phase) == (0, AttemptPhase.RUNNING)


def test_a_new_session_ends_everything_that_was_unanswered() -> None:
    into = cluster()
    machine = add_machine(into)
    job = add_job(into, job_spec())
    attempt = into.start(job, 0, machine, 0)
    attempt.unconfirmed_since_us = 5
    apply_heartbeat(into, machine, report(machine, 1, [], session=2), 0, MessageSource.HEARTBEAT)
    assert job.active == {} and machine.attempts == {}


def test_a_task_that_was_never_sent_stops_at_once() -> None:
    into = cluster()
    machine = add_machine(into)
    job = add_job(into, job_spec())
    assert request_stop(into, into.start(job, 0, machine, 0), StopRequest.HARD, 0, "room")
    assert job.active == {} and job.waiting == job.spec.tasks


def test_a_malformed_task_name_harms_nothing() -> None:
    into = cluster()
    machine = add_machine(into)
    nonsense = report(machine, 2, [ReportedTask("///", 1, "running")])
    apply_heartbeat(into, machine, nonsense, 0, MessageSource.HEARTBEAT)
    commands = pending_commands(machine, lambda task: True, may_start=True, sequence=2)
    assert commands == [Command("kill", "///", 1, 0.0)]
    into.check_invariants()


def test_a_request_that_fails_after_its_machine_is_gone_leaves_nothing_behind() -> None:
    """Kept, it made the machine watch look for a machine that was no longer there, for ever."""
    into = cluster()
    machine = add_machine(into)
    job = add_job(into, job_spec())
    first, second = into.start(job, 0, machine, 0), into.start(job, 1, machine, 0)
    into.mark_unconfirmed(first, 5)
    assert list(into.unconfirmed.values()) == [first]
    into.remove_machine(machine)
    into.mark_unconfirmed(second, 6)
    into.stop(second, StopRequest.HARD, 6, "test")
    assert not into.unconfirmed and not into.stopping
    into.check_invariants()


def test_a_lease_begins_anew_with_a_session_that_a_direct_answer_shows() -> None:
    """Counted from the session before, it was over while what was started directly still ran."""
    into = cluster()
    machine = add_machine(into)
    machine.lease_from_us = 1
    shown = report(machine, 3, [])
    shown.session += 1
    apply_heartbeat(into, machine, shown, 9_000_000, MessageSource.COMMAND_ANSWER)
    assert machine.lease_expired_us(14_000_000, 0) > 23_000_000
