"""How long tasks of bound classes take, from one term to the next.

Without it each successor knew nothing of any class until its first tasks ended, and had to
call every bound job unknown.
"""

import asyncio

import msgspec

from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.term import Term
from weldhead.documents.records import state_key
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import TransactionRejectedError

KEY = state_key("history", "classes")
#: Between two writes, if there is anything new.
PAUSE_S = 20.0

#: By class: the sum of the logarithms of observed to estimated times, and their weight.
Record = dict[str, tuple[float, float]]


class RunTimeHistory:
    """A term's part: it reads what its predecessors saw, and notes what it sees."""

    def __init__(self, term: Term, publisher: DocumentPublisher) -> None:
        self._term = term
        self._publisher = publisher
        self._written: dict[str, int] = {}

    def load(self) -> None:
        """Take up what was seen in earlier terms."""
        kept = self._publisher.cache.get(KEY, Record)
        if kept is not None:
            for name, (total, weight) in kept.value.items():
                self._term.estimates.restore(name, total, weight)
        self._written = dict(self._term.estimates.versions)

    async def run(self) -> None:
        """Note what is seen of bound classes, where it has moved clearly; a background task."""
        while True:
            await asyncio.sleep(PAUSE_S)
            record = self._changes()
            if record is None:
                continue
            try:
                await self._publisher.write({KEY: record})
            except (LeadershipLostError, TransactionRejectedError, CallError):
                continue

    def _changes(self) -> Record | None:
        """Return the record as it has to be; None: nothing is new."""
        estimates = self._term.estimates
        jobs = self._term.cluster.jobs.values()
        bound = {job.spec.job_class for job in jobs if job.calendar_deadline is not None}
        fresh = [n for n in bound if estimates.versions.get(n, 0) != self._written.get(n, 0)]
        if not fresh:
            return None
        self._written = dict(estimates.versions)
        kept = self._publisher.cache.get(KEY, Record)
        record = dict(kept.value) if kept is not None else {}
        record |= {name: seen for name in fresh if (seen := estimates.export(name)) is not None}
        while len(msgspec.json.encode(record)) > self._publisher.value_bytes:
            # More classes than a record takes: those that nobody waits for go first.
            gone = next((name for name in record if name not in bound), next(iter(record)))
            del record[gone]
        return record
