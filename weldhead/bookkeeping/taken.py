"""What was taken: tasks that held cards and were stopped for others. No I/O.

They are to be given back: stopped tasks first, on their last machine, from their checkpoint.
And none is stopped again and again: a task that was stopped within the last hour is left
alone until it has run for the least hold, which doubles with each stop in that hour. So
however claims come and go, no task is stopped more than ``MOST_AN_HOUR`` times an hour:
before the n-th stop in an hour it has run for LEAST_HOLD_US times 2 to the power n - 2,
and 120 + 240 + 480 + 960 + 1,920 seconds are more than an hour.
"""

from dataclasses import dataclass

from weldhead.bookkeeping.jobs import Attempt, Job
from weldhead.clock import SECOND_US

#: How long a task that was stopped is let run when it has begun again.
LEAST_HOLD_US = 120 * SECOND_US
#: For so long a stop counts.
MEMORY_US = 3_600 * SECOND_US
#: How often the same task is stopped for others within an hour at most.
MOST_AN_HOUR = 5


@dataclass
class Loan:
    """One task from which cards were taken: its last machine, and when it was stopped."""

    job_id: str
    index: int
    machine: str
    #: Steady clock; the last one is the latest. No more than MOST_AN_HOUR.
    stops_us: list[int]

    @property
    def since_us(self) -> int:
        """When it was stopped last."""
        return self.stops_us[-1]


class Taken:
    """The loans of all jobs, by job and task."""

    def __init__(self) -> None:
        self._loans: dict[str, dict[int, Loan]] = {}

    def __len__(self) -> int:
        return sum(len(loans) for loans in self._loans.values())

    def of(self, job_id: str) -> dict[int, Loan]:
        """Return a job's loans by task."""
        return self._loans.get(job_id, {})

    def stop(self, attempt: Attempt, at_us: int) -> None:
        """Note that a task is stopped for another."""
        loans = self._loans.setdefault(attempt.job.id, {})
        loan = loans.get(attempt.index)
        if loan is None:
            loan = loans[attempt.index] = Loan(attempt.job.id, attempt.index, "", [])
        loan.machine = attempt.machine
        loan.stops_us = [s for s in loan.stops_us if s > at_us - MEMORY_US] + [at_us]

    def enter(self, loan: Loan) -> None:
        """Take up a loan from the records."""
        self._loans.setdefault(loan.job_id, {})[loan.index] = loan

    def hold_us(self, job_id: str, index: int, at_us: int) -> int:
        """Return for how long a task is let run before it may be stopped for another."""
        loan = self._loans.get(job_id, {}).get(index)
        if loan is None:
            return 0
        recent = sum(1 for stop_us in loan.stops_us if stop_us > at_us - MEMORY_US)
        return LEAST_HOLD_US << (recent - 1) if recent else 0

    def kept(self, attempt: Attempt, at_us: int) -> bool:
        """Whether a task is left alone: it was stopped of late and has not run for long since.

        One that has not begun yet has lost nothing; but it is a stop as any other, and the
        hold would not bound how often such a task is turned away.
        """
        hold_us = self.hold_us(attempt.job.id, attempt.index, at_us)
        if hold_us == 0:
            return False
        return attempt.running_us == 0 or at_us - attempt.running_us < hold_us

    def forget(self, job: Job) -> None:
        """A job is over."""
        self._loans.pop(job.id, None)

    def expire(self, at_us: int) -> list[str]:
        """Drop what nobody asks for any more; return the jobs whose loans have changed."""
        changed = []
        for job_id, loans in list(self._loans.items()):
            old = [i for i, loan in loans.items() if loan.since_us <= at_us - MEMORY_US]
            for index in old:
                del loans[index]
            if old:
                changed.append(job_id)
            if not loans:
                del self._loans[job_id]
        return changed
