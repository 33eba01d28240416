"""What users were told of deadline calendars, and what was said of bound jobs in the logs."""

import logging
from collections import Counter

from weldhead.cluster_state.records import JobRecord
from weldhead.emulator.checker import Checker
from weldhead.protocol.wire import JobStatus


class CalendarRules(logging.Handler):
    """Follows bound jobs: their instants, and that each is told late once.

    ``unbound``: an instant that a user was told, or that a job's record had, is gone or later
    (the documents of a run do not change). ``told_late_twice``: whoever leads.
    """

    def __init__(self, checker: Checker) -> None:
        super().__init__(logging.WARNING)
        self._checker = checker
        self._due_at: dict[str, str] = {}
        self._due_us: dict[str, int] = {}
        self._late: Counter[str] = Counter()

    def told(self, status: JobStatus) -> None:
        """A user was told a job's state."""
        if status.state not in ("pending", "running"):
            return
        due_at = self._due_at.setdefault(status.id, status.due_at or "")
        # In UTC and of one length: the later one is the larger text.
        if due_at and (status.due_at or "~") > due_at:
            text = f"{status.id}: told {due_at}, then {status.due_at}"
            self._checker.breaks("unbound", text)

    def recorded(self, record: JobRecord) -> None:
        """A job's record was read from the store."""
        due_us = record.deadline.due_us if record.deadline is not None else 0
        known_us = self._due_us.setdefault(record.spec.id, due_us)
        if known_us and not record.cancelled and not 0 < due_us <= known_us:
            self._checker.breaks(
                "unbound", f"{record.spec.id}: {known_us} on record, then {due_us}"
            )

    def emit(self, record: logging.LogRecord) -> None:
        """A controller says that a job is late or will be."""
        job_id = str(record.getMessage()).partition(" ")[0]
        self._late[job_id] += 1
        self._checker.counts["told late"] += 1
        if self._late[job_id] > 1:
            self._checker.breaks("told_late_twice", record.getMessage())
