"""Watches this process's memory, and says when new work is refused for it and when no more."""

import logging
from collections.abc import Callable

from weldhead.admission.memory_gate import ACCEPT_SHARE, MemoryGate, MemoryTransition
from weldhead.clock import MILLISECOND_US
from weldhead.transport.process_memory import own_bytes

log = logging.getLogger(__name__)

MIB = 1024 * 1024
#: No reading is taken sooner after the one before.
READING_US = 250 * MILLISECOND_US


class MemoryMonitor:
    """Readings of one process; ``limit_mb`` 0: none are taken, and all work is."""

    def __init__(self, limit_mb: float, read: Callable[[], int | None] = own_bytes) -> None:
        self._gate = MemoryGate(round(limit_mb * MIB))
        self._read = read
        self._read_us: int | None = None

    def exhausted(self, at_us: int) -> bool:
        """Whether this process takes no new work at all for its own memory."""
        self._read_memory(at_us)
        return self._gate.exhausted

    def admits(self, at_us: int) -> bool:
        """Whether a new job may be taken."""
        self._read_memory(at_us)
        return self._gate.admits(at_us)

    def observe_leader(self, at_us: int, *, full: bool) -> None:
        """The leader says whether it takes no new work at all."""
        self._gate.observe_leader(at_us, full=full)

    def _read_memory(self, at_us: int) -> None:
        gate = self._gate
        if not gate.limit or (self._read_us is not None and at_us - self._read_us < READING_US):
            return
        self._read_us = at_us
        used = self._read()
        if used is None:
            return
        match gate.read(used):
            case MemoryTransition.FULL:
                log.warning(
                    "memory: %.0f of %.0f MB are used; new jobs are refused until it is below %.0f",
                    used / MIB, gate.limit / MIB, gate.limit * ACCEPT_SHARE / MIB,
                )  # fmt: skip
            case MemoryTransition.ROOM:
                log.warning(
                    "memory: %.0f of %.0f MB are used; new jobs are taken again",
                    used / MIB, gate.limit / MIB,
                )  # fmt: skip
            case MemoryTransition.NONE:
                pass
