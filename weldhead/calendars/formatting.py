"""Instants and lateness in words. Pure."""

import time

from weldhead.clock import SECOND_US, to_seconds
from weldhead.cluster_state.records import CalendarDeadline


def utc(wall_us: int) -> str:
    """Return a time of day as RFC 3339 has it, in UTC."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(wall_us // SECOND_US))


def due(bound: CalendarDeadline) -> str:
    """Say by when a bound job has to be finished."""
    return f"due by {utc(bound.due_us)} ({bound.calendar}, edition {bound.edition})"


def span(duration_us: int) -> str:
    """Say how long something takes, as roughly as that matters."""
    seconds = to_seconds(abs(duration_us))
    if seconds < 120:
        return f"{seconds:.0f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"
