"""Victims for a task that takes GPUs.

Natjam's Most Resources, in the resource that is short: within the lowest level that has
something to give, first the job that holds the most GPUs. Then the task: nearest its end
where it checkpoints, else the one that has run least. Before both, among several choices:
machines whose cache holds the claimant's weights. A GPU that waits for weights is as idle as a
free one, and they take longer to fetch than most victims to save; images that take less than a
step of FETCH_STEP_US make no difference.

Victims are chosen as sets on one machine: a task of several GPUs fits nowhere else. A team never
loses GPUs that it is guaranteed, and a task that was preempted of late is protected for a while
(``cluster_state/preemption_history.py``).
"""

from collections.abc import Iterable
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple, Protocol

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, Machine
from weldhead.protocol.wire import JobSpec
from weldhead.quota.amounts import required_units
from weldhead.quota.teams import QuotaAccount

#: Machines on which the claimant's image takes about as long to fetch are equals.
FETCH_STEP_US = 5 * SECOND_US


#: By what sets are compared, the least stops first: the first fields of ``VictimSet``.
Order = tuple[int, bool, int, int, int, int]


class VictimSet(NamedTuple):
    """A set of victims on one machine; compared by the first fields, the least stops first."""

    level: int
    service: bool
    #: How many steps the claimant's image takes to fetch.
    fetch: int
    #: Place of the job that holds the fewest cards of those in the set.
    rank: int
    cost_us: int
    serial: int
    machine: Machine
    attempts: list[Attempt]

    @property
    def order(self) -> Order:
        """By what sets are compared."""
        return self[:6]


def fetch_us(spec: JobSpec, machine: Machine) -> int:
    """How long an image takes to arrive on a machine that fetches nothing else."""
    if spec.image_gb <= 0:
        return 0
    if spec.image in machine.images and spec.image_gb <= machine.type.cache_gb:
        return 0
    return seconds_us(spec.image_gb / (machine.type.fetch_gb_per_s or 1.0))


class PassRules(Protocol):
    """What GPU claims ask of the preemption pass that they belong to."""

    cluster: Cluster
    quota_account: QuotaAccount

    def capacity(self, name: str) -> list[float] | None:
        """Return what is free or being freed on a machine; None: nothing may be put there."""

    def may_be_on(self, claimant: Job, machine: Machine) -> bool:
        """Whether a task of the claimant may be on a machine."""

    def may_stop(self, claimant: Job, victim: Attempt, guaranteed: bool) -> bool:
        """Whether the rules let the claimant stop this task."""

    def key_of(self, attempt: Attempt) -> tuple[int, ...]:
        """Sort the tasks of a job, the first one stops first."""


class GpuClaims:
    """Claims on cards within one pass.

    Each kind of claimant keeps the machines in order of what it would stop there: at first of
    the least that it could be, so that only those are looked at closely whose turn comes. As
    in a pass less and less may be stopped, an order that still holds then is the right one;
    otherwise the machine is put in its place anew.
    """

    def __init__(self, run: PassRules) -> None:
        self._run = run
        holders = sorted(run.cluster.active_jobs.values(), key=gpu_holder_key)
        self._rank = {job.id: number for number, job in enumerate(holders)}
        #: The lowest level and the first place of a job on each machine that has cards.
        self._least: dict[str, tuple[int, int]] = {}
        for machine in run.cluster.machines.values():
            if machine.type.gpus > 0 and machine.attempts:
                jobs = [attempt.job for attempt in machine.attempts.values()]
                least = (
                    min(job.effective_level for job in jobs),
                    min(self._rank[job.id] for job in jobs),
                )
                self._least[machine.name] = least
        self._kinds: dict[tuple[object, ...], list[tuple[Order, Machine]]] = {}

    def choose(self, claimant: Job, kind: tuple[object, ...], guaranteed: bool) -> VictimSet | None:
        """Return whom to stop for one task of the claimant; None: nobody may be stopped."""
        kind = (*kind, claimant.spec.image)
        heap = self._kinds.get(kind)
        if heap is None:
            heap = self._kinds[kind] = []
            for name, (level, rank) in self._least.items():
                machine = self._run.cluster.machines[name]
                step = fetch_us(claimant.spec, machine) // FETCH_STEP_US
                heap.append(((level, False, step, rank, 0, machine.serial), machine))
            heapify(heap)
        while heap:
            order, machine = heap[0]
            now = self._on(claimant, machine, guaranteed)
            if now is None:
                heappop(heap)
            elif now.order <= order:
                # Looked at again when it is asked next: what is left there is another set.
                return now
            else:
                heapreplace(heap, (now.order, machine))
        return None

    def _on(self, claimant: Job, machine: Machine, guaranteed: bool) -> VictimSet | None:
        """Return the least set on a machine that makes room for one task, if there is any."""
        run, spec = self._run, claimant.spec
        if not machine.type.fits(spec) or not run.may_be_on(claimant, machine):
            return None
        room = run.capacity(machine.name)
        if room is None:
            return None
        short = [spec.cpus - room[0], spec.gpus - room[1], spec.memory_gb - room[2]]
        may: list[tuple[tuple[int, ...], Attempt]] = []
        for attempt in machine.attempts.values():
            if run.may_stop(claimant, attempt, guaranteed):
                job = attempt.job
                key = (
                    job.effective_level,
                    job.spec.is_service,
                    self._rank[job.id],
                    *run.key_of(attempt),
                )
                may.append((key, attempt))
        may.sort(key=lambda item: item[0])
        chosen: list[tuple[tuple[int, ...], Attempt]] = []
        lost: dict[str, int] = {}
        # Cards first; only then what is missing besides, of those who hold no cards if it can be.
        for gpus, only_cards in ((True, True), (False, False), (True, False)):
            for key, attempt in may:
                if not _missing(short, only_cards=only_cards):
                    break
                if (attempt.job.spec.gpus > 0) is not gpus:
                    continue
                if any(attempt is other for _, other in chosen):
                    continue
                if gpus and not self._may_lose(claimant, attempt, lost):
                    continue
                chosen.append((key, attempt))
                _add(short, attempt.job, -1)
        if _missing(short) or not chosen:
            return None
        # Whoever turns out not to be needed stays, the most protected first.
        for item in sorted(chosen, key=lambda item: item[0], reverse=True):
            _add(short, item[1].job, 1)
            if _missing(short):
                _add(short, item[1].job, -1)
            else:
                chosen.remove(item)
        if not chosen:
            return None
        cost_us = sum(key[-1] for key, _ in chosen)
        return VictimSet(
            max(key[0] for key, _ in chosen), any(key[1] for key, _ in chosen),
            fetch_us(spec, machine) // FETCH_STEP_US, max(key[2] for key, _ in chosen), cost_us,
            machine.serial, machine, [attempt for _, attempt in chosen],
        )  # fmt: skip

    def _may_lose(self, claimant: Job, attempt: Attempt, lost: dict[str, int]) -> bool:
        """Whether the victim's team keeps what it is guaranteed, with what the set takes of it."""
        team = attempt.job.team
        units = lost.get(team, 0) + required_units(attempt.job.spec.gpus)
        if team != claimant.team and not self._run.quota_account.may_lose_gpus(team, units):
            return False
        lost[team] = units
        return True


def gpu_holder_key(job: Job) -> tuple[float, ...]:
    """Sort the jobs that hold room: in each level first the one that holds the most cards."""
    return (
        job.effective_level,
        job.spec.is_service,
        -len(job.active) * job.spec.gpus,
        -job.first_seen_us,
        job.serial,
    )


def _missing(short: Iterable[float], *, only_cards: bool = False) -> bool:
    cpus, gpus, memory_gb = short
    if only_cards:
        return gpus > EPSILON
    return cpus > EPSILON or gpus > EPSILON or memory_gb > EPSILON


def _add(short: list[float], job: Job, sign: int) -> None:
    short[0] += sign * job.spec.cpus
    short[1] += sign * job.spec.gpus
    short[2] += sign * job.spec.memory_gb
