"""The preemptor: Natjam's victim rules.

While no machine has room for a waiting task, one run asks for room on behalf of jobs whose
waiting tasks outnumber their reclaim entries. The victim is a task of the job that holds
the most room (Most Resources) within the lowest priority level that still holds room;
of a job that checkpoints the task nearest its end (Shortest Remaining Time), of others the
one that has run least. Services come last within their level.

Beyond the paper: work that a team borrowed, whatever its priority, yields to work inside
another team's guarantee, and nobody's guaranteed work yields to another team's borrowing.
"""

from collections import defaultdict
from dataclasses import dataclass

from weldhead.bookkeeping.cluster import Cluster
from weldhead.bookkeeping.jobs import Attempt, Job, Phase, Stop
from weldhead.bookkeeping.machines import EPSILON, Machine
from weldhead.bookkeeping.reclaim import Reclaim, ReclaimLists
from weldhead.clock import seconds_us
from weldhead.coordination.estimates import Estimates
from weldhead.coordination.goals import Goals, Press
from weldhead.coordination.placement import Plan, usable


@dataclass(frozen=True)
class PreemptorSettings:
    """Times of the preemptor."""

    kill_timeout_us: int
    claim_patience_us: int
    expiry_us: int
    silence_us: int


def over_guarantee(cluster: Cluster, job: Job, freed: dict[str, float]) -> bool:
    """Whether the job's team runs more than it is guaranteed."""
    team = cluster.teams.get(job.team)
    if team is None:
        return True
    usage = cluster.usage[job.team]
    return usage.cpus - freed[job.team] > team.cpus + EPSILON or usage.gpus > team.gpus + EPSILON


def within_guarantee(cluster: Cluster, job: Job, claimed: dict[str, float]) -> bool:
    """Whether one more task of the job is inside its team's guarantee."""
    team = cluster.teams.get(job.team)
    if team is None:
        return False
    usage = cluster.usage[job.team]
    return (
        usage.cpus + claimed[job.team] + job.spec.cpus <= team.cpus + EPSILON
        and usage.gpus + job.spec.gpus <= team.gpus + EPSILON
    )


def victim_key(attempt: Attempt, estimates: Estimates, at_us: int) -> tuple[int, ...]:
    """Sort a job's tasks, the first one stops first."""
    if attempt.phase in (Phase.ASSIGNED, Phase.PULLING):
        return (0, 0)
    if attempt.job.spec.checkpoint_s > 0:
        return (1, estimates.remaining_us(attempt, at_us))
    return (1, attempt.elapsed_us(at_us))


class _Claim:
    """How far the claimants of one kind have looked in this pass.

    Within a pass room for a claimant only shrinks (but where victims leave more than was
    asked for), and whoever may not be stopped now may not be stopped later either. So
    nothing is looked at twice: without this, a full fleet was searched anew for each task.
    """

    __slots__ = ("attempt", "job", "rooms")

    def __init__(self, rooms: list[str]) -> None:
        #: Machines that may have room, the next one last.
        self.rooms = rooms
        #: Position in the order of victims: job, and attempt within it.
        self.job = 0
        self.attempt = 0


class _Pass:
    """One run of the reclaim algorithm."""

    def __init__(
        self,
        cluster: Cluster,
        lists: ReclaimLists,
        estimates: Estimates,
        at_us: int,
        settings: PreemptorSettings,
    ) -> None:
        self.cluster = cluster
        self.estimates = estimates
        self.at_us = at_us
        self.machines: dict[str, Machine] = {}
        self.taken: set[int] = set()
        #: Room that is free or being freed on each machine, less what is promised already.
        self.free: dict[str, list[float]] = {}
        self.freed: dict[str, float] = defaultdict(float)
        self.claimed: dict[str, float] = defaultdict(float)
        for machine in cluster.machines.values():
            room = [machine.cpus, machine.gpus, machine.memory_gb]
            for attempt in machine.attempts.values():
                if attempt.stop is not Stop.NO:
                    self._add(room, attempt.job, 1)
                    self.freed[attempt.job.team] += attempt.job.spec.cpus
            if usable(machine, at_us, settings.silence_us):
                self.machines[machine.name] = machine
                self.free[machine.name] = room
        for entry in lists.entries():
            job = cluster.jobs.get(entry.job_id)
            if job is None:
                continue
            if entry.machine in self.free:
                self._add(self.free[entry.machine], job, -1)
            self.claimed[job.team] += job.spec.cpus
        #: Jobs that hold room: the lowest level first, in it the one that holds most.
        self.order = sorted(
            (job for job in cluster.jobs.values() if job.active),
            key=lambda job: (
                job.level,
                job.spec.is_service,
                -len(job.active) * job.spec.cpus,
                -job.first_seen_us,
            ),
        )
        self._rank = {job.id: number for number, job in enumerate(self.order)}
        self._attempts: dict[str, list[Attempt]] = {}
        self._claims: dict[tuple[object, ...], _Claim] = {}

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
        if job is claimant:
            return False
        borrowed = over_guarantee(self.cluster, job, self.freed)
        if job.level < claimant.level:
            return job.team == claimant.team or borrowed or guaranteed
        return guaranteed and borrowed and job.team != claimant.team

    def may_stop(self, claimant: Job, victim: Attempt, guaranteed: bool) -> bool:
        """Whether the rules let the claimant stop this task."""
        return (
            victim.stop is Stop.NO
            and id(victim) not in self.taken
            and self.may_stop_of(claimant, victim.job, guaranteed)
        )

    def may_claim(self, claimant: Job, goals: Goals, patience_us: int) -> bool:
        """Whether the claimant cannot simply wait: it presses, or it is guaranteed room."""
        task_us = self.estimates.task_us(claimant)
        press = goals.press(claimant, task_us, self.at_us, patience_us)
        return press is not Press.PATIENT or within_guarantee(self.cluster, claimant, self.claimed)

    def _claim(self, claimant: Job) -> _Claim:
        """Return what claimants of the same kind share."""
        spec = claimant.spec
        kind = (
            claimant.team, claimant.level, spec.cpus, spec.gpus, spec.memory_gb, spec.types,
            spec.zone, spec.spot,
            # Its own tasks limit where it may go.
            claimant.id if spec.one_zone or spec.spread else None,
        )  # fmt: skip
        claim = self._claims.get(kind)
        if claim is None:
            rooms = [name for name, room in self.free.items() if self._fits(room, claimant)]
            rooms.reverse()
            claim = self._claims[kind] = _Claim(rooms)
        return claim

    def _may_be_on(self, claimant: Job, machine: Machine) -> bool:
        return machine.allows(claimant) and claimant.room_in_zone(machine.zone) > 0

    def choose(self, claimant: Job) -> Reclaim | None:
        """Choose victims for one task of the claimant; None if nobody may be stopped."""
        claim = self._claim(claimant)
        # A victim larger than its claimant leaves room for others: without this, a
        # job of six small tasks stopped six large ones (found on the bench).
        while claim.rooms:
            name = claim.rooms[-1]
            if self._fits(self.free[name], claimant):
                if self._may_be_on(claimant, self.machines[name]):
                    return self._take(claimant, name, [])
            claim.rooms.pop()
        guaranteed = within_guarantee(self.cluster, claimant, self.claimed)
        while claim.job < len(self.order):
            job = self.order[claim.job]
            if self.may_stop_of(claimant, job, guaranteed):
                attempts = self.victims_of(job)
                while claim.attempt < len(attempts):
                    attempt = attempts[claim.attempt]
                    claim.attempt += 1
                    machine = self.machines.get(attempt.machine)
                    if machine is None or attempt.stop is not Stop.NO or id(attempt) in self.taken:
                        continue
                    if not self._may_be_on(claimant, machine):
                        continue
                    victims = self._complete(claimant, attempt, machine, guaranteed)
                    if victims:
                        return self._take(claimant, attempt.machine, victims)
            claim.job += 1
            claim.attempt = 0
        return None

    def _complete(
        self, claimant: Job, first: Attempt, machine: Machine, guaranteed: bool
    ) -> list[Attempt]:
        """Return the victim and what else must go on its machine, or nothing."""
        room = list(self.free[machine.name])
        victims = [first]
        self._add(room, first.job, 1)
        if self._fits(room, claimant):
            return victims
        others = [
            attempt
            for attempt in machine.attempts.values()
            if attempt is not first and self.may_stop(claimant, attempt, guaranteed)
        ]
        others.sort(key=lambda a: (self._rank[a.job.id], victim_key(a, self.estimates, self.at_us)))
        for attempt in others:
            victims.append(attempt)
            self._add(room, attempt.job, 1)
            if self._fits(room, claimant):
                return victims
        return []

    def _take(self, claimant: Job, machine: str, victims: list[Attempt]) -> Reclaim:
        room = self.free[machine]
        for victim in victims:
            self.taken.add(id(victim))
            self._add(room, victim.job, 1)
            self.freed[victim.job.team] += victim.job.spec.cpus
        self._add(room, claimant, -1)
        self.claimed[claimant.team] += claimant.spec.cpus
        if victims and room[0] > EPSILON:
            for claim in self._claims.values():
                claim.rooms.append(machine)
        return Reclaim(claimant.id, machine, victims, self.at_us)


def plan_reclaims(
    cluster: Cluster,
    lists: ReclaimLists,
    plan: Plan,
    estimates: Estimates,
    at_us: int,
    settings: PreemptorSettings,
    goals: Goals,
    most: int = 64,
) -> list[Reclaim]:
    """Return the new requests of one run; ``plan`` says who found no room."""
    if not plan.unplaced:
        return []
    run = _Pass(cluster, lists, estimates, at_us, settings)
    reclaims: list[Reclaim] = []
    for job, unplaced in plan.unplaced:
        if not run.may_claim(job, goals, settings.claim_patience_us):
            continue
        for _ in range(max(0, unplaced - lists.count(job.id))):
            if len(reclaims) >= most:
                return reclaims
            reclaim = run.choose(job)
            if reclaim is None:
                break
            reclaims.append(reclaim)
    return reclaims


def stop_for(claimant: Job, victim: Job, goals: Goals) -> Stop:
    """Whether a victim may save first: not if the claimant's start cannot wait for that."""
    wait_us = goals.wait_us(claimant)
    if victim.spec.checkpoint_s <= 0 or (
        wait_us is not None and seconds_us(victim.spec.save_s) >= wait_us
    ):
        return Stop.HARD
    return Stop.SOFT


def overdue(
    lists: ReclaimLists, at_us: int, settings: PreemptorSettings
) -> tuple[list[Reclaim], list[Reclaim]]:
    """Return entries whose victims are to be killed hard, and entries to be given up."""
    hard = [
        entry
        for entry in lists.entries()
        if not entry.hard_us and at_us - entry.asked_us >= settings.kill_timeout_us
    ]
    expired = [
        entry
        for entry in lists.entries()
        if entry.hard_us and at_us - entry.hard_us >= settings.expiry_us
    ]
    return hard, expired
