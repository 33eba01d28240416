"""Team quotas, and preemption of tasks that hold GPUs.

The tests guard against passes that take a team below its GPU guarantee, tasks that are stopped
again and again, and stopped tasks that lose their machines to other tasks.
"""

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
from weldhead.quota.teams import QuotaAccount, quota_bounds
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
MAX_SILENCE_US = 600 * S
OBJECTIVES = ServiceLevelObjectives([Objective("wait", "serve", 0.9, 8.0)])
SETTINGS = Tunables().preemptor.settings(MAX_SILENCE_US)
GPU_MACHINE: Any = {"gpus": 4.0, "cpus": 32.0, "memory_gb": 256.0, "cache_gb": 60.0}


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
    """Build a cluster of machines with four GPUs and 32 CPUs each."""
    into = cluster(*(teams or (Team("serving", 100, 0, 24), Team("tuning", 100, 0, 4))))
    for number in range(machines):
        add_machine(into, f"vm-{number:06}", "ab"[number % 2], **GPU_MACHINE)
    return into


def add(into: Cluster, values: dict[str, object], at_us: int = 0) -> Job:
    number = values.pop("number")
    assert isinstance(number, int)
    return add_job(into, job_spec(number, **values), at_us)


def place(into: Cluster, at_us: int) -> PlacementPlan:
    """Run a placement pass; its starts run at once."""
    plan = plan_starts(into, RunTimeEstimates(), OBJECTIVES, at_us, MAX_SILENCE_US, 45 * S)
    for start in plan.starts:
        attempt = into.start(start.job, start.index, start.machine, at_us)
        attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, at_us
        attempt.sent_sequence = 1
        start.machine.record_image(start.job.spec.image, start.job.spec.image_gb)
    return plan


def reclaim(into: Cluster, plan: PlacementPlan, lists: ReclaimLists, at_us: int) -> list[Reclaim]:
    """Run a preemption pass, and request the stop of all victims."""
    found = plan_preemptions(into, lists, plan, RunTimeEstimates(), at_us, SETTINGS, OBJECTIVES)
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


# Sums of floats accumulate rounding errors; sums of converted amounts have none.
@given(st.lists(st.integers(0, 10**9), max_size=50))
def test_sums_of_decimals_are_exact(thousandths: list[int]) -> None:
    assert sum(required_units(n / 1000) for n in thousandths) == sum(thousandths) * UNITS // 1000
    assert all(allowed_units(n / 1000) == required_units(n / 1000) for n in thousandths)


def test_required_amounts_round_up_and_allowed_amounts_down() -> None:
    assert (required_units(4e-7), allowed_units(4e-7), required_units(math.inf)) == (
        1,
        0,
        UNBOUNDED,
    )
    # A limit of 0 in the settings means that there is no limit.
    assert quota_bounds(Team("guest", 0, 0, 0, 0)).limit == (UNBOUNDED, UNBOUNDED)


def test_borrowing_is_decided_for_each_resource_alone() -> None:
    """A team that used more CPUs than its guarantee counted as borrowing its GPUs too."""
    into = with_cards(2, Team("serving", 100, 0, 8), Team("tuning", 4, 0, 8))
    add(into, tuning(1, 2))
    add(into, tuning(2, 2, gpus=0.0))
    place(into, S)
    account = QuotaAccount(into.teams, into.usage)
    assert account.is_borrowing("tuning", Resource.CPUS)
    assert not account.is_borrowing("tuning", Resource.GPUS)
    status = account.quota_status("tuning", Resource.GPUS)
    assert status is not None and status.unused_guarantee == 4 * UNITS
    # The GPUs are within the guarantee although the CPUs used along with them are borrowed.
    assert account.is_within_guarantee("tuning", job_spec(team="tuning", gpus=4.0))
    assert not account.is_within_guarantee("tuning", job_spec(team="tuning", gpus=4.5))


# -- choice of victims ---------------------------------------------------------------------


def test_pass_never_takes_team_below_its_gpu_guarantee() -> None:
    into = with_cards(4)
    add(into, tuning(1, 8))
    place(into, S)
    add(into, replicas(2, 24))
    lists = ReclaimLists()
    found = reclaim(into, place(into, 2 * S), lists, 2 * S)
    # Of 16 GPUs in use 4 are guaranteed: six tasks of two GPUs stop, however many replicas wait.
    assert len(victims(found)) == 6
    assert len(found) == 12
    assert reclaim(into, place(into, 3 * S), lists, 3 * S) == []


def test_victim_is_job_with_most_gpus_not_most_cpus() -> None:
    into = with_cards(3)
    cpu_heavy = add(into, tuning(1, 1, gpus=1.0, cpus=30.0))
    gpu_heavy = add(into, tuning(2, 4))
    place(into, S)
    assert len(gpu_heavy.active) == 4 and len(cpu_heavy.active) == 1
    machines_with_free_gpus = [m for m in into.machines.values() if m.gpus >= 1.0]
    for machine in machines_with_free_gpus:
        machine.draining = True
    add(into, replicas(3, 1))
    found = reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S)
    assert {victim.job for victim in victims(found)} == {gpu_heavy}


def test_victims_share_the_machine_that_has_the_image() -> None:
    """Of equal machines, the one that has the claimant's image is chosen for all victims."""
    into = with_cards(3, Team("serving", 0, 0, 24), Team("tuning", 0))
    add(into, tuning(1, 12, gpus=1.0))
    place(into, S)
    into.machines["vm-000001"].record_image("weights", 16.0)
    add(into, replicas(2, 1, gpus=3.0))
    found = reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S)
    assert [(entry.machine, len(entry.victims)) for entry in found] == [("vm-000001", 3)]


def test_cpu_claim_never_takes_guaranteed_gpus() -> None:
    into = with_cards(1, Team("serving", 100), Team("tuning", 0, 0, 4))
    add(into, tuning(1, 2, cpus=16.0))
    place(into, S)
    add(into, replicas(2, 2, gpus=0.0))
    assert reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S) == []


def test_gpus_of_all_victims_of_a_cpu_claim_are_summed() -> None:
    """Counted in CPUs alone, several stops could take a team below its GPU guarantee."""
    into = with_cards(1, Team("serving", 100), Team("tuning", 0, 0, 2))
    add(into, tuning(1, 4, gpus=1.0, cpus=8.0))
    place(into, S)
    # Two GPUs are borrowed; a task of 24 CPUs requires three of the tasks to stop.
    add(into, replicas(2, 1, gpus=0.0, cpus=24.0))
    assert reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S) == []
    add(into, replicas(3, 1, gpus=0.0, cpus=16.0))
    found = reclaim(into, place(into, 3 * S), ReclaimLists(), 3 * S)
    assert len(victims(found)) == 2


def test_next_leader_stops_no_task_beyond_those_already_stopping() -> None:
    """The tasks that the previous leader stopped are still saving when the next one takes over."""
    into = with_cards(4)
    tuning_job = add(into, tuning(1, 8))
    place(into, S)
    add(into, replicas(2, 24))
    stopped = victims(reclaim(into, place(into, 2 * S), ReclaimLists(), 2 * S))
    assert len(stopped) == 6
    next_cluster = with_cards(4)
    add(next_cluster, tuning(1, 8))
    add(next_cluster, replicas(2, 24))
    for machine in next_cluster.machines.values():
        tasks = [
            ReportedTask(a.task, a.number, "saving" if a in stopped else "running")
            for a in tuning_job.active.values()
            if a.machine == machine.name
        ]
        apply_heartbeat(
            next_cluster, machine, report(machine, 5, tasks), 3 * S, MessageSource.HEARTBEAT
        )
    assert len(next_cluster.stopping) == 6
    assert victims(reclaim(next_cluster, place(next_cluster, 3 * S), ReclaimLists(), 3 * S)) == []


def test_two_teams_claiming_at_once_get_their_guarantees() -> None:
    into = with_cards(4, Team("serving", 0, 0, 8), Team("other", 0, 0, 8), Team("tuning", 0))
    add(into, tuning(1, 8))
    place(into, S)
    for number, team in ((2, "serving"), (3, "other")):
        add(into, replicas(number, 16, team=team))
    lists = ReclaimLists()
    plan = place(into, 2 * S)
    found = reclaim(into, plan, lists, 2 * S)
    reclaims_by_team = dict.fromkeys(("serving", "other"), 0)
    for entry in found:
        reclaims_by_team[into.jobs[entry.job_id].team] += 1
    assert sum(reclaims_by_team.values()) == 16 and len(victims(found)) == 8


def test_guarantees_above_capacity_preempt_no_guaranteed_task() -> None:
    into = with_cards(3, Team("serving", 0, 0, 8), Team("tuning", 0, 0, 4))
    add(into, tuning(1, 2))
    add(into, replicas(2, 8))
    place(into, S)
    # A third of the GPU machines is lost: twelve GPUs are guaranteed, eight exist.
    lost_machine = into.machines["vm-000002"]
    into.remove_machine(lost_machine)
    lists = ReclaimLists()
    assert victims(reclaim(into, place(into, 2 * S), lists, 2 * S)) == []
    into.check_invariants()


def test_victims_of_cancelled_claim_restart_on_their_machines() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("tuning", 0))
    tuning_job = add(into, tuning(1, 2))
    place(into, S)
    claimant = add(into, replicas(2, 4))
    lists = ReclaimLists()
    stopped = victims(reclaim(into, place(into, 2 * S), lists, 2 * S))
    assert len(stopped) == 2
    claimant.cancelled = True
    for victim in stopped:
        into.release(victim)
    plan = place(into, 6 * S)
    assert [(start.job, start.index, start.machine.name) for start in plan.starts] == [
        (tuning_job, victim.index, victim.machine) for victim in stopped
    ]


# -- restarts of victims -------------------------------------------------------------------


# No task is preempted more often per hour than the maximum. A claim comes after each pause, and
# the stopped task restarts ``back_s`` seconds after its stop.
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


def test_restarted_victim_runs_undisturbed_for_minimum_time() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("tuning", 0))
    add(into, tuning(1, 2))
    place(into, S)
    lists = ReclaimLists()
    for number, at_us in ((2, 2 * S), (3, 20 * S), (4, 15 * S + MIN_UNDISTURBED_RUN_US)):
        claimant = add(into, replicas(number, 4))
        stopped = victims(reclaim(into, place(into, at_us), lists, at_us))
        assert len(stopped) == (0 if number == 3 else 2)
        claimant.cancelled = True
        lists.trim(claimant.id, 0)
        for victim in stopped:
            into.release(victim)
        place(into, at_us + 5 * S)


def test_next_leader_restarts_victims_in_the_same_order() -> None:
    """The leader changes when the victims have ended and the replicas have not started."""
    into = with_cards(3, Team("serving", 0, 0, 8), Team("tuning", 0))
    tuning_job = add(into, tuning(1, 9))
    place(into, S)
    running = sorted(tuning_job.active)
    add(into, replicas(2, 8))
    lists = ReclaimLists()
    stopped = victims(reclaim(into, place(into, 2 * S), lists, 2 * S))
    assert len(stopped) == 4
    for victim in stopped:
        into.release(victim)
    # The rows are those in the state service; the second leader's clock differs.
    rows = [
        row
        for n in range(SHARD_COUNT)
        for row in build_rows(lists.preemption_history, n, 900 * S, 8_000)
    ]
    next_cluster = with_cards(3, Team("serving", 0, 0, 8), Team("tuning", 0))
    next_tuning_job = add(next_cluster, tuning(1, 9))
    for index in running:
        if index not in [victim.index for victim in stopped]:
            attempt = next_cluster.start(
                next_tuning_job, index, next_cluster.machines[tuning_job.active[index].machine], S
            )
            attempt.phase = AttemptPhase.RUNNING
    next_history = PreemptionHistory()
    restore_rows(next_history, rows, next_cluster.jobs, 880 * S)
    by_first, by_second = place(into, 30 * S).starts, place(next_cluster, 50 * S).starts
    into.jobs.remove("run-000002")
    order = [(start.index, start.machine.name) for start in by_second]
    assert order[:4] == [(victim.index, victim.machine) for victim in stopped]
    assert all(start.job.id == "run-000002" for start in by_first[:8])
    # The second leader does not stop them again before the minimum time either.
    attempt = next_tuning_job.active[stopped[0].index]
    assert next_history.is_protected(attempt, 60 * S) and not next_history.is_protected(
        attempt, 55 * S + MIN_UNDISTURBED_RUN_US
    )


def test_full_record_omits_the_oldest_preemptions() -> None:
    into = with_cards(1, Team("tuning", 0))
    job = add(into, tuning(1, 500))
    history = PreemptionHistory()
    machine = next(iter(into.machines))
    for index in range(500):
        history.record_preemption(Attempt(job, index, index + 1, machine, 0), (index + 1) * S)
    rows = build_rows(history, shard_of(job.id), 0, 8_192)
    assert 100 < len(rows) < 500 and [row[1] for row in rows] == list(
        range(499, 499 - len(rows), -1)
    )
    assert len(msgspec.json.encode(rows)) <= 8_192
    history.expire(5_000 * S, into.jobs)
    assert len(history) == 500
    into.jobs.remove(job.id)
    history.expire(5_000 * S, into.jobs)
    assert len(history) == 0


# -- the account agrees with a recount -----------------------------------------------------


class Site:
    """A GPU cluster that changes at random; its usage is recounted after each pass."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 10 * S
        self.into = with_cards(
            4, Team("serving", 20, 0, 5), Team("tuning", 30, 0, 4.5), Team("guest", 0, 60, 0, 9)
        )
        add_machine(self.into, "vm-000099", cpus=16.0, memory_gb=64.0)
        self.lists = ReclaimLists()
        self.jobs = 0

    def change(self) -> None:
        rng, into = self.rng, self.into
        attempts = [a for m in into.machines.values() for a in m.attempts.values()]
        match rng.randrange(6):
            case 0 | 1 | 2:
                self.jobs += 1
                add(into, {
                    "number": self.jobs, "team": rng.choice(("serving", "tuning", "guest")),
                    "job_class": rng.choice(("serve", "other")), "tasks": rng.randint(1, 9),
                    "priority": rng.choice(("idle", "normal", "high")),
                    "gpus": rng.choice((0.0, 0.5, 1.0, 1.5, 2.0, 4.0)),
                    "cpus": rng.choice((0.1, 0.7, 4.0, 9.3)), "spread": rng.random() < 0.1,
                    "checkpoint_s": rng.choice((0.0, 10.0)), "estimate_s": 20.0,
                    "image": rng.choice(("weights", "img")),
                }, self.now)  # fmt: skip
            case 3 if attempts:
                into.release(rng.choice(attempts), completed=rng.random() < 0.5)
            case 4:
                for attempt in list(into.stopping.values()):
                    into.release(attempt)
            case _:
                self.now += rng.choice((S, 30 * S, 200 * S))

    def gpus_in_use(self) -> dict[str, int]:
        """Recount by team the GPUs of attempts without a stop request."""
        found = dict.fromkeys(self.into.teams, 0)
        for machine in self.into.machines.values():
            for attempt in machine.attempts.values():
                if attempt.stop_request is StopRequest.NO:
                    found[attempt.job.team] += required_amounts(attempt.job.spec)[Resource.GPUS]
        return found

    def decide(self) -> None:
        plan = place(self.into, self.now)
        before = self.gpus_in_use()
        found = reclaim(self.into, plan, self.lists, self.now)
        after = self.gpus_in_use()
        by_other = {
            victim.job.team
            for entry in found
            for victim in entry.victims
            if victim.job.team != self.into.jobs[entry.job_id].team
        }
        for team, bounds in ((t, quota_bounds(self.into.teams[t])) for t in by_other):
            own = any(
                victim.job.team == team == self.into.jobs[entry.job_id].team
                for entry in found
                for victim in entry.victims
            )
            min_gpus = min(before[team], bounds.guarantee[Resource.GPUS])
            assert own or after[team] >= min_gpus
        for team in self.into.teams:
            limit = quota_bounds(self.into.teams[team]).limit
            assert all(
                used <= bound
                for used, bound in zip(self.into.usage[team].units, limit, strict=True)
            )
        self.into.check_invariants()


# The sums of the cluster equal a recount, and no pass takes a team below its GPU guarantee.
@settings(max_examples=100)
@given(st.integers(0, 2**32))
def test_the_account_is_a_recount_and_no_pass_takes_guaranteed_cards(seed: int) -> None:
    site = Site(seed)
    for _ in range(40):
        site.change()
        site.decide()


def test_image_larger_than_the_cache_is_always_fetched() -> None:
    into = with_cards(1)
    machine = next(iter(into.machines.values()))
    large = add(into, replicas(1, 1, image_gb=80.0))
    machine.record_image("weights", 80.0)
    assert (
        estimate_fetch_delay_us(large, FreeCapacity(machine))
        == estimate_image_fetch_us(large.spec, machine)
        == 80 * S
    )


def test_different_images_are_placed_on_different_machines() -> None:
    into = with_cards(4)
    for number in range(4):
        add(into, replicas(number, 1, image=f"weights-{number}"))
    starts = place(into, S).starts
    assert len({start.machine.name for start in starts}) == 4


def test_cpu_tasks_leave_cpus_for_free_gpus_that_are_wanted() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("red", 100))
    add(into, replicas(1, 1, gpus=3.0))
    add(into, replicas(2, 1, gpus=2.0))
    small = add_job(into, job_spec(3, tasks=16, cpus=4.0, priority="high"))
    # There is a machine without GPUs too, and it is full.
    other = add_machine(into, "vm-000099", cpus=16.0)
    into.start(add_job(into, job_spec(4, tasks=1, cpus=16.0)), 0, other, S)
    plan = place(into, S)
    # One GPU stays free, with 8 of 32 CPUs; the replica that has started uses 4 of the other 24.
    assert sum(start.job is small for start in plan.starts) == 5
    # No waiting task needs the free GPU any more, and the machine has not changed.
    into.jobs["run-000002"].cancelled = True
    assert sum(start.job is small for start in place(into, 2 * S).starts) == 2


def test_cpu_tasks_use_all_cpus_if_all_machines_have_gpus() -> None:
    into = with_cards(1, Team("serving", 0, 0, 4), Team("red", 100))
    add(into, replicas(1, 1, gpus=3.0))
    add(into, replicas(2, 1, gpus=2.0))
    small = add_job(into, job_spec(3, tasks=16, cpus=4.0, priority="high"))
    assert sum(start.job is small for start in place(into, S).starts) == 7


def test_gpu_machines_are_rented_although_cpus_are_free() -> None:
    into = cluster(Team("serving", 100, 0, 8))
    add_machine(into, cpus=64.0, memory_gb=512.0)
    add(into, replicas(1, 2))
    plan = place(into, S)
    kinds = [machine_type(name="plain", cpus=64.0, memory_gb=512.0, price=0.1, spot_price=0.1)]
    kinds.append(machine_type(name="cards", **GPU_MACHINE))
    fleet = Tunables().fleet.settings()
    found = plan_scale_out(
        into, plan, RentalOffers(kinds), RunTimeEstimates(), OBJECTIVES, S, fleet
    )
    assert [(offer.type.name, count) for offer, count in found.items()] == [("cards", 1)]


def test_idle_machine_is_kept_longer_for_its_cached_image() -> None:
    into = with_cards(1)
    machine = next(iter(into.machines.values()))
    machine.type = machine_type(boot_s=20.0, **GPU_MACHINE)
    machine.record_image("weights", 16.0)
    fleet = Tunables().fleet.settings()
    machine.scale_in_candidate = True
    machine.idle_since_us = 100 * S
    assert plan_scale_in(into, 135 * S, fleet) == []
    assert plan_scale_in(into, 136 * S, fleet) == [machine]
