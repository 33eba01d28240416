"""Meetings of troubles of users, leaders and the network: each comes about, and no rule breaks."""

import pytest

from tests.support.meet_scenarios import play_meeting
from weldhead.emulator.experiment import Result


def _crowded(result: Result) -> bool:
    """Work was stopped to make room, and the leader ended as it told a machine so."""
    ended = any(met.kind == "controllers_end" for met in result.met)
    return ended and result.counts["stopped"] >= 10 and result.counts["terms"] >= 3


def _mute(result: Result) -> bool:
    """Machines were mute before a leader ended and as the next one began."""
    events = {met.event for met in result.met}
    return events == {"term_won", "run_sent"} and result.counts["cancelled now"] == 3


def _last_task(result: Result) -> bool:
    """Cancellations and questions came at ends, and there was no other trouble."""
    counts = result.counts
    asked = counts["cancelled at the end"] >= 20 and counts["close looks"] >= 500
    return asked and counts["terms"] == 1


def _refused_then_down(result: Result) -> bool:
    """All that was to be cancelled was, on both occasions; another leads after each."""
    return result.counts["cancelled now"] == 12 and result.counts["terms"] >= 3


def _ten_leaders(result: Result) -> bool:
    return result.counts["terms"] > 10


MEETINGS = {
    "meet-crowded-slow-links": _crowded,
    "meet-mute-machines": _mute,
    "meet-last-task": _last_task,
    "meet-cancelled-as-refused": _refused_then_down,
    "meet-ten-leaders": _ten_leaders,
}


@pytest.mark.parametrize(("controllers", "seed"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("name", sorted(MEETINGS))
def test_a_meeting_of_users_and_leaders(name: str, controllers: int, seed: int) -> None:
    result = play_meeting(name, controllers, seed)
    assert MEETINGS[name](result), result.counts
    assert not result.broken, result.details
