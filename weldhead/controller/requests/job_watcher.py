"""Follows the jobs that other controllers accept while this term leads."""

import asyncio
from collections.abc import Callable

from weldhead.cluster_state.records import JOBS, JobRecord
from weldhead.controller.term import Term, batches
from weldhead.protocol.wire import KeyEvent
from weldhead.transport.prefix_follower import follow_prefix
from weldhead.transport.state_client import decode


class JobWatcher:
    """Tells ``on_job`` of each job's record and its version."""

    def __init__(self, term: Term, on_job: Callable[[JobRecord, int], None]) -> None:
        self._term = term
        self._on_job = on_job
        #: The revision from which jobs are watched; kept when the watch fails.
        self.revision = 0

    async def watch(self) -> None:
        """Follow the jobs; a background task."""
        followed = follow_prefix(self._term.state, JOBS, self.revision, self._reread)
        async for batch in followed:
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
            for part in batches(entries):
                for entry in part:
                    self._on_job(decode(bytes(entry.value), JobRecord), entry.version)
                await asyncio.sleep(0)
        self.revision = revision
        return revision
