"""What a term tells users of a job, from its memory."""

from typing import TYPE_CHECKING

from weldhead.calendars.formatting import format_utc
from weldhead.clock import now_us, to_seconds
from weldhead.cluster_state.jobs import Job
from weldhead.controller.requests.completions import Completions
from weldhead.controller.scheduling_loop.completion_forecaster import CompletionForecaster
from weldhead.controller.term import Term
from weldhead.protocol.wire import JobStatus
from weldhead.scheduling.forecast.completion_times import effective_due_us
from weldhead.scheduling.forecast.deadline_lateness import DeadlineStatus

if TYPE_CHECKING:
    from weldhead.controller.configuration.gate_keeper import GateKeeper


class JobStatusReporter:
    """Statuses as new as the store's, while the term may command."""

    def __init__(
        self,
        term: Term,
        completions: Completions,
        forecaster: CompletionForecaster,
        gate_keeper: "GateKeeper | None",
    ) -> None:
        self._term = term
        self._completions = completions
        self._forecaster = forecaster
        self._gate_keeper = gate_keeper

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory, as new as the store's; None: not known here."""
        if not self._term.loaded or not self._term.valid:
            return None
        job = self._term.cluster.jobs.get(job_id)
        if job is not None:
            # What only the store knows could have withdrawn it, and have been told so.
            return self._status_of(job) if self._term.dependency_graph.is_resolved(job) else None
        final = self._completions.finals.get(job_id)
        if final is not None:
            return JobStatus(job_id, final.status, final.done, 0)
        return None

    def is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None: not known here."""
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
            answer.held_by = self._gate_keeper.held_by(job)
        if job.cancelled or job.expected_finish_us is None:
            return answer
        answer.forecast_s = round(to_seconds(job.expected_finish_us - job.first_seen_us), 1)
        due = effective_due_us(job)
        stands = (
            self._forecaster.deadline_standing(job, now_us())
            if job.calendar_deadline is not None
            else None
        )
        if stands is DeadlineStatus.UNKNOWN:
            # Nothing is guessed of a job of no history.
            return answer
        if due is not None:
            answer.late = job.expected_finish_us > due or stands is DeadlineStatus.LATE
            if job.expected_finish_us > due:
                answer.late_by_s = round(to_seconds(job.expected_finish_us - due), 1)
        return answer
