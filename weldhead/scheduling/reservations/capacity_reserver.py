"""Machines reserved for tasks that find no capacity between small ones.

Where machines are full, each piece that falls free goes to whoever fits into it, and a task that
takes most of a machine never starts. From a stated age on such a job has machines reserved:
nobody else's work is placed there, what runs there ends or is preempted by the usual rules, and
the job takes the capacity as soon as it is enough.

Reservations are decided anew at each update from what every leader knows, but for the last
choice; a reserved machine is emptier than others and so the soonest again. Nothing is stored.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from heapq import heapify, heappop

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import EPSILON, Machine, tasks_that_fit
from weldhead.protocol.wire import MachineType
from weldhead.quota.amounts import required_units
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.backlog import Backlog
from weldhead.scheduling.placement.backlog_entry import TaskShape
from weldhead.scheduling.reservations.availability import room_us
from weldhead.scheduling.reservations.reservations import Reservations, ReservationSettings
from weldhead.scheduling.reservations.unstarted_jobs import UnstartedJobs
from weldhead.scheduling.reservations.wide_tasks import is_wide

#: How often it is decided anew which machines are held.
LOOK_US = 500_000


#: What runs on a machine is reckoned up for so many machines at most in one look; until its
#: turn a machine is not chosen. On a fleet of thousands the first look took 0.4 s otherwise.
MOST_RECKONED = 300


#: Machines are put in order for so many kinds of tasks at most in one look; the rest come later.
MOST_RANKED = 6


#: A machine that is held already is kept unless another one is sooner by more than this, as
#: estimates waver.
KEEP_US = 15 * SECOND_US


#: A level above another counts as so much more waiting.
LEVEL_US = 30 * SECOND_US


#: What runs on a machine is taken to take so many times as long as it is estimated.
DRAIN_FACTOR = 1.5


#: For so many jobs at once that have not begun a machine is held for their first task.
MOST_FIRST = 4


#: Of very many jobs that might hold machines only so many are looked at.
MOST_JOBS = 500


class CapacityReserver:
    """Chooses the machines that are held; follows the machines."""

    def __init__(
        self,
        cluster: Cluster,
        backlog: Backlog,
        estimates: RunTimeEstimates,
        settings: ReservationSettings,
    ) -> None:
        self._cluster = cluster
        self._backlog = backlog
        self._estimates = estimates
        self._settings = settings
        self._unstarted = UnstartedJobs(cluster, settings.within_us)
        self._feed = cluster.machines.feeds.subscribe()
        self._types: dict[str, MachineType] = {}
        self._by_type: dict[str, dict[str, Machine]] = {}
        self._entered: dict[str, Machine] = {}
        self._cpus = 0.0
        self._wide: dict[TaskShape, bool] = {}
        #: When a machine will have room, while nothing changes there: by machine, shape, level.
        self._available_us: dict[str, dict[tuple[TaskShape, int], int | None]] = {}
        self._looked_us: int | None = None
        self._evaluated = 0
        self.reservations = Reservations()
        for machine in cluster.machines.values():
            self._enter(machine)

    def close(self) -> None:
        """Stop following the machines, and hold none."""
        self._feed.close()
        self._unstarted.close()
        self._replace(Reservations())

    def _enter(self, machine: Machine) -> None:
        name = machine.name
        self._available_us.pop(name, None)
        known = self._cluster.machines.get(name) is machine
        if known and self._entered.get(name) is machine:
            return
        before = self._entered.pop(name, None)
        if before is not None:
            self._cpus -= before.type.cpus
            of_type = self._by_type[before.type.name]
            del of_type[name]
            if not of_type:
                del self._by_type[before.type.name]
                del self._types[before.type.name]
                self._wide.clear()
        if known:
            self._entered[name] = machine
            self._cpus += machine.type.cpus
            if machine.type.name not in self._types:
                self._types[machine.type.name] = machine.type
                self._wide.clear()
            self._by_type.setdefault(machine.type.name, {})[name] = machine

    def is_wide(self, job: Job) -> bool:
        """Whether a task takes a large part of each machine of ours that it may run on."""
        shape = TaskShape.of(job)
        found = self._wide.get(shape)
        if found is None:
            types = self._types.values()
            found = self._wide[shape] = is_wide(job.spec, types, self._settings.least)
        return found

    def update(
        self,
        at_us: int,
        usable: Callable[[Machine], bool],
        claims: Iterable[tuple[str, str]] = (),
    ) -> Reservations:
        """Decide what is held, if it is time to; ``claims`` are machines that are freed for jobs.

        (machine and job of each). What is given up is told of as room that may have appeared.
        """
        if self._looked_us is not None and at_us - self._looked_us < LOOK_US:
            return self.reservations
        self._looked_us, self._evaluated = at_us, 0
        for machine in self._feed.take():
            self._enter(machine)
        self._replace(self._choose(at_us, usable, claims))
        return self.reservations

    def _replace(self, reservations: Reservations) -> None:
        """Hold these instead; what is held no longer is room that may have appeared."""
        for name in self.reservations.machines.keys() - reservations.machines.keys():
            machine = self._cluster.machines.get(name)
            if machine is not None:
                # Shapes that found no room without it are looked for again.
                machine.notify_changed()
        self.reservations = reservations

    # -- who ------------------------------------------------------------------------------

    def _waiting(self, at_us: int) -> list[Job]:
        """Return the wide jobs that have waited for long enough, whose turn is first first."""
        found: list[Job] = []
        for kind, queue in self._backlog.queues.items():
            if not self._wide.get(kind.shape, True) or not self.is_wide(queue[0].job):
                continue
            for entry in queue[:MOST_JOBS]:
                job = entry.job
                if at_us - job.runnable_since_us >= self._settings.age_us and not job.on_probation:
                    found.append(job)
        found.sort(
            key=lambda job: (job.runnable_since_us - job.effective_level * LEVEL_US, job.serial)
        )
        return found[:MOST_JOBS]

    def _choose(
        self,
        at_us: int,
        usable: Callable[[Machine], bool],
        claims: Iterable[tuple[str, str]],
    ) -> Reservations:
        reservations = Reservations()
        waiting = self._waiting(at_us)
        claimed: dict[str, str] = {}
        for name, job_id in claims:
            job = self._cluster.jobs.get(job_id)
            if job is not None and job.waiting > 0 and self.is_wide(job):
                claimed.setdefault(name, job_id)
        first = [
            job
            for job in self._unstarted.largest(at_us, MOST_FIRST)
            if self._backlog.position_of(job.id) is not None
            and not job.on_probation
            and not self.is_wide(job)
        ]
        if not waiting and not claimed and not first:
            return reservations
        choice = _ReservationPass(self, reservations, at_us, usable, claimed)
        for job in waiting:
            choice.reserve_for(job, job.waiting)
        for job in first:
            choice.reserve_for(job, 1)
        return reservations

    def available_us(self, machine: Machine, job: Job, at_us: int) -> int | None:
        """Estimate when a machine has room for a task of the job; None: not by itself."""
        if machine.booting:
            return max(at_us, machine.rented_us + seconds_us(machine.type.boot_s))
        known = self._available_us.setdefault(machine.name, {})
        key = TaskShape.of(job), job.effective_level
        if key not in known:
            if self._evaluated >= MOST_RECKONED:
                return None
            self._evaluated += 1
            known[key] = room_us(machine, job, self._estimates, at_us)
        found = known[key]
        return None if found is None else max(at_us, found)


class _ReservationPass:
    """One choice of all that is held."""

    def __init__(
        self,
        holding: CapacityReserver,
        reservations: Reservations,
        at_us: int,
        usable: Callable[[Machine], bool],
        claimed: dict[str, str],
    ) -> None:
        self._reserver = holding
        self._reservations = reservations
        self._at_us = at_us
        self._usable = usable
        self._before = holding.reservations.machines
        self._earlier: dict[str, list[str]] = defaultdict(list)
        for name, job_id in self._before.items():
            self._earlier[job_id].append(name)
        #: By kind of task: machines by when they have room, as far as they were not looked at.
        self._ranked: dict[tuple[TaskShape, int, str], list[tuple[int, int, Machine]]] = {}
        self._left = holding._settings.share * holding._cpus
        self._given: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self._emptying = 0
        # What the preemptor frees for a wide job is kept for it, whatever the share: else the
        # pieces are given away one by one while the last of them is still being freed.
        for name, job_id in claimed.items():
            reservations.machines[name] = job_id
            self._count(holding._cluster.machines.get(name))

    def _count(self, machine: Machine | None) -> None:
        if machine is not None:
            self._left -= machine.type.cpus
            self._emptying += 1

    def reserve_for(self, job: Job, most: int) -> None:
        """Hold machines for so many tasks of the job, as its limit and the share allow."""
        cluster, spec = self._reserver._cluster, job.spec
        most = min(most, job.waiting)
        if most <= 0 or job.finishing:
            # It has changed since it was put in its place.
            return
        given = self._given[job.team]
        allowed = min(
            most,
            cluster.tasks_within_limit(job, (required_units(given[0]), required_units(given[1]))),
        )
        if allowed <= 0:
            self._reserve_limit(job)
            return
        zones: dict[str, int] = defaultdict(int)
        for name, holder in self._reservations.machines.items():
            if holder == job.id and (machine := cluster.machines.get(name)) is not None:
                fits = self._fitting(machine, job)
                allowed -= fits
                zones[machine.zone] += fits
        while allowed > 0:
            machine = self._still_reserved(job, zones) or self._soonest(job, zones)
            if machine is None:
                return
            self._reservations.machines[machine.name] = job.id
            self._set_until(machine, job)
            if self._is_emptied(machine, job):
                self._count(machine)
            count = min(allowed, self._fitting(machine, job))
            allowed -= count
            zones[machine.zone] += count
            given[0] += spec.cpus * count
            given[1] += spec.gpus * count
            cpus, gpus = self._reservations.limits.get(job.team, (0.0, 0.0))
            self._reservations.limits[job.team] = cpus + spec.cpus * count, gpus + spec.gpus * count

    def _set_until(self, machine: Machine, job: Job) -> None:
        """Say until when others may use the machine."""
        until_us = self._reserver.available_us(machine, job, self._at_us) or self._at_us
        earlier = self._reserver.reservations.until_us.get(machine.name)
        if earlier is not None and self._before[machine.name] == job.id:
            if earlier[1] == job.waiting:
                # What runs over its estimate is no reason to put more there.
                until_us = min(until_us, earlier[0])
        self._reservations.until_us[machine.name] = until_us, job.waiting

    def _reserve_limit(self, job: Job) -> None:
        """Keep the limit of a job's team free for one task: it fills with small work otherwise.

        Machines are held once it is free, and nothing of the kind for what cannot fall free.
        """
        if job.team in self._reservations.limits or job.active:
            return
        cluster, spec = self._reserver._cluster, job.spec
        team = cluster.teams[job.team]
        services = [
            other
            for other in cluster.active_jobs.values()
            if other.team == job.team and other.spec.is_service
        ]
        cpus = team.cpus_max - sum(len(other.active) * other.spec.cpus for other in services)
        gpus = team.gpus_max - sum(len(other.active) * other.spec.gpus for other in services)
        if tasks_that_fit(spec, cpus, gpus):
            self._reservations.limits[job.team] = spec.cpus, spec.gpus

    def _fitting(self, machine: Machine, job: Job) -> int:
        kind = machine.type
        return max(1, tasks_that_fit(job.spec, kind.cpus, kind.gpus, kind.memory_gb))

    def _is_emptied(self, machine: Machine, job: Job) -> bool:
        """Whether holding a machine keeps room free that others would use.

        Not where it is coming up, or is used by wide work already: the next takes its place.
        """
        if machine.booting or machine.capacity_for(job):
            return False
        wide = sum(
            a.job.spec.cpus for a in machine.attempts.values() if self._reserver.is_wide(a.job)
        )
        return wide < machine.type.cpus / 2

    def _still_reserved(self, job: Job, zones: dict[str, int]) -> Machine | None:
        """Return a machine that is held for the job already."""
        for name in self._earlier.get(job.id, ()):
            machine = self._reserver._cluster.machines.get(name)
            if machine is not None and name not in self._reservations.machines:
                if self._may_reserve(machine, job, zones):
                    return machine
        return None

    def _soonest(self, job: Job, zones: dict[str, int]) -> Machine | None:
        """Return the machine that has room for a task of the job soonest."""
        spec = job.spec
        own = job.id if spec.one_zone or spec.spread or job.failed_machines else ""
        key = TaskShape.of(job), job.effective_level, own
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MOST_RANKED:
                return None
            ranked = self._ranked[key] = self._rank(job)
        # Those of one kind come in the order of their age, and what is held and what the share
        # leaves only shrinks: what one of them may not have, none behind it may.
        while ranked:
            soon_us, _, machine = heappop(ranked)
            if machine.name in self._reservations.machines or not self._may_reserve(
                machine, job, zones
            ):
                continue
            if self._is_due(machine, job, soon_us):
                return machine
        return None

    def _rank(self, job: Job) -> list[tuple[int, int, Machine]]:
        """Return a heap of the machines by when they have room for a task of the job."""
        ranked: list[tuple[int, int, Machine]] = []
        for name, kind in self._reserver._types.items():
            if not kind.fits(job.spec):
                continue
            for machine in self._reserver._by_type[name].values():
                if machine.name in self._reservations.machines or not machine.allows(job):
                    continue
                soon_us = self._reserver.available_us(machine, job, self._at_us)
                if soon_us is not None:
                    keep_us = KEEP_US if machine.name in self._before else 0
                    ranked.append((soon_us - keep_us, machine.serial, machine))
        heapify(ranked)
        return ranked

    def _is_due(self, machine: Machine, job: Job, soon_us: int) -> bool:
        """Whether a machine is to be held for the job now, if any is.

        One that has to be emptied costs what could run there until then: not before the job
        needs it. One that is held already is not filled again.
        """
        if machine.name in self._before or not self._is_emptied(machine, job):
            return True
        wanted_us = job.runnable_since_us + self._reserver._settings.within_us
        return self._at_us + DRAIN_FACTOR * (soon_us - self._at_us) >= wanted_us

    def _may_reserve(self, machine: Machine, job: Job, zones: dict[str, int]) -> bool:
        if machine.draining or machine.deleting or not machine.allows(job):
            return False
        if machine.name in job.failed_machines or not (machine.booting or self._usable(machine)):
            return False
        zone = machine.zone
        if job.spec.one_zone and any(n for z, n in zones.items() if z != zone):
            return False
        if job.capacity_in_zone(zone) - zones.get(zone, 0) <= 0:
            return False
        # One machine is always emptied, however small the share of a small fleet is.
        enough = self._left + EPSILON >= machine.type.cpus or not self._emptying
        return enough or not self._is_emptied(machine, job)
