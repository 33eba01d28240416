"""The machine pool: rents out machines of this site like a cloud provider, without I/O.

A machine is a share of the host that one worker manages. Calls take the current time as an
argument, in microseconds. A new rental is returned as a record that the caller persists
before it applies the rental, so that the rental survives a restart.
"""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from weldhead.clock import SECOND_US
from weldhead.protocol.wire import ListedMachine, MachineList, MachineType, RentalRequest
from weldhead.site.description import SpotSection

MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_DELETION = 100
MAX_MACHINES_PER_PAGE = 500


class PoolError(Exception):
    """The pool rejected a request; ``status`` is the HTTP status of the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Rented(msgspec.Struct, array_like=True, tag="rented", frozen=True):
    """A record of a rental and its machines; ``at_us`` is the time of day of the rental."""

    request: str
    machines: tuple[str, ...]
    kind: str
    zone: str
    spot: bool
    at_us: int


class Launched(msgspec.Struct, array_like=True, tag="launched", frozen=True):
    """A record of a started worker: its machine, process and port.

    ``started`` is the start time of the process in kernel clock ticks.
    """

    machine: str
    pid: int
    started: int
    port: int


class Gone(msgspec.Struct, array_like=True, tag="gone", frozen=True):
    """A record of a deleted machine, on which no process runs any more."""

    machine: str


Record = Rented | Launched | Gone


@dataclass
class PooledMachine:
    """A rented machine and its worker process; a time of 0 means that the event is to come."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    rented_us: int
    #: When the machine's worker was started first; 0: the worker has not been started yet.
    up_us: int = 0
    failed_us: int = 0
    gone_us: int = 0
    pid: int = 0
    started: int = 0
    port: int = 0
    #: A machine that is being deleted counts against the capacity until its processes ended.
    is_being_deleted: bool = False


@dataclass
class Pool:
    """The machines and rentals of a site, and the capacity for more machines.

    ``cores`` bounds the CPUs of all machines, ``at_most`` the number of machines of a type.
    Machine lists show the state of ``list_lag_us`` ago. ``rentals`` is keyed by the name that
    the client gave its request, so that a repeated request gets the same answer.
    """

    types: Sequence[MachineType]
    cores: float
    list_lag_us: int
    at_most: dict[str, int] = field(default_factory=dict)
    machines: dict[str, PooledMachine] = field(default_factory=dict)
    rentals: dict[str, tuple[Rented, tuple[str, ...]]] = field(default_factory=dict)
    _machines_rented: int = 0

    def load(self, records: Iterable[Record]) -> None:
        """Apply records after a restart; machines that were not deleted are still rented."""
        types_by_name = {machine_type.name: machine_type for machine_type in self.types}
        for record in records:
            match record:
                case Rented():
                    self._machines_rented += len(record.machines)
                    self.rentals[record.request] = (record, record.machines)
                    for name in record.machines:
                        if record.kind in types_by_name:
                            self._add_machine(name, types_by_name[record.kind], record)
                case Launched(name, pid, started, port):
                    if name in self.machines:
                        machine = self.machines[name]
                        machine.pid, machine.started, machine.port = pid, started, port
                        machine.up_us = machine.up_us or machine.rented_us
                case Gone(name):
                    self.machines.pop(name, None)

    def records(self) -> Iterator[Record]:
        """Yield records that make an empty pool equal to this one."""
        for rental, _ in self.rentals.values():
            yield rental
            for name in rental.machines:
                machine = self.machines.get(name)
                if machine is None or machine.gone_us:
                    yield Gone(name)
                elif machine.pid:
                    yield Launched(name, machine.pid, machine.started, machine.port)

    def _add_machine(self, name: str, machine_type: MachineType, rental: Rented) -> PooledMachine:
        machine = PooledMachine(name, machine_type, rental.zone, rental.spot, rental.at_us)
        self.machines[name] = machine
        return machine

    def _present_machines(self) -> Iterator[PooledMachine]:
        return (machine for machine in self.machines.values() if not machine.gone_us)

    def room(self, machine_type: MachineType) -> int:
        """Return how many more machines of a type the capacity allows."""
        present = list(self._present_machines())
        free_cores = self.cores - sum(machine.type.cpus for machine in present)
        count = int(free_cores / machine_type.cpus + 1e-9)
        if machine_type.name in self.at_most:
            same_type = sum(machine.type.name == machine_type.name for machine in present)
            count = min(count, self.at_most[machine_type.name] - same_type)
        return max(0, count)

    def rent(self, request: RentalRequest, now_us: int) -> tuple[list[str], Rented | None]:
        """Return the names of the rented machines, and the record of a new rental.

        The caller persists the record and passes it to :meth:`rented`; for a repeated request
        the record is None.
        """
        existing = self.rentals.get(request.request)
        if existing is not None:
            return list(existing[1]), None
        machine_type = next(
            (machine_type for machine_type in self.types if machine_type.name == request.type), None
        )
        if machine_type is None or request.zone not in machine_type.zones:
            raise PoolError(400, f"no type {request.type!r} in zone {request.zone!r}")
        if (
            not 1 <= request.count <= MAX_MACHINES_PER_RENTAL
            or not 1 <= len(request.request) <= 200
        ):
            raise PoolError(
                400, f"how_many must be 1 to {MAX_MACHINES_PER_RENTAL}, and hire a name"
            )
        count = min(request.count, self.room(machine_type))
        if count == 0:
            raise PoolError(503, "no capacity")
        names = tuple(f"vm-{self._machines_rented + number + 1:06}" for number in range(count))
        record = Rented(
            request.request, names, machine_type.name, request.zone, request.spot, now_us
        )
        return list(names), record

    def rented(self, record: Rented) -> list[PooledMachine]:
        """Add and return the machines of a new rental whose record is persisted."""
        machine_type = next(
            machine_type for machine_type in self.types if machine_type.name == record.kind
        )
        self._machines_rented += len(record.machines)
        self.rentals[record.request] = (record, record.machines)
        return [self._add_machine(name, machine_type, record) for name in record.machines]

    def leave(self, names: Sequence[str]) -> list[PooledMachine]:
        """Mark the named machines as being deleted, and return those that exist."""
        marked = []
        for name in dict.fromkeys(names):
            machine = self.machines.get(name)
            if machine is not None and not machine.gone_us:
                machine.is_being_deleted = True
                marked.append(machine)
        return marked

    def gone(self, name: str, now_us: int) -> None:
        """Mark a machine as deleted; lists omit the machine once the list lag has passed."""
        machine = self.machines.get(name)
        if machine is not None:
            machine.gone_us = now_us

    def listing(self, after: str, limit: int, now_us: int) -> MachineList:
        """Return up to ``limit`` machines whose names sort after ``after``.

        The page shows the machines as they were ``list_lag_us`` ago.
        """
        if not 1 <= limit <= MAX_MACHINES_PER_PAGE:
            raise PoolError(400, f"most must be 1 to {MAX_MACHINES_PER_PAGE}")
        as_of_us = now_us - self.list_lag_us
        for name, machine in list(self.machines.items()):
            if machine.gone_us and machine.gone_us <= as_of_us:
                del self.machines[name]
        names = sorted(
            name
            for name, machine in self.machines.items()
            if name > after and machine.rented_us <= as_of_us
        )
        items = []
        for name in names[:limit]:
            machine = self.machines[name]
            is_up = 0 < machine.up_us <= as_of_us
            has_failed = 0 < machine.failed_us <= as_of_us
            items.append(
                ListedMachine(
                    id=name,
                    type=machine.type.name,
                    zone=machine.zone,
                    spot=machine.spot,
                    state="failed" if has_failed else "running" if is_up else "starting",
                    age_s=(as_of_us - machine.rented_us) / SECOND_US,
                    address=f"127.0.0.1:{machine.port}" if machine.port else None,
                )
            )
        return MachineList(items, len(names) > limit)


@dataclass(frozen=True)
class Recall:
    """When the pool reclaims a spot machine, and when its worker is notified of that.

    ``notice_us`` is None for a machine that is reclaimed without notice.
    """

    notice_us: int | None
    reclaim_us: int


def plan_recall(spot: SpotSection, name: str, rented_us: int) -> Recall | None:
    """Draw the time at which a spot machine is reclaimed; None if it never is.

    The seed and the machine's name determine the result, so it is the same after a restart.
    """
    if spot.mean_life_s <= 0:
        return None
    generator = random.Random(f"{spot.seed}/{name}")
    reclaim_us = rented_us + round(generator.expovariate(1 / spot.mean_life_s) * SECOND_US)
    if generator.random() < spot.unannounced:
        return Recall(None, reclaim_us)
    notice_us = round(spot.notice_s * generator.uniform(0.5, 1.5) * SECOND_US)
    return Recall(reclaim_us, reclaim_us + notice_us)
