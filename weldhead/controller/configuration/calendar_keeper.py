"""A term's deadline calendars: the leader computes and commits their instants."""

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

#: Between two looks whether a calendar's instants run out.
RENEW_US = 600 * SECOND_US


#: After a failure, or when the clocks say something else.
AGAIN_US = 2 * SECOND_US


class CalendarKeeper:
    """A term's part: it computes the instants, commits them, and follows their changes.

    ``refresh`` is told of jobs that are due at another moment.
    """

    def __init__(
        self, term: Term, publisher: DocumentPublisher, refresh: Callable[[Iterable[Job]], None]
    ) -> None:
        self._term = term
        self._publisher = publisher
        self._refresh = refresh
        self._changed = asyncio.Event()
        publisher.cache.listeners.append(self._on_change)
        publisher.validators.append(self.validate)
        term.job_deadlines.cache = publisher.cache
        self.late_notifications = LateNotifications(term, publisher)
        self.run_time_history = RunTimeHistory(term, publisher)

    def start(self, background_tasks: BackgroundTasks) -> None:
        """Begin, once the term is loaded."""
        self.run_time_history.load()
        background_tasks.start("calendars", self.run)
        background_tasks.start("history", self.run_time_history.run)
        background_tasks.start("late jobs", self.late_notifications.run)

    def _on_change(self, key: str) -> None:
        if key == HEAD_KEY:
            self._changed.set()

    @staticmethod
    def validate(offer: DocumentSet) -> str | None:
        """Say why an edition's calendars cannot be used; None: they can."""
        for name, body in offer.documents.items():
            if not name.startswith(CALENDAR_KIND + "/"):
                continue
            # Only here, and below: the libraries are the leader's alone.
            from weldhead.calendars.recurrence import UnusableCalendarError, validate_calendar

            try:
                validate_calendar(msgspec.json.decode(bytes(body), type=Calendar))
            except (UnusableCalendarError, msgspec.DecodeError) as error:
                return f"{name}: {error}"
        return None

    async def run(self) -> None:
        """Keep the instants of the calendars in force; a background task."""
        while True:
            self._changed.clear()
            done = await self._renew()
            pause_us = RENEW_US if done else AGAIN_US
            try:
                await asyncio.wait_for(self._changed.wait(), to_seconds(pause_us))
            except asyncio.TimeoutError:
                continue

    async def _renew(self) -> bool:
        """Bring all calendars' records up to date; false if one could not be committed."""
        cache = self._publisher.cache
        head = cache.head
        if head is None:
            return True
        for kept in list(cache.in_force(CALENDAR_KIND, Calendar)):
            calendar = kept.value
            body = cache.get(
                document_key(head.edition, f"{CALENDAR_KIND}/{calendar.name}"), msgspec.Raw
            )
            if body is None:
                continue
            former = read_calendar_state(cache, calendar.name)
            fresh = self._state(
                former.value if former else None, head.edition, calendar, bytes(body.value)
            )
            if fresh is None:
                continue
            fresh = trim_to_size(fresh, self._publisher.value_bytes)
            if former is not None and fresh == former.value:
                continue
            try:
                await self._publisher.write(
                    {state_key(CALENDAR_KIND, calendar.name): fresh}, urgent=True
                )
            except (LeadershipLostError, TransactionRejectedError, CallError) as error:
                log.info("calendar %s: instants not committed: %s", calendar.name, error)
                return False
            await self._announce(calendar.name, fresh)
        return True

    def _state(
        self, former: CalendarState | None, edition: int, calendar: Calendar, body: bytes
    ) -> CalendarState | None:
        """Return a calendar's record as it has to be from now on; None: as it is."""
        at_us, error_us = wall_us(), self._term.job_deadlines.error_us
        same = former is not None and former.digest == content_digest(body)
        if same and former is not None and not former.is_running_out(at_us):
            return None
        from weldhead.calendars.recurrence import UnusableCalendarError, compute_instants

        # With what is just past: who comes after it is told so.
        begin_us = max(0, at_us - MISSED_INSTANT_WINDOW_US - 3 * error_us)
        problem = ""
        try:
            instants, until_us = compute_instants(calendar, begin_us, MAX_COMPUTED_INSTANTS)
        except UnusableCalendarError as error:
            # It was usable for who brought it into force: other releases of the zones' rules.
            problem, instants, until_us = str(error), (), None
            log.exception("calendar %s binds nothing", calendar.name)
        if same and former is not None:
            return None if problem else extend_instants(former, instants, until_us, at_us)
        fresh = CalendarState(content_digest(body), edition, instants, until_us, problem=problem)
        return supersede_state(former, fresh, at_us, error_us, rebinds=calendar.rebinds)

    async def _announce(self, name: str, state: CalendarState) -> None:
        at_us = wall_us()
        due_us = state.first_after(at_us)
        log.info(
            "calendar %s, edition %d: the next instant is %s, %d are known",
            name, state.edition, format_utc(due_us) if due_us is not None else "none",
            len(state.instants),
        )  # fmt: skip
        # Thousands at a time would keep the loop from its leases.
        for jobs in batches(list(self._term.cluster.jobs.values())):
            changed = self._term.job_deadlines.rebind(jobs, name)
            for job, was_us in changed:
                assert job.calendar_deadline is not None
                log.info(
                    "%s is bound anew by calendar %s, edition %d: due by %s, before by %s",
                    job.id,
                    name,
                    job.calendar_deadline.edition,
                    format_utc(job.calendar_deadline.due_us),
                    format_utc(was_us),
                )
            if changed:
                self._refresh([job for job, _ in changed])
                await asyncio.sleep(0)

    def follow_clock(self, at_us: int, time_of_day_us: int) -> None:
        """Follow a step of the clocks."""
        changed = self._term.job_deadlines.follow_clock(
            self._term.cluster.jobs.values(), at_us, time_of_day_us
        )
        if changed:
            log.info("the clocks have moved: %d bound jobs are due at another moment", len(changed))
            self._refresh(changed)
