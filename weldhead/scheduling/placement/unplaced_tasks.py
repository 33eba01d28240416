"""Tasks that a placement pass found no capacity for."""

from bisect import bisect_left
from collections.abc import Iterator
from heapq import heapify, heappop, heappush, heapreplace

from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.objectives import Urgency
from weldhead.scheduling.placement.backlog_entry import BacklogEntry, JobKind
from weldhead.scheduling.placement.team_allowance import TeamAllowance


class UnplacedTasks:
    """Jobs whose tasks found no room, with how many of them the limits would allow.

    In the order of placement. What a pass has left a whole queue of is not listed but
    reckoned when it is asked for, so that leaving it costs nothing. It describes the moment
    of the plan; what has been started or ended since is left out.
    """

    def __init__(self, listed: list[tuple[Job, int]] | None = None) -> None:
        self._entries: list[BacklogEntry] = []
        self._counts: list[int] = []
        self._tails: list[tuple[list[BacklogEntry], TeamAllowance]] = []
        #: By kind: the tail of its queue.
        self._kinds: dict[JobKind, int] = {}
        self._listed: dict[str, int] = {}
        #: How many tasks of a job that was given room still wait.
        self._waiting: dict[str, int] = {}
        for number, (job, count) in enumerate(listed or ()):
            self.add(BacklogEntry(0, 0, 0, 0, 0, number, job), count)

    def add(self, entry: BacklogEntry, count: int) -> None:
        """List a job; jobs are listed in order."""
        self._entries.append(entry)
        self._counts.append(count)
        self._listed[entry.job.id] = count

    def add_tail(
        self, kind: JobKind, queue: list[BacklogEntry], number: int, allowance: TeamAllowance
    ) -> None:
        """Enter what stands in a queue from that place on."""
        self._kinds[kind] = len(self._tails)
        self._tails.append((queue[number:], allowance))

    def record_placed(self, job: Job, count: int) -> None:
        """Note that the plan gives room to so many tasks of a job."""
        self._waiting[job.id] = job.waiting - count

    def count_of(self, job: Job, place: tuple[JobKind, BacklogEntry] | None) -> int:
        """Return how many of a job's tasks found no room, by its place at the time."""
        if job.id in self._listed:
            return self._listed[job.id]
        if place is None or place[0] not in self._kinds:
            return 0
        tail, allowance = self._tails[self._kinds[place[0]]]
        if place[1] < tail[0]:
            return 0
        return self.count_at(place[1], allowance)

    def count_at(self, entry: BacklogEntry, allowance: TeamAllowance) -> int:
        """Return how many tasks found no room of a job that a pass did not come to."""
        job = entry.job
        if job.finishing:
            return 0
        waiting = min(job.waiting, self._waiting.get(job.id, job.spec.tasks))
        return max(0, min(waiting, allowance.remaining_at(entry)))

    def scan(self) -> "QueueScan":
        """Return a walk over them in order."""
        return QueueScan(self, self._entries, self._counts, self._tails)

    def __iter__(self) -> Iterator[tuple[Job, int]]:
        scan = self.scan()
        while (found := scan.next()) is not None:
            yield found

    def __bool__(self) -> bool:
        return self.scan().next() is not None

    def __len__(self) -> int:
        return sum(1 for _ in self)


class QueueScan:
    """A walk over what found no room, in which queues can be left."""

    def __init__(
        self,
        unplaced: UnplacedTasks,
        entries: list[BacklogEntry],
        counts: list[int],
        tails: list[tuple[list[BacklogEntry], TeamAllowance]],
    ) -> None:
        self._unplaced = unplaced
        self._counts = counts
        self._tails = [entries, *(tail for tail, _ in tails)]
        self._reserves = [allowance for _, allowance in tails]
        self._heap = [(tail[0], 0, n) for n, tail in enumerate(self._tails) if tail]
        heapify(self._heap)
        #: The job that was given last: its place, and which queue's.
        self._at: tuple[BacklogEntry, int] | None = None
        self._skipped: dict[int, int] = {}

    def next(self) -> tuple[Job, int] | None:
        """Return the next job and how many of its tasks found no room."""
        while self._heap:
            entry, number, tail = self._heap[0]
            self._advance(number + 1, tail)
            if tail == 0:
                count = self._counts[number]
            else:
                count = self._unplaced.count_at(entry, self._reserves[tail - 1])
            if count > 0:
                self._at = entry, tail
                return entry.job, count
        return None

    def _advance(self, number: int, tail: int) -> None:
        """Replace the foremost queue's head by another place in it."""
        queue = self._tails[tail]
        if number < len(queue):
            heapreplace(self._heap, (queue[number], number, tail))
        else:
            heappop(self._heap)

    def skip_queue(self) -> None:
        """Leave out what stands behind the last job in its queue, until it is revived."""
        assert self._at is not None
        _, tail = self._at
        if tail:
            for place, (_, number, other) in enumerate(self._heap):
                if other == tail:
                    self._skipped[tail] = number
                    self._heap[place] = self._heap[-1]
                    self._heap.pop()
                    heapify(self._heap)
                    return

    def skip_to_urgency(self, press: Urgency) -> None:
        """Leave out what stands behind the last job in its queue and presses otherwise.

        ``press`` comes later in the order than the last job's own.
        """
        assert self._at is not None
        _, tail = self._at
        if not tail:
            return
        for place, (_, number, other) in enumerate(self._heap):
            if other == tail:
                queue = self._tails[tail]
                number = bisect_left(queue, (int(press),), number)
                self._heap[place] = self._heap[-1]
                self._heap.pop()
                if number < len(queue) and queue[number].urgency == press:
                    self._heap.append((queue[number], number, tail))
                heapify(self._heap)
                return

    def resume_skipped(self) -> None:
        """Take up again the queues that were left, behind the last job."""
        if not self._skipped or self._at is None:
            return
        at, _ = self._at
        for tail, number in self._skipped.items():
            queue = self._tails[tail]
            number = bisect_left(queue, at, number)
            if number < len(queue):
                heappush(self._heap, (queue[number], number, tail))
        self._skipped.clear()
