"""Bounds on the cost of scheduling large fleets; operations are counted, never timed.

Each operation tested here once grew with the product of machines, jobs and tasks, or ran for each
machine separately, until it took most of a leader's CPU time, store writes or cloud API calls.
"""

import asyncio
from typing import Any, cast

import msgspec
import pytest

from tests.support.builders import add_job, cluster, job_spec, machine_type
from tests.support.fleets import S, StandInCloud, count_calls, full_fleet, settle
from tests.support.leaders import new_leader
from tests.support.stand_ins import StandInState
from weldhead.clock import now_us
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.reclaim import ReclaimLists
from weldhead.cluster_state.records import LEADER_KEY, RENTALS, RentalRecord, divide_machines
from weldhead.cluster_state.state_writer import StateWriter
from weldhead.protocol.settings import Team
from weldhead.reachability.silence import are_likely_lost
from weldhead.scheduling.autoscaling import machine_availability
from weldhead.scheduling.autoscaling.rental_offers import PendingRental, RentalOffer, RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement import pass_capacity, placement_pass
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.placement_pass import plan_starts
from weldhead.scheduling.preemption import preemption_pass
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions
from weldhead.transport.state_client import StateClient
from weldhead.tunables.defaults import Tunables

TUNABLES = Tunables()


def test_placement_pass_over_full_fleet_inspects_no_machine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = full_fleet(100, 50)
    counts: dict[str, int] = {}
    for module in (pass_capacity, placement_pass):
        count_calls(monkeypatch, module, "is_schedulable", counts)
    count_calls(monkeypatch, FreeCapacity, "__init__", counts)
    plan = plan_starts(fleet, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    assert len(plan.unplaced) == 50
    assert counts == {}


def test_shape_without_capacity_is_not_searched_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = full_fleet(100, 50)
    # Every machine gets capacity for a task smaller than any queued one.
    for attempt in list(fleet.jobs["run-000001"].active.values())[::4]:
        fleet.release(attempt)
        fleet.adopt(attempt, fleet.machines[attempt.machine])
    small = add_job(fleet, job_spec(99, tasks=1, cpus=0.0, memory_gb=0.0))
    counts: dict[str, int] = {}
    count_calls(monkeypatch, FreeCapacity, "capacity_for", counts)
    plan = plan_starts(fleet, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    assert [start.job for start in plan.starts] == [small]
    # A search for three shapes on a hundred machines, not for fifty jobs in both rounds.
    assert counts["capacity_for"] <= 5 * 100


def test_preemption_pass_evaluates_each_victim_once(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = full_fleet(100, 50)
    plan = plan_starts(fleet, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    counts: dict[str, int] = {}
    count_calls(monkeypatch, preemption_pass, "victim_sort_key", counts)
    count_calls(monkeypatch, preemption_pass, "is_over_guarantee", counts)
    reclaims = plan_preemptions(
        fleet, ReclaimLists(), plan, RunTimeEstimates(), 2 * S,
        TUNABLES.preemptor.settings(10 * S), ServiceLevelObjectives([]), max_reclaims=64,
    )  # fmt: skip
    assert len(reclaims) == 64
    victims = [victim for reclaim in reclaims for victim in reclaim.victims]
    assert len({id(victim) for victim in victims}) == len(victims)
    # 400 tasks are sorted once; the other calls are for tasks on the machine of a victim.
    assert counts["victim_sort_key"] <= 400 + 4 * 64
    assert counts["is_over_guarantee"] <= 64 * 5 + 2 * 51


@pytest.mark.parametrize("machines", [400, 1600])
def test_search_for_a_machine_does_not_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch, machines: int
) -> None:
    """One look at the fleet examines the running tasks of so many machines, however many it has."""
    fleet = full_fleet(machines, 50)
    plan = plan_starts(fleet, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    counts: dict[str, int] = {}
    count_calls(monkeypatch, machine_availability, "estimate_available_us", counts)
    offers, settings = RentalOffers([machine_type()]), TUNABLES.fleet.settings()
    plan_scale_out(fleet, plan, offers, RunTimeEstimates(), ServiceLevelObjectives([]), S, settings)
    assert 0 < counts["estimate_available_us"] <= machine_availability.MAX_EXAMINED_MACHINES


def test_pending_rentals_count_when_more_are_planned() -> None:
    """While rental requests were pending, each scale-out pass rented the same capacity again."""
    fleet = cluster(Team("red", 1_000, 1_000))
    add_job(fleet, job_spec(1, tasks=100, cpus=4.0))
    plan = plan_starts(fleet, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    rental_type = machine_type(zones=("a",))

    def count_rentals(pending: list[PendingRental]) -> int:
        offers = RentalOffers([rental_type])
        fleet_settings = TUNABLES.fleet.settings()
        return sum(
            plan_scale_out(
                fleet,
                plan,
                offers,
                RunTimeEstimates(),
                ServiceLevelObjectives([]),
                S,
                fleet_settings,
                pending,
            ).values()
        )

    assert count_rentals([]) >= 50
    assert count_rentals([PendingRental(rental_type, 100)]) == 0


def test_concurrent_changes_of_one_record_share_a_write() -> None:
    async def scenario() -> None:
        state = StandInState()
        writer = StateWriter(cast(StateClient, state), state.put(LEADER_KEY, {"name": "n-0"}))
        record: dict[str, int] = {}
        writes = []
        for number in range(50):
            record[f"vm-{number}"] = number
            writes.append(asyncio.create_task(writer.write_latest("h/x", lambda: dict(record))))
        revision_before = state.revision
        await asyncio.sleep(0)
        background_task = asyncio.create_task(writer.run())
        await asyncio.gather(*writes)
        assert state.revision == revision_before + 1
        assert len(state.keys["h/x"][0]) == 50
        # A change after the write needs another write.
        record["late"] = 1
        await writer.write_latest("h/x", lambda: dict(record))
        assert state.keys["h/x"][0]["late"] == 1
        writer.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_prioritized_write_overtakes_earlier_writes() -> None:
    async def scenario() -> None:
        state = StandInState()
        state.max_writes = 1
        writer = StateWriter(cast(StateClient, state), state.put(LEADER_KEY, {"name": "n-0"}))
        first = asyncio.create_task(writer.write({"p/1": 1}))
        last = asyncio.create_task(writer.write_latest("p/2", lambda: 2))
        await asyncio.sleep(0)
        writer.prioritize("p/2")
        background_task = asyncio.create_task(writer.run())
        assert await last < await first
        writer.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_hundreds_of_machines_need_few_cloud_calls_and_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETION_BATCH_DELAY_S", 0)
    rentals = leader.rental_manager

    async def scenario() -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        leader.term.background_tasks.start("deletions", rentals.returner.delete_returned)
        rentals.rent(RentalOffer(machine_type(), "a", True), 230)
        await settle()
        machines = dict(leader.cluster.machines)
        assert len(machines) == 230
        assert [request.count for request in cloud.rented] == [50, 50, 50, 50, 30]
        assert len({request.request for request in cloud.rented}) == 5
        revision_before = state.revision
        for number, machine in enumerate(machines.values()):
            machine.address = f"10.1.0.{number}:9000"
            leader.term.background_tasks.spawn("up", rentals.enroll(machine))
        await settle()
        assert all(machine.enrolled for machine in machines.values())
        assert state.revision - revision_before <= 5
        stored = [value for key, (value, _) in state.keys.items() if key.startswith(RENTALS)]
        addresses = [address for record in stored for address in record["machines"].values()]
        assert len(addresses) == 230 and None not in addresses
        revision_before = state.revision
        rentals.return_machines(machines)
        await settle()
        assert [len(names) for names in cloud.deleted] == [100, 100, 30]
        assert leader.cluster.machines == {}
        assert not any(key.startswith(RENTALS) for key in state.keys)
        assert state.revision - revision_before <= 10
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_refused_rental_cancels_its_unsent_requests() -> None:
    """The unsent requests for a refused offer used up the cloud's few calls per second."""
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    cloud.capacity = 100
    rentals = leader.rental_manager

    async def scenario() -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        rentals.rent(RentalOffer(machine_type(), "a", True), 500)
        # A request that an earlier leader may have sent still has to be resolved.
        rentals._records["n-9-9-1"] = RentalRecord("m4", "a", True, 7, 0)
        await settle()
        assert [request.count for request in cloud.rented][:3] == [50, 50, 50]
        request_count = len(cloud.rented)
        assert request_count == 3
        await rentals._settle("n-9-9-1")
        assert cloud.rented[request_count].request == "n-9-9-1"
        assert len(leader.cluster.machines) == 100
        await settle()
        # No record of a refused or unsent request is left.
        assert len([key for key in state.keys if key.startswith(RENTALS)]) == 2
        assert not rentals.pending() and not rentals._unsent
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_returned_machine_makes_its_offer_available_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After half of a fleet had failed, the freed cloud capacity was not requested for 15 s."""
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    cloud.capacity = 50
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETION_BATCH_DELAY_S", 0)
    rentals, offers = leader.rental_manager, leader.term.rental_offers

    async def scenario() -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        leader.term.background_tasks.start("deletions", rentals.returner.delete_returned)
        rentals.rent(RentalOffer(machine_type(), "a", True), 100)
        await settle()
        available = {(offer.zone, offer.spot) for offer in offers.available(now_us())}
        assert ("a", True) not in available and ("b", True) in available
        name = next(iter(leader.cluster.machines))
        rentals.return_machines({name: leader.cluster.machines[name]})
        await settle()
        assert name not in leader.cluster.machines
        assert RentalOffer(machine_type(), "a", True) in offers.available(now_us())
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_divided_rental_records_fit_with_all_addresses() -> None:
    for limit in (1024, 2048, 8192):
        names: dict[str, str | None] = {f"vm-{n:012}": None for n in range(50)}
        record = RentalRecord("a-rather-long-type-name", "zone-name", True, 50, 2**52, True, names)
        parts = divide_machines(record, limit)
        assert [name for part in parts for name in part] == list(names)
        for part in parts:
            record.machines = dict.fromkeys(part, "255.255.255.255:65535")
            assert len(msgspec.json.encode(record)) <= limit
            # A record that fits is not divided further.
            assert divide_machines(record, limit) == [record.machines]
        # The machines are divided into no more records than necessary.
        assert len(parts) <= 1 + 50 * 45 // (limit - 200)


def test_wave_of_spot_interruptions_is_told_from_network_cut() -> None:
    """After a wave silenced a third of the fleet, a takeover waited for all leases to expire."""
    common_type = machine_type()

    def create_machines(zone: str, spot: bool, count: int) -> list[Machine]:
        return [Machine(f"{zone}-{spot}-{n}", common_type, zone, spot, 0) for n in range(count)]

    spot_machines, full_price_machines = (
        create_machines("a", True, 10),
        create_machines("a", False, 3),
    )
    other_zone = create_machines("b", True, 3)
    known_machines = spot_machines + full_price_machines + other_zone
    assert are_likely_lost(spot_machines[:5], known_machines)
    # More than a third is silent, but only spot machines; full-price ones in the zone respond.
    assert are_likely_lost(spot_machines[:9], known_machines)
    assert not are_likely_lost(spot_machines[:9] + full_price_machines[:1], known_machines)
    # No machine of the zone at the full price responds: the zone may be cut off.
    assert not are_likely_lost(spot_machines[:5] + other_zone, known_machines)
    assert not are_likely_lost(known_machines, known_machines)
    assert are_likely_lost(full_price_machines[:1], full_price_machines[:1])
