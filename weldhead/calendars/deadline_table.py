"""A controller's in-memory table of the calendar deadlines of unfinished jobs. No I/O.

The table has one entry per job: the id and the deadline. Thousands of jobs are bound to the same
few deadlines, so equal deadlines share one object. The table was last updated at ``as_of_us``. It
serves only to inform; no decision depends on it.
"""

from collections.abc import Iterator

import msgspec

from weldhead.calendars.binding import current_deadline
from weldhead.calendars.formatting import format_deadline, format_duration, format_utc
from weldhead.clock import SECOND_US
from weldhead.cluster_state.records import CalendarDeadline
from weldhead.documents.cache import DocumentCache

#: A job is due soon if its deadline is at most this far in the future, or has passed.
DUE_SOON_WINDOW_US = 3600 * SECOND_US


class _JobRecordPart(msgspec.Struct, rename={"deadline": "bound"}):
    """The fields of a job's record that the table uses."""

    deadline: CalendarDeadline | None = None
    cancelled: bool = False


_decoder = msgspec.json.Decoder(_JobRecordPart)


class DeadlineTable:
    """The unfinished jobs with calendar deadlines, by id."""

    def __init__(self) -> None:
        self._jobs: dict[str, CalendarDeadline] = {}
        self._shared: dict[CalendarDeadline, CalendarDeadline] = {}
        #: When the table was last updated, on this node's steady clock; 0: never.
        self.as_of_us = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def put(self, job_id: str, deadline: CalendarDeadline) -> None:
        """Add a job, or replace its deadline."""
        self._jobs[job_id] = self._shared.setdefault(deadline, deadline)

    def put_record(self, job_id: str, record: bytes) -> None:
        """Add a job by its encoded record; drop it if it is cancelled or has no deadline."""
        part = _decoder.decode(record)
        if part.deadline is None or part.cancelled:
            self.drop(job_id)
        else:
            self.put(job_id, part.deadline)

    def drop(self, job_id: str) -> None:
        """Remove a job, if the table has it."""
        self._jobs.pop(job_id, None)
        if not self._jobs:
            self._shared.clear()

    def keep_only(self, job_ids: set[str]) -> None:
        """Remove all jobs except these."""
        for job_id in self._jobs.keys() - job_ids:
            self.drop(job_id)

    def current_deadline(self, job_id: str, cache: DocumentCache) -> CalendarDeadline | None:
        """Return a job's current deadline as far as the cached documents tell; None: unknown."""
        deadline = self._jobs.get(job_id)
        return current_deadline(cache, deadline) if deadline is not None else None

    def jobs_due_soon(
        self, cache: DocumentCache, wall_us: int
    ) -> Iterator[tuple[str, CalendarDeadline]]:
        """Iterate over the jobs that are due within the hour or overdue, with their deadlines."""
        current = {recorded: current_deadline(cache, recorded) for recorded in self._shared}
        for job_id, recorded in self._jobs.items():
            deadline = current[recorded]
            if deadline.due_us <= wall_us + DUE_SOON_WINDOW_US:
                yield job_id, deadline

    def describe_deadline(self, job_id: str, cache: DocumentCache) -> str:
        """Return a job's deadline as a suffix for a message; empty if the deadline is unknown."""
        deadline = self.current_deadline(job_id, cache)
        return f"; {format_deadline(deadline)}" if deadline is not None else ""

    def format_summary(self, cache: DocumentCache, wall_us: int, at_us: int) -> str:
        """Return a line about the jobs due soon, to be logged while the store is unreachable."""
        due_soon = sorted(
            self.jobs_due_soon(cache, wall_us), key=lambda entry: (entry[1].due_us, entry[0])
        )
        overdue = sum(1 for _, deadline in due_soon if deadline.due_us < wall_us)
        text = (
            f"{len(self)} jobs are bound; "
            f"due within the hour: {len(due_soon) - overdue}, past: {overdue}"
        )
        if due_soon:
            job_id, deadline = due_soon[0]
            text += f"; first {job_id}, by {format_utc(deadline.due_us)} ({deadline.calendar})"
        return text + f"; as of {format_duration(at_us - self.as_of_us)} ago"
