"""Whether new work is taken, by the memory that is left. No I/O.

A controller over its limit is ended and begins anew without its picture: every job that it would
still have taken waits for that. So near the limit it refuses what it can refuse, which is new
jobs; reports, polls and cancellations cost no lasting memory, and no job ends without them.
Amounts are bytes, times microseconds of the steady clock.
"""

import enum

from weldhead.clock import SECOND_US

#: Of the limit: from the first share on new work is refused, until less than the second is used.
REFUSE_SHARE = 0.93
ACCEPT_SHARE = 0.90
#: What Python frees it mostly keeps for itself, so a process that has room again may look as
#: full as before. Below this share one job is therefore taken each ``TRIAL_US`` all the same.
TRIAL_SHARE = 0.96
TRIAL_US = 2 * SECOND_US
#: Who is refused is asked to come back after so many seconds.
COME_BACK_S = 5
#: The leader keeps every job, whoever accepts it: above that share the others refuse as well.
#: What it said of its own memory counts so long.
LEADER_WORD_US = 3 * SECOND_US


class MemoryTransition(enum.Enum):
    """What a reading has changed."""

    NONE = 0
    FULL = 1
    ROOM = 2


class MemoryGate:
    """One process's decision; ``limit`` 0: there is none, and all is taken."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        #: New work is refused for this process's own memory.
        self.full = False
        self._trial_us = 0
        self._leader_full_us: int | None = None

    def read(self, used: int) -> MemoryTransition:
        """Take a reading of what the process holds now."""
        self.used = used
        share = self.limit * (ACCEPT_SHARE if self.full else REFUSE_SHARE)
        full = self.limit > 0 and used >= share
        if full is self.full:
            return MemoryTransition.NONE
        self.full = full
        return MemoryTransition.FULL if full else MemoryTransition.ROOM

    @property
    def exhausted(self) -> bool:
        """Whether not even a trial is taken."""
        return self.full and self.used >= self.limit * TRIAL_SHARE

    def observe_leader(self, at_us: int, *, full: bool) -> None:
        """The leader says whether it takes nothing at all for its memory."""
        self._leader_full_us = at_us if full else None

    def admits(self, at_us: int) -> bool:
        """Whether a new job may be taken now; a trial is used up by asking."""
        if self._leader_full_us is not None and at_us - self._leader_full_us < LEADER_WORD_US:
            return False
        if not self.full:
            return True
        if self.exhausted or at_us - self._trial_us < TRIAL_US:
            return False
        self._trial_us = at_us
        return True
