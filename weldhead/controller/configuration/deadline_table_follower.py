"""Keeps each controller's table of job deadlines, for times without a leader or state service."""

import asyncio
import logging

from weldhead.calendars.binding import (
    CALENDAR_KIND,
)
from weldhead.calendars.calendar_document import Calendar
from weldhead.clock import SECOND_US, now_us, wall_us
from weldhead.cluster_state.records import JOBS
from weldhead.controller.configuration.document_replica import (
    DocumentReplica,
)
from weldhead.transport.http_client import CallError
from weldhead.transport.prefix_follower import follow_prefix
from weldhead.transport.state_client import (
    StateClient,
)

log = logging.getLogger(__name__)

#: Minimum interval between two reads of the job records by one controller.
MIN_READ_INTERVAL_S = 2.0


#: Interval between log lines with the deadlines while the state service is unreachable.
DEADLINE_LOG_INTERVAL_US = 60 * SECOND_US


class DeadlineTableFollower:
    """Follows the job records, and logs the deadlines while the state service is unreachable."""

    def __init__(self, documents: DocumentReplica, state: StateClient) -> None:
        self._documents = documents
        self._state = state
        self._logged_us = 0

    async def follow(self) -> None:
        """Keep the deadline table up to date; runs as a background task."""
        table, cache = self._documents.deadline_table, self._documents.cache
        while not any(True for _ in cache.documents_in_force(CALENDAR_KIND, Calendar)):  # noqa: ASYNC110
            await asyncio.sleep(MIN_READ_INTERVAL_S)
        batches = follow_prefix(self._state, JOBS, None, self._read_all, self._on_failure)
        async for batch in batches:
            for event in batch.events:
                if event.put is not None:
                    table.put_record(event.put.removeprefix(JOBS), bytes(event.value))
                elif event.delete is not None:
                    table.drop(event.delete.removeprefix(JOBS))
            table.as_of_us = max(table.as_of_us, batch.sent_us)
            self._logged_us = 0
            await asyncio.sleep(MIN_READ_INTERVAL_S)

    async def _on_failure(self, _: CallError) -> None:
        self._log_deadlines(now_us())
        await asyncio.sleep(MIN_READ_INTERVAL_S)

    async def _read_all(self) -> int:
        """Read all job records into the table, and return their revision."""
        table, sent_us, revision = self._documents.deadline_table, now_us(), 0
        recorded_ids: set[str] = set()
        async for page, revision in self._state.pages(JOBS):  # noqa: B007
            for entry in page:
                job_id = entry.key.removeprefix(JOBS)
                recorded_ids.add(job_id)
                table.put_record(job_id, bytes(entry.value))
            await asyncio.sleep(0)
        table.keep_only(recorded_ids)
        table.as_of_us = max(table.as_of_us, sent_us)
        return revision

    def _log_deadlines(self, at_us: int) -> None:
        """Log a summary of the deadlines, at most once per ``DEADLINE_LOG_INTERVAL_US``."""
        table = self._documents.deadline_table
        if not len(table) or (
            self._logged_us and at_us - self._logged_us < DEADLINE_LOG_INTERVAL_US
        ):
            return
        self._logged_us = at_us
        summary = table.format_summary(self._documents.cache, wall_us(), at_us)
        log.warning("state service unreachable; %s", summary)
