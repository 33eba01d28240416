"""How much of the loop each background task may take, and who waits when it is short.

A leader's process does everything on one loop. In this order it is given away when there is
not enough of it, the last being put off first:

1. renewing the lease, answering workers and users, committing what they wait for: never
   put off, they run as messages come in;
2. placement; 3. the preemptor; 4. the fleet's size; 5. forecasts.

Each of 2 to 5 gets a share of the time and pauses as long as its last run demands; 3 to 5
are put off while the loop is late, though never for longer than ``MAX_DEFERRAL_US``.
"""

import asyncio
import enum
import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, to_seconds

log = logging.getLogger(__name__)

#: How often it is looked how late the loop is.
TICK_US = 200 * MILLISECOND_US
#: Nothing is put off for longer.
MAX_DEFERRAL_US = 5 * SECOND_US
#: Said at most so often of each background task.
LOG_INTERVAL_US = 10 * SECOND_US


class LoopPriority(enum.IntEnum):
    """What is put off first has the highest rank."""

    PLACEMENT = 0
    PREEMPTOR = 1
    FLEET = 2
    FORECASTS = 3


#: The share of the time that a background task may take, by rank.
LOOP_SHARES = {
    LoopPriority.PLACEMENT: 0.5,
    LoopPriority.PREEMPTOR: 0.25,
    LoopPriority.FLEET: 0.15,
    LoopPriority.FORECASTS: 0.1,
}

#: How late the loop is when a rank is put off, as a share of the longest hold that is allowed.
LATE_SHARES = {LoopPriority.PREEMPTOR: 1.0, LoopPriority.FLEET: 0.5, LoopPriority.FORECASTS: 0.25}


class EventLoopBudget:
    """Measures the background tasks of an event loop; runs over ``most_hold_us`` are logged."""

    def __init__(
        self,
        most_hold_us: int,
        clock: Callable[[], int] = now_us,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._max_run_us = most_hold_us
        self._clock = clock
        self._sleep = sleep
        #: How late the loop was at the last tick.
        self.lag_us = 0
        #: By background task: how long its last run and its longest took, and how many were too
        #: long.
        self.last_us: dict[str, int] = {}
        self.longest_us: dict[str, int] = {}
        self.overruns: dict[str, int] = {}
        #: How often a background task was put off.
        self.deferrals: dict[str, int] = {}
        self._logged_us: dict[str, int] = {}

    @contextmanager
    def measure(self, activity: str) -> Iterator[None]:
        """Measure a run of a background task, which does not wait for anything."""
        began_us = self._clock()
        try:
            yield
        finally:
            at_us = self._clock()
            self._record(activity, at_us - began_us, at_us)

    def _record(self, activity: str, took_us: int, at_us: int) -> None:
        self.last_us[activity] = took_us
        self.longest_us[activity] = max(took_us, self.longest_us.get(activity, 0))
        if took_us <= self._max_run_us:
            return
        self.overruns[activity] = self.overruns.get(activity, 0) + 1
        said_us = self._logged_us.get(activity)
        if said_us is None or at_us - said_us >= LOG_INTERVAL_US:
            self._logged_us[activity] = at_us
            log.warning(
                "background task %s held the event loop for %.3f s (limit %.3f s, %d times so far)",
                activity,
                to_seconds(took_us),
                to_seconds(self._max_run_us),
                self.overruns[activity],
            )

    def pause_us(self, activity: str, rank: LoopPriority, period_us: int) -> int:
        """Return how long a background task pauses, so that it takes no more than its share."""
        took_us = self.last_us.get(activity, 0)
        return max(period_us, round(took_us * (1 / LOOP_SHARES[rank] - 1)))

    def must_defer(self, rank: LoopPriority) -> bool:
        """Whether the loop is too late for background tasks of that rank."""
        share = LATE_SHARES.get(rank)
        return share is not None and self.lag_us > share * self._max_run_us

    async def pause(self, activity: str, rank: LoopPriority, period_us: int) -> None:
        """Pause between two runs of a background task, longer while the loop is late."""
        await self._sleep(to_seconds(self.pause_us(activity, rank, period_us)))
        since_us = self._clock()
        if self.must_defer(rank):
            self.deferrals[activity] = self.deferrals.get(activity, 0) + 1
        while self.must_defer(rank) and self._clock() - since_us < MAX_DEFERRAL_US:
            await self._sleep(to_seconds(TICK_US))

    async def watch_lag(self) -> None:
        """See how late the loop is; a background task."""
        while True:
            due_us = self._clock() + TICK_US
            await self._sleep(to_seconds(TICK_US))
            self.lag_us = max(0, self._clock() - due_us)

    def summary(self) -> str:
        """Return what was too long and what was put off, in one line; "" if nothing."""
        parts = [
            f"{activity} held {count} times" for activity, count in sorted(self.overruns.items())
        ]
        parts += [
            f"{activity} put off {count} times"
            for activity, count in sorted(self.deferrals.items())
        ]
        return ", ".join(parts)
