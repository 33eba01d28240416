"""Which reports a follower relays."""

from weldhead.controller.workers.heartbeat_forwarding import RELAY_DURATION_US, HeartbeatForwarding

S = 1_000_000


def test_a_worker_is_first_sent_to_the_leader() -> None:
    assert not HeartbeatForwarding().should_forward("vm-1", 5 * S)


def test_a_worker_that_comes_back_is_relayed_for_a_while() -> None:
    relays = HeartbeatForwarding()
    relays.record_redirect("vm-1", 0)
    assert relays.should_forward("vm-1", 6 * S)
    assert relays.should_forward("vm-1", 6 * S + RELAY_DURATION_US - 1)
    assert not relays.should_forward("vm-1", 6 * S + RELAY_DURATION_US)
    assert not relays.should_forward("vm-2", 6 * S)


def test_a_worker_that_comes_much_later_is_not() -> None:
    relays = HeartbeatForwarding()
    relays.record_redirect("vm-1", 0)
    assert not relays.should_forward("vm-1", 60 * S)


def test_a_worker_that_the_leader_misses_is_relayed_at_once() -> None:
    relays = HeartbeatForwarding()
    relays.record_silent_machines(("vm-1",), 0)
    assert relays.should_forward("vm-1", S)
    assert not relays.should_forward("vm-2", S)
    relays.record_silent_machines((), 2 * S)
    assert not relays.should_forward("vm-3", 2 * S)
