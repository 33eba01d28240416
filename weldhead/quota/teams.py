"""Quota accounting for teams: guarantee, limit, usage, and the changes of one pass. No I/O.

All code that decides by guarantees and limits uses this account. It holds for each team, by
resource:

* ``guarantee`` and ``limit`` from the platform's settings (no limit: ``UNBOUNDED``);
* ``used``: the amount held by the team's attempts, each from the decision to start it until it
  is certain that it has ended;
* ``claimed``: the amount that preemption is freeing for the team's waiting tasks;
* ``stopping``: the part of ``used`` that belongs to tasks with a stop request;
* ``unused_guarantee``: the guaranteed amount that the team does not use, and others may borrow.

Whether a team borrows is decided by the claimed resource alone. Otherwise a team that
used more CPUs than its guarantee would count as borrowing its GPUs too, and several stops in one
pass, counted in CPUs alone, could take the team below its GPU guarantee.
"""

from collections.abc import Mapping
from functools import lru_cache
from typing import NamedTuple

from weldhead.protocol.settings import Team
from weldhead.protocol.wire import JobSpec
from weldhead.quota.amounts import (
    UNBOUNDED,
    UNITS,
    ZERO_AMOUNT,
    Amount,
    Resource,
    allowed_units,
    claimed_resource,
    count_fitting_tasks,
    required_amounts,
    required_units,
)


class ResourceUsage:
    """The resources that a team's attempts hold."""

    __slots__ = ("units",)

    def __init__(self) -> None:
        #: CPUs and GPUs, in units.
        self.units: list[int] = [0, 0]

    def add(self, spec: JobSpec, sign: int = 1) -> None:
        """Add the resources of one task of a job; ``sign`` -1 subtracts them."""
        self.units[0] += sign * required_units(spec.cpus)
        self.units[1] += sign * required_units(spec.gpus)

    @property
    def cpus(self) -> float:
        """CPUs, as a decimal."""
        return self.units[0] / UNITS

    @cpus.setter
    def cpus(self, amount: float) -> None:
        self.units[0] = required_units(amount)

    @property
    def gpus(self) -> float:
        """GPUs, as a decimal."""
        return self.units[1] / UNITS

    @gpus.setter
    def gpus(self, amount: float) -> None:
        self.units[1] = required_units(amount)


class QuotaBounds(NamedTuple):
    """A team's guarantee and its limit, in units."""

    guarantee: Amount
    limit: Amount


@lru_cache(maxsize=4096)
def quota_bounds(team: Team) -> QuotaBounds:
    """Convert a team's guarantee and limit to units."""
    return QuotaBounds(
        (allowed_units(team.cpus), allowed_units(team.gpus)),
        (allowed_units(team.cpus_max), allowed_units(team.gpus_max)),
    )


class QuotaStatus(NamedTuple):
    """A team's quota and usage of one resource, in units."""

    guarantee: int
    limit: int
    used: int
    claimed: int
    stopping: int

    @property
    def unused_guarantee(self) -> int:
        """The guaranteed amount that the team does not use."""
        return max(0, self.guarantee - self.used)

    @property
    def borrowed(self) -> int:
        """The usage beyond the guarantee, not counting tasks with a stop request."""
        return max(0, self.used - self.stopping - self.guarantee)


def remaining_units(limit: int, *used: int) -> int:
    """Return a limit less the used amounts; an ``UNBOUNDED`` limit stays ``UNBOUNDED``."""
    return limit if limit == UNBOUNDED else limit - sum(used)


def count_within_limit(team: Team, used: Amount, spec: JobSpec, max_tasks: int) -> int:
    """Return how many more tasks of a job a team's limit allows, at most ``max_tasks``."""
    limit = quota_bounds(team).limit
    remaining = remaining_units(limit[0], used[0]), remaining_units(limit[1], used[1])
    return count_fitting_tasks(remaining, required_amounts(spec), max_tasks)


def count_within_guarantee(team: Team, used: Amount, spec: JobSpec, max_tasks: int) -> int:
    """Return how many more tasks of a job fit a team's guarantee, at most ``max_tasks``.

    Only the resource that the tasks claim counts (see ``claimed_resource``).
    """
    resource = claimed_resource(spec)
    units_per_task = required_units(spec.gpus if resource is Resource.GPUS else spec.cpus)
    if units_per_task == 0:
        return max_tasks
    remaining = quota_bounds(team).guarantee[resource] - used[resource]
    return max(0, min(max_tasks, remaining // units_per_task))


class QuotaAccount:
    """The quotas of all teams during a pass: current usage, and the stops and claims of the pass.

    ``used`` is not copied: changes during the pass take effect at the next call.
    """

    def __init__(self, teams: Mapping[str, Team], used: Mapping[str, ResourceUsage]) -> None:
        self._teams = teams
        self._used = used
        self._stopping: dict[str, list[int]] = {}
        self._claimed: dict[str, list[int]] = {}

    def record_stop(self, team: str, spec: JobSpec) -> None:
        """Record a stop request for one of a team's tasks."""
        _add_task(self._stopping, team, spec)

    def record_claim(self, team: str, spec: JobSpec) -> None:
        """Record that resources are being freed for one of a team's waiting tasks."""
        _add_task(self._claimed, team, spec)

    def quota_status(self, team: str, resource: Resource) -> QuotaStatus | None:
        """Return a team's quota and usage of a resource; None if the team does not exist."""
        settings = self._teams.get(team)
        if settings is None:
            return None
        bounds = quota_bounds(settings)
        usage = self._used.get(team)
        return QuotaStatus(
            bounds.guarantee[resource],
            bounds.limit[resource],
            usage.units[resource] if usage is not None else 0,
            self._claimed.get(team, ZERO_AMOUNT)[resource],
            self._stopping.get(team, ZERO_AMOUNT)[resource],
        )

    def is_borrowing(self, team: str, resource: Resource) -> bool:
        """Return whether a team uses more of a resource than its guarantee.

        Tasks with a stop request do not count. A team that does not exist always borrows.
        """
        status = self.quota_status(team, resource)
        return status is None or status.borrowed > 0

    def can_lose_gpus(self, team: str, units: int) -> bool:
        """Return whether a team that loses this many units of GPUs still has its GPU guarantee."""
        status = self.quota_status(team, Resource.GPUS)
        return status is None or units == 0 or status.borrowed >= units

    def is_within_guarantee(self, team: str, spec: JobSpec) -> bool:
        """Return whether one more task fits the guarantee, next to all that is used and claimed."""
        resource = claimed_resource(spec)
        status = self.quota_status(team, resource)
        if status is None:
            return False
        units_per_task = required_amounts(spec)[resource]
        return status.used + status.claimed + units_per_task <= status.guarantee


def _add_task(units_by_team: dict[str, list[int]], team: str, spec: JobSpec) -> None:
    units = units_by_team.setdefault(team, [0, 0])
    units[0] += required_units(spec.cpus)
    units[1] += required_units(spec.gpus)
