"""Builds the job statuses that a term reports to users from its memory."""

from typing import TYPE_CHECKING

from weldhead.calendars.formatting import format_utc
from weldhead.clock import now_us, to_seconds
from weldhead.cluster_state.jobs import Job
from weldhead.controller.requests.completions import CompletionCommitter
from weldhead.controller.scheduling_loop.completion_forecaster import CompletionForecaster
from weldhead.controller.term import Term
from weldhead.protocol.wire import JobStatus
from weldhead.scheduling.forecast.completion_times import effective_due_us
from weldhead.scheduling.forecast.deadline_lateness import DeadlineStatus

if TYPE_CHECKING:
    from weldhead.controller.configuration.gate_keeper import GateKeeper


class JobStatusReporter:
    """Reports job statuses that are as new as the state service's, while the lease is valid."""

    def __init__(
        self,
        term: Term,
        completions: CompletionCommitter,
        forecaster: CompletionForecaster,
        gate_keeper: "GateKeeper | None",
    ) -> None:
        self._term = term
        self._completions = completions
        self._forecaster = forecaster
        self._gate_keeper = gate_keeper

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory; None if the state service has to be read."""
        if not self._term.loaded or not self._term.is_valid:
            return None
        job = self._term.cluster.jobs.get(job_id)
        if job is not None:
            # A dependency whose outcome only the state service knows could have withdrawn the
            # job, and another controller could have reported that already.
            return self._status_of(job) if self._term.dependency_graph.is_resolved(job) else None
        final = self._completions.finals.get(job_id)
        if final is not None:
            return JobStatus(job_id, final.status, final.done, 0)
        return None

    def is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None if the job is not in memory."""
        job = self._term.cluster.jobs.get(job_id)
        if job is not None:
            return job.spec.is_service
        final = self._completions.finals.get(job_id)
        return final.service if final is not None else None

    def _status_of(self, job: Job) -> JobStatus:
        answer = JobStatus(job.id, job.status, job.done, job.running)
        if not job.cancelled:
            self._forecaster.refresh(job)
            answer.due_at = (
                format_utc(job.calendar_deadline.due_us)
                if job.calendar_deadline is not None
                else None
            )
        if self._gate_keeper is not None:
            answer.held_by = self._gate_keeper.describe_confirmed_hold(job)
        if job.cancelled or job.expected_finish_us is None:
            return answer
        answer.forecast_s = round(to_seconds(job.expected_finish_us - job.first_seen_us), 1)
        job_due_us = effective_due_us(job)
        standing = (
            self._forecaster.deadline_standing(job, now_us())
            if job.calendar_deadline is not None
            else None
        )
        if standing is DeadlineStatus.UNKNOWN:
            # Without run times of earlier tasks of the job's class there is no basis for a guess.
            return answer
        if job_due_us is not None:
            answer.late = job.expected_finish_us > job_due_us or standing is DeadlineStatus.LATE
            if job.expected_finish_us > job_due_us:
                answer.late_by_s = round(to_seconds(job.expected_finish_us - job_due_us), 1)
        return answer
