"""Scale out: which machines to rent for work that waits too long.

Pure decisions on a snapshot of the cluster, the last placement plan and the time.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from functools import cache

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import EPSILON
from weldhead.provisioning.boot_times import BootExpectations
from weldhead.scheduling.autoscaling.arrival_rates import ArrivalRates
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.rental_offers import (
    PendingRental,
    RentalOffer,
    RentalOffers,
    fill_room,
    offer_allows,
)
from weldhead.scheduling.autoscaling.unmet_demand import DemandForecastInput, forecast_unmet_demand
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.reservations.wide_tasks import WideTaskForecast


def replacements(rentals: dict[RentalOffer, int], cpus: float) -> dict[RentalOffer, int]:
    """Return as many of the machines, the first ones first, as replace so many CPUs."""
    found: dict[RentalOffer, int] = {}
    for offer, count in rentals.items():
        taken = min(count, int(cpus / offer.type.cpus)) if offer.type.cpus else 0
        if taken > 0:
            found[offer] = taken
            cpus -= taken * offer.type.cpus
    return found


def usual_boots(settings: FleetSettings) -> BootExpectations:
    """Return what is expected of machines that boot while nothing is known of others."""
    return BootExpectations(settings.boots, settings.minimum_charge_us)


def plan_scale_out(
    cluster: Cluster,
    plan: PlacementPlan,
    rental_offers: RentalOffers,
    estimates: RunTimeEstimates,
    objectives: ServiceLevelObjectives,
    at_us: int,
    settings: FleetSettings,
    pending: Sequence[PendingRental] = (),
    demand: ArrivalRates | None = None,
    expected: Sequence[ExpectedDemand] = (),
    backlog: int = 0,
    silent: Collection[str] = (),
    boots: BootExpectations | None = None,
    ahead: Callable[[int], WideTaskForecast] | None = None,
) -> dict[RentalOffer, int]:
    """Decide how many of which machines to rent.

    Two patiences: cheap machines are rented as soon as work would wait longer than
    ``spot_patience``; dear ones only for work that would otherwise miss its goal.
    """
    offers = rental_offers.available(at_us)
    if not (plan.unplaced or expected) or not offers:
        return {}
    owned = sum(
        machine.type.cpus
        for machine in cluster.machines.values()
        if not machine.deleting and machine.name not in silent
    )
    owned += sum(item.type.cpus * item.count for item in pending)

    @cache
    def delay_factor_at(level: int) -> float:
        return demand.delay_factor(level, owned, at_us) if demand is not None else 1.0

    def delay_factor(job: Job) -> float:
        return delay_factor_at(job.effective_level)

    boot_us = seconds_us(min(offer.type.boot_s for offer in offers))
    boots = boots or usual_boots(settings)
    queue = CapacityForecast(cluster, pending, estimates, at_us, boots, silent)

    @cache
    def zone_queue(zone: str) -> CapacityForecast:
        return CapacityForecast(cluster, pending, estimates, at_us, boots, silent, zone=zone)

    given = DemandForecastInput(
        cluster,
        plan,
        estimates,
        objectives,
        settings,
        at_us,
        boot_us,
        delay_factor,
        expected,
        backlog,
        lambda: CapacityForecast(cluster, pending, estimates, at_us, boots, silent, gpus=True),
        zone_queue,
        ahead(at_us + boot_us) if ahead is not None else None,
    )
    unmet = forecast_unmet_demand(given, queue)
    rentals: dict[RentalOffer, int] = defaultdict(int)
    cheap = [offer for offer in offers if offer.spot]
    rooms = _rent_for(unmet.deferrable, cheap, rentals, [], settings)
    # More dear machines than this would share the backlog so thinly that they are idle
    # before they have been paid for; one is always allowed.
    capacity = owned + sum(offer.type.cpus * number for offer, number in rentals.items())
    worthwhile = unmet.backlog_us / settings.payback_us - capacity
    _rent_for(unmet.urgent, offers, rentals, rooms, settings, worthwhile)
    return dict(rentals)


def _rent_for(
    missing: list[tuple[Job, int]],
    offers: list[RentalOffer],
    rentals: dict[RentalOffer, int],
    rooms: list[tuple[RentalOffer, list[float]]],
    settings: FleetSettings,
    dear_cpus: float = 0.0,
) -> list[tuple[RentalOffer, list[float]]]:
    """Add machines for the missing tasks; ``rooms`` are those hired already this time."""
    rooms = [
        (offer, [offer.type.cpus, offer.type.gpus, offer.type.memory_gb]) for offer, _ in rooms
    ]
    dear = 0.0
    for job, count in missing:
        for offer, left in rooms:
            if count <= 0:
                break
            if offer_allows(offer, job):
                count -= fill_room(left, job, count)
        while count > 0 and len(rooms) < settings.most_per_look:
            best = _best_offer(job, count, missing, offers)
            if best is None:
                break
            if not best.spot:
                if dear and dear + best.type.cpus > dear_cpus:
                    return rooms
                dear += best.type.cpus
            left = [best.type.cpus, best.type.gpus, best.type.memory_gb]
            count -= fill_room(left, job, count)
            rooms.append((best, left))
            rentals[best] += 1
    return rooms


def _best_offer(
    job: Job, count: int, missing: list[tuple[Job, int]], offers: list[RentalOffer]
) -> RentalOffer | None:
    """Return the offer that costs least for what would run on it."""
    demand = sum(other.spec.cpus * number for other, number in missing)
    best: tuple[float, float, RentalOffer] | None = None
    for offer in offers:
        if not offer_allows(offer, job):
            continue
        room = [offer.type.cpus, offer.type.gpus, offer.type.memory_gb]
        fitting = fill_room(room, job, job.spec.tasks)
        own = min(fitting, count) * job.spec.cpus
        used = max(own, min(offer.type.cpus, demand, fitting * job.spec.cpus))
        fetch_s = job.spec.image_gb / (offer.type.fetch_gb_per_s or 1.0)
        cost = offer.price / max(used, EPSILON)
        rank = (cost, offer.type.boot_s + fetch_s, offer)
        if best is None or rank[:2] < best[:2]:
            best = rank
    return best[2] if best else None
