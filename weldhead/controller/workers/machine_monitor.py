"""Machines that are silent, taken, faulty, or hold what must go."""

import asyncio
import logging
from collections.abc import Callable

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
from weldhead.reachability.silence import look_lost
from weldhead.reconciliation.answer_window import span_us
from weldhead.scheduling.objectives import FOR_EVER_US
from weldhead.transport.http_client import CallError

log = logging.getLogger(__name__)

#: How many silent machines are named to the other nodes at once.
SILENT_NAMED = 1_000


def _may_hold(machine: Machine) -> bool:
    """Whether anything may run on a machine that is being returned."""
    return bool(machine.attempts or machine.orphans) or not machine.reconciled


class MachineMonitor:
    """Follows the term's machines; ``on_known`` is told when one more is known or gone."""

    #: The machines that came and went since it was last asked; set once they are loaded.
    changed: ChangeFeed[Machine]

    def __init__(
        self,
        term: Term,
        dispatcher: CommandDispatcher,
        give_back: Callable[[dict[str, Machine]], None],
        on_known: Callable[[], None],
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self._return_machines = give_back
        self.on_known = on_known
        #: Machines by when they were last heard, the one that is silent longest first.
        self.by_last_heartbeat: dict[str, Machine] = {}
        #: Those that the cloud has given notice of.
        self.interrupted: dict[str, Machine] = {}
        self.failures = FailureTracker()
        #: Jobs that are tried one task at a time.
        self._on_probation: dict[str, Job] = {}

    def subscribe(self) -> None:
        """The machines on record are known."""
        self.changed = self._term.cluster.machines.feeds.subscribe()
        self.by_last_heartbeat = dict(self._term.cluster.machines)

    def record_heartbeat(self, machine: Machine, at_us: int) -> None:
        """A report of it that shows this term's token is answered."""
        machine.record_heartbeat(at_us, self._term.silence_us)
        machine.lease_from_us = at_us
        self.by_last_heartbeat.pop(machine.name, None)
        self.by_last_heartbeat[machine.name] = machine

    def silent_machines(self, at_us: int) -> tuple[str, ...]:
        """Machines that ought to have reported by now; their reports are to be relayed."""
        if not self._term.loaded:
            return ()
        limit_us = self._term.heartbeat_interval_us * 5 // 4 + SECOND_US
        return tuple(
            machine.name for machine in self.silent(at_us, limit_us, self._term.loaded_us)
            if machine.session
        )[:SILENT_NAMED]  # fmt: skip

    def silent(self, at_us: int, limit_us: int, floor_us: int) -> list[Machine]:
        """Return machines not heard for longer than that; those that boot are among them."""
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
                # All behind were heard later.
                break
        return found

    async def watch(self) -> None:
        """See leases run out, unconfirmed resolved, and machines go that must go."""
        while True:
            await asyncio.sleep(0.2)
            if not self._term.is_valid:
                continue
            if self.has_unverified_expiry(now_us()):
                await self._verify_leadership()
            at_us = now_us()
            if self.failures:
                self.review_failures(at_us)
            doomed = self.expired_or_silent(at_us, self._term.leadership_verified_us)
            doomed += self.with_overdue_stops(at_us)
            doomed += [m for m in self.interrupted.values() if self.was_interrupted(m, at_us)]
            doomed += self.never_confirmed(at_us)
            self._return_machines({m.name: m for m in doomed if not m.deleting})

    def live(self) -> list[Machine]:
        """Return the machines on which something may run and that are to stay."""
        return [m for m in self._term.cluster.machines.values() if m.enrolled and not m.deleting]

    def silent_live(self, at_us: int) -> list[Machine]:
        """Return the live machines that are silent for so long that nothing is placed there."""
        return [machine for machine in self._silent_up(at_us) if not machine.deleting]

    def _silent_up(self, at_us: int) -> list[Machine]:
        silent = self.silent(at_us, self._term.silence_us, self._term.previous_leader_until_us())
        return [machine for machine in silent if machine.enrolled]

    def has_unverified_expiry(self, at_us: int) -> bool:
        """Whether leases look over of which it is not proven that nobody renewed them.

        A leader that was replaced and does not know it hears nothing of workers that its
        successor answers: to it their leases run out, and what it started elsewhere would run
        twice. So it must have been the leader still after the lease's end; a successor that
        came later did not answer in time.
        """
        proven_us, floor_us = (
            self._term.leadership_verified_us,
            self._term.previous_leader_until_us(),
        )
        silent = [m for m in self._silent_up(at_us) if not m.deleting or _may_hold(m)]
        overs = (m.lease_expired_us(self._term.lease_us, floor_us) for m in silent)
        return any(proven_us <= over_us < at_us for over_us in overs)

    async def _verify_leadership(self) -> None:
        try:
            await self._term.state_writer.verify_leadership()
        except CallError as error:
            log.info("leases are expired, leadership not verified: %s", error)
        except LeadershipLostError:
            self._term.on_leadership_lost("the leader's key is not ours any more")

    def expired_or_silent(
        self, at_us: int, leadership_verified_us: int = FOR_EVER_US
    ) -> list[Machine]:
        """Return machines whose leases are over, or that are silent and look lost.

        ``leadership_verified_us`` is the latest moment at which surely nobody else led.
        """
        floor_us = self._term.previous_leader_until_us()
        certain_us = min(at_us, leadership_verified_us)
        silent = self._silent_to_judge(at_us, certain_us, floor_us)
        if not silent:
            return []
        limit_us = at_us - self._term.lease_us * 2 // 3
        lost = look_lost(silent, self.live())
        found = []
        for machine in silent:
            # Its heartbeats come without this term's token: it may receive again, and whether
            # it is returned is decided by its price.
            sends = (
                machine.not_receiving and at_us - machine.last_message_us <= self._term.silence_us
            )
            if certain_us > machine.lease_expired_us(self._term.lease_us, floor_us):
                self.expire(machine, keep=sends)
                if not sends:
                    found.append(machine)
            elif not sends and lost and max(machine.last_heartbeat_us, floor_us) < limit_us:
                found.append(machine)
        return found

    def _silent_to_judge(self, at_us: int, certain_us: int, floor_us: int) -> list[Machine]:
        """Return silent machines that are to stay; of the others, expire those whose lease is over.

        One that is being returned is not answered: its lease ends also where the cloud does not
        answer, and what it held waits for that.
        """
        silent = []
        for machine in self._silent_up(at_us):
            if not machine.deleting:
                silent.append(machine)
            elif _may_hold(machine):
                if certain_us > machine.lease_expired_us(self._term.lease_us, floor_us):
                    self.expire(machine)
        return silent

    def at_risk(self, at_us: int) -> list[Machine]:
        """Return machines that hear nothing, and silent ones while their leases last."""
        deaf = [m for m in self.by_last_heartbeat.values() if m.not_receiving and not m.deleting]
        silent = [machine for machine in self.silent_live(at_us) if not machine.not_receiving]
        if not silent or look_lost(silent, self.live()):
            return deaf
        return silent + deaf

    def was_interrupted(self, machine: Machine, at_us: int) -> bool:
        """Whether a notice has run out, and the machine is silent since."""
        return (
            0 < machine.interruption_us < at_us - SECOND_US
            and at_us - machine.last_heartbeat_us > self._term.heartbeat_interval_us * 2
        )

    def with_overdue_stops(self, at_us: int) -> list[Machine]:
        """Return machines on which something must be ended by deleting them."""
        cluster = self._term.cluster
        # One that is being returned is not answered: its lease has to end within ``cancel_s``
        # even if the cloud does not take it back.
        left_us = max(0, span_us(self._term.cancel_us, self._term.lease_us))
        unconfirmed_us = min(self._term.cancel_us // 4, left_us)
        stop_us = min(self._term.cancel_us // 2, left_us)
        found = [
            a
            for a in cluster.unconfirmed.values()
            if a.unconfirmed_since_us and at_us - a.unconfirmed_since_us > unconfirmed_us
        ]
        found += [
            attempt
            for attempt in cluster.stopping.values()
            if attempt.stop_request is StopRequest.HARD
            and at_us - attempt.stop_requested_us > stop_us
        ]
        machines = {a.machine: cluster.machines[a.machine] for a in found}
        return [m for m in machines.values() if m.enrolled and not m.deleting]

    def never_confirmed(self, at_us: int) -> list[Machine]:
        """Return machines of which only reports from before this term came, long ago.

        Nothing was ever started there. A copy of what one said before it was gone looks the
        same: taken for a machine that was up, it stayed on record for good.
        """
        limit_us = 2 * self._term.lease_us
        return [
            machine
            for machine in self.silent(at_us, limit_us, self._term.previous_leader_until_us())
            if machine.session
            and not (
                machine.enrolled
                or machine.enrollment_pending
                or machine.reconciled
                or machine.deleting
            )
            and at_us - machine.last_message_us > limit_us
        ]

    def expire(self, machine: Machine, *, keep: bool = False) -> None:
        """A worker's lease is surely over: all its tasks are gone.

        ``keep``: it may be used again once it shows this term's token in a new session.
        """
        if keep and machine.reconciled and not machine.attempts:
            return
        gone = self._term.cluster.release_all(machine)
        machine.expired_session = max(machine.expired_session, machine.session)
        machine.reconciled = True
        machine.draining = machine.draining or not keep
        log.info("lease of machine %s expired: %d tasks lost", machine.name, len(gone))
        self.on_known()
        for attempt in gone:
            if attempt.job.cancelled:
                self._term.commit_wanted.set()
        self._term.placement_wanted.set()

    def remove(self, machine: Machine) -> None:
        """A machine is gone for good, and everything on it."""
        for attempt in self._term.cluster.remove_machine(machine):
            if attempt.job.cancelled:
                self._term.commit_wanted.set()
        self.on_known()
        self._term.placement_wanted.set()

    def record_failure(self, attempt: Attempt, at_us: int) -> None:
        """A task failed by itself: mostly the machine's fault, sometimes the job's."""
        self.failures.record_failure(attempt, at_us)
        log.info("%s failed on %s", attempt.task, attempt.machine)

    def review_failures(self, at_us: int) -> None:
        """Judge whose fault failures are: drain faulty machines, hold back broken jobs."""
        cluster = self._term.cluster
        review = self.failures.review(cluster)
        for machine in review.faulty:
            machine.draining = True
            machine.notify_changed()
            log.info(
                "machine %s is quarantined: tasks fail on it that succeed elsewhere", machine.name
            )
        for job, standing in review.changed:
            job.broken = standing is JobHealth.BROKEN
            job.on_probation = standing is not JobHealth.SOUND
            job.notify_changed()
            log.info("%s is %s: failed %d times, on %d machines", job.id, standing.value,
                job.failures, len(job.failed_machines))  # fmt: skip
            self._on_probation[job.id] = job
        for job_id, job in list(self._on_probation.items()):
            job.stranded = job.on_probation and self.failures.is_stranded(job, cluster, at_us)
            if not job.on_probation or cluster.jobs.get(job_id) is not job:
                del self._on_probation[job_id]

    def evacuate(self, machine: Machine, at_us: int) -> None:
        """A machine will be taken: save what can be saved, leave what may still finish."""
        left_us = machine.interruption_us - at_us
        for attempt in list(machine.attempts.values()):
            saves = attempt.job.spec.checkpoint_s > 0
            if not saves and self._term.estimates.remaining_us(attempt, at_us) < left_us:
                if attempt.phase is AttemptPhase.RUNNING:
                    continue
            request_stop(
                self._term.cluster,
                attempt,
                StopRequest.SOFT if saves else StopRequest.HARD,
                at_us,
                "notice",
            )
        self._dispatcher.schedule(machine)
