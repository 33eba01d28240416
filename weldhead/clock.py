"""Time, in whole microseconds everywhere.

The monotonic clock orders all times that a process measures itself. The time of day is used
only for times that have to outlive the process, such as the time at which a job was submitted.
"""

import time

SECOND_US = 1_000_000
MILLISECOND_US = 1_000

#: The margins for a lease that is judged by the clock of another machine: twice the drift between
#: the monotonic clocks of two machines, which is at most 0.05 %, and an addition for timer steps.
CLOCK_DRIFT_MARGIN_PER_MILLE = 1
TIMER_MARGIN_US = 20 * MILLISECOND_US


def now_us() -> int:
    """Return the time on the monotonic clock."""
    return time.monotonic_ns() // 1_000


#: The time (monotonic clock) at which this module was loaded, as nearly the first one of the
#: process. All promises of the node's previous process were made before it. Loading the other
#: modules takes a second or more on a small controller.
PROCESS_STARTED_US = now_us()


def wall_us() -> int:
    """Return the time of day, since the Unix epoch."""
    return time.time_ns() // 1_000


def seconds_us(seconds: float) -> int:
    """Convert a duration on the wire, in seconds, to microseconds."""
    return round(seconds * SECOND_US)


def to_seconds(duration_us: int) -> float:
    """Convert a duration to seconds, the unit on the wire."""
    return duration_us / SECOND_US


def latest_lease_end_us(start_us: int, duration_us: int) -> int:
    """Return the time after which a lease has ended on every machine's clock.

    ``start_us``: the latest time, on this machine's clock, at which another machine started it.
    """
    return (
        start_us
        + duration_us
        + duration_us * CLOCK_DRIFT_MARGIN_PER_MILLE // 1_000
        + TIMER_MARGIN_US
    )


def earliest_lease_end_us(start_us: int, duration_us: int) -> int:
    """Return the time until which a lease is valid on every machine's clock.

    ``start_us``: the time, on this machine's clock, at which its renewal was sent.
    """
    return (
        start_us
        + duration_us
        - duration_us * CLOCK_DRIFT_MARGIN_PER_MILLE // 1_000
        - TIMER_MARGIN_US
    )
