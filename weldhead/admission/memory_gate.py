"""Decides by the memory use of a controller process whether it accepts new jobs. No I/O.

A controller that exceeds its memory limit is terminated and restarts without its in-memory state;
all jobs that it would still have accepted wait for that. So near the limit a controller refuses
new jobs. It goes on accepting reports, polls and cancellations: they use no lasting memory, and no
job ends without them. Memory amounts are bytes, times are microseconds of the monotonic clock.
"""

import enum

from weldhead.clock import SECOND_US

#: Shares of the limit: new jobs are refused from ``REFUSE_SHARE`` on, until the memory use is
#: below ``ACCEPT_SHARE``.
REFUSE_SHARE = 0.93
ACCEPT_SHARE = 0.90
#: Python keeps most of the memory that it frees, so the memory use of a process may stay high
#: although the process has room again. While jobs are refused, but the memory use is below
#: ``TRIAL_SHARE``, one trial job is therefore accepted per ``TRIAL_INTERVAL_US``.
TRIAL_SHARE = 0.96
TRIAL_INTERVAL_US = 2 * SECOND_US
#: Retry delay in seconds that is returned with a refusal.
MEMORY_RETRY_AFTER_S = 5
#: The leader keeps every job in memory, whichever controller accepts it. So the other controllers
#: refuse jobs too while the leader's memory use is above ``TRIAL_SHARE``. A statement of the
#: leader about its memory is valid for this long.
LEADER_STATEMENT_VALIDITY_US = 3 * SECOND_US


class MemoryTransition(enum.Enum):
    """How a reading of the memory use changes whether new jobs are refused."""

    UNCHANGED = 0
    REFUSING = 1
    ACCEPTING = 2


class MemoryGate:
    """Admits or refuses new jobs in one process; with ``limit`` 0 its memory is unlimited."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        #: New jobs are refused because of this process's own memory use.
        self.is_refusing = False
        self._last_trial_us = 0
        self._leader_exhausted_us: int | None = None

    def update(self, used: int) -> MemoryTransition:
        """Process a reading of the process's current memory use."""
        self.used = used
        threshold = self.limit * (ACCEPT_SHARE if self.is_refusing else REFUSE_SHARE)
        is_refusing = self.limit > 0 and used >= threshold
        if is_refusing is self.is_refusing:
            return MemoryTransition.UNCHANGED
        self.is_refusing = is_refusing
        return MemoryTransition.REFUSING if is_refusing else MemoryTransition.ACCEPTING

    @property
    def is_exhausted(self) -> bool:
        """Whether the memory use is so high that not even trial jobs are accepted."""
        return self.is_refusing and self.used >= self.limit * TRIAL_SHARE

    def observe_leader(self, at_us: int, *, exhausted: bool) -> None:
        """Record the leader's statement whether its memory is exhausted."""
        self._leader_exhausted_us = at_us if exhausted else None

    def try_admit(self, at_us: int) -> bool:
        """Return whether a new job may be accepted now; a trial job counts as accepted."""
        if (
            self._leader_exhausted_us is not None
            and at_us - self._leader_exhausted_us < LEADER_STATEMENT_VALIDITY_US
        ):
            return False
        if not self.is_refusing:
            return True
        if self.is_exhausted or at_us - self._last_trial_us < TRIAL_INTERVAL_US:
            return False
        self._last_trial_us = at_us
        return True
