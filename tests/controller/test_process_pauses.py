"""A process that stood still while its clocks ran on acts on nothing that it knew before."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from tests.support.builders import machine_type
from tests.support.clocks import set_request_clock
from tests.support.fleets import StandInCloud, settle
from tests.support.leaders import Clock, new_leader
from tests.support.settings import SETTINGS
from tests.support.stand_ins import StandInState
from tests.support.users import GOOD_BODY, JOB, StandInNode, desk, run
from weldhead.clock import SECOND_US as S
from weldhead.clock import now_us
from weldhead.cluster_state.records import LeaderRecord
from weldhead.controller import process as node
from weldhead.controller.leadership import peer_directory
from weldhead.controller.leadership.leader_lease import default_timing
from weldhead.controller.leadership.peer_directory import FORWARD_US
from weldhead.controller.process import PONG_US, ControllerProcess
from weldhead.controller.requests import job_status_reader, poll_handler, request_handler
from weldhead.protocol.peer import ForwardedAnswer
from weldhead.protocol.settings import parse_settings
from weldhead.protocol.wire import KeyValue
from weldhead.scheduling.autoscaling.rental_offers import RentalOffer
from weldhead.transport.http_client import CallError
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import RequestRefusedError
from weldhead.tunables.defaults import Tunables


def test_what_waited_for_the_clouds_turn_is_not_sent_by_a_leader_of_the_past(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its successor may use the machines by then, or have settled the rental otherwise."""
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETION_BATCH_DELAY_S", 0)
    rentals, authority = leader.rental_manager, leader.term._lease

    async def scenario() -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        leader.term.background_tasks.start("deletions", rentals.returner.delete_returned)
        rentals.rent(RentalOffer(machine_type(), "a", True), 3)
        await settle()
        assert len(leader.cluster.machines) == 3
        async with cloud.turn:
            # The lease runs out while both wait for their turn.
            rentals.rent(RentalOffer(machine_type(), "a", True), 5)
            await settle()
            monkeypatch.setattr(authority, "is_valid", lambda at_us: False)
        machines = dict(leader.cluster.machines)
        rentals.return_machines(machines)
        await settle()
        assert [request.count for request in cloud.rented] == [3]
        assert cloud.deleted == []
        monkeypatch.undo()
        # Valid again by proof, it does what is still wanted.
        await asyncio.sleep(0.15)
        await settle()
        assert [set(names) for names in cloud.deleted] == [set(machines)]
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_what_the_store_said_before_a_standstill_is_told_to_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock, state = Clock(), StandInState()
    set_request_clock(monkeypatch, clock)
    assert run(desk(state).submit(GOOD_BODY))[0] == 201
    front, read = desk(state), state.get

    async def get(key: str, **more: Any) -> KeyValue | None:
        found = await read(key, **more)
        clock.us += job_status_reader.MAX_STALENESS_US + 1
        return found

    assert run(front.poll(JOB))[0] == 200
    monkeypatch.setattr(state, "get", get)
    assert run(front.poll(JOB))[0] == 503


def test_polls_leave_the_store_to_others(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, state = Clock(), StandInState()
    set_request_clock(monkeypatch, clock)
    front, asked = desk(state), []
    rate = state.limits.rps * request_handler.POLL_SHARE
    # Ten polls over the half that is kept for those that have waited.
    front.polls.limiter._level = rate + 10 * poll_handler.REQUESTS_PER_POLL
    for _ in range(50):
        asked.append(run(front.poll("run-999999"))[0])
    assert asked == [404] * 10 + [503] * 40


class SilentLink:
    """A peer's link whose answers are late by as much as is set."""

    name = "n-1"

    def __init__(self, clock: Clock, late_us: int, answer: Any) -> None:
        self._clock, self._late_us, self._answer = clock, late_us, answer
        self.dropped = 0
        self.connected = True
        self.up = asyncio.Event()
        self.up.set()

    def next_id(self) -> int:
        return 1

    async def request(self, message: object, kind: type, timeout_us: int) -> Any:
        await asyncio.sleep(0)
        self._clock.us += self._late_us
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer

    def drop(self) -> None:
        self.dropped += 1


def controller() -> ControllerProcess:
    return ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())


@pytest.mark.parametrize(("late_us", "dropped"), [(PONG_US, 1), (PONG_US + 5 * S, 0)])
def test_whose_timer_fires_late_does_not_blame_its_peer(
    monkeypatch: pytest.MonkeyPatch, late_us: int, dropped: int
) -> None:
    clock = Clock()
    monkeypatch.setattr(node, "now_us", clock)
    link = SilentLink(clock, late_us, CallError("no answer"))

    async def scenario() -> None:
        here = controller()
        here._state = cast(Any, StandInNode())
        monkeypatch.setattr(here._state, "available", True, raising=False)
        background_task = asyncio.create_task(here._ping(cast(PeerLink, link)))
        for _ in range(5):
            await asyncio.sleep(0)
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())
    assert link.dropped == dropped


@pytest.mark.parametrize(("late_us", "told"), [(FORWARD_US // 2, True), (FORWARD_US * 3, False)])
def test_a_leaders_answer_that_was_read_late_is_not_passed_on(
    monkeypatch: pytest.MonkeyPatch, late_us: int, told: bool
) -> None:
    clock = Clock()
    monkeypatch.setattr(peer_directory, "now_us", clock)
    link = SilentLink(clock, late_us, ForwardedAnswer(1, 200, b"{}"))

    async def scenario() -> bool:
        answer = await controller().peers.forward(cast(PeerLink, link), "poll", JOB, b"")
        return answer is not None

    assert asyncio.run(scenario()) == told


@pytest.mark.parametrize(
    ("fates", "asked"),
    [
        ([CallError("no answer")], 0),
        ([CallError("no answer"), CallError("no answer")], 1),
        ([RequestRefusedError("503")], 1),
    ],
)
def test_one_lost_renewal_hands_nothing_over(fates: list[Exception], asked: int) -> None:
    """A leader whose renewal was lost once on the way gave its term up, and others' work waited."""

    class Store:
        async def extend(self, lease: int, timeout_us: int) -> None:
            if fates:
                raise fates.pop(0)
            here.election.leader = None

        async def get(self, key: str, **_: Any) -> KeyValue:
            # Read with each renewal: the key is still its own.
            record = LeaderRecord("n-0", "x", 200_000)
            return KeyValue(key, msgspec.Raw(msgspec.json.encode(record)), 5)

    here = controller()
    campaign, asks = here.election, []
    campaign.timing = default_timing(200_000)
    campaign._state = cast(Any, Store())
    campaign.lease.begin(5, 1, now_us() + 60 * S)
    campaign.known_leader_token = 5
    campaign._own_nonces.add("x")
    campaign.leader = leader = cast(Any, SimpleNamespace(token=5))

    async def hold_on() -> None:
        asks.append(1)

    async def read_leader(timeout_us: int) -> None:
        """The key is still its own."""

    cast(Any, campaign)._request_promises = hold_on
    cast(Any, campaign).read_leader = read_leader
    asyncio.run(asyncio.wait_for(campaign._renew(leader), 5))
    assert (len(asks), fates) == (asked, [])
