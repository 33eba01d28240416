"""A leader's term: connects the term's components and starts its background tasks.

Everything in this module ends with the term. The in-memory state of the cluster changes only
between awaits, and each command checks that this node still leads when the command is sent.
"""

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from weldhead.clock import now_us, wall_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.records import FinalRecord, JobRecord
from weldhead.cluster_state.state_writer import LeadershipLostError, StateWriter
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.controller.fleet.autoscaler import Autoscaler
from weldhead.controller.fleet.rental_manager import RentalManager
from weldhead.controller.leadership.term_recovery import RecoveryParts, TermRecovery
from weldhead.controller.loop_budget import EventLoopBudget
from weldhead.controller.requests.completions import CompletionCommitter
from weldhead.controller.requests.job_dependencies import JobDependencies
from weldhead.controller.requests.job_status import JobStatusReporter
from weldhead.controller.requests.job_watcher import JobWatcher
from weldhead.controller.scheduling_loop.completion_forecaster import CompletionForecaster
from weldhead.controller.scheduling_loop.scheduling_loop import SchedulingLoop
from weldhead.controller.term import Term
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.heartbeat_handler import HeartbeatHandler
from weldhead.controller.workers.machine_monitor import MachineMonitor
from weldhead.controller.workers.reachability_monitor import ReachabilityMonitor
from weldhead.protocol.wire import Heartbeat, HeartbeatAnswer, JobStatus, MachineType
from weldhead.reconciliation.buffered_heartbeats import BufferedHeartbeat

if TYPE_CHECKING:
    from weldhead.controller.configuration.calendar_keeper import CalendarKeeper
    from weldhead.controller.configuration.gate_keeper import GateKeeper

log = logging.getLogger(__name__)

#: How long a cancellation request waits for its commit before the user has to retry it.
CANCELLATION_TIMEOUT_US = 1_500_000
#: A new leader logs which jobs with deadlines are late when it is ready, at the latest after this
#: time.
MAX_LATENESS_LOG_DELAY_S = 15.0


class NotReadyError(Exception):
    """The leader cannot decide the request yet; the client has to retry it later."""


class Leader:
    """One term of leadership: its components, and the requests that only a leader answers."""

    def __init__(self, term: Term, documents: DocumentReplica | None = None) -> None:
        self.term = term
        #: Publishes calendars and gates during the term; None if this node has no documents.
        self.publisher: DocumentPublisher | None = None
        if documents is not None:
            self.publisher = DocumentPublisher(
                documents, term.state, lambda: term.state_writer, lambda: term.is_valid
            )
        self.token = term.token
        self._background_tasks = term.background_tasks
        self._dispatcher = CommandDispatcher(
            term, self._apply_command_answer, self._record_unanswered_command
        )
        self.job_dependencies = JobDependencies(term, self._dispatcher, self.job_created)
        self.completions = CompletionCommitter(
            term,
            self._apply_job_end,
            self.job_dependencies.withdraw_with_dependents,
            self.job_dependencies.stop_tasks,
        )
        self.job_dependencies.set_completions(self.completions)
        self.loop_budget = EventLoopBudget(
            round(term.tunables.leadership.ttl_us * term.tunables.most_hold)
        )
        self.scheduling_loop = SchedulingLoop(term, self._dispatcher, self.loop_budget)
        self.rental_manager = RentalManager(term, self._remove_machine)
        self.machine_monitor = MachineMonitor(
            term, self._dispatcher, self.rental_manager.return_machines, self._check_known
        )
        #: The gates of the term; None if this node has no documents.
        self.gate_keeper: GateKeeper | None = None
        if self.publisher is not None:
            self.gate_keeper = self._create_gate_keeper(self.publisher)
            self.completions.commit_gate_end = self.gate_keeper.commit_job_end
        self.reachability = ReachabilityMonitor(
            term,
            self._dispatcher,
            self._apply_command_answer,
            self.rental_manager.return_machines,
            self.machine_monitor.silent_live_machines,
        )
        recovery_parts = RecoveryParts(
            self.completions,
            self.rental_manager,
            self.job_dependencies,
            self.machine_monitor,
            self._dispatcher,
            self.loop_budget,
            self._apply_buffered,
            self.publisher,
            self.gate_keeper,
        )
        self.recovery = TermRecovery(term, recovery_parts)
        self.heartbeats = HeartbeatHandler(
            term,
            self.completions,
            self.rental_manager,
            self.machine_monitor,
            self.reachability,
            self.recovery,
        )
        self.job_watcher = JobWatcher(term, self.job_created)
        self.scheduling_loop.partial_view = self.recovery.partial_view
        self.autoscaler = Autoscaler(
            term, self.scheduling_loop, self.rental_manager, self.machine_monitor, self.gate_keeper
        )
        self.forecaster = CompletionForecaster(
            term, self.loop_budget, self.job_dependencies.stage_us
        )
        #: The calendars of the term; None if this node has no documents.
        self.calendar_keeper: CalendarKeeper | None = None
        if self.publisher is not None:
            self.calendar_keeper = self._create_calendar_keeper(self.publisher)
            self.forecaster.late_notices = self.calendar_keeper.late_notifications
            self.forecaster.follow_clock = self.calendar_keeper.follow_clock
        if self.gate_keeper is not None:
            self.forecaster.hold_reason = self.gate_keeper.describe_blocking_gate
        self.statuses = JobStatusReporter(term, self.completions, self.forecaster, self.gate_keeper)

    def _create_gate_keeper(self, publisher: DocumentPublisher) -> "GateKeeper":
        # Only controllers that have documents load this module.
        from weldhead.controller.configuration.gate_keeper import GateKeeper

        return GateKeeper(self.term, publisher, self.job_dependencies, self._dispatcher)

    def _create_calendar_keeper(self, publisher: DocumentPublisher) -> "CalendarKeeper":
        # Only controllers that have documents load this module.
        from weldhead.controller.configuration.calendar_keeper import CalendarKeeper

        return CalendarKeeper(
            self.term, publisher, self.job_dependencies.refresh_inherited_priorities
        )

    # -- start and end of the term --------------------------------------------------

    def start(self) -> None:
        """Start the term's background tasks."""
        self._background_tasks.spawn("state writer", self._run_state_writer())
        self._background_tasks.spawn("recovery", self._recover())

    async def close(self) -> None:
        """End the term: stop its writes and its background tasks."""
        self.state_writer.close()
        await self._background_tasks.close()

    @property
    def cluster(self) -> Cluster:
        """The in-memory state of jobs, machines and resource usage."""
        return self.term.cluster

    @property
    def state_writer(self) -> StateWriter:
        """The writer of the term's changes to the state service."""
        return self.term.state_writer

    @property
    def dependency_graph(self) -> DependencyGraph:
        """The dependencies between jobs."""
        return self.term.dependency_graph

    @property
    def loaded(self) -> bool:
        """Whether the term has read its records from the state service."""
        return self.term.loaded

    @property
    def is_valid(self) -> bool:
        """Whether this node may command workers now."""
        return self.term.is_valid

    def update_catalog(self, types: list[MachineType]) -> None:
        """Replace the machine types and prices by the ones that the cloud offers now."""
        self.term.rental_offers.types = types

    async def _run_state_writer(self) -> None:
        try:
            await self.state_writer.run()
        except LeadershipLostError:
            self.term.on_leadership_lost("the leader's key is no longer its own")
        except Exception:
            # A leader whose state writer had failed used to renew its lease without writing
            # anything, which kept every other node from leading.
            log.exception("state writer failed")
            self.term.on_leadership_lost("its state writer failed")

    async def _recover(self) -> None:
        """Load the records, probe the machines, and start the term's other background tasks."""
        term, background_tasks, scheduling_loop = (
            self.term,
            self._background_tasks,
            self.scheduling_loop,
        )
        background_tasks.spawn("machine probes", self.recovery.probe_machines())
        background_tasks.spawn("safe revision", self.recovery.find_safe_revision())
        await self.recovery.load_until_done()
        self.job_watcher.revision = self.recovery.jobs_revision
        background_tasks.spawn("unsettled record", self.recovery.clear_unsettled())
        background_tasks.start("job watch", self.job_watcher.watch)
        background_tasks.start("machine watch", self.machine_monitor.watch)
        background_tasks.start("reachability", self.reachability.watch_suspects)
        background_tasks.start("job dependencies", self.job_dependencies.resolve_dependencies, 0.2)
        background_tasks.start("forecasts", self.forecaster.run)
        background_tasks.start("event loop lag", self.loop_budget.watch_lag)
        if self.publisher is not None:
            background_tasks.start("documents", self.publisher.publish_offers)
        if self.calendar_keeper is not None:
            self.calendar_keeper.start(background_tasks)
        background_tasks.spawn("lateness summary", self._log_lateness())
        if self.gate_keeper is not None:
            background_tasks.start("gates", self.gate_keeper.run)
        self.completions.start()
        self.rental_manager.start()
        term.commit_wanted.set()
        self._check_known()
        await scheduling_loop.load_backlog()
        background_tasks.start("fleet", self.autoscaler.run)
        background_tasks.start("placement", scheduling_loop.run_placement, 0.2)
        await self.recovery.finish(self._start_preemption)

    async def _log_lateness(self) -> None:
        """Log which jobs with deadlines are late, once the term is ready or after a timeout."""
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.term.became_ready.wait(), MAX_LATENESS_LOG_DELAY_S)
        self.forecaster.log_summary(now_us())

    def _start_preemption(self) -> None:
        self._background_tasks.start("preemptor", self.scheduling_loop.run_preemption)

    def _check_known(self) -> None:
        self.recovery.check_known()

    def _remove_machine(self, machine: Machine) -> None:
        self.machine_monitor.remove(machine)
        self.reachability.remove(machine)

    # -- user requests ----------------------------------------------------------------

    def job_created(self, record: JobRecord, version: int) -> None:
        """Add a job whose record has been committed, unless the term knows it already."""
        job_id = record.spec.id
        if not self.loaded or job_id in self.cluster.jobs or job_id in self.completions.finals:
            return
        job = self.recovery.add_job(record, version, now_us(), wall_us())
        self.job_dependencies.add(job)
        if not job.cancelled:
            self.job_dependencies.refresh_inherited_priorities([job])
        self.term.placement_wanted.set()

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory, or None if this leader does not know the job.

        The status is as current as the state service's.
        """
        return self.statuses.status(job_id)

    def is_service(self, job_id: str) -> bool | None:
        """Return whether an accepted job is a service; None if this leader does not know it."""
        return self.statuses.is_service(job_id)

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job and return its status, or None if the job is not known.

        Raises NotReadyError if the leader cannot decide the cancellation now.
        """
        if not self.loaded or now_us() < self.term.previous_leader_expired_us:
            raise NotReadyError
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return self.statuses.status(job_id)
        if not job.cancelled and not await self.completions.cancel(job, CANCELLATION_TIMEOUT_US):
            raise NotReadyError
        return JobStatus(job_id, "withdrawn")

    # -- worker messages --------------------------------------------------------------

    def silent_machines(self, at_us: int) -> tuple[str, ...]:
        """Return the machines whose heartbeat is overdue.

        Followers relay the heartbeats of these machines.
        """
        return self.machine_monitor.silent_machines(at_us)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, at_us: int, *, relayed: bool
    ) -> HeartbeatAnswer | None:
        """Apply a worker's heartbeat and return its answer.

        Returns None if the heartbeat must not be answered with status 200.
        """
        return self.heartbeats.handle(heartbeat, at_us, relayed=relayed)

    def _apply_command_answer(self, machine: Machine, heartbeat: Heartbeat) -> None:
        self.heartbeats.handle_command_answer(machine, heartbeat)

    def _record_unanswered_command(self, machine: Machine) -> None:
        self.reachability.observe_no_answer(machine)

    def _apply_buffered(self, buffered: BufferedHeartbeat) -> None:
        self.heartbeats.apply_buffered(buffered)

    # -- ends of jobs ---------------------------------------------------------------------------

    def _apply_job_end(self, job: Job, final: FinalRecord) -> None:
        """Discard the state of a job whose final record is committed, and update its dependents."""
        self.term.estimates.forget(job.id)
        self.cluster.forget_attempt_numbers(job.id)
        self.scheduling_loop.reclaims.trim(job.id, 0)
        self.dependency_graph.remove(job)
        self.job_dependencies.apply_job_end(job.id, final)
