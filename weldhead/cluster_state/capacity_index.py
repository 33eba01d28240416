"""An index of machines by free capacity. No I/O.

Machines are grouped into buckets by their free CPUs. A journal records each machine whose
capacity has changed. A task shape that fits on no machine is searched again only on the
machines that entered the journal since then, because no other machine can have gained capacity.
"""

from collections.abc import Hashable

from weldhead.cluster_state.change_feed import Registry
from weldhead.cluster_state.machines import EPSILON, Machine

#: The journal is cleared when it exceeds this length. Each shape remembered before that is
#: searched on all machines once.
MAX_JOURNAL_ENTRIES = 4_096

#: Limits the remembered shapes: all of them are forgotten when one more has to be added.
MAX_REMEMBERED_SHAPES = 4_096


class CapacityIndex:
    """An index of a cluster's machines that follows their change feed."""

    def __init__(self, machines: Registry[Machine]) -> None:
        self._machines = machines
        self._feed = machines.feeds.subscribe()
        #: Machines by whole free CPUs, then by name.
        self._buckets: dict[int, dict[str, Machine]] = {}
        #: The bucket that holds each machine, by machine name.
        self._buckets_by_machine: dict[str, int] = {}
        self._journal: list[Machine] = []
        #: The number of entries that were removed from the start of the journal.
        self._cleared_entries = 0
        #: Shapes that fit on no machine, with the total journal length at their last search.
        self._shapes_without_capacity: dict[Hashable, int] = {}
        for machine in machines.values():
            self._update(machine)

    def close(self) -> None:
        """Stop following the machines."""
        self._feed.close()

    def refresh(self) -> None:
        """Update the index with the machines that have changed since the last call."""
        for machine in self._feed.take():
            self._update(machine)
        if len(self._journal) > MAX_JOURNAL_ENTRIES:
            self._cleared_entries += len(self._journal)
            self._journal.clear()

    def _update(self, machine: Machine) -> None:
        """Move a machine to the bucket of its free CPUs, or remove it if it has left."""
        name = machine.name
        free_cpus = self._buckets_by_machine.pop(name, None)
        if free_cpus is not None:
            bucket = self._buckets[free_cpus]
            del bucket[name]
            if not bucket:
                del self._buckets[free_cpus]
        if self._machines.get(name) is not machine:
            return
        free_cpus = int(machine.cpus + EPSILON)
        self._buckets.setdefault(free_cpus, {})[name] = machine
        self._buckets_by_machine[name] = free_cpus
        self._journal.append(machine)

    def machines_with(self, cpus: float, memory_gb: float) -> list[Machine]:
        """Return the machines with at least these amounts free, in order of registration."""
        min_free_cpus = int(max(0.0, cpus - EPSILON))
        found = [
            machine
            for free_cpus, bucket in self._buckets.items()
            if free_cpus >= min_free_cpus
            for machine in bucket.values()
            if machine.cpus >= cpus - EPSILON and machine.memory_gb >= memory_gb - EPSILON
        ]
        found.sort(key=_serial_of)
        return found

    def candidates(self, shape: Hashable, cpus: float, memory_gb: float) -> list[Machine]:
        """Return the machines that may fit a task shape, in order of registration."""
        searched_entries = self._shapes_without_capacity.get(shape)
        if searched_entries is None or searched_entries < self._cleared_entries:
            return self.machines_with(cpus, memory_gb)
        changed = {m.name: m for m in self._journal[searched_entries - self._cleared_entries :]}
        return sorted(
            (m for m in changed.values() if m.name in self._buckets_by_machine), key=_serial_of
        )

    def record_search(self, shape: Hashable, found_capacity: bool) -> None:
        """Record whether a task shape fits on any of its candidates."""
        if found_capacity:
            self._shapes_without_capacity.pop(shape, None)
            return
        if len(self._shapes_without_capacity) >= MAX_REMEMBERED_SHAPES:
            self._shapes_without_capacity.clear()
        self._shapes_without_capacity[shape] = self._cleared_entries + len(self._journal)


def _serial_of(machine: Machine) -> int:
    return machine.serial
