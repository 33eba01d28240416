"""What a worker's heartbeat means for the leader's view of its machine. No I/O."""

import logging
from dataclasses import dataclass, field

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.protocol.wire import Heartbeat, ReportedTask
from weldhead.reconciliation.attempt_verdicts import AttemptVerdict, judge_attempt, locate

log = logging.getLogger(__name__)

_PHASES = {
    "pulling": AttemptPhase.PULLING,
    "running": AttemptPhase.RUNNING,
    "saving": AttemptPhase.SAVING,
}


#: Verdicts that rest on what runs now, and where: only a report that shows this term's token
#: says so. One from before may be a copy of any age: counted, it took the place of the attempt
#: that ran, and that one was killed while its task was free to start elsewhere.
_WAIT_FOR_TOKEN = {
    AttemptVerdict.ADOPTED,
    AttemptVerdict.OVER_LIMIT,
    AttemptVerdict.SECOND,
    AttemptVerdict.CROWDED,
}


@dataclass(slots=True)
class HeartbeatEffect:
    """What a report changed."""

    #: Tasks completed, to be committed before they are forgotten.
    completed: list[Job] = field(default_factory=list)
    #: Attempts that ended without completing, with the reason.
    lost: list[tuple[Attempt, str]] = field(default_factory=list)
    #: Observed run times of completed tasks: (job, microseconds).
    run_times: list[tuple[Job, int]] = field(default_factory=list)
    #: When the last of the tasks that completed was seen to begin; 0: not known.
    verified_start_us: int = 0
    #: Attempts that failed by themselves.
    failed: list[Attempt] = field(default_factory=list)
    #: What attempts were judged that this term has not started.
    verdicts: dict[AttemptVerdict, int] = field(default_factory=dict)
    #: Room has become free, or something else that placement should look at.
    capacity_freed: bool = False


def is_newer(machine: Machine, report: Heartbeat) -> bool:
    """Whether the report is newer than everything seen, and of a live session."""
    return (
        report.session,
        report.sequence,
    ) > machine.newest_message and report.session > machine.expired_session


def apply_report(
    cluster: Cluster, machine: Machine, report: Heartbeat, at_us: int, *, direct: bool
) -> HeartbeatEffect:
    """Bring the picture of a machine up to date with a newer report.

    ``direct``: the report is the body of a direct command's answer. A task missing there
    does not show that a ``run`` sent in a report's answer was lost: that answer may still
    be on its way to the worker, who only drops it before it sends its next report.
    """
    outcome = HeartbeatEffect()
    if report.session > machine.session and machine.session:
        machine.last_listing = None
        machine.heartbeat_sequence = 0
        # Its lease begins anew with the session, which began before this was sent. Counted from
        # the session before, it was judged over while what was started directly since still ran.
        machine.lease_from_us = max(machine.lease_from_us, at_us)
        for attempt in cluster.release_all(machine):
            outcome.lost.append((attempt, "new session"))
    if machine.booting:
        machine.notify_changed()
    machine.newest_message = (report.session, report.sequence)
    machine.last_message_us = at_us
    machine.token = max(machine.token, report.token)
    if report.token == cluster.token:
        machine.stale_token_answers = 0
    if report.address:
        machine.address = report.address
    if report.notice_s is not None:
        machine.interruption_us = at_us + seconds_us(report.notice_s)
    if (
        machine.reconciled
        and machine.last_listing is not None
        and report.tasks == machine.last_listing
    ):
        # Most reports only say that the worker lives: all that it lists is known.
        if not direct:
            machine.heartbeat_sequence = report.sequence
        return outcome
    had_free = machine.cpus
    was_synced, was_haunted = machine.reconciled, bool(machine.orphans)
    shows_token = report.token == cluster.token
    seen: set[str] = set()
    listed: set[tuple[str, int]] = set()
    syncs = shows_token and not was_synced
    # Else nothing is known that it could list no more.
    compares = syncs or bool(machine.unacknowledged) or was_haunted
    if compares:
        listed = {(task.task, task.attempt) for task in report.tasks}
    if syncs:
        # What it listed before it heard of this term and lists no more is gone, and must not
        # hold the room of what it lists now.
        for attempt in list(machine.attempts.values()):
            if (attempt.task, attempt.number) not in listed:
                cluster.release(attempt)
                outcome.lost.append((attempt, "gone from its worker"))
    for task in report.tasks:
        known = machine.attempts.get(task.task)
        if known is not None and known.number == task.attempt:
            seen.add(task.task)
            # Listed, so its ``run`` has been executed, answered or not; each ``run`` is sent in
            # one direct request at most, so it cannot be executed a second time.
            known.sent_directly = False
            known.unconfirmed_since_us = 0
            if known.phase is not _PHASES.get(task.state):
                _moved_on(cluster, machine, known, task, at_us, outcome)
        else:
            adopted = _unknown(cluster, machine, task, at_us, outcome, shows_token)
            if adopted is not None:
                seen.add(task.task)
    if compares:
        # Attempts that the worker no longer lists need no more commands.
        machine.unacknowledged &= listed
        cluster.remove_orphans(machine, machine.orphans - listed)
    if shows_token and not machine.reconciled:
        machine.reconciled = True
        machine.lease_from_us = max(machine.lease_from_us, at_us)
        if direct:
            machine.first_probe_us = at_us
    unseen = [] if machine.attempts.keys() <= seen else list(machine.attempts.values())
    for attempt in unseen:
        if attempt.task in seen or attempt.sent_directly or attempt.unconfirmed_since_us:
            continue
        if attempt.phase is AttemptPhase.ASSIGNED:
            if attempt.sent_sequence is None:
                if attempt.stop_request is not StopRequest.NO:
                    # Asked to stop while a direct request was being connected, in vain. Nothing
                    # is on its way, and neither ``run`` nor ``kill`` would ever be sent.
                    cluster.release(attempt)
                    outcome.lost.append((attempt, "withdrawn before it was sent"))
                continue
            if report.sequence > attempt.sent_sequence and not direct:
                # A worker has one report in flight: its next report shows that the answer
                # to the last one was either executed or dropped for good.
                attempt.sent_sequence = None
                if attempt.stop_request is not StopRequest.NO:
                    cluster.release(attempt)
                    outcome.lost.append((attempt, "withdrawn before it was started"))
        elif was_synced:
            cluster.release(attempt)
            outcome.lost.append((attempt, "gone from its worker"))
    if not direct:
        machine.heartbeat_sequence = report.sequence
    if was_haunted and not machine.orphans:
        # Placement may use it again: nobody else would tell that its room is to be had.
        outcome.capacity_freed = True
    outcome.capacity_freed = (
        outcome.capacity_freed or machine.cpus > had_free or (machine.reconciled and not was_synced)
    )
    if outcome.capacity_freed:
        machine.notify_changed()
    if shows_token and not machine.orphans and machine.attempts.keys() <= seen:
        machine.last_listing = report.tasks
    return outcome


def _moved_on(
    cluster: Cluster,
    machine: Machine,
    attempt: Attempt,
    task: ReportedTask,
    at_us: int,
    outcome: HeartbeatEffect,
) -> None:
    """Take up that an attempt of ours is in another phase than before, or has ended."""
    if task.state != "ended":
        phase = _PHASES[task.state]
        if phase is AttemptPhase.RUNNING and attempt.phase in (
            AttemptPhase.ASSIGNED,
            AttemptPhase.PULLING,
        ):
            attempt.running_since_us = at_us
            machine.record_image(attempt.job.spec.image, attempt.job.spec.image_gb)
        attempt.phase = phase
        return
    machine.unacknowledged.add((task.task, task.attempt))
    _ended(cluster, machine, attempt, task, at_us, outcome)


def _ended(
    cluster: Cluster,
    machine: Machine,
    attempt: Attempt,
    task: ReportedTask,
    at_us: int,
    outcome: HeartbeatEffect,
) -> None:
    job = attempt.job
    if task.why == "done":
        # What an earlier leader started has run for longer than this one has watched it:
        # counted as if it had just begun, it made every estimate far too short after a
        # takeover, and no machines were rented for the backlog (found at size).
        if attempt.running_since_us and not attempt.checkpointed_us and not attempt.adopted:
            outcome.run_times.append((job, at_us - attempt.running_since_us))
        if not attempt.adopted:
            outcome.verified_start_us = max(outcome.verified_start_us, attempt.running_since_us)
        cluster.release(attempt, completed=True)
        job.checkpoints_us.pop(attempt.index, None)
        outcome.completed.append(job)
        return
    if attempt.running_since_us and job.spec.checkpoint_s > 0:
        ran_us = attempt.elapsed_us(at_us)
        step_us = seconds_us(job.spec.checkpoint_s)
        job.checkpoints_us[attempt.index] = ran_us if task.saved else ran_us // step_us * step_us
    cluster.release(attempt)
    outcome.lost.append((attempt, task.why or "no cause"))
    if task.why in ("error", None):
        outcome.failed.append(attempt)
    elif task.why in ("no_room", "busy", "unknown"):
        # The worker disagrees with our picture, or cannot know the job yet: not at once
        # again, or the same refusal would go back and forth with every report.
        job.not_before_us = max(job.not_before_us, at_us + seconds_us(1.0))
        log.info("%s refused on %s: %s", attempt.task, machine.name, task.why)


def _unknown(
    cluster: Cluster,
    machine: Machine,
    task: ReportedTask,
    at_us: int,
    outcome: HeartbeatEffect,
    shows_token: bool,
) -> Attempt | None:
    """Deal with an attempt that this leader has not started here, as its verdict says."""
    key = (task.task, task.attempt)
    if key in machine.unacknowledged:
        return None
    verdict = judge_attempt(cluster, machine, task)
    job, index = locate(cluster, task)
    if verdict in _WAIT_FOR_TOKEN and not shows_token and not (job is not None and job.unwanted):
        # What is cancelled has to go wherever it is: no answer renews its lease without a kill.
        return None
    if key not in machine.orphans:
        outcome.verdicts[verdict] = outcome.verdicts.get(verdict, 0) + 1
    match verdict:
        case AttemptVerdict.FINISHED | AttemptVerdict.ENDED:
            machine.unacknowledged.add(key)
            cluster.remove_orphans(machine, {key} & machine.orphans)
            if verdict is AttemptVerdict.FINISHED and job is not None:
                job.complete_waiting(index)
                outcome.completed.append(job)
            elif job is not None and task.why == "halted":
                # Stopped by an earlier leader that may have had no time to write it down.
                job.restart_first(index, machine.name)
            return None
        case (
            AttemptVerdict.ADOPTED
            | AttemptVerdict.CANCELLED
            | AttemptVerdict.OVER_LIMIT
            | AttemptVerdict.CROWDED
        ) if job is not None:
            # It may have been a second attempt until the first was gone.
            cluster.remove_orphans(machine, {key} & machine.orphans)
            attempt = _adopt(cluster, machine, job, index, task, at_us)
            if verdict is AttemptVerdict.CROWDED:
                cluster.stop(attempt, StopRequest.HARD, at_us, "no room by the books")
            return attempt
    if verdict is AttemptVerdict.UNRECORDED and key not in machine.orphans:
        log.info("%s reports %s, which nothing on record names", machine.name, task.task)
    # It must go, and until then nothing new is placed on this machine.
    cluster.add_orphan(machine, key, job, at_us)
    return None


def _adopt(
    cluster: Cluster, machine: Machine, job: Job, index: int, task: ReportedTask, at_us: int
) -> Attempt:
    """Count an attempt that an earlier leader started."""
    attempt = Attempt(job, index, task.attempt, machine.name, at_us)
    attempt.phase = _PHASES[task.state]
    attempt.adopted = attempt.phase is not AttemptPhase.PULLING
    if attempt.phase is not AttemptPhase.PULLING:
        attempt.running_since_us = at_us
        machine.record_image(job.spec.image, job.spec.image_gb)
    cluster.adopt(attempt, machine)
    if job.unwanted:
        cluster.stop(attempt, StopRequest.HARD, at_us, "cancelled")
    elif attempt.phase is AttemptPhase.SAVING:
        # Whoever led before has stopped it: it goes, and what it holds is being freed. Taken
        # for one that runs, its team could lose as much once more in the first pass.
        cluster.stop(attempt, StopRequest.SOFT, at_us, "stopped by an earlier leader")
    return attempt
