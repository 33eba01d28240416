"""What a controller has others answer, and when it is ready."""

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

S = 1_000_000


class Link:
    """A link to a peer that answers everything, and says whether it is served."""

    connected, format, last_message_us = True, 4, 0

    def __init__(self, name: str, state_ok: bool) -> None:
        self.name, self.state_ok = name, state_ok
        self.asked: list[str] = []

    def alive(self, at_us: int) -> bool:
        return at_us - self.last_message_us < 1_500_000

    def next_id(self) -> int:
        return 1

    async def request(self, message: ForwardedRequest, *_: Any) -> ForwardedAnswer:
        self.asked.append(message.kind)
        return ForwardedAnswer(1, 200, b"{}")


class Site:
    """One controller and its links, at a time that is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, served: bool) -> None:
        self.at_us = 100 * S
        monkeypatch.setattr(peer_directory, "now_us", lambda: self.at_us)
        self.links = {name: Link(name, served) for name in ("n-1", "n-2", "n-3")}
        self.campaign = SimpleNamespace(
            leader=None, catalog=[machine_type()], known_leader=LeaderRecord("n-1", "x", 3 * S)
        )
        links = cast(dict[str, PeerLink], self.links)
        self.here = PeerDirectory("n-0", links, cast(LeaderElection, self.campaign), self.at_us)
        self.state = SimpleNamespace(available=True, served_us=self.at_us, failed_us=0)
        self.here.open(cast(StateClient, self.state))

    def pass_time(self, seconds: int, *, heard: bool, served: bool) -> int:
        """Let time pass; return what ``/ready`` says then."""
        for _ in range(seconds * 5):
            self.at_us += S // 5
            self.state.available = served
            if served:
                self.state.served_us = self.at_us
            else:
                self.state.failed_us = self.at_us
            for link in self.links.values():
                link.last_message_us = self.at_us if heard else link.last_message_us
            self.here._update_isolation()
        return self.here.ready().status


def test_all_stay_ready_in_an_outage_and_one_that_is_alone_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ready as long as no served peer was known, a lone controller took users for minutes."""
    site = Site(monkeypatch, served=False)
    assert site.pass_time(3, heard=True, served=True) == 200
    assert site.pass_time(60, heard=True, served=False) == 200
    assert site.pass_time(2, heard=False, served=False) == 503
    assert site.here.isolated
    assert site.pass_time(1, heard=False, served=True) == 200
    # Refused by the service, beside one that is served.
    site.links["n-2"].state_ok = True
    assert site.pass_time(1, heard=True, served=False) == 503
    assert not site.here.isolated


def test_served_followers_look_for_themselves_and_are_asked_in_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One follower, always the same, was asked what only a leader answers."""
    site = Site(monkeypatch, served=True)
    site.pass_time(1, heard=True, served=True)

    async def ask(times: int) -> None:
        for _ in range(times):
            assert await site.here.ask_served_peer("poll", "run-1", b"") is not None

    asyncio.run(ask(4))
    asked = {name: link.asked for name, link in site.links.items()}
    assert asked == {"n-1": [], "n-2": ["read"] * 2, "n-3": ["read"] * 2}
    site.links["n-2"].state_ok = site.links["n-3"].state_ok = False
    asyncio.run(ask(1))
    assert site.links["n-1"].asked == ["poll"]


def test_all_choose_the_same_home_of_a_job_among_those_that_are_served() -> None:
    names = ["n-0", "n-1", "n-2", "n-3"]
    homes: dict[str, set[str]] = {}
    for own in names:
        links = {name: Link(name, name != "n-2") for name in names if name != own}
        for link in links.values():
            link.last_message_us = now_us()
        here = PeerDirectory(own, cast(Any, links), cast(Any, None), 1)
        here.open(cast(Any, SimpleNamespace(available=own != "n-2")))
        for number in range(40):
            job_id = f"run-{number:06}"
            before = {name: len(link.asked) for name, link in links.items()}
            answer = asyncio.run(here.ask_poll_owner(job_id))
            asked = [name for name, link in links.items() if len(link.asked) > before[name]]
            assert (answer is None) == (asked == [])
            homes.setdefault(job_id, set()).update(asked or [own])
    assert all(len(found) == 1 for found in homes.values())
    assert set.union(*homes.values()) == {"n-0", "n-1", "n-3"}
