"""Calendars: jobs are bound on every controller, instants are computed by the leader."""

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from weldhead.calendars.binding import (
    JUST_PAST_US,
    KIND,
    InstantsNotComputedError,
    bind,
    passed_us,
    state_of,
)
from weldhead.calendars.calendar_document import Calendar
from weldhead.calendars.calendar_state import (
    KEPT_INSTANTS,
    CalendarState,
    continued,
    digest_of,
    fitting,
    replaced,
)
from weldhead.calendars.formatting import utc
from weldhead.clock import SECOND_US, now_us, to_seconds, wall_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import JOBS, AdmissionBinding, JobRecord
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.configuration.late_notifications import LateNotifications
from weldhead.controller.configuration.publisher import (
    DocumentPublisher,
    DocumentReplica,
    DocumentsNotLoadedError,
)
from weldhead.controller.configuration.run_time_history import RunTimeHistory
from weldhead.controller.term import Term, batches
from weldhead.documents.records import HEAD_KEY, DocumentSet, document_key, state_key
from weldhead.protocol.wire import JobSpec
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    RevisionCompactedError,
    StateClient,
    TransactionRejectedError,
)

log = logging.getLogger(__name__)

#: Between two looks whether a calendar's instants run out.
RENEW_US = 600 * SECOND_US
#: After a failure, or when the clocks say something else.
AGAIN_US = 2 * SECOND_US
#: Between two readings of what was accepted and is over: no controller asks more often.
TABLE_PAUSE_S = 2.0
#: How often it is said what has to be finished while the store is out of reach.
SAID_US = 60 * SECOND_US


class CalendarBinder:
    """Binds jobs at their acceptance; ``error_us`` is how far any time of day may be off."""

    def __init__(self, documents: DocumentReplica, error_us: int) -> None:
        self._documents = documents
        self._error_us = error_us
        documents.binders.append(self)
        documents.on_accepted.append(self.accepted)

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return the instant that binds a job; Unready if it is not known yet."""
        try:
            return bind(self._documents.cache, spec, wall_us, self._error_us)
        except InstantsNotComputedError as error:
            log.info("%s cannot be bound yet: no instants of calendar %s", spec.id, error)
            raise DocumentsNotLoadedError from error

    def accepted(self, record: JobRecord) -> None:
        """Take up a job that this controller has accepted."""
        bound = record.deadline
        if bound is None:
            return
        self._documents.deadline_table.put(record.spec.id, bound)
        past_us = passed_us(self._documents.cache, bound, record.submitted_us, self._error_us)
        if past_us is not None:
            log.info(
                "%s came too late for %s of calendar %s; the next instant binds it: %s",
                record.spec.id, utc(past_us), bound.calendar, utc(bound.due_us),
            )  # fmt: skip


class DeadlineTableFollower:
    """Follows what has to be finished by when, for when nobody leads and the store is down."""

    def __init__(self, documents: DocumentReplica, state: StateClient) -> None:
        self._documents = documents
        self._state = state
        self._logged_us = 0

    async def follow(self) -> None:
        """Keep the table; a duty."""
        table, cache = self._documents.deadline_table, self._documents.cache
        while not any(True for _ in cache.in_force(KIND, Calendar)):  # noqa: ASYNC110
            await asyncio.sleep(TABLE_PAUSE_S)
        revision = await self._read()
        while True:
            sent_us = now_us()
            try:
                changes = await self._state.watch(JOBS, revision, 10 * SECOND_US)
            except RevisionCompactedError:
                revision = await self._read()
                continue
            except CallError:
                self._log_deadlines(now_us())
                await asyncio.sleep(TABLE_PAUSE_S)
                continue
            for event in changes.events:
                if event.put is not None:
                    table.read_record(event.put.removeprefix(JOBS), bytes(event.value))
                elif event.delete is not None:
                    table.drop(event.delete.removeprefix(JOBS))
            table.as_of_us = max(table.as_of_us, sent_us)
            self._logged_us = 0
            revision = max(revision, changes.revision)
            await asyncio.sleep(TABLE_PAUSE_S)

    async def _read(self) -> int:
        table, sent_us, revision = self._documents.deadline_table, now_us(), 0
        seen: set[str] = set()
        async for page, revision in self._state.pages(JOBS):  # noqa: B007
            for entry in page:
                job_id = entry.key.removeprefix(JOBS)
                seen.add(job_id)
                table.read_record(job_id, bytes(entry.value))
            await asyncio.sleep(0)
        table.keep_only(seen)
        table.as_of_us = max(table.as_of_us, sent_us)
        return revision

    def _log_deadlines(self, at_us: int) -> None:
        """Log what has to be finished while the store cannot be asked."""
        table = self._documents.deadline_table
        if not len(table) or (self._logged_us and at_us - self._logged_us < SAID_US):
            return
        self._logged_us = at_us
        line = table.summary(self._documents.cache, wall_us(), at_us)
        log.warning("the state service is out of reach; %s", line)


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

    def start(self, duties: BackgroundTasks) -> None:
        """Begin, once the term is loaded."""
        self.run_time_history.load()
        duties.start("calendars", self.run)
        duties.start("history", self.run_time_history.run)
        duties.start("late jobs", self.late_notifications.run)

    def _on_change(self, key: str) -> None:
        if key == HEAD_KEY:
            self._changed.set()

    @staticmethod
    def validate(offer: DocumentSet) -> str | None:
        """Say why an edition's calendars cannot be used; None: they can."""
        for name, body in offer.documents.items():
            if not name.startswith(KIND + "/"):
                continue
            # Only here, and below: the libraries are the leader's alone.
            from weldhead.calendars.recurrence import UnusableCalendarError, check

            try:
                check(msgspec.json.decode(bytes(body), type=Calendar))
            except (UnusableCalendarError, msgspec.DecodeError) as error:
                return f"{name}: {error}"
        return None

    async def run(self) -> None:
        """Keep the instants of the calendars in force; a duty."""
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
        for kept in list(cache.in_force(KIND, Calendar)):
            calendar = kept.value
            body = cache.get(document_key(head.edition, f"{KIND}/{calendar.name}"), msgspec.Raw)
            if body is None:
                continue
            former = state_of(cache, calendar.name)
            fresh = self._state(
                former.value if former else None, head.edition, calendar, bytes(body.value)
            )
            if fresh is None:
                continue
            fresh = fitting(fresh, self._publisher.value_bytes)
            if former is not None and fresh == former.value:
                continue
            try:
                await self._publisher.write({state_key(KIND, calendar.name): fresh}, urgent=True)
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
        same = former is not None and former.digest == digest_of(body)
        if same and former is not None and not former.runs_out(at_us):
            return None
        from weldhead.calendars.recurrence import UnusableCalendarError, compute

        # With what is just past: who comes after it is told so.
        begin_us = max(0, at_us - JUST_PAST_US - 3 * error_us)
        problem = ""
        try:
            instants, until_us = compute(calendar, begin_us, KEPT_INSTANTS)
        except UnusableCalendarError as error:
            # It was usable for who brought it into force: other releases of the zones' rules.
            problem, instants, until_us = str(error), (), None
            log.error("calendar %s binds nothing: %s", calendar.name, problem)
        if same and former is not None:
            return None if problem else continued(former, instants, until_us, at_us)
        fresh = CalendarState(digest_of(body), edition, instants, until_us, problem=problem)
        return replaced(former, fresh, at_us, error_us, rebinds=calendar.rebinds)

    async def _announce(self, name: str, state: CalendarState) -> None:
        at_us = wall_us()
        due_us = state.after(at_us)
        log.info(
            "calendar %s, edition %d: the next instant is %s, %d are known",
            name, state.edition, utc(due_us) if due_us is not None else "none", len(state.instants),
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
                    utc(job.calendar_deadline.due_us),
                    utc(was_us),
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
