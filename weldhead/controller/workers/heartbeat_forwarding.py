"""Decides which workers' heartbeats a follower forwards to the leader. No I/O.

Normally a follower redirects workers to the leader. A worker that cannot reach the leader, because
a zone is cut off or the leader has lost the workers' network, would lose its lease and all its
tasks. Its heartbeats are relayed instead: any node may answer with the leader's token.
"""

from weldhead.clock import SECOND_US

#: A worker that returns this soon after a redirect did not reach the leader.
REDIRECT_RETURN_WINDOW_US = 9 * SECOND_US
#: How long a worker's heartbeats are relayed before it is redirected again.
RELAY_DURATION_US = 30 * SECOND_US
#: Above this number of remembered workers, those whose entries have expired are forgotten.
MAX_REMEMBERED_REDIRECTS = 4_096


class HeartbeatForwarding:
    """Remembers which workers were redirected, and whose heartbeats the leader misses."""

    def __init__(self) -> None:
        self._redirected_us: dict[str, int] = {}
        self._relayed_until_us: dict[str, int] = {}
        self._silent: frozenset[str] = frozenset()
        self._silent_reported_us = 0

    def record_silent_machines(self, names: tuple[str, ...], at_us: int) -> None:
        """Record the machines from which the leader says it receives no heartbeats."""
        self._silent = frozenset(names)
        self._silent_reported_us = at_us

    def record_redirect(self, name: str, at_us: int) -> None:
        """Record that a worker was redirected to the leader."""
        self._redirected_us[name] = at_us
        if len(self._redirected_us) > MAX_REMEMBERED_REDIRECTS:
            # Machines come and go: a worker that never returned would be remembered for ever.
            self._redirected_us = {
                name: redirected_us
                for name, redirected_us in self._redirected_us.items()
                if at_us - redirected_us < REDIRECT_RETURN_WINDOW_US
            }
            self._relayed_until_us = {
                name: relayed_until_us
                for name, relayed_until_us in self._relayed_until_us.items()
                if relayed_until_us > at_us
            }

    def should_forward(self, name: str, at_us: int) -> bool:
        """Whether to forward a worker's heartbeat instead of redirecting the worker."""
        if self._relayed_until_us.get(name, 0) > at_us:
            return True
        self._relayed_until_us.pop(name, None)
        redirected_us = self._redirected_us.pop(name, None)
        returned_early = (
            redirected_us is not None and at_us - redirected_us < REDIRECT_RETURN_WINDOW_US
        )
        is_silent = name in self._silent and at_us - self._silent_reported_us < 2 * SECOND_US
        if not returned_early and not is_silent:
            return False
        self._relayed_until_us[name] = at_us + RELAY_DURATION_US
        return True
