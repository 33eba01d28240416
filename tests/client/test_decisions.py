"""The client's decisions in a simulation with lost and late requests and crashed processes.

Two processes share one journal. Whichever requests are lost, delayed or repeated, a submission
gets one final answer, the answer is true, and at most one job of the submission is active.
"""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from weldhead.client.decisions import (
    LATE_TRY_WATCH_US,
    MIN_RETRY_PAUSE_US,
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
    next_step,
    retry_pause_us,
    should_repeat,
    update_before_send,
    update_from_reply,
)
from weldhead.client.policy import Policy
from weldhead.clock import SECOND_US

#: The fates of a request: answered (``ok``), lost on its way, executed without an answer
#: (``mute``), held back until later, or never sent. The repetition makes ``ok`` more frequent.
FATES = ["ok", "ok", "ok", "lost", "mute", "held", "unsent"]


class Submission(RuleBasedStateMachine):
    """One submission that two processes work on, with a simulated service and journal."""

    @initialize(
        repeat=st.integers(0, 2),
        undecided=st.sampled_from(["keep", "withdraw"]),
        needs_upload=st.booleans(),
    )
    def begin(self, repeat: int, undecided: str, needs_upload: bool) -> None:
        self.policy = Policy(
            repeat=repeat,
            on=("failed", "withdrawn"),
            undecided="withdraw" if undecided == "withdraw" else "keep",
        )
        self.needs_upload = needs_upload
        self.now = SECOND_US
        self.runs = [Run("run-1", 1)]
        self.cancelled = False
        self.answer: RunPhase | None = None
        self.cancel_not_found = [False, False]
        self.under_way: list[tuple[Step, Run, Reply] | None] = [None, None]
        # The state of the service
        self.jobs: dict[str, str] = {}
        self.asked_to_cancel: set[str] = set()
        self.held: list[tuple[Step, str]] = []
        self.refusing = False

    # Events at the service

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

    # Events at the processes

    def _change(self, job_id: str, update: RunUpdate) -> Run:
        """Apply an update to a run's record in the simulated journal, as one transaction."""
        for index, run in enumerate(self.runs):
            if run.id == job_id:
                self.runs[index] = advance(run, update)
                assert self.runs[index].phase >= run.phase
                assert not run.phase.final or self.runs[index].phase is run.phase
                return self.runs[index]
        raise KeyError(job_id)

    @rule(process=st.integers(0, 1), fate=st.sampled_from(FATES))
    def acts(self, process: int, fate: str) -> None:
        """A process carries out its next step; it learns of the reply in a later event."""
        if self.under_way[process] is not None:
            return
        run = self.runs[-1]
        if run.phase.final and self.answer is None:
            if should_repeat(self.policy, self.runs, cancelled=self.cancelled):
                self.runs.append(Run(f"run-{run.number + 1}", run.number + 1))
            else:
                self.answer = run.phase
            return
        step = next_step(
            run,
            self.policy,
            self.now,
            needs_upload=self.needs_upload,
            cancel_not_found=self.cancel_not_found[process],
        )
        if step is Step.END:
            return
        if step is Step.CLOSE:
            self._change(run.id, RunUpdate(RunPhase.WITHDRAWN, cancel=True, unsent=True))
            return
        if step is Step.CANCEL and not run.cancel and not run.accepted_late:
            self._change(run.id, RunUpdate(cancel=True))
        if step is Step.SUBMIT:
            before = run.cancel
            run = self._change(run.id, update_before_send(self.now))
            if run.phase.final or run.cancel != before:
                self._change(run.id, RunUpdate(settled=1))
                return
        if step is Step.CANCEL and fate != "unsent":
            self.asked_to_cancel.add(run.id)
        self.now += MIN_RETRY_PAUSE_US
        reply: Reply = FailedCall("no answer")
        if fate == "unsent":
            reply = FailedCall("not connected", sent=False)
        elif fate == "ok":
            reply = self._execute(step, run.id)
        elif fate == "mute":
            self._execute(step, run.id)
        elif fate == "held":
            self.held.append((step, run.id))
        self.under_way[process] = (step, run, reply)

    @rule(process=st.integers(0, 1))
    def learns(self, process: int) -> None:
        under_way = self.under_way[process]
        if under_way is None:
            return
        self.under_way[process] = None
        step, run, reply = under_way
        self._change(run.id, update_from_reply(run, step, reply, self.now, 1))
        self.cancel_not_found[process] = step is Step.CANCEL and isinstance(reply, MissingAnswer)

    @rule(process=st.integers(0, 1))
    def is_killed_and_started_again(self, process: int) -> None:
        self.under_way[process] = None
        self.cancel_not_found[process] = False

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

    # Invariants

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
            # The withdrawal is permanent: no delayed request and no request under way starts a
            # job.
            for _, job_id in [*self.held, *self._requests_under_way()]:
                assert self.jobs.get(job_id) != "pending"
                assert job_id in self.jobs or not self._could_arrive(job_id)
            assert not live
        assert self.answer is not RunPhase.FOREIGN

    def _requests_under_way(self) -> list[tuple[Step, str]]:
        return [(request[0], request[1].id) for request in self.under_way if request is not None]

    def _could_arrive(self, job_id: str) -> bool:
        return any(step is Step.SUBMIT and name == job_id for step, name in self.held)

    def teardown(self) -> None:
        """Let the network work again: the submission ends, and its answer stays true."""
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
        if self.now < self.runs[-1].refused_us + LATE_TRY_WATCH_US - 30 * SECOND_US:
            for _ in range(4):
                self.both_act()
            assert "pending" not in self.jobs.values(), (
                "a job accepted after the refusal is withdrawn"
            )

    def both_act(self) -> None:
        for process in (0, 1):
            self.learns(process)
            self.acts(process, "ok")


Submission.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestSubmission = Submission.TestCase


def test_only_unsent_runs_are_withdrawn_without_the_service() -> None:
    policy = Policy()
    run = Run("run-1", 1, cancel=True)
    assert next_step(run, policy, 0, needs_upload=True) is Step.CLOSE
    run = advance(run, update_before_send(5))
    assert advance(run, RunUpdate(RunPhase.WITHDRAWN, unsent=True)) == run
    # A 404 proves nothing: the client submits the run until the service accepts it, and then
    # withdraws the run.
    assert next_step(run, policy, 0, needs_upload=False) is Step.CANCEL
    assert update_from_reply(run, Step.CANCEL, MissingAnswer(), 0, 1) == RunUpdate()
    assert next_step(run, policy, 0, needs_upload=False, cancel_not_found=True) is Step.SUBMIT
    run = advance(
        run, update_from_reply(run, Step.SUBMIT, StatusAnswer("pending", fresh=True), 0, 1)
    )
    assert next_step(run, policy, 0, needs_upload=False, cancel_not_found=True) is Step.CANCEL


def test_policy_decides_whether_undecided_runs_are_withdrawn() -> None:
    run = advance(Run("run-1", 1), update_before_send(SECOND_US))
    late = 61 * SECOND_US
    assert next_step(run, Policy(), late, needs_upload=False) is Step.SUBMIT
    withdraw = Policy(undecided="withdraw")
    assert next_step(run, withdraw, late - 1, needs_upload=False) is Step.SUBMIT
    assert next_step(run, withdraw, late, needs_upload=False) is Step.CANCEL


def test_jobs_of_other_clients_under_the_same_id_are_detected() -> None:
    """The client detects most jobs of other clients that have the id of one of its runs.

    A 200 on the first try may also come from the client's own try, repeated inside the service.
    """
    first = advance(Run("run-1", 1), update_before_send(1))
    update = update_from_reply(first, Step.SUBMIT, StatusAnswer("pending"), 1, 1)
    assert (update.phase, update.suspect) == (RunPhase.ACCEPTED, True)
    # No other client knew the id before the first try, so a withdrawn job under this id is not
    # this client's.
    assert (
        update_from_reply(first, Step.SUBMIT, StatusAnswer("withdrawn"), 1, 1).phase
        is RunPhase.FOREIGN
    )
    second = advance(first, update_before_send(2))
    assert (
        update_from_reply(second, Step.SUBMIT, StatusAnswer("withdrawn"), 1, 1).phase
        is RunPhase.WITHDRAWN
    )
    assert update_from_reply(second, Step.SUBMIT, StatusAnswer("pending"), 1, 1).suspect is False
    # A job with more tasks or a different description is not this client's.
    assert (
        update_from_reply(second, Step.POLL, StatusAnswer("running", done=3), 1, 2).phase
        is RunPhase.FOREIGN
    )
    conflict = RefusedAnswer(409, "this job has another description")
    assert update_from_reply(Run("run-1", 1), Step.UPLOAD, conflict, 1, 2).phase is RunPhase.FOREIGN
    foreign = [Run("run-1", 1, phase=RunPhase.FOREIGN)]
    assert should_repeat(Policy(), foreign, cancelled=False)


def test_runs_are_repeated_only_as_the_policy_allows() -> None:
    def over(number: int, **changes: object) -> Run:
        return Run(f"run-{number}", number, RunPhase.WITHDRAWN, **changes)  # type: ignore[arg-type]

    failed = over(1, cancel=True, failed="exit code 1")
    assert not should_repeat(Policy(), [failed], cancelled=False)
    twice = Policy(repeat=2)
    assert should_repeat(twice, [failed], cancelled=False)
    assert not should_repeat(twice, [failed], cancelled=True)
    assert not should_repeat(twice, [over(1)], cancelled=False), (
        "the policy does not name this outcome"
    )
    assert should_repeat(Policy(repeat=1, on=("withdrawn",)), [over(1)], cancelled=False)
    assert not should_repeat(
        Policy(repeat=1, on=("withdrawn",)), [over(1, cancel=True)], cancelled=False
    )
    three = [over(number, cancel=True, failed="x") for number in (1, 2, 3)]
    assert should_repeat(twice, three[:2], cancelled=False)
    assert not should_repeat(twice, three, cancelled=False)
    done = Run("run-1", 1, RunPhase.DONE)
    assert not should_repeat(twice, [done], cancelled=False)


@given(seed=st.integers(0, 50))
def test_a_minute_of_503_costs_few_tries_and_is_survived(seed: int) -> None:
    rng = random.Random(seed)
    run, now, tries = Run("run-1", 1), 0, 0
    while run.phase < RunPhase.ACCEPTED:
        assert next_step(run, Policy(), now, needs_upload=False) is Step.SUBMIT
        run = advance(run, update_before_send(now))
        tries += 1
        reply: Reply = FailedCall("503", retry_after_us=SECOND_US)
        if now > 60 * SECOND_US:
            reply = StatusAnswer("pending", fresh=True)
        run = advance(run, update_from_reply(run, Step.SUBMIT, reply, now, 1))
        now += retry_pause_us(tries, reply, rng)
    assert tries <= 10
    assert now < 120 * SECOND_US
    assert run.unsettled_tries == tries - 1, "a 503 may still be carried out"


def test_crossing_refusal_and_acceptance_leave_one_outcome() -> None:
    """A refusal and an acceptance of the same run must leave one true outcome.

    Two processes submit the run at once, and the service accepts one try and refuses the other.
    """
    both = advance(advance(Run("run-1", 1), update_before_send(1)), update_before_send(1))
    accepted = update_from_reply(both, Step.SUBMIT, StatusAnswer("pending", fresh=True), 1, 1)
    refused = update_from_reply(both, Step.SUBMIT, RefusedAnswer(422, "no"), 1, 1)
    # An acceptance in the journal stays, also if another try was refused.
    assert advance(advance(both, accepted), refused).phase is RunPhase.ACCEPTED
    # If the caller was told of the refusal first, the accepted job must not run.
    told = advance(advance(both, refused), accepted)
    assert (told.phase, told.accepted_late) == (RunPhase.REFUSED, True)
    assert next_step(told, Policy(), 1, needs_upload=False) is Step.CANCEL
    gone = advance(told, update_from_reply(told, Step.CANCEL, StatusAnswer("withdrawn"), 1, 1))
    assert next_step(gone, Policy(), 1, needs_upload=False) is Step.END


def test_final_phase_of_a_run_never_changes() -> None:
    done = advance(Run("run-1", 1), RunUpdate(RunPhase.DONE))
    for phase in RunPhase:
        assert advance(done, RunUpdate(phase, failed="x", reason="x")) == done
