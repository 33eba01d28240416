"""Applies the effects of a job's end or cancellation to the jobs that depend on it."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from weldhead.clock import SECOND_US, now_us, wall_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import FINAL, JOBS, FinalRecord, JobRecord, final_key, job_key
from weldhead.cluster_state.states import StopRequest
from weldhead.controller.requests.completions import CompletionCommitter
from weldhead.controller.term import Term
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.scheduling.inherited_priority import (
    estimate_stage_us,
    max_fetch_gb_per_s,
    update_inheritance,
)
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import decode

log = logging.getLogger(__name__)

#: How many dependencies are looked up in the state service at once.
MAX_CONCURRENT_LOOKUPS = 8
#: For how long at most a job's status is withheld because a write that affects it is
#: unanswered. During an outage nobody can read the state service. A job counts as forgotten when
#: all its polls (one every 5 s) fail for 90 s while most other jobs' polls succeed. Without an
#: outage the state service answers reads, whichever writes are unanswered. With a limit of 65 s,
#: an emulated outage of 58 s led to a job being reported withdrawn and then pending.
MAX_STATUS_WITHHOLD_US = 80 * SECOND_US


class JobDependencies:
    """Maintains the term's dependency graph and applies ends and cancellations to it.

    ``on_job_found`` is called with each job that is found only in the state service.
    """

    def __init__(
        self,
        term: Term,
        dispatcher: CommandDispatcher,
        on_job_found: Callable[[JobRecord, int], None],
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self._on_job_found = on_job_found
        self._completions: CompletionCommitter
        #: Set when the outcome of some dependency is known only to the state service.
        self._lookup_wanted = asyncio.Event()

    def set_completions(self, completions: CompletionCommitter) -> None:
        """Use the final records that this committer keeps in memory."""
        self._completions = completions

    def add(self, job: Job) -> None:
        """Add a job with its dependencies to the graph, and apply the ends that are known."""
        needs = job.spec.needs or ()
        if not job.cancelled:
            self._term.dependency_graph.add(job, needs)
            for name in needs:
                self._apply_known_end(name)
        # Dependents may have been added before this controller learned of the job itself.
        self._term.dependency_graph.unresolved.discard(job.id)
        if job.cancelled:
            self.withdraw_with_dependents(job)
        elif not job.unmet_dependencies and not needs:
            self.record_arrival(job)
        if self._term.dependency_graph.unresolved:
            self._lookup_wanted.set()

    def _apply_known_end(self, job_id: str) -> None:
        """Apply the end or cancellation of a dependency to its dependents, if it is in memory."""
        final = self._completions.finals.get(job_id)
        if final is not None:
            self.apply_job_end(job_id, final)
            return
        dependency = self._term.cluster.jobs.get(job_id)
        if dependency is not None and dependency.cancelled:
            self.withdraw_with_dependents(dependency)

    def apply_job_end(self, job_id: str, final: FinalRecord) -> None:
        """Release or withdraw the dependents of a job whose end is committed."""
        if final.status == "done":
            ended_us = now_us() - max(0, wall_us() - final.ended_us)
            for dependent in self._term.dependency_graph.mark_done(job_id, ended_us):
                log.debug("job %s has no unmet dependencies", dependent.id)
                self.record_arrival(dependent)
            self._term.placement_wanted.set()
        else:
            self._withdraw_all(self._term.dependency_graph.mark_withdrawn(job_id))

    def record_arrival(self, job: Job) -> None:
        """Count a job as demand from the time at which its tasks may start."""
        if job.blocking_gate is not None:
            return
        cpu_us = job.spec.tasks * job.spec.cpus * self._term.estimates.task_us(job)
        self._term.arrival_rates.record(job.effective_level, cpu_us, job.runnable_since_us)

    def withdraw_with_dependents(self, job: Job) -> None:
        """Withdraw a job whose cancellation is committed, and all jobs that depend on it.

        That one commit withdraws them all. Every leader therefore reports them as withdrawn at
        once, although it takes several transactions to write all their final records.
        """
        self._withdraw_all([job, *self._term.dependency_graph.mark_withdrawn(job.id)])

    def _withdraw_all(self, jobs: list[Job]) -> None:
        dependencies: dict[str, Job] = {}
        for job in jobs:
            for name in job.unmet_dependencies:
                if name in self._term.cluster.jobs:
                    dependencies[name] = self._term.cluster.jobs[name]
            self._term.dependency_graph.remove(job)
            self.stop_tasks(job)
        if dependencies:
            # The dependencies lose the priority and deadlines inherited from withdrawn jobs.
            self.refresh_inherited_priorities(dependencies.values())

    def has_unanswered_write(self, job_id: str) -> bool:
        """Whether the state service may already hold a job's end or withdrawal.

        Until that write is answered, this term's memory is older than the records that other
        controllers read and report. The result is False after ``MAX_STATUS_WITHHOLD_US``, so
        that no user is left without an answer for long.
        """
        state_writer = self._term.state_writer
        if (
            not state_writer.unanswered_keys
            or now_us() - state_writer.unanswered_since_us > MAX_STATUS_WITHHOLD_US
        ):
            return False
        job = self._term.cluster.jobs.get(job_id)
        if job is None:
            return False
        prefixes = (JOBS, FINAL)
        names = {
            key[len(JOBS) :] for key in state_writer.unanswered_keys if key.startswith(prefixes)
        }
        return job_id in names or self._term.dependency_graph.depends_on_any(job, names)

    def refresh_inherited_priorities(self, jobs: Iterable[Job]) -> None:
        """Update the priority and deadlines that these jobs and their dependencies inherit."""
        update_inheritance(
            self._term.dependency_graph, jobs, self._term.objectives, self.stage_us, now_us()
        )

    async def resolve_dependencies(self) -> None:
        """Look up the dependencies that were over before this term began; a background task."""
        while True:
            await self._lookup_wanted.wait()
            self._lookup_wanted.clear()
            while self._term.dependency_graph.unresolved:
                names = list(self._term.dependency_graph.unresolved)[:MAX_CONCURRENT_LOOKUPS]
                await asyncio.gather(*(self.resolve_dependency(name) for name in names))

    async def resolve_dependency(self, job_id: str) -> None:
        """Look up one dependency in the state service and apply its outcome."""
        try:
            final = await self._term.state.get(final_key(job_id))
            if final is not None:
                outcome = decode(bytes(final.value), FinalRecord)
                self._completions.remember_final(job_id, outcome)
                self.apply_job_end(job_id, outcome)
                return
            entry = await self._term.state.get(job_key(job_id))
        except CallError as error:
            log.info("lookup of dependency failed: job %s: %s", job_id, error)
            await asyncio.sleep(0.2)
            return
        if entry is not None:
            self._on_job_found(decode(bytes(entry.value), JobRecord), entry.version)
        else:
            # The job's record is being replaced by its final record between the two reads, or an
            # invalid record names a job that does not exist.
            await asyncio.sleep(0.5)

    def stop_tasks(self, job: Job) -> None:
        """Stop all attempts of a job that is withdrawn or whose cancellation was requested."""
        at_us = now_us()
        for attempt in list(job.active.values()):
            machine = self._term.cluster.machines[attempt.machine]
            if not request_stop(self._term.cluster, attempt, StopRequest.HARD, at_us, "cancelled"):
                self._dispatcher.schedule(machine)
        self._term.commit_wanted.set()
        self._term.placement_wanted.set()

    def stage_us(self, job: Job) -> int:
        """Estimate the time from a job's release to its end, without its dependencies' time."""
        fetch_gb_per_s = max_fetch_gb_per_s(self._term.rental_offers.types)
        return estimate_stage_us(
            self._term.cluster,
            job,
            self._term.estimates,
            fetch_gb_per_s,
            self._term.tunables.chain_margin,
        )
