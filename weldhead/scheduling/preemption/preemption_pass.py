"""One preemption pass, by Natjam's victim rules.

When a waiting task fits on no machine, a pass requests capacity on behalf of its job, as long as
the job has more unplaced tasks than open reclaim requests. The job that needs the capacity is the
*claimant*. A reclaim request names a machine, and the tasks that are preempted there to make room
for one task of the claimant: the *victims*.

The victim is a task of the job that holds the most resources (Most Resources) within the lowest
priority level that holds any. Of a job that checkpoints, the task nearest its end is preempted
(Shortest Remaining Time); of other jobs, the task that has run least. Services are preempted last
within their level.

Two rules go beyond the paper. Work that a team runs on borrowed capacity yields to work inside
another team's guarantee, whatever the priorities. Work inside a team's guarantee never yields to
another team's borrowing. Both rules consider the resource that the claimant needs (``quota/``).
Victims for GPU tasks are selected separately (``scheduling/preemption/gpu_claims.py``), and no
team loses GPUs that its quota guarantees.
"""

from collections.abc import Iterable, Mapping

from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, Machine, add_tasks
from weldhead.cluster_state.reclaim import Reclaim, ReclaimLists
from weldhead.cluster_state.states import StopRequest
from weldhead.quota.amounts import Resource, claimed_resource, required_units
from weldhead.quota.teams import QuotaAccount
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, Urgency
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.preemption.gpu_claims import GpuVictimSelector
from weldhead.scheduling.preemption.victim_rules import (
    PreemptorSettings,
    is_over_guarantee,
    is_protected_first_task,
    victim_sort_key,
)


class _SearchProgress:
    """How far the search for capacity has come for all claimants of one kind.

    Claimants of one kind have the same team and priority level, and their tasks have the same
    resources and placement constraints.

    Within a pass the capacity for a kind of claimant only shrinks, except where victims free more
    than was claimed, and a task that may not be preempted now may not be preempted later either.
    So each machine and each task is considered once per kind. Without the shared position, the
    search for each unplaced task went through the whole cluster again.
    """

    __slots__ = ("job_position", "machine_names", "task_position")

    def __init__(self, machine_names: list[str]) -> None:
        #: Machines that may have enough capacity; the next one to try is at the end.
        self.machine_names = machine_names
        #: Position in the victim order: the job, and the task within the job.
        self.job_position = 0
        self.task_position = 0


class PreemptionPass:
    """One run of the reclaim algorithm."""

    def __init__(
        self,
        cluster: Cluster,
        lists: ReclaimLists,
        estimates: RunTimeEstimates,
        at_us: int,
        settings: PreemptorSettings,
        capacity_index: CapacityIndex,
        *,
        gpu_reservation: GpuReservation | None = None,
        reserved_machines: Mapping[str, str] | None = None,
    ) -> None:
        #: The job that each reserved machine is reserved for, by machine name.
        self.reserved_machines = reserved_machines or {}
        self.cluster = cluster
        #: Set while GPU tasks wait: excludes some other tasks from machines that have GPUs.
        self._gpu_reservation = gpu_reservation
        self.estimates = estimates
        self.at_us = at_us
        self._settings = settings
        self._capacity_index = capacity_index
        #: Python object ids of the attempts that this pass preempts.
        self.victim_ids: set[int] = set()
        #: Cached capacity of the machines considered so far: free or being freed, less what is
        #: claimed for other tasks. None: the machine takes no new tasks.
        self._capacity: dict[str, list[float] | None] = {}
        #: What stopping tasks and open requests add to a machine's free capacity.
        self._capacity_delta: dict[str, list[float]] = {}
        self.quota_account = QuotaAccount(cluster.teams, cluster.usage)
        self._preemption_history = lists.preemption_history
        for attempt in cluster.stopping.values():
            self._add_capacity_delta(attempt.machine, attempt.job, 1)
            self.quota_account.record_stop(attempt.job.team, attempt.job.spec)
        for entry in lists.entries():
            job = cluster.jobs.get(entry.job_id)
            if job is None:
                continue
            self._add_capacity_delta(entry.machine, job, -1)
            self.quota_account.record_claim(job.team, job.spec)
        self._gpu_victim_selector: GpuVictimSelector | None = None
        self._victim_jobs: list[Job] | None = None
        self._job_ranks: dict[str, int] = {}
        self._levels_and_teams: set[tuple[int, str]] | None = None
        self._victim_tasks: dict[str, list[Attempt]] = {}
        self._progress_by_kind: dict[tuple[object, ...], _SearchProgress] = {}
        #: Set when victims free more than was claimed, so claimants that found no capacity in
        #: this pass may find some now. The caller resets it.
        self.has_freed_surplus = False

    def _add_capacity_delta(self, machine_name: str, job: Job, sign: int) -> None:
        delta = self._capacity_delta.setdefault(machine_name, [0.0, 0.0, 0.0, 0.0])
        add_tasks(delta, job.spec, sign)

    def available_capacity(self, machine_name: str) -> list[float] | None:
        """Return the capacity that is free or being freed; None if no task may be placed."""
        if machine_name in self._capacity:
            return self._capacity[machine_name]
        machine = self.cluster.machines.get(machine_name)
        capacity: list[float] | None = None
        if machine is not None and is_schedulable(machine, self.at_us, self._settings.silence_us):
            capacity = machine.free_amounts()
            for number, amount in enumerate(self._capacity_delta.get(machine_name, ())):
                capacity[number] += amount
        self._capacity[machine_name] = capacity
        return capacity

    @property
    def victim_jobs(self) -> list[Job]:
        """Jobs with active tasks by preemption order: lowest level first, then most CPUs held."""
        if self._victim_jobs is None:
            self._victim_jobs = sorted(
                self.cluster.active_jobs.values(),
                key=lambda job: (
                    job.effective_level,
                    job.spec.is_service,
                    # Preempting a GPU task for its CPUs would leave its GPUs idle.
                    job.spec.gpus > 0,
                    -len(job.active) * job.spec.cpus,
                    -job.first_seen_us,
                    job.serial,
                ),
            )
            self._job_ranks = {job.id: rank for rank, job in enumerate(self._victim_jobs)}
        return self._victim_jobs

    def has_no_victims(self, claimant: Job, within_guarantee: bool) -> bool:
        """Return whether the claimant may preempt tasks of no job at all."""
        if self._levels_and_teams is None:
            self._levels_and_teams = {
                (job.effective_level, job.team) for job in self.cluster.active_jobs.values()
            }
        return not any(
            self.can_preempt_work(claimant, level, team, within_guarantee)
            for level, team in self._levels_and_teams
        )

    @staticmethod
    def _fits(capacity: list[float], job: Job) -> bool:
        """Return whether one task of a job fits into a capacity."""
        return (
            capacity[0] + EPSILON >= job.spec.cpus
            and capacity[1] + EPSILON >= job.spec.gpus
            and capacity[2] + EPSILON >= job.spec.memory_gb
            and capacity[3] >= 1
        )

    def victim_tasks_of(self, job: Job) -> list[Attempt]:
        """Return the active tasks of a job, first victim first."""
        attempts = self._victim_tasks.get(job.id)
        if attempts is None:
            attempts = sorted(
                job.active.values(), key=lambda a: victim_sort_key(a, self.estimates, self.at_us)
            )
            self._victim_tasks[job.id] = attempts
        return attempts

    def can_preempt_job(self, claimant: Job, job: Job, within_guarantee: bool) -> bool:
        """Return whether the rules let the claimant preempt tasks of this job."""
        return job is not claimant and self.can_preempt_work(
            claimant, job.effective_level, job.team, within_guarantee
        )

    def is_within_guarantee(self, claimant: Job) -> bool:
        """Return whether one more task of the claimant stays inside its team's guarantee."""
        return self.quota_account.is_within_guarantee(claimant.team, claimant.spec)

    def is_borrowing(self, team: str, resource: Resource) -> bool:
        """Return whether a team uses more of a resource than its quota guarantees."""
        return is_over_guarantee(self.quota_account, team, resource)

    def can_preempt_work(
        self,
        claimant: Job,
        level: int,
        team: str,
        within_guarantee: bool,
        resource: Resource = Resource.CPUS,
    ) -> bool:
        """Return whether the rules let the claimant preempt work of this team and level."""
        borrowed = self.is_borrowing(team, resource)
        if level < claimant.effective_level:
            return team == claimant.team or borrowed or within_guarantee
        return within_guarantee and borrowed and team != claimant.team

    def can_preempt(self, claimant: Job, victim: Attempt, within_guarantee: bool) -> bool:
        """Return whether the rules let the claimant preempt this task."""
        if (
            victim.stop_request is not StopRequest.NO
            or id(victim) in self.victim_ids
            or victim.job is claimant
        ):
            return False
        if not within_guarantee and is_protected_first_task(victim, self.at_us):
            return False
        job = victim.job
        # Borrowing is judged in GPUs only if both the claimant and the victim take GPUs.
        resource = min(claimed_resource(claimant.spec), claimed_resource(job.spec))
        return self.can_preempt_work(
            claimant, job.effective_level, job.team, within_guarantee, Resource(resource)
        ) and self._can_lose_gpus(claimant, victim)

    def _can_lose_gpus(
        self, claimant: Job, victim: Attempt, other_victims: Iterable[Attempt] = ()
    ) -> bool:
        """Return whether a victim's GPUs may be taken.

        They may not if the task was preempted too recently, or if the GPUs are inside another
        team's guarantee. ``other_victims`` are preempted together with the victim; the GPUs of
        those in the same team count as lost too.
        """
        spec = victim.job.spec
        if spec.gpus <= 0:
            return True
        if self._preemption_history.is_protected(victim, self.at_us):
            return False
        team = victim.job.team
        if team == claimant.team:
            return True
        units = required_units(spec.gpus)
        units += sum(required_units(a.job.spec.gpus) for a in other_victims if a.job.team == team)
        return self.quota_account.can_lose_gpus(team, units)

    def victim_sort_key(self, attempt: Attempt) -> tuple[int, ...]:
        """Return the sort key that orders the tasks of a job, first victim first."""
        return victim_sort_key(attempt, self.estimates, self.at_us)

    def urgency_of(self, claimant: Job, objectives: ServiceLevelObjectives) -> Urgency:
        """Return how urgently a claimant needs capacity, by the preemptor's patience."""
        task_us = self.estimates.published_task_us(claimant)
        return objectives.urgency_of(
            claimant, task_us, self.at_us, self._settings.claim_patience_us
        )

    def _claimant_kind(self, claimant: Job) -> tuple[object, ...]:
        """Return the attributes that decide which capacity a claimant may get.

        Claimants with equal attributes are of one kind: the search for capacity gives the same
        result for each of them.
        """
        spec = claimant.spec
        return (
            claimant.team,
            claimant.effective_level,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.types,
            spec.zone,
            spec.spot,
            # The zones of the job's own tasks limit where its other tasks may run.
            claimant.id if spec.one_zone or spec.spread else None,
        )

    def _progress_of(self, claimant: Job, kind: tuple[object, ...]) -> _SearchProgress:
        """Return the search progress that all claimants of this kind share."""
        progress = self._progress_by_kind.get(kind)
        if progress is None:
            machine_names = self._machines_with_capacity(claimant)
            progress = self._progress_by_kind[kind] = _SearchProgress(machine_names)
        return progress

    def _machines_with_capacity(self, claimant: Job) -> list[str]:
        """Return the machines with enough capacity for one task, the newest machine first."""
        spec = claimant.spec
        names = {
            machine.name
            for machine in self._capacity_index.machines_with(spec.cpus, spec.memory_gb)
        }
        names.update(self._capacity_delta)
        names.update(self._capacity)
        machines = []
        for name in names:
            capacity = self.available_capacity(name)
            if capacity is not None and self._fits(capacity, claimant):
                machines.append(self.cluster.machines[name])
        machines.sort(key=lambda machine: machine.serial, reverse=True)
        return [machine.name for machine in machines]

    def can_run_on(self, claimant: Job, machine: Machine) -> bool:
        """Return whether reservations, machine type and zone let the claimant run on a machine."""
        if self.reserved_machines.get(machine.name, claimant.id) != claimant.id:
            return False
        if (
            machine.type.gpus > 0
            and self._gpu_reservation is not None
            and self._gpu_reservation.excludes(claimant)
        ):
            return False
        return machine.allows(claimant) and claimant.capacity_in_zone(machine.zone) > 0

    def plan_reclaim(self, claimant: Job) -> Reclaim | None:
        """Return a reclaim request for the capacity that one task of the claimant needs.

        If the task fits on a machine whose capacity is free or being freed already, the request
        reserves that capacity and has no victims. Otherwise the request names the tasks to preempt
        on a machine. The result is None if the task fits nowhere and the tasks that may be
        preempted would not make enough room for it on any machine.
        """
        kind = self._claimant_kind(claimant)
        progress = self._progress_of(claimant, kind)
        # A large victim may free capacity for several tasks, so machines with enough capacity are
        # tried first. Without this check, a job of six small tasks preempted six large ones.
        while progress.machine_names:
            name = progress.machine_names[-1]
            capacity = self.available_capacity(name)
            if capacity is not None and self._fits(capacity, claimant):
                if self.can_run_on(claimant, self.cluster.machines[name]):
                    return self._record_reclaim(claimant, name, capacity, [])
            progress.machine_names.pop()
        within_guarantee = self.is_within_guarantee(claimant)
        if claimant.spec.gpus > 0:
            return self._plan_gpu_reclaim(claimant, kind, within_guarantee)
        if self._victim_jobs is None and self.has_no_victims(claimant, within_guarantee):
            return None
        while progress.job_position < len(self.victim_jobs):
            job = self.victim_jobs[progress.job_position]
            if self.can_preempt_job(claimant, job, within_guarantee):
                attempts = self.victim_tasks_of(job)
                while progress.task_position < len(attempts):
                    attempt = attempts[progress.task_position]
                    progress.task_position += 1
                    if attempt.stop_request is not StopRequest.NO or id(attempt) in self.victim_ids:
                        continue
                    if not within_guarantee and is_protected_first_task(attempt, self.at_us):
                        continue
                    if not self._can_lose_gpus(claimant, attempt):
                        continue
                    machine = self.cluster.machines[attempt.machine]
                    capacity = self.available_capacity(attempt.machine)
                    if capacity is None or not self.can_run_on(claimant, machine):
                        continue
                    victims = self._complete_victims(
                        claimant, attempt, machine, capacity, within_guarantee
                    )
                    if victims:
                        return self._record_reclaim(claimant, attempt.machine, capacity, victims)
            progress.job_position += 1
            progress.task_position = 0
        return None

    def plan_reserved_reclaim(self, claimant: Job, machine_name: str) -> Reclaim | None:
        """Return a reclaim request for one task on a machine that is reserved for the claimant.

        The result is None if the task fits on the machine already, if it may not run there, or if
        the tasks that may be preempted there free too little.
        """
        machine, capacity = (
            self.cluster.machines.get(machine_name),
            self.available_capacity(machine_name),
        )
        if machine is None or capacity is None or not self.can_run_on(claimant, machine):
            return None
        if self._fits(capacity, claimant):
            return None
        within_guarantee = self.is_within_guarantee(claimant)
        if not self.victim_jobs or self.has_no_victims(claimant, within_guarantee):
            return None
        victims = self._add_victims(claimant, [], machine, list(capacity), within_guarantee)
        return self._record_reclaim(claimant, machine_name, capacity, victims) if victims else None

    def _plan_gpu_reclaim(
        self, claimant: Job, kind: tuple[object, ...], within_guarantee: bool
    ) -> Reclaim | None:
        """Return a reclaim request for one GPU task; None if no set of tasks may be preempted."""
        if self._gpu_victim_selector is None:
            self._gpu_victim_selector = GpuVictimSelector(self)
        victim_set = self._gpu_victim_selector.select_victims(claimant, kind, within_guarantee)
        if victim_set is None:
            return None
        name = victim_set.machine.name
        capacity = self.available_capacity(name)
        assert capacity is not None
        return self._record_reclaim(claimant, name, capacity, victim_set.attempts)

    def _complete_victims(
        self,
        claimant: Job,
        first_victim: Attempt,
        machine: Machine,
        available: list[float],
        within_guarantee: bool,
    ) -> list[Attempt]:
        """Return the first victim and the further victims needed on its machine.

        The list is empty if the tasks that may be preempted free too little.
        """
        capacity = list(available)
        victims = [first_victim]
        add_tasks(capacity, first_victim.job.spec, 1)
        if self._fits(capacity, claimant):
            return victims
        return self._add_victims(claimant, victims, machine, capacity, within_guarantee)

    def _add_victims(
        self,
        claimant: Job,
        victims: list[Attempt],
        machine: Machine,
        capacity: list[float],
        within_guarantee: bool,
    ) -> list[Attempt]:
        """Add tasks of a machine to the victims until one task of the claimant fits.

        ``capacity`` includes what the given victims free. The result is empty if the tasks that
        may be preempted free too little.
        """
        candidates = [
            attempt
            for attempt in machine.attempts.values()
            if attempt not in victims and self.can_preempt(claimant, attempt, within_guarantee)
        ]
        candidates.sort(
            key=lambda a: (
                self._job_ranks[a.job.id],
                victim_sort_key(a, self.estimates, self.at_us),
            )
        )
        for attempt in candidates:
            if not self._can_lose_gpus(claimant, attempt, victims):
                continue
            victims.append(attempt)
            add_tasks(capacity, attempt.job.spec, 1)
            if self._fits(capacity, claimant):
                return victims
        return []

    def _record_reclaim(
        self, claimant: Job, machine_name: str, capacity: list[float], victims: list[Attempt]
    ) -> Reclaim:
        """Record the chosen victims in the state of this pass and return the reclaim request."""
        for victim in victims:
            self.victim_ids.add(id(victim))
            add_tasks(capacity, victim.job.spec, 1)
            self.quota_account.record_stop(victim.job.team, victim.job.spec)
        add_tasks(capacity, claimant.spec, -1)
        self.quota_account.record_claim(claimant.team, claimant.spec)
        if victims and capacity[0] > EPSILON:
            for progress in self._progress_by_kind.values():
                progress.machine_names.append(machine_name)
            self.has_freed_surplus = True
        return Reclaim(claimant.id, machine_name, victims, self.at_us)
