"""Tasks that need a large part of one machine, and a forecast of machines for them."""

from collections.abc import Iterable

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import EPSILON, Machine, allocate_tasks, empty_amounts
from weldhead.protocol.wire import JobSpec, MachineType
from weldhead.scheduling.reservations.reservations import Reservations


def machine_fraction(spec: JobSpec, machine_type: MachineType) -> float:
    """Return the fraction of a machine that a task needs, by the resource that it needs most of.

    A task fits if the fraction is at most 1.
    """
    return max(
        required / available if available > 0 else (float("inf") if required > 0 else 0.0)
        for required, available in (
            (spec.cpus, machine_type.cpus),
            (spec.gpus, machine_type.gpus),
            (spec.memory_gb, machine_type.memory_gb),
        )
    )


def is_wide(spec: JobSpec, types: Iterable[MachineType], wide_task_fraction: float) -> bool:
    """Whether a task needs more than the given fraction of every machine type that it fits on."""
    fractions = [machine_fraction(spec, t) for t in types if t.fits(spec)]
    return bool(fractions) and min(fractions) > wide_task_fraction + EPSILON


class WideTaskForecast:
    """Forecasts which wide tasks find a machine by the time a machine rented now would be up.

    A forecast that only sums up CPUs counts small fragments on a hundred machines as capacity.
    With such a forecast, no machine was ever rented for a task that needs them on one machine.
    """

    def __init__(
        self,
        machines: Iterable[Machine],
        pending: Iterable[tuple[MachineType, int]],
        reservations: Reservations,
        wide_task_fraction: float,
        up_us: int,
    ) -> None:
        self._wide_task_fraction = wide_task_fraction
        self._types: dict[str, MachineType] = {}
        #: Machines that are empty by ``up_us``, because they boot, are being rented, or are
        #: reserved: the machine if it exists, its type, the remaining amounts, and
        #: the job that it is reserved for.
        self._empty_machines: list[tuple[Machine | None, MachineType, list[float], str | None]] = []
        for machine in machines:
            if machine.deleting or machine.draining:
                continue
            self._types[machine.type.name] = machine.type
            reserving_job_id = reservations.machines.get(machine.name)
            available_us, _ = reservations.fill_deadlines.get(machine.name, (0, 0))
            if machine.is_booting or (reserving_job_id is not None and available_us <= up_us):
                self._empty_machines.append(
                    (machine, machine.type, empty_amounts(machine.type), reserving_job_id)
                )
        for machine_type, count in pending:
            self._types[machine_type.name] = machine_type
            self._empty_machines += [
                (None, machine_type, empty_amounts(machine_type), None) for _ in range(count)
            ]

    def shortfall(self, job: Job, count: int) -> int:
        """Return for how many of a job's waiting tasks no machine is foreseen.

        The result is 0 for tasks that are not wide. Wide tasks take up the capacity of the foreseen
        machines, so that several calls don't count the same capacity twice.
        """
        spec = job.spec
        fractions = [machine_fraction(spec, t) for t in self._types.values() if t.fits(spec)]
        if fractions and min(fractions) <= self._wide_task_fraction + EPSILON:
            return 0
        for machine, machine_type, remaining, reserving_job_id in self._empty_machines:
            if count <= 0:
                break
            if reserving_job_id not in (None, job.id) or not machine_type.fits(spec):
                continue
            if machine is not None and not machine.allows(job):
                continue
            count -= allocate_tasks(remaining, job, count)
        return max(0, count)
