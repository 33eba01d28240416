"""How long to wait before something that ended is begun again."""

from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US, SECOND_US


@dataclass
class Backoff:
    """Doubling pauses; who lasted for ``calm_us`` begins with the first one again."""

    first_us: int = 100 * MILLISECOND_US
    most_us: int = 5 * SECOND_US
    calm_us: int = 10 * SECOND_US
    _pause_us: int = 0

    def after(self, lasted_us: int) -> int:
        """Return the pause after a life of that length."""
        if lasted_us >= self.calm_us or not self._pause_us:
            self._pause_us = self.first_us
        else:
            self._pause_us = min(self.most_us, 2 * self._pause_us)
        return self._pause_us
