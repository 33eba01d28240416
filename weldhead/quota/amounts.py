"""Exact amounts of CPUs and GPUs, as integers in millionths. No I/O.

Amounts are decimals on the wire. Sums of floats accumulate rounding errors, and a team whose sum
is a billionth above its guarantee has not borrowed anything; so amounts are summed as integers.
"""

import enum
import math
from functools import lru_cache

from weldhead.protocol.wire import JobSpec

#: Units in one CPU or one GPU.
UNITS = 1_000_000

#: No limit; larger than any sum of amounts.
UNBOUNDED = 1 << 62

#: Maximum distance, in units, between a product of floats and the integer that it stands for.
_MAX_ROUNDING_ERROR = 1e-3


class Resource(enum.IntEnum):
    """A resource with a quota; the value is its index in an ``Amount``."""

    CPUS = 0
    GPUS = 1


#: Units of CPUs and units of GPUs.
Amount = tuple[int, int]
ZERO_AMOUNT: Amount = (0, 0)


@lru_cache(maxsize=4096)
def required_units(amount: float) -> int:
    """Convert the amount that a task requires to units; a fraction of a unit is rounded up."""
    if math.isinf(amount):
        return UNBOUNDED
    units = round(amount * UNITS)
    return units + 1 if amount * UNITS - units > _MAX_ROUNDING_ERROR else units


@lru_cache(maxsize=4096)
def allowed_units(amount: float) -> int:
    """Convert a guarantee or a limit to units; a fraction of a unit is rounded down."""
    if math.isinf(amount):
        return UNBOUNDED
    units = round(amount * UNITS)
    return units - 1 if units - amount * UNITS > _MAX_ROUNDING_ERROR else units


def required_amounts(spec: JobSpec) -> Amount:
    """Return the amount that one task of a job requires."""
    return required_units(spec.cpus), required_units(spec.gpus)


def claimed_resource(spec: JobSpec) -> Resource:
    """Return the resource whose guarantee applies to a task: GPUS if it requires any GPU.

    The CPUs of a GPU machine are used along with its GPUs. If both guarantees applied, a team
    with a guarantee of GPUs and none of CPUs could use none of its GPUs within its guarantee.
    """
    return Resource.GPUS if spec.gpus > 0 else Resource.CPUS


def count_fitting_tasks(available: Amount, per_task: Amount, max_tasks: int) -> int:
    """Return how many tasks fit into an available amount, from 0 to ``max_tasks``."""
    if per_task[0] > 0:
        max_tasks = min(max_tasks, available[0] // per_task[0])
    if per_task[1] > 0:
        max_tasks = min(max_tasks, available[1] // per_task[1])
    return max(0, max_tasks)
