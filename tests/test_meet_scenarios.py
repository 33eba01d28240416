"""Where two troubles meet: each meeting is brought about, and no rule breaks.

Which seeds show what depends on the order of sets of names too: `make test` fixes the hash.
"""

from pathlib import Path

import pytest

from weldhead.emulator.experiment import Result, play
from weldhead.emulator.scenario import Event, Kind, read_scenario

SCENARIOS = Path(__file__).parents[1] / "deploy" / "scenarios"


def play_meeting(name: str, controllers: int, seed: int) -> Result:
    site = read_scenario(SCENARIOS / f"{name}.toml")
    site.controllers = controllers
    return play(site, seed)


def came_about(result: Result, *faults: tuple[Kind, Event | None]) -> bool:
    """Whether each of these faults, tied to that event or to who leads next, befell somebody."""
    return set(faults) <= {(met.kind, met.event) for met in result.met}


@pytest.mark.parametrize(("controllers", "seed"), [(3, 0), (3, 1), (5, 2), (5, 3)])
def test_a_cancellation_that_was_confirmed_elsewhere(controllers: int, seed: int) -> None:
    result = play_meeting("meet-confirmed-elsewhere", controllers, seed)
    confirmed = next(met for met in result.met if met.event == "confirmed")
    outage = next(met for met in result.met if met.kind == "store_down")
    # By another than who led at first, before the store was down, and another term came.
    assert confirmed.controller not in ("", confirmed.former)
    assert confirmed.at_s < outage.at_s
    assert not result.broken, result.details
