"""Until when a term that has not loaded the records may renew workers' leases. No I/O.

Every answer to a worker renews its lease and thus lets its tasks continue. A loaded term includes
the kill of each cancelled task in every answer, but an unloaded term does not know these tasks. It
therefore answers workers with tasks only while the renewed leases expire within ``cancel_s`` of the
earliest confirmed cancellation that the term may not know. ``docs/design/cancellation.md`` gives
the argument. Times are microseconds; times of day have ``wall`` in their names.
"""

from weldhead.clock import latest_lease_end_us, to_seconds


def safe_answer_window_us(cancel_us: int, lease_us: int) -> int:
    """Return how long after a confirmed cancellation answers without its kills are safe.

    The leases that such answers renew expire in time by any clock. A negative result means that
    even a lease renewed just before the confirmation may expire too late.
    """
    drift_us = latest_lease_end_us(0, cancel_us) - cancel_us
    return cancel_us - drift_us - latest_lease_end_us(0, lease_us)


def earliest_missed_cancellation_us(
    wall_us: int, lease_us: int, inherited_wall_us: int | None
) -> int:
    """Return the time of day of the earliest cancellation whose tasks may still be running.

    A leader that knows a cancellation renews no lease of its tasks. When the leader is replaced,
    only tasks cancelled within the last lease duration can remain. Cancellations that a sequence
    of unsettled terms may not know may be unknown to their successor as well.
    """
    own_us = wall_us - latest_lease_end_us(0, lease_us)
    return own_us if inherited_wall_us is None else min(own_us, inherited_wall_us)


def unloaded_answers_until_us(
    sent_us: int,
    wall_us: int,
    inherited_wall_us: int | None,
    cancel_us: int,
    lease_us: int,
    clock_error_us: int,
) -> int:
    """Return until when (steady clock) an unloaded term may answer workers with tasks.

    The term's leader ran for the leader key at ``sent_us``, when the time of day was ``wall_us``.
    ``inherited_wall_us`` is the time of the earliest cancellation that the terms before may not
    know; None means that those terms were settled.
    """
    earliest_us = sent_us - latest_lease_end_us(0, lease_us)
    if inherited_wall_us is not None:
        # Another controller recorded this time of day, and both clocks may be wrong.
        elapsed_us = wall_us - inherited_wall_us + 2 * clock_error_us
        earliest_us = min(earliest_us, sent_us - elapsed_us)
    return earliest_us + safe_answer_window_us(cancel_us, lease_us)


def describe_unmet_guarantee(cancel_us: int, lease_us: int) -> str:
    """Describe the guarantee that a short ``cancel_s`` does not allow; "" if there is none."""
    window_us, lease_s = safe_answer_window_us(cancel_us, lease_us), to_seconds(lease_us)
    if window_us < 0:
        return (
            f"cancel_s {to_seconds(cancel_us):g} s is shorter than a lease takes to run out: on a "
            f"machine out of reach a cancelled task may last {lease_s:g} s after its last answer"
        )
    if window_us <= latest_lease_end_us(0, lease_us):
        return (
            f"cancel_s {to_seconds(cancel_us):g} s is less than two leases of {lease_s:g} s: a new "
            "leader answers no worker with tasks before it has read the jobs"
        )
    return ""
