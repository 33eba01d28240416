"""Controllers hand over and back, all end, one returns: no two rely on leading at once.

The real controllers play on the emulator's loop, network, store and cloud, without machines and
users. What is looked at every few milliseconds: whoever leads counts each leader before it as
active for as long as that one would still command, and nobody who was replaced goes on for longer
than its lease.
"""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.handing_back import Site, play
from weldhead.emulator.controller import SimulatedController

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

    def _whom(self, number: int) -> SimulatedController:
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


async def _replaced_by_one_that_ended(
    site: Site,
) -> tuple[SimulatedController, SimulatedController]:
    """Return the leader and the third: the second alone has taken the leader for dead, and has
    ended before its key was written.
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


def test_a_key_that_was_replaced_and_is_gone_was_not_given_up_by_its_holder() -> None:
    """A successor's key, written late, went with its lease a moment later. Who had stood still
    meanwhile took the free key and counted nobody as active: the leader before the last still
    commanded.
    """

    async def story(site: Site) -> None:
        first, third = await _replaced_by_one_that_ended(site)
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
        first, third = await _replaced_by_one_that_ended(site)
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
