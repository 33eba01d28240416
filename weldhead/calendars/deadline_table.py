"""What has to be finished by when, in any controller's memory. No I/O.

A line a job: its id and its instant. Thousands are bound to the same few instants, so these
are shared. It is as new as ``as_of_us`` and only tells; nothing is decided by it.
"""

from collections.abc import Iterator

import msgspec

from weldhead.calendars.binding import moved
from weldhead.calendars.formatting import due, span, utc
from weldhead.clock import SECOND_US
from weldhead.cluster_state.records import CalendarDeadline
from weldhead.documents.cache import DocumentCache

#: Deadlines within so long are near.
SOON_US = 3600 * SECOND_US


class _JobRecordPart(msgspec.Struct):
    """The part of a job's record that counts here."""

    bound: CalendarDeadline | None = None
    cancelled: bool = False


_decoder = msgspec.json.Decoder(_JobRecordPart)


class DeadlineTable:
    """The bound jobs that are not over."""

    def __init__(self) -> None:
        self._jobs: dict[str, CalendarDeadline] = {}
        self._shared: dict[CalendarDeadline, CalendarDeadline] = {}
        #: Steady clock of this node; 0: never read.
        self.as_of_us = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def put(self, job_id: str, bound: CalendarDeadline) -> None:
        """Enter what binds a job."""
        self._jobs[job_id] = self._shared.setdefault(bound, bound)

    def read_record(self, job_id: str, record: bytes) -> None:
        """Enter a job by its record."""
        part = _decoder.decode(record)
        if part.bound is None or part.cancelled:
            self.drop(job_id)
        else:
            self.put(job_id, part.bound)

    def drop(self, job_id: str) -> None:
        """A job is over."""
        self._jobs.pop(job_id, None)
        if not self._jobs:
            self._shared.clear()

    def keep_only(self, job_ids: set[str]) -> None:
        """Forget all other jobs."""
        for job_id in self._jobs.keys() - job_ids:
            self.drop(job_id)

    def deadline(self, job_id: str, cache: DocumentCache) -> CalendarDeadline | None:
        """Return what binds a job now, as far as is known here."""
        found = self._jobs.get(job_id)
        return moved(cache, found) if found is not None else None

    def soon(self, cache: DocumentCache, wall_us: int) -> Iterator[tuple[str, CalendarDeadline]]:
        """Iterate over the jobs due within the hour, or past it."""
        now = {one: moved(cache, one) for one in self._shared}
        for job_id, one in self._jobs.items():
            bound = now[one]
            if bound.due_us <= wall_us + SOON_US:
                yield job_id, bound

    def describe(self, job_id: str, cache: DocumentCache) -> str:
        """Say by when a job has to be finished; empty: nothing is known."""
        bound = self.deadline(job_id, cache)
        return f"; {due(bound)}" if bound is not None else ""

    def summary(self, cache: DocumentCache, wall_us: int, at_us: int) -> str:
        """Say what has to be finished soon, for when nobody can be asked."""
        soon = sorted(self.soon(cache, wall_us), key=lambda found: (found[1].due_us, found[0]))
        past = sum(1 for _, bound in soon if bound.due_us < wall_us)
        text = f"{len(self)} jobs are bound; due within the hour: {len(soon) - past}, past: {past}"
        if soon:
            job_id, bound = soon[0]
            text += f"; first {job_id}, by {utc(bound.due_us)} ({bound.calendar})"
        return text + f"; as of {span(at_us - self.as_of_us)} ago"
