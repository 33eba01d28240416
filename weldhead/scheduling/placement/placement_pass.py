"""Placement: which waiting task starts on which machine.

A plan depends only on the cluster and the time; the pass allocates from copies of the machines'
free resources. Jobs within their team's guarantee come first, because they need not wait for
other teams. Urgent jobs follow, by priority and then by least laxity (the time that a job can
still wait and be in time). Jobs with time to spare come last, by laxity alone. Within a job,
stopped tasks restart before new ones, preferably on their last machine.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from heapq import heapify, heappop, heapreplace
from itertools import islice

from weldhead.cluster_state.cluster import NO_UNVERIFIED_USAGE, Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.backlog_entry import BacklogEntry
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.placement.pass_capacity import PassCapacity, ReservedCapacity
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan, TaskStart
from weldhead.scheduling.placement.scoring import score_machine
from weldhead.scheduling.placement.team_allowance import TeamAllowance


def plan_without_starts(
    placement_input: PlacementInput, at_us: int, max_jobs: int
) -> PlacementPlan:
    """Return a plan without starts that lists the first ``max_jobs`` waiting jobs as unplaced.

    The plan serves decisions that are made while no task may be started yet. Tasks that unverified
    machines may still run don't count against the quotas here, because the machines that are to be
    replaced are among the unverified ones.
    """
    placement_input.refresh(at_us)
    plan, allowances = PlacementPlan(), dict[str, TeamAllowance]()
    for number, job in enumerate(islice(placement_input.backlog, max_jobs)):
        if job.team not in allowances:
            allowances[job.team] = TeamAllowance(placement_input.cluster, job.team)
        allowance = allowances[job.team]
        count = min(job.waiting, allowance.tasks_within_limit(job))
        if count > 0 and (not job.on_probation or job.stranded):
            allowance.allocate(job, count)
            plan.unplaced.add(BacklogEntry(0, 0, 0, 0, 0, number, job), count)
    return plan


def plan_starts(
    cluster: Cluster,
    estimates: RunTimeEstimates,
    objectives: ServiceLevelObjectives,
    at_us: int,
    silence_us: int,
    patience_us: int,
    fetch_weight: float = 1.0,
) -> PlacementPlan:
    """Plan one pass for a cluster for which no ``PlacementInput`` is maintained."""
    placement_input = PlacementInput(cluster, estimates, objectives, patience_us)
    try:
        return plan_pass(placement_input, at_us, silence_us, fetch_weight)
    finally:
        placement_input.close()


def plan_pass(
    placement_input: PlacementInput,
    at_us: int,
    silence_us: int,
    fetch_weight: float = 1.0,
    may_start: Callable[[Job], bool] | None = None,
) -> PlacementPlan:
    """Decide which waiting tasks start on which machines.

    ``may_start`` excludes the jobs for which it returns False. The plan equals that of a pass
    over all waiting jobs one by one, but a queue of jobs of one kind is skipped from the first
    job on that finds no capacity or that its team's limit or guarantee rejects.
    """
    placement_input.refresh(at_us)
    plan = PlacementPlan()
    if not placement_input.backlog.queues:
        return plan
    pass_capacity = PassCapacity(
        placement_input.capacity_index,
        at_us,
        silence_us,
        placement_input.reservations,
        placement_input.estimates,
    )
    placement_pass = _PlacementPass(
        placement_input, plan, pass_capacity, fetch_weight, at_us, may_start
    )
    if placement_input.reservations.machines or placement_input.reservations.quota_by_team:
        placement_pass.place_reserved(placement_input, at_us, silence_us, may_start)
    # The first round places tasks within guarantees, the second what teams borrow beyond them.
    placement_pass.place_in_order(guaranteed=True)
    placement_pass.place_in_order(guaranteed=False)
    return plan


class _PlacementPass:
    """The state of one placement pass over the queues of the backlog."""

    def __init__(
        self,
        placement_input: PlacementInput,
        plan: PlacementPlan,
        pass_capacity: PassCapacity,
        fetch_weight: float,
        at_us: int,
        may_start: Callable[[Job], bool] | None,
    ) -> None:
        self._cluster = placement_input.cluster
        self._queues = placement_input.backlog.queues
        if may_start is not None:
            filtered_queues = {
                kind: [entry for entry in queue if may_start(entry.job)]
                for kind, queue in self._queues.items()
            }
            self._queues = {kind: queue for kind, queue in filtered_queues.items() if queue}
        self._plan = plan
        self._pass_capacity = pass_capacity
        self._fetch_weight = fetch_weight
        self._at_us = at_us
        unverified_usage = placement_input.cluster.unverified_usage
        self._allowances = {
            team: TeamAllowance(
                placement_input.cluster, team, unverified_usage.get(team, NO_UNVERIFIED_USAGE)
            )
            for team in {kind.team for kind in self._queues}
        }
        if any(
            kind.shape.gpus > 0 and self._allowances[kind.team].tasks_within_limit(queue[0].job) > 0
            for kind, queue in self._queues.items()
        ):
            plan.gpu_reservation = pass_capacity.gpu_reservation = GpuReservation(
                placement_input.cluster.machines.values()
            )
        self._planned: dict[str, int] = defaultdict(int)
        self._planned_by_zone: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))

    def place_reserved(
        self,
        placement_input: PlacementInput,
        at_us: int,
        silence_us: int,
        may_start: Callable[[Job], bool] | None,
    ) -> None:
        """Place jobs on the machines reserved for them, before all other jobs.

        Quota that stays reserved afterwards is withheld from the team's other jobs.
        """
        reserved_quota = {
            team: list(quota) for team, quota in placement_input.reservations.quota_by_team.items()
        }
        for name, job_id in placement_input.reservations.machines.items():
            position, machine = (
                placement_input.backlog.position_of(job_id),
                self._cluster.machines.get(name),
            )
            if (
                position is None
                or machine is None
                or not is_schedulable(machine, at_us, silence_us)
            ):
                continue
            job = position[1].job
            if not machine.allows(job) or (may_start is not None and not may_start(job)):
                continue
            allowance = self._allowances[job.team]
            allowed = min(
                job.waiting - self._planned[job.id],
                self._allowed_count(job, allowance, guaranteed=False),
            )
            if allowed <= 0:
                continue
            placed = self._place_job(
                job, allowed, allowance, ReservedCapacity(self._pass_capacity.capacity_of(machine))
            )
            if job.team in reserved_quota:
                reserved_quota[job.team][0] -= placed * job.spec.cpus
                reserved_quota[job.team][1] -= placed * job.spec.gpus
        for team, (cpus, gpus) in reserved_quota.items():
            if team in self._allowances:
                self._allowances[team].reserve(max(0.0, cpus), max(0.0, gpus))

    def place_in_order(self, *, guaranteed: bool) -> None:
        """Place the jobs of all queues in placement order.

        A queue is skipped as soon as one of its jobs finds no capacity or quota. With
        ``guaranteed``, only tasks within their team's guarantee are placed.
        """
        if not guaranteed:
            for allowance in self._allowances.values():
                allowance.record_position(None)
        heap = [(queue[0], 0, kind) for kind, queue in self._queues.items()]
        heapify(heap)
        while heap:
            entry, index, kind = heap[0]
            job, allowance = entry.job, self._allowances[kind.team]
            max_tasks = self._allowed_count(job, allowance, guaranteed=guaranteed)
            if max_tasks <= 0:
                # The jobs behind this one are rejected as well: a team's use only grows in a pass.
                heappop(heap)
                continue
            counts_as_unplaced = not job.on_probation or job.stranded
            if self._pass_capacity.has_no_capacity_for(job):
                heappop(heap)
                if not guaranteed and counts_as_unplaced:
                    self._plan.unplaced.add_tail(kind, self._queues[kind], index, allowance)
                continue
            allowed = min(job.waiting - self._planned[job.id], max_tasks)
            if allowed > 0:
                placed = self._place_job(job, allowed, allowance)
                if not guaranteed:
                    if placed:
                        allowance.record_position(entry)
                    if allowed > placed and counts_as_unplaced:
                        self._plan.unplaced.add(entry, allowed - placed)
            if index + 1 < len(self._queues[kind]):
                heapreplace(heap, (self._queues[kind][index + 1], index + 1, kind))
            else:
                heappop(heap)

    def _allowed_count(self, job: Job, allowance: TeamAllowance, *, guaranteed: bool) -> int:
        """How many more tasks of a job its team's limit, or also its guarantee, allows."""
        max_tasks = allowance.tasks_within_limit(job)
        return min(max_tasks, allowance.tasks_within_guarantee(job)) if guaranteed else max_tasks

    def _place_job(
        self,
        job: Job,
        allowed: int,
        allowance: TeamAllowance,
        capacity_source: PassCapacity | ReservedCapacity | None = None,
    ) -> int:
        placed = _place_tasks(
            self._plan, job, allowed, capacity_source or self._pass_capacity,
            self._planned[job.id], self._planned_by_zone[job.id], self._fetch_weight, self._at_us,
        )  # fmt: skip
        if placed:
            self._planned[job.id] += placed
            self._plan.unplaced.record_placed(job, self._planned[job.id])
            allowance.allocate(job, placed)
        return placed


def _count_tasks_that_fit(candidates: Iterable[FreeCapacity], job: Job, max_tasks: int) -> int:
    """How many of ``max_tasks`` tasks fit; later machines are skipped once all of them fit."""
    count = 0
    for capacity in candidates:
        count += capacity.capacity_for(job)
        if count >= max_tasks:
            return max_tasks
    return count


def _prefer_untried(candidates: list[FreeCapacity], job: Job, at_us: int) -> list[FreeCapacity]:
    """Return the machines on which no task of the job has failed; all of them if there is none.

    While it is not known whose fault the failures are, only another machine shows it: the other
    ones are used again after a pause. Without it, a job was started on one faulty machine over
    and over, counted as placed, and no machine was rented for it.
    """
    untried = [c for c in candidates if c.machine.name not in job.failed_machines]
    if untried or at_us >= job.retry_failed_us:
        return untried or candidates
    return [c for c in candidates if not job.avoids(c.machine.name)]


def _place_tasks(
    plan: PlacementPlan,
    job: Job,
    max_tasks: int,
    capacity_source: PassCapacity | ReservedCapacity,
    already_planned: int,
    planned_by_zone: dict[str, int],
    fetch_weight: float,
    at_us: int,
) -> int:
    """Add starts of up to ``max_tasks`` tasks of a job to the plan; return their number.

    ``already_planned`` tasks of the job have been placed earlier in the same pass.
    """
    candidates = capacity_source.candidates_for(job)
    if job.failed_machines:
        candidates = _prefer_untried(candidates, job, at_us)
    if not candidates:
        return 0
    # Searching for more waiting tasks than can be placed would be wasted work.
    max_tasks = _count_tasks_that_fit(candidates, job, max_tasks)
    indexes = job.waiting_indexes(max_tasks + already_planned)[already_planned:]
    placed = 0
    capacity_by_machine = {c.machine.name: c for c in candidates}

    def tasks_allowed_on(capacity: FreeCapacity) -> int:
        zone = capacity.machine.zone
        if job.spec.one_zone and any(n for z, n in planned_by_zone.items() if z != zone):
            return 0
        return min(
            capacity.capacity_for(job), job.capacity_in_zone(zone) - planned_by_zone.get(zone, 0)
        )

    remaining_indexes: list[int] = []
    for index in indexes:
        last_capacity = capacity_by_machine.get(job.last_machine.get(index, ""))
        if last_capacity is not None and tasks_allowed_on(last_capacity) > 0:
            last_capacity.allocate(job, 1)
            planned_by_zone[last_capacity.machine.zone] = (
                planned_by_zone.get(last_capacity.machine.zone, 0) + 1
            )
            plan.starts.append(TaskStart(job, index, last_capacity.machine))
            placed += 1
        else:
            remaining_indexes.append(index)
    if not remaining_indexes:
        return placed
    candidates.sort(key=lambda capacity: score_machine(job, capacity, fetch_weight))
    if job.spec.one_zone and not any(planned_by_zone.values()):
        # All tasks have to run in one zone: the zone with the most capacity is chosen.
        capacity_by_zone: dict[str, int] = defaultdict(int)
        for capacity in candidates:
            capacity_by_zone[capacity.machine.zone] += capacity.capacity_for(job)
        chosen_zone = max(capacity_by_zone, key=lambda zone: capacity_by_zone[zone])
        candidates.sort(key=lambda capacity: capacity.machine.zone != chosen_zone)
    for capacity in candidates:
        if not remaining_indexes:
            break
        count = min(len(remaining_indexes), tasks_allowed_on(capacity))
        if count <= 0:
            continue
        capacity.allocate(job, count)
        zone = capacity.machine.zone
        planned_by_zone[zone] = planned_by_zone.get(zone, 0) + count
        plan.starts += [
            TaskStart(job, index, capacity.machine) for index in remaining_indexes[:count]
        ]
        remaining_indexes = remaining_indexes[count:]
        placed += count
    return placed
