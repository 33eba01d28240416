"""Deadline calendars of a leader term: computes and commits the calendars' instants."""

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from weldhead.calendars.binding import (
    CALENDAR_KIND,
    MISSED_INSTANT_WINDOW_US,
    read_calendar_state,
)
from weldhead.calendars.calendar_document import Calendar
from weldhead.calendars.calendar_state import (
    MAX_COMPUTED_INSTANTS,
    CalendarState,
    content_digest,
    extend_instants,
    supersede_state,
    trim_to_size,
)
from weldhead.calendars.formatting import format_utc
from weldhead.clock import SECOND_US, to_seconds, wall_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.configuration.late_notifications import LateNotifications
from weldhead.controller.configuration.run_time_history import RunTimeHistory
from weldhead.controller.term import Term, batches
from weldhead.documents.records import HEAD_KEY, DocumentSet, document_key, state_key
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    TransactionRejectedError,
)

log = logging.getLogger(__name__)

#: Interval between checks whether the stored instants of a calendar run out.
INSTANT_CHECK_INTERVAL_US = 600 * SECOND_US


#: Delay before the next attempt after a failed commit.
COMMIT_RETRY_DELAY_US = 2 * SECOND_US


class CalendarKeeper:
    """Computes and commits the instants of calendars, and rebinds jobs when the instants change.

    ``refresh_jobs`` is called with the jobs whose due time has changed.
    """

    def __init__(
        self,
        term: Term,
        publisher: DocumentPublisher,
        refresh_jobs: Callable[[Iterable[Job]], None],
    ) -> None:
        self._term = term
        self._publisher = publisher
        self._refresh_jobs = refresh_jobs
        self._changed = asyncio.Event()
        publisher.cache.listeners.append(self._on_change)
        publisher.validators.append(self.validate)
        term.job_deadlines.cache = publisher.cache
        self.late_notifications = LateNotifications(term, publisher)
        self.run_time_history = RunTimeHistory(term, publisher)

    def start(self, background_tasks: BackgroundTasks) -> None:
        """Start the background tasks after the term has been loaded."""
        self.run_time_history.load()
        background_tasks.start("calendars", self.run)
        background_tasks.start("history", self.run_time_history.run)
        background_tasks.start("late jobs", self.late_notifications.run)

    def _on_change(self, key: str) -> None:
        if key == HEAD_KEY:
            self._changed.set()

    @staticmethod
    def validate(offer: DocumentSet) -> str | None:
        """Return why the calendars of an edition cannot be used, or None if they can."""
        for name, body in offer.documents.items():
            if not name.startswith(CALENDAR_KIND + "/"):
                continue
            # Imported here and in ``_update_state``, because only the leader is to load the
            # libraries for recurrences and time zones.
            from weldhead.calendars.recurrence import UnusableCalendarError, validate_calendar

            try:
                validate_calendar(msgspec.json.decode(bytes(body), type=Calendar))
            except (UnusableCalendarError, msgspec.DecodeError) as error:
                return f"{name}: {error}"
        return None

    async def run(self) -> None:
        """Keep the instants of the calendars in force up to date; runs as a background task."""
        while True:
            self._changed.clear()
            committed = await self._update_instants()
            pause_us = INSTANT_CHECK_INTERVAL_US if committed else COMMIT_RETRY_DELAY_US
            try:
                await asyncio.wait_for(self._changed.wait(), to_seconds(pause_us))
            except asyncio.TimeoutError:
                continue

    async def _update_instants(self) -> bool:
        """Update the records of all calendars; return False if a commit failed."""
        cache = self._publisher.cache
        head = cache.head
        if head is None:
            return True
        for entry in list(cache.documents_in_force(CALENDAR_KIND, Calendar)):
            calendar = entry.value
            body = cache.get(
                document_key(head.edition, f"{CALENDAR_KIND}/{calendar.name}"), msgspec.Raw
            )
            if body is None:
                continue
            stored = read_calendar_state(cache, calendar.name)
            updated = self._update_state(
                stored.value if stored else None, head.edition, calendar, bytes(body.value)
            )
            if updated is None:
                continue
            updated = trim_to_size(updated, self._publisher.max_value_bytes)
            if stored is not None and updated == stored.value:
                continue
            try:
                await self._publisher.write(
                    {state_key(CALENDAR_KIND, calendar.name): updated}, urgent=True
                )
            except (LeadershipLostError, TransactionRejectedError, CallError) as error:
                log.info("calendar %s: instants not committed: %s", calendar.name, error)
                return False
            await self._rebind_jobs(calendar.name, updated)
        return True

    def _update_state(
        self, stored: CalendarState | None, edition: int, calendar: Calendar, body: bytes
    ) -> CalendarState | None:
        """Return the updated record of a calendar, or None if the stored record is up to date."""
        time_of_day_us, error_us = wall_us(), self._term.job_deadlines.error_us
        is_same = stored is not None and stored.digest == content_digest(body)
        if is_same and stored is not None and not stored.is_running_out(time_of_day_us):
            return None
        from weldhead.calendars.recurrence import UnusableCalendarError, compute_instants

        # Instants that have just passed are included, because a job that is submitted shortly
        # after an instant is logged as too late for it.
        begin_us = max(0, time_of_day_us - MISSED_INSTANT_WINDOW_US - 3 * error_us)
        problem = ""
        try:
            instants, until_us = compute_instants(calendar, begin_us, MAX_COMPUTED_INSTANTS)
        except UnusableCalendarError as error:
            # The calendar was usable for the leader that brought its edition into force. That
            # leader may have had another release of the time zone rules.
            problem, instants, until_us = str(error), (), None
            log.exception("calendar %s is unusable and binds no job", calendar.name)
        if is_same and stored is not None:
            return None if problem else extend_instants(stored, instants, until_us, time_of_day_us)
        changed = CalendarState(content_digest(body), edition, instants, until_us, problem=problem)
        return supersede_state(stored, changed, time_of_day_us, error_us, rebinds=calendar.rebinds)

    async def _rebind_jobs(self, name: str, state: CalendarState) -> None:
        """Bind the jobs of a calendar to its committed instants, and log the changes."""
        time_of_day_us = wall_us()
        due_us = state.first_after(time_of_day_us)
        log.info(
            "calendar %s, edition %d: next instant %s, %d instants stored",
            name, state.edition, format_utc(due_us) if due_us is not None else "none",
            len(state.instants),
        )  # fmt: skip
        # Jobs are rebound in batches: thousands at once would delay lease renewals on this loop.
        for jobs in batches(list(self._term.cluster.jobs.values())):
            changed = self._term.job_deadlines.rebind(jobs, name)
            for job, previous_due_us in changed:
                assert job.calendar_deadline is not None
                log.info(
                    "%s is bound anew by calendar %s, edition %d: due by %s, before by %s",
                    job.id,
                    name,
                    job.calendar_deadline.edition,
                    format_utc(job.calendar_deadline.due_us),
                    format_utc(previous_due_us),
                )
            if changed:
                self._refresh_jobs([job for job, _ in changed])
                await asyncio.sleep(0)

    def follow_clock(self, at_us: int, time_of_day_us: int) -> None:
        """Recompute due times of jobs if the wall clock was stepped against the steady clock."""
        changed = self._term.job_deadlines.follow_clock(
            self._term.cluster.jobs.values(), at_us, time_of_day_us
        )
        if changed:
            log.info(
                "wall clock and steady clock have diverged: due times of %d bound jobs recomputed",
                len(changed),
            )
            self._refresh_jobs(changed)
