"""Updates the leader's view of a machine from its worker's heartbeat. No I/O.

A machine is *reconciled* once its worker has sent a message with the fencing token of this leader's
term. An *orphan* is an attempt that a worker reports, that no job counts as its own, and that has
to be stopped.
"""

import logging
from dataclasses import dataclass, field

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.protocol.wire import Heartbeat, ReportedTask
from weldhead.reconciliation.attempt_verdicts import AttemptVerdict, classify_attempt, find_job
from weldhead.reconciliation.buffered_heartbeats import MessageSource

log = logging.getLogger(__name__)

_PHASES = {
    "pulling": AttemptPhase.PULLING,
    "running": AttemptPhase.RUNNING,
    "saving": AttemptPhase.SAVING,
}

#: Verdicts about what runs now and on which machine. They apply only if the heartbeat carries this
#: term's token: a heartbeat with an older token may be a copy of any age, and applying it would
#: replace the attempt that really runs.
_VERDICTS_NEEDING_CURRENT_TOKEN = {
    AttemptVerdict.ADOPTED,
    AttemptVerdict.OVER_LIMIT,
    AttemptVerdict.DUPLICATE,
    AttemptVerdict.NO_CAPACITY,
}

#: Causes with which a worker refuses a task that fits by the leader's view of the machine.
_REFUSAL_CAUSES = ("no_room", "busy", "unknown")
#: Delay before a refused task may start again: the worker's and the leader's view disagree, so an
#: immediate retry would probably be refused as well.
REFUSED_TASK_BACKOFF_US = SECOND_US
#: End causes that mean that the task failed by itself.
_TASK_FAILURE_CAUSES = ("error", None)


@dataclass(slots=True)
class HeartbeatEffect:
    """What a heartbeat changed in the leader's view of the cluster."""

    #: Jobs of which a task completed; each completion is committed before its worker forgets it.
    completed: list[Job] = field(default_factory=list)
    #: Attempts that ended without completing, each with the reason.
    lost: list[tuple[Attempt, str]] = field(default_factory=list)
    #: Run times of completed tasks, as (job, microseconds).
    run_times: list[tuple[Job, int]] = field(default_factory=list)
    #: The latest observed start time among the completed tasks; 0 if no start was observed.
    verified_start_us: int = 0
    #: Attempts that failed by themselves.
    failed: list[Attempt] = field(default_factory=list)
    #: How often each verdict was given on attempts that this term has not started.
    verdicts: dict[AttemptVerdict, int] = field(default_factory=dict)
    #: Attempts that this leader has seen end, or has started and no longer counts, listed as live.
    relisted: list[ReportedTask] = field(default_factory=list)
    #: Whether capacity became free or a machine became usable, so that a placement pass is needed.
    capacity_freed: bool = False


def is_newer(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat is newer than all messages seen, and its session has not expired."""
    return (
        heartbeat.session,
        heartbeat.sequence,
    ) > machine.newest_message and heartbeat.session > machine.expired_session


def apply_heartbeat(
    cluster: Cluster, machine: Machine, heartbeat: Heartbeat, at_us: int, source: MessageSource
) -> HeartbeatEffect:
    """Bring the leader's view of a machine up to date with a newer heartbeat.

    The order of the steps is part of the protocol. If a task is missing from the answer to a direct
    command (``source``), a ``run`` sent in the answer to a heartbeat is not necessarily lost: that
    answer may still be in flight, and the worker drops it only before its next heartbeat.
    """
    effect = HeartbeatEffect()
    if heartbeat.session > machine.session and machine.session:
        _release_ended_session(cluster, machine, at_us, effect)
    _record_contact(cluster, machine, heartbeat, at_us)
    if _has_same_listing(machine, heartbeat):
        if source is MessageSource.HEARTBEAT:
            machine.heartbeat_sequence = heartbeat.sequence
        return effect
    _HeartbeatReconciler(cluster, machine, heartbeat, at_us, source, effect).reconcile()
    return effect


def _release_ended_session(
    cluster: Cluster, machine: Machine, at_us: int, effect: HeartbeatEffect
) -> None:
    """Release all attempts of a worker's previous session, which has ended."""
    machine.last_listing = None
    machine.heartbeat_sequence = 0
    # The new session began before this message was sent, and its lease starts with it. Counted
    # from the previous session, the lease would look expired while tasks started since then run.
    machine.lease_start_us = max(machine.lease_start_us, at_us)
    for attempt in cluster.release_all(machine):
        effect.lost.append((attempt, "its worker started a new session"))


def _record_contact(cluster: Cluster, machine: Machine, heartbeat: Heartbeat, at_us: int) -> None:
    """Record the fields that every message carries, whatever tasks it lists."""
    if machine.is_booting:
        machine.notify_changed()
    machine.newest_message = (heartbeat.session, heartbeat.sequence)
    machine.last_message_us = at_us
    machine.token = max(machine.token, heartbeat.token)
    if heartbeat.token == cluster.token:
        machine.stale_token_answers = 0
    if heartbeat.address:
        machine.address = heartbeat.address
    if heartbeat.notice_s is not None:
        machine.interruption_us = at_us + seconds_us(heartbeat.notice_s)


def _has_same_listing(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat lists the same tasks as the last one, as most heartbeats do."""
    return (
        machine.reconciled
        and machine.last_listing is not None
        and heartbeat.tasks == machine.last_listing
    )


class _HeartbeatReconciler:
    """Applies one heartbeat whose task list differs from the last one."""

    __slots__ = (
        "_at_us",
        "_cluster",
        "_effect",
        "_has_current_token",
        "_heartbeat",
        "_listed",
        "_listed_tasks",
        "_machine",
        "_source",
        "_was_reconciled",
    )

    def __init__(
        self,
        cluster: Cluster,
        machine: Machine,
        heartbeat: Heartbeat,
        at_us: int,
        source: MessageSource,
        effect: HeartbeatEffect,
    ) -> None:
        self._cluster = cluster
        self._machine = machine
        self._heartbeat = heartbeat
        self._at_us = at_us
        self._source = source
        self._effect = effect
        self._has_current_token = heartbeat.token == cluster.token
        self._was_reconciled = machine.reconciled
        #: Tasks of which the heartbeat lists the attempt that the leader counts on this machine.
        self._listed_tasks: set[str] = set()
        #: The listed (task, attempt) pairs; filled only if a step compares with them.
        self._listed: set[tuple[str, int]] = set()

    def reconcile(self) -> None:
        """Run the protocol's steps in order."""
        machine = self._machine
        free_cpus_before, had_orphans = machine.cpus, bool(machine.orphans)
        had_free_slots = machine.free_task_slots > 0
        first_token = self._has_current_token and not self._was_reconciled
        needs_listing = first_token or bool(machine.unacknowledged) or had_orphans
        if needs_listing:
            self._listed = {(task.task, task.attempt) for task in self._heartbeat.tasks}
        if first_token:
            self._release_attempts_of_earlier_terms()
        for task in self._heartbeat.tasks:
            self._reconcile_listed(task)
        if needs_listing:
            # The worker no longer lists these attempts, so they need no more commands.
            machine.unacknowledged &= self._listed
            self._cluster.remove_orphans(machine, machine.orphans - self._listed)
        if first_token:
            self._mark_reconciled()
        self._release_unlisted()
        if self._source is MessageSource.HEARTBEAT:
            machine.heartbeat_sequence = self._heartbeat.sequence
        self._effect.capacity_freed = (
            # Placement uses no machine with orphans, and nothing else tells it that the last
            # orphan of this machine has ended.
            (had_orphans and not machine.orphans)
            or machine.cpus > free_cpus_before
            # Ended attempts that the worker has forgotten leave room for others in its heartbeats.
            or (not had_free_slots and machine.free_task_slots > 0)
            or (machine.reconciled and not self._was_reconciled)
        )
        if self._effect.capacity_freed:
            machine.notify_changed()
        if (
            self._has_current_token
            and not machine.orphans
            and machine.attempts.keys() <= self._listed_tasks
        ):
            machine.last_listing = self._heartbeat.tasks

    def _release(self, attempt: Attempt, reason: str) -> None:
        self._cluster.release(attempt)
        self._effect.lost.append((attempt, reason))

    def _release_attempts_of_earlier_terms(self) -> None:
        """Release attempts that were listed before the worker knew this term and no longer are.

        Otherwise they would occupy the capacity of the attempts that are listed now.
        """
        for attempt in list(self._machine.attempts.values()):
            if (attempt.task, attempt.number) not in self._listed:
                self._release(attempt, "no longer listed by its worker")

    def _mark_reconciled(self) -> None:
        """Record that the worker has sent a message with this term's token.

        From then on the worker refuses commands of earlier leaders, so that only this leader can
        add attempts to the worker's task list.
        """
        machine = self._machine
        machine.reconciled = True
        machine.lease_start_us = max(machine.lease_start_us, self._at_us)
        if self._source is MessageSource.COMMAND_ANSWER:
            machine.first_probe_us = self._at_us

    # -- listed attempts -----------------------------------------------------------------------

    def _reconcile_listed(self, task: ReportedTask) -> None:
        attempt = self._machine.attempts.get(task.task)
        if attempt is None or attempt.number != task.attempt:
            if self._reconcile_unknown(task) is not None:
                self._listed_tasks.add(task.task)
            return
        self._listed_tasks.add(task.task)
        # The attempt is listed, so its ``run`` was executed, whether answered or not. A ``run`` is
        # sent in at most one direct request, so it cannot be executed a second time.
        attempt.sent_directly = False
        attempt.unconfirmed_since_us = 0
        if attempt.phase is not _PHASES.get(task.state):
            self._advance(attempt, task)

    def _advance(self, attempt: Attempt, task: ReportedTask) -> None:
        """Record that an attempt has entered another phase or has ended."""
        if task.state == "ended":
            self._machine.unacknowledged.add((task.task, task.attempt))
            self._end(attempt, task)
            return
        phase = _PHASES[task.state]
        phases_before_running = (AttemptPhase.ASSIGNED, AttemptPhase.PULLING)
        if phase is AttemptPhase.RUNNING and attempt.phase in phases_before_running:
            attempt.running_since_us = self._at_us
            self._machine.record_image(attempt.job.spec.image, attempt.job.spec.image_gb)
        attempt.phase = phase

    def _end(self, attempt: Attempt, task: ReportedTask) -> None:
        if task.why == "done":
            self._complete(attempt)
            return
        job = attempt.job
        if attempt.running_since_us and job.spec.checkpoint_s > 0:
            ran_us = attempt.elapsed_us(self._at_us)
            checkpoint_us = seconds_us(job.spec.checkpoint_s)
            saved_us = ran_us if task.saved else ran_us // checkpoint_us * checkpoint_us
            job.checkpoints_us[attempt.index] = saved_us
        self._release(attempt, task.why or "no cause reported")
        if task.why in _TASK_FAILURE_CAUSES:
            self._effect.failed.append(attempt)
        elif task.why in _REFUSAL_CAUSES:
            retry_us = self._at_us + REFUSED_TASK_BACKOFF_US
            job.not_before_us = max(job.not_before_us, retry_us)
            log.info(
                "task %s refused by the worker of machine %s: %s",
                attempt.task, self._machine.name, task.why,
            )  # fmt: skip

    def _complete(self, attempt: Attempt) -> None:
        job, effect = attempt.job, self._effect
        self._machine.direct_runs.discard((attempt.task, attempt.number))
        # This leader has not observed an earlier leader's attempt from its start. The observed part
        # is not the run time: recorded as such, it made every estimate far too short after a
        # failover.
        watched_whole_run = not attempt.checkpointed_us and not attempt.adopted
        if attempt.running_since_us and watched_whole_run:
            effect.run_times.append((job, self._at_us - attempt.running_since_us))
        if not attempt.adopted:
            effect.verified_start_us = max(effect.verified_start_us, attempt.running_since_us)
        self._cluster.release(attempt, completed=True)
        job.checkpoints_us.pop(attempt.index, None)
        effect.completed.append(job)

    def _reconcile_unknown(self, task: ReportedTask) -> Attempt | None:
        """Carry out the verdict on an attempt that this leader has not started on this machine.

        Return the attempt if the leader counts it from now on.
        """
        key = (task.task, task.attempt)
        machine, cluster = self._machine, self._cluster
        if key in machine.unacknowledged and task.state == "ended":
            return None
        if key in machine.unacknowledged or cluster.is_of_this_term(task.attempt):
            self._record_relisted(task)
        verdict = classify_attempt(cluster, machine, task)
        job, index = find_job(cluster, task)
        must_stop = job is not None and job.must_stop
        if (
            verdict in _VERDICTS_NEEDING_CURRENT_TOKEN
            and not self._has_current_token
            and not must_stop
        ):
            # A cancelled attempt is stopped on any machine: no answer renews its lease without
            # also carrying its kill.
            return None
        if key not in machine.orphans:
            self._effect.verdicts[verdict] = self._effect.verdicts.get(verdict, 0) + 1
        match verdict:
            case AttemptVerdict.COMPLETED | AttemptVerdict.ENDED:
                self._acknowledge_ended(verdict, job, index, task)
                return None
            case (
                AttemptVerdict.ADOPTED
                | AttemptVerdict.CANCELLED
                | AttemptVerdict.OVER_LIMIT
                | AttemptVerdict.NO_CAPACITY
            ) if job is not None:
                # The attempt may have been a duplicate until the other attempt was gone.
                cluster.remove_orphans(machine, {key} & machine.orphans)
                attempt = self._adopt(job, index, task)
                if verdict is AttemptVerdict.NO_CAPACITY:
                    cluster.stop(
                        attempt, StopRequest.HARD, self._at_us, "no free capacity on its machine"
                    )
                return attempt
        if verdict is AttemptVerdict.UNKNOWN_JOB and key not in machine.orphans:
            log.info("attempt %s on machine %s belongs to no known job", task.task, machine.name)
        # The attempt is killed, and nothing is placed on this machine until it has ended.
        cluster.add_orphan(machine, key, job, self._at_us)
        return None

    def _record_relisted(self, task: ReportedTask) -> None:
        """Record an attempt that this leader has seen end, or has started and counts no longer."""
        key = (task.task, task.attempt)
        if task.state != "ended" and key not in self._machine.orphans:
            self._effect.relisted.append(task)
        self._machine.unacknowledged.discard(key)
        if self._cluster.is_of_this_term(task.attempt):
            # How it was started is not known any more, so it may have been by a direct request.
            self._machine.direct_runs.add(key)

    def _acknowledge_ended(
        self, verdict: AttemptVerdict, job: Job | None, index: int, task: ReportedTask
    ) -> None:
        """Record the end of an attempt that this leader has not started."""
        key = (task.task, task.attempt)
        self._machine.unacknowledged.add(key)
        if task.why == "done":
            self._machine.direct_runs.discard(key)
        self._cluster.remove_orphans(self._machine, {key} & self._machine.orphans)
        if job is None:
            return
        if verdict is AttemptVerdict.COMPLETED:
            job.complete_waiting(index)
            self._effect.completed.append(job)
        elif task.why == "halted":
            # An earlier leader preempted the attempt and may not have recorded that.
            job.restart_first(index, self._machine.name)

    def _adopt(self, job: Job, index: int, task: ReportedTask) -> Attempt:
        """Count an attempt that an earlier leader started."""
        attempt = Attempt(job, index, task.attempt, self._machine.name, self._at_us)
        attempt.phase = _PHASES[task.state]
        attempt.adopted = attempt.phase is not AttemptPhase.PULLING
        if attempt.adopted:
            attempt.running_since_us = self._at_us
            self._machine.record_image(job.spec.image, job.spec.image_gb)
        self._cluster.adopt(attempt, self._machine)
        if job.must_stop:
            self._cluster.stop(attempt, StopRequest.HARD, self._at_us, "cancelled")
        elif attempt.phase is AttemptPhase.SAVING:
            # An earlier leader has stopped the attempt, so its capacity is being freed. Counted as
            # running, its team could lose the same amount again in the first preemption pass.
            reason = "stopped by an earlier leader"
            self._cluster.stop(attempt, StopRequest.SOFT, self._at_us, reason)
        return attempt

    # -- unlisted attempts ---------------------------------------------------------------------

    def _release_unlisted(self) -> None:
        """Release attempts that the worker does not list and will certainly not start."""
        attempts = self._machine.attempts
        if attempts.keys() <= self._listed_tasks:
            return
        for attempt in list(attempts.values()):
            may_be_in_flight = attempt.sent_directly or attempt.unconfirmed_since_us
            if attempt.task in self._listed_tasks or may_be_in_flight:
                continue
            if attempt.phase is AttemptPhase.ASSIGNED:
                self._release_unstarted(attempt)
            elif self._was_reconciled:
                self._release(attempt, "no longer listed by its worker")

    def _release_unstarted(self, attempt: Attempt) -> None:
        stopped = attempt.stop_request is not StopRequest.NO
        if attempt.sent_sequence is None:
            if stopped:
                # The stop was requested while a direct request failed to connect: neither ``run``
                # nor ``kill`` would ever be sent.
                self._release(attempt, "stopped before its run command was sent")
            return
        is_later_heartbeat = self._heartbeat.sequence > attempt.sent_sequence
        if is_later_heartbeat and self._source is MessageSource.HEARTBEAT:
            # A worker has one heartbeat in flight. A later heartbeat shows that the answer to the
            # previous one was either executed or dropped for good.
            attempt.sent_sequence = None
            if stopped:
                self._release(attempt, "stopped, and its run command was dropped")
