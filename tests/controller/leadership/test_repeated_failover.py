"""Repeated failovers between controllers: no two of them rely on being the leader at once.

The tests run real controllers on the emulator's event loop, network, state service and cloud,
without machines and users. ``tests/support/handing_back.py`` checks two rules every 10 ms: a
leader treats each earlier leader as active for as long as that one would still command, and no
replaced leader goes on for longer than its lease.
"""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.handing_back import Site, play
from weldhead.emulator.controller import SimulatedController

#: Faults of the leader. The names of faults are those that ``FaultHistory.inject`` matches.
LEADER_FAULTS = [
    "end", "freeze", "refuse", "cut store", "cut peers", "drop peers", "no key", "cut off",
    "no answers",
]  # fmt: skip


#: Faults of a controller that does not lead; a repeated name is drawn more often.
FOLLOWER_FAULTS = [
    "end",
    "freeze",
    "refuse",
    "cut store",
    "held writes",
    "held writes",
    "no answers",
]


#: Faults and repairs that concern all controllers or the state service.
SITE_EVENTS = ["start", "thaw", "serve", "heal", "outage", "outage over", "end all", "nothing"]


EVENTS = st.one_of(
    st.tuples(st.sampled_from(LEADER_FAULTS), st.just(0)),
    st.tuples(st.sampled_from(LEADER_FAULTS), st.just(0)),
    st.tuples(st.sampled_from(FOLLOWER_FAULTS), st.integers(1, 2)),
    st.tuples(st.sampled_from(SITE_EVENTS), st.just(0)),
)


#: Sequences of an event, the number of the controller that it hits (0: the leader), and the pause
#: after it in seconds.
HISTORIES = st.lists(
    st.tuples(EVENTS, st.sampled_from([0.0, 0.0, 0.05, 0.3, 0.9, 1.6, 2.9])),
    min_size=2,
    max_size=12,
)


class FaultHistory:
    """Injects faults into a site, each of which lasts until it is repaired."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self._cuts: list[tuple[str, str, str]] = []
        #: The controllers whose writes are executed without an answer.
        self._unanswered: set[str] = set()
        site.store.loses = lambda caller, _, path: (
            caller in self._unanswered and path.startswith(("/multi", "/grants"))
        )

    def _controller(self, number: int) -> SimulatedController:
        """Return a controller by its number, counting from the leader, which has number 0."""
        leading = [controller for controller, _ in self.site.leading()][-1:]
        followers = [c for c in self.site.controllers if c not in leading]
        return [*leading, *followers][number]

    def _cut(self, first: str, second: str, mode: str) -> None:
        """Cut the network between two nodes, unless it is cut already."""
        if not any({first, second} == {a, b} for a, b, _ in self._cuts):
            self._cuts.append((first, second, mode))
            self.site.cut(first, second, mode)

    def inject(self, event: str, number: int) -> None:
        """Apply a fault or a repair to a controller or to the whole site."""
        site, store, target = self.site, self.site.store, self._controller(number)
        match event:
            case "end":
                target.end()
            case "end all":
                for controller in site.controllers:
                    controller.end()
            case "start":
                site.start()
            case "freeze" if target.life is not None:
                site.loop.freeze(target.life)
            case "thaw":
                self.thaw()
            case "refuse":
                store.refused.add(target.name)
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
                self._cut(target.name, "state", "drop")
            case "cut peers" | "drop peers" | "cut off":
                for other in site.others(target):
                    self._cut(
                        target.name, other.name, "drop" if event == "drop peers" else "refuse"
                    )
                if event == "cut off":
                    self._cut(target.name, "state", "drop")
            case "heal":
                for cut in self._cuts:
                    site.heal(*cut)
                self._cuts.clear()
            case "held writes":
                store.held_s[target.name] = 2.2
            case "no answers":
                self._unanswered.add(target.name)
            case "no key":
                store.lost |= {(target.name, "/store"), (target.name, "/changes")}

    def thaw(self) -> None:
        for controller in self.site.controllers:
            if controller.life is not None and controller.life.frozen:
                self.site.loop.thaw(controller.life)


@given(HISTORIES, st.integers(0, 3))
@settings(max_examples=60)
def test_no_two_controllers_rely_on_leading_after_any_faults(
    history: list[tuple[tuple[str, int], float]], seed: int
) -> None:
    async def scenario(site: Site) -> None:
        await site.led()
        faults = FaultHistory(site)
        for (event, number), pause_s in history:
            faults.inject(event, number)
            await asyncio.sleep(pause_s)
        for event in ("heal", "serve", "outage over", "thaw", "start"):
            faults.inject(event, 0)
        # A controller leads soon after all faults are repaired.
        await asyncio.sleep(1.0)
        await site.led()

    play(scenario, seed)


def test_renewed_lease_does_not_show_that_the_key_is_kept() -> None:
    """A replaced leader, whose renewals were answered while its reads of the key were lost, went
    on for longer than its successor waited.
    """

    async def scenario(site: Site) -> None:
        first = await site.led()
        await asyncio.sleep(5.0)
        # The leader looks dead to the other controllers, and its reads of the key are lost.
        site.store.lost |= {(first.name, "/store"), (first.name, "/changes")}
        for other in site.others(first):
            site.cut(first.name, other.name, "refuse")
        await site.until(lambda: len(site.terms) > 1)
        assert site.leading()[0][0] is first
        await asyncio.sleep(8.0)

    play(scenario)


async def _replace_by_ended_successor(
    site: Site,
) -> tuple[SimulatedController, SimulatedController]:
    """Let the second controller replace the leader and end before its key is written.

    Only the second controller has judged the leader dead. Returns the leader and the third one.
    """
    first = await site.led()
    second, third = site.others(first)
    await asyncio.sleep(5.0)
    site.store.held_s[second.name] = 2.9
    site.cut(third.name, first.name, "drop")
    site.cut(second.name, third.name, "drop")
    site.cut(second.name, first.name, "refuse")
    await site.until(lambda: site.store.holds > 0)
    second.end()
    return first, third


def test_absent_key_does_not_show_that_no_leader_is_active() -> None:
    """An ended successor's key was written late and deleted with its lease a moment later. A
    controller that was paused meanwhile took the absent key and treated no leader as active, while
    the leader before the ended successor still commanded.
    """

    async def scenario(site: Site) -> None:
        first, third = await _replace_by_ended_successor(site)
        await asyncio.sleep(2.7)
        # The leader is cut off, and commands by its last renewal for 2 s and more.
        site.cut(first.name, "state", "drop")
        assert third.life is not None
        site.loop.freeze(third.life)
        await asyncio.sleep(0.5)
        site.loop.thaw(third.life)
        await site.until(lambda: len(site.terms) > 1)
        assert [controller for controller, _ in site.leading()] == [first, third]
        await asyncio.sleep(4.0)

    play(scenario)


def test_started_controller_waits_although_the_key_is_absent() -> None:
    """As in the test above, but the third controller is restarted instead of paused, and reads the
    key only after the deletion.
    """

    async def scenario(site: Site) -> None:
        first, third = await _replace_by_ended_successor(site)
        third.end()
        site.cut(third.name, "state", "refuse")
        await asyncio.sleep(1.0)
        # The promises of its previous process expire before the key is deleted.
        third.start()
        await asyncio.sleep(1.7)
        site.cut(first.name, "state", "drop")
        await asyncio.sleep(0.5)
        site.heal(third.name, "state", "refuse")
        await site.until(lambda: len(site.terms) > 1)
        assert [controller for controller, _ in site.leading()] == [first, third]
        await asyncio.sleep(4.0)

    play(scenario)
