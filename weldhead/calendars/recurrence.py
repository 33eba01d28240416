"""Computes the instants of a calendar from its days, its hour and its time zone. No I/O.

Only the leader loads this module, so that other controllers don't load the libraries for
recurrence rules and time zones. Times are microseconds of the time of day, UTC.

On days on which the clocks of the zone change, the calendar's hour may be:

* skipped (the clocks go forward over it): the instant is the first moment after the gap;
* repeated (the clocks go back over it): the instant is the earlier of the two.

So a deadline is never later than the moment at which the users of the output begin their work.
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
_RULE_PARTS = ("FREQ", "INTERVAL", "COUNT", "UNTIL", "WKST", "BYDAY", "BYMONTHDAY", "BYYEARDAY",
               "BYWEEKNO", "BYMONTH", "BYSETPOS")  # fmt: skip
_FREQUENCIES = ("DAILY", "WEEKLY", "MONTHLY", "YEARLY")
#: A rule that selects no day within this time is taken to have no further days.
_MAX_LOOKAHEAD_DAYS = 366 * 9


class UnusableCalendarError(ValueError):
    """The instants of a calendar can't be computed; ``field`` is the calendar's invalid field."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


def validate_calendar(calendar: Calendar) -> None:
    """Compute a calendar's first instants; UnusableCalendarError if there are none."""
    first_instants = islice(iterate_instants(calendar, 0), 3)
    if not list(first_instants):
        raise UnusableCalendarError("rule", "it names no day")


def compute_instants(
    calendar: Calendar, after_us: int, max_count: int
) -> tuple[tuple[int, ...], int | None]:
    """Return the next instants after a time, and the last of them if there are more, else None.

    UnusableCalendarError if the calendar is invalid.
    """
    found_us = tuple(islice(iterate_instants(calendar, after_us), max_count + 1))
    return found_us[:max_count], found_us[max_count - 1] if len(found_us) > max_count else None


def iterate_instants(calendar: Calendar, after_us: int) -> Iterator[int]:
    """Iterate over the instants after a time, in ascending order.

    UnusableCalendarError if the calendar is invalid.
    """
    zone = _time_zone(calendar)
    hour = time.fromisoformat(calendar.hour)
    margin_us = seconds_us(calendar.margin_s)
    # A day may begin up to a day earlier or later in the zone than in UTC, and the margin is at
    # most a day.
    begin = (_EPOCH + timedelta(microseconds=max(0, after_us))).date() - 2 * _DAY
    # If the first day is far in the future, the lookahead begins there.
    begin = max(begin, calendar.first_day - 2 * _DAY)
    previous_us = 0
    for day in _days(calendar, begin):
        instant_us = local_time_us(day, hour, zone) - margin_us
        # Because of moved days, the same instant may occur twice.
        if instant_us > after_us and instant_us != previous_us:
            previous_us = instant_us
            yield instant_us


def _time_zone(calendar: Calendar) -> ZoneInfo:
    try:
        return ZoneInfo(calendar.zone)
    except (ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise UnusableCalendarError("zone", f"no time zone {calendar.zone!r} is known") from error


def _days(calendar: Calendar, begin: date) -> Iterator[date]:
    """Iterate over the days on which output is needed, from ``begin`` on, in ascending order."""
    part_names = [part.partition("=")[0].upper() for part in calendar.rule.split(";")]
    unknown_part = next((part for part in part_names if part not in _RULE_PARTS), None)
    if unknown_part is not None:
        raise UnusableCalendarError("rule", f"{unknown_part!r} is no part of a rule of days")
    if len(set(part_names)) < len(part_names):
        raise UnusableCalendarError("rule", "a part is given twice")
    parts = dict(part.upper().split("=", 1) for part in calendar.rule.split(";") if "=" in part)
    if parts.get("FREQ") not in _FREQUENCIES:
        raise UnusableCalendarError("rule", "FREQ is one of " + ", ".join(_FREQUENCIES))
    try:
        start = datetime.combine(calendar.first_day, time())
        rule = rrulestr(calendar.rule, dtstart=start)
        moved = {date.fromisoformat(day): new_day for day, new_day in calendar.moved.items()}
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise UnusableCalendarError("rule", str(error)) from error
    # A day may move to before other days, so the new days are sorted and merged with the rule's.
    excluded = {*calendar.never_on, *moved}
    new_days = sorted({new_day for new_day in moved.values() if new_day >= begin})
    end = datetime.combine(begin, time()) + timedelta(days=_MAX_LOOKAHEAD_DAYS)
    for stamp in rule.xafter(datetime.combine(begin, time()), inc=True):
        if stamp > end:
            break
        while new_days and new_days[0] <= stamp.date():
            yield new_days.pop(0)
        if stamp.date() not in excluded:
            yield stamp.date()
    yield from new_days


def local_time_us(day: date, hour: time, zone: ZoneInfo) -> int:
    """Return the instant of a local time; see the module's docstring for clock changes."""
    local = datetime.combine(day, hour)
    first_fold = local.replace(tzinfo=zone)
    second_fold = first_fold.replace(fold=1)
    first_us, second_us = _utc_us(first_fold), _utc_us(second_fold)
    if first_us <= second_us:
        # The local time occurs once or twice; fold 0 is the earlier occurrence.
        return first_us
    # The local time is skipped. With the offset before the change (fold 0), it converts to a moment
    # after the change, and with the offset after the change (fold 1) to a moment before it. So the
    # change lies between the two.
    low_s, high_s = second_us // SECOND_US, first_us // SECOND_US
    while high_s - low_s > 1:
        middle_s = (low_s + high_s) // 2
        middle = datetime.fromtimestamp(middle_s, UTC).astimezone(zone)
        if middle.utcoffset() == first_fold.utcoffset():
            low_s = middle_s
        else:
            high_s = middle_s
    return high_s * SECOND_US


def _utc_us(local: datetime) -> int:
    return (local.astimezone(UTC) - _EPOCH) // timedelta(microseconds=1)
