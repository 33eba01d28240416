"""Logs each job that will miss its calendar deadline once, across all leader terms.

A notification is first committed, in records that cover many jobs, and then logged. The next leader
reads these records and does not log the job again. If a leader ends between commit and log, the
line that the next leader logs at its takeover names the late jobs
(``weldhead/scheduling/forecast/deadline_lateness.py``).
"""

import asyncio
import logging

import msgspec

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.term import Term
from weldhead.documents.records import STATE_PREFIX, state_key
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import TransactionRejectedError

log = logging.getLogger(__name__)

KIND = "late"
#: Pause after a commit; jobs that are found late in the meantime share the next commit.
COMMIT_PAUSE_S = 1.0

#: One record: due times (time of day) of the jobs that were notified, by job id.
Chunk = dict[str, int]


class LateNotifications:
    """Records and logs for which due time each job was notified as late."""

    def __init__(self, term: Term, publisher: DocumentPublisher) -> None:
        self._term = term
        self._publisher = publisher
        self._chunks: dict[str, Chunk] | None = None
        self._notified: Chunk = {}
        #: Due time and log message of each notification that is not committed yet, by job id.
        self._pending: dict[str, tuple[int, str]] = {}
        self._wake = asyncio.Event()

    def _load(self) -> dict[str, Chunk]:
        """Return the records by key; the first call reads them from the cache."""
        if self._chunks is None:
            self._chunks = {}
            keys = self._publisher.cache.keys()
            for key in keys:
                if key.startswith(f"{STATE_PREFIX}{KIND}/"):
                    entry = self._publisher.cache.get(key, Chunk)
                    self._chunks[key] = dict(entry.value) if entry is not None else {}
            for chunk in self._chunks.values():
                self._notified.update(chunk)
        return self._chunks

    def was_notified(self, job: Job) -> bool:
        """Whether a job was notified as late for its current due time or for a later one."""
        self._load()
        due_us = job.calendar_deadline.due_us if job.calendar_deadline is not None else 0
        pending = self._pending.get(job.id)
        return max(self._notified.get(job.id, -1), pending[0] if pending else -1) >= due_us

    def notify(self, job: Job, message: str) -> None:
        """Queue a message that a job will be late, unless the job was notified already."""
        if job.calendar_deadline is not None and not self.was_notified(job):
            self._pending[job.id] = job.calendar_deadline.due_us, message
            self._wake.set()

    async def run(self) -> None:
        """Commit and log the queued notifications; runs as a background task."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await self.commit()
            await asyncio.sleep(COMMIT_PAUSE_S)

    async def commit(self) -> None:
        """Commit the notifications that fit into one transaction, and log them."""
        changes, job_ids = self._plan(self._publisher.max_changes, self._publisher.max_value_bytes)
        try:
            await self._publisher.write(dict(changes))
        except (LeadershipLostError, CallError):
            # The next leader finds the same jobs late, and notifies them.
            self._pending.clear()
            return
        except TransactionRejectedError:
            log.exception(
                "state service rejected the late-job records; logging the jobs without a record"
            )
        chunks = self._load()
        for key, chunk in changes.items():
            if chunk is None:
                chunks.pop(key, None)
            else:
                chunks[key] = chunk
        for job_id in job_ids:
            due_us, message = self._pending.pop(job_id)
            self._notified[job_id] = due_us
            log.warning("%s", message)

    def _plan(
        self, max_changes: int, max_value_bytes: int
    ) -> tuple[dict[str, Chunk | None], list[str]]:
        """Return the changes that record queued notifications, and the ids of their jobs.

        Each record that is rewritten drops jobs that have ended; an empty record is deleted.
        """
        jobs, chunks = self._term.cluster.jobs, self._load()
        pending = list(self._pending)
        recorded: list[str] = []
        changes: dict[str, Chunk | None] = {}
        used_numbers = {int(key.rpartition("/")[2]) for key in chunks}
        numbers = sorted(used_numbers | set(range(len(used_numbers) + max_changes)))
        for number in numbers:
            if len(changes) >= max_changes or len(recorded) == len(pending):
                break
            key = state_key(KIND, f"{number}")
            stored = chunks.get(key, {})
            kept = {job_id: due_us for job_id, due_us in stored.items() if job_id in jobs}
            size_bytes = len(msgspec.json.encode(kept))
            recorded_before = len(recorded)
            while len(recorded) < len(pending):
                job_id = pending[len(recorded)]
                size_bytes += len(msgspec.json.encode({job_id: self._pending[job_id][0]}))
                if size_bytes > max_value_bytes:
                    break
                kept[job_id] = self._pending[job_id][0]
                recorded.append(job_id)
            if len(recorded) > recorded_before or (stored and not kept):
                changes[key] = kept or None
        return changes, recorded
