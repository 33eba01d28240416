"""Jobs that need others: what follows when one is done, cancelled, or learned of."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from weldhead.clock import SECOND_US, now_us, wall_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import FINAL, JOBS, FinalRecord, JobRecord, final_key, job_key
from weldhead.cluster_state.states import StopRequest
from weldhead.controller.requests.completions import Completions
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

#: How many needed jobs are looked up in the store at once.
NEEDS_AT_ONCE = 8
#: For so long at most a job is not answered for because a write of it is in doubt: in an
#: outage nobody reads the store, and a job is forgotten whose polls all fail for 90 s while most
#: others are answered (they come every 5 s). In calm the store answers, whatever is in doubt.
#: With 65 s a job was told withdrawn, then pending, late in an outage of 58 s (an own day).
DOUBT_US = 80 * SECOND_US


class JobDependencies:
    """Keeps the term's chains; ``take_up`` is told of jobs that the store knows."""

    def __init__(
        self, term: Term, dispatcher: CommandDispatcher, take_up: Callable[[JobRecord, int], None]
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self._on_job_found = take_up
        self._completions: Completions
        #: Set when jobs are needed of which only the store knows what became of them.
        self._needed = asyncio.Event()

    def start(self, completions: Completions) -> None:
        """Learn ends from there."""
        self._completions = completions

    def add(self, job: Job) -> None:
        """Enter what a job waits for, and draw what follows from it."""
        needs = job.spec.needs or ()
        if not job.cancelled:
            self._term.dependency_graph.add(job, needs)
            for name in needs:
                self._apply_known_end(name)
        # Others may have named it before this node had heard of it.
        self._term.dependency_graph.unresolved.discard(job.id)
        if job.cancelled:
            self.withdraw_with_dependents(job)
        elif not job.unmet_dependencies and not needs:
            self.runnable(job)
        if self._term.dependency_graph.unresolved:
            self._needed.set()

    def _apply_known_end(self, job_id: str) -> None:
        """Draw what follows from a needed job that is over or cancelled, as far as is known."""
        final = self._completions.finals.get(job_id)
        if final is not None:
            self.job_ended(job_id, final)
            return
        need = self._term.cluster.jobs.get(job_id)
        if need is not None and need.cancelled:
            self.withdraw_with_dependents(need)

    def job_ended(self, job_id: str, final: FinalRecord) -> None:
        """A job is over, and that is committed: those that wait for it go on, or go too."""
        if final.status == "done":
            ended_us = now_us() - max(0, wall_us() - final.ended_us)
            for follower in self._term.dependency_graph.mark_done(job_id, ended_us):
                log.debug("%s waits for nothing more", follower.id)
                self.runnable(follower)
            self._term.placement_wanted.set()
        else:
            self._withdraw_all(self._term.dependency_graph.mark_withdrawn(job_id))

    def runnable(self, job: Job) -> None:
        """A job's tasks may start from now on: from here on it counts as demand."""
        if job.blocking_gate is not None:
            return
        work = job.spec.tasks * job.spec.cpus * self._term.estimates.task_us(job)
        self._term.arrival_rates.record(job.effective_level, work, job.runnable_since_us)

    def withdraw_with_dependents(self, job: Job) -> None:
        """A job's cancellation is committed: all that need it are withdrawn by that alone.

        So they are called withdrawn at once, by every leader, though it takes several
        transactions to write down how each of them ended.
        """
        self._withdraw_all([job, *self._term.dependency_graph.mark_withdrawn(job.id)])

    def _withdraw_all(self, jobs: list[Job]) -> None:
        needed: dict[str, Job] = {}
        for job in jobs:
            for name in job.unmet_dependencies:
                if name in self._term.cluster.jobs:
                    needed[name] = self._term.cluster.jobs[name]
            self._term.dependency_graph.remove(job)
            self.stop_tasks(job)
        if needed:
            # What they gave to the jobs that they need goes with them.
            self.refresh_inherited(needed.values())

    def has_unanswered_write(self, job_id: str) -> bool:
        """Whether the store may say already that a job is over or withdrawn.

        Until the write of that is answered this term says something older, while other
        nodes tell users what they read. Nobody is kept without an answer for long by it.
        """
        state_writer = self._term.state_writer
        if (
            not state_writer.unanswered_keys
            or now_us() - state_writer.unanswered_since_us > DOUBT_US
        ):
            return False
        job = self._term.cluster.jobs.get(job_id)
        if job is None:
            return False
        keys = (JOBS, FINAL)
        names = {key[len(JOBS) :] for key in state_writer.unanswered_keys if key.startswith(keys)}
        return job_id in names or self._term.dependency_graph.depends_on_any(job, names)

    def refresh_inherited(self, jobs: Iterable[Job]) -> None:
        """Bring up to date what these jobs and those that they need inherit."""
        update_inheritance(
            self._term.dependency_graph, jobs, self._term.objectives, self.stage_us, now_us()
        )

    async def resolve_dependencies(self) -> None:
        """Read what became of needed jobs that were over before this term began."""
        while True:
            await self._needed.wait()
            self._needed.clear()
            while self._term.dependency_graph.unresolved:
                names = list(self._term.dependency_graph.unresolved)[:NEEDS_AT_ONCE]
                await asyncio.gather(*(self.resolve_dependency(name) for name in names))

    async def resolve_dependency(self, job_id: str) -> None:
        """Read what became of one needed job."""
        try:
            final = await self._term.state.get(final_key(job_id))
            if final is not None:
                outcome = decode(bytes(final.value), FinalRecord)
                self._completions.remember_final(job_id, outcome)
                self.job_ended(job_id, outcome)
                return
            entry = await self._term.state.get(job_key(job_id))
        except CallError as error:
            log.info("needed job %s: %s", job_id, error)
            await asyncio.sleep(0.2)
            return
        if entry is not None:
            self._on_job_found(decode(bytes(entry.value), JobRecord), entry.version)
        else:
            # On its way from one key to the other, or named by a record that is nonsense.
            await asyncio.sleep(0.5)

    def stop_tasks(self, job: Job) -> None:
        """Stop what runs of a job that is withdrawn, or is about to be."""
        at_us = now_us()
        for attempt in list(job.active.values()):
            machine = self._term.cluster.machines[attempt.machine]
            if not request_stop(self._term.cluster, attempt, StopRequest.HARD, at_us, "cancelled"):
                self._dispatcher.schedule(machine)
        self._term.commit_wanted.set()
        self._term.placement_wanted.set()

    def stage_us(self, job: Job) -> int:
        """Estimate a job's own part of its chain."""
        rate = max_fetch_gb_per_s(self._term.rental_offers.types)
        return estimate_stage_us(
            self._term.cluster, job, self._term.estimates, rate, self._term.tunables.chain_margin
        )
