"""What is to be expected of each job, looked at when it may have changed.

A forecast is made when somebody asks (a poll) or when a deadline hangs on it. For the latter
each job has a time at which it is looked at next: at once when something about it changed,
otherwise the sooner the nearer its forecast is to what it is due, and never later than
``recheck_us``, since a forecast also follows what others take and what boots. A look has a
bound; who had to wait comes first in the next.
"""

from collections import Counter
from collections.abc import Callable

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.change_feed import Registry
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.deadline_heap import DeadlineHeap
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.scheduling.forecast.completion_times import (
    BootForecast,
    due_us,
    forecast_chains,
    forecast_us,
    looks_unable,
)
from weldhead.scheduling.forecast.run_times import RunTimeEstimates

#: How old a forecast may be that a poll is answered with.
FRESH_US = SECOND_US
#: How long a bound job's forecast may be left alone whose instant is far away.
FAR_US = 60 * SECOND_US


class BootTracker:
    """When the next machine comes up, and how long boots take; follows the machines."""

    def __init__(self, machines: Registry[Machine]) -> None:
        self._machines = machines
        self._feed = machines.feeds.subscribe()
        self._types: Counter[float] = Counter()
        self._known: dict[str, float] = {}
        self._booting = DeadlineHeap()
        for machine in machines.values():
            self._enter(machine)

    def close(self) -> None:
        """Stop following the machines."""
        self._feed.close()

    def _enter(self, machine: Machine) -> None:
        name = machine.name
        known = self._known.pop(name, None)
        if known is not None:
            self._types[known] -= 1
            if not self._types[known]:
                del self._types[known]
        self._booting.drop(name)
        if self._machines.get(name) is not machine:
            return
        self._known[name] = machine.type.boot_s
        self._types[machine.type.boot_s] += 1
        if machine.booting:
            up_us = machine.rented_us + seconds_us(machine.type.boot_s)
            self._booting.set(name, machine.serial, up_us)

    def forecast(self) -> BootForecast:
        """Return what a forecast has to know of them."""
        for machine in self._feed.take():
            self._enter(machine)
        return BootForecast(self._booting.first_us(), seconds_us(max(self._types, default=0.0)))


class JobForecasts:
    """Forecasts and lateness of all jobs; follows them."""

    def __init__(
        self,
        cluster: Cluster,
        dependency_graph: DependencyGraph,
        estimates: RunTimeEstimates,
        stage_us: Callable[[Job], int],
        period_us: int,
        recheck_us: int,
        most: int,
    ) -> None:
        self._cluster = cluster
        self._chains = dependency_graph
        self._estimates = estimates
        self._stage_us = stage_us
        self._period_us = period_us
        self._recheck_us = recheck_us
        self._most = most
        self._feed = cluster.jobs.feeds.subscribe()
        self._boot_tracker = BootTracker(cluster.machines)
        #: When each job is looked at next.
        self._next = DeadlineHeap()
        for job in cluster.jobs.values():
            self._plan(job, 0)
        #: How many looks left somebody to the next.
        self.cut_short = 0

    def close(self) -> None:
        """Stop following the cluster."""
        self._feed.close()
        self._boot_tracker.close()

    def _plan(self, job: Job, at_us: int) -> None:
        """Refresh a job at that time, or earlier if that is planned already."""
        planned_us = self._next.due_us(job.id)
        if planned_us is None or planned_us > at_us:
            self._next.set(job.id, job.serial, at_us)

    def boot_forecast(self) -> BootForecast:
        """Return what is to be expected of machines that boot."""
        return self._boot_tracker.forecast()

    def refresh_job(self, job: Job, at_us: int) -> None:
        """Bring a job's forecast up to date, if it waits for no others."""
        if job.unmet_dependencies or (
            job.forecast_made_us and at_us - job.forecast_made_us < FRESH_US
        ):
            return
        self._forecast(job, at_us, self._boot_tracker.forecast())

    def _forecast(self, job: Job, at_us: int, boots: BootForecast) -> None:
        if job.blocking_gate is None or job.cancelled:
            job.expected_finish_us = forecast_us(self._cluster, job, self._estimates, at_us, boots)
        elif job.blocking_gate.expected_open_us is None or job.spec.is_service:
            job.expected_finish_us = None
        else:
            job.expected_finish_us = max(
                at_us, job.blocking_gate.expected_open_us
            ) + self._stage_us(job)
        job.forecast_made_us = at_us

    def refresh(self, at_us: int) -> list[Job]:
        """Bring forecasts up to date; return the jobs that may have turned late, or not late."""
        for job in self._feed.take():
            if self._cluster.jobs.get(job.id) is job:
                self._plan(job, at_us)
            else:
                self._next.drop(job.id)
        boots = self._boot_tracker.forecast()
        if self._chains.blocked:
            for job in self._chains.required_jobs():
                if not job.unmet_dependencies:
                    self._forecast(job, at_us, boots)
            forecast_chains(self._chains, self._cluster, self._stage_us, at_us)
        looked: list[Job] = []
        while len(looked) < self._most and (name := self._next.pop(at_us)) is not None:
            job = self._cluster.jobs[name]
            looked.append(job)
            if self._stays(job):
                continue
            due = due_us(job)
            if due is None:
                # Nothing hangs on its forecast; whether it is stuck only changes with it.
                job.expected_finish_us = None if looks_unable(job) else job.expected_finish_us
                continue
            if not job.unmet_dependencies:
                self._forecast(job, at_us, boots)
            self._plan(job, self._next_us(job, due, at_us))
        first_us = self._next.first_us()
        if first_us is not None and first_us <= at_us:
            self.cut_short += 1
        return looked

    @staticmethod
    def _stays(job: Job) -> bool:
        """Whether nothing more is to be expected of a job but its end."""
        return job.cancelled or job.spec.is_service or job.complete

    def _next_us(self, job: Job, due: int, at_us: int) -> int:
        """Return when a job with a deadline is looked at next if nothing happens to it."""
        soon_us = at_us + self._period_us
        if job.unmet_dependencies:
            return soon_us
        left_us = due - (job.expected_finish_us if job.expected_finish_us is not None else at_us)
        # Half of what is left: a forecast moves away with time at most as fast as it passes.
        pause_us = abs(left_us) // 2
        recheck_us = self._recheck_us
        if job.calendar_due_us is not None:
            # Thousands are bound to one hour of the night, hours ahead.
            recheck_us = max(recheck_us, min(abs(left_us) // 16, FAR_US))
        return max(soon_us, min(at_us + pause_us, at_us + recheck_us))
