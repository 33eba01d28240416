"""Pure functions that choose a submission's next step and interpret the service's replies.

A submission consists of one or more runs, each with its own job id. The next run begins only
after the previous run has surely ended. A run's record only moves forward (:func:`advance`), so
that two processes with one journal cannot undo each other's updates.

The service may still carry out a try at any later time if the try got no answer, or a 503.
Therefore:

* The client uses the same id until the service has reported the fate of the run.
* A 404 proves nothing while a try may still be under way. To withdraw such a run, the client
  first submits the run until the service accepts it, and then withdraws it for good.
* The client withdraws a run without asking the service only if surely nothing of the run was
  ever sent.

Times are in microseconds. Times that outlive the process are times of day; the others are read
from a steady clock.
"""

import enum
import random

import msgspec

from weldhead.client.policy import Policy
from weldhead.clock import MILLISECOND_US, SECOND_US, seconds_us

#: For this long after a refusal, the client checks whether the service has accepted an earlier
#: try of the run that got no answer.
LATE_TRY_WATCH_US = 600 * SECOND_US
LATE_TRY_POLL_INTERVAL_US = 20 * SECOND_US

MIN_RETRY_PAUSE_US = SECOND_US
MAX_RETRY_PAUSE_US = 30 * SECOND_US
MIN_POLL_PAUSE_US = 150 * MILLISECOND_US
MAX_POLL_PAUSE_US = 5 * SECOND_US
MAX_POLLS_PER_S = 400


class RunPhase(enum.IntEnum):
    """The progress of a run; a run never returns to a smaller phase.

    ``FOREIGN`` means that the job with the run's id is not this client's.
    """

    NEW = 0
    SENT = 1
    ACCEPTED = 2
    DONE = 3
    WITHDRAWN = 4
    REFUSED = 5
    FOREIGN = 6

    @property
    def final(self) -> bool:
        """Whether the run has ended from the caller's point of view."""
        return self >= RunPhase.DONE


class Run(msgspec.Struct, array_like=True, tag="run", frozen=True):
    """A run's record in the journal.

    ``sends`` counts the tries to submit that were begun, ``settled`` those of them whose fate is
    known: they got a definite answer or were surely never sent. ``cancel`` says that the run is
    to be withdrawn, ``failed`` describes the failure of its command if that is the reason.
    ``accepted_late`` says that the service refused the run and later accepted an earlier try of
    it. ``suspect`` has the meaning that ``RunAnswer`` describes.
    """

    id: str
    number: int
    phase: RunPhase = RunPhase.NEW
    sends: int = 0
    settled: int = 0
    first_sent_us: int = 0
    cancel: bool = False
    failed: str | None = None
    status: int | None = None
    field: str | None = None
    reason: str | None = None
    refused_us: int = 0
    accepted_late: bool = False
    suspect: bool = False
    uploaded: bool = False

    @property
    def unsettled_tries(self) -> int:
        """The number of tries that the service may still carry out."""
        return self.sends - self.settled


class RunUpdate(msgspec.Struct, frozen=True):
    """New facts for a run's record.

    With ``unsent``, the update applies only if surely nothing of the run was ever sent.
    """

    phase: RunPhase = RunPhase.NEW
    sends: int = 0
    settled: int = 0
    sent_us: int = 0
    cancel: bool = False
    failed: str | None = None
    status: int | None = None
    field: str | None = None
    reason: str | None = None
    refused_us: int = 0
    accepted_late: bool = False
    suspect: bool = False
    uploaded: bool = False
    unsent: bool = False


NO_UPDATE = RunUpdate()


def advance(run: Run, update: RunUpdate) -> Run:
    """Return the record with an update applied; final facts and the phase never go back."""
    if update.unsent and (run.unsettled_tries or run.phase > RunPhase.SENT):
        return run
    if run.phase is RunPhase.ACCEPTED and update.phase is RunPhase.REFUSED:
        # The service refused one try and accepted another: the acceptance counts.
        update = RunUpdate(settled=update.settled)
    if run.phase is RunPhase.REFUSED and update.phase is RunPhase.ACCEPTED:
        # The caller has already been told of the refusal, so the accepted job must not run.
        update = RunUpdate(accepted_late=True)
    final = run.phase.final
    return Run(
        id=run.id,
        number=run.number,
        phase=run.phase if final else max(run.phase, update.phase),
        sends=run.sends + update.sends,
        settled=min(run.settled + update.settled, run.sends + update.sends),
        first_sent_us=run.first_sent_us or update.sent_us,
        cancel=run.cancel or update.cancel,
        failed=run.failed or (None if final else update.failed),
        status=run.status if final else update.status or run.status,
        field=run.field if final else update.field or run.field,
        reason=run.reason if final else update.reason or run.reason,
        refused_us=run.refused_us or update.refused_us,
        accepted_late=run.accepted_late or update.accepted_late,
        suspect=run.suspect or update.suspect,
        uploaded=run.uploaded or update.uploaded,
    )


# Replies of the service


class StatusAnswer(msgspec.Struct, frozen=True):
    """200 or 201: the job's state at the service; ``fresh`` if this request created the job."""

    state: str
    fresh: bool = False
    done: int | None = None
    running: int | None = None
    forecast_s: float | None = None
    late_by_s: float | None = None
    #: The facts from calendars and gates; ``late`` is None if the service cannot tell.
    late: bool | None = None
    due_at: str | None = None
    held_by: str | None = None


class RefusedAnswer(msgspec.Struct, frozen=True):
    """A refusal, such as 400 or 422: another try would be refused as well."""

    status: int
    reason: str
    field: str | None = None


class MissingAnswer(msgspec.Struct, frozen=True):
    """404: the service does not know the job at this moment."""


class FailedCall(msgspec.Struct, frozen=True):
    """A try without a conclusive answer; ``sent`` is false if surely nothing was sent."""

    reason: str
    sent: bool = True
    retry_after_us: int = 0


Reply = StatusAnswer | RefusedAnswer | MissingAnswer | FailedCall


class Step(enum.Enum):
    """The next step of a run.

    ``CLOSE`` withdraws a run of which nothing was sent, without asking the service; ``WATCH``
    polls a refused run for a late acceptance; ``END`` means that no step is left.
    """

    UPLOAD = "upload"
    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    CLOSE = "close"
    WATCH = "watch"
    END = "end"


def next_step(
    run: Run, policy: Policy, wall_us: int, *, needs_upload: bool, cancel_not_found: bool = False
) -> Step:
    """Return the next step of a run.

    ``needs_upload`` says that the job has a command whose description is not uploaded yet,
    ``cancel_not_found`` that the service answered the last cancellation with 404.
    """
    if run.accepted_late and run.unsettled_tries:
        return Step.CANCEL
    if (
        run.phase is RunPhase.REFUSED
        and run.unsettled_tries
        and wall_us < run.refused_us + LATE_TRY_WATCH_US
    ):
        return Step.WATCH
    if run.phase.final:
        return Step.END
    if run.cancel or is_undecided(run, policy, wall_us):
        if run.phase <= RunPhase.SENT and not run.unsettled_tries:
            return Step.CLOSE
        if run.phase is RunPhase.ACCEPTED or not cancel_not_found:
            return Step.CANCEL
    if run.phase is RunPhase.ACCEPTED:
        return Step.POLL
    if needs_upload and not run.uploaded:
        return Step.UPLOAD
    return Step.SUBMIT


def is_undecided(run: Run, policy: Policy, wall_us: int) -> bool:
    """Return whether the policy withdraws the run for lack of an answer within its patience."""
    return (
        run.phase is RunPhase.SENT
        and policy.undecided == "withdraw"
        and wall_us - run.first_sent_us >= seconds_us(policy.patience_s)
    )


def update_before_send(wall_us: int, *, uploaded: bool = False) -> RunUpdate:
    """Return the update to record before the first byte of a try to submit is sent."""
    return RunUpdate(phase=RunPhase.SENT, sends=1, sent_us=wall_us, uploaded=uploaded)


def update_from_reply(run: Run, step: Step, reply: Reply, wall_us: int, tasks: int) -> RunUpdate:
    """Return the new facts in a step's reply; ``run`` is the record when the step began."""
    match step, reply:
        case (Step.UPLOAD, StatusAnswer()):
            return RunUpdate(uploaded=True)
        case (Step.UPLOAD, RefusedAnswer(409, reason, field)):
            return _foreign_update(reason)
        case (Step.UPLOAD, RefusedAnswer(status, reason, field)):
            return RunUpdate(RunPhase.REFUSED, status=status, reason=reason, field=field)
        case (Step.UPLOAD, MissingAnswer()):
            return RunUpdate(RunPhase.REFUSED, status=404, reason="this server takes no commands")
        case (Step.SUBMIT, FailedCall(sent=sent)):
            return NO_UPDATE if sent else RunUpdate(settled=1)
        case (Step.SUBMIT, RefusedAnswer(status, reason, field)):
            return RunUpdate(
                RunPhase.REFUSED,
                settled=1,
                status=status,
                reason=reason,
                field=field,
                refused_us=wall_us,
            )
        case (Step.WATCH, StatusAnswer()):
            return RunUpdate(accepted_late=True)
        case (Step.CANCEL, StatusAnswer(state)) if run.phase.final and state in (
            "done",
            "withdrawn",
        ):
            # The late acceptance has ended for good: no later try starts the job again.
            return RunUpdate(settled=run.unsettled_tries)
        case ((Step.SUBMIT | Step.POLL | Step.CANCEL), StatusAnswer()):
            return _update_from_status(run, step, reply, tasks)
    return NO_UPDATE


def _update_from_status(run: Run, step: Step, status: StatusAnswer, tasks: int) -> RunUpdate:
    settled = 1 if step is Step.SUBMIT else 0
    # The client had sent nothing of the run before this try. So the job that the service already
    # knows under the run's id is this try, repeated inside the service, or another client's job.
    known_at_first_try = step is Step.SUBMIT and run.sends == 1 and not status.fresh
    reported_tasks = (status.done or 0) + (status.running or 0)
    if reported_tasks > tasks or (known_at_first_try and status.state == "withdrawn"):
        return _foreign_update(f"the service has another job under {run.id}")
    phase = {"done": RunPhase.DONE, "withdrawn": RunPhase.WITHDRAWN}.get(
        status.state, RunPhase.ACCEPTED
    )
    if phase.final:
        settled = run.unsettled_tries
    return RunUpdate(phase, settled=settled, suspect=known_at_first_try)


def _foreign_update(reason: str) -> RunUpdate:
    return RunUpdate(RunPhase.FOREIGN, settled=1, reason=reason)


def should_repeat(policy: Policy, runs: list[Run], *, cancelled: bool) -> bool:
    """Return whether a submission whose last run has ended gets another run.

    A run whose id belongs to another client's job does not count against the policy's limit,
    as the service never accepted it for this client.
    """
    last = runs[-1]
    if cancelled:
        return False
    if last.phase is RunPhase.FOREIGN:
        return True
    if last.phase is not RunPhase.WITHDRAWN:
        return False
    cause = "failed" if last.failed else "withdrawn"
    if last.cancel and not last.failed:
        return False
    own_runs = sum(run.phase is not RunPhase.FOREIGN for run in runs)
    return cause in policy.on and own_runs <= policy.repeat


def has_failed_too_often(policy: Policy, failures: int) -> bool:
    """Return whether the client withdraws a job because of its failures.

    ``failures`` is the largest number of failures of a single task of the job.
    """
    return 0 < policy.fail_after <= failures


# Pauses


def retry_pause_us(failures: int, reply: Reply, rng: random.Random) -> int:
    """Return the pause before a retry, after the given number of failures in a row.

    The pause doubles with each failure, with random jitter in its upper half. The pause is at
    least ``MIN_RETRY_PAUSE_US`` and at least the pause that the service asked for, of which up
    to ``MAX_RETRY_PAUSE_US`` are respected.
    """
    base_pause_us = min(MAX_RETRY_PAUSE_US, MIN_RETRY_PAUSE_US << min(failures - 1, 10))
    requested_us = reply.retry_after_us if isinstance(reply, FailedCall) else 0
    requested_us = min(requested_us, MAX_RETRY_PAUSE_US)
    # The jitter spreads the retries of clients that were given the same ``Retry-After``.
    jitter_us = round(rng.uniform(0, base_pause_us / 2))
    return max(MIN_RETRY_PAUSE_US, requested_us, base_pause_us // 2) + jitter_us


def poll_pause_us(polls: int, waiting: int, rng: random.Random) -> int:
    """Return the pause before the next poll, after ``polls`` polls without a final state.

    The pause grows from ``MIN_POLL_PAUSE_US`` to the protocol's five seconds. The pause is longer
    if ``waiting`` submissions would together exceed ``MAX_POLLS_PER_S``.
    """
    base_pause_us = min(MAX_POLL_PAUSE_US, MIN_POLL_PAUSE_US * 1.4 ** min(polls, 20))
    return round(max(base_pause_us, waiting * SECOND_US / MAX_POLLS_PER_S) * rng.uniform(0.75, 1.0))
