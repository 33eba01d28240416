"""A leader's term: what users and workers are answered, and who does the rest.

Everything here ends with the term. The models are changed only between awaits, and every
command checks the authority to lead at the moment it is sent.
"""

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from weldhead.calendars.formatting import utc
from weldhead.calendars.lateness import DeadlineStanding
from weldhead.clock import SECOND_US, now_us, to_seconds, wall_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.records import JOBS, FinalRecord, JobRecord
from weldhead.cluster_state.state_writer import LeadershipLostError, StateWriter
from weldhead.controller.configuration.publisher import DocumentPublisher, DocumentReplica
from weldhead.controller.fleet.autoscaler import Autoscaler
from weldhead.controller.fleet.rental_manager import RentalManager
from weldhead.controller.leadership.term_recovery import TermRecovery
from weldhead.controller.loop_budget import EventLoopBudget
from weldhead.controller.requests.completions import Completions
from weldhead.controller.requests.job_dependencies import JobDependencies
from weldhead.controller.scheduling_loop.completion_forecaster import CompletionForecaster
from weldhead.controller.scheduling_loop.scheduling_loop import SchedulingLoop
from weldhead.controller.term import Term, batches
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.heartbeat_reconciler import (
    HeartbeatEffect,
    apply_report,
    is_newer,
    kill_all,
    pending_commands,
    pending_kills,
)
from weldhead.controller.workers.machine_monitor import MachineMonitor
from weldhead.controller.workers.reachability_monitor import ReachabilityMonitor
from weldhead.protocol.wire import Heartbeat, HeartbeatAnswer, JobStatus, MachineType
from weldhead.reachability.freshness import Freshness
from weldhead.reconciliation.buffered_heartbeats import BufferedHeartbeat
from weldhead.scheduling.forecast.completion_times import due_us
from weldhead.transport.state_client import RevisionCompactedError, decode

if TYPE_CHECKING:
    from weldhead.controller.configuration.calendars import CalendarKeeper
    from weldhead.controller.configuration.gates import GateKeeper

log = logging.getLogger(__name__)

#: How long a user waits for a cancellation before being told to ask again.
CANCEL_WAIT_US = 1_500_000
#: How long a new leader waits for its machines before it says how bound jobs stand.
ACCOUNT_S = 15.0


class NotReadyError(Exception):
    """The leader cannot answer this yet; ask again later."""


class Leader:
    """One term of leadership."""

    def __init__(self, term: Term, documents: DocumentReplica | None = None) -> None:
        self.term = term
        #: The term's part in calendars and gates; None: this node is given none.
        self.publisher: DocumentPublisher | None = None
        if documents is not None:
            self.publisher = DocumentPublisher(
                documents, term.state, lambda: term.ledger, lambda: term.valid
            )
        self.token = term.token
        self._duties = term.duties
        self._dispatcher = CommandDispatcher(term, self._answered, self._unanswered)
        self.linking = JobDependencies(term, self._dispatcher, self.job_created)
        self.completions = Completions(
            term, self._ended, self.linking.withdraw_with_followers, self.linking.stop_tasks
        )
        self.linking.start(self.completions)
        self.pacer = EventLoopBudget(
            round(term.tunables.leadership.ttl_us * term.tunables.most_hold)
        )
        self.deciding = SchedulingLoop(term, self._dispatcher, self.pacer)
        self.rentals = RentalManager(term, self._gone)
        self.watch = MachineMonitor(term, self._dispatcher, self.rentals.delete, self._check_known)
        #: The term's gates; None: this node is given no documents.
        self.gates: GateKeeper | None = None
        if self.publisher is not None:
            self.gates = self._open_gates(self.publisher)
            self.completions.with_gate = self.gates.commit_end
        self.reachability = ReachabilityMonitor(
            term, self._dispatcher, self._answered, self.rentals.delete, self.watch.silent_live
        )
        self.recovery = TermRecovery(
            term, self.completions, self.rentals, self.linking, self.watch, self._dispatcher,
            self.pacer, self._apply_early, self.publisher, self.gates,
        )  # fmt: skip
        self.deciding.partial = self.recovery.partial
        self.sizing = Autoscaler(term, self.deciding, self.rentals, self.watch, self.gates)
        self.look_ahead = CompletionForecaster(term, self.pacer, self.linking.stage_us)
        #: The term's calendars; None: this node is given no documents.
        self.calendars: CalendarKeeper | None = None
        if self.publisher is not None:
            self.calendars = self._open_calendars(self.publisher)
            self.look_ahead.notes = self.calendars.notes
            self.look_ahead.keep_time = self.calendars.keep_time
        if self.gates is not None:
            self.look_ahead.held = self.gates.why

    def _open_gates(self, publisher: DocumentPublisher) -> "GateKeeper":
        # Loaded by controllers that are given documents only.
        from weldhead.controller.configuration.gates import GateKeeper

        return GateKeeper(self.term, publisher, self.linking, self._dispatcher)

    def _open_calendars(self, publisher: DocumentPublisher) -> "CalendarKeeper":
        # Loaded by controllers that are given documents only.
        from weldhead.controller.configuration.calendars import CalendarKeeper

        return CalendarKeeper(self.term, publisher, self.linking.refresh)

    # -- the term's life ------------------------------------------------------------

    def start(self) -> None:
        """Begin the term's duties."""
        self._duties.once("ledger", self._run_ledger())
        self._duties.once("recovery", self._recover())

    async def close(self) -> None:
        """End the term."""
        self.ledger.close()
        await self._duties.close()

    @property
    def cluster(self) -> Cluster:
        """The picture of jobs, machines and usage."""
        return self.term.cluster

    @property
    def ledger(self) -> StateWriter:
        """The term's writes."""
        return self.term.ledger

    @property
    def chains(self) -> DependencyGraph:
        """Which jobs wait for which."""
        return self.term.chains

    @property
    def loaded(self) -> bool:
        """Whether the store has been read."""
        return self.term.loaded

    @property
    def valid(self) -> bool:
        """Whether this node may command now."""
        return self.term.valid

    def new_catalog(self, types: list[MachineType]) -> None:
        """Take up the machine types and prices that the cloud states now."""
        self.term.market.types = types

    async def _run_ledger(self) -> None:
        try:
            await self.ledger.run()
        except LeadershipLostError:
            self.term.on_deposed("the leader's key is not ours any more")
        except Exception:
            # It kept its lease without writing anything more, and nobody else could lead.
            log.exception("the ledger failed")
            self.term.on_deposed("its writes have failed")

    async def _recover(self) -> None:
        """Read everything, learn what runs where, then start the other duties."""
        term, duties, deciding = self.term, self._duties, self.deciding
        duties.once("questions", self.recovery.ask())
        duties.once("safe revision", self.recovery.learn_safe())
        await self.recovery.load_until_done()
        duties.once("settling", self.recovery.settle())
        duties.start("job watch", self._watch_jobs)
        duties.start("machine watch", self.watch.watch)
        duties.start("reachability", self.reachability.attend)
        duties.start("needed jobs", self.linking.learn_needs, 0.2)
        duties.start("forecasts", self.look_ahead.forecast)
        duties.start("loop watch", self.pacer.watch)
        if self.publisher is not None:
            duties.start("documents", self.publisher.publish)
        if self.calendars is not None:
            self.calendars.start(duties)
        duties.once("account", self._say_account())
        if self.gates is not None:
            duties.start("gates", self.gates.run)
        self.completions.start()
        self.rentals.start()
        term.flush.set()
        self._check_known()
        await deciding.fill_scene()
        duties.start("fleet", self.sizing.size_fleet)
        duties.start("placement", deciding.place_tasks, 0.2)
        await self.recovery.finish(self._start_preempting)

    async def _say_account(self) -> None:
        """Say how bound jobs stand, as soon as it is known what runs where, or late enough."""
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.term.became_ready.wait(), ACCOUNT_S)
        self.look_ahead.say_account(now_us())

    def _start_preempting(self) -> None:
        self._duties.start("preemptor", self.deciding.preempt)

    def _check_known(self) -> None:
        self.recovery.check_known()

    def _gone(self, machine: Machine) -> None:
        self.watch.gone(machine)
        self.reachability.gone(machine)

    # -- users ------------------------------------------------------------------------

    def job_created(self, record: JobRecord, version: int) -> None:
        """Take up a job that has been committed."""
        job_id = record.spec.id
        if not self.loaded or job_id in self.cluster.jobs or job_id in self.completions.finals:
            return
        job = self.recovery.add_job(record, version, now_us(), wall_us())
        self.linking.link(job)
        if not job.cancelled:
            self.linking.refresh([job])
        self.term.place.set()

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory, as new as the store's; None: not known here."""
        if not self.loaded or not self.valid:
            return None
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            # What only the store knows could have withdrawn it, and have been told so.
            return self._status_of(job) if self.chains.settled(job) else None
        final = self.completions.finals.get(job_id)
        if final is not None:
            return JobStatus(job_id, final.status, final.done, 0)
        return None

    def is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None: not known here."""
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            return job.spec.is_service
        final = self.completions.finals.get(job_id)
        return final.service if final is not None else None

    def _status_of(self, job: Job) -> JobStatus:
        answer = JobStatus(job.id, job.status, job.done, job.running)
        if not job.cancelled:
            self.look_ahead.tell(job)
            answer.due_at = utc(job.bound.due_us) if job.bound is not None else None
        if self.gates is not None:
            answer.held_by = self.gates.held_by(job)
        if job.cancelled or job.forecast_us is None:
            return answer
        answer.forecast_s = round(to_seconds(job.forecast_us - job.first_seen_us), 1)
        due = due_us(job)
        stands = self.look_ahead.standing(job, now_us()) if job.bound is not None else None
        if stands is DeadlineStanding.UNKNOWN:
            # Nothing is guessed of a job of no history.
            return answer
        if due is not None:
            answer.late = job.forecast_us > due or stands is DeadlineStanding.LATE
            if job.forecast_us > due:
                answer.late_by_s = round(to_seconds(job.forecast_us - due), 1)
        return answer

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job; None if it is not known. NotReady if it cannot be decided now."""
        if not self.loaded or now_us() < self.term.predecessor_over_us:
            raise NotReadyError
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return self.status(job_id)
        if not job.cancelled and not await self.completions.cancel(job, CANCEL_WAIT_US):
            raise NotReadyError
        return JobStatus(job_id, "withdrawn")

    # -- workers ----------------------------------------------------------------------

    def silent_machines(self, at_us: int) -> tuple[str, ...]:
        """Machines that ought to have reported by now; their reports are to be relayed."""
        return self.watch.silent_machines(at_us)

    def report(self, report: Heartbeat, at_us: int, *, relayed: bool) -> HeartbeatAnswer | None:
        """Handle a worker's report; None: it must not be answered 200."""
        if not self.valid:
            return None
        if report.token > self.token:
            self.term.on_deposed(f"{report.machine} has seen token {report.token}")
            return None
        if not self.loaded:
            kept = self.recovery.answer_early(report, at_us, relayed=relayed)
            return HeartbeatAnswer(self.token, []) if kept else None
        machine = self.cluster.machines.get(report.machine)
        if machine is None:
            self._stranger(report)
            # The answer renews a lease, and what runs there counts for nobody: it has to go.
            return HeartbeatAnswer(self.token, kill_all(report))
        freshness = self.reachability.freshness(machine, report)
        if machine.deleting or freshness is Freshness.COPY:
            return None
        if freshness is Freshness.OVERTAKEN:
            if not self.reachability.answerable(machine):
                return None
            machine.lease_from_us = max(machine.lease_from_us, machine.seen_us)
            # No answer renews a lease without the kills: a run may not be repeated, they may.
            return HeartbeatAnswer(self.token, pending_kills(machine))
        self.reachability.listen(machine, report, at_us, relayed=relayed)
        machine.relayed = relayed
        self._apply(machine, report, direct=False)
        if machine.deaf:
            # The report may have shown that what it was sent last was dropped.
            self.reachability.withdraw(machine)
        if not self._count_answer(machine, freshness, at_us):
            return None
        if machine.synced and not machine.up and not machine.up_pending:
            machine.up_pending = True
            self._duties.once("machine up", self.rentals.mark_up(machine))
        commands = pending_commands(
            machine,
            self.completions.is_committed,
            may_start=machine.synced and machine.up and not machine.deaf,
            sequence=report.sequence,
        )
        self.reachability.record_answer(machine, report, commands, at_us, relayed=relayed)
        return HeartbeatAnswer(self.token, commands)

    def _count_answer(self, machine: Machine, freshness: Freshness, at_us: int) -> bool:
        """Enter that a report is about to be answered; false: it must not be."""
        if freshness is Freshness.FRESH:
            self.watch.hear(machine, at_us)
            return True
        if not self.reachability.answerable(machine):
            return False
        # The answer may renew a lease; that its machine lives is not shown by it.
        machine.unshown += 1
        machine.lease_from_us = max(machine.lease_from_us, at_us)
        return True

    def _stranger(self, report: Heartbeat) -> None:
        """A report of a machine that no record names."""
        if self.rentals.is_unexpected(report):
            self.reachability.meet(report, self.rentals.unexpected)

    def _answered(self, machine: Machine, report: Heartbeat) -> None:
        """Take a worker's answer to direct commands."""
        self._apply(machine, report, direct=True)
        self.reachability.answered(machine)

    def _unanswered(self, machine: Machine) -> None:
        """A worker did not answer direct commands."""
        self.reachability.unanswered(machine)

    def _apply_early(self, early: BufferedHeartbeat) -> None:
        """Take what a machine said before its records were loaded."""
        machine = self.cluster.machines.get(early.report.machine)
        if machine is None:
            self._stranger(early.report)
            return
        freshness = self.reachability.freshness(machine, early.report)
        self._apply(machine, early.report, direct=early.direct)
        if early.answered_us:
            from_us = machine.lease_from_us
            self._count_answer(machine, freshness, early.answered_us)
            if early.direct:
                # It showed the token after that answer, which may have been lost: the leader
                # before may have renewed its lease in between.
                machine.lease_from_us = max(machine.lease_from_us, from_us)
            machine.relayed = early.relayed
            if early.answered:
                self.reachability.record_answer(
                    machine, early.report, [], early.answered_us, relayed=early.relayed
                )

    def _apply(self, machine: Machine, report: Heartbeat, *, direct: bool) -> None:
        if not is_newer(machine, report):
            return
        at_us = now_us()
        if machine.booting and not machine.up and machine.hired_us > self.term.loaded_us:
            # Those of earlier terms may have come up long ago.
            self.term.boots.came(machine, at_us)
        had_notice = machine.notice_until_us
        outcome = apply_report(self.cluster, machine, report, at_us, direct=direct)
        self._digest(machine, outcome, at_us)
        if machine.notice_until_us and not had_notice:
            log.info("machine %s will be taken back", machine.name)
            self.watch.noticed[machine.name] = machine
            self.watch.evacuate(machine, at_us)

    def _digest(self, machine: Machine, outcome: HeartbeatEffect, at_us: int) -> None:
        self._check_known()
        if outcome.verdicts:
            self.term.tally.tasks.update(outcome.verdicts)
        if outcome.completed:
            self.term.flush.set()
        for job, run_us in outcome.run_times:
            self.term.estimates.observe(job, run_us)
        if outcome.proven_us:
            self.watch.failures.succeeded(machine, outcome.proven_us)
        for attempt in outcome.failed:
            self.watch.failed(attempt, at_us)
        for attempt, reason in outcome.lost:
            log.debug(
                "%s attempt %d left %s: %s", attempt.task, attempt.number, machine.name, reason
            )
            if attempt.job.cancelled:
                self.term.flush.set()
        if not machine.attempts and (outcome.lost or outcome.completed):
            machine.idle_since_us = at_us
        if outcome.room or outcome.lost:
            self.term.place.set()

    # -- duties -------------------------------------------------------------------------

    async def _watch_jobs(self) -> None:
        while True:
            try:
                changes = await self.term.state.watch(
                    JOBS, self.recovery.jobs_revision, 10 * SECOND_US
                )
            except RevisionCompactedError:
                async for entries, revision in self.term.state.pages(JOBS):  # noqa: B007
                    for part in batches(entries):
                        for entry in part:
                            record = decode(bytes(entry.value), JobRecord)
                            self.job_created(record, entry.version)
                        await asyncio.sleep(0)
                self.recovery.jobs_revision = revision
                continue
            for event in changes.events:
                if event.put is not None:
                    record = decode(bytes(event.value), JobRecord)
                    if not record.cancelled:
                        self.job_created(record, event.version)
            self.recovery.jobs_revision = max(self.recovery.jobs_revision, changes.revision)

    def _ended(self, job: Job, final: FinalRecord) -> None:
        """A job is over, and that is committed."""
        self.term.estimates.forget(job.id)
        self.cluster.forget_starts(job.id)
        self.deciding.reclaims.trim(job.id, 0)
        self.chains.remove(job)
        self.linking.over(job.id, final)
