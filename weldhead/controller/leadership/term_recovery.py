"""The start of a term: what is recorded is read, and what runs where is learned."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from weldhead.clock import MILLISECOND_US, now_us, surely_over_us, to_seconds, wall_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.records import (
    CHUNK_TASKS,
    JOBS,
    LEADER_KEY,
    PROGRESS,
    RENTALS,
    UNSETTLED_KEY,
    JobRecord,
    RentalRecord,
    decode_progress,
    job_key,
    without_gate,
)
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.cluster_state.states import UNKNOWN_GATE_STATUS
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.fleet.rental_manager import RentalManager
from weldhead.controller.loop_budget import EventLoopBudget
from weldhead.controller.requests.completions import Completions
from weldhead.controller.requests.job_dependencies import JobDependencies
from weldhead.controller.scheduling_loop.preemption_recorder import load_preemption_history
from weldhead.controller.term import Term, batches
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.machine_monitor import MachineMonitor
from weldhead.protocol.wire import Heartbeat, KeyValue, split_task
from weldhead.reachability.silence import are_likely_lost
from weldhead.reconciliation.buffered_heartbeats import (
    BufferedHeartbeat,
    HeartbeatBuffer,
    MessageSource,
)
from weldhead.reconciliation.partial_view import PartialView, make_partial_view, unverified_usage
from weldhead.reconciliation.status_probes import StatusProbes
from weldhead.scheduling.autoscaling.arrival_rates import ArrivalRates
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import TransactionRejectedError, decode

if TYPE_CHECKING:
    from weldhead.controller.configuration.gate_keeper import GateKeeper

log = logging.getLogger(__name__)

#: How often it is looked whether all that was cancelled before is gone.
SETTLE_LOOK_US = 500 * MILLISECOND_US
#: How often it is looked whom to ask next.
ASK_PAUSE_US = 20 * MILLISECOND_US


@dataclass(frozen=True)
class RecoveryParts:
    """The parts of the term that its recovery fills or asks."""

    completions: Completions
    rental_manager: RentalManager
    job_dependencies: JobDependencies
    machine_monitor: MachineMonitor
    dispatcher: CommandDispatcher
    loop_budget: EventLoopBudget
    #: Takes what a machine said before its records were loaded.
    apply: Callable[[BufferedHeartbeat], None]
    publisher: DocumentPublisher | None = None
    gate_keeper: "GateKeeper | None" = None


class TermRecovery:
    """Loads the term; ``all_known`` is set once nothing can run that this leader does not know."""

    def __init__(self, term: Term, parts: RecoveryParts) -> None:
        self._term = term
        self._completions = parts.completions
        self._rental_manager = parts.rental_manager
        self._job_dependencies = parts.job_dependencies
        self._machine_monitor = parts.machine_monitor
        self._dispatcher = parts.dispatcher
        self._loop_budget = parts.loop_budget
        self._apply = parts.apply
        self._publisher = parts.publisher
        self._gates = parts.gate_keeper
        #: The revision at which the jobs were read.
        self.jobs_revision = 0
        self.all_known = asyncio.Event()
        self.heartbeat_buffer = HeartbeatBuffer()
        #: Jobs that were read and are not cancelled: before the term is loaded nobody cancels one.
        self._live_jobs: set[str] = set()
        sockets = term.settings.facts.limits.sockets
        self.status_probes = StatusProbes(term.tunables.recovery.asking(sockets))
        #: Machines on record that have not been seen to be known or gone.
        self._unknown: dict[str, Machine] = {}
        self._logged_unanswered = False
        term.state_writer.record_version(UNSETTLED_KEY, term.token)
        self._safe_revision: int | None = None
        if term.previous_leader_expired_us <= term.won_us:
            self._safe_revision = term.token

    # -- loading -----------------------------------------------------------------------------

    async def load_until_done(self) -> None:
        """Read everything, as often as it takes."""
        term = self._term
        while not term.loaded:
            try:
                await self.load()
            except CallError as error:
                log.info("recovery: reading the store failed: %s", error)
                await asyncio.sleep(0.2)
        log.info(
            "term %d: %d jobs, %d machines loaded",
            term.token, len(term.cluster.jobs), len(term.cluster.machines),
        )  # fmt: skip

    async def load(self) -> None:
        """Read what is recorded, page by page, and let the loop live in between.

        Machines come first: they are probed while the jobs are read.
        """
        term = self._term
        at_us, wall = now_us(), wall_us()
        term.cluster = Cluster(term.settings.facts.teams, term.token)
        term.dependency_graph = DependencyGraph(term.cluster.jobs)
        term.arrival_rates = ArrivalRates(term.tunables.fleet.demand_memory_us)
        if self._publisher is not None:
            # Before the jobs: whether they are held is judged by this term's own reading.
            await self._publisher.load()
        if self._gates is not None:
            self._gates.reset()
        await self._load_rentals(at_us, wall)
        revision = await self._load_jobs(at_us, wall)
        await self._link_jobs()
        await load_preemption_history(term, at_us, wall)
        async for entries, _ in term.state.pages(PROGRESS):
            for part in batches(entries):
                for entry in part:
                    self._load_progress(entry)
                await asyncio.sleep(0)
        self._machine_monitor.subscribe()
        self.jobs_revision = revision
        term.loaded = True
        term.loaded_us = now_us()
        for buffered in self.heartbeat_buffer.take():
            self._apply(buffered)

    async def _load_rentals(self, at_us: int, wall: int) -> None:
        """Read rentals and their machines, and begin to probe those that may run something."""
        term = self._term
        async for entries, _ in term.state.pages(RENTALS):
            for entry in entries:
                rental = decode(bytes(entry.value), RentalRecord)
                term.state_writer.record_version(entry.key, entry.version)
                self._rental_manager.load(entry.key.removeprefix(RENTALS), rental, at_us, wall)
            await asyncio.sleep(0)
        self._unknown = {m.name: m for m in term.cluster.machines.values() if m.enrolled}
        shown = (m for m in self._unknown if not self.heartbeat_buffer.has_shown(m, term.token))
        self.status_probes.add(shown)

    async def _load_jobs(self, at_us: int, wall: int) -> int:
        """Read the jobs; return the revision from which they can be followed."""
        revision = 0
        async for entries, revision in self._term.state.pages(JOBS):  # noqa: B007
            for part in batches(entries):
                for entry in part:
                    record = decode(bytes(entry.value), JobRecord)
                    self.add_job(record, entry.version, at_us, wall)
                    if not record.cancelled:
                        self._live_jobs.add(record.spec.id)
                await asyncio.sleep(0)
        return revision

    async def _link_jobs(self) -> None:
        """Enter which jobs wait for which, and what they inherit."""
        term = self._term
        for part in batches(list(term.cluster.jobs.values())):
            for job in part:
                self._job_dependencies.add(job)
            await asyncio.sleep(0)
        # All others have their own priority and deadline.
        self._job_dependencies.refresh_inherited(term.dependency_graph.blocked.values())

    def _load_progress(self, entry: KeyValue) -> None:
        term = self._term
        job_id, _, chunk = entry.key.removeprefix(PROGRESS).rpartition("/")
        term.state_writer.record_version(entry.key, entry.version)
        job = term.cluster.jobs.get(job_id)
        if job is None:
            self._completions.load_leftover(entry.key)
            return
        tasks = min(CHUNK_TASKS, job.spec.tasks - int(chunk) * CHUNK_TASKS)
        done = decode_progress(msgspec.json.decode(entry.value, type=str), tasks)
        self._completions.load(job, int(chunk), done)

    def add_job(self, record: JobRecord, version: int, at_us: int, wall: int) -> Job:
        """Enter a job that is on record."""
        term = self._term
        job = Job(without_gate(record.spec), record.submitted_us, version, at_us)
        # The same moment on the steady clock; a time of day that is off must not put it
        # into the future.
        job.first_seen_us = job.runnable_since_us = at_us - max(0, wall - record.submitted_us)
        job.cancelled = record.cancelled
        job.calendar_deadline, job.gate_hold = record.deadline, record.gate_hold
        if record.gate_hold is not None or record.gate_action is not None:
            # Whoever is given no gates starts nothing that concerns one.
            job.blocking_gate = UNKNOWN_GATE_STATUS
        if self._gates is not None:
            self._gates.add_job(job, record)
        term.job_deadlines.add(job, at_us, wall)
        term.cluster.jobs[job.id] = job
        term.state_writer.record_version(job_key(job.id), version)
        return job

    # -- before it is loaded -----------------------------------------------------------------

    def buffer_heartbeat(self, report: Heartbeat, at_us: int, *, relayed: bool) -> bool:
        """Keep a report that comes before the records are read; whether to answer it.

        An answer renews the worker's lease. In an outage that began before the jobs were read
        all workers were kept, with tasks whose cancellation an earlier leader had confirmed and
        this one did not know (``docs/incidents/meetings.md``).
        """
        if at_us < self._term.answer_unloaded_until_us or self._runs_live_jobs_only(report):
            return self.heartbeat_buffer.add_answered(report, at_us, relayed=relayed)
        self.heartbeat_buffer.add_unanswered(report, relayed=relayed)
        if not self._logged_unanswered:
            self._logged_unanswered = True
            log.warning(
                "term %d: the jobs are not read, and some may be cancelled: workers with tasks "
                "are not answered", self._term.token,
            )  # fmt: skip
        return False

    def _runs_live_jobs_only(self, report: Heartbeat) -> bool:
        """Whether all that is on a machine was read in this term, and is not cancelled."""
        try:
            return all(
                split_task(task.task)[0] in self._live_jobs
                for task in report.tasks
                if task.state != "ended"
            )
        except ValueError:
            return False

    async def clear_unsettled(self) -> None:
        """Once nothing can be left that was cancelled before this term, say so in the store.

        Until then a successor counts from the cancellations that this one may have missed.
        """
        term = self._term
        over_us = surely_over_us(
            max(term.loaded_us, term.previous_leader_expired_us), term.lease_us
        )
        while now_us() < over_us and not (term.ready and self._nothing_cancelled_left()):  # noqa: ASYNC110
            await asyncio.sleep(to_seconds(SETTLE_LOOK_US))
        with contextlib.suppress(LeadershipLostError, TransactionRejectedError):
            await term.state_writer.write({UNSETTLED_KEY: None})

    def _nothing_cancelled_left(self) -> bool:
        """Whether no machine is known to hold what must end."""
        cluster = self._term.cluster
        return not any(a.job.must_stop for a in cluster.stopping.values()) and not any(
            machine.orphans for machine in cluster.machines.values()
        )

    # -- what runs where ---------------------------------------------------------------------

    async def probe_machines(self) -> None:
        """Ask the machines on record what they run, until all are known; a background task."""
        while not self.all_known.is_set():
            self._probe_next()
            if self._term.loaded and self._term.valid:
                self._return_lost_machines(now_us())
            await asyncio.sleep(to_seconds(ASK_PAUSE_US))

    def _probe_next(self) -> None:
        for name in self.status_probes.next_targets(now_us()):
            self._term.background_tasks.spawn("question", self._probe(name))

    async def _probe(self, name: str) -> None:
        machine = self._term.cluster.machines.get(name)
        if machine is None or machine.reconciled:
            self.status_probes.record_failure(name)
            self.status_probes.mark_known(name)
            return
        report = await self._dispatcher.probe(name, machine.address, max(1, machine.session))
        if report is None:
            self.status_probes.record_failure(name)
            return
        self.status_probes.record_answer(name, now_us())
        if report.token == self._term.token:
            self.status_probes.mark_known(name)
        # Its turn is another's at once, not at the next look.
        self._probe_next()
        buffered = BufferedHeartbeat(report, MessageSource.COMMAND_ANSWER, 0, False)
        if self._term.loaded:
            self._apply(buffered)
        else:
            self.heartbeat_buffer.add_probe_answer(report)

    def _return_lost_machines(self, at_us: int) -> None:
        """Return machines that were asked in vain, if they look gone rather than cut off.

        Most are gone already and only still on record; the answered deletion proves it.
        """
        for name in self.status_probes.unanswered(at_us, self._loop_budget.lag_us):
            machine = self._term.cluster.machines.get(name)
            if machine is not None:
                machine.probes_failed = True
        live = self._machine_monitor.live_machines()
        unknown = [machine for machine in live if not machine.reconciled]
        if unknown and all(m.probes_failed for m in unknown) and are_likely_lost(unknown, live):
            self._rental_manager.return_machines({machine.name: machine for machine in unknown})

    def check_known(self) -> None:
        """See whether every machine on which something may run has been heard or is gone."""
        if self.all_known.is_set() or not self._term.loaded:
            return
        machines = self._term.cluster.machines
        for name, machine in list(self._unknown.items()):
            if machine.reconciled or name not in machines:
                del self._unknown[name]
                self.status_probes.mark_known(name)
        if not self._unknown:
            self.all_known.set()

    async def finish(self, start_preempting: Callable[[], None]) -> None:
        """Wait until everything is known; from then on anything may be decided."""
        term = self._term
        await self.all_known.wait()
        term.ready, term.ready_us = True, now_us()
        term.became_ready.set()
        term.cluster.unverified_usage = {}
        log.info(
            "term %d: ready after %.3f s, %d status probes; %s",
            term.token, to_seconds(now_us() - term.won_us), self.status_probes.sent,
            term.reconciliation_counts.summary(term.cluster),
        )  # fmt: skip
        start_preempting()
        term.placement_wanted.set()
        # Cancelled jobs may be ended now.
        term.commit_wanted.set()

    # -- what may be decided already ---------------------------------------------------------

    async def find_safe_revision(self) -> None:
        """Learn from which revision on no earlier leader can have started a job.

        One that was replaced may believe in its lease for a while, and follows the jobs: only
        what is created after that is surely unknown to it.
        """
        term = self._term
        while self._safe_revision is None and not self.all_known.is_set():
            left_us = term.previous_leader_expired_us - now_us()
            if left_us > 0:
                await asyncio.sleep(to_seconds(left_us))
                continue
            try:
                async for _, revision in term.state.pages(LEADER_KEY):
                    self._safe_revision = revision
            except CallError as error:
                log.info("recovery: the store's revision is unknown: %s", error)
                await asyncio.sleep(0.2)

    def partial_view(self) -> PartialView:
        """Return what is known so far, and draw its bounds on the teams."""
        cluster = self._term.cluster
        partial = make_partial_view(cluster.machines.values(), self._safe_revision)
        cluster.unverified_usage = unverified_usage(cluster, partial)
        return partial
