"""Which reports a follower relays."""

from weldhead.controller.workers.heartbeat_forwarding import RELAY_US, HeartbeatForwarding

S = 1_000_000


def test_a_worker_is_first_sent_to_the_leader() -> None:
    assert not HeartbeatForwarding().wanted("vm-1", 5 * S)


def test_a_worker_that_comes_back_is_relayed_for_a_while() -> None:
    relays = HeartbeatForwarding()
    relays.redirected("vm-1", 0)
    assert relays.wanted("vm-1", 6 * S)
    assert relays.wanted("vm-1", 6 * S + RELAY_US - 1)
    assert not relays.wanted("vm-1", 6 * S + RELAY_US)
    assert not relays.wanted("vm-2", 6 * S)


def test_a_worker_that_comes_much_later_is_not() -> None:
    relays = HeartbeatForwarding()
    relays.redirected("vm-1", 0)
    assert not relays.wanted("vm-1", 60 * S)


def test_a_worker_that_the_leader_misses_is_relayed_at_once() -> None:
    relays = HeartbeatForwarding()
    relays.leader_misses(("vm-1",), 0)
    assert relays.wanted("vm-1", S)
    assert not relays.wanted("vm-2", S)
    relays.leader_misses((), 2 * S)
    assert not relays.wanted("vm-3", 2 * S)
