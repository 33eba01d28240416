"""Ranking of machines for a job: image at hand, price, tightest fit."""

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.protocol.wire import JobSpec
from weldhead.scheduling.placement.free_capacity import FreeCapacity

#: Seconds of image fetching that are worth not starting on an idle machine, and on one that
#: is rented at the ordinary price: those are to fall idle and be returned.
IDLE_PENALTY = 5.0


FIT_WEIGHT = 4.0


DEAR_PENALTY = 8.0


CLOSING_PENALTY = 60.0


#: The same, of work without cards on a machine that has some: its cards were bare of CPUs
#: while work that takes them waited.
CARDS_PENALTY = 60.0


#: A card that is left over weighs more than CPUs: tasks of several need them on one machine.
CARD_FIT_WEIGHT = 8.0


def fetch_delay_us(job: Job, room: FreeCapacity) -> int:
    """Estimate how long the image takes to arrive on a machine."""
    spec = job.spec
    machine = room.machine
    if spec.image_gb <= 0 or (spec.image in machine.images and not _too_large(spec, machine)):
        return 0
    rate = machine.type.fetch_gb_per_s or 1.0
    alone_us = seconds_us(spec.image_gb / rate)
    if spec.image in room.wanted_images():
        return alone_us // 2
    return alone_us * (1 + room.image_pulls())


def _too_large(spec: JobSpec, machine: Machine) -> bool:
    """Whether weights are more than the cache holds, so that they are there only while used."""
    return spec.gpus > 0 and spec.image_gb > machine.type.cache_gb


def score(job: Job, room: FreeCapacity, fetch_weight: float) -> float:
    """Rank machines for a job, lower first: image at hand, price, tightest fit.

    Work without cards goes where there are none; work with cards where they are left over.
    """
    delay_s = fetch_delay_us(job, room) / SECOND_US * fetch_weight
    # A started machine's money is spent anyway: fill used ones so that others fall idle.
    idle = 0.0 if room.used else IDLE_PENALTY
    dear = 0.0 if room.machine.spot else DEAR_PENALTY
    if room.machine.scale_in_candidate:
        dear += CLOSING_PENALTY
    left = FIT_WEIGHT * room.cpus / room.machine.type.cpus if room.machine.type.cpus else 0.0
    if room.machine.type.gpus > 0:
        if job.spec.gpus > 0:
            left = CARD_FIT_WEIGHT * room.gpus / room.machine.type.gpus
        else:
            left += CARDS_PENALTY
    return delay_s + idle + dear + left
