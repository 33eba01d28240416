"""Tasks that a placement pass found no capacity for.

The backlog has one queue per kind of job. If a job finds no capacity, or its team's limit rejects
it, the placement pass skips the jobs behind it in the queue, because the same holds for them
(``weldhead/scheduling/placement/backlog_entry.py``). The skipped jobs are the *tail* of the queue.
"""

from bisect import bisect_left
from collections.abc import Iterator
from heapq import heapify, heappop, heappush, heapreplace

from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.objectives import Urgency
from weldhead.scheduling.placement.backlog_entry import BacklogEntry, JobKind
from weldhead.scheduling.placement.team_allowance import TeamAllowance


class UnplacedTasks:
    """Jobs whose tasks found no capacity, in placement order.

    Each job comes with the number of its tasks that the quotas would allow. If a pass skips the
    rest of a queue, that tail is stored as a whole, and the counts of its jobs are computed only
    when they are requested, so that skipping costs nothing. The counts describe the time of the
    plan, without tasks that have started or ended since.
    """

    def __init__(self, counts: list[tuple[Job, int]] | None = None) -> None:
        self._entries: list[BacklogEntry] = []
        self._counts: list[int] = []
        self._tails: list[tuple[list[BacklogEntry], TeamAllowance]] = []
        #: Index of a queue's tail in ``_tails``, by the kind of the queue's jobs.
        self._tail_indexes: dict[JobKind, int] = {}
        self._count_by_job: dict[str, int] = {}
        #: For jobs with placed tasks, the number of tasks that still wait.
        self._waiting: dict[str, int] = {}
        for number, (job, count) in enumerate(counts or ()):
            self.add(BacklogEntry(0, 0, 0, 0, 0, number, job), count)

    def add(self, entry: BacklogEntry, count: int) -> None:
        """Append a job with its count; jobs are added in placement order."""
        self._entries.append(entry)
        self._counts.append(count)
        self._count_by_job[entry.job.id] = count

    def add_tail(
        self, kind: JobKind, queue: list[BacklogEntry], start: int, allowance: TeamAllowance
    ) -> None:
        """Add all entries of a queue from the index ``start`` on."""
        self._tail_indexes[kind] = len(self._tails)
        self._tails.append((queue[start:], allowance))

    def record_placed(self, job: Job, placed: int) -> None:
        """Record how many tasks of a job the plan starts."""
        self._waiting[job.id] = job.waiting - placed

    def count_for_job(self, job: Job, position: tuple[JobKind, BacklogEntry] | None) -> int:
        """Return how many tasks of a job found no capacity, given its current backlog position."""
        if job.id in self._count_by_job:
            return self._count_by_job[job.id]
        if position is None or position[0] not in self._tail_indexes:
            return 0
        tail, allowance = self._tails[self._tail_indexes[position[0]]]
        if position[1] < tail[0]:
            return 0
        return self.count_for_tail_entry(position[1], allowance)

    def count_for_tail_entry(self, entry: BacklogEntry, allowance: TeamAllowance) -> int:
        """Return how many tasks of a job in a skipped tail found no capacity."""
        job = entry.job
        if job.finishing:
            return 0
        waiting = min(job.waiting, self._waiting.get(job.id, job.spec.tasks))
        return max(0, min(waiting, allowance.remaining_at(entry)))

    def scan(self) -> "QueueScan":
        """Return a scan over the unplaced jobs in placement order."""
        return QueueScan(self, self._entries, self._counts, self._tails)

    def __iter__(self) -> Iterator[tuple[Job, int]]:
        scan = self.scan()
        while (job_and_count := scan.next()) is not None:
            yield job_and_count

    def __bool__(self) -> bool:
        return self.scan().next() is not None

    def __len__(self) -> int:
        return sum(1 for _ in self)


class QueueScan:
    """A scan over unplaced jobs, in placement order, that can skip the rest of a queue.

    The scan merges several queues. Queue 0 holds the jobs that were added to ``UnplacedTasks`` one
    by one. Each other queue is the tail of one backlog queue: the jobs that the placement pass
    skipped.
    """

    def __init__(
        self,
        unplaced: UnplacedTasks,
        entries: list[BacklogEntry],
        counts: list[int],
        tails: list[tuple[list[BacklogEntry], TeamAllowance]],
    ) -> None:
        self._unplaced = unplaced
        self._counts = counts
        self._queues = [entries, *(tail for tail, _ in tails)]
        self._allowances = [allowance for _, allowance in tails]
        self._heap = [(queue[0], 0, n) for n, queue in enumerate(self._queues) if queue]
        heapify(self._heap)
        #: The entry that was returned last, and the number of its queue.
        self._last: tuple[BacklogEntry, int] | None = None
        #: For each skipped queue, the index of its first entry that was not returned.
        self._skipped: dict[int, int] = {}

    def next(self) -> tuple[Job, int] | None:
        """Return the next job and how many of its tasks found no capacity."""
        while self._heap:
            entry, index, queue_number = self._heap[0]
            self._advance(index + 1, queue_number)
            if queue_number == 0:
                count = self._counts[index]
            else:
                count = self._unplaced.count_for_tail_entry(
                    entry, self._allowances[queue_number - 1]
                )
            if count > 0:
                self._last = entry, queue_number
                return entry.job, count
        return None

    def _advance(self, index: int, queue_number: int) -> None:
        """Move the queue at the top of the heap to the given index, or drop it at its end."""
        queue = self._queues[queue_number]
        if index < len(queue):
            heapreplace(self._heap, (queue[index], index, queue_number))
        else:
            heappop(self._heap)

    def skip_queue(self) -> None:
        """Skip the rest of the last returned job's queue until ``resume_skipped`` is called."""
        assert self._last is not None
        _, queue_number = self._last
        if queue_number:
            for heap_index, (_, index, other) in enumerate(self._heap):
                if other == queue_number:
                    self._skipped[queue_number] = index
                    self._heap[heap_index] = self._heap[-1]
                    self._heap.pop()
                    heapify(self._heap)
                    return

    def skip_to_urgency(self, urgency: Urgency) -> None:
        """Skip the jobs of another urgency in the rest of the last returned job's queue.

        ``urgency`` has to come later in the placement order than the last returned job's urgency.
        """
        assert self._last is not None
        _, queue_number = self._last
        if not queue_number:
            return
        for heap_index, (_, index, other) in enumerate(self._heap):
            if other == queue_number:
                queue = self._queues[queue_number]
                index = bisect_left(queue, (int(urgency),), index)
                self._heap[heap_index] = self._heap[-1]
                self._heap.pop()
                if index < len(queue) and queue[index].urgency == urgency:
                    self._heap.append((queue[index], index, queue_number))
                heapify(self._heap)
                return

    def resume_skipped(self) -> None:
        """Resume the skipped queues, each at its first entry behind the last returned job."""
        if not self._skipped or self._last is None:
            return
        last_entry, _ = self._last
        for queue_number, index in self._skipped.items():
            queue = self._queues[queue_number]
            index = bisect_left(queue, last_entry, index)
            if index < len(queue):
                heappush(self._heap, (queue[index], index, queue_number))
        self._skipped.clear()
