"""Faults drawn at random, and the reduction of what breaks a rule to what it needs."""

from collections import Counter

import msgspec
import pytest

from tests.support.paths import ROOT
from weldhead.emulator.combinations import combined
from weldhead.emulator.experiment import Result, play
from weldhead.emulator.injected_bugs import injected_bug
from weldhead.emulator.reduction import Reduction, first_found
from weldhead.emulator.scenario import Fault, Scenario, parse_scenario, read_scenario
from weldhead.emulator.scenario_file import scenario_text

SCENARIOS = ROOT / "deploy" / "scenarios"


def site() -> Scenario:
    return read_scenario(SCENARIOS / "combined.toml")


@pytest.mark.parametrize(("count", "controllers"), [(2, 3), (3, 5)])
def test_drawn_faults_are_a_scenario_like_any_other(count: int, controllers: int) -> None:
    base = msgspec.structs.replace(site(), controllers=controllers)
    kinds = set()
    for seed in range(200):
        drawn = combined(base, seed, count)
        assert drawn == combined(base, seed, count)
        assert len(drawn.faults) == count
        # It is valid, and written and read it is the same.
        assert parse_scenario("s.toml", scenario_text(drawn, "why\nand how")) == drawn
        kinds |= {fault.kind for fault in drawn.faults}
    assert len(kinds) == 29


@pytest.mark.parametrize("name", ["drawn", "cards", "meet-held-commands"])
def test_a_written_scenario_is_read_as_it_was(name: str) -> None:
    before = read_scenario(SCENARIOS / f"{name}.toml")
    assert parse_scenario("s.toml", scenario_text(before)) == before


def short() -> Scenario:
    return msgspec.structs.replace(site(), seconds=45.0, jobs=site().jobs[:2])


def test_what_breaks_a_rule_is_found() -> None:
    with injected_bug("does-not-wait"):
        results = (play(combined(short(), seed, 3), seed) for seed in range(8))
        assert any(result.broken for result in results)


def test_what_breaks_a_rule_is_reduced() -> None:
    """New leaders that do not wait: of three faults the one that brings a new leader is left."""
    end = Fault("controllers_end", at_s=25.0, role="leader", back_s=5.0)
    others = [Fault("users_odd", at_s=20.0), Fault("boots_late", at_s=20.0)]
    scenario = msgspec.structs.replace(short(), faults=[others[0], end, others[1]])
    with injected_bug("does-not-wait"):
        found = Reduction(first_found(scenario, play(scenario, 0)), seeds=2).reduce()
        assert found.scenario.faults == [end]
        assert len(found.scenario.jobs) == 1
        assert found.scenario.seconds < scenario.seconds
        again = parse_scenario("s.toml", scenario_text(found.scenario))
        assert found.rule in play(again, found.seed).broken
    # Without the error it breaks nothing.
    assert not play(found.scenario, found.seed).broken


def test_a_reduction_ends_with_its_runs() -> None:
    scenario = msgspec.structs.replace(site(), faults=[Fault("store_down", at_s=20.0)])
    details = ["1010.000 s: ran_twice: run-000001/0", "1012.000 s: went_back: run-000002"]
    result = Result("combined", 0, Counter("ab"), details, Counter(), "")
    reduction = Reduction(first_found(scenario, result), most_runs=0)
    found = reduction.reduce()
    assert (found.scenario, found.rule, found.broken_s) == (scenario, "ran_twice", 10.0)
