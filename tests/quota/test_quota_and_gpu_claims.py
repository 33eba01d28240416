"""The account of the teams, and who gives way for cards."""

import math
import random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.builders import add_job, add_machine, cluster, job_spec, machine_type, report
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.preemption_history import (
    MAX_PREEMPTIONS_PER_HOUR,
    MIN_UNDISTURBED_RUN_US,
    SHARD_COUNT,
    PreemptionHistory,
    build_rows,
    restore_rows,
    shard_of,
)
from weldhead.cluster_state.reclaim import Reclaim, ReclaimLists
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.controller.workers.heartbeat_reconciler import apply_heartbeat
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.protocol.settings import Objective, Team
from weldhead.protocol.wire import ReportedTask
from weldhead.quota.amounts import (
    UNBOUNDED,
    UNITS,
    Resource,
    allowed_units,
    required_amounts,
    required_units,
)
from weldhead.quota.teams import QuotaAccount, bounds_of
from weldhead.reconciliation.buffered_heartbeats import MessageSource
from weldhead.scheduling.autoscaling.rental_offers import RentalOffers
from weldhead.scheduling.autoscaling.scale_in import plan_scale_in
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.free_capacity import FreeCapacity
from weldhead.scheduling.placement.placement_pass import plan_starts
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.placement.scoring import estimate_fetch_delay_us
from weldhead.scheduling.preemption.gpu_claims import estimate_image_fetch_us
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions
from weldhead.tunables.defaults import Tunables

S = 1_000_000
SILENCE = 600 * S
GOALS = ServiceLevelObjectives([Objective("wait", "serve", 0.9, 8.0)])
SETTINGS = Tunables().preemptor.settings(SILENCE)
GIVES_CARDS: Any = {"gpus": 4.0, "cpus": 32.0, "memory_gb": 256.0, "cache_gb": 60.0}


def replicas(number: int, tasks: int, **changes: object) -> dict[str, object]:
    return {
        "number": number, "tasks": tasks, "team": "serving", "job_class": "serve",
        "priority": "high", "gpus": 1.0, "cpus": 4.0, "image": "weights", "image_gb": 16.0,
    } | changes  # fmt: skip


def tuning(number: int, tasks: int, **changes: object) -> dict[str, object]:
    return {
        "number": number, "tasks": tasks, "team": "tuning", "priority": "idle", "gpus": 2.0,
        "cpus": 4.0, "checkpoint_s": 20.0, "save_s": 3.0, "estimate_s": 100.0,
    } | changes  # fmt: skip


def with_cards(machines: int, *teams: Team) -> Cluster:
    into = cluster(*(teams or (Team("serving", 100, 0, 24), Team("tuning", 100, 0, 4))))
    for number in range(machines):
        add_machine(into, f"vm-{number:06}", "ab"[number % 2], **GIVES_CARDS)
    return into


def add(into: Cluster, values: dict[str, object], at_us: int = 0) -> Job:
    number = values.pop("number")
    assert isinstance(number, int)
    return add_job(into, job_spec(number, **values), at_us)


def place(into: Cluster, at_us: int) -> PlacementPlan:
    plan = plan_starts(into, RunTimeEstimates(), GOALS, at_us, SILENCE, 45 * S)
    for start in plan.starts:
        attempt = into.start(start.job, start.index, start.machine, at_us)
        attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, at_us
        attempt.sent_sequence = 1
        start.machine.record_image(start.job.spec.image, start.job.spec.image_gb)
    return plan


def reclaim(into: Cluster, plan: PlacementPlan, lists: ReclaimLists, at_us: int) -> list[Reclaim]:
    found = plan_preemptions(into, lists, plan, RunTimeEstimates(), at_us, SETTINGS, GOALS)
    for entry in found:
        lists.add(entry)
        for victim in entry.victims:
            if victim.job.spec.gpus > 0:
                lists.preemption_history.record_preemption(victim, at_us)
            request_stop(into, victim, StopRequest.SOFT, at_us, "room")
    return found


def victims(found: list[Reclaim]) -> list[Attempt]:
    return [victim for entry in found for victim in entry.victims]


# -- amounts -------------------------------------------------------------------------------


@given(st.lists(st.integers(0, 10**9), max_size=50))
def test_sums_of_decimals_are_exact(thousandths: list[int]) -> None:
    assert sum(required_units(n / 1000) for n in thousandths) == sum(thousandths) * UNITS // 1000
    assert all(allowed_units(n / 1000) == required_units(n / 1000) for n in thousandths)


def test_a_need_is_never_understated_nor_a_bound_overstated() -> None:
    assert (required_units(4e-7), allowed_units(4e-7), required_units(math.inf)) == (
        1,
        0,
        UNBOUNDED,
    )
    # A limit of 0 means none, and whatever was taken of it, all of it is left.
    assert bounds_of(Team("guest", 0, 0, 0, 0)).limit == (UNBOUNDED, UNBOUNDED)


def test_a_resource_is_judged_by_itself() -> None:
    into = with_cards(2, Team("serving", 100, 0, 8), Team("tuning", 4, 0, 8))
    add(into, tuning(1, 2))
    add(into, tuning(2, 2, gpus=0.0))
    place(into, S)
    account = QuotaAccount(into.teams, into.usage)
    assert account.borrows("tuning", Resource.CPUS)
    assert not account.borrows("tuning", Resource.CARDS)
    position = account.position("tuning", Resource.CARDS)
    assert position is not None and position.lent == 4 * UNITS
    # Cards by right, though the CPUs that go with them are borrowed.
    assert account.within_guarantee("tuning", job_spec(team="tuning", gpus=4.0))
    assert not account.within_guarantee("tuning", job_spec(team="tuning", gpus=4.5))


# -- who gives way -------------------------------------------------------------------------


def test_no_pass_takes_a_team_below_its_cards() -> None:
    into = with_cards(4)
    add(into, tuning(1, 8))
    place(into, S)
    add(into, replicas(2, 24))
    lists = ReclaimLists()
    found = reclaim(into, place(into, 2 * S), lists, 2 * S)
    # 16 cards run, 4 are guaranteed: six tasks of two go, however many replicas wait.
    assert len(victims(found)) == 6
    assert len(found) == 12
    assert reclaim(into, place(into, 3 * S), lists, 3 * S) == []


def test_the_job_that_holds_most_cards_gives_way_not_the_one_with_most_cpus() -> None:
    into = with_cards(3)
    few = add(into, tuning(1, 1, gpus=1.0, cpus=30.0))
    many = add(into, tuning(2, 4))
    place(into, S)
    assert len(many.active) == 4 and len(few.active) == 1
    spare = [m for m in into.machines.values() if m.gpus >= 1.0]
    for machine in spare:
        machine.draining = True
    add(into, replicas(3, 1))
    found = reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S)
    assert {victim.job for victim in victims(found)} == {many}


def test_among_equals_the_machine_with_the_weights_and_whole_cards_on_one() -> None:
    into = with_cards(3, Team("serving", 0, 0, 24), Team("tuning", 0))
    add(into, tuning(1, 12, gpus=1.0))
    place(into, S)
    into.machines["vm-000001"].record_image("weights", 16.0)
    add(into, replicas(2, 1, gpus=3.0))
    found = reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S)
    assert [(entry.machine, len(entry.victims)) for entry in found] == [("vm-000001", 3)]


def test_cpu_work_does_not_take_cards_that_a_team_is_guaranteed() -> None:
    into = with_cards(1, Team("serving", 100), Team("tuning", 0, 0, 4))
    add(into, tuning(1, 2, cpus=16.0))
    place(into, S)
    add(into, replicas(2, 2, gpus=0.0))
    assert reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S) == []


def test_a_set_of_victims_counts_whole_where_cpus_are_claimed() -> None:
    into = with_cards(1, Team("serving", 100), Team("tuning", 0, 0, 2))
    add(into, tuning(1, 4, gpus=1.0, cpus=8.0))
    place(into, S)
    # Two cards are borrowed; a task of 24 CPUs needs three of the tasks to go.
    add(into, replicas(2, 1, gpus=0.0, cpus=24.0))
    assert reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S) == []
    add(into, replicas(3, 1, gpus=0.0, cpus=16.0))
    found = reclaim(into, place(into, 3 * S), ReclaimLists(), 3 * S)
    assert len(victims(found)) == 2


def test_two_leaders_in_overlap_take_no_more_than_one() -> None:
    """What the former leader stopped is saving when the next one finds it."""
    into = with_cards(4)
    tuned = add(into, tuning(1, 8))
    place(into, S)
    add(into, replicas(2, 24))
    stopped = victims(reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S))
    assert len(stopped) == 6
    after = with_cards(4)
    add(after, tuning(1, 8))
    add(after, replicas(2, 24))
    for machine in after.machines.values():
        tasks = [
            ReportedTask(a.task, a.number, "saving" if a in stopped else "running")
            for a in tuned.active.values()
            if a.machine == machine.name
        ]
        apply_heartbeat(after, machine, report(machine, 5, tasks), 3 * S, MessageSource.HEARTBEAT)
    assert len(after.stopping) == 6
    assert victims(reclaim(after, place(after, 3 * S), ReclaimLists(), 3 * S)) == []


def test_two_teams_that_burst_at_once_keep_each_to_its_own() -> None:
    into = with_cards(4, Team("serving", 0, 0, 8), Team("other", 0, 0, 8), Team("tuning", 0))
    add(into, tuning(1, 8))
    place(into, S)
    for number, team in ((2, "serving"), (3, "other")):
        add(into, replicas(number, 16, team=team))
    lists = ReclaimLists()
    plan = place(into, 2 * S)
    found = reclaim(into, plan, lists, 2 * S)
    asked = dict.fromkeys(("serving", "other"), 0)
    for entry in found:
        asked[into.jobs[entry.job_id].team] += 1
    assert sum(asked.values()) == 16 and len(victims(found)) == 8


def test_guarantees_beyond_the_fleet_take_nothing_from_each_other() -> None:
    into = with_cards(3, Team("serving", 0, 0, 8), Team("tuning", 0, 0, 4))
    add(into, tuning(1, 2))
    add(into, replicas(2, 8))
    place(into, S)
    # A third of the machines with cards dies: twelve are guaranteed, eight are there.
    gone = into.machines["vm-000002"]
    into.remove_machine(gone)
    lists = ReclaimLists()
    assert victims(reclaim(into, place(into, 2 * S), lists, 2 * S)) == []
    into.check_invariants()


def test_what_was_freed_for_a_replica_that_is_cancelled_goes_back_where_it_was() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("tuning", 0))
    tuned = add(into, tuning(1, 2))
    place(into, S)
    wanted = add(into, replicas(2, 4))
    lists = ReclaimLists()
    stopped = victims(reclaim(into, place(into, 2 * S), lists, 2 * S))
    assert len(stopped) == 2
    wanted.cancelled = True
    for victim in stopped:
        into.release(victim)
    plan = place(into, 6 * S)
    assert [(start.job, start.index, start.machine.name) for start in plan.starts] == [
        (tuned, victim.index, victim.machine) for victim in stopped
    ]


# -- giving back ---------------------------------------------------------------------------


@settings(max_examples=60)
@given(st.lists(st.integers(1, 900), min_size=5, max_size=300), st.integers(1, 30))
def test_bursts_of_any_rhythm_stop_no_task_more_often_than_stated(
    rhythm: list[int], back_s: int
) -> None:
    """Claims come after each pause; whatever is stopped begins again after ``back_s``."""
    into = with_cards(1, Team("serving", 0, 0, 4), Team("tuning", 0))
    tuned = add(into, tuning(1, 1))
    machine = next(iter(into.machines.values()))
    taken, stops = PreemptionHistory(), list[int]()
    now = S
    attempt = into.start(tuned, 0, machine, now)
    attempt.running_since_us = now
    for pause_s in rhythm:
        now += pause_s * S
        if taken.is_protected(attempt, now):
            continue
        taken.record_preemption(attempt, now)
        stops.append(now)
        into.release(attempt)
        now += back_s * S
        attempt = into.start(tuned, 0, machine, now)
        attempt.running_since_us = now
    for first in stops:
        assert sum(first <= stop < first + 3_600 * S for stop in stops) <= MAX_PREEMPTIONS_PER_HOUR


def test_a_task_that_was_stopped_is_let_run_for_the_least_hold() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("tuning", 0))
    add(into, tuning(1, 2))
    place(into, S)
    lists = ReclaimLists()
    for number, at_us in ((2, 2 * S), (3, 20 * S), (4, 15 * S + MIN_UNDISTURBED_RUN_US)):
        wanted = add(into, replicas(number, 4))
        stopped = victims(reclaim(into, place(into, at_us), lists, at_us))
        assert len(stopped) == (0 if number == 3 else 2)
        wanted.cancelled = True
        lists.trim(wanted.id, 0)
        for victim in stopped:
            into.release(victim)
        place(into, at_us + 5 * S)


def test_a_successor_gives_back_in_the_same_order_as_who_took() -> None:
    """The leader ends when the victims are gone and the replicas have not begun."""
    into = with_cards(3, Team("serving", 0, 0, 8), Team("tuning", 0))
    tuned = add(into, tuning(1, 9))
    place(into, S)
    running = sorted(tuned.active)
    add(into, replicas(2, 8))
    lists = ReclaimLists()
    stopped = victims(reclaim(into, place(into, 2 * S), lists, 2 * S))
    assert len(stopped) == 4
    for victim in stopped:
        into.release(victim)
    # Rows as the store has them; the second leader's clocks differ.
    rows = [
        row
        for n in range(SHARD_COUNT)
        for row in build_rows(lists.preemption_history, n, 900 * S, 8_000)
    ]
    after = with_cards(3, Team("serving", 0, 0, 8), Team("tuning", 0))
    again = add(after, tuning(1, 9))
    for index in running:
        if index not in [victim.index for victim in stopped]:
            attempt = after.start(again, index, after.machines[tuned.active[index].machine], S)
            attempt.phase = AttemptPhase.RUNNING
    found = PreemptionHistory()
    restore_rows(found, rows, after.jobs, 880 * S)
    by_first, by_second = place(into, 30 * S).starts, place(after, 50 * S).starts
    into.jobs.remove("run-000002")
    order = [(start.index, start.machine.name) for start in by_second]
    assert order[:4] == [(victim.index, victim.machine) for victim in stopped]
    assert all(start.job.id == "run-000002" for start in by_first[:8])
    # Nor may the second leader stop them at once again.
    attempt = again.active[stopped[0].index]
    assert found.is_protected(attempt, 60 * S) and not found.is_protected(
        attempt, 55 * S + MIN_UNDISTURBED_RUN_US
    )


def test_a_full_record_leaves_out_what_was_stopped_longest_ago() -> None:
    into = with_cards(1, Team("tuning", 0))
    job = add(into, tuning(1, 500))
    taken = PreemptionHistory()
    machine = next(iter(into.machines))
    for index in range(500):
        taken.record_preemption(Attempt(job, index, index + 1, machine, 0), (index + 1) * S)
    rows = build_rows(taken, shard_of(job.id), 0, 8_192)
    assert 100 < len(rows) < 500 and [row[1] for row in rows] == list(
        range(499, 499 - len(rows), -1)
    )
    assert len(msgspec.json.encode(rows)) <= 8_192
    taken.expire(5_000 * S, into.jobs)
    assert len(taken) == 500
    into.jobs.remove(job.id)
    taken.expire(5_000 * S, into.jobs)
    assert len(taken) == 0


# -- the account is the evidence -----------------------------------------------------------


class Site:
    """A cluster with cards that lives; after each step it is recounted."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.now = 10 * S
        self.into = with_cards(
            4, Team("serving", 20, 0, 5), Team("tuning", 30, 0, 4.5), Team("guest", 0, 60, 0, 9)
        )
        add_machine(self.into, "vm-000099", cpus=16.0, memory_gb=64.0)
        self.lists = ReclaimLists()
        self.jobs = 0

    def change(self) -> None:
        dice, into = self.dice, self.into
        attempts = [a for m in into.machines.values() for a in m.attempts.values()]
        match dice.randrange(6):
            case 0 | 1 | 2:
                self.jobs += 1
                add(into, {
                    "number": self.jobs, "team": dice.choice(("serving", "tuning", "guest")),
                    "job_class": dice.choice(("serve", "other")), "tasks": dice.randint(1, 9),
                    "priority": dice.choice(("idle", "normal", "high")),
                    "gpus": dice.choice((0.0, 0.5, 1.0, 1.5, 2.0, 4.0)),
                    "cpus": dice.choice((0.1, 0.7, 4.0, 9.3)), "spread": dice.random() < 0.1,
                    "checkpoint_s": dice.choice((0.0, 10.0)), "estimate_s": 20.0,
                    "image": dice.choice(("weights", "img")),
                }, self.now)  # fmt: skip
            case 3 if attempts:
                into.release(dice.choice(attempts), completed=dice.random() < 0.5)
            case 4:
                for attempt in list(into.stopping.values()):
                    into.release(attempt)
            case _:
                self.now += dice.choice((S, 30 * S, 200 * S))

    def standing(self) -> dict[str, int]:
        """Cards that run and are not asked to stop, by team, counted anew."""
        found = dict.fromkeys(self.into.teams, 0)
        for machine in self.into.machines.values():
            for attempt in machine.attempts.values():
                if attempt.stop_request is StopRequest.NO:
                    found[attempt.job.team] += required_amounts(attempt.job.spec)[Resource.CARDS]
        return found

    def decide(self) -> None:
        plan = place(self.into, self.now)
        before = self.standing()
        found = reclaim(self.into, plan, self.lists, self.now)
        after = self.standing()
        by_other = {
            victim.job.team
            for entry in found
            for victim in entry.victims
            if victim.job.team != self.into.jobs[entry.job_id].team
        }
        for team, bounds in ((t, bounds_of(self.into.teams[t])) for t in by_other):
            own = any(
                victim.job.team == team == self.into.jobs[entry.job_id].team
                for entry in found
                for victim in entry.victims
            )
            least = min(before[team], bounds.guarantee[Resource.CARDS])
            assert own or after[team] >= least
        for team in self.into.teams:
            limit = bounds_of(self.into.teams[team]).limit
            assert all(
                used <= most for used, most in zip(self.into.usage[team].units, limit, strict=True)
            )
        self.into.check_invariants()


@settings(max_examples=100)
@given(st.integers(0, 2**32))
def test_the_account_is_a_recount_and_no_pass_takes_guaranteed_cards(seed: int) -> None:
    site = Site(seed)
    for _ in range(40):
        site.change()
        site.decide()


def test_weights_larger_than_a_cache_are_fetched_wherever_a_replica_starts() -> None:
    into = with_cards(1)
    machine = next(iter(into.machines.values()))
    large = add(into, replicas(1, 1, image_gb=80.0))
    machine.record_image("weights", 80.0)
    assert (
        estimate_fetch_delay_us(large, FreeCapacity(machine))
        == estimate_image_fetch_us(large.spec, machine)
        == 80 * S
    )


def test_weights_that_are_placed_side_by_side_go_to_machines_of_their_own() -> None:
    into = with_cards(4)
    for number in range(4):
        add(into, replicas(number, 1, image=f"weights-{number}"))
    starts = place(into, S).starts
    assert len({start.machine.name for start in starts}) == 4


def test_work_without_cards_leaves_free_cards_their_cpus_while_they_are_wanted() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("red", 100))
    add(into, replicas(1, 1, gpus=3.0))
    add(into, replicas(2, 1, gpus=2.0))
    small = add_job(into, job_spec(3, tasks=16, cpus=4.0, priority="high"))
    # Somewhere else to run, and it is full.
    other = add_machine(into, "vm-000099", cpus=16.0)
    into.start(add_job(into, job_spec(4, tasks=1, cpus=16.0)), 0, other, S)
    plan = place(into, S)
    # One card is left over, with 8 of 32 CPUs; the replica that has begun takes 4 of its 24.
    assert sum(start.job is small for start in plan.starts) == 5
    # Nobody wants it any more, and nothing about the machine has changed.
    into.jobs["run-000002"].cancelled = True
    assert sum(start.job is small for start in place(into, 2 * S).starts) == 2


def test_where_all_machines_have_cards_other_work_runs_beside_them() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("red", 100))
    add(into, replicas(1, 1, gpus=3.0))
    add(into, replicas(2, 1, gpus=2.0))
    small = add_job(into, job_spec(3, tasks=16, cpus=4.0, priority="high"))
    assert sum(start.job is small for start in place(into, S).starts) == 7


def test_machines_with_cards_are_rented_though_cpus_are_free_elsewhere() -> None:
    into = cluster(Team("serving", 100, 0, 8))
    add_machine(into, cpus=64.0, memory_gb=512.0)
    add(into, replicas(1, 2))
    plan = place(into, S)
    kinds = [machine_type(name="plain", cpus=64.0, memory_gb=512.0, price=0.1, spot_price=0.1)]
    kinds.append(machine_type(name="cards", **GIVES_CARDS))
    fleet = Tunables().fleet.settings()
    found = plan_scale_out(into, plan, RentalOffers(kinds), RunTimeEstimates(), GOALS, S, fleet)
    assert [(offer.type.name, count) for offer, count in found.items()] == [("cards", 1)]


def test_idle_machines_are_kept_as_long_as_their_weights_are_worth() -> None:
    into = with_cards(1)
    machine = next(iter(into.machines.values()))
    machine.type = machine_type(boot_s=20.0, **GIVES_CARDS)
    machine.record_image("weights", 16.0)
    fleet = Tunables().fleet.settings()
    machine.scale_in_candidate = True
    machine.idle_since_us = 100 * S
    assert plan_scale_in(into, 135 * S, fleet) == []
    assert plan_scale_in(into, 136 * S, fleet) == [machine]
