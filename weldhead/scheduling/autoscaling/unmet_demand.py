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


def forecast_unmet_demand(
    cluster: Cluster,
    plan: PlacementPlan,
    queue: CapacityForecast,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives,
    at_us: int,
    boot_us: int,
    stretches: Callable[[Job], float],
    settings: FleetSettings,
    upcoming: Sequence[ExpectedDemand] = (),
    backlog: int = 0,
    cards: Callable[[], CapacityForecast] | None = None,
    ahead: WideTaskForecast | None = None,
    in_zone: Callable[[str], CapacityForecast] | None = None,
) -> UnmetDemand:
    """Forecast what waits too long if nothing more is rented.

    ``backlog`` is how many jobs wait; of very many only the foremost are looked at. ``cards``
    makes the queue for cards, in which work that takes any has its place besides: free CPUs
    elsewhere are no room for it, and nothing was rented for it while there were some.
    ``in_zone`` makes the queue of one zone, for the same reason.
    """
    of_cards: CapacityForecast | None = None
    missing = UnmetDemand()
    boot_up_us = at_us + boot_us
    held = defaultdict(float, {team: usage.cpus for team, usage in cluster.usage.items()})
    waiting = ((job, count, at_us) for job, count in plan.unplaced)
    wanted = list(islice(waiting, settings.most_considered))
    more = any(True for _ in waiting)
    for item in upcoming:
        # What will be lost is no use that stands in its own way.
        held[item.job.team] -= item.at_risk * item.job.spec.cpus
    wanted += [(item.job, item.tasks(cluster), item.starts_us) for item in upcoming]
    for job, count, ready_us in wanted:
        # Nothing can be too late for a job before it is released.
        up_us = max(boot_up_us, ready_us)
        task_us = estimates.task_us(job)
        target_us = goals.target_us(job, task_us, up_us)
        # No money brings in time what is late already; it only must not wait for ever.
        lost = up_us + task_us > target_us
        # The forecast is hopeful: it knows neither preemption nor leftover room.
        target_us -= round((target_us - job.runnable_since_us) * settings.goal_margin)
        # What a team is guaranteed need not wait for others, however patient the job is.
        # (A job that still waits for others has no waiting tasks by which to count.)
        team = cluster.teams[job.team]
        guaranteed = tasks_that_fit(job.spec, team.cpus - held[job.team], team.gpus) >= count
        if job.spec.gpus > 0:
            cpus, used = cluster.usage[job.team].units
            guaranteed = within_guarantee(team, (cpus, used), job.spec, count) >= count
        held[job.team] += job.spec.cpus * count
        late_us = settings.overdue_patience_us if lost else max(0, target_us - task_us - up_us)
        bound_us = up_us if guaranteed else up_us + late_us
        stretch = stretches(job)
        slow = late = 0
        taken = queue.schedule(job.spec.cpus, task_us, ready_us, count)
        if job.spec.gpus > 0 and cards is not None:
            of_cards = of_cards or cards()
            deque(taken, maxlen=0)
            taken = of_cards.schedule(job.spec.gpus, task_us, ready_us, count)
        starts = list(taken)
        if job.spec.zone is not None and in_zone is not None:
            there = in_zone(job.spec.zone).schedule(job.spec.cpus, task_us, ready_us, count)
            starts = max(starts, list(there), key=_last_start_us)
        for start_us, together in starts:
            never = start_us is None
            start_us = 0 if start_us is None else ready_us + round((start_us - ready_us) * stretch)
            # A machine rented now is up only after its boot: it helps only what would
            # start later than that, however long it has to wait until then.
            if never or start_us > up_us:
                missing.backlog_us += job.spec.cpus * task_us * together
            if never or start_us > up_us + settings.spot_patience_us:
                slow += together
            if never or start_us > bound_us:
                late += together
        if ahead is not None and (short := ahead.shortfall(job, count)):
            slow, late = max(slow, short), max(late, short)
        # Tasks that a new machine can run one after the other and still be in time.
        turns = max(1, (target_us - up_us) // max(1, task_us))
        if slow:
            short = max(1, settings.spot_patience_us // max(1, task_us))
            missing.deferrable.append((job, -(-slow // short)))
        if late:
            missing.urgent.append((job, -(-late // turns)))
    if more:
        # Those behind are taken to be like those that were looked at.
        missing.backlog_us *= max(1.0, backlog / len(wanted))
    return missing


def _last_start_us(starts: list[tuple[int | None, int]]) -> float:
    """Return when the last of these tasks starts; infinite if one never can."""
    return max((math.inf if at_us is None else at_us for at_us, _ in starts), default=0.0)
