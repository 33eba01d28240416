"""Errors that the checker must find: each takes away something that safety rests on.

They change the controllers' code in this process while they are planted, and nothing else.
"""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch
from weakref import WeakKeyDictionary

from msgspec import structs

from weldhead.calendars.binding import read_calendar_state
from weldhead.calendars.job_deadlines import JobDeadlines
from weldhead.clock import SECOND_US, now_us
from weldhead.cluster_state.cluster import ATTEMPT_COUNT_BITS, Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.records import LEADER_KEY, CalendarDeadline, FinalRecord, JobRecord
from weldhead.controller.configuration import gate_binder, gate_keeper
from weldhead.controller.fleet.rental_manager import RentalManager
from weldhead.controller.leadership import leader_election
from weldhead.controller.leadership.leader_election import LeaderElection
from weldhead.controller.leadership.leader_lease import LeaderLease
from weldhead.controller.leadership.term_recovery import TermRecovery
from weldhead.controller.requests import submission_handler
from weldhead.controller.requests.job_dependencies import JobDependencies
from weldhead.controller.requests.job_status import JobStatusReporter
from weldhead.controller.requests.job_status_reader import JobStatusReader
from weldhead.controller.workers import heartbeat_handler, reachability_monitor
from weldhead.controller.workers.heartbeat_handler import HeartbeatHandler
from weldhead.controller.workers.heartbeat_reconciler import _HeartbeatReconciler
from weldhead.controller.workers.machine_monitor import MachineMonitor
from weldhead.documents.cache import DocumentCache
from weldhead.failure_attribution import failure_tracker
from weldhead.failure_attribution.judgement import FailureEvidence
from weldhead.gates.gate_state import GateState
from weldhead.protocol.peer import PromiseAnswer, PromiseRequest
from weldhead.protocol.wire import Condition, DeleteKey, Heartbeat, JobStatus, PutKey, ReportedTask
from weldhead.quota.teams import QuotaAccount
from weldhead.reachability.evidence import DeliveryEvidence
from weldhead.reachability.freshness import Freshness
from weldhead.reconciliation import buffered_heartbeats as early_reports
from weldhead.reconciliation.buffered_heartbeats import BufferedHeartbeat
from weldhead.reconciliation.partial_view import PartialView
from weldhead.scheduling.preemption import preemption_pass
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    RequestRefusedError,
    StateClient,
    TransactionRejectedError,
)


def _lease_from_the_answer() -> Iterator[Any]:
    """A leader counts its lease from when the renewal, or what shows its key, was answered."""
    renewed, kept = LeaderLease.confirm_renewal, LeaderLease.confirm_key

    def late(self: LeaderLease, sent_us: int) -> None:
        # What shows nothing new was answered long ago.
        if sent_us > self._key_confirmed_us:
            kept(self, now_us())

    def late_renewal(self: LeaderLease, sent_us: int) -> None:
        renewed(self, now_us())

    yield patch.object(LeaderLease, "confirm_renewal", late_renewal)
    yield patch.object(LeaderLease, "confirm_key", late)


def _attempt_used_twice() -> Iterator[Any]:
    """Attempt numbers count within a term only."""

    unique = Cluster.next_attempt_number

    def next_attempt_number(self: Cluster, job_id: str, index: int) -> int:
        return unique(self, job_id, index) - (self.token << ATTEMPT_COUNT_BITS)

    yield patch.object(Cluster, "next_attempt_number", next_attempt_number)


def _told_before_committed() -> Iterator[Any]:
    """A job whose tasks have all completed is called done before that is committed."""
    status_of = JobStatusReporter._status_of

    def early(self: JobStatusReporter, job: Job) -> JobStatus:
        answer = status_of(self, job)
        return JobStatus(job.id, "done", job.done, 0) if job.is_complete else answer

    yield patch.object(JobStatusReporter, "_status_of", early)


def _does_not_wait() -> Iterator[Any]:
    """A new leader starts work before it knows what runs."""
    yield patch.object(TermRecovery, "check_known", lambda self: self.all_known.set())


def _everything_settled() -> Iterator[Any]:
    """While machines are unknown, any waiting task is taken to run nowhere."""
    yield patch.object(PartialView, "is_settled", lambda self, job: True)


def _in_flight_not_counted() -> Iterator[Any]:
    """A team's usage leaves out attempts that no worker has listed yet."""
    start, release, advance = Cluster.start, Cluster.release, _HeartbeatReconciler._advance
    uncounted: dict[int, Attempt] = {}

    def begin(self: Cluster, *args: Any) -> Attempt:
        attempt = start(self, *args)
        uncounted[id(attempt)] = attempt
        self.usage[attempt.job.team].cpus -= attempt.job.spec.cpus
        return attempt

    def count(cluster: Cluster, attempt: Attempt) -> None:
        if uncounted.pop(id(attempt), None) is not None:
            cluster.usage[attempt.job.team].cpus += attempt.job.spec.cpus

    def end(self: Cluster, attempt: Attempt, **more: Any) -> None:
        count(self, attempt)
        release(self, attempt, **more)

    def first_listed(self: _HeartbeatReconciler, attempt: Attempt, task: ReportedTask) -> None:
        count(self._cluster, attempt)
        advance(self, attempt, task)

    yield patch.object(Cluster, "start", begin)
    yield patch.object(Cluster, "release", end)
    yield patch.object(_HeartbeatReconciler, "_advance", first_listed)


def _any_failure_accuses() -> Iterator[Any]:
    """Two failures on a machine show that it is faulty, whosever they are."""

    def accuses(evidence: list[FailureEvidence], **_: bool) -> bool:
        return sum(a.count for a in evidence) >= 2

    yield patch.object(failure_tracker, "is_machine_faulty", accuses)


def _below_a_guarantee() -> Iterator[Any]:
    """Whatever a team runs counts as borrowed."""
    yield patch.object(preemption_pass, "is_over_guarantee", lambda *_: True)
    yield patch.object(QuotaAccount, "can_lose_gpus", lambda *_: True)


def _deaf_as_healthy() -> Iterator[Any]:
    """Nothing that a machine shows of not being reached counts."""
    yield patch.object(DeliveryEvidence, "add", lambda *_: False)


def _calendar_of_the_term() -> Iterator[Any]:
    """A new term binds the jobs that it finds anew, to the instants that come then."""
    enter = JobDeadlines.add

    def anew(self: JobDeadlines, job: Job, at_us: int, wall_us: int) -> None:
        kept = (
            read_calendar_state(self.cache, job.calendar_deadline.calendar)
            if self.cache and job.calendar_deadline
            else None
        )
        due_us = kept.value.first_after(wall_us) if kept is not None else None
        if job.calendar_deadline is not None and due_us is not None:
            job.calendar_deadline = CalendarDeadline(
                job.calendar_deadline.calendar, job.calendar_deadline.edition, due_us
            )
        enter(self, job, at_us, wall_us)

    yield patch.object(JobDeadlines, "add", anew)


def _gate_from_memory() -> Iterator[Any]:
    """A term takes a gate for open as somebody knew it last, whatever is on record now."""
    read, memory = gate_binder.read_gate_state, dict[str, GateState]()

    def remembered(cache: DocumentCache, name: str) -> GateState | None:
        state = read(cache, name)
        if state is not None and state.newest is not None and state.newest.is_open:
            memory[name] = state
        return memory.get(name, state)

    yield patch.object(gate_binder, "read_gate_state", remembered)
    yield patch.object(gate_keeper, "read_gate_state", remembered)


def _gate_opened_by_a_late_write() -> Iterator[Any]:
    """A gate's state is written whoever leads by then, and whatever was written since."""
    transact = StateClient.transact

    async def anyhow(
        self: StateClient,
        conditions: list[Condition],
        writes: list[PutKey | DeleteKey],
        **more: Any,
    ) -> int:
        if any(write.key.startswith("d/state/gate/") for write in writes):
            conditions = []
        return await transact(self, conditions, writes, **more)

    yield patch.object(StateClient, "transact", anyhow)


def _late_write_unconditional() -> Iterator[Any]:
    """The leader's writes are conditional on its key alone, not on what they replace."""
    transact = StateClient.transact

    async def blindly(
        self: StateClient,
        conditions: list[Condition],
        writes: list[PutKey | DeleteKey],
        **more: Any,
    ) -> int:
        if any(condition.key == LEADER_KEY and condition.version for condition in conditions):
            conditions = [condition for condition in conditions if condition.key == LEADER_KEY]
        return await transact(self, conditions, writes, **more)

    yield patch.object(StateClient, "transact", blindly)


def _late_report_applied() -> Iterator[Any]:
    """What a report lists is taken for what runs, however old it is."""
    yield patch.object(heartbeat_handler, "is_newer", lambda *_: True)
    yield patch.object(reachability_monitor, "classify_freshness", lambda *_: Freshness.FRESH)


def _forgotten_too_early() -> Iterator[Any]:
    """An attempt whose direct ``run`` was not answered is taken for never begun."""

    def lose(self: Cluster, attempt: Attempt, at_us: int) -> None:
        if attempt.job.active.get(attempt.index) is attempt:
            self.release(attempt)

    yield patch.object(Cluster, "mark_unconfirmed", lose)


def _lease_kept_by_an_unloaded_leader() -> Iterator[Any]:
    """A leader that has not read the jobs keeps all workers, for as long as that takes."""

    def answer(self: TermRecovery, report: Heartbeat, at_us: int, *, relayed: bool) -> bool:
        return self.heartbeat_buffer.add_answered(report, at_us, relayed=relayed)

    yield patch.object(TermRecovery, "buffer_heartbeat", answer)


def _cancelled_only_when_answered() -> Iterator[Any]:
    """Tasks are stopped once the cancellation's write was answered, whatever came of it."""
    stop_tasks = JobDependencies.stop_tasks

    def stop(self: JobDependencies, job: Job) -> None:
        if job.cancelled:
            stop_tasks(self, job)

    yield patch.object(JobDependencies, "stop_tasks", stop)
    yield patch.object(Job, "cancel_requested", property(lambda _: False, lambda *_: None))


def _cancel_clock_of_the_term() -> Iterator[Any]:
    """Each term counts from its own beginning what it may have missed, not from the first's."""

    async def settled(state: StateClient) -> int | None:
        return None

    yield patch.object(leader_election, "read_unsettled_from_us", settled)


def _follower_answers_from_an_old_read() -> Iterator[Any]:
    """A follower remembers the jobs that it has read, as if they could not change."""
    read = JobStatusReader.read_record
    remembered: WeakKeyDictionary[JobStatusReader, dict[str, JobRecord]] = WeakKeyDictionary()

    async def from_memory(
        self: JobStatusReader, job_id: str, *, urgent: bool = False
    ) -> JobRecord | FinalRecord | None:
        records = remembered.setdefault(self, {})
        if self._controller.leader is None and job_id in records:
            return records[job_id]
        stored = await read(self, job_id, urgent=urgent)
        if isinstance(stored, JobRecord):
            records[job_id] = stored
        return stored

    yield patch.object(JobStatusReader, "read_record", from_memory)


def _lost_answer_as_a_refusal() -> Iterator[Any]:
    """A transaction whose answer was lost is taken for one that was not carried out."""
    transact = StateClient.transact

    async def refused(self: StateClient, *args: Any, **more: Any) -> int:
        try:
            return await transact(self, *args, **more)
        except (RequestRefusedError, TransactionRejectedError):
            raise
        except CallError as lost:
            raise RequestRefusedError(str(lost)) from lost

    yield patch.object(StateClient, "transact", refused)


def _work_on_an_unrecorded_machine() -> Iterator[Any]:
    """Tasks are sent to a machine before the store says that something may run there."""
    mark_up = RentalManager.enroll

    async def at_once(self: RentalManager, machine: Machine) -> None:
        machine.enrolled = True
        await mark_up(self, machine)

    yield patch.object(RentalManager, "enroll", at_once)


def _old_report_taken_before_the_load() -> Iterator[Any]:
    """What a leader hears before it is loaded is taken for what runs then, however old it is."""
    apply = HeartbeatHandler.apply_buffered

    def take(self: HeartbeatHandler, early: BufferedHeartbeat) -> None:
        shown = structs.replace(early.heartbeat, token=self._term.token)
        apply(self, replace(early, heartbeat=shown))

    yield patch.object(HeartbeatHandler, "apply_buffered", take)
    # Of several the first that came stays.
    yield patch.object(early_reports, "_message_order", lambda _: (0, 0))


def _promise_to_the_replaced() -> Iterator[Any]:
    """A promise is given and counts whoever has led since the asker began."""

    async def promise_anyhow(
        self: LeaderElection, name: str, hold: PromiseRequest
    ) -> PromiseAnswer:
        hold = structs.replace(hold, token=max(hold.token, self.highest_token))
        return PromiseAnswer(hold.id, await self.grant_promise(hold))

    yield patch.object(LeaderElection, "answer_promise_request", promise_anyhow)
    yield patch.object(LeaderElection, "observe_token", lambda *_: None)
    yield patch.object(LeaderLease, "unreplaced_until_us", lambda *_: now_us())


def _room_given_away_at_a_hung_machine() -> Iterator[Any]:
    """What was told to go, on a machine that has been silent since, is taken for gone."""
    in_trouble = MachineMonitor.machines_with_overdue_stops

    def given(self: MachineMonitor, at_us: int) -> list[Machine]:
        cluster, silence_us = self._term.cluster, self._term.silence_us
        for attempt in list(cluster.stopping.values()):
            machine = cluster.machines[attempt.machine]
            if attempt.job.must_stop and at_us - machine.last_heartbeat_us > silence_us:
                cluster.release(attempt)
        return in_trouble(self, at_us)

    yield patch.object(MachineMonitor, "machines_with_overdue_stops", given)


def _answer_from_an_old_read() -> Iterator[Any]:
    """A controller tells for two seconds what the store said once."""
    from_store = JobStatusReader.read_status
    kept: dict[tuple[JobStatusReader, str], tuple[int, JobStatus | None]] = {}

    async def old(self: JobStatusReader, job_id: str, *, urgent: bool = False) -> JobStatus | None:
        at_us, read = kept.get((self, job_id), (0, None))
        if now_us() - at_us > 2 * SECOND_US:
            at_us, read = now_us(), await from_store(self, job_id, urgent=urgent)
            kept[self, job_id] = at_us, read
        return read

    yield patch.object(JobStatusReader, "read_status", old)


def _any_job_accepted() -> Iterator[Any]:
    """A job is accepted whether or not it can ever run."""
    yield patch.object(submission_handler, "check_feasible", lambda *_: None)


def _cancelled_jobs_started() -> Iterator[Any]:
    """Tasks of a cancelled job that wait are started as any other's."""

    def waiting(self: Job) -> int:
        return self.spec.tasks - self.done - len(self.active)

    yield patch.object(Job, "waiting", property(waiting))


def _direct_runs_forgotten() -> Iterator[Any]:
    """A worker forgets every ended attempt, also one that a copied command may start again."""
    yield patch.object(Machine, "forgettable_attempts", lambda self: self.unacknowledged)


def _interrupted_jobs_left() -> Iterator[Any]:
    """A job of which a task ended without completing is not placed again in that term."""
    waiting = Job.waiting

    def without(self: Job) -> int:
        return 0 if self.restart_queue else waiting.__get__(self)

    yield patch.object(Job, "waiting", property(without))


INJECTED_BUGS: dict[str, Callable[[], Iterator[Any]]] = {
    "lease-from-the-answer": _lease_from_the_answer,
    "attempt-used-twice": _attempt_used_twice,
    "told-before-committed": _told_before_committed,
    "does-not-wait": _does_not_wait,
    "in-flight-not-counted": _in_flight_not_counted,
    "everything-settled": _everything_settled,
    "any-failure-accuses": _any_failure_accuses,
    "below-a-guarantee": _below_a_guarantee,
    "deaf-as-healthy": _deaf_as_healthy,
    "calendar-of-the-term": _calendar_of_the_term,
    "gate-from-memory": _gate_from_memory,
    "gate-opened-by-a-late-write": _gate_opened_by_a_late_write,
    "late-write-unconditional": _late_write_unconditional,
    "late-report-applied": _late_report_applied,
    "forgotten-too-early": _forgotten_too_early,
    "lease-kept-by-an-unloaded-leader": _lease_kept_by_an_unloaded_leader,
    "cancelled-only-when-answered": _cancelled_only_when_answered,
    "cancel-clock-of-the-term": _cancel_clock_of_the_term,
    "follower-answers-from-an-old-read": _follower_answers_from_an_old_read,
    "lost-answer-as-a-refusal": _lost_answer_as_a_refusal,
    "work-on-an-unrecorded-machine": _work_on_an_unrecorded_machine,
    "old-report-taken-before-the-load": _old_report_taken_before_the_load,
    "promise-to-the-replaced": _promise_to_the_replaced,
    "room-given-away-at-a-hung-machine": _room_given_away_at_a_hung_machine,
    "answer-from-an-old-read": _answer_from_an_old_read,
    "any-job-accepted": _any_job_accepted,
    "cancelled-jobs-started": _cancelled_jobs_started,
    "interrupted-jobs-left": _interrupted_jobs_left,
    "direct-runs-forgotten": _direct_runs_forgotten,
}


@contextmanager
def injected_bug(name: str | None) -> Iterator[None]:
    """Plant an error by its name; None: none."""
    with ExitStack() as stack:
        for change in INJECTED_BUGS[name]() if name is not None else ():
            stack.enter_context(change)
        yield
