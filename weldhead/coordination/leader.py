"""A leader's term: recovery, then placement, preemption, fleet and completions.

Everything here ends with the term. The models are changed only between awaits, and every
command checks the authority to lead at the moment it is sent.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from weldhead.bookkeeping.cluster import Cluster
from weldhead.bookkeeping.jobs import Attempt, Job, Phase, Stop, TaskState
from weldhead.bookkeeping.ledger import Deposed, Ledger
from weldhead.bookkeeping.machines import Machine
from weldhead.bookkeeping.reclaim import ReclaimLists
from weldhead.bookkeeping.records import (
    CHUNK_TASKS,
    HIRES,
    JOBS,
    MACHINES,
    PROGRESS,
    FinalRecord,
    HireRecord,
    JobRecord,
    MachineRecord,
    decode_progress,
    encode_progress,
    final_key,
    job_key,
    progress_key,
)
from weldhead.clock import SECOND_US, now_us, seconds_us, to_seconds, wall_us
from weldhead.coordination.estimates import Estimates
from weldhead.coordination.fleet import Market, Offer, plan_closings, plan_hires, plan_returns
from weldhead.coordination.forecast import due_us, forecast_us
from weldhead.coordination.goals import Goals
from weldhead.coordination.leadership import Authority
from weldhead.coordination.placement import Plan, plan_starts
from weldhead.coordination.preemptor import overdue, plan_reclaims, stop_for
from weldhead.coordination.reports import (
    Outcome,
    apply_report,
    is_newer,
    pending_commands,
    request_stop,
)
from weldhead.duties import Duties
from weldhead.protocol.settings import Settings
from weldhead.protocol.wire import (
    JobStatus,
    ListedMachine,
    MachineType,
    RentalRequest,
    Report,
    ReportAnswer,
    split_task,
)
from weldhead.transport import workers
from weldhead.transport.cloud import BadRental, CloudClient, NoCapacity
from weldhead.transport.http import CallFailed, HttpClient, NotConnected
from weldhead.transport.state import Compacted, StateClient, decode
from weldhead.tunables.defaults import Tunables

log = logging.getLogger(__name__)

#: How many final states are kept in memory; older ones are read from the store.
FINALS_KEPT = 20_000

#: A new leader returns machines that have not answered by then, if they are few: a deletion
#: that is answered proves sooner than the end of their leases that nothing runs there.
UNKNOWN_PATIENCE_US = 2 * SECOND_US

#: How long a user waits for a cancellation before being told to ask again.
CANCEL_WAIT_US = 1_500_000

#: How often the fleet's use is logged.
FLEET_LOG_US = 10 * SECOND_US

#: How many silent machines are named to the other nodes at once.
SILENT_NAMED = 1_000


class NotReady(Exception):
    """The leader cannot answer this yet; ask again later."""


class Leader:
    """One term of leadership."""

    def __init__(
        self,
        settings: Settings,
        tunables: Tunables,
        authority: Authority,
        state: StateClient,
        cloud: CloudClient,
        worker_http: HttpClient,
        types: list[MachineType],
        predecessor_over_us: int,
        on_deposed: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._tunables = tunables
        self._authority = authority
        self._state = state
        self._cloud = cloud
        self._http = worker_http
        self._on_deposed = on_deposed
        #: Until then an earlier leader may still answer users and workers.
        self._predecessor_over_us = predecessor_over_us
        self.token = authority.token
        self.cluster = Cluster(settings.facts.teams, self.token)
        self.ledger = Ledger(state, self.token)
        self.finals: dict[str, FinalRecord] = {}
        self.estimates = Estimates()
        self.goals = Goals(settings.facts.objectives)
        self.market = Market(types=types)
        self.reclaims = ReclaimLists()
        self._types = {machine_type.name: machine_type for machine_type in types}
        self._duties = Duties()
        self._lease_us = seconds_us(settings.facts.workers.lease_s)
        self._cancel_us = seconds_us(settings.facts.workers.cancel_s)
        self._report_us = seconds_us(settings.facts.workers.report_s)
        self._silence_us = 2 * self._report_us + SECOND_US
        self.loaded = False
        self.ready = False
        self._loaded_us = 0
        self._jobs_revision = 0
        #: Set when nothing can run anywhere that this leader does not know of.
        self._known = asyncio.Event()
        self._place = asyncio.Event()
        self._flush = asyncio.Event()
        self._hires = 0
        self._unsettled: dict[str, HireRecord] = {}
        self._written_chunks: dict[str, set[int]] = {}
        self._cancelling: dict[str, asyncio.Task[None]] = {}
        self._adopting: set[str] = set()
        #: Names that are gone for good, though the cloud's list may show them for a while.
        self._returned: set[str] = set()
        self.last_plan = Plan()

    # -- the term's life ------------------------------------------------------------

    def start(self) -> None:
        """Begin the term's duties."""
        self._duties.once("ledger", self._run_ledger())
        self._duties.once("recovery", self._recover())

    async def close(self) -> None:
        """End the term."""
        self.ledger.close()
        await self._duties.close()

    @property
    def valid(self) -> bool:
        """Whether this node may command now."""
        return self._authority.token == self.token and self._authority.valid(now_us())

    async def _run_ledger(self) -> None:
        try:
            await self.ledger.run()
        except Deposed:
            self._on_deposed("the leader's key is not ours any more")

    async def _recover(self) -> None:
        """Read everything, learn what runs where, then start the other duties."""
        while not self.loaded:
            try:
                await self._load()
            except CallFailed as error:
                log.info("recovery: reading the store failed: %s", error)
                await asyncio.sleep(0.2)
        log.info(
            "term %d: %d jobs, %d machines loaded",
            self.token, len(self.cluster.jobs), len(self.cluster.machines),
        )  # fmt: skip
        duties = self._duties
        duties.start("job watch", self._watch_jobs)
        duties.start("completions", self._commit_completions)
        duties.start("machine watch", self._watch_machines)
        duties.start("machine list", self._list_machines)
        duties.start("hires", self._settle_hires)
        duties.start("forecasts", self._forecast)
        self._check_known()
        for machine in list(self.cluster.machines.values()):
            if machine.up:
                duties.once("sync", self._sync(machine))
        await self._known.wait()
        self.ready = True
        log.info("term %d: ready after %.3f s", self.token, to_seconds(now_us() - self._loaded_us))
        duties.start("placement", self._place_tasks, 0.2)
        duties.start("preemptor", self._preempt)
        duties.start("fleet", self._size_fleet)

    async def _load(self) -> None:
        jobs, revision = await self._state.scan(JOBS)
        progress, _ = await self._state.scan(PROGRESS)
        machines, _ = await self._state.scan(MACHINES)
        hires, _ = await self._state.scan(HIRES)
        at_us, wall = now_us(), wall_us()
        self.cluster = Cluster(self._settings.facts.teams, self.token)
        for entry in jobs:
            record = decode(bytes(entry.value), JobRecord)
            self._add_job(record, entry.version, at_us, wall)
        for entry in progress:
            job_id, _, chunk = entry.key.removeprefix(PROGRESS).rpartition("/")
            self.ledger.learn(entry.key, entry.version)
            job = self.cluster.jobs.get(job_id)
            if job is None:
                continue
            start = int(chunk) * CHUNK_TASKS
            tasks = min(CHUNK_TASKS, job.spec.tasks - start)
            done = decode_progress(msgspec.json.decode(entry.value, type=str), tasks)
            job.load_committed([start + index for index in done])
            self._written_chunks.setdefault(job_id, set()).add(int(chunk))
        for entry in machines:
            machine_record = decode(bytes(entry.value), MachineRecord)
            self.ledger.learn(entry.key, entry.version)
            self._add_machine(entry.key.removeprefix(MACHINES), machine_record, at_us, wall)
        for entry in hires:
            hire = decode(bytes(entry.value), HireRecord)
            self.ledger.learn(entry.key, entry.version)
            self._unsettled[entry.key.removeprefix(HIRES)] = hire
        self._jobs_revision = revision
        self.loaded = True
        self._loaded_us = at_us

    def _add_job(self, record: JobRecord, version: int, at_us: int, wall: int) -> Job:
        job = Job(record.spec, record.submitted_us, version, at_us)
        # The same moment on the steady clock; a time of day that is off must not put it
        # into the future.
        job.first_seen_us = at_us - max(0, wall - record.submitted_us)
        job.cancelled = record.cancelled
        self.cluster.jobs[job.id] = job
        self.ledger.learn(job_key(job.id), version)
        return job

    def _add_machine(self, name: str, record: MachineRecord, at_us: int, wall: int) -> Machine:
        known = self._types.get(record.type)
        if known is None:
            # A type that left the catalog: nothing is placed there, but it is watched.
            known = MachineType(record.type, 0, 0, 0, 0, 0, 0, 0, 60.0, ())
        hired_us = at_us - max(0, wall - record.hired_us)
        machine = Machine(name, known, record.zone, record.spot, hired_us)
        machine.up = record.up
        machine.address = record.address
        machine.idle_since_us = at_us
        self.cluster.machines[name] = machine
        return machine

    def _check_known(self) -> None:
        """See whether every machine on which something may run has been heard or is gone."""
        if self.loaded and all(m.synced for m in self.cluster.machines.values() if m.up):
            self._known.set()

    async def _sync(self, machine: Machine) -> None:
        """Show the worker our token and hear what it runs, without waiting for its report.

        Once its own message carries our token, it obeys no earlier leader any more.
        """
        session = max(1, machine.session)
        while not machine.synced and machine.name in self.cluster.machines and self.valid:
            try:
                _, report = await workers.command(
                    self._http, machine.address, self.token, session, [], SECOND_US
                )
            except CallFailed:
                await asyncio.sleep(0.3)
                continue
            if report.token > self.token:
                self._on_deposed(f"{machine.name} has seen token {report.token}")
                return
            session = report.session
            self._apply(machine, report, direct=True)

    # -- users ------------------------------------------------------------------------

    def job_created(self, record: JobRecord, version: int) -> None:
        """Take up a job that has been committed."""
        job_id = record.spec.id
        if not self.loaded or job_id in self.cluster.jobs or job_id in self.finals:
            return
        self._add_job(record, version, now_us(), wall_us())
        self._place.set()

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory, as new as the store's; None: not known here."""
        if not self.loaded or not self.valid:
            return None
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            return self._status_of(job)
        final = self.finals.get(job_id)
        if final is not None:
            return JobStatus(job_id, final.status, final.done, 0)
        return None

    def _status_of(self, job: Job) -> JobStatus:
        answer = JobStatus(job.id, job.status, job.done, job.running)
        if job.cancelled or job.forecast_us is None:
            return answer
        answer.forecast_s = round(to_seconds(job.forecast_us - job.first_seen_us), 1)
        due = due_us(job)
        if due is not None:
            answer.late = job.forecast_us > due
            if answer.late:
                answer.late_by_s = round(to_seconds(job.forecast_us - due), 1)
        return answer

    def remember_final(self, job_id: str, final: FinalRecord) -> None:
        """Keep a final state, which never changes."""
        self.finals[job_id] = final
        while len(self.finals) > FINALS_KEPT:
            del self.finals[next(iter(self.finals))]

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job; None if it is not known. NotReady if it cannot be decided now."""
        if not self.loaded or now_us() < self._predecessor_over_us:
            raise NotReady
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return self.status(job_id)
        if not job.cancelled:
            task = self._cancelling.get(job_id)
            if task is None:
                task = self._duties.once("cancellation", self._commit_cancel(job))
                self._cancelling[job_id] = task
            # A user is told within a moment, if only to ask again: a cancellation that the
            # store cannot take now goes on without keeping the user waiting.
            await asyncio.wait({task}, timeout=to_seconds(CANCEL_WAIT_US))
            if not job.cancelled:
                raise NotReady
        return JobStatus(job_id, "withdrawn")

    async def _commit_cancel(self, job: Job) -> None:
        try:
            # Another write of this job is under way: a matter of one transaction.
            while job.finishing:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            if self.cluster.jobs.get(job.id) is not job:
                return
            job.finishing = True
            try:
                record = JobRecord(job.spec, job.submitted_us, cancelled=True)
                job.version = await self.ledger.write({job_key(job.id): record}, urgent=True)
            finally:
                job.finishing = False
            job.cancelled = True
            self._withdraw(job)
            log.info("%s cancelled", job.id)
        except Deposed:
            pass
        finally:
            self._cancelling.pop(job.id, None)

    def _withdraw(self, job: Job) -> None:
        at_us = now_us()
        for attempt in list(job.active.values()):
            machine = self.cluster.machines[attempt.machine]
            if not request_stop(self.cluster, attempt, Stop.HARD, at_us, "cancelled"):
                self._post_soon(machine)
        self._flush.set()
        self._place.set()

    # -- workers ----------------------------------------------------------------------

    def silent_machines(self, at_us: int) -> tuple[str, ...]:
        """Machines that ought to have reported by now; their reports are to be relayed."""
        if not self.loaded:
            return ()
        limit_us = self._report_us * 5 // 4 + SECOND_US
        return tuple(
            machine.name
            for machine in self.cluster.machines.values()
            if machine.session and at_us - max(machine.heard_us, self._loaded_us) > limit_us
        )[:SILENT_NAMED]

    def report(self, report: Report, at_us: int, *, relayed: bool) -> ReportAnswer | None:
        """Handle a worker's report; None: it must not be answered 200."""
        if not self.loaded or not self.valid:
            return None
        if report.token > self.token:
            self._on_deposed(f"{report.machine} has seen token {report.token}")
            return None
        machine = self.cluster.machines.get(report.machine)
        if machine is None:
            self._unexpected(report)
            return None
        if machine.deleting or report.session <= machine.expired_session:
            return None
        if is_newer(machine, report):
            self._apply(machine, report, direct=False)
        elif report.sequence < machine.report_sequence and report.session == machine.session:
            # Held back on the way: its sender has long given up waiting.
            return None
        machine.heard_us = machine.lease_from_us = at_us
        machine.relayed = relayed
        if machine.synced and not machine.up and not machine.up_pending:
            machine.up_pending = True
            self._duties.once("machine up", self._record_up(machine))
        commands = pending_commands(
            machine,
            self._is_committed,
            may_start=self.ready and machine.synced and machine.up,
            sequence=report.sequence,
        )
        return ReportAnswer(self.token, commands)

    def _is_committed(self, task: str) -> bool:
        """Whether a task's completion needs no more saving, so its attempt may go."""
        try:
            job_id, index = split_task(task)
        except ValueError:
            return True
        job = self.cluster.jobs.get(job_id)
        if job is None or index >= job.spec.tasks:
            return True
        return job.states[index] != TaskState.COMPLETED

    async def _record_up(self, machine: Machine) -> None:
        """Record that something may run on a machine, before anything is started there."""
        try:
            await self.ledger.write(
                {MACHINES + machine.name: self._machine_record(machine, up=True)}, urgent=True
            )
            machine.up = True
            self._place.set()
        except Deposed:
            pass
        finally:
            machine.up_pending = False

    def _machine_record(self, machine: Machine, *, up: bool) -> MachineRecord:
        hired_wall = wall_us() - (now_us() - machine.hired_us)
        return MachineRecord(
            machine.type.name, machine.zone, machine.spot, hired_wall, up, machine.address
        )

    def _unexpected(self, report: Report) -> None:
        """A machine that is not in the books: enter it, then use or return it."""
        if report.machine in self._adopting or report.machine in self._returned:
            return
        record = MachineRecord(
            report.type, report.zone, report.spot, wall_us(), False, report.address
        )
        self._adopting.add(report.machine)
        self._duties.once("adoption", self._adopt(report.machine, record))

    async def _adopt(self, name: str, record: MachineRecord) -> None:
        try:
            if name in self.cluster.machines:
                return
            await self.ledger.write({MACHINES + name: record})
            if name not in self.cluster.machines:
                self._add_machine(name, record, now_us(), wall_us())
                log.info("machine %s was not expected; adopted", name)
        except Deposed:
            pass
        finally:
            self._adopting.discard(name)

    def _apply(self, machine: Machine, report: Report, *, direct: bool) -> None:
        if not is_newer(machine, report):
            return
        at_us = now_us()
        had_notice = machine.notice_until_us
        outcome = apply_report(self.cluster, machine, report, at_us, direct=direct)
        self._digest(machine, outcome, at_us)
        if machine.notice_until_us and not had_notice:
            log.info("machine %s will be taken back", machine.name)
            self._evacuate(machine, at_us)

    def _digest(self, machine: Machine, outcome: Outcome, at_us: int) -> None:
        if not self.ready:
            self._check_known()
        if outcome.completed:
            self._flush.set()
        for job, run_us in outcome.run_times:
            self.estimates.observe(job, run_us)
        for attempt in outcome.failed:
            self._failed(machine, attempt, at_us)
        for attempt, reason in outcome.lost:
            log.debug(
                "%s attempt %d left %s: %s", attempt.task, attempt.number, machine.name, reason
            )
            if attempt.job.cancelled:
                self._flush.set()
        if not machine.attempts and (outcome.lost or outcome.completed):
            machine.idle_since_us = at_us
        if outcome.room or outcome.lost:
            self._place.set()

    def _failed(self, machine: Machine, attempt: Attempt, at_us: int) -> None:
        """A task failed by itself: mostly the machine's fault, sometimes the job's."""
        job = attempt.job
        job.failures += 1
        job.failed_on.add(machine.name)
        machine.failed_jobs.add(job.id)
        machine.failures += 1
        log.info("%s failed on %s", attempt.task, machine.name)
        if self._job_is_broken(job):
            # It fails wherever it runs: again, but more and more rarely.
            pause_us = min(60 * SECOND_US, SECOND_US << min(6, len(job.failed_on)))
            job.not_before_us = max(job.not_before_us, at_us + pause_us)
        suspects = {j for j in machine.failed_jobs if not self._broken_id(j)}
        if not machine.draining and suspects and machine.failures >= 2:
            machine.draining = True
            log.info("machine %s is drained: tasks fail on it", machine.name)

    @staticmethod
    def _job_is_broken(job: Job) -> bool:
        return len(job.failed_on) >= 2 and job.done == 0

    def _broken_id(self, job_id: str) -> bool:
        job = self.cluster.jobs.get(job_id)
        return job is not None and self._job_is_broken(job)

    def _evacuate(self, machine: Machine, at_us: int) -> None:
        """A machine will be taken: save what can be saved, leave what may still finish."""
        left_us = machine.notice_until_us - at_us
        for attempt in list(machine.attempts.values()):
            saves = attempt.job.spec.checkpoint_s > 0
            if not saves and self.estimates.remaining_us(attempt, at_us) < left_us:
                if attempt.phase is Phase.RUNNING:
                    continue
            request_stop(self.cluster, attempt, Stop.SOFT if saves else Stop.HARD, at_us, "notice")
        self._post_soon(machine)

    # -- direct commands ----------------------------------------------------------------

    def _post_soon(self, machine: Machine) -> None:
        if not machine.posting and machine.synced and machine.address and not machine.relayed:
            machine.posting = True
            self._duties.once("direct commands", self._post(machine))

    async def _post(self, machine: Machine) -> None:
        """Send what the machine has to do without waiting for its report."""
        try:
            while machine.name in self.cluster.machines and not machine.deleting and self.valid:
                if now_us() - machine.heard_us > self._silence_us:
                    return
                commands = pending_commands(
                    machine,
                    lambda task: False,
                    may_start=self.ready
                    and machine.synced
                    and machine.up
                    and self._tunables.direct_runs,
                    sequence=None,
                )
                if not commands:
                    return
                session = machine.session
                started = [machine.attempts[c.task] for c in commands if c.op == "run"]
                try:
                    _, report = await workers.command(
                        self._http, machine.address, self.token, session, commands, self._lease_us
                    )
                except NotConnected:
                    for attempt in started:
                        attempt.posted = False
                    return
                except CallFailed as error:
                    at_us = now_us()
                    for attempt in started:
                        if attempt.posted:
                            attempt.posted = False
                            attempt.limbo_us = at_us
                    log.info("machine %s: direct commands unanswered: %s", machine.name, error)
                    return
                # Answered: executed, or (409) surely not.
                for attempt in started:
                    attempt.posted = False
                if report.token > self.token:
                    self._on_deposed(f"{machine.name} has seen token {report.token}")
                    return
                self._apply(machine, report, direct=True)
                if not any(c.op == "run" for c in commands):
                    return
        finally:
            machine.posting = False

    # -- duties -------------------------------------------------------------------------

    async def _watch_jobs(self) -> None:
        while True:
            try:
                changes = await self._state.watch(JOBS, self._jobs_revision, 10 * SECOND_US)
            except Compacted:
                entries, revision = await self._state.scan(JOBS)
                for entry in entries:
                    record = decode(bytes(entry.value), JobRecord)
                    self.job_created(record, entry.version)
                self._jobs_revision = revision
                continue
            for event in changes.events:
                if event.put is not None:
                    record = decode(bytes(event.value), JobRecord)
                    if not record.cancelled:
                        self.job_created(record, event.version)
            self._jobs_revision = max(self._jobs_revision, changes.revision)

    async def _commit_completions(self) -> None:
        """Commit completions; finish jobs that are over."""
        while True:
            await self._flush.wait()
            self._flush.clear()
            # A moment's gathering makes one write of many completions.
            await asyncio.sleep(to_seconds(self._tunables.commit_gather_us))
            jobs = [
                job
                for job in self.cluster.jobs.values()
                if not job.finishing and (job.dirty or (job.cancelled and not job.active))
            ]
            jobs.sort(key=lambda job: not job.complete)
            await asyncio.gather(*(self._commit_job(job) for job in jobs))

    async def _commit_job(self, job: Job) -> None:
        job.finishing = True
        try:
            over = job.complete or (job.cancelled and not job.active)
            if over and now_us() >= self._predecessor_over_us:
                await self._finish_job(job)
            else:
                await self._commit_progress(job)
                if over:
                    asyncio.get_running_loop().call_later(0.3, self._flush.set)
        except Deposed:
            pass
        finally:
            job.finishing = False
            if job.dirty:
                self._flush.set()

    async def _commit_progress(self, job: Job) -> None:
        chunks = sorted(job.dirty)
        job.dirty.clear()
        for chunk in chunks:
            flags, fresh = job.snapshot_chunk(chunk)
            if not fresh:
                continue
            try:
                await self.ledger.write({progress_key(job.id, chunk): encode_progress(flags)})
            except Deposed:
                job.dirty.add(chunk)
                raise
            self._written_chunks.setdefault(job.id, set()).add(chunk)
            job.mark_committed(fresh)

    async def _finish_job(self, job: Job) -> None:
        final = FinalRecord("withdrawn" if job.cancelled else "done", job.done)
        changes: dict[str, Any] = {final_key(job.id): final, job_key(job.id): None}
        written = sorted(self._written_chunks.get(job.id, ()))
        # What does not fit into one transaction is cleared away afterwards.
        first = written[: max(0, self._state.max_writes - 2)]
        changes.update({progress_key(job.id, chunk): None for chunk in first})
        await self.ledger.write(changes, urgent=True)
        self.remember_final(job.id, final)
        self.cluster.jobs.pop(job.id, None)
        self._written_chunks.pop(job.id, None)
        self.estimates.forget(job.id)
        self.reclaims.trim(job.id, 0)
        job.dirty.clear()
        log.info("%s %s", job.id, final.status)
        for chunk in written[len(first) :]:
            await self.ledger.write({progress_key(job.id, chunk): None})

    async def _place_tasks(self) -> None:
        while True:
            await self._place.wait()
            self._place.clear()
            self._place_now()
            await asyncio.sleep(to_seconds(self._tunables.placement_pause_us))

    def _place_now(self) -> None:
        if not self.valid:
            return
        at_us = now_us()
        plan = plan_starts(
            self.cluster,
            self.estimates,
            self.goals,
            at_us,
            self._silence_us,
            self._tunables.preemptor.patience_us,
            self._tunables.fetch_weight,
        )
        self.last_plan = plan
        touched: dict[str, Machine] = {}
        for start in plan.starts:
            self.cluster.start(start.job, start.index, start.machine, at_us)
            self.reclaims.granted(start.job.id, start.machine.name)
            touched[start.machine.name] = start.machine
        if plan.starts:
            log.debug("placed %d tasks on %d machines", len(plan.starts), len(touched))
        if self._tunables.direct_runs:
            for machine in touched.values():
                self._post_soon(machine)

    async def _preempt(self) -> None:
        while True:
            await asyncio.sleep(to_seconds(self._tunables.preemptor.period_us))
            if not self.valid:
                continue
            self._place_now()
            at_us = now_us()
            settings = self._tunables.preemptor.settings(self._silence_us)
            unplaced = {job.id: count for job, count in self.last_plan.unplaced}
            for job_id in self.reclaims.jobs():
                self.reclaims.trim(job_id, unplaced.get(job_id, 0))
            hard, expired = overdue(self.reclaims, at_us, settings)
            for entry in expired:
                self.reclaims.remove(entry)
            for entry in hard:
                entry.hard_us = at_us
                for victim in entry.victims:
                    if victim.job.active.get(victim.index) is victim:
                        self._stop(victim, Stop.HARD, at_us, "room, overdue")
            for reclaim in plan_reclaims(
                self.cluster,
                self.reclaims,
                self.last_plan,
                self.estimates,
                at_us,
                settings,
                self.goals,
            ):
                self.reclaims.add(reclaim)
                for victim in reclaim.victims:
                    log.info(
                        "%s (%s, %s) stops for %s (%s)",
                        victim.task,
                        victim.job.spec.priority,
                        victim.job.team,
                        reclaim.job_id,
                        self._who(reclaim.job_id),
                    )
                    claimant = self.cluster.jobs[reclaim.job_id]
                    stop = stop_for(claimant, victim.job, self.goals)
                    self._stop(victim, stop, at_us, "room")

    def _who(self, job_id: str) -> str:
        job = self.cluster.jobs[job_id]
        return f"{job.spec.priority}, {job.team}"

    def _stop(self, attempt: Attempt, stop: Stop, at_us: int, reason: str) -> None:
        machine = self.cluster.machines[attempt.machine]
        if request_stop(self.cluster, attempt, stop, at_us, reason):
            self._place.set()
        else:
            self._post_soon(machine)

    async def _watch_machines(self) -> None:
        """See leases run out, limbo resolved, and machines go that must go."""
        while True:
            await asyncio.sleep(0.2)
            if not self.valid:
                continue
            at_us = now_us()
            machines = list(self.cluster.machines.values())
            live = [m for m in machines if m.up and not m.deleting]
            floor_us = max(self._predecessor_over_us, self._loaded_us)
            silent = [m for m in live if at_us - max(m.heard_us, floor_us) > self._silence_us]
            # Many at once: more likely the network than the machines.
            mostly_heard = len(silent) * 3 <= len(live) or len(silent) <= 1
            doomed: list[Machine] = []
            for machine in live:
                quiet_us = at_us - max(machine.heard_us, floor_us)
                if at_us > machine.lease_over_us(self._lease_us, floor_us):
                    self._expire(machine)
                    doomed.append(machine)
                elif (quiet_us > self._lease_us * 2 // 3 and mostly_heard) or self._in_trouble(
                    machine, at_us
                ):
                    doomed.append(machine)
            if not self.ready and at_us - self._loaded_us > UNKNOWN_PATIENCE_US:
                # Recovery waits for them; most are gone already and only still on record.
                unknown = [m for m in live if not m.synced]
                if len(unknown) * 3 <= len(live) or len(unknown) <= 1:
                    doomed += unknown
            for machine in machines:
                if machine.notice_until_us and at_us > machine.notice_until_us + SECOND_US:
                    if at_us - machine.heard_us > self._report_us * 2:
                        doomed.append(machine)
            self._delete({m.name: m for m in doomed if not m.deleting})

    def _in_trouble(self, machine: Machine, at_us: int) -> bool:
        """Whether something there must be ended by deleting the machine."""
        for attempt in machine.attempts.values():
            if attempt.limbo_us and at_us - attempt.limbo_us > self._cancel_us // 4:
                return True
            if attempt.stop is Stop.HARD and at_us - attempt.stop_us > self._cancel_us // 2:
                return True
        return False

    def _expire(self, machine: Machine) -> None:
        """A worker's lease is surely over: all its tasks are gone."""
        gone = self.cluster.release_all(machine)
        machine.expired_session = max(machine.expired_session, machine.session)
        machine.synced = True
        machine.draining = True
        log.info("machine %s: lease over, %d tasks lost", machine.name, len(gone))
        self._check_known()
        for attempt in gone:
            if attempt.job.cancelled:
                self._flush.set()
        self._place.set()

    def _delete(self, machines: dict[str, Machine]) -> None:
        if machines:
            for machine in machines.values():
                machine.deleting = True
            self._duties.once("deletion", self._delete_machines(list(machines.values())))

    async def _delete_machines(self, machines: list[Machine]) -> None:
        names = [m.name for m in machines]
        self._returned.update(names)
        log.info("returning %s", ", ".join(names))
        while True:
            try:
                await self._cloud.delete(names)
                break
            except CallFailed as error:
                log.info("deletion failed: %s", error)
                await asyncio.sleep(0.5)
        for machine in machines:
            # Answered, so the machine and everything on it are gone.
            for attempt in self.cluster.remove_machine(machine):
                if attempt.job.cancelled:
                    self._flush.set()
        self._check_known()
        self._place.set()
        try:
            for name in names:
                await self.ledger.write({MACHINES + name: None})
        except Deposed:
            pass

    async def _list_machines(self) -> None:
        """Compare the cloud's list with the books."""
        lag_us = seconds_us(self._settings.facts.cloud.list_lag_s)
        while True:
            await asyncio.sleep(max(2.0, to_seconds(lag_us) / 2))
            if not self.valid:
                continue
            self._compare(await self._cloud.machines(), now_us())

    def _compare(self, listed: list[ListedMachine], at_us: int) -> None:
        doomed: dict[str, Machine] = {}
        for item in listed:
            machine = self.cluster.machines.get(item.id)
            if machine is None:
                if item.id in self._returned:
                    continue
                lag_s = self._settings.facts.cloud.list_lag_s
                # Gone ones are still listed for a while, new ones may be about to be entered.
                if not self._unsettled and item.age_s > 4 * lag_s and item.id not in self._adopting:
                    record = MachineRecord(
                        item.type, item.zone, item.spot, wall_us() - seconds_us(item.age_s)
                    )
                    self._adopting.add(item.id)
                    self._duties.once("adoption", self._adopt(item.id, record))
                continue
            machine.listed = True
            if item.state == "failed" and not machine.deleting:
                doomed[machine.name] = machine
        names = {item.id for item in listed}
        for machine in self.cluster.machines.values():
            # Listed once, and not any more: the cloud has taken it.
            if machine.listed and machine.name not in names and not machine.deleting:
                if at_us - max(machine.heard_us, machine.hired_us) > self._silence_us:
                    doomed[machine.name] = machine
        self._delete(doomed)

    async def _settle_hires(self) -> None:
        """Find out what became of rentals, and enter their machines."""
        while True:
            await asyncio.sleep(0.1)
            if self.valid and self._unsettled:
                await asyncio.gather(
                    *(self._settle(name, record) for name, record in list(self._unsettled.items()))
                )

    async def _settle(self, name: str, record: HireRecord) -> None:
        request = RentalRequest(name, record.type, record.zone, record.spot, record.count)
        offer = (record.type, record.zone, record.spot)
        names: list[str] = []
        try:
            names = await self._cloud.rent(request)
            log.info("rented %s in %s (spot: %s): %s", *offer, ", ".join(names))
        except NoCapacity:
            log.info("no capacity for %s in %s (spot: %s)", *offer)
        except BadRental as error:
            log.error("rental called malformed: %s", error)
        except CallFailed as error:
            log.info("rental unanswered: %s", error)
            await asyncio.sleep(0.5)
            return
        at_us = now_us()
        if len(names) < record.count:
            backoff_us = self._tunables.fleet.refusal_backoff_us
            self.market.refused_until_us[offer] = at_us + backoff_us
        changes: dict[str, Any] = {
            MACHINES + n: MachineRecord(record.type, record.zone, record.spot, record.hired_us)
            for n in names
            if n not in self.cluster.machines
        }
        changes[HIRES + name] = None
        try:
            await self.ledger.write(changes, urgent=True)
        except Deposed:
            return
        self._unsettled.pop(name, None)
        for key, machine_record in changes.items():
            if machine_record is not None:
                machine_name = key.removeprefix(MACHINES)
                if machine_name not in self.cluster.machines:
                    self._add_machine(machine_name, machine_record, at_us, wall_us())

    async def _size_fleet(self) -> None:
        said_us = 0
        while True:
            await asyncio.sleep(to_seconds(self._tunables.fleet.period_us))
            if not self.valid:
                continue
            at_us = now_us()
            if at_us >= said_us + FLEET_LOG_US:
                said_us = at_us
                self._log_fleet()
            settings = self._tunables.fleet.settings()
            closing = plan_closings(self.cluster, self.last_plan, settings)
            for machine in self.cluster.machines.values():
                machine.closing = machine.name in closing
            self._delete({m.name: m for m in plan_returns(self.cluster, at_us, settings)})
            if self._unsettled:
                continue
            hires = plan_hires(
                self.cluster,
                self.last_plan,
                self.market,
                self.estimates,
                self.goals,
                at_us,
                settings,
            )
            for offer, count in hires.items():
                await self._hire(offer, count)

    def _log_fleet(self) -> None:
        """Say how the fleet's CPUs are used, for operators and for measured rounds."""
        cpus = dict.fromkeys(("booting", "free", "assigned", "pulling", "running", "saving"), 0.0)
        cost = 0.0
        for machine in self.cluster.machines.values():
            cost += machine.type.spot_price if machine.spot else machine.type.price
            cpus["booting" if machine.booting else "free"] += machine.cpus
            for attempt in machine.attempts.values():
                cpus[attempt.phase.value] += attempt.job.spec.cpus
        waiting = sum(job.waiting * job.spec.cpus for job in self.cluster.jobs.values())
        log.info(
            "fleet: %d machines at %.2f an hour; cpus: %s, waiting %.0f",
            len(self.cluster.machines),
            cost,
            ", ".join(f"{name} {amount:.0f}" for name, amount in cpus.items()),
            waiting,
        )

    async def _hire(self, offer: Offer, count: int) -> None:
        """Record a rental's name, then ask for it."""
        most = min(50, max(1, self._state.max_writes - 1))
        self._hires += 1
        name = f"{self._settings.name}-{self.token}-{self._hires}"
        record = HireRecord(offer.type.name, offer.zone, offer.spot, min(count, most), wall_us())
        try:
            await self.ledger.write({HIRES + name: record}, urgent=True)
        except Deposed:
            return
        self._unsettled[name] = record

    async def _forecast(self) -> None:
        """Forecast each job's finish, and say when one turns late."""
        while True:
            await asyncio.sleep(to_seconds(self._tunables.forecast_period_us))
            at_us = now_us()
            for job in list(self.cluster.jobs.values()):
                job.forecast_us = forecast_us(self.cluster, job, self.estimates, at_us)
                due = due_us(job)
                late = due is not None and (
                    at_us > due or (job.forecast_us is not None and job.forecast_us > due)
                )
                stuck = job.forecast_us is None and not job.spec.is_service and not job.cancelled
                if (late or stuck) and not job.late:
                    if stuck:
                        log.warning("%s looks unable to finish: it fails everywhere", job.id)
                    else:
                        finish = job.forecast_us or at_us
                        log.warning(
                            "%s will be late: %d of %d tasks done, due in %.0f s, "
                            "forecast in %.0f s",
                            job.id, job.done, job.spec.tasks,
                            to_seconds((due or at_us) - at_us), to_seconds(finish - at_us),
                        )  # fmt: skip
                job.late = late or stuck
