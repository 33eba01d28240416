"""How fast a new leader stops work for others. No I/O.

Whatever arrived and whatever was lost while nobody decided asks for room in one moment, on a
picture that still moves: machines come back, and are replaced. Natjam's rules say who stops;
for a while after a term's start this says how many: a share of what runs a second, about the
rate at which freed room is used in ordinary times. Times are microseconds.
"""

from dataclasses import dataclass

from weldhead.clock import SECOND_US

#: How much of a second's stops may come at once.
BURST_S = 0.4


@dataclass(frozen=True)
class PreemptionRateSettings:
    """For how long a start is paced, and the share of the running tasks a second."""

    settle_us: int = 10 * SECOND_US
    stop_share: float = 0.001


class PreemptionRateLimit:
    """The stops that a new leader may still make."""

    def __init__(self, settings: PreemptionRateSettings) -> None:
        self._settings = settings
        self._level = 0.0
        self._filled_us = 0
        #: How many stops were put off, over all runs.
        self.deferred = 0

    def allowed(self, ready_us: int, running: int, at_us: int) -> int | None:
        """Return how many attempts may be stopped now; None: as many as the rules say.

        ``ready_us`` is when the term was ready, ``running`` how many attempts there are.
        """
        if at_us - ready_us >= self._settings.settle_us:
            return None
        rate = max(0.5, self._settings.stop_share * running)
        since_us = max(self._filled_us, ready_us)
        burst = max(1.0, rate * BURST_S)
        self._level = min(burst, self._level + rate * (at_us - since_us) / SECOND_US)
        self._filled_us = at_us
        return int(self._level)

    def record(self, count: int) -> None:
        """So many were stopped: victims for one place stop together, also if over the pace."""
        self._level -= count
