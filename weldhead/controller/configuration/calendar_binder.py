"""Binds jobs to deadline calendars at admission, on every controller."""

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
    """Binds jobs at their acceptance; ``error_us`` is how far any time of day may be off."""

    def __init__(self, documents: DocumentReplica, error_us: int) -> None:
        self._documents = documents
        self._error_us = error_us
        documents.binders.append(self)
        documents.on_accepted.append(self.accepted)

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return the instant that binds a job; DocumentsNotLoadedError if it is not known yet."""
        try:
            return bind_to_calendars(self._documents.cache, spec, wall_us, self._error_us)
        except InstantsNotComputedError as error:
            log.info("%s cannot be bound yet: no instants of calendar %s", spec.id, error)
            raise DocumentsNotLoadedError from error

    def accepted(self, record: JobRecord) -> None:
        """Take up a job that this controller has accepted."""
        bound = record.deadline
        if bound is None:
            return
        self._documents.deadline_table.put(record.spec.id, bound)
        past_us = missed_instant_us(
            self._documents.cache, bound, record.submitted_us, self._error_us
        )
        if past_us is not None:
            log.info(
                "%s came too late for %s of calendar %s; the next instant binds it: %s",
                record.spec.id, format_utc(past_us), bound.calendar, format_utc(bound.due_us),
            )  # fmt: skip
