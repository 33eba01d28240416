"""Which submissions are taken when more come than the store can hold, and who waits how long."""

from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhead.admission.fair_rate_limiter import GIVEN_UP_US, FairRateLimiter
from weldhead.admission.team_rate_limiter import (
    ACTIVE_US,
    LEAST_WAIT_S,
    MOST_WAIT_S,
    TeamRateLimiter,
    round_robin,
)
from weldhead.clock import MILLISECOND_US
from weldhead.clock import SECOND_US as S
from weldhead.transport.token_bucket import TokenBucket

RATE, BURST = 10.0, 8.0
ARRIVALS = st.lists(st.tuples(st.integers(0, 400_000), st.sampled_from("abc")), max_size=200)


@given(ARRIVALS)
def test_no_more_is_taken_than_there_is_and_whoever_waits_is_told_for_how_long(
    arrivals: list[tuple[int, str]],
) -> None:
    shares, at_us, taken = TeamRateLimiter(BURST), 1, 0
    for pause_us, team in arrivals:
        at_us += pause_us
        wait_s = shares.admit(team, RATE, at_us)
        taken += not wait_s
        assert wait_s == 0 or LEAST_WAIT_S <= wait_s <= MOST_WAIT_S
        assert taken <= BURST + RATE * at_us / S + 1


@given(st.integers(1, 40), st.integers(4, 20))
def test_a_flood_of_one_team_keeps_nobody_else_waiting(flood: int, every: int) -> None:
    """A guest's single tasks, forty a second, had other teams' jobs wait for 47 s."""
    shares, refused = TeamRateLimiter(BURST), 0
    for step in range(400):
        at_us = 1 + step * 100 * MILLISECOND_US
        for _ in range(flood):
            refused += bool(shares.admit("guest", RATE, at_us))
        if step % every == every - 1:
            assert shares.admit("red", RATE, at_us) == 0
    # The rest is the flood's: 10 a second for 40 s, less what the others took.
    assert refused <= max(0, flood * 400 - (400 - 400 // every) + BURST)


def test_what_was_taken_long_ago_is_not_kept() -> None:
    shares = TeamRateLimiter(BURST)
    for second in range(1, 200):
        assert shares.admit("red", RATE, second * S) == 0
    assert len(shares._taken) <= ACTIVE_US // S + 1


def test_who_is_told_that_a_rate_is_used_up_slows_down_and_recovers() -> None:
    budget = TokenBucket(20.0, 8.0)
    budget.back_off()
    budget.back_off()
    assert 20.0 * 4 / 9 <= budget.rate < 20.0 * 4 / 9 + 0.1
    for _ in range(20):
        budget.back_off()
    assert 2.0 <= budget.rate < 2.1
    at_us = budget.last_refill_us + 30 * S
    assert budget.try_take(1.0, at_us)
    assert budget.rate == 20.0


@given(st.lists(st.sampled_from("abc"), max_size=60))
def test_turns_keep_everybodys_order_and_let_nobody_wait_for_anothers_second(
    owners: list[str],
) -> None:
    numbered = list(enumerate(owners))
    turns = round_robin(numbered, lambda item: item[1])
    assert sorted(turns) == numbered
    for owner in "abc":
        assert [i for i in turns if i[1] == owner] == [i for i in numbered if i[1] == owner]
        before = turns.index(min(i for i in numbered if i[1] == owner)) if owner in owners else 0
        assert before < 3


@pytest.mark.parametrize("jobs", [60, 200, 300])
def test_nobody_who_asks_is_forgotten(jobs: int) -> None:
    """Nine answers a second, and up to 60 jobs asked about a second: chance forgot some."""
    turns, chance = FairRateLimiter(18.0, 36.0, 1), Random(jobs)
    answered_us = dict.fromkeys(range(jobs), 1)
    asks = [(chance.randrange(1, 5 * S), job) for job in answered_us]
    longest_us = 0
    while asks:
        at_us, job = heappop(asks)
        if turns.take(str(job), 2.0, at_us):
            turns.answered(str(job))
            longest_us = max(longest_us, at_us - answered_us[job])
            answered_us[job] = at_us
        if at_us < 200 * S:
            heappush(asks, (at_us + chance.randrange(4 * S, 6 * S), job))
    assert longest_us < 65 * S
    assert min(answered_us.values()) > 140 * S


def test_what_is_remembered_of_those_who_wait_is_bounded() -> None:
    turns = FairRateLimiter(1.0, 2.0, 1, most=3)
    for name in "abcd":
        turns.failed(name, S)
    assert turns.waited_us("a", 11 * S) == 10 * S
    assert turns.waited_us("d", 11 * S) == 0
    turns.failed("a", 11 * S)
    # Who has given up makes room, and waits anew when asking again.
    turns.failed("d", S + GIVEN_UP_US + 1)
    assert turns.waited_us("b", S + GIVEN_UP_US + 1) == 0
    assert turns.waited_us("d", 2 * S + GIVEN_UP_US) > 0
    assert turns.waited_us("a", 12 * S) == 11 * S


def test_what_an_answer_costs_besides_is_waited_for_by_others() -> None:
    turns = FairRateLimiter(10.0, 20.0, 1)
    assert turns.take("long", 8.0, 1)
    turns.charge(500.0, 1)
    assert not turns.take("other", 1.0, 1 + 2 * S)
    assert turns.take("other", 1.0, 1 + 4 * S)
