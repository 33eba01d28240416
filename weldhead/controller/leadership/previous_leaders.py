"""The leaders before: every record of the leader's key, and until when their writers count.

A record that replaced another says for how long the one before it may go on. It may be gone
before anybody reads the key, so the key's changes are followed, and nothing between two of
them is left out.
"""

import asyncio
import logging

from weldhead.clock import MILLISECOND_US, now_us, surely_over_us, to_seconds
from weldhead.cluster_state.records import (
    LEADER_KEY,
    UNSETTLED_KEY,
    LeaderRecord,
    UnsettledRecord,
)
from weldhead.protocol.peer import Pong
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import STAND_US, RevisionCompactedError, StateClient, decode

log = logging.getLogger(__name__)

#: How long a new leader waits to learn whom its own record comes after.
CATCH_UP_US = 300 * MILLISECOND_US
#: Who was in no term so long ago cannot have won one, been replaced, and its successor's key be
#: gone: the key goes with a lease, or after a promise that is asked for when one is not renewed.
JUST_ASKED_US = 500 * MILLISECOND_US


class PreviousLeaders:
    """What one controller knows of the leaders before the one that leads.

    ``life`` is how all nonces of this process begin; ``ttl_us`` bounds how long a leader may
    believe in its lease after it was replaced.
    """

    def __init__(self, name: str, life: str, peers: int, ttl_us: int) -> None:
        self._name, self._nonce_prefix, self._peers, self._ttl_us = name, life, peers, ttl_us
        #: Until then a leader before the one that is known may command.
        self.expired_us = 0
        #: Peers that have said since the key was read that they are in no term.
        self._ended: set[str] = set()
        #: Peers that have said, in this process's life, that they are in no term: when asked.
        self._in_no_term: dict[str, int] = {}
        #: The newest version at which the key was read, and when it was first read.
        self.read_token = self._read_us = 0
        #: Whether a former life of this node wrote that.
        self._written_by_earlier_process = False
        #: Every record up to this revision was taken into account, or the key was read at it;
        #: None: not yet.
        self._followed: int | None = None

    def open(self, state: StateClient) -> None:
        """Use this from now on."""
        self._state = state

    def record(self, record: LeaderRecord, version: int) -> None:
        """Take a record into account."""
        if version == self.read_token:
            return
        former = False
        if version > self.read_token:
            self.read_token = version
            mine = record.name == self._name
            former = mine and not record.nonce.startswith(self._nonce_prefix)
            # What a former life wrote was there before anybody answered this one.
            self._written_by_earlier_process = former
        self._read_us = now_us()
        self._ended = set(self._in_no_term) if former else set()
        if record.earlier_us and len(self._ended) < self._peers:
            self.expired_us = max(self.expired_us, surely_over_us(self._read_us, record.earlier_us))

    def observe_pong(self, name: str, pong: Pong, sent_us: int) -> bool:
        """A peer has said whether it is in a term; whether all have said they are in none."""
        if pong.leads:
            self._in_no_term.pop(name, None)
            self._ended.discard(name)
            return False
        self._in_no_term[name] = sent_us
        if sent_us >= self._read_us or self._written_by_earlier_process:
            self._ended.add(name)
        if len(self._ended) == self._peers:
            # Whoever led before that record was written has ended since.
            self.expired_us = 0
        return len(self._in_no_term) == self._peers

    async def follow(self, wait_us: int) -> bool:
        """Take the records since the last time into account; whether the key has changed."""
        since = self._followed if self._followed is not None else await self._read_key()
        try:
            changes = await self._state.watch(LEADER_KEY, since, wait_us)
        except RevisionCompactedError:
            self._followed = None
            raise
        # Somebody else may have asked meanwhile, and have taken some of it into account.
        known = max(since, self._followed or 0)
        changed = False
        for event in changes.events:
            changed = changed or LEADER_KEY in (event.put, event.delete)
            if event.put == LEADER_KEY and event.version > known:
                self.record(decode(bytes(event.value), LeaderRecord), event.version)
        self._followed = max(known, changes.revision)
        return changed

    async def _read_key(self) -> int:
        """Read the key; return the revision from which it can be followed."""
        found, revision = False, 0
        async for entries, revision in self._state.pages(LEADER_KEY):  # noqa: B007
            found = found or any(entry.key == LEADER_KEY for entry in entries)
        asked_us = now_us() - JUST_ASKED_US
        if (
            not found
            and sum(at_us >= asked_us for at_us in self._in_no_term.values()) < self._peers
        ):
            # Nothing says whom the last record had replaced, and when it went.
            self._assume_recent_leader()
        return revision

    def _assume_recent_leader(self) -> None:
        """Whoever was replaced of late is over as soon as a leader replaced just now."""
        if self._peers:
            self.expired_us = max(self.expired_us, surely_over_us(now_us(), self._ttl_us))

    async def catch_up(self) -> None:
        """Learn whom this node's own record comes after; unknown, somebody counts as active."""
        if not self._peers:
            return
        try:
            async with asyncio.timeout(to_seconds(CATCH_UP_US)):
                await self.follow(0)
        except (CallError, RevisionCompactedError, TimeoutError) as error:
            log.info("previous leaders unknown: %r", error)
            self._assume_recent_leader()


async def missed_from_us(state: StateClient) -> int | None:
    """Return since when an unsettled row of terms may have missed cancellations (time of day).

    None: the last term was settled (``reconciliation/answer_window.py``).
    """
    entry = await state.get(UNSETTLED_KEY, urgent=True, timeout_us=STAND_US)
    if entry is None:
        return None
    try:
        return decode(bytes(entry.value), UnsettledRecord).from_us
    except CallError:
        # Not ours: anything may have been missed, and to lead is better than not to.
        return 0
