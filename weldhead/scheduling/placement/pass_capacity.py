"""The machines that may take work in one placement pass."""

from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.backlog_entry import TaskShape
from weldhead.scheduling.placement.eligibility import usable
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.placement.scoring import fetch_delay_us
from weldhead.scheduling.reservations.reservations import Reservations

#: Work that ends before a held machine is wanted may still run there: its estimate counts so
#: many times, as estimates are rough.
FILL_FACTOR = 2


class PassCapacity:
    """The machines that may take work in this pass.

    In a pass room only shrinks, so a shape that found none is not looked for again, and
    between passes not before some appears (``CapacityIndex``).
    """

    def __init__(
        self,
        free: CapacityIndex,
        at_us: int,
        silence_us: int,
        reservations: Reservations | None = None,
        estimates: RunTimeEstimates | None = None,
    ) -> None:
        self._free = free
        #: Machines that are held for others' work, and until when that cannot begin there.
        self._reserved = reservations.machines if reservations is not None else {}
        self._until_us = reservations.until_us if reservations is not None else {}
        self._estimates = estimates
        self._at_us = at_us
        self._silence_us = silence_us
        self._rooms: dict[str, FreeCapacity] = {}
        self._hopeless: set[TaskShape] = set()
        #: Set before the first job is placed: cards are wanted (``FreeCapacity.keep``).
        self.gpu_reservation: GpuReservation | None = None

    def has_no_capacity_for(self, job: Job) -> bool:
        """Whether it is known that no machine has room for the job's tasks."""
        return TaskShape.of(job) in self._hopeless

    def capacity_of(self, machine: Machine) -> FreeCapacity:
        """Return what is left of a machine in this pass."""
        room = self._rooms.get(machine.name)
        if room is None:
            room = self._rooms[machine.name] = FreeCapacity(machine, self.gpu_reservation)
        return room

    def _may_fill(self, job: Job, room: FreeCapacity) -> bool:
        """Whether a task surely ends before a held machine can be used as it is to be."""
        until_us, _ = self._until_us.get(room.machine.name, (0, 0))
        if until_us <= self._at_us or self._estimates is None or job.spec.is_service:
            return False
        task_us = self._estimates.task_us(job)
        # One of no estimate may run for ever.
        return task_us > 0 and (
            self._at_us + fetch_delay_us(job, room) + FILL_FACTOR * task_us <= until_us
        )

    def candidates_for(self, job: Job) -> list[FreeCapacity]:
        """Return the machines with room for the job's tasks."""
        shape = TaskShape.of(job)
        if shape in self._hopeless:
            return []
        fitting = []
        kept = False
        spec = job.spec
        anywhere = spec.spot and spec.types is None and spec.zone is None
        for machine in self._free.candidates(shape, spec.cpus, spec.memory_gb):
            if not anywhere and not machine.allows(job):
                continue
            if not usable(machine, self._at_us, self._silence_us):
                continue
            room = self.capacity_of(machine)
            if machine.name in self._reserved and not self._may_fill(job, room):
                continue
            if room.capacity_for(job) > 0:
                fitting.append(room)
            else:
                # Once the cards are not wanted any more, it has room with no change of its own.
                kept = kept or room.gpu_reservation is not None
        self._free.record_search(shape, bool(fitting) or kept)
        if not fitting:
            self._hopeless.add(shape)
        return fitting


class ReservedCapacity:
    """A machine that is held, for the job that it is held for."""

    def __init__(self, room: FreeCapacity) -> None:
        self._room = room

    def candidates_for(self, job: Job) -> list[FreeCapacity]:
        """Return the machine if it has room for the job's tasks."""
        return [self._room] if self._room.capacity_for(job) > 0 else []
