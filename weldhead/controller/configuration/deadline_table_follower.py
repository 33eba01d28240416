"""Keeps each controller's table of deadlines, for when nobody leads and the store is down."""

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

#: Between two readings of what was accepted and is over: no controller asks more often.
TABLE_PAUSE_S = 2.0


#: How often it is said what has to be finished while the store is out of reach.
SAID_US = 60 * SECOND_US


class DeadlineTableFollower:
    """Follows what has to be finished by when, for when nobody leads and the store is down."""

    def __init__(self, documents: DocumentReplica, state: StateClient) -> None:
        self._documents = documents
        self._state = state
        self._logged_us = 0

    async def follow(self) -> None:
        """Keep the table; a background task."""
        table, cache = self._documents.deadline_table, self._documents.cache
        while not any(True for _ in cache.in_force(CALENDAR_KIND, Calendar)):  # noqa: ASYNC110
            await asyncio.sleep(TABLE_PAUSE_S)
        followed = follow_prefix(self._state, JOBS, None, self._read, self._on_failure)
        async for batch in followed:
            for event in batch.events:
                if event.put is not None:
                    table.put_record(event.put.removeprefix(JOBS), bytes(event.value))
                elif event.delete is not None:
                    table.drop(event.delete.removeprefix(JOBS))
            table.as_of_us = max(table.as_of_us, batch.sent_us)
            self._logged_us = 0
            await asyncio.sleep(TABLE_PAUSE_S)

    async def _on_failure(self, _: CallError) -> None:
        self._log_deadlines(now_us())
        await asyncio.sleep(TABLE_PAUSE_S)

    async def _read(self) -> int:
        table, sent_us, revision = self._documents.deadline_table, now_us(), 0
        seen: set[str] = set()
        async for page, revision in self._state.pages(JOBS):  # noqa: B007
            for entry in page:
                job_id = entry.key.removeprefix(JOBS)
                seen.add(job_id)
                table.put_record(job_id, bytes(entry.value))
            await asyncio.sleep(0)
        table.keep_only(seen)
        table.as_of_us = max(table.as_of_us, sent_us)
        return revision

    def _log_deadlines(self, at_us: int) -> None:
        """Log what has to be finished while the store cannot be asked."""
        table = self._documents.deadline_table
        if not len(table) or (self._logged_us and at_us - self._logged_us < SAID_US):
            return
        self._logged_us = at_us
        line = table.format_summary(self._documents.cache, wall_us(), at_us)
        log.warning("the state service is out of reach; %s", line)
