"""Reclaim lists: what has been asked to make room, for whom. No I/O.

As in the paper, each waiting job has a list of the requests made on its behalf; a request
is made only while the waiting tasks outnumber the entries, which keeps a preemptor that
runs often from asking twice for the same room. An entry leaves when room is granted to
its job; one that stays too long becomes a hard kill.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.preemption_history import PreemptionHistory


@dataclass
class Reclaim:
    """A request for the room of one task."""

    job_id: str
    machine: str
    victims: list[Attempt]
    requested_us: int
    hard_kill_us: int = 0


class ReclaimLists:
    """The lists of all waiting jobs."""

    def __init__(self, taken: PreemptionHistory | None = None) -> None:
        self._lists: dict[str, list[Reclaim]] = {}
        #: Tasks that were stopped for others while they held cards.
        self.preemption_history = taken if taken is not None else PreemptionHistory()

    def add(self, reclaim: Reclaim) -> None:
        """Enter a request."""
        self._lists.setdefault(reclaim.job_id, []).append(reclaim)

    def count(self, job_id: str) -> int:
        """How many requests are open on behalf of a job."""
        return len(self._lists.get(job_id, ()))

    def granted(self, job_id: str, machine: str) -> None:
        """Capacity was granted to a job: its entry leaves, the one for that machine first."""
        entries = self._lists.get(job_id)
        if not entries:
            return
        chosen = next((entry for entry in entries if entry.machine == machine), entries[0])
        entries.remove(chosen)
        if not entries:
            del self._lists[job_id]

    def trim(self, job_id: str, waiting: int) -> None:
        """A job waits for less than it did: its newest surplus entries leave."""
        entries = self._lists.get(job_id)
        if entries is None:
            return
        del entries[max(0, waiting) :]
        if not entries:
            del self._lists[job_id]

    def remove(self, reclaim: Reclaim) -> None:
        """Remove an entry."""
        entries = self._lists.get(reclaim.job_id)
        if entries and reclaim in entries:
            entries.remove(reclaim)
            if not entries:
                del self._lists[reclaim.job_id]

    def jobs(self) -> list[str]:
        """The jobs that have entries."""
        return list(self._lists)

    def entries(self) -> Iterable[Reclaim]:
        """All entries."""
        for entries in list(self._lists.values()):
            yield from list(entries)
