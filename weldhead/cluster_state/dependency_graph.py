"""The dependency graph of jobs, and the effects of a job's end on its dependents. No I/O.

The graph is not stored. Each submission names the jobs that it needs, and final records say how
these jobs ended. A new leader rebuilds the graph from these records, and continues a withdrawal
that was in progress when the previous leader's term ended. Two rules apply:

* a job may start once all jobs that it needs are *committed* as done;
* a job is withdrawn once a job that it needs is withdrawn.

A submission can name only jobs that were accepted before, and accepted jobs stay accepted.
Therefore the graph has no cycles.
"""

from collections.abc import Collection, Iterable, Mapping
from graphlib import TopologicalSorter

from weldhead.cluster_state.jobs import Job


class DependencyGraph:
    """The dependencies between unfinished jobs.

    The cost of a change grows with the number of edges that it affects.
    """

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        #: The jobs that wait for each job that is not known to be done, by the id of the latter.
        self._dependents: dict[str, dict[str, Job]] = {}
        #: Ids of the jobs that others wait for and of which it is unknown whether and how they
        #: have ended.
        self.unresolved: set[str] = set()
        #: Jobs that wait for other jobs, by job id.
        self.blocked: dict[str, Job] = {}
        #: Priority and due times that a job inherits through the gate it acts on, by job id.
        self.gate_inheritance: dict[str, tuple[int, tuple[int, ...]]] = {}

    def add(self, job: Job, unmet_needs: Iterable[str]) -> None:
        """Add a job that waits for other jobs, which may turn out to have ended."""
        self.unresolved.discard(job.id)
        job.unmet_dependencies = frozenset(unmet_needs)
        for name in job.unmet_dependencies:
            self._dependents.setdefault(name, {})[job.id] = job
            if name not in self._jobs:
                self.unresolved.add(name)
        if job.unmet_dependencies:
            self.blocked[job.id] = job
        job.notify_changed()

    def remove(self, job: Job) -> None:
        """Remove the dependencies that an ended or withdrawn job has on the jobs that it needs.

        The dependencies of other jobs on this job stay in the graph.
        """
        self.blocked.pop(job.id, None)
        for name in job.unmet_dependencies:
            dependents = self._dependents.get(name, {})
            if dependents.pop(job.id, None) is not None and not dependents:
                del self._dependents[name]
                self.unresolved.discard(name)
        job.unmet_dependencies = frozenset()
        job.notify_changed()

    def dependents(self, job_id: str) -> list[Job]:
        """Return the jobs that wait directly for a job."""
        return list(self._dependents.get(job_id, {}).values())

    def required_jobs(self) -> list[Job]:
        """Return the unfinished jobs that other jobs wait for."""
        return [self._jobs[name] for name in self._dependents if name in self._jobs]

    def mark_done(self, job_id: str, at_us: int) -> list[Job]:
        """Record that a job was committed as done; return the dependents now unblocked."""
        self.unresolved.discard(job_id)
        released = []
        for dependent in self._dependents.pop(job_id, {}).values():
            dependent.unmet_dependencies -= {job_id}
            # Waiting times that users see count from the commit, and not from the time at which
            # some leader notices the commit.
            dependent.runnable_since_us = max(dependent.runnable_since_us, at_us)
            dependent.notify_changed()
            if not dependent.unmet_dependencies:
                del self.blocked[dependent.id]
                released.append(dependent)
        return released

    def mark_withdrawn(self, job_id: str) -> list[Job]:
        """Cancel and return all jobs that need a withdrawn job, directly or through other jobs.

        The cancelled jobs stay in the graph until they are removed.
        """
        self.unresolved.discard(job_id)
        withdrawn: list[Job] = []
        names = [job_id]
        while names:
            for dependent in self.dependents(names.pop()):
                if not dependent.cancelled:
                    dependent.cancelled = True
                    withdrawn.append(dependent)
                    names.append(dependent.id)
        return withdrawn

    def is_resolved(self, job: Job) -> bool:
        """Whether the state is known of each job that this job needs, directly or through others.

        A needed job of unknown state may have been withdrawn already, and this job with it.
        """
        return not self.depends_on_any(job, self.unresolved)

    def depends_on_any(self, job: Job, job_ids: Collection[str]) -> bool:
        """Whether a job needs one of these jobs, directly or through other jobs."""
        if not job_ids or not job.unmet_dependencies:
            return False
        seen = set(job.unmet_dependencies)
        names = list(seen)
        while names:
            name = names.pop()
            if name in job_ids:
                return True
            need = self._jobs.get(name)
            newly_found = need.unmet_dependencies - seen if need is not None else set()
            seen |= newly_found
            names += newly_found
        return False

    def upstream(self, jobs: Iterable[Job]) -> list[Job]:
        """Return these jobs and all unfinished jobs that they need, dependents first."""
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
        """Return the jobs that wait for other jobs; each job comes after the jobs that it needs."""
        graph = {job.id: job.unmet_dependencies for job in self.blocked.values()}
        order = TopologicalSorter(graph).static_order()
        return [self.blocked[name] for name in order if name in self.blocked]
