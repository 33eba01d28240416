"""Reclaim lists: open requests to free capacity by preemption, by waiting job. No I/O.

As in the Natjam paper, each waiting job has a list of the requests made on its behalf. A request
is made only while the job's waiting tasks outnumber its entries, so that a preemptor that runs
often does not request the same capacity twice. An entry is removed when its job is granted
capacity. The victims of an entry that stays too long are killed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.preemption_history import PreemptionHistory


@dataclass
class Reclaim:
    """A request for the capacity that one task of a job needs on a machine."""

    job_id: str
    machine: str
    victims: list[Attempt]
    requested_us: int
    #: The time at which the victims were requested to be killed; 0: they were not.
    hard_kill_requested_us: int = 0


class ReclaimLists:
    """The reclaim lists of all waiting jobs."""

    def __init__(self, preemption_history: PreemptionHistory | None = None) -> None:
        self._lists: dict[str, list[Reclaim]] = {}
        #: GPU tasks that were preempted.
        self.preemption_history = (
            preemption_history if preemption_history is not None else PreemptionHistory()
        )

    def add(self, reclaim: Reclaim) -> None:
        """Add a request to the list of its job."""
        self._lists.setdefault(reclaim.job_id, []).append(reclaim)

    def count(self, job_id: str) -> int:
        """Return how many requests are open on behalf of a job."""
        return len(self._lists.get(job_id, ()))

    def record_grant(self, job_id: str, machine: str) -> None:
        """Remove one entry of a job that was granted capacity, preferably one for that machine."""
        entries = self._lists.get(job_id)
        if not entries:
            return
        chosen = next((entry for entry in entries if entry.machine == machine), entries[0])
        entries.remove(chosen)
        if not entries:
            del self._lists[job_id]

    def trim(self, job_id: str, waiting: int) -> None:
        """Remove the newest entries of a job beyond the number of its waiting tasks."""
        entries = self._lists.get(job_id)
        if entries is None:
            return
        del entries[max(0, waiting) :]
        if not entries:
            del self._lists[job_id]

    def remove(self, reclaim: Reclaim) -> None:
        """Remove a request from the list of its job."""
        entries = self._lists.get(reclaim.job_id)
        if entries and reclaim in entries:
            entries.remove(reclaim)
            if not entries:
                del self._lists[reclaim.job_id]

    def job_ids(self) -> list[str]:
        """Return the ids of the jobs that have open requests."""
        return list(self._lists)

    def entries(self) -> Iterable[Reclaim]:
        """Iterate over the open requests of all jobs."""
        for entries in list(self._lists.values()):
            yield from list(entries)
