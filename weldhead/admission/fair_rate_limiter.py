"""Rate limiter that gives precedence to the jobs whose polls have failed for longest. No I/O.

Each answer to a poll costs some of the state service's request rate. Without precedence, chance
decided which polls were answered when the rate did not suffice, and with thousands of jobs some
jobs were refused each time for minutes. So half of the burst is reserved for the jobs whose polls
have failed for longest: as many jobs as the rate can answer while each is polled a few times.
The number of remembered jobs is bounded, and jobs that are no longer polled are forgotten. Times
are microseconds of the monotonic clock; costs are requests to the state service.
"""

from weldhead.clock import SECOND_US

#: The jobs that the rate can answer within this time have precedence. A job is polled about every
#: 5 s, and half of the cost that is taken for an answer is refunded for most answers.
PRECEDENCE_WINDOW_US = 15 * SECOND_US
#: A job has no precedence until its polls have failed for this long.
MIN_PRECEDENCE_WAIT_US = 2 * SECOND_US
#: A waiting job takes no other job's precedence once it has not been polled for this long.
ACTIVE_POLL_WINDOW_US = 15 * SECOND_US
#: A job that is not polled again within this time has been given up by its user, or was answered
#: by another controller. Users reach any controller: with five of them, each sees a job that is
#: polled about every 5 s only every 25 s, with longer gaps.
WAIT_EXPIRY_US = 90 * SECOND_US
#: The maximum number of waiting jobs that are remembered.
MAX_WAITING_JOBS = 4_096


class FairRateLimiter:
    """Token bucket of ``rate`` requests per second and ``burst`` at once, shared by jobs."""

    def __init__(
        self, rate: float, burst: float, at_us: int, max_waiting: int = MAX_WAITING_JOBS
    ) -> None:
        self._rate, self._burst, self._max_waiting = rate, burst, max_waiting
        self._level = burst
        self._filled_us = at_us
        #: By job: when its polls began to fail, and when it was last polled. The job that has
        #: waited longest comes first.
        self._waiting: dict[str, tuple[int, int]] = {}
        self._swept_us = at_us

    def take(
        self, job_id: str, cost: float, at_us: int, *, owner_unreachable: bool = False
    ) -> bool:
        """Take the cost of an answer unless it is reserved for jobs that have waited longer.

        ``owner_unreachable``: another controller ranks this job, and its answer did not arrive.
        The job is then treated like the one that has waited longest.
        """
        if self.take_spare(cost, at_us):
            return True
        rank = 0.0 if owner_unreachable else self._relative_rank(job_id, cost, at_us)
        if self._level - cost < self._burst / 2 * rank:
            self.record_failure(job_id, at_us)
            return False
        self._level -= cost
        return True

    def take_spare(self, cost: float, at_us: int) -> bool:
        """Take the cost of an answer if the half that is reserved for waiting jobs stays full.

        A cost above half of the burst requires a full bucket.
        """
        self._refill(at_us)
        if self._level - cost < min(self._burst / 2, self._burst - cost):
            return False
        self._level -= cost
        return True

    def _relative_rank(self, job_id: str, cost: float, at_us: int) -> float:
        """Return a job's rank among those with precedence: 0 for the first, 1 for jobs without."""
        if self.waited_us(job_id, at_us) < MIN_PRECEDENCE_WAIT_US:
            return 1.0
        max_jobs = max(1, round(self._rate / cost * PRECEDENCE_WINDOW_US / SECOND_US))
        jobs_ahead = 0
        for waiting_job_id, (_, last_poll_us) in self._waiting.items():
            if waiting_job_id == job_id:
                return jobs_ahead / max_jobs
            jobs_ahead += at_us - last_poll_us <= ACTIVE_POLL_WINDOW_US
            if jobs_ahead >= max_jobs:
                break
        return 1.0

    def charge(self, cost: float, at_us: int) -> None:
        """Take a further cost of an answer that has begun, even below zero; later polls wait."""
        self._refill(at_us)
        self._level = max(-self._burst, self._level - cost)

    def refund(self, cost: float) -> None:
        """Put back the part of a taken cost that the answer did not need."""
        self._level = min(self._burst, self._level + cost)

    def waited_us(self, job_id: str, at_us: int) -> int:
        """Return for how long the polls of a job have failed."""
        since_us, last_poll_us = self._waiting.get(job_id, (at_us, at_us))
        return at_us - since_us if at_us - last_poll_us <= WAIT_EXPIRY_US else 0

    def record_failure(self, job_id: str, at_us: int) -> None:
        """Record that a poll of a job could not be answered."""
        since_us = at_us - self.waited_us(job_id, at_us)
        if job_id not in self._waiting and len(self._waiting) >= self._max_waiting:
            self._remove_expired(at_us)
            if len(self._waiting) >= self._max_waiting:
                return
        if since_us == at_us:
            # The job begins to wait now: its entry moves behind those of all other jobs.
            self._waiting.pop(job_id, None)
        self._waiting[job_id] = since_us, at_us

    def record_answer(self, job_id: str) -> None:
        """Record that a poll of a job was answered."""
        self._waiting.pop(job_id, None)

    def _refill(self, at_us: int) -> None:
        gained = max(0, at_us - self._filled_us) * self._rate / SECOND_US
        self._level = min(self._burst, self._level + gained)
        self._filled_us = at_us

    def _remove_expired(self, at_us: int) -> None:
        """Remove the jobs that are no longer polled; does so at most once per second."""
        if at_us - self._swept_us < SECOND_US:
            return
        self._swept_us = at_us
        for job_id in [
            waiting_job_id
            for waiting_job_id, (_, last_poll_us) in self._waiting.items()
            if at_us - last_poll_us > WAIT_EXPIRY_US
        ]:
            del self._waiting[job_id]
