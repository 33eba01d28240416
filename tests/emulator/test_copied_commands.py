"""Direct commands that were carried out and answered arrive at their machines once more."""

import pytest

from tests.support.meet_scenarios import play_meeting

#: What the copies follow in each run.
EVENTS = (
    "confirmed",
    "controller_back",
    "job_ended",
    "machine_back",
    "task_moved",
    "task_stopped",
    "term_won",
)


@pytest.mark.parametrize(("controllers", "seed"), [(3, 1), (5, 1)])
def test_copied_start_command_runs_no_attempt_again(controllers: int, seed: int) -> None:
    result = play_meeting("meet-copied-commands", controllers, seed)
    assert {met.event for met in result.met if met.kind == "commands_copied"} == {*EVENTS}
    assert result.counts["copied commands"] > 0
    assert not result.broken, result.details
