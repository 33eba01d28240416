"""Limits how fast a new leader preempts attempts. No I/O.

While there was no leader, jobs arrived and machines were lost. All of them compete for capacity at
the same moment, while the set of known machines still changes. The Natjam policy selects the
attempts to stop. For a while after a term's start this module limits their number to a share of the
running attempts per second, about the rate at which freed capacity is reused in normal operation.
Times are microseconds.
"""

from dataclasses import dataclass

from weldhead.clock import SECOND_US

#: The limit allows bursts as large as the stops that accumulate in this time.
BURST_S = 0.4


@dataclass(frozen=True)
class PreemptionRateSettings:
    """How long preemption is limited after a term's start, and the share of attempts per second."""

    settle_us: int = 10 * SECOND_US
    stop_share: float = 0.001


class PreemptionRateLimit:
    """Token bucket for the preemptions that a new leader may still make."""

    def __init__(self, settings: PreemptionRateSettings) -> None:
        self._settings = settings
        self._allowance = 0.0
        self._refilled_us = 0
        #: How many stops were postponed, in all placement passes together.
        self.deferred = 0

    def allowed(self, ready_us: int, running_attempts: int, at_us: int) -> int | None:
        """Return how many attempts may be stopped now; None means no limit.

        ``ready_us`` is when the term became ready, ``running_attempts`` the number of attempts.
        """
        if at_us - ready_us >= self._settings.settle_us:
            return None
        rate = max(0.5, self._settings.stop_share * running_attempts)
        since_us = max(self._refilled_us, ready_us)
        burst = max(1.0, rate * BURST_S)
        self._allowance = min(burst, self._allowance + rate * (at_us - since_us) / SECOND_US)
        self._refilled_us = at_us
        return int(self._allowance)

    def record(self, count: int) -> None:
        """Record stops. Victims for one placement stop together, even if they exceed the limit."""
        self._allowance -= count
