"""Forecast of when single machines have capacity for a task.

``CapacityForecast`` adds up one resource over the whole fleet. The sum contains capacity that a
task can never use: free CPUs on a machine whose memory is in use, on a machine that the job's
rules exclude, or in fragments that are smaller than the task. This forecast looks at one machine
at a time and uses the rules by which placement selects machines. It bounds the start times of the
coarse forecast from below.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import pairwise

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine, allocate_tasks, empty_amounts
from weldhead.provisioning.boot_times import BootExpectations
from weldhead.scheduling.autoscaling.rental_offers import (
    PendingRental,
    RentalOffer,
    can_run_on_offer,
)
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.backlog_entry import TaskShape, exclusive_id
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.reservations.availability import estimate_available_us

#: Start times, each with the number of tasks that start then, in the order of the tasks. None:
#: never.
TaskStarts = list[tuple[int | None, int]]

#: Maximum number of machines whose running tasks one forecast examines. If none of them has
#: capacity in time, one of the others is assumed to have it. Machines that services fill for good
#: are recognized without this and do not count.
MAX_EXAMINED_MACHINES = 300

#: Tasks that run one after the other on new machines are forecast for so many rounds; all further
#: tasks are assumed to start in the last round.
MAX_FORECAST_ROUNDS = 32


@dataclass
class _NewMachine:
    """A machine that boots or is being rented, with its remaining amounts."""

    offer: RentalOffer
    ready_us: int
    remaining: list[float]
    #: None while the machine is being rented.
    machine: Machine | None = None

    def allows(self, job: Job) -> bool:
        """Whether a task of the job may run on the machine."""
        if self.machine is not None and not self.machine.accepts_new_tasks:
            return False
        return can_run_on_offer(self.offer, job)


class MachineAvailability:
    """Forecasts when machines have capacity for tasks, one machine at a time."""

    def __init__(
        self,
        cluster: Cluster,
        pending: Iterable[PendingRental],
        estimates: RunTimeEstimates,
        at_us: int,
        boots: BootExpectations,
        silent_machines: Collection[str],
        in_time_us: int,
        gpu_reservation: GpuReservation | None = None,
    ) -> None:
        """Forecast from a snapshot of the cluster; machines in ``silent_machines`` don't count.

        A machine that has capacity by ``in_time_us`` ends the search for others.
        ``gpu_reservation`` is the one of the last placement pass.
        """
        self._cluster = cluster
        self._pending = pending
        self._estimates = estimates
        self._at_us = at_us
        self._boots = boots
        self._silent_machines = silent_machines
        self._in_time_us = in_time_us
        self._gpu_reservation = gpu_reservation
        self._remaining_examinations = MAX_EXAMINED_MACHINES
        self._earliest_by_kind: dict[tuple[TaskShape, int, str], int | None] = {}
        self._new_machines: list[_NewMachine] | None = None
        #: What services hold, by machine; None until first needed.
        self._held_by_services: dict[str, list[float]] | None = None

    def starts(self, job: Job, count: int, ready_us: int, task_us: int) -> TaskStarts:
        """Return when ``count`` tasks that are ready at ``ready_us`` can start at the earliest.

        The tasks take up the capacity of the new machines that they need, so that several calls
        don't count it twice.
        """
        earliest_us = self._earliest_on_running_machines(job)
        if earliest_us is not None and earliest_us <= self._in_time_us:
            return [(max(ready_us, earliest_us), count)]
        starts: TaskStarts = []
        for new_machine in self._find_new_machines():
            if count <= 0:
                break
            if not new_machine.allows(job):
                continue
            started = allocate_tasks(new_machine.remaining, job, count)
            if started:
                starts.append((max(ready_us, new_machine.ready_us), started))
                count -= started
        if count > 0:
            starts += self._later_starts(job, count, ready_us, task_us, starts, earliest_us)
        return starts

    def _later_starts(
        self,
        job: Job,
        count: int,
        ready_us: int,
        task_us: int,
        first_starts: TaskStarts,
        earliest_us: int | None,
    ) -> TaskStarts:
        """Return the starts of tasks for which new machines have no capacity at first."""
        if earliest_us is not None:
            return [(max(ready_us, earliest_us), count)]
        if job.spec.is_service or not first_starts:
            return [(None, count)]
        # Each task is followed by others in its place.
        slots = sum(started for _, started in first_starts)
        start_us = max(start_us or 0 for start_us, _ in first_starts)
        starts: TaskStarts = []
        while count > 0:
            start_us += task_us
            is_last = len(starts) + 1 == MAX_FORECAST_ROUNDS
            started = count if is_last else min(slots, count)
            starts.append((start_us, started))
            count -= started
        return starts

    def _earliest_on_running_machines(self, job: Job) -> int | None:
        """Return when a machine that is up has capacity for one task; None: never."""
        kind = TaskShape.of(job), job.effective_level, exclusive_id(job)
        if kind not in self._earliest_by_kind:
            self._earliest_by_kind[kind] = self._search_running_machines(job)
        return self._earliest_by_kind[kind]

    def _search_running_machines(self, job: Job) -> int | None:
        earliest_us: int | None = None
        for machine in self._cluster.machines.values():
            if machine.is_booting or not self._may_run_on(machine, job):
                continue
            if self._remaining_examinations <= 0:
                return self._in_time_us
            self._remaining_examinations -= 1
            available_us = estimate_available_us(
                machine, job, self._estimates, self._at_us, cautious=True
            )
            if available_us is None:
                continue
            if available_us <= self._in_time_us:
                return available_us
            earliest_us = available_us if earliest_us is None else min(earliest_us, available_us)
        return earliest_us

    def _may_run_on(self, machine: Machine, job: Job) -> bool:
        """Whether a task may run on a machine once all tasks but services have ended there."""
        if machine.name in self._silent_machines or job.avoids(machine.name):
            return False
        if job.capacity_in_zone(machine.zone) <= 0 or self._is_reserved_for_gpus(machine, job):
            return False
        if self._held_by_services is None:
            self._held_by_services = self._cluster.amounts_held_by_services()
        return machine.could_run(job, self._held_by_services.get(machine.name))

    def _is_reserved_for_gpus(self, machine: Machine, job: Job) -> bool:
        """Whether the capacity beside free GPUs is kept from a job that waits for it."""
        reservation = self._gpu_reservation
        if reservation is None or machine.type.gpus <= 0 or not reservation.excludes(job):
            return False
        return FreeCapacity(machine, reservation).capacity_for(job) <= 0

    def _find_new_machines(self) -> list[_NewMachine]:
        """Return the machines that boot in time or are being rented, the earliest first."""
        if self._new_machines is None:
            self._new_machines = [
                _NewMachine(
                    RentalOffer(machine.type, machine.zone, machine.spot),
                    self._boots.ready_us(machine, self._at_us),
                    machine.free_amounts(),
                    machine,
                )
                for machine in self._cluster.machines.values()
                if machine.is_booting
                and not self._boots.is_late(machine, self._at_us)
                and machine.name not in self._silent_machines
            ]
            for item in self._pending:
                ready_us = self._at_us + seconds_us(item.type.boot_s)
                offer = RentalOffer(item.type, item.zone, item.spot)
                self._new_machines += [
                    _NewMachine(offer, ready_us, empty_amounts(item.type))
                    for _ in range(item.count)
                ]
            self._new_machines.sort(key=lambda new_machine: new_machine.ready_us)
        return self._new_machines


def latest_starts(first: TaskStarts, second: TaskStarts) -> TaskStarts:
    """Return the later of two start times for each task; both sequences have as many tasks."""
    bounds = sorted({0, *_ends(first), *_ends(second)})
    merged: TaskStarts = []
    first_times, second_times = _times_at(first, bounds), _times_at(second, bounds)
    for (start, end), one_us, other_us in zip(
        pairwise(bounds), first_times, second_times, strict=True
    ):
        is_never = one_us is None or other_us is None
        merged.append((None if is_never else max(one_us or 0, other_us or 0), end - start))
    return merged


def _ends(starts: TaskStarts) -> list[int]:
    """Return, for each start time, the number of tasks that have started by then."""
    ends: list[int] = []
    for _, count in starts:
        ends.append((ends[-1] if ends else 0) + count)
    return ends


def _times_at(starts: TaskStarts, bounds: list[int]) -> list[int | None]:
    """Return the start time of the tasks between each two bounds."""
    times: list[int | None] = []
    position = 0
    ends = _ends(starts)
    for bound in bounds[:-1]:
        while ends[position] <= bound:
            position += 1
        times.append(starts[position][0])
    return times
