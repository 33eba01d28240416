"""Which workers' reports a follower passes on to the leader. No I/O.

Normally a follower sends workers to the leader. A worker that cannot reach it, because a
zone is cut off or the leader has lost the workers' network, would lose its lease and all
its tasks; its reports are relayed instead, as any node may answer with the leader's token.
"""

from weldhead.clock import SECOND_US

#: A worker that is back so soon after it was sent to the leader did not reach it.
CAME_BACK_US = 9 * SECOND_US
#: For how long reports are relayed before the worker is sent to the leader again.
RELAY_US = 30 * SECOND_US
#: How many workers are remembered before those that have not come back are forgotten.
MOST_REMEMBERED = 4_096


class HeartbeatForwarding:
    """What is known of workers that the leader does not hear."""

    def __init__(self) -> None:
        self._sent_us: dict[str, int] = {}
        self._until_us: dict[str, int] = {}
        self._missed: frozenset[str] = frozenset()
        self._missed_us = 0

    def record_missed(self, names: tuple[str, ...], at_us: int) -> None:
        """Note the machines that the leader says it has not heard."""
        self._missed = frozenset(names)
        self._missed_us = at_us

    def record_redirect(self, name: str, at_us: int) -> None:
        """Note that a worker was sent to the leader."""
        self._sent_us[name] = at_us
        if len(self._sent_us) > MOST_REMEMBERED:
            # Machines come and go: who does not report any more was remembered for good.
            self._sent_us = {
                name: sent_us
                for name, sent_us in self._sent_us.items()
                if at_us - sent_us < CAME_BACK_US
            }
            self._until_us = {
                name: until_us for name, until_us in self._until_us.items() if until_us > at_us
            }

    def should_forward(self, name: str, at_us: int) -> bool:
        """Whether to relay a worker's report."""
        if self._until_us.get(name, 0) > at_us:
            return True
        self._until_us.pop(name, None)
        sent_us = self._sent_us.pop(name, None)
        came_back = sent_us is not None and at_us - sent_us < CAME_BACK_US
        missed = name in self._missed and at_us - self._missed_us < 2 * SECOND_US
        if not came_back and not missed:
            return False
        self._until_us[name] = at_us + RELAY_US
        return True
