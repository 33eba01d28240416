"""Forecast of the waiting tasks that would start too late if no further machine were rented."""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import islice

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import tasks_that_fit
from weldhead.quota.teams import count_within_guarantee
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.machine_availability import (
    MachineAvailability,
    TaskStarts,
    latest_starts,
)
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.reservations.wide_tasks import WideTaskForecast


@dataclass
class UnmetDemand:
    """Jobs that need further machines, each with the number of tasks to run side by side."""

    #: Jobs whose tasks would start more than ``spot_patience_us`` after a machine rented now is up.
    deferrable: list[tuple[Job, int]] = field(default_factory=list)
    #: Jobs whose tasks would miss their target time or, if they are inside their team's guarantee,
    #: would start later than on a machine rented now.
    urgent: list[tuple[Job, int]] = field(default_factory=list)
    #: CPU microseconds of all tasks that would start later than a machine rented now is up.
    backlog_cpu_us: float = 0.0


@dataclass(frozen=True)
class DemandForecastInput:
    """The input of the forecast of unmet demand, apart from the forecast of free CPUs."""

    cluster: Cluster
    plan: PlacementPlan
    estimates: RunTimeEstimates
    objectives: ServiceLevelObjectives
    settings: FleetSettings
    at_us: int
    #: How long a machine that is rented now takes to boot.
    boot_us: int
    #: Returns the factor by which future arrivals prolong a job's wait (``ArrivalRates``).
    delay_factor: Callable[[Job], float]
    expected_demand: Sequence[ExpectedDemand] = ()
    #: How many jobs wait. Only the first ``max_considered_jobs`` of them are considered.
    backlog_size: int = 0
    #: Creates the forecast of free GPUs. Tasks that need GPUs cannot use CPUs on other machines.
    create_gpu_forecast: Callable[[], CapacityForecast] | None = None
    #: Returns the forecast of free CPUs in one zone, for jobs that are restricted to the zone.
    zone_forecast: Callable[[str], CapacityForecast] | None = None
    wide_task_forecast: WideTaskForecast | None = None
    #: The forecast of when single machines have capacity; bounds the other forecasts from below.
    machine_availability: MachineAvailability | None = None


def forecast_unmet_demand(
    forecast_input: DemandForecastInput, cpu_forecast: CapacityForecast
) -> UnmetDemand:
    """Forecast which tasks wait too long if no further machine is rented.

    The call consumes ``cpu_forecast``: the forecast cannot be used again.
    """
    return _DemandForecast(forecast_input, cpu_forecast).run()


@dataclass(frozen=True)
class _StartBounds:
    """The times by which a job's tasks should start and finish."""

    #: The earliest start on a machine rented now: the machine is up and the job is runnable.
    new_machine_start_us: int
    #: When the job should be finished, brought forward by the ``target_margin`` of the settings.
    target_us: int
    #: A task that starts later than this is late.
    latest_start_us: int


class _DemandForecast:
    """One forecast: jobs take capacity in queue order, as running tasks release it."""

    def __init__(self, forecast_input: DemandForecastInput, cpu_forecast: CapacityForecast) -> None:
        self._input = forecast_input
        self._cpu_forecast = cpu_forecast
        self._gpu_forecast: CapacityForecast | None = None
        self._used_cpus = defaultdict(
            float, {team: usage.cpus for team, usage in forecast_input.cluster.usage.items()}
        )
        self._unmet = UnmetDemand()

    def run(self) -> UnmetDemand:
        forecast_input = self._input
        waiting = (
            (job, count, forecast_input.at_us) for job, count in forecast_input.plan.unplaced
        )
        considered = list(islice(waiting, forecast_input.settings.max_considered_jobs))
        has_more = any(True for _ in waiting)
        for item in forecast_input.expected_demand:
            # Tasks that are about to be lost must not count against their own restart.
            self._used_cpus[item.job.team] -= item.tasks_at_risk * item.job.spec.cpus
        considered += [
            (item.job, item.task_count(forecast_input.cluster), item.expected_start_us)
            for item in forecast_input.expected_demand
        ]
        for job, count, ready_us in considered:
            self._add(job, count, ready_us)
        if has_more:
            # The other jobs are assumed to need as much as the considered ones on average.
            self._unmet.backlog_cpu_us *= max(1.0, forecast_input.backlog_size / len(considered))
        return self._unmet

    def _add(self, job: Job, count: int, ready_us: int) -> None:
        """Let a job's tasks take capacity, and add those that start too late to the result."""
        settings = self._input.settings
        task_us = self._input.estimates.task_us(job)
        bounds = self._start_bounds(job, count, ready_us, task_us)
        delay_factor = self._input.delay_factor(job)
        deferrable_count = late_count = 0
        for start_us, started_count in self._schedule(job, count, ready_us, task_us):
            never = start_us is None
            expected_us = (
                0 if start_us is None else ready_us + round((start_us - ready_us) * delay_factor)
            )
            # A machine rented now helps only tasks that would start after its boot.
            if never or expected_us > bounds.new_machine_start_us:
                self._unmet.backlog_cpu_us += job.spec.cpus * task_us * started_count
            if never or expected_us > bounds.new_machine_start_us + settings.spot_patience_us:
                deferrable_count += started_count
            if never or expected_us > bounds.latest_start_us:
                late_count += started_count
        wide_tasks = self._input.wide_task_forecast
        if wide_tasks is not None and (shortfall := wide_tasks.shortfall(job, count)):
            deferrable_count, late_count = (
                max(deferrable_count, shortfall),
                max(late_count, shortfall),
            )
        if deferrable_count:
            tasks_per_slot = max(1, settings.spot_patience_us // max(1, task_us))
            self._unmet.deferrable.append((job, -(-deferrable_count // tasks_per_slot)))
        if late_count:
            # How many tasks a new machine can run one after the other before the target time.
            tasks_per_slot = max(
                1, (bounds.target_us - bounds.new_machine_start_us) // max(1, task_us)
            )
            self._unmet.urgent.append((job, -(-late_count // tasks_per_slot)))

    def _start_bounds(self, job: Job, count: int, ready_us: int, task_us: int) -> _StartBounds:
        forecast_input = self._input
        # A job cannot be late before it becomes runnable.
        start_us = max(forecast_input.at_us + forecast_input.boot_us, ready_us)
        target_us = forecast_input.objectives.target_finish_us(job, task_us, start_us)
        # No further machine can make an overdue job punctual. The job gets a patience of its own,
        # so that it does not wait for ever.
        is_overdue = start_us + task_us > target_us
        # The forecast is too optimistic: it ignores preemption and fragmentation.
        target_us -= round(
            (target_us - job.runnable_since_us) * forecast_input.settings.target_margin
        )
        if self._claim_guarantee(job, count):
            return _StartBounds(start_us, target_us, start_us)
        patience_us = (
            forecast_input.settings.overdue_patience_us
            if is_overdue
            else max(0, target_us - task_us - start_us)
        )
        return _StartBounds(start_us, target_us, start_us + patience_us)

    def _claim_guarantee(self, job: Job, count: int) -> bool:
        """Count the tasks as usage of their team; return whether all are inside its guarantee.

        Guaranteed tasks need not wait for other work, even if their job has much time left.
        ``count`` is passed because a job with unfinished dependencies has no waiting tasks yet.
        """
        cluster = self._input.cluster
        team = cluster.teams[job.team]
        unused_cpus = team.cpus - self._used_cpus[job.team]
        is_guaranteed = tasks_that_fit(job.spec, unused_cpus, team.gpus) >= count
        if job.spec.gpus > 0:
            cpus, gpus = cluster.usage[job.team].units
            is_guaranteed = count_within_guarantee(team, (cpus, gpus), job.spec, count) >= count
        self._used_cpus[job.team] += job.spec.cpus * count
        return is_guaranteed

    def _schedule(self, job: Job, count: int, ready_us: int, task_us: int) -> TaskStarts:
        """Return start times with the number of tasks that start then."""
        spec = job.spec
        starts_iterator = self._cpu_forecast.schedule(spec.cpus, task_us, ready_us, count)
        if spec.gpus > 0 and self._input.create_gpu_forecast is not None:
            self._gpu_forecast = self._gpu_forecast or self._input.create_gpu_forecast()
            # The tasks take CPUs as well, but the GPUs decide when they start.
            deque(starts_iterator, maxlen=0)
            starts_iterator = self._gpu_forecast.schedule(spec.gpus, task_us, ready_us, count)
        starts = list(starts_iterator)
        if spec.zone is not None and self._input.zone_forecast is not None:
            zone_forecast = self._input.zone_forecast(spec.zone)
            zone_starts = zone_forecast.schedule(spec.cpus, task_us, ready_us, count)
            starts = max(starts, list(zone_starts), key=_last_start_us)
        machine_availability = self._input.machine_availability
        if machine_availability is not None:
            machine_starts = machine_availability.starts(job, count, ready_us, task_us)
            starts = latest_starts(starts, machine_starts)
        return starts


def _last_start_us(starts: TaskStarts) -> float:
    """Return when the last task starts; infinity if a task can never start."""
    return max((math.inf if at_us is None else at_us for at_us, _ in starts), default=0.0)
