"""The leader's writes, against a store that loses, refuses and delays."""

import asyncio
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.stand_ins import StandInState
from tests.support.writes import run
from weldhead.clock import now_us
from weldhead.cluster_state.records import LEADER_KEY
from weldhead.cluster_state.state_writer import LeadershipLostError, StateWriter
from weldhead.transport.state_client import StateClient, TransactionRejectedError
from weldhead.transport.token_bucket import TokenBucket

FATES = st.lists(st.sampled_from(["ok", "refused", "lost", "unanswered", "late"]), max_size=12)


@given(FATES, st.lists(st.integers(0, 3), min_size=1, max_size=12), st.integers(0, 12))
def test_the_last_value_written_stays(fates: list[str], keys: list[int], release: int) -> None:
    """A transaction that is applied late never puts an older value over a newer."""

    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        state.fates = list(fates)
        ledger = StateWriter(cast(StateClient, state), token)
        background_task = asyncio.create_task(ledger.run())
        for count, key in enumerate(keys):
            if count == release:
                state.release_late()
            await ledger.write({f"p/{key}": count})
        state.release_late()
        for key in set(keys):
            last = max(i for i, k in enumerate(keys) if k == key)
            assert state.keys[f"p/{key}"][0] == last
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    run(scenario())


@given(FATES)
def test_a_deposed_leader_writes_nothing(fates: list[str]) -> None:
    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        ledger = StateWriter(cast(StateClient, state), token)
        state.fates = list(fates)
        state.put(LEADER_KEY, {"name": "n-1"})
        background_task = asyncio.create_task(ledger.run())
        with pytest.raises(LeadershipLostError):
            await ledger.write({"f/run-1": "done"})
        state.release_late()
        assert "f/run-1" not in state.keys
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    run(scenario())


def test_writes_are_batched_and_urgent_ones_first() -> None:
    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        ledger = StateWriter(cast(StateClient, state), token)
        writes = [asyncio.create_task(ledger.write({f"p/{n}": n})) for n in range(20)]
        urgent = asyncio.create_task(ledger.write({"m/x": 1}, urgent=True))
        await asyncio.sleep(0)
        background_task = asyncio.create_task(ledger.run())
        revisions = await asyncio.gather(*writes)
        assert len(set(revisions)) == 2
        assert await urgent == min(revisions)
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    run(scenario())


def test_a_write_that_the_store_never_takes_fails_alone() -> None:
    """Retried unchanged for ever, one value over the limit stopped the whole queue."""

    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        state.value_bytes = 100
        ledger = StateWriter(cast(StateClient, state), token)
        writes = [
            asyncio.create_task(ledger.write({f"p/{n}": "x" * (200 if n == 2 else 20)}))
            for n in range(5)
        ]
        later = asyncio.create_task(ledger.write_latest("p/2", lambda: "short"))
        await asyncio.sleep(0)
        background_task = asyncio.create_task(ledger.run())
        answers = await asyncio.gather(*writes, return_exceptions=True)
        assert [type(answer) for answer in answers] == [
            int,
            int,
            TransactionRejectedError,
            int,
            int,
        ]
        # The same key goes on with a value that fits.
        await later
        assert state.keys["p/2"][0] == "short"
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    run(scenario())


def test_values_are_made_in_turn_also_for_changes_that_belong_together() -> None:
    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        ledger = StateWriter(cast(StateClient, state), token)
        value = ["old"]
        write = asyncio.create_task(ledger.write({"h/1": lambda: value[0], "h/2": None}))
        await asyncio.sleep(0)
        value[0] = "new"
        background_task = asyncio.create_task(ledger.run())
        await write
        assert state.keys["h/1"][0] == "new"
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    run(scenario())


def test_a_429_empties_the_budget_so_that_the_next_try_waits() -> None:
    budget = TokenBucket(10.0, 5.0)
    assert budget.try_take(1, now_us())
    budget.back_off()
    at_us = now_us()
    assert not budget.try_take(1, at_us)
    # A tenth of a second each, and for a while a third slower.
    assert 100_000 < budget.wait_us(1) <= 150_000
    # It slows down and drops nothing: the rate itself goes on.
    assert budget.try_take(1, at_us + 160_000)


def test_what_may_have_been_carried_out_is_in_doubt_until_it_is_answered_and_taken_up() -> None:
    """Others read it already, while this leader goes by what was there before."""
    state = StandInState()
    token = state.put(LEADER_KEY, {"name": "n-0"})
    ledger = StateWriter(cast(StateClient, state), token)
    seen: list[frozenset[str]] = []
    transact = state.transact

    async def watched(*args: Any, **more: Any) -> int:
        seen.append(ledger.unanswered_keys)
        return await transact(*args, **more)

    state.transact = watched  # type: ignore[method-assign]

    async def scenario() -> None:
        background_task = asyncio.create_task(ledger.run())
        state.fates = ["refused", "unanswered"]
        write = asyncio.create_task(ledger.write({"f/x": 1, "j/x": None}))
        while not seen:  # noqa: ASYNC110
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert ledger.unanswered_keys == frozenset()
        while len(seen) < 3:
            await asyncio.sleep(0)
            assert len(seen) < 2 or ledger.unanswered_keys == {"f/x", "j/x"}
        while not write.done():
            assert ledger.unanswered_keys == {"f/x", "j/x"}
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert ledger.unanswered_keys == frozenset()
        ledger.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(asyncio.wait_for(scenario(), 10))
    assert set(seen) == {frozenset({"f/x", "j/x"})}
