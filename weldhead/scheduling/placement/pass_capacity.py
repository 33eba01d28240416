"""The machines that may receive tasks in one placement pass."""

from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.backlog_entry import TaskShape
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.placement.scoring import estimate_fetch_delay_us
from weldhead.scheduling.reservations.reservations import Reservations

#: Another job's task may still start on a reserved machine if it ends before the reserving job
#: can start there. Estimates are rough, so the estimated run time is multiplied by this factor.
FILL_RUN_TIME_FACTOR = 2


class PassCapacity:
    """Free capacity of the machines that may receive tasks in one placement pass.

    Capacity only shrinks during a pass, so a task shape that found none is not searched again in
    that pass. ``CapacityIndex`` avoids further searches between passes until capacity may have
    become free.
    """

    def __init__(
        self,
        capacity_index: CapacityIndex,
        at_us: int,
        silence_us: int,
        reservations: Reservations | None = None,
        estimates: RunTimeEstimates | None = None,
    ) -> None:
        self._capacity_index = capacity_index
        #: Reserved machines, and the times by which other jobs' tasks must have ended there.
        self._reserved = reservations.machines if reservations is not None else {}
        self._fill_deadlines = reservations.fill_deadlines if reservations is not None else {}
        self._estimates = estimates
        self._at_us = at_us
        self._silence_us = silence_us
        self._capacity_by_machine: dict[str, FreeCapacity] = {}
        self._shapes_without_capacity: set[TaskShape] = set()
        #: Set before the first job is placed if jobs that need GPUs wait
        #: (``FreeCapacity.gpu_reservation``).
        self.gpu_reservation: GpuReservation | None = None

    def has_no_capacity_for(self, job: Job) -> bool:
        """Whether an earlier search in this pass found no machine for the job's tasks."""
        return TaskShape.of(job) in self._shapes_without_capacity

    def capacity_of(self, machine: Machine) -> FreeCapacity:
        """Return the free capacity of a machine in this pass."""
        capacity = self._capacity_by_machine.get(machine.name)
        if capacity is None:
            capacity = self._capacity_by_machine[machine.name] = FreeCapacity(
                machine, self.gpu_reservation
            )
        return capacity

    def _can_fill(self, job: Job, capacity: FreeCapacity) -> bool:
        """Whether a task will end before the reserving job can use the reserved machine."""
        fill_deadline_us, _ = self._fill_deadlines.get(capacity.machine.name, (0, 0))
        if fill_deadline_us <= self._at_us or self._estimates is None or job.spec.is_service:
            return False
        task_us = self._estimates.task_us(job)
        # A task without an estimate may run forever.
        return task_us > 0 and (
            self._at_us + estimate_fetch_delay_us(job, capacity) + FILL_RUN_TIME_FACTOR * task_us
            <= fill_deadline_us
        )

    def candidates_for(self, job: Job) -> list[FreeCapacity]:
        """Return the machines that have capacity for at least one of the job's tasks."""
        shape = TaskShape.of(job)
        if shape in self._shapes_without_capacity:
            return []
        fitting = []
        blocked_by_gpu_reservation = False
        spec = job.spec
        is_unconstrained = spec.spot and spec.types is None and spec.zone is None
        for machine in self._capacity_index.candidates(shape, spec.cpus, spec.memory_gb):
            if not is_unconstrained and not machine.allows(job):
                continue
            if not is_schedulable(machine, self._at_us, self._silence_us):
                continue
            capacity = self.capacity_of(machine)
            if machine.name in self._reserved and not self._can_fill(job, capacity):
                continue
            if capacity.capacity_for(job) > 0:
                fitting.append(capacity)
            else:
                # The end of a GPU reservation frees capacity without a change of the machine, so
                # the index must not remember that the shape found none.
                blocked_by_gpu_reservation = (
                    blocked_by_gpu_reservation or capacity.gpu_reservation is not None
                )
        self._capacity_index.record_search(shape, bool(fitting) or blocked_by_gpu_reservation)
        if not fitting:
            self._shapes_without_capacity.add(shape)
        return fitting


class ReservedCapacity:
    """The capacity of one reserved machine, offered to the job that it is reserved for."""

    def __init__(self, capacity: FreeCapacity) -> None:
        self._capacity = capacity

    def candidates_for(self, job: Job) -> list[FreeCapacity]:
        """Return the machine if at least one of the job's tasks fits there."""
        return [self._capacity] if self._capacity.capacity_for(job) > 0 else []
