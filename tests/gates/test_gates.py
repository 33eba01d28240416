"""Release gates: which actions open and close them, also across changes of the leader.

No job may start on an edition that is not rebuilt, approved and published.
"""

import asyncio
from collections.abc import Iterator
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.builders import job_spec
from tests.support.gates import GATE_STATE_KEY, JOB_CLASSES, gate
from tests.support.leaders import START, Clock, LeaderOnLoop, leader_of
from tests.support.stand_ins import StandInState
from tests.support.users import StandInNode, desk
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import (
    AdmissionBinding,
    FinalRecord,
    GateAction,
    GateHold,
    JobRecord,
    RentalRecord,
    admitted_record,
    final_key,
    job_key,
)
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.controller.configuration.document_file import parse_documents
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.controller.configuration.gate_binder import GateBinder
from weldhead.controller.configuration.gate_keeper import GateKeeper
from weldhead.controller.leadership.leader import Leader
from weldhead.documents.records import HEAD_KEY, DocumentSet, HeadRecord, document_key
from weldhead.gates.gate_document import Gate
from weldhead.gates.gate_state import (
    MAX_PENDING_ACTIONS,
    MAX_RECENT_EDITIONS,
    ActionEntry,
    GateState,
    apply_job_end,
    build_gate_action,
    enter_action,
    explain_closed_gate,
    is_open_for,
)
from weldhead.tomlfiles import FileProblemError
from weldhead.transport.state_client import StateClient

S = 1_000_000


def run_id(number: int) -> str:
    return f"run-{number:06}"


class Model:
    """Applies actions to a gate's state, and records what was accepted, entered and ended."""

    def __init__(self) -> None:
        self.state = GateState()
        #: By the job's number: action, the job that it needs (0: none), order of acceptance, and
        #: the action in its record.
        self.accepted: dict[int, tuple[str, int, int, GateAction]] = {}
        #: The edition that each entered job acts on, by the job's number.
        self.entered: dict[int, int] = {}
        #: Whether each ended job was completed, by the job's number.
        self.ended: dict[int, bool] = {}
        self.count = 0

    def accept(self, action: str, needs: int) -> int:
        self.count += 1
        self.accepted[self.count] = (
            action,
            needs,
            self.count,
            build_gate_action(gate(), self.state, action),
        )
        return self.count

    def enter(self, number: int) -> ActionEntry:
        action, needs, _, recorded_action = self.accepted[number]
        needed_ids = [run_id(needs)] if needs else []
        self.state, result = enter_action(
            self.state, action, run_id(number), needed_ids, recorded_action, number
        )
        return result

    def end(self, number: int, *, done: bool) -> None:
        self.ended[number] = done
        self.state = apply_job_end(self.state, run_id(number), number, done=done)


class GateStateMachine(RuleBasedStateMachine):
    """A gate opens only by the actions of its own edition.

    The actions of jobs are entered in any order, late or twice, and approvals are withdrawn.
    """

    @initialize()
    def begin(self) -> None:
        self.model = Model()
        #: Number of accepted jobs at the last withdrawal of each edition's approval. Approvals
        #: among these jobs don't count.
        self.withdrawn_at: dict[int, int] = {}

    @rule(
        action=st.sampled_from(list(JOB_CLASSES)),
        max_needed=st.integers(0, 30),
        enter_late=st.booleans(),
    )
    def submit(self, action: str, max_needed: int, *, enter_late: bool) -> None:
        needed = [n for n in self.model.accepted if n <= max_needed]
        number = self.model.accept(action, needed[-1] if needed and action != "rebuild" else 0)
        if not enter_late:
            self._enter(number)

    @rule(pick=st.integers(0, 100))
    def enter_late_or_twice(self, pick: int) -> None:
        unfinished = [n for n in self.model.accepted if n not in self.model.ended]
        if unfinished:
            self._enter(unfinished[pick % len(unfinished)])

    def _enter(self, number: int) -> None:
        state_before = self.model.state
        result = self.model.enter(number)
        if result is not ActionEntry.ENTERED:
            assert self.model.state == state_before
            return
        edition = self.model.state.pending[-1].edition
        self.model.entered[number] = edition
        if self.model.accepted[number][0] == "withdrawal":
            self.withdrawn_at[edition] = self.model.count

    @rule(pick=st.integers(0, 100), done=st.booleans(), repeat=st.booleans())
    def finish(self, pick: int, *, done: bool, repeat: bool) -> None:
        unfinished = [n for n in self.model.entered if n not in self.model.ended]
        if unfinished:
            number = unfinished[pick % len(unfinished)]
            self.model.end(number, done=done)
            if repeat:
                state = self.model.state
                self.model.end(number, done=not done)
                assert self.model.state == state
                self.model.ended[number] = done

    @invariant()
    def edition_is_open_only_by_its_own_actions(self) -> None:
        if not hasattr(self, "model"):
            return
        state = self.model.state
        for edition in state.editions:
            done = {
                self.model.accepted[n][0]: n
                for n, acted_on in self.model.entered.items()
                if acted_on == edition.number and self.model.ended.get(n)
                and self.model.accepted[n][2] > (
                    self.withdrawn_at.get(acted_on, 0)
                    if self.model.accepted[n][0] == "approval" else 0
                )
            }  # fmt: skip
            if edition.is_open:
                assert {"rebuild", "approval", "publication"} <= set(done)
                assert edition.opened_us
            for former_work in ("finish", "stop"):
                if is_open_for(former_work, state, edition.number):
                    assert any(e.is_open and e.number >= edition.number for e in state.editions)
        assert not is_open_for("finish", state, state.edition + 1)
        newest = state.newest
        assert bool(explain_closed_gate(gate(), state)) == (newest is None or not newest.is_open)
        assert (
            len(state.editions) <= MAX_RECENT_EDITIONS + 1
            and len(state.pending) <= MAX_PENDING_ACTIONS
        )
        assert len(msgspec.json.encode(state)) < 2048


TestGateStateMachine = GateStateMachine.TestCase


TestGateStateMachine.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


@given(st.permutations(["rebuild", "approval", "publication", "publication", "approval"]))
def test_gate_opens_after_all_actions_in_any_order(order: list[str]) -> None:
    state, _ = enter_action(GateState(), "rebuild", run_id(1), [], None, 1)
    ids = {"rebuild": [run_id(1)], "approval": [run_id(2), run_id(3)]}
    ids["publication"] = [run_id(4), run_id(5)]
    for action in ("approval", "publication"):
        for job_id in ids[action]:
            state, _ = enter_action(state, action, job_id, [run_id(1)], None, 1)
    missing = {"rebuild", "approval", "publication"}
    for action in order:
        state = apply_job_end(state, ids[action].pop(), 5, done=True)
        missing.discard(action)
        assert is_open_for("finish", state, 1) == is_open_for("stop", state, 1) == (not missing)
    assert not state.pending


def test_approval_before_a_withdrawal_never_counts_after_it() -> None:
    def rebuilt_and_published() -> GateState:
        state = GateState()
        for number, action in enumerate(("rebuild", "publication"), 1):
            state, _ = enter_action(state, action, run_id(number), [run_id(1)], None, 1)
            state = apply_job_end(state, run_id(number), 1, done=True)
        return state

    for order in ((3, 4), (4, 3)):
        state = rebuilt_and_published()
        recorded = {
            number: build_gate_action(gate(), state, action)
            for number, action in ((3, "approval"), (4, "withdrawal"))
        }
        for number in order:
            action = "approval" if number == 3 else "withdrawal"
            state, _ = enter_action(state, action, run_id(number), [], recorded[number], 2)
        state = apply_job_end(state, run_id(3), 3, done=True)
        assert not is_open_for("finish", state, 1) and "again" in explain_closed_gate(gate(), state)
        state, result = enter_action(
            state, "approval", run_id(5), [], build_gate_action(gate(), state, "approval"), 4
        )
        assert result is ActionEntry.ENTERED
        assert is_open_for("finish", apply_job_end(state, run_id(5), 5, done=True), 1)


def test_conflicting_gates_are_refused_with_the_reason() -> None:
    template = """
[[gate]]
name = "{}"
holds = ["{}"]
rebuild = {{ job-class = "{}" }}
approval = {{ job-class = "{}", team = "sales" }}
publication = {{ job-class = "post-{}" }}
"""

    def check(*gates: tuple[str, str, str, str]) -> None:
        text = "edition = 1\n" + "".join(template.format(*g, g[0]) for g in gates)
        parse_documents("days.toml", text, 8_000)

    check(("a", "quotes", "prices", "sign"), ("b", "cuts", "stock", "agree"))
    for conflicting, reason in [
        ((("a", "quotes", "sign", "sign"),), "same jobs also perform its rebuild"),
        ((("a", "quotes", "p", "s"), ("b", "quotes", "q", "t")), "holds the same"),
        ((("a", "quotes", "p", "s"), ("b", "cuts", "p", "t")), "same jobs also act on gate a"),
        ((("a", "quotes", "p", "s"), ("b", "p", "q", "t")), "gate b holds these"),
    ]:
        with pytest.raises(FileProblemError, match=reason):
            check(*conflicting)


class GateCluster(LeaderOnLoop):
    """A store, a leader with a gate keeper, and followers that accept jobs.

    The test itself runs the steps of the gate keeper's background task (``process_changes``).
    """

    def __init__(self, clock: Clock, document: Gate | None = None) -> None:
        self.clock = clock
        super().__init__()
        self.state = StandInState()
        self.edition = 0
        self.publish(document or gate())
        self.add_machine()
        self.take_over()

    def publish(self, document: Gate | None) -> None:
        self.edition += 1
        names: tuple[str, ...] = ()
        if document is not None:
            self.state.put(document_key(self.edition, "gate/book"), document)
            names = ("gate/book",)
        self.state.put(HEAD_KEY, HeadRecord(self.edition, f"{self.edition}", names))

    def add_machine(self) -> None:
        machines: dict[str, str | None] = {"vm-1": "10.0.0.9:1"}
        self.state.put("h/vm-1", RentalRecord("m4", "a", False, 1, START, True, machines))

    def documents(self) -> DocumentReplica:
        async def send_nothing(kind: str, job_id: str, body: bytes) -> None:
            return None

        documents = DocumentReplica(cast(StateClient, self.state), None, send_nothing)
        documents.binders.append(GateBinder(documents.cache))
        self.run(documents._read_all())
        return documents

    def take_over(self, *, with_documents: bool = True) -> None:
        self.close()
        leader = leader_of(self.state, self.clock())
        self.leader = Leader(leader.term, self.documents() if with_documents else None)
        self.run(self.leader.recovery.load())
        self.start_writer()
        self.leader.term.ready = True
        for machine in self.leader.cluster.machines.values():
            machine.reconciled = True
        if self.leader.gate_keeper is not None:
            self.run(self.leader.gate_keeper._reconcile_pending())
        self.process_changes()

    @property
    def gates(self) -> GateKeeper:
        assert self.leader.gate_keeper is not None
        return self.leader.gate_keeper

    def process_changes(self) -> None:
        """Run the gate keeper's background task once."""
        if self.leader.gate_keeper is None:
            return
        self.run(self.gates._process_changes(list(self.leader.cluster.jobs.values())))

    def submit(self, number: int, job_class: str, *, documents: DocumentReplica | None = None,
               needs: tuple[int, ...] = (), **spec_fields: Any) -> int:  # fmt: skip
        node = StandInNode()
        node.documents = documents or self.documents()
        spec = job_spec(number, job_class=job_class, **spec_fields)
        spec = msgspec.structs.replace(spec, needs=tuple(run_id(n) for n in needs) or None)
        status = self.run(desk(self.state, node).submit(msgspec.json.encode(spec))).status
        self.deliver_jobs()
        return status

    def deliver_jobs(self) -> None:
        """Pass all jobs in the store to the leader, as the leader's watch does."""
        for key, (value, version) in list(self.state.keys.items()):
            if key.startswith("j/"):
                self.leader.job_created(msgspec.convert(value, JobRecord), version)
        self.process_changes()

    def job(self, number: int) -> Job:
        return self.leader.cluster.jobs[run_id(number)]

    def finish(self, number: int) -> None:
        """Complete all tasks of a job, and commit its end."""
        job = self.job(number)
        assert job.waiting == job.spec.tasks - job.done
        for index in job.waiting_indexes(job.spec.tasks):
            job.complete_waiting(index)
        self.run(self.leader.completions._try_finish_job(job))
        assert run_id(number) not in self.leader.cluster.jobs
        self.process_changes()

    def perform(self, number: int, action: str, **spec_fields: Any) -> None:
        """Submit and finish a job that performs an action."""
        assert self.submit(number, JOB_CLASSES[action], **spec_fields) == 201
        self.finish(number)

    def open_gate(self, first: int) -> None:
        """Open the gate by three jobs, numbered from ``first`` on."""
        for number, action in enumerate(("rebuild", "approval", "publication"), first):
            self.perform(number, action)

    def stored_state(self) -> GateState:
        return msgspec.convert(self.state.keys[GATE_STATE_KEY][0], GateState)


@pytest.fixture
def gate_cluster(clock: Clock) -> Iterator[GateCluster]:
    new_cluster = GateCluster(clock)
    yield new_cluster
    new_cluster.close()
    new_cluster.loop.close()


def test_held_job_reports_the_missing_actions(gate_cluster: GateCluster) -> None:
    assert gate_cluster.submit(1, "quotes") == 201
    record = msgspec.convert(gate_cluster.state.keys[job_key(run_id(1))][0], JobRecord)
    assert record.gate_hold == GateHold("book", 1)
    job = gate_cluster.job(1)
    status = gate_cluster.leader.status(job.id)
    assert job.waiting == 0 and status is not None and status.state == "pending"
    assert "class prices has to rebuild it" in (status.held_by or "")
    gate_cluster.perform(2, "rebuild")
    status = gate_cluster.leader.status(job.id)
    assert status and "a job of class sign has to approve it" in (status.held_by or "")
    gate_cluster.perform(3, "approval")
    assert job.waiting == 0
    gate_cluster.perform(4, "publication")
    status = gate_cluster.leader.status(job.id)
    assert job.waiting == 4 and status is not None and status.held_by is None
    # Later jobs are released at once until a rebuild begins. Then they need the new edition.
    gate_cluster.submit(5, "quotes")
    assert gate_cluster.job(5).waiting == 4
    gate_cluster.submit(6, "prices")
    gate_cluster.submit(7, "quotes")
    assert (gate_cluster.job(5).waiting, gate_cluster.job(7).waiting) == (4, 0)
    # A held job can be cancelled.
    gate_cluster.run(gate_cluster.leader.cancel(run_id(7)))
    gate_cluster.process_changes()
    assert run_id(7) not in gate_cluster.gates.trackers["book"].jobs


def test_new_leader_continues_after_any_step(gate_cluster: GateCluster) -> None:
    gate_cluster.submit(1, "quotes")
    gate_cluster.submit(2, "prices")
    for number, name in ((2, "rebuild"), (3, "approval"), (4, "publication")):
        if name != "rebuild":
            gate_cluster.submit(number, JOB_CLASSES[name])
        state_before = gate_cluster.stored_state()
        gate_cluster.take_over()
        assert gate_cluster.stored_state() == state_before and gate_cluster.job(1).waiting == 0
        gate_cluster.finish(number)
        gate_cluster.take_over()
    assert gate_cluster.job(1).waiting == 4
    # The opening time is the same for all leaders.
    opened = gate_cluster.stored_state().editions[0].opened_us
    assert opened and gate_cluster.job(1).runnable_since_us == opened


def test_job_end_without_a_gate_update_still_counts(gate_cluster: GateCluster) -> None:
    """A leader whose version doesn't support gates commits the end of a job only."""
    gate_cluster.submit(1, "quotes")
    gate_cluster.submit(2, "prices")
    state = gate_cluster.stored_state()
    assert state.pending
    gate_cluster.close()
    gate_cluster.state.delete(job_key(run_id(2)))
    gate_cluster.state.put(final_key(run_id(2)), FinalRecord("done", 4, START))
    gate_cluster.take_over()
    assert (
        gate_cluster.stored_state().editions[0].rebuilt and not gate_cluster.stored_state().pending
    )


def test_action_is_stored_before_its_job_starts(gate_cluster: GateCluster) -> None:
    gate_cluster.state.fates = ["ok", "refused", "lost", "late", "unanswered"]
    node = StandInNode()
    node.documents = gate_cluster.documents()
    spec = job_spec(2, job_class="prices")
    assert (
        gate_cluster.run(desk(gate_cluster.state, node).submit(msgspec.json.encode(spec))).status
        == 201
    )
    # The leader receives the job, and ends before it has entered the action.
    record = msgspec.convert(gate_cluster.state.keys[job_key(run_id(2))][0], JobRecord)
    gate_cluster.leader.job_created(record, gate_cluster.state.revision)
    assert gate_cluster.job(2).waiting == 0
    gate_cluster.state.fates = []
    gate_cluster.take_over()
    assert (
        gate_cluster.stored_state().pending[0].job == run_id(2) and gate_cluster.job(2).waiting == 4
    )
    gate_cluster.state.release_late()


def test_outdated_replica_accepts_no_jobs(gate_cluster: GateCluster) -> None:
    oldest = gate_cluster.documents()
    gate_cluster.open_gate(2)
    assert gate_cluster.submit(10, "quotes") == 201
    before_rebuild = gate_cluster.documents()
    gate_cluster.submit(11, "prices")
    # By the state before the rebuild, the job would need the earlier edition only.
    assert gate_cluster.submit(12, "quotes", documents=before_rebuild) == 503
    assert gate_cluster.submit(12, "quotes", documents=oldest) == 503
    assert gate_cluster.submit(12, "quotes") == 201
    assert gate_cluster.job(12).gate_hold == GateHold("book", 2)
    gate_cluster.publish(None)
    assert gate_cluster.submit(13, "other", documents=before_rebuild) == 503


def start_attempts(gate_cluster: GateCluster, number: int, phases: list[AttemptPhase]) -> None:
    machine = gate_cluster.leader.cluster.machines["vm-1"]
    for index, phase in enumerate(phases):
        attempt = gate_cluster.leader.cluster.start(
            gate_cluster.job(number), index, machine, gate_cluster.clock()
        )
        attempt.phase = phase
        attempt.sent_sequence = 1


@pytest.mark.parametrize("former_work", ["finish", "stop"])
def test_withdrawal_holds_tasks_that_have_not_started(
    clock: Clock,
    former_work: str,
) -> None:
    gate_cluster = GateCluster(clock, gate(former_work))
    gate_cluster.open_gate(2)
    gate_cluster.submit(10, "quotes", cpus=0.5)
    start_attempts(
        gate_cluster, 10, [AttemptPhase.ASSIGNED, AttemptPhase.PULLING, AttemptPhase.RUNNING]
    )
    unconfirmed = gate_cluster.job(10).active[0]
    unconfirmed.unconfirmed_since_us = clock()
    gate_cluster.submit(11, "recall")
    job = gate_cluster.job(10)
    stops = [job.active[n].stop_request for n in range(3)]
    running_stop = StopRequest.SOFT if former_work == "stop" else StopRequest.NO
    assert stops == [StopRequest.HARD, StopRequest.HARD, running_stop] and job.waiting == 0
    # The hold is reported, and the withdrawal's job starts, once no held task can start any more.
    status = gate_cluster.leader.status(job.id)
    assert status is not None and status.held_by is None and gate_cluster.job(11).waiting == 0
    gate_cluster.leader.cluster.release(job.active[1])
    gate_cluster.process_changes()
    assert gate_cluster.job(11).waiting == 0
    gate_cluster.leader.cluster.release(unconfirmed)
    gate_cluster.process_changes()
    status = gate_cluster.leader.status(job.id)
    assert status is not None and "approve it again" in (status.held_by or "")
    assert gate_cluster.job(11).waiting == 4
    # A new leader holds the job too, and reports the hold only when it knows all machines.
    gate_cluster.take_over()
    gate_cluster.leader.term.ready = False
    gate_cluster.process_changes()
    status = gate_cluster.leader.status(job.id)
    assert gate_cluster.job(10).waiting == 0 and status is not None and status.held_by is None
    gate_cluster.close()


def test_rebuild_stops_former_work_only_if_configured(clock: Clock) -> None:
    for former_work in ("finish", "stop"):
        gate_cluster = GateCluster(clock, gate(former_work))
        gate_cluster.open_gate(2)
        gate_cluster.submit(10, "quotes", cpus=0.5)
        start_attempts(gate_cluster, 10, [AttemptPhase.RUNNING])
        gate_cluster.submit(11, "prices")
        job = gate_cluster.job(10)
        stopped = former_work == "stop"
        assert (job.active[0].stop_request is StopRequest.SOFT, job.waiting == 0) == (
            stopped,
            stopped,
        )
        gate_cluster.close()


def test_uncommitted_publication_does_not_open_the_gate(gate_cluster: GateCluster) -> None:
    gate_cluster.perform(2, "rebuild")
    gate_cluster.perform(3, "approval")
    gate_cluster.submit(1, "quotes")
    gate_cluster.submit(4, "post")
    job = gate_cluster.job(4)
    for index in job.waiting_indexes(4):
        job.complete_waiting(index)
    gate_cluster.state.fates = ["lost"] * 1_000

    async def fail_to_commit_end() -> None:
        task = asyncio.create_task(gate_cluster.leader.completions._try_finish_job(job))
        await asyncio.sleep(0.02)
        assert gate_cluster.job(1).waiting == 0
        gate_cluster.leader.state_writer.close()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    gate_cluster.run(fail_to_commit_end())
    gate_cluster.state.fates = []
    gate_cluster.take_over()
    assert gate_cluster.job(1).waiting == 0 and gate_cluster.stored_state().pending


def test_gate_holds_jobs_before_its_closing_is_written(gate_cluster: GateCluster) -> None:
    gate_cluster.open_gate(2)
    gate_cluster.submit(10, "quotes")
    assert gate_cluster.job(10).waiting == 4
    gate_cluster.state.fates = ["ok"] + ["lost"] * 1_000
    node = StandInNode()
    node.documents = gate_cluster.documents()
    spec = job_spec(11, job_class="recall")
    assert (
        gate_cluster.run(desk(gate_cluster.state, node).submit(msgspec.json.encode(spec))).status
        == 201
    )
    record = msgspec.convert(gate_cluster.state.keys[job_key(run_id(11))][0], JobRecord)
    gate_cluster.leader.job_created(record, gate_cluster.state.revision)

    async def fail_to_write_closing() -> None:
        task = asyncio.create_task(gate_cluster.gates._enter_actions())
        await asyncio.sleep(0.02)
        gate_cluster.gates._update_quiescence()
        assert (
            gate_cluster.job(10).waiting == 0
            and gate_cluster.gates.describe_confirmed_hold(gate_cluster.job(10)) is None
        )
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    gate_cluster.run(fail_to_write_closing())
    gate_cluster.state.fates = []


def test_new_documents_are_applied_to_all_jobs(gate_cluster: GateCluster) -> None:
    """Guards against jobs that stay held by a gate that the new edition has removed.

    The first job accepted under a new edition made the leader load the edition. The jobs that the
    leader already had were then not evaluated again.
    """
    gate_cluster.submit(1, "quotes")
    assert gate_cluster.job(1).waiting == 0
    assert gate_cluster.leader.publisher is not None
    gate_cluster.run(gate_cluster.leader.publisher._publish(DocumentSet(2, {})))
    assert gate_cluster.submit(5, "other") == 201
    assert gate_cluster.job(1).waiting == 4


def test_leader_without_documents_starts_no_gated_jobs(gate_cluster: GateCluster) -> None:
    gate_cluster.open_gate(2)
    gate_cluster.submit(10, "quotes")
    gate_cluster.submit(11, "prices")
    gate_cluster.take_over(with_documents=False)
    assert (gate_cluster.job(10).waiting, gate_cluster.job(11).waiting) == (0, 0)
    status = gate_cluster.leader.status(run_id(10))
    assert status is not None and status.state == "pending"
    gate_cluster.take_over()
    assert (gate_cluster.job(10).waiting, gate_cluster.job(11).waiting) == (4, 4)


def test_job_accepted_without_documents_is_held_by_class(gate_cluster: GateCluster) -> None:
    gate_cluster.state.put(job_key(run_id(1)), JobRecord(job_spec(1, job_class="quotes"), START))
    gate_cluster.state.put(job_key(run_id(2)), JobRecord(job_spec(2, job_class="prices"), START))
    gate_cluster.deliver_jobs()
    assert gate_cluster.job(1).waiting == 0 and gate_cluster.stored_state().edition == 1
    # A gate without a document in force holds no jobs.
    gate_cluster.publish(None)
    gate_cluster.take_over()
    assert gate_cluster.job(1).waiting == 4


def test_gate_with_unreadable_state_stays_closed(gate_cluster: GateCluster) -> None:
    gate_cluster.open_gate(2)
    gate_cluster.submit(10, "quotes")
    gate_cluster.state.put(GATE_STATE_KEY, {"edition": "of another format"})
    gate_cluster.take_over()
    assert gate_cluster.job(10).waiting == 0
    assert gate_cluster.submit(11, "quotes") == 503


def test_actions_inherit_urgency_from_held_jobs(gate_cluster: GateCluster) -> None:
    gate_cluster.submit(1, "quotes", priority="high", deadline_s=600.0)
    gate_cluster.submit(2, "prices", priority="idle")
    assert gate_cluster.job(2).effective_level == 0 or gate_cluster.job(2).effective_level == 2
    gate_cluster.clock.us += 2 * S
    gate_cluster.process_changes()
    rebuild = gate_cluster.job(2)
    assert rebuild.effective_level == 2 and rebuild.inherited_due_us
    assert rebuild.inherited_due_us[0] < gate_cluster.job(1).first_seen_us + 600 * S


def test_expected_release_creates_demand_for_a_limited_time(gate_cluster: GateCluster) -> None:
    """Machines are rented ahead of a release, but not without end if the release doesn't come."""
    gate_cluster.submit(1, "quotes")
    gate_cluster.perform(2, "rebuild")
    gate_cluster.perform(3, "approval")
    gate_cluster.clock.us += 2 * S
    gate_cluster.process_changes()
    at_us = gate_cluster.clock()
    assert not gate_cluster.gates.forecast.expected_demand(at_us, at_us + 3_600 * S)
    gate_cluster.submit(4, "post")
    gate_cluster.clock.us += 2 * S
    gate_cluster.process_changes()
    at_us = gate_cluster.clock()
    demand = gate_cluster.gates.forecast.expected_demand(at_us, at_us + 3_600 * S)
    assert [item.job.id for item in demand] == [run_id(1)] and demand[0].expected_start_us > at_us
    assert not gate_cluster.gates.forecast.expected_demand(at_us, at_us + 1 * S)
    later_us = at_us + 7_201 * S
    assert not gate_cluster.gates.forecast.expected_demand(later_us, later_us + 3_600 * S)


def test_release_of_thousands_of_jobs_needs_no_writes(gate_cluster: GateCluster) -> None:
    count = 2_000
    for number in range(1, count + 1):
        spec = job_spec(number, job_class="quotes", priority="high" if number % 2 else "idle")
        record = admitted_record(spec, START, AdmissionBinding(gate_hold=GateHold("book", 1)))
        gate_cluster.leader.job_created(record, number)
    gate_cluster.perform(10_001, "rebuild")
    gate_cluster.perform(10_002, "approval")
    assert gate_cluster.submit(10_003, "post") == 201
    revision_before = gate_cluster.state.revision
    gate_cluster.finish(10_003)
    # The end of the publication's job and the opening of the gate are one transaction.
    assert gate_cluster.state.revision == revision_before + 1
    assert all(gate_cluster.job(n).waiting == 4 for n in range(1, count + 1))


def test_gate_stays_closed_after_a_cancelled_rebuild(gate_cluster: GateCluster) -> None:
    gate_cluster.open_gate(2)
    gate_cluster.submit(10, "prices")
    gate_cluster.submit(11, "quotes")
    job = gate_cluster.job(10)
    gate_cluster.run(gate_cluster.leader.cancel(job.id))
    gate_cluster.run(gate_cluster.leader.completions._try_finish_job(job))
    gate_cluster.process_changes()
    assert not gate_cluster.stored_state().pending
    status = gate_cluster.leader.status(run_id(11))
    assert status is not None and "has to begin another" in (status.held_by or "")
    gate_cluster.open_gate(20)
    # The next edition also releases the jobs that needed the cancelled one.
    assert gate_cluster.stored_state().edition == 3 and gate_cluster.job(11).waiting == 4
