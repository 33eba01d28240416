"""Limits how much time of the event loop each background task takes.

A leader's process does all its work on one event loop. These activities have priority in this
order, and the last is deferred first when the loop is overloaded:

1. renewing the lease, answering workers and users, and committing the changes that they wait
   for; these are never deferred and run as messages arrive;
2. placement;
3. preemption;
4. autoscaling of the fleet;
5. forecasts of completion times.

Each of the activities 2 to 5 gets a share of the loop's time. Its pause after a run depends on how
long the run took. The activities 3 to 5 are deferred while the loop lags, but never for longer
than ``MAX_DEFERRAL_US``.
"""

import asyncio
import enum
import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, to_seconds

log = logging.getLogger(__name__)

#: The time between two measurements of the loop's lag.
LAG_MEASUREMENT_INTERVAL_US = 200 * MILLISECOND_US
#: The longest time for which a run of a background task is deferred.
MAX_DEFERRAL_US = 5 * SECOND_US
#: The minimum time between two warnings about the same background task.
LOG_INTERVAL_US = 10 * SECOND_US


class LoopPriority(enum.IntEnum):
    """The priority of a background task; the task with the highest value is deferred first."""

    PLACEMENT = 0
    PREEMPTOR = 1
    FLEET = 2
    FORECASTS = 3


#: The share of the loop's time that a background task may take, by its priority.
LOOP_SHARES = {
    LoopPriority.PLACEMENT: 0.5,
    LoopPriority.PREEMPTOR: 0.25,
    LoopPriority.FLEET: 0.15,
    LoopPriority.FORECASTS: 0.1,
}

#: By priority: the lag of the loop above which a background task is deferred, as a share of the
#: longest run that is allowed. Tasks with other priorities are never deferred.
DEFERRAL_LAG_SHARES = {
    LoopPriority.PREEMPTOR: 1.0,
    LoopPriority.FLEET: 0.5,
    LoopPriority.FORECASTS: 0.25,
}


class EventLoopBudget:
    """Measures and limits the background tasks of an event loop.

    Runs that are longer than ``max_run_us`` are logged.
    """

    def __init__(
        self,
        max_run_us: int,
        clock: Callable[[], int] = now_us,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._max_run_us = max_run_us
        self._clock = clock
        self._sleep = sleep
        #: The loop's lag at the last measurement: how much too late a timer fired.
        self.lag_us = 0
        #: By background task: how long its last and its longest run took, and how many runs were
        #: too long.
        self.last_us: dict[str, int] = {}
        self.longest_us: dict[str, int] = {}
        self.overruns: dict[str, int] = {}
        #: By background task: how often a run was deferred.
        self.deferrals: dict[str, int] = {}
        self._logged_us: dict[str, int] = {}

    @contextmanager
    def measure(self, activity: str) -> Iterator[None]:
        """Measure one run of a background task; the run must not await anything."""
        started_us = self._clock()
        try:
            yield
        finally:
            ended_us = self._clock()
            self._record(activity, ended_us - started_us, ended_us)

    def _record(self, activity: str, took_us: int, ended_us: int) -> None:
        self.last_us[activity] = took_us
        self.longest_us[activity] = max(took_us, self.longest_us.get(activity, 0))
        if took_us <= self._max_run_us:
            return
        self.overruns[activity] = self.overruns.get(activity, 0) + 1
        last_logged_us = self._logged_us.get(activity)
        if last_logged_us is None or ended_us - last_logged_us >= LOG_INTERVAL_US:
            self._logged_us[activity] = ended_us
            log.warning(
                "background task %s held the event loop for %.3f s (limit %.3f s, %d times so far)",
                activity,
                to_seconds(took_us),
                to_seconds(self._max_run_us),
                self.overruns[activity],
            )

    def compute_pause_us(self, activity: str, priority: LoopPriority, period_us: int) -> int:
        """Return how long a background task has to pause to take no more than its share."""
        took_us = self.last_us.get(activity, 0)
        return max(period_us, round(took_us * (1 / LOOP_SHARES[priority] - 1)))

    def must_defer(self, priority: LoopPriority) -> bool:
        """Return whether the loop lags too much to run background tasks of that priority."""
        share = DEFERRAL_LAG_SHARES.get(priority)
        return share is not None and self.lag_us > share * self._max_run_us

    async def pause(self, activity: str, priority: LoopPriority, period_us: int) -> None:
        """Pause between two runs of a background task; the pause is longer while the loop lags."""
        await self._sleep(to_seconds(self.compute_pause_us(activity, priority, period_us)))
        deferred_since_us = self._clock()
        if self.must_defer(priority):
            self.deferrals[activity] = self.deferrals.get(activity, 0) + 1
        while self.must_defer(priority) and self._clock() - deferred_since_us < MAX_DEFERRAL_US:
            await self._sleep(to_seconds(LAG_MEASUREMENT_INTERVAL_US))

    async def watch_lag(self) -> None:
        """Measure the loop's lag periodically; a background task."""
        while True:
            due_us = self._clock() + LAG_MEASUREMENT_INTERVAL_US
            await self._sleep(to_seconds(LAG_MEASUREMENT_INTERVAL_US))
            self.lag_us = max(0, self._clock() - due_us)

    def summary(self) -> str:
        """Return the numbers of overlong and deferred runs in one line; "" if there are none."""
        parts = [
            f"{activity} held {count} times" for activity, count in sorted(self.overruns.items())
        ]
        parts += [
            f"{activity} put off {count} times"
            for activity, count in sorted(self.deferrals.items())
        ]
        return ", ".join(parts)
