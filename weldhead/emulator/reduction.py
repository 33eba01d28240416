"""Reduces a run that breaks a rule to the fewest faults, jobs and seconds that still break it.

A run's luck hangs on all that it holds: whatever is left out is tried with a few seeds.
"""

import math
from collections.abc import Callable, Iterator
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
    """Leaves out what a broken rule does not need; ``goes_on`` says whether there is time."""

    def __init__(self, found: Found, goes_on: Callable[[], bool] = lambda: True) -> None:
        self.found = found
        self.runs = 0
        self._goes_on = goes_on

    def reduce(self) -> Found:
        """Return the smallest that was found."""
        while any(self._try(smaller) for smaller in self._smaller()):
            pass
        self._shorten()
        return self.found

    def _smaller(self) -> Iterator[Scenario]:
        """Yield what has one part less."""
        scenario = self.found.scenario
        for number in range(len(scenario.faults)):
            faults = scenario.faults[:number] + scenario.faults[number + 1 :]
            yield msgspec.structs.replace(scenario, faults=faults)
        for number in range(len(scenario.jobs) if len(scenario.jobs) > 1 else 0):
            jobs = scenario.jobs[:number] + scenario.jobs[number + 1 :]
            yield msgspec.structs.replace(scenario, jobs=jobs)
        if scenario.controllers > 3:
            yield msgspec.structs.replace(scenario, controllers=3)

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
        for seed in range(self.found.seed, self.found.seed + SEEDS):
            if self.runs >= MOST_RUNS or not self._goes_on():
                return False
            self.runs += 1
            result = play(scenario, seed)
            if self.found.rule in result.broken:
                self.found = Found(scenario, seed, self.found.rule, result.details)
                return True
        return False
