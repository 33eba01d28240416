"""The state service: store against a dictionary model, record file, and HTTP interface."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.loopback import served
from weldhead.clock import MILLISECOND_US, SECOND_US
from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import Condition, DeleteKey, PutKey
from weldhead.site.records import DamagedRecordsError, RecordFile
from weldhead.site.store.model import (
    MAX_RETAINED_CHANGES,
    Batch,
    Change,
    ConditionFailedError,
    GrantGoneError,
    NoSuchLeaseError,
    RevisionTooOldError,
    Store,
    StoreError,
    Write,
)
from weldhead.site.store.server import StateService
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.state_client import (
    ConflictError,
    LeaseNotFoundError,
    RequestRefusedError,
    RevisionCompactedError,
    StateClient,
    TransactionRejectedError,
)

LIMITS = StateLimits(1000.0, 1000.0, 1.0, 4)
KEYS = ["a", "a/b", "a/c", "b", "c/é"]


def raw(value: Any) -> msgspec.Raw:
    """Encode a value as raw JSON."""
    return msgspec.Raw(msgspec.json.encode(value))


def put(key: str, value: Any, lease: int | None = None) -> Write:
    """Return a write that sets a key, attached to a lease if one is given."""
    return Write(set=key, value=raw(value), lease=lease)


# Guards against a store that differs from a dictionary of keys and leases, also after it was
# killed and loaded from its record or a snapshot: each lease then has its full time to live,
# and a watch from before the restart is rejected.
# The source of this class, but for its comments, seeds the examples that Hypothesis draws.
class StoreMachine(RuleBasedStateMachine):
    """The store beside a dictionary; it may be loaded anew from its record at any time."""

    @initialize()
    def begin(self) -> None:
        self.now = SECOND_US
        self.record: list[Change] = []
        self.store = Store(LIMITS, self.record.extend)
        self.model: dict[str, tuple[Any, int]] = {}
        self.grants: dict[int, tuple[int, set[str]]] = {}
        self.revision = 0

    def _expire(self) -> None:
        keys: set[str] = set()
        for lease, (ends, attached) in list(self.grants.items()):
            if ends < self.now:
                keys |= attached
                del self.grants[lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.model[key]

    def _detach(self, key: str) -> None:
        for _, attached in self.grants.values():
            attached.discard(key)

    @rule(
        key=st.sampled_from(KEYS), value=st.integers(), good=st.booleans(), lease=st.integers(0, 4)
    )
    def write(self, key: str, value: int, good: bool, lease: int) -> None:
        self._expire()
        version = self.model.get(key, (None, 0))[1] + (0 if good else 1)
        batch = Batch([Condition(key, version)], [put(key, value, lease or None)])
        if lease and lease not in self.grants:
            with pytest.raises(NoSuchLeaseError):
                self.store.commit(batch, self.now)
        elif not good:
            with pytest.raises(ConditionFailedError) as failed:
                self.store.commit(batch, self.now)
            assert failed.value.keys == [key]
        else:
            self.revision += 1
            assert self.store.commit(batch, self.now) == self.revision
            self._detach(key)
            self.model[key] = (value, self.revision)
            if lease:
                self.grants[lease][1].add(key)

    @rule(first=st.sampled_from(KEYS), second=st.sampled_from(KEYS), value=st.integers())
    def put_and_delete(self, first: str, second: str, value: int) -> None:
        self._expire()
        self.store.commit(Batch([], [put(first, value), Write(delete=second)]), self.now)
        self.revision += 1
        self._detach(first)
        self._detach(second)
        self.model[first] = (value, self.revision)
        self.model.pop(second, None)

    @rule(ttl=st.integers(100, 3000))
    def grant(self, ttl: int) -> None:
        lease = self.store.grant(ttl, self.now)
        assert lease not in self.grants
        self.grants[lease] = (self.now + ttl * MILLISECOND_US, set())

    @rule(lease=st.integers(1, 4), end=st.booleans())
    def extend_or_revoke(self, lease: int, end: bool) -> None:
        self._expire()
        call = self.store.revoke if end else self.store.extend
        if lease not in self.grants:
            with pytest.raises(GrantGoneError):
                call(lease, self.now)
            return
        call(lease, self.now)
        ttl = self.store._grants[lease].ttl_ms if not end else 0
        if not end:
            self.grants[lease] = (self.now + ttl * MILLISECOND_US, self.grants[lease][1])
        else:
            keys = self.grants.pop(lease)[1]
            self.revision += bool(keys)
            for key in keys:
                del self.model[key]

    @rule(step=st.integers(1, 2 * SECOND_US))
    def time_passes(self, step: int) -> None:
        self.now += step
        self._expire()
        self.store.expire(self.now)

    @rule(snapshot=st.booleans())
    def killed_and_loaded_again(self, snapshot: bool) -> None:
        """Every grant has its full time again; who watches from before reads anew."""
        old = self.store
        changes = list(old.snapshot()) if snapshot else list(self.record)
        self.record = changes[:]
        self.store = Store(LIMITS, self.record.extend)
        self.store.load(iter(changes), self.now)
        for lease, (_, attached) in self.grants.items():
            ttl = self.store._grants[lease].ttl_ms
            self.grants[lease] = (self.now + ttl * MILLISECOND_US, attached)
        if self.revision:
            with pytest.raises(RevisionTooOldError):
                self.store.changes("", self.revision - 1)

    @invariant()
    def same(self) -> None:
        if not hasattr(self, "store"):
            return
        assert self.store.revision == self.revision
        page = self.store.page("", "", 1000)
        seen = {item.key: (msgspec.json.decode(item.value), item.version) for item in page.items}
        assert seen == self.model
        assert [item.key for item in page.items] == sorted(self.model)
        assert not page.more


StoreMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestStore = StoreMachine.TestCase


@pytest.mark.parametrize(
    "batch",
    [
        Batch([], [put("k", i) for i in range(5)]),
        Batch([Condition(f"k{i}", 0) for i in range(17)], []),
        Batch([], [put("a key", 1)]),
        Batch([], [put("k" * 201, 1)]),
        Batch([], [put("k", "x" * 1100)]),
        Batch([], [Write()]),
        Batch([], [Write(set="a", delete="a")]),
        Batch([Condition("", 0)], []),
    ],
)
def test_transaction_over_limits_changes_nothing(batch: Batch) -> None:
    """A malformed or oversized transaction gets status 400 and is not applied in part."""
    store = Store(LIMITS)
    with pytest.raises(StoreError) as refused:
        store.commit(batch, 0)
    assert refused.value.status == 400
    assert store.revision == 0
    assert len(store) == 0


def test_lowered_value_limit_keeps_stored_values_readable() -> None:
    """A value above a lowered limit can be read, but not be written again."""
    store = Store(LIMITS)
    store.commit(Batch([], [put("k", "x" * 1000)]), 0)
    store.limits = StateLimits(1.0, 1.0, 0.1, 1)
    assert store.get("k") is not None
    with pytest.raises(StoreError):
        store.commit(Batch([], [put("k", "x" * 1000)]), 0)


def test_watch_returns_prefix_changes_or_rejects_old_revision() -> None:
    """A watch must never skip a change silently.

    The store rejects a watch whose start revision is too old, so that later changes are
    dropped already, or does not exist yet.
    """
    store = Store(LIMITS)
    for number in range(MAX_RETAINED_CHANGES + 5):
        store.commit(Batch([], [put("ab"[number % 2], number)]), 0)
    with pytest.raises(RevisionTooOldError):
        store.changes("a", 4)
    assert [event.version for event in store.changes("a", 10_000)] == [10_001, 10_003, 10_005]
    with pytest.raises(RevisionTooOldError):
        store.changes("a", store.revision + 1)


def test_unrecorded_change_is_not_applied() -> None:
    """A change that a full disk keeps from the record must not be visible to readers."""

    def full(changes: object) -> None:
        raise OSError(28, "full")

    store = Store(LIMITS, full)
    with pytest.raises(OSError):
        store.commit(Batch([], [put("k", 1)]), 0)
    with pytest.raises(OSError):
        store.grant(1000, 0)
    assert store.revision == 0
    assert store.get("k") is None


# Guards against a process killed while it appends: the records before the cut must be read,
# and records appended after it too. A damaged record before the last one is an error.
@given(count=st.integers(1, 5), cut=st.integers(1, 40), data=st.data())
@settings(max_examples=60)
def test_a_record_cut_anywhere_is_a_prefix_and_goes_on(
    count: int, cut: int, data: st.DataObject
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "record"
        texts = [f"text {number}" for number in range(count)]
        file: RecordFile[str] = RecordFile(path, str)
        for text in texts:
            file.append([text])
        file.close()
        size = path.stat().st_size
        with path.open("r+b") as handle:
            handle.truncate(max(0, size - cut))
        found = list(RecordFile[str](path, str).read())
        assert found == texts[: len(found)]
        again: RecordFile[str] = RecordFile(path, str)
        again.append(["more"])
        again.close()
        assert list(RecordFile[str](path, str).read()) == [*found, "more"]
        if len(found) > 1:
            body = bytearray(path.read_bytes())
            body[8 + data.draw(st.integers(0, 5))] ^= 255
            path.write_bytes(body)
            with pytest.raises(DamagedRecordsError):
                list(RecordFile[str](path, str).read())


def test_state_client_gets_every_answer_and_error() -> None:
    """The controllers' client and the state service must agree on each call over HTTP.

    At the end, another service loads what the first one recorded.
    """

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            record = Path(folder) / "record"
            service = StateService(StateLimits(1e4, 1e4, 1.0, 4), record)
            background_tasks = BackgroundTasks()
            service.start(background_tasks)
            async with served(service.handle) as address:
                http = HttpClient(8)
                client = StateClient(http, address, StateLimits(1e4, 1e4, 1.0, 4))
                try:
                    await talk(service, client, http, address)
                finally:
                    await http.close()
            await background_tasks.close()
            service.close()
            again = StateService(StateLimits(1e4, 1e4, 1.0, 4), record)
            entry = again.store.get("a/1")
            assert entry is not None
            assert bytes(entry.value) == b'{"x":1}'
            again.close()

    async def talk(
        service: StateService, client: StateClient, http: HttpClient, address: str
    ) -> None:
        first = await client.transact([Condition("a/1", 0)], [PutKey("a/1", {"x": 1})])
        entry = await client.get("a/1")
        assert entry is not None and entry.version == first
        assert await client.get("a/2") is None
        with pytest.raises(ConflictError):
            await client.transact([Condition("a/1", 0)], [PutKey("a/1", 2)])
        with pytest.raises(TransactionRejectedError):
            await client.transact([], [PutKey("a/1", "x" * 2000)])
        with pytest.raises(LeaseNotFoundError):
            await client.transact([Condition("no", 7)], [PutKey("a/1", 2, lease=99)])
        # Keys are read in pages, and a watch waits until a key with its prefix changes.
        for number in range(3):
            await client.transact([], [PutKey(f"b/{number}", number)])
        ((entries, revision),) = [page async for page in client.pages("b/")]
        assert [entry.key for entry in entries] == ["b/0", "b/1", "b/2"]
        status, body = await http.call(
            "GET", f"http://{address}/store?starts=b/&most=2&from=b/0", None, SECOND_US
        )
        assert status == 200
        assert [item["key"] for item in msgspec.json.decode(body)["items"]] == ["b/1", "b/2"]
        watch = asyncio.create_task(client.watch("b/", revision, 3 * SECOND_US))
        await asyncio.sleep(0.05)
        await client.transact([], [DeleteKey("b/1"), PutKey("c", 1)])
        changes = await watch
        assert [event.delete for event in changes.events] == ["b/1"]
        with pytest.raises(RevisionCompactedError):
            await client.watch("b/", 10**6, 0)
        # An expired lease deletes its keys, and a watch returns the deletion.
        lease = await client.grant(100 * MILLISECOND_US)
        await client.transact([], [PutKey("leader", "me", lease=lease)])
        revision = service.store.revision
        await client.extend(lease, SECOND_US)
        gone = await client.watch("leader", revision, 3 * SECOND_US)
        assert [event.delete for event in gone.events] == ["leader"]
        with pytest.raises(LeaseNotFoundError):
            await client.extend(lease, SECOND_US)
        # Requests fail if they are malformed, during an outage, and above the rate limit.
        for method, path, bad in (
            ("POST", "/multi", b"{"),
            ("POST", "/grants", b'{"life_ms":1}'),
            ("GET", "/store?most=x", None),
        ):
            status, _ = await http.call(method, f"http://{address}{path}", bad, SECOND_US)
            assert status == 400
        service.outage = True
        with pytest.raises(RequestRefusedError):
            await client.get("a/1")
        service.end_outage()
        service.set_limits(StateLimits(1e4, 2.0, 1.0, 4))
        with pytest.raises(CallError, match="429"):
            for number in range(4):
                await client.transact([], [PutKey("d", number)])

    asyncio.run(run())
