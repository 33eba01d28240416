"""CPUs and memory that are reserved beside free GPUs for jobs that need GPUs."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.scheduling.placement.backlog_entry import TaskShape

if TYPE_CHECKING:
    pass


class GpuReservation:
    """Decides which jobs may not use the CPUs and memory beside free GPUs.

    The reservation is in force while jobs that need GPUs wait. It excludes jobs without GPUs that
    can also run on a machine without GPUs. In a fleet in which every machine has GPUs it excludes
    no job: jobs without GPUs would otherwise wait for as long as a task of several GPUs waits that
    fits on no machine.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        #: One machine for each combination of type, zone and spot of machines without GPUs.
        self._cpu_only_machines = list(
            {
                (m.type.name, m.zone, m.spot): m
                for m in machines
                if m.type.gpus <= 0 and not m.draining and not m.deleting
            }.values()
        )
        self._excluded_by_shape: dict[TaskShape, bool] = {}

    def excludes(self, job: Job) -> bool:
        """Whether a job's tasks may not use the CPUs and memory reserved beside free GPUs."""
        if job.spec.gpus > 0:
            return False
        shape = TaskShape.of(job)
        excluded = self._excluded_by_shape.get(shape)
        if excluded is None:
            excluded = any(m.allows(job) and m.type.fits(job.spec) for m in self._cpu_only_machines)
            self._excluded_by_shape[shape] = excluded
        return excluded
