"""Controllers hand over and back, all end, one returns: no two rely on leading at once.

The real controllers play on the emulator's loop, network, store and cloud, without machines and
users. What is looked at every few milliseconds: whoever leads counts each leader before it as
active for as long as that one would still command, and nobody who was replaced goes on for longer
than its lease.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import machine_type
from weldhead.clock import now_us
from weldhead.controller.leadership.leader import Leader
from weldhead.emulator.controller import Controller
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
    Facts,
    MachineLimits,
    PeerSettings,
    Services,
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
        facts = Facts(
            ["a", "b"], [Team("red", 8, 100)], WorkerLimits(3.0, 14.0, 44.0), LIMITS,
            CloudLimits(10.0, 2.0), [], MachineLimits(1.0, 0.0, 1024),
        )  # fmt: skip
        self.controllers = []
        for n, peer in enumerate(peers):
            own = Settings(
                peer.name, peer.zone, f"10.0.0.{n}:80", peer.address,
                [other for other in peers if other is not peer],
                Services(CLOUD_ADDRESS, STATE_ADDRESS), facts,
            )  # fmt: skip
            clock = (1.0 + 0.0002 * n, 0)
            self.controllers.append(
                Controller(loop, self.network, own, Tunables(), clock, None, lambda *_: None)
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

    def leading(self) -> list[tuple[Controller, Leader]]:
        """Who may command now, by the clocks and authority of each; the oldest first."""
        found = []
        for controller in self.controllers:
            node, life = controller.node, controller.life
            leader = node.leader if node is not None else None
            if leader is None or life is None or life.frozen:
                continue
            if life.context.run(lambda leader=leader: leader.valid):  # type: ignore[misc]
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

    async def led(self) -> Controller:
        """Wait until somebody leads."""
        await self.until(lambda: bool(self.leading()))
        return self.leading()[-1][0]

    def others(self, than: Controller) -> list[Controller]:
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


# -- generated ----------------------------------------------------------------------------------

#: What befalls the leader, mostly in pairs, one of the others, or all.
LEADERS = [
    "end", "freeze", "refuse", "cut store", "cut peers", "drop peers", "no key", "cut off",
    "no answers",
]  # fmt: skip
OTHERS = ["end", "freeze", "refuse", "cut store", "held writes", "held writes", "no answers"]
ALL = ["start", "thaw", "serve", "heal", "outage", "outage over", "end all", "nothing"]
EVENTS = st.one_of(
    st.tuples(st.sampled_from(LEADERS), st.just(0)),
    st.tuples(st.sampled_from(LEADERS), st.just(0)),
    st.tuples(st.sampled_from(OTHERS), st.integers(1, 2)),
    st.tuples(st.sampled_from(ALL), st.just(0)),
)
HISTORIES = st.lists(
    st.tuples(EVENTS, st.sampled_from([0.0, 0.0, 0.05, 0.3, 0.9, 1.6, 2.9])),
    min_size=2,
    max_size=12,
)


class History:
    """Faults of a site, each until it is healed; the first controller is who leads."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self._cuts: list[tuple[str, str, str]] = []
        #: Whose writes are carried out and not answered.
        self._unanswered: set[str] = set()
        site.store.loses = lambda caller, _, path: (
            caller in self._unanswered and path.startswith(("/multi", "/grants"))
        )

    def _whom(self, number: int) -> Controller:
        leading = [controller for controller, _ in self.site.leading()][-1:]
        rest = [c for c in self.site.controllers if c not in leading]
        return [*leading, *rest][number]

    def _cut(self, one: str, other: str, mode: str) -> None:
        if not any({one, other} == {a, b} for a, b, _ in self._cuts):
            self._cuts.append((one, other, mode))
            self.site.cut(one, other, mode)

    def befall(self, event: str, number: int) -> None:
        site, store, whom = self.site, self.site.store, self._whom(number)
        match event:
            case "end":
                whom.end()
            case "end all":
                for controller in site.controllers:
                    controller.end()
            case "start":
                site.start()
            case "freeze" if whom.life is not None:
                site.loop.freeze(whom.life)
            case "thaw":
                self.thaw()
            case "refuse":
                store.refused.add(whom.name)
            case "serve":
                store.refused.clear()
                store.lost.clear()
                store.held_s.clear()
                self._unanswered.clear()
            case "outage":
                store.service.outage = True
            case "outage over" if store.service.outage:
                store.life.context.run(store.service.end_outage)
            case "cut store":
                self._cut(whom.name, "state", "drop")
            case "cut peers" | "drop peers" | "cut off":
                for other in site.others(whom):
                    self._cut(whom.name, other.name, "drop" if event == "drop peers" else "refuse")
                if event == "cut off":
                    self._cut(whom.name, "state", "drop")
            case "heal":
                for cut in self._cuts:
                    site.heal(*cut)
                self._cuts.clear()
            case "held writes":
                store.held_s[whom.name] = 2.2
            case "no answers":
                self._unanswered.add(whom.name)
            case "no key":
                store.lost |= {(whom.name, "/store"), (whom.name, "/changes")}

    def thaw(self) -> None:
        for controller in self.site.controllers:
            if controller.life is not None and controller.life.frozen:
                self.site.loop.thaw(controller.life)


@given(HISTORIES, st.integers(0, 3))
@settings(max_examples=60)
def test_no_history_has_two_that_rely_on_leading(
    history: list[tuple[tuple[str, int], float]], seed: int
) -> None:
    async def story(site: Site) -> None:
        await site.led()
        faults = History(site)
        for (event, number), pause_s in history:
            faults.befall(event, number)
            await asyncio.sleep(pause_s)
        for event in ("heal", "serve", "outage over", "thaw", "start"):
            faults.befall(event, 0)
        # All troubles over, somebody leads soon.
        await asyncio.sleep(1.0)
        await site.led()

    play(story, seed)


# -- on purpose -----------------------------------------------------------------------------------


def test_an_extended_lease_does_not_show_that_the_key_is_still_ones_own() -> None:
    """A leader that was replaced, and whose lease alone was answered, went on for longer than
    its successor waits: its looks at the key were lost, one after the other.
    """

    async def story(site: Site) -> None:
        first = await site.led()
        await asyncio.sleep(5.0)
        # It looks dead to the others, and reads nothing.
        site.store.lost |= {(first.name, "/store"), (first.name, "/changes")}
        for other in site.others(first):
            site.cut(first.name, other.name, "refuse")
        await site.until(lambda: len(site.terms) > 1)
        assert site.leading()[0][0] is first
        await asyncio.sleep(8.0)

    play(story)


def test_a_key_that_was_replaced_and_is_gone_was_not_given_up_by_its_holder() -> None:
    """A successor's key, written late, went with its lease a moment later. Who had stood still
    meanwhile took the free key and counted nobody as active: the leader before the last still
    commanded.
    """

    async def story(site: Site) -> None:
        first = await site.led()
        second, third = site.others(first)
        await asyncio.sleep(5.0)
        site.store.held_s[second.name] = 2.9
        # The second alone takes it for dead, and ends before its key is written.
        site.cut(third.name, first.name, "drop")
        site.cut(second.name, third.name, "drop")
        site.cut(second.name, first.name, "refuse")
        await site.until(lambda: site.store.holds > 0)
        second.end()
        await asyncio.sleep(2.7)
        # It learns nothing more, and commands by the last extension for 2 s and more.
        site.cut(first.name, "state", "drop")
        assert third.life is not None
        site.loop.freeze(third.life)
        await asyncio.sleep(0.5)
        site.loop.thaw(third.life)
        await site.until(lambda: len(site.terms) > 1)
        assert [controller for controller, _ in site.leading()] == [first, third]
        await asyncio.sleep(4.0)

    play(story)


def test_a_started_controller_does_not_take_a_free_key_for_one_that_was_given_up() -> None:
    """As before, and the third was only started when the key was gone."""

    async def story(site: Site) -> None:
        first = await site.led()
        second, third = site.others(first)
        await asyncio.sleep(5.0)
        site.store.held_s[second.name] = 2.9
        site.cut(third.name, first.name, "drop")
        site.cut(second.name, third.name, "drop")
        site.cut(second.name, first.name, "refuse")
        await site.until(lambda: site.store.holds > 0)
        second.end()
        third.end()
        site.cut(third.name, "state", "refuse")
        await asyncio.sleep(1.0)
        # Whatever a former life of it promised is over when the key is gone.
        third.start()
        await asyncio.sleep(1.7)
        site.cut(first.name, "state", "drop")
        await asyncio.sleep(0.5)
        site.heal(third.name, "state", "refuse")
        await site.until(lambda: len(site.terms) > 1)
        assert [controller for controller, _ in site.leading()] == [first, third]
        await asyncio.sleep(4.0)

    play(story)
