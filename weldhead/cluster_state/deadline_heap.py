"""Names by the moment at which each is due; a name has one moment at a time. No I/O."""

from heapq import heapify, heappop, heappush


class DeadlineHeap:
    """A heap of moments, in which a name's earlier entries are passed over."""

    __slots__ = ("_due", "_heap")

    def __init__(self) -> None:
        self._due: dict[str, tuple[int, int]] = {}
        self._heap: list[tuple[int, int, str]] = []

    def names(self) -> set[str]:
        """Return the names that are due at some time."""
        return set(self._due)

    def due_us(self, name: str) -> int | None:
        """Return when a name is due; None: never."""
        found = self._due.get(name)
        return found[0] if found is not None else None

    def set(self, name: str, serial: int, due_us: int) -> None:
        """Let a name be due at that moment only; of one moment the lowest serial comes first."""
        self._due[name] = due_us, serial
        heappush(self._heap, (due_us, serial, name))
        if len(self._heap) > 64 + 4 * len(self._due):
            # Mostly entries that are not true any more.
            self._heap = [(at_us, number, other) for other, (at_us, number) in self._due.items()]
            heapify(self._heap)

    def drop(self, name: str) -> None:
        """Let a name be due no more."""
        self._due.pop(name, None)

    def first_us(self) -> int | None:
        """Return the earliest moment; None: there is none."""
        while self._heap and self._due.get(self._heap[0][2]) != self._heap[0][:2]:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop(self, until_us: int) -> str | None:
        """Take out the first name if it is due by then."""
        first_us = self.first_us()
        if first_us is None or first_us > until_us:
            return None
        name = heappop(self._heap)[2]
        del self._due[name]
        return name
