"""Binds a job to a calendar's instant at its acceptance. No I/O.

A job is bound to the first instant that is still to come according to every clock within the clock
error. Once an instant has passed according to some clock, nobody can say whether a job met it. So a
job that is accepted a moment before an instant is bound to the next one, and this is logged.
"""

import msgspec

from weldhead.calendars.calendar_document import Calendar
from weldhead.calendars.calendar_state import CalendarState, content_digest
from weldhead.clock import SECOND_US
from weldhead.cluster_state.records import AdmissionBinding, CalendarDeadline
from weldhead.documents.cache import CacheEntry, DocumentCache
from weldhead.documents.records import HEAD_KEY, document_key, state_key
from weldhead.protocol.wire import Condition, JobSpec

CALENDAR_KIND = "calendar"
#: A job that arrives within this time after an instant was probably meant for that instant.
MISSED_INSTANT_WINDOW_US = 3600 * SECOND_US


class InstantsNotComputedError(Exception):
    """The instants of the calendar that the error names are not in the store yet."""


def read_calendar_state(cache: DocumentCache, name: str) -> CacheEntry[CalendarState] | None:
    """Return the stored state of a calendar; None: there is none."""
    return cache.get(state_key(CALENDAR_KIND, name), CalendarState)


def read_current_state(
    cache: DocumentCache, edition: int, calendar: Calendar
) -> CacheEntry[CalendarState] | None:
    """Return a calendar's state if it matches the calendar's document in an edition, else None."""
    state = read_calendar_state(cache, calendar.name)
    body = cache.get(document_key(edition, f"{CALENDAR_KIND}/{calendar.name}"), msgspec.Raw)
    if state is None or body is None or state.value.digest != content_digest(bytes(body.value)):
        return None
    return state


def current_deadline(cache: DocumentCache | None, deadline: CalendarDeadline) -> CalendarDeadline:
    """Return the current deadline of a job whose record has ``deadline``."""
    state = read_calendar_state(cache, deadline.calendar) if cache is not None else None
    return state.value.apply_moves(deadline) if state is not None else deadline


def bind_to_calendars(
    cache: DocumentCache, spec: JobSpec, wall_us: int, error_us: int
) -> AdmissionBinding:
    """Return the earliest calendar deadline of a job accepted at ``wall_us``, and the conditions.

    The acceptance is valid only if the conditions hold when it is committed. ``error_us`` is the
    maximum error of a controller's clock. InstantsNotComputedError means that the caller has to
    retry later.
    """
    # The absence of a deadline depends on the edition of the documents as well.
    conditions = [Condition(HEAD_KEY, cache.version(HEAD_KEY))]
    earliest: CalendarDeadline | None = None
    head = cache.head
    for calendar in cache.documents_in_force(CALENDAR_KIND, Calendar):
        if head is None or not calendar.value.binds(spec.job_class, spec.team):
            continue
        name = calendar.value.name
        state = read_current_state(cache, head.edition, calendar.value)
        if state is None:
            raise InstantsNotComputedError(name)
        conditions.append(Condition(state_key(CALENDAR_KIND, name), state.version))
        due_us = state.value.first_after(wall_us + error_us)
        if due_us is None and state.value.until_us is not None:
            # Later instants exist, but no leader has computed them.
            raise InstantsNotComputedError(name)
        if due_us is not None and (earliest is None or due_us < earliest.due_us):
            earliest = CalendarDeadline(name, head.edition, due_us)
    return AdmissionBinding(earliest, conditions=tuple(conditions))


def missed_instant_us(
    cache: DocumentCache, deadline: CalendarDeadline, wall_us: int, error_us: int
) -> int | None:
    """Return the instant that a job accepted at ``wall_us`` missed recently; None: there is none.

    ``deadline`` is the later instant that the job was bound to.
    """
    state = read_calendar_state(cache, deadline.calendar)
    past_us = state.value.last_until(wall_us + error_us) if state is not None else None
    return past_us if past_us is not None and wall_us - past_us < MISSED_INSTANT_WINDOW_US else None
