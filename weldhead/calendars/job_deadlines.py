"""Calendar deadlines of jobs in a leader's memory: their instants on its steady clock. No I/O.

An instant is met only if it is by every clock: this node's time of day may be off by
``error_us``, so the job is due that much earlier here. The time of day may also be set while
a term lasts, or the steady clock stand still with the machine: then all are converted anew.
"""

from collections.abc import Iterable

from weldhead.calendars.binding import moved
from weldhead.clock import MILLISECOND_US
from weldhead.cluster_state.jobs import Job
from weldhead.documents.cache import DocumentCache

#: Clocks wander: by less nothing is converted anew.
STEP_US = 250 * MILLISECOND_US


class JobDeadlines:
    """What a term needs to know when bound jobs are due."""

    def __init__(self, error_us: int) -> None:
        self._error_us = error_us
        #: The term's own reading of the documents; None: this node is given none.
        self.cache: DocumentCache | None = None
        #: The time of day less the steady clock, by which jobs are converted.
        self._offset_us: int | None = None

    @property
    def error_us(self) -> int:
        """How far any time of day may be off."""
        return self._error_us

    def add(self, job: Job, at_us: int, wall_us: int) -> None:
        """Enter the instant of a job that its record binds."""
        if job.calendar_deadline is None:
            return
        job.calendar_deadline = moved(self.cache, job.calendar_deadline)
        if self._offset_us is None:
            self._offset_us = wall_us - at_us
        self._convert(job)

    def _convert(self, job: Job) -> None:
        if job.calendar_deadline is not None and self._offset_us is not None:
            job.calendar_due_us = job.calendar_deadline.due_us - self._offset_us - self._error_us

    def follow_clock(self, jobs: Iterable[Job], at_us: int, wall_us: int) -> list[Job]:
        """Follow a step of the clocks; return the jobs that are due at another moment."""
        offset_us = wall_us - at_us
        if self._offset_us is None or abs(offset_us - self._offset_us) < STEP_US:
            return []
        self._offset_us = offset_us
        changed = [job for job in jobs if job.calendar_deadline is not None]
        for job in changed:
            self._convert(job)
        return changed

    def rebind(self, jobs: Iterable[Job], calendar: str) -> list[tuple[Job, int]]:
        """Follow a calendar's change; return jobs bound anew, with their earlier instants."""
        changed: list[tuple[Job, int]] = []
        for job in jobs:
            if job.calendar_deadline is None or job.calendar_deadline.calendar != calendar:
                continue
            bound = moved(self.cache, job.calendar_deadline)
            if bound != job.calendar_deadline:
                changed.append((job, job.calendar_deadline.due_us))
                job.calendar_deadline = bound
                self._convert(job)
        return changed
