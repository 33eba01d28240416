"""Watches the state service for jobs that other controllers accept while this term leads."""

import asyncio
from collections.abc import Callable

from weldhead.cluster_state.records import JOBS, JobRecord
from weldhead.controller.term import Term, batches
from weldhead.protocol.wire import KeyEvent
from weldhead.transport.prefix_follower import follow_prefix
from weldhead.transport.state_client import decode


class JobWatcher:
    """Calls ``on_job`` with the record and the version of each new job."""

    def __init__(self, term: Term, on_job: Callable[[JobRecord, int], None]) -> None:
        self._term = term
        self._on_job = on_job
        #: The revision from which the watch continues; it is kept when the watch fails.
        self.revision = 0

    async def watch(self) -> None:
        """Watch the job records; a background task."""
        change_batches = follow_prefix(self._term.state, JOBS, self.revision, self._reread)
        async for batch in change_batches:
            for event in batch.events:
                self._apply(event)
            self.revision = batch.revision

    def _apply(self, event: KeyEvent) -> None:
        if event.put is None:
            return
        record = decode(bytes(event.value), JobRecord)
        if not record.cancelled:
            self._on_job(record, event.version)

    async def _reread(self) -> int:
        async for entries, revision in self._term.state.pages(JOBS):  # noqa: B007
            for batch in batches(entries):
                for entry in batch:
                    self._on_job(decode(bytes(entry.value), JobRecord), entry.version)
                await asyncio.sleep(0)
        self.revision = revision
        return revision
