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
        self._dependents: dict[str, dict[str, Job]] = {}
        #: Needed jobs of which it is not known yet whether they are over, and how.
        self.unresolved: set[str] = set()
        #: Jobs that wait for others.
        self.blocked: dict[str, Job] = {}
        #: Priority and bounds that a job has from what waits for it in other ways.
        self.gate_inheritance: dict[str, tuple[int, tuple[int, ...]]] = {}

    def add(self, job: Job, open_needs: Iterable[str]) -> None:
        """Enter a job that waits for these jobs, unless they turn out to be over."""
        self.unresolved.discard(job.id)
        job.unmet_dependencies = frozenset(open_needs)
        for name in job.unmet_dependencies:
            self._dependents.setdefault(name, {})[job.id] = job
            if name not in self._jobs:
                self.unresolved.add(name)
        if job.unmet_dependencies:
            self.blocked[job.id] = job
        job.notify_changed()

    def remove(self, job: Job) -> None:
        """Take out a job that is over, or withdrawn: it waits for nothing any more."""
        self.blocked.pop(job.id, None)
        for name in job.unmet_dependencies:
            followers = self._dependents.get(name, {})
            if followers.pop(job.id, None) is not None and not followers:
                del self._dependents[name]
                self.unresolved.discard(name)
        job.unmet_dependencies = frozenset()
        job.notify_changed()

    def dependents(self, job_id: str) -> list[Job]:
        """Return the jobs that wait for a job."""
        return list(self._dependents.get(job_id, {}).values())

    def required_jobs(self) -> list[Job]:
        """Return the unfinished jobs that others wait for."""
        return [self._jobs[name] for name in self._dependents if name in self._jobs]

    def mark_done(self, job_id: str, at_us: int) -> list[Job]:
        """A job is committed as done since then; return those that wait for nothing more."""
        self.unresolved.discard(job_id)
        released = []
        for follower in self._dependents.pop(job_id, {}).values():
            follower.unmet_dependencies -= {job_id}
            # The users' times count from here, whenever and by whomever it is noticed.
            follower.runnable_since_us = max(follower.runnable_since_us, at_us)
            follower.notify_changed()
            if not follower.unmet_dependencies:
                del self.blocked[follower.id]
                released.append(follower)
        return released

    def mark_withdrawn(self, job_id: str) -> list[Job]:
        """A job is withdrawn; mark and return all that need it, directly or through others.

        They stay entered until they are removed.
        """
        self.unresolved.discard(job_id)
        found: list[Job] = []
        names = [job_id]
        while names:
            for follower in self.dependents(names.pop()):
                if not follower.cancelled:
                    follower.cancelled = True
                    found.append(follower)
                    names.append(follower.id)
        return found

    def is_resolved(self, job: Job) -> bool:
        """Whether nothing unknown could already have withdrawn the job."""
        return not self.depends_on_any(job, self.unresolved)

    def depends_on_any(self, job: Job, among: Collection[str]) -> bool:
        """Whether a job needs one of these, directly or through others."""
        if not among or not job.unmet_dependencies:
            return False
        seen = set(job.unmet_dependencies)
        names = list(seen)
        while names:
            name = names.pop()
            if name in among:
                return True
            need = self._jobs.get(name)
            fresh = need.unmet_dependencies - seen if need is not None else set()
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
                graph[name] = need.unmet_dependencies
                names += need.unmet_dependencies
        order = [name for name in TopologicalSorter(graph).static_order() if name in graph]
        return [self._jobs[name] for name in reversed(order)]

    def topological_order(self) -> list[Job]:
        """Return the jobs that wait for others, those that are needed first."""
        graph = {job.id: job.unmet_dependencies for job in self.blocked.values()}
        order = TopologicalSorter(graph).static_order()
        return [self.blocked[name] for name in order if name in self.blocked]
