"""The client's decisions against a service, a network that delivers late, and crashes.

Two processes share one journal. Whatever is lost, held back or repeated: there is one final
answer, it is true, and never are two jobs of one submission under way.
"""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from weldhead.client.decisions import (
    RETRY_US,
    WATCH_US,
    FailedCall,
    MissingAnswer,
    RefusedAnswer,
    Reply,
    Run,
    RunPhase,
    RunUpdate,
    StatusAnswer,
    Step,
    advance,
    before_send,
    learn,
    next_step,
    repeats,
    retry_pause_us,
)
from weldhead.client.policy import Policy
from weldhead.clock import SECOND_US

#: What becomes of a request: answered, lost on its way, its answer lost, or held back.
FATES = ["ok", "ok", "ok", "lost", "mute", "held", "unsent"]


class Submission(RuleBasedStateMachine):
    """One submission, driven by two processes."""

    @initialize(
        repeat=st.integers(0, 2),
        undecided=st.sampled_from(["keep", "withdraw"]),
        has_work=st.booleans(),
    )
    def begin(self, repeat: int, undecided: str, has_work: bool) -> None:
        self.policy = Policy(
            repeat=repeat,
            on=("failed", "withdrawn"),
            undecided="withdraw" if undecided == "withdraw" else "keep",
        )
        self.has_work = has_work
        self.now = SECOND_US
        self.runs = [Run("run-1", 1)]
        self.cancelled = False
        self.answer: RunPhase | None = None
        self.missed = [False, False]
        self.under_way: list[tuple[Step, Run, Reply] | None] = [None, None]
        # The service
        self.jobs: dict[str, str] = {}
        self.asked_to_cancel: set[str] = set()
        self.held: list[tuple[Step, str]] = []
        self.refusing = False

    # The service

    def _execute(self, step: Step, job_id: str) -> Reply:
        if step is Step.UPLOAD:
            return StatusAnswer("uploaded")
        if step is Step.SUBMIT:
            if job_id in self.jobs:
                return StatusAnswer(self.jobs[job_id])
            if self.refusing:
                return RefusedAnswer(422, "no")
            self.jobs[job_id] = "pending"
            return StatusAnswer("pending", fresh=True)
        if job_id not in self.jobs:
            return MissingAnswer()
        if step is Step.CANCEL and self.jobs[job_id] != "done":
            self.jobs[job_id] = "withdrawn"
        return StatusAnswer(self.jobs[job_id], done=0, running=0)

    @rule()
    def the_service_changes_its_mind(self) -> None:
        self.refusing = not self.refusing

    @rule()
    def a_job_gets_done(self) -> None:
        for job_id, state in self.jobs.items():
            if state == "pending" and job_id not in self.asked_to_cancel:
                self.jobs[job_id] = "done"

    @rule()
    def somebody_withdraws_it(self) -> None:
        for job_id, state in self.jobs.items():
            if state == "pending":
                self.jobs[job_id] = "withdrawn"

    @rule()
    def what_was_held_back_arrives(self) -> None:
        for step, job_id in self.held:
            self._execute(step, job_id)
        self.held.clear()

    # The processes

    def _change(self, job_id: str, news: RunUpdate) -> Run:
        """Change the journal, as one transaction."""
        for index, run in enumerate(self.runs):
            if run.id == job_id:
                self.runs[index] = advance(run, news)
                assert self.runs[index].phase >= run.phase
                assert not run.phase.final or self.runs[index].phase is run.phase
                return self.runs[index]
        raise KeyError(job_id)

    @rule(who=st.integers(0, 1), fate=st.sampled_from(FATES))
    def acts(self, who: int, fate: str) -> None:
        """A process decides and sends; the answer is on its way to it."""
        if self.under_way[who] is not None:
            return
        run = self.runs[-1]
        if run.phase.final and self.answer is None:
            if repeats(self.policy, self.runs, cancelled=self.cancelled):
                self.runs.append(Run(f"run-{run.number + 1}", run.number + 1))
            else:
                self.answer = run.phase
            return
        step = next_step(
            run, self.policy, self.now, has_work=self.has_work, missed=self.missed[who]
        )
        if step is Step.END:
            return
        if step is Step.CLOSE:
            self._change(run.id, RunUpdate(RunPhase.WITHDRAWN, cancel=True, unsent=True))
            return
        if step is Step.CANCEL and not run.cancel and not run.stray:
            self._change(run.id, RunUpdate(cancel=True))
        if step is Step.SUBMIT:
            before = run.cancel
            run = self._change(run.id, before_send(self.now))
            if run.phase.final or run.cancel != before:
                self._change(run.id, RunUpdate(settled=1))
                return
        if step is Step.CANCEL and fate != "unsent":
            self.asked_to_cancel.add(run.id)
        self.now += RETRY_US
        reply: Reply = FailedCall("no answer")
        if fate == "unsent":
            reply = FailedCall("not connected", sent=False)
        elif fate == "ok":
            reply = self._execute(step, run.id)
        elif fate == "mute":
            self._execute(step, run.id)
        elif fate == "held":
            self.held.append((step, run.id))
        self.under_way[who] = (step, run, reply)

    @rule(who=st.integers(0, 1))
    def learns(self, who: int) -> None:
        under_way = self.under_way[who]
        if under_way is None:
            return
        self.under_way[who] = None
        step, run, reply = under_way
        self._change(run.id, learn(run, step, reply, self.now, 1))
        self.missed[who] = step is Step.CANCEL and isinstance(reply, MissingAnswer)

    @rule(who=st.integers(0, 1))
    def is_killed_and_started_again(self, who: int) -> None:
        self.under_way[who] = None
        self.missed[who] = False

    @precondition(lambda self: not self.cancelled and self.answer is None)
    @rule()
    def the_caller_cancels(self) -> None:
        self.cancelled = True
        self._change(self.runs[-1].id, RunUpdate(cancel=True))

    @precondition(lambda self: self.runs[-1].phase is RunPhase.ACCEPTED)
    @rule()
    def its_command_fails(self) -> None:
        self._change(self.runs[-1].id, RunUpdate(cancel=True, failed="exit code 1"))

    @rule(step=st.integers(0, 100))
    def time_passes(self, step: int) -> None:
        self.now += step * SECOND_US

    # What must hold

    @invariant()
    def one_job_and_one_true_answer(self) -> None:
        if not hasattr(self, "jobs"):
            return
        live = [job_id for job_id, state in self.jobs.items() if state == "pending"]
        if self.answer is not RunPhase.REFUSED:
            assert len(live) <= 1
        states = {run.id: self.jobs.get(run.id) for run in self.runs}
        assert sum(state == "done" for state in states.values()) <= 1 + (
            self.answer is RunPhase.REFUSED
        )
        assert len(self.runs) <= 1 + self.policy.repeat
        if self.answer is RunPhase.DONE:
            assert states[self.runs[-1].id] == "done"
            assert not live
        if self.answer is RunPhase.WITHDRAWN:
            # For good: neither what is held back nor what is under way starts anything.
            for _, job_id in [*self.held, *self._flying()]:
                assert self.jobs.get(job_id) != "pending"
                assert job_id in self.jobs or not self._could_arrive(job_id)
            assert not live
        assert self.answer is not RunPhase.FOREIGN

    def _flying(self) -> list[tuple[Step, str]]:
        return [(one[0], one[1].id) for one in self.under_way if one is not None]

    def _could_arrive(self, job_id: str) -> bool:
        return any(step is Step.SUBMIT and name == job_id for step, name in self.held)

    def teardown(self) -> None:
        """With a network that works again everything comes to its end, and stays there."""
        if not hasattr(self, "jobs"):
            return
        self.refusing = False
        for _ in range(60):
            self.both_act()
            if self.answer is None:
                self.a_job_gets_done()
        assert self.answer is not None
        self.what_was_held_back_arrives()
        self.one_job_and_one_true_answer()
        if self.now < self.runs[-1].refused_us + WATCH_US - 30 * SECOND_US:
            for _ in range(4):
                self.both_act()
            assert "pending" not in self.jobs.values(), "a stray is withdrawn"

    def both_act(self) -> None:
        for who in (0, 1):
            self.learns(who)
            self.acts(who, "ok")


Submission.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestSubmission = Submission.TestCase


def test_only_a_run_that_was_never_sent_is_withdrawn_without_the_service() -> None:
    policy = Policy()
    run = Run("run-1", 1, cancel=True)
    assert next_step(run, policy, 0, has_work=True) is Step.CLOSE
    run = advance(run, before_send(5))
    assert advance(run, RunUpdate(RunPhase.WITHDRAWN, unsent=True)) == run
    # 404 proves nothing: it is made accepted first, and withdrawn then.
    assert next_step(run, policy, 0, has_work=False) is Step.CANCEL
    assert learn(run, Step.CANCEL, MissingAnswer(), 0, 1) == RunUpdate()
    assert next_step(run, policy, 0, has_work=False, missed=True) is Step.SUBMIT
    run = advance(run, learn(run, Step.SUBMIT, StatusAnswer("pending", fresh=True), 0, 1))
    assert next_step(run, policy, 0, has_work=False, missed=True) is Step.CANCEL


def test_undecided_for_too_long_is_the_callers_choice() -> None:
    run = advance(Run("run-1", 1), before_send(SECOND_US))
    late = 61 * SECOND_US
    assert next_step(run, Policy(), late, has_work=False) is Step.SUBMIT
    withdraw = Policy(undecided="withdraw")
    assert next_step(run, withdraw, late - 1, has_work=False) is Step.SUBMIT
    assert next_step(run, withdraw, late, has_work=False) is Step.CANCEL


def test_a_job_of_somebody_else_is_told_as_far_as_can_be() -> None:
    """A 200 on the first try may be our own try, repeated inside the service."""
    first = advance(Run("run-1", 1), before_send(1))
    news = learn(first, Step.SUBMIT, StatusAnswer("pending"), 1, 1)
    assert (news.phase, news.suspect) == (RunPhase.ACCEPTED, True)
    # Nobody knew the id before, so nobody can have withdrawn our job.
    assert learn(first, Step.SUBMIT, StatusAnswer("withdrawn"), 1, 1).phase is RunPhase.FOREIGN
    second = advance(first, before_send(2))
    assert learn(second, Step.SUBMIT, StatusAnswer("withdrawn"), 1, 1).phase is RunPhase.WITHDRAWN
    assert learn(second, Step.SUBMIT, StatusAnswer("pending"), 1, 1).suspect is False
    # More tasks than ours has, or another description: it is not ours.
    assert learn(second, Step.POLL, StatusAnswer("running", done=3), 1, 2).phase is RunPhase.FOREIGN
    conflict = RefusedAnswer(409, "this job has another description")
    assert learn(Run("run-1", 1), Step.UPLOAD, conflict, 1, 2).phase is RunPhase.FOREIGN
    foreign = [Run("run-1", 1, phase=RunPhase.FOREIGN)]
    assert repeats(Policy(), foreign, cancelled=False)


def test_repeats_follow_the_policy() -> None:
    def over(number: int, **changes: object) -> Run:
        return Run(f"run-{number}", number, RunPhase.WITHDRAWN, **changes)  # type: ignore[arg-type]

    failed = over(1, cancel=True, failed="exit code 1")
    assert not repeats(Policy(), [failed], cancelled=False)
    twice = Policy(repeat=2)
    assert repeats(twice, [failed], cancelled=False)
    assert not repeats(twice, [failed], cancelled=True)
    assert not repeats(twice, [over(1)], cancelled=False), "only what the policy names"
    assert repeats(Policy(repeat=1, on=("withdrawn",)), [over(1)], cancelled=False)
    assert not repeats(Policy(repeat=1, on=("withdrawn",)), [over(1, cancel=True)], cancelled=False)
    three = [over(number, cancel=True, failed="x") for number in (1, 2, 3)]
    assert repeats(twice, three[:2], cancelled=False)
    assert not repeats(twice, three, cancelled=False)
    done = Run("run-1", 1, RunPhase.DONE)
    assert not repeats(twice, [done], cancelled=False)


@given(seed=st.integers(0, 50))
def test_a_minute_of_503_costs_few_tries_and_is_survived(seed: int) -> None:
    chance = random.Random(seed)
    run, now, tries = Run("run-1", 1), 0, 0
    while run.phase < RunPhase.ACCEPTED:
        assert next_step(run, Policy(), now, has_work=False) is Step.SUBMIT
        run = advance(run, before_send(now))
        tries += 1
        reply: Reply = FailedCall("503", retry_after_us=SECOND_US)
        if now > 60 * SECOND_US:
            reply = StatusAnswer("pending", fresh=True)
        run = advance(run, learn(run, Step.SUBMIT, reply, now, 1))
        now += retry_pause_us(tries, reply, chance)
    assert tries <= 10
    assert now < 120 * SECOND_US
    assert run.loose == tries - 1, "a 503 may still be carried out"


def test_a_refusal_and_an_acceptance_that_cross() -> None:
    """Two processes try at once while the service changes its mind."""
    both = advance(advance(Run("run-1", 1), before_send(1)), before_send(1))
    accepted = learn(both, Step.SUBMIT, StatusAnswer("pending", fresh=True), 1, 1)
    refused = learn(both, Step.SUBMIT, RefusedAnswer(422, "no"), 1, 1)
    # Accepted is for good, whatever was said before that to another try.
    assert advance(advance(both, accepted), refused).phase is RunPhase.ACCEPTED
    # Told as refused: then the job that was accepted must not run.
    told = advance(advance(both, refused), accepted)
    assert (told.phase, told.stray) == (RunPhase.REFUSED, True)
    assert next_step(told, Policy(), 1, has_work=False) is Step.CANCEL
    gone = advance(told, learn(told, Step.CANCEL, StatusAnswer("withdrawn"), 1, 1))
    assert next_step(gone, Policy(), 1, has_work=False) is Step.END


def test_the_first_final_state_stays() -> None:
    done = advance(Run("run-1", 1), RunUpdate(RunPhase.DONE))
    for phase in RunPhase:
        assert advance(done, RunUpdate(phase, failed="x", reason="x")) == done
