"""Reduces a run that breaks a rule to the fewest faults, jobs and seconds that still break it.

A run's luck hangs on all that it holds: whatever is left out is tried with a few seeds.
"""

import math
from dataclasses import dataclass

import msgspec

from weldhead.emulator.experiment import Result, play
from weldhead.emulator.loop import BEGIN_S
from weldhead.emulator.scenario import Scenario

#: With how many seeds something smaller is tried, and how many runs there are in all.
SEEDS = 4
MOST_RUNS = 80
#: What follows the moment at which the rule breaks, in seconds.
TAIL_S = 2.0
#: Between the names of a run's rules and its times: how a checker's details begin.
_MARK = " s: "


@dataclass(frozen=True)
class Found:
    """A scenario and a seed that break a rule, and what the checker says of it."""

    scenario: Scenario
    seed: int
    rule: str
    details: list[str]

    @property
    def broken_s(self) -> float:
        """When the rule broke first, in seconds of the experiment."""
        times = [float(text.partition(_MARK)[0]) for text in self.details if self._of_rule(text)]
        return min(times, default=BEGIN_S + self.scenario.seconds) - BEGIN_S

    def _of_rule(self, text: str) -> bool:
        return text.partition(_MARK)[2].startswith(f"{self.rule}:")


def first_found(scenario: Scenario, result: Result) -> Found:
    """Return what a run that broke a rule has found: the rule that broke first."""
    rule = result.details[0].partition(_MARK)[2].partition(":")[0]
    return Found(scenario, result.seed, rule, result.details)


class Reduction:
    """Leaves out what a broken rule does not need, in so many runs at most."""

    def __init__(self, found: Found, *, seeds: int = SEEDS, most_runs: int = MOST_RUNS) -> None:
        self.found = found
        self.runs = 0
        self._seeds, self._most_runs = seeds, most_runs

    def reduce(self) -> Found:
        """Return the smallest that was found."""
        self._leave_out("faults", least=0)
        self._leave_out("jobs", least=1)
        if self.found.scenario.controllers > 3:
            self._try(msgspec.structs.replace(self.found.scenario, controllers=3))
        self._shorten()
        return self.found

    def _leave_out(self, name: str, *, least: int) -> None:
        """Leave out what can be of a list, one after the other."""
        number = 0
        while number < len(parts := getattr(self.found.scenario, name)) > least:
            fewer = parts[:number] + parts[number + 1 :]
            if not self._try(msgspec.structs.replace(self.found.scenario, **{name: fewer})):
                number += 1

    def _shorten(self) -> None:
        for factor in (1.0, 1.3):
            seconds = float(math.ceil(factor * self.found.broken_s + TAIL_S))
            scenario = self.found.scenario
            waits_s = max([0.0, *(fault.until_s for fault in scenario.faults)])
            if waits_s < seconds < scenario.seconds:
                if self._try(msgspec.structs.replace(scenario, seconds=seconds)):
                    return

    def _try(self, scenario: Scenario) -> bool:
        """Whether it breaks the rule too; then it is what was found."""
        for seed in range(self.found.seed, self.found.seed + self._seeds):
            if self.runs >= self._most_runs:
                return False
            self.runs += 1
            result = play(scenario, seed)
            if self.found.rule in result.broken:
                self.found = Found(scenario, seed, self.found.rule, result.details)
                return True
        return False
