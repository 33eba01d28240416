"""The history of preempted GPU tasks, and its records in the state service. No I/O.

A preempted task is restarted before new tasks of its job, on its last machine if that has
capacity, from its checkpoint.

No task is preempted again and again. A task that was preempted within the last hour is protected
until it has run for ``MIN_UNDISTURBED_RUN_US``, doubled with each further preemption in that hour.
Before the n-th preemption in an hour it has therefore run for ``MIN_UNDISTURBED_RUN_US`` times 2 to
the power n - 2. As 120 + 240 + 480 + 960 + 1,920 seconds are more than an hour, no task is
preempted more than ``MAX_PREEMPTIONS_PER_HOUR`` times an hour, whatever other jobs claim.
"""

import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from weldhead.clock import SECOND_US
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.states import TaskState

#: How long a task has to run after its first preemption within an hour to be preempted again.
MIN_UNDISTURBED_RUN_US = 120 * SECOND_US
#: How long a preemption counts for the protection of its task.
PREEMPTION_MEMORY_US = 3_600 * SECOND_US
#: The bound on preemptions of the same task within an hour that follows from the two above.
MAX_PREEMPTIONS_PER_HOUR = 5


@dataclass
class PreemptedTask:
    """A GPU task that was preempted, with its last machine and the times of its preemptions."""

    job_id: str
    index: int
    machine: str
    #: Preemption times on the steady clock, the latest last; at most ``MAX_PREEMPTIONS_PER_HOUR``.
    preempted_us: list[int]

    @property
    def last_preempted_us(self) -> int:
        """The time of the latest preemption."""
        return self.preempted_us[-1]


class PreemptionHistory:
    """The preempted GPU tasks of all jobs."""

    def __init__(self) -> None:
        self._tasks: dict[str, dict[int, PreemptedTask]] = {}

    def __len__(self) -> int:
        return sum(len(tasks) for tasks in self._tasks.values())

    def clear(self) -> None:
        """Remove all entries, before they are read from the store again."""
        self._tasks.clear()

    def entries(self) -> Iterator[PreemptedTask]:
        """Iterate over the preempted tasks of all jobs."""
        for tasks in self._tasks.values():
            yield from tasks.values()

    def of_job(self, job_id: str) -> dict[int, PreemptedTask]:
        """Return the preempted tasks of a job by task index."""
        return self._tasks.get(job_id, {})

    def record_preemption(self, attempt: Attempt, at_us: int) -> None:
        """Record that a GPU task is preempted."""
        tasks = self._tasks.setdefault(attempt.job.id, {})
        task = tasks.get(attempt.index)
        if task is None:
            task = tasks[attempt.index] = PreemptedTask(attempt.job.id, attempt.index, "", [])
        task.machine = attempt.machine
        task.preempted_us = [
            time_us for time_us in task.preempted_us if time_us > at_us - PREEMPTION_MEMORY_US
        ] + [at_us]

    def restore(self, task: PreemptedTask) -> None:
        """Add a preempted task that was read from a record."""
        self._tasks.setdefault(task.job_id, {})[task.index] = task

    def min_undisturbed_run_us(self, job_id: str, index: int, at_us: int) -> int:
        """Return how long a task has to run before it may be preempted again; 0: no minimum."""
        task = self._tasks.get(job_id, {}).get(index)
        if task is None:
            return 0
        recent_count = sum(
            1 for time_us in task.preempted_us if time_us > at_us - PREEMPTION_MEMORY_US
        )
        return MIN_UNDISTURBED_RUN_US << (recent_count - 1) if recent_count else 0

    def is_protected(self, attempt: Attempt, at_us: int) -> bool:
        """Whether a task was preempted recently and has not run for its minimum time since.

        An attempt that has not begun to run is protected as well. Its preemption would lose no
        work, but counts as any other, and the minimum run time would not bound the number of such
        preemptions.
        """
        min_run_us = self.min_undisturbed_run_us(attempt.job.id, attempt.index, at_us)
        if min_run_us == 0:
            return False
        return attempt.running_since_us == 0 or at_us - attempt.running_since_us < min_run_us

    def expire(self, at_us: int, unfinished_jobs: Mapping[str, Job]) -> None:
        """Remove the tasks of ended jobs, and tasks whose last preemption no longer counts.

        A task of an unfinished job that still waits to be restarted is kept, however long it
        waits.
        """
        for job_id, tasks in list(self._tasks.items()):
            job = unfinished_jobs.get(job_id)
            for index, task in list(tasks.items()):
                is_waiting = job is not None and job.states[index] == TaskState.WAITING
                if job is None or (
                    task.last_preempted_us <= at_us - PREEMPTION_MEMORY_US and not is_waiting
                ):
                    del tasks[index]
            if not tasks:
                del self._tasks[job_id]


# -- records -------------------------------------------------------------------------------

#: Prefix of the record keys. Each record holds the tasks of many jobs, so that a burst of
#: preemptions costs few writes.
PREEMPTED_PREFIX = "t/"
#: The number of records; all preempted tasks of a job are in the same record.
SHARD_COUNT = 16

#: A preempted task in a record: job id, task index, last machine, and preemption times of day.
Row = tuple[str, int, str, tuple[int, ...]]


def shard_of(job_id: str) -> int:
    """Return the number of the record that holds the preempted tasks of a job."""
    return zlib.crc32(job_id.encode()) % SHARD_COUNT


def preempted_key(shard: int) -> str:
    """Return the key of the record with this number."""
    return f"{PREEMPTED_PREFIX}{shard}"


def build_rows(history: PreemptionHistory, shard: int, offset_us: int, max_bytes: int) -> list[Row]:
    """Return the rows of a record, the latest preemptions first, within ``max_bytes``.

    ``offset_us`` is added to times on the steady clock to get times of day. A full record leaves
    out the tasks whose preemption is longest ago; these are restarted in no particular order.
    """
    tasks = [task for task in history.entries() if shard_of(task.job_id) == shard]
    tasks.sort(key=lambda task: (-task.last_preempted_us, task.job_id, task.index))
    rows: list[Row] = []
    size = 2
    for task in tasks:
        preempted_us = tuple(time_us + offset_us for time_us in task.preempted_us)
        row: Row = (task.job_id, task.index, task.machine, preempted_us)
        size += len(msgspec.json.encode(row)) + 1
        if size > max_bytes:
            break
        rows.append(row)
    return rows


def restore_rows(
    history: PreemptionHistory, rows: Iterable[Row], jobs: Mapping[str, Job], offset_us: int
) -> None:
    """Add the preempted tasks of a record that an earlier leader wrote.

    Preempted tasks are the first of their job to start, in the order of their preemption, each on
    its last machine if that has capacity. A task that already runs again is reported by its
    machine sooner or later, and is not waiting when its turn comes.
    """
    for job_id, index, machine, preempted_us in sorted(rows, key=lambda row: (row[3], row[1])):
        job = jobs.get(job_id)
        if job is None or index >= job.spec.tasks or not preempted_us:
            continue
        history.restore(
            PreemptedTask(job_id, index, machine, [time_us - offset_us for time_us in preempted_us])
        )
        job.restart_first(index, machine)
