"""Fleet sizing: what to rent for the work that waits, and what to return.

Both are functions of the cluster, the last placement plan and the time.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from weldhead.bookkeeping.cluster import Cluster
from weldhead.bookkeeping.jobs import Job, Stop
from weldhead.bookkeeping.machines import EPSILON, Machine
from weldhead.clock import seconds_us
from weldhead.coordination.estimates import Estimates
from weldhead.coordination.placement import Plan, Room
from weldhead.protocol.wire import MachineType


@dataclass(frozen=True)
class FleetSettings:
    """The operators' choices."""

    keep_idle_us: int
    minimum_charge_us: int
    boot_patience: float
    boot_give_up: float
    freed_share: float
    most_per_request: int


@dataclass(frozen=True)
class Offer:
    """Something that can be rented."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """The price per hour."""
        return self.type.spot_price if self.spot else self.type.price


@dataclass
class Market:
    """What the cloud has said of late."""

    types: list[MachineType] = field(default_factory=list)
    #: Until when an offer is not asked for again, because it was refused.
    refused_until_us: dict[tuple[str, str, bool], int] = field(default_factory=dict)

    def offers(self, at_us: int) -> list[Offer]:
        """Return what may be asked for now."""
        found = []
        for machine_type in self.types:
            for zone in machine_type.zones:
                for spot in (True, False):
                    key = (machine_type.name, zone, spot)
                    if self.refused_until_us.get(key, 0) <= at_us:
                        found.append(Offer(machine_type, zone, spot))
        return found


def offer_allows(offer: Offer, job: Job) -> bool:
    """Whether a task of the job may run on such a machine."""
    return (
        offer.type.fits(job.spec)
        and (job.spec.zone is None or job.spec.zone == offer.zone)
        and (job.spec.spot or not offer.spot)
        and job.room_in_zone(offer.zone) > 0
    )


def is_late(machine: Machine, at_us: int, factor: float) -> bool:
    """Whether a machine takes much longer to boot than its type usually does."""
    limit_us = seconds_us(machine.type.boot_s * factor + 5.0)
    return machine.booting and at_us - machine.hired_us > limit_us


def plan_hires(
    cluster: Cluster,
    plan: Plan,
    market: Market,
    estimates: Estimates,
    at_us: int,
    settings: FleetSettings,
) -> dict[Offer, int]:
    """Decide how many of which machines to rent."""
    if not plan.unplaced:
        return {}
    coming = [
        Room(m)
        for m in cluster.machines.values()
        if not m.deleting
        and not m.draining
        and (
            (m.booting and not is_late(m, at_us, settings.boot_patience))
            or (not m.booting and not m.synced)
        )
    ]
    missing: list[tuple[Job, int]] = []
    for job, count in plan.unplaced:
        for room in coming:
            if count <= 0:
                break
            if room.machine.allows(job):
                number = min(count, room.fits(job))
                room.take(job, number)
                count -= number
        if count > 0:
            missing.append((job, count))
    hires: dict[Offer, int] = defaultdict(int)
    offers = market.offers(at_us)
    if not missing or not offers:
        return {}
    freed = freed_cpus(cluster, offers, estimates, at_us) * settings.freed_share
    # Room that running work leaves before a new machine is up serves the least urgent.
    for position in range(len(missing) - 1, -1, -1):
        job, count = missing[position]
        if job.spec.cpus <= 0 or freed < job.spec.cpus:
            continue
        served = min(count, int(freed / job.spec.cpus))
        freed -= served * job.spec.cpus
        missing[position] = (job, count - served)
    new_rooms: list[tuple[Offer, list[float]]] = []
    for job, count in missing:
        for offer, left in new_rooms:
            if count <= 0:
                break
            if offer_allows(offer, job):
                count -= _fill(left, job, count)
        while count > 0:
            best = _best_offer(job, count, missing, offers)
            if best is None:
                break
            left = [best.type.cpus, best.type.gpus, best.type.memory_gb]
            count -= _fill(left, job, count)
            new_rooms.append((best, left))
            hires[best] += 1
            if len(new_rooms) >= settings.most_per_request * 4:
                return dict(hires)
    return dict(hires)


def freed_cpus(cluster: Cluster, offers: list[Offer], estimates: Estimates, at_us: int) -> float:
    """Estimate how many CPUs running work gives back before a new machine is up."""
    horizon_us = seconds_us(min(offer.type.boot_s for offer in offers))
    total = 0.0
    for machine in cluster.machines.values():
        if machine.draining or machine.deleting or not machine.synced:
            continue
        for attempt in machine.attempts.values():
            if attempt.stop is Stop.NO and attempt.running_us:
                if estimates.remaining_us(attempt, at_us) < horizon_us:
                    total += attempt.job.spec.cpus
    return total


def _fill(room: list[float], job: Job, most: int) -> int:
    spec = job.spec
    for position, amount in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
        if amount > 0:
            most = min(most, int((room[position] + EPSILON) / amount))
    most = max(0, most)
    room[0] -= spec.cpus * most
    room[1] -= spec.gpus * most
    room[2] -= spec.memory_gb * most
    return most


def _best_offer(
    job: Job, count: int, missing: list[tuple[Job, int]], offers: list[Offer]
) -> Offer | None:
    """Return the offer that costs least for what would run on it."""
    demand = sum(other.spec.cpus * number for other, number in missing)
    best: tuple[float, float, Offer] | None = None
    for offer in offers:
        if not offer_allows(offer, job):
            continue
        room = [offer.type.cpus, offer.type.gpus, offer.type.memory_gb]
        fitting = _fill(room, job, job.spec.tasks)
        own = min(fitting, count) * job.spec.cpus
        used = max(own, min(offer.type.cpus, demand, fitting * job.spec.cpus))
        fetch_s = job.spec.image_gb / (offer.type.fetch_gb_per_s or 1.0)
        cost = offer.price / max(used, EPSILON)
        rank = (cost, offer.type.boot_s + fetch_s, offer)
        if best is None or rank[:2] < best[:2]:
            best = rank
    return best[2] if best else None


def plan_returns(cluster: Cluster, at_us: int, settings: FleetSettings) -> list[Machine]:
    """Decide which machines to return: idle ones, and those that never came up."""
    found = []
    for machine in cluster.machines.values():
        if machine.deleting or machine.posting:
            continue
        if is_late(machine, at_us, settings.boot_give_up):
            found.append(machine)
            continue
        if machine.booting or machine.attempts or machine.ghosts or not machine.synced:
            continue
        idle_us = at_us - machine.idle_since_us
        paid = at_us - machine.hired_us >= settings.minimum_charge_us
        if machine.draining or (idle_us >= settings.keep_idle_us and paid):
            found.append(machine)
    return found
