"""The leader's model of jobs, machines and resource usage. No I/O.

Usage counts each attempt from the decision to start it until the attempt has certainly ended.

An *orphan* is an attempt that runs on a machine although no job counts it as its own. It has to be
stopped, and until it has ended its resources count as usage of its job's team.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from weldhead.cluster_state.change_feed import Registry
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, Machine, add_tasks
from weldhead.cluster_state.states import StopRequest, TaskState
from weldhead.protocol.settings import Team
from weldhead.quota.amounts import ZERO_AMOUNT, Amount
from weldhead.quota.teams import ResourceUsage, count_within_limit

#: The low bits of an attempt number count the attempts of a task within a term; the term's fencing
#: token is above them.
ATTEMPT_COUNT_BITS = 20


def token_of_attempt(number: int) -> int:
    """Return the fencing token of the term that made an attempt number."""
    return number >> ATTEMPT_COUNT_BITS


@dataclass(frozen=True)
class UnverifiedUsage:
    """The upper bound of a team's usage on machines that have not reported their tasks yet."""

    cpus: float = 0.0
    gpus: float = 0.0


NO_UNVERIFIED_USAGE = UnverifiedUsage()


@dataclass(frozen=True)
class OrphanAttempt:
    """An attempt that has to be stopped and that no job counts as its own.

    ``job`` is the job that the attempt's task belongs to; None if that job is not on record.
    """

    machine: str
    job: Job | None
    since_us: int


class Cluster:
    """All jobs that have not ended and all machines of the fleet."""

    def __init__(self, teams: Iterable[Team], token: int = 0) -> None:
        self.teams: dict[str, Team] = {team.name: team for team in teams}
        self.token = token
        self.jobs: Registry[Job] = Registry()
        self.machines: Registry[Machine] = Registry()
        #: Jobs with active attempts, by job id.
        self.active_jobs: dict[str, Job] = {}
        #: Attempts that were requested to stop, and attempts whose direct ``run`` command may be
        #: lost. Keys are task and attempt number, which is unique within the task.
        self.stopping: dict[tuple[str, int], Attempt] = {}
        self.unconfirmed: dict[tuple[str, int], Attempt] = {}
        #: Orphan attempts by machine, task and attempt number, and how many each task has.
        self.orphans: dict[tuple[str, str, int], OrphanAttempt] = {}
        self._orphan_counts: Counter[str] = Counter()
        #: The resources that each team's known attempts use; the sums are exact (``quota/``).
        self.usage: Mapping[str, ResourceUsage] = defaultdict(ResourceUsage)
        #: Further usage by team that is possible while some machines have not reported their tasks.
        self.unverified_usage: Mapping[str, UnverifiedUsage] = {}
        #: The count of the newest attempt of each task, by job. Of ended jobs only the highest
        #: count of all is kept: counts of each of their tasks grew as long as the term lasted.
        self._attempt_counts: dict[str, dict[int, int]] = defaultdict(dict)
        self._highest_finished_count = 0

    def next_attempt_number(self, job_id: str, index: int) -> int:
        """Return an attempt number that no leader has ever used for this task.

        Fencing tokens are unique and increase. A number made of the token and a count within the
        term is therefore unique across terms without being stored.
        """
        counts = self._attempt_counts[job_id]
        count = counts[index] = max(counts.get(index, 0), self._highest_finished_count) + 1
        return (self.token << ATTEMPT_COUNT_BITS) + count

    def forget_attempt_numbers(self, job_id: str) -> None:
        """Forget the attempt counts of an ended job.

        If the job is added again, its attempts are numbered above all of its earlier ones.
        """
        counts = self._attempt_counts.pop(job_id, None)
        if counts:
            self._highest_finished_count = max(self._highest_finished_count, max(counts.values()))

    def is_of_this_term(self, attempt_number: int) -> bool:
        """Whether this leader's term has made an attempt number."""
        return token_of_attempt(attempt_number) == self.token

    def start(self, job: Job, index: int, machine: Machine, at_us: int) -> Attempt:
        """Create an attempt of a task and assign it to a machine."""
        attempt = Attempt(job, index, self.next_attempt_number(job.id, index), machine.name, at_us)
        self.adopt(attempt, machine)
        return attempt

    def adopt(self, attempt: Attempt, machine: Machine) -> None:
        """Add an attempt that exists or is about to start to its job, machine and team usage."""
        attempt.job.begin(attempt, machine.zone)
        machine.add(attempt)
        self.active_jobs[attempt.job.id] = attempt.job
        self.usage[attempt.job.team].add(attempt.job.spec)

    def release(self, attempt: Attempt, *, completed: bool = False) -> None:
        """Record that an attempt has certainly ended, and free its resources."""
        machine = self.machines[attempt.machine]
        machine.remove(attempt)
        attempt.job.end(attempt, machine.zone, completed=completed)
        if not attempt.job.active:
            self.active_jobs.pop(attempt.job.id, None)
        if attempt.stop_request is not StopRequest.NO:
            self.stopping.pop((attempt.task, attempt.number), None)
        if self.unconfirmed:
            self.unconfirmed.pop((attempt.task, attempt.number), None)
        self.usage[attempt.job.team].add(attempt.job.spec, -1)

    def release_all(self, machine: Machine) -> list[Attempt]:
        """Record that all attempts on a machine have certainly ended; return the jobs' attempts."""
        released = list(machine.attempts.values())
        for attempt in released:
            self.release(attempt)
        machine.unacknowledged.clear()
        machine.direct_runs.clear()
        self.remove_orphans(machine, set(machine.orphans))
        # Ended attempts that were not forgotten had occupied task slots.
        machine.notify_changed()
        return released

    def add_orphan(
        self, machine: Machine, key: tuple[str, int], job: Job | None, at_us: int
    ) -> None:
        """Record an orphan: an attempt that has to be stopped and that no job counts as its own.

        Its resources count as usage of its job's team until it has ended. Its task is not started
        meanwhile, because the command that kills the orphan may be lost.
        """
        if key in machine.orphans:
            return
        machine.orphans.add(key)
        self.orphans[machine.name, *key] = OrphanAttempt(machine.name, job, at_us)
        self._orphan_counts[key[0]] += 1
        if job is not None:
            self.usage[job.team].add(job.spec)

    def remove_orphans(self, machine: Machine, keys: Iterable[tuple[str, int]]) -> None:
        """Remove orphan attempts that have ended or turned out to be a job's attempts."""
        for key in keys:
            machine.orphans.discard(key)
            orphan = self.orphans.pop((machine.name, *key), None)
            if orphan is None:
                continue
            self._orphan_counts[key[0]] -= 1
            if not self._orphan_counts[key[0]]:
                del self._orphan_counts[key[0]]
            if orphan.job is not None:
                self.usage[orphan.job.team].add(orphan.job.spec, -1)

    def has_orphan(self, task: str) -> bool:
        """Whether an orphan attempt of a task may be running."""
        return self._orphan_counts[task] > 0 if self.orphans else False

    def has_orphans_of(self, job: Job) -> bool:
        """Whether orphan attempts of a job may be running."""
        return any(orphan.job is job for orphan in self.orphans.values())

    def remove_machine(self, machine: Machine) -> list[Attempt]:
        """Remove a machine and release all attempts on it; return the released attempts."""
        released = self.release_all(machine)
        self.machines.remove(machine.name)
        return released

    def stop(self, attempt: Attempt, stop: StopRequest, at_us: int, reason: str) -> None:
        """Request that an attempt stops; a hard request replaces a soft one."""
        if stop.value <= attempt.stop_request.value:
            return
        if attempt.stop_request is StopRequest.NO:
            attempt.stop_requested_us = at_us
            attempt.stop_reason = reason
        attempt.stop_request = stop
        if attempt.job.active.get(attempt.index) is attempt:
            self.stopping[attempt.task, attempt.number] = attempt

    def mark_unconfirmed(self, attempt: Attempt, at_us: int) -> None:
        """Record that the attempt's direct ``run`` command may be lost or be executed late."""
        attempt.unconfirmed_since_us = at_us
        # A command can fail long after its machine was removed along with the attempt. An attempt
        # added here after that was never removed, and machine monitoring failed on it.
        if attempt.job.active.get(attempt.index) is attempt:
            self.unconfirmed[attempt.task, attempt.number] = attempt

    def tasks_within_limit(self, job: Job, reserved: Amount = ZERO_AMOUNT) -> int:
        """Return how many more tasks of a job its team's limit allows.

        ``reserved`` counts as used: CPUs and GPUs that are reserved for other tasks of the team.
        """
        team = self.teams.get(job.team)
        if team is None:
            return 0
        cpus, cards = self.usage[job.team].units
        used = cpus + reserved[0], cards + reserved[1]
        return count_within_limit(team, used, job.spec, job.spec.tasks)

    def amounts_held_by_services(self) -> dict[str, list[float]]:
        """Return the CPUs, GPUs, memory and task slots that services hold, by machine."""
        held: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0, 0.0])
        for job in self.active_jobs.values():
            if job.spec.is_service and not job.must_stop:
                for attempt in job.active.values():
                    add_tasks(held[attempt.machine], job.spec, 1)
        return held

    def waiting_jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks and whose end is not being committed."""
        return [job for job in self.jobs.values() if job.waiting > 0 and not job.finishing]

    def check_invariants(self) -> None:
        """Raise AssertionError if usage or indexes disagree with the attempts; for tests."""
        recounted: dict[str, ResourceUsage] = defaultdict(ResourceUsage)
        for machine in self.machines.values():
            used = sum(a.job.spec.cpus for a in machine.attempts.values())
            for attempt in machine.attempts.values():
                key = (attempt.task, attempt.number)
                assert (attempt.stop_request is not StopRequest.NO) == (key in self.stopping), (
                    attempt.task
                )
                assert not attempt.unconfirmed_since_us or key in self.unconfirmed, attempt.task
            assert abs(machine.cpus + used - machine.type.cpus) < EPSILON * 100, machine.name
            for attempt in machine.attempts.values():
                assert attempt.job.active[attempt.index] is attempt, attempt.task
                assert attempt.job.states[attempt.index] == TaskState.ACTIVE, attempt.task
                recounted[attempt.job.team].add(attempt.job.spec)
        for orphan in self.orphans.values():
            if orphan.job is not None:
                recounted[orphan.job.team].add(orphan.job.spec)
        for attempt in (*self.stopping.values(), *self.unconfirmed.values()):
            assert attempt.job.active.get(attempt.index) is attempt, attempt.task
        assert set(self.active_jobs) == {job.id for job in self.jobs.values() if job.active}
        for team, usage in self.usage.items():
            assert usage.units == recounted[team].units, team
