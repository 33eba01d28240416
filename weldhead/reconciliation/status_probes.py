"""Whom a new leader asks next what it runs, and whose silence is telling. No I/O.

A question is a direct request without commands: it may be asked twice. One that is not
answered soon is asked again on another connection, since a lost packet costs a second. A
machine is asked in vain once it was asked twice, nobody else has answered for a while
either, and the loop was not late meanwhile: then it is the machine, not the leader. Times
are microseconds of the steady clock.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US


@dataclass(frozen=True)
class ProbeSettings:
    """How workers are asked."""

    #: Questions under way at most.
    at_once: int = 100
    #: After so long without an answer a machine is asked once more.
    again_us: int = 150 * MILLISECOND_US
    #: Between two further questions.
    pause_us: int = 1_000 * MILLISECOND_US
    #: Nobody has answered for so long: who was asked twice by then was asked in vain.
    quiet_us: int = 300 * MILLISECOND_US


@dataclass
class _Probe:
    first_us: int
    last_us: int
    times: int = 1
    open: int = 1


class StatusProbes:
    """Who was asked when; one for each term."""

    def __init__(self, settings: ProbeSettings) -> None:
        self._settings = settings
        self._waiting: deque[str] = deque()
        self._probes: dict[str, _Probe] = {}
        self._known: set[str] = set()
        self._answer_us = 0
        self.under_way = 0
        #: Questions sent so far.
        self.sent = 0

    def add(self, names: Iterable[str]) -> None:
        """Ask these as well."""
        for name in names:
            if name not in self._known and name not in self._probes:
                self._waiting.append(name)

    def mark_known(self, name: str) -> None:
        """Nothing has to be asked of it any more."""
        self._known.add(name)
        self._probes.pop(name, None)

    def next_targets(self, at_us: int) -> list[str]:
        """Return whom to ask now; they count as asked from here on."""
        found: list[str] = []
        room = self._settings.at_once - self.under_way
        while self._waiting and len(found) < room:
            name = self._waiting.popleft()
            if name not in self._known:
                self._probes[name] = _Probe(at_us, at_us)
                found.append(name)
        if len(found) < room:
            # Who was asked least comes first: in the order of asking, those that are gone
            # held all turns, and the last of them was never asked twice.
            due = [(a.times, a.last_us, name) for name, a in self._probes.items()]
            for _, _, name in sorted(d for d in due if self._due(self._probes[d[2]], at_us)):
                if len(found) >= room:
                    break
                asked = self._probes[name]
                asked.last_us = at_us
                asked.times += 1
                asked.open += 1
                found.append(name)
        self.under_way += len(found)
        self.sent += len(found)
        return found

    def _due(self, asked: _Probe, at_us: int) -> bool:
        if asked.times == 1:
            return at_us - asked.last_us >= self._settings.again_us
        return asked.open == 0 and at_us - asked.last_us >= self._settings.pause_us

    def record_answer(self, name: str, at_us: int) -> None:
        """A question was answered."""
        self._closed(name)
        self._answer_us = max(self._answer_us, at_us)

    def record_failure(self, name: str) -> None:
        """A question was not answered."""
        self._closed(name)

    def _closed(self, name: str) -> None:
        self.under_way -= 1
        asked = self._probes.get(name)
        if asked is not None:
            asked.open -= 1

    def unanswered(self, at_us: int, late_us: int) -> set[str]:
        """Return who was asked in vain; ``late_us`` is how late the loop is."""
        if self._waiting:
            return set()
        quiet_us = self._settings.quiet_us + late_us
        if at_us - self._answer_us < quiet_us:
            return set()
        return {
            name
            for name, asked in self._probes.items()
            if asked.times > 1 and at_us - asked.first_us >= self._settings.again_us + quiet_us
        }

    @property
    def finished(self) -> bool:
        """Whether nobody is left to be asked."""
        return not self._waiting and not self._probes
