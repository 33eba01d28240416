"""The start of a term: what is decided, and several machines that fail around it."""

import asyncio
import random
import subprocess
import sys
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import add_job, add_machine, cluster, job_spec, machine_type, report
from tests.support.leaders import Clock, leader_of, put_job, put_machine
from tests.support.paths import ROOT
from tests.support.stand_ins import StandInState, StandInTask
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import StopRequest
from weldhead.controller.workers.heartbeat_reconciler import apply_heartbeat
from weldhead.controller.workers.pending_commands import pending_commands
from weldhead.emulator.experiment import play
from weldhead.emulator.scenario import Fault, Scenario, read_scenario
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import Heartbeat, ReportedTask
from weldhead.reconciliation.attempt_verdicts import (
    AttemptVerdict,
    MachineRecoveryState,
    ReconciliationCounts,
    classify_attempt,
    machine_recovery_state,
)
from weldhead.reconciliation.buffered_heartbeats import HeartbeatBuffer, MessageSource
from weldhead.reconciliation.command_queue import CommandPriority, CommandQueue, queue_position
from weldhead.reconciliation.partial_view import make_partial_view, unverified_usage
from weldhead.reconciliation.preemption_rate_limit import (
    PreemptionRateLimit,
    PreemptionRateSettings,
)
from weldhead.reconciliation.status_probes import ProbeSettings, StatusProbes
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput

S = 1_000_000
MS = 1_000


@pytest.mark.parametrize(
    ("package", "least"),
    [
        ("reconciliation", 6),
        ("failure_attribution", 2),
        ("provisioning", 1),
        ("admission", 2),
        ("membership", 2),
        ("scheduling", 30),
        ("admission", 1),
        ("scheduling", 30),
        ("quota", 2),
        ("scheduling", 30),
        ("documents", 3),
        ("calendars", 7),
        ("gates", 3),
        ("reachability", 3),
    ],
)
def test_decisions_can_import_nothing_that_waits_or_sends(package: str, least: int) -> None:
    program = f"""
import sys
sys.path[:0] = ["target/deps", "."]
import pkgutil, weldhead.{package} as package
names = [m.name for m in pkgutil.walk_packages(package.__path__, package.__name__ + ".")]
for name in names:
    __import__(name)
bad = {{"asyncio", "aiohttp", "socket", "selectors", "threading", "weldhead.transport"}}
bad |= {{"weldhead.controller"}}
print(len(names), sorted(bad & set(sys.modules)))
"""
    ran = subprocess.run([sys.executable, "-S", "-c", program], cwd=ROOT, capture_output=True)
    # What the interpreter and msgspec load by themselves is not the decisions' doing.
    plain = "import sys; sys.path[:0] = ['target/deps']; import msgspec, dataclasses, collections"
    plain += "; print(sorted({'asyncio', 'socket', 'selectors', 'threading'} & set(sys.modules)))"
    base = subprocess.run([sys.executable, "-S", "-c", plain], cwd=ROOT, capture_output=True)
    count, found = ran.stdout.decode().split(" ", 1)
    assert int(count) >= least, ran.stderr.decode()
    assert found == base.stdout.decode()


# -- verdicts ------------------------------------------------------------------------------


def judged(name: str, state: Any = "running", why: str | None = None, **of: Any) -> Any:
    """A cluster with one machine, on which a former term's attempt of a task is reported."""
    into = cluster(Team("red", 8, of.pop("limit", 100)))
    machine = add_machine(into)
    job = add_job(into, job_spec(1, tasks=4, **of.pop("spec", {})))
    return into, machine, job, ReportedTask(name, 7, state, why)


@pytest.mark.parametrize(
    ("verdict", "task", "prepare", "active", "commands"),
    [
        (AttemptVerdict.ADOPTED, ("run-000001/0", "running", None), "", 1, []),
        (AttemptVerdict.COMPLETED, ("run-000001/0", "ended", "done"), "", 0, ["forget"]),
        (AttemptVerdict.ENDED, ("run-000001/0", "ended", "halted"), "", 0, ["forget"]),
        (AttemptVerdict.ENDED, ("run-000009/0", "ended", "done"), "", 0, ["forget"]),
        (AttemptVerdict.ENDED, ("run-000001/0", "ended", "done"), "cancelled", 0, ["forget"]),
        (AttemptVerdict.CANCELLED, ("run-000001/0", "saving", None), "cancelled", 1, ["kill"]),
        (AttemptVerdict.JOB_OVER, ("run-000001/0", "running", None), "completed", 0, ["kill"]),
        (AttemptVerdict.UNKNOWN_JOB, ("run-000009/0", "running", None), "", 0, ["kill"]),
        (AttemptVerdict.UNKNOWN_JOB, ("run-000001/4", "running", None), "", 0, ["kill"]),
        (AttemptVerdict.UNKNOWN_JOB, ("nonsense", "pulling", None), "", 0, ["kill"]),
        (AttemptVerdict.DUPLICATE, ("run-000001/0", "running", None), "elsewhere", 1, ["kill"]),
        (AttemptVerdict.OVER_LIMIT, ("run-000001/0", "running", None), "limit", 1, []),
        (AttemptVerdict.NO_CAPACITY, ("run-000001/0", "running", None), "large", 1, ["kill"]),
    ],
)
def test_each_verdict_has_its_order(
    verdict: AttemptVerdict, task: Any, prepare: str, active: int, commands: list[str]
) -> None:
    spec = {"cpus": 5.0} if prepare == "large" else {}
    into, machine, job, told = judged(*task, spec=spec, limit=1 if prepare == "limit" else 100)
    if prepare == "cancelled":
        job.cancelled = True
    if prepare == "completed":
        job.complete_waiting(0)
    if prepare == "elsewhere":
        into.start(job, 0, add_machine(into, "vm-000002"), 0)
    assert classify_attempt(into, machine, told) is verdict
    outcome = apply_heartbeat(into, machine, report(machine, 2, [told]), 0, MessageSource.HEARTBEAT)
    assert outcome.verdicts == {verdict: 1}
    orders = pending_commands(machine, lambda _: True, may_start=True, sequence=2)
    assert [order.op for order in orders] == commands
    assert len(job.active) == active
    into.check_invariants()
    # Said again, it is the same attempt: judged once.
    again = apply_heartbeat(into, machine, report(machine, 3, [told]), 0, MessageSource.HEARTBEAT)
    assert not again.verdicts
    tally = ReconciliationCounts()
    tally.attempts.update(outcome.verdicts)
    assert f"attempts: 1 {verdict.value}" in tally.summary(into)


def test_each_standing_of_a_machine() -> None:
    into = cluster()
    known, silent, unused, leaving, gone = (add_machine(into, f"vm-{n}") for n in range(5))
    silent.reconciled = unused.reconciled = False
    unused.enrolled, leaving.deleting = False, True
    gone.expired_session = gone.session
    found = [machine_recovery_state(m) for m in (known, silent, unused, leaving, gone, None)]
    assert found == [
        MachineRecoveryState.KNOWN, MachineRecoveryState.SILENT, MachineRecoveryState.UNUSED,
        MachineRecoveryState.DELETING, MachineRecoveryState.GONE,
        MachineRecoveryState.UNRECORDED,
    ]  # fmt: skip


# -- answered from the first moment --------------------------------------------------------


def test_reports_before_the_load_are_answered_kept_and_applied(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1, tasks=4))
    worker, other = put_machine(state, "vm-000001"), put_machine(state, "vm-000002")
    worker.tasks["run-000001/0"] = StandInTask(7, "running")
    leader = leader_of(state, clock())
    first = worker.report()
    answer = leader.handle_heartbeat(first, clock(), relayed=False)
    assert answer is not None and (answer.token, answer.commands) == (leader.token, [])
    worker.answered(answer)
    clock.us += S
    answered_us = clock()
    assert leader.handle_heartbeat(worker.report(), answered_us, relayed=True) is not None
    # Held back on the way: its sender has given up, so it renewed nothing.
    assert leader.handle_heartbeat(first, clock(), relayed=False) is None
    stranger = msgspec.structs.replace(first, machine="vm-000009", tasks=[])
    assert leader.handle_heartbeat(stranger, clock(), relayed=False) is not None
    clock.us += S
    asyncio.run(leader.recovery.load())
    machine = leader.cluster.machines["vm-000001"]
    assert machine.reconciled and machine.relayed and "run-000001/0" in machine.attempts
    assert machine.last_heartbeat_us == machine.lease_from_us == answered_us
    # Whoever has shown the token is not asked for it.
    assert leader.recovery.status_probes.next_targets(clock()) == [other.name]


def test_the_newest_message_of_a_machine_is_kept() -> None:
    early, into = HeartbeatBuffer(), cluster()
    machine = add_machine(into)
    messages: list[Heartbeat] = [report(machine, n, []) for n in range(5)]
    assert early.add_answered(messages[1], 10, relayed=False)
    early.add_probe_answer(messages[0])
    early.add_probe_answer(messages[3])
    (kept,) = early.take()
    assert (kept.heartbeat, kept.answered_us) == (messages[3], 10)
    assert kept.source is MessageSource.COMMAND_ANSWER
    early.add_probe_answer(messages[2])
    assert early.add_answered(messages[4], 20, relayed=True)
    (kept,) = early.take()
    assert (kept.heartbeat, kept.answered_us) == (messages[4], 20)
    assert kept.source is MessageSource.HEARTBEAT
    assert len(early) == 0


# -- asking --------------------------------------------------------------------------------


@given(gone=st.sets(st.integers(0, 59)), at_once=st.integers(4, 80), answer_ms=st.integers(1, 120))
def test_everybody_is_asked_twice_before_anybody_is_given_up(
    gone: set[int], at_once: int, answer_ms: int
) -> None:
    """In the order of asking, those that are gone held all turns (found on an own day)."""
    asking = StatusProbes(ProbeSettings(at_once))
    asking.add(f"vm-{n}" for n in range(60))
    events: list[tuple[int, str, bool]] = []
    at_us = 0
    while at_us < 30 * S and not asking.is_finished:
        due = [event for event in events if event[0] <= at_us]
        events = [event for event in events if event[0] > at_us]
        for _, name, answers in due:
            if answers:
                asking.record_answer(name, at_us)
                asking.mark_known(name)
            else:
                asking.record_failure(name)
        for name in asking.next_targets(at_us):
            answers = int(name[3:]) not in gone
            events.append((at_us + (answer_ms if answers else 400) * MS, name, answers))
        assert asking.in_flight <= at_once
        vain = asking.unanswered(at_us, 0)
        assert vain <= {f"vm-{n}" for n in gone}
        if len(vain) == len(gone) > 0:
            break
        at_us += 20 * MS
    assert asking.is_finished == (not gone)
    if gone:
        assert len(vain) == len(gone) and at_us < 20 * S


def test_silence_while_the_loop_is_late_tells_nothing() -> None:
    asking = StatusProbes(ProbeSettings())
    asking.add(["vm-1"])
    assert asking.next_targets(0) == ["vm-1"] and asking.next_targets(100 * MS) == []
    assert asking.next_targets(150 * MS) == ["vm-1"]
    assert asking.unanswered(S, 2 * S) == set()
    assert asking.unanswered(S, 0) == {"vm-1"}


# -- ready by parts ------------------------------------------------------------------------


@given(seed=st.integers(0, 1 << 32), silent=st.integers(0, 6))
def test_what_starts_early_runs_nowhere_else_and_stays_in_the_limit(seed: int, silent: int) -> None:
    """Whatever an earlier leader has on unknown machines by its own rules."""
    rng = random.Random(seed)
    into = cluster(Team("red", 8, rng.choice((6, 12, 30))), Team("blue", 4, 20))
    machines = [add_machine(into, f"vm-{n:06}", zone=rng.choice("ab")) for n in range(8)]
    unknown, known = machines[:silent], machines[silent:]
    for machine in unknown:
        machine.reconciled = False
    for number in range(8):
        spec = job_spec(
            number, team=rng.choice(("red", "blue")), tasks=rng.randint(1, 6),
            cpus=rng.choice((1.0, 2.0)), zone=rng.choice((None, None, "a")),
        )  # fmt: skip
        add_job(into, spec).version = rng.choice((5, 50))
    hidden: set[tuple[str, int]] = set()
    hidden_cpus = dict.fromkeys(into.teams, 0.0)
    for job in into.jobs.values():
        if job.version > 10:
            continue
        for index in range(job.spec.tasks):
            machine = rng.choice(machines)
            room = into.teams[job.team].cpus_max - into.usage[job.team].cpus
            room -= hidden_cpus[job.team]
            if room < job.spec.cpus or not machine.allows(job) or machine.capacity_for(job) < 1:
                continue
            if machine in known:
                into.start(job, index, machine, 0)
            elif rng.random() < 0.8:
                hidden.add((job.id, index))
                hidden_cpus[job.team] += job.spec.cpus
                machine.cpus -= job.spec.cpus
    partial = make_partial_view(into.machines.values(), 10)
    into.unverified_usage = unverified_usage(into, partial)
    scene = PlacementInput(into, RunTimeEstimates(), ServiceLevelObjectives([]), 0)
    plan = plan_pass(scene, 0, 10 * S, 1.0, partial.is_settled)
    used = {team: into.usage[team].cpus + hidden_cpus[team] for team in into.teams}
    for start in plan.starts:
        assert (start.job.id, start.index) not in hidden
        assert start.machine in known
        used[start.job.team] += start.job.spec.cpus
    assert all(used[name] <= team.cpus_max for name, team in into.teams.items())
    if not unknown:
        assert not into.unverified_usage


def test_a_cancelled_job_is_not_taken_for_a_new_one() -> None:
    """Its cancellation wrote its record anew; what runs of it was started long before."""
    into = cluster()
    machine = add_machine(into)
    machine.reconciled = False
    job = add_job(into, job_spec(1, tasks=4))
    job.version, job.cancelled = 50, True
    partial = make_partial_view(into.machines.values(), 10)
    assert not partial.is_settled(job)
    assert unverified_usage(into, partial)["red"].cpus == 4.0


def test_a_type_that_left_the_catalog_may_hold_anything() -> None:
    into = cluster()
    lost = machine_type(cpus=0, memory_gb=0)
    machine = Machine("vm-000001", lost, "a", False, 0)
    machine.enrolled = True
    into.machines[machine.name] = machine
    job = add_job(into, job_spec(1, tasks=4))
    partial = make_partial_view(into.machines.values(), None)
    assert not partial.is_settled(job)
    assert unverified_usage(into, partial)["red"].cpus == 8.0


# -- no storm ------------------------------------------------------------------------------


def test_stops_are_paced_until_the_start_is_settled() -> None:
    pace = PreemptionRateLimit(PreemptionRateSettings(settle_us=10 * S, stop_share=0.001))
    stopped = []
    for at_us in range(0, 10 * S, 250 * MS):
        allowed = pace.allowed(0, 5_000, at_us)
        assert allowed is not None
        pace.record(allowed)
        stopped.append(allowed)
    # Five a second, and in no 2 s more than a burst beyond that.
    assert 45 <= sum(stopped) <= 50
    assert max(sum(stopped[n : n + 8]) for n in range(32)) <= 12
    assert pace.allowed(0, 5_000, 10 * S) is None


def test_the_most_urgent_machine_is_told_first() -> None:
    into = cluster(Team("red", 4, 100), Team("blue", 0, 100))
    rest, start, stop, cancelled, ghost = (add_machine(into, f"vm-{n}") for n in range(5))
    jobs = [add_job(into, job_spec(n, team="blue" if n == 0 else "red")) for n in range(4)]
    jobs[3].cancelled = True
    into.start(jobs[0], 0, rest, 0)
    into.start(jobs[1], 0, start, 0)
    into.stop(into.start(jobs[2], 0, stop, 0), StopRequest.SOFT, 0, "room")
    into.jobs["run-000003"].cancelled = False
    into.stop(into.start(jobs[3], 0, cancelled, 0), StopRequest.HARD, 0, "cancelled")
    jobs[3].cancelled = True
    ghost.orphans.add(("run-000009/0", 1))
    into.usage["red"].cpus = 4.0
    outbox = CommandQueue()
    for machine in (rest, start, stop, cancelled, ghost, rest):
        outbox.put(machine.name, queue_position(into, machine))
    assert [queue_position(into, m)[0] for m in (rest, start, stop)] == [
        CommandPriority.OTHER, CommandPriority.GUARANTEED_START, CommandPriority.FREES_CAPACITY,
    ]  # fmt: skip
    # What became more urgent meanwhile moves up, and has one turn.
    outbox.put(rest.name, (CommandPriority.REQUIRED_STOP, -1))
    assert rest.name in outbox and len(outbox) == 5
    order = [outbox.pop() for _ in range(6)]
    assert order == [rest.name, cancelled.name, ghost.name, stop.name, start.name, None]


# -- several machines that fail ------------------------------------------------------------


def down(at_s: float, for_s: float = 3.0) -> Fault:
    return Fault("controllers_end", at_s, for_s)


def cut(share: float, at_s: float, for_s: float) -> Fault:
    return Fault("machines_cut", at_s, for_s, share=share)


STARTS: dict[str, list[Fault]] = {
    "shorter than a lease": [down(30, 6)],
    "as long as a lease": [down(30, 13.6)],
    "longer than a lease": [down(30, 20)],
    "twice in a row": [down(30), down(34.2)],
    "during a recovery": [down(30), cut(0.5, 29, 20), down(37)],
    "store down": [down(30), Fault("store_down", 29, 12)],
    "store slow": [down(30), Fault("store_slow", 25, 30, most_s=0.4)],
    "store serves one": [down(30), Fault("store_refuses", 28, 15, count=2)],
    "a tenth silent": [down(30), cut(0.1, 29, 25)],
    "a third silent": [down(30), cut(0.33, 29, 25)],
    "half silent": [down(30), cut(0.5, 29, 10), cut(0.5, 45, 20)],
    "nine tenths silent": [down(30), cut(0.9, 29, 25)],
    "new sessions": [down(30), Fault("machines_restart", 31, share=0.5)],
    "dead": [down(30), Fault("machines_die", 29, share=0.4)],
    "late commands": [
        Fault("messages_late", 10, 30, chance=0.2, most_s=25), down(30), cut(0.3, 28, 12),
    ],
    "late changes": [Fault("store_late", 20, 12, chance=0.3, most_s=20), down(30)],
    "two leaders": [
        Fault("controllers_freeze", 30, 6, count=1, leader=True),
        Fault("controllers_peers", 45, 8, count=1, leader=True, mode="refuse"),
        Fault("controllers_from_workers", 45, 8, count=1, leader=True, mode="hold"),
    ],
}  # fmt: skip


def starts_site(faults: list[Fault]) -> Scenario:
    site = read_scenario(ROOT / "deploy" / "scenarios" / "all-down.toml")
    return msgspec.structs.replace(site, machines=16, seconds=80.0, faults=faults)


@pytest.mark.parametrize("name", STARTS)
def test_no_rule_is_broken_around_a_start(name: str) -> None:
    for seed in range(2):
        result = play(starts_site(STARTS[name]), seed)
        assert not result.broken, result.details
        assert result.counts["done"] > 60 and result.ready_s


def test_no_task_is_lost_to_a_lease_while_controllers_are_away_for_less() -> None:
    """The lease is 14 s and counts from sending the last answered report, up to 3.75 s before the
    fall; whoever was refused tries again after a second. What is left of it is survived."""
    for seed in range(4):
        result = play(starts_site([down(30, 8.0)]), seed)
        assert result.counts["killed by a lease"] == 0
        assert result.counts["reports 503"] == 0


def test_guaranteed_work_starts_while_half_of_the_machines_are_silent() -> None:
    for seed in range(3):
        result = play(starts_site([down(30), cut(0.5, 29, 25)]), seed)
        assert not result.broken, result.details
        assert max(result.ready_s) > 10 and min(result.first_start_s) < 3
