"""Converts the calendar deadlines of jobs to the steady clock of the leader's node. No I/O.

A job meets its deadline only if it does so according to every clock. The time of day of this node
may be off by ``error_us``, so the job is due that much earlier on the steady clock.

During a term, the time of day may be set, or the steady clock may stop while the machine is
suspended. All deadlines are then converted again.
"""

from collections.abc import Iterable

from weldhead.calendars.binding import current_deadline
from weldhead.clock import MILLISECOND_US
from weldhead.cluster_state.jobs import Job
from weldhead.documents.cache import DocumentCache

#: Clocks drift. Deadlines are converted again only if the clocks have diverged by this much.
MIN_CLOCK_STEP_US = 250 * MILLISECOND_US


class JobDeadlines:
    """Maintains ``Job.calendar_deadline`` and ``Job.calendar_due_us`` during a leader's term."""

    def __init__(self, error_us: int) -> None:
        self._error_us = error_us
        #: The term's copy of the documents; None: this node has no documents configured.
        self.cache: DocumentCache | None = None
        #: Difference of the time of day and the steady clock that all conversions use.
        self._offset_us: int | None = None

    @property
    def error_us(self) -> int:
        """The maximum error of a node's time of day."""
        return self._error_us

    def add(self, job: Job, at_us: int, wall_us: int) -> None:
        """Set the deadline of a job whose record has one.

        ``at_us`` and ``wall_us`` are the current time on the steady clock and the time of day.
        """
        if job.calendar_deadline is None:
            return
        job.calendar_deadline = current_deadline(self.cache, job.calendar_deadline)
        if self._offset_us is None:
            self._offset_us = wall_us - at_us
        self._convert(job)

    def _convert(self, job: Job) -> None:
        if job.calendar_deadline is not None and self._offset_us is not None:
            job.calendar_due_us = job.calendar_deadline.due_us - self._offset_us - self._error_us

    def follow_clock(self, jobs: Iterable[Job], at_us: int, wall_us: int) -> list[Job]:
        """Convert all deadlines again if a clock was stepped; return the jobs with deadlines."""
        offset_us = wall_us - at_us
        if self._offset_us is None or abs(offset_us - self._offset_us) < MIN_CLOCK_STEP_US:
            return []
        self._offset_us = offset_us
        changed = [job for job in jobs if job.calendar_deadline is not None]
        for job in changed:
            self._convert(job)
        return changed

    def rebind(self, jobs: Iterable[Job], calendar: str) -> list[tuple[Job, int]]:
        """Update the deadlines after a change of a calendar.

        Return the jobs with a new deadline, each with its earlier deadline as a time of day.
        """
        changed: list[tuple[Job, int]] = []
        for job in jobs:
            if job.calendar_deadline is None or job.calendar_deadline.calendar != calendar:
                continue
            deadline = current_deadline(self.cache, job.calendar_deadline)
            if deadline != job.calendar_deadline:
                changed.append((job, job.calendar_deadline.due_us))
                job.calendar_deadline = deadline
                self._convert(job)
        return changed
