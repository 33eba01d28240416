"""What the cloud offers for rent, and what of it is under way."""

from dataclasses import dataclass, field

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import tasks_that_fit
from weldhead.protocol.wire import MachineType


@dataclass(frozen=True)
class RentalOffer:
    """Something that can be rented."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """The price per hour."""
        return self.type.spot_price if self.spot else self.type.price


@dataclass(frozen=True)
class PendingRental:
    """Machines that are being rented and have no names yet."""

    type: MachineType
    count: int
    #: Empty: not known, and so no zone's.
    zone: str = ""


@dataclass
class RentalOffers:
    """What the cloud has said of late."""

    types: list[MachineType] = field(default_factory=list)
    #: Until when an offer is not asked for again, because it was refused.
    refused_until_us: dict[tuple[str, str, bool], int] = field(default_factory=dict)

    def available(self, at_us: int) -> list[RentalOffer]:
        """Return what may be asked for now."""
        found = []
        for machine_type in self.types:
            for zone in machine_type.zones:
                for spot in (True, False):
                    key = (machine_type.name, zone, spot)
                    if self.refused_until_us.get(key, 0) <= at_us:
                        found.append(RentalOffer(machine_type, zone, spot))
        return found


def offer_allows(offer: RentalOffer, job: Job) -> bool:
    """Whether a task of the job may run on such a machine."""
    return (
        offer.type.fits(job.spec)
        and (job.spec.zone is None or job.spec.zone == offer.zone)
        and (job.spec.spot or not offer.spot)
        # Tasks that are about to be lost still count in their zones.
        and (not (job.spec.one_zone or job.spec.spread) or job.capacity_in_zone(offer.zone) > 0)
    )


def fill_room(room: list[float], job: Job, most: int) -> int:
    """Take the room of as many of a job's tasks as fit, ``most`` at the most; return how many."""
    spec = job.spec
    most = min(most, tasks_that_fit(spec, *room))
    room[0] -= spec.cpus * most
    room[1] -= spec.gpus * most
    room[2] -= spec.memory_gb * most
    return most
