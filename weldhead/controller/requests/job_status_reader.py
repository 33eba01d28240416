"""Job statuses from memory and from the state service, never older than one told before.

A job's creation is committed by whichever controller the user has reached. Everything that changes
later is the leader's: its memory answers while its lease lasts, and otherwise the store is read.
What can never change is remembered.
"""

import asyncio
import logging
from typing import TypeVar

from weldhead.admission.fair_rate_limiter import FairRateLimiter
from weldhead.calendars.binding import current_deadline
from weldhead.calendars.formatting import format_utc
from weldhead.clock import SECOND_US, now_us, to_seconds
from weldhead.cluster_state.records import (
    FinalRecord,
    JobRecord,
    final_key,
    job_key,
    without_gate,
)
from weldhead.controller.requests.controller_view import ControllerView
from weldhead.protocol.wire import JobStatus
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    StateClient,
    decode,
)

log = logging.getLogger(__name__)

T = TypeVar("T")

#: How many answers that never change are remembered.
MAX_REMEMBERED = 4_096
#: How many dependencies of a job are read at once.
MAX_CONCURRENT_READS = 8
#: What the store said so long ago is told to nobody: this process may have stood still, and
#: others have told something newer since.
MAX_STALENESS_US = SECOND_US


def _remember(kept: dict[str, T], job_id: str, value: T) -> None:
    """Remember what never changes; the oldest is forgotten."""
    kept[job_id] = value
    while len(kept) > MAX_REMEMBERED:
        del kept[next(iter(kept))]


class JobStatusReader:
    """Reads jobs for the users of one controller; ``dependency_limiter`` bounds chains' reads."""

    def __init__(
        self,
        controller: ControllerView,
        state: StateClient,
        dependency_limiter: FairRateLimiter,
    ) -> None:
        self._controller = controller
        self._state = state
        self._dependency_limiter = dependency_limiter
        #: How jobs ended, and whether accepted ones are services, as the store said.
        self.finals: dict[str, FinalRecord] = {}
        self._services: dict[str, bool] = {}

    def in_memory(self, job_id: str) -> JobStatus | None:
        """Return a job's status as this controller knows it; None: it has to be read."""
        final = self.finals.get(job_id)
        if final is not None:
            # Before the leader's memory: it may have been told while that was not to be used.
            return JobStatus(job_id, final.status, final.done, 0)
        leader = self._controller.leader
        known: JobStatus | None = None
        try:
            known = leader.status(job_id) if leader is not None else None
            if (
                known is not None
                and leader is not None
                and leader.job_dependencies.has_unanswered_write(job_id)
            ):
                known = None
        except Exception:
            # A bug that one job brings out must not keep it from its users: the store's word
            # is as new.
            log.exception("status of %s", job_id)
        return known

    async def is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None if it was never accepted."""
        leader = self._controller.leader
        known = leader.is_service(job_id) if leader is not None else None
        if known is None:
            known = self._services.get(job_id)
        if known is None:
            stored = await self.read_record(job_id)
            if stored is None:
                return None
            known = stored.spec.is_service if isinstance(stored, JobRecord) else stored.service
            _remember(self._services, job_id, known)
        return known

    async def read_status(self, job_id: str, *, urgent: bool = False) -> JobStatus | None:
        """Read a job's status; it moves from j/ to f/ only, so that order is safe."""
        at_us = now_us()
        try:
            async with asyncio.timeout(to_seconds(MAX_STALENESS_US)):
                stored = await self.read_record(job_id, urgent=urgent)
                if isinstance(stored, FinalRecord):
                    return JobStatus(job_id, stored.status, stored.done, 0)
                if stored is not None and (
                    stored.cancelled
                    or await self._is_withdrawn_by_dependency(stored, urgent=urgent)
                ):
                    return JobStatus(job_id, "withdrawn")
        except TimeoutError as error:
            raise CallError("the store takes too long") from error
        # What is over stays over; anything else may have changed since.
        if now_us() - at_us > MAX_STALENESS_US:
            raise CallError("what the store said may be old by now")
        if stored is None:
            return None
        return JobStatus(job_id, "pending", due_at=self.due_at(stored))

    async def read_record(
        self, job_id: str, *, urgent: bool = False
    ) -> JobRecord | FinalRecord | None:
        """Read a job's record."""
        kept = self.finals.get(job_id)
        if kept is not None:
            return kept
        leader = self._controller.leader
        entry = await self._state.get(job_key(job_id), urgent=urgent)
        if entry is not None:
            record = decode(bytes(entry.value), JobRecord)
            if leader is not None and not record.cancelled:
                leader.job_created(record, entry.version)
            return record
        final = await self._state.get(final_key(job_id), urgent=urgent)
        if final is None:
            return None
        outcome = decode(bytes(final.value), FinalRecord)
        _remember(self.finals, job_id, outcome)
        if leader is not None:
            leader.completions.remember_final(job_id, outcome)
        return outcome

    async def _is_withdrawn_by_dependency(self, record: JobRecord, *, urgent: bool = False) -> bool:
        """Whether a job that the record's needs, directly or through others, is withdrawn.

        The leader calls a job withdrawn as soon as that follows from what is stored, and the
        store may say so later only for the job itself: so the same is followed here. Each
        job is read once; what is over is remembered, so a long chain that fails gets further
        the next time.
        """
        job_id, seen = record.spec.id, set(without_gate(record.spec).needs or ())
        names = list(seen)
        if names and not self._dependency_limiter.take(
            job_id, min(len(names), MAX_CONCURRENT_READS), now_us()
        ):
            raise CallError("too many needed jobs are to be read at once")
        # It has had its turn: a chain that is too long each time must not go first each time.
        self._dependency_limiter.answered(job_id)
        while names:
            batch, names = names[:MAX_CONCURRENT_READS], names[MAX_CONCURRENT_READS:]
            fresh: set[str] = set()
            for need in await asyncio.gather(*(self.read_record(n, urgent=urgent) for n in batch)):
                if isinstance(need, FinalRecord):
                    if need.status == "withdrawn":
                        return True
                elif need is not None:
                    if need.cancelled:
                        return True
                    fresh |= set(without_gate(need.spec).needs or ())
            names += fresh - seen
            seen |= fresh
            self._dependency_limiter.charge(min(len(names), MAX_CONCURRENT_READS), now_us())
        return False

    def due_at(self, record: JobRecord) -> str | None:
        """Say by when a calendar has a job finished."""
        documents = self._controller.documents
        if documents is None or record.deadline is None or record.cancelled:
            return None
        return format_utc(current_deadline(documents.cache, record.deadline).due_us)

    def describe_deadline(self, job_id: str) -> str:
        """Say in a refusal by when a job is due, as far as this node knows."""
        documents = self._controller.documents
        return (
            documents.deadline_table.describe_deadline(job_id, documents.cache)
            if documents is not None
            else ""
        )
