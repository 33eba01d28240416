"""Sites whose controllers hand over and back."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from tests.support.builders import machine_type
from weldhead.clock import now_us
from weldhead.controller.leadership.leader import Leader
from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.loop import VirtualLoop, simulated
from weldhead.emulator.network import Network
from weldhead.emulator.services import (
    CLOUD_ADDRESS,
    STATE_ADDRESS,
    SimulatedCloud,
    SimulatedStore,
)
from weldhead.protocol.settings import (
    CloudLimits,
    DeploymentFacts,
    MachineLimits,
    PeerSettings,
    ServiceAddresses,
    Settings,
    StateLimits,
    Team,
    WorkerLimits,
)
from weldhead.transport.http_server import Response
from weldhead.tunables.defaults import Tunables

LIMITS = StateLimits(1e4, 1e4, 8.0, 12)


LOOK_S = 0.01


#: For so long a leader may command after another's term has begun, by its lease alone.
UNAWARE_S = 3.0


class Store(SimulatedStore):
    """A store of which single calls of single controllers can be lost or held up."""

    def __init__(self, loop: VirtualLoop, network: Network) -> None:
        super().__init__(loop, network, LIMITS)
        self._net = network
        #: What starts so, asked by that controller, is never carried out.
        self.lost: set[tuple[str, str]] = set()
        #: For how long its transactions are held up before they are carried out.
        self.held_s: dict[str, float] = {}
        self.holds = 0
        #: Whether a request (caller, method, path) is carried out and never answered; who sent
        #: those that were.
        self.loses: Callable[[str, str, str], bool] = lambda *_: False
        self.unanswered: list[str] = []

    async def _serve(self, method: str, path: str, body: bytes) -> Response:
        caller = self._net.caller.get()
        if any(caller == name and path.startswith(start) for name, start in self.lost):
            await asyncio.sleep(1e6)
        if path == "/multi" and caller in self.held_s:
            self.holds += 1
            await asyncio.sleep(self.held_s[caller])
        answer = await super()._serve(method, path, body)
        if self.loses(caller, method, path):
            self.unanswered.append(caller)
            await asyncio.sleep(1e6)
        return answer


class Site:
    """Controllers, their store and an empty cloud."""

    def __init__(self, loop: VirtualLoop, seed: int = 0, count: int = 3) -> None:
        self.loop = loop
        self.network = Network(loop, random.Random(seed))
        self.store = Store(loop, self.network)
        kinds = {machine_type(): 0}
        self.cloud = SimulatedCloud(loop, self.network, kinds, 10.0, _none, random.Random(seed))
        peers = [PeerSettings(f"n-{n}", "ab"[n % 2], f"10.0.0.{n}:81") for n in range(count)]
        facts = DeploymentFacts(
            ["a", "b"], [Team("red", 8, 100)], WorkerLimits(3.0, 14.0, 44.0), LIMITS,
            CloudLimits(10.0, 2.0), [], MachineLimits(1.0, 0.0, 1024),
        )  # fmt: skip
        self.controllers = []
        for n, peer in enumerate(peers):
            own = Settings(
                peer.name, peer.zone, f"10.0.0.{n}:80", peer.address,
                [other for other in peers if other is not peer],
                ServiceAddresses(CLOUD_ADDRESS, STATE_ADDRESS), facts,
            )  # fmt: skip
            clock = (1.0 + 0.0002 * n, 0)
            self.controllers.append(
                SimulatedController(
                    loop, self.network, own, Tunables(), clock, None, lambda *_: None
                )
            )
            self.network.known(own.listen, peer.name)
            self.network.known(peer.address, peer.name)
        #: Terms by token, when each was first seen to lead, and what was wrong with them.
        self.terms: dict[int, str] = {}
        self.begun_s: dict[int, float] = {}
        self.overlaps: list[str] = []

    def start(self) -> None:
        for controller in self.controllers:
            controller.start()

    def leading(self) -> list[tuple[SimulatedController, Leader]]:
        """Who may command now, by the clocks and authority of each; the oldest first."""
        found = []
        for controller in self.controllers:
            node, life = controller.node, controller.life
            leader = node.leader if node is not None else None
            if leader is None or life is None or life.frozen:
                continue
            if life.context.run(lambda leader=leader: leader.is_valid):  # type: ignore[misc]
                found.append((controller, leader))
        return sorted(found, key=lambda pair: pair[1].token)

    def look(self) -> None:
        leading = self.leading()
        self.terms.update((leader.token, controller.name) for controller, leader in leading)
        for token in self.terms:
            self.begun_s.setdefault(token, self.loop.true_s)
        for place, (controller, leader) in enumerate(leading):
            later_s = [at_s for token, at_s in self.begun_s.items() if token > leader.token]
            if later_s and self.loop.true_s > min(later_s) + UNAWARE_S:
                self.overlaps.append(f"{controller.name} goes on with {leader.token}: replaced")
            assert controller.life is not None
            over_us = leader.term.previous_leader_expired_us
            if place and controller.life.context.run(now_us) >= over_us:
                before, former = leading[place - 1]
                self.overlaps.append(
                    f"{self.loop.true_s - 1_000:.3f} s: {controller.name} takes the term "
                    f"{former.token} of {before.name} for over"
                )

    async def watch(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)

    async def until(self, seen: Callable[[], bool], most_s: float = 30.0) -> None:
        end_s = self.loop.true_s + most_s
        while not seen():
            assert self.loop.true_s < end_s, "it has not come about"
            await asyncio.sleep(LOOK_S)

    async def led(self) -> SimulatedController:
        """Wait until somebody leads."""
        await self.until(lambda: bool(self.leading()))
        return self.leading()[-1][0]

    def others(self, than: SimulatedController) -> list[SimulatedController]:
        return [controller for controller in self.controllers if controller is not than]

    def cut(self, one: str, other: str, mode: Any) -> None:
        self.network.cut(one, other, mode)
        self.network.cut(other, one, mode)

    def heal(self, one: str, other: str, mode: Any) -> None:
        self.network.heal(one, other, mode)
        self.network.heal(other, one, mode)


def _none(_: Any) -> Any:
    raise AssertionError("nothing is rented")


def play(story: Callable[[Site], Coroutine[Any, Any, None]], seed: int = 0) -> Site:
    with simulated() as loop:
        site = Site(loop, seed)

        async def run() -> None:
            site.start()
            watching = asyncio.create_task(site.watch())
            await story(site)
            watching.cancel()

        loop.run_until_complete(run())
        assert not site.overlaps, site.overlaps[0]
    return site
