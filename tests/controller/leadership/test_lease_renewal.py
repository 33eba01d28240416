"""The leader's lease while the state service is slow, or silent for the leader alone.

The real controllers play on the emulator's loop, as in ``test_handing_back.py``.
"""

import asyncio

import pytest

from tests.support.handing_back import Site, play


@pytest.mark.parametrize("slow_s", [0.6, 1.0])
def test_a_slow_store_ends_no_term(slow_s: float) -> None:
    """Up to 1.2 and 2 s an answer. Attempts that were given up after 0.5 s ended term after term:
    nobody led for 18 and 46 s of each minute.
    """

    async def story(site: Site) -> None:
        first = await site.led()
        await asyncio.sleep(5.0)
        site.store.slow_s = slow_s
        without_s = 0.0
        for _ in range(600):
            await asyncio.sleep(0.1)
            without_s += 0.1 * (not site.leading())
        assert without_s < 1.0
        assert set(site.terms.values()) == {first.name}

    for seed in range(3):
        play(story, seed)


def test_a_store_that_is_silent_for_the_leader_alone_is_no_slow_one() -> None:
    """To wait for its answer as for a slow one's, the handing over took 1 s more."""

    async def story(site: Site) -> None:
        first = await site.led()
        await asyncio.sleep(5.0)
        site.cut(first.name, "state", "drop")
        await asyncio.sleep(2.5)
        assert [controller.name for controller, _ in site.leading()] not in ([], [first.name])

    play(story)
