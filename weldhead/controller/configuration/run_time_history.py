"""Carries the observed run times of job classes from one leader's term to the next.

Each job names its class in its specification, and the run times of a class are averaged. A *bound
job* is a job with a calendar deadline; only the run times of classes with bound jobs are stored.
Without this history, a new leader would know nothing about a class until the first tasks of the
class ended, and would classify every bound job as unknown, neither on track nor late.
"""

import asyncio

import msgspec

from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.term import Term
from weldhead.documents.records import state_key
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import TransactionRejectedError

HISTORY_KEY = state_key("history", "classes")
#: Interval between checks for new observations to write.
WRITE_INTERVAL_S = 20.0

#: By job class: weighted sum of the logarithms of observed to estimated run time, and its weight.
ClassHistory = dict[str, tuple[float, float]]


class RunTimeHistory:
    """Loads the observations of earlier terms, and records those of this term."""

    def __init__(self, term: Term, publisher: DocumentPublisher) -> None:
        self._term = term
        self._publisher = publisher
        self._written_versions: dict[str, int] = {}

    def load(self) -> None:
        """Restore the observations of earlier terms."""
        stored = self._publisher.cache.get(HISTORY_KEY, ClassHistory)
        if stored is not None:
            for class_name, (total, weight) in stored.value.items():
                self._term.estimates.restore(class_name, total, weight)
        self._written_versions = dict(self._term.estimates.versions)

    async def run(self) -> None:
        """Store the run times of job classes with bound jobs whenever they change significantly.

        Runs as a background task.
        """
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            history = self._collect_history()
            if history is None:
                continue
            try:
                await self._publisher.write({HISTORY_KEY: history})
            except (LeadershipLostError, TransactionRejectedError, CallError):
                continue

    def _collect_history(self) -> ClassHistory | None:
        """Return the stored history with this term's new run times; None without new ones."""
        estimates = self._term.estimates
        jobs = self._term.cluster.jobs.values()
        bound_classes = {job.spec.job_class for job in jobs if job.calendar_deadline is not None}
        changed = [
            class_name
            for class_name in bound_classes
            if estimates.versions.get(class_name, 0) != self._written_versions.get(class_name, 0)
        ]
        if not changed:
            return None
        self._written_versions = dict(estimates.versions)
        stored = self._publisher.cache.get(HISTORY_KEY, ClassHistory)
        history = dict(stored.value) if stored is not None else {}
        history |= {
            class_name: observations
            for class_name in changed
            if (observations := estimates.export(class_name)) is not None
        }
        while len(msgspec.json.encode(history)) > self._publisher.max_value_bytes:
            # The history exceeds the size limit of a stored value, so classes are removed from it
            # until it fits, those without a bound job first.
            dropped = next(
                (name for name in history if name not in bound_classes), next(iter(history))
            )
            del history[dropped]
        return history
