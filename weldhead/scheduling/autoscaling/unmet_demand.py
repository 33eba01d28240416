"""Which waiting tasks would start too late if no further machine were rented."""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import islice

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import tasks_that_fit
from weldhead.quota.teams import within_guarantee
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.reservations.wide_tasks import WideTaskForecast


@dataclass
class UnmetDemand:
    """Waiting tasks that want machines, as many of each job as are to run side by side."""

    #: Those that would wait for long.
    deferrable: list[tuple[Job, int]] = field(default_factory=list)
    #: Those that would be late.
    urgent: list[tuple[Job, int]] = field(default_factory=list)
    #: All work that would start later than a machine that is rented now.
    backlog_us: float = 0.0


@dataclass(frozen=True)
class DemandForecastInput:
    """What the forecast of unmet demand looks at besides the queue of CPUs."""

    cluster: Cluster
    plan: PlacementPlan
    estimates: RunTimeEstimates
    objectives: ServiceLevelObjectives
    settings: FleetSettings
    at_us: int
    #: How long a machine that is rented now takes to come up.
    boot_us: int
    #: By what factor a job waits longer than what waits now lets it seem.
    delay_factor: Callable[[Job], float]
    expected: Sequence[ExpectedDemand] = ()
    #: How many jobs wait; of very many only the foremost are looked at.
    backlog: int = 0
    #: Makes the queue for GPUs: for work that takes any, free CPUs elsewhere are no capacity.
    gpu_queue: Callable[[], CapacityForecast] | None = None
    #: Makes the queue of one zone, for work bound to it.
    zone_queue: Callable[[str], CapacityForecast] | None = None
    wide_tasks: WideTaskForecast | None = None


def forecast_unmet_demand(given: DemandForecastInput, cpu_queue: CapacityForecast) -> UnmetDemand:
    """Forecast what waits too long if nothing more is rented; ``cpu_queue`` is used up."""
    return _DemandForecast(given, cpu_queue).run()


@dataclass(frozen=True)
class _Bounds:
    """By when a job's tasks are to start."""

    #: When a machine rented now would be up, and the job may start.
    up_us: int
    #: When the job ought to be finished, with the operators' margin.
    target_us: int
    #: A later start is late.
    latest_start_us: int


class _DemandForecast:
    """One forecast: jobs take capacity in order, as running tasks give it back."""

    def __init__(self, given: DemandForecastInput, cpu_queue: CapacityForecast) -> None:
        self._given = given
        self._cpu_queue = cpu_queue
        self._gpu_queue: CapacityForecast | None = None
        self._used = defaultdict(
            float, {team: usage.cpus for team, usage in given.cluster.usage.items()}
        )
        self._unmet = UnmetDemand()

    def run(self) -> UnmetDemand:
        given = self._given
        waiting = ((job, count, given.at_us) for job, count in given.plan.unplaced)
        wanted = list(islice(waiting, given.settings.most_considered))
        more = any(True for _ in waiting)
        for item in given.expected:
            # Usage that is about to be lost does not stand in its own way.
            self._used[item.job.team] -= item.at_risk * item.job.spec.cpus
        wanted += [(item.job, item.tasks(given.cluster), item.starts_us) for item in given.expected]
        for job, count, ready_us in wanted:
            self._add(job, count, ready_us)
        if more:
            # Those behind are taken to be like those that were looked at.
            self._unmet.backlog_us *= max(1.0, given.backlog / len(wanted))
        return self._unmet

    def _add(self, job: Job, count: int, ready_us: int) -> None:
        """Let a job's tasks take capacity, and enter those that start too late."""
        settings = self._given.settings
        task_us = self._given.estimates.task_us(job)
        bounds = self._bounds(job, count, ready_us, task_us)
        delay_factor = self._given.delay_factor(job)
        slow = late = 0
        for start_us, together in self._schedule(job, count, ready_us, task_us):
            never = start_us is None
            expected_us = (
                0 if start_us is None else ready_us + round((start_us - ready_us) * delay_factor)
            )
            # A machine rented now helps only what would start after its boot.
            if never or expected_us > bounds.up_us:
                self._unmet.backlog_us += job.spec.cpus * task_us * together
            if never or expected_us > bounds.up_us + settings.spot_patience_us:
                slow += together
            if never or expected_us > bounds.latest_start_us:
                late += together
        wide_tasks = self._given.wide_tasks
        if wide_tasks is not None and (short := wide_tasks.shortfall(job, count)):
            slow, late = max(slow, short), max(late, short)
        if slow:
            in_turn = max(1, settings.spot_patience_us // max(1, task_us))
            self._unmet.deferrable.append((job, -(-slow // in_turn)))
        if late:
            # Tasks that a new machine can run one after the other and still be in time.
            in_turn = max(1, (bounds.target_us - bounds.up_us) // max(1, task_us))
            self._unmet.urgent.append((job, -(-late // in_turn)))

    def _bounds(self, job: Job, count: int, ready_us: int, task_us: int) -> _Bounds:
        given = self._given
        # Nothing can be too late for a job before it is released.
        up_us = max(given.at_us + given.boot_us, ready_us)
        target_us = given.objectives.target_finish_us(job, task_us, up_us)
        # No money brings in time what is late already; it only must not wait for ever.
        missed = up_us + task_us > target_us
        # The forecast is hopeful: it knows neither preemption nor fragmentation.
        target_us -= round((target_us - job.runnable_since_us) * given.settings.goal_margin)
        if self._is_guaranteed(job, count):
            return _Bounds(up_us, target_us, up_us)
        patience_us = (
            given.settings.overdue_patience_us if missed else max(0, target_us - task_us - up_us)
        )
        return _Bounds(up_us, target_us, up_us + patience_us)

    def _is_guaranteed(self, job: Job, count: int) -> bool:
        """Whether the tasks are inside their team's guarantee; they count as used from here on.

        What is guaranteed need not wait for others, however patient the job is. (A job that still
        waits for others has no waiting tasks by which to count.)
        """
        cluster = self._given.cluster
        team = cluster.teams[job.team]
        free_cpus = team.cpus - self._used[job.team]
        guaranteed = tasks_that_fit(job.spec, free_cpus, team.gpus) >= count
        if job.spec.gpus > 0:
            cpus, gpus = cluster.usage[job.team].units
            guaranteed = within_guarantee(team, (cpus, gpus), job.spec, count) >= count
        self._used[job.team] += job.spec.cpus * count
        return guaranteed

    def _schedule(
        self, job: Job, count: int, ready_us: int, task_us: int
    ) -> list[tuple[int | None, int]]:
        """Return when how many of the tasks start; None: they never can."""
        spec = job.spec
        taken = self._cpu_queue.schedule(spec.cpus, task_us, ready_us, count)
        if spec.gpus > 0 and self._given.gpu_queue is not None:
            self._gpu_queue = self._gpu_queue or self._given.gpu_queue()
            deque(taken, maxlen=0)
            taken = self._gpu_queue.schedule(spec.gpus, task_us, ready_us, count)
        starts = list(taken)
        if spec.zone is not None and self._given.zone_queue is not None:
            zone_queue = self._given.zone_queue(spec.zone)
            there = zone_queue.schedule(spec.cpus, task_us, ready_us, count)
            starts = max(starts, list(there), key=_last_start_us)
        return starts


def _last_start_us(starts: list[tuple[int | None, int]]) -> float:
    """Return when the last of these tasks starts; infinite if one never can."""
    return max((math.inf if at_us is None else at_us for at_us, _ in starts), default=0.0)
