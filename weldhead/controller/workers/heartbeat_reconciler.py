"""What a worker's heartbeat means for the leader's view of its machine. No I/O."""

import logging
from dataclasses import dataclass, field

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.protocol.wire import Heartbeat, ReportedTask
from weldhead.reconciliation.attempt_verdicts import AttemptVerdict, judge_attempt, locate
from weldhead.reconciliation.buffered_heartbeats import MessageSource

log = logging.getLogger(__name__)

_PHASES = {
    "pulling": AttemptPhase.PULLING,
    "running": AttemptPhase.RUNNING,
    "saving": AttemptPhase.SAVING,
}

#: Verdicts on what runs now, and where: only a heartbeat that shows this term's token tells that.
#: One from before may be a copy of any age; applied, it would replace the attempt that runs.
_NEED_CURRENT_TOKEN = {
    AttemptVerdict.ADOPTED,
    AttemptVerdict.OVER_LIMIT,
    AttemptVerdict.SECOND,
    AttemptVerdict.CROWDED,
}

#: Why a worker refuses a task that the leader's view allows.
_REFUSALS = ("no_room", "busy", "unknown")
#: A refused task is not started again at once: the worker's and the leader's view disagree.
REFUSED_TASK_BACKOFF_US = SECOND_US
#: Causes of an end that say that the task failed by itself.
_OWN_FAILURES = ("error", None)


@dataclass(slots=True)
class HeartbeatEffect:
    """What a report changed."""

    #: Tasks completed, to be committed before they are forgotten.
    completed: list[Job] = field(default_factory=list)
    #: Attempts that ended without completing, with the reason.
    lost: list[tuple[Attempt, str]] = field(default_factory=list)
    #: Run times of completed tasks: (job, microseconds).
    run_times: list[tuple[Job, int]] = field(default_factory=list)
    #: When the last of the tasks that completed was seen to begin; 0: not known.
    verified_start_us: int = 0
    #: Attempts that failed by themselves.
    failed: list[Attempt] = field(default_factory=list)
    #: What attempts were judged that this term has not started.
    verdicts: dict[AttemptVerdict, int] = field(default_factory=dict)
    #: Capacity has become free, or something else that placement should look at.
    capacity_freed: bool = False


def is_newer(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether the heartbeat is newer than everything seen, and of a live session."""
    return (
        heartbeat.session,
        heartbeat.sequence,
    ) > machine.newest_message and heartbeat.session > machine.expired_session


def apply_heartbeat(
    cluster: Cluster, machine: Machine, heartbeat: Heartbeat, at_us: int, source: MessageSource
) -> HeartbeatEffect:
    """Bring the leader's view of a machine up to date with a newer heartbeat.

    The steps run in this order; each is a rule of the protocol. A task missing from a command's
    answer (``source``) does not show that a ``run`` sent in a heartbeat's answer was lost: that
    answer may still be on its way to the worker, who drops it only before its next heartbeat.
    """
    effect = HeartbeatEffect()
    if heartbeat.session > machine.session and machine.session:
        _release_ended_session(cluster, machine, at_us, effect)
    _record_contact(cluster, machine, heartbeat, at_us)
    if _shows_nothing_new(machine, heartbeat):
        if source is MessageSource.HEARTBEAT:
            machine.heartbeat_sequence = heartbeat.sequence
        return effect
    _HeartbeatReconciler(cluster, machine, heartbeat, at_us, source, effect).reconcile()
    return effect


def _release_ended_session(
    cluster: Cluster, machine: Machine, at_us: int, effect: HeartbeatEffect
) -> None:
    """Record that the attempts of a worker's former session are gone."""
    machine.last_listing = None
    machine.heartbeat_sequence = 0
    # The lease begins anew with the session, which began before this was sent. Counted from the
    # former session it would look expired while what was started since still runs.
    machine.lease_from_us = max(machine.lease_from_us, at_us)
    for attempt in cluster.release_all(machine):
        effect.lost.append((attempt, "new session"))


def _record_contact(cluster: Cluster, machine: Machine, heartbeat: Heartbeat, at_us: int) -> None:
    """Record what every message of a machine says, whatever it lists."""
    if machine.booting:
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


def _shows_nothing_new(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether the list is the last one again, as in most heartbeats."""
    return (
        machine.reconciled
        and machine.last_listing is not None
        and heartbeat.tasks == machine.last_listing
    )


class _HeartbeatReconciler:
    """Applies one heartbeat that lists something new."""

    __slots__ = (
        "_at_us",
        "_cluster",
        "_effect",
        "_heartbeat",
        "_listed",
        "_machine",
        "_seen",
        "_shows_token",
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
        self._shows_token = heartbeat.token == cluster.token
        self._was_reconciled = machine.reconciled
        #: Tasks of which the attempt on the machine is listed.
        self._seen: set[str] = set()
        #: All that is listed, by task and attempt, where something is compared with it.
        self._listed: set[tuple[str, int]] = set()

    def reconcile(self) -> None:
        """Run the steps."""
        machine = self._machine
        free_cpus, had_orphans = machine.cpus, bool(machine.orphans)
        first_token = self._shows_token and not self._was_reconciled
        compares = first_token or bool(machine.unacknowledged) or had_orphans
        if compares:
            self._listed = {(task.task, task.attempt) for task in self._heartbeat.tasks}
        if first_token:
            self._release_attempts_of_earlier_terms()
        for task in self._heartbeat.tasks:
            self._reconcile_listed(task)
        if compares:
            # Attempts that the worker no longer lists need no more commands.
            machine.unacknowledged &= self._listed
            self._cluster.remove_orphans(machine, machine.orphans - self._listed)
        if first_token:
            self._mark_reconciled()
        self._release_unlisted()
        if self._source is MessageSource.HEARTBEAT:
            machine.heartbeat_sequence = self._heartbeat.sequence
        self._effect.capacity_freed = (
            # Placement may use a machine without orphans again, and nothing else tells it.
            (had_orphans and not machine.orphans)
            or machine.cpus > free_cpus
            or (machine.reconciled and not self._was_reconciled)
        )
        if self._effect.capacity_freed:
            machine.notify_changed()
        if self._shows_token and not machine.orphans and machine.attempts.keys() <= self._seen:
            machine.last_listing = self._heartbeat.tasks

    def _release(self, attempt: Attempt, reason: str) -> None:
        self._cluster.release(attempt)
        self._effect.lost.append((attempt, reason))

    def _release_attempts_of_earlier_terms(self) -> None:
        """Release what was listed before the worker knew this term and is not any more.

        It must not hold the capacity of what is listed now.
        """
        for attempt in list(self._machine.attempts.values()):
            if (attempt.task, attempt.number) not in self._listed:
                self._release(attempt, "gone from its worker")

    def _mark_reconciled(self) -> None:
        """The worker knows this term: what runs on its machine is known from now on."""
        machine = self._machine
        machine.reconciled = True
        machine.lease_from_us = max(machine.lease_from_us, self._at_us)
        if self._source is MessageSource.COMMAND_ANSWER:
            machine.first_probe_us = self._at_us

    # -- what is listed ----------------------------------------------------------------------

    def _reconcile_listed(self, task: ReportedTask) -> None:
        known = self._machine.attempts.get(task.task)
        if known is None or known.number != task.attempt:
            if self._judge_unknown(task) is not None:
                self._seen.add(task.task)
            return
        self._seen.add(task.task)
        # Listed, so its ``run`` was executed, answered or not. Each ``run`` is sent in one direct
        # request at most, so it cannot be executed a second time.
        known.sent_directly = False
        known.unconfirmed_since_us = 0
        if known.phase is not _PHASES.get(task.state):
            self._advance(known, task)

    def _advance(self, attempt: Attempt, task: ReportedTask) -> None:
        """Record that an attempt is in another phase than before, or has ended."""
        if task.state == "ended":
            self._machine.unacknowledged.add((task.task, task.attempt))
            self._end(attempt, task)
            return
        phase = _PHASES[task.state]
        before_running = (AttemptPhase.ASSIGNED, AttemptPhase.PULLING)
        if phase is AttemptPhase.RUNNING and attempt.phase in before_running:
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
            step_us = seconds_us(job.spec.checkpoint_s)
            saved_us = ran_us if task.saved else ran_us // step_us * step_us
            job.checkpoints_us[attempt.index] = saved_us
        self._release(attempt, task.why or "no cause")
        if task.why in _OWN_FAILURES:
            self._effect.failed.append(attempt)
        elif task.why in _REFUSALS:
            retry_us = self._at_us + REFUSED_TASK_BACKOFF_US
            job.not_before_us = max(job.not_before_us, retry_us)
            log.info(
                "task refused by its worker: %s on machine %s: %s",
                attempt.task, self._machine.name, task.why,
            )  # fmt: skip

    def _complete(self, attempt: Attempt) -> None:
        job, effect = attempt.job, self._effect
        # An attempt of an earlier leader has run for longer than this one has watched it: taken
        # for its run time, that made every estimate far too short after a failover.
        watched_whole_run = not attempt.checkpointed_us and not attempt.adopted
        if attempt.running_since_us and watched_whole_run:
            effect.run_times.append((job, self._at_us - attempt.running_since_us))
        if not attempt.adopted:
            effect.verified_start_us = max(effect.verified_start_us, attempt.running_since_us)
        self._cluster.release(attempt, completed=True)
        job.checkpoints_us.pop(attempt.index, None)
        effect.completed.append(job)

    def _judge_unknown(self, task: ReportedTask) -> Attempt | None:
        """Carry out the verdict on an attempt that this leader has not started here.

        Return the attempt if it counts from now on.
        """
        key = (task.task, task.attempt)
        machine, cluster = self._machine, self._cluster
        if key in machine.unacknowledged:
            return None
        verdict = judge_attempt(cluster, machine, task)
        job, index = locate(cluster, task)
        has_to_go = job is not None and job.unwanted
        if verdict in _NEED_CURRENT_TOKEN and not self._shows_token and not has_to_go:
            # What is cancelled is stopped wherever it is: no answer renews its lease without a
            # kill.
            return None
        if key not in machine.orphans:
            self._effect.verdicts[verdict] = self._effect.verdicts.get(verdict, 0) + 1
        match verdict:
            case AttemptVerdict.FINISHED | AttemptVerdict.ENDED:
                self._acknowledge_ended(verdict, job, index, task)
                return None
            case (
                AttemptVerdict.ADOPTED
                | AttemptVerdict.CANCELLED
                | AttemptVerdict.OVER_LIMIT
                | AttemptVerdict.CROWDED
            ) if job is not None:
                # It may have been a second attempt until the first was gone.
                cluster.remove_orphans(machine, {key} & machine.orphans)
                attempt = self._adopt(job, index, task)
                if verdict is AttemptVerdict.CROWDED:
                    cluster.stop(attempt, StopRequest.HARD, self._at_us, "no room by the books")
                return attempt
        if verdict is AttemptVerdict.UNRECORDED and key not in machine.orphans:
            log.info("attempt of no recorded job: %s on machine %s", task.task, machine.name)
        # It is killed, and nothing new is placed on this machine until it is gone.
        cluster.add_orphan(machine, key, job, self._at_us)
        return None

    def _acknowledge_ended(
        self, verdict: AttemptVerdict, job: Job | None, index: int, task: ReportedTask
    ) -> None:
        """Take the end of an attempt that this leader has not started."""
        key = (task.task, task.attempt)
        self._machine.unacknowledged.add(key)
        self._cluster.remove_orphans(self._machine, {key} & self._machine.orphans)
        if job is None:
            return
        if verdict is AttemptVerdict.FINISHED:
            job.complete_waiting(index)
            self._effect.completed.append(job)
        elif task.why == "halted":
            # Preempted by an earlier leader that may have had no time to record it.
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
        if job.unwanted:
            self._cluster.stop(attempt, StopRequest.HARD, self._at_us, "cancelled")
        elif attempt.phase is AttemptPhase.SAVING:
            # An earlier leader has stopped it, so what it holds is being freed: counted as
            # running, its team could lose as much once more in the first preemption pass.
            reason = "stopped by an earlier leader"
            self._cluster.stop(attempt, StopRequest.SOFT, self._at_us, reason)
        return attempt

    # -- what is not listed ------------------------------------------------------------------

    def _release_unlisted(self) -> None:
        """Release attempts that the worker does not list and surely will not start."""
        attempts = self._machine.attempts
        if attempts.keys() <= self._seen:
            return
        for attempt in list(attempts.values()):
            may_be_on_its_way = attempt.sent_directly or attempt.unconfirmed_since_us
            if attempt.task in self._seen or may_be_on_its_way:
                continue
            if attempt.phase is AttemptPhase.ASSIGNED:
                self._release_unstarted(attempt)
            elif self._was_reconciled:
                self._release(attempt, "gone from its worker")

    def _release_unstarted(self, attempt: Attempt) -> None:
        stopped = attempt.stop_request is not StopRequest.NO
        if attempt.sent_sequence is None:
            if stopped:
                # Asked to stop while a direct request could not be connected: neither ``run``
                # nor ``kill`` would ever be sent.
                self._release(attempt, "withdrawn before it was sent")
            return
        is_next = self._heartbeat.sequence > attempt.sent_sequence
        if is_next and self._source is MessageSource.HEARTBEAT:
            # A worker has one heartbeat in flight: its next one shows that the answer to the last
            # one was either executed or dropped for good.
            attempt.sent_sequence = None
            if stopped:
                self._release(attempt, "withdrawn before it was started")
