"""Placement: which waiting task goes where.

The plan is a function of the cluster and the time; nothing is changed here but copies of
the free amounts. Order: work inside its team's guarantee first (it need not wait for
others), then what presses, by priority and least laxity, then what has time to spare, by
laxity alone. Within a job, stopped tasks are restarted before new ones, preferably on their
last machine.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace
from itertools import islice

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.cluster import NO_UNVERIFIED_USAGE, Cluster
from weldhead.cluster_state.jobs import AttemptPhase, Job
from weldhead.cluster_state.machines import Machine, tasks_that_fit
from weldhead.protocol.wire import JobSpec
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.backlog import (
    Backlog,
    BacklogEntry,
    TaskShape,
    TeamAllowance,
    UnplacedTasks,
)
from weldhead.scheduling.preemption.gpu_claims import GpuReservation
from weldhead.scheduling.reservations.holding import Reservations

#: Seconds of image fetching that are worth not starting on an idle machine, and on one that
#: is rented at the ordinary price: those are to fall idle and be returned.
IDLE_PENALTY = 5.0
FIT_WEIGHT = 4.0
DEAR_PENALTY = 8.0
CLOSING_PENALTY = 60.0
#: The same, of work without cards on a machine that has some: its cards were bare of CPUs
#: while work that takes them waited (a tenth of all cards, measured on an own site).
CARDS_PENALTY = 60.0
#: A card that is left over weighs more than CPUs: tasks of several need them on one machine.
CARD_FIT_WEIGHT = 8.0

#: Work that ends before a held machine is wanted may still run there: its estimate counts so
#: many times, as estimates are rough.
FILL_FACTOR = 2


@dataclass(frozen=True)
class TaskStart:
    """A decision to start a task on a machine."""

    job: Job
    index: int
    machine: Machine


@dataclass
class PlacementPlan:
    """The decisions of one pass, and what is left over."""

    starts: list[TaskStart] = field(default_factory=list)
    #: Jobs whose tasks found no room, with how many of them the limits would allow.
    unplaced: UnplacedTasks = field(default_factory=UnplacedTasks)
    #: Work that takes cards waits: from whom what free cards need beside them was kept.
    gpu_reservation: GpuReservation | None = None


class FreeCapacity:
    """A machine's free amounts while a plan is made."""

    __slots__ = (
        "_pulls",
        "cpus",
        "gpu_reservation",
        "gpus",
        "images",
        "machine",
        "memory_gb",
        "used",
    )  # fmt: skip

    def __init__(self, machine: Machine, keep: GpuReservation | None = None) -> None:
        self.machine = machine
        #: Free cards keep their share of the CPUs and the memory for work that takes cards.
        self.gpu_reservation = keep if machine.type.gpus > 0 else None
        self.cpus = machine.cpus
        self.gpus = machine.gpus
        self.memory_gb = machine.memory_gb
        self.used = bool(machine.attempts)
        #: Images that tasks there use or wait for; looked up when first asked for.
        self.images: set[str] | None = None
        self._pulls = 0

    def capacity_for(self, job: Job) -> int:
        """How many tasks of the job fit."""
        if (
            self.gpu_reservation is not None
            and self.gpus > 0
            and self.gpu_reservation.excludes(job)
        ):
            share = self.gpus / self.machine.type.gpus
            cpus = self.cpus - self.machine.type.cpus * share
            memory_gb = self.memory_gb - self.machine.type.memory_gb * share
            return tasks_that_fit(job.spec, max(0.0, cpus), self.gpus, max(0.0, memory_gb))
        return tasks_that_fit(job.spec, self.cpus, self.gpus, self.memory_gb)

    def allocate(self, job: Job, count: int) -> None:
        """Reserve room for tasks of the job."""
        self.cpus -= job.spec.cpus * count
        self.gpus -= job.spec.gpus * count
        self.memory_gb -= job.spec.memory_gb * count
        self.used = True
        images = self.wanted_images()
        if self.machine.type.gpus > 0 and job.spec.image not in images | self.machine.images.keys():
            # Weights placed side by side in one pass share the rate, as those under way do.
            self._pulls += 1
        images.add(job.spec.image)

    def wanted_images(self) -> set[str]:
        """Return the images that tasks there use or wait for."""
        if self.images is None:
            self.images = {a.job.spec.image for a in self.machine.attempts.values()}
            self._pulls = self.machine.image_pulls()
            if self.machine.type.gpus > 0:
                self._pulls = coming_images(self.machine)
        return self.images

    def image_pulls(self) -> int:
        """How many images are being fetched there."""
        self.wanted_images()
        return self._pulls


def coming_images(machine: Machine) -> int:
    """How many images a machine fetches or is about to fetch."""
    before = (AttemptPhase.ASSIGNED, AttemptPhase.PULLING)
    images = {a.job.spec.image for a in machine.attempts.values() if a.phase in before}
    return len(images - machine.images.keys())


class PassCapacity:
    """The machines that may take work in this pass.

    In a pass room only shrinks, so a shape that found none is not looked for again, and
    between passes not before some appears (``CapacityIndex``).
    """

    def __init__(
        self,
        free: CapacityIndex,
        at_us: int,
        silence_us: int,
        holds: Reservations | None = None,
        estimates: RunTimeEstimates | None = None,
    ) -> None:
        self._free = free
        #: Machines that are held for others' work, and until when that cannot begin there.
        self._reserved = holds.machines if holds is not None else {}
        self._until_us = holds.until_us if holds is not None else {}
        self._estimates = estimates
        self._at_us = at_us
        self._silence_us = silence_us
        self._rooms: dict[str, FreeCapacity] = {}
        self._hopeless: set[TaskShape] = set()
        #: Set before the first job is placed: cards are wanted (``FreeCapacity.keep``).
        self.gpu_reservation: GpuReservation | None = None

    def has_no_capacity_for(self, job: Job) -> bool:
        """Whether it is known that no machine has room for the job's tasks."""
        return TaskShape.of(job) in self._hopeless

    def capacity_of(self, machine: Machine) -> FreeCapacity:
        """Return what is left of a machine in this pass."""
        room = self._rooms.get(machine.name)
        if room is None:
            room = self._rooms[machine.name] = FreeCapacity(machine, self.gpu_reservation)
        return room

    def _may_fill(self, job: Job, room: FreeCapacity) -> bool:
        """Whether a task surely ends before a held machine can be used as it is to be."""
        until_us, _ = self._until_us.get(room.machine.name, (0, 0))
        if until_us <= self._at_us or self._estimates is None or job.spec.is_service:
            return False
        task_us = self._estimates.task_us(job)
        # One of no estimate may run for ever.
        return task_us > 0 and (
            self._at_us + fetch_delay_us(job, room) + FILL_FACTOR * task_us <= until_us
        )

    def candidates_for(self, job: Job) -> list[FreeCapacity]:
        """Return the machines with room for the job's tasks."""
        shape = TaskShape.of(job)
        if shape in self._hopeless:
            return []
        fitting = []
        kept = False
        spec = job.spec
        anywhere = spec.spot and spec.types is None and spec.zone is None
        for machine in self._free.candidates(shape, spec.cpus, spec.memory_gb):
            if not anywhere and not machine.allows(job):
                continue
            if not usable(machine, self._at_us, self._silence_us):
                continue
            room = self.capacity_of(machine)
            if machine.name in self._reserved and not self._may_fill(job, room):
                continue
            if room.capacity_for(job) > 0:
                fitting.append(room)
            else:
                # Once the cards are not wanted any more, it has room with no change of its own.
                kept = kept or room.gpu_reservation is not None
        self._free.record_search(shape, bool(fitting) or kept)
        if not fitting:
            self._hopeless.add(shape)
        return fitting


class ReservedCapacity:
    """A machine that is held, for the job that it is held for."""

    def __init__(self, room: FreeCapacity) -> None:
        self._room = room

    def candidates_for(self, job: Job) -> list[FreeCapacity]:
        """Return the machine if it has room for the job's tasks."""
        return [self._room] if self._room.capacity_for(job) > 0 else []


def usable(machine: Machine, at_us: int, silence_us: int) -> bool:
    """Whether new work may be placed on a machine."""
    return (
        machine.reconciled
        and not machine.draining
        and not machine.deleting
        and not machine.not_receiving
        and not machine.orphans
        and not machine.interruption_us
        and at_us - max(machine.last_heartbeat_us, machine.first_probe_us) < silence_us
    )


def fetch_delay_us(job: Job, room: FreeCapacity) -> int:
    """Estimate how long the image takes to arrive on a machine."""
    spec = job.spec
    machine = room.machine
    if spec.image_gb <= 0 or (spec.image in machine.images and not _too_large(spec, machine)):
        return 0
    rate = machine.type.fetch_gb_per_s or 1.0
    alone_us = seconds_us(spec.image_gb / rate)
    if spec.image in room.wanted_images():
        return alone_us // 2
    return alone_us * (1 + room.image_pulls())


def _too_large(spec: JobSpec, machine: Machine) -> bool:
    """Whether weights are more than the cache holds, so that they are there only while used."""
    return spec.gpus > 0 and spec.image_gb > machine.type.cache_gb


def score(job: Job, room: FreeCapacity, fetch_weight: float) -> float:
    """Rank machines for a job, lower first: image at hand, price, tightest fit.

    Work without cards goes where there are none; work with cards where they are left over.
    """
    delay_s = fetch_delay_us(job, room) / SECOND_US * fetch_weight
    # A started machine's money is spent anyway: fill used ones so that others fall idle.
    idle = 0.0 if room.used else IDLE_PENALTY
    dear = 0.0 if room.machine.spot else DEAR_PENALTY
    if room.machine.scale_in_candidate:
        dear += CLOSING_PENALTY
    left = FIT_WEIGHT * room.cpus / room.machine.type.cpus if room.machine.type.cpus else 0.0
    if room.machine.type.gpus > 0:
        if job.spec.gpus > 0:
            left = CARD_FIT_WEIGHT * room.gpus / room.machine.type.gpus
        else:
            left += CARDS_PENALTY
    return delay_s + idle + dear + left


class PlacementInput:
    """What placement is decided by: the cluster, and what is kept in order about it."""

    def __init__(
        self,
        cluster: Cluster,
        estimates: RunTimeEstimates,
        goals: ServiceLevelObjectives,
        patience_us: int,
    ) -> None:
        self.cluster = cluster
        self.estimates = estimates
        self.backlog = Backlog(cluster, estimates, goals, patience_us)
        self.capacity_index = CapacityIndex(cluster.machines)
        #: What is kept free for wide work; nothing unless somebody decides it.
        self.reservations = Reservations()

    def refresh(self, at_us: int) -> None:
        """Take up what has changed, and what time has brought."""
        self.backlog.refresh(at_us)
        self.capacity_index.refresh()

    def close(self) -> None:
        """Stop following the cluster."""
        self.backlog.close()
        self.capacity_index.close()


def plan_nothing(scene: PlacementInput, at_us: int, most: int) -> PlacementPlan:
    """Return a plan that starts nothing: up to that many waiting jobs, in order, are left over.

    For what is decided while nothing may be started yet: what unknown machines may hold does
    not count here, as those that are to be replaced are among them.
    """
    scene.refresh(at_us)
    plan, given = PlacementPlan(), dict[str, TeamAllowance]()
    for number, job in enumerate(islice(scene.backlog, most)):
        if job.team not in given:
            given[job.team] = TeamAllowance(scene.cluster, job.team)
        reserve = given[job.team]
        count = min(job.waiting, reserve.within_limit(job))
        if count > 0 and (not job.on_probation or job.stranded):
            reserve.allocate(job, count)
            plan.unplaced.add(BacklogEntry(0, 0, 0, 0, 0, number, job), count)
    return plan


def plan_starts(
    cluster: Cluster,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives,
    at_us: int,
    silence_us: int,
    patience_us: int,
    fetch_weight: float = 1.0,
) -> PlacementPlan:
    """Decide which waiting tasks start where, of a cluster that nobody follows yet."""
    scene = PlacementInput(cluster, estimates, goals, patience_us)
    try:
        return plan_pass(scene, at_us, silence_us, fetch_weight)
    finally:
        scene.close()


def plan_pass(
    scene: PlacementInput,
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
    scene.refresh(at_us)
    plan = PlacementPlan()
    if not scene.backlog.queues:
        return plan
    rooms = PassCapacity(
        scene.capacity_index, at_us, silence_us, scene.reservations, scene.estimates
    )
    run = _PlacementPass(scene, plan, rooms, fetch_weight, may_start)
    if scene.reservations.machines or scene.reservations.limits:
        run.place_reserved(scene, at_us, silence_us, may_start)
    # Two rounds: first what each team is guaranteed, then what it borrows.
    run.place_in_order(guaranteed=True)
    run.place_in_order(guaranteed=False)
    return plan


class _PlacementPass:
    """One pass over the queues."""

    def __init__(
        self,
        scene: PlacementInput,
        plan: PlacementPlan,
        rooms: PassCapacity,
        fetch_weight: float,
        may_start: Callable[[Job], bool] | None,
    ) -> None:
        self._cluster = scene.cluster
        self._queues = scene.backlog.queues
        if may_start is not None:
            kept = {
                kind: [entry for entry in queue if may_start(entry.job)]
                for kind, queue in self._queues.items()
            }
            self._queues = {kind: queue for kind, queue in kept.items() if queue}
        self._plan = plan
        self._rooms = rooms
        self._fetch_weight = fetch_weight
        doubts = scene.cluster.unverified_usage
        self._allowances = {
            team: TeamAllowance(scene.cluster, team, doubts.get(team, NO_UNVERIFIED_USAGE))
            for team in {kind.team for kind in self._queues}
        }
        if any(
            kind.shape.gpus > 0 and self._allowances[kind.team].within_limit(queue[0].job) > 0
            for kind, queue in self._queues.items()
        ):
            plan.gpu_reservation = rooms.gpu_reservation = GpuReservation(
                scene.cluster.machines.values()
            )
        self._planned: dict[str, int] = defaultdict(int)
        self._zones: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))

    def place_reserved(
        self,
        scene: PlacementInput,
        at_us: int,
        silence_us: int,
        may_start: Callable[[Job], bool] | None,
    ) -> None:
        """Give held machines to those that they are held for, before anything else.

        What is kept of their teams' limits is out of the others' reach.
        """
        kept = {team: list(limit) for team, limit in scene.reservations.limits.items()}
        for name, job_id in scene.reservations.machines.items():
            place, machine = scene.backlog.position_of(job_id), self._cluster.machines.get(name)
            if place is None or machine is None or not usable(machine, at_us, silence_us):
                continue
            job = place[1].job
            if not machine.allows(job) or (may_start is not None and not may_start(job)):
                continue
            reserve = self._allowances[job.team]
            allowed = min(
                job.waiting - self._planned[job.id],
                self._allowed_count(job, reserve, guaranteed=False),
            )
            if allowed <= 0:
                continue
            placed = self._place(
                job, allowed, reserve, ReservedCapacity(self._rooms.capacity_of(machine))
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
            for reserve in self._allowances.values():
                reserve.record_position(None)
        heap = [(queue[0], 0, kind) for kind, queue in self._queues.items()]
        heapify(heap)
        while heap:
            entry, number, kind = heap[0]
            job, reserve = entry.job, self._allowances[kind.team]
            most = self._allowed_count(job, reserve, guaranteed=guaranteed)
            if most <= 0:
                # Neither is there any for those behind it: the team only gets more.
                heappop(heap)
                continue
            wants_room = not job.on_probation or job.stranded
            if self._rooms.has_no_capacity_for(job):
                heappop(heap)
                if not guaranteed and wants_room:
                    self._plan.unplaced.add_tail(kind, self._queues[kind], number, reserve)
                continue
            allowed = min(job.waiting - self._planned[job.id], most)
            if allowed > 0:
                placed = self._place(job, allowed, reserve)
                if not guaranteed:
                    if placed:
                        reserve.record_position(entry)
                    if allowed > placed and wants_room:
                        self._plan.unplaced.add(entry, allowed - placed)
            if number + 1 < len(self._queues[kind]):
                heapreplace(heap, (self._queues[kind][number + 1], number + 1, kind))
            else:
                heappop(heap)

    def _allowed_count(self, job: Job, reserve: TeamAllowance, *, guaranteed: bool) -> int:
        """How many tasks of a job its team may be given more."""
        most = reserve.within_limit(job)
        return min(most, reserve.within_guarantee(job)) if guaranteed else most

    def _place(
        self,
        job: Job,
        allowed: int,
        reserve: TeamAllowance,
        rooms: PassCapacity | ReservedCapacity | None = None,
    ) -> int:
        placed = _place(
            self._plan, job, allowed, rooms or self._rooms, self._planned[job.id],
            self._zones[job.id], self._fetch_weight,
        )  # fmt: skip
        if placed:
            self._planned[job.id] += placed
            self._plan.unplaced.record_placed(job, self._planned[job.id])
            reserve.allocate(job, placed)
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
