"""The pool: machines of this site as PROTOCOL's cloud rents them, without I/O.

A machine is a share of the host that one worker looks after. Every call is given the time
(microseconds); what must outlive the process is returned as records before it is done.
"""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from weldhead.clock import SECOND_US
from weldhead.protocol.wire import ListedMachine, MachineList, MachineType, RentalRequest
from weldhead.site.description import SpotSection

MOST_RENTED = 50
MOST_DELETED = 100
MOST_LISTED = 500


class PoolError(Exception):
    """A call that is refused; ``status`` is its HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Rented(msgspec.Struct, array_like=True, tag="rented", frozen=True):
    """A rental was answered with these machines; ``at_us`` is the time of day."""

    request: str
    machines: tuple[str, ...]
    kind: str
    zone: str
    spot: bool
    at_us: int


class Launched(msgspec.Struct, array_like=True, tag="launched", frozen=True):
    """A machine's worker runs as this process, at this port."""

    machine: str
    pid: int
    started: int
    port: int


class Gone(msgspec.Struct, array_like=True, tag="gone", frozen=True):
    """A machine and everything on it are gone."""

    machine: str


Record = Rented | Launched | Gone


@dataclass
class PooledMachine:
    """A machine of the pool."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    rented_us: int
    #: 0: its worker has not been started yet.
    up_us: int = 0
    failed_us: int = 0
    gone_us: int = 0
    pid: int = 0
    started: int = 0
    port: int = 0
    #: Being deleted: it keeps its room until everything on it is gone.
    leaving: bool = False


@dataclass
class Pool:
    """Machines, rentals by name, and what room is left."""

    types: Sequence[MachineType]
    cores: float
    lag_us: int
    at_most: dict[str, int] = field(default_factory=dict)
    machines: dict[str, PooledMachine] = field(default_factory=dict)
    rentals: dict[str, tuple[Rented, tuple[str, ...]]] = field(default_factory=dict)
    _count: int = 0

    def load(self, records: Iterable[Record]) -> None:
        """Take up what was recorded; machines that were rented are there still."""
        by_name = {one.name: one for one in self.types}
        for record in records:
            match record:
                case Rented():
                    self._count += len(record.machines)
                    self.rentals[record.request] = (record, record.machines)
                    for name in record.machines:
                        if record.kind in by_name:
                            self._add(name, by_name[record.kind], record)
                case Launched(name, pid, started, port):
                    if name in self.machines:
                        machine = self.machines[name]
                        machine.pid, machine.started, machine.port = pid, started, port
                        machine.up_us = machine.up_us or machine.rented_us
                case Gone(name):
                    self.machines.pop(name, None)

    def records(self) -> Iterator[Record]:
        """Return records that make another pool equal to this one."""
        for rental, _ in self.rentals.values():
            yield rental
            for name in rental.machines:
                machine = self.machines.get(name)
                if machine is None or machine.gone_us:
                    yield Gone(name)
                elif machine.pid:
                    yield Launched(name, machine.pid, machine.started, machine.port)

    def _add(self, name: str, kind: MachineType, rental: Rented) -> PooledMachine:
        machine = PooledMachine(name, kind, rental.zone, rental.spot, rental.at_us)
        self.machines[name] = machine
        return machine

    def _present(self) -> Iterator[PooledMachine]:
        return (machine for machine in self.machines.values() if not machine.gone_us)

    def room(self, kind: MachineType) -> int:
        """Return how many more machines of a type there is room for."""
        present = list(self._present())
        free = self.cores - sum(machine.type.cpus for machine in present)
        count = int(free / kind.cpus + 1e-9)
        if kind.name in self.at_most:
            same = sum(machine.type.name == kind.name for machine in present)
            count = min(count, self.at_most[kind.name] - same)
        return max(0, count)

    def rent(self, request: RentalRequest, now_us: int) -> tuple[list[str], Rented | None]:
        """Rent machines: their names, and what to record first if the rental is new."""
        known = self.rentals.get(request.request)
        if known is not None:
            return list(known[1]), None
        kind = next((one for one in self.types if one.name == request.type), None)
        if kind is None or request.zone not in kind.zones:
            raise PoolError(400, f"no type {request.type!r} in zone {request.zone!r}")
        if not 1 <= request.count <= MOST_RENTED or not 1 <= len(request.request) <= 200:
            raise PoolError(400, f"how_many must be 1 to {MOST_RENTED}, and hire a name")
        count = min(request.count, self.room(kind))
        if count == 0:
            raise PoolError(503, "no capacity")
        names = tuple(f"vm-{self._count + number + 1:06}" for number in range(count))
        record = Rented(request.request, names, kind.name, request.zone, request.spot, now_us)
        return list(names), record

    def rented(self, record: Rented) -> list[PooledMachine]:
        """A new rental is on record: its machines are there now."""
        kind = next(one for one in self.types if one.name == record.kind)
        self._count += len(record.machines)
        self.rentals[record.request] = (record, record.machines)
        return [self._add(name, kind, record) for name in record.machines]

    def leave(self, names: Sequence[str]) -> list[PooledMachine]:
        """Return the machines among the names that are to be ended."""
        found = []
        for name in dict.fromkeys(names):
            machine = self.machines.get(name)
            if machine is not None and not machine.gone_us:
                machine.leaving = True
                found.append(machine)
        return found

    def gone(self, name: str, now_us: int) -> None:
        """A machine and everything on it are gone; lists say so later."""
        machine = self.machines.get(name)
        if machine is not None:
            machine.gone_us = now_us

    def listing(self, start: str, most: int, now_us: int) -> MachineList:
        """Return a page of the list, as it was a while ago."""
        if not 1 <= most <= MOST_LISTED:
            raise PoolError(400, f"most must be 1 to {MOST_LISTED}")
        as_of_us = now_us - self.lag_us
        for name, machine in list(self.machines.items()):
            if machine.gone_us and machine.gone_us <= as_of_us:
                del self.machines[name]
        names = sorted(
            name
            for name, machine in self.machines.items()
            if name > start and machine.rented_us <= as_of_us
        )
        items = []
        for name in names[:most]:
            machine = self.machines[name]
            up = 0 < machine.up_us <= as_of_us
            failed = 0 < machine.failed_us <= as_of_us
            items.append(
                ListedMachine(
                    id=name,
                    type=machine.type.name,
                    zone=machine.zone,
                    spot=machine.spot,
                    state="failed" if failed else "running" if up else "starting",
                    age_s=(as_of_us - machine.rented_us) / SECOND_US,
                    address=f"127.0.0.1:{machine.port}" if machine.port else None,
                )
            )
        return MachineList(items, len(names) > most)


@dataclass(frozen=True)
class Recall:
    """When a spot machine is taken: told at ``notice_us`` (None: not told), then taken."""

    notice_us: int | None
    taken_us: int


def plan_recall(spot: SpotSection, name: str, rented_us: int) -> Recall | None:
    """Draw a spot machine's end; the same machine always has the same one."""
    if spot.mean_life_s <= 0:
        return None
    drawn = random.Random(f"{spot.seed}/{name}")
    taken_us = rented_us + round(drawn.expovariate(1 / spot.mean_life_s) * SECOND_US)
    if drawn.random() < spot.unannounced:
        return Recall(None, taken_us)
    notice_us = round(spot.notice_s * drawn.uniform(0.5, 1.5) * SECOND_US)
    return Recall(taken_us, taken_us + notice_us)
