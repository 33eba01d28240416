"""Request budgets: token buckets in front of rate-limited services."""

import asyncio

from weldhead.clock import SECOND_US, now_us

#: In so long a rate that was given up is taken up again.
RECOVERY_US = 20 * SECOND_US


class TokenBucket:
    """A token bucket of ``rate`` a second that holds ``burst`` at most.

    Waiters are served in order of urgency only in so far as the urgent ones may use the
    ``reserve`` that others leave untouched.

    Several processes share a service's rate and cannot see one another: whoever is told that
    it is used up slows down by a third, to the share ``least``, and recovers by and by. With
    each at its whole rate most of their calls were refused.
    """

    def __init__(self, rate: float, burst: float, reserve: float = 0.0, least: float = 0.1) -> None:
        self._least = rate * least
        self._rate = self._whole = rate
        self._burst = burst
        self._reserve = min(reserve, burst / 2)
        self._level = burst
        self.filled_us = now_us()

    @property
    def rate(self) -> float:
        """How much a second is to be had of late."""
        return self._rate

    def _fill(self, at_us: int) -> None:
        passed_us = max(0, at_us - self.filled_us)
        gained = passed_us * self._rate / SECOND_US
        self._rate = min(self._whole, self._rate + self._whole * passed_us / RECOVERY_US)
        self._level = min(self._burst, self._level + gained)
        self.filled_us = at_us

    def try_take(self, amount: float, at_us: int, *, urgent: bool = False) -> bool:
        """Take the amount if it is there."""
        self._fill(at_us)
        floor = 0.0 if urgent else self._reserve
        if self._level - amount < min(floor, self._burst - amount):
            return False
        self._level -= amount
        return True

    def refund(self, amount: float) -> None:
        """What was taken has not been used."""
        self._level = min(self._burst, self._level + amount)

    def drain(self) -> None:
        """Empty the bucket and slow down: the service says that the rate is used up."""
        self._fill(now_us())
        self._rate = max(self._least, self._rate * 2 / 3)
        self._level = min(self._level, 0.0)

    def wait_us(self, amount: float, *, urgent: bool = False) -> int:
        """Return how long until the amount will be there, if nobody else takes it."""
        floor = 0.0 if urgent else self._reserve
        missing = min(floor, self._burst - amount) + amount - self._level
        return max(1_000, round(missing / self._rate * SECOND_US))

    async def take(
        self, amount: float = 1.0, *, urgent: bool = False, limit_us: int | None = None
    ) -> bool:
        """Wait for the amount; False if that would exceed the limit."""
        start_us = now_us()
        while not self.try_take(amount, now_us(), urgent=urgent):
            pause_us = self.wait_us(amount, urgent=urgent)
            if limit_us is not None and now_us() + pause_us - start_us > limit_us:
                return False
            await asyncio.sleep(pause_us / SECOND_US)
        return True
