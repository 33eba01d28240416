"""Release gates of a leader term: commits their states, and holds and releases jobs.

The rules for opening and closing are in ``weldhead/gates``. This module commits their results and
stops tasks that must no longer start. It logs that a gate is closed only once no task of a held job
can start any more. Jobs that rebuild, approve, publish or withdraw an edition of a gate are called
action jobs. An action is entered by committing a gate state that includes the action.
"""

import asyncio
import contextlib
import logging
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

import msgspec

from weldhead.clock import SECOND_US, now_us, wall_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import (
    FinalRecord,
    GateAction,
    JobRecord,
    final_key,
)
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.configuration.gate_binder import KIND, read_gate_state, read_gates
from weldhead.controller.configuration.gate_forecast import GateForecast
from weldhead.controller.requests.job_dependencies import JobDependencies
from weldhead.controller.term import LOAD_BATCH_SIZE, Term, batches
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.documents.records import state_key
from weldhead.gates.gate_document import Gate
from weldhead.gates.gate_state import ActionEntry, GateState, apply_job_end, enter_action
from weldhead.gates.gate_tracker import GateTracker, has_starting_attempts
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import decode

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode

#: Interval between checks while no event triggers one earlier.
CHECK_INTERVAL_S = 0.25


#: This many jobs are released before the other tasks of the event loop get a turn.
RELEASE_BATCH_SIZE = 250


#: Pause between two release batches.
RELEASE_PAUSE_S = 0.02


class GateKeeper:
    """Opens and closes the gates in one leader term, and holds and releases their jobs."""

    def __init__(
        self,
        term: Term,
        publisher: DocumentPublisher,
        job_dependencies: JobDependencies,
        dispatcher: CommandDispatcher,
    ) -> None:
        self._term = term
        self._publisher = publisher
        self._job_dependencies = job_dependencies
        self._dispatcher = dispatcher
        self.trackers: dict[str, GateTracker] = {}
        #: Accepted action jobs that are not entered yet, by id: the job, its gate, its action, and
        #: the action recorded at its acceptance, if any.
        self._unentered_actions: dict[str, tuple[Job, str, str, GateAction | None]] = {}
        #: Held jobs with active attempts, by id.
        self._draining: dict[str, Job] = {}
        self.forecast = GateForecast(term, job_dependencies, self.trackers)
        #: Serializes the changes of gate states.
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        #: The documents have changed since they were last loaded.
        self._documents_changed = True
        #: The documents have changed since all jobs were last matched against them.
        self._jobs_unevaluated = False
        publisher.cache.listeners.append(self._on_document_change)

    # -- documents and jobs ----------------------------------------------------------------

    def _on_document_change(self, key: str) -> None:
        """Request a reload of the documents if a key outside of ``d/state/`` changes."""
        if not key.startswith("d/state/"):
            self._documents_changed = self._jobs_unevaluated = True
            self._wake.set()

    def reset(self) -> None:
        """Clear all state; called before each attempt to read the records of the term."""
        self.trackers.clear()
        self._unentered_actions.clear()
        self._draining.clear()
        self.forecast.newly_held_jobs.clear()
        self._documents_changed, self._jobs_unevaluated = True, False

    def _load_documents(self) -> None:
        """Load the gates of the edition in force and of the edition that is being written."""
        self._documents_changed = False
        names = set()
        for name, gate in self._current_gates():
            names.add(name)
            tracker = self._get_tracker(name)
            tracker.document, tracker.retired = gate, False
        for tracker in self.trackers.values():
            # While no edition is in force, gates are not retired and hold their jobs.
            tracker.retired = tracker.name not in names and self._publisher.cache.head is not None

    def _current_gates(self) -> Iterable[tuple[str, Gate | None]]:
        """Return the gates of the edition in force and of the edition that is being written.

        Followers may have read the pending edition and hold jobs by it before the leader's write
        is answered. If only the edition in force counted, a gate that is new in the pending edition
        would be treated as retired and would let these jobs start.
        """
        cache, pending_head = self._publisher.cache, self._publisher.pending_head
        gates = dict(read_gates(cache, pending_head)) if pending_head is not None else {}
        gates.update(read_gates(cache, cache.head))
        return gates.items()

    def _get_tracker(self, name: str) -> GateTracker:
        """Return the tracker of a gate, which is created at the first use."""
        tracker = self.trackers.get(name)
        if tracker is None:
            tracker = self.trackers[name] = GateTracker(name)
            tracker.state = read_gate_state(self._publisher.cache, name)
            tracker.retired = not self._documents_changed and self._publisher.cache.head is not None
        return tracker

    def add_job(self, job: Job, record: JobRecord) -> None:
        """Add a job; it is held while its gate is closed, or until its own action is entered."""
        if job.cancelled or not self._publisher.is_loaded:
            return
        if self._documents_changed or self._publisher.pending_head is not None:
            self._load_documents()
        if record.gate_hold is not None:
            self._bind_job(self._get_tracker(record.gate_hold.gate), job)
        elif record.gate_action is not None:
            self._register_action(
                job, record.gate_action.gate, record.gate_action.act, record.gate_action
            )
        else:
            self._bind_job_by_class(job)

    def _bind_job_by_class(self, job: Job) -> None:
        """Bind a job by its class and team if the controller that accepted it knew of no gate."""
        for tracker in self.trackers.values():
            if tracker.document is None or tracker.retired:
                continue
            if tracker.document.holds_job(job.spec.job_class, job.team):
                self._bind_job(tracker, job)
                return
            action = tracker.document.action_of(job.spec.job_class, job.team)
            if action:
                self._register_action(job, tracker.name, action, None)
                return

    def _bind_job(self, tracker: GateTracker, job: Job) -> None:
        """Bind a job to a gate; the job is held unless the gate is open for the job."""
        tracker.add_job(job)
        if job.blocking_gate is not None:
            self.forecast.newly_held_jobs.append(job)
        else:
            self._count_time_from_opening(tracker, job)

    def _register_action(
        self, job: Job, gate: str, action: str, recorded_action: GateAction | None
    ) -> None:
        """Hold an action job until its action is entered."""
        tracker = self._get_tracker(gate)
        job.blocking_gate = tracker.status
        self._unentered_actions[job.id] = job, gate, action, recorded_action
        self._wake.set()

    def _count_time_from_opening(self, tracker: GateTracker, job: Job) -> None:
        """Count a job's objectives from the opening of its gate, also in an earlier term.

        The job's deadline is not affected.
        """
        opened_us = tracker.opened_us(job)
        if opened_us:
            job.runnable_since_us = max(
                job.runnable_since_us, now_us() - max(0, wall_us() - opened_us)
            )

    # -- descriptions and logs -------------------------------------------------------------

    def describe_blocking_gate(self, job: Job) -> str:
        """Return which gate holds a job and what the gate waits for; "" if no gate holds the job.

        The text is used in warnings.
        """
        if job.gate_hold is None or job.blocking_gate is None or job.cancelled:
            return ""
        tracker = self.trackers.get(job.gate_hold.gate)
        return (
            f"gate {tracker.name}: {tracker.waiting_reason() or 'it opens'}"
            if tracker is not None
            else ""
        )

    def describe_confirmed_hold(self, job: Job) -> str | None:
        """Return which gate holds a job, which action is missing, and since when.

        Returns None unless it is certain that the gate is closed and no held task can start.
        """
        if job.gate_hold is None or job.blocking_gate is None or job.cancelled:
            return None
        tracker = self.trackers.get(job.gate_hold.gate)
        if (
            tracker is None
            or tracker.state is None
            or not tracker.quiesced
            or not tracker.waiting_reason()
        ):
            return None
        since = ""
        if tracker.state.since_us:
            changed_at = datetime.fromtimestamp(tracker.state.since_us // SECOND_US, UTC)
            since = f", since {changed_at:%Y-%m-%dT%H:%M:%SZ}"
        return f"{tracker.name}: {tracker.waiting_reason()}{since}"

    def _log_state(self, tracker: GateTracker) -> None:
        """Log the state of a quiesced gate, once for each change."""
        if not tracker.quiesced or tracker.state is None or tracker.retired:
            return
        reason = tracker.waiting_reason()
        current = f"{tracker.state.edition}: {reason}"
        if current == tracker.last_logged:
            return
        tracker.last_logged = current
        if reason:
            log.info(
                "gate %s is closed, %d jobs held: %s",
                tracker.name,
                tracker.count_held_jobs(),
                reason,
            )
        else:
            log.info("gate %s is open for edition %d", tracker.name, tracker.state.edition)

    # -- the background task ---------------------------------------------------------------

    async def run(self) -> None:
        """Enter actions, stop tasks of held jobs and release jobs; runs as a background task."""
        term = self._term
        feed = term.cluster.jobs.feeds.subscribe()
        for tracker in self.trackers.values():
            # The previous run of this background task may have failed during a release.
            tracker.needs_release = True
        try:
            await self._reconcile_pending()
            for job in term.cluster.active_jobs.values():
                self._track_job(job)
            while True:
                await self._process_changes(feed.take())
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._wake.wait(), CHECK_INTERVAL_S)
                self._wake.clear()
        except LeadershipLostError as error:
            raise CallError("another leader has taken over") from error
        finally:
            feed.close()

    async def _process_changes(self, changed: Iterable[Job]) -> None:
        """Apply the changes of jobs, documents and gate states since the previous check."""
        for job in changed:
            self._track_job(job)
        if self._documents_changed or self._jobs_unevaluated:
            await self._reload_documents()
        await self._enter_actions()
        self._drain()
        self._update_quiescence()
        self.forecast.refresh(now_us())
        await self._release()

    async def _reload_documents(self) -> None:
        """Load a new edition of the documents, and match all jobs against its gates.

        This also runs if ``add_job`` has already loaded the edition for a new job. Otherwise, the
        recorded jobs would keep the bindings of the previous edition, and stay held by a gate that
        the new edition no longer has.
        """
        self._jobs_unevaluated = False
        self._load_documents()
        for batch in batches(list(self._term.cluster.jobs.values()), LOAD_BATCH_SIZE):
            for job in batch:
                if (
                    job.gate_hold is None
                    and job.id not in self._unentered_actions
                    and not job.cancelled
                ):
                    if not any(
                        self._is_entered(tracker, job.id) for tracker in self.trackers.values()
                    ):
                        self._bind_job_by_class(job)
                        self._track_job(job)
            await asyncio.sleep(0)
        for tracker in self.trackers.values():
            tracker.needs_release = True
            self._hold_jobs(tracker)

    @staticmethod
    def _is_entered(tracker: GateTracker, job_id: str) -> bool:
        return tracker.state is not None and any(p.job == job_id for p in tracker.state.pending)

    async def _reconcile_pending(self) -> None:
        """Apply ends of action jobs that an earlier leader committed without the gate's state."""
        for tracker in list(self.trackers.values()):
            for entry in tracker.state.pending if tracker.state is not None else ():
                if entry.job in self._term.cluster.jobs:
                    continue
                final = await self._read_final(entry.job)
                async with self._lock:
                    assert tracker.state is not None
                    done = final is not None and final.status == "done"
                    await self._commit_state(
                        tracker, apply_job_end(tracker.state, entry.job, wall_us(), done=done)
                    )

    async def _read_final(self, job_id: str) -> FinalRecord | None:
        """Read a job's final record, with retries until the state service answers."""
        while True:
            try:
                entry = await self._term.state.get(final_key(job_id))
            except CallError as error:
                log.info(
                    "final record of action job %s could not be read, retrying: %s", job_id, error
                )
                await asyncio.sleep(0.2)
                continue
            return decode(bytes(entry.value), FinalRecord) if entry is not None else None

    def _track_job(self, job: Job) -> None:
        """Update the draining, bound and unentered jobs after a change of a job."""
        has_left = self._term.cluster.jobs.get(job.id) is not job or job.cancelled
        if job.gate_hold is not None:
            tracker = self.trackers.get(job.gate_hold.gate)
            if has_left and tracker is not None:
                tracker.has_departed_jobs = (
                    tracker.jobs.pop(job.id, None) is not None or tracker.has_departed_jobs
                )
                self._draining.pop(job.id, None)
            elif job.blocking_gate is not None and job.active:
                self._draining[job.id] = job
        elif has_left and job.id in self._unentered_actions:
            del self._unentered_actions[job.id]

    # -- actions ---------------------------------------------------------------------------

    async def _enter_actions(self) -> None:
        """Enter the actions of accepted jobs, in the order in which the jobs were accepted."""
        if not self._unentered_actions:
            return
        async with self._lock:
            changed: dict[str, GateState] = {}
            entered: list[tuple[GateTracker, Job, str]] = []
            for job, gate, action, recorded in sorted(
                self._unentered_actions.values(), key=lambda unentered: unentered[0].version
            ):
                effective = self._plan_action(job, gate, action, recorded, changed)
                if effective is not None:
                    entered.append((self.trackers[gate], job, effective))
            for gate, state in changed.items():
                await self._commit_state(self.trackers[gate], state)
            for tracker, job, action in entered:
                self._unentered_actions.pop(job.id, None)
                if action in ("rebuild", "withdrawal"):
                    # These actions close the gate; their jobs start once no held task can start.
                    tracker.pending_actions[job.id] = job
                else:
                    self._release_job(job)

    def _plan_action(
        self,
        job: Job,
        gate: str,
        action: str,
        recorded: GateAction | None,
        changed: dict[str, GateState],
    ) -> str | None:
        """Enter an action into the gate's state in ``changed``.

        Return the action, "" if the action has no effect, or None if it has to wait.
        """
        tracker = self.trackers[gate]
        if tracker.retired:
            return ""
        before = changed.get(gate, tracker.state)
        unresolved = self._term.dependency_graph.unresolved
        if before is None or not unresolved.isdisjoint(job.unmet_dependencies):
            return None
        after, entry = self._enter_action(before, job, action, recorded)
        if entry is ActionEntry.TOO_MANY_PENDING:
            return None
        if after is not before:
            changed[gate] = after
        if entry is ActionEntry.NO_EFFECT:
            log.warning("gate %s: the %s by job %s %s", gate, action, job.id, entry.value)
            return ""
        return action

    @staticmethod
    def _enter_action(
        state: GateState, job: Job, action: str, recorded_action: GateAction | None
    ) -> tuple[GateState, ActionEntry]:
        return enter_action(state, action, job.id, job.spec.needs or (), recorded_action, wall_us())

    async def _commit_state(
        self, tracker: GateTracker, state: GateState, other_changes: dict[str, Any] | None = None
    ) -> None:
        """Commit a gate's state and ``other_changes`` in one transaction; the lock must be held.

        Jobs for which the new state closes the gate are held before it is written. Jobs for which
        the new state opens the gate are released afterwards.
        """
        if other_changes is None and state == tracker.state:
            return
        tracker.pending_state = state
        self._hold_jobs(tracker)
        key = state_key(KIND, tracker.name)
        revision = await self._term.state_writer.write(
            {**(other_changes or {}), key: state}, urgent=True
        )
        self._publisher.cache.put(key, _encode(state), revision)
        tracker.state, tracker.pending_state, tracker.needs_release = state, None, True
        tracker.prerented_since_us = self.forecast.refreshed_us = 0
        self._wake.set()

    def _hold_jobs(self, tracker: GateTracker) -> None:
        """Hold the jobs for which a gate is no longer open, and stop their tasks."""
        newly_held = tracker.hold_jobs()
        if not newly_held:
            return
        tracker.quiesced = False
        self.forecast.newly_held_jobs += newly_held
        self._draining.update((job.id, job) for job in newly_held if job.active)
        self._drain()

    async def commit_job_end(self, job: Job, final: FinalRecord, changes: dict[str, Any]) -> bool:
        """Commit an action job's end together with its effect on the gate.

        Returns False, without a commit, if the job is no action job or its gate's state is
        unreadable.
        """
        unentered = self._unentered_actions.get(job.id)
        tracker = self.trackers.get(unentered[1]) if unentered is not None else None
        if tracker is None:
            tracker = next((t for t in self.trackers.values() if self._is_entered(t, job.id)), None)
        if tracker is None:
            return False
        async with self._lock:
            state = tracker.state
            if state is None:
                return False
            if unentered is not None and final.status == "done":
                # The job completed before its action was entered, under a controller version that
                # knew of no gate.
                state, _ = self._enter_action(state, job, unentered[2], unentered[3])
            state = apply_job_end(state, job.id, wall_us(), done=final.status == "done")
            await self._commit_state(tracker, state, changes)
        self._term.dependency_graph.gate_inheritance.pop(job.id, None)
        return True

    # -- closing ---------------------------------------------------------------------------

    def _drain(self) -> None:
        """Stop the attempts of held jobs that must not start, or must not continue."""
        at_us = now_us()
        cluster = self._term.cluster
        for job in list(self._draining.values()):
            tracker = self.trackers[job.gate_hold.gate] if job.gate_hold is not None else None
            if tracker is None or job.blocking_gate is None or not job.active:
                del self._draining[job.id]
                continue
            for attempt, stop_request in list(tracker.required_stops(job)):
                machine = cluster.machines[attempt.machine]
                if not request_stop(cluster, attempt, stop_request, at_us, f"gate {tracker.name}"):
                    self._dispatcher.schedule(machine)
                else:
                    self._term.placement_wanted.set()

    def _update_quiescence(self) -> None:
        """Update which gates are quiesced, and release the action jobs that wait for that.

        A gate is quiesced when no task of a job that it holds can start any more.
        """
        gates_with_unstarted_tasks = {
            job.gate_hold.gate
            for job in self._draining.values()
            if job.gate_hold is not None
            and job.blocking_gate is not None
            and has_starting_attempts(job)
        }
        for tracker in self.trackers.values():
            # Until all machines are known, a command of an earlier leader may still start a task.
            can_confirm = self._term.ready and self._term.is_valid
            tracker.quiesced = (
                can_confirm
                and tracker.pending_state is None
                and tracker.name not in gates_with_unstarted_tasks
            )
            if tracker.quiesced:
                for job in tracker.pending_actions.values():
                    self._release_job(job)
                tracker.pending_actions.clear()
                self._log_state(tracker)

    # -- opening ---------------------------------------------------------------------------

    def _release_job(self, job: Job) -> None:
        """Allow a held job's tasks to start."""
        if job.blocking_gate is None:
            return
        job.blocking_gate = None
        if not job.cancelled and not job.unmet_dependencies:
            self._job_dependencies.record_arrival(job)
        self._term.placement_wanted.set()

    async def _release(self) -> None:
        """Release the held jobs whose gate is open for them, in batches, the most urgent first."""
        for tracker in [tracker for tracker in self.trackers.values() if tracker.needs_release]:
            tracker.needs_release = False
            releasable = tracker.find_releasable_jobs()
            for batch in batches(releasable, RELEASE_BATCH_SIZE):
                for job in batch:
                    # Since the previous batch the gate may have closed, or the job have ended.
                    if tracker.jobs.get(job.id) is job and tracker.can_start(job):
                        self._count_time_from_opening(tracker, job)
                        self._release_job(job)
                await asyncio.sleep(RELEASE_PAUSE_S)
            if releasable:
                log.info("gate %s: %d jobs released", tracker.name, len(releasable))
