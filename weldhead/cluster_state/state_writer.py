"""The leader's writes to the state service: batched transactions, conditional on the leader's key.

One transaction is in progress at a time, and each is also conditional on the last known version of
every key that it changes. A transaction that timed out may be applied late. If it is applied before
the next transaction, the next one fails and reads the new versions. Otherwise the late transaction
fails. A late transaction therefore never replaces a newer value by an older one.

Versions are never reused, but a key can become absent again. When a creation is not answered, is
repeated, and the key is deleted afterwards, the condition of the first creation holds once more,
and its late execution restores the key. A caller that must not have a deleted key restored calls
``StateWriter.is_creation_unconfirmed`` before it deletes the key.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from weldhead.clock import now_us
from weldhead.cluster_state.records import LEADER_KEY
from weldhead.protocol.wire import (
    MAX_TRANSACTION_VALUE_BYTES,
    Condition,
    DeleteKey,
    KeyValue,
    PutKey,
)
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    ConflictError,
    RequestRefusedError,
    StateClient,
    TransactionRejectedError,
)

log = logging.getLogger(__name__)


class LeadershipLostError(Exception):
    """Another leader has replaced this one, or the leader's key was deleted.

    ``seen_token`` is the version of the leader's key that was read; 0: the key does not exist;
    None: the key was not read, because the term had ended already.
    """

    def __init__(self, own_token: int, seen_token: int | None = None) -> None:
        if seen_token is None:
            text = f"the term of fencing token {own_token} is over"
        elif not seen_token:
            text = f"the leader key of fencing token {own_token} is gone"
        else:
            text = f"fencing token {own_token} was replaced by {seen_token}"
        super().__init__(text)
        self.own_token = own_token
        self.seen_token = seen_token


class _QueuedWrite:
    __slots__ = ("changes", "future", "latest")

    def __init__(
        self, changes: dict[str, Any], future: "asyncio.Future[int]", *, latest: bool = False
    ) -> None:
        self.changes = changes
        self.future = future
        #: Whether the write has a single key, and later requests for its newest value share it.
        self.latest = latest

    def values(self) -> dict[str, Any]:
        """Return the changes; values given as a callable are built now."""
        return {key: value() if callable(value) else value for key, value in self.changes.items()}


class StateWriter:
    """A queue of writes to the state service.

    A value of None deletes the key. A callable builds the value when the write's turn comes.
    """

    def __init__(self, state: StateClient, token: int) -> None:
        self._state = state
        self._token = token
        self._versions: dict[str, int] = {}
        self._urgent: deque[_QueuedWrite] = deque()
        self._queue: deque[_QueuedWrite] = deque()
        #: Queued writes of newest values, by key.
        self._latest: dict[str, _QueuedWrite] = {}
        self._wake = asyncio.Event()
        self._closed = False
        #: Keys with an unanswered creation, which may still be applied during this term.
        self._unconfirmed_creations: set[str] = set()
        #: The latest time at which this leader certainly held the leader's key: the sending time of
        #: a request whose answer confirmed it (steady clock; 0: never).
        self.leadership_verified_us = 0
        #: Keys of the current transaction while it may have been applied without this node having
        #: processed the answer; and the time since which that holds.
        self.unanswered_keys: frozenset[str] = frozenset()
        self.unanswered_since_us = 0

    async def verify_leadership(self) -> None:
        """Check that this leader holds the leader's key; raise LeadershipLostError if not."""
        sent_us = now_us()
        leader = await self._state.get(LEADER_KEY, urgent=True)
        if leader is None or leader.version != self._token:
            raise self._leadership_lost(leader)
        self.leadership_verified_us = max(self.leadership_verified_us, sent_us)

    def _leadership_lost(self, leader: KeyValue | None) -> LeadershipLostError:
        return LeadershipLostError(self._token, 0 if leader is None else leader.version)

    def record_version(self, key: str, version: int) -> None:
        """Record a key's version that was read from the store or its change feed."""
        if version > self._versions.get(key, 0):
            self._versions[key] = version

    def forget_version(self, key: str) -> None:
        """Forget the version of a key that is never written again.

        If the versions of ended jobs' records were kept for the whole term, they would grow with
        every job.
        """
        self._versions.pop(key, None)
        self._unconfirmed_creations.discard(key)

    def version(self, key: str) -> int:
        """Return the last known version of a key; 0: the key does not exist."""
        return self._versions.get(key, 0)

    def is_creation_unconfirmed(self, key: str) -> bool:
        """Whether an unanswered creation of a key may still be applied and restore a deleted key.

        That is possible only until the term ends, because each transaction is conditional on the
        term's token.
        """
        return key in self._unconfirmed_creations

    async def write(self, changes: dict[str, Any], *, urgent: bool = False) -> int:
        """Commit changes in one transaction; return the revision.

        Raises LeadershipLostError if this node no longer leads, and TransactionRejectedError if
        the store can never accept the changes.
        """
        if self._closed:
            raise LeadershipLostError(self._token)
        if len(changes) > self._state.max_writes:
            raise ValueError(
                f"{len(changes)} changes in one transaction, allowed: {self._state.max_writes}"
            )
        write = _QueuedWrite(changes, asyncio.get_running_loop().create_future())
        (self._urgent if urgent else self._queue).append(write)
        self._wake.set()
        return await write.future

    async def write_latest(
        self, key: str, build: Callable[[], Any], *, urgent: bool = False
    ) -> int:
        """Commit the newest value of a key, built when the write's turn comes.

        Calls for the same key before that share the write, so that a record that changes often
        costs one write a turn, however often it has changed.
        """
        if self._closed:
            raise LeadershipLostError(self._token)
        write = self._latest.get(key)
        if write is None:
            write = _QueuedWrite(
                {key: build}, asyncio.get_running_loop().create_future(), latest=True
            )
            self._latest[key] = write
            (self._urgent if urgent else self._queue).append(write)
            self._wake.set()
        elif urgent:
            self.prioritize(key)
        return await asyncio.shield(write.future)

    def prioritize(self, key: str) -> None:
        """Move a queued write of a key's newest value to the urgent queue."""
        write = self._latest.get(key)
        if write is not None and write in self._queue:
            self._queue.remove(write)
            self._urgent.append(write)

    def _take_batch(self) -> list[tuple[_QueuedWrite, dict[str, Any]]]:
        """Take queued writes, with their values, for one transaction.

        Urgent writes come first, and no key is written twice.
        """
        batch: list[tuple[_QueuedWrite, dict[str, Any]]] = []
        keys: set[str] = set()
        batch_bytes = 0
        for queue in (self._urgent, self._queue):
            while queue:
                write = queue[0]
                if len(keys) + len(write.changes) > self._state.max_writes:
                    return batch
                if not keys.isdisjoint(write.changes):
                    return batch
                values = write.values()
                added_bytes = len(msgspec.json.encode(values))
                if batch and batch_bytes + added_bytes > MAX_TRANSACTION_VALUE_BYTES:
                    return batch
                keys |= write.changes.keys()
                batch_bytes += added_bytes
                batch.append((queue.popleft(), values))
                if write.latest:
                    del self._latest[next(iter(write.changes))]
        return batch

    async def run(self) -> None:
        """Commit queued writes until closed or leadership is lost; a task of the leader's term."""
        while not self._closed:
            batch = self._take_batch()
            if not batch:
                self._wake.clear()
                await self._wake.wait()
                continue
            try:
                await self._commit_batch(batch)
            except BaseException as error:
                cause = error if isinstance(error, Exception) else LeadershipLostError(self._token)
                for write, _ in batch:
                    self._fail(write, cause)
                raise

    def _mark_unanswered(self, keys: Iterable[str]) -> None:
        """Record that other nodes may read the values that a transaction writes to these keys."""
        if not self.unanswered_keys:
            self.unanswered_since_us = now_us()
        self.unanswered_keys = frozenset(keys)

    @staticmethod
    def _fail(write: _QueuedWrite, cause: Exception) -> None:
        if not write.future.done():
            write.future.set_exception(cause)
            # The caller may no longer wait. Reading the exception keeps asyncio from logging a
            # failure that is logged already.
            write.future.exception()

    async def _commit_batch(self, batch: list[tuple[_QueuedWrite, dict[str, Any]]]) -> None:
        """Commit writes together, or each by itself if the store rejects them together.

        A write that the store can never accept fails alone. When such writes were retried unchanged
        like other failures, one value over the size limit blocked the whole queue permanently.
        """
        try:
            revision = await self._commit({k: v for _, values in batch for k, v in values.items()})
        except TransactionRejectedError as error:
            self.unanswered_keys = frozenset()
            if len(batch) > 1:
                for entry in batch:
                    await self._commit_batch([entry])
                return
            write, values = batch[0]
            log.exception("state write rejected permanently: keys %s", ", ".join(values))
            self._fail(write, error)
            return
        for write, _ in batch:
            if not write.future.done():
                write.future.set_result(revision)
        # The keys count as unanswered until the waiting callers have processed the result.
        await asyncio.sleep(0)
        self.unanswered_keys = frozenset()

    async def _commit(self, changes: dict[str, Any]) -> int:
        pause_s, unanswered = 0.05, False
        while True:
            conditions = [Condition(LEADER_KEY, self._token)]
            conditions += [Condition(key, self.version(key)) for key in changes]
            writes: list[PutKey | DeleteKey] = [
                DeleteKey(key) if value is None else PutKey(key, value)
                for key, value in changes.items()
            ]
            sent_us = now_us()
            self._mark_unanswered(changes)
            try:
                revision = await self._state.transact(conditions, writes)
                self.leadership_verified_us = max(self.leadership_verified_us, sent_us)
                for key, value in changes.items():
                    if value is None:
                        self._versions.pop(key, None)
                    else:
                        self._versions[key] = revision
                return revision
            except ConflictError as conflict:
                log.info("conditions of a state write do not hold: %s", conflict)
                if await self._refresh_versions(changes):
                    return max(self.version(key) for key in changes)
            except RequestRefusedError as refused:
                log.debug("state write refused: %s", refused)
                if not unanswered:
                    self.unanswered_keys = frozenset()
            except TransactionRejectedError:
                raise
            except CallError as failure:
                log.info("state write not answered: %s", failure)
                self._unconfirmed_creations.update(
                    key for key, value in changes.items()
                    if value is not None and not self.version(key)
                )  # fmt: skip
                unanswered = True
            await asyncio.sleep(pause_s)
            pause_s = min(0.5, pause_s * 1.5)

    async def _refresh_versions(self, changes: dict[str, Any]) -> bool:
        """Read the current versions; return whether the changes are already applied."""
        while True:
            try:
                leader = await self._state.get(LEADER_KEY, urgent=True)
                if leader is None or leader.version != self._token:
                    raise self._leadership_lost(leader)
                applied = True
                for key, value in changes.items():
                    entry = await self._state.get(key, urgent=True)
                    if entry is None:
                        self._versions.pop(key, None)
                        applied = applied and value is None
                    else:
                        self._versions[key] = entry.version
                        written = msgspec.json.decode(msgspec.json.encode(value))
                        stored = msgspec.json.decode(entry.value)
                        applied = applied and value is not None and written == stored
                return applied
            except CallError as failure:
                log.info("reading versions from the state service failed: %s", failure)
                await asyncio.sleep(0.2)

    def close(self) -> None:
        """Fail all queued writes."""
        self._closed = True
        for write in (*self._urgent, *self._queue):
            if not write.future.done():
                write.future.set_exception(LeadershipLostError(self._token))
                write.future.exception()
        self._urgent.clear()
        self._queue.clear()
        self._latest.clear()
        self._wake.set()
