"""Machines that the cloud offers for rent, and rentals that are not completed yet."""

from dataclasses import dataclass, field

from weldhead.cluster_state.jobs import Job
from weldhead.protocol.wire import MachineType


@dataclass(frozen=True)
class RentalOffer:
    """A machine type in a zone, as a spot or an on-demand machine."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """The price per hour."""
        return self.type.spot_price if self.spot else self.type.price


@dataclass(frozen=True)
class PendingRental:
    """Machines of a rental request whose result, and so their names, is not known yet."""

    type: MachineType
    count: int
    #: The zone; empty if it is not known, which matches no zone.
    zone: str = ""
    spot: bool = False


@dataclass
class RentalOffers:
    """The catalog of machine types, and the offers that the cloud refused recently."""

    types: list[MachineType] = field(default_factory=list)
    #: By machine type, zone and spot: until when a refused offer is not requested again.
    refused_until_us: dict[tuple[str, str, bool], int] = field(default_factory=dict)

    def available(self, at_us: int) -> list[RentalOffer]:
        """Return the offers that may be requested now."""
        offers = []
        for machine_type in self.types:
            for zone in machine_type.zones:
                for spot in (True, False):
                    key = (machine_type.name, zone, spot)
                    if self.refused_until_us.get(key, 0) <= at_us:
                        offers.append(RentalOffer(machine_type, zone, spot))
        return offers


def can_run_on_offer(offer: RentalOffer, job: Job) -> bool:
    """Whether a task of the job may run on a machine of the offer."""
    return (
        offer.type.fits(job.spec)
        and (job.spec.zone is None or job.spec.zone == offer.zone)
        and (job.spec.spot or not offer.spot)
        # Tasks that are about to be lost still count toward the limit of their zone.
        and (not (job.spec.one_zone or job.spec.spread) or job.capacity_in_zone(offer.zone) > 0)
    )
