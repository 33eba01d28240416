"""Reads job statuses from memory and from the state service, never older than one reported before.

A job's creation is committed by the controller that the user reaches. Only the leader commits the
job's later changes, so the leader's memory answers while its lease is valid; otherwise the records
are read from the state service. Final records never change and are remembered.
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

#: How many jobs' unchanging facts are remembered.
MAX_REMEMBERED_JOBS = 4_096
#: How many dependencies of a job are read at once.
MAX_CONCURRENT_READS = 8
#: A status read longer ago than this is not reported: if this process was suspended meanwhile,
#: other controllers may have reported a newer one.
MAX_STALENESS_US = SECOND_US


def _remember(cache: dict[str, T], job_id: str, value: T) -> None:
    """Add an unchanging fact to a cache, and drop the oldest entries beyond its limit."""
    cache[job_id] = value
    while len(cache) > MAX_REMEMBERED_JOBS:
        del cache[next(iter(cache))]


class JobStatusReader:
    """Reads jobs for the users of one controller.

    ``dependency_limiter`` limits the rate at which the dependencies of jobs are read.
    """

    def __init__(
        self,
        controller: ControllerView,
        state: StateClient,
        dependency_limiter: FairRateLimiter,
    ) -> None:
        self._controller = controller
        self._state = state
        self._dependency_limiter = dependency_limiter
        #: Final records, and whether accepted jobs are services, as read from the state service.
        self.finals: dict[str, FinalRecord] = {}
        self._services: dict[str, bool] = {}

    def status_in_memory(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory; None if the state service has to be read."""
        final = self.finals.get(job_id)
        if final is not None:
            # This comes before the leader's memory, which may be older: the final record may
            # have been reported while that memory was not valid.
            return JobStatus(job_id, final.status, final.done, 0)
        leader = self._controller.leader
        status: JobStatus | None = None
        try:
            status = leader.status(job_id) if leader is not None else None
            if (
                status is not None
                and leader is not None
                and leader.job_dependencies.has_unanswered_write(job_id)
            ):
                status = None
        except Exception:
            # A bug that a single job triggers must not leave its users without an answer: the
            # state service's record is as new as the memory.
            log.exception("status from memory failed, reading the state service: job %s", job_id)
        return status

    async def is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None if it was never accepted."""
        leader = self._controller.leader
        is_service = leader.is_service(job_id) if leader is not None else None
        if is_service is None:
            is_service = self._services.get(job_id)
        if is_service is None:
            record = await self.read_record(job_id)
            if record is None:
                return None
            is_service = record.spec.is_service if isinstance(record, JobRecord) else record.service
            _remember(self._services, job_id, is_service)
        return is_service

    async def read_status(self, job_id: str, *, urgent: bool = False) -> JobStatus | None:
        """Read a job's status from the state service; None if the job was never accepted.

        A record only ever moves from the prefix ``j/`` to ``f/``, so reading the keys in that
        order cannot miss the job.
        """
        started_us = now_us()
        try:
            async with asyncio.timeout(to_seconds(MAX_STALENESS_US)):
                record = await self.read_record(job_id, urgent=urgent)
                if isinstance(record, FinalRecord):
                    return JobStatus(job_id, record.status, record.done, 0)
                if record is not None and (
                    record.cancelled
                    or await self._is_withdrawn_by_dependency(record, urgent=urgent)
                ):
                    return JobStatus(job_id, "withdrawn")
        except TimeoutError as error:
            raise CallError(f"job {job_id} was not read within the allowed staleness") from error
        # A job that is over stays over; any other state may have changed since the read.
        if now_us() - started_us > MAX_STALENESS_US:
            raise CallError(f"the record of job {job_id} may have changed since it was read")
        if record is None:
            return None
        return JobStatus(job_id, "pending", due_at=self.due_at(record))

    async def read_record(
        self, job_id: str, *, urgent: bool = False
    ) -> JobRecord | FinalRecord | None:
        """Read a job's record from the state service; None if the job was never accepted."""
        remembered = self.finals.get(job_id)
        if remembered is not None:
            return remembered
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
        """Whether any direct or indirect dependency of a job is withdrawn.

        The leader reports a job as withdrawn as soon as the records of its dependencies imply
        that; the job's own record may show it only later. This method follows the dependencies
        in the same way. Each one is read once, and final records are remembered, so a long chain
        whose reading fails gets further the next time.
        """
        job_id, seen = record.spec.id, set(without_gate(record.spec).needs or ())
        names = list(seen)
        if names and not self._dependency_limiter.take(
            job_id, min(len(names), MAX_CONCURRENT_READS), now_us()
        ):
            raise CallError(f"dependencies of job {job_id} not read: rate limit reached")
        # The job has had its turn: a chain that is too long to be read must not be the first
        # again and again.
        self._dependency_limiter.record_answer(job_id)
        while names:
            batch, names = names[:MAX_CONCURRENT_READS], names[MAX_CONCURRENT_READS:]
            found: set[str] = set()
            for dependency in await asyncio.gather(
                *(self.read_record(name, urgent=urgent) for name in batch)
            ):
                if isinstance(dependency, FinalRecord):
                    if dependency.status == "withdrawn":
                        return True
                elif dependency is not None:
                    if dependency.cancelled:
                        return True
                    found |= set(without_gate(dependency.spec).needs or ())
            names += found - seen
            seen |= found
            self._dependency_limiter.charge(min(len(names), MAX_CONCURRENT_READS), now_us())
        return False

    def due_at(self, record: JobRecord) -> str | None:
        """Return the time by which a calendar requires the job's end; None if no calendar does."""
        documents = self._controller.documents
        if documents is None or record.deadline is None or record.cancelled:
            return None
        return format_utc(current_deadline(documents.cache, record.deadline).due_us)

    def describe_deadline(self, job_id: str) -> str:
        """Return the text about a job's calendar deadline that error responses include."""
        documents = self._controller.documents
        return (
            documents.deadline_table.describe_deadline(job_id, documents.cache)
            if documents is not None
            else ""
        )
