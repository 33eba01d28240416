"""Whose question goes first when not all can be answered. No I/O.

Each answer from the state service costs some of its requests. When more is asked than there is
room for, chance decided who was answered, and with thousands of jobs some were refused each
time for minutes. So half of what may be used at once is kept for those jobs whose questions have
failed for longest: as many as can be answered in the time in which each of them asks a few times.
What is kept in memory is bounded, and who stops asking is forgotten. Times are microseconds of
the steady clock; amounts are requests.
"""

from weldhead.clock import SECOND_US

#: Those have their turn who can be answered within so long: a job is asked about every 5 s, and
#: most answers cost half of what is taken for them at first.
TURN_US = 15 * SECOND_US
#: Nobody has a turn before so long.
NEW_US = 2 * SECOND_US
#: Who has not asked for so long keeps nobody else from having a turn.
ASKING_US = 15 * SECOND_US
#: Who has not asked again for so long has given up, or was answered elsewhere. Users reach any
#: node: one of five sees a job that is asked about every 5 s each 25 s only, with longer gaps.
GIVEN_UP_US = 90 * SECOND_US
#: How many jobs are remembered as waiting.
MOST_WAITING = 4_096


class FairRateLimiter:
    """Shares ``rate`` requests a second, ``burst`` at once, among those who ask."""

    def __init__(self, rate: float, burst: float, at_us: int, most: int = MOST_WAITING) -> None:
        self._rate, self._burst, self._most = rate, burst, most
        self._level = burst
        self._filled_us = at_us
        #: Since when a job has not been answered, and when it was last asked about; the one
        #: that has waited longest first.
        self._waiting: dict[str, tuple[int, int]] = {}
        self._swept_us = at_us

    def take(self, job_id: str, cost: float, at_us: int, *, lost: bool = False) -> bool:
        """Take the cost of an answer, unless it is kept for those who have waited longer.

        ``lost``: the job has had its turn elsewhere, and that answer did not come.
        """
        if self.take_spare(cost, at_us):
            return True
        place = 0.0 if lost else self._place(job_id, cost, at_us)
        if self._level - cost < self._burst / 2 * place:
            self.failed(job_id, at_us)
            return False
        self._level -= cost
        return True

    def take_spare(self, cost: float, at_us: int) -> bool:
        """Take the cost of an answer if that keeps nobody who has waited from theirs."""
        self._fill(at_us)
        if self._level - cost < min(self._burst / 2, self._burst - cost):
            return False
        self._level -= cost
        return True

    def _place(self, job_id: str, cost: float, at_us: int) -> float:
        """Return a job's place among those that have a turn: the first is 0, all others 1."""
        if self.waited_us(job_id, at_us) < NEW_US:
            return 1.0
        most = max(1, round(self._rate / cost * TURN_US / SECOND_US))
        ahead = 0
        for name, (_, last_us) in self._waiting.items():
            if name == job_id:
                return ahead / most
            ahead += at_us - last_us <= ASKING_US
            if ahead >= most:
                break
        return 1.0

    def charge(self, cost: float, at_us: int) -> None:
        """Count what an answer that has begun costs besides; others wait for it."""
        self._fill(at_us)
        self._level = max(-self._burst, self._level - cost)

    def refund(self, cost: float) -> None:
        """An answer cost less than was taken for it."""
        self._level = min(self._burst, self._level + cost)

    def waited_us(self, job_id: str, at_us: int) -> int:
        """Return for how long questions about a job have failed."""
        since_us, last_us = self._waiting.get(job_id, (at_us, at_us))
        return at_us - since_us if at_us - last_us <= GIVEN_UP_US else 0

    def failed(self, job_id: str, at_us: int) -> None:
        """A question about a job could not be answered."""
        since_us = at_us - self.waited_us(job_id, at_us)
        if job_id not in self._waiting and len(self._waiting) >= self._most:
            self._sweep(at_us)
            if len(self._waiting) >= self._most:
                return
        if since_us == at_us:
            # It waits anew, behind all others.
            self._waiting.pop(job_id, None)
        self._waiting[job_id] = since_us, at_us

    def answered(self, job_id: str) -> None:
        """A question about a job was answered."""
        self._waiting.pop(job_id, None)

    def _fill(self, at_us: int) -> None:
        gained = max(0, at_us - self._filled_us) * self._rate / SECOND_US
        self._level = min(self._burst, self._level + gained)
        self._filled_us = at_us

    def _sweep(self, at_us: int) -> None:
        """Forget who gave up; looked for once a second at most."""
        if at_us - self._swept_us < SECOND_US:
            return
        self._swept_us = at_us
        for job_id in [j for j, (_, last) in self._waiting.items() if at_us - last > GIVEN_UP_US]:
            del self._waiting[job_id]
