"""Exact amounts: whole millionths of a CPU or of a card. No I/O.

Amounts are decimals on the wire. Sums of floats drift, and a team that looks a billionth over
its guarantee has borrowed nothing; so whatever is added up is added up in whole numbers.
"""

import enum
import math
from functools import lru_cache

from weldhead.protocol.wire import JobSpec

#: Units in one CPU, or one card.
UNITS = 1_000_000

#: No limit; larger than any sum of amounts.
UNBOUNDED = 1 << 62

#: How far from a whole unit a product of floats may be and still be that unit.
_NOISE = 1e-3


class Resource(enum.IntEnum):
    """What is accounted for; the number is its place in an amount."""

    CPUS = 0
    CARDS = 1


#: Units of CPUs and of cards.
Amount = tuple[int, int]
NOTHING: Amount = (0, 0)


@lru_cache(maxsize=4096)
def required_units(amount: float) -> int:
    """Return what a task takes, in units; what is finer than a unit counts as one."""
    if math.isinf(amount):
        return UNBOUNDED
    units = round(amount * UNITS)
    return units + 1 if amount * UNITS - units > _NOISE else units


@lru_cache(maxsize=4096)
def allowed_units(amount: float) -> int:
    """Return a guarantee or a limit in units; what is finer than a unit is left out."""
    if math.isinf(amount):
        return UNBOUNDED
    units = round(amount * UNITS)
    return units - 1 if units - amount * UNITS > _NOISE else units


def required_amounts(spec: JobSpec) -> Amount:
    """Return what one task of a job takes."""
    return required_units(spec.cpus), required_units(spec.gpus)


def claimed_resource(spec: JobSpec) -> Resource:
    """Return the resource by which a task is judged: cards where it takes any.

    The CPUs of a machine with cards come with its cards: a team that is guaranteed cards and
    no CPUs could otherwise use none of them by right.
    """
    return Resource.CARDS if spec.gpus > 0 else Resource.CPUS


def times_in(have: Amount, each: Amount, most: int) -> int:
    """How many times an amount is contained in another, at most ``most`` and at least 0."""
    if each[0] > 0:
        most = min(most, have[0] // each[0])
    if each[1] > 0:
        most = min(most, have[1] // each[1])
    return max(0, most)
