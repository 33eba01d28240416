"""Tests of routing, endpoint order, retry budgets, and pauses between retries and polls."""

import random

from hypothesis import given
from hypothesis import strategies as st

from weldhead.client.budget import RetryBudget
from weldhead.client.decisions import (
    MAX_POLL_PAUSE_US,
    MAX_POLLS_PER_S,
    MAX_RETRY_PAUSE_US,
    MIN_RETRY_PAUSE_US,
    FailedCall,
    poll_pause_us,
    retry_pause_us,
)
from weldhead.client.endpoints import Endpoints
from weldhead.clock import SECOND_US
from weldhead.site.backoff import Backoff
from weldhead.site.routing import Backend, Balancer


def probe(backend: Backend, text: str, start_s: int) -> bool:
    """Report one probe a second (``+`` is a success); return whether the backend is healthy."""
    for second, mark in enumerate(text):
        backend.record_probe(mark == "+", (start_s + second) * SECOND_US)
    return backend.healthy


def test_backend_health_follows_the_probe_rules() -> None:
    backend = Backend("c", "x")
    assert not probe(backend, "---", 0)
    assert probe(backend, "+", 3)
    assert probe(backend, "-+-+", 4)
    assert not probe(backend, "-", 8), "three failures among the last six probes"
    assert not probe(backend, "++", 9), "a backend stays removed for at least 3 s"
    assert probe(backend, "+", 11)
    assert not probe(backend, "--", 12)
    assert not probe(backend, "+++++", 14), "the pause doubles with each removal"
    assert probe(backend, "+", 19)


def test_requests_go_to_the_least_busy_healthy_backend() -> None:
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


def test_backoff_doubles_and_resets_after_a_calm_period() -> None:
    backoff = Backoff(first_pause_us=100, max_pause_us=500, reset_after_us=1000)
    assert [backoff.next_pause_us(10) for _ in range(5)] == [100, 200, 400, 500, 500]
    assert backoff.next_pause_us(1000) == 100


def test_failed_addresses_come_last_until_their_rest_ends() -> None:
    endpoints = Endpoints(["a", "b", "c", "d"])
    for dead in "ab":
        endpoints.record_failure(dead, 0)
    for _ in range(8):
        order = endpoints.ordered_addresses(0)
        assert set(order[:2]) == {"c", "d"}
        assert set(order) == {"a", "b", "c", "d"}
    # After its rest an address is tried in turn again, and an answer ends its rest.
    firsts = {endpoints.ordered_addresses(2 * SECOND_US)[0] for _ in range(4)}
    assert firsts == {"a", "b", "c", "d"}
    endpoints.record_failure("a", 2 * SECOND_US)
    endpoints.record_success("a")
    assert {endpoints.ordered_addresses(2 * SECOND_US)[0] for _ in range(4)} == {"a", "b", "c", "d"}


def test_retry_budget_bounds_retries_in_an_outage() -> None:
    budget = RetryBudget(retries_per_s=5.0, burst=50.0)
    sent = 0
    # A thousand submissions that each ask for a retry every second, for a minute.
    for step in range(60 * 1000):
        sent += budget.take_retry(step * SECOND_US // 1000) == 0
    assert 50 + 5 * 58 <= sent <= 50 + 5 * 61
    for _ in range(200):
        budget.record_answer()
    assert all(budget.take_retry(60 * SECOND_US) == 0 for _ in range(50))
    assert budget.take_retry(60 * SECOND_US) > 0


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
    assert pause >= max(MIN_RETRY_PAUSE_US, min(asked_s * SECOND_US, MAX_RETRY_PAUSE_US))
    assert pause <= 2 * MAX_RETRY_PAUSE_US
    many = {retry_pause_us(failures, reply, random.Random(other)) for other in range(20)}
    assert len(many) > 10


def test_polls_start_fast_and_respect_the_total_poll_rate() -> None:
    rng = random.Random(1)
    assert poll_pause_us(0, 1, rng) < SECOND_US // 5
    assert 3 * SECOND_US < poll_pause_us(30, 1, rng) <= MAX_POLL_PAUSE_US
    pauses = [poll_pause_us(30, 20_000, rng) for _ in range(1000)]
    mean_s = sum(pauses) / len(pauses) / SECOND_US
    assert 20_000 / mean_s < 1.3 * MAX_POLLS_PER_S
