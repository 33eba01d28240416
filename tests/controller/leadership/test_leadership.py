"""Leadership: two nodes never both believe that they may command.

The state machine leaves out the replacement of a leader that still trusts its lease. In that case
the successor treats the replaced leader as active until that lease has expired.
"""

import asyncio
import gc
import weakref
from typing import Any, cast

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.builders import machine_type
from tests.support.settings import SETTINGS
from tests.support.stand_ins import StandInState
from weldhead.clock import now_us
from weldhead.cluster_state.records import LEADER_KEY, UNSETTLED_KEY, LeaderRecord
from weldhead.controller.leadership import leader_election
from weldhead.controller.leadership.leader_election import LeaderElection
from weldhead.controller.leadership.leader_lease import (
    Candidacy,
    LeaderLease,
    campaign_delay_us,
    default_timing,
    predecessor_expired_us,
)
from weldhead.controller.process import ControllerProcess
from weldhead.protocol.peer import Pong
from weldhead.protocol.settings import PeerSettings, parse_settings
from weldhead.protocol.wire import PutKey
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import StateClient
from weldhead.tunables.defaults import Tunables

SECOND_US = 1_000_000
TIMING = default_timing()
NODES = ["n-0", "n-1", "n-2"]
#: Each node's steady clock runs a little faster than true time, by up to 0.05 %.
RATES = {"n-0": 1.0, "n-1": 1.0005, "n-2": 1.0002}


class StandInLease:
    """The leader's key in the state service: its holder, when its lease ends, and its revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.holder: str | None = None
        self.expires_us = 0.0


class Leadership(RuleBasedStateMachine):
    """Three nodes, a state service with outages, and a network that may lose or delay answers."""

    @initialize()
    def begin(self) -> None:
        self.true_us = 0.0
        self.store = StandInLease()
        self.outage = False
        #: Promises that have not arrived: the lease that they are for and its token, the peer that
        #: gave the promise, and when it was requested.
        self.promises_in_flight: list[tuple[LeaderLease, int, str, int]] = []
        self.started = dict.fromkeys(NODES, 0.0)
        self.leases = {n: LeaderLease(TIMING, frozenset(NODES) - {n}) for n in NODES}
        self.candidacy = {n: Candidacy(TIMING, self.clock(n)) for n in NODES}

    def clock(self, node: str) -> int:
        return round(1_000_000 + self.true_us * RATES[node])

    @rule(step=st.sampled_from([1_000, 50_000, 300_000, 900_000, 2_500_000]))
    def time_passes(self, step: int) -> None:
        self.true_us += step
        if not self.outage and self.store.holder and self.true_us >= self.store.expires_us:
            self.store.holder = None

    @rule()
    def outage_begins(self) -> None:
        self.outage = True

    @rule()
    def outage_ends(self) -> None:
        # The end of an outage restarts every lease at its full length.
        if self.outage:
            self.outage = False
            self.store.expires_us = self.true_us + TIMING.ttl_us

    @rule(node=st.sampled_from(NODES), delay=st.sampled_from([0, 5_000, 400_000]))
    def campaign(self, node: str, delay: int) -> None:
        sent = self.clock(node)
        if self.outage or self.store.holder or not self.candidacy[node].can_lead(sent):
            return
        granted = self.true_us
        self.store.revision += 1
        self.store.holder, self.store.expires_us = node, granted + TIMING.ttl_us
        self.time_passes(delay)
        if self.candidacy[node].can_lead(self.clock(node)):
            self.leases[node].begin(self.store.revision, 7, sent)

    @rule(node=st.sampled_from(NODES), answered=st.booleans())
    def renew(self, node: str, answered: bool) -> None:
        lease = self.leases[node]
        if not lease.token or self.outage:
            return
        if self.store.holder != node or self.store.revision != lease.token:
            lease.end()
            return
        sent = self.clock(node)
        self.store.expires_us = self.true_us + TIMING.ttl_us
        if answered:
            lease.confirm_renewal(sent)
            # The leader reads the key together with each renewal.
            lease.confirm_key(sent)

    @rule(node=st.sampled_from(NODES), delay=st.sampled_from([0, 20_000, 700_000]))
    def request_promises(self, node: str, delay: int) -> None:
        """During an outage the leader requests promises from all nodes that may not command."""
        lease = self.leases[node]
        if not lease.token or not self.outage:
            return
        sent = self.clock(node)
        for peer in NODES:
            if peer != node and not self.leases[peer].is_valid(self.clock(peer)):
                self.candidacy[peer].promise_not_to_lead(self.clock(peer))
                self.promises_in_flight.append((lease, lease.token, peer, sent))
        self.time_passes(delay)

    @rule()
    def promises_arrive(self) -> None:
        for lease, token, peer, sent in self.promises_in_flight:
            owner = next((n for n in NODES if self.leases[n] is lease), None)
            if owner is not None and lease.token == token:
                lease.record_promise(peer, sent, self.clock(owner))
        self.promises_in_flight.clear()

    @rule(node=st.sampled_from(NODES))
    def restart(self, node: str) -> None:
        self.leases[node] = LeaderLease(TIMING, frozenset(NODES) - {node})
        self.candidacy[node] = Candidacy(TIMING, self.clock(node))

    @rule(node=st.sampled_from(NODES))
    def learn_that_no_peer_leads(self, node: str) -> None:
        """A node whose peers have all said that they are in no term discards earlier promises."""
        if not any(self.leases[peer].token for peer in NODES if peer != node):
            self.candidacy[node].discard_earlier_promises()

    @invariant()
    def at_most_one_node_may_command(self) -> None:
        commanding = [n for n in NODES if self.leases[n].is_valid(self.clock(n))]
        assert len(commanding) <= 1, commanding


Leadership.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
TestLeadership = Leadership.TestCase


def test_lease_counts_from_sending_and_allows_for_drift() -> None:
    lease = LeaderLease(TIMING, frozenset({"n-1"}))
    lease.begin(5, 7, 1_000_000)
    assert lease.is_valid(1_000_000 + TIMING.ttl_us * 99 // 100)
    assert not lease.is_valid(1_000_000 + TIMING.ttl_us)


def test_renewed_lease_is_bounded_by_last_confirmation_of_key() -> None:
    """A lease renewed after another node had replaced the key outlasted the successor's wait."""
    lease = LeaderLease(TIMING, frozenset({"n-1"}))
    lease.begin(5, 7, SECOND_US)
    for sent_us in range(2 * SECOND_US, 9 * SECOND_US, SECOND_US // 2):
        lease.confirm_renewal(sent_us)
    assert lease.valid_until_us() < SECOND_US + TIMING.ttl_us
    lease.confirm_key(3 * SECOND_US)
    assert SECOND_US + TIMING.ttl_us < lease.valid_until_us() < 3 * SECOND_US + TIMING.ttl_us
    # A late answer to an earlier request does not shorten the lease.
    lease.confirm_key(2 * SECOND_US)
    assert lease.valid_until_us() > 2 * SECOND_US + TIMING.ttl_us


def test_leader_steps_down_on_hearing_of_later_token() -> None:
    node, _ = restarted_node(LeaderRecord("n-1", "x", 3 * SECOND_US))
    ended: list[str] = []
    node.leader = cast(Any, type("Term", (), {"token": 5}))
    node.step_down = ended.append  # type: ignore[assignment]
    node.observe_leader("n-1", 4)
    assert not ended
    node.observe_leader("n-1", 6)
    assert ended == ["n-1 leads with token 6"]


def test_promises_count_only_if_all_peers_gave_one() -> None:
    lease = LeaderLease(TIMING, frozenset({"n-1", "n-2"}))
    lease.begin(5, 7, 0)
    promised_us = TIMING.ttl_us - 100_000
    lease.record_promise("n-1", promised_us, promised_us)
    assert lease.valid_until_us() < TIMING.ttl_us
    lease.record_promise("n-2", promised_us, promised_us)
    assert lease.valid_until_us() > TIMING.ttl_us


def test_promises_arriving_after_lease_expiry_are_ignored() -> None:
    """Another node may have led in the gap, and promises after a restart without knowing it."""
    lease = LeaderLease(TIMING, frozenset({"n-1", "n-2"}))
    lease.begin(5, 7, 0)
    for peer in ("n-1", "n-2"):
        lease.record_promise(peer, TIMING.ttl_us - 100_000, TIMING.ttl_us + 100_000)
    assert not lease.is_valid(TIMING.ttl_us + 100_000)


def test_node_without_peers_cannot_rely_on_promises() -> None:
    lease = LeaderLease(TIMING, frozenset())
    lease.begin(5, 7, 0)
    assert lease.valid_until_us() < TIMING.ttl_us


def test_started_node_keeps_promise_of_previous_process() -> None:
    candidacy = Candidacy(TIMING, 10_000_000)
    assert not candidacy.can_lead(10_000_000 + TIMING.promise_duration_us)
    assert candidacy.can_lead(10_000_000 + TIMING.promise_duration_us * 102 // 100)


def test_discarding_earlier_promises_keeps_own_promise() -> None:
    candidacy = Candidacy(TIMING, 10_000_000)
    candidacy.discard_earlier_promises()
    assert candidacy.can_lead(10_000_000)
    candidacy.promise_not_to_lead(10_000_000)
    candidacy.discard_earlier_promises()
    assert not candidacy.can_lead(10_000_000 + TIMING.promise_duration_us)


def test_sole_leader_confirmed_by_earliest_of_all_promises() -> None:
    lease = LeaderLease(TIMING, frozenset({"n-1", "n-2"}))
    lease.begin(5, 7, 0)
    lease.record_promise("n-1", 700, 900)
    assert lease.sole_leader_confirmed_us == 0
    lease.record_promise("n-2", 500, 900)
    assert lease.sole_leader_confirmed_us == 500


def test_replaced_leader_counts_as_active_for_full_lease() -> None:
    assert predecessor_expired_us(100, 3_000_000) > 3_000_100
    assert predecessor_expired_us(100, 0) == 100


def restarted_node(record: LeaderRecord) -> tuple[LeaderElection, list[tuple[int, int]]]:
    """Return a node that has just started and finds the record in the leader's key.

    The list receives the arguments of each campaign that the node starts.
    """
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables()).election
    state = StandInState()
    state.put(LEADER_KEY, record)
    campaigns: list[tuple[int, int]] = []

    async def record_campaign(replaced_token: int, remaining_lease_us: int) -> None:
        campaigns.append((replaced_token, remaining_lease_us))

    node._state = cast(StateClient, state)
    node.campaign = record_campaign  # type: ignore[method-assign]
    node.catalog = [machine_type()]
    # The promises of a previous process have expired.
    node.candidacy = Candidacy(node.timing, now_us() - 60 * SECOND_US)
    return node, campaigns


def test_key_of_previous_process_is_replaced_without_waiting() -> None:
    """All controllers had ended in an outage, after which each lease has its full length again."""

    async def read(node: LeaderElection) -> None:
        await node.read_leader()
        for _ in range(5):
            await asyncio.sleep(0)

    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, campaigns = restarted_node(LeaderRecord(name, "a former life", 3 * SECOND_US))
    asyncio.run(read(node))
    assert campaigns == [(2, 0)]
    # A record of this process or of another node is not replaced.
    node, campaigns = restarted_node(LeaderRecord(name, "this life", 3 * SECOND_US))
    node._own_nonces.add("this life")
    asyncio.run(read(node))
    assert campaigns == []
    node, campaigns = restarted_node(LeaderRecord("another", "x", 3 * SECOND_US))
    asyncio.run(read(node))
    assert campaigns == []


def test_restarted_successor_waits_for_leader_it_had_replaced() -> None:
    """A node that ended right after taking over led again and treated no old leader as active."""
    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, _ = restarted_node(LeaderRecord(name, "a former life", 3 * SECOND_US, 3 * SECOND_US))

    async def read() -> None:
        await node.read_leader()
        asked_us = now_us()
        assert node.previous_leaders.expired_us > asked_us + 2 * SECOND_US
        # Once all peers have said that they are in no term, no earlier leader can be active.
        for link in node._links:
            node.observe_pong(link, Pong(1, True, 3, False), asked_us)
        assert node.previous_leaders.expired_us == 0
        # For a record of a previous process, answers that came before the read count as well.
        node.previous_leaders.read_token = 0
        await node.read_leader()
        assert node.previous_leaders.expired_us == 0

    asyncio.run(read())


def test_late_write_of_abandoned_campaign_is_replaced() -> None:
    """A key written after its campaign was abandoned left no leader until the lease expired."""
    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, campaigns = restarted_node(LeaderRecord("another", "x", 3 * SECOND_US))
    state = cast(StandInState, node._state)
    del node.campaign

    async def campaign_with_late_write() -> None:
        await node.read_leader()
        state.fates = ["late"]
        state.__dict__["grant"] = lambda ttl_us: asyncio.sleep(0, 7)
        await node.campaign(node.known_leader_token, 3 * SECOND_US)
        assert node.leader is None
        (_, (put, unsettled)) = state.late.pop()
        assert unsettled.key == UNSETTLED_KEY
        state.put(LEADER_KEY, cast(PutKey, put).value)
        node.campaign = record_campaign  # type: ignore[method-assign]
        await node.read_leader()
        for _ in range(5):
            await asyncio.sleep(0)

    async def record_campaign(replaced_token: int, remaining_lease_us: int) -> None:
        campaigns.append((replaced_token, remaining_lease_us))

    asyncio.run(campaign_with_late_write())
    assert node.known_leader is not None and node.known_leader.name == name
    assert campaigns == [(node.known_leader_token, 0)]
    assert node.previous_leaders.expired_us > now_us() + 2 * SECOND_US


def test_leader_whose_key_was_replaced_steps_down() -> None:
    """Its lease could still be renewed, so it learned this only from a report or its next write."""
    node, _ = restarted_node(LeaderRecord("n-1", "x", 3 * SECOND_US))
    ended: list[str] = []
    node.leader = cast(Any, type("Term", (), {"token": 1}))
    node.step_down = ended.append  # type: ignore[assignment]
    asyncio.run(node.read_leader())
    assert ended == ["n-1 has replaced it"]
    # A late answer with an older version of the key is ignored.
    node.leader = cast(Any, type("Term", (), {"token": 9}))
    node.known_leader_token = 9
    asyncio.run(node.read_leader())
    assert len(ended) == 1


def test_own_key_is_not_replaced_against_earlier_promise() -> None:
    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, campaigns = restarted_node(LeaderRecord(name, "a former life", 3 * SECOND_US))
    node.candidacy = Candidacy(node.timing, now_us())

    async def read() -> None:
        await node.read_leader()
        for _ in range(5):
            await asyncio.sleep(0)

    asyncio.run(read())
    assert campaigns == []


def test_node_with_unreachable_peers_delays_its_campaign(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A successor inside a partitioned zone lost the workers of the other zone."""
    node, campaigns = restarted_node(LeaderRecord("n-1", "x", 3 * SECOND_US))
    delays_s: list[float] = []

    async def skip_sleep(seconds: float) -> None:
        delays_s.append(seconds)
        if leader_changed:
            node.known_leader_token += 1

    async def replace_leader() -> None:
        await node.read_leader()
        record = node.known_leader
        assert record is not None
        await node.replace_dead_leader(record, node.known_leader_token)

    monkeypatch.setattr("weldhead.controller.leadership.leader_election.asyncio.sleep", skip_sleep)
    # The only peer is the dead leader itself, so the node campaigns without a delay.
    leader_changed = False
    asyncio.run(replace_leader())
    assert (delays_s, campaigns) == ([0.0], [(2, 3 * SECOND_US)])
    cast(dict[str, PeerLink], node._links)["n-2"] = PeerLink(
        PeerSettings("n-2", "b", "10.0.0.3:1"), "n-0"
    )
    asyncio.run(replace_leader())
    assert (delays_s[1:], len(campaigns)) == ([0.1], 2)
    leader_changed = True
    asyncio.run(replace_leader())
    assert len(campaigns) == 2
    assert campaign_delay_us(9) == campaign_delay_us(4) > campaign_delay_us(1)


class StandInTerm:
    """A stand-in for a leader's term, whose objects refer to one another."""

    def __init__(self) -> None:
        self.part = [self]

    async def close(self) -> None:
        """Do nothing, as no task runs."""


def test_memory_of_an_ended_term_is_freed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A follower kept the jobs and machines of its last term in memory until it led again."""
    monkeypatch.setattr(leader_election, "TERM_MEMORY_RELEASE_DELAY_S", 0.0)

    async def end_term(election: LeaderElection) -> "weakref.ref[StandInTerm]":
        term = StandInTerm()
        election.leader = cast(Any, term)
        election._state = cast(Any, StandInState())
        election.step_down("of the test")
        return weakref.ref(term)

    async def check_memory() -> None:
        election = ControllerProcess(
            parse_settings(msgspec.json.encode(SETTINGS)), Tunables()
        ).election
        term_reference = await end_term(election)
        for _ in range(20):
            await asyncio.sleep(0)
        assert term_reference() is None

    gc.disable()
    try:
        asyncio.run(check_memory())
    finally:
        gc.enable()
