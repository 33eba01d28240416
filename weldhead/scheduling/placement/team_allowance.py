"""What a pass may still give to one team."""

from bisect import bisect_left

from weldhead.cluster_state.cluster import NO_UNVERIFIED_USAGE, Cluster, UnverifiedUsage
from weldhead.cluster_state.jobs import Job
from weldhead.quota.amounts import NOTHING, Amount, required_amounts, required_units, times_in
from weldhead.quota.teams import bounds_of, left, within_guarantee
from weldhead.scheduling.placement.backlog_entry import BacklogEntry


class TeamAllowance:
    """What a plan has given to a team so far, and when in the order it was given."""

    __slots__ = ("_given", "_marks", "_remaining", "_team", "_used", "allocated")

    def __init__(
        self, cluster: Cluster, team: str, unverified: UnverifiedUsage = NO_UNVERIFIED_USAGE
    ) -> None:
        self._team = cluster.teams[team]
        cpus, gpus = cluster.usage[team].units
        self._used: Amount = cpus, gpus
        limit = bounds_of(self._team).limit
        # While machines are unknown, what they may hold of the team counts as used.
        self._remaining: Amount = (
            left(limit[0], cpus, required_units(unverified.cpus)),
            left(limit[1], gpus, required_units(unverified.gpus)),
        )
        #: What was given so far, in units.
        self.allocated: Amount = NOTHING
        self._marks: list[BacklogEntry] = []
        self._given: list[Amount] = [NOTHING]

    def allocate(self, job: Job, count: int) -> None:
        """Reserve room for tasks."""
        cpus, gpus = required_amounts(job.spec)
        self.allocated = self.allocated[0] + cpus * count, self.allocated[1] + gpus * count

    def within_limit(self, job: Job) -> int:
        """How many more tasks of a job the limit allows."""
        return self._remaining_after(job, self.allocated)

    def within_guarantee(self, job: Job) -> int:
        """How many more tasks of a job are inside the guarantee."""
        used = self._used[0] + self.allocated[0], self._used[1] + self.allocated[1]
        return within_guarantee(self._team, used, job.spec, job.spec.tasks)

    def reserve(self, cpus: float, gpus: float) -> None:
        """Keep some of the limit out of reach for the rest of the pass."""
        self._remaining = (
            left(self._remaining[0], required_units(cpus)),
            left(self._remaining[1], required_units(gpus)),
        )

    def _remaining_after(self, job: Job, given: Amount) -> int:
        rest = left(self._remaining[0], given[0]), left(self._remaining[1], given[1])
        return times_in(rest, required_amounts(job.spec), job.spec.tasks)

    def record_position(self, entry: BacklogEntry | None) -> None:
        """Note that all so far was given up to that place in the order (None: before it)."""
        if entry is None:
            self._given[0] = self.allocated
            return
        self._marks.append(entry)
        self._given.append(self.allocated)

    def remaining_at(self, entry: BacklogEntry) -> int:
        """How many tasks of a job the limit allows, by what was given before its place."""
        number = bisect_left(self._marks, entry)
        return self._remaining_after(entry.job, self._given[number])
