"""Scale out: which machines to rent for tasks that would wait too long.

The decisions are pure functions of a snapshot of the cluster, the last placement plan and the
time.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from functools import cache

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import EPSILON, allocate_tasks, empty_amounts, tasks_that_fit
from weldhead.provisioning.boot_times import BootExpectations
from weldhead.scheduling.autoscaling.arrival_rates import ArrivalRates
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.machine_availability import MachineAvailability
from weldhead.scheduling.autoscaling.rental_offers import (
    PendingRental,
    RentalOffer,
    RentalOffers,
    can_run_on_offer,
)
from weldhead.scheduling.autoscaling.unmet_demand import DemandForecastInput, forecast_unmet_demand
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.reservations.wide_tasks import WideTaskForecast


def limit_rentals(rentals: dict[RentalOffer, int], max_cpus: float) -> dict[RentalOffer, int]:
    """Return as many of the machines, in their order, as have at most ``max_cpus`` together."""
    limited: dict[RentalOffer, int] = {}
    for offer, count in rentals.items():
        allowed = min(count, int(max_cpus / offer.type.cpus)) if offer.type.cpus else 0
        if allowed > 0:
            limited[offer] = allowed
            max_cpus -= allowed * offer.type.cpus
    return limited


def default_boot_expectations(settings: FleetSettings) -> BootExpectations:
    """Return the expected boots of machines while nothing is known of other boots."""
    return BootExpectations(settings.boot_expectation, settings.minimum_charge_us)


def plan_scale_out(
    cluster: Cluster,
    plan: PlacementPlan,
    rental_offers: RentalOffers,
    estimates: RunTimeEstimates,
    objectives: ServiceLevelObjectives,
    at_us: int,
    settings: FleetSettings,
    pending: Sequence[PendingRental] = (),
    arrival_rates: ArrivalRates | None = None,
    expected_demand: Sequence[ExpectedDemand] = (),
    backlog_size: int = 0,
    silent_machines: Collection[str] = (),
    boot_expectations: BootExpectations | None = None,
    wide_task_forecast: Callable[[int], WideTaskForecast] | None = None,
) -> dict[RentalOffer, int]:
    """Return the offers to rent, each with the number of machines.

    Spot machines are rented as soon as tasks would wait longer than ``spot_patience_us``.
    On-demand machines are rented only for tasks that would otherwise miss their target.
    ``silent_machines`` are the names of machines whose capacity is not counted.
    ``wide_task_forecast`` creates the forecast for wide tasks as of the given time.
    """
    offers = rental_offers.available(at_us)
    if not (plan.unplaced or expected_demand) or not offers:
        return {}
    fleet_cpus = sum(
        machine.type.cpus
        for machine in cluster.machines.values()
        if not machine.deleting and machine.name not in silent_machines
    )
    fleet_cpus += sum(item.type.cpus * item.count for item in pending)

    @cache
    def delay_factor_of_level(level: int) -> float:
        return (
            arrival_rates.delay_factor(level, fleet_cpus, at_us)
            if arrival_rates is not None
            else 1.0
        )

    def delay_factor(job: Job) -> float:
        return delay_factor_of_level(job.effective_level)

    boot_us = seconds_us(min(offer.type.boot_s for offer in offers))
    boots = boot_expectations or default_boot_expectations(settings)
    cpu_forecast = CapacityForecast(cluster, pending, estimates, at_us, boots, silent_machines)

    @cache
    def zone_forecast(zone: str) -> CapacityForecast:
        return CapacityForecast(
            cluster, pending, estimates, at_us, boots, silent_machines, zone=zone
        )

    forecast_input = DemandForecastInput(
        cluster,
        plan,
        estimates,
        objectives,
        settings,
        at_us,
        boot_us,
        delay_factor,
        expected_demand,
        backlog_size,
        lambda: CapacityForecast(
            cluster, pending, estimates, at_us, boots, silent_machines, gpus=True
        ),
        zone_forecast,
        wide_task_forecast(at_us + boot_us) if wide_task_forecast is not None else None,
        MachineAvailability(
            cluster,
            pending,
            estimates,
            at_us,
            boots,
            silent_machines,
            at_us + boot_us,
            plan.gpu_reservation,
        ),
    )
    unmet = forecast_unmet_demand(forecast_input, cpu_forecast)
    rentals: dict[RentalOffer, int] = defaultdict(int)
    spot_offers = [offer for offer in offers if offer.spot]
    rented = _add_rentals(unmet.deferrable, spot_offers, rentals, [], settings)
    # With more on-demand machines than this, each would get so little of the backlog that it
    # would be idle before it has paid for itself. One machine is always allowed.
    capacity = fleet_cpus + sum(offer.type.cpus * count for offer, count in rentals.items())
    max_on_demand_cpus = unmet.backlog_cpu_us / settings.payback_us - capacity
    _add_rentals(unmet.urgent, offers, rentals, rented, settings, max_on_demand_cpus)
    return dict(rentals)


def _add_rentals(
    demand: list[tuple[Job, int]],
    offers: list[RentalOffer],
    rentals: dict[RentalOffer, int],
    rented: list[tuple[RentalOffer, list[float]]],
    settings: FleetSettings,
    max_on_demand_cpus: float = 0.0,
) -> list[tuple[RentalOffer, list[float]]]:
    """Add machines for the demand to ``rentals``; return the machines rented in this run.

    ``rented`` are the machines that an earlier call for this run returned. They are used first,
    as empty machines. Each returned machine is its offer and its remaining amounts.
    """
    rented = [(offer, empty_amounts(offer.type)) for offer, _ in rented]
    on_demand_cpus = 0.0
    for job, count in demand:
        for offer, remaining in rented:
            if count <= 0:
                break
            if can_run_on_offer(offer, job):
                count -= allocate_tasks(remaining, job, count)
        while count > 0 and len(rented) < settings.max_machines_per_run:
            best = _choose_offer(job, count, demand, offers)
            if best is None:
                break
            if not best.spot:
                if on_demand_cpus and on_demand_cpus + best.type.cpus > max_on_demand_cpus:
                    return rented
                on_demand_cpus += best.type.cpus
            remaining = empty_amounts(best.type)
            count -= allocate_tasks(remaining, job, count)
            rented.append((best, remaining))
            rentals[best] += 1
    return rented


def _choose_offer(
    job: Job, count: int, demand: list[tuple[Job, int]], offers: list[RentalOffer]
) -> RentalOffer | None:
    """Return the offer with the lowest price per CPU that the demand would use on the machine."""
    demand_cpus = sum(other.spec.cpus * other_count for other, other_count in demand)
    best: tuple[float, float, RentalOffer] | None = None
    for offer in offers:
        if not can_run_on_offer(offer, job):
            continue
        fitting = tasks_that_fit(job.spec, *empty_amounts(offer.type))
        job_cpus = min(fitting, count) * job.spec.cpus
        used_cpus = max(job_cpus, min(offer.type.cpus, demand_cpus, fitting * job.spec.cpus))
        fetch_s = job.spec.image_gb / (offer.type.fetch_gb_per_s or 1.0)
        cost = offer.price / max(used_cpus, EPSILON)
        rank = (cost, offer.type.boot_s + fetch_s, offer)
        if best is None or rank[:2] < best[:2]:
            best = rank
    return best[2] if best else None
