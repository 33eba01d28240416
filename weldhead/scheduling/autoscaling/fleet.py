"""Fleet sizing: what to rent for the work that waits, and what to return.

Both are functions of the cluster, the last placement plan and the time.
"""

import heapq
import math
from collections import defaultdict, deque
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import cache
from itertools import islice

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, AttemptPhase, Job, StopRequest, TaskState
from weldhead.cluster_state.machines import EPSILON, Machine, tasks_that_fit
from weldhead.protocol.wire import MachineType, split_task
from weldhead.provisioning.boot_times import BootExpectation, BootExpectations
from weldhead.quota.teams import within_guarantee
from weldhead.scheduling.autoscaling.arrival_rates import ArrivalRates
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, slack_us
from weldhead.scheduling.placement.placement import PlacementPlan, usable
from weldhead.scheduling.reservations.holding import WideTaskForecast


@dataclass(frozen=True)
class FleetSettings:
    """The operators' choices."""

    keep_idle_us: int
    keep_idle_spot_us: int
    spot_patience_us: int
    overdue_patience_us: int
    payback_us: int
    goal_margin: float
    reserve: float
    minimum_charge_us: int
    boots: BootExpectation
    most_per_look: int
    move_worth_us: int
    move_loss: float
    most_moves: int
    foresight_us: int
    most_considered: int


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


@dataclass(frozen=True)
class ExpectedDemand:
    """Work that does not wait for room yet, and when it is expected to.

    A job that waits for others, until those are done; or tasks on machines that are silent
    (``at_risk``), until their leases are over.
    """

    job: Job
    starts_us: int
    at_risk: int = 0

    def tasks(self, cluster: Cluster) -> int:
        """How many of its tasks will want room at once, as its team's limit allows."""
        if self.at_risk:
            return self.at_risk
        team = cluster.teams[self.job.team]
        return tasks_that_fit(self.job.spec, team.cpus_max, team.gpus_max)


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


def endangered(silent: Iterable[Machine], at_us: int, lease_us: int) -> list[ExpectedDemand]:
    """Return the tasks on silent machines, as work that will want room if they stay silent.

    Where many machines fall silent at once nothing is given up on before their leases are
    over, as it may be the network; but machines that replace them take a boot to come, and
    are asked for at once. If the silent ones live, the cloud has no such room, or what came
    too much is returned.
    """
    lost: dict[str, tuple[Job, int, int]] = {}
    for machine in silent:
        over_us = max(at_us, machine.last_heartbeat_us + lease_us)
        for attempt in machine.attempts.values():
            job = attempt.job
            if not job.cancelled and not job.spec.is_service:
                _, count, latest_us = lost.get(job.id, (job, 0, 0))
                lost[job.id] = job, count + 1, max(latest_us, over_us)
    return [ExpectedDemand(job, over_us, count) for job, count, over_us in lost.values()]


def replacements(hires: dict[RentalOffer, int], cpus: float) -> dict[RentalOffer, int]:
    """Return as many of the machines, the first ones first, as replace so many CPUs."""
    found: dict[RentalOffer, int] = {}
    for offer, count in hires.items():
        taken = min(count, int(cpus / offer.type.cpus)) if offer.type.cpus else 0
        if taken > 0:
            found[offer] = taken
            cpus -= taken * offer.type.cpus
    return found


def usual_boots(settings: FleetSettings) -> BootExpectations:
    """Return what is expected of machines that boot while nothing is known of others."""
    return BootExpectations(settings.boots, settings.minimum_charge_us)


#: How much sooner, in times of the fetch, a machine must go for a move that costs a fetch.
FETCH_WEIGHT = 4
#: A task that begins anew must be in time by so much more: it may have to fetch its image.
ANEW_US = 15 * SECOND_US


class CapacityForecast:
    """A coarse forecast: waiting tasks take CPUs in order, as running ones give them back."""

    def __init__(
        self,
        cluster: Cluster,
        coming: Iterable[PendingRental],
        estimates: RunTimeEstimates,
        at_us: int,
        boots: BootExpectations,
        silent: Collection[str] = (),
        *,
        cards: bool = False,
        zone: str | None = None,
    ) -> None:
        """Look at CPUs, or at cards for work that takes any; of one zone alone, if it is given."""
        pools: dict[int, float] = defaultdict(float)
        for item in coming:
            if zone is not None and item.zone != zone:
                continue
            amount = item.type.gpus if cards else item.type.cpus
            pools[at_us + seconds_us(item.type.boot_s)] += amount * item.count
        away = set(silent)
        for machine in cluster.machines.values():
            elsewhere = zone is not None and machine.zone != zone
            if machine.deleting or machine.draining or elsewhere or machine.name in away:
                away.add(machine.name)
            elif machine.booting:
                if not boots.is_late(machine, at_us):
                    amount = machine.gpus if cards else machine.cpus
                    pools[boots.ready_us(machine, at_us)] += amount
            elif (amount := machine.gpus if cards else machine.cpus) > EPSILON:
                pools[at_us] += amount
        for job in cluster.active_jobs.values():
            if job.spec.is_service:
                continue
            task_us, amount = estimates.task_us(job), job.spec.gpus if cards else job.spec.cpus
            if cards and amount <= 0:
                continue
            for end_us in job.expected_ends_us(task_us, at_us, away):
                pools[end_us] += amount
        #: When how many CPUs are given back. What comes at one moment is one item, as are
        #: tasks that start together: their number is not what this costs.
        self._heap = list(pools.items())
        heapq.heapify(self._heap)

    def schedule(
        self, cpus: float, run_us: int, ready_us: int = 0, count: int = 1
    ) -> Iterator[tuple[int | None, int]]:
        """Let tasks run as early as they can; yield when how many of them start.

        None: they never can. One that becomes ready later leaves what it takes to nobody
        until then: room for the next stage of a chain is there when it is released.
        """
        heap = self._heap
        while count > 0:
            taken: list[tuple[int, float]] = []
            found = 0.0
            while found + EPSILON < cpus:
                if not heap:
                    for item in taken:
                        heapq.heappush(heap, item)
                    yield None, count
                    return
                item = heapq.heappop(heap)
                taken.append(item)
                found += item[1]
            free_us = taken[-1][0] if taken else 0
            start_us = max(ready_us, free_us)
            together = min(count, int((found + EPSILON) / cpus)) if cpus > 0 else count
            rest = found - cpus * together
            if rest > EPSILON:
                heapq.heappush(heap, (free_us, rest))
            heapq.heappush(heap, (start_us + run_us, cpus * together))
            yield start_us, together
            count -= together


@dataclass
class UnmetDemand:
    """Waiting tasks that want machines, as many of each job as are to run side by side."""

    #: Those that would wait for long.
    deferrable: list[tuple[Job, int]] = field(default_factory=list)
    #: Those that would be late.
    urgent: list[tuple[Job, int]] = field(default_factory=list)
    #: All work that would start later than a machine that is rented now.
    backlog_us: float = 0.0


def forecast_unmet_demand(
    cluster: Cluster,
    plan: PlacementPlan,
    queue: CapacityForecast,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives,
    at_us: int,
    boot_us: int,
    stretches: Callable[[Job], float],
    settings: FleetSettings,
    upcoming: Sequence[ExpectedDemand] = (),
    backlog: int = 0,
    cards: Callable[[], CapacityForecast] | None = None,
    ahead: WideTaskForecast | None = None,
    in_zone: Callable[[str], CapacityForecast] | None = None,
) -> UnmetDemand:
    """Forecast what waits too long if nothing more is rented.

    ``backlog`` is how many jobs wait; of very many only the foremost are looked at. ``cards``
    makes the queue for cards, in which work that takes any has its place besides: free CPUs
    elsewhere are no room for it, and nothing was rented for it while there were some.
    ``in_zone`` makes the queue of one zone, for the same reason.
    """
    of_cards: CapacityForecast | None = None
    missing = UnmetDemand()
    boot_up_us = at_us + boot_us
    held = defaultdict(float, {team: usage.cpus for team, usage in cluster.usage.items()})
    waiting = ((job, count, at_us) for job, count in plan.unplaced)
    wanted = list(islice(waiting, settings.most_considered))
    more = any(True for _ in waiting)
    for item in upcoming:
        # What will be lost is no use that stands in its own way.
        held[item.job.team] -= item.at_risk * item.job.spec.cpus
    wanted += [(item.job, item.tasks(cluster), item.starts_us) for item in upcoming]
    for job, count, ready_us in wanted:
        # Nothing can be too late for a job before it is released.
        up_us = max(boot_up_us, ready_us)
        task_us = estimates.task_us(job)
        target_us = goals.target_us(job, task_us, up_us)
        # No money brings in time what is late already; it only must not wait for ever.
        lost = up_us + task_us > target_us
        # The forecast is hopeful: it knows neither preemption nor leftover room.
        target_us -= round((target_us - job.runnable_since_us) * settings.goal_margin)
        # What a team is guaranteed need not wait for others, however patient the job is.
        # (A job that still waits for others has no waiting tasks by which to count.)
        team = cluster.teams[job.team]
        guaranteed = tasks_that_fit(job.spec, team.cpus - held[job.team], team.gpus) >= count
        if job.spec.gpus > 0:
            cpus, used = cluster.usage[job.team].units
            guaranteed = within_guarantee(team, (cpus, used), job.spec, count) >= count
        held[job.team] += job.spec.cpus * count
        late_us = settings.overdue_patience_us if lost else max(0, target_us - task_us - up_us)
        bound_us = up_us if guaranteed else up_us + late_us
        stretch = stretches(job)
        slow = late = 0
        taken = queue.schedule(job.spec.cpus, task_us, ready_us, count)
        if job.spec.gpus > 0 and cards is not None:
            of_cards = of_cards or cards()
            deque(taken, maxlen=0)
            taken = of_cards.schedule(job.spec.gpus, task_us, ready_us, count)
        starts = list(taken)
        if job.spec.zone is not None and in_zone is not None:
            there = in_zone(job.spec.zone).schedule(job.spec.cpus, task_us, ready_us, count)
            starts = max(starts, list(there), key=_last_start_us)
        for start_us, together in starts:
            never = start_us is None
            start_us = 0 if start_us is None else ready_us + round((start_us - ready_us) * stretch)
            # A machine rented now is up only after its boot: it helps only what would
            # start later than that, however long it has to wait until then.
            if never or start_us > up_us:
                missing.backlog_us += job.spec.cpus * task_us * together
            if never or start_us > up_us + settings.spot_patience_us:
                slow += together
            if never or start_us > bound_us:
                late += together
        if ahead is not None and (short := ahead.shortfall(job, count)):
            slow, late = max(slow, short), max(late, short)
        # Tasks that a new machine can run one after the other and still be in time.
        turns = max(1, (target_us - up_us) // max(1, task_us))
        if slow:
            short = max(1, settings.spot_patience_us // max(1, task_us))
            missing.deferrable.append((job, -(-slow // short)))
        if late:
            missing.urgent.append((job, -(-late // turns)))
    if more:
        # Those behind are taken to be like those that were looked at.
        missing.backlog_us *= max(1.0, backlog / len(wanted))
    return missing


def _last_start_us(starts: list[tuple[int | None, int]]) -> float:
    """Return when the last of these tasks starts; infinite if one never can."""
    return max((math.inf if at_us is None else at_us for at_us, _ in starts), default=0.0)


def plan_scale_out(
    cluster: Cluster,
    plan: PlacementPlan,
    market: RentalOffers,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives,
    at_us: int,
    settings: FleetSettings,
    coming: Sequence[PendingRental] = (),
    demand: ArrivalRates | None = None,
    upcoming: Sequence[ExpectedDemand] = (),
    backlog: int = 0,
    silent: Collection[str] = (),
    boots: BootExpectations | None = None,
    ahead: Callable[[int], WideTaskForecast] | None = None,
) -> dict[RentalOffer, int]:
    """Decide how many of which machines to rent.

    Two patiences: cheap machines are rented as soon as work would wait longer than
    ``spot_patience``; dear ones only for work that would otherwise miss its goal.
    """
    offers = market.available(at_us)
    if not (plan.unplaced or upcoming) or not offers:
        return {}
    owned = sum(
        machine.type.cpus
        for machine in cluster.machines.values()
        if not machine.deleting and machine.name not in silent
    )
    owned += sum(item.type.cpus * item.count for item in coming)

    @cache
    def stretch_at(level: int) -> float:
        return demand.delay_factor(level, owned, at_us) if demand is not None else 1.0

    def stretches(job: Job) -> float:
        return stretch_at(job.effective_level)

    boot_us = seconds_us(min(offer.type.boot_s for offer in offers))
    boots = boots or usual_boots(settings)
    queue = CapacityForecast(cluster, coming, estimates, at_us, boots, silent)

    @cache
    def in_zone(zone: str) -> CapacityForecast:
        return CapacityForecast(cluster, coming, estimates, at_us, boots, silent, zone=zone)

    missing = forecast_unmet_demand(
        cluster,
        plan,
        queue,
        estimates,
        goals,
        at_us,
        boot_us,
        stretches,
        settings,
        upcoming,
        backlog,
        lambda: CapacityForecast(cluster, coming, estimates, at_us, boots, silent, cards=True),
        ahead(at_us + boot_us) if ahead is not None else None,
        in_zone,
    )
    hires: dict[RentalOffer, int] = defaultdict(int)
    cheap = [offer for offer in offers if offer.spot]
    rooms = _rent_for(missing.deferrable, cheap, hires, [], settings)
    # More dear machines than this would share the backlog so thinly that they are idle
    # before they have been paid for; one is always allowed.
    capacity = owned + sum(offer.type.cpus * number for offer, number in hires.items())
    worthwhile = missing.backlog_us / settings.payback_us - capacity
    _rent_for(missing.urgent, offers, hires, rooms, settings, worthwhile)
    return dict(hires)


def _rent_for(
    missing: list[tuple[Job, int]],
    offers: list[RentalOffer],
    hires: dict[RentalOffer, int],
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
                count -= _fill(left, job, count)
        while count > 0 and len(rooms) < settings.most_per_look:
            best = _best_offer(job, count, missing, offers)
            if best is None:
                break
            if not best.spot:
                if dear and dear + best.type.cpus > dear_cpus:
                    return rooms
                dear += best.type.cpus
            left = [best.type.cpus, best.type.gpus, best.type.memory_gb]
            count -= _fill(left, job, count)
            rooms.append((best, left))
            hires[best] += 1
    return rooms


def _fill(room: list[float], job: Job, most: int) -> int:
    spec = job.spec
    most = min(most, tasks_that_fit(spec, *room))
    room[0] -= spec.cpus * most
    room[1] -= spec.gpus * most
    room[2] -= spec.memory_gb * most
    return most


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
        fitting = _fill(room, job, job.spec.tasks)
        own = min(fitting, count) * job.spec.cpus
        used = max(own, min(offer.type.cpus, demand, fitting * job.spec.cpus))
        fetch_s = job.spec.image_gb / (offer.type.fetch_gb_per_s or 1.0)
        cost = offer.price / max(used, EPSILON)
        rank = (cost, offer.type.boot_s + fetch_s, offer)
        if best is None or rank[:2] < best[:2]:
            best = rank
    return best[2] if best else None


def choose_scale_in_candidates(
    cluster: Cluster,
    plan: PlacementPlan,
    settings: FleetSettings,
    upcoming: Sequence[ExpectedDemand] = (),
) -> set[str]:
    """Choose machines that are no longer needed, so that they are filled last.

    The rest must have room for what runs on them, for what is about to become runnable, and
    a reserve besides. Those that cost most for what runs on them go first.
    """
    open_machines = [
        m
        for m in cluster.machines.values()
        if m.reconciled and not m.draining and not m.deleting and not m.not_receiving
    ]
    if plan.unplaced or not open_machines:
        return set()
    used = {m.name: m.type.cpus - m.cpus for m in open_machines}
    free = sum(m.cpus for m in open_machines)
    reserve = settings.reserve * sum(used.values())
    reserve += sum(item.tasks(cluster) * item.job.spec.cpus for item in upcoming)

    def waste(machine: Machine) -> float:
        return machine.price / (used[machine.name] + 0.1 * machine.type.cpus)

    closing: set[str] = set()
    for machine in sorted(open_machines, key=waste, reverse=True):
        if free - machine.type.cpus < reserve:
            continue
        free -= machine.type.cpus
        closing.add(machine.name)
    return closing


@dataclass(frozen=True)
class MachineDrain:
    """A machine to be emptied, and which of its tasks go on or begin anew elsewhere."""

    machine: Machine
    attempts: list[Attempt]
    #: How much sooner the machine can go.
    gain_us: int


def plan_consolidation(
    cluster: Cluster,
    plan: PlacementPlan,
    estimates: RunTimeEstimates,
    at_us: int,
    settings: FleetSettings,
    silence_us: int,
    goals: ServiceLevelObjectives | None = None,
) -> list[MachineDrain]:
    """Choose closing machines to be emptied by moving their tasks, the dearest first.

    Only while nothing waits; only to machines that stay; and only if the machine can go
    ``move_worth`` sooner for it. Tasks that save go on there, others begin anew where little
    is lost (``_unloading``). Machines that have the image come first; to fetch it must be
    worth FETCH_WEIGHT times its time. After a backlog long tasks hold machines that are
    otherwise empty: without moves a seventh of a day's money went there (found at size).
    """
    if plan.unplaced:
        return []
    closing: list[tuple[float, MachineDrain]] = []
    targets: list[tuple[Machine, list[float]]] = []
    for machine in cluster.machines.values():
        if not usable(machine, at_us, silence_us):
            continue
        if not machine.scale_in_candidate:
            if machine.cpus > EPSILON:
                targets.append((machine, [machine.cpus, machine.gpus, machine.memory_gb]))
        elif machine.attempts:
            move = _unloading(machine, estimates, goals, at_us, settings.move_loss)
            if move is not None and move.gain_us >= settings.move_worth_us:
                closing.append((machine.price * move.gain_us, move))
    closing.sort(key=lambda item: (-item[0], item[1].machine.name))
    # Fullest first, so that others stay empty.
    targets.sort(key=lambda item: item[1][0])
    return [
        move
        for _, move in closing[: settings.most_moves]
        if _find_places(move, targets, settings.move_worth_us)
    ]


def movable(attempt: Attempt) -> bool:
    """Whether a task may go on elsewhere at little cost, whatever its job's other tasks do."""
    return attempt.job.spec.checkpoint_s > 0 and _may_move(attempt)


def _may_move(attempt: Attempt) -> bool:
    spec = attempt.job.spec
    # What a gate holds goes on where it runs, and would not start again elsewhere.
    free = attempt.job.blocking_gate is None
    return free and not spec.is_service and not spec.one_zone and not spec.spread


def _may_begin_anew(
    attempt: Attempt, estimates: RunTimeEstimates, goals: ServiceLevelObjectives, at_us: int
) -> bool:
    """Whether a task that saves nothing may begin anew elsewhere now, and be in time.

    Only idle work that nobody waits for: where tasks with deadlines and of chains began anew
    as well, nine days of other sites lost 0.014 on the mean, as estimates are rough.
    """
    if not _may_move(attempt) or attempt.adopted or attempt.job.effective_level > 0:
        return False
    if attempt.job.due_us is not None or attempt.job.inherited_due_us:
        return False
    job, task_us = attempt.job, estimates.task_us(attempt.job)
    remaining_us = estimates.remaining_us(attempt, at_us)
    bound_us = goals.target_us(job, remaining_us, at_us)
    # As late as estimates are rough, or later still.
    return at_us + task_us + slack_us(task_us) + ANEW_US <= bound_us


def _unloading(
    machine: Machine,
    estimates: RunTimeEstimates,
    goals: ServiceLevelObjectives | None,
    at_us: int,
    most_loss: float,
) -> MachineDrain | None:
    """Return which tasks would have to leave a machine for it to go sooner; None: nothing helps.

    A task that saves nothing loses what it has run. Where that is a small part of what the
    machine would cost until it ends, it is the cheaper of the two: a burst of long small
    tasks kept hundreds of CPUs idle for minutes (found with a guest's, on its sites).
    """
    leaving: list[Attempt] = []
    anew: list[Attempt] = []
    saving_us = staying_us = leaving_us = anew_us = 0
    lost = 0.0
    for attempt in machine.attempts.values():
        if attempt.phase is not AttemptPhase.RUNNING or attempt.stop_request is not StopRequest.NO:
            return None
        remaining_us = estimates.remaining_us(attempt, at_us)
        if movable(attempt):
            leaving.append(attempt)
            leaving_us = max(leaving_us, remaining_us)
            saving_us = max(saving_us, seconds_us(attempt.job.spec.save_s))
        elif goals is not None and _may_begin_anew(attempt, estimates, goals, at_us):
            anew.append(attempt)
            anew_us = max(anew_us, remaining_us)
            lost += attempt.job.spec.cpus * attempt.elapsed_us(at_us)
        else:
            staying_us = max(staying_us, remaining_us)
    gain_us = max(leaving_us, anew_us) - max(staying_us, saving_us)
    if anew and lost <= most_loss * machine.type.cpus * gain_us:
        return MachineDrain(machine, leaving + anew, gain_us)
    staying_us = max(staying_us, anew_us, saving_us)
    return MachineDrain(machine, leaving, leaving_us - staying_us) if leaving else None


def _find_places(
    move: MachineDrain, targets: list[tuple[Machine, list[float]]], worth_us: int
) -> bool:
    """Whether all that is to leave fits elsewhere; if so its room is taken there."""
    taken: list[tuple[list[float], Job]] = []
    for attempt in move.attempts:
        job = attempt.job
        best: tuple[int, int] | None = None
        for number, (target, room) in enumerate(targets):
            if not target.allows(job) or tasks_that_fit(job.spec, *room) < 1:
                continue
            if job.spec.image in target.images:
                best = (0, number)
                break
            fetch_us = seconds_us(job.spec.image_gb / (target.type.fetch_gb_per_s or 1.0))
            if move.gain_us - FETCH_WEIGHT * fetch_us >= worth_us and (
                best is None or fetch_us < best[0]
            ):
                best = (fetch_us, number)
        if best is None:
            for room, other in taken:
                room[0] += other.spec.cpus
                room[1] += other.spec.gpus
                room[2] += other.spec.memory_gb
            return False
        room = targets[best[1]][1]
        _fill(room, job, 1)
        taken.append((room, job))
    return True


def plan_scale_in(
    cluster: Cluster, at_us: int, settings: FleetSettings, boots: BootExpectations | None = None
) -> list[Machine]:
    """Decide which machines to return: idle ones, and those that never came up.

    One that lists a completion which is not committed stays: if the leader ends before the
    store has it, its successor learns of it from that machine only, and the task ran in vain.
    """
    boots = boots or usual_boots(settings)
    found = []
    for machine in cluster.machines.values():
        if machine.deleting or machine.command_in_flight or machine.not_receiving:
            # What hears nothing is returned by a rule of its own (``reachability/replacement.py``).
            continue
        if boots.is_given_up(machine, at_us):
            found.append(machine)
            continue
        if machine.booting or machine.attempts or machine.orphans or not machine.reconciled:
            continue
        if _lists_unsaved(cluster, machine):
            continue
        idle_us = at_us - machine.idle_since_us
        paid = at_us - machine.rented_us >= settings.minimum_charge_us
        keep_us = settings.keep_idle_spot_us if machine.spot else settings.keep_idle_us
        if machine.scale_in_candidate:
            keep_us = 0
        if machine.draining or (paid and idle_us >= max(keep_us, weights_worth_us(machine))):
            found.append(machine)
    return found


def _lists_unsaved(cluster: Cluster, machine: Machine) -> bool:
    """Whether a machine lists a completion that the store has not yet."""
    for task, _ in machine.unacknowledged:
        try:
            job_id, index = split_task(task)
        except ValueError:
            continue
        job = cluster.jobs.get(job_id)
        # Workers may list what no job has.
        if job is None or index >= job.spec.tasks:
            continue
        if job.states[index] == TaskState.COMPLETED:
            return True
    return False


def weights_worth_us(machine: Machine) -> int:
    """Return for how long an idle machine with cards is worth keeping for what its cache holds.

    For as long as it would take another one to boot and to fetch the same: so whether or not
    the weights are wanted again, no more than twice the least is paid.
    """
    if machine.type.gpus <= 0 or not machine.images:
        return 0
    rate = machine.type.fetch_gb_per_s or 1.0
    return seconds_us(machine.type.boot_s + max(machine.images.values()) / rate)
