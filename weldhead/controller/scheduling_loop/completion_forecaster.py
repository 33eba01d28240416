"""Keeps the completion forecast of each job, and logs the jobs that turn late."""

import logging
from collections.abc import Callable
from typing import Protocol

from weldhead.calendars.deadline_table import DUE_SOON_WINDOW_US
from weldhead.calendars.formatting import format_deadline, format_duration
from weldhead.clock import now_us, seconds_us, to_seconds, wall_us
from weldhead.cluster_state.jobs import Job
from weldhead.controller.loop_budget import EventLoopBudget, LoopPriority
from weldhead.controller.term import Term
from weldhead.scheduling.forecast import deadline_lateness as lateness
from weldhead.scheduling.forecast.completion_times import (
    effective_due_us,
    find_blocking_job,
    is_failing_everywhere,
)
from weldhead.scheduling.forecast.deadline_lateness import DeadlineStatus
from weldhead.scheduling.forecast.job_forecasts import JobForecasts

log = logging.getLogger(__name__)


class LateNotices(Protocol):
    """The record of which jobs any term has reported late for their calendar deadline."""

    def was_notified(self, job: Job) -> bool:
        """Whether a job was reported late for its current calendar deadline or a later one."""

    def notify(self, job: Job, message: str) -> None:
        """Record that a job is reported late, and then log the message."""


class CompletionForecaster:
    """Keeps the forecasts of a term's jobs.

    ``stage_us`` estimates the time from a job's release to its end.
    """

    def __init__(
        self, term: Term, loop_budget: EventLoopBudget, stage_us: Callable[[Job], int]
    ) -> None:
        self._term = term
        self._loop_budget = loop_budget
        self._stage_us = stage_us
        #: The record of the jobs that were reported late, and a function that adjusts calendar
        #: deadlines to the given steady clock and time of day. Both are None if the controller is
        #: configured without documents.
        self.late_notices: LateNotices | None = None
        self.follow_clock: Callable[[int, int], None] | None = None
        #: Returns the reason why a gate holds a job; "" if no gate does.
        self.hold_reason: Callable[[Job], str] = lambda job: ""
        #: The forecasts of the term's jobs. They are created when they are first needed. After an
        #: update of the forecasts has failed, they are dropped and created anew.
        self._forecasts: JobForecasts | None = None

    def refresh(self, job: Job) -> None:
        """Update a job's forecast, for the answer to a poll."""
        self._current_forecasts().refresh_job(job, now_us())

    def _current_forecasts(self) -> JobForecasts:
        if self._forecasts is None:
            tunables = self._term.tunables
            self._forecasts = JobForecasts(
                self._term.cluster,
                self._term.dependency_graph,
                self._term.estimates,
                self._stage_us,
                tunables.forecast_period_us,
                tunables.forecast_recheck_us,
                tunables.most_forecasts,
            )
        return self._forecasts

    async def run(self) -> None:
        """Update the forecasts and log the jobs that turn late; a background task."""
        while True:
            await self._loop_budget.pause(
                "forecasts", LoopPriority.FORECASTS, self._term.tunables.forecast_period_us
            )
            with self._loop_budget.measure("forecasts"):
                self.refresh_due_forecasts(now_us())

    def refresh_due_forecasts(self, at_us: int) -> None:
        """Update the forecasts whose next update is due, and log the jobs that turned late."""
        if self.follow_clock is not None:
            self.follow_clock(at_us, wall_us())
        forecasts = self._current_forecasts()
        try:
            for job in forecasts.refresh(at_us):
                self._report_if_late(job, at_us)
        except Exception:
            # The failed update may have taken a job's change notification without applying it, so
            # the next update starts with new forecasts of all jobs.
            forecasts.close()
            self._forecasts = None
            raise

    def _report_if_late(self, job: Job, at_us: int) -> None:
        """Log a job that turns late.

        In a chain of jobs, lateness is reported for the job on which users set the deadline, and
        not for the jobs that inherit the deadline from it.
        """
        if job.cancelled:
            return
        job_due_us = effective_due_us(job)
        if job.calendar_deadline is not None:
            self._report_calendar_lateness(job, at_us)
            if job.spec.deadline_s is None:
                return
            # The deadline that the job's owner set is reported separately, as for any other job.
            job_due_us = job.first_seen_us + seconds_us(job.spec.deadline_s)
        late = job_due_us is not None and (
            at_us > job_due_us
            or (job.expected_finish_us is not None and job.expected_finish_us > job_due_us)
        )
        stuck = (
            is_failing_everywhere(job) and not job.spec.is_service and not job.unmet_dependencies
        )
        newly_reported = (late or stuck) and not job.reported_late
        # The forecast of a whole chain fluctuates, so a job with dependencies is reported once.
        job.reported_late = late or stuck or (job.reported_late and bool(job.spec.needs))
        if not newly_reported:
            return
        if stuck:
            log.warning("%s looks unable to finish: its tasks fail on every machine tried", job.id)
        elif job.spec.deadline_s is not None:
            stage = find_blocking_job(self._term.cluster, job)
            finish_us = job.expected_finish_us or at_us
            log.warning(
                "%s will be late: due in %.0f s, forecast in %.0f s; %s%s (%s): %d of %d "
                "tasks done",
                job.id, to_seconds((job_due_us or at_us) - at_us), to_seconds(finish_us - at_us),
                "" if stage is job else "it waits for ", stage.id, stage.spec.job_class,
                stage.done, stage.spec.tasks,
            )  # fmt: skip

    # -- jobs with a calendar deadline -----------------------------------------------------

    def deadline_standing(self, job: Job, at_us: int) -> DeadlineStatus:
        """Compare a job's latest forecast with its calendar deadline.

        Without enough history for a forecast, a job that any term has reported late stays late:
        otherwise a new leader reported such jobs as unknown.
        """
        # Before recovery has ended, running tasks may be unknown and would count as waiting.
        has_history = self._term.ready and self._term.estimates.has_observations(job)
        min_remaining_us = self._stage_us(job) if job.blocking_gate is not None else 0
        standing = lateness.assess_deadline(
            job, at_us, has_history=has_history, min_duration_us=min_remaining_us
        )
        if (
            standing is DeadlineStatus.UNKNOWN
            and self.late_notices is not None
            and self.late_notices.was_notified(job)
        ):
            return DeadlineStatus.LATE
        return standing

    def _report_calendar_lateness(self, job: Job, at_us: int) -> None:
        """Report a job that will miss its calendar deadline, once over all terms."""
        notices, deadline_us = self.late_notices, job.calendar_due_us
        if deadline_us is None or self.deadline_standing(job, at_us) is not DeadlineStatus.LATE:
            return
        if not self._term.ready or not self._term.is_valid:
            return
        if notices.was_notified(job) if notices is not None else job.reported_late:
            return
        job.reported_late = job.reported_late or notices is None
        finish_us = job.expected_finish_us
        expected = "no end can be forecast"
        if finish_us is not None and not job.fails_everywhere:
            expected = f"expected {format_duration(max(0, finish_us - deadline_us))} after that"
        boot_forecast = self._current_forecasts().boot_forecast()
        reason = lateness.explain_lateness(
            self._term.cluster, job, boot_forecast, at_us, self.hold_reason
        )
        state = "is late" if at_us > deadline_us else "will be late"
        assert job.calendar_deadline is not None
        message = (
            f"{job.id} {state}: {format_deadline(job.calendar_deadline)}, {expected}: {reason}"
        )
        if notices is not None:
            notices.notify(job, message)
        else:
            log.warning("%s", message)

    def log_summary(self, at_us: int) -> None:
        """Log how many jobs with calendar deadlines a new term has, and which of them are late."""
        jobs = [
            job for job in self._term.cluster.jobs.values() if job.calendar_deadline is not None
        ]
        if self.late_notices is None and not jobs:
            return
        for job in jobs:
            if (
                job.calendar_due_us is not None
                and job.calendar_due_us - at_us <= DUE_SOON_WINDOW_US
            ):
                self.refresh(job)
        summary = lateness.summarize_lateness(
            ((job, self.deadline_standing(job, at_us)) for job in jobs), at_us
        )
        log.info("term %d: %s", self._term.token, summary.format_line())
