"""The state writer against a store that loses, refuses and delays transactions."""

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
def test_late_transaction_never_restores_older_value(
    fates: list[str], keys: list[int], release: int
) -> None:
    """A transaction that is applied late must not replace a newer value by an older one."""

    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        state.fates = list(fates)
        writer = StateWriter(cast(StateClient, state), token)
        writer_task = asyncio.create_task(writer.run())
        for count, key in enumerate(keys):
            if count == release:
                state.release_late()
            await writer.write({f"p/{key}": count})
        state.release_late()
        for key in set(keys):
            last = max(i for i, k in enumerate(keys) if k == key)
            assert state.keys[f"p/{key}"][0] == last
        writer.close()
        await asyncio.gather(writer_task, return_exceptions=True)

    run(scenario())


@given(FATES)
def test_replaced_leader_writes_nothing(fates: list[str]) -> None:
    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        writer = StateWriter(cast(StateClient, state), token)
        state.fates = list(fates)
        state.put(LEADER_KEY, {"name": "n-1"})
        writer_task = asyncio.create_task(writer.run())
        with pytest.raises(LeadershipLostError):
            await writer.write({"f/run-1": "done"})
        state.release_late()
        assert "f/run-1" not in state.keys
        writer.close()
        await asyncio.gather(writer_task, return_exceptions=True)

    run(scenario())


def test_writes_are_batched_and_urgent_writes_come_first() -> None:
    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        writer = StateWriter(cast(StateClient, state), token)
        writes = [asyncio.create_task(writer.write({f"p/{n}": n})) for n in range(20)]
        urgent = asyncio.create_task(writer.write({"m/x": 1}, urgent=True))
        await asyncio.sleep(0)
        writer_task = asyncio.create_task(writer.run())
        revisions = await asyncio.gather(*writes)
        assert len(set(revisions)) == 2
        assert await urgent == min(revisions)
        writer.close()
        await asyncio.gather(writer_task, return_exceptions=True)

    run(scenario())


def test_permanently_rejected_write_fails_alone() -> None:
    """Guards against one oversized value, retried unchanged forever, blocking the whole queue."""

    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        state.value_bytes = 100
        writer = StateWriter(cast(StateClient, state), token)
        writes = [
            asyncio.create_task(writer.write({f"p/{n}": "x" * (200 if n == 2 else 20)}))
            for n in range(5)
        ]
        later = asyncio.create_task(writer.write_latest("p/2", lambda: "short"))
        await asyncio.sleep(0)
        writer_task = asyncio.create_task(writer.run())
        results = await asyncio.gather(*writes, return_exceptions=True)
        assert [type(result) for result in results] == [
            int,
            int,
            TransactionRejectedError,
            int,
            int,
        ]
        # A later write of the same key succeeds with a value that fits.
        await later
        assert state.keys["p/2"][0] == "short"
        writer.close()
        await asyncio.gather(writer_task, return_exceptions=True)

    run(scenario())


def test_callable_value_is_built_at_write_turn() -> None:
    async def scenario() -> None:
        state = StandInState()
        token = state.put(LEADER_KEY, {"name": "n-0"})
        writer = StateWriter(cast(StateClient, state), token)
        value = ["old"]
        write = asyncio.create_task(writer.write({"h/1": lambda: value[0], "h/2": None}))
        await asyncio.sleep(0)
        value[0] = "new"
        writer_task = asyncio.create_task(writer.run())
        await write
        assert state.keys["h/1"][0] == "new"
        writer.close()
        await asyncio.gather(writer_task, return_exceptions=True)

    run(scenario())


def test_drained_token_bucket_makes_next_request_wait() -> None:
    budget = TokenBucket(10.0, 5.0)
    assert budget.try_take(1, now_us())
    budget.back_off()
    at_us = now_us()
    assert not budget.try_take(1, at_us)
    # One token takes 0.1 s, and refilling is a third slower for a while after draining.
    assert 100_000 < budget.wait_us(1) <= 150_000
    # Draining only delays requests: the bucket refills and grants the request later.
    assert budget.try_take(1, at_us + 160_000)


def test_keys_stay_unanswered_until_result_is_processed() -> None:
    """Other nodes may read an unanswered write while the leader still acts on the old value.

    Its keys must count as unanswered until the write is answered and its caller has the result. A
    refused transaction was not applied and leaves no key unanswered.
    """
    state = StandInState()
    token = state.put(LEADER_KEY, {"name": "n-0"})
    writer = StateWriter(cast(StateClient, state), token)
    seen_keys: list[frozenset[str]] = []
    transact = state.transact

    async def record_unanswered_keys(*args: Any, **kwargs: Any) -> int:
        seen_keys.append(writer.unanswered_keys)
        return await transact(*args, **kwargs)

    state.transact = record_unanswered_keys  # type: ignore[method-assign]

    async def scenario() -> None:
        writer_task = asyncio.create_task(writer.run())
        state.fates = ["refused", "unanswered"]
        write = asyncio.create_task(writer.write({"f/x": 1, "j/x": None}))
        while not seen_keys:  # noqa: ASYNC110
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert writer.unanswered_keys == frozenset()
        while len(seen_keys) < 3:
            await asyncio.sleep(0)
            assert len(seen_keys) < 2 or writer.unanswered_keys == {"f/x", "j/x"}
        while not write.done():
            assert writer.unanswered_keys == {"f/x", "j/x"}
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert writer.unanswered_keys == frozenset()
        writer.close()
        writer_task.cancel()
        await asyncio.gather(writer_task, return_exceptions=True)

    asyncio.run(asyncio.wait_for(scenario(), 10))
    assert set(seen_keys) == {frozenset({"f/x", "j/x"})}
