"""The state service as PROTOCOL describes it, without I/O: every call is given the time.

What a call changes is returned as a :class:`Change` and given to a recorder before the
answer leaves, so that another storage needs no change here. Keys are strings, values raw
JSON bytes, times microseconds of the steady clock.
"""

from collections import deque
from collections.abc import Callable, Iterator, Sequence

import msgspec
from sortedcontainers import SortedDict

from weldhead.clock import MILLISECOND_US
from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import MAX_BODY_BYTES, Condition, KeyEvent, KeyValue, KeyValuePage

#: How many of the last changes can be watched from.
KEPT_CHANGES = 10_000
PAGE_ITEMS = 1_000
PAGE_BYTES = 512 * 1024
GRANT_MS = (100, 600_000)
_NULL = msgspec.Raw(b"null")


class StoreError(Exception):
    """A request that is not executed; ``status`` is its HTTP status."""

    status = 400


class NoSuchLeaseError(StoreError):
    """A grant that has ended or never was."""


class GrantGoneError(StoreError):
    """The grant that a call is about has ended."""

    status = 404


class ConditionFailedError(StoreError):
    """Conditions that did not hold."""

    status = 409

    def __init__(self, keys: list[str], revision: int) -> None:
        super().__init__("conditions failed")
        self.keys = keys
        self.revision = revision


class RevisionTooOldError(StoreError):
    """A watch from a revision whose changes are not kept any more."""

    status = 410


class Write(msgspec.Struct, rename={"lease": "permit"}):
    """One write of a transaction: ``set`` with a value, or ``delete``."""

    set: str | None = None
    delete: str | None = None
    value: msgspec.Raw = _NULL
    lease: int | None = None


class Batch(msgspec.Struct, rename={"conditions": "if"}):
    """A transaction as it arrives."""

    conditions: list[Condition] = []
    writes: list[Write] = []


class StoredPut(msgspec.Struct, array_like=True, tag="put", frozen=True):
    """A recorded write: the key, its raw JSON value, the grant that it hangs on."""

    key: str
    value: bytes
    lease: int | None


class Removal(msgspec.Struct, array_like=True, tag="del", frozen=True):
    """A recorded deletion."""

    key: str


class Commit(msgspec.Struct, array_like=True, tag="commit", frozen=True):
    """Everything that happened at one revision."""

    revision: int
    writes: tuple[StoredPut | Removal, ...]


class Granted(msgspec.Struct, array_like=True, tag="grant", frozen=True):
    """A new grant."""

    lease: int
    ttl_ms: int


class Ended(msgspec.Struct, array_like=True, tag="ended", frozen=True):
    """A grant that is over; what hung on it was removed by the commit before."""

    lease: int


class StoredKey(msgspec.Struct, array_like=True, tag="kept", frozen=True):
    """A key in a snapshot."""

    key: str
    value: bytes
    version: int
    lease: int | None


class Base(msgspec.Struct, array_like=True, tag="base", frozen=True):
    """The head of a snapshot: its revision and the last grant's number."""

    revision: int
    last_lease: int


Change = Commit | Granted | Ended | StoredKey | Base

#: Makes changes last; raises if it cannot, and then nothing is applied.
Recorder = Callable[[Sequence[Change]], None]


class _Grant:
    __slots__ = ("ends_us", "keys", "ttl_ms")

    def __init__(self, ttl_ms: int, ends_us: int) -> None:
        self.ttl_ms = ttl_ms
        self.ends_us = ends_us
        self.keys: set[str] = set()


def _check_key(key: str) -> None:
    if not 1 <= len(key.encode()) <= 200 or any(mark.isspace() for mark in key):
        raise StoreError(f"not a key: {key[:60]!r}")


class Store:
    """Keys, grants and the last changes."""

    def __init__(self, limits: StateLimits, recorder: Recorder = lambda changes: None) -> None:
        self.limits = limits
        self.revision = 0
        self._recorder = recorder
        self._keys: SortedDict[str, StoredKey] = SortedDict()
        self._grants: dict[int, _Grant] = {}
        self._last_lease = 0
        self._changes: deque[KeyEvent] = deque()
        self._forgotten = 0

    def __len__(self) -> int:
        return len(self._keys)

    def load(self, changes: Iterator[Change], now_us: int) -> None:
        """Take up what was recorded; every grant has its full time again."""
        for change in changes:
            self._apply(change, now_us)
        # Who watched from an earlier life reads the keys again.
        self._changes.clear()
        self._forgotten = self.revision

    def snapshot(self) -> Iterator[Change]:
        """Return changes that make an empty store equal to this one."""
        yield Base(self.revision, self._last_lease)
        for lease, grant in self._grants.items():
            yield Granted(lease, grant.ttl_ms)
        yield from self._keys.values()

    # Reading

    def get(self, key: str) -> KeyValue | None:
        """Read a key."""
        _check_key(key)
        kept = self._keys.get(key)
        return None if kept is None else _entry(kept)

    def page(self, prefix: str, start: str, most: int) -> KeyValuePage:
        """Read keys with a prefix, behind ``start``, in their order."""
        if most < 1:
            raise StoreError("most: must be 1 or more")
        most = min(most, PAGE_ITEMS)
        items: list[KeyValue] = []
        size = 0
        first, inclusive = (start, False) if start > prefix else (prefix, start != prefix)
        for key in self._keys.irange(first, inclusive=(inclusive, True)):
            if not key.startswith(prefix):
                break
            kept = self._keys[key]
            size += len(kept.value) + len(key) + 60
            if len(items) == most or (items and size > PAGE_BYTES):
                return KeyValuePage(items, True, self.revision)
            items.append(_entry(kept))
        return KeyValuePage(items, False, self.revision)

    def changes(self, prefix: str, start: int) -> list[KeyEvent]:
        """Return the changes of keys with the prefix after a revision; TooOld if forgotten."""
        if start < self._forgotten or start > self.revision:
            raise RevisionTooOldError(f"changes after {start} are not kept")
        found: list[KeyEvent] = []
        for event in reversed(self._changes):
            if event.version <= start:
                break
            if (event.put or event.delete or "").startswith(prefix):
                found.append(event)
        found.reverse()
        return found

    # Changing

    def commit(self, batch: Batch, now_us: int) -> int:
        """Apply a transaction and return its revision."""
        self.expire(now_us)
        if len(batch.writes) > self.limits.txn_ops:
            raise StoreError(f"more than {self.limits.txn_ops} writes")
        if len(batch.conditions) > 4 * self.limits.txn_ops:
            raise StoreError(f"more than {4 * self.limits.txn_ops} conditions")
        for condition in batch.conditions:
            _check_key(condition.key)
        writes = [self._checked(write) for write in batch.writes]
        failed = [
            condition.key
            for condition in batch.conditions
            if self._version(condition.key) != condition.version
        ]
        if failed:
            raise ConditionFailedError(failed, self.revision)
        self._commit(writes, now_us)
        return self.revision

    def _checked(self, write: Write) -> StoredPut | Removal:
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

    def _version(self, key: str) -> int:
        kept = self._keys.get(key)
        return 0 if kept is None else kept.version

    def _commit(
        self, writes: Sequence[StoredPut | Removal], now_us: int, ended: Sequence[Ended] = ()
    ) -> None:
        # Removing what is not there changes nothing; in one transaction the last write of a
        # key counts, and what an earlier one of them put can still be removed.
        put = {write.key for write in writes if isinstance(write, StoredPut)}
        real = [
            write
            for write in writes
            if isinstance(write, StoredPut) or write.key in self._keys or write.key in put
        ]
        changes: list[Change] = []
        if real:
            changes.append(Commit(self.revision + 1, tuple(real)))
        changes += ended
        if changes:
            self._record(changes, now_us)

    def _record(self, changes: Sequence[Change], now_us: int) -> None:
        self._recorder(changes)
        for change in changes:
            self._apply(change, now_us)

    def _apply(self, change: Change, now_us: int) -> None:
        match change:
            case Commit(revision, writes):
                self.revision = revision
                for write in writes:
                    self._write(write, revision)
                while len(self._changes) > KEPT_CHANGES:
                    self._forgotten = self._changes.popleft().version
            case Granted(lease, ttl_ms):
                self._last_lease = max(self._last_lease, lease)
                self._grants[lease] = _Grant(ttl_ms, now_us + ttl_ms * MILLISECOND_US)
            case Ended(lease):
                self._grants.pop(lease, None)
            case StoredKey():
                self._keys[change.key] = change
                if change.lease in self._grants:
                    self._grants[change.lease].keys.add(change.key)
            case Base(revision, last_lease):
                self.revision = revision
                self._last_lease = last_lease

    def _write(self, write: StoredPut | Removal, revision: int) -> None:
        old = self._keys.pop(write.key, None)
        if old is not None and old.lease in self._grants:
            self._grants[old.lease].keys.discard(write.key)
        if isinstance(write, Removal):
            self._changes.append(KeyEvent(revision, delete=write.key))
            return
        self._keys[write.key] = StoredKey(write.key, write.value, revision, write.lease)
        if write.lease in self._grants:
            self._grants[write.lease].keys.add(write.key)
        self._changes.append(KeyEvent(revision, put=write.key, value=msgspec.Raw(write.value)))

    # Grants

    def has_grant(self, lease: int) -> bool:
        """Whether a grant has not ended."""
        return lease in self._grants

    def grant(self, ttl_ms: int, now_us: int) -> int:
        """Create a grant and return its number."""
        if not GRANT_MS[0] <= ttl_ms <= GRANT_MS[1]:
            raise StoreError(f"life_ms: must be {GRANT_MS[0]} to {GRANT_MS[1]}")
        lease = self._last_lease + 1
        self._record([Granted(lease, ttl_ms)], now_us)
        return lease

    def extend(self, lease: int, now_us: int) -> None:
        """Give a grant its full time again."""
        self.expire(now_us)
        grant = self._grants.get(lease)
        if grant is None:
            raise GrantGoneError("no such lease")
        grant.ends_us = now_us + grant.ttl_ms * MILLISECOND_US

    def revoke(self, lease: int, now_us: int) -> None:
        """End a grant at once."""
        self.expire(now_us)
        if lease not in self._grants:
            raise GrantGoneError("no such lease")
        self._end([lease], now_us)

    def expire(self, now_us: int) -> bool:
        """End every grant whose time is over; whether there was one."""
        over = [lease for lease, grant in self._grants.items() if grant.ends_us < now_us]
        if over:
            self._end(over, now_us)
        return bool(over)

    def renew_all(self, now_us: int) -> None:
        """After an outage every grant has its full time again."""
        for grant in self._grants.values():
            grant.ends_us = now_us + grant.ttl_ms * MILLISECOND_US

    def _end(self, leases: list[int], now_us: int) -> None:
        keys = sorted(key for lease in leases for key in self._grants[lease].keys)
        self._commit([Removal(key) for key in keys], now_us, [Ended(lease) for lease in leases])


def _entry(kept: StoredKey) -> KeyValue:
    return KeyValue(kept.key, msgspec.Raw(kept.value), kept.version, kept.lease)
