"""Victim selection for tasks that need GPUs.

The selection follows Natjam's Most Resources rule, applied to GPUs. Victims come from the lowest
priority level that has tasks to preempt, and within that level first from the job that holds the
most GPUs. Within a job that checkpoints, the task nearest its end is preempted first; within other
jobs, the task that has run least. Between the priority level and the GPU count, the selection
prefers machines whose cache holds the claimant's image: a GPU that waits for model weights is as
idle as a free GPU, and most victims save their state faster than the weights are fetched.
Differences in fetch time below one step of ``FETCH_STEP_US`` are ignored.

Victims are chosen as sets on one machine, because a task that needs several GPUs needs them on the
same machine. A team never loses GPUs that its quota guarantees, and a recently preempted task is
protected for a while (``cluster_state/preemption_history.py``).
"""

from collections.abc import Iterable
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple, Protocol

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, Machine, add_tasks
from weldhead.protocol.wire import JobSpec
from weldhead.quota.amounts import required_units
from weldhead.quota.teams import QuotaAccount

#: Fetch times of an image are compared in whole steps of this length.
FETCH_STEP_US = 5 * SECOND_US


#: The sort key of a victim set: the fields of ``VictimSet`` before ``machine``.
VictimSetKey = tuple[int, bool, int, int, int, int]


class VictimSet(NamedTuple):
    """A set of victims on one machine; the set with the smallest sort key is preempted first."""

    #: Highest priority level among the victims.
    level: int
    #: Whether any victim belongs to a service.
    has_service: bool
    #: Time to fetch the claimant's image on this machine, in steps of ``FETCH_STEP_US``.
    fetch_steps: int
    #: Highest rank among the victims' jobs; within a level, the job with most GPUs ranks lowest.
    job_rank: int
    #: Sum of the run times by which each job's tasks are ordered: remaining run time of tasks that
    #: checkpoint, elapsed run time of others, 0 for tasks that have not started.
    cost_us: int
    machine_serial: int
    machine: Machine
    attempts: list[Attempt]

    @property
    def sort_key(self) -> VictimSetKey:
        """Return the fields by which victim sets are compared."""
        return self[:6]


def estimate_image_fetch_us(spec: JobSpec, machine: Machine) -> int:
    """Estimate how long a machine that fetches nothing else takes to fetch a job's image."""
    if spec.image_gb <= 0:
        return 0
    if spec.image in machine.images and spec.image_gb <= machine.type.cache_gb:
        return 0
    return seconds_us(spec.image_gb / (machine.type.fetch_gb_per_s or 1.0))


class PreemptionRules(Protocol):
    """The state and rules of a preemption pass that the GPU victim selection uses."""

    cluster: Cluster
    quota_account: QuotaAccount

    def available_capacity(self, machine_name: str) -> list[float] | None:
        """Return the capacity that is free or being freed; None if no task may be placed."""

    def can_run_on(self, claimant: Job, machine: Machine) -> bool:
        """Return whether a task of the claimant may run on a machine."""

    def can_preempt(self, claimant: Job, victim: Attempt, within_guarantee: bool) -> bool:
        """Return whether the rules let the claimant preempt this task."""

    def victim_sort_key(self, attempt: Attempt) -> tuple[int, ...]:
        """Return the sort key that orders the tasks of a job, first victim first."""


class GpuVictimSelector:
    """Selects victims for GPU tasks within one preemption pass.

    For each kind of claimant, the machines are kept in a heap that is keyed by a lower bound of
    the cheapest victim set on the machine. The exact set is computed only for the machine at the
    top of the heap. During a pass the tasks that may be preempted only become fewer, so a
    machine's key only grows: a set that still matches the key at the top is the best one, and a
    machine whose set has become more expensive gets a new position in the heap.
    """

    def __init__(self, rules: PreemptionRules) -> None:
        self._rules = rules
        holders = sorted(rules.cluster.active_jobs.values(), key=gpu_job_sort_key)
        self._job_ranks = {job.id: rank for rank, job in enumerate(holders)}
        #: Lowest priority level and lowest job rank on each machine that has GPUs.
        self._lower_bounds: dict[str, tuple[int, int]] = {}
        for machine in rules.cluster.machines.values():
            if machine.type.gpus > 0 and machine.attempts:
                jobs = [attempt.job for attempt in machine.attempts.values()]
                lower_bound = (
                    min(job.effective_level for job in jobs),
                    min(self._job_ranks[job.id] for job in jobs),
                )
                self._lower_bounds[machine.name] = lower_bound
        self._heaps_by_kind: dict[tuple[object, ...], list[tuple[VictimSetKey, Machine]]] = {}

    def select_victims(
        self, claimant: Job, kind: tuple[object, ...], within_guarantee: bool
    ) -> VictimSet | None:
        """Return the victims for one task of the claimant; None if no set may be preempted."""
        kind = (*kind, claimant.spec.image)
        heap = self._heaps_by_kind.get(kind)
        if heap is None:
            heap = self._heaps_by_kind[kind] = []
            for name, (level, job_rank) in self._lower_bounds.items():
                machine = self._rules.cluster.machines[name]
                fetch_steps = estimate_image_fetch_us(claimant.spec, machine) // FETCH_STEP_US
                heap.append(((level, False, fetch_steps, job_rank, 0, machine.serial), machine))
            heapify(heap)
        while heap:
            bound, machine = heap[0]
            victim_set = self._find_victim_set(claimant, machine, within_guarantee)
            if victim_set is None:
                heappop(heap)
            elif victim_set.sort_key <= bound:
                # The next call computes this machine's set again: these victims are gone by then.
                return victim_set
            else:
                heapreplace(heap, (victim_set.sort_key, machine))
        return None

    def _find_victim_set(
        self, claimant: Job, machine: Machine, within_guarantee: bool
    ) -> VictimSet | None:
        """Return a minimal set of victims that makes room for one task on a machine."""
        rules, spec = self._rules, claimant.spec
        if not machine.type.fits(spec) or not rules.can_run_on(claimant, machine):
            return None
        capacity = rules.available_capacity(machine.name)
        if capacity is None:
            return None
        shortage = [-amount for amount in capacity]
        add_tasks(shortage, spec, 1)
        candidates: list[tuple[tuple[int, ...], Attempt]] = []
        for attempt in machine.attempts.values():
            if rules.can_preempt(claimant, attempt, within_guarantee):
                job = attempt.job
                key = (
                    job.effective_level,
                    job.spec.is_service,
                    self._job_ranks[job.id],
                    *rules.victim_sort_key(attempt),
                )
                candidates.append((key, attempt))
        candidates.sort(key=lambda item: item[0])
        chosen: list[tuple[tuple[int, ...], Attempt]] = []
        lost_units_by_team: dict[str, int] = {}
        # The missing GPUs are taken first. Missing CPUs and memory are then taken from tasks
        # without GPUs, and from further GPU tasks only if that is not enough.
        for takes_gpus, gpus_only in ((True, True), (False, False), (True, False)):
            for key, attempt in candidates:
                if not _is_short(shortage, gpus_only=gpus_only):
                    break
                if (attempt.job.spec.gpus > 0) is not takes_gpus:
                    continue
                if any(attempt is other for _, other in chosen):
                    continue
                if takes_gpus and not self._can_lose_gpus(claimant, attempt, lost_units_by_team):
                    continue
                chosen.append((key, attempt))
                add_tasks(shortage, attempt.job.spec, -1)
        if _is_short(shortage) or not chosen:
            return None
        # Victims that later choices made unnecessary are removed, the most protected ones first.
        for item in sorted(chosen, key=lambda item: item[0], reverse=True):
            add_tasks(shortage, item[1].job.spec, 1)
            if _is_short(shortage):
                add_tasks(shortage, item[1].job.spec, -1)
            else:
                chosen.remove(item)
        if not chosen:
            return None
        cost_us = sum(key[-1] for key, _ in chosen)
        return VictimSet(
            max(key[0] for key, _ in chosen), any(key[1] for key, _ in chosen),
            estimate_image_fetch_us(spec, machine) // FETCH_STEP_US,
            max(key[2] for key, _ in chosen), cost_us,
            machine.serial, machine, [attempt for _, attempt in chosen],
        )  # fmt: skip

    def _can_lose_gpus(
        self, claimant: Job, attempt: Attempt, lost_units_by_team: dict[str, int]
    ) -> bool:
        """Return whether the victim's team keeps its GPU guarantee without this task's GPUs.

        ``lost_units_by_team`` holds what the victim set takes from each team; if the task may be
        preempted, its GPUs are added there.
        """
        team = attempt.job.team
        units = lost_units_by_team.get(team, 0) + required_units(attempt.job.spec.gpus)
        if team != claimant.team and not self._rules.quota_account.can_lose_gpus(team, units):
            return False
        lost_units_by_team[team] = units
        return True


def gpu_job_sort_key(job: Job) -> tuple[float, ...]:
    """Return the sort key that orders jobs by level, then the most GPUs held first."""
    return (
        job.effective_level,
        job.spec.is_service,
        -len(job.active) * job.spec.gpus,
        -job.first_seen_us,
        job.serial,
    )


def _is_short(shortage: Iterable[float], *, gpus_only: bool = False) -> bool:
    """Return whether any resource is still missing, or any GPU if only GPUs count."""
    cpus, gpus, memory_gb, task_slots = shortage
    if gpus_only:
        return gpus > EPSILON
    return max(cpus, gpus, memory_gb, task_slots) > EPSILON
