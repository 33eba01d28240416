"""Rate limits: submissions by team, polls by job, and the client's own token bucket.

They guard against single teams or jobs that wait without bound while others use the whole rate.
"""

from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhead.admission.fair_rate_limiter import WAIT_EXPIRY_US, FairRateLimiter
from weldhead.admission.team_rate_limiter import (
    ACTIVE_TEAM_WINDOW_US,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    TeamRateLimiter,
    round_robin,
)
from weldhead.clock import MILLISECOND_US
from weldhead.clock import SECOND_US as S
from weldhead.transport.token_bucket import TokenBucket

RATE, BURST = 10.0, 8.0
ARRIVALS = st.lists(st.tuples(st.integers(0, 400_000), st.sampled_from("abc")), max_size=200)


# The limiter admits no more than the rate, and a refused submission gets a bounded retry delay.
@given(ARRIVALS)
def test_no_more_is_taken_than_there_is_and_whoever_waits_is_told_for_how_long(
    arrivals: list[tuple[int, str]],
) -> None:
    shares, at_us, taken = TeamRateLimiter(BURST), 1, 0
    for pause_us, team in arrivals:
        at_us += pause_us
        wait_s = shares.admit(team, RATE, at_us)
        taken += not wait_s
        assert wait_s == 0 or MIN_RETRY_AFTER_S <= wait_s <= MAX_RETRY_AFTER_S
        assert taken <= BURST + RATE * at_us / S + 1


@given(st.integers(1, 40), st.integers(4, 20))
def test_a_flood_of_one_team_keeps_nobody_else_waiting(flood: int, every: int) -> None:
    """Forty submissions per second of one team delayed the jobs of other teams by 47 s."""
    shares, refused = TeamRateLimiter(BURST), 0
    for step in range(400):
        at_us = 1 + step * 100 * MILLISECOND_US
        for _ in range(flood):
            refused += bool(shares.admit("guest", RATE, at_us))
        if step % every == every - 1:
            assert shares.admit("red", RATE, at_us) == 0
    # The flooding team gets the rest of the rate: 10 per second for 40 s, less the other team's.
    assert refused <= max(0, flood * 400 - (400 - 400 // every) + BURST)


def test_expired_admission_times_are_removed() -> None:
    """Without refusals, the time of each submission ever admitted stayed in memory."""
    limiter = TeamRateLimiter(BURST)
    for second in range(1, 200):
        assert limiter.admit("red", RATE, second * S) == 0
    assert len(limiter._admitted_us) <= ACTIVE_TEAM_WINDOW_US // S + 1


def test_token_bucket_lowers_rate_after_refusals_and_recovers() -> None:
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


# Round robin keeps each owner's order, and an owner's first item comes after at most two others.
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
def test_every_polled_job_is_answered_within_bounded_time(jobs: int) -> None:
    """With nine answers and up to 60 polls per second, chance left some jobs unanswered."""
    limiter, generator = FairRateLimiter(18.0, 36.0, 1), Random(jobs)
    answered_us = dict.fromkeys(range(jobs), 1)
    polls = [(generator.randrange(1, 5 * S), job) for job in answered_us]
    longest_us = 0
    while polls:
        at_us, job = heappop(polls)
        if limiter.take(str(job), 2.0, at_us):
            limiter.record_answer(str(job))
            longest_us = max(longest_us, at_us - answered_us[job])
            answered_us[job] = at_us
        if at_us < 200 * S:
            heappush(polls, (at_us + generator.randrange(4 * S, 6 * S), job))
    assert longest_us < 65 * S
    assert min(answered_us.values()) > 140 * S


def test_number_of_remembered_waiting_jobs_is_bounded() -> None:
    limiter = FairRateLimiter(1.0, 2.0, 1, max_waiting=3)
    for name in "abcd":
        limiter.record_failure(name, S)
    assert limiter.waited_us("a", 11 * S) == 10 * S
    assert limiter.waited_us("d", 11 * S) == 0
    limiter.record_failure("a", 11 * S)
    # Jobs that are no longer polled make room; their waiting time starts again with a new poll.
    limiter.record_failure("d", S + WAIT_EXPIRY_US + 1)
    assert limiter.waited_us("b", S + WAIT_EXPIRY_US + 1) == 0
    assert limiter.waited_us("d", 2 * S + WAIT_EXPIRY_US) > 0
    assert limiter.waited_us("a", 12 * S) == 11 * S


def test_charged_cost_delays_later_polls() -> None:
    limiter = FairRateLimiter(10.0, 20.0, 1)
    assert limiter.take("long", 8.0, 1)
    limiter.charge(500.0, 1)
    assert not limiter.take("other", 1.0, 1 + 2 * S)
    assert limiter.take("other", 1.0, 1 + 4 * S)
