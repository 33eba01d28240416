"""The account of the teams: guarantee, limit, use, and what a pass claims and frees. No I/O.

One account for all who judge by guarantees and limits. By resource, of each team:

* ``guarantee`` and ``limit`` as the platform states them (no limit: ``UNBOUNDED``);
* ``used``: what attempts take by evidence, from the decision to start one until it is surely
  gone;
* ``claimed``: room that is being made for its waiting tasks;
* ``freed``: what its tasks take that were asked to stop, and are not gone yet;
* ``lent``: what it is guaranteed and does not use, so that others may borrow it.

Borrowing is judged in the resource that is claimed. A team that uses more CPUs than it is
guaranteed had counted as borrowing its cards too, and several stops in one pass, counted in
CPUs alone, could take a team below its guarantee in cards.
"""

from collections.abc import Mapping
from functools import lru_cache
from typing import NamedTuple

from weldhead.protocol.settings import Team
from weldhead.protocol.wire import JobSpec
from weldhead.quota.amounts import (
    NOTHING,
    UNBOUNDED,
    UNITS,
    Amount,
    Resource,
    allowed_units,
    claimed_resource,
    required_amounts,
    required_units,
    times_in,
)


class ResourceUsage:
    """What a team's attempts take, by evidence."""

    __slots__ = ("units",)

    def __init__(self) -> None:
        #: CPUs and cards, in units.
        self.units: list[int] = [0, 0]

    def add(self, spec: JobSpec, sign: int = 1) -> None:
        """Count one task of a job; ``sign`` -1: no longer."""
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
        """Cards, as a decimal."""
        return self.units[1] / UNITS

    @gpus.setter
    def gpus(self, amount: float) -> None:
        self.units[1] = required_units(amount)


class QuotaBounds(NamedTuple):
    """What a team is guaranteed and may take at most."""

    guarantee: Amount
    limit: Amount


@lru_cache(maxsize=4096)
def bounds_of(team: Team) -> QuotaBounds:
    """Return a team's bounds in units."""
    return QuotaBounds(
        (allowed_units(team.cpus), allowed_units(team.gpus)),
        (allowed_units(team.cpus_max), allowed_units(team.gpus_max)),
    )


class QuotaPosition(NamedTuple):
    """Where a team stands in one resource, in units."""

    guarantee: int
    limit: int
    used: int
    claimed: int
    freed: int

    @property
    def lent(self) -> int:
        """What it is guaranteed and does not use."""
        return max(0, self.guarantee - self.used)

    @property
    def borrowed(self) -> int:
        """What it will use beyond its guarantee once all that was asked to stop is gone."""
        return max(0, self.used - self.freed - self.guarantee)


def left(limit: int, *taken: int) -> int:
    """Return what is left of a limit; of none, all is left whatever was taken."""
    return limit if limit == UNBOUNDED else limit - sum(taken)


def within_limit(team: Team, used: Amount, spec: JobSpec, most: int) -> int:
    """How many tasks of a job, at most ``most``, a team's limit allows beside what it uses."""
    limit = bounds_of(team).limit
    rest = left(limit[0], used[0]), left(limit[1], used[1])
    return times_in(rest, required_amounts(spec), most)


def within_guarantee(team: Team, used: Amount, spec: JobSpec, most: int) -> int:
    """How many tasks of a job, at most ``most``, are inside a team's guarantee.

    Judged in the resource that the tasks claim.
    """
    resource = claimed_resource(spec)
    each = required_units(spec.gpus if resource is Resource.CARDS else spec.cpus)
    if each == 0:
        return most
    rest = bounds_of(team).guarantee[resource] - used[resource]
    return max(0, min(most, rest // each))


class QuotaAccount:
    """The teams' account while a pass decides: what is used, and what the pass adds to it.

    ``used`` is followed, not copied: it may change between two questions.
    """

    def __init__(self, teams: Mapping[str, Team], used: Mapping[str, ResourceUsage]) -> None:
        self._teams = teams
        self._used = used
        self._freed: dict[str, list[int]] = {}
        self._claimed: dict[str, list[int]] = {}

    def record_freed(self, team: str, spec: JobSpec) -> None:
        """Note that a task of a team stops."""
        _add(self._freed, team, spec)

    def record_claim(self, team: str, spec: JobSpec) -> None:
        """Note that room is made for a task of a team."""
        _add(self._claimed, team, spec)

    def position(self, team: str, resource: Resource) -> QuotaPosition | None:
        """Return where a team stands; None: there is no such team."""
        known = self._teams.get(team)
        if known is None:
            return None
        bounds = bounds_of(known)
        use = self._used.get(team)
        return QuotaPosition(
            bounds.guarantee[resource],
            bounds.limit[resource],
            use.units[resource] if use is not None else 0,
            self._claimed.get(team, NOTHING)[resource],
            self._freed.get(team, NOTHING)[resource],
        )

    def borrows(self, team: str, resource: Resource) -> bool:
        """Whether a team uses more of a resource than it is guaranteed."""
        position = self.position(team, resource)
        return position is None or position.borrowed > 0

    def may_lose_gpus(self, team: str, units: int) -> bool:
        """Whether a team keeps its guarantee in cards without so many units of them."""
        position = self.position(team, Resource.CARDS)
        return position is None or units == 0 or position.borrowed >= units

    def within_guarantee(self, team: str, spec: JobSpec) -> bool:
        """Whether one more task is inside its team's guarantee, with what is claimed already."""
        resource = claimed_resource(spec)
        position = self.position(team, resource)
        if position is None:
            return False
        each = required_amounts(spec)[resource]
        return position.used + position.claimed + each <= position.guarantee


def _add(to: dict[str, list[int]], team: str, spec: JobSpec) -> None:
    held = to.setdefault(team, [0, 0])
    held[0] += required_units(spec.cpus)
    held[1] += required_units(spec.gpus)
