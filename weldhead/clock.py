"""Time, in whole microseconds everywhere.

The steady clock orders everything a process measures by itself; the time of day is used
only for what has to outlive a process (when a job was submitted).
"""

import time

SECOND_US = 1_000_000
MILLISECOND_US = 1_000

#: Steady clocks of different machines drift apart by at most 0.05 %; every lease that is
#: judged from another machine's clock gets twice that and a little for timer steps.
DRIFT_PER_MILLE = 1
TIMER_STEP_US = 20 * MILLISECOND_US


def now_us() -> int:
    """Return the steady clock."""
    return time.monotonic_ns() // 1_000


#: The steady clock when this process had loaded next to nothing but this module. Whatever
#: a former life of the node promised, it promised before; a small controller takes a second
#: and more to load the rest.
PROCESS_STARTED_US = now_us()


def wall_us() -> int:
    """Return the time of day."""
    return time.time_ns() // 1_000


def seconds_us(seconds: float) -> int:
    """Convert a wire duration in seconds."""
    return round(seconds * SECOND_US)


def to_seconds(duration_us: int) -> float:
    """Convert to the wire's seconds."""
    return duration_us / SECOND_US


def surely_over_us(start_us: int, duration_us: int) -> int:
    """Return when a lease that began by ``start_us`` elsewhere is over on any clock."""
    return start_us + duration_us + duration_us * DRIFT_PER_MILLE // 1_000 + TIMER_STEP_US


def surely_valid_us(start_us: int, duration_us: int) -> int:
    """Return until when a lease whose renewal was sent at ``start_us`` holds on any clock."""
    return start_us + duration_us - duration_us * DRIFT_PER_MILLE // 1_000 - TIMER_STEP_US
