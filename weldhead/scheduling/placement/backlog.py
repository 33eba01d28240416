"""Waiting jobs, kept in the order in which they are placed.

The order is that of sorting all waiting jobs at each pass, at the cost of what has changed since
the last one. A job is put in its position again when it changes, when the run time estimate of
its class does, or when time carries it over a bound (``urgency_window``).
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from heapq import heapify, heappop, heapreplace
from itertools import islice

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.deadline_heap import DeadlineHeap
from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import FAR_FUTURE_US, ServiceLevelObjectives
from weldhead.scheduling.placement.backlog_entry import BacklogEntry, JobKind, entry_of

#: How many jobs of a class whose estimate has changed are put in place anew in one look.
#: Until its turn a job stands where the last estimate put it.
MAX_REORDERED_JOBS = 500


class Backlog:
    """The queues of waiting jobs, by kind."""

    def __init__(
        self,
        cluster: Cluster,
        estimates: RunTimeEstimates,
        objectives: ServiceLevelObjectives,
        patience_us: int,
    ) -> None:
        self._cluster = cluster
        self._estimates = estimates
        self._goals = objectives
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
        if until_us < FAR_FUTURE_US:
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
