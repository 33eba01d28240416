"""The store slow, or refusing the leader and then everybody, while users cancel and ask."""

import asyncio
from heapq import heapify, heappop, heappush
from random import Random
from typing import Any, cast
from zlib import crc32

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec
from tests.support.clocks import set_request_clock
from tests.support.leaders import Clock, put_job
from tests.support.settings import SETTINGS
from tests.support.slow_store import SlowStore
from tests.support.stand_ins import StandInState
from tests.support.users import GOOD_BODY, JOB, StandInNode, desk, run
from weldhead.clock import SECOND_US as S
from weldhead.clock import now_us
from weldhead.controller.leadership.leader_election import LeaderElection
from weldhead.controller.leadership.leader_lease import Candidacy, default_timing
from weldhead.controller.process import ControllerProcess
from weldhead.controller.requests.request_handler import RequestHandler
from weldhead.protocol.peer import PromiseRequest
from weldhead.protocol.settings import StateLimits, Team, parse_settings
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response
from weldhead.transport.state_client import LeaseNotFoundError, RateLimitedError
from weldhead.tunables.defaults import Tunables

RPS, JOBS = 15.0, 200


def controller() -> LeaderElection:
    return ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables()).election


class SmallStore(StandInState):
    """A store of so few requests that most polls are refused while nobody leads."""

    @property
    def limits(self) -> StateLimits:
        return StateLimits(RPS, 10.0, 8.0, 12)


class Follower(StandInNode):
    """A node without a leader; it has others look, as a front desk wants it to."""

    def __init__(self, chance: Random, number: int) -> None:
        super().__init__()
        self.number = number
        self.peers: list[RequestHandler] = []
        self._chance = chance

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        return await self._chance.choice(self.peers).poll(job_id, ask_peers=False)

    async def ask_poll_owner(self, job_id: str) -> Response | None:
        homes = [self, *(cast(Follower, peer.reader._controller) for peer in self.peers)]
        # Any choice will do that all make alike.
        home = max(homes, key=lambda node: crc32(f"{job_id}{node.number * 7919}".encode()))
        if home is self:
            return None
        return await self.peers[homes.index(home) - 1].poll(job_id, ask_peers=False)


@pytest.mark.parametrize("seed", range(3))
def test_whose_users_reach_another_node_each_time_are_not_forgotten_either(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Each node counted anew whoever came by only every half minute: some waited for 84 s."""
    clock, chance, state = Clock(), Random(seed), SmallStore()
    set_request_clock(monkeypatch, clock)
    nodes = [Follower(chance, number) for number in range(3)]
    desks = [RequestHandler(node, cast(Any, state), [Team("red", 8, 16)], 3) for node in nodes]
    for node, own in zip(nodes, desks, strict=True):
        node.peers = [other for other in desks if other is not own]
    names = [f"run-{number:06}" for number in range(JOBS)]
    for number in range(JOBS):
        put_job(state, job_spec(number))

    async def scenario() -> int:
        answered_us = dict.fromkeys(names, clock.us)
        asks = [(clock.us + chance.randrange(5 * S), name) for name in names]
        heapify(asks)
        longest_us, over_us = 0, clock.us + 200 * S
        while asks:
            clock.us, name = heappop(asks)
            if (await chance.choice(desks).poll(name)).status == 200:
                longest_us = max(longest_us, clock.us - answered_us[name])
                answered_us[name] = clock.us
            if clock.us < over_us:
                heappush(asks, (clock.us + chance.randrange(4 * S, 6 * S), name))
        return max(longest_us, *(clock.us - at_us for at_us in answered_us.values()))

    assert asyncio.run(scenario()) < 70 * S


@pytest.mark.parametrize(
    ("answers", "promised"),
    [
        ([10_000], False),
        # Slow is like silent: nobody leads meanwhile who could have been told otherwise.
        ([600_000], True),
        ([CallError("503")], True),
    ],
)
def test_who_promised_because_the_store_was_slow_does_not_stand_when_its_answer_comes(
    answers: list[Any], promised: bool
) -> None:
    campaign = controller()
    campaign.timing = default_timing()
    campaign.candidacy = Candidacy(campaign.timing, now_us() - 60 * S)
    campaign._state = cast(Any, SlowStore(answers))
    assert campaign.candidacy.may_lead(now_us())
    asked_us = now_us()
    hold = PromiseRequest(1, 5, campaign.timing.promise_us)
    assert asyncio.run(campaign.promise(hold)) is promised
    # The key that it finds free now may be that of the leader it has promised to.
    assert campaign.candidacy.may_lead(now_us()) is not promised
    if promised:
        assert not campaign.candidacy.may_lead(asked_us + campaign.timing.promise_us)


def test_a_rate_that_is_used_up_is_no_outage() -> None:
    """The store is well: a promise kept a leader in place that it did not serve."""
    campaign = controller()
    campaign._state = cast(Any, SlowStore([RateLimitedError("429")]))
    with pytest.raises(RateLimitedError):
        asyncio.run(campaign.promise(PromiseRequest(1, 5, campaign.timing.promise_us)))
    campaign.candidacy.discard_earlier_promises()
    assert campaign.candidacy.may_lead(now_us())


def test_a_renewal_that_finds_the_rate_used_up_hands_nothing_over() -> None:
    """All were served, so the leader gave up its term for one 429."""
    asks: list[int] = []
    answers: list[Exception] = [RateLimitedError("429"), RateLimitedError("429")]
    campaign = controller()
    campaign.timing = default_timing(200_000)

    class Store:
        async def extend(self, lease: int, timeout_us: int) -> None:
            if answers:
                raise answers.pop(0)
            campaign.leader = None

    campaign._state = cast(Any, Store())
    campaign.lease.begin(5, 1, now_us() + 60 * S)
    campaign.leader = leader = cast(Any, object())

    async def hold_on() -> None:
        asks.append(1)

    async def read_leader(timeout_us: int) -> None:
        """The key is still its own."""

    cast(Any, campaign)._request_promises = hold_on
    cast(Any, campaign).read_leader = read_leader
    asyncio.run(asyncio.wait_for(campaign._renew(leader), 5))
    assert (asks, answers) == ([], [])


def test_the_last_renewal_of_a_term_does_not_end_the_next() -> None:
    """It woke after its term, asked for lease 0, and took the answer for the new term's."""
    ended: list[str] = []
    campaign = controller()
    campaign.timing = default_timing(100_000)

    class Store:
        async def extend(self, lease: int, timeout_us: int) -> None:
            campaign.leader = cast(Any, "the next term")
            raise LeaseNotFoundError

    campaign._state = cast(Any, Store())
    campaign.step_down = ended.append  # type: ignore[assignment]
    campaign.lease.begin(5, 1, now_us() + 60 * S)
    campaign.leader = leader = cast(Any, "a term")
    asyncio.run(asyncio.wait_for(campaign._renew(leader), 5))
    assert ended == []


@given(st.lists(st.sampled_from(["refused", "lost", "late", "unanswered"]), max_size=5))
def test_a_submission_in_doubt_is_accepted_once_whatever_is_carried_out_late(
    fates: list[str],
) -> None:
    """Nothing is promised before it is known, and what was told accepted is told ever after."""
    state = StandInState()
    state.fates = list(fates)
    told: list[int] = []
    for _ in range(len(fates) + 1):
        told.append(run(desk(state).submit(GOOD_BODY))[0])
        if told[-1] != 503:
            assert run(desk(state).poll(JOB))[0] == 200
    assert told[-1] in (200, 201)
    kept = state.keys
    state.release_late()
    assert state.keys == kept
    assert run(desk(state).submit(GOOD_BODY))[0] == 200
    assert told.count(201) <= 1
