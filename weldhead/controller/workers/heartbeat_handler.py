"""Answers workers' heartbeats and applies workers' messages to the term's state."""

import logging

from weldhead.clock import now_us
from weldhead.cluster_state.machines import Machine
from weldhead.controller.fleet.rental_manager import RentalManager
from weldhead.controller.leadership.term_recovery import TermRecovery
from weldhead.controller.requests.completions import CompletionCommitter
from weldhead.controller.term import Term
from weldhead.controller.workers.heartbeat_reconciler import (
    HeartbeatEffect,
    apply_heartbeat,
    is_newer,
)
from weldhead.controller.workers.machine_monitor import MachineMonitor
from weldhead.controller.workers.pending_commands import (
    kill_all,
    log_commands,
    pending_commands,
    pending_kills,
)
from weldhead.controller.workers.reachability_monitor import ReachabilityMonitor
from weldhead.protocol.wire import Command, Heartbeat, HeartbeatAnswer
from weldhead.reachability.freshness import Freshness, can_answer
from weldhead.reconciliation.buffered_heartbeats import BufferedHeartbeat, MessageSource

log = logging.getLogger(__name__)


class HeartbeatHandler:
    """The leader's side of the heartbeat protocol for one term."""

    def __init__(
        self,
        term: Term,
        completions: CompletionCommitter,
        rental_manager: RentalManager,
        machine_monitor: MachineMonitor,
        reachability: ReachabilityMonitor,
        recovery: TermRecovery,
    ) -> None:
        self._term = term
        self._completions = completions
        self._rental_manager = rental_manager
        self._machine_monitor = machine_monitor
        self._reachability = reachability
        self._recovery = recovery

    def handle(self, heartbeat: Heartbeat, at_us: int, *, relayed: bool) -> HeartbeatAnswer | None:
        """Handle a worker's heartbeat; None means that it must not be answered with status 200."""
        if not self._term.is_valid:
            return None
        if heartbeat.token > self._term.token:
            self._term.on_leadership_lost(f"{heartbeat.machine} sent newer token {heartbeat.token}")
            return None
        if not self._term.loaded:
            buffered = self._recovery.buffer_heartbeat(heartbeat, at_us, relayed=relayed)
            return HeartbeatAnswer(self._term.token, []) if buffered else None
        machine = self._term.cluster.machines.get(heartbeat.machine)
        if machine is None:
            self._handle_unrecorded_machine(heartbeat)
            # The answer renews the lease, so it also kills all tasks there: no job counts them.
            message = heartbeat.session, heartbeat.sequence
            return self._answer(heartbeat.machine, message, kill_all(heartbeat))
        freshness = self._reachability.freshness(machine, heartbeat)
        if machine.deleting or freshness is Freshness.OUTDATED:
            return None
        if freshness is Freshness.SUPERSEDED:
            return self._answer_superseded(machine)
        self._reachability.observe_heartbeat(machine, heartbeat, at_us, relayed=relayed)
        machine.relayed = relayed
        self.apply(machine, heartbeat, MessageSource.HEARTBEAT)
        if machine.not_receiving:
            # The heartbeat may have shown that the last answer to this machine was dropped.
            self._reachability.release_undelivered_attempts(machine)
        if not self._record_lease_renewal(machine, freshness, at_us):
            return None
        if machine.reconciled and not machine.enrolled and not machine.enrollment_pending:
            machine.enrollment_pending = True
            self._term.background_tasks.spawn("machine up", self._rental_manager.enroll(machine))
        commands = pending_commands(
            machine,
            self._completions.is_committed,
            may_start=machine.reconciled and machine.enrolled and not machine.not_receiving,
            sequence=heartbeat.sequence,
        )
        self._reachability.record_answer(machine, heartbeat, commands, at_us, relayed=relayed)
        return self._answer(machine.name, machine.newest_message, commands)

    def _answer(
        self, machine: str, message: tuple[int, int], commands: list[Command]
    ) -> HeartbeatAnswer:
        """Return an answer with commands that rest on a message (session and sequence number)."""
        log_commands("answer", self._term.token, machine, message, commands)
        return HeartbeatAnswer(self._term.token, commands)

    def _answer_superseded(self, machine: Machine) -> HeartbeatAnswer | None:
        """Answer a heartbeat that a newer message has superseded, without applying it."""
        if not can_answer(machine):
            return None
        machine.lease_start_us = max(machine.lease_start_us, machine.last_message_us)
        # Every answer that renews a lease carries the kills. Unlike a run, a kill may be repeated.
        return self._answer(machine.name, machine.newest_message, pending_kills(machine))

    def _record_lease_renewal(self, machine: Machine, freshness: Freshness, at_us: int) -> bool:
        """Record that an answer may renew the lease; return false if no answer must be sent."""
        if freshness is Freshness.FRESH:
            self._machine_monitor.record_heartbeat(machine, at_us)
            return True
        if not can_answer(machine):
            return False
        # The answer may renew the lease, although the heartbeat does not prove its machine alive.
        machine.stale_token_answers += 1
        machine.lease_start_us = max(machine.lease_start_us, at_us)
        return True

    def _handle_unrecorded_machine(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat from a machine that is not on record."""
        if self._rental_manager.is_unexpected(heartbeat):
            self._reachability.probe_unrecorded(heartbeat, self._rental_manager.adopt_unexpected)

    def handle_command_answer(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply a worker's answer to direct commands."""
        self.apply(machine, heartbeat, MessageSource.COMMAND_ANSWER)
        self._reachability.observe_answer(machine)

    def apply_buffered(self, buffered: BufferedHeartbeat) -> None:
        """Apply a message that arrived before the machine records were loaded."""
        machine = self._term.cluster.machines.get(buffered.heartbeat.machine)
        if machine is None:
            self._handle_unrecorded_machine(buffered.heartbeat)
            return
        freshness = self._reachability.freshness(machine, buffered.heartbeat)
        self.apply(machine, buffered.heartbeat, buffered.source)
        if buffered.answered_us:
            previous_lease_from_us = machine.lease_start_us
            self._record_lease_renewal(machine, freshness, buffered.answered_us)
            if buffered.source is MessageSource.COMMAND_ANSWER:
                # The worker showed this leader's token in its answer to a direct command, after the
                # leader had answered a heartbeat of the worker. The answer to the heartbeat may
                # have been lost, and the previous leader may have renewed the worker's lease in
                # between.
                machine.lease_start_us = max(machine.lease_start_us, previous_lease_from_us)
            machine.relayed = buffered.relayed
            if buffered.answered:
                self._reachability.record_answer(
                    machine, buffered.heartbeat, [], buffered.answered_us, relayed=buffered.relayed
                )

    def apply(self, machine: Machine, heartbeat: Heartbeat, source: MessageSource) -> None:
        """Apply a message unless a newer message of its machine has been seen."""
        if not is_newer(machine, heartbeat):
            return
        at_us = now_us()
        if machine.is_booting and not machine.enrolled and machine.rented_us > self._term.loaded_us:
            # The boot time is recorded only for machines that were rented in this leader's term.
            # Machines that an earlier leader rented may have booted long before this message.
            self._term.boot_history.record_boot(machine, at_us)
        had_notice = machine.interruption_us
        effect = apply_heartbeat(self._term.cluster, machine, heartbeat, at_us, source)
        self._apply_effect(machine, effect, at_us)
        if machine.interruption_us and not had_notice:
            log.info("machine %s: received a spot interruption notice", machine.name)
            self._machine_monitor.interrupted[machine.name] = machine
            self._machine_monitor.evacuate(machine, at_us)

    def _report_relisted(self, machine: Machine, effect: HeartbeatEffect) -> None:
        """Warn of attempts that run although this leader has seen them end."""
        self._term.reconciliation_counts.relisted_attempts += len(effect.relisted)
        for task in effect.relisted:
            log.warning(
                "task %s attempt %d, believed gone, is listed again by machine %s as %s: "
                "message %d/%d, fencing token %d",
                task.task, task.attempt, machine.name, task.state, *machine.newest_message,
                self._term.token,
            )  # fmt: skip

    def _apply_effect(self, machine: Machine, effect: HeartbeatEffect, at_us: int) -> None:
        self._recovery.check_known()
        if effect.verdicts:
            self._term.reconciliation_counts.attempts.update(effect.verdicts)
        if effect.completed:
            self._term.commit_wanted.set()
        for job, run_us in effect.run_times:
            self._term.estimates.observe(job, run_us)
        if effect.verified_start_us:
            self._machine_monitor.failures.record_success(machine, effect.verified_start_us)
        self._report_relisted(machine, effect)
        for attempt in effect.failed:
            self._machine_monitor.record_failure(attempt, at_us)
        for attempt, reason in effect.lost:
            log.debug(
                "attempt %d of %s lost on machine %s: %s",
                attempt.number, attempt.task, machine.name, reason,
            )  # fmt: skip
            if attempt.job.cancelled:
                self._term.commit_wanted.set()
        if not machine.attempts and (effect.lost or effect.completed):
            machine.idle_since_us = at_us
        if effect.capacity_freed or effect.lost:
            self._term.placement_wanted.set()
