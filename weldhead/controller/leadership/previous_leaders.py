"""Determines until when leaders before the current one may still command workers.

A leader's record that replaced another record states for how long the replaced leader may
continue. The record may itself be replaced before any node reads the key. This module therefore
follows all changes of the key and takes every record into account.
"""

import asyncio
import logging

from weldhead.clock import MILLISECOND_US, latest_lease_end_us, now_us, to_seconds
from weldhead.cluster_state.records import (
    LEADER_KEY,
    UNSETTLED_KEY,
    LeaderRecord,
    UnsettledRecord,
)
from weldhead.protocol.peer import Pong
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    CAMPAIGN_TIMEOUT_US,
    RevisionCompactedError,
    StateClient,
    decode,
)

log = logging.getLogger(__name__)

#: How long a new leader may take to read which leaders its own record replaced.
CATCH_UP_US = 300 * MILLISECOND_US
#: How old a peer's statement that it is in no term may be to show that the peer is not a replaced
#: leader. Without a key, no record shows which leader was replaced last. Within this time, however,
#: a node cannot win a term and be replaced and the key of its successor be deleted. A key is
#: deleted only with its lease, or after a promise, which a leader requests only when its lease was
#: not renewed.
MAX_STATEMENT_AGE_US = 500 * MILLISECOND_US


class PreviousLeaders:
    """What one controller knows of the leaders before the current one.

    Every leader's record carries a nonce, a text by which a process recognizes the records that it
    wrote itself. ``nonce_prefix`` is the prefix of all nonces of this process: a record with this
    node's name and another prefix was written by a previous process of the node. ``ttl_us`` bounds
    how long a leader may trust its lease after it was replaced.
    """

    def __init__(self, name: str, nonce_prefix: str, peer_count: int, ttl_us: int) -> None:
        self._name, self._nonce_prefix, self._peer_count, self._ttl_us = (
            name,
            nonce_prefix,
            peer_count,
            ttl_us,
        )
        #: When all leaders before the known one have surely stopped commanding; 0 if they have.
        self.expired_us = 0
        #: The peers that have stated, since the key was read, that they are in no term.
        self._ended_peers: set[str] = set()
        #: The peers whose last answer to this process stated that they are in no term, and when
        #: the answered ping was sent.
        self._no_term_stated_us: dict[str, int] = {}
        #: The newest version of the leader's key that was read, and when a leader's record was last
        #: taken into account.
        self.read_token = self._read_us = 0
        #: Whether a previous process of this node wrote that version.
        self._written_by_earlier_process = False
        #: The revision of the state service up to which all leaders' records were taken into
        #: account; None until the leader's key was read.
        self._followed_revision: int | None = None

    def open(self, state: StateClient) -> None:
        """Set the client of the state service; has to be called before ``follow``."""
        self._state = state

    def record(self, record: LeaderRecord, version: int) -> None:
        """Take a record of the leader's key into account."""
        if version == self.read_token:
            return
        by_earlier_process = False
        if version > self.read_token:
            self.read_token = version
            is_own = record.name == self._name
            by_earlier_process = is_own and not record.nonce.startswith(self._nonce_prefix)
            # A record of a previous process was written before any peer answered this process.
            self._written_by_earlier_process = by_earlier_process
        self._read_us = now_us()
        self._ended_peers = set(self._no_term_stated_us) if by_earlier_process else set()
        if record.earlier_us and len(self._ended_peers) < self._peer_count:
            self.expired_us = max(
                self.expired_us, latest_lease_end_us(self._read_us, record.earlier_us)
            )

    def observe_pong(self, name: str, pong: Pong, sent_us: int) -> bool:
        """Process a peer's statement whether it is in a term.

        Returns whether the last statement of every peer was that it is in no term.
        """
        if pong.leads:
            self._no_term_stated_us.pop(name, None)
            self._ended_peers.discard(name)
            return False
        self._no_term_stated_us[name] = sent_us
        if sent_us >= self._read_us or self._written_by_earlier_process:
            self._ended_peers.add(name)
        if len(self._ended_peers) == self._peer_count:
            # Every term that began before the record was written has ended since.
            self.expired_us = 0
        return len(self._no_term_stated_us) == self._peer_count

    async def follow(self, wait_us: int) -> bool:
        """Take all records since the last call into account; return whether the key changed."""
        since = (
            self._followed_revision
            if self._followed_revision is not None
            else await self._read_key()
        )
        try:
            changes = await self._state.watch(LEADER_KEY, since, wait_us)
        except RevisionCompactedError:
            self._followed_revision = None
            raise
        # A concurrent call may have taken some of these records into account already.
        known_revision = max(since, self._followed_revision or 0)
        changed = False
        for event in changes.events:
            changed = changed or LEADER_KEY in (event.put, event.delete)
            if event.put == LEADER_KEY and event.version > known_revision:
                self.record(decode(bytes(event.value), LeaderRecord), event.version)
        self._followed_revision = max(known_revision, changes.revision)
        return changed

    async def _read_key(self) -> int:
        """Read the key; return the revision from which its changes can be followed."""
        key_exists, revision = False, 0
        async for entries, revision in self._state.pages(LEADER_KEY):  # noqa: B007
            key_exists = key_exists or any(entry.key == LEADER_KEY for entry in entries)
        oldest_valid_us = now_us() - MAX_STATEMENT_AGE_US
        if (
            not key_exists
            and sum(at_us >= oldest_valid_us for at_us in self._no_term_stated_us.values())
            < self._peer_count
        ):
            # No record states which leader the last record replaced, or when it was deleted.
            self._assume_recent_leader()
        return revision

    def _assume_recent_leader(self) -> None:
        """Assume that a previous leader was replaced just now.

        A leader that was replaced earlier stops no later than that one.
        """
        if self._peer_count:
            self.expired_us = max(self.expired_us, latest_lease_end_us(now_us(), self._ttl_us))

    async def catch_up(self) -> None:
        """Take the records before this node's own record into account.

        If they cannot be read in time, a previous leader is assumed to be active.
        """
        if not self._peer_count:
            return
        try:
            async with asyncio.timeout(to_seconds(CATCH_UP_US)):
                await self.follow(0)
        except (CallError, RevisionCompactedError, TimeoutError) as error:
            log.info("records of previous leaders not read, assuming an active one: %r", error)
            self._assume_recent_leader()


async def read_unsettled_from_us(state: StateClient) -> int | None:
    """Return the time of day since which earlier terms may have missed cancellations.

    Returns None if the last term has settled all of them; see
    ``weldhead/reconciliation/answer_window.py``.
    """
    entry = await state.get(UNSETTLED_KEY, urgent=True, timeout_us=CAMPAIGN_TIMEOUT_US)
    if entry is None:
        return None
    try:
        return decode(bytes(entry.value), UnsettledRecord).from_us
    except CallError:
        # The record is unreadable, so cancellations of any age may have been missed. This is no
        # reason not to lead, because a cluster without a leader is worse.
        return 0
