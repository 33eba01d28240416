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
    patience_us: int
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
        self.machines = {
            m.name: m for m in cluster.machines.values() if usable(m, at_us, settings.silence_us)
        }
        self.taken: set[int] = set()
        #: Room that is free or being freed on each machine, less what is promised already.
        self.free: dict[str, list[float]] = {}
        for machine in self.machines.values():
            room = [machine.cpus, machine.gpus, machine.memory_gb]
            for attempt in machine.attempts.values():
                if attempt.stop is not Stop.NO:
                    self._add(room, attempt.job, 1)
            self.free[machine.name] = room
        self.freed: dict[str, float] = defaultdict(float)
        self.claimed: dict[str, float] = defaultdict(float)
        for entry in lists.entries():
            job = cluster.jobs.get(entry.job_id)
            if job is None:
                continue
            if entry.machine in self.free:
                self._add(self.free[entry.machine], job, -1)
            self.claimed[job.team] += job.spec.cpus
        for machine in cluster.machines.values():
            for attempt in machine.attempts.values():
                if attempt.stop is not Stop.NO:
                    self.freed[attempt.job.team] += attempt.job.spec.cpus

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

    def may_stop(self, claimant: Job, victim: Attempt, guaranteed: bool) -> bool:
        """Whether the rules let the claimant stop this task."""
        job = victim.job
        if victim.stop is not Stop.NO or id(victim) in self.taken or job is claimant:
            return False
        borrowed = over_guarantee(self.cluster, job, self.freed)
        if job.spec.level < claimant.spec.level:
            return job.team == claimant.team or borrowed or guaranteed
        return guaranteed and borrowed and job.team != claimant.team

    def may_claim(self, claimant: Job, goals: Goals, patience_us: int) -> bool:
        """Whether the claimant cannot simply wait: it presses, or it is guaranteed room."""
        task_us = self.estimates.task_us(claimant)
        press = goals.press(claimant, task_us, self.at_us, patience_us)
        return press is not Press.PATIENT or within_guarantee(self.cluster, claimant, self.claimed)

    def choose(self, claimant: Job) -> Reclaim | None:
        """Choose victims for one task of the claimant; None if nobody may be stopped."""
        guaranteed = within_guarantee(self.cluster, claimant, self.claimed)
        allowed = {
            name: m
            for name, m in self.machines.items()
            if m.allows(claimant) and claimant.room_in_zone(m.zone) > 0
        }
        for name in allowed:
            # A victim larger than its claimant leaves room for others: without this, a
            # job of six small tasks stopped six large ones (found on the bench).
            if self._fits(self.free[name], claimant):
                return self._take(claimant, name, [])
        by_job: dict[str, list[Attempt]] = defaultdict(list)
        for machine in allowed.values():
            for attempt in machine.attempts.values():
                if self.may_stop(claimant, attempt, guaranteed):
                    by_job[attempt.job.id].append(attempt)
        order = sorted(
            by_job.values(),
            key=lambda attempts: (
                attempts[0].job.spec.level,
                attempts[0].job.spec.is_service,
                -sum(1 for _ in attempts[0].job.active) * attempts[0].job.spec.cpus,
                -attempts[0].job.first_seen_us,
            ),
        )
        for attempts in order:
            attempts.sort(key=lambda a: victim_key(a, self.estimates, self.at_us))
            for attempt in attempts:
                victims = self._complete(claimant, attempt, allowed[attempt.machine], order)
                if victims:
                    return self._take(claimant, attempt.machine, victims)
        return None

    def _complete(
        self, claimant: Job, first: Attempt, machine: Machine, order: list[list[Attempt]]
    ) -> list[Attempt]:
        """Return the victim and what else must go on its machine, or nothing."""
        room = list(self.free[machine.name])
        victims = [first]
        self._add(room, first.job, 1)
        if self._fits(room, claimant):
            return victims
        for attempts in order:
            for attempt in attempts:
                if attempt.machine != machine.name or attempt is first:
                    continue
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
        if not run.may_claim(job, goals, settings.patience_us):
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
