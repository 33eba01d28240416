"""Jobs that will miss a calendar deadline: notified once, whoever leads.

What was told is committed first and logged then, in records that hold many jobs: a successor
reads them and does not tell it again. If a leader ends in between, the line of the next one's
takeover names the jobs that are late (``scheduling/forecast/deadline_lateness.py``).
"""

import asyncio
import logging

import msgspec

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.term import Term
from weldhead.documents.records import STATES, state_key
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import TransactionRejectedError

log = logging.getLogger(__name__)

KIND = "late"
#: Between two writes: all that was found late meanwhile shares one.
PAUSE_S = 1.0

Chunk = dict[str, int]


class LateNotifications:
    """A term's notes of what was told: job ids, with the instant that each was told late for."""

    def __init__(self, term: Term, publisher: DocumentPublisher) -> None:
        self._term = term
        self._publisher = publisher
        self._chunks: dict[str, Chunk] | None = None
        self._notified: Chunk = {}
        #: What waits to be committed, and is said then: instant, and in words.
        self._waiting: dict[str, tuple[int, str]] = {}
        self._wake = asyncio.Event()

    def _load(self) -> dict[str, Chunk]:
        if self._chunks is None:
            self._chunks = {}
            keys = self._publisher.cache.keys()
            for key in keys:
                if key.startswith(f"{STATES}{KIND}/"):
                    kept = self._publisher.cache.get(key, Chunk)
                    self._chunks[key] = dict(kept.value) if kept is not None else {}
            for chunk in self._chunks.values():
                self._notified.update(chunk)
        return self._chunks

    def was_notified(self, job: Job) -> bool:
        """Whether a job was told late for its instant, or for a later one."""
        self._load()
        due_us = job.calendar_deadline.due_us if job.calendar_deadline is not None else 0
        waiting = self._waiting.get(job.id)
        return max(self._notified.get(job.id, -1), waiting[0] if waiting else -1) >= due_us

    def notify(self, job: Job, words: str) -> None:
        """Have it said that a job will be late."""
        if job.calendar_deadline is not None and not self.was_notified(job):
            self._waiting[job.id] = job.calendar_deadline.due_us, words
            self._wake.set()

    async def run(self) -> None:
        """Commit what is told, and say it; a background task."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                await self.commit()
            await asyncio.sleep(PAUSE_S)

    async def commit(self) -> None:
        """Commit what fits into one transaction, and say it."""
        changes, noted = self._plan(self._publisher.max_changes, self._publisher.value_bytes)
        try:
            await self._publisher.write(dict(changes))
        except (LeadershipLostError, CallError):
            # Its successor finds the same jobs late, and tells it.
            self._waiting.clear()
            return
        except TransactionRejectedError:
            log.exception("lateness cannot be recorded")
        chunks = self._load()
        for key, chunk in changes.items():
            if chunk is None:
                chunks.pop(key, None)
            else:
                chunks[key] = chunk
        for job_id in noted:
            due_us, words = self._waiting.pop(job_id)
            self._notified[job_id] = due_us
            log.warning("%s", words)

    def _plan(self, most: int, value_bytes: int) -> tuple[dict[str, Chunk | None], list[str]]:
        """Return the changes that note what waits, and which jobs are noted by them.

        Whatever record is written anew drops jobs that are over.
        """
        jobs, chunks = self._term.cluster.jobs, self._load()
        waiting = list(self._waiting)
        noted: list[str] = []
        changes: dict[str, Chunk | None] = {}
        taken = {int(key.rpartition("/")[2]) for key in chunks}
        numbers = sorted(taken | set(range(len(taken) + most)))
        for number in numbers:
            if len(changes) >= most or len(noted) == len(waiting):
                break
            key = state_key(KIND, f"{number}")
            former = chunks.get(key, {})
            kept = {name: due for name, due in former.items() if name in jobs}
            size = len(msgspec.json.encode(kept))
            before = len(noted)
            while len(noted) < len(waiting):
                name = waiting[len(noted)]
                size += len(msgspec.json.encode({name: self._waiting[name][0]}))
                if size > value_bytes:
                    break
                kept[name] = self._waiting[name][0]
                noted.append(name)
            if len(noted) > before or (former and not kept):
                changes[key] = kept or None
        return changes, noted
