"""Which commands a machine still has to carry out. No I/O.

Commands are level-triggered: every answer to a heartbeat carries all that the machine still has to
do, so a lost answer costs one heartbeat interval and nothing else.
"""

from collections.abc import Callable

from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.protocol.wire import Command, Heartbeat


def kill_all(report: Heartbeat) -> list[Command]:
    """Return what ends everything that a worker says is on its machine."""
    return [
        Command("kill", task.task, task.attempt, 0.0)
        for task in report.tasks
        if task.state != "ended"
    ]


def pending_kills(machine: Machine) -> list[Command]:
    """Return the kills that the machine still has to carry out; repeated, they do no harm."""
    kills = [Command("kill", task, number, 0.0) for task, number in machine.orphans]
    for attempt in machine.attempts.values():
        if attempt.stop_request is StopRequest.NO:
            continue
        if (
            attempt.phase is not AttemptPhase.ASSIGNED
            or attempt.unconfirmed_since_us
            or attempt.sent_directly
        ):
            grace_s = 0.0
            if attempt.stop_request is StopRequest.SOFT:
                if attempt.phase is AttemptPhase.SAVING:
                    continue
                grace_s = attempt.job.spec.save_s + 1.0
            kills.append(Command("kill", attempt.task, attempt.number, grace_s))
    return kills


def pending_commands(
    machine: Machine,
    committed: Callable[[str], bool],
    *,
    may_start: bool,
    sequence: int | None,
) -> list[Command]:
    """Return everything the machine still has to do.

    ``committed`` says whether a task needs no more saving to the store, so that its
    attempt may be forgotten. ``sequence`` is that of the report being answered, or None
    for a direct request, in which ``run`` commands are marked as posted.
    """
    runs: list[Command] = []
    forgets: list[Command] = []
    # Where its worker lists all that is on it, nothing is left to be begun.
    unbegun = machine.attempts.values() if may_start and machine.last_listing is None else ()
    for attempt in unbegun:
        if attempt.stop_request is StopRequest.NO and attempt.phase is AttemptPhase.ASSIGNED:
            if attempt.sent_directly or attempt.unconfirmed_since_us:
                continue
            if sequence is None:
                if attempt.sent_sequence is not None:
                    # Already on its way in a report's answer; sent twice, the second one
                    # could be executed after the first was run and forgotten.
                    continue
                attempt.sent_directly = True
            else:
                attempt.sent_sequence = sequence
            runs.append(Command("run", attempt.task, attempt.number))
    for task, number in machine.unacknowledged:
        current = machine.attempts.get(task)
        if current is not None and current.number == number:
            continue
        if committed(task):
            forgets.append(Command("forget", task, number))
    return pending_kills(machine) + forgets + runs
