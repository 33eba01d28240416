"""Stopping attempts that may not have been sent to their worker yet. No I/O."""

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest


def request_stop(
    cluster: Cluster, attempt: Attempt, stop: StopRequest, at_us: int, reason: str
) -> bool:
    """Ask an attempt to stop; true if it is gone at once because it was never sent."""
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


def withdraw_unbegun(cluster: Cluster, machine: Machine) -> int:
    """Take back what was assigned to a machine and surely never begins there; return how many.

    Nothing of it is on its way: it was not sent, or the answer that carried it was dropped, which
    a later report has shown. What was sent directly and not answered stays.
    """
    gone = [
        attempt
        for attempt in machine.attempts.values()
        if attempt.phase is AttemptPhase.ASSIGNED
        and attempt.sent_sequence is None
        and not attempt.sent_directly
        and not attempt.unconfirmed_since_us
    ]
    for attempt in gone:
        cluster.release(attempt)
    return len(gone)
