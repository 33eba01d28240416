"""Is another controller dead, or is it the network, or this node? No I/O.

A refused connection does not show that a process is gone: a packet filter refuses as well, and
so does a process without free sockets. So a refusal is suspicion. It becomes a verdict only if
nobody who can be asked still holds a connection to the suspect, and only if this node has no
reason to doubt itself. What is only silent is never judged dead: its lease decides.

From SWIM (Das, Gupta, Motivala, DSN 2002) comes the question through third members and the
state between alive and dead; from Lifeguard (Dadgar, Phillips, Currey, 2017) that who loses
everybody at once doubts itself first. Left out: gossip, and incarnation numbers, as a connection
that is up again is a refutation. Times are microseconds of this node's steady clock.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US, SECOND_US, to_seconds

#: Links that were lost within this were lost at once.
AT_ONCE_US = 1 * SECOND_US
#: Who speaks on a connection of its own does so every 0.4 s: older words may be the last of a
#: former life, read late.
SPOKE_US = 1_500 * MILLISECOND_US
#: Whom the state service has failed within so long doubts itself. Refused connections are
#: tried again within that.
UNSERVED_US = 600 * MILLISECOND_US


class PeerState(enum.Enum):
    """What another controller is taken to be."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "judged dead"


class IndirectProbeResult(enum.Enum):
    """What a third controller sees of one, having asked it just now."""

    #: It has answered.
    HEARD = "heard"
    #: It has not, but the connection stands, so its process does.
    CONNECTED = "connected"
    #: New connections are refused.
    REFUSED = "refused"
    #: No connection comes about, for another reason or for none yet.
    LOST = "lost"


@dataclass(frozen=True)
class PeerObservation:
    """What this node has of another one; times are 0 for never."""

    name: str
    #: Its connection is up.
    connected: bool
    #: Since when new connections have been refused.
    refused_us: int
    #: When its connection ended last.
    lost_us: int
    #: When it last said anything, on a connection of either side.
    heard_us: int


@dataclass(frozen=True)
class PeerVerdict:
    """A state, and the evidence in words."""

    state: PeerState
    evidence: str


def judge_peer(
    suspect: PeerObservation,
    others: Sequence[PeerObservation],
    observations: Sequence[tuple[str, IndirectProbeResult]],
    at_us: int,
    unserved_us: int = 0,
) -> PeerVerdict:
    """Judge one controller by what this node has of all, and what the others see of it.

    ``unserved_us``: when the state service last failed this node.
    """
    if suspect.connected:
        return PeerVerdict(PeerState.ALIVE, "connected")
    if suspect.heard_us > max(suspect.refused_us, suspect.lost_us, at_us - SPOKE_US):
        return PeerVerdict(PeerState.ALIVE, "it has spoken since")
    if not suspect.refused_us:
        return PeerVerdict(PeerState.SUSPECTED, "no connection, and none is refused")
    since_s = to_seconds(at_us - suspect.refused_us)
    said = f"refused for {since_s:.2f} s"
    holding = [
        name
        for name, observation in observations
        if observation in (IndirectProbeResult.HEARD, IndirectProbeResult.CONNECTED)
    ]
    if holding:
        return PeerVerdict(PeerState.SUSPECTED, f"{said}, but {', '.join(holding)} still reach it")
    if not observations:
        lost = [o.name for o in others if _lost_with(o, suspect)]
        if lost and not any(o.connected for o in others):
            return PeerVerdict(
                PeerState.SUSPECTED, f"{said}, and {', '.join(lost)} with it: it may be this node"
            )
        if not suspect.lost_us:
            return PeerVerdict(
                PeerState.SUSPECTED, f"{said}, and never reached since this node started"
            )
        if unserved_us and at_us - unserved_us < UNSERVED_US:
            return PeerVerdict(PeerState.SUSPECTED, f"{said}, as is this node by the state service")
        return PeerVerdict(PeerState.DEAD, f"{said}, and nobody else can be asked")
    seen = ", ".join(f"{name}: {observation.value}" for name, observation in observations)
    return PeerVerdict(PeerState.DEAD, f"{said}; {seen}")


def _lost_with(other: PeerObservation, suspect: PeerObservation) -> bool:
    """Whether another link was lost at the same moment."""
    if other.connected or not other.lost_us:
        return False
    return abs(other.lost_us - suspect.lost_us) <= AT_ONCE_US


class MembershipView:
    """The other controllers' states; tells of changes once."""

    def __init__(self) -> None:
        self._states: dict[str, PeerState] = {}

    def state(self, name: str) -> PeerState:
        """Return what a controller is taken to be."""
        return self._states.get(name, PeerState.ALIVE)

    def update(self, name: str, verdict: PeerVerdict) -> bool:
        """Take up a verdict; whether it is another state than before."""
        if self.state(name) is verdict.state:
            return False
        self._states[name] = verdict.state
        return True
