"""Playing a scenario until its meeting comes about."""

from tests.support.paths import ROOT
from weldhead.emulator.experiment import Result, play
from weldhead.emulator.scenario import read_scenario

SCENARIOS = ROOT / "deploy" / "scenarios"


def play_meeting(name: str, controllers: int, seed: int) -> Result:
    site = read_scenario(SCENARIOS / f"{name}.toml")
    site.controllers = controllers
    return play(site, seed)
