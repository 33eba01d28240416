"""The rules of leadership: a key of the state service under a lease; its revision is the token.

These rules ensure that at most one node commands at a time:

* The key can be created only while it does not exist, and is deleted with its lease.
* The holder counts its lease from when it *sent* the last renewal that was answered, shortens
  it by the drift of clocks, and sends no command after that. A lease can still be renewed after
  another node has replaced the key. The lease is therefore never counted from later than the
  last request whose answer showed that the key was still the holder's own.
* Every write of a leader is conditional on the key's version.
* A successor may replace the key of a leader whose process looks dead without waiting for the
  lease to expire. It then treats the replaced leader as active until that leader's full lease
  would have expired; see ``predecessor_expired_us``.
* While the state service rejects the leader, every other node can promise not to become leader
  for a short time. With the promises of *all* other nodes the leader may go on, because no node
  can take over meanwhile. The promises have to arrive while the leader may still command: in a
  gap between its lease and the promises another node may have led. A node keeps its promise by
  not campaigning. A node that has just started does not campaign for as long as a promise of its
  previous process may last, unless every other node has told it since that it is in no term.
* A promise shows that the process which gave it has not replaced the leader, as that process
  compares tokens. A previous process on the same node may have replaced the leader, and its
  memory is lost. A promise therefore counts only from a process that has been running since the
  leader's key was last seen, or since a time at which an earlier promise bound its node; see
  ``LeaderLease.unreplaced_until_us``.
"""

import logging
from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US, SECOND_US, earliest_lease_end_us, latest_lease_end_us

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class LeaseTiming:
    """The durations that leadership depends on; see ``default_timing``."""

    #: How long a lease lasts after a renewal.
    ttl_us: int
    #: The time between two renewals.
    renewal_interval_us: int
    #: How long a promise not to become leader lasts.
    promise_duration_us: int


class LeaderLease:
    """Decides until when this node may command; performs no I/O.

    Times are microseconds of this node's steady clock.
    """

    def __init__(self, timing: LeaseTiming, peers: frozenset[str]) -> None:
        self._timing = timing
        self._peers = peers
        #: The fencing token of the current term, and the id of its lease; 0: no term.
        self.token = 0
        self.lease_id = 0
        #: When the last answered renewal was sent, and when the last request was sent whose answer
        #: showed that the key was this node's own.
        self._renewed_us = self._key_confirmed_us = 0
        self._lease_valid_until_us = 0
        #: By peer: until when its promise binds it, and when that promise was requested.
        self._promised_until_us: dict[str, int] = {}
        self._promise_requested_us: dict[str, int] = {}

    def begin(self, token: int, lease_id: int, sent_us: int) -> None:
        """Start a term whose lease was requested at ``sent_us``."""
        self.token = token
        self.lease_id = lease_id
        self._renewed_us = self._key_confirmed_us = sent_us
        self._recompute()
        self._promised_until_us.clear()
        self._promise_requested_us.clear()

    def confirm_renewal(self, sent_us: int) -> None:
        """Record that a renewal sent at ``sent_us`` was answered."""
        self._renewed_us = max(self._renewed_us, sent_us)
        self._recompute()

    def confirm_key(self, sent_us: int) -> None:
        """Record that a request sent at ``sent_us`` has shown the key to be this node's own.

        A renewal does not show that. A replaced leader that could not read the key used to renew
        its lease for longer than its successor treated it as active.
        """
        self._key_confirmed_us = max(self._key_confirmed_us, sent_us)
        self._recompute()

    def _recompute(self) -> None:
        lease_start_us = min(self._renewed_us, self._key_confirmed_us)
        self._lease_valid_until_us = earliest_lease_end_us(lease_start_us, self._timing.ttl_us)

    def record_promise(self, peer: str, sent_us: int, at_us: int) -> None:
        """Record a peer's promise that was requested at ``sent_us`` and arrived at ``at_us``.

        The promise is ignored if this node may no longer command without it. Once its lease has
        lapsed, another node may have led and ended before all the promises were given. Peers that
        have restarted don't know of such a term, and neither does this node.
        """
        if not self.is_valid(at_us):
            return
        promised_until_us = earliest_lease_end_us(sent_us, self._timing.promise_duration_us)
        self._promised_until_us[peer] = max(self._promised_until_us.get(peer, 0), promised_until_us)
        self._promise_requested_us[peer] = max(self._promise_requested_us.get(peer, 0), sent_us)

    def unreplaced_until_us(self, peer: str) -> int:
        """Return until when no process of this peer can have replaced this node as leader.

        No node had replaced this one when the key was last seen, and a peer that has promised
        replaces no leader while its promise lasts. A process of the peer that started later may
        follow one that did replace this node, without knowing it.
        """
        return max(self._key_confirmed_us, self._promised_until_us.get(peer, 0))

    def end(self) -> None:
        """End the term, so that this node may no longer command."""
        self.token = 0
        self.lease_id = 0
        self._lease_valid_until_us = 0
        self._promised_until_us.clear()
        self._promise_requested_us.clear()

    def valid_until_us(self) -> int:
        """Return until when this node may command."""
        if not self.token:
            return 0
        all_promised_until_us = 0
        if self._peers and all(peer in self._promised_until_us for peer in self._peers):
            all_promised_until_us = min(self._promised_until_us[peer] for peer in self._peers)
        return max(self._lease_valid_until_us, all_promised_until_us)

    @property
    def sole_leader_confirmed_us(self) -> int:
        """The latest time at which no other node led, as shown by promises of all peers; or 0."""
        if not self._peers or len(self._promise_requested_us) < len(self._peers):
            return 0
        return min(self._promise_requested_us.values())

    @property
    def lease_valid_until_us(self) -> int:
        """Until when the lease alone, without promises, allows this node to command."""
        return self._lease_valid_until_us

    def is_valid(self, at_us: int) -> bool:
        """Return whether this node may command at ``at_us``."""
        # This runs for each message, so the promises are examined only if the lease has expired.
        return bool(self.token) and (
            at_us < self._lease_valid_until_us or at_us < self.valid_until_us()
        )


class Candidacy:
    """Decides when this node may campaign, from the promises it has given; performs no I/O."""

    def __init__(self, timing: LeaseTiming, started_us: int) -> None:
        self._timing = timing
        self._promise_until_us = 0
        #: Until when a leader may rely on a promise that a previous process of this node gave.
        self._earlier_promises_until_us = latest_lease_end_us(
            started_us, timing.promise_duration_us
        )

    def discard_earlier_promises(self) -> None:
        """Release this node from the promises of its previous process.

        The caller ensures that every other node has told this process that it is in no term. The
        term of the leader that requested such a promise is over, and a leader of a later term
        requests new promises.
        """
        self._earlier_promises_until_us = 0

    def promise_not_to_lead(self, at_us: int) -> None:
        """Record a promise, given at ``at_us``, not to become leader for the agreed duration."""
        promise_until_us = latest_lease_end_us(at_us, self._timing.promise_duration_us)
        self._promise_until_us = max(self._promise_until_us, promise_until_us)

    def can_lead(self, at_us: int) -> bool:
        """Return whether no promise keeps this node from becoming leader at ``at_us``."""
        return self.remaining_promise_us(at_us) == 0

    def remaining_promise_us(self, at_us: int) -> int:
        """Return how long the promises that this node has given still bind it."""
        return max(0, max(self._promise_until_us, self._earlier_promises_until_us) - at_us)


def predecessor_expired_us(replaced_us: int, remaining_lease_us: int) -> int:
    """Return when the previous leader has surely stopped commanding.

    ``remaining_lease_us`` is how long that leader may have trusted its lease after its key was
    replaced at ``replaced_us``. It is 0 if that leader has surely stopped, for example because its
    lease expired by itself: the holder stops before that. Any other replaced leader may have
    renewed its lease just before, without knowing that it was replaced.
    """
    return (
        latest_lease_end_us(replaced_us, remaining_lease_us) if remaining_lease_us else replaced_us
    )


def campaign_delay_us(unreachable_peers: int) -> int:
    """Return how long a node delays its campaign, by the number of peers that it cannot reach.

    Nodes that reach more peers campaign first. A successor that a network partition separates
    from some controllers is also separated from the workers of their zone, whose leases then
    expire, while a node that reaches every peer can campaign within a few milliseconds.
    """
    return min(unreachable_peers, 4) * 100 * MILLISECOND_US


def default_timing(ttl_us: int = 3 * SECOND_US) -> LeaseTiming:
    """Derive the durations of leadership from the length of the lease."""
    return LeaseTiming(
        ttl_us=ttl_us, renewal_interval_us=ttl_us // 4, promise_duration_us=ttl_us // 2
    )
