"""Where two troubles meet: each meeting is brought about, and no rule breaks.

Which seeds show what depends on the order of sets of names too: `make test` fixes the hash.
"""

import pytest

from tests.support.meet_scenarios import play_meeting

#: What has to come about in each run of the scenarios: an event, and what it brings on.
MEETINGS: dict[str, list[str]] = {
    "meet-hand-over-and-back": [
        "term_won: controllers_end",
        "term_loaded: controllers_end",
        "run_sent: controllers_end",
        "term_won: store_refuses",
    ],
    "meet-unheard-machines": [
        "term_won: machines_cut",
        "next leader: machines_deaf",
        "term_ready: controllers_end",
    ],
    "meet-lone-leader": ["confirmed: controllers_alone", "confirmed: controllers_freeze"],
    "meet-late-writes": [
        "write_given_up: controllers_end",
        "write_given_up: store_refuses",
        "write_sent: controllers_end",
        "term_won: store_late_writes",
    ],
    "meet-old-reports": [
        "term_loaded: machines_restart",
        "forget_sent: controllers_end",
        "term_won: machines_cut",
        "kill_sent: controllers_end",
    ],
    "meet-held-commands": [
        "run_sent: machines_hang",
        "run_sent: machines_cut",
        "kill_sent: machines_hang",
        "kill_sent: machines_cut",
        "forget_sent: machines_hang",
        "forget_sent: machines_cut",
        "run_sent: controllers_end",
        "first_run_sent: machines_hang",
    ],
    "meet-uneven-ends": [
        "write_sent: controllers_end",
        "forget_sent: controllers_end",
        "write_sent: store_refuses",
        "first_run_started: controllers_end",
    ],
    "meet-slow-store": ["confirmed: store_refuses"],
}


#: The seed that each is played with; another where that one does not bring the meeting about.
SEED = 3


OTHER_SEEDS = {("meet-late-writes", 3): 1, ("meet-old-reports", 5): 0}


@pytest.mark.parametrize("controllers", [3, 5])
@pytest.mark.parametrize("name", sorted(MEETINGS))
def test_a_meeting_of_troubles(name: str, controllers: int) -> None:
    result = play_meeting(name, controllers, OTHER_SEEDS.get((name, controllers), SEED))
    met = {f"{met.event or 'next leader'}: {met.kind}" for met in result.met}
    assert met >= set(MEETINGS[name])
    assert not result.broken, result.details
    assert bool(result.counts["late writes"]) == (name in ("meet-late-writes", "meet-uneven-ends"))


@pytest.mark.parametrize(("controllers", "seed"), [(3, 0), (5, 3)])
def test_a_cancellation_that_was_confirmed_elsewhere(controllers: int, seed: int) -> None:
    result = play_meeting("meet-confirmed-elsewhere", controllers, seed)
    confirmed = next(met for met in result.met if met.event == "confirmed")
    outage = next(met for met in result.met if met.kind == "store_down")
    # By another than who led at first, before the store was down; then another term came.
    assert confirmed.controller not in ("", confirmed.former)
    assert confirmed.leader != confirmed.former
    assert confirmed.at_s < outage.at_s
    assert not result.broken, result.details


@pytest.mark.parametrize(("controllers", "seed"), [(3, 7), (5, 2)])
def test_a_cancellation_in_doubt_that_a_follower_tells(controllers: int, seed: int) -> None:
    result = play_meeting("meet-cancelled-in-doubt", controllers, seed)
    cut = next(met for met in result.met if met.event == "write_sent")
    confirmed = next(met for met in result.met if met.event == "confirmed")
    # Told by one that does not lead, while who wrote it was cut off; it leads on.
    assert confirmed.controller not in ("", confirmed.leader)
    assert confirmed.leader == cut.leader
    assert cut.at_s < confirmed.at_s < cut.at_s + 2.0
    assert not result.broken, result.details
