"""Where there is room: an index of machines by what is free. No I/O.

Machines enter a bucket by their free CPUs, and a journal whenever room may have appeared.
A shape of task that found no room need not be looked for again until the journal has
something new: room elsewhere has only shrunk since.
"""

from collections.abc import Hashable

from weldhead.cluster_state.change_feed import Registry
from weldhead.cluster_state.machines import EPSILON, Machine

#: The journal is cut when it holds so many entries, and shapes remembered before that are
#: looked for everywhere once.
MAX_JOURNAL_ENTRIES = 4_096

#: More shapes than this are not remembered.
MAX_REMEMBERED_SHAPES = 4_096


class CapacityIndex:
    """An index of the machines of a cluster; it follows them by their feed."""

    def __init__(self, machines: Registry[Machine]) -> None:
        self._machines = machines
        self._feed = machines.feeds.subscribe()
        self._buckets: dict[int, dict[str, Machine]] = {}
        #: In which bucket a machine is.
        self._buckets_by_machine: dict[str, int] = {}
        self._journal: list[Machine] = []
        #: How many entries the journal had before its present first.
        self._cut = 0
        #: Shapes that no machine has room for, with the journal's length when they were looked for.
        self._shapes_without_capacity: dict[Hashable, int] = {}
        for machine in machines.values():
            self._enter(machine)

    def close(self) -> None:
        """Stop following the machines."""
        self._feed.close()

    def refresh(self) -> None:
        """Take up what has changed."""
        for machine in self._feed.take():
            self._enter(machine)
        if len(self._journal) > MAX_JOURNAL_ENTRIES:
            self._cut += len(self._journal)
            self._journal.clear()

    def _enter(self, machine: Machine) -> None:
        name = machine.name
        place = self._buckets_by_machine.pop(name, None)
        if place is not None:
            bucket = self._buckets[place]
            del bucket[name]
            if not bucket:
                del self._buckets[place]
        if self._machines.get(name) is not machine:
            return
        place = int(machine.cpus + EPSILON)
        self._buckets.setdefault(place, {})[name] = machine
        self._buckets_by_machine[name] = place
        self._journal.append(machine)

    def machines_with(self, cpus: float, memory_gb: float) -> list[Machine]:
        """Return the machines with so much free, in the order of their entry."""
        least = int(max(0.0, cpus - EPSILON))
        found = [
            machine
            for place, bucket in self._buckets.items()
            if place >= least
            for machine in bucket.values()
            if machine.cpus >= cpus - EPSILON and machine.memory_gb >= memory_gb - EPSILON
        ]
        found.sort(key=_serial)
        return found

    def candidates(self, shape: Hashable, cpus: float, memory_gb: float) -> list[Machine]:
        """Return the machines that may have room for a shape, in the order of their entry."""
        since = self._shapes_without_capacity.get(shape)
        if since is None or since < self._cut:
            return self.machines_with(cpus, memory_gb)
        fresh = {m.name: m for m in self._journal[since - self._cut :]}
        return sorted(
            (m for m in fresh.values() if m.name in self._buckets_by_machine), key=_serial
        )

    def record_search(self, shape: Hashable, room: bool) -> None:
        """Remember whether a shape found room on any of its candidates."""
        if room:
            self._shapes_without_capacity.pop(shape, None)
            return
        if len(self._shapes_without_capacity) >= MAX_REMEMBERED_SHAPES:
            self._shapes_without_capacity.clear()
        self._shapes_without_capacity[shape] = self._cut + len(self._journal)


def _serial(machine: Machine) -> int:
    return machine.serial
