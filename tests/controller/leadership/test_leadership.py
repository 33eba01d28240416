"""Leadership: two nodes never both believe that they may command (revocations apart)."""

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
from weldhead.controller.leadership import leader_election as campaigning
from weldhead.controller.leadership.leader_election import LeaderElection
from weldhead.controller.leadership.leader_lease import (
    Candidacy,
    LeaderLease,
    default_timing,
    handicap_us,
    predecessor_over_us,
)
from weldhead.controller.process import ControllerProcess
from weldhead.protocol.peer import Pong
from weldhead.protocol.settings import PeerSettings, parse_settings
from weldhead.protocol.wire import PutKey
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import StateClient
from weldhead.tunables.defaults import Tunables

S = 1_000_000
TIMING = default_timing()
NODES = ["n-0", "n-1", "n-2"]
#: Each node's steady clock runs a little faster than true time, by up to 0.05 %.
RATES = {"n-0": 1.0, "n-1": 1.0005, "n-2": 1.0002}


class StandInLease:
    """The state service's only key: its holder, until when, and the revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.holder: str | None = None
        self.until = 0.0


class Leadership(RuleBasedStateMachine):
    """Three nodes, a store that may refuse some, a network that may lose answers."""

    @initialize()
    def begin(self) -> None:
        self.true_us = 0.0
        self.store = StandInLease()
        self.outage = False
        self.on_the_way: list[tuple[LeaderLease, int, str, int]] = []
        self.started = dict.fromkeys(NODES, 0.0)
        self.authority = {n: LeaderLease(TIMING, frozenset(NODES) - {n}) for n in NODES}
        self.candidacy = {n: Candidacy(TIMING, self.clock(n)) for n in NODES}

    def clock(self, node: str) -> int:
        return round(1_000_000 + self.true_us * RATES[node])

    @rule(step=st.sampled_from([1_000, 50_000, 300_000, 900_000, 2_500_000]))
    def time_passes(self, step: int) -> None:
        self.true_us += step
        if not self.outage and self.store.holder and self.true_us >= self.store.until:
            self.store.holder = None

    @rule()
    def outage_begins(self) -> None:
        self.outage = True

    @rule()
    def outage_ends(self) -> None:
        # Every lease has its full time again.
        if self.outage:
            self.outage = False
            self.store.until = self.true_us + TIMING.ttl_us

    @rule(node=st.sampled_from(NODES), delay=st.sampled_from([0, 5_000, 400_000]))
    def campaign(self, node: str, delay: int) -> None:
        sent = self.clock(node)
        if self.outage or self.store.holder or not self.candidacy[node].may_lead(sent):
            return
        granted = self.true_us
        self.store.revision += 1
        self.store.holder, self.store.until = node, granted + TIMING.ttl_us
        self.time_passes(delay)
        if self.candidacy[node].may_lead(self.clock(node)):
            self.authority[node].begin(self.store.revision, 7, sent)

    @rule(node=st.sampled_from(NODES), answered=st.booleans())
    def renew(self, node: str, answered: bool) -> None:
        authority = self.authority[node]
        if not authority.token or self.outage:
            return
        if self.store.holder != node or self.store.revision != authority.token:
            authority.end()
            return
        sent = self.clock(node)
        self.store.until = self.true_us + TIMING.ttl_us
        if answered:
            authority.confirm_renewal(sent)
            # It is asked in the same moment whether the key is still its own.
            authority.confirm_key(sent)

    @rule(node=st.sampled_from(NODES), delay=st.sampled_from([0, 20_000, 700_000]))
    def ask_for_promises(self, node: str, delay: int) -> None:
        """During an outage the holder asks everyone; those that are served refuse."""
        authority = self.authority[node]
        if not authority.token or not self.outage:
            return
        sent = self.clock(node)
        for peer in NODES:
            if peer != node and not self.authority[peer].valid(self.clock(peer)):
                self.candidacy[peer].promise(self.clock(peer))
                self.on_the_way.append((authority, authority.token, peer, sent))
        self.time_passes(delay)

    @rule()
    def promises_come(self) -> None:
        for authority, token, peer, sent in self.on_the_way:
            owner = next((n for n in NODES if self.authority[n] is authority), None)
            if owner is not None and authority.token == token:
                authority.record_promise(peer, sent, self.clock(owner))
        self.on_the_way.clear()

    @rule(node=st.sampled_from(NODES))
    def restart(self, node: str) -> None:
        self.authority[node] = LeaderLease(TIMING, frozenset(NODES) - {node})
        self.candidacy[node] = Candidacy(TIMING, self.clock(node))

    @rule(node=st.sampled_from(NODES))
    def hear_that_nobody_leads(self, node: str) -> None:
        """A node that hears from all others that they are in no term waits for nothing."""
        if not any(self.authority[peer].token for peer in NODES if peer != node):
            self.candidacy[node].discard_earlier_promises()

    @invariant()
    def one_commander(self) -> None:
        valid = [n for n in NODES if self.authority[n].valid(self.clock(n))]
        assert len(valid) <= 1, valid


Leadership.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
TestLeadership = Leadership.TestCase


def test_a_lease_counts_from_sending_and_allows_for_drift() -> None:
    authority = LeaderLease(TIMING, frozenset({"n-1"}))
    authority.begin(5, 7, 1_000_000)
    assert authority.valid(1_000_000 + TIMING.ttl_us * 99 // 100)
    assert not authority.valid(1_000_000 + TIMING.ttl_us)


def test_a_renewed_lease_counts_no_longer_than_the_key_was_seen() -> None:
    """Extended after the key was another's, it outlasted what a successor waits for."""
    authority = LeaderLease(TIMING, frozenset({"n-1"}))
    authority.begin(5, 7, S)
    for sent_us in range(2 * S, 9 * S, S // 2):
        authority.confirm_renewal(sent_us)
    assert authority.valid_until_us() < S + TIMING.ttl_us
    authority.confirm_key(3 * S)
    assert S + TIMING.ttl_us < authority.valid_until_us() < 3 * S + TIMING.ttl_us
    # What was asked earlier and is answered later takes nothing back.
    authority.confirm_key(2 * S)
    assert authority.valid_until_us() > 2 * S + TIMING.ttl_us


def test_a_leader_that_hears_of_a_later_token_ends_its_term() -> None:
    node, _ = restarted_node(LeaderRecord("n-1", "x", 3 * S))
    ended: list[str] = []
    node.leader = cast(Any, type("Term", (), {"token": 5}))
    node.step_down = ended.append  # type: ignore[assignment]
    node.observe_leader("n-1", 4)
    assert not ended
    node.observe_leader("n-1", 6)
    assert ended == ["n-1 leads with token 6"]


def test_promises_count_only_when_all_others_gave_one() -> None:
    authority = LeaderLease(TIMING, frozenset({"n-1", "n-2"}))
    authority.begin(5, 7, 0)
    late = TIMING.ttl_us - 100_000
    authority.record_promise("n-1", late, late)
    assert authority.valid_until_us() < TIMING.ttl_us
    authority.record_promise("n-2", late, late)
    assert authority.valid_until_us() > TIMING.ttl_us


def test_promises_that_come_after_the_lease_count_for_nothing() -> None:
    """In the gap another may have led; started anew, it promises and knows nothing of that."""
    authority = LeaderLease(TIMING, frozenset({"n-1", "n-2"}))
    authority.begin(5, 7, 0)
    for peer in ("n-1", "n-2"):
        authority.record_promise(peer, TIMING.ttl_us - 100_000, TIMING.ttl_us + 100_000)
    assert not authority.valid(TIMING.ttl_us + 100_000)


def test_a_node_without_peers_has_nobody_to_promise() -> None:
    authority = LeaderLease(TIMING, frozenset())
    authority.begin(5, 7, 0)
    assert authority.valid_until_us() < TIMING.ttl_us


def test_a_started_node_keeps_the_promise_of_its_former_life() -> None:
    candidacy = Candidacy(TIMING, 10_000_000)
    assert not candidacy.may_lead(10_000_000 + TIMING.promise_us)
    assert candidacy.may_lead(10_000_000 + TIMING.promise_us * 102 // 100)


def test_a_promise_given_in_this_life_binds_also_when_nobody_leads() -> None:
    candidacy = Candidacy(TIMING, 10_000_000)
    candidacy.discard_earlier_promises()
    assert candidacy.may_lead(10_000_000)
    candidacy.promise(10_000_000)
    candidacy.discard_earlier_promises()
    assert not candidacy.may_lead(10_000_000 + TIMING.promise_us)


def test_nobody_else_led_when_the_first_of_all_promises_was_asked_for() -> None:
    authority = LeaderLease(TIMING, frozenset({"n-1", "n-2"}))
    authority.begin(5, 7, 0)
    authority.record_promise("n-1", 700, 900)
    assert authority.sole_leader_us == 0
    authority.record_promise("n-2", 500, 900)
    assert authority.sole_leader_us == 500


def test_a_replaced_leader_counts_as_active_for_its_full_lease() -> None:
    assert predecessor_over_us(100, 3_000_000) > 3_000_100
    assert predecessor_over_us(100, 0) == 100


def restarted_node(record: LeaderRecord) -> tuple[LeaderElection, list[tuple[int, int]]]:
    """A node that has just started and finds the record in the leader's key."""
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables()).election
    state = StandInState()
    state.put(LEADER_KEY, record)
    stood: list[tuple[int, int]] = []

    async def stand(replaced: int, believes_us: int) -> None:
        stood.append((replaced, believes_us))

    node._state = cast(StateClient, state)
    node.campaign = stand  # type: ignore[method-assign]
    node.catalog = [machine_type()]
    # Whatever a former life promised is over.
    node.candidacy = Candidacy(node.timing, now_us() - 60 * S)
    return node, stood


def test_a_nodes_own_former_life_is_replaced_without_waiting_for_its_lease() -> None:
    """All controllers ended in an outage, after which each lease had its full time again."""

    async def read(node: LeaderElection) -> None:
        await node.read_leader()
        for _ in range(5):
            await asyncio.sleep(0)

    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, stood = restarted_node(LeaderRecord(name, "a former life", 3 * S))
    asyncio.run(read(node))
    assert stood == [(2, 0)]
    # Neither a record of this life nor another node's may be taken for one.
    node, stood = restarted_node(LeaderRecord(name, "this life", 3 * S))
    node._nonces.add("this life")
    asyncio.run(read(node))
    assert stood == []
    node, stood = restarted_node(LeaderRecord("another", "x", 3 * S))
    asyncio.run(read(node))
    assert stood == []


def test_who_follows_a_life_that_had_just_replaced_another_waits_for_that_one_too() -> None:
    """Ended right after taking over, it came back at once and counted nobody as active."""
    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, _ = restarted_node(LeaderRecord(name, "a former life", 3 * S, 3 * S))

    async def read() -> None:
        await node.read_leader()
        asked_us = now_us()
        assert node.previous_leaders.expired_us > asked_us + 2 * S
        # All others saying that they lead nothing, there is nobody to wait for.
        for link in node._links:
            node.observe_pong(link, Pong(1, True, 3, False), asked_us)
        assert node.previous_leaders.expired_us == 0
        # Of a record from before this life, also those count that said so before it was read.
        node.previous_leaders.read_token = 0
        await node.read_leader()
        assert node.previous_leaders.expired_us == 0

    asyncio.run(read())


def test_what_was_written_late_for_this_life_is_replaced_too() -> None:
    """Its attempt given up, nobody led until the lease of the record ran out."""
    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, stood = restarted_node(LeaderRecord("another", "x", 3 * S))
    state = cast(StandInState, node._state)
    del node.campaign

    async def stand() -> None:
        await node.read_leader()
        state.fates = ["late"]
        state.__dict__["grant"] = lambda ttl_us: asyncio.sleep(0, 7)
        await node.campaign(node.known_token, 3 * S)
        assert node.leader is None
        (_, (put, unsettled)) = state.late.pop()
        assert unsettled.key == UNSETTLED_KEY
        state.put(LEADER_KEY, cast(PutKey, put).value)
        node.campaign = note  # type: ignore[method-assign]
        await node.read_leader()
        for _ in range(5):
            await asyncio.sleep(0)

    async def note(replaced: int, believes_us: int) -> None:
        stood.append((replaced, believes_us))

    asyncio.run(stand())
    assert node.known_leader is not None and node.known_leader.name == name
    assert stood == [(node.known_token, 0)]
    assert node.previous_leaders.expired_us > now_us() + 2 * S


def test_a_leader_whose_key_was_replaced_ends_its_term() -> None:
    """Its lease was still extended, so only the workers' reports or its next write told it."""
    node, _ = restarted_node(LeaderRecord("n-1", "x", 3 * S))
    ended: list[str] = []
    node.leader = cast(Any, type("Term", (), {"token": 1}))
    node.step_down = ended.append  # type: ignore[assignment]
    asyncio.run(node.read_leader())
    assert ended == ["n-1 has replaced it"]
    # An answer that was on its way since before says nothing.
    node.leader = cast(Any, type("Term", (), {"token": 9}))
    node.known_token = 9
    asyncio.run(node.read_leader())
    assert len(ended) == 1


def test_a_former_lifes_promise_is_kept_all_the_same() -> None:
    name = parse_settings(msgspec.json.encode(SETTINGS)).name
    node, stood = restarted_node(LeaderRecord(name, "a former life", 3 * S))
    node.candidacy = Candidacy(node.timing, now_us())

    async def read() -> None:
        await node.read_leader()
        for _ in range(5):
            await asyncio.sleep(0)

    asyncio.run(read())
    assert stood == []


def test_a_node_that_a_cut_keeps_from_others_lets_them_go_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A successor inside a cut zone lost the other zone's workers (found at size)."""
    node, stood = restarted_node(LeaderRecord("n-1", "x", 3 * S))
    waited: list[float] = []

    async def no_pause(seconds: float) -> None:
        waited.append(seconds)
        if taken:
            node.known_token += 1

    async def take_over() -> None:
        await node.read_leader()
        record = node.known_leader
        assert record is not None
        await node.take_over(record, node.known_token)

    monkeypatch.setattr("weldhead.controller.leadership.leader_election.asyncio.sleep", no_pause)
    # Its only peer is the leader that looks dead: there is nobody to wait for.
    taken = False
    asyncio.run(take_over())
    assert (waited, stood) == ([0.0], [(2, 3 * S)])
    cast(dict[str, PeerLink], node._links)["n-2"] = PeerLink(
        PeerSettings("n-2", "b", "10.0.0.3:1"), "n-0"
    )
    asyncio.run(take_over())
    assert (waited[1:], len(stood)) == ([0.1], 2)
    taken = True
    asyncio.run(take_over())
    assert len(stood) == 2
    assert handicap_us(9) == handicap_us(4) > handicap_us(1)


class StandInTerm:
    """Something like a leader's term: its parts know one another."""

    def __init__(self) -> None:
        self.part = [self]

    async def close(self) -> None:
        """Nothing runs."""


def test_the_memory_of_a_term_that_is_over_is_taken_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """A follower kept its last term's jobs and machines until it led again."""
    monkeypatch.setattr(campaigning, "RELEASE_S", 0.0)

    async def lose(campaign: LeaderElection) -> "weakref.ref[StandInTerm]":
        term = StandInTerm()
        campaign.leader = cast(Any, term)
        campaign._state = cast(Any, StandInState())
        campaign.step_down("of the test")
        return weakref.ref(term)

    async def see() -> None:
        campaign = ControllerProcess(
            parse_settings(msgspec.json.encode(SETTINGS)), Tunables()
        ).election
        kept = await lose(campaign)
        for _ in range(20):
            await asyncio.sleep(0)
        assert kept() is None

    gc.disable()
    try:
        asyncio.run(see())
    finally:
        gc.enable()
