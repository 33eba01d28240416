"""Stops or releases attempts that may not have been sent to their worker yet. No I/O."""

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest


def request_stop(
    cluster: Cluster, attempt: Attempt, stop: StopRequest, at_us: int, reason: str
) -> bool:
    """Ask an attempt to stop; return true if it was never sent and is released at once."""
    if (
        attempt.phase is AttemptPhase.ASSIGNED
        and attempt.sent_sequence is None
        and not attempt.sent_directly
        and not attempt.unconfirmed_since_us
    ):
        cluster.release(attempt)
        return True
    cluster.stop(attempt, stop, at_us, reason)
    return False


def release_undelivered(cluster: Cluster, machine: Machine) -> int:
    """Release the attempts assigned to a machine that will certainly never start there.

    No ``run`` command for them is in flight: either it was not sent, or a later heartbeat has shown
    that the answer carrying it was dropped. Attempts whose ``run`` was sent in a direct request
    that was not answered are kept. Returns the number of released attempts.
    """
    undelivered = [
        attempt
        for attempt in machine.attempts.values()
        if attempt.phase is AttemptPhase.ASSIGNED
        and attempt.sent_sequence is None
        and not attempt.sent_directly
        and not attempt.unconfirmed_since_us
    ]
    for attempt in undelivered:
        cluster.release(attempt)
    return len(undelivered)
