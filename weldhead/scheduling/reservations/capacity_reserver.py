"""Reserves machines for wide tasks, which need a large part of one machine.

When machines are full, small tasks take up each fragment that becomes free, and a task that needs
most of a machine never starts. Once such a job has waited for a configured time, machines are
reserved for it: no other job's tasks are placed there unless they end in time, the tasks that run
there end or are preempted by the usual rules, and the job starts as soon as the capacity suffices.

Each update chooses the reservations anew, and no reservation is stored. The choice depends only
on state that every leader has and on this leader's previous choice. A new leader usually makes
the same choice, because a reserved machine is emptier than others and so has capacity soonest.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from heapq import heapify, heappop

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import EPSILON, Machine, empty_amounts, tasks_that_fit
from weldhead.protocol.wire import MachineType
from weldhead.quota.amounts import required_units
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.backlog import Backlog
from weldhead.scheduling.placement.backlog_entry import TaskShape, exclusive_id
from weldhead.scheduling.reservations.availability import estimate_available_us
from weldhead.scheduling.reservations.reservations import Reservations, ReservationSettings
from weldhead.scheduling.reservations.unstarted_jobs import UnstartedJobs
from weldhead.scheduling.reservations.wide_tasks import is_wide

#: Minimum time between two choices of the reserved machines.
UPDATE_INTERVAL_US = 500_000


#: Maximum number of availability estimates that one update computes; machines without an estimate
#: are not chosen until a later update. Without this limit, the first update took 0.4 s on a fleet
#: of thousands of machines.
MAX_AVAILABILITY_ESTIMATES = 300


#: Maximum number of kinds of tasks for which one update ranks the machines; other kinds have to
#: wait for a later update.
MAX_RANKED_TASK_KINDS = 6


#: A reserved machine is replaced only by one that is available earlier by more than this, because
#: estimates fluctuate.
RESERVED_MACHINE_ADVANTAGE_US = 15 * SECOND_US


#: Waiting time that one level of priority is worth in the order of the jobs.
WAIT_PER_LEVEL_US = 30 * SECOND_US


#: Safety factor on the estimated time until a machine is vacated.
VACATING_TIME_FACTOR = 1.5


#: Maximum number of unstarted jobs that have a machine reserved for their first task at one time.
MAX_UNSTARTED_JOBS = 4


#: Maximum number of waiting wide jobs that one update considers.
MAX_WIDE_JOBS = 500


class CapacityReserver:
    """Chooses the reserved machines, and maintains an index of the cluster's machines."""

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
        self._unstarted = UnstartedJobs(cluster, settings.start_target_us)
        self._feed = cluster.machines.feeds.subscribe()
        self._types: dict[str, MachineType] = {}
        self._machines_by_type: dict[str, dict[str, Machine]] = {}
        self._indexed: dict[str, Machine] = {}
        self._total_cpus = 0.0
        self._wide_by_shape: dict[TaskShape, bool] = {}
        #: Estimated availability by machine, then by task shape and priority level; valid until
        #: the machine changes.
        self._available_us: dict[str, dict[tuple[TaskShape, int], int | None]] = {}
        self._last_update_us: int | None = None
        self._estimate_count = 0
        self.reservations = Reservations()
        for machine in cluster.machines.values():
            self._index_machine(machine)

    def close(self) -> None:
        """Unsubscribe from changes, and release all reservations."""
        self._feed.close()
        self._unstarted.close()
        self._replace(Reservations())

    def _index_machine(self, machine: Machine) -> None:
        name = machine.name
        self._available_us.pop(name, None)
        exists = self._cluster.machines.get(name) is machine
        if exists and self._indexed.get(name) is machine:
            return
        previous = self._indexed.pop(name, None)
        if previous is not None:
            self._total_cpus -= previous.type.cpus
            machines_of_type = self._machines_by_type[previous.type.name]
            del machines_of_type[name]
            if not machines_of_type:
                del self._machines_by_type[previous.type.name]
                del self._types[previous.type.name]
                self._wide_by_shape.clear()
        if exists:
            self._indexed[name] = machine
            self._total_cpus += machine.type.cpus
            if machine.type.name not in self._types:
                self._types[machine.type.name] = machine.type
                self._wide_by_shape.clear()
            self._machines_by_type.setdefault(machine.type.name, {})[name] = machine

    def is_wide(self, job: Job) -> bool:
        """Whether a task needs a large part of each of the fleet's machine types it fits on."""
        shape = TaskShape.of(job)
        wide = self._wide_by_shape.get(shape)
        if wide is None:
            types = self._types.values()
            wide = self._wide_by_shape[shape] = is_wide(
                job.spec, types, self._settings.wide_task_fraction
            )
        return wide

    def update(
        self,
        at_us: int,
        is_schedulable: Callable[[Machine], bool],
        claims: Iterable[tuple[str, str]] = (),
    ) -> Reservations:
        """Choose the reservations again if ``UPDATE_INTERVAL_US`` has passed, and return them.

        ``claims`` are pairs of a machine and the ID of the job for which preemption frees it. A
        machine whose reservation ends is reported as changed, because others may now use it.
        """
        if self._last_update_us is not None and at_us - self._last_update_us < UPDATE_INTERVAL_US:
            return self.reservations
        self._last_update_us, self._estimate_count = at_us, 0
        for machine in self._feed.take():
            self._index_machine(machine)
        self._replace(self._choose(at_us, is_schedulable, claims))
        return self.reservations

    def _replace(self, reservations: Reservations) -> None:
        """Replace the reservations, and report machines that are no longer reserved as changed."""
        for name in self.reservations.machines.keys() - reservations.machines.keys():
            machine = self._cluster.machines.get(name)
            if machine is not None:
                # Placement then searches again for task shapes that found no capacity so far.
                machine.notify_changed()
        self.reservations = reservations

    # -- selection of jobs and machines -----------------------------------------------------

    def _find_waiting_wide_jobs(self, at_us: int) -> list[Job]:
        """Return the wide jobs that have waited long enough, in the order of reservation."""
        wide_jobs: list[Job] = []
        for kind, queue in self._backlog.queues.items():
            if not self._wide_by_shape.get(kind.shape, True) or not self.is_wide(queue[0].job):
                continue
            for entry in queue[:MAX_WIDE_JOBS]:
                job = entry.job
                if (
                    at_us - job.runnable_since_us >= self._settings.min_wait_us
                    and not job.on_probation
                ):
                    wide_jobs.append(job)
        wide_jobs.sort(
            key=lambda job: (
                job.runnable_since_us - job.effective_level * WAIT_PER_LEVEL_US,
                job.serial,
            )
        )
        return wide_jobs[:MAX_WIDE_JOBS]

    def _choose(
        self,
        at_us: int,
        is_schedulable: Callable[[Machine], bool],
        claims: Iterable[tuple[str, str]],
    ) -> Reservations:
        reservations = Reservations()
        wide_jobs = self._find_waiting_wide_jobs(at_us)
        claimed: dict[str, str] = {}
        for name, job_id in claims:
            job = self._cluster.jobs.get(job_id)
            if job is not None and job.waiting > 0 and self.is_wide(job):
                claimed.setdefault(name, job_id)
        unstarted_jobs = [
            job
            for job in self._unstarted.largest(at_us, MAX_UNSTARTED_JOBS)
            if self._backlog.position_of(job.id) is not None
            and not job.on_probation
            and not self.is_wide(job)
        ]
        if not wide_jobs and not claimed and not unstarted_jobs:
            return reservations
        reservation_pass = _ReservationPass(self, reservations, at_us, is_schedulable, claimed)
        for job in wide_jobs:
            reservation_pass.reserve_for(job, job.waiting)
        for job in unstarted_jobs:
            reservation_pass.reserve_for(job, 1)
        return reservations

    def available_us(self, machine: Machine, job: Job, at_us: int) -> int | None:
        """Estimate when a machine has capacity for one task of a job.

        The result is None if running tasks don't end by themselves, or if this update has used up
        its number of estimates.
        """
        if machine.is_booting:
            return max(at_us, machine.rented_us + seconds_us(machine.type.boot_s))
        cached_estimates = self._available_us.setdefault(machine.name, {})
        key = TaskShape.of(job), job.effective_level
        if key not in cached_estimates:
            if self._estimate_count >= MAX_AVAILABILITY_ESTIMATES:
                return None
            self._estimate_count += 1
            cached_estimates[key] = estimate_available_us(machine, job, self._estimates, at_us)
        available_us = cached_estimates[key]
        return None if available_us is None else max(at_us, available_us)


class _ReservationPass:
    """The state of one choice of all reservations."""

    def __init__(
        self,
        reserver: CapacityReserver,
        reservations: Reservations,
        at_us: int,
        is_schedulable: Callable[[Machine], bool],
        claimed: dict[str, str],
    ) -> None:
        self._reserver = reserver
        self._reservations = reservations
        self._at_us = at_us
        self._is_schedulable = is_schedulable
        self._previous = reserver.reservations.machines
        self._previous_by_job: dict[str, list[str]] = defaultdict(list)
        for name, job_id in self._previous.items():
            self._previous_by_job[job_id].append(name)
        #: By kind of task: a heap of the machines not yet considered, by availability.
        self._ranked: dict[tuple[TaskShape, int, str], list[tuple[int, int, Machine]]] = {}
        self._remaining_vacated_cpus = (
            reserver._settings.max_vacated_fraction * reserver._total_cpus
        )
        #: By team: CPUs and GPUs of the tasks that machines were reserved for in this pass.
        self._reserved_by_team: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self._vacated_machines = 0
        # A machine that preemption frees for a wide job is reserved for it, even beyond the
        # vacated fraction: otherwise small tasks would take each freed fragment while the rest of
        # the machine is still being freed.
        for name, job_id in claimed.items():
            reservations.machines[name] = job_id
            self._count_vacated(reserver._cluster.machines.get(name))

    def _count_vacated(self, machine: Machine | None) -> None:
        if machine is not None:
            self._remaining_vacated_cpus -= machine.type.cpus
            self._vacated_machines += 1

    def reserve_for(self, job: Job, max_tasks: int) -> None:
        """Reserve machines for up to ``max_tasks`` tasks of a job.

        The team's limit and the fraction of the fleet that may be vacated bound the number.
        """
        cluster, spec = self._reserver._cluster, job.spec
        max_tasks = min(max_tasks, job.waiting)
        if max_tasks <= 0 or job.finishing:
            # The job has changed since its position in the backlog was computed.
            return
        reserved = self._reserved_by_team[job.team]
        unreserved_tasks = min(
            max_tasks,
            cluster.tasks_within_limit(
                job, (required_units(reserved[0]), required_units(reserved[1]))
            ),
        )
        if unreserved_tasks <= 0:
            self._reserve_quota(job)
            return
        tasks_by_zone: dict[str, int] = defaultdict(int)
        for name, reserving_job_id in self._reservations.machines.items():
            if reserving_job_id == job.id and (machine := cluster.machines.get(name)) is not None:
                fitting = self._tasks_per_machine(machine, job)
                unreserved_tasks -= fitting
                tasks_by_zone[machine.zone] += fitting
        while unreserved_tasks > 0:
            machine = self._find_previous_machine(job, tasks_by_zone) or self._find_soonest_machine(
                job, tasks_by_zone
            )
            if machine is None:
                return
            self._reservations.machines[machine.name] = job.id
            self._set_fill_deadline(machine, job)
            if self._must_be_vacated(machine, job):
                self._count_vacated(machine)
            count = min(unreserved_tasks, self._tasks_per_machine(machine, job))
            unreserved_tasks -= count
            tasks_by_zone[machine.zone] += count
            reserved[0] += spec.cpus * count
            reserved[1] += spec.gpus * count
            cpus, gpus = self._reservations.quota_by_team.get(job.team, (0.0, 0.0))
            self._reservations.quota_by_team[job.team] = (
                cpus + spec.cpus * count,
                gpus + spec.gpus * count,
            )

    def _set_fill_deadline(self, machine: Machine, job: Job) -> None:
        """Set the time by which other jobs' tasks have to end on a reserved machine."""
        deadline_us = self._reserver.available_us(machine, job, self._at_us) or self._at_us
        previous = self._reserver.reservations.fill_deadlines.get(machine.name)
        if previous is not None and self._previous[machine.name] == job.id:
            if previous[1] == job.waiting:
                # A task that overruns its estimate must not admit further tasks.
                deadline_us = min(deadline_us, previous[0])
        self._reservations.fill_deadlines[machine.name] = deadline_us, job.waiting

    def _reserve_quota(self, job: Job) -> None:
        """Reserve quota for one task of a job whose team is at its limit.

        Otherwise the team's small tasks would use the quota as soon as it becomes free. Machines
        are reserved once the quota is free. Nothing is reserved if the task doesn't fit into the
        team's limit beside its services, which don't end.
        """
        if job.team in self._reservations.quota_by_team or job.active:
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
            self._reservations.quota_by_team[job.team] = spec.cpus, spec.gpus

    def _tasks_per_machine(self, machine: Machine, job: Job) -> int:
        """How many tasks of a job fit on the empty machine, at least one."""
        return max(
            1,
            tasks_that_fit(job.spec, *empty_amounts(machine.type)),
        )

    def _must_be_vacated(self, machine: Machine, job: Job) -> bool:
        """Whether a reservation keeps capacity idle that other jobs would use.

        This is not so for a machine that boots, that has capacity for the job already, or that
        mostly runs wide tasks, which the job's task directly succeeds.
        """
        if machine.is_booting or machine.capacity_for(job):
            return False
        wide_cpus = sum(
            a.job.spec.cpus for a in machine.attempts.values() if self._reserver.is_wide(a.job)
        )
        return wide_cpus < machine.type.cpus / 2

    def _find_previous_machine(self, job: Job, tasks_by_zone: dict[str, int]) -> Machine | None:
        """Return a machine that the previous update reserved for the job."""
        for name in self._previous_by_job.get(job.id, ()):
            machine = self._reserver._cluster.machines.get(name)
            if machine is not None and name not in self._reservations.machines:
                if self._can_reserve(machine, job, tasks_by_zone):
                    return machine
        return None

    def _find_soonest_machine(self, job: Job, tasks_by_zone: dict[str, int]) -> Machine | None:
        """Return the machine that has capacity for a task of the job soonest."""
        key = TaskShape.of(job), job.effective_level, exclusive_id(job)
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MAX_RANKED_TASK_KINDS:
                return None
            ranked = self._ranked[key] = self._rank_machines(job)
        # Jobs of one kind come in the order of their age, and the remaining machines and CPUs
        # only shrink: a machine that one job can't reserve, no later job of its kind can either.
        while ranked:
            available_us, _, machine = heappop(ranked)
            if machine.name in self._reservations.machines or not self._can_reserve(
                machine, job, tasks_by_zone
            ):
                continue
            if self._is_due(machine, job, available_us):
                return machine
        return None

    def _rank_machines(self, job: Job) -> list[tuple[int, int, Machine]]:
        """Return a heap of machines by the time at which they have capacity for one task."""
        ranked: list[tuple[int, int, Machine]] = []
        for type_name, machine_type in self._reserver._types.items():
            if not machine_type.fits(job.spec):
                continue
            for machine in self._reserver._machines_by_type[type_name].values():
                if machine.name in self._reservations.machines or not machine.allows(job):
                    continue
                available_us = self._reserver.available_us(machine, job, self._at_us)
                if available_us is not None:
                    advantage_us = (
                        RESERVED_MACHINE_ADVANTAGE_US if machine.name in self._previous else 0
                    )
                    ranked.append((available_us - advantage_us, machine.serial, machine))
        heapify(ranked)
        return ranked

    def _is_due(self, machine: Machine, job: Job, available_us: int) -> bool:
        """Whether the time has come to reserve a machine for a job.

        Vacating a machine costs the tasks that could run there in the meantime, so it starts only
        in time for the job's start target. A machine that is reserved already stays so, as its
        capacity would be filled again otherwise.
        """
        if machine.name in self._previous or not self._must_be_vacated(machine, job):
            return True
        target_us = job.runnable_since_us + self._reserver._settings.start_target_us
        return self._at_us + VACATING_TIME_FACTOR * (available_us - self._at_us) >= target_us

    def _can_reserve(self, machine: Machine, job: Job, tasks_by_zone: dict[str, int]) -> bool:
        """Whether the constraints of the machine, the job and the fleet allow a reservation."""
        if machine.draining or machine.deleting or not machine.allows(job):
            return False
        if machine.name in job.failed_machines or not (
            machine.is_booting or self._is_schedulable(machine)
        ):
            return False
        zone = machine.zone
        if job.spec.one_zone and any(n for z, n in tasks_by_zone.items() if z != zone):
            return False
        if job.capacity_in_zone(zone) - tasks_by_zone.get(zone, 0) <= 0:
            return False
        # One machine may always be vacated, even if the fraction of a small fleet is smaller.
        within_fraction = (
            self._remaining_vacated_cpus + EPSILON >= machine.type.cpus
            or not self._vacated_machines
        )
        return within_fraction or not self._must_be_vacated(machine, job)
