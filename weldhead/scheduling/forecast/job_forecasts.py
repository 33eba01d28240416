"""Completion forecasts of all jobs, updated when they may have changed.

A forecast is made when a client polls the job, and regularly for jobs with a due time. Each such
job has a time of its next refresh: at once after a change of the job, and otherwise the sooner the
nearer its forecast is to its due time. The interval is at most ``recheck_us``, because a forecast
also depends on the capacity that other jobs take and on booting machines; jobs with a calendar
deadline far away are refreshed less often. The number of jobs per refresh is limited; the jobs that
were left out come first in the next refresh.
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
    effective_due_us,
    forecast_dependent_jobs,
    forecast_finish_us,
    is_failing_everywhere,
)
from weldhead.scheduling.forecast.run_times import RunTimeEstimates

#: A poll is answered with a forecast that is younger than this.
MAX_POLL_FORECAST_AGE_US = SECOND_US
#: Longest refresh interval of a job whose calendar deadline is far away.
MAX_REFRESH_INTERVAL_US = 60 * SECOND_US


class BootTracker:
    """Keeps the boot forecast up to date from the change feed of the machines."""

    def __init__(self, machines: Registry[Machine]) -> None:
        self._machines = machines
        self._feed = machines.feeds.subscribe()
        #: Number of machines with each boot time, in seconds.
        self._boot_time_counts: Counter[float] = Counter()
        self._boot_s_by_machine: dict[str, float] = {}
        #: When each booting machine is expected to be up.
        self._boot_ends = DeadlineHeap()
        for machine in machines.values():
            self._update(machine)

    def close(self) -> None:
        """Unsubscribe from the machines' changes."""
        self._feed.close()

    def _update(self, machine: Machine) -> None:
        """Apply a change of one machine."""
        name = machine.name
        boot_s = self._boot_s_by_machine.pop(name, None)
        if boot_s is not None:
            self._boot_time_counts[boot_s] -= 1
            if not self._boot_time_counts[boot_s]:
                del self._boot_time_counts[boot_s]
        self._boot_ends.drop(name)
        if self._machines.get(name) is not machine:
            return
        self._boot_s_by_machine[name] = machine.type.boot_s
        self._boot_time_counts[machine.type.boot_s] += 1
        if machine.is_booting:
            ready_us = machine.rented_us + seconds_us(machine.type.boot_s)
            self._boot_ends.set(name, machine.serial, ready_us)

    def forecast(self) -> BootForecast:
        """Return the current boot forecast."""
        for machine in self._feed.take():
            self._update(machine)
        return BootForecast(
            self._boot_ends.first_us(), seconds_us(max(self._boot_time_counts, default=0.0))
        )


class JobForecasts:
    """Keeps the completion forecasts up to date from the change feed of the jobs."""

    def __init__(
        self,
        cluster: Cluster,
        dependency_graph: DependencyGraph,
        estimates: RunTimeEstimates,
        stage_us: Callable[[Job], int],
        period_us: int,
        recheck_us: int,
        max_jobs_per_refresh: int,
    ) -> None:
        self._cluster = cluster
        self._dependency_graph = dependency_graph
        self._estimates = estimates
        self._stage_us = stage_us
        self._period_us = period_us
        self._recheck_us = recheck_us
        self._max_jobs_per_refresh = max_jobs_per_refresh
        self._feed = cluster.jobs.feeds.subscribe()
        self._boot_tracker = BootTracker(cluster.machines)
        #: When each job is refreshed next.
        self._refresh_times = DeadlineHeap()
        for job in cluster.jobs.values():
            self._schedule_refresh(job, 0)
        #: Number of refreshes that reached the limit and left due jobs to the next refresh.
        self.truncated_refreshes = 0

    def close(self) -> None:
        """Unsubscribe from the changes of jobs and machines."""
        self._feed.close()
        self._boot_tracker.close()

    def _schedule_refresh(self, job: Job, at_us: int) -> None:
        """Schedule a refresh of a job at that time, unless an earlier one is scheduled."""
        scheduled_us = self._refresh_times.due_us(job.id)
        if scheduled_us is None or scheduled_us > at_us:
            self._refresh_times.set(job.id, job.serial, at_us)

    def boot_forecast(self) -> BootForecast:
        """Return the current boot forecast."""
        return self._boot_tracker.forecast()

    def refresh_job(self, job: Job, at_us: int) -> None:
        """Update the forecast of a job for a poll, unless the forecast is recent.

        Forecasts of jobs with unmet dependencies are only updated by ``refresh``.
        """
        if job.unmet_dependencies or (
            job.forecast_made_us and at_us - job.forecast_made_us < MAX_POLL_FORECAST_AGE_US
        ):
            return
        self._forecast(job, at_us, self._boot_tracker.forecast())

    def _forecast(self, job: Job, at_us: int, boots: BootForecast) -> None:
        """Update the forecast of a job without unmet dependencies."""
        if job.blocking_gate is None or job.cancelled:
            job.expected_finish_us = forecast_finish_us(
                self._cluster, job, self._estimates, at_us, boots
            )
        elif job.blocking_gate.expected_open_us is None or job.spec.is_service:
            job.expected_finish_us = None
        else:
            job.expected_finish_us = max(
                at_us, job.blocking_gate.expected_open_us
            ) + self._stage_us(job)
        job.forecast_made_us = at_us

    def refresh(self, at_us: int) -> list[Job]:
        """Update the forecasts that are due for a refresh, and return their jobs.

        Each of these jobs may have turned late, or may be late no longer.
        """
        for job in self._feed.take():
            if self._cluster.jobs.get(job.id) is job:
                self._schedule_refresh(job, at_us)
            else:
                self._refresh_times.drop(job.id)
        boots = self._boot_tracker.forecast()
        if self._dependency_graph.blocked:
            for job in self._dependency_graph.required_jobs():
                if not job.unmet_dependencies:
                    self._forecast(job, at_us, boots)
            forecast_dependent_jobs(self._dependency_graph, self._cluster, self._stage_us, at_us)
        refreshed: list[Job] = []
        while (
            len(refreshed) < self._max_jobs_per_refresh
            and (name := self._refresh_times.pop(at_us)) is not None
        ):
            job = self._cluster.jobs[name]
            refreshed.append(job)
            if self._needs_no_forecast(job):
                continue
            due_us = effective_due_us(job)
            if due_us is None:
                # A job without a due time needs no regular forecast, and a change of the job
                # schedules a refresh by itself. Its forecast is removed only if its tasks fail
                # on every machine.
                job.expected_finish_us = (
                    None if is_failing_everywhere(job) else job.expected_finish_us
                )
                continue
            if not job.unmet_dependencies:
                self._forecast(job, at_us, boots)
            self._schedule_refresh(job, self._next_refresh_us(job, due_us, at_us))
        first_us = self._refresh_times.first_us()
        if first_us is not None and first_us <= at_us:
            self.truncated_refreshes += 1
        return refreshed

    @staticmethod
    def _needs_no_forecast(job: Job) -> bool:
        """Return whether a job is cancelled, complete, or a service, which never finishes."""
        return job.cancelled or job.spec.is_service or job.is_complete

    def _next_refresh_us(self, job: Job, due_us: int, at_us: int) -> int:
        """Return when a job with a due time is refreshed next, if it does not change before."""
        next_period_us = at_us + self._period_us
        if job.unmet_dependencies:
            return next_period_us
        left_us = due_us - (job.expected_finish_us if job.expected_finish_us is not None else at_us)
        # A forecast shifts at most as fast as time passes, so half of the time between forecast
        # and due time is a safe interval.
        pause_us = abs(left_us) // 2
        recheck_us = self._recheck_us
        if job.calendar_due_us is not None:
            # Thousands of jobs may be due at the same hour of the night. While that is hours
            # away, they are refreshed less often.
            recheck_us = max(recheck_us, min(abs(left_us) // 16, MAX_REFRESH_INTERVAL_US))
        return max(next_period_us, min(at_us + pause_us, at_us + recheck_us))
