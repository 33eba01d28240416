"""Chooses the controller for a user's request, as the platform's load balancer does.

This module does no I/O: its callers report the outcomes of health probes and connections with
the current time (microseconds) and ask for a controller.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from weldhead.clock import SECOND_US

PROBE_INTERVAL_US = SECOND_US
_CONSECUTIVE_FAILURES_TO_REMOVE = 2
_RECENT_FAILURES_TO_REMOVE = 3
_FIRST_READMISSION_PAUSE_US = 3 * SECOND_US
_MAX_READMISSION_PAUSE_US = 60 * SECOND_US
_REPEATED_REMOVAL_WINDOW_US = 120 * SECOND_US
_CONSECUTIVE_REFUSALS_TO_SKIP = 3
_SKIP_DURATION_US = 3 * SECOND_US


@dataclass
class Backend:
    """One controller and its health as the HTTP front's probes and connections show it."""

    name: str
    address: str
    healthy: bool = False
    #: Whether the controller has been healthy at least once.
    was_healthy: bool = False
    #: Outcomes of the last probes since the health changed.
    recent_probes: deque[bool] = field(default_factory=lambda: deque(maxlen=6))
    removed_us: int = 0
    #: How long a removed controller stays removed at least.
    readmission_pause_us: int = _FIRST_READMISSION_PAUSE_US
    consecutive_refusals: int = 0
    skipped_until_us: int = 0
    in_flight: int = 0

    def record_probe(self, ok: bool, now_us: int) -> None:
        """Update the controller's health with the outcome of a probe; ``ok``: status 200."""
        self.recent_probes.append(ok)
        outcomes = list(self.recent_probes)
        if self.healthy:
            if outcomes[-_CONSECUTIVE_FAILURES_TO_REMOVE:] == [
                False
            ] * _CONSECUTIVE_FAILURES_TO_REMOVE or (
                outcomes.count(False) >= _RECENT_FAILURES_TO_REMOVE
            ):
                self._remove(now_us)
        elif not self.was_healthy:
            self.healthy = self.was_healthy = ok
            if ok:
                self.recent_probes.clear()
        elif (
            outcomes[-2:] == [True, True] and now_us - self.removed_us >= self.readmission_pause_us
        ):
            self.healthy = True
            self.recent_probes.clear()

    def _remove(self, now_us: int) -> None:
        # A controller that is removed repeatedly stays removed for longer each time.
        if self.removed_us and now_us - self.removed_us < _REPEATED_REMOVAL_WINDOW_US:
            self.readmission_pause_us = min(
                2 * self.readmission_pause_us, _MAX_READMISSION_PAUSE_US
            )
        else:
            self.readmission_pause_us = _FIRST_READMISSION_PAUSE_US
        self.healthy = False
        self.removed_us = now_us
        self.recent_probes.clear()

    def record_connection(self, ok: bool, now_us: int) -> None:
        """Record that a connection was established or refused; refusals in a row cause a skip."""
        self.consecutive_refusals = 0 if ok else self.consecutive_refusals + 1
        if self.consecutive_refusals >= _CONSECUTIVE_REFUSALS_TO_SKIP:
            self.skipped_until_us = now_us + _SKIP_DURATION_US
            self.consecutive_refusals = 0


class Balancer:
    """Chooses among all controllers of the site."""

    def __init__(self, backends: Iterable[Backend]) -> None:
        self.backends = list(backends)

    @property
    def is_ready(self) -> bool:
        """Whether at least one controller is healthy."""
        return any(backend.healthy for backend in self.backends)

    def choose(self, now_us: int, tried: Iterable[str] = ()) -> Backend | None:
        """Return the healthy controller with the fewest requests in flight; None if there is none.

        Controllers named in ``tried`` and those that refused connections lately are left out.
        """
        candidates = [
            backend
            for backend in self.backends
            if backend.healthy and backend.name not in tried and backend.skipped_until_us <= now_us
        ]
        return min(candidates, key=lambda backend: backend.in_flight, default=None)
