"""Jobs that have waited for long and of which no task has ever started."""

from bisect import bisect_left, insort

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.deadline_heap import DeadlineHeap
from weldhead.cluster_state.jobs import Job


class UnstartedJobs:
    """An index of jobs that have waited for ``min_age_us`` and of which no task ever started.

    While urgent jobs keep arriving, jobs that already missed their target get no capacity. This
    index lists such jobs, so that each of them can start with one task. Jobs with the most tasks
    come first.
    """

    def __init__(self, cluster: Cluster, min_age_us: int) -> None:
        self._jobs = cluster.jobs
        self._min_age_us = min_age_us
        self._feed = cluster.jobs.feeds.subscribe()
        self._timers = DeadlineHeap()
        #: Jobs that have reached the minimum age, sorted by descending number of tasks.
        self._aged: list[tuple[int, int, str]] = []
        self._sort_keys: dict[str, tuple[int, int, str]] = {}
        for job in cluster.jobs.values():
            self._update_job(job)

    def close(self) -> None:
        """Unsubscribe from changes of the jobs."""
        self._feed.close()

    def _update_job(self, job: Job) -> None:
        sort_key = self._sort_keys.pop(job.id, None)
        if sort_key is not None:
            del self._aged[bisect_left(self._aged, sort_key)]
        self._timers.drop(job.id)
        # A job that was started and then stopped doesn't count as unstarted.
        has_started = job.active or job.done or job.last_machine
        if self._jobs.get(job.id) is job and job.waiting > 0 and not has_started:
            self._timers.set(job.id, job.serial, job.runnable_since_us + self._min_age_us)

    def largest(self, at_us: int, max_jobs: int) -> list[Job]:
        """Return up to ``max_jobs`` jobs that have reached the minimum age, the largest first."""
        for job in self._feed.take():
            self._update_job(job)
        while (job_id := self._timers.pop(at_us)) is not None:
            job = self._jobs[job_id]
            self._sort_keys[job_id] = sort_key = (-job.spec.tasks, job.serial, job_id)
            insort(self._aged, sort_key)
        return [self._jobs[job_id] for _, _, job_id in self._aged[:max_jobs]]
