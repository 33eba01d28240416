"""Waiting jobs, kept in the order in which a placement pass considers them.

The order equals that of sorting all waiting jobs at each pass, but an update costs only as much
as has changed since the last pass. A job is positioned again when the job changes, when the run
time estimate of its class changes, or when its urgency changes with time
(``ServiceLevelObjectives.urgency_window``).
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
from weldhead.scheduling.placement.backlog_entry import (
    BacklogEntry,
    JobKind,
    create_backlog_entry,
)

#: Maximum number of jobs that one refresh repositions because the estimate of their class changed.
#: The remaining jobs keep the position of the previous estimate until a later refresh.
MAX_REORDERED_JOBS = 500


class Backlog:
    """The queues of waiting jobs, one sorted queue for each kind of job."""

    def __init__(
        self,
        cluster: Cluster,
        estimates: RunTimeEstimates,
        objectives: ServiceLevelObjectives,
        patience_us: int,
    ) -> None:
        self._cluster = cluster
        self._estimates = estimates
        self._objectives = objectives
        self._patience_us = patience_us
        self.queues: dict[JobKind, list[BacklogEntry]] = {}
        self._positions: dict[str, tuple[JobKind, BacklogEntry]] = {}
        #: For each job, the time until which its position stays valid.
        self._timers = DeadlineHeap()
        self._jobs_by_class: dict[str, dict[str, Job]] = {}
        self._estimate_versions: dict[str, int] = {}
        self._outdated: dict[str, Job] = {}
        self._feed = cluster.jobs.feeds.subscribe()
        self._unloaded = dict(cluster.jobs)

    def close(self) -> None:
        """Unsubscribe from changes of the jobs."""
        self._feed.close()

    def __len__(self) -> int:
        return len(self._positions)

    def load_batch(self, at_us: int, max_jobs: int) -> bool:
        """Load up to ``max_jobs`` jobs that predate the backlog; return whether any are left.

        A new leader loads its jobs in batches so that its event loop stays responsive.
        """
        for job_id in list(islice(self._unloaded, max_jobs)):
            self._update_position(self._unloaded.pop(job_id), at_us)
        return bool(self._unloaded)

    def refresh(self, at_us: int) -> None:
        """Reposition all jobs whose state, estimate or urgency has changed."""
        while self._unloaded:
            self.load_batch(at_us, len(self._unloaded))
        for job in self._feed.take():
            self._update_position(job, at_us)
        for job_class, version in self._estimates.versions.items():
            if self._estimate_versions.get(job_class) != version:
                self._estimate_versions[job_class] = version
                self._outdated.update(self._jobs_by_class.get(job_class, {}))
        for job in list(islice(self._outdated.values(), MAX_REORDERED_JOBS)):
            self._update_position(job, at_us)
        while (job_id := self._timers.pop(at_us - 1)) is not None:
            self._update_position(self._cluster.jobs[job_id], at_us)

    def _remove(self, job: Job) -> None:
        self._outdated.pop(job.id, None)
        self._timers.drop(job.id)
        position = self._positions.pop(job.id, None)
        if position is None:
            return
        kind, entry = position
        queue = self.queues[kind]
        del queue[bisect_left(queue, entry)]
        if not queue:
            del self.queues[kind]
        jobs_of_class = self._jobs_by_class[job.spec.job_class]
        del jobs_of_class[job.id]
        if not jobs_of_class:
            del self._jobs_by_class[job.spec.job_class]

    def _update_position(self, job: Job, at_us: int) -> None:
        """Remove a job from its queue and insert it again if it still has tasks to place."""
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
        entry, until_us = create_backlog_entry(
            job, self._estimates, self._objectives, at_us, self._patience_us
        )
        kind = JobKind.of(job)
        insort(self.queues.setdefault(kind, []), entry)
        self._positions[job.id] = kind, entry
        self._jobs_by_class.setdefault(job.spec.job_class, {})[job.id] = job
        if until_us < FAR_FUTURE_US:
            self._timers.set(job.id, job.serial, until_us)

    def find_inconsistent_jobs(self) -> list[str]:
        """Return the jobs that wait but are not in the backlog, and those in it that don't wait.

        The result is empty unless a change of a job was not reported. The autoscaler checks it
        regularly, because a job that is missing from the backlog would wait forever, and no other
        check would notice.
        """
        expected = {
            job.id
            for job in self._cluster.jobs.values()
            if job.waiting > 0 and not job.finishing and job.team in self._cluster.teams
        }
        # A job that must not start yet has a timer but no position.
        tracked = self._positions.keys() | (self._timers.names() & expected)
        return sorted(expected ^ tracked)

    def position_of(self, job_id: str) -> tuple[JobKind, BacklogEntry] | None:
        """Return a job's queue and entry; None if no task of the job waits for capacity."""
        return self._positions.get(job_id)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over the waiting jobs in placement order."""
        heap = [(queue[0], 0, queue) for queue in self.queues.values()]
        heapify(heap)
        while heap:
            entry, index, queue = heap[0]
            yield entry.job
            if index + 1 < len(queue):
                heapreplace(heap, (queue[index + 1], index + 1, queue))
            else:
                heappop(heap)
