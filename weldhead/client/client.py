"""The asynchronous client: one routine drives each submission to its one final answer."""

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
    NOTHING,
    RETRY_MOST_US,
    WATCH_PERIOD_US,
    FailedCall,
    MissingAnswer,
    RefusedAnswer,
    Reply,
    Run,
    RunPhase,
    RunUpdate,
    StatusAnswer,
    Step,
    before_send,
    gives_up,
    is_undecided,
    learn,
    next_step,
    poll_pause_us,
    repeats,
    retry_pause_us,
)
from weldhead.client.endpoints import Endpoints
from weldhead.client.ids import new_id
from weldhead.client.job import Job, check_job, own_name
from weldhead.client.journal import Journal, JournalEntry, JournalError
from weldhead.client.policy import Policies, Policy
from weldhead.client.telemetry import Span, Telemetry
from weldhead.client.transport import Transport
from weldhead.clock import SECOND_US, now_us, seconds_us, wall_us

log = logging.getLogger(__name__)

#: How often, at most, a job's failed attempts are asked for.
_OUTCOME_US = SECOND_US


class ClientSettings(msgspec.Struct):
    """What a client needs: ``servers`` are ``host:port``, tried in turn.

    ``retries_per_s`` bounds what all its submissions together send while nobody answers;
    None: no bound.
    """

    servers: list[str]
    journal: Path
    policies: Policies = Policies()
    connections: int = 64
    retries_per_s: float | None = 5.0


class _Outcomes(msgspec.Struct):
    class Failing(msgspec.Struct):
        task: int
        failures: int
        code: int | None = None
        reason: str | None = None

    failing: list[Failing] = []


_OUTCOMES = {
    RunPhase.DONE: Outcome.DONE,
    RunPhase.WITHDRAWN: Outcome.WITHDRAWN,
    RunPhase.REFUSED: Outcome.REFUSED,
    # Over only if the caller has cancelled it: nothing of it was ever accepted.
    RunPhase.FOREIGN: Outcome.WITHDRAWN,
}

_outcomes = msgspec.json.Decoder(_Outcomes)


class _Active:
    """A submission that is being driven."""

    def __init__(self, entry: JournalEntry) -> None:
        assert entry.job is not None
        self.key = entry.key
        self.job: Job = entry.job
        self.policy: Policy = entry.policy
        self.cancelled = entry.cancelled
        self.runs: list[Run] = entry.runs
        self.answer: Answer | None = entry.answer
        self.told: StatusAnswer | None = None
        self.trouble = ""
        self.failures = 0
        self.polls = 0
        self.missed = False
        self.uploaded = False
        self.asked_us = 0
        self.tells_outcomes = bool(self.job.command)
        self.poke = asyncio.Event()
        self.moved = asyncio.Event()
        self.broken: JournalError | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def run(self) -> Run:
        return self.runs[-1]

    def replace(self, run: Run) -> None:
        """The run's record as the journal has it now."""
        if self.runs[-1].number < run.number:
            self.runs.append(run)
        else:
            self.runs[run.number - self.runs[0].number] = run

    def move(self) -> None:
        """Wake whoever waits for news."""
        self.moved.set()
        self.moved = asyncio.Event()

    @property
    def accepted(self) -> bool:
        return any(
            run.phase in (RunPhase.ACCEPTED, RunPhase.DONE, RunPhase.WITHDRAWN) for run in self.runs
        )


class Client:
    """Submits jobs and learns what became of them; use it with ``async with``."""

    def __init__(self, settings: ClientSettings, journal: Journal | None = None) -> None:
        self._settings = settings
        self._journal = journal or Journal(settings.journal)
        self._owns_journal = journal is None
        self.telemetry = Telemetry()
        self._chance = random.Random()
        self._budget: RetryBudget | None = None
        if settings.retries_per_s is not None:
            rate = settings.retries_per_s
            self._budget = RetryBudget(rate, burst=max(10.0, 10 * rate))
        self._queue = asyncio.Lock()
        self._slots = asyncio.Semaphore(settings.connections)
        self._active: dict[str, _Active] = {}
        self._transport: Transport | None = None

    async def __aenter__(self) -> "Client":
        endpoints = Endpoints(self._settings.servers, self._chance.randrange(1 << 16))
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
        """Stop driving; what has no final answer yet goes on when it is taken up again."""
        tasks = [active.task for active in self._active.values() if active.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._transport is not None:
            await self._transport.close()
        if self._owns_journal:
            await asyncio.to_thread(self._journal.close)

    # What callers use

    async def submit(self, job: Job, key: str | None = None) -> str:
        """Put a job into the journal and start submitting it; returns its key at once.

        The same key with the same job is the same submission, also in another process or
        life; with another job it is a ``KeyConflict``. ``JobProblem`` if no server would
        take the job, ``JournalError`` if it cannot be written down; nothing is sent then.
        """
        return (await self._begin(job, key)).key

    async def _begin(self, job: Job, key: str | None) -> _Active:
        check_job(job)
        first_id = new_id()
        policy = self._settings.policies.of(job.job_class)
        entry = await self._journal.begin(key or first_id, job, policy, first_id)
        return self._drive_entry(entry)

    async def submit_many(self, jobs: Iterable[tuple[str | None, Job]]) -> list[str]:
        """Submit many jobs, each with its key or None; returns their keys."""
        begun = await asyncio.gather(*(self._begin(job, key) for key, job in jobs))
        return [active.key for active in begun]

    async def accepted(self, key: str, timeout_s: float | None = None) -> Answer:
        """Wait until the job is accepted, or has its final answer."""
        active = await self._find(key)
        if isinstance(active, Answer):
            return active
        return await self._until(active, timeout_s, final=False)

    async def wait(self, key: str, timeout_s: float | None = None) -> Answer:
        """Wait for the final answer; after the timeout what is known is returned instead."""
        active = await self._find(key)
        if isinstance(active, Answer):
            return active
        return await self._until(active, timeout_s, final=True)

    async def wait_many(
        self, keys: Iterable[str], timeout_s: float | None = None
    ) -> AsyncIterator[Answer]:
        """Yield an answer a key, as they come; after the timeout what is known of the rest."""
        waits = [asyncio.ensure_future(self.wait(key, timeout_s)) for key in keys]
        try:
            for next_one in asyncio.as_completed(waits):
                yield await next_one
        finally:
            for one in waits:
                one.cancel()

    async def poll(self, key: str) -> Answer:
        """Ask the service once, now, and say what is known after that."""
        active = await self._find(key)
        if isinstance(active, Answer):
            return active
        if active.run.sends and not active.run.phase.final:
            await self._try(active, Step.POLL, Span(None))
            active.poke.set()
        return _tell(active)

    async def cancel(self, key: str, timeout_s: float | None = None) -> Answer:
        """Withdraw the submission; its final answer may still be ``done``."""
        entry = await self._journal.cancel(key)
        if entry.answer is not None:
            return entry.answer
        active = self._active.get(key) or self._drive_entry(entry)
        active.cancelled = True
        active.replace(await self._journal.change(active.run.id, RunUpdate(cancel=True)))
        active.poke.set()
        return await self._until(active, timeout_s, final=True)

    async def resume(self) -> list[str]:
        """Take up everything in the journal that has no final answer; returns the keys."""
        entries = await self._journal.entries(unfinished=True, most=1_000_000)
        for entry in entries:
            self._drive_entry(entry)
        return [entry.key for entry in entries]

    async def ask_id(self, job_id: str, *, cancel: bool, timeout_s: float) -> Answer:
        """Ask about a job by its id, or withdraw it; the journal has nothing to do with it.

        404 is told as unknown: the job was never accepted, or not yet.
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
            pause_us = retry_pause_us(failures, reply, self._chance)
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
        """Return what is wrong with the last try about a submission, if anything is."""
        active = self._active.get(key)
        return "" if active is None or active.answer is not None else active.trouble

    def known(self, key: str) -> Answer | None:
        """Return what is known without asking anybody; None if it is not driven here."""
        active = self._active.get(key)
        return None if active is None else active.answer or _tell(active)

    async def changed(self, key: str, timeout_s: float) -> None:
        """Wait until something new is known of a submission, or for the timeout."""
        active = self._active.get(key)
        if active is not None and active.answer is None:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(active.moved.wait(), timeout_s)

    # Driving

    def _drive_entry(self, entry: JournalEntry) -> _Active:
        active = self._active.get(entry.key)
        if active is None:
            if entry.job is None:
                # RevisionCompactedError: only its answer is left, and that is all anybody needs.
                assert entry.answer is not None
                entry.job = Job()
            active = self._active[entry.key] = _Active(entry)
            if active.answer is None:
                active.task = asyncio.create_task(self._drive(active), name=entry.key)
        return active

    async def _find(self, key: str) -> "_Active | Answer":
        active = self._active.get(key)
        if active is None:
            entry = await self._journal.find(key)
            if entry is None:
                raise KeyError(key)
            if entry.answer is not None:
                return entry.answer
            active = self._drive_entry(entry)
        return active.answer or active

    async def _until(self, active: _Active, timeout_s: float | None, *, final: bool) -> Answer:
        end_us = None if timeout_s is None else now_us() + seconds_us(timeout_s)
        while active.answer is None and (final or not active.accepted):
            if active.broken is not None:
                raise active.broken
            left_s = None if end_us is None else (end_us - now_us()) / SECOND_US
            if left_s is not None and left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(active.moved.wait(), left_s)
        return active.answer or _tell(active)

    async def _drive(self, active: _Active) -> None:
        """Take a submission to its final answer; nothing but the journal stops it."""
        with self.telemetry.span(active.key) as span:
            while True:
                try:
                    if await self._advance(active, span):
                        # Whoever still asks gets the answer from the journal.
                        self._active.pop(active.key, None)
                        return
                except JournalError as error:
                    active.broken = error
                    active.move()
                    log.error("%s: %s", active.key, error)
                    return
                except Exception:
                    log.exception("%s: taken up again", active.key)
                    await asyncio.sleep(1.0)

    async def _advance(self, active: _Active, span: Span) -> bool:
        """Do the next thing about a submission; whether there is nothing left to do."""
        run = active.run
        if run.phase.final and active.answer is None:
            if repeats(active.policy, active.runs, cancelled=active.cancelled):
                return not await self._repeat(active)
            answer = _tell(active, final=True)
            active.answer = await self._journal.finish(active.key, answer)
            self.telemetry.count(f"final {active.answer.outcome.value}")
            span.event("final", outcome=active.answer.outcome.value)
            active.move()
        has_work = bool(active.job.command) and not active.uploaded
        step = next_step(run, active.policy, wall_us(), has_work=has_work, missed=active.missed)
        if step is Step.END:
            return True
        if step is Step.CLOSE:
            unsent = RunUpdate(RunPhase.WITHDRAWN, cancel=True, unsent=True)
            active.replace(await self._journal.change(run.id, unsent))
            return False
        if step is Step.CANCEL and not run.cancel and not run.stray:
            # Undecided for too long: from now on it is to be withdrawn, whoever goes on.
            active.replace(await self._journal.change(run.id, RunUpdate(cancel=True)))
        if step is Step.WATCH:
            await self._pause(active, WATCH_PERIOD_US)
        if active.failures:
            await self._allowed(active)
        reply = await self._try(active, step, span)
        if active.run.phase.final and active.answer is None:
            # It is over: whoever waits gets the answer now, not after a poll's pause.
            return False
        if reply is not None:
            await self._pause(
                active, _pause_us(active, step, reply, len(self._active), self._chance)
            )
        return False

    async def _try(self, active: _Active, step: Step, span: Span) -> Reply | None:
        """Make one try; what it tells is in the journal when this returns."""
        assert self._transport is not None
        run = active.run
        body: bytes | None = None
        if step is Step.UPLOAD:
            body = active.job.description()
        elif step is Step.SUBMIT:
            body = active.job.body(run.id)
        elif step is Step.CANCEL:
            body = b""
        async with self._slots:
            if step is Step.SUBMIT:
                before = run
                run = await self._journal.change(
                    run.id, before_send(wall_us(), uploaded=active.uploaded)
                )
                active.replace(run)
                if run.phase.final or run.cancel != before.cancel:
                    # Somebody else has ended it meanwhile: nothing is sent after all.
                    active.replace(await self._journal.change(run.id, RunUpdate(settled=1)))
                    return None
            began_us = now_us()
            reply = await self._transport.try_step(step, run.id, body)
        self._account(active, step, reply, now_us() - began_us, span)
        news = learn(run, step, reply, wall_us(), active.job.tasks)
        if step is Step.UPLOAD and news.uploaded:
            # Written down with the first try: until then it could only be repeated.
            active.uploaded, news = True, NOTHING
        if news != NOTHING and advance_matters(active.run, news):
            active.replace(await self._journal.change(run.id, news))
        active.missed = step is Step.CANCEL and isinstance(reply, MissingAnswer)
        if isinstance(reply, StatusAnswer) and step is not Step.UPLOAD:
            active.told = reply
        active.move()
        return reply

    def _account(self, active: _Active, step: Step, reply: Reply, took_us: int, span: Span) -> None:
        self.telemetry.count(f"tries {step.value}")
        if active.failures:
            self.telemetry.count("retries")
        if isinstance(reply, FailedCall):
            active.failures += 1
            active.trouble = reply.reason
            self.telemetry.count("failures")
            span.event(f"{step.value} failed", reason=reply.reason)
            return
        self.telemetry.count("answers")
        self.telemetry.took(step.value, took_us)
        if self._budget is not None:
            self._budget.answered()
        active.failures = 0
        if isinstance(reply, MissingAnswer) and active.run.phase is RunPhase.ACCEPTED:
            active.trouble = "the service does not know the job that it accepted"
        elif not isinstance(reply, RefusedAnswer):
            active.trouble = ""
        span.event(step.value, answer=type(reply).__name__)

    async def _pause(self, active: _Active, pause_us: int) -> None:
        if active.run.phase is RunPhase.ACCEPTED and active.tells_outcomes:
            await self._look_for_failures(active)
        if pause_us > 0 and not active.run.phase.final:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(active.poke.wait(), pause_us / SECOND_US)
            active.poke.clear()
        elif pause_us > 0:
            await asyncio.sleep(pause_us / SECOND_US)

    async def _allowed(self, active: _Active) -> None:
        """Wait for a retry from the budget, first come first served."""
        if self._budget is None:
            return
        async with self._queue:
            while wait_us := self._budget.take(now_us()):  # noqa: ASYNC110 - time, no event
                await asyncio.sleep(wait_us / SECOND_US)

    async def _repeat(self, active: _Active) -> bool:
        """Begin the next run; false if the submission was cancelled meanwhile."""
        last = active.run
        if last.phase is not RunPhase.FOREIGN:
            await self._pause_before_repeat(active)
        run = await self._journal.repeat(active.key, last.number + 1, new_id())
        if run is None:
            active.cancelled = True
            return True
        self.telemetry.count("repeats")
        active.replace(run)
        active.told, active.missed, active.polls, active.trouble = None, False, 0, ""
        active.uploaded = False
        active.move()
        return True

    async def _pause_before_repeat(self, active: _Active) -> None:
        active.poke.clear()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(active.poke.wait(), active.policy.pause_s)

    async def _look_for_failures(self, active: _Active) -> None:
        """Give a job up whose command fails again and again, where that can be seen."""
        assert self._transport is not None
        if active.policy.fail_after <= 0 or now_us() - active.asked_us < _OUTCOME_US:
            return
        if active.told is not None and active.told.state == "done":
            return
        active.asked_us = now_us()
        run = active.run
        answer = await self._transport.call("GET", f"/outcomes/{run.id}", None, 2 * SECOND_US)
        if isinstance(answer, FailedCall):
            return
        if answer[0] != 200:
            active.tells_outcomes = answer[0] in (429, 503, 504)
            return
        try:
            failing = _outcomes.decode(answer[1]).failing
        except msgspec.DecodeError:
            return
        worst = max(failing, key=lambda one: one.failures, default=None)
        if worst is not None and gives_up(active.policy, worst.failures):
            how = worst.reason or f"exit code {worst.code}"
            text = f"task {worst.task} failed {worst.failures} times, last with {how}"
            active.replace(await self._journal.change(run.id, RunUpdate(cancel=True, failed=text)))


def _tell(active: _Active, *, final: bool = False) -> Answer:
    """Say what is known of a submission; ``final`` only for what the journal gets.

    Nobody is given a final answer that is not in the journal: another process might
    still give another one.
    """
    run = active.run
    outcome = _OUTCOMES.get(run.phase, Outcome.UNKNOWN) if final else Outcome.UNKNOWN
    told = active.told
    return Answer(
        key=active.key,
        id=run.id,
        outcome=outcome,
        known=_in_words(active),
        tasks=active.job.tasks,
        done=active.job.tasks if outcome is Outcome.DONE else told.done if told else None,
        running=told.running if told and outcome is Outcome.UNKNOWN else None,
        accepted=active.accepted,
        status=run.status,
        field=own_name(run.field) or None,
        reason=run.reason,
        forecast_s=told.forecast_s if told else None,
        late_by_s=told.late_by_s if told else None,
        late=told.late if told else None,
        due_at=told.due_at if told else None,
        held_by=told.held_by if told else None,
        runs=[
            RunAnswer(
                id=one.id,
                outcome=_OUTCOMES.get(one.phase, Outcome.UNKNOWN),
                tries=one.sends,
                failed=one.failed,
                suspect=one.suspect,
            )
            for one in active.runs
        ],
    )


def _in_words(active: _Active) -> str:
    """Say in words how a submission stands."""
    run, told = active.run, active.told
    repeated = repeats(active.policy, active.runs, cancelled=active.cancelled)
    match run.phase:
        case RunPhase.DONE:
            return "done"
        case RunPhase.WITHDRAWN if repeated:
            return f"withdrawn ({run.failed or 'not by this client'}); it will be repeated"
        case RunPhase.WITHDRAWN if not active.told:
            return "withdrawn before anything was sent"
        case RunPhase.WITHDRAWN:
            return f"withdrawn: {run.failed}" if run.failed else "withdrawn"
        case RunPhase.REFUSED:
            late = " (a try without an answer may still arrive: watched)" if run.loose else ""
            return f"refused with {run.status}: {run.reason}{late}"
        case RunPhase.FOREIGN if not repeated:
            return f"withdrawn before it was accepted; {run.reason}"
        case RunPhase.FOREIGN:
            return f"{run.reason}; it gets another id"
        case RunPhase.ACCEPTED:
            state = told.state if told else "state not asked yet"
            text = f"accepted, {state}"
            if told and told.done is not None:
                text += f", {told.done} of {active.job.tasks} tasks done"
        case RunPhase.SENT if run.loose:
            text = f"sent {run.sends} times, not known yet whether it was accepted"
            if is_undecided(run, active.policy, wall_us()) or run.cancel:
                text += "; it is being withdrawn"
        case _:
            text = "not sent yet"
    if run.cancel and run.phase is RunPhase.ACCEPTED:
        text += "; it is being withdrawn"
    return f"{text} ({active.trouble})" if active.trouble else text


def _pause_us(
    active: _Active, step: Step, reply: Reply, waiting: int, chance: random.Random
) -> int:
    """Return the pause after a try; ``waiting`` submissions are followed beside it."""
    if isinstance(reply, FailedCall):
        return retry_pause_us(active.failures, reply, chance)
    if step is Step.POLL or (step is Step.SUBMIT and not active.run.phase.final):
        active.polls = active.polls + 1 if step is Step.POLL else 0
        return poll_pause_us(active.polls, waiting, chance)
    if isinstance(reply, MissingAnswer) and step is Step.CANCEL:
        if active.run.phase.final:
            return WATCH_PERIOD_US
        # Not known as it was perhaps never accepted: made so at once. Otherwise it was
        # accepted, and a 404 is the service's fault: asked again after a while.
        return 0 if active.run.phase is RunPhase.SENT else RETRY_MOST_US // 10
    return 0


def advance_matters(run: Run, news: RunUpdate) -> bool:
    """Whether news would change a record: polls that say nothing new cost no commit."""
    return news.phase > run.phase or bool(news.settled) or news != RunUpdate(phase=news.phase)
