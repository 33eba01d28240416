"""A state service that is slow or refuses requests, while users submit and poll."""

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
from weldhead.clock import SECOND_US, now_us
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

REQUESTS_PER_SECOND, JOB_COUNT = 15.0, 200


def controller() -> LeaderElection:
    return ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables()).election


class SmallStore(StandInState):
    """A store with such a low request rate that most polls are refused while there is no leader."""

    @property
    def limits(self) -> StateLimits:
        return StateLimits(REQUESTS_PER_SECOND, 10.0, 8.0, 12)


class Follower(StandInNode):
    """A node without a leader that forwards polls to its peers for its request handler."""

    def __init__(self, rng: Random, number: int) -> None:
        super().__init__()
        self.number = number
        self.peers: list[RequestHandler] = []
        self._rng = rng

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        return await self._rng.choice(self.peers).poll(job_id, ask_peers=False)

    async def ask_poll_owner(self, job_id: str) -> Response | None:
        candidates = [self, *(cast(Follower, peer.reader._controller) for peer in self.peers)]
        # Any choice of an owner suffices if all nodes make the same.
        owner = max(candidates, key=lambda node: crc32(f"{job_id}{node.number * 7919}".encode()))
        if owner is self:
            return None
        return await self.peers[candidates.index(owner) - 1].poll(job_id, ask_peers=False)


@pytest.mark.parametrize("seed", range(3))
def test_polls_that_reach_changing_nodes_are_answered_in_time(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A user whose polls reach a different node each time must not wait too long.

    Each node used to count the waiting time of such a user from its first poll at that node. A
    user may reach a given node only every half minute, and some waited for 84 s.
    """
    clock, rng, state = Clock(), Random(seed), SmallStore()
    set_request_clock(monkeypatch, clock)
    nodes = [Follower(rng, number) for number in range(3)]
    handlers = [RequestHandler(node, cast(Any, state), [Team("red", 8, 16)], 3) for node in nodes]
    for node, handler in zip(nodes, handlers, strict=True):
        node.peers = [other for other in handlers if other is not handler]
    job_ids = [f"run-{number:06}" for number in range(JOB_COUNT)]
    for number in range(JOB_COUNT):
        put_job(state, job_spec(number))

    async def scenario() -> int:
        answered_us = dict.fromkeys(job_ids, clock.us)
        next_polls = [(clock.us + rng.randrange(5 * SECOND_US), job_id) for job_id in job_ids]
        heapify(next_polls)
        longest_us, end_us = 0, clock.us + 200 * SECOND_US
        while next_polls:
            clock.us, job_id = heappop(next_polls)
            if (await rng.choice(handlers).poll(job_id)).status == 200:
                longest_us = max(longest_us, clock.us - answered_us[job_id])
                answered_us[job_id] = clock.us
            if clock.us < end_us:
                heappush(
                    next_polls, (clock.us + rng.randrange(4 * SECOND_US, 6 * SECOND_US), job_id)
                )
        return max(longest_us, *(clock.us - at_us for at_us in answered_us.values()))

    assert asyncio.run(scenario()) < 70 * SECOND_US


@pytest.mark.parametrize(
    ("answers", "promised"),
    [
        ([10_000], False),
        # A slow state service counts as silent: during the promise no other node becomes leader.
        ([600_000], True),
        ([CallError("503")], True),
    ],
)
def test_node_that_promised_does_not_campaign_on_a_late_answer(
    answers: list[Any], promised: bool
) -> None:
    """A promise given because of a slow state service still binds the node after the answer."""
    election = controller()
    election.timing = default_timing()
    election.candidacy = Candidacy(election.timing, now_us() - 60 * SECOND_US)
    election._state = cast(Any, SlowStore(answers))
    assert election.candidacy.can_lead(now_us())
    asked_us = now_us()
    request = PromiseRequest(1, 5, election.timing.promise_duration_us)
    assert asyncio.run(election.grant_promise(request)) is promised
    # If the key is absent now, it may be the key of the leader that requested the promise.
    assert election.candidacy.can_lead(now_us()) is not promised
    if promised:
        assert not election.candidacy.can_lead(asked_us + election.timing.promise_duration_us)


def test_exceeded_rate_limit_does_not_count_as_outage() -> None:
    """An exceeded rate limit shows that the state service works, so no promise is given.

    Such promises used to keep a leader in office that the state service did not serve.
    """
    election = controller()
    election._state = cast(Any, SlowStore([RateLimitedError("429")]))
    with pytest.raises(RateLimitedError):
        asyncio.run(
            election.grant_promise(PromiseRequest(1, 5, election.timing.promise_duration_us))
        )
    election.candidacy.discard_earlier_promises()
    assert election.candidacy.can_lead(now_us())


def test_rate_limited_renewal_does_not_end_the_term() -> None:
    """A leader used to give up its term for one status 429, as the service served its peers."""
    requests: list[int] = []
    answers: list[Exception] = [RateLimitedError("429"), RateLimitedError("429")]
    election = controller()
    election.timing = default_timing(200_000)

    class Store:
        async def extend(self, lease: int, timeout_us: int) -> None:
            if answers:
                raise answers.pop(0)
            election.leader = None

    election._state = cast(Any, Store())
    election.lease.begin(5, 1, now_us() + 60 * SECOND_US)
    election.leader = leader = cast(Any, object())

    async def request_promises() -> None:
        requests.append(1)

    async def read_leader(timeout_us: int) -> None:
        """Leaves everything unchanged, as if the key still belonged to this node."""

    cast(Any, election)._request_promises = request_promises
    cast(Any, election).read_leader = read_leader
    asyncio.run(asyncio.wait_for(election._renew(leader), 5))
    assert (requests, answers) == ([], [])


def test_last_renewal_of_a_term_does_not_end_the_next_term() -> None:
    """The renewal task of an ended term used to renew lease 0 and fail.

    It took the failure for one of the new term, and ended that term.
    """
    reasons: list[str] = []
    election = controller()
    election.timing = default_timing(100_000)

    class Store:
        async def extend(self, lease: int, timeout_us: int) -> None:
            election.leader = cast(Any, "the next term")
            raise LeaseNotFoundError

    election._state = cast(Any, Store())
    election.step_down = reasons.append  # type: ignore[assignment]
    election.lease.begin(5, 1, now_us() + 60 * SECOND_US)
    election.leader = leader = cast(Any, "a term")
    asyncio.run(asyncio.wait_for(election._renew(leader), 5))
    assert reasons == []


@given(st.lists(st.sampled_from(["refused", "lost", "late", "unanswered"]), max_size=5))
def test_submission_is_accepted_once_despite_late_writes(
    fates: list[str],
) -> None:
    """A submission is confirmed only once it is committed, and stays confirmed from then on.

    Requests to the state service may be refused or lost, or be applied late.
    """
    state = StandInState()
    state.fates = list(fates)
    statuses: list[int] = []
    for _ in range(len(fates) + 1):
        statuses.append(run(desk(state).submit(GOOD_BODY))[0])
        if statuses[-1] != 503:
            assert run(desk(state).poll(JOB))[0] == 200
    assert statuses[-1] in (200, 201)
    keys_before = state.keys
    state.release_late()
    assert state.keys == keys_before
    assert run(desk(state).submit(GOOD_BODY))[0] == 200
    assert statuses.count(201) <= 1
