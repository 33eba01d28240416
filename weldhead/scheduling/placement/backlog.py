"""Waiting work, kept in the order in which room is given.

A part of the snapshot that decisions are made of: the same order as sorting all waiting jobs
by ``order_key`` at each look, but it costs what has changed since the last one. A job is put
in its place anew when something about it changes, when the estimate of its class does, or
when time carries it over a bound (its *standing* says until when it stays as it is).

Jobs that differ in nothing by which room is looked for are of one *kind* and stand in one
queue: where one of them finds no room, or is not let in by its team's limit, none behind it
does either, and a pass leaves the whole queue at once.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from heapq import heapify, heappop, heappush, heapreplace
from itertools import islice
from typing import NamedTuple

from weldhead.cluster_state.cluster import NO_UNVERIFIED_USAGE, Cluster, UnverifiedUsage
from weldhead.cluster_state.deadline_heap import DeadlineHeap
from weldhead.cluster_state.jobs import Job
from weldhead.quota.amounts import NOTHING, Amount, required_amounts, required_units, times_in
from weldhead.quota.teams import bounds_of, left, within_guarantee
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import FOR_EVER_US, ServiceLevelObjectives, Urgency

#: How many jobs of a class whose estimate has changed are put in place anew in one look.
#: Until its turn a job stands where the last estimate put it.
MAX_REORDERED_JOBS = 500


class TaskShape(NamedTuple):
    """What decides where a task fits, whoever's it is."""

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool

    @classmethod
    def of(cls, job: Job) -> "TaskShape":
        """Return the shape of a job's tasks."""
        spec = job.spec
        return cls(spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


class JobKind(NamedTuple):
    """Jobs whose tasks are looked for room alike."""

    team: str
    level: int
    job_class: str
    service: bool
    shape: TaskShape
    #: The job alone, where its own tasks limit or move where others may go.
    own: str

    @classmethod
    def of(cls, job: Job) -> "JobKind":
        """Return a job's kind."""
        spec = job.spec
        own = job.id if spec.one_zone or spec.spread or job.failed_machines else ""
        return cls(
            job.team, job.effective_level, spec.job_class, spec.is_service, TaskShape.of(job), own
        )


class BacklogEntry(NamedTuple):
    """A job's place in the order; the first differing field decides, the serial at last."""

    urgency: int
    level: int
    service: int
    start_us: int
    first_seen_us: int
    serial: int
    job: Job


def entry_of(
    job: Job,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives,
    at_us: int,
    patience_us: int,
) -> tuple[BacklogEntry, int]:
    """Return a job's place in the order, and until when it is that."""
    task_us = estimates.order_us(job)
    press, start_us, until_us = goals.urgency_window(job, task_us, at_us, patience_us)
    return BacklogEntry(
        int(press),
        -job.effective_level if press is not Urgency.PATIENT else 0,
        1 if job.spec.is_service else 0,
        start_us,
        job.first_seen_us,
        job.serial,
        job,
    ), until_us


class Backlog:
    """The queues of waiting jobs, by kind."""

    def __init__(
        self,
        cluster: Cluster,
        estimates: RunTimeEstimates,
        goals: ServiceLevelObjectives,
        patience_us: int,
    ) -> None:
        self._cluster = cluster
        self._estimates = estimates
        self._goals = goals
        self._patience_us = patience_us
        self.queues: dict[JobKind, list[BacklogEntry]] = {}
        self._positions: dict[str, tuple[JobKind, BacklogEntry]] = {}
        #: Until when a job's place stays as it is.
        self._timers = DeadlineHeap()
        self._classes: dict[str, dict[str, Job]] = {}
        self._estimate_versions: dict[str, int] = {}
        self._outdated: dict[str, Job] = {}
        self._feed = cluster.jobs.feeds.subscribe()
        self._fresh = dict(cluster.jobs)

    def close(self) -> None:
        """Stop following the jobs."""
        self._feed.close()

    def __len__(self) -> int:
        return len(self._positions)

    def load_batch(self, at_us: int, most: int) -> bool:
        """Take up some of the jobs that were there before this followed them; False: no more.

        At the start of a term, so that the loop lives in between.
        """
        for name in list(islice(self._fresh, most)):
            self._put(self._fresh.pop(name), at_us)
        return bool(self._fresh)

    def refresh(self, at_us: int) -> None:
        """Take up what has changed, and what time has brought."""
        while self._fresh:
            self.load_batch(at_us, len(self._fresh))
        for job in self._feed.take():
            self._put(job, at_us)
        for name, edition in self._estimates.versions.items():
            if self._estimate_versions.get(name) != edition:
                self._estimate_versions[name] = edition
                self._outdated.update(self._classes.get(name, {}))
        for job in list(islice(self._outdated.values(), MAX_REORDERED_JOBS)):
            self._put(job, at_us)
        while (job_id := self._timers.pop(at_us - 1)) is not None:
            self._put(self._cluster.jobs[job_id], at_us)

    def _remove(self, job: Job) -> None:
        self._outdated.pop(job.id, None)
        self._timers.drop(job.id)
        place = self._positions.pop(job.id, None)
        if place is None:
            return
        kind, entry = place
        queue = self.queues[kind]
        del queue[bisect_left(queue, entry)]
        if not queue:
            del self.queues[kind]
        of_class = self._classes[job.spec.job_class]
        del of_class[job.id]
        if not of_class:
            del self._classes[job.spec.job_class]

    def _put(self, job: Job, at_us: int) -> None:
        """Bring a job's place up to date."""
        self._remove(job)
        if (
            self._cluster.jobs.get(job.id) is not job
            or job.waiting <= 0
            or job.finishing
            or job.team not in self._cluster.teams
        ):
            return
        if job.not_before_us > at_us:
            self._timers.set(job.id, job.serial, job.not_before_us - 1)
            return
        entry, until_us = entry_of(job, self._estimates, self._goals, at_us, self._patience_us)
        kind = JobKind.of(job)
        insort(self.queues.setdefault(kind, []), entry)
        self._positions[job.id] = kind, entry
        self._classes.setdefault(job.spec.job_class, {})[job.id] = job
        if until_us < FOR_EVER_US:
            self._timers.set(job.id, job.serial, until_us)

    def inconsistent_jobs(self) -> list[str]:
        """Return the jobs that stand in the order and do not wait, or the other way round.

        None ever, unless a change was not told of: asked from time to time, as a job that is
        not in the order would wait for ever, and nothing else would notice.
        """
        expected = {
            job.id
            for job in self._cluster.jobs.values()
            if job.waiting > 0 and not job.finishing and job.team in self._cluster.teams
        }
        # Those that are not to start yet are known by their time alone.
        kept = self._positions.keys() | (self._timers.names() & expected)
        return sorted(expected ^ kept)

    def position_of(self, job_id: str) -> tuple[JobKind, BacklogEntry] | None:
        """Return where a job stands; None: nothing of it waits for room."""
        return self._positions.get(job_id)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over the waiting jobs in order."""
        heap = [(queue[0], 0, queue) for queue in self.queues.values()]
        heapify(heap)
        while heap:
            entry, number, queue = heap[0]
            yield entry.job
            if number + 1 < len(queue):
                heapreplace(heap, (queue[number + 1], number + 1, queue))
            else:
                heappop(heap)


class TeamAllowance:
    """What a plan has given to a team so far, and when in the order it was given."""

    __slots__ = ("_given", "_marks", "_remaining", "_team", "_used", "allocated")

    def __init__(
        self, cluster: Cluster, team: str, doubt: UnverifiedUsage = NO_UNVERIFIED_USAGE
    ) -> None:
        self._team = cluster.teams[team]
        cpus, cards = cluster.usage[team].units
        self._used: Amount = cpus, cards
        limit = bounds_of(self._team).limit
        # While machines are unknown, what they may hold of the team counts as used.
        self._remaining: Amount = (
            left(limit[0], cpus, required_units(doubt.cpus)),
            left(limit[1], cards, required_units(doubt.gpus)),
        )
        #: What was given so far, in units.
        self.allocated: Amount = NOTHING
        self._marks: list[BacklogEntry] = []
        self._given: list[Amount] = [NOTHING]

    def allocate(self, job: Job, count: int) -> None:
        """Reserve room for tasks."""
        cpus, cards = required_amounts(job.spec)
        self.allocated = self.allocated[0] + cpus * count, self.allocated[1] + cards * count

    def within_limit(self, job: Job) -> int:
        """How many more tasks of a job the limit allows."""
        return self._remaining_after(job, self.allocated)

    def within_guarantee(self, job: Job) -> int:
        """How many more tasks of a job are inside the guarantee."""
        used = self._used[0] + self.allocated[0], self._used[1] + self.allocated[1]
        return within_guarantee(self._team, used, job.spec, job.spec.tasks)

    def reserve(self, cpus: float, gpus: float) -> None:
        """Keep some of the limit out of reach for the rest of the pass."""
        self._remaining = (
            left(self._remaining[0], required_units(cpus)),
            left(self._remaining[1], required_units(gpus)),
        )

    def _remaining_after(self, job: Job, given: Amount) -> int:
        rest = left(self._remaining[0], given[0]), left(self._remaining[1], given[1])
        return times_in(rest, required_amounts(job.spec), job.spec.tasks)

    def record_position(self, entry: BacklogEntry | None) -> None:
        """Note that all so far was given up to that place in the order (None: before it)."""
        if entry is None:
            self._given[0] = self.allocated
            return
        self._marks.append(entry)
        self._given.append(self.allocated)

    def remaining_at(self, entry: BacklogEntry) -> int:
        """How many tasks of a job the limit allows, by what was given before its place."""
        number = bisect_left(self._marks, entry)
        return self._remaining_after(entry.job, self._given[number])


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
        self, kind: JobKind, queue: list[BacklogEntry], number: int, reserve: TeamAllowance
    ) -> None:
        """Enter what stands in a queue from that place on."""
        self._kinds[kind] = len(self._tails)
        self._tails.append((queue[number:], reserve))

    def record_placed(self, job: Job, count: int) -> None:
        """Note that the plan gives room to so many tasks of a job."""
        self._waiting[job.id] = job.waiting - count

    def count_of(self, job: Job, place: tuple[JobKind, BacklogEntry] | None) -> int:
        """Return how many of a job's tasks found no room, by its place at the time."""
        if job.id in self._listed:
            return self._listed[job.id]
        if place is None or place[0] not in self._kinds:
            return 0
        tail, reserve = self._tails[self._kinds[place[0]]]
        if place[1] < tail[0]:
            return 0
        return self.count_at(place[1], reserve)

    def count_at(self, entry: BacklogEntry, reserve: TeamAllowance) -> int:
        """Return how many tasks found no room of a job that a pass did not come to."""
        job = entry.job
        if job.finishing:
            return 0
        waiting = min(job.waiting, self._waiting.get(job.id, job.spec.tasks))
        return max(0, min(waiting, reserve.remaining_at(entry)))

    def scan(self) -> "QueueScan":
        """Return a walk over them in order."""
        return QueueScan(self, self._entries, self._counts, self._tails)

    def __iter__(self) -> Iterator[tuple[Job, int]]:
        walk = self.scan()
        while (found := walk.next()) is not None:
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
        self._reserves = [reserve for _, reserve in tails]
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
