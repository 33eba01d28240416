"""How many retries all submissions of a client may make together."""

from dataclasses import dataclass

from weldhead.clock import SECOND_US


@dataclass
class RetryBudget:
    """A bucket of retries: ``rate`` a second flow in, and ``share`` for each try answered.

    While answers come, whoever needs a retry gets it; when none come, thousands of waiting
    submissions together send ``rate`` a second and no more, so that a service that is down
    is not kept down by those who wait for it. Pure: given the time.
    """

    rate: float = 5.0
    burst: float = 50.0
    share: float = 0.5
    _level: float = 0.0
    _filled_us: int = 0

    def __post_init__(self) -> None:
        self._level = self.burst

    def answered(self) -> None:
        """A try got an answer."""
        self._level = min(self.burst, self._level + self.share)

    def take(self, now_us: int) -> int:
        """Take a retry: returns 0, or how long until there may be one."""
        if self._filled_us:
            gained = (now_us - self._filled_us) * self.rate / SECOND_US
            self._level = min(self.burst, self._level + gained)
        self._filled_us = now_us
        if self._level >= 1:
            self._level -= 1
            return 0
        return max(1_000, round((1 - self._level) / self.rate * SECOND_US))
