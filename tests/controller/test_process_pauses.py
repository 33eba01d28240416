"""A process that was paused, while its clocks ran on, does not act on outdated knowledge."""

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
from weldhead.clock import SECOND_US, now_us
from weldhead.cluster_state.records import LeaderRecord
from weldhead.controller import process
from weldhead.controller.leadership import peer_directory
from weldhead.controller.leadership.leader_lease import default_timing
from weldhead.controller.leadership.peer_directory import FORWARD_TIMEOUT_US
from weldhead.controller.process import PONG_TIMEOUT_US, ControllerProcess
from weldhead.controller.requests import job_status_reader, poll_handler, request_handler
from weldhead.protocol.peer import ForwardedAnswer
from weldhead.protocol.settings import parse_settings
from weldhead.protocol.wire import KeyValue
from weldhead.scheduling.autoscaling.rental_offers import RentalOffer
from weldhead.transport.http_client import CallError
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import RequestRefusedError
from weldhead.tunables.defaults import Tunables


def test_queued_cloud_calls_are_not_sent_after_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A successor may already use the machines, or have decided differently about the rental."""
    state, cloud = StandInState(), StandInCloud()
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETION_BATCH_DELAY_S", 0)
    rentals, lease = leader.rental_manager, leader.term._lease

    async def scenario() -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        leader.term.background_tasks.start("deletions", rentals.returner.delete_returned)
        rentals.rent(RentalOffer(machine_type(), "a", True), 3)
        await settle()
        assert len(leader.cluster.machines) == 3
        async with cloud.turn:
            # The lease expires while a rental and a deletion wait for the cloud client.
            rentals.rent(RentalOffer(machine_type(), "a", True), 5)
            await settle()
            monkeypatch.setattr(lease, "is_valid", lambda at_us: False)
        machines = dict(leader.cluster.machines)
        rentals.return_machines(machines)
        await settle()
        assert [request.count for request in cloud.rented] == [3]
        assert cloud.deleted == []
        monkeypatch.undo()
        # Once the lease is valid again, the leader sends the deletion that is still wanted.
        await asyncio.sleep(0.15)
        await settle()
        assert [set(names) for names in cloud.deleted] == [set(machines)]
        await leader.close()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_status_read_before_a_pause_is_not_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock, state = Clock(), StandInState()
    set_request_clock(monkeypatch, clock)
    assert run(desk(state).submit(GOOD_BODY))[0] == 201
    handler, read = desk(state), state.get

    async def get(key: str, **options: Any) -> KeyValue | None:
        entry = await read(key, **options)
        clock.us += job_status_reader.MAX_STALENESS_US + 1
        return entry

    assert run(handler.poll(JOB))[0] == 200
    monkeypatch.setattr(state, "get", get)
    assert run(handler.poll(JOB))[0] == 503


def test_polls_use_only_their_share_of_the_request_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, state = Clock(), StandInState()
    set_request_clock(monkeypatch, clock)
    handler, statuses = desk(state), []
    rate = state.limits.rps * request_handler.POLL_SHARE
    # The budget allows ten polls above the half that is reserved for users who have waited.
    handler.polls.limiter._level = rate + 10 * poll_handler.REQUESTS_PER_POLL
    for _ in range(50):
        statuses.append(run(handler.poll("run-999999"))[0])
    assert statuses == [404] * 10 + [503] * 40


class SilentLink:
    """A link to a peer whose answers are late by ``late_us``."""

    name = "n-1"

    def __init__(self, clock: Clock, late_us: int, answer: Any) -> None:
        self._clock, self._late_us, self._answer = clock, late_us, answer
        self.dropped = 0
        self.is_connected = True
        self.connected_event = asyncio.Event()
        self.connected_event.set()

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


@pytest.mark.parametrize(
    ("late_us", "dropped"), [(PONG_TIMEOUT_US, 1), (PONG_TIMEOUT_US + 5 * SECOND_US, 0)]
)
def test_paused_process_keeps_its_link_to_a_silent_peer(
    monkeypatch: pytest.MonkeyPatch, late_us: int, dropped: int
) -> None:
    """The timeout of a ping that fires late shows a pause of this process, not a silent peer."""
    clock = Clock()
    monkeypatch.setattr(process, "now_us", clock)
    link = SilentLink(clock, late_us, CallError("no answer"))

    async def scenario() -> None:
        node = controller()
        node._state = cast(Any, StandInNode())
        monkeypatch.setattr(node._state, "is_available", True, raising=False)
        background_task = asyncio.create_task(node._send_pings(cast(PeerLink, link)))
        for _ in range(5):
            await asyncio.sleep(0)
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())
    assert link.dropped == dropped


@pytest.mark.parametrize(
    ("late_us", "is_answered"), [(FORWARD_TIMEOUT_US // 2, True), (FORWARD_TIMEOUT_US * 3, False)]
)
def test_forwarded_answer_read_after_a_pause_is_dropped(
    monkeypatch: pytest.MonkeyPatch, late_us: int, is_answered: bool
) -> None:
    clock = Clock()
    monkeypatch.setattr(peer_directory, "now_us", clock)
    link = SilentLink(clock, late_us, ForwardedAnswer(1, 200, b"{}"))

    async def scenario() -> bool:
        answer = await controller().peers.forward(cast(PeerLink, link), "poll", JOB, b"")
        return answer is not None

    assert asyncio.run(scenario()) == is_answered


@pytest.mark.parametrize(
    ("failures", "promise_requests"),
    [
        ([CallError("no answer")], 0),
        ([CallError("no answer"), CallError("no answer")], 1),
        ([RequestRefusedError("503")], 1),
    ],
)
def test_single_lost_renewal_does_not_end_the_term(
    failures: list[Exception], promise_requests: int
) -> None:
    """A leader used to give up its term after one lost renewal, which delayed all work.

    A lost renewal is repeated at once. Only after a second failure, or an answer that refuses the
    request, does the leader request promises from its peers.
    """

    class Store:
        async def extend(self, lease: int, timeout_us: int) -> None:
            if failures:
                raise failures.pop(0)
            node.election.leader = None

        async def get(self, key: str, **_: Any) -> KeyValue:
            # Each renewal reads the key, which still belongs to this node.
            record = LeaderRecord("n-0", "x", 200_000)
            return KeyValue(key, msgspec.Raw(msgspec.json.encode(record)), 5)

    node = controller()
    election, requests = node.election, []
    election.timing = default_timing(200_000)
    election._state = cast(Any, Store())
    election.lease.begin(5, 1, now_us() + 60 * SECOND_US)
    election.known_leader_token = 5
    election._own_nonces.add("x")
    election.leader = leader = cast(Any, SimpleNamespace(token=5))

    async def request_promises() -> None:
        requests.append(1)

    async def read_leader(timeout_us: int) -> None:
        """Leaves everything unchanged, as if the key still belonged to this node."""

    cast(Any, election)._request_promises = request_promises
    cast(Any, election).read_leader = read_leader
    asyncio.run(asyncio.wait_for(election._renew(leader), 5))
    assert (len(requests), failures) == (promise_requests, [])
