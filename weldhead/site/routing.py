"""Which controller a user's request goes to: health as PROTOCOL's load balancer judges it.

Pure: probes and failed connections go in with the time (microseconds), choices come out.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from weldhead.clock import SECOND_US

PROBE_US = SECOND_US
_FAILS_IN_A_ROW = 2
_FAILS_OF_SIX = 3
_HEALTHY_AFTER_US = 3 * SECOND_US
_MOST_PAUSE_US = 60 * SECOND_US
_REPEATED_US = 120 * SECOND_US
_SKIP_AFTER = 3
_SKIP_US = 3 * SECOND_US


@dataclass
class Backend:
    """One controller as the front sees it."""

    name: str
    address: str
    healthy: bool = False
    ever: bool = False
    last: deque[bool] = field(default_factory=lambda: deque(maxlen=6))
    removed_us: int = 0
    pause_us: int = _HEALTHY_AFTER_US
    refused: int = 0
    skipped_until_us: int = 0
    in_flight: int = 0

    def probed(self, ok: bool, now_us: int) -> None:
        """A health probe was answered with 200, or not."""
        self.last.append(ok)
        recent = list(self.last)
        if self.healthy:
            if recent[-_FAILS_IN_A_ROW:] == [False] * _FAILS_IN_A_ROW or (
                recent.count(False) >= _FAILS_OF_SIX
            ):
                self._remove(now_us)
        elif not self.ever:
            self.healthy = self.ever = ok
            if ok:
                self.last.clear()
        elif recent[-2:] == [True, True] and now_us - self.removed_us >= self.pause_us:
            self.healthy = True
            self.last.clear()

    def _remove(self, now_us: int) -> None:
        # Who goes up and down again and again is left alone for longer each time.
        if self.removed_us and now_us - self.removed_us < _REPEATED_US:
            self.pause_us = min(2 * self.pause_us, _MOST_PAUSE_US)
        else:
            self.pause_us = _HEALTHY_AFTER_US
        self.healthy = False
        self.removed_us = now_us
        self.last.clear()

    def connected(self, ok: bool, now_us: int) -> None:
        """A connection came about, or was refused."""
        self.refused = 0 if ok else self.refused + 1
        if self.refused >= _SKIP_AFTER:
            self.skipped_until_us = now_us + _SKIP_US
            self.refused = 0


class Balancer:
    """All controllers, and the choice among them."""

    def __init__(self, backends: Iterable[Backend]) -> None:
        self.backends = list(backends)

    @property
    def ready(self) -> bool:
        """Whether some controller takes requests."""
        return any(backend.healthy for backend in self.backends)

    def choose(self, now_us: int, tried: Iterable[str] = ()) -> Backend | None:
        """Return the healthy controller with the fewest requests; None if there is none."""
        left = [
            backend
            for backend in self.backends
            if backend.healthy and backend.name not in tried and backend.skipped_until_us <= now_us
        ]
        return min(left, key=lambda backend: backend.in_flight, default=None)
