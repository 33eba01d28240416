"""Placement: which waiting task starts on which machine.

The plan is a function of the cluster and the time; only copies of the free amounts change.
Order: work inside its team's guarantee first, as it need not wait for others; then urgent work by
priority and least laxity; then work with time to spare, by laxity alone. Within a job, stopped
tasks restart before new ones, preferably on their last machine.
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
from weldhead.scheduling.placement.eligibility import usable
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.placement.pass_capacity import PassCapacity, ReservedCapacity
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan, TaskStart
from weldhead.scheduling.placement.scoring import score
from weldhead.scheduling.placement.team_allowance import TeamAllowance


def plan_nothing(placement_input: PlacementInput, at_us: int, most: int) -> PlacementPlan:
    """Return a plan that starts nothing: up to that many waiting jobs, in order, are left over.

    For what is decided while nothing may be started yet: what unknown machines may hold does
    not count here, as those that are to be replaced are among them.
    """
    placement_input.refresh(at_us)
    plan, given = PlacementPlan(), dict[str, TeamAllowance]()
    for number, job in enumerate(islice(placement_input.backlog, most)):
        if job.team not in given:
            given[job.team] = TeamAllowance(placement_input.cluster, job.team)
        allowance = given[job.team]
        count = min(job.waiting, allowance.within_limit(job))
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
    """Decide which waiting tasks start where, of a cluster that nobody follows yet."""
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
    """Decide which waiting tasks start where; ``may_start`` leaves jobs out (None: none).

    The same plan as one that looks at all waiting jobs, each in its turn; but a queue of
    jobs of one kind is left at the first that finds no room, or for which the limit or the
    guarantee of its team has none.
    """
    placement_input.refresh(at_us)
    plan = PlacementPlan()
    if not placement_input.backlog.queues:
        return plan
    rooms = PassCapacity(
        placement_input.capacity_index,
        at_us,
        silence_us,
        placement_input.reservations,
        placement_input.estimates,
    )
    run = _PlacementPass(placement_input, plan, rooms, fetch_weight, may_start)
    if placement_input.reservations.machines or placement_input.reservations.limits:
        run.place_reserved(placement_input, at_us, silence_us, may_start)
    # Two rounds: first what each team is guaranteed, then what it borrows.
    run.place_in_order(guaranteed=True)
    run.place_in_order(guaranteed=False)
    return plan


class _PlacementPass:
    """One pass over the queues."""

    def __init__(
        self,
        placement_input: PlacementInput,
        plan: PlacementPlan,
        rooms: PassCapacity,
        fetch_weight: float,
        may_start: Callable[[Job], bool] | None,
    ) -> None:
        self._cluster = placement_input.cluster
        self._queues = placement_input.backlog.queues
        if may_start is not None:
            kept = {
                kind: [entry for entry in queue if may_start(entry.job)]
                for kind, queue in self._queues.items()
            }
            self._queues = {kind: queue for kind, queue in kept.items() if queue}
        self._plan = plan
        self._rooms = rooms
        self._fetch_weight = fetch_weight
        unverified_usage = placement_input.cluster.unverified_usage
        self._allowances = {
            team: TeamAllowance(
                placement_input.cluster, team, unverified_usage.get(team, NO_UNVERIFIED_USAGE)
            )
            for team in {kind.team for kind in self._queues}
        }
        if any(
            kind.shape.gpus > 0 and self._allowances[kind.team].within_limit(queue[0].job) > 0
            for kind, queue in self._queues.items()
        ):
            plan.gpu_reservation = rooms.gpu_reservation = GpuReservation(
                placement_input.cluster.machines.values()
            )
        self._planned: dict[str, int] = defaultdict(int)
        self._zones: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))

    def place_reserved(
        self,
        placement_input: PlacementInput,
        at_us: int,
        silence_us: int,
        may_start: Callable[[Job], bool] | None,
    ) -> None:
        """Give held machines to those that they are held for, before anything else.

        What is kept of their teams' limits is out of the others' reach.
        """
        kept = {team: list(limit) for team, limit in placement_input.reservations.limits.items()}
        for name, job_id in placement_input.reservations.machines.items():
            place, machine = (
                placement_input.backlog.position_of(job_id),
                self._cluster.machines.get(name),
            )
            if place is None or machine is None or not usable(machine, at_us, silence_us):
                continue
            job = place[1].job
            if not machine.allows(job) or (may_start is not None and not may_start(job)):
                continue
            allowance = self._allowances[job.team]
            allowed = min(
                job.waiting - self._planned[job.id],
                self._allowed_count(job, allowance, guaranteed=False),
            )
            if allowed <= 0:
                continue
            placed = self._place(
                job, allowed, allowance, ReservedCapacity(self._rooms.capacity_of(machine))
            )
            if job.team in kept:
                kept[job.team][0] -= placed * job.spec.cpus
                kept[job.team][1] -= placed * job.spec.gpus
        for team, (cpus, gpus) in kept.items():
            if team in self._allowances:
                self._allowances[team].reserve(max(0.0, cpus), max(0.0, gpus))

    def place_in_order(self, *, guaranteed: bool) -> None:
        """Go through the queues in one order, and leave those where no more is to be had."""
        if not guaranteed:
            for allowance in self._allowances.values():
                allowance.record_position(None)
        heap = [(queue[0], 0, kind) for kind, queue in self._queues.items()]
        heapify(heap)
        while heap:
            entry, number, kind = heap[0]
            job, allowance = entry.job, self._allowances[kind.team]
            most = self._allowed_count(job, allowance, guaranteed=guaranteed)
            if most <= 0:
                # Neither is there any for those behind it: the team only gets more.
                heappop(heap)
                continue
            wants_room = not job.on_probation or job.stranded
            if self._rooms.has_no_capacity_for(job):
                heappop(heap)
                if not guaranteed and wants_room:
                    self._plan.unplaced.add_tail(kind, self._queues[kind], number, allowance)
                continue
            allowed = min(job.waiting - self._planned[job.id], most)
            if allowed > 0:
                placed = self._place(job, allowed, allowance)
                if not guaranteed:
                    if placed:
                        allowance.record_position(entry)
                    if allowed > placed and wants_room:
                        self._plan.unplaced.add(entry, allowed - placed)
            if number + 1 < len(self._queues[kind]):
                heapreplace(heap, (self._queues[kind][number + 1], number + 1, kind))
            else:
                heappop(heap)

    def _allowed_count(self, job: Job, allowance: TeamAllowance, *, guaranteed: bool) -> int:
        """How many tasks of a job its team may be given more."""
        most = allowance.within_limit(job)
        return min(most, allowance.within_guarantee(job)) if guaranteed else most

    def _place(
        self,
        job: Job,
        allowed: int,
        allowance: TeamAllowance,
        rooms: PassCapacity | ReservedCapacity | None = None,
    ) -> int:
        placed = _place(
            self._plan, job, allowed, rooms or self._rooms, self._planned[job.id],
            self._zones[job.id], self._fetch_weight,
        )  # fmt: skip
        if placed:
            self._planned[job.id] += placed
            self._plan.unplaced.record_placed(job, self._planned[job.id])
            allowance.allocate(job, placed)
        return placed


def _most_in(rooms: Iterable[FreeCapacity], job: Job, most: int) -> int:
    """How many of so many tasks of a job find room; no more rooms are looked at than it takes."""
    found = 0
    for room in rooms:
        found += room.capacity_for(job)
        if found >= most:
            return most
    return found


def _place(
    plan: PlacementPlan,
    job: Job,
    most: int,
    rooms: PassCapacity | ReservedCapacity,
    skip: int,
    zones: dict[str, int],
    fetch_weight: float,
) -> int:
    """Place up to ``most`` tasks of a job; return how many were placed."""
    fitting = rooms.candidates_for(job)
    if job.failed_machines:
        # A task that failed somewhere is first tried elsewhere.
        fitting = [r for r in fitting if r.machine.name not in job.failed_machines] or fitting
    if not fitting:
        return 0
    # No more tasks are looked up than there is room for.
    most = _most_in(fitting, job, most)
    indexes = job.waiting_indexes(most + skip)[skip:]
    count = 0
    by_name = {r.machine.name: r for r in fitting}

    def room_for(room: FreeCapacity) -> int:
        zone = room.machine.zone
        if job.spec.one_zone and any(n for z, n in zones.items() if z != zone):
            return 0
        return min(room.capacity_for(job), job.capacity_in_zone(zone) - zones.get(zone, 0))

    rest: list[int] = []
    for index in indexes:
        last = by_name.get(job.last_machine.get(index, ""))
        if last is not None and room_for(last) > 0:
            last.allocate(job, 1)
            zones[last.machine.zone] = zones.get(last.machine.zone, 0) + 1
            plan.starts.append(TaskStart(job, index, last.machine))
            count += 1
        else:
            rest.append(index)
    if not rest:
        return count
    fitting.sort(key=lambda room: score(job, room, fetch_weight))
    if job.spec.one_zone and not any(zones.values()):
        # Everything has to be in one zone: take the zone that holds most.
        best: dict[str, int] = defaultdict(int)
        for room in fitting:
            best[room.machine.zone] += room.capacity_for(job)
        choice = max(best, key=lambda zone: best[zone])
        fitting.sort(key=lambda room: room.machine.zone != choice)
    for room in fitting:
        if not rest:
            break
        number = min(len(rest), room_for(room))
        if number <= 0:
            continue
        room.allocate(job, number)
        zone = room.machine.zone
        zones[zone] = zones.get(zone, 0) + number
        plan.starts += [TaskStart(job, index, room.machine) for index in rest[:number]]
        rest = rest[number:]
        count += number
    return count
