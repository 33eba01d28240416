"""New machines get work at once while the writes of their records lag, and the leader ends.

Whatever is sent to a machine, its record says by then that something may run there.
"""

import pytest

from tests.support.paths import ROOT
from weldhead.emulator.experiment import play_observed
from weldhead.emulator.injected_bugs import injected_bug
from weldhead.emulator.rental_records import RentalRecordObserver
from weldhead.emulator.scenario import read_scenario

SCENARIO = ROOT / "deploy" / "scenarios" / "meet-new-machines.toml"
#: What has to come about: events, and what they bring on.
MET = {
    "write_given_up: controllers_end",
    "write_sent: controllers_end",
    "first_run_sent: controllers_end",
}
#: Within so many runs.
MOST_SEEDS = 4


def played(controllers: int, seed: int) -> RentalRecordObserver:
    site = read_scenario(SCENARIO)
    site.controllers = controllers
    return play_observed(site, seed, RentalRecordObserver)


@pytest.mark.parametrize("controllers", [3, 5])
def test_a_machine_is_on_record_before_anything_is_sent_to_it(controllers: int) -> None:
    met: set[str] = set()
    for seed in range(MOST_SEEDS):
        records = played(controllers, seed)
        experiment = records.experiment
        assert not records.unrecorded
        assert not experiment.checker.broken, experiment.checker.details
        assert experiment.store.late_writes > 2 and len(records.at_once) > 5
        met |= {f"{m.event}: {m.kind}" for m in experiment.faults.met}
        # A leader ended whose mark of a machine was not answered, and another went on there.
        if records.taken_over and met >= MET:
            return
    raise AssertionError(f"it has not come about: {met}")


def test_work_on_an_unrecorded_machine_is_seen() -> None:
    with injected_bug("work-on-an-unrecorded-machine"):
        assert played(3, 0).unrecorded
