"""A fair share of the store's changes for each team's submissions. No I/O.

A team that submits jobs by the hundred must not keep the others' single submissions waiting,
nor anybody waiting in silence: what cannot be taken now is told when to come back. While there
is enough for all, a team may use what the others leave. Times are microseconds of the steady
clock; amounts are changes.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import TypeVar

from weldhead.clock import SECOND_US

T = TypeVar("T")

#: Teams that have submitted something within so long share the rate.
ACTIVE_US = 5 * SECOND_US
#: Longest and shortest time after which somebody is asked to come back.
MOST_WAIT_S, LEAST_WAIT_S = 15, 1


def round_robin(items: Iterable[T], whose: Callable[[T], str]) -> list[T]:
    """Return the items so that everybody's first comes before anybody's second, in order."""
    counts: Counter[str] = Counter()
    numbered: list[tuple[int, T]] = []
    for item in items:
        numbered.append((counts[whose(item)], item))
        counts[whose(item)] += 1
    numbered.sort(key=lambda pair: pair[0])
    return [item for _, item in numbered]


class _Bucket:
    """What one team may still use."""

    __slots__ = ("filled_us", "level", "seen_us")

    def __init__(self, level: float, at_us: int) -> None:
        self.level = level
        self.filled_us = self.seen_us = at_us


class TeamRateLimiter:
    """Shares what is to be had, ``burst`` changes at once, among the teams that submit."""

    def __init__(self, burst: float) -> None:
        self._rate = burst
        self._burst = max(burst, 2.0)
        self._teams: dict[str, _Bucket] = {}
        self._all = _Bucket(self._burst, 0)
        #: When submissions were turned away of late, and when some were taken.
        self._refused: deque[int] = deque()
        self._taken: deque[int] = deque()

    def admit(self, team: str, rate: float, at_us: int) -> int:
        """Take a submission (0), or return in how many seconds to come back.

        ``rate`` is how many changes a second are to be had of late.
        """
        self._rate = rate
        for name in [n for n, b in self._teams.items() if at_us - b.seen_us > ACTIVE_US]:
            del self._teams[name]
        share = 1.0 / len(self._teams.keys() | {team})
        bucket = self._teams.setdefault(team, _Bucket(self._burst * share, at_us))
        bucket.seen_us = at_us
        self._fill(self._all, 1.0, at_us)
        self._fill(bucket, share, at_us)
        # Half of what is there is everybody's, a quarter for those within their share, and
        # the rest for those who have hardly used theirs: they come when others took it all.
        least = self._burst / 2
        if bucket.level >= self._burst * share / 2:
            least = 1.0
        elif bucket.level >= 1.0:
            least = self._burst / 4
        if self._all.level < max(1.0, least):
            return self._come_back_s(at_us)
        self._all.level -= 1.0
        bucket.level = max(0.0, bucket.level - 1.0)
        _note(self._taken, at_us)
        return 0

    def record_refusal(self, at_us: int) -> int:
        """The store did not take one that was admitted; return when to come back."""
        self._all.level = min(self._all.level, 0.0)
        return self._come_back_s(at_us)

    def _come_back_s(self, at_us: int) -> int:
        """Return in how many seconds those turned away of late will have had their turn."""
        _note(self._refused, at_us)
        _forget(self._taken, at_us)
        taken_s = max(1.0, len(self._taken) * SECOND_US / ACTIVE_US)
        wait_s = round(len(self._refused) / taken_s)
        return min(MOST_WAIT_S, max(LEAST_WAIT_S, wait_s))

    def _fill(self, bucket: _Bucket, share: float, at_us: int) -> None:
        gained = (at_us - bucket.filled_us) * self._rate * share / SECOND_US
        bucket.level = min(self._burst * share, bucket.level + gained)
        bucket.filled_us = at_us


def _note(noted: deque[int], at_us: int) -> None:
    """Note that something happened now; what is older than it counts is not kept.

    Forgotten only when somebody was turned away, each submission ever taken stayed in memory.
    """
    noted.append(at_us)
    _forget(noted, at_us)


def _forget(noted: deque[int], at_us: int) -> None:
    while noted and at_us - noted[0] > ACTIVE_US:
        noted.popleft()
