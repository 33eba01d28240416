"""Tasks that take most of a machine: how wide they are, and whether they will find one."""

from collections.abc import Iterable

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import EPSILON, Machine, tasks_that_fit
from weldhead.protocol.wire import JobSpec, MachineType
from weldhead.scheduling.reservations.reservations import Reservations


def portion(spec: JobSpec, machine_type: MachineType) -> float:
    """Return which part of a machine a task takes, of what it takes most of; 1 or less fits."""
    return max(
        required_units / have if have > 0 else (float("inf") if required_units > 0 else 0.0)
        for required_units, have in (
            (spec.cpus, machine_type.cpus),
            (spec.gpus, machine_type.gpus),
            (spec.memory_gb, machine_type.memory_gb),
        )
    )


def is_wide(spec: JobSpec, types: Iterable[MachineType], least: float) -> bool:
    """Whether a task takes a large part of each of these machines that it may run on."""
    portions = [portion(spec, t) for t in types if t.fits(spec)]
    return bool(portions) and min(portions) > least + EPSILON


class WideTaskForecast:
    """Which wide tasks will find a machine by the time at which one rented now would be up.

    A forecast that counts CPUs takes a hundred pieces on as many machines for room, and
    nothing was ever rented for a task that needs them in one place.
    """

    def __init__(
        self,
        machines: Iterable[Machine],
        pending: Iterable[tuple[MachineType, int]],
        reservations: Reservations,
        least: float,
        up_us: int,
    ) -> None:
        self._least = least
        self._types: dict[str, MachineType] = {}
        #: What is left of each: of what is about to be up, and of what is held until then.
        self._rooms: list[tuple[Machine | None, MachineType, list[float], str | None]] = []
        for machine in machines:
            if machine.deleting or machine.draining:
                continue
            self._types[machine.type.name] = machine.type
            holder = reservations.machines.get(machine.name)
            until_us, _ = reservations.until_us.get(machine.name, (0, 0))
            if machine.booting or (holder is not None and until_us <= up_us):
                self._rooms.append((machine, machine.type, _whole(machine.type), holder))
        for kind, count in pending:
            self._types[kind.name] = kind
            self._rooms += [(None, kind, _whole(kind), None) for _ in range(count)]

    def shortfall(self, job: Job, count: int) -> int:
        """Return how many of a job's waiting tasks none of them takes; 0 if they are not wide."""
        spec = job.spec
        portions = [portion(spec, t) for t in self._types.values() if t.fits(spec)]
        if portions and min(portions) <= self._least + EPSILON:
            return 0
        for machine, kind, left, holder in self._rooms:
            if count <= 0:
                break
            if holder not in (None, job.id) or not kind.fits(spec):
                continue
            if machine is not None and not machine.allows(job):
                continue
            taken = min(count, tasks_that_fit(spec, *left))
            left[0] -= spec.cpus * taken
            left[1] -= spec.gpus * taken
            left[2] -= spec.memory_gb * taken
            count -= taken
        return max(0, count)


def _whole(kind: MachineType) -> list[float]:
    return [kind.cpus, kind.gpus, kind.memory_gb]
