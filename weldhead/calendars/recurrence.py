"""Which instants a calendar names, by its days, its hour and its zone. Pure.

Only the leader of the moment loads this: the libraries of recurrences and zones are nothing
that every controller should carry. Times are microseconds of the time of day, UTC.

The hour in its zone, on days on which the zone's clocks change:

* skipped (clocks go forward over it): the first moment after the gap;
* repeated (clocks go back over it): the earlier of the two.

So work is never bound to a moment at which those who need it have begun already.
"""

from collections.abc import Iterator
from datetime import UTC, date, datetime, time, timedelta
from itertools import islice
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from dateutil.rrule import rrulestr

from weldhead.calendars.calendar_document import Calendar
from weldhead.clock import SECOND_US, seconds_us

_DAY = timedelta(days=1)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_PARTS = ("FREQ", "INTERVAL", "COUNT", "UNTIL", "WKST", "BYDAY", "BYMONTHDAY", "BYYEARDAY",
          "BYWEEKNO", "BYMONTH", "BYSETPOS")  # fmt: skip
_FREQUENCIES = ("DAILY", "WEEKLY", "MONTHLY", "YEARLY")
#: So far is looked ahead: a rule without a day until then has none.
_FAR_DAYS = 366 * 9


class UnusableCalendarError(ValueError):
    """A calendar of which no instant can be computed; ``field`` says where it is wrong."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


def check(calendar: Calendar) -> None:
    """Compute a calendar's first days; Unusable if that is not possible."""
    found = islice(instants(calendar, 0), 3)
    if not list(found):
        raise UnusableCalendarError("rule", "it names no day")


def compute(calendar: Calendar, after_us: int, most: int) -> tuple[tuple[int, ...], int | None]:
    """Return the next instants after a time, and the last of them if there are more.

    Unusable if there can be none.
    """
    found = tuple(islice(instants(calendar, after_us), most + 1))
    return found[:most], found[most - 1] if len(found) > most else None


def instants(calendar: Calendar, after_us: int) -> Iterator[int]:
    """Iterate over the instants after a time, in order; Unusable if there can be none."""
    zone = _zone(calendar)
    at = time.fromisoformat(calendar.hour)
    margin_us = seconds_us(calendar.margin_s)
    # A day here may begin a day earlier or later than there, and a margin is a day at most.
    begin = (_EPOCH + timedelta(microseconds=max(0, after_us))).date() - 2 * _DAY
    # A rule whose first day is far ahead is looked at from there on.
    begin = max(begin, calendar.first_day - 2 * _DAY)
    last = 0
    for day in _days(calendar, begin):
        found_us = hour_us(day, at, zone) - margin_us
        # Moved days may name the same moment twice.
        if found_us > after_us and found_us != last:
            last = found_us
            yield found_us


def _zone(calendar: Calendar) -> ZoneInfo:
    try:
        return ZoneInfo(calendar.zone)
    except (ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise UnusableCalendarError("zone", f"no time zone {calendar.zone!r} is known") from error


def _days(calendar: Calendar, begin: date) -> Iterator[date]:
    """Iterate over the days on which output is needed, from ``begin`` on, in order."""
    given = [part.partition("=")[0].upper() for part in calendar.rule.split(";")]
    wrong = next((part for part in given if part not in _PARTS), None)
    if wrong is not None:
        raise UnusableCalendarError("rule", f"{wrong!r} is no part of a rule of days")
    if len(set(given)) < len(given):
        raise UnusableCalendarError("rule", "a part is given twice")
    parts = dict(part.upper().split("=", 1) for part in calendar.rule.split(";") if "=" in part)
    if parts.get("FREQ") not in _FREQUENCIES:
        raise UnusableCalendarError("rule", "FREQ is one of " + ", ".join(_FREQUENCIES))
    try:
        start = datetime.combine(calendar.first_day, time())
        rule = rrulestr(calendar.rule, dtstart=start)
        moved = {date.fromisoformat(day): to for day, to in calendar.moved.items()}
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise UnusableCalendarError("rule", str(error)) from error
    # A day may be moved to before others: what is moved is put in its place beforehand.
    never = {*calendar.never_on, *moved}
    extra = sorted({to for to in moved.values() if to >= begin})
    end = datetime.combine(begin, time()) + timedelta(days=_FAR_DAYS)
    for stamp in rule.xafter(datetime.combine(begin, time()), inc=True):
        if stamp > end:
            break
        while extra and extra[0] <= stamp.date():
            yield extra.pop(0)
        if stamp.date() not in never:
            yield stamp.date()
    yield from extra


def hour_us(day: date, at: time, zone: ZoneInfo) -> int:
    """Return when it is that hour of a day in a zone, by the rules above."""
    local = datetime.combine(day, at)
    before = local.replace(tzinfo=zone)
    after = before.replace(fold=1)
    first_us, second_us = _utc_us(before), _utc_us(after)
    if first_us <= second_us:
        # There once, or twice: fold 0 is the earlier.
        return first_us
    # Skipped. With the offset after the change it is read as a moment before the change, and
    # the other way round: the change lies in between.
    low, high = second_us // SECOND_US, first_us // SECOND_US
    while high - low > 1:
        middle = (low + high) // 2
        there = datetime.fromtimestamp(middle, UTC).astimezone(zone)
        if there.utcoffset() == before.utcoffset():
            low = middle
        else:
            high = middle
    return high * SECOND_US


def _utc_us(local: datetime) -> int:
    return (local.astimezone(UTC) - _EPOCH) // timedelta(microseconds=1)
