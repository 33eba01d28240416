"""Limits, hand-overs and zones: each meeting is brought about, and no rule breaks.

Which seeds show what depends on the order of sets of names too: `make test` fixes the hash.
"""

import pytest

from tests.support.builders import add_job, add_machine, cluster, job_spec, machine_type
from tests.support.leaders import Clock, new_leader, put_job, put_machine
from tests.support.meetings import meet
from tests.support.paths import ROOT
from tests.support.stand_ins import StandInState, StandInTask
from weldhead.cluster_state.cluster import Cluster
from weldhead.emulator.failover_observer import STEPS, HandOverObserver, observe_hand_overs
from weldhead.emulator.scenario import Scenario, read_scenario
from weldhead.protocol.settings import Team
from weldhead.scheduling.autoscaling.rental_offers import PendingRental, RentalOffer, RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_pass import plan_starts
from weldhead.tunables.defaults import Tunables

S = 1_000_000
LEASE_S = 12.0
SCENARIOS = ROOT / "deploy" / "scenarios"


def meeting(name: str, controllers: int) -> Scenario:
    scenario = read_scenario(SCENARIOS / f"{name}.toml")
    scenario.controllers = controllers
    return scenario


def observed(name: str, controllers: int) -> HandOverObserver:
    return observe_hand_overs(meeting(name, controllers), 1)


@pytest.mark.parametrize("controllers", [3, 5])
def test_teams_at_their_limits_when_machines_are_out_of_reach(controllers: int) -> None:
    observer = observed("meet-teams-at-limit", controllers)
    teams = len(observer.experiment.scenario.teams)
    # The leader changed while every team was full, and cancelled tasks hung or were cut off.
    assert any(won.at_limit == teams and won.out_of_reach for won in observer.won)
    # Some machines could not be asked yet, and a cancellation was confirmed.
    spell = [told for told in observer.confirmed if told.loaded and not told.ready]
    assert any(told.at_limit == teams and told.out_of_reach for told in spell)
    assert not observer.experiment.checker.broken, observer.experiment.checker.details


@pytest.mark.parametrize("controllers", [3, 5])
def test_cancellations_on_both_sides_of_each_step_of_a_hand_over(controllers: int) -> None:
    observer = observed("meet-cancel-in-hand-over", controllers)
    for step in STEPS:
        before, after = observer.around(step)
        assert before.total() and after.total(), step
        # Some of them reach a follower, which passes them on.
        assert before["follower"] + after["follower"], step
    assert not observer.experiment.checker.broken, observer.experiment.checker.details


@pytest.mark.parametrize("controllers", [3, 5])
def test_jobs_bound_to_a_zone_lose_machines(controllers: int) -> None:
    observer = observed("meet-zone-bound", controllers)
    assert all(observer.lost[name] for name in ("in-a", "in-b", "in-c", "together"))
    # Of arrays, while others of their tasks went on.
    assert all(observer.lost_of_arrays[name] for name in ("in-a", "together"))
    assert not observer.experiment.checker.broken, observer.experiment.checker.details


@pytest.mark.parametrize(("controllers", "services"), [(3, True), (5, True), (3, False)])
def test_a_zone_is_cut_off_for_longer_than_a_lease(controllers: int, services: bool) -> None:
    scenario = meeting("meet-zone-cut", controllers)
    cuts = [fault for fault in scenario.faults if fault.kind == "zone_cut"]
    for cut in cuts:
        # With the services in reach, the zones are cut off in the other order.
        cut.leader, cut.services = cut.leader == services, services
    observer = observe_hand_overs(scenario, 1)
    found = observer.experiment.faults.zone_cuts.over
    assert len(cuts) == 2 and all(cut.for_s > LEASE_S for cut in cuts)
    assert [cut.leader_inside for cut in found] == [cut.leader for cut in cuts]
    assert all(cut.machines and cut.ran for cut in found)
    assert not observer.experiment.checker.broken, observer.experiment.checker.details


def _hired(into: Cluster, coming: list[PendingRental]) -> dict[RentalOffer, int]:
    plan = plan_starts(into, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    market, fleet = RentalOffers([machine_type(zones=("a", "b"))]), Tunables().fleet.settings()
    return plan_scale_out(
        into, plan, market, RunTimeEstimates(), ServiceLevelObjectives([]), S, fleet, coming
    )


def test_free_machines_of_other_zones_are_no_room_for_a_job_bound_to_one() -> None:
    # Nothing was rented in its zone as long as there was room elsewhere: it waited for ever.
    into = cluster(Team("red", 100, 100))
    for number in range(4):
        add_machine(into, f"vm-{number:06}", zone="a")
    add_job(into, job_spec(1, tasks=2, zone="b"))
    assert {offer.zone for offer in _hired(into, [])} == {"b"}
    kind = machine_type(zones=("a", "b"))
    assert _hired(into, [PendingRental(kind, 4, "a")])
    assert not _hired(into, [PendingRental(kind, 4, "b")])


def test_a_job_ends_only_once_what_must_go_has_gone(clock: Clock) -> None:
    """Its machine is cut off: the next leader knows no such job, and counted it for nobody."""
    state = StandInState()
    put_job(state, job_spec(1, tasks=1))
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    leader.term.ready = True
    job = leader.cluster.jobs["run-000001"]
    meet(leader, worker, clock())
    meet(leader, worker, clock())
    job.complete_waiting(0)
    worker.tasks["run-000001/0"] = StandInTask(77, "running")
    meet(leader, worker, clock(), heard=False)
    assert job.has_ended and leader.cluster.usage["red"].cpus == job.spec.cpus
    assert not leader.completions.can_finish(job)
    meet(leader, worker, clock())
    meet(leader, worker, clock())
    assert leader.completions.can_finish(job)
