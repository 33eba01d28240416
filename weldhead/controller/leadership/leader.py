"""A leader's term: what users and workers are answered, and who does the rest.

Everything here ends with the term. The models are changed only between awaits, and every
command checks the authority to lead at the moment it is sent.
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
from weldhead.controller.requests.completions import Completions
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
                documents, term.state, lambda: term.state_writer, lambda: term.valid
            )
        self.token = term.token
        self._background_tasks = term.background_tasks
        self._dispatcher = CommandDispatcher(term, self._answered, self._unanswered)
        self.job_dependencies = JobDependencies(term, self._dispatcher, self.job_created)
        self.completions = Completions(
            term,
            self._ended,
            self.job_dependencies.withdraw_with_dependents,
            self.job_dependencies.stop_tasks,
        )
        self.job_dependencies.start(self.completions)
        self.loop_budget = EventLoopBudget(
            round(term.tunables.leadership.ttl_us * term.tunables.most_hold)
        )
        self.scheduling_loop = SchedulingLoop(term, self._dispatcher, self.loop_budget)
        self.rental_manager = RentalManager(term, self._machine_gone)
        self.machine_monitor = MachineMonitor(
            term, self._dispatcher, self.rental_manager.return_machines, self._check_known
        )
        #: The term's gates; None: this node is given no documents.
        self.gate_keeper: GateKeeper | None = None
        if self.publisher is not None:
            self.gate_keeper = self._open_gates(self.publisher)
            self.completions.commit_gate_end = self.gate_keeper.commit_job_end
        self.reachability = ReachabilityMonitor(
            term,
            self._dispatcher,
            self._answered,
            self.rental_manager.return_machines,
            self.machine_monitor.silent_live_machines,
        )
        parts = RecoveryParts(
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
        self.recovery = TermRecovery(term, parts)
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
        #: The term's calendars; None: this node is given no documents.
        self.calendar_keeper: CalendarKeeper | None = None
        if self.publisher is not None:
            self.calendar_keeper = self._open_calendars(self.publisher)
            self.forecaster.late_notices = self.calendar_keeper.late_notifications
            self.forecaster.follow_clock = self.calendar_keeper.follow_clock
        if self.gate_keeper is not None:
            self.forecaster.hold_reason = self.gate_keeper.describe_blocking_gate
        self.statuses = JobStatusReporter(term, self.completions, self.forecaster, self.gate_keeper)

    def _open_gates(self, publisher: DocumentPublisher) -> "GateKeeper":
        # Loaded by controllers that are given documents only.
        from weldhead.controller.configuration.gate_keeper import GateKeeper

        return GateKeeper(self.term, publisher, self.job_dependencies, self._dispatcher)

    def _open_calendars(self, publisher: DocumentPublisher) -> "CalendarKeeper":
        # Loaded by controllers that are given documents only.
        from weldhead.controller.configuration.calendar_keeper import CalendarKeeper

        return CalendarKeeper(self.term, publisher, self.job_dependencies.refresh_inherited)

    # -- the term's life ------------------------------------------------------------

    def start(self) -> None:
        """Begin the term's background tasks."""
        self._background_tasks.spawn("ledger", self._run_state_writer())
        self._background_tasks.spawn("recovery", self._recover())

    async def close(self) -> None:
        """End the term."""
        self.state_writer.close()
        await self._background_tasks.close()

    @property
    def cluster(self) -> Cluster:
        """The picture of jobs, machines and usage."""
        return self.term.cluster

    @property
    def state_writer(self) -> StateWriter:
        """The term's writes."""
        return self.term.state_writer

    @property
    def dependency_graph(self) -> DependencyGraph:
        """Which jobs wait for which."""
        return self.term.dependency_graph

    @property
    def loaded(self) -> bool:
        """Whether the store has been read."""
        return self.term.loaded

    @property
    def valid(self) -> bool:
        """Whether this node may command now."""
        return self.term.valid

    def update_catalog(self, types: list[MachineType]) -> None:
        """Take up the machine types and prices that the cloud states now."""
        self.term.rental_offers.types = types

    async def _run_state_writer(self) -> None:
        try:
            await self.state_writer.run()
        except LeadershipLostError:
            self.term.on_leadership_lost("the leader's key is not ours any more")
        except Exception:
            # It kept its lease without writing anything more, and nobody else could lead.
            log.exception("state writer failed")
            self.term.on_leadership_lost("its writes have failed")

    async def _recover(self) -> None:
        """Read everything, learn what runs where, then start the other background tasks."""
        term, background_tasks, scheduling_loop = (
            self.term,
            self._background_tasks,
            self.scheduling_loop,
        )
        background_tasks.spawn("questions", self.recovery.probe_machines())
        background_tasks.spawn("safe revision", self.recovery.find_safe_revision())
        await self.recovery.load_until_done()
        self.job_watcher.revision = self.recovery.jobs_revision
        background_tasks.spawn("settling", self.recovery.clear_unsettled())
        background_tasks.start("job watch", self.job_watcher.watch)
        background_tasks.start("machine watch", self.machine_monitor.watch)
        background_tasks.start("reachability", self.reachability.watch_suspects)
        background_tasks.start("needed jobs", self.job_dependencies.resolve_dependencies, 0.2)
        background_tasks.start("forecasts", self.forecaster.run)
        background_tasks.start("loop watch", self.loop_budget.watch_lag)
        if self.publisher is not None:
            background_tasks.start("documents", self.publisher.publish_offers)
        if self.calendar_keeper is not None:
            self.calendar_keeper.start(background_tasks)
        background_tasks.spawn("account", self._log_lateness())
        if self.gate_keeper is not None:
            background_tasks.start("gates", self.gate_keeper.run)
        self.completions.start()
        self.rental_manager.start()
        term.commit_wanted.set()
        self._check_known()
        await scheduling_loop.load_backlog()
        background_tasks.start("fleet", self.autoscaler.run)
        background_tasks.start("placement", scheduling_loop.run_placement, 0.2)
        await self.recovery.finish(self._start_preempting)

    async def _log_lateness(self) -> None:
        """Say how bound jobs stand, as soon as it is known what runs where, or late enough."""
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.term.became_ready.wait(), ACCOUNT_S)
        self.forecaster.log_summary(now_us())

    def _start_preempting(self) -> None:
        self._background_tasks.start("preemptor", self.scheduling_loop.run_preemption)

    def _check_known(self) -> None:
        self.recovery.check_known()

    def _machine_gone(self, machine: Machine) -> None:
        self.machine_monitor.remove(machine)
        self.reachability.remove(machine)

    # -- users ------------------------------------------------------------------------

    def job_created(self, record: JobRecord, version: int) -> None:
        """Take up a job that has been committed."""
        job_id = record.spec.id
        if not self.loaded or job_id in self.cluster.jobs or job_id in self.completions.finals:
            return
        job = self.recovery.add_job(record, version, now_us(), wall_us())
        self.job_dependencies.add(job)
        if not job.cancelled:
            self.job_dependencies.refresh_inherited([job])
        self.term.placement_wanted.set()

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory, as new as the store's; None: not known here."""
        return self.statuses.status(job_id)

    def is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None: not known here."""
        return self.statuses.is_service(job_id)

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job; None if it is not known. NotReadyError if it cannot be decided now."""
        if not self.loaded or now_us() < self.term.previous_leader_expired_us:
            raise NotReadyError
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return self.statuses.status(job_id)
        if not job.cancelled and not await self.completions.cancel(job, CANCEL_WAIT_US):
            raise NotReadyError
        return JobStatus(job_id, "withdrawn")

    # -- workers ----------------------------------------------------------------------

    def silent_machines(self, at_us: int) -> tuple[str, ...]:
        """Machines that ought to have reported by now; their reports are to be relayed."""
        return self.machine_monitor.silent_machines(at_us)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, at_us: int, *, relayed: bool
    ) -> HeartbeatAnswer | None:
        """Handle a worker's heartbeat; None: it must not be answered 200."""
        return self.heartbeats.handle(heartbeat, at_us, relayed=relayed)

    def _answered(self, machine: Machine, heartbeat: Heartbeat) -> None:
        self.heartbeats.handle_command_answer(machine, heartbeat)

    def _unanswered(self, machine: Machine) -> None:
        self.reachability.observe_no_answer(machine)

    def _apply_buffered(self, buffered: BufferedHeartbeat) -> None:
        self.heartbeats.apply_buffered(buffered)

    # -- background tasks -------------------------------------------------------------------------

    def _ended(self, job: Job, final: FinalRecord) -> None:
        """A job is over, and that is committed."""
        self.term.estimates.forget(job.id)
        self.cluster.forget_attempt_numbers(job.id)
        self.scheduling_loop.reclaims.trim(job.id, 0)
        self.dependency_graph.remove(job)
        self.job_dependencies.job_ended(job.id, final)
