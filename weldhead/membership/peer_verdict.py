"""Decides whether a controller is dead, or the network or this node has failed; performs no I/O.

A refused connection does not prove that a process has ended: a packet filter refuses connections
as well, and so does a process that has run out of sockets. A refusal therefore only makes a peer
suspected. A suspected peer is judged dead only if no other controller that can be probed still
has a connection to it, and only if this node has no reason to suspect its own network. A peer
that is silent without refusing connections is never judged dead; it is replaced when its lease
expires.

The indirect probe through other members and the suspected state come from SWIM (Das, Gupta,
Motivala, DSN 2002). The rule that a node which loses all peers at once suspects itself first
comes from Lifeguard (Dadgar, Phillips, Currey, 2017). Gossip and incarnation numbers are left
out, as a restored connection refutes a suspicion. Times are microseconds of this node's steady
clock.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US, SECOND_US, to_seconds

#: Two connections that ended within this time of each other count as lost together.
SIMULTANEOUS_LOSS_US = 1 * SECOND_US
#: A message refutes a suspicion for this long. A live peer pings every 0.4 s on its own
#: connection; an older message may be the last one of an ended process, read late.
MESSAGE_FRESHNESS_US = 1_500 * MILLISECOND_US
#: A node whose last failed call to the state service is more recent than this suspects its own
#: network. Refused connections are retried within this time.
SERVICE_FAILURE_WINDOW_US = 600 * MILLISECOND_US


class PeerState(enum.Enum):
    """This node's verdict on another controller."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "judged dead"


class IndirectProbeResult(enum.Enum):
    """The result of probing a controller on behalf of another one."""

    #: The probed controller has answered.
    HEARD = "heard"
    #: No answer came, but the connection is up, so the probed process is still running.
    CONNECTED = "connected"
    #: The probed controller's address refuses new connections.
    REFUSED = "refused"
    #: There is no connection, for an unknown reason or one other than a refusal.
    LOST = "lost"


@dataclass(frozen=True)
class PeerObservation:
    """What this node has itself observed of a peer; a time of 0 means never."""

    name: str
    #: Whether the connection to the peer is up.
    connected: bool
    #: Since when the peer has refused new connections.
    refused_us: int
    #: When the last connection to the peer ended.
    lost_us: int
    #: When the last message of the peer arrived, on a connection that either side opened.
    heard_us: int


@dataclass(frozen=True)
class PeerVerdict:
    """The state assigned to a peer, and the evidence for it as text for the log."""

    state: PeerState
    evidence: str


def judge_peer(
    suspect: PeerObservation,
    others: Sequence[PeerObservation],
    probe_results: Sequence[tuple[str, IndirectProbeResult]],
    at_us: int,
    service_failed_us: int = 0,
) -> PeerVerdict:
    """Judge a peer from this node's observations of all peers and the results of indirect probes.

    ``others`` are this node's observations of the other peers. ``probe_results`` pairs the name
    of each controller that probed the suspect with its result. ``service_failed_us`` is when the
    state service last failed a call of this node.
    """
    if suspect.connected:
        return PeerVerdict(PeerState.ALIVE, "connected")
    if suspect.heard_us > max(suspect.refused_us, suspect.lost_us, at_us - MESSAGE_FRESHNESS_US):
        return PeerVerdict(PeerState.ALIVE, "a message has arrived since")
    if not suspect.refused_us:
        return PeerVerdict(PeerState.SUSPECTED, "not connected, but connections are not refused")
    refused_s = to_seconds(at_us - suspect.refused_us)
    refusal = f"connections refused for {refused_s:.2f} s"
    reachable_from = [
        name
        for name, result in probe_results
        if result in (IndirectProbeResult.HEARD, IndirectProbeResult.CONNECTED)
    ]
    if reachable_from:
        return PeerVerdict(
            PeerState.SUSPECTED, f"{refusal}, but still reachable from {', '.join(reachable_from)}"
        )
    if not probe_results:
        lost_together = [other.name for other in others if _is_lost_with(other, suspect)]
        if lost_together and not any(other.connected for other in others):
            return PeerVerdict(
                PeerState.SUSPECTED,
                f"{refusal}, and the connections to {', '.join(lost_together)} were lost at the "
                "same time: this node's network may have failed",
            )
        if not suspect.lost_us:
            return PeerVerdict(
                PeerState.SUSPECTED, f"{refusal}, and never connected since this node started"
            )
        if service_failed_us and at_us - service_failed_us < SERVICE_FAILURE_WINDOW_US:
            return PeerVerdict(
                PeerState.SUSPECTED, f"{refusal}, but the state service fails this node as well"
            )
        return PeerVerdict(PeerState.DEAD, f"{refusal}, and no other controller can probe it")
    results = ", ".join(f"{name}: {result.value}" for name, result in probe_results)
    return PeerVerdict(PeerState.DEAD, f"{refusal}; probe results: {results}")


def _is_lost_with(other: PeerObservation, suspect: PeerObservation) -> bool:
    """Return whether the connections to both peers were lost at the same time."""
    if other.connected or not other.lost_us:
        return False
    return abs(other.lost_us - suspect.lost_us) <= SIMULTANEOUS_LOSS_US


class MembershipView:
    """The current verdict on each peer; a peer without a verdict counts as alive."""

    def __init__(self) -> None:
        self._states: dict[str, PeerState] = {}

    def state(self, name: str) -> PeerState:
        """Return the state assigned to a peer."""
        return self._states.get(name, PeerState.ALIVE)

    def update(self, name: str, verdict: PeerVerdict) -> bool:
        """Record a verdict; return whether it changes the peer's state."""
        if self.state(name) is verdict.state:
            return False
        self._states[name] = verdict.state
        return True
