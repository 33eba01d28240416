"""Commits completions, cancellations and ends of jobs to the state service.

Users are told of a change only after the state service has committed it.
"""

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
from weldhead.protocol.wire import split_task_name
from weldhead.transport.state_client import TransactionRejectedError

log = logging.getLogger(__name__)

CommitGateEnd = Callable[[Job, FinalRecord, dict[str, Any]], Awaitable[bool]]

#: Interval between checks whether the orphaned attempts of a finished job are gone.
ORPHAN_CHECK_INTERVAL_US = 200 * MILLISECOND_US

#: How many final records are kept in memory; older ones are read from the state service.
MAX_FINAL_RECORDS = 20_000


class CompletionCommitter:
    """Commits task completions, cancellations and final records of jobs.

    ``on_job_ended`` and ``on_job_withdrawn`` are called after the respective commit.
    ``stop_tasks`` stops the tasks of a job whose user has requested its cancellation.
    """

    def __init__(
        self,
        term: Term,
        on_job_ended: Callable[[Job, FinalRecord], None],
        on_job_withdrawn: Callable[[Job], None],
        stop_tasks: Callable[[Job], None],
    ) -> None:
        self._term = term
        self._on_job_ended = on_job_ended
        self._on_job_withdrawn = on_job_withdrawn
        self._stop_tasks = stop_tasks
        #: Commits the end of a job that affects a gate; returns False if it affects none.
        self.commit_gate_end: CommitGateEnd | None = None
        self.finals: dict[str, FinalRecord] = {}
        self._written_chunks: dict[str, set[int]] = {}
        self._stale_progress_keys: list[str] = []
        self.pending_cancellations: dict[str, asyncio.Task[None]] = {}
        #: Jobs that are over, and jobs with unsaved progress. They are kept here until they are
        #: handled, so that a background task that fails and is restarted does not miss them.
        self._jobs_to_finish: dict[str, Job] = {}
        self._jobs_to_save: dict[str, Job] = {}

    def start(self) -> None:
        """Start the background tasks."""
        jobs = self._term.cluster.jobs
        self._finish_feed = jobs.feeds.subscribe()
        self._progress_feed = jobs.feeds.subscribe()
        # Every loaded job is checked: jobs that are over are finished, and tasks that have
        # completed since the records were written are saved.
        for job in jobs.values():
            job.notify_changed()
        self._term.background_tasks.start("ends of jobs", self._finish_jobs)
        self._term.background_tasks.start("progress", self._commit_progress)
        self._term.background_tasks.spawn(
            "stale progress", self._delete_keys(self._stale_progress_keys)
        )

    def load_progress(self, job: Job, chunk: int, done: list[int]) -> None:
        """Apply a chunk of committed progress that was read from the state service."""
        start = chunk * CHUNK_TASKS
        job.load_committed([start + index for index in done])
        self._written_chunks.setdefault(job.id, set()).add(chunk)

    def add_stale_progress_key(self, key: str) -> None:
        """Schedule the deletion of a progress record whose job is over.

        Such a record remains if an earlier leader's term ended before the leader deleted it.
        """
        self._stale_progress_keys.append(key)

    async def _delete_keys(self, keys: list[str]) -> None:
        """Delete obsolete keys one by one, at low priority."""
        try:
            for key in keys:
                await self._term.state_writer.write({key: None})
        except (LeadershipLostError, TransactionRejectedError):
            pass

    def remember_final(self, job_id: str, final: FinalRecord) -> None:
        """Keep a job's final record, which never changes, in memory."""
        self.finals[job_id] = final
        while len(self.finals) > MAX_FINAL_RECORDS:
            del self.finals[next(iter(self.finals))]

    def is_committed(self, task: str) -> bool:
        """Whether a task's completion needs no more saving, so its worker may forget the attempt.

        This includes tasks of unknown jobs and tasks that have not completed.
        """
        try:
            job_id, index = split_task_name(task)
        except ValueError:
            return True
        job = self._term.cluster.jobs.get(job_id)
        if job is None or index >= job.spec.tasks:
            return True
        return job.states[index] != TaskState.COMPLETED

    # -- background tasks
    # ----------------------------------------------------------------------------

    async def _finish_jobs(self) -> None:
        """Finish jobs that are over: users wait for the ends of their jobs."""
        term = self._term
        while True:
            await term.commit_wanted.wait()
            term.commit_wanted.clear()
            # A short delay lets many ends share one write.
            await asyncio.sleep(to_seconds(term.tunables.commit_gather_us))
            self._jobs_to_finish.update((job.id, job) for job in self._finish_feed.take())
            self._jobs_to_finish = {
                job.id: job
                for job in self._jobs_to_finish.values()
                if job.has_ended and term.cluster.jobs.get(job.id) is job
            }
            ready = [job for job in self._jobs_to_finish.values() if not job.finishing]
            for job in ready:
                if job.saving:
                    # The job's end waits for the progress write under way; otherwise that write
                    # could leave a progress record behind.
                    self._prioritize_progress(job)
            ready = [job for job in ready if not job.saving]
            if any(term.cluster.has_orphans_of(job) for job in ready):
                # No event reports that the orphaned attempts are gone, so the loop polls.
                asyncio.get_running_loop().call_later(
                    to_seconds(ORPHAN_CHECK_INTERVAL_US), term.commit_wanted.set
                )
            ready = [job for job in ready if self.can_finish(job)]
            if not ready:
                continue
            wait_us = term.previous_leader_expired_us - now_us()
            if wait_us > 0:
                # An earlier leader could still give users an older state.
                asyncio.get_running_loop().call_later(to_seconds(wait_us), term.commit_wanted.set)
                continue
            # One round takes only about as many ends as a second's writes: ends of other teams'
            # jobs that arrived meanwhile waited behind hundreds of one team's.
            max_jobs = max(term.state.max_writes, round(term.settings.facts.state.write_rps / 2))
            selected = round_robin(ready, lambda job: job.team)[:max_jobs]
            for job in selected:
                # The job is marked before any other coroutine can run. Otherwise a cancellation
                # that was about to be written was confirmed to the user in between, and the job
                # then ended as done.
                job.finishing = True
            await asyncio.gather(*(self._try_finish_job(job) for job in selected))
            if len(selected) < len(ready):
                term.commit_wanted.set()

    def can_finish(self, job: Job) -> bool:
        """Whether no attempt of a job that is over can still run.

        If the job were finished earlier, its record would be gone, and the resources that its
        attempts still use would count against no team's limit, in this term or the next: the
        team could start the same amount again. For a cancelled job the attempts are known only
        when recovery has ended, which sets ``commit_wanted``.
        """
        unknown_attempts = job.cancelled and not self._term.ready
        return not unknown_attempts and not self._term.cluster.has_orphans_of(job)

    def _prioritize_progress(self, job: Job) -> None:
        for chunk in range(-(-job.spec.tasks // CHUNK_TASKS)):
            self._term.state_writer.prioritize(progress_key(job.id, chunk))

    async def _commit_progress(self) -> None:
        """Commit completions of unfinished jobs.

        No user waits for these writes, so the loop gathers many completions into one write.
        """
        term = self._term
        while True:
            await asyncio.sleep(to_seconds(term.tunables.progress_gather_us))
            self._jobs_to_save.update((job.id, job) for job in self._progress_feed.take())
            self._jobs_to_save = {
                job.id: job
                for job in self._jobs_to_save.values()
                if job.uncommitted_chunks
                and not job.has_ended
                and term.cluster.jobs.get(job.id) is job
            }
            unsaved = [job for job in self._jobs_to_save.values() if not job.finishing]
            await asyncio.gather(*(self._save_progress(job) for job in unsaved))

    async def _save_progress(self, job: Job) -> None:
        job.saving = True
        try:
            for chunk in sorted(job.uncommitted_chunks):
                await self._save_chunk(job, chunk)
        except (LeadershipLostError, TransactionRejectedError):
            # The workers keep rejected completions until the job ends or the chunk's next write.
            pass
        finally:
            job.saving = False
            if job.has_ended:
                self._term.commit_wanted.set()

    async def _save_chunk(self, job: Job, chunk: int) -> None:
        saved_indexes: list[int] = []

        def build() -> str:
            # The state writer calls this just before it sends the write, so completions since
            # the request are included.
            flags, completed_indexes = job.snapshot_chunk(chunk)
            saved_indexes[:] = completed_indexes
            job.uncommitted_chunks.discard(chunk)
            return encode_progress(flags)

        try:
            await self._term.state_writer.write_latest(progress_key(job.id, chunk), build)
        except LeadershipLostError:
            job.uncommitted_chunks.add(chunk)
            raise
        self._written_chunks.setdefault(job.id, set()).add(chunk)
        job.mark_committed(saved_indexes)

    async def _try_finish_job(self, job: Job) -> None:
        try:
            await self._finish_job(job)
        except (LeadershipLostError, TransactionRejectedError):
            pass
        finally:
            job.finishing = False

    async def _finish_job(self, job: Job) -> None:
        term = self._term
        final = FinalRecord(
            "withdrawn" if job.cancelled else "done", job.done, wall_us(), job.spec.is_service
        )
        changes: dict[str, Any] = {final_key(job.id): final, job_key(job.id): None}
        written_chunks = sorted(self._written_chunks.get(job.id, ()))
        # Progress records that do not fit into one transaction are deleted afterwards.
        deleted_at_once = written_chunks[
            : max(0, term.state.max_writes - (2 if self.commit_gate_end is None else 3))
        ]
        changes.update({progress_key(job.id, chunk): None for chunk in deleted_at_once})
        if self.commit_gate_end is None or not await self.commit_gate_end(job, final, changes):
            await term.state_writer.write(changes, urgent=True)
        self.remember_final(job.id, final)
        term.state_writer.forget_version(final_key(job.id))
        term.cluster.jobs.remove(job.id)
        self._written_chunks.pop(job.id, None)
        job.uncommitted_chunks.clear()
        self._on_job_ended(job, final)
        log.info("job %s ended: %s", job.id, final.status)
        await self._delete_keys(
            [progress_key(job.id, chunk) for chunk in written_chunks[len(deleted_at_once) :]]
        )

    # -- cancellations -----------------------------------------------------------------------

    async def cancel(self, job: Job, timeout_us: int) -> bool:
        """Commit a cancellation; return False if it is not committed within the timeout.

        A write that the state service cannot accept now continues in the background, so the user
        does not wait for it. The job's tasks are stopped before the commit: a write without an
        answer may have been applied, and every reader of the state service then reports
        ``withdrawn``, for as long as an outage lasts. If the write is never applied, the user
        who requested the cancellation has lost no work that they wanted.
        """
        task = self.pending_cancellations.get(job.id)
        if task is None:
            job.cancel_requested = True
            self._stop_tasks(job)
            task = self._term.background_tasks.spawn("cancellation", self._commit_cancellation(job))
            self.pending_cancellations[job.id] = task
        await asyncio.wait({task}, timeout=to_seconds(timeout_us))
        return job.cancelled

    async def _commit_cancellation(self, job: Job) -> None:
        term = self._term
        try:
            # Another write of this job is under way, which takes a single transaction.
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
            log.info("job %s cancelled", job.id)
            self._on_job_withdrawn(job)
        except LeadershipLostError:
            pass
        finally:
            self.pending_cancellations.pop(job.id, None)
