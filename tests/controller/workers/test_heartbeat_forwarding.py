"""Which workers' heartbeats a follower relays to the leader."""

from weldhead.controller.workers.heartbeat_forwarding import RELAY_DURATION_US, HeartbeatForwarding

S = 1_000_000


def test_new_worker_is_redirected_to_the_leader() -> None:
    assert not HeartbeatForwarding().should_forward("vm-1", 5 * S)


def test_worker_returning_early_is_relayed_for_a_while() -> None:
    forwarding = HeartbeatForwarding()
    forwarding.record_redirect("vm-1", 0)
    assert forwarding.should_forward("vm-1", 6 * S)
    assert forwarding.should_forward("vm-1", 6 * S + RELAY_DURATION_US - 1)
    assert not forwarding.should_forward("vm-1", 6 * S + RELAY_DURATION_US)
    assert not forwarding.should_forward("vm-2", 6 * S)


def test_worker_returning_late_is_redirected_again() -> None:
    forwarding = HeartbeatForwarding()
    forwarding.record_redirect("vm-1", 0)
    assert not forwarding.should_forward("vm-1", 60 * S)


def test_worker_that_the_leader_misses_is_relayed_at_once() -> None:
    forwarding = HeartbeatForwarding()
    forwarding.record_silent_machines(("vm-1",), 0)
    assert forwarding.should_forward("vm-1", S)
    assert not forwarding.should_forward("vm-2", S)
    forwarding.record_silent_machines((), 2 * S)
    assert not forwarding.should_forward("vm-3", 2 * S)
