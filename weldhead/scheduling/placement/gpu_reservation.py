"""CPUs and memory that free GPUs keep for work that takes GPUs."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.scheduling.placement.backlog_entry import TaskShape

if TYPE_CHECKING:
    pass


class GpuReservation:
    """From whom free cards keep their CPUs while work with cards waits.

    From work without cards that has somewhere else to run. Where all machines have cards it
    would wait for as long as some task of several cards does that fits nowhere.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        #: One of each kind of machine without cards.
        self._plain = list(
            {
                (m.type.name, m.zone, m.spot): m
                for m in machines
                if m.type.gpus <= 0 and not m.draining and not m.deleting
            }.values()
        )
        self._known: dict[TaskShape, bool] = {}

    def excludes(self, job: Job) -> bool:
        """Whether a job's tasks get nothing that free cards need beside them."""
        if job.spec.gpus > 0:
            return False
        shape = TaskShape.of(job)
        kept = self._known.get(shape)
        if kept is None:
            kept = any(m.allows(job) and m.type.fits(job.spec) for m in self._plain)
            self._known[shape] = kept
        return kept
