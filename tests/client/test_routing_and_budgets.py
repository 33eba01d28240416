"""Whom to ask, when to come back, how often: routing, endpoints, budgets, pauses."""

import random

from hypothesis import given
from hypothesis import strategies as st

from weldhead.client.budget import RetryBudget
from weldhead.client.decisions import (
    POLL_US,
    POLLS_PER_S,
    RETRY_MOST_US,
    RETRY_US,
    FailedCall,
    poll_pause_us,
    retry_pause_us,
)
from weldhead.client.endpoints import Endpoints
from weldhead.clock import SECOND_US
from weldhead.site.backoff import Backoff
from weldhead.site.routing import Backend, Balancer


def probe(backend: Backend, text: str, start_s: int) -> bool:
    """Probe once a second; returns whether the controller is healthy after that."""
    for second, mark in enumerate(text):
        backend.record_probe(mark == "+", (start_s + second) * SECOND_US)
    return backend.healthy


def test_a_controller_is_healthy_as_the_protocol_says() -> None:
    backend = Backend("c", "x")
    assert not probe(backend, "---", 0)
    assert probe(backend, "+", 3)
    assert probe(backend, "-+-+", 4)
    assert not probe(backend, "-", 8), "three among the last six"
    assert not probe(backend, "++", 9), "not before 3 s have passed"
    assert probe(backend, "+", 11)
    assert not probe(backend, "--", 12)
    assert not probe(backend, "+++++", 14), "the pause doubles with each removal"
    assert probe(backend, "+", 19)


def test_requests_go_to_whoever_is_healthy_and_least_busy() -> None:
    a, b, c = (Backend(name, name, healthy=True, was_healthy=True) for name in "abc")
    balancer = Balancer([a, b, c])
    a.in_flight, b.in_flight = 2, 1
    assert balancer.choose(0) is c
    for _ in range(3):
        c.record_connection(False, 0)
    assert balancer.choose(0) is b
    assert balancer.choose(0, ["b"]) is a
    assert balancer.choose(3 * SECOND_US) is c
    a.healthy = b.healthy = c.healthy = False
    assert balancer.choose(0) is None
    assert not balancer.is_ready


def test_backoff_doubles_and_forgets_after_a_calm_life() -> None:
    backoff = Backoff(first_pause_us=100, max_pause_us=500, reset_after_us=1000)
    assert [backoff.next_pause_us(10) for _ in range(5)] == [100, 200, 400, 500, 500]
    assert backoff.next_pause_us(1000) == 100


def test_dead_addresses_are_tried_last_and_found_again() -> None:
    endpoints = Endpoints(["a", "b", "c", "d"])
    for dead in "ab":
        endpoints.missed(dead, 0)
    for _ in range(8):
        order = endpoints.order(0)
        assert set(order[:2]) == {"c", "d"}
        assert set(order) == {"a", "b", "c", "d"}
    # After its rest an address has its turn again; once it answers it is as good as any.
    firsts = {endpoints.order(2 * SECOND_US)[0] for _ in range(4)}
    assert firsts == {"a", "b", "c", "d"}
    endpoints.missed("a", 2 * SECOND_US)
    endpoints.reached("a")
    assert {endpoints.order(2 * SECOND_US)[0] for _ in range(4)} == {"a", "b", "c", "d"}


def test_a_crowd_in_an_outage_sends_what_the_budget_allows() -> None:
    budget = RetryBudget(rate=5.0, burst=50.0)
    sent = 0
    # A thousand submissions that each want a retry every second, for a minute.
    for step in range(60 * 1000):
        sent += budget.take(step * SECOND_US // 1000) == 0
    assert 50 + 5 * 58 <= sent <= 50 + 5 * 61
    for _ in range(200):
        budget.answered()
    assert all(budget.take(60 * SECOND_US) == 0 for _ in range(50))
    assert budget.take(60 * SECOND_US) > 0


@given(
    failures=st.integers(1, 50),
    asked_s=st.integers(0, 100),
    seed=st.integers(0, 100),
)
def test_retries_wait_as_long_as_was_asked_and_do_not_come_back_together(
    failures: int, asked_s: int, seed: int
) -> None:
    reply = FailedCall("503", retry_after_us=asked_s * SECOND_US)
    pause = retry_pause_us(failures, reply, random.Random(seed))
    assert pause >= max(RETRY_US, min(asked_s * SECOND_US, RETRY_MOST_US))
    assert pause <= 2 * RETRY_MOST_US
    many = {retry_pause_us(failures, reply, random.Random(other)) for other in range(20)}
    assert len(many) > 10


def test_polls_come_soon_at_first_and_a_crowd_does_not_ask_more_than_its_share() -> None:
    chance = random.Random(1)
    assert poll_pause_us(0, 1, chance) < SECOND_US // 5
    assert 3 * SECOND_US < poll_pause_us(30, 1, chance) <= POLL_US
    pauses = [poll_pause_us(30, 20_000, chance) for _ in range(1000)]
    mean_s = sum(pauses) / len(pauses) / SECOND_US
    assert 20_000 / mean_s < 1.3 * POLLS_PER_S
