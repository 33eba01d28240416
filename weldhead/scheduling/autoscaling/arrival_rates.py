"""How much work keeps arriving, by priority. No I/O.

A forecast that knows only what waits now is hopeful for the lower priorities: whatever
arrives above them in the meantime goes first.
"""

import math

#: Arrivals above are taken to leave at least this share of the fleet.
LEAST_SHARE = 0.25


class ArrivalRates:
    """Fading rates of arriving work, in CPUs that it would keep busy."""

    def __init__(self, memory_us: int) -> None:
        #: Arrivals fade with this time constant.
        self._memory_us = memory_us
        self._levels: dict[int, tuple[float, int]] = {}

    def record(self, level: int, cpu_us: float, at_us: int) -> None:
        """Note work that arrived."""
        total, since_us = self._levels.get(level, (0.0, at_us))
        if at_us >= since_us:
            total = total * math.exp((since_us - at_us) / self._memory_us) + cpu_us
            self._levels[level] = (total, at_us)
        else:
            # Read from the store out of order, at the start of a term.
            total += cpu_us * math.exp((at_us - since_us) / self._memory_us)
            self._levels[level] = (total, since_us)

    def cpus_above(self, level: int, at_us: int) -> float:
        """Return how many CPUs the work that arrives above a level would keep busy."""
        return sum(
            total * math.exp(min(0, since_us - at_us) / self._memory_us) / self._memory_us
            for other, (total, since_us) in self._levels.items()
            if other > level
        )

    def delay_factor(self, level: int, capacity: float, at_us: int) -> float:
        """By what factor waiting at a level takes longer than what waits now lets it seem."""
        if capacity <= 0:
            return 1.0
        return 1 / max(LEAST_SHARE, 1 - self.cpus_above(level, at_us) / capacity)
