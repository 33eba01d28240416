"""Recovers the cluster's state at the start of a term.

The new leader loads the records of the state service, and asks each machine which tasks it runs.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from weldhead.clock import MILLISECOND_US, latest_lease_end_us, now_us, to_seconds, wall_us
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
from weldhead.controller.requests.completions import CompletionCommitter
from weldhead.controller.requests.job_dependencies import JobDependencies
from weldhead.controller.scheduling_loop.preemption_recorder import load_preemption_history
from weldhead.controller.term import Term, batches
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.machine_monitor import MachineMonitor
from weldhead.protocol.wire import Heartbeat, KeyValue, split_task_name
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

#: The time between two checks whether the tasks of all cancelled jobs have ended.
SETTLED_CHECK_INTERVAL_US = 500 * MILLISECOND_US
#: The time between two checks which machines to probe next.
PROBE_CHECK_INTERVAL_US = 20 * MILLISECOND_US


@dataclass(frozen=True)
class RecoveryParts:
    """The components of the term that its recovery uses."""

    completions: CompletionCommitter
    rental_manager: RentalManager
    job_dependencies: JobDependencies
    machine_monitor: MachineMonitor
    dispatcher: CommandDispatcher
    loop_budget: EventLoopBudget
    #: Applies a worker's message that was received before the records were loaded.
    apply_buffered: Callable[[BufferedHeartbeat], None]
    publisher: DocumentPublisher | None = None
    gate_keeper: "GateKeeper | None" = None


class TermRecovery:
    """Recovers the state of one term.

    ``all_known`` is set once this leader knows of every task that may be running.
    """

    def __init__(self, term: Term, recovery_parts: RecoveryParts) -> None:
        self._term = term
        self._completions = recovery_parts.completions
        self._rental_manager = recovery_parts.rental_manager
        self._job_dependencies = recovery_parts.job_dependencies
        self._machine_monitor = recovery_parts.machine_monitor
        self._dispatcher = recovery_parts.dispatcher
        self._loop_budget = recovery_parts.loop_budget
        self._apply_buffered = recovery_parts.apply_buffered
        self._publisher = recovery_parts.publisher
        self._gate_keeper = recovery_parts.gate_keeper
        #: The revision at which the jobs were read; their later changes can be followed from it.
        self.jobs_revision = 0
        self.all_known = asyncio.Event()
        self.heartbeat_buffer = HeartbeatBuffer()
        #: The ids of the jobs that were read and are not cancelled. No job is cancelled before the
        #: term is loaded.
        self._live_jobs: set[str] = set()
        sockets = term.settings.facts.limits.sockets
        self.status_probes = StatusProbes(term.tunables.recovery.probe_settings(sockets))
        #: The recorded machines that have neither been reconciled nor removed, by name.
        self._unknown_machines: dict[str, Machine] = {}
        self._logged_unanswered = False
        term.state_writer.record_version(UNSETTLED_KEY, term.token)
        self._safe_revision: int | None = None
        if term.previous_leader_expired_us <= term.won_us:
            self._safe_revision = term.token

    # -- loading -----------------------------------------------------------------------------

    async def load_until_done(self) -> None:
        """Load the records; retry until that succeeds."""
        term = self._term
        while not term.loaded:
            try:
                await self.load()
            except CallError as error:
                log.info("recovery: records not loaded, retrying: %s", error)
                await asyncio.sleep(0.2)
        log.info(
            "term %d: %d jobs, %d machines loaded",
            term.token, len(term.cluster.jobs), len(term.cluster.machines),
        )  # fmt: skip

    async def load(self) -> None:
        """Load all records, page by page, yielding to the event loop in between.

        The machines are loaded first, so that they can be probed while the jobs are loaded.
        """
        term = self._term
        at_us, at_wall_us = now_us(), wall_us()
        term.cluster = Cluster(term.settings.facts.teams, term.token)
        term.dependency_graph = DependencyGraph(term.cluster.jobs)
        term.arrival_rates = ArrivalRates(term.tunables.fleet.demand_memory_us)
        if self._publisher is not None:
            # The documents are loaded before the jobs, because this term's own reading of them
            # decides which jobs a gate holds.
            await self._publisher.load()
        if self._gate_keeper is not None:
            self._gate_keeper.reset()
        await self._load_rentals(at_us, at_wall_us)
        revision = await self._load_jobs(at_us, at_wall_us)
        await self._link_jobs()
        await load_preemption_history(term, at_us, at_wall_us)
        async for entries, _ in term.state.pages(PROGRESS):
            for batch in batches(entries):
                for entry in batch:
                    self._load_progress(entry)
                await asyncio.sleep(0)
        self._machine_monitor.subscribe()
        self.jobs_revision = revision
        term.loaded = True
        term.loaded_us = now_us()
        for buffered in self.heartbeat_buffer.take():
            self._apply_buffered(buffered)

    async def _load_rentals(self, at_us: int, at_wall_us: int) -> None:
        """Load the rentals and their machines, and probe the machines that may run tasks."""
        term = self._term
        async for entries, _ in term.state.pages(RENTALS):
            for entry in entries:
                rental = decode(bytes(entry.value), RentalRecord)
                term.state_writer.record_version(entry.key, entry.version)
                self._rental_manager.load(
                    entry.key.removeprefix(RENTALS), rental, at_us, at_wall_us
                )
            await asyncio.sleep(0)
        self._unknown_machines = {
            machine.name: machine for machine in term.cluster.machines.values() if machine.enrolled
        }
        to_probe = (
            machine
            for machine in self._unknown_machines
            if not self.heartbeat_buffer.has_shown(machine, term.token)
        )
        self.status_probes.add(to_probe)

    async def _load_jobs(self, at_us: int, at_wall_us: int) -> int:
        """Load the jobs; return the revision from which their changes can be followed."""
        revision = 0
        async for entries, revision in self._term.state.pages(JOBS):  # noqa: B007
            for batch in batches(entries):
                for entry in batch:
                    record = decode(bytes(entry.value), JobRecord)
                    self.add_job(record, entry.version, at_us, at_wall_us)
                    if not record.cancelled:
                        self._live_jobs.add(record.spec.id)
                await asyncio.sleep(0)
        return revision

    async def _link_jobs(self) -> None:
        """Record the dependencies of all jobs and compute their inherited priorities."""
        term = self._term
        for batch in batches(list(term.cluster.jobs.values())):
            for job in batch:
                self._job_dependencies.add(job)
            await asyncio.sleep(0)
        # Only the jobs that a blocked job waits for inherit anything. All other jobs have their own
        # priority and deadline.
        self._job_dependencies.refresh_inherited_priorities(term.dependency_graph.blocked.values())

    def _load_progress(self, entry: KeyValue) -> None:
        term = self._term
        job_id, _, chunk = entry.key.removeprefix(PROGRESS).rpartition("/")
        term.state_writer.record_version(entry.key, entry.version)
        job = term.cluster.jobs.get(job_id)
        if job is None:
            self._completions.add_stale_progress_key(entry.key)
            return
        tasks = min(CHUNK_TASKS, job.spec.tasks - int(chunk) * CHUNK_TASKS)
        completed = decode_progress(msgspec.json.decode(entry.value, type=str), tasks)
        self._completions.load_progress(job, int(chunk), completed)

    def add_job(self, record: JobRecord, version: int, at_us: int, at_wall_us: int) -> Job:
        """Add a recorded job to the in-memory state."""
        term = self._term
        job = Job(without_gate(record.spec), record.submitted_us, version, at_us)
        # The time of submission is converted to the steady clock. A wrong time of day must not
        # put it into the future.
        job.first_seen_us = job.runnable_since_us = at_us - max(0, at_wall_us - record.submitted_us)
        job.cancelled = record.cancelled
        job.calendar_deadline, job.gate_hold = record.deadline, record.gate_hold
        if record.gate_hold is not None or record.gate_action is not None:
            # A controller that has no documents starts no job that a gate concerns.
            job.blocking_gate = UNKNOWN_GATE_STATUS
        if self._gate_keeper is not None:
            self._gate_keeper.add_job(job, record)
        term.job_deadlines.add(job, at_us, at_wall_us)
        term.cluster.jobs[job.id] = job
        term.state_writer.record_version(job_key(job.id), version)
        return job

    # -- before the records are loaded -------------------------------------------------------

    def buffer_heartbeat(self, heartbeat: Heartbeat, at_us: int, *, relayed: bool) -> bool:
        """Buffer a heartbeat that arrives before the records are loaded.

        Returns whether the heartbeat has to be answered. An answer renews the worker's lease. In
        an outage of the state service that began before the jobs were read, the leader used to
        keep all leases alive. Tasks kept running although an earlier leader had confirmed their
        cancellation, which this leader did not know (``docs/incidents/meetings.md``).
        """
        if at_us < self._term.answer_unloaded_until_us or self._runs_live_jobs_only(heartbeat):
            return self.heartbeat_buffer.add_answered(heartbeat, at_us, relayed=relayed)
        self.heartbeat_buffer.add_unanswered(heartbeat, relayed=relayed)
        if not self._logged_unanswered:
            self._logged_unanswered = True
            log.warning(
                "term %d: jobs not loaded yet, and some may be cancelled: heartbeats of workers "
                "with tasks are not answered", self._term.token,
            )  # fmt: skip
        return False

    def _runs_live_jobs_only(self, heartbeat: Heartbeat) -> bool:
        """Return whether all tasks of a machine belong to loaded jobs that are not cancelled."""
        try:
            return all(
                split_task_name(task.task)[0] in self._live_jobs
                for task in heartbeat.tasks
                if task.state != "ended"
            )
        except ValueError:
            return False

    async def clear_unsettled(self) -> None:
        """Delete the unsettled record once no task that was cancelled before this term can run.

        While the record exists, a new leader assumes that tasks may still run whose cancellation
        this term has missed, and limits the leases that it renews before it has loaded the jobs.
        """
        term = self._term
        settled_us = latest_lease_end_us(
            max(term.loaded_us, term.previous_leader_expired_us), term.lease_us
        )
        while now_us() < settled_us and not (term.ready and self._are_cancelled_tasks_stopped()):  # noqa: ASYNC110
            await asyncio.sleep(to_seconds(SETTLED_CHECK_INTERVAL_US))
        with contextlib.suppress(LeadershipLostError, TransactionRejectedError):
            await term.state_writer.write({UNSETTLED_KEY: None})

    def _are_cancelled_tasks_stopped(self) -> bool:
        """Return whether no machine is known to run a task that has to be stopped."""
        cluster = self._term.cluster
        return not any(attempt.job.must_stop for attempt in cluster.stopping.values()) and not any(
            machine.orphans for machine in cluster.machines.values()
        )

    # -- probing the machines ----------------------------------------------------------------

    async def probe_machines(self) -> None:
        """Ask the recorded machines for their tasks until all are known; a background task."""
        while not self.all_known.is_set():
            self._probe_next()
            if self._term.loaded and self._term.is_valid:
                self._return_lost_machines(now_us())
            await asyncio.sleep(to_seconds(PROBE_CHECK_INTERVAL_US))

    def _probe_next(self) -> None:
        for name in self.status_probes.next_targets(now_us()):
            self._term.background_tasks.spawn("machine probe", self._probe(name))

    async def _probe(self, name: str) -> None:
        machine = self._term.cluster.machines.get(name)
        if machine is None or machine.reconciled:
            self.status_probes.record_failure(name)
            self.status_probes.mark_known(name)
            return
        heartbeat = await self._dispatcher.probe(name, machine.address, max(1, machine.session))
        if heartbeat is None:
            self.status_probes.record_failure(name)
            return
        self.status_probes.record_answer(name, now_us())
        if heartbeat.token == self._term.token:
            self.status_probes.mark_known(name)
        # The next machine is probed at once instead of at the next periodic check.
        self._probe_next()
        buffered = BufferedHeartbeat(heartbeat, MessageSource.COMMAND_ANSWER, 0, False)
        if self._term.loaded:
            self._apply_buffered(buffered)
        else:
            self.heartbeat_buffer.add_probe_answer(heartbeat)

    def _return_lost_machines(self, at_us: int) -> None:
        """Return machines that answer no probe to the cloud, if they are probably lost.

        Machines that a network partition has probably cut off are kept. Most machines that look
        lost no longer exist and are only still recorded; the cloud's answer to their deletion
        proves that.
        """
        for name in self.status_probes.unanswered(at_us, self._loop_budget.lag_us):
            machine = self._term.cluster.machines.get(name)
            if machine is not None:
                machine.probes_failed = True
        live_machines = self._machine_monitor.live_machines()
        unknown_machines = [machine for machine in live_machines if not machine.reconciled]
        if (
            unknown_machines
            and all(machine.probes_failed for machine in unknown_machines)
            and are_likely_lost(unknown_machines, live_machines)
        ):
            self._rental_manager.return_machines(
                {machine.name: machine for machine in unknown_machines}
            )

    def check_known(self) -> None:
        """Set ``all_known`` if every machine that may run tasks is reconciled or removed."""
        if self.all_known.is_set() or not self._term.loaded:
            return
        machines = self._term.cluster.machines
        for name, machine in list(self._unknown_machines.items()):
            if machine.reconciled or name not in machines:
                del self._unknown_machines[name]
                self.status_probes.mark_known(name)
        if not self._unknown_machines:
            self.all_known.set()

    async def finish(self, start_preemption: Callable[[], None]) -> None:
        """Wait until all machines are known, then declare the term ready for all decisions."""
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
        start_preemption()
        term.placement_wanted.set()
        # Cancelled jobs can be finished only now that all machines are known.
        term.commit_wanted.set()

    # -- decisions before all machines are known ---------------------------------------------

    async def find_safe_revision(self) -> None:
        """Determine the revision after which no earlier leader can have started a new job.

        A replaced leader may trust its lease for a while, and follows new jobs until then. Only a
        job that is created after the end of that lease is surely unknown to that leader.
        """
        term = self._term
        while self._safe_revision is None and not self.all_known.is_set():
            remaining_us = term.previous_leader_expired_us - now_us()
            if remaining_us > 0:
                await asyncio.sleep(to_seconds(remaining_us))
                continue
            try:
                async for _, revision in term.state.pages(LEADER_KEY):
                    self._safe_revision = revision
            except CallError as error:
                log.info(
                    "recovery: current revision of the state service not read, retrying: %s", error
                )
                await asyncio.sleep(0.2)

    def partial_view(self) -> PartialView:
        """Return the known part of the cluster, and update the teams' unverified usage by it."""
        cluster = self._term.cluster
        view = make_partial_view(cluster.machines.values(), self._safe_revision)
        cluster.unverified_usage = unverified_usage(cluster, view)
        return view
