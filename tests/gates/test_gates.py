"""Release gates: what opens and closes them, whoever ends in between; nothing stale starts."""

import asyncio
from collections.abc import Iterator
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.builders import job_spec
from tests.support.gates import CLASSES, KEY, gate
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
    KEPT,
    MOST_PENDING,
    ActionEntry,
    GateState,
    ended,
    enter,
    gate_action,
    permits,
    waits_for,
)
from weldhead.tomlfiles import FileProblemError
from weldhead.transport.state_client import StateClient

S = 1_000_000


def run_id(number: int) -> str:
    return f"run-{number:06}"


class Model:
    """What the jobs have done, told plainly: every job, its edition, its order of acceptance."""

    def __init__(self) -> None:
        self.state = GateState()
        self.accepted: dict[int, tuple[str, int, int, GateAction]] = {}
        self.entered: dict[int, int] = {}
        self.over: dict[int, bool] = {}
        self.count = 0

    def accept(self, act: str, needs: int) -> int:
        self.count += 1
        self.accepted[self.count] = (act, needs, self.count, gate_action(gate(), self.state, act))
        return self.count

    def enter(self, number: int) -> ActionEntry:
        act, needs, _, deed = self.accepted[number]
        names = [run_id(needs)] if needs else []
        self.state, outcome = enter(self.state, act, run_id(number), names, deed, number)
        return outcome

    def end(self, number: int, *, done: bool) -> None:
        self.over[number] = done
        self.state = ended(self.state, run_id(number), number, done=done)


class GateMachine(RuleBasedStateMachine):
    """Acts in any order, entered late, twice, withdrawn: never open without its own acts."""

    @initialize()
    def begin(self) -> None:
        self.model = Model()
        #: When each act on an edition was withdrawn: everything accepted before is void.
        self.revoked: dict[int, int] = {}

    @rule(act=st.sampled_from(list(CLASSES)), pick=st.integers(0, 30), late=st.booleans())
    def submit(self, act: str, pick: int, *, late: bool) -> None:
        known = [n for n in self.model.accepted if n <= pick]
        number = self.model.accept(act, known[-1] if known and act != "rebuild" else 0)
        if not late:
            self._enter(number)

    @rule(pick=st.integers(0, 100))
    def enter_late_or_twice(self, pick: int) -> None:
        open_ones = [n for n in self.model.accepted if n not in self.model.over]
        if open_ones:
            self._enter(open_ones[pick % len(open_ones)])

    def _enter(self, number: int) -> None:
        before = self.model.state
        outcome = self.model.enter(number)
        if outcome is not ActionEntry.TAKEN:
            assert self.model.state == before
            return
        edition = self.model.state.pending[-1].edition
        self.model.entered[number] = edition
        if self.model.accepted[number][0] == "withdrawal":
            self.revoked[edition] = self.model.count

    @rule(pick=st.integers(0, 100), done=st.booleans(), again=st.booleans())
    def finish(self, pick: int, *, done: bool, again: bool) -> None:
        ready = [n for n in self.model.entered if n not in self.model.over]
        if ready:
            number = ready[pick % len(ready)]
            self.model.end(number, done=done)
            if again:
                state = self.model.state
                self.model.end(number, done=not done)
                assert self.model.state == state
                self.model.over[number] = done

    @invariant()
    def open_only_with_all_three_of_that_very_edition(self) -> None:
        if not hasattr(self, "model"):
            return
        state = self.model.state
        for edition in state.editions:
            done = {
                self.model.accepted[n][0]: n
                for n, of in self.model.entered.items()
                if of == edition.number and self.model.over.get(n)
                and self.model.accepted[n][2] > (
                    self.revoked.get(of, 0) if self.model.accepted[n][0] == "approval" else 0
                )
            }  # fmt: skip
            if edition.open:
                assert {"rebuild", "approval", "publication"} <= set(done)
                assert edition.opened_us
            for former in ("finish", "stop"):
                if permits(former, state, edition.number):
                    assert any(e.open and e.number >= edition.number for e in state.editions)
        assert not permits("finish", state, state.edition + 1)
        newest = state.newest
        assert bool(waits_for(gate(), state)) == (newest is None or not newest.open)
        assert len(state.editions) <= KEPT + 1 and len(state.pending) <= MOST_PENDING
        assert len(msgspec.json.encode(state)) < 2048


TestGateMachine = GateMachine.TestCase


TestGateMachine.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


@given(st.permutations(["rebuild", "approval", "publication", "publication", "approval"]))
def test_ends_in_any_order_have_one_outcome(order: list[str]) -> None:
    state, _ = enter(GateState(), "rebuild", run_id(1), [], None, 1)
    ids = {"rebuild": [run_id(1)], "approval": [run_id(2), run_id(3)]}
    ids["publication"] = [run_id(4), run_id(5)]
    for act in ("approval", "publication"):
        for job_id in ids[act]:
            state, _ = enter(state, act, job_id, [run_id(1)], None, 1)
    left = {"rebuild", "approval", "publication"}
    for act in order:
        state = ended(state, ids[act].pop(), 5, done=True)
        left.discard(act)
        assert permits("finish", state, 1) == permits("stop", state, 1) == (not left)
    assert not state.pending


def test_an_approval_given_before_a_withdrawal_never_counts_after_it() -> None:
    def opened() -> GateState:
        state = GateState()
        for number, act in enumerate(("rebuild", "publication"), 1):
            state, _ = enter(state, act, run_id(number), [run_id(1)], None, 1)
            state = ended(state, run_id(number), 1, done=True)
        return state

    for order in ((3, 4), (4, 3)):
        state = opened()
        deeds = {n: gate_action(gate(), state, a) for n, a in ((3, "approval"), (4, "withdrawal"))}
        for number in order:
            act = "approval" if number == 3 else "withdrawal"
            state, _ = enter(state, act, run_id(number), [], deeds[number], 2)
        state = ended(state, run_id(3), 3, done=True)
        assert not permits("finish", state, 1) and "again" in waits_for(gate(), state)
        state, taken = enter(
            state, "approval", run_id(5), [], gate_action(gate(), state, "approval"), 4
        )
        assert taken is ActionEntry.TAKEN
        assert permits("finish", ended(state, run_id(5), 5, done=True), 1)


def test_what_gates_hold_and_who_works_on_them_is_checked_with_its_line() -> None:
    one = """
[[gate]]
name = "{}"
holds = ["{}"]
rebuild = {{ job-class = "{}" }}
approval = {{ job-class = "{}", team = "sales" }}
publication = {{ job-class = "post-{}" }}
"""

    def check(*gates: tuple[str, str, str, str]) -> None:
        text = "edition = 1\n" + "".join(one.format(*g, g[0]) for g in gates)
        parse_documents("days.toml", text, 8_000)

    check(("a", "quotes", "prices", "sign"), ("b", "cuts", "stock", "agree"))
    for wrong, word in [
        ((("a", "quotes", "sign", "sign"),), "same jobs as its rebuild"),
        ((("a", "quotes", "p", "s"), ("b", "quotes", "q", "t")), "holds the same"),
        ((("a", "quotes", "p", "s"), ("b", "cuts", "p", "t")), "work on gate a"),
        ((("a", "quotes", "p", "s"), ("b", "p", "q", "t")), "gate b holds these"),
    ]:
        with pytest.raises(FileProblemError, match=word):
            check(*wrong)


class World(LeaderOnLoop):
    """A store, a leader with gates, and a follower's desk; the background task is looked at by
    hand.
    """

    def __init__(self, clock: Clock, document: Gate | None = None) -> None:
        self.clock = clock
        super().__init__()
        self.state = StandInState()
        self.edition = 0
        self.publish(document or gate())
        self.machine()
        self.take_over()

    def publish(self, document: Gate | None) -> None:
        self.edition += 1
        names: tuple[str, ...] = ()
        if document is not None:
            self.state.put(document_key(self.edition, "gate/book"), document)
            names = ("gate/book",)
        self.state.put(HEAD_KEY, HeadRecord(self.edition, f"{self.edition}", names))

    def machine(self) -> None:
        machines: dict[str, str | None] = {"vm-1": "10.0.0.9:1"}
        self.state.put("h/vm-1", RentalRecord("m4", "a", False, 1, START, True, machines))

    def documents(self) -> DocumentReplica:
        async def nobody(kind: str, job_id: str, body: bytes) -> None:
            return None

        documents = DocumentReplica(cast(StateClient, self.state), None, nobody)
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
        self.look()

    @property
    def gates(self) -> GateKeeper:
        assert self.leader.gate_keeper is not None
        return self.leader.gate_keeper

    def look(self) -> None:
        """The background task's look, once."""
        if self.leader.gate_keeper is None:
            return
        self.run(self.gates._process_changes(list(self.leader.cluster.jobs.values())))

    def submit(self, number: int, job_class: str, *, documents: DocumentReplica | None = None,
               needs: tuple[int, ...] = (), **of: Any) -> int:  # fmt: skip
        node = StandInNode()
        node.documents = documents or self.documents()
        spec = job_spec(number, job_class=job_class, **of)
        spec = msgspec.structs.replace(spec, needs=tuple(run_id(n) for n in needs) or None)
        status = self.run(desk(self.state, node).submit(msgspec.json.encode(spec))).status
        self.hear()
        return status

    def hear(self) -> None:
        """The leader's watch."""
        for key, (value, version) in list(self.state.keys.items()):
            if key.startswith("j/"):
                self.leader.job_created(msgspec.convert(value, JobRecord), version)
        self.look()

    def job(self, number: int) -> Job:
        return self.leader.cluster.jobs[run_id(number)]

    def finish(self, number: int) -> None:
        """All tasks complete, and that is committed."""
        job = self.job(number)
        assert job.waiting == job.spec.tasks - job.done
        for index in job.waiting_indexes(job.spec.tasks):
            job.complete_waiting(index)
        self.run(self.leader.completions._try_finish_job(job))
        assert run_id(number) not in self.leader.cluster.jobs
        self.look()

    def act(self, number: int, name: str, **of: Any) -> None:
        assert self.submit(number, CLASSES[name], **of) == 201
        self.finish(number)

    def open(self, first: int) -> None:
        for number, name in enumerate(("rebuild", "approval", "publication"), first):
            self.act(number, name)

    def kept(self) -> GateState:
        return msgspec.convert(self.state.keys[KEY][0], GateState)


@pytest.fixture
def world(clock: Clock) -> Iterator[World]:
    made = World(clock)
    yield made
    made.close()
    made.loop.close()


def test_a_job_waits_for_approval_and_publication_and_says_so(world: World) -> None:
    assert world.submit(1, "quotes") == 201
    record = msgspec.convert(world.state.keys[job_key(run_id(1))][0], JobRecord)
    assert record.gate_hold == GateHold("book", 1)
    job = world.job(1)
    told = world.leader.status(job.id)
    assert job.waiting == 0 and told is not None and told.state == "pending"
    assert "class prices has to rebuild it" in (told.held_by or "")
    world.act(2, "rebuild")
    told = world.leader.status(job.id)
    assert told and "a job of class sign has to approve it" in (told.held_by or "")
    world.act(3, "approval")
    assert job.waiting == 0
    world.act(4, "publication")
    told = world.leader.status(job.id)
    assert job.waiting == 4 and told is not None and told.held_by is None
    # Later ones pass at once, until a rebuild begins: they need its edition then.
    world.submit(5, "quotes")
    assert world.job(5).waiting == 4
    world.submit(6, "prices")
    world.submit(7, "quotes")
    assert (world.job(5).waiting, world.job(7).waiting) == (4, 0)
    # Cancelled like any other.
    world.run(world.leader.cancel(run_id(7)))
    world.look()
    assert run_id(7) not in world.gates.trackers["book"].jobs


def test_leaders_may_end_after_any_step(world: World) -> None:
    world.submit(1, "quotes")
    world.submit(2, "prices")
    for number, name in ((2, "rebuild"), (3, "approval"), (4, "publication")):
        if name != "rebuild":
            world.submit(number, CLASSES[name])
        entered = world.kept()
        world.take_over()
        assert world.kept() == entered and world.job(1).waiting == 0
        world.finish(number)
        world.take_over()
    assert world.job(1).waiting == 4
    # The moment of the opening is the same for all of them.
    opened = world.kept().editions[0].opened_us
    assert opened and world.job(1).runnable_since_us == opened


def test_an_act_that_ended_without_its_consequence_counts_all_the_same(world: World) -> None:
    # What a leader that knows no gates does: the end alone.
    world.submit(1, "quotes")
    world.submit(2, "prices")
    state = world.kept()
    assert state.pending
    world.close()
    world.state.delete(job_key(run_id(2)))
    world.state.put(final_key(run_id(2)), FinalRecord("done", 4, START))
    world.take_over()
    assert world.kept().editions[0].rebuilt and not world.kept().pending


def test_an_act_is_on_record_before_it_begins(world: World) -> None:
    world.state.fates = ["ok", "refused", "lost", "late", "unanswered"]
    node = StandInNode()
    node.documents = world.documents()
    spec = job_spec(2, job_class="prices")
    assert world.run(desk(world.state, node).submit(msgspec.json.encode(spec))).status == 201
    # The leader takes it up, and ends before it has entered it.
    record = msgspec.convert(world.state.keys[job_key(run_id(2))][0], JobRecord)
    world.leader.job_created(record, world.state.revision)
    assert world.job(2).waiting == 0
    world.state.fates = []
    world.take_over()
    assert world.kept().pending[0].job == run_id(2) and world.job(2).waiting == 4
    world.state.release_late()


def test_an_old_copy_accepts_nothing(world: World) -> None:
    old = world.documents()
    world.open(2)
    assert world.submit(10, "quotes") == 201
    before = world.documents()
    world.submit(11, "prices")
    # Judged by the state before the rebuild it would need the former edition only.
    assert world.submit(12, "quotes", documents=before) == 503
    assert world.submit(12, "quotes", documents=old) == 503
    assert world.submit(12, "quotes") == 201
    assert world.job(12).gate_hold == GateHold("book", 2)
    world.publish(None)
    assert world.submit(13, "other", documents=before) == 503


def running(world: World, number: int, phases: list[AttemptPhase]) -> None:
    machine = world.leader.cluster.machines["vm-1"]
    for index, phase in enumerate(phases):
        attempt = world.leader.cluster.start(world.job(number), index, machine, world.clock())
        attempt.phase = phase
        attempt.sent_sequence = 1


@pytest.mark.parametrize("former", ["finish", "stop"])
def test_a_withdrawn_approval_holds_what_has_not_begun(
    clock: Clock,
    former: str,
) -> None:
    world = World(clock, gate(former))
    world.open(2)
    world.submit(10, "quotes", cpus=0.5)
    running(world, 10, [AttemptPhase.ASSIGNED, AttemptPhase.PULLING, AttemptPhase.RUNNING])
    unanswered = world.job(10).active[0]
    unanswered.unconfirmed_since_us = clock()
    world.submit(11, "recall")
    job = world.job(10)
    stops = [job.active[n].stop_request for n in range(3)]
    running_stop = StopRequest.SOFT if former == "stop" else StopRequest.NO
    assert stops == [StopRequest.HARD, StopRequest.HARD, running_stop] and job.waiting == 0
    # It is told, and its own job begins, once nothing can begin any more.
    told = world.leader.status(job.id)
    assert told is not None and told.held_by is None and world.job(11).waiting == 0
    world.leader.cluster.release(job.active[1])
    world.look()
    assert world.job(11).waiting == 0
    world.leader.cluster.release(unanswered)
    world.look()
    told = world.leader.status(job.id)
    assert told is not None and "approve it again" in (told.held_by or "")
    assert world.job(11).waiting == 4
    # A successor holds it as well, and tells so only when every machine is known.
    world.take_over()
    world.leader.term.ready = False
    world.look()
    told = world.leader.status(job.id)
    assert world.job(10).waiting == 0 and told is not None and told.held_by is None
    world.close()


def test_a_rebuild_stops_former_work_only_where_the_document_says_so(clock: Clock) -> None:
    for former in ("finish", "stop"):
        world = World(clock, gate(former))
        world.open(2)
        world.submit(10, "quotes", cpus=0.5)
        running(world, 10, [AttemptPhase.RUNNING])
        world.submit(11, "prices")
        job = world.job(10)
        stopped = former == "stop"
        assert (job.active[0].stop_request is StopRequest.SOFT, job.waiting == 0) == (
            stopped,
            stopped,
        )
        world.close()


def test_nothing_opens_by_what_is_not_committed(world: World) -> None:
    world.act(2, "rebuild")
    world.act(3, "approval")
    world.submit(1, "quotes")
    world.submit(4, "post")
    job = world.job(4)
    for index in job.waiting_indexes(4):
        job.complete_waiting(index)
    world.state.fates = ["lost"] * 1_000

    async def end() -> None:
        task = asyncio.create_task(world.leader.completions._try_finish_job(job))
        await asyncio.sleep(0.02)
        assert world.job(1).waiting == 0
        world.leader.state_writer.close()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    world.run(end())
    world.state.fates = []
    world.take_over()
    assert world.job(1).waiting == 0 and world.kept().pending


def test_a_closing_holds_before_it_is_written(world: World) -> None:
    world.open(2)
    world.submit(10, "quotes")
    assert world.job(10).waiting == 4
    world.state.fates = ["ok"] + ["lost"] * 1_000
    node = StandInNode()
    node.documents = world.documents()
    spec = job_spec(11, job_class="recall")
    assert world.run(desk(world.state, node).submit(msgspec.json.encode(spec))).status == 201
    record = msgspec.convert(world.state.keys[job_key(run_id(11))][0], JobRecord)
    world.leader.job_created(record, world.state.revision)

    async def begin() -> None:
        task = asyncio.create_task(world.gates._enter_actions())
        await asyncio.sleep(0.02)
        world.gates._update_quiescence()
        assert (
            world.job(10).waiting == 0
            and world.gates.describe_confirmed_hold(world.job(10)) is None
        )
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    world.run(begin())
    world.state.fates = []


def test_a_job_that_comes_first_does_not_keep_others_from_the_next_edition(world: World) -> None:
    """It had the edition read: nobody else was judged by it, and a gate that was gone held."""
    world.submit(1, "quotes")
    assert world.job(1).waiting == 0
    assert world.leader.publisher is not None
    world.run(world.leader.publisher._publish(DocumentSet(2, {})))
    assert world.submit(5, "other") == 201
    assert world.job(1).waiting == 4


def test_who_is_given_no_documents_starts_nothing_that_a_gate_concerns(world: World) -> None:
    world.open(2)
    world.submit(10, "quotes")
    world.submit(11, "prices")
    world.take_over(with_documents=False)
    assert (world.job(10).waiting, world.job(11).waiting) == (0, 0)
    told = world.leader.status(run_id(10))
    assert told is not None and told.state == "pending"
    world.take_over()
    assert (world.job(10).waiting, world.job(11).waiting) == (4, 4)


def test_a_job_that_was_accepted_without_documents_is_held_by_its_class(world: World) -> None:
    world.state.put(job_key(run_id(1)), JobRecord(job_spec(1, job_class="quotes"), START))
    world.state.put(job_key(run_id(2)), JobRecord(job_spec(2, job_class="prices"), START))
    world.hear()
    assert world.job(1).waiting == 0 and world.kept().edition == 1
    # A gate that no document in force has holds nothing.
    world.publish(None)
    world.take_over()
    assert world.job(1).waiting == 4


def test_a_state_that_cannot_be_read_lets_nothing_through(world: World) -> None:
    world.open(2)
    world.submit(10, "quotes")
    world.state.put(KEY, {"edition": "of another format"})
    world.take_over()
    assert world.job(10).waiting == 0
    assert world.submit(11, "quotes") == 503


def test_the_acts_inherit_from_what_they_hold_up(world: World) -> None:
    world.submit(1, "quotes", priority="high", deadline_s=600.0)
    world.submit(2, "prices", priority="idle")
    assert world.job(2).effective_level == 0 or world.job(2).effective_level == 2
    world.clock.us += 2 * S
    world.look()
    rebuild = world.job(2)
    assert rebuild.effective_level == 2 and rebuild.inherited_due_us
    assert rebuild.inherited_due_us[0] < world.job(1).first_seen_us + 600 * S


def test_machines_are_rented_ahead_of_a_release_that_is_near_and_not_for_ever(
    world: World,
) -> None:
    world.submit(1, "quotes")
    world.act(2, "rebuild")
    world.act(3, "approval")
    world.clock.us += 2 * S
    world.look()
    at_us = world.clock()
    assert not world.gates.forecast.expected_demand(at_us, at_us + 3_600 * S)
    world.submit(4, "post")
    world.clock.us += 2 * S
    world.look()
    at_us = world.clock()
    found = world.gates.forecast.expected_demand(at_us, at_us + 3_600 * S)
    assert [item.job.id for item in found] == [run_id(1)] and found[0].expected_start_us > at_us
    assert not world.gates.forecast.expected_demand(at_us, at_us + 1 * S)
    later_us = at_us + 7_201 * S
    assert not world.gates.forecast.expected_demand(later_us, later_us + 3_600 * S)


def test_thousands_are_released_without_a_write(world: World) -> None:
    count = 2_000
    for number in range(1, count + 1):
        spec = job_spec(number, job_class="quotes", priority="high" if number % 2 else "idle")
        record = admitted_record(spec, START, AdmissionBinding(gate_hold=GateHold("book", 1)))
        world.leader.job_created(record, number)
    world.act(10_001, "rebuild")
    world.act(10_002, "approval")
    assert world.submit(10_003, "post") == 201
    before = world.state.revision
    world.finish(10_003)
    # The end of the act and the opening are one change.
    assert world.state.revision == before + 1
    assert all(world.job(n).waiting == 4 for n in range(1, count + 1))


def test_a_cancelled_rebuild_leaves_the_gate_closed_until_another(world: World) -> None:
    world.open(2)
    world.submit(10, "prices")
    world.submit(11, "quotes")
    job = world.job(10)
    world.run(world.leader.cancel(job.id))
    world.run(world.leader.completions._try_finish_job(job))
    world.look()
    assert not world.kept().pending
    told = world.leader.status(run_id(11))
    assert told is not None and "has to begin another" in (told.held_by or "")
    world.open(20)
    # The next edition does for whoever needed the one that never came.
    assert world.kept().edition == 3 and world.job(11).waiting == 4
