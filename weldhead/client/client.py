"""The asynchronous client: an asyncio task for each submission works until its final answer."""

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator, Iterable
from pathlib import Path
from types import TracebackType

import msgspec

from weldhead.client.answers import Answer, Outcome, RunAnswer
from weldhead.client.budget import RetryBudget
from weldhead.client.decisions import (
    LATE_TRY_POLL_INTERVAL_US,
    MAX_RETRY_PAUSE_US,
    NO_UPDATE,
    FailedCall,
    MissingAnswer,
    RefusedAnswer,
    Reply,
    Run,
    RunPhase,
    RunUpdate,
    StatusAnswer,
    Step,
    has_failed_too_often,
    is_undecided,
    next_step,
    poll_pause_us,
    retry_pause_us,
    should_repeat,
    update_before_send,
    update_from_reply,
)
from weldhead.client.endpoints import Endpoints
from weldhead.client.ids import new_id
from weldhead.client.job import Job, check_job, job_field_name
from weldhead.client.journal import Journal, JournalEntry, JournalError
from weldhead.client.policy import Policies, Policy
from weldhead.client.telemetry import Span, Telemetry
from weldhead.client.transport import Transport
from weldhead.clock import SECOND_US, now_us, seconds_us, wall_us

log = logging.getLogger(__name__)

#: The shortest time between two queries for the failed attempts of one job.
_OUTCOME_QUERY_INTERVAL_US = SECOND_US


class ClientSettings(msgspec.Struct):
    """The settings of a client.

    ``servers`` are addresses of the form ``host:port``; the client tries one after the other.
    ``retries_per_s`` bounds the retries that all submissions of the client together send while
    no server answers (None: no bound).
    """

    servers: list[str]
    journal: Path
    policies: Policies = Policies()
    connections: int = 64
    retries_per_s: float | None = 5.0


class _OutcomeReport(msgspec.Struct):
    """The server's answer to a query for the failed attempts of a job's tasks."""

    class FailingTask(msgspec.Struct):
        task: int
        failures: int
        code: int | None = None
        reason: str | None = None

    failing: list[FailingTask] = []


_OUTCOME_BY_PHASE = {
    RunPhase.DONE: Outcome.DONE,
    RunPhase.WITHDRAWN: Outcome.WITHDRAWN,
    RunPhase.REFUSED: Outcome.REFUSED,
    # A run whose id belongs to another job is the last one only if the caller cancelled the
    # submission; the service never accepted the run.
    RunPhase.FOREIGN: Outcome.WITHDRAWN,
}

_outcome_report_decoder = msgspec.json.Decoder(_OutcomeReport)


class _ActiveSubmission:
    """A submission that this client works on.

    ``last_status`` is the service's last answer with the job's state, ``last_failure`` the reason
    why the last try failed (empty if it succeeded). ``failures`` and ``polls`` count the failed
    tries in a row and the polls without a final state. ``cancel_not_found`` says that the service
    answered the last cancellation with 404. ``wake_up`` ends a pause early. ``changed`` is set,
    and replaced by a new event, whenever there is news for waiting callers.
    """

    def __init__(self, entry: JournalEntry) -> None:
        assert entry.job is not None
        self.key = entry.key
        self.job: Job = entry.job
        self.policy: Policy = entry.policy
        self.cancelled = entry.cancelled
        self.runs: list[Run] = entry.runs
        self.answer: Answer | None = entry.answer
        self.last_status: StatusAnswer | None = None
        self.last_failure = ""
        self.failures = 0
        self.polls = 0
        self.cancel_not_found = False
        self.uploaded = False
        self.outcomes_queried_us = 0
        self.can_query_outcomes = bool(self.job.command)
        self.wake_up = asyncio.Event()
        self.changed = asyncio.Event()
        self.journal_error: JournalError | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def run(self) -> Run:
        return self.runs[-1]

    def set_run(self, run: Run) -> None:
        """Take over the record of a run as the journal now holds it."""
        if self.runs[-1].number < run.number:
            self.runs.append(run)
        else:
            self.runs[run.number - self.runs[0].number] = run

    def notify_waiters(self) -> None:
        """Wake all callers that are waiting for a change of the submission."""
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def accepted(self) -> bool:
        return any(
            run.phase in (RunPhase.ACCEPTED, RunPhase.DONE, RunPhase.WITHDRAWN) for run in self.runs
        )


class Client:
    """Submits jobs and follows them to their final answers.

    A client is an asynchronous context manager and works only inside its ``async with`` block.
    """

    def __init__(self, settings: ClientSettings, journal: Journal | None = None) -> None:
        self._settings = settings
        self._journal = journal or Journal(settings.journal)
        self._owns_journal = journal is None
        self.telemetry = Telemetry()
        self._rng = random.Random()
        self._budget: RetryBudget | None = None
        if settings.retries_per_s is not None:
            rate = settings.retries_per_s
            self._budget = RetryBudget(rate, burst=max(10.0, 10 * rate))
        self._retry_queue = asyncio.Lock()
        self._connection_slots = asyncio.Semaphore(settings.connections)
        self._submissions: dict[str, _ActiveSubmission] = {}
        self._transport: Transport | None = None

    async def __aenter__(self) -> "Client":
        endpoints = Endpoints(self._settings.servers, self._rng.randrange(1 << 16))
        self._transport = Transport(endpoints, self._settings.connections)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Stop working on all submissions.

        Unfinished submissions stay in the journal; a later client continues them with
        ``resume``, or when one of them is submitted again or waited for.
        """
        tasks = [
            submission.task
            for submission in self._submissions.values()
            if submission.task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._transport is not None:
            await self._transport.close()
        if self._owns_journal:
            await asyncio.to_thread(self._journal.close)

    # Public methods

    async def submit(self, job: Job, key: str | None = None) -> str:
        """Record a job in the journal, start to submit it, and return its key at once.

        The same key with the same job is the same submission, also in another process or
        after a restart. Raises ``KeyConflict`` if the key belongs to a different job,
        ``JobProblem`` if every server would refuse the job, and ``JournalError`` if the journal
        cannot be written. After each of these errors, nothing has been sent.
        """
        return (await self._begin(job, key)).key

    async def _begin(self, job: Job, key: str | None) -> _ActiveSubmission:
        check_job(job)
        first_id = new_id()
        policy = self._settings.policies.of(job.job_class)
        entry = await self._journal.begin(key or first_id, job, policy, first_id)
        return self._start_driving(entry)

    async def submit_many(self, jobs: Iterable[tuple[str | None, Job]]) -> list[str]:
        """Submit many jobs, each with its key or None, and return their keys."""
        begun = await asyncio.gather(*(self._begin(job, key) for key, job in jobs))
        return [submission.key for submission in begun]

    async def accepted(self, key: str, timeout_s: float | None = None) -> Answer:
        """Wait until the job is accepted or has its final answer.

        After the timeout, returns the present knowledge about the submission.
        """
        submission = await self._find(key)
        if isinstance(submission, Answer):
            return submission
        return await self._wait_until(submission, timeout_s, final=False)

    async def wait(self, key: str, timeout_s: float | None = None) -> Answer:
        """Wait for the final answer.

        After the timeout, returns the present knowledge about the submission, which is not final.
        """
        submission = await self._find(key)
        if isinstance(submission, Answer):
            return submission
        return await self._wait_until(submission, timeout_s, final=True)

    async def wait_many(
        self, keys: Iterable[str], timeout_s: float | None = None
    ) -> AsyncIterator[Answer]:
        """Yield one answer for each key, in the order in which the submissions finish.

        After the timeout, yields the present knowledge about each unfinished submission.
        """
        waits = [asyncio.ensure_future(self.wait(key, timeout_s)) for key in keys]
        try:
            for next_answer in asyncio.as_completed(waits):
                yield await next_answer
        finally:
            for wait in waits:
                wait.cancel()

    async def poll(self, key: str) -> Answer:
        """Ask the service once for the job's state, and return the resulting answer."""
        submission = await self._find(key)
        if isinstance(submission, Answer):
            return submission
        if submission.run.sends and not submission.run.phase.final:
            await self._make_try(submission, Step.POLL, Span(None))
            submission.wake_up.set()
        return _answer_for(submission)

    async def cancel(self, key: str, timeout_s: float | None = None) -> Answer:
        """Withdraw the submission; its final answer is ``done`` if the job finishes first."""
        entry = await self._journal.cancel(key)
        if entry.answer is not None:
            return entry.answer
        submission = self._submissions.get(key) or self._start_driving(entry)
        submission.cancelled = True
        submission.set_run(await self._journal.change(submission.run.id, RunUpdate(cancel=True)))
        submission.wake_up.set()
        return await self._wait_until(submission, timeout_s, final=True)

    async def resume(self) -> list[str]:
        """Continue all unfinished submissions of the journal, and return their keys."""
        entries = await self._journal.entries(unfinished=True, most=1_000_000)
        for entry in entries:
            self._start_driving(entry)
        return [entry.key for entry in entries]

    async def ask_id(self, job_id: str, *, cancel: bool, timeout_s: float) -> Answer:
        """Query or withdraw a job by its id, without reading or writing the journal.

        The outcome is ``unknown`` if the service answers 404: the service has not accepted the
        job, but may still do so.
        """
        assert self._transport is not None
        end_us = now_us() + seconds_us(timeout_s)
        step = Step.CANCEL if cancel else Step.POLL
        failures = 0
        while True:
            reply = await self._transport.try_step(step, job_id, b"" if cancel else None)
            if not isinstance(reply, FailedCall):
                break
            failures += 1
            pause_us = retry_pause_us(failures, reply, self._rng)
            if now_us() + pause_us > end_us:
                break
            await asyncio.sleep(pause_us / SECOND_US)
        match reply:
            case StatusAnswer(state):
                outcome = {"done": Outcome.DONE, "withdrawn": Outcome.WITHDRAWN}.get(
                    state, Outcome.UNKNOWN
                )
                return Answer(
                    job_id,
                    job_id,
                    outcome,
                    state,
                    done=reply.done,
                    running=reply.running,
                    accepted=True,
                    forecast_s=reply.forecast_s,
                    late_by_s=reply.late_by_s,
                    late=reply.late,
                    due_at=reply.due_at,
                    held_by=reply.held_by,
                )
            case FailedCall(reason):
                known = f"no answer: {reason}"
            case _:
                known = "not known to the service at this moment"
        return Answer(job_id, job_id, Outcome.UNKNOWN, known)

    def trouble(self, key: str) -> str:
        """Return why the last try of a submission failed, or an empty text if it succeeded."""
        submission = self._submissions.get(key)
        return (
            "" if submission is None or submission.answer is not None else submission.last_failure
        )

    def known(self, key: str) -> Answer | None:
        """Return the present knowledge about a submission without sending a request.

        Returns None if this client does not work on the submission.
        """
        submission = self._submissions.get(key)
        return None if submission is None else submission.answer or _answer_for(submission)

    async def changed(self, key: str, timeout_s: float) -> None:
        """Wait until the knowledge about a submission changes, or until the timeout."""
        submission = self._submissions.get(key)
        if submission is not None and submission.answer is None:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(submission.changed.wait(), timeout_s)

    # The work on a submission

    def _start_driving(self, entry: JournalEntry) -> _ActiveSubmission:
        submission = self._submissions.get(entry.key)
        if submission is None:
            if entry.job is None:
                # The journal has compacted the submission to its answer; callers need no more.
                assert entry.answer is not None
                entry.job = Job()
            submission = self._submissions[entry.key] = _ActiveSubmission(entry)
            if submission.answer is None:
                submission.task = asyncio.create_task(self._drive(submission), name=entry.key)
        return submission

    async def _find(self, key: str) -> "_ActiveSubmission | Answer":
        """Return the final answer, or the submission, on which the client then works.

        Raises KeyError if the journal does not have the key.
        """
        submission = self._submissions.get(key)
        if submission is None:
            entry = await self._journal.find(key)
            if entry is None:
                raise KeyError(key)
            if entry.answer is not None:
                return entry.answer
            submission = self._start_driving(entry)
        return submission.answer or submission

    async def _wait_until(
        self, submission: _ActiveSubmission, timeout_s: float | None, *, final: bool
    ) -> Answer:
        """Wait for the final answer, or only for the acceptance if ``final`` is false."""
        end_us = None if timeout_s is None else now_us() + seconds_us(timeout_s)
        while submission.answer is None and (final or not submission.accepted):
            if submission.journal_error is not None:
                raise submission.journal_error
            left_s = None if end_us is None else (end_us - now_us()) / SECOND_US
            if left_s is not None and left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(submission.changed.wait(), left_s)
        return submission.answer or _answer_for(submission)

    async def _drive(self, submission: _ActiveSubmission) -> None:
        """Work on a submission until its final answer.

        Only an error of the journal ends the work early. After any other error the work
        continues after a pause.
        """
        with self.telemetry.span(submission.key) as span:
            while True:
                try:
                    if await self._advance(submission, span):
                        # Later calls read the answer from the journal.
                        self._submissions.pop(submission.key, None)
                        return
                except JournalError as error:
                    submission.journal_error = error
                    submission.notify_waiters()
                    log.error("submission %s stopped, journal failed: %s", submission.key, error)
                    return
                except Exception:
                    log.exception(
                        "submission %s failed unexpectedly, retrying in 1 s", submission.key
                    )
                    await asyncio.sleep(1.0)

    async def _advance(self, submission: _ActiveSubmission, span: Span) -> bool:
        """Carry out the submission's next step; return whether no step is left."""
        run = submission.run
        if run.phase.final and submission.answer is None:
            if should_repeat(submission.policy, submission.runs, cancelled=submission.cancelled):
                return not await self._begin_next_run(submission)
            answer = _answer_for(submission, final=True)
            submission.answer = await self._journal.finish(submission.key, answer)
            self.telemetry.count(f"final {submission.answer.outcome.value}")
            span.event("final", outcome=submission.answer.outcome.value)
            submission.notify_waiters()
        needs_upload = bool(submission.job.command) and not submission.uploaded
        step = next_step(
            run,
            submission.policy,
            wall_us(),
            needs_upload=needs_upload,
            cancel_not_found=submission.cancel_not_found,
        )
        if step is Step.END:
            return True
        if step is Step.CLOSE:
            unsent = RunUpdate(RunPhase.WITHDRAWN, cancel=True, unsent=True)
            submission.set_run(await self._journal.change(run.id, unsent))
            return False
        if step is Step.CANCEL and not run.cancel and not run.accepted_late:
            # The run was undecided for too long. With the decision to withdraw the run in the
            # journal, every process that continues the submission withdraws the run.
            submission.set_run(await self._journal.change(run.id, RunUpdate(cancel=True)))
        if step is Step.WATCH:
            await self._pause(submission, LATE_TRY_POLL_INTERVAL_US)
        if submission.failures:
            await self._wait_for_retry_budget(submission)
        reply = await self._make_try(submission, step, span)
        if submission.run.phase.final and submission.answer is None:
            # The run has ended: waiting callers get the answer now, without a poll's pause.
            return False
        if reply is not None:
            await self._pause(
                submission, _pause_us(submission, step, reply, len(self._submissions), self._rng)
            )
        return False

    async def _make_try(
        self, submission: _ActiveSubmission, step: Step, span: Span
    ) -> Reply | None:
        """Send a step's request once, and record the reply's content in the journal."""
        assert self._transport is not None
        run = submission.run
        body: bytes | None = None
        if step is Step.UPLOAD:
            body = submission.job.description()
        elif step is Step.SUBMIT:
            body = submission.job.body(run.id)
        elif step is Step.CANCEL:
            body = b""
        async with self._connection_slots:
            if step is Step.SUBMIT:
                before = run
                run = await self._journal.change(
                    run.id, update_before_send(wall_us(), uploaded=submission.uploaded)
                )
                submission.set_run(run)
                if run.phase.final or run.cancel != before.cancel:
                    # Another caller or process has ended or cancelled the run in the meantime:
                    # the recorded try is not sent.
                    submission.set_run(await self._journal.change(run.id, RunUpdate(settled=1)))
                    return None
            began_us = now_us()
            reply = await self._transport.try_step(step, run.id, body)
        self._record_reply(submission, step, reply, now_us() - began_us, span)
        update = update_from_reply(run, step, reply, wall_us(), submission.job.tasks)
        if step is Step.UPLOAD and update.uploaded:
            # The journal records the upload with the first try to submit. Until then, a crash
            # of the client only repeats the upload.
            submission.uploaded, update = True, NO_UPDATE
        if update != NO_UPDATE and changes_record(submission.run, update):
            submission.set_run(await self._journal.change(run.id, update))
        submission.cancel_not_found = step is Step.CANCEL and isinstance(reply, MissingAnswer)
        if isinstance(reply, StatusAnswer) and step is not Step.UPLOAD:
            submission.last_status = reply
        submission.notify_waiters()
        return reply

    def _record_reply(
        self, submission: _ActiveSubmission, step: Step, reply: Reply, latency_us: int, span: Span
    ) -> None:
        """Update telemetry, the retry budget and the failure count after a try."""
        self.telemetry.count(f"tries {step.value}")
        if submission.failures:
            self.telemetry.count("retries")
        if isinstance(reply, FailedCall):
            submission.failures += 1
            submission.last_failure = reply.reason
            self.telemetry.count("failures")
            span.event(f"{step.value} failed", reason=reply.reason)
            return
        self.telemetry.count("answers")
        self.telemetry.record_latency(step.value, latency_us)
        if self._budget is not None:
            self._budget.record_answer()
        submission.failures = 0
        if isinstance(reply, MissingAnswer) and submission.run.phase is RunPhase.ACCEPTED:
            submission.last_failure = "the service does not know the job that it accepted"
        elif not isinstance(reply, RefusedAnswer):
            submission.last_failure = ""
        span.event(step.value, answer=type(reply).__name__)

    async def _pause(self, submission: _ActiveSubmission, pause_us: int) -> None:
        """Check the job for failing tasks, then wait; a caller can end the wait early.

        After the end of the run, callers cannot shorten the wait.
        """
        if submission.run.phase is RunPhase.ACCEPTED and submission.can_query_outcomes:
            await self._cancel_if_failing(submission)
        if pause_us > 0 and not submission.run.phase.final:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(submission.wake_up.wait(), pause_us / SECOND_US)
            submission.wake_up.clear()
        elif pause_us > 0:
            await asyncio.sleep(pause_us / SECOND_US)

    async def _wait_for_retry_budget(self, submission: _ActiveSubmission) -> None:
        """Wait until the budget allows a retry; waiting submissions are served in order."""
        if self._budget is None:
            return
        async with self._retry_queue:
            while wait_us := self._budget.take_retry(now_us()):  # noqa: ASYNC110 - time, no event
                await asyncio.sleep(wait_us / SECOND_US)

    async def _begin_next_run(self, submission: _ActiveSubmission) -> bool:
        """Begin the submission's next run under a new id.

        If the submission was cancelled in the meantime, no run begins. The result is always true.
        """
        last = submission.run
        if last.phase is not RunPhase.FOREIGN:
            await self._pause_before_repeat(submission)
        run = await self._journal.repeat(submission.key, last.number + 1, new_id())
        if run is None:
            submission.cancelled = True
            return True
        self.telemetry.count("repeats")
        submission.set_run(run)
        (
            submission.last_status,
            submission.cancel_not_found,
            submission.polls,
            submission.last_failure,
        ) = None, False, 0, ""
        submission.uploaded = False
        submission.notify_waiters()
        return True

    async def _pause_before_repeat(self, submission: _ActiveSubmission) -> None:
        submission.wake_up.clear()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(submission.wake_up.wait(), submission.policy.pause_s)

    async def _cancel_if_failing(self, submission: _ActiveSubmission) -> None:
        """Withdraw the job if one of its tasks has failed ``fail_after`` times.

        Some services do not report failed attempts; the client then stops asking for them.
        """
        assert self._transport is not None
        if (
            submission.policy.fail_after <= 0
            or now_us() - submission.outcomes_queried_us < _OUTCOME_QUERY_INTERVAL_US
        ):
            return
        if submission.last_status is not None and submission.last_status.state == "done":
            return
        submission.outcomes_queried_us = now_us()
        run = submission.run
        answer = await self._transport.call("GET", f"/outcomes/{run.id}", None, 2 * SECOND_US)
        if isinstance(answer, FailedCall):
            return
        if answer[0] != 200:
            submission.can_query_outcomes = answer[0] in (429, 503, 504)
            return
        try:
            failing = _outcome_report_decoder.decode(answer[1]).failing
        except msgspec.DecodeError:
            return
        worst = max(failing, key=lambda task: task.failures, default=None)
        if worst is not None and has_failed_too_often(submission.policy, worst.failures):
            cause = worst.reason or f"exit code {worst.code}"
            failure = f"task {worst.task} failed {worst.failures} times, last with {cause}"
            submission.set_run(
                await self._journal.change(run.id, RunUpdate(cancel=True, failed=failure))
            )


def _answer_for(submission: _ActiveSubmission, *, final: bool = False) -> Answer:
    """Return the present knowledge about a submission as an answer.

    ``final`` is true only for the answer that is about to be stored in the journal. A caller
    never gets a final answer that is not in the journal, as another process with the same
    journal might still give a different one.
    """
    run = submission.run
    outcome = _OUTCOME_BY_PHASE.get(run.phase, Outcome.UNKNOWN) if final else Outcome.UNKNOWN
    status = submission.last_status
    return Answer(
        key=submission.key,
        id=run.id,
        outcome=outcome,
        known=_describe(submission),
        tasks=submission.job.tasks,
        done=submission.job.tasks if outcome is Outcome.DONE else status.done if status else None,
        running=status.running if status and outcome is Outcome.UNKNOWN else None,
        accepted=submission.accepted,
        status=run.status,
        field=job_field_name(run.field) or None,
        reason=run.reason,
        forecast_s=status.forecast_s if status else None,
        late_by_s=status.late_by_s if status else None,
        late=status.late if status else None,
        due_at=status.due_at if status else None,
        held_by=status.held_by if status else None,
        runs=[
            RunAnswer(
                id=run.id,
                outcome=_OUTCOME_BY_PHASE.get(run.phase, Outcome.UNKNOWN),
                tries=run.sends,
                failed=run.failed,
                suspect=run.suspect,
            )
            for run in submission.runs
        ],
    )


def _describe(submission: _ActiveSubmission) -> str:
    """Describe the state of a submission for people."""
    run, status = submission.run, submission.last_status
    will_repeat = should_repeat(submission.policy, submission.runs, cancelled=submission.cancelled)
    match run.phase:
        case RunPhase.DONE:
            return "done"
        case RunPhase.WITHDRAWN if will_repeat:
            return f"withdrawn ({run.failed or 'not by this client'}); it will be repeated"
        case RunPhase.WITHDRAWN if not submission.last_status:
            return "withdrawn before anything was sent"
        case RunPhase.WITHDRAWN:
            return f"withdrawn: {run.failed}" if run.failed else "withdrawn"
        case RunPhase.REFUSED:
            watched = (
                " (a try without an answer may still arrive: watched)"
                if run.unsettled_tries
                else ""
            )
            return f"refused with {run.status}: {run.reason}{watched}"
        case RunPhase.FOREIGN if not will_repeat:
            return f"withdrawn before it was accepted; {run.reason}"
        case RunPhase.FOREIGN:
            return f"{run.reason}; it gets another id"
        case RunPhase.ACCEPTED:
            state = status.state if status else "state not asked yet"
            text = f"accepted, {state}"
            if status and status.done is not None:
                text += f", {status.done} of {submission.job.tasks} tasks done"
        case RunPhase.SENT if run.unsettled_tries:
            text = f"sent {run.sends} times, not known yet whether it was accepted"
            if is_undecided(run, submission.policy, wall_us()) or run.cancel:
                text += "; it is being withdrawn"
        case _:
            text = "not sent yet"
    if run.cancel and run.phase is RunPhase.ACCEPTED:
        text += "; it is being withdrawn"
    return f"{text} ({submission.last_failure})" if submission.last_failure else text


def _pause_us(
    submission: _ActiveSubmission, step: Step, reply: Reply, waiting: int, rng: random.Random
) -> int:
    """Return the pause after a try while the client works on ``waiting`` submissions in all."""
    if isinstance(reply, FailedCall):
        return retry_pause_us(submission.failures, reply, rng)
    if step is Step.POLL or (step is Step.SUBMIT and not submission.run.phase.final):
        submission.polls = submission.polls + 1 if step is Step.POLL else 0
        return poll_pause_us(submission.polls, waiting, rng)
    if isinstance(reply, MissingAnswer) and step is Step.CANCEL:
        if submission.run.phase.final:
            return LATE_TRY_POLL_INTERVAL_US
        # Either the service never accepted the job: then the client submits the job at once, to
        # withdraw it afterwards. Or the service accepted the job, and its 404 is a fault: then
        # the client asks again after a while.
        return 0 if submission.run.phase is RunPhase.SENT else MAX_RETRY_PAUSE_US // 10
    return 0


def changes_record(run: Run, update: RunUpdate) -> bool:
    """Return whether an update would change a run's record.

    A poll without news would otherwise cost a commit of the journal.
    """
    return (
        update.phase > run.phase or bool(update.settled) or update != RunUpdate(phase=update.phase)
    )
