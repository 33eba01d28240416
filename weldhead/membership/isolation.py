"""Detects that this controller reaches neither the state service nor any peer; performs no I/O.

A controller that has lost only the state service is still useful: its peers may be served and
can answer for it. If no controller is served, that is an outage of the state service, and every
controller stays in service. A controller that has also lost all its peers can only reject requests.
Most likely its own network has failed rather than all the peers, and it cannot give clients any
new information, so clients should go to another controller at once.

A controller without peers is never isolated. A process that was paused does not count the
silence during its own pause against its peers. Times are microseconds of this node's steady
clock.
"""

from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US

#: The peers count as silent after this time without an answer, which is three unanswered pings.
PEER_SILENCE_TIMEOUT_US = 1_200 * MILLISECOND_US
#: While all peers are silent, the state service is probed this long after the last call to it.
SERVICE_PROBE_INTERVAL_US = 500 * MILLISECOND_US
#: A longer gap between two updates means that this process was paused.
PROCESS_PAUSE_THRESHOLD_US = 500 * MILLISECOND_US


@dataclass(frozen=True)
class LastContact:
    """The times at which this node last reached its peers and the state service; 0 is never."""

    #: When a peer last answered this node. Messages that peers send on their own don't count:
    #: if only this node's outgoing traffic is cut, these still arrive, but no request gets out.
    peer_answered_us: int
    #: When this node sent the last call that the state service answered.
    service_served_us: int
    #: When a call to the state service last failed.
    service_failed_us: int


class IsolationDetector:
    """Decides whether this node is isolated, as of the last update."""

    def __init__(self, started_us: int) -> None:
        self._observing_since_us = self._last_update_us = started_us
        self.isolated = False
        #: Whether the state service has to be probed before this node can be declared isolated.
        self.probe_wanted = False

    def update(self, contact: LastContact, at_us: int) -> bool:
        """Apply the contact times as of ``at_us``; return whether ``isolated`` has changed."""
        if at_us - self._last_update_us > PROCESS_PAUSE_THRESHOLD_US and not self.isolated:
            self._observing_since_us = at_us
        self._last_update_us = at_us
        peers_silent = (
            at_us - max(contact.peer_answered_us, self._observing_since_us)
            >= PEER_SILENCE_TIMEOUT_US
        )
        last_call_us = max(contact.service_served_us, contact.service_failed_us)
        self.probe_wanted = peers_silent and at_us - last_call_us >= SERVICE_PROBE_INTERVAL_US
        isolated = peers_silent and contact.service_failed_us > contact.service_served_us
        changed, self.isolated = isolated != self.isolated, isolated
        return changed
