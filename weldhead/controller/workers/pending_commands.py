"""Builds the list of commands that a machine still has to carry out. No I/O.

Commands are level-triggered: every answer to a heartbeat carries the pending commands, so a lost
answer costs one heartbeat interval and nothing else. Those that would make the answer too large
follow in the next one; kills come first.
"""

import logging
from collections.abc import Callable

from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.protocol.wire import MAX_COMMANDS, Command, Heartbeat

log = logging.getLogger(__name__)


def log_commands(
    channel: str, token: int, machine: str, message: tuple[int, int], commands: list[Command]
) -> None:
    """Log commands with what allows them: the token, and the worker's message that they rest on.

    ``message`` is its session and sequence number.
    """
    if commands and log.isEnabledFor(logging.DEBUG):
        listed = ", ".join(f"{c.op} {c.task}@{c.attempt}" for c in commands)
        log.debug(
            "commands to machine %s by %s: fencing token %d, message %d/%d: %s",
            machine, channel, token, *message, listed,
        )  # fmt: skip


def kill_all(heartbeat: Heartbeat) -> list[Command]:
    """Return the kills of all attempts that a worker lists as not ended, as many as fit."""
    kills = [
        Command("kill", task.task, task.attempt, 0.0)
        for task in heartbeat.tasks
        if task.state != "ended"
    ]
    return kills[:MAX_COMMANDS]


def pending_kills(machine: Machine) -> list[Command]:
    """Return the kills that a machine still has to carry out; a kill may be repeated safely."""
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
    return kills[:MAX_COMMANDS]


def pending_commands(
    machine: Machine,
    is_committed: Callable[[str], bool],
    *,
    may_start: bool,
    sequence: int | None,
) -> list[Command]:
    """Return the commands that a machine still has to carry out, as many as fit.

    ``is_committed`` says whether a task's completion needs no more writing to the store, so that
    its attempt may be forgotten. ``sequence`` is that of the heartbeat being answered; None means
    a direct request, and the attempts of its ``run`` commands are marked as sent directly.
    """
    commands = pending_kills(machine)
    commands += _pending_forgets(machine, is_committed, MAX_COMMANDS - len(commands))
    # A remembered listing covers all attempts on the machine, so none of them waits to start.
    if may_start and machine.last_listing is None:
        commands += _take_runs(machine, sequence, MAX_COMMANDS - len(commands))
    return commands


def _pending_forgets(
    machine: Machine, is_committed: Callable[[str], bool], limit: int
) -> list[Command]:
    """Return the commands to forget ended attempts."""
    forgets: list[Command] = []
    for task, number in machine.forgettable_attempts():
        if len(forgets) >= limit:
            break
        current = machine.attempts.get(task)
        if current is not None and current.number == number:
            continue
        if is_committed(task):
            forgets.append(Command("forget", task, number))
    return forgets


def _take_runs(machine: Machine, sequence: int | None, limit: int) -> list[Command]:
    """Return the commands to run assigned attempts, and mark these attempts as sent.

    A worker drops late answers to its heartbeats, so a ``run`` sent in an answer has no late copy.
    """
    runs: list[Command] = []
    for attempt in machine.attempts.values():
        if len(runs) >= limit:
            break
        if attempt.stop_request is not StopRequest.NO or attempt.phase is not AttemptPhase.ASSIGNED:
            continue
        if attempt.sent_directly or attempt.unconfirmed_since_us:
            continue
        if sequence is None:
            if attempt.sent_sequence is not None:
                # The ``run`` is already in flight in the answer to a heartbeat. Sent twice, it
                # could be executed again after the first execution has ended and was forgotten.
                continue
            if not machine.accepts_direct_runs:
                continue
            attempt.sent_directly = True
            machine.direct_runs.add((attempt.task, attempt.number))
        else:
            attempt.sent_sequence = sequence
        runs.append(Command("run", attempt.task, attempt.number))
    return runs
