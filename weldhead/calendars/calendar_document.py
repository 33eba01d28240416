"""A calendar as its document states it."""

import re
from collections.abc import Iterator
from datetime import date
from typing import Any

import msgspec

_HOUR = re.compile(r"([01]\d|2[0-3]):[0-5]\d")


class Calendar(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True):
    """When the output of a class of jobs is first needed.

    ``rule`` says on which days (RFC 5545, ``FREQ=...``), from ``first_day`` on; ``hour`` is
    the time of day there, in ``zone``. On the days of ``never_on`` nothing is needed;
    ``moved`` names another day for some. ``margin_s`` before that hour work has to be done. It
    binds jobs of these classes and teams (none named: of all). ``rebinds``: jobs accepted
    under an earlier edition are bound anew even to a later instant.
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
        """Iterate over what is wrong with it: field, and why."""
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
        """Whether it binds jobs of a class and a team."""
        return (not self.classes or job_class in self.classes) and (
            not self.teams or team in self.teams
        )
