"""Binds jobs to deadline calendars at admission; runs on every controller."""

import logging

from weldhead.calendars.binding import (
    InstantsNotComputedError,
    bind_to_calendars,
    missed_instant_us,
)
from weldhead.calendars.formatting import format_utc
from weldhead.cluster_state.records import AdmissionBinding, JobRecord
from weldhead.controller.configuration.document_replica import (
    DocumentReplica,
    DocumentsNotLoadedError,
)
from weldhead.protocol.wire import JobSpec

log = logging.getLogger(__name__)


class CalendarBinder:
    """Binds accepted jobs to calendar deadlines; ``error_us`` bounds wall clock errors."""

    def __init__(self, documents: DocumentReplica, error_us: int) -> None:
        self._documents = documents
        self._error_us = error_us
        documents.binders.append(self)
        documents.acceptance_listeners.append(self.on_job_accepted)

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return the calendar deadline of a job.

        Raises DocumentsNotLoadedError if the deadline cannot be determined yet.
        """
        try:
            return bind_to_calendars(self._documents.cache, spec, wall_us, self._error_us)
        except InstantsNotComputedError as error:
            log.info("job %s not bound yet: instants of calendar %s not computed", spec.id, error)
            raise DocumentsNotLoadedError from error

    def on_job_accepted(self, record: JobRecord) -> None:
        """Add a job that this controller has accepted to the deadline table."""
        deadline = record.deadline
        if deadline is None:
            return
        self._documents.deadline_table.put(record.spec.id, deadline)
        past_us = missed_instant_us(
            self._documents.cache, deadline, record.submitted_us, self._error_us
        )
        if past_us is not None:
            log.info(
                "job %s was submitted too late for %s of calendar %s; bound to the next instant %s",
                record.spec.id, format_utc(past_us), deadline.calendar, format_utc(deadline.due_us),
            )  # fmt: skip
