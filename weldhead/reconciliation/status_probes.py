"""Decides which workers a new leader probes next, and which count as unreachable. No I/O.

A status probe is a direct request without commands, so it may be repeated. A probe that is not
answered soon is repeated on another connection, because a lost packet costs a second. A machine
counts as unanswered once it was probed twice, no other machine has answered for a while either, and
the event loop was not late in that time: then the cause is the machine and not the leader. Times
are microseconds of the steady clock.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US


@dataclass(frozen=True)
class ProbeSettings:
    """Limits and times of status probes."""

    #: The maximum number of probes in flight.
    max_in_flight: int = 100
    #: How long the first probe of a machine may stay unanswered before the second is sent.
    retry_after_us: int = 150 * MILLISECOND_US
    #: The minimum time between two further probes of a machine.
    retry_interval_us: int = 1_000 * MILLISECOND_US
    #: After this time without any answer, machines that were probed twice count as unanswered.
    no_answer_period_us: int = 300 * MILLISECOND_US


@dataclass
class _Probe:
    """The probes of one machine."""

    first_sent_us: int
    last_sent_us: int
    sent_count: int = 1
    in_flight_count: int = 1


class StatusProbes:
    """The state of one term's probes, by machine name."""

    def __init__(self, settings: ProbeSettings) -> None:
        self._settings = settings
        self._waiting: deque[str] = deque()
        self._probes: dict[str, _Probe] = {}
        self._known: set[str] = set()
        self._last_answer_us = 0
        self.in_flight = 0
        #: The number of probes sent so far.
        self.sent = 0

    def add(self, names: Iterable[str]) -> None:
        """Add machines to be probed."""
        for name in names:
            if name not in self._known and name not in self._probes:
                self._waiting.append(name)

    def mark_known(self, name: str) -> None:
        """Stop probing a machine because its attempts are known."""
        self._known.add(name)
        self._probes.pop(name, None)

    def next_targets(self, at_us: int) -> list[str]:
        """Return the machines to probe now, and record them as probed."""
        targets: list[str] = []
        free_slots = self._settings.max_in_flight - self.in_flight
        while self._waiting and len(targets) < free_slots:
            name = self._waiting.popleft()
            if name not in self._known:
                self._probes[name] = _Probe(at_us, at_us)
                targets.append(name)
        if len(targets) < free_slots:
            # Machines with the fewest probes come first. Without this order, machines that are gone
            # took all free slots, and the last machines were never probed a second time.
            due = [
                (probe.sent_count, probe.last_sent_us, name) for name, probe in self._probes.items()
            ]
            for _, _, name in sorted(
                entry for entry in due if self._is_due(self._probes[entry[2]], at_us)
            ):
                if len(targets) >= free_slots:
                    break
                probe = self._probes[name]
                probe.last_sent_us = at_us
                probe.sent_count += 1
                probe.in_flight_count += 1
                targets.append(name)
        self.in_flight += len(targets)
        self.sent += len(targets)
        return targets

    def _is_due(self, probe: _Probe, at_us: int) -> bool:
        """Whether a machine is to be probed again."""
        if probe.sent_count == 1:
            return at_us - probe.last_sent_us >= self._settings.retry_after_us
        return (
            probe.in_flight_count == 0
            and at_us - probe.last_sent_us >= self._settings.retry_interval_us
        )

    def record_answer(self, name: str, at_us: int) -> None:
        """Record that a probe was answered."""
        self._close_probe(name)
        self._last_answer_us = max(self._last_answer_us, at_us)

    def record_failure(self, name: str) -> None:
        """Record that a probe was not answered."""
        self._close_probe(name)

    def _close_probe(self, name: str) -> None:
        """Count a probe as no longer in flight."""
        self.in_flight -= 1
        probe = self._probes.get(name)
        if probe is not None:
            probe.in_flight_count -= 1

    def unanswered(self, at_us: int, loop_lag_us: int) -> set[str]:
        """Return the unanswered machines; ``loop_lag_us`` is how late the event loop runs."""
        if self._waiting:
            return set()
        quiet_us = self._settings.no_answer_period_us + loop_lag_us
        if at_us - self._last_answer_us < quiet_us:
            return set()
        return {
            name
            for name, probe in self._probes.items()
            if probe.sent_count > 1
            and at_us - probe.first_sent_us >= self._settings.retry_after_us + quiet_us
        }

    @property
    def is_finished(self) -> bool:
        """Whether no machine remains to be probed."""
        return not self._waiting and not self._probes
