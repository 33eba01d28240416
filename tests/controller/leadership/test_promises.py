"""A replaced leader does not go on by promises of nodes that have lost the memory of its successor.

The tests run real controllers on the emulator's event loop. ``tests/support/handing_back.py``
checks throughout that no replaced leader commands for longer than its lease.
"""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from tests.support.handing_back import Site, play
from tests.support.settings import SETTINGS
from tests.support.slow_store import SlowStore
from weldhead.controller.leadership.promises import latest_process_start_us
from weldhead.controller.process import ControllerProcess
from weldhead.emulator.controller import SimulatedController
from weldhead.protocol.peer import Pong, PromiseAnswer, PromiseRequest, decode_message, encode_frame
from weldhead.protocol.settings import PeerSettings, parse_settings
from weldhead.protocol.wire import Heartbeat
from weldhead.transport.http_client import CallError
from weldhead.transport.peer_links import PeerLink
from weldhead.tunables.defaults import Tunables


async def replace_leader_unnoticed(
    site: Site,
) -> tuple[SimulatedController, SimulatedController, SimulatedController]:
    """Let the second node replace the first; neither the first nor the third learns of it."""
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
    # An outage of the state service begins.
    site.store.service.outage = True
    return first, second, third


def heal_network(
    site: Site, first: SimulatedController, second: SimulatedController, third: SimulatedController
) -> None:
    site.heal(second.name, first.name, "refuse")
    site.heal(third.name, first.name, "drop")
    site.heal(third.name, second.name, "drop")


def restart(controller: SimulatedController) -> None:
    controller.end()
    controller.start()


def test_restarted_successor_gives_replaced_leader_no_promise() -> None:
    """The restarted successor had no memory of its own term, and the third node had not learned of
    it. With their promises the replaced leader went on for as long as the outage lasted.
    """

    async def scenario(site: Site) -> None:
        first, second, third = await replace_leader_unnoticed(site)
        restart(second)
        heal_network(site, first, second, third)
        await asyncio.sleep(0.5)
        assert [controller for controller, _ in site.leading()] == [first]
        await asyncio.sleep(20.0)

    play(scenario)


def test_former_successor_gives_replaced_leader_no_promise() -> None:
    """The replaced leader announced that it leads. The successor, whose own term had ended and
    which knew of no leader, accepted its older token.
    """

    async def scenario(site: Site) -> None:
        first, second, third = await replace_leader_unnoticed(site)
        assert second.life is not None and second.node is not None
        second.life.context.run(second.node.election.step_down, "its lease ran out")
        heal_network(site, first, second, third)
        await asyncio.sleep(20.0)

    play(scenario)


def test_token_reported_by_a_worker_reaches_replaced_leader() -> None:
    """A controller that learns a later token from a worker denies the promise to the replaced
    leader, and its answer states that token.
    """
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())
    node.election._state = cast(Any, SlowStore([CallError("no answer")]))
    report = Heartbeat("vm-000001", "", "m4", "a", False, 1, 1, token=9, tasks=[])

    async def scenario() -> PromiseAnswer:
        await node._handle("POST", "/v1/report", msgspec.json.encode(report))
        return await node.election.answer_promise_request("n-1", PromiseRequest(1, 5, 1_500_000))

    answer = asyncio.run(scenario())
    assert (answer.promised, answer.known_token) == (False, 9)
    # The replaced leader also learns the token from the answer to its ping.
    ended: list[str] = []
    node.election.leader = cast(Any, SimpleNamespace(token=5))
    node.election.step_down = ended.append  # type: ignore[assignment]
    node.election.observe_pong("n-1", Pong(1, True, known_token=9), 0)
    assert ended == ["n-1 knows of token 9"]


@pytest.mark.parametrize("in_outage", [False, True])
def test_promise_of_safely_started_process_keeps_leader(in_outage: bool) -> None:
    """A process that started before the leader's key was last seen, or while a promise bound its
    previous process, cannot follow one that replaced the leader. Its promise counts.
    """

    async def scenario(site: Site) -> None:
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

    play(scenario)


class PromiseAnswerWithoutToken(msgspec.Struct, array_like=True, tag="held"):
    """The answer to a promise request as older versions define it."""

    id: int
    promised: bool


def test_promise_answers_are_compatible_with_older_versions() -> None:
    decode = msgspec.msgpack.Decoder(PromiseAnswerWithoutToken).decode
    assert decode(
        encode_frame(PromiseAnswer(9, True, 41, 5_000_000))[4:]
    ) == PromiseAnswerWithoutToken(9, True)
    answer = decode_message(msgspec.msgpack.encode(PromiseAnswerWithoutToken(9, True)))
    assert answer == PromiseAnswer(9, True)
    # An older version does not state its process's age: it is at least that of its connection.
    link = PeerLink(PeerSettings("n-1", "a", "10.0.0.1:81"), "n-0")
    link.connected_since_us = 7
    assert isinstance(answer, PromiseAnswer) and latest_process_start_us(link, answer, 10) == 7
