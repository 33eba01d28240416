"""A leader that was replaced does not go on by promises of those who forgot that.

The real controllers play on the emulator's loop, as in ``test_handing_back.py``, which looks
that nobody who was replaced commands for longer than its lease.
"""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from tests.support.handing_back import Site, play
from tests.support.settings import SETTINGS
from tests.support.slow_store import SlowStore
from weldhead.controller.leadership.promises import began_by_us
from weldhead.controller.process import ControllerProcess
from weldhead.emulator.controller import SimulatedController
from weldhead.protocol.peer import Pong, PromiseAnswer, PromiseRequest, decode_message, encode_frame
from weldhead.protocol.settings import PeerSettings, parse_settings
from weldhead.protocol.wire import Heartbeat
from weldhead.transport.http_client import CallError
from weldhead.transport.peer_links import PeerLink
from weldhead.tunables.defaults import Tunables


async def replaced(
    site: Site,
) -> tuple[SimulatedController, SimulatedController, SimulatedController]:
    """Let the second take over from the first, which does not know it; the third sees nothing."""
    first = await site.led()
    second, third = site.others(first)
    await asyncio.sleep(5.0)
    site.cut(third.name, first.name, "drop")
    site.cut(third.name, second.name, "drop")
    site.cut(third.name, "state", "drop")
    site.store.lost |= {(first.name, "/store"), (first.name, "/changes")}
    site.cut(second.name, first.name, "refuse")
    await site.until(lambda: len(site.terms) > 1)
    assert [controller for controller, _ in site.leading()] == [first, second]
    # The store is out from here on.
    site.store.service.outage = True
    return first, second, third


def heal(
    site: Site, first: SimulatedController, second: SimulatedController, third: SimulatedController
) -> None:
    site.heal(second.name, first.name, "refuse")
    site.heal(third.name, first.name, "drop")
    site.heal(third.name, second.name, "drop")


def restart(controller: SimulatedController) -> None:
    controller.end()
    controller.start()


def test_a_successor_that_was_started_again_promises_nothing_to_whom_it_had_replaced() -> None:
    """It knew nothing of its own term, and the third had not seen it: with their promises the
    first went on for as long as the outage lasted.
    """

    async def story(site: Site) -> None:
        first, second, third = await replaced(site)
        restart(second)
        heal(site, first, second, third)
        await asyncio.sleep(0.5)
        assert [controller for controller, _ in site.leading()] == [first]
        await asyncio.sleep(20.0)

    play(story)


def test_a_successor_whose_term_is_over_promises_nothing_to_whom_it_had_replaced() -> None:
    """The first said that it leads, and the second, which knew of no leader, took its token."""

    async def story(site: Site) -> None:
        first, second, third = await replaced(site)
        assert second.life is not None and second.node is not None
        second.life.context.run(second.node.election.step_down, "its lease ran out")
        heal(site, first, second, third)
        await asyncio.sleep(20.0)

    play(story)


def test_a_token_that_a_worker_has_seen_reaches_the_leader_that_was_replaced() -> None:
    """Over whichever controller it reports to: that one promises nothing, and says the token."""
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())
    node.election._state = cast(Any, SlowStore([CallError("no answer")]))
    report = Heartbeat("vm-000001", "", "m4", "a", False, 1, 1, token=9, tasks=[])

    async def scenario() -> PromiseAnswer:
        await node._handle("POST", "/v1/report", msgspec.json.encode(report))
        return await node.election.answer_promise_request("n-1", PromiseRequest(1, 5, 1_500_000))

    said = asyncio.run(scenario())
    assert (said.promised, said.known_token) == (False, 9)
    # At the leader, by an answer to its ping as well.
    ended: list[str] = []
    node.election.leader = cast(Any, SimpleNamespace(token=5))
    node.election.step_down = ended.append  # type: ignore[assignment]
    node.election.observe_pong("n-1", Pong(1, True, known_token=9), 0)
    assert ended == ["n-1 knows of token 9"]


@pytest.mark.parametrize("in_outage", [False, True])
def test_who_was_started_while_the_leader_was_surely_not_replaced_keeps_it(in_outage: bool) -> None:
    """Before the key was last seen, or within a promise that binds the process before."""

    async def story(site: Site) -> None:
        first = await site.led()
        await asyncio.sleep(5.0)
        second, _ = site.others(first)
        if not in_outage:
            restart(second)
            await asyncio.sleep(1.0)
        site.store.service.outage = True
        await asyncio.sleep(4.0)
        if in_outage:
            restart(second)
        await asyncio.sleep(20.0)
        assert [controller for controller, _ in site.leading()] == [first]

    play(story)


class OldHeld(msgspec.Struct, array_like=True, tag="held"):
    id: int
    promised: bool


def test_a_version_that_knows_no_tokens_in_promises_reads_them_and_is_read() -> None:
    decode = msgspec.msgpack.Decoder(OldHeld).decode
    assert decode(encode_frame(PromiseAnswer(9, True, 41, 5_000_000))[4:]) == OldHeld(9, True)
    said = decode_message(msgspec.msgpack.encode(OldHeld(9, True)))
    assert said == PromiseAnswer(9, True)
    # It does not say for how long it has run: its process is as old as its connection.
    link = PeerLink(PeerSettings("n-1", "a", "10.0.0.1:81"), "n-0")
    link.connected_us = 7
    assert isinstance(said, PromiseAnswer) and began_by_us(link, said, 10) == 7
