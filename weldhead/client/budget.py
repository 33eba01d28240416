"""A token bucket that limits the retries of all submissions of a client together."""

from dataclasses import dataclass

from weldhead.clock import SECOND_US


@dataclass
class RetryBudget:
    """A token bucket of retries that holds at most ``burst`` of them.

    The bucket gains ``retries_per_s`` each second and ``retries_per_answer`` for each answered
    try. While the service answers, the bucket does not delay retries. While the service does
    not answer, thousands of waiting submissions together send ``retries_per_s`` and no more,
    so that their retries do not keep a failed service down. The bucket reads no clock:
    the caller passes the time.
    """

    retries_per_s: float = 5.0
    burst: float = 50.0
    retries_per_answer: float = 0.5
    _available: float = 0.0
    _refilled_us: int = 0

    def __post_init__(self) -> None:
        self._available = self.burst

    def record_answer(self) -> None:
        """Add the retries that an answered try earns."""
        self._available = min(self.burst, self._available + self.retries_per_answer)

    def take_retry(self, now_us: int) -> int:
        """Take a retry and return 0, or return the microseconds until one is available."""
        if self._refilled_us:
            gained = (now_us - self._refilled_us) * self.retries_per_s / SECOND_US
            self._available = min(self.burst, self._available + gained)
        self._refilled_us = now_us
        if self._available >= 1:
            self._available -= 1
            return 0
        return max(1_000, round((1 - self._available) / self.retries_per_s * SECOND_US))
