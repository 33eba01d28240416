"""Watches the term's machines: silence, interruption, failures and overdue stops."""

import asyncio
import logging
from collections.abc import Callable
from functools import cache

from weldhead.clock import SECOND_US, now_us
from weldhead.cluster_state.change_feed import ChangeFeed
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.controller.term import Term
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.failure_attribution.failure_tracker import FailureTracker
from weldhead.failure_attribution.judgement import JobHealth
from weldhead.reachability.silence import are_likely_lost
from weldhead.reconciliation.answer_window import safe_answer_window_us
from weldhead.scheduling.objectives import FAR_FUTURE_US
from weldhead.transport.http_client import CallError

log = logging.getLogger(__name__)

#: The maximum number of silent machines that are listed to the other nodes at once.
MAX_SILENT_MACHINES_NAMED = 1_000


def _may_run_attempts(machine: Machine) -> bool:
    """Whether attempts may run on a machine that is being returned."""
    return bool(machine.attempts or machine.orphans) or not machine.reconciled


class MachineMonitor:
    """Watches one term's machines and decides which of them to return.

    ``on_machine_resolved`` is called after a machine's lease has expired or it was removed.
    """

    #: Machines added or removed since the last check; set when the machines are loaded.
    changed: ChangeFeed[Machine]

    def __init__(
        self,
        term: Term,
        dispatcher: CommandDispatcher,
        return_machines: Callable[[dict[str, Machine]], None],
        on_machine_resolved: Callable[[], None],
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self._return_machines = return_machines
        self.on_machine_resolved = on_machine_resolved
        #: Machines in the order of their last heartbeat, the longest silent machine first.
        self.by_last_heartbeat: dict[str, Machine] = {}
        #: Machines for which the cloud has announced an interruption.
        self.interrupted: dict[str, Machine] = {}
        self.failures = FailureTracker()
        #: Jobs that may run one task at a time until it is clear whether they are broken.
        self._on_probation: dict[str, Job] = {}

    def subscribe(self) -> None:
        """Follow the machines on record from now on; called when they have been loaded."""
        self.changed = self._term.cluster.machines.feeds.subscribe()
        self.by_last_heartbeat = dict(self._term.cluster.machines)

    def record_heartbeat(self, machine: Machine, at_us: int) -> None:
        """Record that a heartbeat with this term's token is answered, which renews the lease."""
        machine.record_heartbeat(at_us, self._term.silence_us)
        machine.lease_start_us = at_us
        self.by_last_heartbeat.pop(machine.name, None)
        self.by_last_heartbeat[machine.name] = machine

    def silent_machines(self, at_us: int) -> tuple[str, ...]:
        """Return the names of overdue machines, whose heartbeats followers are to relay."""
        if not self._term.loaded:
            return ()
        limit_us = self._term.heartbeat_interval_us * 5 // 4 + SECOND_US
        return tuple(
            machine.name for machine in self.find_silent(at_us, limit_us, self._term.loaded_us)
            if machine.session
        )[:MAX_SILENT_MACHINES_NAMED]  # fmt: skip

    def find_silent(self, at_us: int, limit_us: int, floor_us: int) -> list[Machine]:
        """Return machines without a heartbeat for more than ``limit_us``, including booting ones.

        Silence is counted from ``floor_us`` at the earliest.
        """
        for machine in self.changed.take():
            if machine.name not in self._term.cluster.machines:
                self.by_last_heartbeat.pop(machine.name, None)
                self.interrupted.pop(machine.name, None)
            elif machine.name not in self.by_last_heartbeat:
                self.by_last_heartbeat[machine.name] = machine
        found = []
        for machine in self.by_last_heartbeat.values():
            if at_us - max(machine.last_heartbeat_us, floor_us) > limit_us:
                found.append(machine)
            elif machine.last_heartbeat_us:
                # All machines behind this one in the order sent a heartbeat later.
                break
        return found

    async def watch(self) -> None:
        """Check leases, failures, overdue stops and interruptions; runs as a background task."""
        while True:
            await asyncio.sleep(0.2)
            if not self._term.is_valid:
                continue
            if self.has_unverified_expiry(now_us()):
                await self._verify_leadership()
            at_us = now_us()
            if self.failures:
                self.review_failures(at_us)
            to_return = self.expire_leases_and_find_lost(at_us, self._term.leadership_verified_us)
            to_return += self.machines_with_overdue_stops(at_us)
            to_return += [
                machine
                for machine in self.interrupted.values()
                if self.was_interrupted(machine, at_us)
            ]
            to_return += self.machines_never_confirmed(at_us)
            self._return_machines(
                {machine.name: machine for machine in to_return if not machine.deleting}
            )

    def live_machines(self) -> list[Machine]:
        """Return the enrolled machines that are not being deleted."""
        return [
            machine
            for machine in self._term.cluster.machines.values()
            if machine.enrolled and not machine.deleting
        ]

    def silent_live_machines(self, at_us: int) -> list[Machine]:
        """Return the live machines that are silent for too long to be used for placement."""
        return [machine for machine in self._silent_enrolled(at_us) if not machine.deleting]

    def _silent_enrolled(self, at_us: int) -> list[Machine]:
        silent = self.find_silent(
            at_us, self._term.silence_us, self._term.previous_leader_until_us()
        )
        return [machine for machine in silent if machine.enrolled]

    def has_unverified_expiry(self, at_us: int) -> bool:
        """Whether a lease looks expired although another leader may have renewed it.

        A leader that has been replaced without knowing it receives no heartbeats from workers that
        its successor answers. Their leases seem to expire, and the tasks that it starts elsewhere
        would run twice. A lease counts as expired only if this leader still led after its end; a
        successor elected later did not answer in time to renew it.
        """
        verified_us, floor_us = (
            self._term.leadership_verified_us,
            self._term.previous_leader_until_us(),
        )
        silent = [
            machine
            for machine in self._silent_enrolled(at_us)
            if not machine.deleting or _may_run_attempts(machine)
        ]
        expiries_us = (
            machine.lease_expired_us(self._term.lease_us, floor_us) for machine in silent
        )
        return any(verified_us <= expired_us < at_us for expired_us in expiries_us)

    async def _verify_leadership(self) -> None:
        try:
            await self._term.state_writer.verify_leadership()
        except CallError as error:
            log.info("leases look expired, but leadership could not be verified: %s", error)
        except LeadershipLostError:
            self._term.on_leadership_lost("the leader key no longer belongs to this node")

    def expire_leases_and_find_lost(
        self, at_us: int, leadership_verified_us: int = FAR_FUTURE_US
    ) -> list[Machine]:
        """Expire leases that are certainly over; return their machines and those likely lost.

        ``leadership_verified_us`` is the latest time at which certainly no other node led.
        """
        floor_us = self._term.previous_leader_until_us()
        verified_until_us = min(at_us, leadership_verified_us)
        silent = self._expire_deleting_and_find_silent(at_us, verified_until_us, floor_us)
        if not silent:
            return []
        limit_us = at_us - self._term.lease_us * 2 // 3
        lost = are_likely_lost(silent, self.live_machines())
        found = []
        for machine in silent:
            # Such a machine sends heartbeats without this term's token. It may become reachable
            # again, so whether it is returned depends on its price.
            sends_heartbeats = (
                machine.not_receiving and at_us - machine.last_message_us <= self._term.silence_us
            )
            if verified_until_us > machine.lease_expired_us(self._term.lease_us, floor_us):
                self.expire(machine, may_return=sends_heartbeats)
                if not sends_heartbeats:
                    found.append(machine)
            elif (
                not sends_heartbeats
                and lost
                and max(machine.last_heartbeat_us, floor_us) < limit_us
            ):
                found.append(machine)
        return found

    def _expire_deleting_and_find_silent(
        self, at_us: int, verified_until_us: int, floor_us: int
    ) -> list[Machine]:
        """Expire the leases of machines being deleted; return the other silent machines.

        Heartbeats of a machine that is being deleted are not answered, so its lease expires even if
        the cloud does not answer. Its attempts count until then.
        """
        silent = []
        for machine in self._silent_enrolled(at_us):
            if not machine.deleting:
                silent.append(machine)
            elif _may_run_attempts(machine):
                if verified_until_us > machine.lease_expired_us(self._term.lease_us, floor_us):
                    self.expire(machine)
        return silent

    def machines_at_risk(self, at_us: int) -> list[Machine]:
        """Return unreachable machines, and silent ones whose leases have not expired."""
        unreachable = [
            machine
            for machine in self.by_last_heartbeat.values()
            if machine.not_receiving and not machine.deleting
        ]
        silent = [
            machine for machine in self.silent_live_machines(at_us) if not machine.not_receiving
        ]
        if not silent or are_likely_lost(silent, self.live_machines()):
            return unreachable
        return silent + unreachable

    def was_interrupted(self, machine: Machine, at_us: int) -> bool:
        """Whether a machine's interruption notice has run out and it has been silent since."""
        return (
            0 < machine.interruption_us < at_us - SECOND_US
            and at_us - machine.last_heartbeat_us > self._term.heartbeat_interval_us * 2
        )

    def machines_with_overdue_stops(self, at_us: int) -> list[Machine]:
        """Return machines to delete because a stop or an unconfirmed start on them is overdue."""
        cluster = self._term.cluster
        # A machine that is being deleted is not answered: its lease has to end within ``cancel_s``
        # even if the cloud does not delete it.
        time_left_us = max(0, safe_answer_window_us(self._term.cancel_us, self._term.lease_us))
        unconfirmed_limit_us = min(self._term.cancel_us // 4, time_left_us)
        stop_limit_us = min(self._term.cancel_us // 2, time_left_us)
        found = [
            attempt
            for attempt in cluster.unconfirmed.values()
            if attempt.unconfirmed_since_us
            and at_us - attempt.unconfirmed_since_us > unconfirmed_limit_us
        ]
        found += [
            attempt
            for attempt in cluster.stopping.values()
            if attempt.stop_request is StopRequest.HARD
            and at_us - attempt.stop_requested_us > stop_limit_us
        ]
        machines = {attempt.machine: cluster.machines[attempt.machine] for attempt in found}
        return [
            machine for machine in machines.values() if machine.enrolled and not machine.deleting
        ]

    def machines_never_confirmed(self, at_us: int) -> list[Machine]:
        """Return machines that sent only heartbeats with old tokens, and none for a long time.

        Nothing was ever started on them. A copied heartbeat of a deleted machine looks the same:
        counted as a machine that is up, it would stay on record for ever.
        """
        limit_us = 2 * self._term.lease_us
        return [
            machine
            for machine in self.find_silent(at_us, limit_us, self._term.previous_leader_until_us())
            if machine.session
            and not (
                machine.enrolled
                or machine.enrollment_pending
                or machine.reconciled
                or machine.deleting
            )
            and at_us - machine.last_message_us > limit_us
        ]

    def expire(self, machine: Machine, *, may_return: bool = False) -> None:
        """Record that a worker's lease has expired, so that all its tasks have ended.

        ``may_return``: the machine may be used again once a new session shows this term's token.
        """
        if may_return and machine.reconciled and not machine.attempts:
            return
        lost_attempts = self._term.cluster.release_all(machine)
        machine.expired_session = max(machine.expired_session, machine.session)
        machine.reconciled = True
        machine.draining = machine.draining or not may_return
        log.info("lease of machine %s expired: %d tasks lost", machine.name, len(lost_attempts))
        self.on_machine_resolved()
        for attempt in lost_attempts:
            if attempt.job.cancelled:
                self._term.commit_wanted.set()
        self._term.placement_wanted.set()

    def remove(self, machine: Machine) -> None:
        """Remove a machine that no longer exists, and all attempts on it."""
        for attempt in self._term.cluster.remove_machine(machine):
            if attempt.job.cancelled:
                self._term.commit_wanted.set()
        self.on_machine_resolved()
        self._term.placement_wanted.set()

    def record_failure(self, attempt: Attempt, at_us: int) -> None:
        """Record that a task failed by itself: usually a machine fault, sometimes a job fault."""
        self.failures.record_failure(attempt, at_us)
        log.info("task %s failed on machine %s", attempt.task, attempt.machine)

    def review_failures(self, at_us: int) -> None:
        """Attribute failures: drain faulty machines, and hold back broken jobs."""
        cluster = self._term.cluster
        review = self.failures.review(cluster)
        for machine in review.faulty_machines:
            machine.draining = True
            machine.notify_changed()
            log.info(
                "machine %s quarantined: tasks that failed on it succeed elsewhere", machine.name
            )
        for job, health in review.changed_jobs:
            job.fails_everywhere = health is JobHealth.FAULTY
            job.on_probation = health is not JobHealth.HEALTHY
            job.notify_changed()
            log.info("job %s is %s: failed %d times, on %d machines", job.id, health.value,
                job.failures, len(job.failed_machines))  # fmt: skip
            self._on_probation[job.id] = job
        # Added up once a review, and only if a job needs it.
        held_by_services = cache(cluster.amounts_held_by_services)
        for job_id, job in list(self._on_probation.items()):
            stranded = job.on_probation and self.failures.is_stranded(
                job, cluster, at_us, held_by_services
            )
            if stranded and not job.stranded:
                self.failures.await_other_machine(job, at_us)
                log.info("job %s needs a machine on which it has not failed", job.id)
            job.stranded = stranded
            if not job.on_probation or cluster.jobs.get(job_id) is not job:
                del self._on_probation[job_id]

    def evacuate(self, machine: Machine, at_us: int) -> None:
        """Stop the attempts on an interrupted machine, except those that can finish in time.

        Attempts with checkpoints are stopped softly, so that they can save their state.
        """
        time_left_us = machine.interruption_us - at_us
        for attempt in list(machine.attempts.values()):
            can_save = attempt.job.spec.checkpoint_s > 0
            if not can_save and self._term.estimates.remaining_us(attempt, at_us) < time_left_us:
                if attempt.phase is AttemptPhase.RUNNING:
                    continue
            request_stop(
                self._term.cluster,
                attempt,
                StopRequest.SOFT if can_save else StopRequest.HARD,
                at_us,
                "interruption notice",
            )
        self._dispatcher.schedule(machine)
