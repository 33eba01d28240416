"""Forwarding of requests to peers, and the readiness of a controller."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests.support.builders import machine_type
from weldhead.clock import now_us
from weldhead.cluster_state.records import LeaderRecord
from weldhead.controller.leadership import peer_directory
from weldhead.controller.leadership.leader_election import LeaderElection
from weldhead.controller.leadership.peer_directory import PeerDirectory
from weldhead.protocol.peer import ForwardedAnswer, ForwardedRequest
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import StateClient

SECOND_US = 1_000_000


class FakeLink:
    """A link to a peer that answers every request.

    ``state_ok`` is whether the state service serves the peer.
    """

    is_connected, format, last_message_us = True, 4, 0

    def __init__(self, name: str, state_ok: bool) -> None:
        self.name, self.state_ok = name, state_ok
        self.asked: list[str] = []

    def is_responsive(self, at_us: int) -> bool:
        return at_us - self.last_message_us < 1_500_000

    def next_id(self) -> int:
        return 1

    async def request(self, message: ForwardedRequest, *_: Any) -> ForwardedAnswer:
        self.asked.append(message.kind)
        return ForwardedAnswer(1, 200, b"{}")


class Controller:
    """One controller and its links, with a clock that the test moves."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, served: bool) -> None:
        self.at_us = 100 * SECOND_US
        monkeypatch.setattr(peer_directory, "now_us", lambda: self.at_us)
        self.links = {name: FakeLink(name, served) for name in ("n-1", "n-2", "n-3")}
        self.election = SimpleNamespace(
            leader=None,
            catalog=[machine_type()],
            known_leader=LeaderRecord("n-1", "x", 3 * SECOND_US),
        )
        links = cast(dict[str, PeerLink], self.links)
        self.directory = PeerDirectory(
            "n-0", links, cast(LeaderElection, self.election), self.at_us
        )
        self.state = SimpleNamespace(is_available=True, last_served_us=self.at_us, last_failed_us=0)
        self.directory.open(cast(StateClient, self.state))

    def pass_time(self, seconds: int, *, heard: bool, served: bool) -> int:
        """Let time pass; return the status of ``/ready`` afterwards.

        ``heard`` is whether the peers answer, ``served`` whether the state service does.
        """
        for _ in range(seconds * 5):
            self.at_us += SECOND_US // 5
            self.state.is_available = served
            if served:
                self.state.last_served_us = self.at_us
            else:
                self.state.last_failed_us = self.at_us
            for link in self.links.values():
                link.last_message_us = self.at_us if heard else link.last_message_us
            self.directory._update_isolation()
        return self.directory.ready().status


def test_controller_stays_ready_in_outage_unless_isolated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An isolated controller used to stay ready, and received users, for minutes.

    It counted as ready as long as it knew of no peer that the state service served.
    """
    controller = Controller(monkeypatch, served=False)
    assert controller.pass_time(3, heard=True, served=True) == 200
    assert controller.pass_time(60, heard=True, served=False) == 200
    assert controller.pass_time(2, heard=False, served=False) == 503
    assert controller.directory.isolated
    assert controller.pass_time(1, heard=False, served=True) == 200
    # The state service refuses this controller and serves one of its peers.
    controller.links["n-2"].state_ok = True
    assert controller.pass_time(1, heard=True, served=False) == 503
    assert not controller.directory.isolated


def test_polls_are_forwarded_to_served_followers_in_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All polls used to go to the same follower, as requests that only a leader answers."""
    controller = Controller(monkeypatch, served=True)
    controller.pass_time(1, heard=True, served=True)

    async def forward_polls(times: int) -> None:
        for _ in range(times):
            assert await controller.directory.ask_served_peer("poll", "run-1", b"") is not None

    asyncio.run(forward_polls(4))
    asked = {name: link.asked for name, link in controller.links.items()}
    assert asked == {"n-1": [], "n-2": ["read"] * 2, "n-3": ["read"] * 2}
    controller.links["n-2"].state_ok = controller.links["n-3"].state_ok = False
    asyncio.run(forward_polls(1))
    assert controller.links["n-1"].asked == ["poll"]


def test_all_controllers_choose_same_served_owner_of_a_job() -> None:
    names = ["n-0", "n-1", "n-2", "n-3"]
    owners: dict[str, set[str]] = {}
    for own_name in names:
        links = {name: FakeLink(name, name != "n-2") for name in names if name != own_name}
        for link in links.values():
            link.last_message_us = now_us()
        directory = PeerDirectory(own_name, cast(Any, links), cast(Any, None), 1)
        directory.open(cast(Any, SimpleNamespace(is_available=own_name != "n-2")))
        for number in range(40):
            job_id = f"run-{number:06}"
            requests_before = {name: len(link.asked) for name, link in links.items()}
            answer = asyncio.run(directory.ask_poll_owner(job_id))
            asked = [
                name for name, link in links.items() if len(link.asked) > requests_before[name]
            ]
            assert (answer is None) == (asked == [])
            owners.setdefault(job_id, set()).update(asked or [own_name])
    assert all(len(names_of_owners) == 1 for names_of_owners in owners.values())
    assert set.union(*owners.values()) == {"n-0", "n-1", "n-3"}
