"""Jobs none of whose tasks has ever started."""

from bisect import bisect_left, insort

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.deadline_heap import DeadlineHeap
from weldhead.cluster_state.jobs import Job


class UnstartedJobs:
    """Jobs none of whose tasks has ever started, from a stated age on; follows the jobs.

    Where work that presses keeps arriving, what is late already never has its turn: such a
    job is to begin all the same, with one task. Those of most tasks come first.
    """

    def __init__(self, cluster: Cluster, age_us: int) -> None:
        self._jobs = cluster.jobs
        self._age_us = age_us
        self._feed = cluster.jobs.feeds.subscribe()
        self._ages = DeadlineHeap()
        #: Those that are of age, by their tasks.
        self._aged: list[tuple[int, int, str]] = []
        self._places: dict[str, tuple[int, int, str]] = {}
        for job in cluster.jobs.values():
            self._enter(job)

    def close(self) -> None:
        """Stop following the jobs."""
        self._feed.close()

    def _enter(self, job: Job) -> None:
        place = self._places.pop(job.id, None)
        if place is not None:
            del self._aged[bisect_left(self._aged, place)]
        self._ages.drop(job.id)
        # One that began and was stopped has had its turn.
        begun = job.active or job.done or job.last_machine
        if self._jobs.get(job.id) is job and job.waiting > 0 and not begun:
            self._ages.set(job.id, job.serial, job.runnable_since_us + self._age_us)

    def largest(self, at_us: int, most: int) -> list[Job]:
        """Return so many of those that are of age."""
        for job in self._feed.take():
            self._enter(job)
        while (name := self._ages.pop(at_us)) is not None:
            job = self._jobs[name]
            self._places[name] = place = (-job.spec.tasks, job.serial, name)
            insort(self._aged, place)
        return [self._jobs[name] for _, _, name in self._aged[:most]]
