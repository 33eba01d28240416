"""Limits, hand-overs and zones: each meeting is brought about, and no rule breaks.

Which seeds show what depends on the order of sets of names too: `make test` fixes the hash.
"""

import pytest

from tests.builders import add_job, add_machine, cluster, job_spec, machine_type
from tests.meeting_witness import STEPS, watched
from tests.stand_ins import StandInState, StandInTask
from tests.test_old_reports import meet
from tests.test_recovery import Clock, clock, new_leader, put_job, put_machine
from tests.zone_cuts import ZONE_CUTS, ZONE_CUTS_FROM_OTHERS, ZoneCut
from weldhead.bookkeeping.cluster import Cluster
from weldhead.planning.estimates import Estimates
from weldhead.planning.fleet import Coming, Market, Offer, plan_hires
from weldhead.planning.goals import Goals
from weldhead.planning.placement import plan_starts
from weldhead.protocol.settings import Team
from weldhead.tunables.defaults import Tunables

__all__ = ["clock"]

S = 1_000_000
LEASE_S = 12.0


@pytest.mark.parametrize("controllers", [3, 5])
def test_teams_at_their_limits_when_machines_are_out_of_reach(controllers: int) -> None:
    witness = watched("meet-teams-at-limit", controllers, 1)
    teams = len(witness.experiment.scenario.teams)
    # The leader changed while every team was full, and cancelled tasks hung or were cut off.
    assert any(won.at_limit == teams and won.out_of_reach for won in witness.won)
    # Some machines could not be asked yet, and a cancellation was confirmed.
    spell = [told for told in witness.confirmed if told.loaded and not told.ready]
    assert any(told.at_limit == teams and told.out_of_reach for told in spell)
    assert not witness.experiment.checker.broken, witness.experiment.checker.details


@pytest.mark.parametrize("controllers", [3, 5])
def test_cancellations_on_both_sides_of_each_step_of_a_hand_over(controllers: int) -> None:
    witness = watched("meet-cancel-in-hand-over", controllers, 1)
    for step in STEPS:
        before, after = witness.around(step)
        assert before.total() and after.total(), step
        # Some of them reach a follower, which passes them on.
        assert before["follower"] + after["follower"], step
    assert not witness.experiment.checker.broken, witness.experiment.checker.details


@pytest.mark.parametrize("controllers", [3, 5])
def test_jobs_bound_to_a_zone_lose_machines(controllers: int) -> None:
    witness = watched("meet-zone-bound", controllers, 1)
    assert all(witness.lost[name] for name in ("in-a", "in-b", "in-c", "together"))
    # Of arrays, while others of their tasks went on.
    assert all(witness.lost_of_arrays[name] for name in ("in-a", "together"))
    assert not witness.experiment.checker.broken, witness.experiment.checker.details


@pytest.mark.parametrize(
    ("controllers", "cuts"), [(3, ZONE_CUTS), (5, ZONE_CUTS), (3, ZONE_CUTS_FROM_OTHERS)]
)
def test_a_zone_is_cut_off_for_longer_than_a_lease(
    controllers: int, cuts: tuple[ZoneCut, ...]
) -> None:
    witness = watched("meet-zone-cut", controllers, 1, cuts)
    assert all(cut.for_s > LEASE_S for cut in cuts)
    assert [cut.leader_inside for cut in witness.cut_off] == [cut.of_leader for cut in cuts]
    assert all(cut.machines and cut.ran for cut in witness.cut_off)
    assert not witness.experiment.checker.broken, witness.experiment.checker.details


def _hired(into: Cluster, coming: list[Coming]) -> dict[Offer, int]:
    plan = plan_starts(into, Estimates(), Goals([]), S, 10 * S, 45 * S)
    market, fleet = Market([machine_type(zones=("a", "b"))]), Tunables().fleet.settings()
    return plan_hires(into, plan, market, Estimates(), Goals([]), S, fleet, coming)


def test_free_machines_of_other_zones_are_no_room_for_a_job_bound_to_one() -> None:
    # Nothing was rented in its zone as long as there was room elsewhere: it waited for ever.
    into = cluster(Team("red", 100, 100))
    for number in range(4):
        add_machine(into, f"vm-{number:06}", zone="a")
    add_job(into, job_spec(1, tasks=2, zone="b"))
    assert {offer.zone for offer in _hired(into, [])} == {"b"}
    kind = machine_type(zones=("a", "b"))
    assert _hired(into, [Coming(kind, 4, "a")])
    assert not _hired(into, [Coming(kind, 4, "b")])


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
    assert job.over and leader.cluster.usage["red"].cpus == job.spec.cpus
    assert not leader.completions.may_end(job)
    meet(leader, worker, clock())
    meet(leader, worker, clock())
    assert leader.completions.may_end(job)
