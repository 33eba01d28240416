"""The state service's key-value store with transactions, leases and watches, without I/O.

Every call takes the current time as an argument. The store passes each :data:`Change` to a
recorder before it applies the change and answers, so that another kind of storage needs no
change here. Keys are strings, values are raw JSON bytes, times are microseconds of the
monotonic clock. The HTTP interface calls a lease a grant.
"""

from collections import deque
from collections.abc import Callable, Iterator, Sequence

import msgspec
from sortedcontainers import SortedDict

from weldhead.clock import MILLISECOND_US
from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import MAX_BODY_BYTES, Condition, KeyEvent, KeyValue, KeyValuePage

#: The store keeps this many recent changes; a watch cannot start before the oldest of them.
MAX_RETAINED_CHANGES = 10_000
MAX_PAGE_ITEMS = 1_000
MAX_PAGE_BYTES = 512 * 1024
LEASE_TTL_RANGE_MS = (100, 600_000)
_NULL = msgspec.Raw(b"null")


class StoreError(Exception):
    """The store rejected a request; ``status`` is the HTTP status of the answer."""

    status = 400


class NoSuchLeaseError(StoreError):
    """A write refers to a lease that has ended or never existed."""


class GrantGoneError(StoreError):
    """The lease to extend or revoke has ended or never existed."""

    status = 404


class ConditionFailedError(StoreError):
    """A transaction's conditions did not hold for ``keys`` at ``revision``."""

    status = 409

    def __init__(self, keys: list[str], revision: int) -> None:
        super().__init__("conditions failed")
        self.keys = keys
        self.revision = revision


class RevisionTooOldError(StoreError):
    """A watch starts at a revision whose later changes the store no longer keeps."""

    status = 410


class Write(msgspec.Struct, rename={"lease": "permit"}):
    """One write of a transaction: a key to ``set`` to a value, or a key to ``delete``."""

    set: str | None = None
    delete: str | None = None
    value: msgspec.Raw = _NULL
    lease: int | None = None


class Batch(msgspec.Struct, rename={"conditions": "if"}):
    """A transaction as a client sends it: writes that apply only if all conditions hold."""

    conditions: list[Condition] = []
    writes: list[Write] = []


class StoredPut(msgspec.Struct, array_like=True, tag="put", frozen=True):
    """A recorded write: a key, its raw JSON value, and the lease whose end deletes the key."""

    key: str
    value: bytes
    lease: int | None


class Removal(msgspec.Struct, array_like=True, tag="del", frozen=True):
    """A recorded deletion of a key."""

    key: str


class Commit(msgspec.Struct, array_like=True, tag="commit", frozen=True):
    """The recorded writes and deletions that produced one revision."""

    revision: int
    writes: tuple[StoredPut | Removal, ...]


class LeaseGranted(msgspec.Struct, array_like=True, tag="grant", frozen=True):
    """A recorded new lease and its time to live."""

    lease: int
    ttl_ms: int


class LeaseEnded(msgspec.Struct, array_like=True, tag="ended", frozen=True):
    """A recorded end of a lease; the preceding commit removed the keys attached to the lease."""

    lease: int


class StoredKey(msgspec.Struct, array_like=True, tag="kept", frozen=True):
    """A stored key with its value, version and lease, as snapshots contain it."""

    key: str
    value: bytes
    version: int
    lease: int | None


class SnapshotHeader(msgspec.Struct, array_like=True, tag="base", frozen=True):
    """The first entry of a snapshot: the store's revision and the last lease number issued."""

    revision: int
    last_lease: int


Change = Commit | LeaseGranted | LeaseEnded | StoredKey | SnapshotHeader

#: Persists changes. If a recorder raises, the store applies none of them.
Recorder = Callable[[Sequence[Change]], None]


class _Lease:
    """A live lease: its time to live, its expiry time, and the keys attached to it."""

    __slots__ = ("expires_us", "keys", "ttl_ms")

    def __init__(self, ttl_ms: int, expires_us: int) -> None:
        self.ttl_ms = ttl_ms
        self.expires_us = expires_us
        self.keys: set[str] = set()


def _check_key(key: str) -> None:
    if not 1 <= len(key.encode()) <= 200 or any(character.isspace() for character in key):
        raise StoreError(f"not a key: {key[:60]!r}")


class Store:
    """Keys, live leases and the most recent changes.

    ``recorder`` persists each change before the store applies it.
    """

    def __init__(self, limits: StateLimits, recorder: Recorder = lambda changes: None) -> None:
        self.limits = limits
        self.revision = 0
        self._persist = recorder
        self._keys: SortedDict[str, StoredKey] = SortedDict()
        self._grants: dict[int, _Lease] = {}
        self._last_lease = 0
        self._recent_changes: deque[KeyEvent] = deque()
        self._compacted_revision = 0

    def __len__(self) -> int:
        return len(self._keys)

    def load(self, changes: Iterator[Change], now_us: int) -> None:
        """Apply recorded changes after a restart; every lease gets its full time to live."""
        for change in changes:
            self._apply(change, now_us)
        # A watch that began before the restart is rejected; its client reads the keys again.
        self._recent_changes.clear()
        self._compacted_revision = self.revision

    def snapshot(self) -> Iterator[Change]:
        """Yield changes that make an empty store equal to this one."""
        yield SnapshotHeader(self.revision, self._last_lease)
        for lease, lease_entry in self._grants.items():
            yield LeaseGranted(lease, lease_entry.ttl_ms)
        yield from self._keys.values()

    # Reading

    def get(self, key: str) -> KeyValue | None:
        """Return a key with its value and version; None if the key does not exist."""
        _check_key(key)
        stored = self._keys.get(key)
        return None if stored is None else _to_key_value(stored)

    def page(self, prefix: str, after_key: str, limit: int) -> KeyValuePage:
        """Return up to ``limit`` keys with the prefix that sort after ``after_key``, in order."""
        if limit < 1:
            raise StoreError("most: must be 1 or more")
        limit = min(limit, MAX_PAGE_ITEMS)
        items: list[KeyValue] = []
        size = 0
        first_key, inclusive = (
            (after_key, False) if after_key > prefix else (prefix, after_key != prefix)
        )
        for key in self._keys.irange(first_key, inclusive=(inclusive, True)):
            if not key.startswith(prefix):
                break
            stored = self._keys[key]
            size += len(stored.value) + len(key) + 60
            if len(items) == limit or (items and size > MAX_PAGE_BYTES):
                return KeyValuePage(items, True, self.revision)
            items.append(_to_key_value(stored))
        return KeyValuePage(items, False, self.revision)

    def changes(self, prefix: str, since_revision: int) -> list[KeyEvent]:
        """Return the changes after a revision to keys with the prefix.

        Raises :class:`RevisionTooOldError` if the store no longer keeps all of these changes,
        or if the revision does not exist yet.
        """
        if since_revision < self._compacted_revision or since_revision > self.revision:
            raise RevisionTooOldError(f"changes after {since_revision} are not kept")
        matching_events: list[KeyEvent] = []
        for event in reversed(self._recent_changes):
            if event.version <= since_revision:
                break
            if (event.put or event.delete or "").startswith(prefix):
                matching_events.append(event)
        matching_events.reverse()
        return matching_events

    # Writing

    def commit(self, batch: Batch, now_us: int) -> int:
        """Apply a transaction if all its conditions hold, and return the store's revision."""
        self.expire(now_us)
        if len(batch.writes) > self.limits.txn_ops:
            raise StoreError(f"more than {self.limits.txn_ops} writes")
        if len(batch.conditions) > 4 * self.limits.txn_ops:
            raise StoreError(f"more than {4 * self.limits.txn_ops} conditions")
        for condition in batch.conditions:
            _check_key(condition.key)
        writes = [self._validate_write(write) for write in batch.writes]
        failed = [
            condition.key
            for condition in batch.conditions
            if self._key_version(condition.key) != condition.version
        ]
        if failed:
            raise ConditionFailedError(failed, self.revision)
        self._commit_writes(writes, now_us)
        return self.revision

    def _validate_write(self, write: Write) -> StoredPut | Removal:
        if (write.set is None) == (write.delete is None):
            raise StoreError("a write has either set or delete")
        if write.delete is not None:
            _check_key(write.delete)
            return Removal(write.delete)
        key = write.set or ""
        _check_key(key)
        value = bytes(write.value)
        if len(value) > min(self.limits.value_bytes, MAX_BODY_BYTES):
            raise StoreError(f"{key}: a value of {len(value)} bytes")
        if write.lease is not None and write.lease not in self._grants:
            raise NoSuchLeaseError("no such lease")
        return StoredPut(key, value, write.lease)

    def _key_version(self, key: str) -> int:
        stored = self._keys.get(key)
        return 0 if stored is None else stored.version

    def _commit_writes(
        self,
        writes: Sequence[StoredPut | Removal],
        now_us: int,
        ended_leases: Sequence[LeaseEnded] = (),
    ) -> None:
        # Deleting a missing key changes nothing, so such a deletion is left out. The last
        # write of a key wins within a transaction, so a deletion is kept if the same
        # transaction also puts the key.
        put_keys = {write.key for write in writes if isinstance(write, StoredPut)}
        effective_writes = [
            write
            for write in writes
            if isinstance(write, StoredPut) or write.key in self._keys or write.key in put_keys
        ]
        changes: list[Change] = []
        if effective_writes:
            changes.append(Commit(self.revision + 1, tuple(effective_writes)))
        changes += ended_leases
        if changes:
            self._persist_and_apply(changes, now_us)

    def _persist_and_apply(self, changes: Sequence[Change], now_us: int) -> None:
        self._persist(changes)
        for change in changes:
            self._apply(change, now_us)

    def _apply(self, change: Change, now_us: int) -> None:
        match change:
            case Commit(revision, writes):
                self.revision = revision
                for write in writes:
                    self._apply_write(write, revision)
                while len(self._recent_changes) > MAX_RETAINED_CHANGES:
                    self._compacted_revision = self._recent_changes.popleft().version
            case LeaseGranted(lease, ttl_ms):
                self._last_lease = max(self._last_lease, lease)
                self._grants[lease] = _Lease(ttl_ms, now_us + ttl_ms * MILLISECOND_US)
            case LeaseEnded(lease):
                self._grants.pop(lease, None)
            case StoredKey():
                self._keys[change.key] = change
                if change.lease in self._grants:
                    self._grants[change.lease].keys.add(change.key)
            case SnapshotHeader(revision, last_lease):
                self.revision = revision
                self._last_lease = last_lease

    def _apply_write(self, write: StoredPut | Removal, revision: int) -> None:
        replaced = self._keys.pop(write.key, None)
        if replaced is not None and replaced.lease in self._grants:
            self._grants[replaced.lease].keys.discard(write.key)
        if isinstance(write, Removal):
            self._recent_changes.append(KeyEvent(revision, delete=write.key))
            return
        self._keys[write.key] = StoredKey(write.key, write.value, revision, write.lease)
        if write.lease in self._grants:
            self._grants[write.lease].keys.add(write.key)
        self._recent_changes.append(
            KeyEvent(revision, put=write.key, value=msgspec.Raw(write.value))
        )

    # Leases

    def has_lease(self, lease: int) -> bool:
        """Return whether a lease is live."""
        return lease in self._grants

    def grant(self, ttl_ms: int, now_us: int) -> int:
        """Create a lease and return its number."""
        if not LEASE_TTL_RANGE_MS[0] <= ttl_ms <= LEASE_TTL_RANGE_MS[1]:
            raise StoreError(f"life_ms: must be {LEASE_TTL_RANGE_MS[0]} to {LEASE_TTL_RANGE_MS[1]}")
        lease = self._last_lease + 1
        self._persist_and_apply([LeaseGranted(lease, ttl_ms)], now_us)
        return lease

    def extend(self, lease: int, now_us: int) -> None:
        """Renew a lease for its full time to live."""
        self.expire(now_us)
        lease_entry = self._grants.get(lease)
        if lease_entry is None:
            raise GrantGoneError("no such lease")
        lease_entry.expires_us = now_us + lease_entry.ttl_ms * MILLISECOND_US

    def revoke(self, lease: int, now_us: int) -> None:
        """End a lease now and delete the keys attached to it."""
        self.expire(now_us)
        if lease not in self._grants:
            raise GrantGoneError("no such lease")
        self._end_leases([lease], now_us)

    def expire(self, now_us: int) -> bool:
        """End every expired lease; return whether any lease had expired."""
        expired = [
            lease for lease, lease_entry in self._grants.items() if lease_entry.expires_us < now_us
        ]
        if expired:
            self._end_leases(expired, now_us)
        return bool(expired)

    def renew_all_leases(self, now_us: int) -> None:
        """Renew every lease for its full time to live after an outage."""
        for lease_entry in self._grants.values():
            lease_entry.expires_us = now_us + lease_entry.ttl_ms * MILLISECOND_US

    def _end_leases(self, leases: list[int], now_us: int) -> None:
        keys = sorted(key for lease in leases for key in self._grants[lease].keys)
        self._commit_writes(
            [Removal(key) for key in keys], now_us, [LeaseEnded(lease) for lease in leases]
        )


def _to_key_value(stored: StoredKey) -> KeyValue:
    return KeyValue(stored.key, msgspec.Raw(stored.value), stored.version, stored.lease)
