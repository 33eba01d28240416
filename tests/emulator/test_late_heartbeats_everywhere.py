"""Old reports reach every controller as a new leader begins; a replaced one asks for promises.

Each meeting is counted as it comes about. Which seeds show what depends on the order of sets of
names too: `make test` fixes the hash.
"""

import itertools
from collections import Counter

import pytest

from tests.support.paths import ROOT
from weldhead.emulator.arrivals import Age, Arrivals, Moment
from weldhead.emulator.experiment import Result
from weldhead.emulator.observed_experiment import play_watched
from weldhead.emulator.scenario import Scenario, read_scenario

SCENARIOS = ROOT / "deploy" / "scenarios"


def scenario(name: str, controllers: int) -> Scenario:
    site = read_scenario(SCENARIOS / f"{name}.toml")
    site.controllers = controllers
    return site


@pytest.mark.parametrize(("controllers", "seed"), [(3, 0), (5, 0)])
def test_old_reports_reach_every_controller_as_a_leader_begins(controllers: int, seed: int) -> None:
    result, arrivals = play_watched(scenario("meet-old-reports-everywhere", controllers), seed)
    begins = (Moment.LOADING, Moment.UNANSWERED, Moment.ACTED)
    for moment, age in itertools.product(begins, Age):
        assert arrivals.reports[moment, age], (moment, age)
    by_moment = Counter[Moment]()
    for (moment, _), count in arrivals.reports.items():
        by_moment[moment] += count
    assert min(by_moment[moment] for moment in Moment) >= 20, by_moment
    # Of these terms each began while one and the same report reached all controllers.
    assert len(arrivals.everywhere) >= max(5, 0.8 * result.counts["terms"])
    assert arrivals.deposed_commands >= 5
    assert not result.broken, result.details


def play_replaced(controllers: int, seed: int) -> tuple[Result, Arrivals]:
    site = scenario("meet-replaced-leader", controllers)
    site.faults[0].count = controllers - 2
    return play_watched(site, seed)


@pytest.mark.parametrize(("controllers", "seed"), [(3, 0), (5, 1)])
def test_nobody_goes_on_by_promises_of_those_who_forgot(controllers: int, seed: int) -> None:
    """Before, the first leader led on until a machine that knew better reached it."""
    result, _ = play_replaced(controllers, seed)
    met = {met.kind: met for met in result.met}
    assert met.keys() == {"controllers_end", "store_down", "machines_cut"}
    # Its successor had won before the outage, and nobody after it until that was over.
    assert met["store_down"].leader != met["store_down"].former
    assert result.counts["terms"] == 3
    assert not result.broken, result.details
