"""The resources that a placement pass may still allocate to one team."""

from bisect import bisect_left

from weldhead.cluster_state.cluster import NO_UNVERIFIED_USAGE, Cluster, UnverifiedUsage
from weldhead.cluster_state.jobs import Job
from weldhead.quota.amounts import (
    ZERO_AMOUNT,
    Amount,
    count_fitting_tasks,
    required_amounts,
    required_units,
)
from weldhead.quota.teams import count_within_guarantee, quota_bounds, remaining_units
from weldhead.scheduling.placement.backlog_entry import BacklogEntry


class TeamAllowance:
    """The amounts that a pass has allocated to a team, and at which positions of the backlog."""

    __slots__ = (
        "_allocated_at",
        "_positions",
        "_remaining",
        "_team",
        "_used",
        "allocated",
    )  # fmt: skip

    def __init__(
        self, cluster: Cluster, team: str, unverified: UnverifiedUsage = NO_UNVERIFIED_USAGE
    ) -> None:
        self._team = cluster.teams[team]
        cpus, gpus = cluster.usage[team].units
        self._used: Amount = cpus, gpus
        limit = quota_bounds(self._team).limit
        # What unverified machines may run of the team counts as used.
        self._remaining: Amount = (
            remaining_units(limit[0], cpus, required_units(unverified.cpus)),
            remaining_units(limit[1], gpus, required_units(unverified.gpus)),
        )
        #: The amount allocated so far in this pass.
        self.allocated: Amount = ZERO_AMOUNT
        self._positions: list[BacklogEntry] = []
        #: First the amount allocated before any position, then that after each position.
        self._allocated_at: list[Amount] = [ZERO_AMOUNT]

    def allocate(self, job: Job, task_count: int) -> None:
        """Add the resources of some tasks of a job to the allocated amount."""
        cpus, gpus = required_amounts(job.spec)
        self.allocated = (
            self.allocated[0] + cpus * task_count,
            self.allocated[1] + gpus * task_count,
        )

    def tasks_within_limit(self, job: Job) -> int:
        """How many more tasks of a job the team's limit allows."""
        return self._remaining_after(job, self.allocated)

    def tasks_within_guarantee(self, job: Job) -> int:
        """How many more tasks of a job fit into the team's guarantee."""
        used = self._used[0] + self.allocated[0], self._used[1] + self.allocated[1]
        return count_within_guarantee(self._team, used, job.spec, job.spec.tasks)

    def reserve(self, cpus: float, gpus: float) -> None:
        """Withhold part of the team's limit for the rest of the pass."""
        self._remaining = (
            remaining_units(self._remaining[0], required_units(cpus)),
            remaining_units(self._remaining[1], required_units(gpus)),
        )

    def _remaining_after(self, job: Job, allocated: Amount) -> int:
        remaining = (
            remaining_units(self._remaining[0], allocated[0]),
            remaining_units(self._remaining[1], allocated[1]),
        )
        return count_fitting_tasks(remaining, required_amounts(job.spec), job.spec.tasks)

    def record_position(self, entry: BacklogEntry | None) -> None:
        """Record the amount allocated up to and including an entry (None: before the first)."""
        if entry is None:
            self._allocated_at[0] = self.allocated
            return
        self._positions.append(entry)
        self._allocated_at.append(self.allocated)

    def remaining_at(self, entry: BacklogEntry) -> int:
        """How many tasks of a job the limit allows after the allocations before its position."""
        index = bisect_left(self._positions, entry)
        return self._remaining_after(entry.job, self._allocated_at[index])
