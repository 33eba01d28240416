"""A term's release gates: the leader opens and closes them.

The decisions are those of ``weldhead/gates``; this commits them, stops what must not start any
more, and logs a closing only when nothing can start.
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
from weldhead.controller.configuration.gate_binder import KIND, _documents, _state
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

#: Between two looks while nothing wakes it.
LOOK_S = 0.25


#: How many jobs are released before others get their turn, and for how long.
RELEASED_AT_ONCE = 250


RELEASE_PAUSE_S = 0.02


class GateKeeper:
    """A term's gates."""

    def __init__(
        self,
        term: Term,
        publisher: DocumentPublisher,
        job_dependencies: JobDependencies,
        dispatcher: CommandDispatcher,
    ) -> None:
        self._term = term
        self._publisher = publisher
        self._linking = job_dependencies
        self._dispatcher = dispatcher
        self.trackers: dict[str, GateTracker] = {}
        #: Jobs that perform acts and are not entered yet: gate, act, and what was written
        #: at their acceptance.
        self._unentered_actions: dict[str, tuple[Job, str, str, GateAction | None]] = {}
        #: Held jobs of which something may run.
        self._draining: dict[str, Job] = {}
        self.forecast = GateForecast(term, job_dependencies, self.trackers)
        #: One state is written at a time.
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        #: The documents have changed since they were read, and since all jobs were judged by them.
        self._documents_changed = True
        self._jobs_unevaluated = False
        publisher.cache.listeners.append(self._changed)

    # -- what is known ---------------------------------------------------------------------

    def _changed(self, key: str) -> None:
        if not key.startswith("d/state/"):
            self._documents_changed = self._jobs_unevaluated = True
            self._wake.set()

    def reset(self) -> None:
        """Begin anew: the term's records are read, once more if that failed."""
        self.trackers.clear()
        self._unentered_actions.clear()
        self._draining.clear()
        self.forecast.newly_held.clear()
        self._documents_changed, self._jobs_unevaluated = True, False

    def _load_documents(self) -> None:
        """Take up the documents in force, and gates that are about to be."""
        self._documents_changed = False
        names = set()
        for name, gate in self._documents():
            names.add(name)
            tracker = self._tracker(name)
            tracker.document, tracker.retired = gate, False
        for tracker in self.trackers.values():
            # Without any edition nothing is known, and nothing let through.
            tracker.retired = tracker.name not in names and self._publisher.cache.head is not None

    def _documents(self) -> Iterable[tuple[str, Gate | None]]:
        """Return the gates in force, and those of the edition that is being written.

        Followers may have read that one and hold jobs by it before this term has its answer: a
        gate that only it has was taken for one of an edition that is over, and let them pass.
        """
        cache, pending = self._publisher.cache, self._publisher.pending_head
        found = dict(_documents(cache, pending)) if pending is not None else {}
        found.update(_documents(cache, cache.head))
        return found.items()

    def _tracker(self, name: str) -> GateTracker:
        tracker = self.trackers.get(name)
        if tracker is None:
            tracker = self.trackers[name] = GateTracker(name)
            tracker.state = _state(self._publisher.cache, name)
            tracker.retired = not self._documents_changed and self._publisher.cache.head is not None
        return tracker

    def add_job(self, job: Job, record: JobRecord) -> None:
        """Take up a job: hold it if a gate does, or until the act that it performs is entered."""
        if job.cancelled or not self._publisher.loaded:
            return
        if self._documents_changed or self._publisher.pending_head is not None:
            self._load_documents()
        if record.gate_hold is not None:
            self._hold(self._tracker(record.gate_hold.gate), job)
        elif record.gate_action is not None:
            self._register_action(
                job, record.gate_action.gate, record.gate_action.act, record.gate_action
            )
        else:
            self._by_class(job)

    def _by_class(self, job: Job) -> None:
        """Take up a job that was accepted by somebody who knew of no gate."""
        for tracker in self.trackers.values():
            if tracker.document is None or tracker.retired:
                continue
            if tracker.document.holds_job(job.spec.job_class, job.team):
                self._hold(tracker, job)
                return
            act = tracker.document.action_of(job.spec.job_class, job.team)
            if act:
                self._register_action(job, tracker.name, act, None)
                return

    def _hold(self, tracker: GateTracker, job: Job) -> None:
        tracker.add_job(job)
        if job.blocking_gate is not None:
            self.forecast.newly_held.append(job)
        else:
            self._count_from_opening(tracker, job)

    def _register_action(
        self, job: Job, gate: str, act: str, recorded_action: GateAction | None
    ) -> None:
        tracker = self._tracker(gate)
        job.blocking_gate = tracker.status
        self._unentered_actions[job.id] = job, gate, act, recorded_action
        self._wake.set()

    def _count_from_opening(self, tracker: GateTracker, job: Job) -> None:
        """Users' times but the deadline count from when the gate opened, whoever saw it."""
        opened_us = tracker.opened_us(job)
        if opened_us:
            job.runnable_since_us = max(
                job.runnable_since_us, now_us() - max(0, wall_us() - opened_us)
            )

    # -- what is told ----------------------------------------------------------------------

    def hold_reason(self, job: Job) -> str:
        """Say why a job is held; "": no gate holds it. For warnings."""
        if job.gate_hold is None or job.blocking_gate is None or job.cancelled:
            return ""
        tracker = self.trackers.get(job.gate_hold.gate)
        return (
            f"gate {tracker.name}: {tracker.waiting_reason() or 'it opens'}"
            if tracker is not None
            else ""
        )

    def held_by(self, job: Job) -> str | None:
        """Say what holds a job, since when and who has to act; None: nothing does for sure."""
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
            moment = datetime.fromtimestamp(tracker.state.since_us // SECOND_US, UTC)
            since = f", since {moment:%Y-%m-%dT%H:%M:%SZ}"
        return f"{tracker.name}: {tracker.waiting_reason()}{since}"

    def _log_state(self, tracker: GateTracker) -> None:
        """Log what has become of a gate, once a change, when it is certain."""
        if not tracker.quiesced or tracker.state is None or tracker.retired:
            return
        why = tracker.waiting_reason()
        said = f"{tracker.state.edition}: {why}"
        if said == tracker.last_logged:
            return
        tracker.last_logged = said
        if why:
            log.info(
                "gate %s is closed, %d jobs wait: %s", tracker.name, tracker.count_held_jobs(), why
            )
        else:
            log.info("gate %s is open for edition %d", tracker.name, tracker.state.edition)

    # -- the background task
    # --------------------------------------------------------------------------

    async def run(self) -> None:
        """Enter acts, stop what must not begin, release what may; a background task."""
        term = self._term
        feed = term.cluster.jobs.feeds.subscribe()
        for tracker in self.trackers.values():
            # The last run of this background task may have failed in the midst of a release.
            tracker.needs_release = True
        try:
            await self._reconcile_pending()
            for job in term.cluster.active_jobs.values():
                self._track(job)
            while True:
                await self._process_changes(feed.take())
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._wake.wait(), LOOK_S)
                self._wake.clear()
        except LeadershipLostError as error:
            raise CallError("another leader has taken over") from error
        finally:
            feed.close()

    async def _process_changes(self, changed: Iterable[Job]) -> None:
        """Draw what follows from what has changed since the last look."""
        for job in changed:
            self._track(job)
        if self._documents_changed or self._jobs_unevaluated:
            await self._reload_documents()
        await self._enter_actions()
        self._drain()
        self._update_quiescence()
        self.forecast.refresh(now_us())
        await self._release()

    async def _reload_documents(self) -> None:
        """Take up another edition of the documents: what holds, and who performs acts.

        Also where a job that came before this look has had it read already: those on record were
        left as the former edition had them, and stayed held by a gate that was gone.
        """
        self._jobs_unevaluated = False
        self._load_documents()
        for some in batches(list(self._term.cluster.jobs.values()), LOAD_BATCH_SIZE):
            for job in some:
                if (
                    job.gate_hold is None
                    and job.id not in self._unentered_actions
                    and not job.cancelled
                ):
                    if not any(
                        self._is_entered(tracker, job.id) for tracker in self.trackers.values()
                    ):
                        self._by_class(job)
                        self._track(job)
            await asyncio.sleep(0)
        for tracker in self.trackers.values():
            tracker.needs_release = True
            self._hold_jobs(tracker)

    @staticmethod
    def _is_entered(tracker: GateTracker, job_id: str) -> bool:
        return tracker.state is not None and any(p.job == job_id for p in tracker.state.pending)

    async def _reconcile_pending(self) -> None:
        """Learn the ends of acts that an earlier leader committed without their consequence."""
        for tracker in list(self.trackers.values()):
            for entry in tracker.state.pending if tracker.state is not None else ():
                if entry.job in self._term.cluster.jobs:
                    continue
                final = await self._read_final(entry.job)
                async with self._lock:
                    assert tracker.state is not None
                    done = final is not None and final.status == "done"
                    await self._change(
                        tracker, apply_job_end(tracker.state, entry.job, wall_us(), done=done)
                    )

    async def _read_final(self, job_id: str) -> FinalRecord | None:
        while True:
            try:
                entry = await self._term.state.get(final_key(job_id))
            except CallError as error:
                log.info("act %s: %s", job_id, error)
                await asyncio.sleep(0.2)
                continue
            return decode(bytes(entry.value), FinalRecord) if entry is not None else None

    def _track(self, job: Job) -> None:
        """Something about a job has changed."""
        gone = self._term.cluster.jobs.get(job.id) is not job or job.cancelled
        if job.gate_hold is not None:
            tracker = self.trackers.get(job.gate_hold.gate)
            if gone and tracker is not None:
                tracker.has_departed_jobs = (
                    tracker.jobs.pop(job.id, None) is not None or tracker.has_departed_jobs
                )
                self._draining.pop(job.id, None)
            elif job.blocking_gate is not None and job.active:
                self._draining[job.id] = job
        elif gone and job.id in self._unentered_actions:
            del self._unentered_actions[job.id]

    # -- acts ------------------------------------------------------------------------------

    async def _enter_actions(self) -> None:
        """Enter the actions whose jobs were accepted, in the order of their acceptance."""
        if not self._unentered_actions:
            return
        async with self._lock:
            changed: dict[str, GateState] = {}
            entered: list[tuple[GateTracker, Job, str]] = []
            for job, gate, action, recorded in sorted(
                self._unentered_actions.values(), key=lambda a: a[0].version
            ):
                effective = self._plan_action(job, gate, action, recorded, changed)
                if effective is not None:
                    entered.append((self.trackers[gate], job, effective))
            for gate, state in changed.items():
                await self._change(self.trackers[gate], state)
            for tracker, job, action in entered:
                self._unentered_actions.pop(job.id, None)
                if action in ("rebuild", "withdrawal"):
                    # It begins when nothing of what it ends can begin any more.
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
        """Apply an action to the gate's state in ``changed``.

        Return the action, "" if it counts for nothing, None if it has to wait.
        """
        tracker = self.trackers[gate]
        if tracker.retired:
            return ""
        before = changed.get(gate, tracker.state)
        unresolved = self._term.dependency_graph.unresolved
        if before is None or not unresolved.isdisjoint(job.unmet_dependencies):
            return None
        after, entry = self._entry(before, job, action, recorded)
        if entry is ActionEntry.TOO_MANY_PENDING:
            return None
        if after is not before:
            changed[gate] = after
        if entry is ActionEntry.NO_EFFECT:
            log.warning("gate %s: %s %s %s", gate, action, job.id, entry.value)
            return ""
        return action

    @staticmethod
    def _entry(
        state: GateState, job: Job, act: str, recorded_action: GateAction | None
    ) -> tuple[GateState, ActionEntry]:
        return enter_action(state, act, job.id, job.spec.needs or (), recorded_action, wall_us())

    async def _change(
        self, tracker: GateTracker, state: GateState, also: dict[str, Any] | None = None
    ) -> None:
        """Commit a gate's state, with what belongs to it; the lock is held.

        What it closes is held before it is written, what it opens is released afterwards.
        """
        if also is None and state == tracker.state:
            return
        tracker.pending_state = state
        self._hold_jobs(tracker)
        key = state_key(KIND, tracker.name)
        revision = await self._term.state_writer.write({**(also or {}), key: state}, urgent=True)
        self._publisher.cache.put(key, _encode(state), revision)
        tracker.state, tracker.pending_state, tracker.needs_release = state, None, True
        tracker.prerented_since_us = self.forecast.refreshed_us = 0
        self._wake.set()

    def _hold_jobs(self, tracker: GateTracker) -> None:
        held = tracker.hold_jobs()
        if not held:
            return
        tracker.quiesced = False
        self.forecast.newly_held += held
        self._draining.update((job.id, job) for job in held if job.active)
        self._drain()

    async def commit_end(self, job: Job, final: FinalRecord, changes: dict[str, Any]) -> bool:
        """Commit a job's end with what it does to a gate; False: it does nothing to any."""
        known = self._unentered_actions.get(job.id)
        tracker = self.trackers.get(known[1]) if known is not None else None
        if tracker is None:
            tracker = next((b for b in self.trackers.values() if self._is_entered(b, job.id)), None)
        if tracker is None:
            return False
        async with self._lock:
            state = tracker.state
            if state is None:
                return False
            if known is not None and final.status == "done":
                # Done without having been entered: by a version that knew of no gate.
                state, _ = self._entry(state, job, known[2], known[3])
            state = apply_job_end(state, job.id, wall_us(), done=final.status == "done")
            await self._change(tracker, state, changes)
        self._term.dependency_graph.gate_inheritance.pop(job.id, None)
        return True

    # -- closing ---------------------------------------------------------------------------

    def _drain(self) -> None:
        """Stop what must not begin of jobs that are held, and what must not go on."""
        at_us = now_us()
        cluster = self._term.cluster
        for job in list(self._draining.values()):
            tracker = self.trackers[job.gate_hold.gate] if job.gate_hold is not None else None
            if tracker is None or job.blocking_gate is None or not job.active:
                del self._draining[job.id]
                continue
            for attempt, stop in list(tracker.required_stops(job)):
                machine = cluster.machines[attempt.machine]
                if not request_stop(cluster, attempt, stop, at_us, f"gate {tracker.name}"):
                    self._dispatcher.schedule(machine)
                else:
                    self._term.placement_wanted.set()

    def _update_quiescence(self) -> None:
        """See which gates nothing can pass any more, and let the acts that closed them begin."""
        about = {
            job.gate_hold.gate
            for job in self._draining.values()
            if job.gate_hold is not None
            and job.blocking_gate is not None
            and has_starting_attempts(job)
        }
        for tracker in self.trackers.values():
            # Before every machine is known, an earlier leader's command may start a task.
            certain = self._term.ready and self._term.valid
            tracker.quiesced = (
                certain and tracker.pending_state is None and tracker.name not in about
            )
            if tracker.quiesced:
                for job in tracker.pending_actions.values():
                    self._release_job(job)
                tracker.pending_actions.clear()
                self._log_state(tracker)

    # -- opening ---------------------------------------------------------------------------

    def _release_job(self, job: Job) -> None:
        """Let a job's tasks begin."""
        if job.blocking_gate is None:
            return
        job.blocking_gate = None
        if not job.cancelled and not job.unmet_dependencies:
            self._linking.runnable(job)
        self._term.placement_wanted.set()

    async def _release(self) -> None:
        """Release the jobs for which a gate is open, in slices, most urgent first."""
        for tracker in [tracker for tracker in self.trackers.values() if tracker.needs_release]:
            tracker.needs_release = False
            found = tracker.find_releasable_jobs()
            for some in batches(found, RELEASED_AT_ONCE):
                for job in some:
                    # It may have been closed, and the job be gone, since the last slice.
                    if tracker.jobs.get(job.id) is job and tracker.can_start(job):
                        self._count_from_opening(tracker, job)
                        self._release_job(job)
                await asyncio.sleep(RELEASE_PAUSE_S)
            if found:
                log.info("gate %s: %d jobs released", tracker.name, len(found))
