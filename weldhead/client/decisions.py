"""What to do next about a submission, and what an answer means: pure functions.

A submission is one run after the other, each under an id of its own; the next one begins
only when the one before has surely ended. A run's record only ever moves forward
(:func:`advance`), so that two processes with one journal cannot undo each other's news.

What is known of a run is decided by what was sent and answered: a try that got no answer,
or a 503, may be carried out at any later time. So

* the same id is used until the service has said what became of it;
* a 404 proves nothing about a run of which a try may still be under way: to withdraw it, it
  is made accepted first, and then withdrawn for good;
* only a run of which surely nothing was ever sent is withdrawn without the service.

Times are microseconds; those that outlive the process are the time of day.
"""

import enum
import random

import msgspec

from weldhead.client.policy import Policy
from weldhead.clock import MILLISECOND_US, SECOND_US, seconds_us

#: How long after a refusal a try that got no answer is still watched for.
WATCH_US = 600 * SECOND_US
WATCH_PERIOD_US = 20 * SECOND_US

RETRY_US = SECOND_US
RETRY_MOST_US = 30 * SECOND_US
POLL_FIRST_US = 150 * MILLISECOND_US
POLL_US = 5 * SECOND_US
POLLS_PER_S = 400


class RunPhase(enum.IntEnum):
    """How far a run has come; a larger one is never left for a smaller one."""

    NEW = 0
    SENT = 1
    ACCEPTED = 2
    DONE = 3
    WITHDRAWN = 4
    REFUSED = 5
    FOREIGN = 6

    @property
    def final(self) -> bool:
        """Whether the run is over for its caller."""
        return self >= RunPhase.DONE


class Run(msgspec.Struct, array_like=True, tag="run", frozen=True):
    """A run's record.

    ``sends`` counts tries to submit that were begun, ``settled`` those of them whose fate
    is known: answered for good, or surely never sent. ``cancel``: it is to be withdrawn;
    ``failed`` why, if its commands failed. ``stray``: it was refused, and a late try of it
    was accepted after all. ``suspect``: see ``RunAnswer``.
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
    stray: bool = False
    suspect: bool = False
    uploaded: bool = False

    @property
    def loose(self) -> int:
        """Tries that may still be carried out."""
        return self.sends - self.settled


class RunUpdate(msgspec.Struct, frozen=True):
    """What is added to a run's record; ``unsent``: only if surely nothing was ever sent."""

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
    stray: bool = False
    suspect: bool = False
    uploaded: bool = False
    unsent: bool = False


NOTHING = RunUpdate()


def advance(run: Run, news: RunUpdate) -> Run:
    """Add news to a record: nothing final changes, nothing moves back."""
    if news.unsent and (run.loose or run.phase > RunPhase.SENT):
        return run
    if run.phase is RunPhase.ACCEPTED and news.phase is RunPhase.REFUSED:
        # A refusal that was given before another try was accepted: accepted is for good.
        news = RunUpdate(settled=news.settled)
    if run.phase is RunPhase.REFUSED and news.phase is RunPhase.ACCEPTED:
        # The other way round: its caller was told that it is refused, so it must not run.
        news = RunUpdate(stray=True)
    final = run.phase.final
    return Run(
        id=run.id,
        number=run.number,
        phase=run.phase if final else max(run.phase, news.phase),
        sends=run.sends + news.sends,
        settled=min(run.settled + news.settled, run.sends + news.sends),
        first_sent_us=run.first_sent_us or news.sent_us,
        cancel=run.cancel or news.cancel,
        failed=run.failed or (None if final else news.failed),
        status=run.status if final else news.status or run.status,
        field=run.field if final else news.field or run.field,
        reason=run.reason if final else news.reason or run.reason,
        refused_us=run.refused_us or news.refused_us,
        stray=run.stray or news.stray,
        suspect=run.suspect or news.suspect,
        uploaded=run.uploaded or news.uploaded,
    )


# What the service may say


class StatusAnswer(msgspec.Struct, frozen=True):
    """200 or 201: the job's state as the service has it. ``fresh``: accepted just now."""

    state: str
    fresh: bool = False
    done: int | None = None
    running: int | None = None
    forecast_s: float | None = None
    late_by_s: float | None = None
    #: What calendars and gates say; ``late`` is None where nobody can tell.
    late: bool | None = None
    due_at: str | None = None
    held_by: str | None = None


class RefusedAnswer(msgspec.Struct, frozen=True):
    """400 or 422: never to be tried again."""

    status: int
    reason: str
    field: str | None = None


class MissingAnswer(msgspec.Struct, frozen=True):
    """404: not known at this moment."""


class FailedCall(msgspec.Struct, frozen=True):
    """No answer that settles anything; ``sent`` false: surely nothing was sent."""

    reason: str
    sent: bool = True
    retry_after_us: int = 0


Reply = StatusAnswer | RefusedAnswer | MissingAnswer | FailedCall


class Step(enum.Enum):
    """What is to be done about a run."""

    UPLOAD = "upload"
    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    CLOSE = "close"
    WATCH = "watch"
    END = "end"


def next_step(
    run: Run, policy: Policy, wall_us: int, *, has_work: bool, missed: bool = False
) -> Step:
    """Return what to do next. ``missed``: a cancellation was answered with 404."""
    if run.stray and run.loose:
        return Step.CANCEL
    if run.phase is RunPhase.REFUSED and run.loose and wall_us < run.refused_us + WATCH_US:
        return Step.WATCH
    if run.phase.final:
        return Step.END
    if run.cancel or is_undecided(run, policy, wall_us):
        if run.phase <= RunPhase.SENT and not run.loose:
            return Step.CLOSE
        if run.phase is RunPhase.ACCEPTED or not missed:
            return Step.CANCEL
    if run.phase is RunPhase.ACCEPTED:
        return Step.POLL
    if has_work and not run.uploaded:
        return Step.UPLOAD
    return Step.SUBMIT


def is_undecided(run: Run, policy: Policy, wall_us: int) -> bool:
    """Whether the caller wants the run withdrawn because nothing has been heard for long."""
    return (
        run.phase is RunPhase.SENT
        and policy.undecided == "withdraw"
        and wall_us - run.first_sent_us >= seconds_us(policy.patience_s)
    )


def before_send(wall_us: int, *, uploaded: bool = False) -> RunUpdate:
    """Return what is recorded before the first byte of a try to submit leaves."""
    return RunUpdate(phase=RunPhase.SENT, sends=1, sent_us=wall_us, uploaded=uploaded)


def learn(run: Run, step: Step, reply: Reply, wall_us: int, tasks: int) -> RunUpdate:
    """Return what a reply to a step tells about the run (as it was when the step began)."""
    match step, reply:
        case (Step.UPLOAD, StatusAnswer()):
            return RunUpdate(uploaded=True)
        case (Step.UPLOAD, RefusedAnswer(409, reason, field)):
            return _foreign(reason)
        case (Step.UPLOAD, RefusedAnswer(status, reason, field)):
            return RunUpdate(RunPhase.REFUSED, status=status, reason=reason, field=field)
        case (Step.UPLOAD, MissingAnswer()):
            return RunUpdate(RunPhase.REFUSED, status=404, reason="this server takes no commands")
        case (Step.SUBMIT, FailedCall(sent=sent)):
            return NOTHING if sent else RunUpdate(settled=1)
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
            return RunUpdate(stray=True)
        case (Step.CANCEL, StatusAnswer(state)) if run.phase.final and state in (
            "done",
            "withdrawn",
        ):
            # The stray has been withdrawn for good: no later try of it starts anything.
            return RunUpdate(settled=run.loose)
        case ((Step.SUBMIT | Step.POLL | Step.CANCEL), StatusAnswer()):
            return _told(run, step, reply, tasks)
    return NOTHING


def _told(run: Run, step: Step, told: StatusAnswer, tasks: int) -> RunUpdate:
    settled = 1 if step is Step.SUBMIT else 0
    # Before this try nothing of the run had left: whatever is known under its id by now is
    # this try, repeated inside the service, or somebody else's job.
    first = step is Step.SUBMIT and run.sends == 1 and not told.fresh
    counted = (told.done or 0) + (told.running or 0)
    if counted > tasks or (first and told.state == "withdrawn"):
        return _foreign(f"the service has another job under {run.id}")
    phase = {"done": RunPhase.DONE, "withdrawn": RunPhase.WITHDRAWN}.get(
        told.state, RunPhase.ACCEPTED
    )
    if phase.final:
        settled = run.loose
    return RunUpdate(phase, settled=settled, suspect=first)


def _foreign(reason: str) -> RunUpdate:
    return RunUpdate(RunPhase.FOREIGN, settled=1, reason=reason)


def repeats(policy: Policy, runs: list[Run], *, cancelled: bool) -> bool:
    """Whether a submission whose last run is over gets another run.

    A run under an id that is somebody else's counts for nothing: it has never been ours.
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
    own = sum(run.phase is not RunPhase.FOREIGN for run in runs)
    return cause in policy.on and own <= policy.repeat


def gives_up(policy: Policy, failures: int) -> bool:
    """Whether a job is given up whose worst task has failed so often."""
    return 0 < policy.fail_after <= failures


# Pauses


def retry_pause_us(failures: int, reply: Reply, chance: random.Random) -> int:
    """Return how long to wait after the given number of failures in a row.

    Doubling, with jitter over the upper half, never less than ``RETRY_US`` and never less
    than the service asked for (which counts up to 30 s).
    """
    full = min(RETRY_MOST_US, RETRY_US << min(failures - 1, 10))
    asked = reply.retry_after_us if isinstance(reply, FailedCall) else 0
    asked = min(asked, RETRY_MOST_US)
    # Those who were told the same time come back over a while, not all at once.
    spread = round(chance.uniform(0, full / 2))
    return max(RETRY_US, asked, full // 2) + spread


def poll_pause_us(polls: int, waiting: int, chance: random.Random) -> int:
    """Return how long to wait after so many polls that brought nothing final.

    Short at first, then PROTOCOL's five seconds; longer when so many submissions wait that
    together they would ask more than ``POLLS_PER_S``.
    """
    full = min(POLL_US, POLL_FIRST_US * 1.4 ** min(polls, 20))
    return round(max(full, waiting * SECOND_US / POLLS_PER_S) * chance.uniform(0.75, 1.0))
