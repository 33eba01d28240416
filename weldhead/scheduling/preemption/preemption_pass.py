"""One preemption pass: Natjam's victim rules.

While no machine has room for a waiting task, one pass asks for room on behalf of jobs whose
waiting tasks outnumber their reclaim entries. The victim is a task of the job that holds
the most room (Most Resources) within the lowest priority level that still holds room;
of a job that checkpoints the task nearest its end (Shortest Remaining Time), of others the
one that has run least. Services come last within their level.

Beyond the paper: work that a team borrowed, whatever its priority, yields to work inside
another team's guarantee, and nobody's guaranteed work yields to another team's borrowing.
Both are judged in the resource that is claimed (``quota/``); whoever claims GPUs has
victims of its own (``gpu_claims.py``), and no team loses GPUs that it is guaranteed.
"""

from collections.abc import Iterable, Mapping

from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, Machine
from weldhead.cluster_state.reclaim import Reclaim, ReclaimLists
from weldhead.cluster_state.states import StopRequest
from weldhead.quota.amounts import Resource, claimed_resource, required_units
from weldhead.quota.teams import QuotaAccount
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, Urgency
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.preemption.gpu_claims import GpuClaims
from weldhead.scheduling.preemption.victim_rules import (
    PreemptorSettings,
    just_begun,
    over_guarantee,
    victim_key,
)


class _ClaimProgress:
    """How far the claimants of one kind have looked in this pass.

    Within a pass room for a claimant only shrinks (but where victims leave more than was
    asked for), and whoever may not be stopped now may not be stopped later either. So
    nothing is looked at twice: without this, a full fleet was searched anew for each task.
    """

    __slots__ = ("attempt", "job", "machines")

    def __init__(self, rooms: list[str]) -> None:
        #: Machines that may have room, the next one last.
        self.machines = rooms
        #: Position in the order of victims: job, and attempt within it.
        self.job = 0
        self.attempt = 0


class PreemptionPass:
    """One run of the reclaim algorithm."""

    def __init__(
        self,
        cluster: Cluster,
        lists: ReclaimLists,
        estimates: RunTimeEstimates,
        at_us: int,
        settings: PreemptorSettings,
        free: CapacityIndex,
        *,
        kept: GpuReservation | None = None,
        held: Mapping[str, str] | None = None,
    ) -> None:
        #: Machines that are held, and the job that each is held for.
        self.reserved = held or {}
        self.cluster = cluster
        #: Work with cards waits, and some other work gets no room beside cards.
        self._gpu_reservation = kept
        self.estimates = estimates
        self.at_us = at_us
        self._settings = settings
        self._index = free
        self.victims: set[int] = set()
        #: Capacity that is free or being freed on a machine, less what is promised already; as
        #: far as it has been looked at. None: the machine takes no new work.
        self._capacity: dict[str, list[float] | None] = {}
        #: How that differs from what is free, where it does.
        self._capacity_delta: dict[str, list[float]] = {}
        self.quota_account = QuotaAccount(cluster.teams, cluster.usage)
        self._preemption_history = lists.preemption_history
        for attempt in cluster.stopping.values():
            self._move(attempt.machine, attempt.job, 1)
            self.quota_account.record_freed(attempt.job.team, attempt.job.spec)
        for entry in lists.entries():
            job = cluster.jobs.get(entry.job_id)
            if job is None:
                continue
            self._move(entry.machine, job, -1)
            self.quota_account.record_claim(job.team, job.spec)
        self._gpu_claims: GpuClaims | None = None
        self._order: list[Job] | None = None
        self._rank: dict[str, int] = {}
        self._levels_and_teams: set[tuple[int, str]] | None = None
        self._attempts: dict[str, list[Attempt]] = {}
        self._progress: dict[tuple[object, ...], _ClaimProgress] = {}
        #: Capacity beyond what was asked for has appeared: claimants that found none look again.
        self.capacity_reopened = False

    def _move(self, machine: str, job: Job, sign: int) -> None:
        self._add(self._capacity_delta.setdefault(machine, [0.0, 0.0, 0.0]), job, sign)

    def capacity(self, name: str) -> list[float] | None:
        """Return what is free or being freed on a machine; None: nothing may be put there."""
        if name in self._capacity:
            return self._capacity[name]
        machine = self.cluster.machines.get(name)
        found: list[float] | None = None
        if machine is not None and is_schedulable(machine, self.at_us, self._settings.silence_us):
            found = [machine.cpus, machine.gpus, machine.memory_gb]
            for number, amount in enumerate(self._capacity_delta.get(name, ())):
                found[number] += amount
        self._capacity[name] = found
        return found

    @property
    def order(self) -> list[Job]:
        """Jobs that hold room: the lowest level first, in it the one that holds most."""
        if self._order is None:
            self._order = sorted(
                self.cluster.active_jobs.values(),
                key=lambda job: (
                    job.effective_level,
                    job.spec.is_service,
                    # Its cards would lie idle for want of the CPUs.
                    job.spec.gpus > 0,
                    -len(job.active) * job.spec.cpus,
                    -job.first_seen_us,
                    job.serial,
                ),
            )
            self._rank = {job.id: number for number, job in enumerate(self._order)}
        return self._order

    def has_no_victims(self, claimant: Job, guaranteed: bool) -> bool:
        """Whether no job that holds room is one that the claimant may stop tasks of."""
        if self._levels_and_teams is None:
            self._levels_and_teams = {
                (job.effective_level, job.team) for job in self.cluster.active_jobs.values()
            }
        return not any(
            self.may_stop_work(claimant, level, team, guaranteed)
            for level, team in self._levels_and_teams
        )

    @staticmethod
    def _add(room: list[float], job: Job, sign: int) -> None:
        room[0] += sign * job.spec.cpus
        room[1] += sign * job.spec.gpus
        room[2] += sign * job.spec.memory_gb

    @staticmethod
    def _fits(room: list[float], job: Job) -> bool:
        return (
            room[0] + EPSILON >= job.spec.cpus
            and room[1] + EPSILON >= job.spec.gpus
            and room[2] + EPSILON >= job.spec.memory_gb
        )

    def victims_of(self, job: Job) -> list[Attempt]:
        """Return a job's tasks, the first one stops first."""
        attempts = self._attempts.get(job.id)
        if attempts is None:
            attempts = sorted(
                job.active.values(), key=lambda a: victim_key(a, self.estimates, self.at_us)
            )
            self._attempts[job.id] = attempts
        return attempts

    def may_stop_of(self, claimant: Job, job: Job, guaranteed: bool) -> bool:
        """Whether the rules let the claimant stop tasks of this job."""
        return job is not claimant and self.may_stop_work(
            claimant, job.effective_level, job.team, guaranteed
        )

    def within_guarantee(self, claimant: Job) -> bool:
        """Whether one more task of the job is inside its team's guarantee."""
        return self.quota_account.within_guarantee(claimant.team, claimant.spec)

    def borrows(self, team: str, resource: Resource) -> bool:
        """Whether a team uses more of a resource than it is guaranteed."""
        return over_guarantee(self.quota_account, team, resource)

    def may_stop_work(
        self,
        claimant: Job,
        level: int,
        team: str,
        guaranteed: bool,
        resource: Resource = Resource.CPUS,
    ) -> bool:
        """Whether the rules let the claimant stop a team's work of a level."""
        borrowed = self.borrows(team, resource)
        if level < claimant.effective_level:
            return team == claimant.team or borrowed or guaranteed
        return guaranteed and borrowed and team != claimant.team

    def may_stop(self, claimant: Job, victim: Attempt, guaranteed: bool) -> bool:
        """Whether the rules let the claimant stop this task."""
        if (
            victim.stop_request is not StopRequest.NO
            or id(victim) in self.victims
            or victim.job is claimant
        ):
            return False
        if not guaranteed and just_begun(victim, self.at_us):
            return False
        job = victim.job
        # Cards are judged as cards where it is cards that are claimed.
        resource = min(claimed_resource(claimant.spec), claimed_resource(job.spec))
        return self.may_stop_work(
            claimant, job.effective_level, job.team, guaranteed, Resource(resource)
        ) and self._may_lose_gpus(claimant, victim)

    def _may_lose_gpus(
        self, claimant: Job, victim: Attempt, others: Iterable[Attempt] = ()
    ) -> bool:
        """Whether a victim's cards may go: none that its team is guaranteed, none too soon.

        ``others`` are to go with it, and count as far as they are of the same team.
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
        units += sum(required_units(a.job.spec.gpus) for a in others if a.job.team == team)
        return self.quota_account.may_lose_gpus(team, units)

    def key_of(self, attempt: Attempt) -> tuple[int, ...]:
        """Sort the tasks of a job, the first one stops first."""
        return victim_key(attempt, self.estimates, self.at_us)

    def urgency_of(self, claimant: Job, objectives: ServiceLevelObjectives) -> Urgency:
        """Say how urgently a claimant needs room: the patient claim none by themselves."""
        task_us = self.estimates.order_us(claimant)
        return objectives.urgency_of(
            claimant, task_us, self.at_us, self._settings.claim_patience_us
        )

    def _kind(self, claimant: Job) -> tuple[object, ...]:
        """Return what claimants have in common that look for room alike."""
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
            # Its own tasks limit where it may go.
            claimant.id if spec.one_zone or spec.spread else None,
        )

    def _claim(self, claimant: Job, kind: tuple[object, ...]) -> _ClaimProgress:
        """Return what claimants of the same kind share."""
        claim = self._progress.get(kind)
        if claim is None:
            rooms = self._machines_for(claimant)
            claim = self._progress[kind] = _ClaimProgress(rooms)
        return claim

    def _machines_for(self, claimant: Job) -> list[str]:
        """Return the machines where room for the claimant is free or being freed, last first."""
        spec = claimant.spec
        names = {machine.name for machine in self._index.machines_with(spec.cpus, spec.memory_gb)}
        names.update(self._capacity_delta)
        names.update(self._capacity)
        found = []
        for name in names:
            room = self.capacity(name)
            if room is not None and self._fits(room, claimant):
                found.append(self.cluster.machines[name])
        found.sort(key=lambda machine: machine.serial, reverse=True)
        return [machine.name for machine in found]

    def may_be_on(self, claimant: Job, machine: Machine) -> bool:
        """Whether a task of the claimant may be on a machine, by its kind and its zone."""
        if self.reserved.get(machine.name, claimant.id) != claimant.id:
            return False
        if (
            machine.type.gpus > 0
            and self._gpu_reservation is not None
            and self._gpu_reservation.excludes(claimant)
        ):
            return False
        return machine.allows(claimant) and claimant.capacity_in_zone(machine.zone) > 0

    def choose(self, claimant: Job) -> Reclaim | None:
        """Choose victims for one task of the claimant; None if nobody may be stopped."""
        kind = self._kind(claimant)
        claim = self._claim(claimant, kind)
        # A victim larger than its claimant leaves room for others: without this, a
        # job of six small tasks stopped six large ones.
        while claim.machines:
            name = claim.machines[-1]
            room = self.capacity(name)
            if room is not None and self._fits(room, claimant):
                if self.may_be_on(claimant, self.cluster.machines[name]):
                    return self._take(claimant, name, room, [])
            claim.machines.pop()
        guaranteed = self.within_guarantee(claimant)
        if claimant.spec.gpus > 0:
            return self._choose_gpus(claimant, kind, guaranteed)
        if self._order is None and self.has_no_victims(claimant, guaranteed):
            return None
        while claim.job < len(self.order):
            job = self.order[claim.job]
            if self.may_stop_of(claimant, job, guaranteed):
                attempts = self.victims_of(job)
                while claim.attempt < len(attempts):
                    attempt = attempts[claim.attempt]
                    claim.attempt += 1
                    if attempt.stop_request is not StopRequest.NO or id(attempt) in self.victims:
                        continue
                    if not guaranteed and just_begun(attempt, self.at_us):
                        continue
                    if not self._may_lose_gpus(claimant, attempt):
                        continue
                    machine = self.cluster.machines[attempt.machine]
                    room = self.capacity(attempt.machine)
                    if room is None or not self.may_be_on(claimant, machine):
                        continue
                    victims = self._complete(claimant, attempt, machine, room, guaranteed)
                    if victims:
                        return self._take(claimant, attempt.machine, room, victims)
            claim.job += 1
            claim.attempt = 0
        return None

    def preempt_reserved(self, claimant: Job, name: str) -> Reclaim | None:
        """Choose what must go on a machine that is held for the claimant.

        None: not yet, as what may not be stopped leaves too little; or nothing need be.
        """
        machine, room = self.cluster.machines.get(name), self.capacity(name)
        if machine is None or room is None or not self.may_be_on(claimant, machine):
            return None
        if self._fits(room, claimant):
            return None
        guaranteed = self.within_guarantee(claimant)
        if not self.order or self.has_no_victims(claimant, guaranteed):
            return None
        victims = self._add_victims(claimant, [], machine, list(room), guaranteed)
        return self._take(claimant, name, room, victims) if victims else None

    def _choose_gpus(
        self, claimant: Job, kind: tuple[object, ...], guaranteed: bool
    ) -> Reclaim | None:
        """Choose victims for one task that takes cards."""
        if self._gpu_claims is None:
            self._gpu_claims = GpuClaims(self)
        victims = self._gpu_claims.choose(claimant, kind, guaranteed)
        if victims is None:
            return None
        name = victims.machine.name
        room = self.capacity(name)
        assert room is not None
        return self._take(claimant, name, room, victims.attempts)

    def _complete(
        self,
        claimant: Job,
        first: Attempt,
        machine: Machine,
        free: list[float],
        guaranteed: bool,
    ) -> list[Attempt]:
        """Return the victim and what else must go on its machine, or nothing."""
        room = list(free)
        victims = [first]
        self._add(room, first.job, 1)
        if self._fits(room, claimant):
            return victims
        return self._add_victims(claimant, victims, machine, room, guaranteed)

    def _add_victims(
        self,
        claimant: Job,
        victims: list[Attempt],
        machine: Machine,
        room: list[float],
        guaranteed: bool,
    ) -> list[Attempt]:
        """Add tasks of a machine until what they leave is enough; nothing if it never is."""
        others = [
            attempt
            for attempt in machine.attempts.values()
            if attempt not in victims and self.may_stop(claimant, attempt, guaranteed)
        ]
        others.sort(key=lambda a: (self._rank[a.job.id], victim_key(a, self.estimates, self.at_us)))
        for attempt in others:
            if not self._may_lose_gpus(claimant, attempt, victims):
                continue
            victims.append(attempt)
            self._add(room, attempt.job, 1)
            if self._fits(room, claimant):
                return victims
        return []

    def _take(
        self, claimant: Job, machine: str, room: list[float], victims: list[Attempt]
    ) -> Reclaim:
        for victim in victims:
            self.victims.add(id(victim))
            self._add(room, victim.job, 1)
            self.quota_account.record_freed(victim.job.team, victim.job.spec)
        self._add(room, claimant, -1)
        self.quota_account.record_claim(claimant.team, claimant.spec)
        if victims and room[0] > EPSILON:
            for claim in self._progress.values():
                claim.machines.append(machine)
            self.capacity_reopened = True
        return Reclaim(claimant.id, machine, victims, self.at_us)
