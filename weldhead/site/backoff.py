"""Exponential backoff for restarting processes."""

from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US, SECOND_US


@dataclass
class Backoff:
    """Doubles the pause before each restart of one process.

    A process that ran for at least ``reset_after_us`` resets the pause to ``first_pause_us``.
    """

    first_pause_us: int = 100 * MILLISECOND_US
    max_pause_us: int = 5 * SECOND_US
    reset_after_us: int = 10 * SECOND_US
    _pause_us: int = 0

    def next_pause_us(self, lasted_us: int) -> int:
        """Return the pause before restarting a process that ran for ``lasted_us``."""
        if lasted_us >= self.reset_after_us or not self._pause_us:
            self._pause_us = self.first_pause_us
        else:
            self._pause_us = min(self.max_pause_us, 2 * self._pause_us)
        return self._pause_us
