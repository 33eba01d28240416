"""A priority queue of names (of jobs or machines, for example) by due time. No I/O."""

from heapq import heapify, heappop, heappush


class DeadlineHeap:
    """A heap of names by due time.

    Each name, for example a job's id, has at most one due time. A replaced due time stays in the
    heap as an outdated entry, which is skipped when it reaches the top.
    """

    __slots__ = ("_due", "_heap")

    def __init__(self) -> None:
        #: The current due time and serial number of each name.
        self._due: dict[str, tuple[int, int]] = {}
        #: Entries of due time, serial number and name, with outdated ones among them.
        self._heap: list[tuple[int, int, str]] = []

    def names(self) -> set[str]:
        """Return the names that have a due time."""
        return set(self._due)

    def due_us(self, name: str) -> int | None:
        """Return the due time of a name; None if the name has none."""
        found = self._due.get(name)
        return found[0] if found is not None else None

    def set(self, name: str, serial: int, due_us: int) -> None:
        """Replace the due time of a name; at equal times the lowest serial number comes first."""
        self._due[name] = due_us, serial
        heappush(self._heap, (due_us, serial, name))
        if len(self._heap) > 64 + 4 * len(self._due):
            # Most entries are outdated by now, so the heap is rebuilt from the current ones.
            self._heap = [(at_us, number, other) for other, (at_us, number) in self._due.items()]
            heapify(self._heap)

    def drop(self, name: str) -> None:
        """Remove the due time of a name."""
        self._due.pop(name, None)

    def first_us(self) -> int | None:
        """Return the earliest due time; None if there is none."""
        while self._heap and self._due.get(self._heap[0][2]) != self._heap[0][:2]:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop(self, until_us: int) -> str | None:
        """Remove and return the earliest name if it is due by ``until_us``; None otherwise."""
        first_us = self.first_us()
        if first_us is None or first_us > until_us:
            return None
        name = heappop(self._heap)[2]
        del self._due[name]
        return name
