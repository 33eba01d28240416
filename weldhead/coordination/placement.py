"""Placement: which waiting task goes where.

The plan is a function of the cluster and the time; nothing is changed here but copies of
the free amounts. Order: work inside its team's guarantee first (it need not wait for
others), then what presses, by priority and least laxity, then what has time to spare, by
laxity alone. Within a job, stopped tasks are restarted before new ones, preferably on their
last machine.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from weldhead.bookkeeping.cluster import Cluster
from weldhead.bookkeeping.jobs import Job
from weldhead.bookkeeping.machines import EPSILON, Machine, how_many
from weldhead.clock import SECOND_US, seconds_us
from weldhead.coordination.estimates import Estimates
from weldhead.coordination.goals import Goals, Press

#: Seconds of image fetching that are worth not starting on an idle machine, and on one that
#: is rented at the ordinary price: those are to fall idle and be returned.
IDLE_PENALTY = 5.0
FIT_WEIGHT = 4.0
DEAR_PENALTY = 8.0
CLOSING_PENALTY = 60.0


@dataclass(frozen=True)
class Start:
    """A decision to start a task on a machine."""

    job: Job
    index: int
    machine: Machine


@dataclass
class Plan:
    """The decisions of one pass, and what is left over."""

    starts: list[Start] = field(default_factory=list)
    #: Jobs whose tasks found no room, with how many of them the limits would allow.
    unplaced: list[tuple[Job, int]] = field(default_factory=list)


class Room:
    """A machine's free amounts while a plan is made."""

    __slots__ = ("_pulls", "cpus", "gpus", "images", "machine", "memory_gb", "used")

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.cpus = machine.cpus
        self.gpus = machine.gpus
        self.memory_gb = machine.memory_gb
        self.used = bool(machine.attempts)
        #: Images that tasks there use or wait for; looked up when first asked for.
        self.images: set[str] | None = None
        self._pulls = 0

    def fits(self, job: Job) -> int:
        """How many tasks of the job fit."""
        return how_many(job.spec, self.cpus, self.gpus, self.memory_gb)

    def take(self, job: Job, count: int) -> None:
        """Reserve room for tasks of the job."""
        self.cpus -= job.spec.cpus * count
        self.gpus -= job.spec.gpus * count
        self.memory_gb -= job.spec.memory_gb * count
        self.used = True
        self.wanted_images().add(job.spec.image)

    def wanted_images(self) -> set[str]:
        """Return the images that tasks there use or wait for."""
        if self.images is None:
            self.images = {a.job.spec.image for a in self.machine.attempts.values()}
            self._pulls = self.machine.pulls()
        return self.images

    def pulls(self) -> int:
        """How many images are being fetched there."""
        self.wanted_images()
        return self._pulls


class Shape(NamedTuple):
    """What decides where a task fits, whoever's it is."""

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool

    @classmethod
    def of(cls, job: Job) -> "Shape":
        """Return the shape of a job's tasks."""
        spec = job.spec
        return cls(spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


class Rooms:
    """The machines that may take work in this pass.

    Only those that have room for the smallest waiting task are looked at, and a shape that
    found no room is not looked for again: in a pass room only shrinks.
    """

    def __init__(self, cluster: Cluster, waiting: list[Job], at_us: int, silence_us: int) -> None:
        self._least_cpus = min(job.spec.cpus for job in waiting) - EPSILON
        self._least_memory_gb = min(job.spec.memory_gb for job in waiting) - EPSILON
        self.open = [
            Room(machine)
            for machine in cluster.machines.values()
            if machine.cpus >= self._least_cpus
            and machine.memory_gb >= self._least_memory_gb
            and usable(machine, at_us, silence_us)
        ]
        self._hopeless: set[Shape] = set()

    def for_job(self, job: Job) -> list[Room]:
        """Return the machines with room for the job's tasks."""
        shape = Shape.of(job)
        if not self.open or shape in self._hopeless:
            return []
        fitting = [r for r in self.open if r.fits(job) > 0 and r.machine.allows(job)]
        if not fitting:
            self._hopeless.add(shape)
        return fitting

    def close_full(self) -> None:
        """Forget machines that have no room for any waiting task."""
        self.open = [
            room
            for room in self.open
            if room.cpus >= self._least_cpus and room.memory_gb >= self._least_memory_gb
        ]


def usable(machine: Machine, at_us: int, silence_us: int) -> bool:
    """Whether new work may be placed on a machine."""
    return (
        machine.synced
        and not machine.draining
        and not machine.deleting
        and not machine.ghosts
        and not machine.notice_until_us
        and at_us - machine.heard_us < silence_us
    )


def order_key(
    job: Job, estimates: Estimates, goals: Goals, at_us: int, patience_us: int
) -> tuple[int, ...]:
    """Sort waiting jobs: by need, then priority; those with time to spare by laxity alone."""
    task_us = estimates.task_us(job)
    press = goals.press(job, task_us, at_us, patience_us)
    return (
        press,
        -job.level if press is not Press.PATIENT else 0,
        1 if job.spec.is_service else 0,
        goals.laxity_us(job, task_us, at_us),
        job.first_seen_us,
    )


def guaranteed_tasks(cluster: Cluster, job: Job, cpus: float, gpus: float) -> int:
    """How many more tasks fit inside the team's guarantee, given its use."""
    team = cluster.teams[job.team]
    return min(job.waiting, how_many(job.spec, team.cpus - cpus, team.gpus - gpus))


def fetch_delay_us(job: Job, room: Room) -> int:
    """Estimate how long the image takes to arrive on a machine."""
    spec = job.spec
    machine = room.machine
    if spec.image in machine.images or spec.image_gb <= 0:
        return 0
    rate = machine.type.fetch_gb_per_s or 1.0
    alone_us = seconds_us(spec.image_gb / rate)
    if spec.image in room.wanted_images():
        return alone_us // 2
    return alone_us * (1 + room.pulls())


def score(job: Job, room: Room, fetch_weight: float) -> float:
    """Rank machines for a job, lower first: image at hand, price, tightest fit."""
    delay_s = fetch_delay_us(job, room) / SECOND_US * fetch_weight
    # A started machine's money is spent anyway: fill used ones so that others fall idle.
    idle = 0.0 if room.used else IDLE_PENALTY
    dear = 0.0 if room.machine.spot else DEAR_PENALTY
    if room.machine.closing:
        dear += CLOSING_PENALTY
    left = FIT_WEIGHT * room.cpus / room.machine.type.cpus if room.machine.type.cpus else 0.0
    return delay_s + idle + dear + left


def plan_starts(
    cluster: Cluster,
    estimates: Estimates,
    goals: Goals,
    at_us: int,
    silence_us: int,
    patience_us: int,
    fetch_weight: float = 1.0,
) -> Plan:
    """Decide which waiting tasks start where."""
    plan = Plan()
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
    rooms = Rooms(cluster, waiting, at_us, silence_us)
    waiting.sort(key=lambda job: order_key(job, estimates, goals, at_us, patience_us))
    # Two rounds: first what each team is guaranteed, then what it borrows.
    for guaranteed in (True, False):
        for job in waiting:
            held = reserved[job.team]
            usage = cluster.usage[job.team]
            allowed = min(
                job.waiting - planned[job.id], cluster.within_limit(job, held[0], held[1])
            )
            if guaranteed:
                most = guaranteed_tasks(cluster, job, usage.cpus + held[0], usage.gpus + held[1])
                allowed = min(allowed, most)
            if allowed <= 0:
                continue
            placed = _place(
                plan, job, allowed, rooms, planned[job.id], planned_zones[job.id], fetch_weight
            )
            planned[job.id] += placed
            held[0] += job.spec.cpus * placed
            held[1] += job.spec.gpus * placed
            if not guaranteed and allowed > placed:
                plan.unplaced.append((job, allowed - placed))
    return plan


def _place(
    plan: Plan,
    job: Job,
    most: int,
    rooms: Rooms,
    skip: int,
    zones: dict[str, int],
    fetch_weight: float,
) -> int:
    """Place up to ``most`` tasks of a job; return how many were placed."""
    fitting = rooms.for_job(job)
    if job.failed_on:
        # A task that failed somewhere is first tried elsewhere.
        fitting = [r for r in fitting if r.machine.name not in job.failed_on] or fitting
    if not fitting:
        return 0
    # No more tasks are looked up than there is room for.
    most = min(most, sum(r.fits(job) for r in fitting))
    indexes = job.waiting_indexes(most + skip)[skip:]
    count = 0
    by_name = {r.machine.name: r for r in fitting}

    def room_for(room: Room) -> int:
        zone = room.machine.zone
        if job.spec.one_zone and any(n for z, n in zones.items() if z != zone):
            return 0
        return min(room.fits(job), job.room_in_zone(zone) - zones.get(zone, 0))

    rest: list[int] = []
    for index in indexes:
        last = by_name.get(job.last_machine.get(index, ""))
        if last is not None and room_for(last) > 0:
            last.take(job, 1)
            zones[last.machine.zone] = zones.get(last.machine.zone, 0) + 1
            plan.starts.append(Start(job, index, last.machine))
            count += 1
        else:
            rest.append(index)
    if not rest:
        rooms.close_full()
        return count
    fitting.sort(key=lambda room: score(job, room, fetch_weight))
    if job.spec.one_zone and not any(zones.values()):
        # Everything has to be in one zone: take the zone that holds most.
        best: dict[str, int] = defaultdict(int)
        for room in fitting:
            best[room.machine.zone] += room.fits(job)
        choice = max(best, key=lambda zone: best[zone])
        fitting.sort(key=lambda room: room.machine.zone != choice)
    for room in fitting:
        if not rest:
            break
        number = min(len(rest), room_for(room))
        if number <= 0:
            continue
        room.take(job, number)
        zone = room.machine.zone
        zones[zone] = zones.get(zone, 0) + number
        plan.starts += [Start(job, index, room.machine) for index in rest[:number]]
        rest = rest[number:]
        count += number
    if count:
        rooms.close_full()
    return count
