"""The document that configures a deadline calendar."""

import re
from collections.abc import Iterator
from datetime import date
from typing import Any

import msgspec

_HOUR = re.compile(r"([01]\d|2[0-3]):[0-5]\d")


class Calendar(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True):
    """Defines the instants at which the output of some jobs is needed.

    ``rule`` is a recurrence rule (RFC 5545, ``FREQ=...``) that selects days from ``first_day`` on.
    ``hour`` is the time of day, in the time zone ``zone``, at which the output is needed. No output
    is needed on the days in ``never_on``, and ``moved`` maps days to the days that replace them.
    The work has to be done ``margin_s`` seconds before the hour.

    The calendar binds the jobs of these ``classes`` and ``teams``; an empty list matches all.
    ``rebinds`` allows a new edition to move the deadlines of jobs that were accepted under an
    earlier edition to a later instant as well.
    """

    name: str
    zone: str
    rule: str
    first_day: date
    hour: str
    never_on: list[date] = []
    moved: dict[str, date] = {}
    margin_s: float = 0.0
    classes: list[str] = []
    teams: list[str] = []
    rebinds: bool = False

    def problems(self) -> Iterator[tuple[list[Any], str]]:
        """Iterate over the errors in the document: the path of the field, and the reason."""
        if not _HOUR.fullmatch(self.hour):
            yield ["hour"], "a time of day is HH:MM"
        for day in self.moved:
            try:
                date.fromisoformat(day)
            except ValueError:
                yield ["moved", day], "a day is YYYY-MM-DD"
        if not 0 <= self.margin_s <= 86_400:
            yield ["margin-s"], "a margin is 0 to 86400 seconds"
        if not self.classes and not self.teams:
            yield ["name"], "it binds no class and no team"

    def binds(self, job_class: str, team: str) -> bool:
        """Return whether the calendar binds jobs of a class and a team."""
        return (not self.classes or job_class in self.classes) and (
            not self.teams or team in self.teams
        )
