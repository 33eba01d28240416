"""The leader's writes: batched transactions, each conditional on the leader's key.

One transaction is under way at a time, and each is also conditional on the last known
version of every key that it changes. So a transaction that was given up and is applied
late either comes before the next one, which then fails and learns the new versions, or
fails itself: a late one can never put an older value over a newer.

Versions never come back, but absence does: a key that was created by the repetition of an
unanswered transaction and deleted since is as absent as before, and the unanswered one may
bring it back. Whoever cannot bear that asks ``in_doubt`` before deleting a key.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from weldhead.clock import now_us
from weldhead.cluster_state.records import LEADER_KEY
from weldhead.protocol.wire import Condition, DeleteKey, KeyValue, PutKey
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    ConflictError,
    RequestRefusedError,
    StateClient,
    TransactionRejectedError,
)

log = logging.getLogger(__name__)


class LeadershipLostError(Exception):
    """Another leader has taken over, or this one's key is gone.

    ``seen_token`` is the version of the leader's key that was read; 0: it is gone; None: it was
    not read, as the term was over already.
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
        #: Whoever wants the only key's newest value shares this write.
        self.latest = latest

    def values(self) -> dict[str, Any]:
        """Return the changes, with values made now where they are made in turn."""
        return {key: made() if callable(made) else made for key, made in self.changes.items()}


class StateWriter:
    """A queue of changes; a value of None deletes a key, a callable makes the value in turn."""

    def __init__(self, state: StateClient, token: int) -> None:
        self._state = state
        self._token = token
        self._versions: dict[str, int] = {}
        self._urgent: deque[_QueuedWrite] = deque()
        self._queue: deque[_QueuedWrite] = deque()
        #: Writes of newest values whose turn has not come, by key.
        self._latest: dict[str, _QueuedWrite] = {}
        self._wake = asyncio.Event()
        self._closed = False
        #: Keys of which a creation was not answered: it may yet be applied, in this term.
        self._unconfirmed_creations: set[str] = set()
        #: The latest moment at which the leader's key was surely still ours: when a request
        #: was sent whose answer showed it (steady clock, 0: never).
        self.leadership_verified_us = 0
        #: Keys of the transaction under way, once it may have been carried out, and since when.
        self.unanswered_keys: frozenset[str] = frozenset()
        self.unanswered_since_us = 0

    async def verify_leadership(self) -> None:
        """Show that the leader's key is still ours; LeadershipLostError if it is not."""
        sent_us = now_us()
        leader = await self._state.get(LEADER_KEY, urgent=True)
        if leader is None or leader.version != self._token:
            raise self._leadership_lost(leader)
        self.leadership_verified_us = max(self.leadership_verified_us, sent_us)

    def _leadership_lost(self, leader: KeyValue | None) -> LeadershipLostError:
        return LeadershipLostError(self._token, 0 if leader is None else leader.version)

    def record_version(self, key: str, version: int) -> None:
        """Note a key's version, read from the store or its watch."""
        if version > self._versions.get(key, 0):
            self._versions[key] = version

    def forget_version(self, key: str) -> None:
        """A key was committed and is never written again: its version is not needed.

        Kept for the whole term, the versions of ended jobs' records grew with every job.
        """
        self._versions.pop(key, None)
        self._unconfirmed_creations.discard(key)

    def version(self, key: str) -> int:
        """Return a key's last known version; 0: it does not exist."""
        return self._versions.get(key, 0)

    def creation_unconfirmed(self, key: str) -> bool:
        """Whether a creation of the key may still be under way: deleted, it could come back.

        With the term that ends: whatever a transaction does is conditional on its token.
        """
        return key in self._unconfirmed_creations

    async def write(self, changes: dict[str, Any], *, urgent: bool = False) -> int:
        """Commit changes that belong together; return the revision.

        LeadershipLostError if we are, TransactionRejectedError if the store will never take them.
        """
        if self._closed:
            raise LeadershipLostError(self._token)
        if len(changes) > self._state.max_writes:
            raise ValueError(f"{len(changes)} changes in one transaction")
        write = _QueuedWrite(changes, asyncio.get_running_loop().create_future())
        (self._urgent if urgent else self._queue).append(write)
        self._wake.set()
        return await write.future

    async def write_latest(
        self, key: str, build: Callable[[], Any], *, urgent: bool = False
    ) -> int:
        """Commit the newest value of a key, made when the write's turn comes.

        Whoever asks before that shares the write: a record that changes often costs one
        change a turn, however many changes it has seen.
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
        """Let a newest value's write that waits for its turn overtake the others."""
        write = self._latest.get(key)
        if write is not None and write in self._queue:
            self._queue.remove(write)
            self._urgent.append(write)

    def _batch(self) -> list[tuple[_QueuedWrite, dict[str, Any]]]:
        """Take writes from the queue, with their values: urgent ones first, no key twice."""
        batch: list[tuple[_QueuedWrite, dict[str, Any]]] = []
        keys: set[str] = set()
        size = 0
        for queue in (self._urgent, self._queue):
            while queue:
                write = queue[0]
                if len(keys) + len(write.changes) > self._state.max_writes:
                    return batch
                if not keys.isdisjoint(write.changes):
                    return batch
                values = write.values()
                added = len(msgspec.json.encode(values))
                if batch and size + added > 48 * 1024:
                    return batch
                keys |= write.changes.keys()
                size += added
                batch.append((queue.popleft(), values))
                if write.latest:
                    del self._latest[next(iter(write.changes))]
        return batch

    async def run(self) -> None:
        """Write until closed or deposed; a background task of the leader's term."""
        while not self._closed:
            batch = self._batch()
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
        """Others may read from now on what a transaction writes to these keys."""
        if not self.unanswered_keys:
            self.unanswered_since_us = now_us()
        self.unanswered_keys = frozenset(keys)

    @staticmethod
    def _fail(write: _QueuedWrite, cause: Exception) -> None:
        if not write.future.done():
            write.future.set_exception(cause)
            # Whoever asked may be gone; that it failed has been logged.
            write.future.exception()

    async def _commit_batch(self, batch: list[tuple[_QueuedWrite, dict[str, Any]]]) -> None:
        """Commit writes together; if the store takes them not, each by itself.

        A write that it will never take fails alone. Retried unchanged, as any other failure
        is, one value over the limit stopped the whole queue for good.
        """
        try:
            revision = await self._commit({k: v for _, values in batch for k, v in values.items()})
        except TransactionRejectedError as error:
            self.unanswered_keys = frozenset()
            if len(batch) > 1:
                for one in batch:
                    await self._commit_batch([one])
                return
            write, values = batch[0]
            log.exception("write rejected for good: %s", ", ".join(values))
            self._fail(write, error)
            return
        for write, _ in batch:
            if not write.future.done():
                write.future.set_result(revision)
        # It counts as in doubt until whoever waited has taken it up.
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
                log.info("write conflict: %s", conflict)
                if await self._refresh(changes):
                    return max(self.version(key) for key in changes)
            except RequestRefusedError as refused:
                log.debug("write refused: %s", refused)
                if not unanswered:
                    self.unanswered_keys = frozenset()
            except TransactionRejectedError:
                raise
            except CallError as failure:
                log.info("write unanswered: %s", failure)
                self._unconfirmed_creations.update(
                    key for key, value in changes.items()
                    if value is not None and not self.version(key)
                )  # fmt: skip
                unanswered = True
            await asyncio.sleep(pause_s)
            pause_s = min(0.5, pause_s * 1.5)

    async def _refresh(self, changes: dict[str, Any]) -> bool:
        """Learn the versions anew; true if the changes turn out to be there already."""
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
                        wanted = msgspec.json.decode(msgspec.json.encode(value))
                        stored = msgspec.json.decode(entry.value)
                        applied = applied and value is not None and wanted == stored
                return applied
            except CallError as failure:
                log.info("versions unknown: %s", failure)
                await asyncio.sleep(0.2)

    def close(self) -> None:
        """Fail everything that is still waiting."""
        self._closed = True
        for write in (*self._urgent, *self._queue):
            if not write.future.done():
                write.future.set_exception(LeadershipLostError(self._token))
                write.future.exception()
        self._urgent.clear()
        self._queue.clear()
        self._latest.clear()
        self._wake.set()
