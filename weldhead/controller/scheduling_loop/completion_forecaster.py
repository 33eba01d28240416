"""Each job's forecast, and what is said of those that turn late."""

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
    """What was told of bound jobs, by any term."""

    def was_notified(self, job: Job) -> bool:
        """Whether a job was told late for its instant, or for a later one."""

    def notify(self, job: Job, words: str) -> None:
        """Have it said that a job will be late."""


class CompletionForecaster:
    """Keeps the forecasts; ``stage_us`` estimates a job's own part of its chain."""

    def __init__(
        self, term: Term, loop_budget: EventLoopBudget, stage_us: Callable[[Job], int]
    ) -> None:
        self._term = term
        self._loop_budget = loop_budget
        self._stage_us = stage_us
        #: What was told of bound jobs, and who follows the clocks; None: no calendars here.
        self.late_notices: LateNotices | None = None
        self.follow_clock: Callable[[int, int], None] | None = None
        #: Says why a job is held; "": no gate holds it.
        self.hold_reason: Callable[[Job], str] = lambda job: ""
        #: Made when first needed, and made anew after a failure.
        self._forecasts: JobForecasts | None = None

    def refresh(self, job: Job) -> None:
        """Bring a job's forecast up to date for somebody who asks."""
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
        """Forecast each job's finish, and say when one turns late."""
        while True:
            await self._loop_budget.pause(
                "forecasts", LoopPriority.FORECASTS, self._term.tunables.forecast_period_us
            )
            with self._loop_budget.measure("forecasts"):
                self.refresh_due(now_us())

    def refresh_due(self, at_us: int) -> None:
        """Bring the forecasts that are due up to date."""
        if self.follow_clock is not None:
            self.follow_clock(at_us, wall_us())
        forecasts = self._current_forecasts()
        try:
            for job in forecasts.refresh(at_us):
                self._report_if_late(job, at_us)
        except Exception:
            # It may have lost a job out of its observation: made anew at the next look.
            forecasts.close()
            self._forecasts = None
            raise

    def _report_if_late(self, job: Job, at_us: int) -> None:
        """Log a job that turns late; of a chain, that whose users set the deadline."""
        if job.cancelled:
            return
        due = effective_due_us(job)
        if job.calendar_deadline is not None:
            self._report_calendar_lateness(job, at_us)
            if job.spec.deadline_s is None:
                return
            # Its owner's deadline is told of as that of any other job.
            due = job.first_seen_us + seconds_us(job.spec.deadline_s)
        late = due is not None and (
            at_us > due or (job.expected_finish_us is not None and job.expected_finish_us > due)
        )
        stuck = (
            is_failing_everywhere(job) and not job.spec.is_service and not job.unmet_dependencies
        )
        turned = (late or stuck) and not job.reported_late
        # Forecasts of a whole chain waver: said once.
        job.reported_late = late or stuck or (job.reported_late and bool(job.spec.needs))
        if not turned:
            return
        if stuck:
            log.warning("%s looks unable to finish: it fails everywhere", job.id)
        elif job.spec.deadline_s is not None:
            stage = find_blocking_job(self._term.cluster, job)
            finish_us = job.expected_finish_us or at_us
            log.warning(
                "%s will be late: due in %.0f s, forecast in %.0f s; %s%s (%s) has %d of %d "
                "tasks done",
                job.id, to_seconds((due or at_us) - at_us), to_seconds(finish_us - at_us),
                "" if stage is job else "it waits for ", stage.id, stage.spec.job_class,
                stage.done, stage.spec.tasks,
            )  # fmt: skip

    # -- bound jobs ------------------------------------------------------------------------

    def deadline_standing(self, job: Job, at_us: int) -> DeadlineStatus:
        """Say how a bound job stands, by its latest forecast, or as it was told last.

        A successor of no history called those unknown that its predecessor had told late.
        """
        # Who does not know yet what runs where would take all that runs for waiting.
        known = self._term.ready and self._term.estimates.has_observations(job)
        least_us = self._stage_us(job) if job.blocking_gate is not None else 0
        stands = lateness.assess_deadline(job, at_us, has_history=known, min_duration_us=least_us)
        if (
            stands is DeadlineStatus.UNKNOWN
            and self.late_notices is not None
            and self.late_notices.was_notified(job)
        ):
            return DeadlineStatus.LATE
        return stands

    def _report_calendar_lateness(self, job: Job, at_us: int) -> None:
        """Have it said once, by whichever term, that a bound job will be late."""
        notes, due_us = self.late_notices, job.calendar_due_us
        if due_us is None or self.deadline_standing(job, at_us) is not DeadlineStatus.LATE:
            return
        if not self._term.ready or not self._term.valid:
            return
        if notes.was_notified(job) if notes is not None else job.reported_late:
            return
        job.reported_late = job.reported_late or notes is None
        forecast_us = job.expected_finish_us
        expected = "no end in observation"
        if forecast_us is not None and not job.broken:
            expected = f"expected {format_duration(max(0, forecast_us - due_us))} after that"
        boots = self._current_forecasts().boot_forecast()
        why = lateness.explain_lateness(self._term.cluster, job, boots, at_us, self.hold_reason)
        state = "is late" if at_us > due_us else "will be late"
        assert job.calendar_deadline is not None
        words = f"{job.id} {state}: {format_deadline(job.calendar_deadline)}, {expected}: {why}"
        if notes is not None:
            notes.notify(job, words)
        else:
            log.warning("%s", words)

    def log_summary(self, at_us: int) -> None:
        """Log how the bound jobs stand that a new term has found."""
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
        found = lateness.summarize_lateness(
            ((job, self.deadline_standing(job, at_us)) for job in jobs), at_us
        )
        log.info("term %d: %s", self._term.token, found.format_line())
