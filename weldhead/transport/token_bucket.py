"""Token buckets that limit the calls to rate-limited services."""

import asyncio

from weldhead.clock import SECOND_US, now_us

#: The time in which a reduced rate grows by the full rate.
RATE_RECOVERY_US = 20 * SECOND_US


class TokenBucket:
    """A token bucket that gains ``rate`` tokens per second and holds at most ``burst``.

    Only urgent callers may take the last ``reserve`` tokens; beyond that, waiting callers are
    not ordered by urgency.

    Several processes share a service's rate limit without coordination. A process whose call is
    refused because the limit is exceeded reduces its rate by a third, down to the share
    ``min_rate_share`` of the full rate, and then recovers gradually. When each process kept its
    full rate, most of their calls were refused.
    """

    def __init__(
        self, rate: float, burst: float, reserve: float = 0.0, min_rate_share: float = 0.1
    ) -> None:
        self._min_rate = rate * min_rate_share
        self._rate = self._full_rate = rate
        self._burst = burst
        self._reserve = min(reserve, burst / 2)
        self._tokens = burst
        self.last_refill_us = now_us()

    @property
    def rate(self) -> float:
        """The current rate in tokens per second, after any reduction."""
        return self._rate

    def _refill(self, at_us: int) -> None:
        elapsed_us = max(0, at_us - self.last_refill_us)
        new_tokens = elapsed_us * self._rate / SECOND_US
        self._rate = min(
            self._full_rate, self._rate + self._full_rate * elapsed_us / RATE_RECOVERY_US
        )
        self._tokens = min(self._burst, self._tokens + new_tokens)
        self.last_refill_us = at_us

    def try_take(self, amount: float, at_us: int, *, urgent: bool = False) -> bool:
        """Take the tokens and return true if the bucket holds enough of them."""
        self._refill(at_us)
        kept_tokens = 0.0 if urgent else self._reserve
        if self._tokens - amount < min(kept_tokens, self._burst - amount):
            return False
        self._tokens -= amount
        return True

    def refund(self, amount: float) -> None:
        """Put back tokens that were taken but not used."""
        self._tokens = min(self._burst, self._tokens + amount)

    def back_off(self) -> None:
        """Empty the bucket and reduce the rate, after the service reported its limit exceeded."""
        self._refill(now_us())
        self._rate = max(self._min_rate, self._rate * 2 / 3)
        self._tokens = min(self._tokens, 0.0)

    def wait_us(self, amount: float, *, urgent: bool = False) -> int:
        """Return the time until the bucket holds enough tokens, if no other caller takes any."""
        kept_tokens = 0.0 if urgent else self._reserve
        missing = min(kept_tokens, self._burst - amount) + amount - self._tokens
        return max(1_000, round(missing / self._rate * SECOND_US))

    async def take(
        self, amount: float = 1.0, *, urgent: bool = False, max_wait_us: int | None = None
    ) -> bool:
        """Wait for the tokens and take them; False if the wait would exceed ``max_wait_us``."""
        start_us = now_us()
        while not self.try_take(amount, now_us(), urgent=urgent):
            pause_us = self.wait_us(amount, urgent=urgent)
            if max_wait_us is not None and now_us() + pause_us - start_us > max_wait_us:
                return False
            await asyncio.sleep(pause_us / SECOND_US)
        return True
