"""Leadership: a key of the state service under a lease; its revision is the token.

What makes it safe:

* The key can be created only while it does not exist, and goes with its lease.
* The holder counts its lease from *sending* the last renewal that was answered, shortens
  it by the drift of clocks, and commands nothing after that. As a lease can be renewed when
  its key is another's already, it counts no longer from the last request whose answer showed
  the key to be its own.
* Every write of a leader is conditional on the key's version.
* A successor that did not wait for the lease to run out (the holder's process looked
  dead, so its key was replaced) counts the holder as active until its full lease would
  have run out; see ``predecessor_over_us``.
* While the state service refuses this node, every other node can promise not to become
  leader for a moment. With the promises of *all* others the holder may go on: nobody can
  take over meanwhile. They have to come while it still may command: a gap between its lease
  and its promises is one in which another may have led. A node keeps its promise by not
  campaigning, and a node that has just started does not campaign for as long as a promise
  of its former life may last, unless every other node has told it since that it is in no
  term.
* A promise shows that its giver's process has not replaced the asker: it compares tokens. A
  former process of the giver may have, and its memory is gone. So a promise counts only from
  a process that has run since the asker's key was last seen, or since a time at which an
  earlier promise bound the giver; see ``LeaderLease.unreplaced_until_us``.
"""

import logging
from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US, SECOND_US, surely_over_us, surely_valid_us

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class LeaseTiming:
    """The leadership's times."""

    ttl_us: int
    renew_us: int
    promise_us: int


class LeaderLease:
    """What a holder may still believe. No I/O; times are the steady clock's."""

    def __init__(self, timing: LeaseTiming, peers: frozenset[str]) -> None:
        self._timing = timing
        self._peers = peers
        self.token = 0
        self.lease_id = 0
        #: When the last answered renewal was sent, and the last request that showed the key.
        self._renewed_us = self._key_confirmed_us = 0
        self._lease_valid_until_us = 0
        self._promised_until_us: dict[str, int] = {}
        self._promised_us: dict[str, int] = {}

    def begin(self, token: int, lease: int, sent_us: int) -> None:
        """Start a term whose lease was asked for at ``sent_us``."""
        self.token = token
        self.lease_id = lease
        self._renewed_us = self._key_confirmed_us = sent_us
        self._recompute()
        self._promised_until_us.clear()
        self._promised_us.clear()

    def confirm_renewal(self, sent_us: int) -> None:
        """Record an answered renewal."""
        self._renewed_us = max(self._renewed_us, sent_us)
        self._recompute()

    def confirm_key(self, sent_us: int) -> None:
        """Record that the key was ours when a request was carried out that was sent then.

        Renewals say nothing of that: who had been replaced, and read nothing, renewed its
        lease for longer than its successor counted it as active.
        """
        self._key_confirmed_us = max(self._key_confirmed_us, sent_us)
        self._recompute()

    def _recompute(self) -> None:
        from_us = min(self._renewed_us, self._key_confirmed_us)
        self._lease_valid_until_us = surely_valid_us(from_us, self._timing.ttl_us)

    def record_promise(self, peer: str, sent_us: int, at_us: int) -> None:
        """Record a peer's promise that was asked for at ``sent_us`` and has come now.

        It counts only while this node may command without it: once its authority had lapsed,
        another may have led, and have ended, before all promised. Others that were started
        anew know nothing of that, and what this node remembers is old.
        """
        if not self.valid(at_us):
            return
        until_us = surely_valid_us(sent_us, self._timing.promise_us)
        self._promised_until_us[peer] = max(self._promised_until_us.get(peer, 0), until_us)
        self._promised_us[peer] = max(self._promised_us.get(peer, 0), sent_us)

    def unreplaced_until_us(self, peer: str) -> int:
        """Return until when this peer has surely not replaced this node, whatever life it was in.

        Until the key was last seen nobody had, and who has promised does not while that lasts.
        A process of the peer that began later may follow one that has, and know nothing of it.
        """
        return max(self._key_confirmed_us, self._promised_until_us.get(peer, 0))

    def end(self) -> None:
        """Give everything up."""
        self.token = 0
        self.lease_id = 0
        self._lease_valid_until_us = 0
        self._promised_until_us.clear()
        self._promised_us.clear()

    def valid_until_us(self) -> int:
        """Return until when this node may command."""
        if not self.token:
            return 0
        promised_us = 0
        if self._peers and all(peer in self._promised_until_us for peer in self._peers):
            promised_us = min(self._promised_until_us[peer] for peer in self._peers)
        return max(self._lease_valid_until_us, promised_us)

    @property
    def sole_leader_us(self) -> int:
        """The latest moment at which, by the promises of all others, nobody else led; or 0."""
        if not self._peers or len(self._promised_us) < len(self._peers):
            return 0
        return min(self._promised_us.values())

    @property
    def lease_valid_until_us(self) -> int:
        """Until when the lease alone entitles to command."""
        return self._lease_valid_until_us

    def valid(self, at_us: int) -> bool:
        """Whether this node may command now."""
        # Asked for each message: the promises count only once the lease is over.
        return bool(self.token) and (
            at_us < self._lease_valid_until_us or at_us < self.valid_until_us()
        )


class Candidacy:
    """When a node may campaign. No I/O."""

    def __init__(self, timing: LeaseTiming, started_us: int) -> None:
        self._timing = timing
        self._promise_until_us = 0
        #: A promise given in a former life of this process may still be relied on.
        self._earlier_promises_until_us = surely_over_us(started_us, timing.promise_us)

    def discard_earlier_promises(self) -> None:
        """Every other node has said, in this life of ours, that it is in no term.

        So nobody relies on a promise of a former life: who asked for it is in that term no
        more, and whoever begins one asks anew.
        """
        self._earlier_promises_until_us = 0

    def promise(self, at_us: int) -> None:
        """Promise not to become leader for the agreed time from now."""
        until_us = surely_over_us(at_us, self._timing.promise_us)
        self._promise_until_us = max(self._promise_until_us, until_us)

    def may_lead(self, at_us: int) -> bool:
        """Whether no promise stands in the way."""
        return self.wait_us(at_us) == 0

    def wait_us(self, at_us: int) -> int:
        """Return how long the promise still lasts."""
        return max(0, max(self._promise_until_us, self._earlier_promises_until_us) - at_us)


def predecessor_over_us(taken_us: int, believes_us: int) -> int:
    """Return when an earlier leader has surely stopped commanding.

    A lease that ran out by itself ended after its holder stopped (``believes_us`` 0). One
    that was replaced may have been renewed just before, and its holder may not know.
    """
    return surely_over_us(taken_us, believes_us) if believes_us else taken_us


def handicap_us(unreached: int) -> int:
    """Return for how long a node lets others go first that reach more controllers.

    A successor that a zone cut keeps from some controllers is also kept from that zone's
    workers, whose leases then run out; one that reaches everybody is a few milliseconds
    away.
    """
    return min(unreached, 4) * 100 * MILLISECOND_US


def default_timing(ttl_us: int = 3 * SECOND_US) -> LeaseTiming:
    """Return the times that follow from the lease's length."""
    return LeaseTiming(ttl_us=ttl_us, renew_us=ttl_us // 4, promise_us=ttl_us // 2)
