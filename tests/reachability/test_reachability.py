"""Machines that speak and do not hear, and copies of what they said."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec
from tests.support.leaders import START, Clock, fixed_clock, new_leader, put_job, put_machine
from tests.support.stand_ins import StandInState, StandInWorker
from weldhead.clock import surely_valid_us
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase
from weldhead.controller.leadership.leader import Leader
from weldhead.protocol.wire import Heartbeat, HeartbeatAnswer, ReportedTask
from weldhead.reachability.evidence import (
    DeliveryEvidence,
    DeliverySignal,
    SentAnswer,
    delivery_signal,
)
from weldhead.reachability.freshness import MOST_UNSHOWN, RELAYED_MORE
from weldhead.reachability.replacement import machines_to_replace
from weldhead.scheduling.placement.eligibility import usable

S = 1_000_000
LEASE = 12 * S


def say(session: int, stamp: int, token: int, *tasks: tuple[str, int]) -> Heartbeat:
    listed = [ReportedTask(name, attempt, "running") for name, attempt in tasks]
    return Heartbeat("vm-1", "a:1", "m4", "a", False, session, stamp, token, listed)


def answer_of(stamp: int, shown: int = 9, **of: Any) -> SentAnswer:
    return SentAnswer((1, stamp), shown, 9, relayed=False, at_us=START, **of)


@pytest.mark.parametrize(
    ("last", "report", "after_s", "relayed", "sign"),
    [
        (answer_of(3), say(1, 4, 9), 5, False, DeliverySignal.NOTHING),
        (answer_of(3), say(1, 5, 9), 5, False, DeliverySignal.MOVED),
        (answer_of(3), say(1, 4, 9), 5, True, DeliverySignal.MOVED),
        # A process that stood still reads several reports in one go: no answer had its time.
        (answer_of(3), say(1, 5, 9), 0.1, False, DeliverySignal.NOTHING),
        (answer_of(3, 7), say(1, 4, 9), 5, False, DeliverySignal.HEARD),
        (answer_of(3, 7), say(1, 4, 7), 5, False, DeliverySignal.UNSHOWN),
        (answer_of(3, runs=(("t", 1),)), say(1, 4, 9, ("t", 1)), 5, False, DeliverySignal.HEARD),
        (answer_of(3, runs=(("t", 1),)), say(1, 4, 9, ("t", 2)), 5, False, DeliverySignal.UNSHOWN),
        (answer_of(3, forgets=(("t", 1),)), say(1, 4, 9), 5, False, DeliverySignal.HEARD),
        (
            answer_of(3, forgets=(("t", 1),)),
            say(1, 4, 9, ("t", 1)),
            5,
            False,
            DeliverySignal.UNSHOWN,
        ),
        (answer_of(3), say(2, 5, 9), 5, False, DeliverySignal.NEW_SESSION),
        # Its lease may have run out between two answers, or its process began anew.
        (answer_of(3), say(2, 5, 9), 11, False, DeliverySignal.NOTHING),
        (answer_of(3), say(2, 1, 0), 5, False, DeliverySignal.NOTHING),
    ],
)
def test_signs(
    last: SentAnswer, report: Heartbeat, after_s: float, relayed: bool, sign: DeliverySignal
) -> None:
    at_us = START + round(after_s * S)
    assert delivery_signal(last, report, last.heartbeat[1], at_us, LEASE, relayed=relayed) is sign


def test_one_lost_answer_or_a_closed_port_make_no_suspect() -> None:
    evidence = DeliveryEvidence(LEASE, answer_of(3), START)
    assert not evidence.add(DeliverySignal.UNSHOWN, START)
    # Much later once more: answers are lost now and then.
    assert not evidence.add(DeliverySignal.UNSHOWN, START + 30 * S)
    evidence.add(DeliverySignal.HEARD, START + 31 * S)
    for number in range(5):
        # Its reports come and are answered; only its port is closed to this controller.
        evidence.observe_heartbeat(
            say(1, 4 + number, 9), 3 + number, START + (31 + number) * S, relayed=False
        )
        assert not evidence.add(DeliverySignal.UNANSWERED, START + (31 + number) * S)
    assert evidence.add(DeliverySignal.MOVED, START + 40 * S) and evidence.unreachable_since_us
    # Its session has outlived a lease since: some answer must have arrived.
    late = replace(answer_of(9), at_us=START + 50 * S)
    evidence.last_answer = late
    assert (
        evidence.observe_heartbeat(say(1, 10, 9), 9, START + 55 * S, relayed=False)
        is DeliverySignal.HEARD
    )


def test_many_that_hear_nothing_are_the_network_and_few_are_replaced_at_their_price() -> None:
    into = new_leader_with(StandInState(), 12)
    machines = list(into.cluster.machines.values())
    for machine in machines:
        machine.newest_message = (1, 1)
    few = {m.name: START for m in machines[:4]}
    half = {m.name: START for m in machines[:6]}
    boot_us = round(machines[0].type.boot_s * S)

    def found(deaf: dict[str, int], at_us: int) -> list[Machine]:
        return machines_to_replace(deaf, machines, [], at_us, LEASE, 60 * S)

    later = START + max(boot_us, LEASE, 120 * S)
    assert found(few, START + boot_us // 2) == []
    assert found(few, later) == machines[:4]
    assert found(half, later) == []


def new_leader_with(state: StandInState, count: int) -> Leader:
    for number in range(count):
        put_machine(state, f"vm-{number:06}")
    with fixed_clock() as clock:
        return new_leader(state, clock())


# -- a deaf machine ------------------------------------------------------------------------


def deliver(
    leader: Leader, report: Heartbeat, at_us: int, *, relayed: bool = False
) -> HeartbeatAnswer | None:
    async def scenario() -> HeartbeatAnswer | None:
        return leader.handle_heartbeat(report, at_us, relayed=relayed)

    return asyncio.run(scenario())


def hears_nothing(leader: Leader) -> list[str]:
    return [machine.name for machine in leader.cluster.machines.values() if machine.not_receiving]


def test_what_a_deaf_machine_has_not_begun_goes_elsewhere(clock: Clock) -> None:
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
        # Its reports come; the answer with the ``run`` does not arrive, nor the next one.
        clock.us += 5 * S
        answer = deliver(leader, worker.report(), clock())
        assert answer is not None and [c.op for c in answer.commands] == ["run"]
        assert machine.name not in hears_nothing(leader)
    clock.us += 5 * S
    answer = deliver(leader, worker.report(), clock())
    assert answer is not None and answer.commands == []
    assert hears_nothing(leader) == [machine.name]
    assert not usable(machine, clock(), leader.term.silence_us)
    # The report showed that both answers were dropped: nothing of it can begin there any more.
    assert machine.attempts == {} and job.waiting == 4
    # It hears again when its session outlives its lease.
    for _ in range(5):
        clock.us += 4 * S
        answer = deliver(leader, worker.report(), clock())
    assert hears_nothing(leader) == []
    assert usable(machine, clock(), leader.term.silence_us)


def test_a_new_leaders_barrier_ends_though_a_machine_never_hears_of_it(clock: Clock) -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    workers = [put_machine(state, f"vm-{n:06}") for n in range(2)]
    leader = new_leader(state, clock(), predecessor_over_us=clock())
    leader.term.state_writer.leadership_verified_us = 1 << 60
    begun_us, answers = clock(), 0
    while not leader.recovery.all_known.is_set():
        clock.us += 5 * S
        assert clock() < begun_us + 60 * S
        for worker in workers:
            if deliver(leader, worker.report(), clock()) is not None:
                answers += 1
                # It may have arrived all the same.
                lease_us = leader.term.lease_us
                machine = leader.cluster.machines[worker.name]
                assert machine.lease_expired_us(lease_us, 0) >= clock() + lease_us
        doomed = leader.machine_monitor.expired_or_silent(
            clock(), leader.term.leadership_verified_us
        )
        # Both of two: that is the network, and none is returned.
        assert doomed == []
    assert answers == 2 * MOST_UNSHOWN
    machine = leader.cluster.machines["vm-000000"]
    assert machine.name in hears_nothing(leader) and not machine.draining
    # In its next session it is answered, and used again once it shows the token.
    workers[0].expire()
    answer = deliver(leader, workers[0].report(), clock())
    assert answer is not None
    workers[0].answered(answer)
    clock.us += 5 * S
    assert deliver(leader, workers[0].report(), clock()) is not None
    assert machine.name not in hears_nothing(leader)
    assert usable(machine, clock(), leader.term.silence_us)


def test_a_machine_on_no_record_is_asked_before_it_is_entered(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A copy of a report of one that an earlier term returned was entered as if it booted."""
    leader = new_leader(StandInState(), clock())
    entered: list[str] = []
    monkeypatch.setattr(
        leader.rental_manager, "adopt_unexpected", lambda report: entered.append(report.machine)
    )
    there: dict[str, Heartbeat] = {}

    async def question(name: str, address: str, session: int) -> Heartbeat | None:
        return there.get(name)

    monkeypatch.setattr(leader._dispatcher, "probe", question)

    async def scenario() -> None:
        for name in ("vm-000007", "vm-000008"):
            report = StandInWorker(name, 4.0).report()
            if name == "vm-000008":
                there[name] = report
            assert leader.handle_heartbeat(report, clock(), relayed=False) is not None
        for _ in range(5):
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert entered == ["vm-000008"] and not leader.cluster.machines


def test_a_copy_does_not_bring_up_a_machine_that_an_earlier_term_recorded(clock: Clock) -> None:
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
    assert leader.machine_monitor.never_confirmed(clock()) == []
    clock.us += 2 * leader.term.lease_us + S
    assert leader.machine_monitor.never_confirmed(clock()) == [machine]


# -- copies --------------------------------------------------------------------------------


@dataclass
class Real:
    """A worker with its lease, and everything it has ever said."""

    worker: StandInWorker
    from_us: int
    alive: bool = True
    said: list[Heartbeat] = field(default_factory=list)

    def report(self) -> Heartbeat:
        self.said.append(self.worker.report())
        return self.said[-1]

    def answered(self, answer: HeartbeatAnswer, sent_us: int) -> None:
        if answer.token >= self.worker.token:
            self.from_us = max(self.from_us, sent_us)
        self.worker.answered(answer)


def picture(leader: Leader) -> dict[str, Any]:
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
def test_copies_prove_no_life_and_start_nothing_twice(
    events: list[tuple[str, int, int, int]],
) -> None:
    """Several terms; copies of whatever was ever said come at any time, over any controller."""
    with fixed_clock() as clock:
        state = StandInState()
        put_job(state, job_spec(1, tasks=60, cpus=1.0))
        real = [Real(put_machine(state, f"vm-{n:06}"), clock()) for n in range(2)]
        leader = new_leader(state, clock())
        over_us = 0
        for event, who, number, tenths in events:
            clock.us += tenths * S // 10
            lease_us = leader.term.lease_us
            for one in real:
                if clock() > one.from_us + lease_us:
                    one.worker.expire()
                    one.from_us = clock()
            one, machine = real[who], leader.cluster.machines.get(f"vm-{who:06}")
            match event:
                case "report" | "deaf" if one.alive:
                    answer = deliver(leader, one.report(), clock())
                    if answer is not None and event == "report":
                        one.answered(answer, clock())
                case "direct" if one.alive and machine is not None:
                    _, shown = one.worker.direct(leader.token, machine.session or 1, [])
                    one.said.append(shown)
                    leader._apply_command_answer(machine, shown)
                case "start" if leader.recovery.all_known.is_set() and machine is not None:
                    job = leader.cluster.jobs["run-000001"]
                    indexes = job.waiting_indexes(1)
                    if usable(machine, clock(), leader.term.silence_us) and indexes:
                        if machine.capacity_for(job):
                            leader.cluster.start(job, indexes[0], machine, clock())
                case "term":
                    over_us = clock()
                    leader = new_leader(state, clock(), predecessor_over_us=over_us)
                    leader.term.state_writer.leadership_verified_us = 1 << 60
                case "rest":
                    clock.us += 3 * S
                case "die":
                    one.alive, one.worker.tasks = False, {}
                case "copy" if one.said:
                    copy = one.said[number % len(one.said)]
                    before = picture(leader)
                    leases = {m.name: m.lease_from_us for m in leader.cluster.machines.values()}
                    newest = machine.newest_message if machine is not None else (0, 0)
                    unshown = machine.stale_token_answers if machine is not None else 0
                    seen_us = machine.last_message_us if machine is not None else 0
                    deliver(leader, copy, clock(), relayed=number % 2 == 0)
                    now = picture(leader)
                    if (copy.session, copy.sequence) <= newest:
                        assert now == before
                    for name, (heard_us, synced, *_) in now.items():
                        # Only what an earlier term was told first may come as new.
                        assert heard_us == before[name][0] and synced == before[name][1]
                        lease_from_us = leader.cluster.machines[name].lease_from_us
                        if lease_from_us != leases[name] and copy.token == leader.token:
                            # No later than its machine surely spoke, long before this.
                            assert lease_from_us <= seen_us < clock()
                        elif lease_from_us != leases[name]:
                            assert unshown < MOST_UNSHOWN + RELAYED_MORE
            leader.machine_monitor.expired_or_silent(clock(), leader.term.leadership_verified_us)
            leader._check_known()
            starts = [start for one in real for start in one.worker.starts]
            assert len(starts) == len(set(starts))
            live = [task for one in real for task in one.worker.live()]
            assert len(live) == len(set(live))
            for one in real:
                known = leader.cluster.machines.get(one.worker.name)
                if known is None or not one.worker.live():
                    continue
                # The books never have a lease end before it does.
                end_us = surely_valid_us(one.from_us, leader.term.lease_us)
                if one.worker.session > known.expired_session:
                    assert known.lease_expired_us(leader.term.lease_us, over_us) >= end_us
                else:
                    raise AssertionError("a session that runs was given up")
            leader.cluster.check_invariants()
            assert all(
                a.phase is not AttemptPhase.ASSIGNED
                or not m.not_receiving
                or a.sent_sequence is not None
                for m in leader.cluster.machines.values()
                for a in m.attempts.values()
            )
