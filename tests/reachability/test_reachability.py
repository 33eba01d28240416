"""Machines that send heartbeats but receive no answers, and copies of their heartbeats."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec
from tests.support.leaders import START, Clock, fixed_clock, new_leader, put_job, put_machine
from tests.support.stand_ins import StandInState, StandInWorker
from weldhead.clock import earliest_lease_end_us
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase
from weldhead.controller.leadership.leader import Leader
from weldhead.protocol.wire import Heartbeat, HeartbeatAnswer, ReportedTask
from weldhead.reachability.evidence import (
    DeliveryEvidence,
    DeliverySignal,
    SentAnswer,
    detect_delivery_signal,
)
from weldhead.reachability.freshness import EXTRA_RELAYED_ANSWERS, MAX_STALE_TOKEN_ANSWERS
from weldhead.reachability.replacement import machines_to_replace
from weldhead.scheduling.placement.eligibility import is_schedulable

S = 1_000_000
LEASE = 12 * S


def make_heartbeat(session: int, sequence: int, token: int, *tasks: tuple[str, int]) -> Heartbeat:
    listed = [ReportedTask(name, attempt, "running") for name, attempt in tasks]
    return Heartbeat("vm-1", "a:1", "m4", "a", False, session, sequence, token, listed)


def answer_of(sequence: int, shown_token: int = 9, **of: Any) -> SentAnswer:
    return SentAnswer((1, sequence), shown_token, 9, relayed=False, sent_us=START, **of)


@pytest.mark.parametrize(
    ("last", "report", "after_s", "relayed", "signal"),
    [
        (answer_of(3), make_heartbeat(1, 4, 9), 5, False, DeliverySignal.NONE),
        (answer_of(3), make_heartbeat(1, 5, 9), 5, False, DeliverySignal.CONTROLLER_CHANGED),
        (answer_of(3), make_heartbeat(1, 4, 9), 5, True, DeliverySignal.CONTROLLER_CHANGED),
        # A suspended process reads several heartbeats in one go, before an answer can arrive.
        (answer_of(3), make_heartbeat(1, 5, 9), 0.1, False, DeliverySignal.NONE),
        (answer_of(3, 7), make_heartbeat(1, 4, 9), 5, False, DeliverySignal.RECEIVED),
        (answer_of(3, 7), make_heartbeat(1, 4, 7), 5, False, DeliverySignal.COMMANDS_NOT_APPLIED),
        (
            answer_of(3, runs=(("t", 1),)),
            make_heartbeat(1, 4, 9, ("t", 1)),
            5,
            False,
            DeliverySignal.RECEIVED,
        ),
        (
            answer_of(3, runs=(("t", 1),)),
            make_heartbeat(1, 4, 9, ("t", 2)),
            5,
            False,
            DeliverySignal.COMMANDS_NOT_APPLIED,
        ),
        (
            answer_of(3, forgets=(("t", 1),)),
            make_heartbeat(1, 4, 9),
            5,
            False,
            DeliverySignal.RECEIVED,
        ),
        (
            answer_of(3, forgets=(("t", 1),)),
            make_heartbeat(1, 4, 9, ("t", 1)),
            5,
            False,
            DeliverySignal.COMMANDS_NOT_APPLIED,
        ),
        (answer_of(3), make_heartbeat(2, 5, 9), 5, False, DeliverySignal.SESSION_RESTARTED),
        # The lease may have expired between two answers, or the worker's process was restarted.
        (answer_of(3), make_heartbeat(2, 5, 9), 11, False, DeliverySignal.NONE),
        (answer_of(3), make_heartbeat(2, 1, 0), 5, False, DeliverySignal.NONE),
    ],
)
def test_heartbeat_gives_the_expected_delivery_signal(
    last: SentAnswer, report: Heartbeat, after_s: float, relayed: bool, signal: DeliverySignal
) -> None:
    at_us = START + round(after_s * S)
    assert (
        detect_delivery_signal(last, report, last.heartbeat[1], at_us, LEASE, relayed=relayed)
        is signal
    )


def test_lost_answer_or_closed_port_is_not_enough_evidence() -> None:
    evidence = DeliveryEvidence(LEASE, answer_of(3), START)
    assert not evidence.add(DeliverySignal.COMMANDS_NOT_APPLIED, START)
    # Much later one more answer is lost, as happens now and then.
    assert not evidence.add(DeliverySignal.COMMANDS_NOT_APPLIED, START + 30 * S)
    evidence.add(DeliverySignal.RECEIVED, START + 31 * S)
    for number in range(5):
        # Heartbeats arrive and are answered; only this controller cannot reach the machine's port.
        evidence.observe_heartbeat(
            make_heartbeat(1, 4 + number, 9), 3 + number, START + (31 + number) * S, relayed=False
        )
        assert not evidence.add(DeliverySignal.REQUEST_UNANSWERED, START + (31 + number) * S)
    assert (
        evidence.add(DeliverySignal.CONTROLLER_CHANGED, START + 40 * S)
        and evidence.unreachable_since_us
    )
    # The session has outlived its lease, so some answer must have arrived.
    late_answer = replace(answer_of(9), sent_us=START + 50 * S)
    evidence.last_answer = late_answer
    assert (
        evidence.observe_heartbeat(make_heartbeat(1, 10, 9), 9, START + 55 * S, relayed=False)
        is DeliverySignal.RECEIVED
    )


def test_only_few_unreachable_machines_are_replaced() -> None:
    leader = new_leader_with(StandInState(), 12)
    machines = list(leader.cluster.machines.values())
    for machine in machines:
        machine.newest_message = (1, 1)
    third = {m.name: START for m in machines[:4]}
    half = {m.name: START for m in machines[:6]}
    boot_us = round(machines[0].type.boot_s * S)

    def replaced(unreachable_since_us: dict[str, int], at_us: int) -> list[Machine]:
        return machines_to_replace(unreachable_since_us, machines, [], at_us, LEASE, 60 * S)

    later = START + max(boot_us, LEASE, 120 * S)
    assert replaced(third, START + boot_us // 2) == []
    assert replaced(third, later) == machines[:4]
    assert replaced(half, later) == []


def new_leader_with(state: StandInState, count: int) -> Leader:
    for number in range(count):
        put_machine(state, f"vm-{number:06}")
    with fixed_clock() as clock:
        return new_leader(state, clock())


# -- an unreachable machine ----------------------------------------------------------------


def deliver(
    leader: Leader, report: Heartbeat, at_us: int, *, relayed: bool = False
) -> HeartbeatAnswer | None:
    async def scenario() -> HeartbeatAnswer | None:
        return leader.handle_heartbeat(report, at_us, relayed=relayed)

    return asyncio.run(scenario())


def unreachable_machines(leader: Leader) -> list[str]:
    return [machine.name for machine in leader.cluster.machines.values() if machine.not_receiving]


def test_undelivered_attempt_of_unreachable_machine_is_released(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1, tasks=4, cpus=1.0))
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    for _ in range(2):
        answer = deliver(leader, worker.report(), clock())
        assert answer is not None
        worker.answered(answer)
    machine, job = leader.cluster.machines[worker.name], leader.cluster.jobs["run-000001"]
    leader.cluster.start(job, 0, machine, clock())
    for _ in range(2):
        # Its heartbeats arrive, but neither the answer with the ``run`` nor the next one does.
        clock.us += 5 * S
        answer = deliver(leader, worker.report(), clock())
        assert answer is not None and [c.op for c in answer.commands] == ["run"]
        assert machine.name not in unreachable_machines(leader)
    clock.us += 5 * S
    answer = deliver(leader, worker.report(), clock())
    assert answer is not None and answer.commands == []
    assert unreachable_machines(leader) == [machine.name]
    assert not is_schedulable(machine, clock(), leader.term.silence_us)
    # The heartbeat showed that both answers were dropped, so the attempt can no longer start.
    assert machine.attempts == {} and job.waiting == 4
    # The machine counts as reachable again when its session outlives its lease.
    for _ in range(5):
        clock.us += 4 * S
        answer = deliver(leader, worker.report(), clock())
    assert unreachable_machines(leader) == []
    assert is_schedulable(machine, clock(), leader.term.silence_us)


def test_recovery_ends_although_a_machine_is_unreachable(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    workers = [put_machine(state, f"vm-{n:06}") for n in range(2)]
    leader = new_leader(state, clock(), predecessor_over_us=clock())
    leader.term.state_writer.leadership_verified_us = 1 << 60
    started_us, answers = clock(), 0
    while not leader.recovery.all_known.is_set():
        clock.us += 5 * S
        assert clock() < started_us + 60 * S
        for worker in workers:
            if deliver(leader, worker.report(), clock()) is not None:
                answers += 1
                # The answer may have arrived although nothing shows it.
                lease_us = leader.term.lease_us
                machine = leader.cluster.machines[worker.name]
                assert machine.lease_expired_us(lease_us, 0) >= clock() + lease_us
        expired = leader.machine_monitor.expire_leases_and_find_lost(
            clock(), leader.term.leadership_verified_us
        )
        # Both of two machines are silent: that is a network fault, and none is returned.
        assert expired == []
    assert answers == 2 * MAX_STALE_TOKEN_ANSWERS
    machine = leader.cluster.machines["vm-000000"]
    assert machine.name in unreachable_machines(leader) and not machine.draining
    # In its next session the machine is answered, and used again once it shows the token.
    workers[0].expire()
    answer = deliver(leader, workers[0].report(), clock())
    assert answer is not None
    workers[0].answered(answer)
    clock.us += 5 * S
    assert deliver(leader, workers[0].report(), clock()) is not None
    assert machine.name not in unreachable_machines(leader)
    assert is_schedulable(machine, clock(), leader.term.silence_us)


def test_unrecorded_machine_is_probed_before_it_is_added(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A machine that is not on record is added only if it answers a probe.

    A copied heartbeat of a machine that an earlier term had returned was added as if it booted.
    """
    leader = new_leader(StandInState(), clock())
    entered: list[str] = []
    monkeypatch.setattr(
        leader.rental_manager, "adopt_unexpected", lambda report: entered.append(report.machine)
    )
    existing: dict[str, Heartbeat] = {}

    async def probe(name: str, address: str, session: int) -> Heartbeat | None:
        return existing.get(name)

    monkeypatch.setattr(leader._dispatcher, "probe", probe)

    async def scenario() -> None:
        for name in ("vm-000007", "vm-000008"):
            report = StandInWorker(name, 4.0).report()
            if name == "vm-000008":
                existing[name] = report
            assert leader.handle_heartbeat(report, clock(), relayed=False) is not None
        for _ in range(5):
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert entered == ["vm-000008"] and not leader.cluster.machines


def test_copied_heartbeat_does_not_enroll_a_recorded_machine(clock: Clock) -> None:
    state = StandInState()
    worker = put_machine(state, "vm-000001", up=False)
    worker.token = 1
    leader = new_leader(state, clock())
    deliver(leader, worker.report(), clock())
    machine = leader.cluster.machines[worker.name]
    assert (machine.last_heartbeat_us, machine.reconciled, machine.enrollment_pending) == (
        0,
        False,
        False,
    )
    assert leader.machine_monitor.machines_never_confirmed(clock()) == []
    clock.us += 2 * leader.term.lease_us + S
    assert leader.machine_monitor.machines_never_confirmed(clock()) == [machine]


# -- copied heartbeats ---------------------------------------------------------------------


@dataclass
class WorkerHistory:
    """A worker, the start of its lease, and all heartbeats it has ever sent."""

    worker: StandInWorker
    lease_start_us: int
    alive: bool = True
    sent: list[Heartbeat] = field(default_factory=list)

    def report(self) -> Heartbeat:
        self.sent.append(self.worker.report())
        return self.sent[-1]

    def answered(self, answer: HeartbeatAnswer, sent_us: int) -> None:
        if answer.token >= self.worker.token:
            self.lease_start_us = max(self.lease_start_us, sent_us)
        self.worker.answered(answer)


def machine_states(leader: Leader) -> dict[str, Any]:
    return {
        m.name: (
            m.last_heartbeat_us,
            m.reconciled,
            m.enrolled,
            m.enrollment_pending,
            m.relayed,
            m.draining,
            m.not_receiving,
        )
        for m in leader.cluster.machines.values()
    }


EVENTS = ("report", "report", "deaf", "copy", "copy", "direct", "start", "term", "die", "rest")


@given(
    st.lists(
        st.tuples(
            st.sampled_from(EVENTS), st.integers(0, 1), st.integers(0, 40), st.integers(1, 60)
        ),
        max_size=45,
    )
)
def test_copies_prove_no_machine_alive_and_start_nothing_twice(
    events: list[tuple[str, int, int, int]],
) -> None:
    """Copied heartbeats prove no machine alive and start no task twice.

    Over several terms, copies of earlier heartbeats arrive at any time, through any controller.
    """
    with fixed_clock() as clock:
        state = StandInState()
        put_job(state, job_spec(1, tasks=60, cpus=1.0))
        histories = [WorkerHistory(put_machine(state, f"vm-{n:06}"), clock()) for n in range(2)]
        leader = new_leader(state, clock())
        predecessor_expired_us = 0
        for event, worker_number, number, tenths in events:
            clock.us += tenths * S // 10
            lease_us = leader.term.lease_us
            for history in histories:
                if clock() > history.lease_start_us + lease_us:
                    history.worker.expire()
                    history.lease_start_us = clock()
            history, machine = (
                histories[worker_number],
                leader.cluster.machines.get(f"vm-{worker_number:06}"),
            )
            match event:
                case "report" | "deaf" if history.alive:
                    answer = deliver(leader, history.report(), clock())
                    if answer is not None and event == "report":
                        history.answered(answer, clock())
                case "direct" if history.alive and machine is not None:
                    _, probe_answer = history.worker.direct(leader.token, machine.session or 1, [])
                    history.sent.append(probe_answer)
                    leader._apply_command_answer(machine, probe_answer)
                case "start" if leader.recovery.all_known.is_set() and machine is not None:
                    job = leader.cluster.jobs["run-000001"]
                    indexes = job.waiting_indexes(1)
                    if is_schedulable(machine, clock(), leader.term.silence_us) and indexes:
                        if machine.capacity_for(job):
                            leader.cluster.start(job, indexes[0], machine, clock())
                case "term":
                    predecessor_expired_us = clock()
                    leader = new_leader(state, clock(), predecessor_over_us=predecessor_expired_us)
                    leader.term.state_writer.leadership_verified_us = 1 << 60
                case "rest":
                    clock.us += 3 * S
                case "die":
                    history.alive, history.worker.tasks = False, {}
                case "copy" if history.sent:
                    copy = history.sent[number % len(history.sent)]
                    before = machine_states(leader)
                    leases = {m.name: m.lease_start_us for m in leader.cluster.machines.values()}
                    newest = machine.newest_message if machine is not None else (0, 0)
                    stale_token_answers = machine.stale_token_answers if machine is not None else 0
                    last_message_us = machine.last_message_us if machine is not None else 0
                    deliver(leader, copy, clock(), relayed=number % 2 == 0)
                    after = machine_states(leader)
                    if (copy.session, copy.sequence) <= newest:
                        assert after == before
                    for name, (last_heartbeat_us, reconciled, *_) in after.items():
                        # A copy that is newer than all seen carries an older token.
                        assert (
                            last_heartbeat_us == before[name][0] and reconciled == before[name][1]
                        )
                        lease_from_us = leader.cluster.machines[name].lease_start_us
                        if lease_from_us != leases[name] and copy.token == leader.token:
                            # The lease starts no later than the machine's last own message,
                            # which came before this copy.
                            assert lease_from_us <= last_message_us < clock()
                        elif lease_from_us != leases[name]:
                            assert (
                                stale_token_answers
                                < MAX_STALE_TOKEN_ANSWERS + EXTRA_RELAYED_ANSWERS
                            )
            leader.machine_monitor.expire_leases_and_find_lost(
                clock(), leader.term.leadership_verified_us
            )
            leader._check_known()
            starts = [start for history in histories for start in history.worker.starts]
            assert len(starts) == len(set(starts))
            live = [task for history in histories for task in history.worker.live()]
            assert len(live) == len(set(live))
            for history in histories:
                known = leader.cluster.machines.get(history.worker.name)
                if known is None or not history.worker.live():
                    continue
                # The leader never counts a lease as expired before it really is.
                end_us = earliest_lease_end_us(history.lease_start_us, leader.term.lease_us)
                if history.worker.session > known.expired_session:
                    assert (
                        known.lease_expired_us(leader.term.lease_us, predecessor_expired_us)
                        >= end_us
                    )
                else:
                    raise AssertionError("the session of a running worker was expired")
            leader.cluster.check_invariants()
            assert all(
                a.phase is not AttemptPhase.ASSIGNED
                or not m.not_receiving
                or a.sent_sequence is not None
                for m in leader.cluster.machines.values()
                for a in m.attempts.values()
            )
