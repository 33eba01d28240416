"""To what a job is bound at its acceptance. Pure.

The instant is the first that is still to come by every clock: of one that is past by some
clock nobody could say any more that it was met. So a job accepted a moment before the hour is
bound to the next instant, and that is said.
"""

import msgspec

from weldhead.calendars.calendar_document import Calendar
from weldhead.calendars.calendar_state import CalendarState, digest_of
from weldhead.clock import SECOND_US
from weldhead.cluster_state.records import AdmissionBinding, CalendarDeadline
from weldhead.documents.cache import CacheEntry, DocumentCache
from weldhead.documents.records import HEAD_KEY, document_key, state_key
from weldhead.protocol.wire import Condition, JobSpec

KIND = "calendar"
#: A job that comes so late after an instant was probably meant for it: that is said.
JUST_PAST_US = 3600 * SECOND_US


class InstantsNotComputedError(Exception):
    """A calendar's instants are not in the store yet."""


def state_of(cache: DocumentCache, name: str) -> CacheEntry[CalendarState] | None:
    """Return what is kept of a calendar."""
    return cache.get(state_key(KIND, name), CalendarState)


def current_state(
    cache: DocumentCache, edition: int, calendar: Calendar
) -> CacheEntry[CalendarState] | None:
    """Return what is kept of a calendar as it stands in an edition; None: not computed yet."""
    kept = state_of(cache, calendar.name)
    body = cache.get(document_key(edition, f"{KIND}/{calendar.name}"), msgspec.Raw)
    if kept is None or body is None or kept.value.digest != digest_of(bytes(body.value)):
        return None
    return kept


def moved(cache: DocumentCache | None, bound: CalendarDeadline) -> CalendarDeadline:
    """Return to what a job is bound now whose record says ``bound``."""
    kept = state_of(cache, bound.calendar) if cache is not None else None
    return kept.value.moved(bound) if kept is not None else bound


def bind(cache: DocumentCache, spec: JobSpec, wall_us: int, error_us: int) -> AdmissionBinding:
    """Return to what calendars bind a job accepted at ``wall_us``, on which conditions.

    ``error_us`` is how far any time of day may be off. InstantsNotComputedError: ask again later.
    """
    # That nothing binds it rests on the edition as well.
    conditions = [Condition(HEAD_KEY, cache.version(HEAD_KEY))]
    first: CalendarDeadline | None = None
    head = cache.head
    for calendar in cache.documents_in_force(KIND, Calendar):
        if head is None or not calendar.value.binds(spec.job_class, spec.team):
            continue
        name = calendar.value.name
        state = current_state(cache, head.edition, calendar.value)
        if state is None:
            raise InstantsNotComputedError(name)
        conditions.append(Condition(state_key(KIND, name), state.version))
        due_us = state.value.after(wall_us + error_us)
        if due_us is None and state.value.until_us is not None:
            # There are more, and nobody leads who would have computed them.
            raise InstantsNotComputedError(name)
        if due_us is not None and (first is None or due_us < first.due_us):
            first = CalendarDeadline(name, head.edition, due_us)
    return AdmissionBinding(first, conditions=tuple(conditions))


def passed_us(
    cache: DocumentCache, bound: CalendarDeadline, wall_us: int, error_us: int
) -> int | None:
    """Return the instant that was just past when a job was bound to the next one."""
    kept = state_of(cache, bound.calendar)
    past_us = kept.value.before(wall_us + error_us) if kept is not None else None
    return past_us if past_us is not None and wall_us - past_us < JUST_PAST_US else None
