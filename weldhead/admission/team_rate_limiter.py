"""Shares the state service's write rate fairly among the submissions of the teams. No I/O.

A team that submits hundreds of jobs must not delay the single submissions of other teams, and no
client may wait without an answer: a submission that cannot be accepted now is refused with the
time after which to retry. While the rate suffices for all teams, a team may use the share that
the others leave. Times are microseconds of the monotonic clock; amounts are writes.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import TypeVar

from weldhead.clock import SECOND_US

T = TypeVar("T")

#: Teams that have submitted a job within this time share the rate.
ACTIVE_TEAM_WINDOW_US = 5 * SECOND_US
#: Bounds of the retry delay that is returned with a refusal.
MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S = 15, 1


def round_robin(items: Iterable[T], owner_of: Callable[[T], str]) -> list[T]:
    """Order items so that each owner's first item precedes any owner's second item, and so on.

    The sort is stable: the items of one owner keep their order.
    """
    counts: Counter[str] = Counter()
    numbered: list[tuple[int, T]] = []
    for item in items:
        numbered.append((counts[owner_of(item)], item))
        counts[owner_of(item)] += 1
    numbered.sort(key=lambda pair: pair[0])
    return [item for _, item in numbered]


class _Bucket:
    """Token bucket of one team, or of all teams together."""

    __slots__ = ("filled_us", "last_submission_us", "level")

    def __init__(self, level: float, at_us: int) -> None:
        self.level = level
        self.filled_us = self.last_submission_us = at_us


class TeamRateLimiter:
    """Shares the write rate, with ``burst`` writes at once, among the teams that submit jobs."""

    def __init__(self, burst: float) -> None:
        self._rate = burst
        self._burst = max(burst, 2.0)
        self._team_buckets: dict[str, _Bucket] = {}
        self._total_bucket = _Bucket(self._burst, 0)
        #: Times of the latest refused submissions, and of the latest admitted ones.
        self._refused_us: deque[int] = deque()
        self._admitted_us: deque[int] = deque()

    def admit(self, team: str, rate: float, at_us: int) -> int:
        """Admit a submission (0), or return the seconds after which to retry.

        ``rate`` is the number of writes per second that the state service currently allows.
        """
        self._rate = rate
        for inactive_team in [
            name
            for name, bucket in self._team_buckets.items()
            if at_us - bucket.last_submission_us > ACTIVE_TEAM_WINDOW_US
        ]:
            del self._team_buckets[inactive_team]
        share = 1.0 / len(self._team_buckets.keys() | {team})
        bucket = self._team_buckets.setdefault(team, _Bucket(self._burst * share, at_us))
        bucket.last_submission_us = at_us
        self._refill(self._total_bucket, 1.0, at_us)
        self._refill(bucket, share, at_us)
        # All teams may use the upper half of the total, and teams within their share a further
        # quarter. The last quarter is for teams that have used at most half of their share:
        # they find tokens even after other teams have used up the rest.
        min_level = self._burst / 2
        if bucket.level >= self._burst * share / 2:
            min_level = 1.0
        elif bucket.level >= 1.0:
            min_level = self._burst / 4
        if self._total_bucket.level < max(1.0, min_level):
            return self._refuse(at_us)
        self._total_bucket.level -= 1.0
        bucket.level = max(0.0, bucket.level - 1.0)
        _record_time(self._admitted_us, at_us)
        return 0

    def record_refusal(self, at_us: int) -> int:
        """Record that the state service refused an admitted submission; return the retry delay.

        The delay is in seconds. The total bucket is emptied.
        """
        self._total_bucket.level = min(self._total_bucket.level, 0.0)
        return self._refuse(at_us)

    def _refuse(self, at_us: int) -> int:
        """Record a refusal, and return the seconds until the latest refused ones can be served."""
        _record_time(self._refused_us, at_us)
        _remove_expired(self._admitted_us, at_us)
        admitted_per_s = max(1.0, len(self._admitted_us) * SECOND_US / ACTIVE_TEAM_WINDOW_US)
        wait_s = round(len(self._refused_us) / admitted_per_s)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _refill(self, bucket: _Bucket, share: float, at_us: int) -> None:
        gained = (at_us - bucket.filled_us) * self._rate * share / SECOND_US
        bucket.level = min(self._burst * share, bucket.level + gained)
        bucket.filled_us = at_us


def _record_time(times_us: deque[int], at_us: int) -> None:
    """Append the current time to recorded times, and remove the expired ones.

    Times that were removed only upon a refusal kept every accepted submission in memory.
    """
    times_us.append(at_us)
    _remove_expired(times_us, at_us)


def _remove_expired(times_us: deque[int], at_us: int) -> None:
    while times_us and at_us - times_us[0] > ACTIVE_TEAM_WINDOW_US:
        times_us.popleft()
