"""What size must not cost: operations are counted, never timed.

Found at size: each of these grew with machines times jobs times tasks, or with machines
one by one, until a leader spent most of its processor time, writes or calls on it.
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
from weldhead.reachability.silence import look_lost
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


def test_a_placement_pass_over_a_full_fleet_looks_into_no_machine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    into = full_fleet(100, 50)
    counts: dict[str, int] = {}
    for module in (pass_capacity, placement_pass):
        count_calls(monkeypatch, module, "usable", counts)
    count_calls(monkeypatch, FreeCapacity, "__init__", counts)
    plan = plan_starts(into, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    assert len(plan.unplaced) == 50
    assert counts == {}


def test_a_shape_that_found_no_room_is_not_looked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    into = full_fleet(100, 50)
    # Room for a smaller task than any of the queue's, on every machine.
    for attempt in list(into.jobs["run-000001"].active.values())[::4]:
        into.release(attempt)
        into.adopt(attempt, into.machines[attempt.machine])
    small = add_job(into, job_spec(99, tasks=1, cpus=0.0, memory_gb=0.0))
    counts: dict[str, int] = {}
    count_calls(monkeypatch, FreeCapacity, "capacity_for", counts)
    plan = plan_starts(into, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    assert [start.job for start in plan.starts] == [small]
    # Three shapes over a hundred machines, not fifty jobs twice over.
    assert counts["capacity_for"] <= 5 * 100


def test_the_preemptor_looks_at_each_victim_once(monkeypatch: pytest.MonkeyPatch) -> None:
    into = full_fleet(100, 50)
    plan = plan_starts(into, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    counts: dict[str, int] = {}
    count_calls(monkeypatch, preemption_pass, "victim_sort_key", counts)
    count_calls(monkeypatch, preemption_pass, "is_over_guarantee", counts)
    found = plan_preemptions(
        into, ReclaimLists(), plan, RunTimeEstimates(), 2 * S,
        TUNABLES.preemptor.settings(10 * S), ServiceLevelObjectives([]), max_reclaims=64,
    )  # fmt: skip
    assert len(found) == 64
    victims = [victim for reclaim in found for victim in reclaim.victims]
    assert len({id(victim) for victim in victims}) == len(victims)
    # 400 tasks sorted once; the rest are neighbours on a victim's machine.
    assert counts["victim_sort_key"] <= 400 + 4 * 64
    assert counts["is_over_guarantee"] <= 64 * 5 + 2 * 51


def test_what_is_being_rented_counts_when_more_is_planned() -> None:
    """Requests are under way side by side; each look would rent the same again."""
    into = cluster(Team("red", 1_000, 1_000))
    add_job(into, job_spec(1, tasks=100, cpus=4.0))
    plan = plan_starts(into, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    kind = machine_type(zones=("a",))

    def rented(coming: list[PendingRental]) -> int:
        market = RentalOffers([kind])
        fleet = TUNABLES.fleet.settings()
        return sum(
            plan_scale_out(
                into, plan, market, RunTimeEstimates(), ServiceLevelObjectives([]), S, fleet, coming
            ).values()
        )

    assert rented([]) >= 50
    assert rented([PendingRental(kind, 100)]) == 0


def test_changes_of_one_record_share_a_write() -> None:
    async def scenario() -> None:
        state = StandInState()
        ledger = StateWriter(cast(StateClient, state), state.put(LEADER_KEY, {"name": "n-0"}))
        record: dict[str, int] = {}
        waiting = []
        for number in range(50):
            record[f"vm-{number}"] = number
            waiting.append(asyncio.create_task(ledger.write_latest("h/x", lambda: dict(record))))
        before = state.revision
        await asyncio.sleep(0)
        background_task = asyncio.create_task(ledger.run())
        await asyncio.gather(*waiting)
        assert state.revision == before + 1
        assert len(state.keys["h/x"][0]) == 50
        # What changes after its turn is another write.
        record["late"] = 1
        await ledger.write_latest("h/x", lambda: dict(record))
        assert state.keys["h/x"][0]["late"] == 1
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_a_hastened_write_overtakes() -> None:
    async def scenario() -> None:
        state = StandInState()
        state.max_writes = 1
        ledger = StateWriter(cast(StateClient, state), state.put(LEADER_KEY, {"name": "n-0"}))
        first = asyncio.create_task(ledger.write({"p/1": 1}))
        last = asyncio.create_task(ledger.write_latest("p/2", lambda: 2))
        await asyncio.sleep(0)
        ledger.prioritize("p/2")
        background_task = asyncio.create_task(ledger.run())
        assert await last < await first
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_hundreds_of_machines_are_rented_marked_and_returned_in_few_calls_and_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETE_GATHER_S", 0)
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
        before = state.revision
        for number, machine in enumerate(machines.values()):
            machine.address = f"10.1.0.{number}:9000"
            leader.term.background_tasks.spawn("up", rentals.enroll(machine))
        await settle()
        assert all(machine.enrolled for machine in machines.values())
        assert state.revision - before <= 5
        stored = [value for key, (value, _) in state.keys.items() if key.startswith(RENTALS)]
        marked = [address for record in stored for address in record["machines"].values()]
        assert len(marked) == 230 and None not in marked
        before = state.revision
        rentals.return_machines(machines)
        await settle()
        assert [len(names) for names in cloud.deleted] == [100, 100, 30]
        assert leader.cluster.machines == {}
        assert not any(key.startswith(RENTALS) for key in state.keys)
        assert state.revision - before <= 10
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_what_was_never_sent_is_not_asked_for_once_a_part_of_it_is_refused() -> None:
    """Each of many parts was refused in turn, at the cloud's few calls a second."""
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    cloud.capacity = 100
    rentals = leader.rental_manager

    async def scenario() -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        rentals.rent(RentalOffer(machine_type(), "a", True), 500)
        # What an earlier leader may have asked for has to be settled all the same.
        rentals._records["n-9-9-1"] = RentalRecord("m4", "a", True, 7, 0)
        await settle()
        assert [request.count for request in cloud.rented][:3] == [50, 50, 50]
        asked = len(cloud.rented)
        assert asked == 3
        await rentals._settle("n-9-9-1")
        assert cloud.rented[asked].request == "n-9-9-1"
        assert len(leader.cluster.machines) == 100
        await settle()
        # Nothing of what was refused, or never asked for, stays on record.
        assert len([key for key in state.keys if key.startswith(RENTALS)]) == 2
        assert not rentals.pending() and not rentals._unsent
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_a_returned_machine_makes_its_offer_worth_asking_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After half of a fleet had fallen its place was free, and was not asked for for 15 s."""
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    cloud.capacity = 50
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETE_GATHER_S", 0)
    rentals, market = leader.rental_manager, leader.term.rental_offers

    async def scenario() -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        leader.term.background_tasks.start("deletions", rentals.returner.delete_returned)
        rentals.rent(RentalOffer(machine_type(), "a", True), 100)
        await settle()
        asked = {(offer.zone, offer.spot) for offer in market.available(now_us())}
        assert ("a", True) not in asked and ("b", True) in asked
        name = next(iter(leader.cluster.machines))
        rentals.return_machines({name: leader.cluster.machines[name]})
        await settle()
        assert name not in leader.cluster.machines
        assert RentalOffer(machine_type(), "a", True) in market.available(now_us())
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_a_rentals_machines_are_divided_so_that_each_record_fits_with_all_addresses() -> None:
    for limit in (1024, 2048, 8192):
        names: dict[str, str | None] = {f"vm-{n:012}": None for n in range(50)}
        record = RentalRecord("a-rather-long-type-name", "zone-name", True, 50, 2**52, True, names)
        parts = divide_machines(record, limit)
        assert [name for part in parts for name in part] == list(names)
        for part in parts:
            record.machines = dict.fromkeys(part, "255.255.255.255:65535")
            assert len(msgspec.json.encode(record)) <= limit
            # What fits stays as it is.
            assert divide_machines(record, limit) == [record.machines]
        # No more of them than it takes.
        assert len(parts) <= 1 + 50 * 45 // (limit - 200)


def test_a_wave_of_taken_spot_machines_is_told_from_a_cut() -> None:
    """A third of the fleet was silent after a wave: a takeover waited for all its leases."""
    kind = machine_type()

    def fleet(zone: str, spot: bool, count: int) -> list[Machine]:
        return [Machine(f"{zone}-{spot}-{n}", kind, zone, spot, 0) for n in range(count)]

    spots, ordinary = fleet("a", True, 10), fleet("a", False, 3)
    others = fleet("b", True, 3)
    live = spots + ordinary + others
    assert look_lost(spots[:5], live)
    # More than a third, but only spot machines, beside ordinary ones that are heard.
    assert look_lost(spots[:9], live)
    assert not look_lost(spots[:9] + ordinary[:1], live)
    # Nothing ordinary is heard in that zone: it may be cut off.
    assert not look_lost(spots[:5] + others, live)
    assert not look_lost(live, live)
    assert look_lost(ordinary[:1], ordinary[:1])
