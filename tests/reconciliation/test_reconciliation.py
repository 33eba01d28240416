"""Decisions at the start of a term, alone and while several machines fail around it."""

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
    ("package", "min_modules"),
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
def test_decision_packages_import_no_io_modules(package: str, min_modules: int) -> None:
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
    result = subprocess.run([sys.executable, "-S", "-c", program], cwd=ROOT, capture_output=True)
    # Modules that the interpreter and msgspec import by themselves are left out.
    minimal = "import sys; sys.path[:0] = ['target/deps']; import msgspec, dataclasses, collections"
    minimal += "; print(sorted({'asyncio', 'socket', 'selectors', 'threading'} & set(sys.modules)))"
    baseline = subprocess.run([sys.executable, "-S", "-c", minimal], cwd=ROOT, capture_output=True)
    count, found = result.stdout.decode().split(" ", 1)
    assert int(count) >= min_modules, result.stderr.decode()
    assert found == baseline.stdout.decode()


# -- verdicts ------------------------------------------------------------------------------


def cluster_with_reported_attempt(
    name: str, state: Any = "running", why: str | None = None, **of: Any
) -> Any:
    """A cluster with one machine that reports a previous term's attempt of a task."""
    cluster_state = cluster(Team("red", 8, of.pop("limit", 100)))
    machine = add_machine(cluster_state)
    job = add_job(cluster_state, job_spec(1, tasks=4, **of.pop("spec", {})))
    return cluster_state, machine, job, ReportedTask(name, 7, state, why)


@pytest.mark.parametrize(
    ("verdict", "task", "condition", "active", "commands"),
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
def test_each_verdict_gives_the_expected_commands(
    verdict: AttemptVerdict, task: Any, condition: str, active: int, commands: list[str]
) -> None:
    spec = {"cpus": 5.0} if condition == "large" else {}
    cluster_state, machine, job, reported = cluster_with_reported_attempt(
        *task, spec=spec, limit=1 if condition == "limit" else 100
    )
    if condition == "cancelled":
        job.cancelled = True
    if condition == "completed":
        job.complete_waiting(0)
    if condition == "elsewhere":
        cluster_state.start(job, 0, add_machine(cluster_state, "vm-000002"), 0)
    assert classify_attempt(cluster_state, machine, reported) is verdict
    outcome = apply_heartbeat(
        cluster_state, machine, report(machine, 2, [reported]), 0, MessageSource.HEARTBEAT
    )
    assert outcome.verdicts == {verdict: 1}
    pending = pending_commands(machine, lambda _: True, may_start=True, sequence=2)
    assert [command.op for command in pending] == commands
    assert len(job.active) == active
    cluster_state.check_invariants()
    # The same attempt reported again is not counted a second time.
    again = apply_heartbeat(
        cluster_state, machine, report(machine, 3, [reported]), 0, MessageSource.HEARTBEAT
    )
    assert not again.verdicts
    counts = ReconciliationCounts()
    counts.attempts.update(outcome.verdicts)
    assert f"attempts: 1 {verdict.value}" in counts.summary(cluster_state)


def test_each_recovery_state_of_a_machine() -> None:
    cluster_state = cluster()
    known, silent, unused, deleting, gone = (
        add_machine(cluster_state, f"vm-{n}") for n in range(5)
    )
    silent.reconciled = unused.reconciled = False
    unused.enrolled, deleting.deleting = False, True
    gone.expired_session = gone.session
    found = [machine_recovery_state(m) for m in (known, silent, unused, deleting, gone, None)]
    assert found == [
        MachineRecoveryState.KNOWN, MachineRecoveryState.SILENT, MachineRecoveryState.UNUSED,
        MachineRecoveryState.DELETING, MachineRecoveryState.GONE,
        MachineRecoveryState.UNRECORDED,
    ]  # fmt: skip


# -- heartbeats before the load ------------------------------------------------------------


def test_heartbeats_before_the_load_are_answered_and_applied(clock: Clock) -> None:
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
    # A delayed heartbeat renews no lease, because its worker no longer waits for the answer.
    assert leader.handle_heartbeat(first, clock(), relayed=False) is None
    stranger = msgspec.structs.replace(first, machine="vm-000009", tasks=[])
    assert leader.handle_heartbeat(stranger, clock(), relayed=False) is not None
    clock.us += S
    asyncio.run(leader.recovery.load())
    machine = leader.cluster.machines["vm-000001"]
    assert machine.reconciled and machine.relayed and "run-000001/0" in machine.attempts
    assert machine.last_heartbeat_us == machine.lease_start_us == answered_us
    # A machine that has shown the token is not probed.
    assert leader.recovery.status_probes.next_targets(clock()) == [other.name]


def test_buffer_keeps_the_newest_message_of_a_machine() -> None:
    buffer, cluster_state = HeartbeatBuffer(), cluster()
    machine = add_machine(cluster_state)
    messages: list[Heartbeat] = [report(machine, n, []) for n in range(5)]
    assert buffer.add_answered(messages[1], 10, relayed=False)
    buffer.add_probe_answer(messages[0])
    buffer.add_probe_answer(messages[3])
    (kept,) = buffer.take()
    assert (kept.heartbeat, kept.answered_us) == (messages[3], 10)
    assert kept.source is MessageSource.COMMAND_ANSWER
    buffer.add_probe_answer(messages[2])
    assert buffer.add_answered(messages[4], 20, relayed=True)
    (kept,) = buffer.take()
    assert (kept.heartbeat, kept.answered_us) == (messages[4], 20)
    assert kept.source is MessageSource.HEARTBEAT
    assert len(buffer) == 0


# -- status probes -------------------------------------------------------------------------


@given(
    gone=st.sets(st.integers(0, 59)),
    max_in_flight=st.integers(4, 80),
    answer_ms=st.integers(1, 120),
)
def test_every_machine_is_probed_twice_before_any_is_unanswered(
    gone: set[int], max_in_flight: int, answer_ms: int
) -> None:
    """Each machine is probed twice before any counts as unanswered.

    When machines were probed in the order of their addition, those that were gone took all slots,
    and the last machines were never probed a second time.
    """
    probes = StatusProbes(ProbeSettings(max_in_flight))
    probes.add(f"vm-{n}" for n in range(60))
    events: list[tuple[int, str, bool]] = []
    at_us = 0
    while at_us < 30 * S and not probes.is_finished:
        due = [event for event in events if event[0] <= at_us]
        events = [event for event in events if event[0] > at_us]
        for _, name, answers in due:
            if answers:
                probes.record_answer(name, at_us)
                probes.mark_known(name)
            else:
                probes.record_failure(name)
        for name in probes.next_targets(at_us):
            answers = int(name[3:]) not in gone
            events.append((at_us + (answer_ms if answers else 400) * MS, name, answers))
        assert probes.in_flight <= max_in_flight
        unanswered = probes.unanswered(at_us, 0)
        assert unanswered <= {f"vm-{n}" for n in gone}
        if len(unanswered) == len(gone) > 0:
            break
        at_us += 20 * MS
    assert probes.is_finished == (not gone)
    if gone:
        assert len(unanswered) == len(gone) and at_us < 20 * S


def test_silence_while_the_event_loop_is_late_is_ignored() -> None:
    probes = StatusProbes(ProbeSettings())
    probes.add(["vm-1"])
    assert probes.next_targets(0) == ["vm-1"] and probes.next_targets(100 * MS) == []
    assert probes.next_targets(150 * MS) == ["vm-1"]
    assert probes.unanswered(S, 2 * S) == set()
    assert probes.unanswered(S, 0) == {"vm-1"}


# -- starts before all machines are known --------------------------------------------------


@given(seed=st.integers(0, 1 << 32), unknown_count=st.integers(0, 6))
def test_early_starts_run_nowhere_else_and_respect_limits(seed: int, unknown_count: int) -> None:
    """Early starts duplicate no attempt and respect the team limits.

    Unknown machines may run any attempts that an earlier leader could have started there.
    """
    rng = random.Random(seed)
    cluster_state = cluster(Team("red", 8, rng.choice((6, 12, 30))), Team("blue", 4, 20))
    machines = [add_machine(cluster_state, f"vm-{n:06}", zone=rng.choice("ab")) for n in range(8)]
    unknown, known = machines[:unknown_count], machines[unknown_count:]
    for machine in unknown:
        machine.reconciled = False
    for number in range(8):
        spec = job_spec(
            number, team=rng.choice(("red", "blue")), tasks=rng.randint(1, 6),
            cpus=rng.choice((1.0, 2.0)), zone=rng.choice((None, None, "a")),
        )  # fmt: skip
        add_job(cluster_state, spec).version = rng.choice((5, 50))
    hidden: set[tuple[str, int]] = set()
    hidden_cpus = dict.fromkeys(cluster_state.teams, 0.0)
    for job in cluster_state.jobs.values():
        if job.version > 10:
            continue
        for index in range(job.spec.tasks):
            machine = rng.choice(machines)
            room = cluster_state.teams[job.team].cpus_max - cluster_state.usage[job.team].cpus
            room -= hidden_cpus[job.team]
            if room < job.spec.cpus or not machine.allows(job) or machine.capacity_for(job) < 1:
                continue
            if machine in known:
                cluster_state.start(job, index, machine, 0)
            elif rng.random() < 0.8:
                hidden.add((job.id, index))
                hidden_cpus[job.team] += job.spec.cpus
                machine.cpus -= job.spec.cpus
    partial = make_partial_view(cluster_state.machines.values(), 10)
    cluster_state.unverified_usage = unverified_usage(cluster_state, partial)
    placement_input = PlacementInput(
        cluster_state, RunTimeEstimates(), ServiceLevelObjectives([]), 0
    )
    plan = plan_pass(placement_input, 0, 10 * S, 1.0, partial.is_settled)
    used = {
        team: cluster_state.usage[team].cpus + hidden_cpus[team] for team in cluster_state.teams
    }
    for start in plan.starts:
        assert (start.job.id, start.index) not in hidden
        assert start.machine in known
        used[start.job.team] += start.job.spec.cpus
    assert all(used[name] <= team.cpus_max for name, team in cluster_state.teams.items())
    if not unknown:
        assert not cluster_state.unverified_usage


def test_cancelled_job_does_not_count_as_new() -> None:
    """The cancellation rewrote the job's record, but its attempts were started long before."""
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    machine.reconciled = False
    job = add_job(cluster_state, job_spec(1, tasks=4))
    job.version, job.cancelled = 50, True
    partial = make_partial_view(cluster_state.machines.values(), 10)
    assert not partial.is_settled(job)
    assert unverified_usage(cluster_state, partial)["red"].cpus == 4.0


def test_machine_of_unknown_type_may_run_anything() -> None:
    cluster_state = cluster()
    removed_type = machine_type(cpus=0, memory_gb=0)
    machine = Machine("vm-000001", removed_type, "a", False, 0)
    machine.enrolled = True
    cluster_state.machines[machine.name] = machine
    job = add_job(cluster_state, job_spec(1, tasks=4))
    partial = make_partial_view(cluster_state.machines.values(), None)
    assert not partial.is_settled(job)
    assert unverified_usage(cluster_state, partial)["red"].cpus == 8.0


# -- limits after the start ----------------------------------------------------------------


def test_preemption_is_limited_after_the_start_of_a_term() -> None:
    rate_limit = PreemptionRateLimit(PreemptionRateSettings(settle_us=10 * S, stop_share=0.001))
    stopped = []
    for at_us in range(0, 10 * S, 250 * MS):
        allowed = rate_limit.allowed(0, 5_000, at_us)
        assert allowed is not None
        rate_limit.record(allowed)
        stopped.append(allowed)
    # Five stops per second are allowed, and in any 2 s at most one burst more than that.
    assert 45 <= sum(stopped) <= 50
    assert max(sum(stopped[n : n + 8]) for n in range(32)) <= 12
    assert rate_limit.allowed(0, 5_000, 10 * S) is None


def test_most_urgent_machine_is_dequeued_first() -> None:
    cluster_state = cluster(Team("red", 4, 100), Team("blue", 0, 100))
    rest, start, stop, cancelled, orphaned = (
        add_machine(cluster_state, f"vm-{n}") for n in range(5)
    )
    jobs = [add_job(cluster_state, job_spec(n, team="blue" if n == 0 else "red")) for n in range(4)]
    jobs[3].cancelled = True
    cluster_state.start(jobs[0], 0, rest, 0)
    cluster_state.start(jobs[1], 0, start, 0)
    cluster_state.stop(cluster_state.start(jobs[2], 0, stop, 0), StopRequest.SOFT, 0, "room")
    cluster_state.jobs["run-000003"].cancelled = False
    cluster_state.stop(
        cluster_state.start(jobs[3], 0, cancelled, 0), StopRequest.HARD, 0, "cancelled"
    )
    jobs[3].cancelled = True
    orphaned.orphans.add(("run-000009/0", 1))
    cluster_state.usage["red"].cpus = 4.0
    queue = CommandQueue()
    for machine in (rest, start, stop, cancelled, orphaned, rest):
        queue.put(machine.name, queue_position(cluster_state, machine))
    assert [queue_position(cluster_state, m)[0] for m in (rest, start, stop)] == [
        CommandPriority.OTHER, CommandPriority.GUARANTEED_START, CommandPriority.FREES_CAPACITY,
    ]  # fmt: skip
    # A machine whose commands become more urgent moves forward, and is returned once.
    queue.put(rest.name, (CommandPriority.REQUIRED_STOP, -1))
    assert rest.name in queue and len(queue) == 5
    popped = [queue.pop() for _ in range(6)]
    assert popped == [rest.name, cancelled.name, orphaned.name, stop.name, start.name, None]


# -- several machines that fail ------------------------------------------------------------


def controllers_down(at_s: float, for_s: float = 3.0) -> Fault:
    return Fault("controllers_end", at_s, for_s)


def machines_cut(share: float, at_s: float, for_s: float) -> Fault:
    return Fault("machines_cut", at_s, for_s, share=share)


FAULTS: dict[str, list[Fault]] = {
    "shorter than a lease": [controllers_down(30, 6)],
    "as long as a lease": [controllers_down(30, 13.6)],
    "longer than a lease": [controllers_down(30, 20)],
    "twice in a row": [controllers_down(30), controllers_down(34.2)],
    "during a recovery": [controllers_down(30), machines_cut(0.5, 29, 20), controllers_down(37)],
    "store down": [controllers_down(30), Fault("store_down", 29, 12)],
    "store slow": [controllers_down(30), Fault("store_slow", 25, 30, most_s=0.4)],
    "store serves one": [controllers_down(30), Fault("store_refuses", 28, 15, count=2)],
    "a tenth silent": [controllers_down(30), machines_cut(0.1, 29, 25)],
    "a third silent": [controllers_down(30), machines_cut(0.33, 29, 25)],
    "half silent": [controllers_down(30), machines_cut(0.5, 29, 10), machines_cut(0.5, 45, 20)],
    "nine tenths silent": [controllers_down(30), machines_cut(0.9, 29, 25)],
    "new sessions": [controllers_down(30), Fault("machines_restart", 31, share=0.5)],
    "dead": [controllers_down(30), Fault("machines_die", 29, share=0.4)],
    "late commands": [
        Fault("messages_late", 10, 30, chance=0.2, most_s=25), controllers_down(30),
        machines_cut(0.3, 28, 12),
    ],
    "late changes": [Fault("store_late", 20, 12, chance=0.3, most_s=20), controllers_down(30)],
    "two leaders": [
        Fault("controllers_freeze", 30, 6, count=1, leader=True),
        Fault("controllers_peers", 45, 8, count=1, leader=True, mode="refuse"),
        Fault("controllers_from_workers", 45, 8, count=1, leader=True, mode="hold"),
    ],
}  # fmt: skip


def recovery_scenario(faults: list[Fault]) -> Scenario:
    scenario = read_scenario(ROOT / "deploy" / "scenarios" / "all-down.toml")
    return msgspec.structs.replace(scenario, machines=16, seconds=80.0, faults=faults)


@pytest.mark.parametrize("name", FAULTS)
def test_no_rule_is_broken_around_the_start_of_a_term(name: str) -> None:
    for seed in range(2):
        result = play(recovery_scenario(FAULTS[name]), seed)
        assert not result.broken, result.details
        assert result.counts["done"] > 60 and result.ready_s


def test_outage_shorter_than_the_lease_loses_no_task() -> None:
    """A lease is 14 s and counts from the sending of the last answered heartbeat, up to 3.75 s
    before the controllers end. A refused worker retries after one second. Tasks survive an
    outage that is shorter than the rest of the lease."""
    for seed in range(4):
        result = play(recovery_scenario([controllers_down(30, 8.0)]), seed)
        assert result.counts["killed by a lease"] == 0
        assert result.counts["reports 503"] == 0


def test_guaranteed_tasks_start_while_half_is_silent() -> None:
    for seed in range(3):
        result = play(recovery_scenario([controllers_down(30), machines_cut(0.5, 29, 25)]), seed)
        assert not result.broken, result.details
        assert max(result.ready_s) > 10 and min(result.first_start_s) < 3
