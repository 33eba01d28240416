"""What was taken: tasks that held cards and were stopped for others. No I/O.

They are to be given back: stopped tasks first, on their last machine, from their checkpoint.
And none is stopped again and again: a task that was stopped within the last hour is left
alone until it has run for the least hold, which doubles with each stop in that hour. So
however claims come and go, no task is stopped more than ``MAX_PREEMPTIONS_PER_HOUR`` times an hour:
before the n-th stop in an hour it has run for LEAST_HOLD_US times 2 to the power n - 2,
and 120 + 240 + 480 + 960 + 1,920 seconds are more than an hour.
"""

import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from weldhead.clock import SECOND_US
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.states import TaskState

#: How long a task that was stopped is let run when it has begun again.
MIN_UNDISTURBED_US = 120 * SECOND_US
#: For so long a stop counts.
PREEMPTION_MEMORY_US = 3_600 * SECOND_US
#: How often the same task is stopped for others within an hour at most.
MAX_PREEMPTIONS_PER_HOUR = 5


@dataclass
class PreemptedTask:
    """One task from which cards were taken: its last machine, and when it was stopped."""

    job_id: str
    index: int
    machine: str
    #: Steady clock; the last one is the latest. No more than MOST_AN_HOUR.
    preempted_us: list[int]

    @property
    def last_preempted_us(self) -> int:
        """When it was stopped last."""
        return self.preempted_us[-1]


class PreemptionHistory:
    """The loans of all jobs, by job and task."""

    def __init__(self) -> None:
        self._tasks: dict[str, dict[int, PreemptedTask]] = {}

    def __len__(self) -> int:
        return sum(len(loans) for loans in self._tasks.values())

    def clear(self) -> None:
        """Forget everything, to be read anew."""
        self._tasks.clear()

    def entries(self) -> Iterator[PreemptedTask]:
        """Iterate over all loans."""
        for loans in self._tasks.values():
            yield from loans.values()

    def of_job(self, job_id: str) -> dict[int, PreemptedTask]:
        """Return a job's loans by task."""
        return self._tasks.get(job_id, {})

    def record_preemption(self, attempt: Attempt, at_us: int) -> None:
        """Note that a task is stopped for another."""
        loans = self._tasks.setdefault(attempt.job.id, {})
        loan = loans.get(attempt.index)
        if loan is None:
            loan = loans[attempt.index] = PreemptedTask(attempt.job.id, attempt.index, "", [])
        loan.machine = attempt.machine
        loan.preempted_us = [s for s in loan.preempted_us if s > at_us - PREEMPTION_MEMORY_US] + [
            at_us
        ]

    def restore(self, loan: PreemptedTask) -> None:
        """Take up a loan from the records."""
        self._tasks.setdefault(loan.job_id, {})[loan.index] = loan

    def undisturbed_us(self, job_id: str, index: int, at_us: int) -> int:
        """Return for how long a task is let run before it may be stopped for another."""
        loan = self._tasks.get(job_id, {}).get(index)
        if loan is None:
            return 0
        recent = sum(1 for stop_us in loan.preempted_us if stop_us > at_us - PREEMPTION_MEMORY_US)
        return MIN_UNDISTURBED_US << (recent - 1) if recent else 0

    def is_protected(self, attempt: Attempt, at_us: int) -> bool:
        """Whether a task is left alone: it was stopped of late and has not run for long since.

        One that has not begun yet has lost nothing; but it is a stop as any other, and the
        hold would not bound how often such a task is turned away.
        """
        hold_us = self.undisturbed_us(attempt.job.id, attempt.index, at_us)
        if hold_us == 0:
            return False
        return attempt.running_since_us == 0 or at_us - attempt.running_since_us < hold_us

    def expire(self, at_us: int, keep: Mapping[str, Job]) -> None:
        """Drop what nobody asks for any more: of jobs that are over, and what is long past.

        What still waits to be given back is kept, however long it waits.
        """
        for job_id, loans in list(self._tasks.items()):
            job = keep.get(job_id)
            for index, loan in list(loans.items()):
                waits = job is not None and job.states[index] == TaskState.WAITING
                if job is None or (
                    loan.last_preempted_us <= at_us - PREEMPTION_MEMORY_US and not waits
                ):
                    del loans[index]
            if not loans:
                del self._tasks[job_id]


# -- records -------------------------------------------------------------------------------

#: Keys of the records; one holds the loans of many jobs, so that a burst costs few changes.
PREEMPTED = "t/"
#: How many records there are at most; a job's loans are always in the same one.
SHARDS = 16

#: A row: the task's job and index, its last machine, and the times of day of its stops.
Row = tuple[str, int, str, tuple[int, ...]]


def shard_of(job_id: str) -> int:
    """Return which record holds a job's loans."""
    return zlib.crc32(job_id.encode()) % SHARDS


def preempted_key(shard: int) -> str:
    """Return the key of a record."""
    return f"{PREEMPTED}{shard}"


def rows_of(taken: PreemptionHistory, shard: int, offset_us: int, limit: int) -> list[Row]:
    """Return a record's rows, the latest stops first, as many as a value of ``limit`` bytes has.

    ``offset_us`` makes times of day of the steady clock's. What a full record leaves out is
    what was stopped longest ago: it is given back in some order then.
    """
    loans = [loan for loan in taken.entries() if shard_of(loan.job_id) == shard]
    loans.sort(key=lambda loan: (-loan.last_preempted_us, loan.job_id, loan.index))
    rows: list[Row] = []
    size = 2
    for loan in loans:
        stops = tuple(stop_us + offset_us for stop_us in loan.preempted_us)
        row: Row = (loan.job_id, loan.index, loan.machine, stops)
        size += len(msgspec.json.encode(row)) + 1
        if size > limit:
            break
        rows.append(row)
    return rows


def restore_rows(
    taken: PreemptionHistory, rows: Iterable[Row], jobs: Mapping[str, Job], offset_us: int
) -> None:
    """Take up a record that an earlier leader wrote: who is given back first, and where.

    Stopped tasks are the first of their job to start, the one that was stopped first before
    the others, each on its last machine if that has room. Tasks that run again already have
    been found there, or will be: they are not waiting when their turn comes.
    """
    for job_id, index, machine, stops in sorted(rows, key=lambda row: (row[3], row[1])):
        job = jobs.get(job_id)
        if job is None or index >= job.spec.tasks or not stops:
            continue
        taken.restore(PreemptedTask(job_id, index, machine, [stop - offset_us for stop in stops]))
        job.restart_first(index, machine)
