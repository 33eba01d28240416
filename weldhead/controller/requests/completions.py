"""Completions, cancellations and ends of jobs: what is committed before it is told."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from weldhead.admission.team_rate_limiter import round_robin
from weldhead.clock import MILLISECOND_US, now_us, to_seconds, wall_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import (
    CHUNK_TASKS,
    FinalRecord,
    cancelled_record,
    encode_progress,
    final_key,
    job_key,
    progress_key,
)
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.cluster_state.states import TaskState
from weldhead.controller.term import Term
from weldhead.protocol.wire import split_task
from weldhead.transport.state_client import TransactionRejectedError

log = logging.getLogger(__name__)

WithGate = Callable[[Job, FinalRecord, dict[str, Any]], Awaitable[bool]]

#: How often it is looked whether what runs of a job that is over has gone.
GHOST_LOOK_US = 200 * MILLISECOND_US

#: How many final states are kept in memory; older ones are read from the store.
FINALS_KEPT = 20_000


class Completions:
    """Commits what has been completed; ``ended`` and ``withdrawn`` are told of the rest.

    ``stop`` ends the tasks of a job that its user wants cancelled.
    """

    def __init__(
        self,
        term: Term,
        ended: Callable[[Job, FinalRecord], None],
        withdrawn: Callable[[Job], None],
        stop: Callable[[Job], None],
    ) -> None:
        self._term = term
        self._ended = ended
        self._withdrawn = withdrawn
        self._stop = stop
        #: Commits an end that does something to a gate; False: it does not.
        self.commit_gate_end: WithGate | None = None
        self.finals: dict[str, FinalRecord] = {}
        self._written_chunks: dict[str, set[int]] = {}
        self._leftovers: list[str] = []
        self.cancelling: dict[str, asyncio.Task[None]] = {}
        #: Seen to be over, and seen to have unsaved progress; kept until that is dealt with,
        #: also when a background task fails and is begun again.
        self._over: dict[str, Job] = {}
        self._unsaved: dict[str, Job] = {}

    def start(self) -> None:
        """Begin the background tasks."""
        jobs = self._term.cluster.jobs
        self._changed = jobs.feeds.subscribe()
        self._progressed = jobs.feeds.subscribe()
        # All that was loaded: what is over is ended, what was completed meanwhile is saved.
        for job in jobs.values():
            job.notify_changed()
        self._term.background_tasks.start("ends of jobs", self._finish_jobs)
        self._term.background_tasks.start("progress", self._commit_progress)
        self._term.background_tasks.spawn("leftovers", self._clear(self._leftovers))

    def load(self, job: Job, chunk: int, done: list[int]) -> None:
        """Take up a chunk of progress read from the store."""
        start = chunk * CHUNK_TASKS
        job.load_committed([start + index for index in done])
        self._written_chunks.setdefault(job.id, set()).add(chunk)

    def load_leftover(self, key: str) -> None:
        """Note progress of a job that is over: its leader ended before clearing it away."""
        self._leftovers.append(key)

    async def _clear(self, keys: list[str]) -> None:
        """Delete keys that mean nothing any more, one by one as there is time."""
        try:
            for key in keys:
                await self._term.state_writer.write({key: None})
        except (LeadershipLostError, TransactionRejectedError):
            pass

    def remember_final(self, job_id: str, final: FinalRecord) -> None:
        """Keep a final state, which never changes."""
        self.finals[job_id] = final
        while len(self.finals) > FINALS_KEPT:
            del self.finals[next(iter(self.finals))]

    def is_committed(self, task: str) -> bool:
        """Whether a task's completion needs no more saving, so its attempt may go."""
        try:
            job_id, index = split_task(task)
        except ValueError:
            return True
        job = self._term.cluster.jobs.get(job_id)
        if job is None or index >= job.spec.tasks:
            return True
        return job.states[index] != TaskState.COMPLETED

    # -- background tasks
    # ----------------------------------------------------------------------------

    async def _finish_jobs(self) -> None:
        """Finish jobs that are over: their users wait for that."""
        term = self._term
        while True:
            await term.commit_wanted.wait()
            term.commit_wanted.clear()
            # A moment's gathering makes one write of many ends.
            await asyncio.sleep(to_seconds(term.tunables.commit_gather_us))
            self._over.update((job.id, job) for job in self._changed.take())
            self._over = {
                job.id: job
                for job in self._over.values()
                if job.has_ended and term.cluster.jobs.get(job.id) is job
            }
            over = [job for job in self._over.values() if not job.finishing]
            for job in over:
                if job.saving:
                    # Its end waits for that write, so that it leaves nothing behind.
                    self._prioritize_progress(job)
            over = [job for job in over if not job.saving]
            if any(term.cluster.has_orphans_of(job) for job in over):
                # Nobody else would tell that they have gone.
                asyncio.get_running_loop().call_later(
                    to_seconds(GHOST_LOOK_US), term.commit_wanted.set
                )
            over = [job for job in over if self.may_end(job)]
            if not over:
                continue
            wait_us = term.previous_leader_expired_us - now_us()
            if wait_us > 0:
                # An earlier leader could still tell users an older state.
                asyncio.get_running_loop().call_later(to_seconds(wait_us), term.commit_wanted.set)
                continue
            # What takes longer than a second is not begun at once: ends of other teams' jobs
            # that come meanwhile waited behind hundreds of one team's.
            most = max(term.state.max_writes, round(term.settings.facts.state.write_rps / 2))
            turn = round_robin(over, lambda job: job.team)[:most]
            for job in turn:
                # Claimed before anything else may run: a cancellation that was about to be
                # written came in between, was told, and the job then ended as done.
                job.finishing = True
            await asyncio.gather(*(self._end(job) for job in turn))
            if len(turn) < len(over):
                term.commit_wanted.set()

    def may_end(self, job: Job) -> bool:
        """Whether nothing can run any more of a job that is over.

        Ended before, it would be on record no more, and what it still uses would count for
        nobody, in this term or the next: its team could start as much again. The end of recovery
        sets ``flush``.
        """
        unknown = job.cancelled and not self._term.ready
        return not unknown and not self._term.cluster.has_orphans_of(job)

    def _prioritize_progress(self, job: Job) -> None:
        for chunk in range(-(-job.spec.tasks // CHUNK_TASKS)):
            self._term.state_writer.prioritize(progress_key(job.id, chunk))

    async def _commit_progress(self) -> None:
        """Commit completions of jobs that go on: nobody waits, so many make one write."""
        term = self._term
        while True:
            await asyncio.sleep(to_seconds(term.tunables.progress_gather_us))
            self._unsaved.update((job.id, job) for job in self._progressed.take())
            self._unsaved = {
                job.id: job
                for job in self._unsaved.values()
                if job.uncommitted_chunks
                and not job.has_ended
                and term.cluster.jobs.get(job.id) is job
            }
            dirty = [job for job in self._unsaved.values() if not job.finishing]
            await asyncio.gather(*(self._save(job) for job in dirty))

    async def _save(self, job: Job) -> None:
        job.saving = True
        try:
            for chunk in sorted(job.uncommitted_chunks):
                await self._save_chunk(job, chunk)
        except (LeadershipLostError, TransactionRejectedError):
            # What was rejected is on the workers until the job ends, or goes with the next.
            pass
        finally:
            job.saving = False
            if job.has_ended:
                self._term.commit_wanted.set()

    async def _save_chunk(self, job: Job, chunk: int) -> None:
        fresh: list[int] = []

        def build() -> str:
            # Made when the write's turn comes: what has completed since goes with it.
            flags, found = job.snapshot_chunk(chunk)
            fresh[:] = found
            job.uncommitted_chunks.discard(chunk)
            return encode_progress(flags)

        try:
            await self._term.state_writer.write_latest(progress_key(job.id, chunk), build)
        except LeadershipLostError:
            job.uncommitted_chunks.add(chunk)
            raise
        self._written_chunks.setdefault(job.id, set()).add(chunk)
        job.mark_committed(fresh)

    async def _end(self, job: Job) -> None:
        try:
            await self._finish(job)
        except (LeadershipLostError, TransactionRejectedError):
            pass
        finally:
            job.finishing = False

    async def _finish(self, job: Job) -> None:
        term = self._term
        final = FinalRecord(
            "withdrawn" if job.cancelled else "done", job.done, wall_us(), job.spec.is_service
        )
        changes: dict[str, Any] = {final_key(job.id): final, job_key(job.id): None}
        written = sorted(self._written_chunks.get(job.id, ()))
        # What does not fit into one transaction is cleared away afterwards.
        first = written[
            : max(0, term.state.max_writes - (2 if self.commit_gate_end is None else 3))
        ]
        changes.update({progress_key(job.id, chunk): None for chunk in first})
        if self.commit_gate_end is None or not await self.commit_gate_end(job, final, changes):
            await term.state_writer.write(changes, urgent=True)
        self.remember_final(job.id, final)
        term.state_writer.forget_version(final_key(job.id))
        term.cluster.jobs.remove(job.id)
        self._written_chunks.pop(job.id, None)
        job.uncommitted_chunks.clear()
        self._ended(job, final)
        log.info("%s %s", job.id, final.status)
        await self._clear([progress_key(job.id, chunk) for chunk in written[len(first) :]])

    # -- cancellations -----------------------------------------------------------------------

    async def cancel(self, job: Job, patience_us: int) -> bool:
        """Commit a cancellation; false if that has not come about in time.

        One that the store cannot take now goes on without keeping the user waiting. Its tasks
        are stopped before it is committed: a write without an answer may have been applied, and
        whoever reads the store says ``withdrawn`` then, for as long as an outage may last. If
        it never is, the user who asked for it has lost nothing that is of use.
        """
        task = self.cancelling.get(job.id)
        if task is None:
            job.cancel_requested = True
            self._stop(job)
            task = self._term.background_tasks.spawn("cancellation", self._commit_cancel(job))
            self.cancelling[job.id] = task
        await asyncio.wait({task}, timeout=to_seconds(patience_us))
        return job.cancelled

    async def _commit_cancel(self, job: Job) -> None:
        term = self._term
        try:
            # Another write of this job is under way: a matter of one transaction.
            while job.finishing:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            if term.cluster.jobs.get(job.id) is not job:
                return
            job.finishing = True
            try:
                limit = term.state.limits.value_bytes
                record = cancelled_record(job.spec, job.submitted_us, limit)
                job.version = await term.state_writer.write({job_key(job.id): record}, urgent=True)
            finally:
                job.finishing = False
            job.cancelled = True
            log.info("%s cancelled", job.id)
            self._withdrawn(job)
        except LeadershipLostError:
            pass
        finally:
            self.cancelling.pop(job.id, None)
