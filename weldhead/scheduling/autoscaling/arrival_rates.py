"""Rates at which new work arrives, by priority level. No I/O.

A forecast that knows only the tasks that wait now is too optimistic for the lower priorities:
work of higher priority that arrives in the meantime is placed first.
"""

import math

#: The smallest share of the fleet that arriving work of higher priority is assumed to leave.
MIN_REMAINING_SHARE = 0.25


class ArrivalRates:
    """Exponentially decaying rates of arriving work, in CPUs that the work would keep busy."""

    def __init__(self, decay_time_us: int) -> None:
        #: The time constant of the decay: after it, an arrival counts 1/e of its work.
        self._decay_time_us = decay_time_us
        #: By priority level: decayed CPU microseconds, and the time as of which they are valid.
        self._levels: dict[int, tuple[float, int]] = {}

    def record(self, level: int, cpu_us: float, at_us: int) -> None:
        """Record the arrival of work of a priority level, in CPU microseconds."""
        total, since_us = self._levels.get(level, (0.0, at_us))
        if at_us >= since_us:
            total = total * math.exp((since_us - at_us) / self._decay_time_us) + cpu_us
            self._levels[level] = (total, at_us)
        else:
            # At the start of a term, jobs are read from the store in another order.
            total += cpu_us * math.exp((at_us - since_us) / self._decay_time_us)
            self._levels[level] = (total, since_us)

    def cpus_needed_above(self, level: int, at_us: int) -> float:
        """Return how many CPUs the arriving work of higher priority levels would keep busy."""
        return sum(
            total * math.exp(min(0, since_us - at_us) / self._decay_time_us) / self._decay_time_us
            for other, (total, since_us) in self._levels.items()
            if other > level
        )

    def delay_factor(self, level: int, capacity: float, at_us: int) -> float:
        """Return the factor by which arrivals of higher priority prolong the wait at a level.

        The factor applies to a wait that was forecast from the tasks that wait now. ``capacity``
        is the number of CPUs in the fleet.
        """
        if capacity <= 0:
            return 1.0
        return 1 / max(MIN_REMAINING_SHARE, 1 - self.cpus_needed_above(level, at_us) / capacity)
