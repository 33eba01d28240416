"""The plain decisions: what the incremental ones have to agree with, step by step.

Each looks at everything there is, as the service itself did before it followed changes. They
are kept as they were, but for the estimate by which waiting jobs are put in order
(``RunTimeEstimates.published_task_us``) and a place in the order for jobs that are alike in all
else.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator

from weldhead.clock import seconds_us
from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, add_tasks, tasks_that_fit
from weldhead.cluster_state.reclaim import Reclaim, ReclaimLists
from weldhead.cluster_state.states import StopRequest
from weldhead.quota.amounts import Resource
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.rental_offers import PendingRental
from weldhead.scheduling.autoscaling.scale_out import default_boot_expectations
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, Urgency
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.pass_capacity import PassCapacity
from weldhead.scheduling.placement.placement_pass import _place_tasks
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.preemption.preemption_pass import PreemptionPass
from weldhead.scheduling.preemption.victim_rules import PreemptorSettings


class PlainPlan(PlacementPlan):
    """The decisions of one pass, and what is left over, each job with its count."""

    def __init__(self) -> None:
        super().__init__()
        self.listed: list[tuple[Job, int]] = []


class PlainRooms(PassCapacity):
    """All machines that may take work; each shape looks at every one of them."""

    def __init__(self, cluster: Cluster, at_us: int, silence_us: int) -> None:
        self.open = [
            FreeCapacity(machine)
            for machine in cluster.machines.values()
            if is_schedulable(machine, at_us, silence_us)
        ]

    def candidates_for(self, job: Job) -> list[FreeCapacity]:
        """Return the machines with room for the job's tasks."""
        return [r for r in self.open if r.capacity_for(job) > 0 and r.machine.allows(job)]


def order_key(
    job: Job,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives,
    at_us: int,
    patience_us: int,
) -> tuple[int, ...]:
    """Sort waiting jobs: by need, then priority; those with time to spare by laxity alone."""
    task_us = estimates.published_task_us(job)
    press = goals.urgency_of(job, task_us, at_us, patience_us)
    return (
        press,
        -job.effective_level if press is not Urgency.DEFERRABLE else 0,
        1 if job.spec.is_service else 0,
        goals.laxity_us(job, task_us, at_us),
        job.first_seen_us,
    )


def guaranteed_tasks(cluster: Cluster, job: Job, cpus: float, gpus: float) -> int:
    """How many more tasks fit inside the team's guarantee, given its use."""
    team = cluster.teams[job.team]
    return min(job.waiting, tasks_that_fit(job.spec, team.cpus - cpus, team.gpus - gpus))


def plain_starts(
    cluster: Cluster,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives,
    at_us: int,
    silence_us: int,
    patience_us: int,
    fetch_weight: float = 1.0,
) -> PlainPlan:
    """Decide which waiting tasks start where."""
    plan = PlainPlan()
    reserved: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    planned_zones: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    planned: dict[str, int] = defaultdict(int)
    waiting = [
        job
        for job in cluster.waiting_jobs()
        if job.not_before_us <= at_us and job.team in cluster.teams
    ]
    if not waiting:
        return plan
    rooms = PlainRooms(cluster, at_us, silence_us)
    waiting.sort(key=lambda job: order_key(job, estimates, goals, at_us, patience_us))
    # Two rounds: first what each team is guaranteed, then what it borrows.
    for guaranteed in (True, False):
        for job in waiting:
            held = reserved[job.team]
            usage = cluster.usage[job.team]
            team = cluster.teams[job.team]
            cpus = team.cpus_max - usage.cpus - held[0]
            gpus = team.gpus_max - usage.gpus - held[1]
            allowed = min(job.waiting - planned[job.id], tasks_that_fit(job.spec, cpus, gpus))
            if guaranteed:
                most = guaranteed_tasks(cluster, job, usage.cpus + held[0], usage.gpus + held[1])
                allowed = min(allowed, most)
            if allowed <= 0:
                continue
            placed = _place_tasks(
                plan, job, allowed, rooms, planned[job.id], planned_zones[job.id], fetch_weight,
                at_us,
            )  # fmt: skip
            planned[job.id] += placed
            held[0] += job.spec.cpus * placed
            held[1] += job.spec.gpus * placed
            if not guaranteed and allowed > placed:
                plan.listed.append((job, allowed - placed))
    return plan


class PlainPass(PreemptionPass):
    """A run of the preemptor that knows every machine and every job from the start."""

    def __init__(
        self,
        cluster: Cluster,
        lists: ReclaimLists,
        estimates: RunTimeEstimates,
        at_us: int,
        settings: PreemptorSettings,
    ) -> None:
        free = CapacityIndex(cluster.machines)
        super().__init__(cluster, lists, estimates, at_us, settings, free)
        free.close()
        self.freed: dict[str, float] = defaultdict(float)
        self.claimed: dict[str, float] = defaultdict(float)
        for machine in cluster.machines.values():
            room = machine.free_amounts()
            for attempt in machine.attempts.values():
                if attempt.stop_request is not StopRequest.NO:
                    add_tasks(room, attempt.job.spec, 1)
                    self.freed[attempt.job.team] += attempt.job.spec.cpus
            self._capacity[machine.name] = (
                room if is_schedulable(machine, at_us, settings.silence_us) else None
            )
        for entry in lists.entries():
            job = cluster.jobs.get(entry.job_id)
            if job is None:
                continue
            held = self._capacity.get(entry.machine)
            if held is not None:
                add_tasks(held, job.spec, -1)
            self.claimed[job.team] += job.spec.cpus
        self._victim_jobs = sorted(
            (job for job in cluster.jobs.values() if job.active),
            key=lambda job: (
                job.effective_level,
                job.spec.is_service,
                -len(job.active) * job.spec.cpus,
                -job.first_seen_us,
            ),
        )
        self._job_ranks = {job.id: number for number, job in enumerate(self._victim_jobs)}

    def is_borrowing(self, team: str, resource: Resource) -> bool:
        """Whether a team runs more than it is guaranteed."""
        known, usage = self.cluster.teams.get(team), self.cluster.usage[team]
        if known is None:
            return True
        return (
            usage.cpus - self.freed[team] > known.cpus + EPSILON
            or usage.gpus > known.gpus + EPSILON
        )

    def is_within_guarantee(self, claimant: Job) -> bool:
        """Whether one more task of the job is inside its team's guarantee."""
        team, usage = self.cluster.teams.get(claimant.team), self.cluster.usage[claimant.team]
        if team is None:
            return False
        return (
            usage.cpus + self.claimed[claimant.team] + claimant.spec.cpus <= team.cpus + EPSILON
            and usage.gpus + claimant.spec.gpus <= team.gpus + EPSILON
        )

    def _record_reclaim(
        self, claimant: Job, machine_name: str, capacity: list[float], victims: list[Attempt]
    ) -> Reclaim:
        for victim in victims:
            self.freed[victim.job.team] += victim.job.spec.cpus
        self.claimed[claimant.team] += claimant.spec.cpus
        return super()._record_reclaim(claimant, machine_name, capacity, victims)

    def _machines_with_capacity(self, claimant: Job) -> list[str]:
        return [
            name
            for name, room in reversed(self._capacity.items())
            if room is not None and self._fits(room, claimant)
        ]


def plain_reclaims(
    cluster: Cluster,
    lists: ReclaimLists,
    plan: PlainPlan,
    estimates: RunTimeEstimates,
    at_us: int,
    settings: PreemptorSettings,
    goals: ServiceLevelObjectives,
    most: int = 64,
) -> list[Reclaim]:
    """Return the new requests of one run; every job that found no room is looked at."""
    run = PlainPass(cluster, lists, estimates, at_us, settings)
    reclaims: list[Reclaim] = []
    for job, unplaced in plan.listed:
        if run.urgency_of(job, goals) is Urgency.DEFERRABLE:
            if not run.is_within_guarantee(job):
                continue
        for _ in range(max(0, unplaced - lists.count(job.id))):
            if len(reclaims) >= most:
                return reclaims
            reclaim = run.plan_reclaim(job)
            if reclaim is None:
                break
            reclaims.append(reclaim)
    return reclaims


class PlainQueue(CapacityForecast):
    """A coarse forecast: waiting tasks take CPUs in order, as running ones give them back."""

    def __init__(
        self,
        cluster: Cluster,
        coming: Iterable[PendingRental],
        estimates: RunTimeEstimates,
        at_us: int,
        settings: FleetSettings,
    ) -> None:
        self._heap: list[tuple[int, float]] = []
        for item in coming:
            ready_us = at_us + seconds_us(item.type.boot_s)
            self._heap += [(ready_us, item.type.cpus)] * item.count
        for machine in cluster.machines.values():
            if machine.deleting or machine.draining:
                continue
            if machine.is_booting:
                if not default_boot_expectations(settings).is_late(machine, at_us):
                    ready_us = max(at_us, machine.rented_us + seconds_us(machine.type.boot_s))
                    self._heap.append((ready_us, machine.cpus))
                continue
            if machine.cpus > EPSILON:
                self._heap.append((at_us, machine.cpus))
            for attempt in machine.attempts.values():
                remaining_us = estimates.remaining_us(attempt, at_us)
                if not attempt.job.spec.is_service:
                    self._heap.append((at_us + remaining_us, attempt.job.spec.cpus))
        heapq.heapify(self._heap)

    def take(
        self, cpus: float, run_us: int, ready_us: int = 0, count: int = 1
    ) -> Iterator[tuple[int | None, int]]:
        """Let tasks run as early as they can, one by one."""
        for _ in range(count):
            yield self.take_one(cpus, run_us, ready_us), 1

    def take_one(self, cpus: float, run_us: int, ready_us: int = 0) -> int | None:
        """Let one task run as early as it can; return its start, None if it never can.

        One that becomes ready later leaves what it takes to nobody until then: room for the
        next stage of a chain is there when it is released.
        """
        taken: list[tuple[int, float]] = []
        found = 0.0
        while found + EPSILON < cpus:
            if not self._heap:
                for item in taken:
                    heapq.heappush(self._heap, item)
                return None
            item = heapq.heappop(self._heap)
            taken.append(item)
            found += item[1]
        start_us = max(ready_us, taken[-1][0] if taken else 0)
        rest = found - cpus
        if rest > EPSILON:
            heapq.heappush(self._heap, (taken[-1][0], rest))
        heapq.heappush(self._heap, (start_us + run_us, cpus))
        return start_us
