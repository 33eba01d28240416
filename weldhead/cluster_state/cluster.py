"""The leader's picture of jobs, machines and usage. No I/O.

Usage counts every attempt from the decision to start it until it is surely gone.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from weldhead.cluster_state.change_feed import Registry
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, Machine
from weldhead.cluster_state.states import StopRequest, TaskState
from weldhead.protocol.settings import Team
from weldhead.quota.amounts import ZERO_AMOUNT, Amount
from weldhead.quota.teams import ResourceUsage, count_within_limit


@dataclass(frozen=True)
class UnverifiedUsage:
    """What a team's attempts on unknown machines may use at most."""

    cpus: float = 0.0
    gpus: float = 0.0


NO_UNVERIFIED_USAGE = UnverifiedUsage()


@dataclass(frozen=True)
class OrphanAttempt:
    """An attempt that must go and is no job's attempt in the books; its job, if on record."""

    machine: str
    job: Job | None
    since_us: int


class Cluster:
    """All jobs that are not over and all machines of ours."""

    def __init__(self, teams: Iterable[Team], token: int = 0) -> None:
        self.teams: dict[str, Team] = {team.name: team for team in teams}
        self.token = token
        self.jobs: Registry[Job] = Registry()
        self.machines: Registry[Machine] = Registry()
        #: Jobs that hold room.
        self.active_jobs: dict[str, Job] = {}
        #: Attempts that were asked to stop, and those whose direct request may be lost, by
        #: what tells them apart: an attempt's number is unique within its task.
        self.stopping: dict[tuple[str, int], Attempt] = {}
        self.unconfirmed: dict[tuple[str, int], Attempt] = {}
        #: Attempts that must go and that no job counts, by machine, task and number; and how
        #: many there are of a task.
        self.orphans: dict[tuple[str, str, int], OrphanAttempt] = {}
        self._orphan_counts: Counter[str] = Counter()
        #: What each team's attempts take, by evidence; exact (``account/``).
        self.usage: Mapping[str, ResourceUsage] = defaultdict(ResourceUsage)
        #: By team, while some machines have not shown what runs there.
        self.unverified_usage: Mapping[str, UnverifiedUsage] = {}
        #: The count of the newest attempt of each task, by job; of jobs that are over only the
        #: highest of all: kept for each task, they were all that grew as long as a term lasted.
        self._attempt_counts: dict[str, dict[int, int]] = defaultdict(dict)
        self._highest_finished_count = 0

    def next_attempt(self, job_id: str, index: int) -> int:
        """Return an attempt number that no leader ever used for this task.

        Tokens are unique and grow, so a number made of the token and a count within the
        term is unique across terms without being stored.
        """
        starts = self._attempt_counts[job_id]
        count = starts[index] = max(starts.get(index, 0), self._highest_finished_count) + 1
        return (self.token << 20) + count

    def forget_attempt_numbers(self, job_id: str) -> None:
        """A job is over. Should it be entered again, it begins above all that it ever had."""
        starts = self._attempt_counts.pop(job_id, None)
        if starts:
            self._highest_finished_count = max(self._highest_finished_count, max(starts.values()))

    def start(self, job: Job, index: int, machine: Machine, at_us: int) -> Attempt:
        """Decide that a task starts on a machine."""
        attempt = Attempt(job, index, self.next_attempt(job.id, index), machine.name, at_us)
        self.adopt(attempt, machine)
        return attempt

    def adopt(self, attempt: Attempt, machine: Machine) -> None:
        """Count an attempt that exists or is about to."""
        attempt.job.begin(attempt, machine.zone)
        machine.add(attempt)
        self.active_jobs[attempt.job.id] = attempt.job
        self.usage[attempt.job.team].add(attempt.job.spec)

    def release(self, attempt: Attempt, *, completed: bool = False) -> None:
        """Record that an attempt is surely gone."""
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
        """Record that everything on a machine is surely gone."""
        gone = list(machine.attempts.values())
        for attempt in gone:
            self.release(attempt)
        machine.unacknowledged.clear()
        self.remove_orphans(machine, set(machine.orphans))
        return gone

    def add_orphan(
        self, machine: Machine, key: tuple[str, int], job: Job | None, at_us: int
    ) -> None:
        """An attempt runs that must go: until it has gone, its job's team uses what it takes.

        Its task is not started meanwhile: the kill may be lost on its way.
        """
        if key in machine.orphans:
            return
        machine.orphans.add(key)
        self.orphans[machine.name, *key] = OrphanAttempt(machine.name, job, at_us)
        self._orphan_counts[key[0]] += 1
        if job is not None:
            self.usage[job.team].add(job.spec)

    def remove_orphans(self, machine: Machine, keys: Iterable[tuple[str, int]]) -> None:
        """Record that orphans are gone, or are a job's attempts after all."""
        for key in keys:
            machine.orphans.discard(key)
            ghost = self.orphans.pop((machine.name, *key), None)
            if ghost is None:
                continue
            self._orphan_counts[key[0]] -= 1
            if not self._orphan_counts[key[0]]:
                del self._orphan_counts[key[0]]
            if ghost.job is not None:
                self.usage[ghost.job.team].add(ghost.job.spec, -1)

    def has_orphan(self, task: str) -> bool:
        """Whether an attempt of a task may run that no job counts."""
        return self._orphan_counts[task] > 0 if self.orphans else False

    def has_orphans_of(self, job: Job) -> bool:
        """Whether attempts of a job may run that it does not count."""
        return any(ghost.job is job for ghost in self.orphans.values())

    def remove_machine(self, machine: Machine) -> list[Attempt]:
        """Record that a machine is gone, and everything on it."""
        gone = self.release_all(machine)
        self.machines.remove(machine.name)
        return gone

    def stop(self, attempt: Attempt, stop: StopRequest, at_us: int, reason: str) -> None:
        """Ask an attempt to stop; a harder request replaces a softer one."""
        if stop.value <= attempt.stop_request.value:
            return
        if attempt.stop_request is StopRequest.NO:
            attempt.stop_requested_us = at_us
            attempt.stop_reason = reason
        attempt.stop_request = stop
        if attempt.job.active.get(attempt.index) is attempt:
            self.stopping[attempt.task, attempt.number] = attempt

    def mark_unconfirmed(self, attempt: Attempt, at_us: int) -> None:
        """A direct request with the attempt's ``run`` may be lost, and may be executed late."""
        attempt.unconfirmed_since_us = at_us
        # A request can fail long after its machine is gone, and the attempt with it: entered
        # then, it would never leave, and the machine watch failed over it.
        if attempt.job.active.get(attempt.index) is attempt:
            self.unconfirmed[attempt.task, attempt.number] = attempt

    def tasks_within_limit(self, job: Job, reserved: Amount = ZERO_AMOUNT) -> int:
        """How many more tasks of the job its team's limit allows beside what is reserved."""
        team = self.teams.get(job.team)
        if team is None:
            return 0
        cpus, cards = self.usage[job.team].units
        used = cpus + reserved[0], cards + reserved[1]
        return count_within_limit(team, used, job.spec, job.spec.tasks)

    def waiting_jobs(self) -> list[Job]:
        """Return the jobs with waiting tasks."""
        return [job for job in self.jobs.values() if job.waiting > 0 and not job.finishing]

    def check_invariants(self) -> None:
        """Raise AssertionError if the sums disagree with the attempts; for tests."""
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
        for ghost in self.orphans.values():
            if ghost.job is not None:
                recounted[ghost.job.team].add(ghost.job.spec)
        for kept in (*self.stopping.values(), *self.unconfirmed.values()):
            assert kept.job.active.get(kept.index) is kept, kept.task
        assert set(self.active_jobs) == {job.id for job in self.jobs.values() if job.active}
        for team, usage in self.usage.items():
            assert usage.units == recounted[team].units, team
