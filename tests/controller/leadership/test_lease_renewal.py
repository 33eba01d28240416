"""Renewal of the leader's lease while the state service is slow, or silent for the leader only.

The tests run real controllers on the emulator's event loop and simulated network.
"""

import asyncio

import pytest

from tests.support.handing_back import Site, play


@pytest.mark.parametrize("slow_s", [0.6, 1.0])
def test_slow_state_service_ends_no_term(slow_s: float) -> None:
    """Answers take up to 1.2 s and 2 s. When renewal attempts were cancelled after 0.5 s, one term
    after the other ended, and no node led for 18 s and 46 s of each minute.
    """

    async def scenario(site: Site) -> None:
        leader = await site.led()
        await asyncio.sleep(5.0)
        site.store.slow_s = slow_s
        leaderless_s = 0.0
        for _ in range(600):
            await asyncio.sleep(0.1)
            leaderless_s += 0.1 * (not site.leading())
        assert leaderless_s < 1.0
        assert set(site.terms.values()) == {leader.name}

    for seed in range(3):
        play(scenario, seed)


def test_leader_cut_from_state_service_is_replaced_in_time() -> None:
    """Waiting for the missing answer as for a slow one delayed the failover by 1 s."""

    async def scenario(site: Site) -> None:
        leader = await site.led()
        await asyncio.sleep(5.0)
        site.cut(leader.name, "state", "drop")
        await asyncio.sleep(2.5)
        assert [controller.name for controller, _ in site.leading()] not in ([], [leader.name])

    play(scenario)
