"""Until when a term that has not read the records keeps workers' leases. No I/O.

Whoever answers a worker renews its lease, and with it whatever runs there. A loaded term sends the
kill of each cancelled task in every answer; one that is not loaded does not know them. So it
answers workers with tasks only so long that the leases it renews are over within ``cancel_s`` of
the earliest confirmation that it can have missed. ``docs/design/cancellation.md`` has the argument.
Times are microseconds; those of the time of day are called ``wall``.
"""

from weldhead.clock import surely_over_us, to_seconds


def span_us(cancel_us: int, lease_us: int) -> int:
    """Return how long after a confirmation answers may go on that do not end the job's tasks.

    What such an answer renews is over in time by any clock. Below 0: not even a lease renewed
    just before the confirmation surely is.
    """
    drift_us = surely_over_us(0, cancel_us) - cancel_us
    return cancel_us - drift_us - surely_over_us(0, lease_us)


def earliest_missed(wall_us: int, lease_us: int, inherited_wall_us: int | None) -> int:
    """Return the earliest cancellation of which a task may still be there, by the time of day.

    A leader that knows a cancellation renews no lease of its tasks: what is left of them when it
    is replaced was cancelled within a lease. What an unsettled row of terms may have missed, their
    successor may miss as well.
    """
    own_us = wall_us - surely_over_us(0, lease_us)
    return own_us if inherited_wall_us is None else min(own_us, inherited_wall_us)


def answers_until_us(
    sent_us: int,
    wall_us: int,
    inherited_wall_us: int | None,
    cancel_us: int,
    lease_us: int,
    clock_error_us: int,
) -> int:
    """Return until when a term answers workers with tasks before it is loaded (steady clock).

    It stood for the leader's key at ``sent_us``, which was ``wall_us`` by the time of day.
    ``inherited_wall_us``: what the terms before it may have missed, None if they were settled.
    """
    missed_us = sent_us - surely_over_us(0, lease_us)
    if inherited_wall_us is not None:
        # Written by another controller's time of day: both may be wrong.
        ago_us = wall_us - inherited_wall_us + 2 * clock_error_us
        missed_us = min(missed_us, sent_us - ago_us)
    return missed_us + span_us(cancel_us, lease_us)


def shortfall(cancel_us: int, lease_us: int) -> str:
    """Say what is not guaranteed because ``cancel_s`` is short; "" if nothing is missing."""
    span, lease_s = span_us(cancel_us, lease_us), to_seconds(lease_us)
    if span < 0:
        return (
            f"cancel_s {to_seconds(cancel_us):g} s is shorter than a lease takes to run out: on a "
            f"machine out of reach a cancelled task may last {lease_s:g} s after its last answer"
        )
    if span <= surely_over_us(0, lease_us):
        return (
            f"cancel_s {to_seconds(cancel_us):g} s is less than two leases of {lease_s:g} s: a new "
            "leader answers no worker with tasks before it has read the jobs"
        )
    return ""
