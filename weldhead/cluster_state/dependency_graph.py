"""Job chains: which jobs wait for which, and what follows from an end. No I/O.

Nothing here is stored: a submission names the jobs that it needs, records say how those
ended, and the rest follows. So a new leader rebuilds the graph from the records, and a
withdrawal that was under way when the last one ended is found to be under way still:

* a job may start once all jobs that it needs are *committed* as done;
* a job is withdrawn once a job that it needs is.

Accepted jobs stay accepted and only accepted ones can be named, so there are no circles.
"""

from collections.abc import Collection, Iterable, Mapping
from graphlib import TopologicalSorter

from weldhead.cluster_state.jobs import Job


class DependencyGraph:
    """The edges between jobs that are not over; each change costs the edges that it meets."""

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        #: Who waits for a job that is not known to be done.
        self._followers: dict[str, dict[str, Job]] = {}
        #: Needed jobs of which it is not known yet whether they are over, and how.
        self.unknown: set[str] = set()
        #: Jobs that wait for others.
        self.blocked: dict[str, Job] = {}
        #: Priority and bounds that a job has from what waits for it in other ways.
        self.lent: dict[str, tuple[int, tuple[int, ...]]] = {}

    def add(self, job: Job, open_needs: Iterable[str]) -> None:
        """Enter a job that waits for these jobs, unless they turn out to be over."""
        self.unknown.discard(job.id)
        job.blockers = frozenset(open_needs)
        for name in job.blockers:
            self._followers.setdefault(name, {})[job.id] = job
            if name not in self._jobs:
                self.unknown.add(name)
        if job.blockers:
            self.blocked[job.id] = job
        job.touch()

    def remove(self, job: Job) -> None:
        """Take out a job that is over, or withdrawn: it waits for nothing any more."""
        self.blocked.pop(job.id, None)
        for name in job.blockers:
            followers = self._followers.get(name, {})
            if followers.pop(job.id, None) is not None and not followers:
                del self._followers[name]
                self.unknown.discard(name)
        job.blockers = frozenset()
        job.touch()

    def followers(self, job_id: str) -> list[Job]:
        """Return the jobs that wait for a job."""
        return list(self._followers.get(job_id, {}).values())

    def needed(self) -> list[Job]:
        """Return the unfinished jobs that others wait for."""
        return [self._jobs[name] for name in self._followers if name in self._jobs]

    def done(self, job_id: str, at_us: int) -> list[Job]:
        """A job is committed as done since then; return those that wait for nothing more."""
        self.unknown.discard(job_id)
        released = []
        for follower in self._followers.pop(job_id, {}).values():
            follower.blockers -= {job_id}
            # The users' times count from here, whenever and by whomever it is noticed.
            follower.ready_us = max(follower.ready_us, at_us)
            follower.touch()
            if not follower.blockers:
                del self.blocked[follower.id]
                released.append(follower)
        return released

    def withdrawn(self, job_id: str) -> list[Job]:
        """A job is withdrawn; mark and return all that need it, directly or through others.

        They stay entered until they are removed.
        """
        self.unknown.discard(job_id)
        found: list[Job] = []
        names = [job_id]
        while names:
            for follower in self.followers(names.pop()):
                if not follower.cancelled:
                    follower.cancelled = True
                    found.append(follower)
                    names.append(follower.id)
        return found

    def settled(self, job: Job) -> bool:
        """Whether nothing unknown could already have withdrawn the job."""
        return not self.needs_any(job, self.unknown)

    def needs_any(self, job: Job, among: Collection[str]) -> bool:
        """Whether a job needs one of these, directly or through others."""
        if not among or not job.blockers:
            return False
        seen = set(job.blockers)
        names = list(seen)
        while names:
            name = names.pop()
            if name in among:
                return True
            need = self._jobs.get(name)
            fresh = need.blockers - seen if need is not None else set()
            seen |= fresh
            names += fresh
        return False

    def upstream(self, jobs: Iterable[Job]) -> list[Job]:
        """Return these jobs and all unfinished ones that they need, followers first."""
        graph: dict[str, frozenset[str]] = {}
        names = [job.id for job in jobs]
        while names:
            name = names.pop()
            need = self._jobs.get(name)
            if need is not None and name not in graph:
                graph[name] = need.blockers
                names += need.blockers
        order = [name for name in TopologicalSorter(graph).static_order() if name in graph]
        return [self._jobs[name] for name in reversed(order)]

    def waiting_order(self) -> list[Job]:
        """Return the jobs that wait for others, those that are needed first."""
        graph = {job.id: job.blockers for job in self.blocked.values()}
        order = TopologicalSorter(graph).static_order()
        return [self.blocked[name] for name in order if name in self.blocked]
