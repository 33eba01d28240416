"""Measures this process's memory use, and decides whether it accepts new jobs."""

import logging
from collections.abc import Callable

from weldhead.admission.memory_gate import ACCEPT_SHARE, MemoryGate, MemoryTransition
from weldhead.clock import MILLISECOND_US
from weldhead.transport.process_memory import private_resident_bytes

log = logging.getLogger(__name__)

MIB = 1024 * 1024
#: The minimum time between two readings of the memory use.
MIN_READING_INTERVAL_US = 250 * MILLISECOND_US


class MemoryMonitor:
    """Applies a memory limit to one process.

    With ``limit_mb`` 0 there is no limit: the memory use is not read, and all jobs are accepted.
    """

    def __init__(
        self, limit_mb: float, read_used_bytes: Callable[[], int | None] = private_resident_bytes
    ) -> None:
        self._gate = MemoryGate(round(limit_mb * MIB))
        self._read_used_bytes = read_used_bytes
        self._last_reading_us: int | None = None

    def is_exhausted(self, at_us: int) -> bool:
        """Return whether this process accepts no new job at all, because of its own memory use."""
        self._update_gate(at_us)
        return self._gate.is_exhausted

    def admits(self, at_us: int) -> bool:
        """Return whether this process may accept a new job now."""
        self._update_gate(at_us)
        return self._gate.try_admit(at_us)

    def observe_leader(self, at_us: int, *, full: bool) -> None:
        """Record the leader's statement whether it accepts no new job at all."""
        self._gate.observe_leader(at_us, exhausted=full)

    def _update_gate(self, at_us: int) -> None:
        gate = self._gate
        if not gate.limit or (
            self._last_reading_us is not None
            and at_us - self._last_reading_us < MIN_READING_INTERVAL_US
        ):
            return
        self._last_reading_us = at_us
        used_bytes = self._read_used_bytes()
        if used_bytes is None:
            return
        match gate.update(used_bytes):
            case MemoryTransition.REFUSING:
                log.warning(
                    "memory: %.0f of %.0f MB used; new jobs are refused until use is below %.0f MB",
                    used_bytes / MIB, gate.limit / MIB, gate.limit * ACCEPT_SHARE / MIB,
                )  # fmt: skip
            case MemoryTransition.ACCEPTING:
                log.warning(
                    "memory: %.0f of %.0f MB used; new jobs are accepted again",
                    used_bytes / MIB, gate.limit / MIB,
                )  # fmt: skip
            case MemoryTransition.UNCHANGED:
                pass
