"""Formats times of day, deadlines and durations for messages. No I/O."""

import time

from weldhead.clock import SECOND_US, to_seconds
from weldhead.cluster_state.records import CalendarDeadline


def format_utc(wall_us: int) -> str:
    """Return a time of day in UTC, in the format of RFC 3339."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(wall_us // SECOND_US))


def format_deadline(deadline: CalendarDeadline) -> str:
    """Return a calendar deadline as text: the time, the calendar and its edition."""
    return f"due by {format_utc(deadline.due_us)} ({deadline.calendar}, edition {deadline.edition})"


def format_duration(duration_us: int) -> str:
    """Return the absolute value of a duration in a suitable unit: seconds, minutes or hours."""
    seconds = to_seconds(abs(duration_us))
    if seconds < 120:
        return f"{seconds:.0f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"
