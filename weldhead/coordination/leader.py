"""A leader's term: recovery, reports, placement, preemption and the fleet's size.

Everything here ends with the term. The models are changed only between awaits, and every
command checks the authority to lead at the moment it is sent.
"""

import asyncio
import logging
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec

from weldhead.bookkeeping.chains import Chains
from weldhead.bookkeeping.cluster import Cluster
from weldhead.bookkeeping.jobs import Attempt, Job, Phase, Stop
from weldhead.bookkeeping.ledger import Deposed, Ledger
from weldhead.bookkeeping.machines import Machine
from weldhead.bookkeeping.reclaim import ReclaimLists
from weldhead.bookkeeping.records import (
    CHUNK_TASKS,
    HIRES,
    JOBS,
    PROGRESS,
    FinalRecord,
    HireRecord,
    JobRecord,
    decode_progress,
    final_key,
    job_key,
)
from weldhead.clock import SECOND_US, now_us, to_seconds, wall_us
from weldhead.coordination.completions import Completions
from weldhead.coordination.demand import Demand
from weldhead.coordination.dispatch import Dispatcher
from weldhead.coordination.fleet import (
    Upcoming,
    endangered,
    movable,
    plan_closings,
    plan_hires,
    plan_moves,
    plan_returns,
    replacements,
)
from weldhead.coordination.forecast import due_us, holding_up, looks_unable
from weldhead.coordination.outlook import Outlook
from weldhead.coordination.pacing import Pacer, Rank
from weldhead.coordination.placement import Plan, Scene, plan_nothing, plan_pass
from weldhead.coordination.preemptor import overdue, plan_reclaims, stop_for
from weldhead.coordination.rentals import Rentals
from weldhead.coordination.reports import (
    Outcome,
    apply_report,
    is_newer,
    pending_commands,
    request_stop,
)
from weldhead.coordination.silence import look_gone
from weldhead.coordination.term import Term
from weldhead.coordination.urgency import fetch_rate, refresh, stage_us
from weldhead.protocol.wire import Entry, JobStatus, MachineType, Report, ReportAnswer
from weldhead.transport.http import CallFailed
from weldhead.transport.state import Compacted, decode

log = logging.getLogger(__name__)

T = TypeVar("T")

#: A new leader returns machines that have not answered by then, if they are few: a deletion
#: that is answered proves sooner than the end of their leases that nothing runs there.
UNKNOWN_PATIENCE_US = 1 * SECOND_US

#: A new leader rents what replaces machines that have not answered by then.
HIRE_AHEAD_US = 2 * SECOND_US

#: How long a user waits for a cancellation before being told to ask again.
CANCEL_WAIT_US = 1_500_000

#: How often the fleet's use is logged.
FLEET_LOG_US = 10 * SECOND_US

#: How many records are taken up before the loop gets its turn.
LOADED_AT_ONCE = 250

#: How many needed jobs are looked up in the store at once.
NEEDS_AT_ONCE = 8

#: How many silent machines are named to the other nodes at once.
SILENT_NAMED = 1_000


def _parts(items: Sequence[T], size: int = LOADED_AT_ONCE) -> Iterator[Sequence[T]]:
    """Cut a sequence into parts of that many."""
    return (items[start : start + size] for start in range(0, len(items), size))


class NotReady(Exception):
    """The leader cannot answer this yet; ask again later."""


class Leader:
    """One term of leadership."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.token = term.token
        self._tunables = term.tunables
        self._duties = term.duties
        self.reclaims = ReclaimLists()
        self.rentals = Rentals(term, self._gone)
        self.completions = Completions(term, self._ended, self._withdraw_with_followers)
        self._dispatcher = Dispatcher(term, self._answered)
        self._jobs_revision = 0
        #: Set when nothing can run anywhere that this leader does not know of.
        self._known = asyncio.Event()
        #: Set when jobs are needed of which only the store knows what became of them.
        self._needs = asyncio.Event()
        self.last_plan = Plan()
        #: What placement and forecasts keep in order; made when first needed, and made anew
        #: after a failure.
        self._scene: Scene | None = None
        self._outlook: Outlook | None = None
        #: Machines by when they were last heard, the one that is silent longest first.
        self._heard: dict[str, Machine] = {}
        #: Those that the cloud has given notice of.
        self._noticed: dict[str, Machine] = {}
        self.pacer = Pacer(round(self._tunables.leadership.ttl_us * self._tunables.most_hold))

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
    def cluster(self) -> Cluster:
        """The picture of jobs, machines and usage."""
        return self.term.cluster

    @property
    def ledger(self) -> Ledger:
        """The term's writes."""
        return self.term.ledger

    @property
    def loaded(self) -> bool:
        """Whether the store has been read."""
        return self.term.loaded

    @property
    def valid(self) -> bool:
        """Whether this node may command now."""
        return self.term.valid

    def new_catalog(self, types: list[MachineType]) -> None:
        """Take up the machine types and prices that the cloud states now."""
        self.term.market.types = types

    async def _run_ledger(self) -> None:
        try:
            await self.ledger.run()
        except Deposed:
            self.term.on_deposed("the leader's key is not ours any more")

    async def _recover(self) -> None:
        """Read everything, learn what runs where, then start the other duties."""
        term = self.term
        while not term.loaded:
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
        duties.start("machine watch", self._watch_machines)
        duties.start("needed jobs", self._learn_needs, 0.2)
        duties.start("forecasts", self._forecast)
        duties.start("loop watch", self.pacer.watch)
        self.completions.start()
        self.rentals.start()
        term.flush.set()
        self._check_known()
        self._dispatcher.ask_all(m for m in list(self.cluster.machines.values()) if m.up)
        await self._fill_scene()
        duties.start("fleet", self._size_fleet)
        await self._known.wait()
        term.ready = True
        log.info("term %d: ready after %.3f s", self.token, to_seconds(now_us() - term.loaded_us))
        duties.start("placement", self._place_tasks, 0.2)
        duties.start("preemptor", self._preempt)
        term.place.set()

    async def _load(self) -> None:
        """Read what is recorded, page by page, and let the loop live in between."""
        term = self.term
        at_us, wall = now_us(), wall_us()
        term.cluster = Cluster(term.settings.facts.teams, self.token)
        term.chains = Chains(term.cluster.jobs)
        term.demand = Demand(self._tunables.fleet.demand_memory_us)
        revision = 0
        async for entries, revision in term.state.pages(JOBS):  # noqa: B007
            for part in _parts(entries):
                for entry in part:
                    record = decode(bytes(entry.value), JobRecord)
                    self._add_job(record, entry.version, at_us, wall)
                await asyncio.sleep(0)
        jobs = list(self.cluster.jobs.values())
        for loaded in _parts(jobs):
            for job in loaded:
                self._link(job)
            await asyncio.sleep(0)
        # All others have their own priority and deadline.
        self._refresh(self.chains.blocked.values())
        async for entries, _ in term.state.pages(PROGRESS):
            for part in _parts(entries):
                for entry in part:
                    self._load_progress(entry)
                await asyncio.sleep(0)
        async for entries, _ in term.state.pages(HIRES):
            for entry in entries:
                hire = decode(bytes(entry.value), HireRecord)
                self.ledger.learn(entry.key, entry.version)
                self.rentals.load(entry.key.removeprefix(HIRES), hire, at_us, wall)
            await asyncio.sleep(0)
        self._machines_changed = self.cluster.machines.feeds.subscribe()
        self._heard = dict(self.cluster.machines)
        self._jobs_revision = revision
        term.loaded = True
        term.loaded_us = now_us()

    def _load_progress(self, entry: Entry) -> None:
        job_id, _, chunk = entry.key.removeprefix(PROGRESS).rpartition("/")
        self.ledger.learn(entry.key, entry.version)
        job = self.cluster.jobs.get(job_id)
        if job is None:
            self.completions.load_leftover(entry.key)
            return
        tasks = min(CHUNK_TASKS, job.spec.tasks - int(chunk) * CHUNK_TASKS)
        done = decode_progress(msgspec.json.decode(entry.value, type=str), tasks)
        self.completions.load(job, int(chunk), done)

    def _add_job(self, record: JobRecord, version: int, at_us: int, wall: int) -> Job:
        job = Job(record.spec, record.submitted_us, version, at_us)
        # The same moment on the steady clock; a time of day that is off must not put it
        # into the future.
        job.first_seen_us = job.ready_us = at_us - max(0, wall - record.submitted_us)
        job.cancelled = record.cancelled
        self.cluster.jobs[job.id] = job
        self.ledger.learn(job_key(job.id), version)
        return job

    # -- chains ---------------------------------------------------------------------------

    @property
    def chains(self) -> Chains:
        """Which jobs wait for which."""
        return self.term.chains

    def _link(self, job: Job) -> None:
        """Enter what a job waits for, and draw what follows from it."""
        needs = job.spec.needs or ()
        if not job.cancelled:
            self.chains.add(job, needs)
            for name in needs:
                self._learned(name)
        # Others may have named it before this node had heard of it.
        self.chains.unknown.discard(job.id)
        if job.cancelled:
            self._withdraw_with_followers(job)
        elif not job.blockers and not needs:
            self._runnable(job)
        if self.chains.unknown:
            self._needs.set()

    def _learned(self, job_id: str) -> None:
        """Draw what follows from a needed job that is over or cancelled, as far as is known."""
        final = self.completions.finals.get(job_id)
        if final is not None:
            self._over(job_id, final)
            return
        need = self.cluster.jobs.get(job_id)
        if need is not None and need.cancelled:
            self._withdraw_with_followers(need)

    def _over(self, job_id: str, final: FinalRecord) -> None:
        """A job is over, and that is committed: those that wait for it go on, or go too."""
        if final.status == "done":
            ended_us = now_us() - max(0, wall_us() - final.ended_us)
            for follower in self.chains.done(job_id, ended_us):
                log.debug("%s waits for nothing more", follower.id)
                self._runnable(follower)
            self.term.place.set()
        else:
            self._withdraw_all(self.chains.withdrawn(job_id))

    def _runnable(self, job: Job) -> None:
        """A job's tasks may start from now on: from here on it counts as demand."""
        work = job.spec.tasks * job.spec.cpus * self.term.estimates.task_us(job)
        self.term.demand.arrived(job.level, work, job.ready_us)

    def _withdraw_with_followers(self, job: Job) -> None:
        """A job's cancellation is committed: all that need it are withdrawn by that alone.

        So they are called withdrawn at once, by every leader, though it takes several
        transactions to write down how each of them ended.
        """
        self._withdraw_all([job, *self.chains.withdrawn(job.id)])

    def _withdraw_all(self, jobs: list[Job]) -> None:
        needed: dict[str, Job] = {}
        for job in jobs:
            for name in job.blockers:
                if name in self.cluster.jobs:
                    needed[name] = self.cluster.jobs[name]
            self.chains.remove(job)
            self._stop_all(job)
        if needed:
            # What they gave to the jobs that they need goes with them.
            self._refresh(needed.values())

    def _refresh(self, jobs: Iterable[Job]) -> None:
        """Bring up to date what these jobs and those that they need inherit."""
        refresh(self.chains, jobs, self.term.goals, self._stage_us, now_us())

    async def _learn_needs(self) -> None:
        """Read what became of needed jobs that were over before this term began."""
        while True:
            await self._needs.wait()
            self._needs.clear()
            while self.chains.unknown:
                names = list(self.chains.unknown)[:NEEDS_AT_ONCE]
                await asyncio.gather(*(self._learn_need(name) for name in names))

    async def _learn_need(self, job_id: str) -> None:
        try:
            final = await self.term.state.get(final_key(job_id))
            if final is not None:
                outcome = decode(bytes(final.value), FinalRecord)
                self.completions.remember_final(job_id, outcome)
                self._over(job_id, outcome)
                return
            entry = await self.term.state.get(job_key(job_id))
        except CallFailed as error:
            log.info("needed job %s: %s", job_id, error)
            await asyncio.sleep(0.2)
            return
        if entry is not None:
            self.job_created(decode(bytes(entry.value), JobRecord), entry.version)
        else:
            # On its way from one key to the other, or named by a record that is nonsense.
            await asyncio.sleep(0.5)

    def _check_known(self) -> None:
        """See whether every machine on which something may run has been heard or is gone."""
        if self._known.is_set() or not self.loaded:
            return
        if all(m.synced for m in self.cluster.machines.values() if m.up):
            self._known.set()

    # -- users ------------------------------------------------------------------------

    def job_created(self, record: JobRecord, version: int) -> None:
        """Take up a job that has been committed."""
        job_id = record.spec.id
        if not self.loaded or job_id in self.cluster.jobs or job_id in self.completions.finals:
            return
        job = self._add_job(record, version, now_us(), wall_us())
        self._link(job)
        if not job.cancelled:
            self._refresh([job])
        self.term.place.set()

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status from memory, as new as the store's; None: not known here."""
        if not self.loaded or not self.valid:
            return None
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            # What only the store knows could have withdrawn it, and have been told so.
            return self._status_of(job) if self.chains.settled(job) else None
        final = self.completions.finals.get(job_id)
        if final is not None:
            return JobStatus(job_id, final.status, final.done, 0)
        return None

    def is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None: not known here."""
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            return job.spec.is_service
        final = self.completions.finals.get(job_id)
        return final.service if final is not None else None

    def _kept_outlook(self) -> Outlook:
        if self._outlook is None:
            tunables = self._tunables
            self._outlook = Outlook(
                self.cluster, self.chains, self.term.estimates, self._stage_us,
                tunables.forecast_period_us, tunables.forecast_recheck_us, tunables.most_forecasts,
            )  # fmt: skip
        return self._outlook

    def _status_of(self, job: Job) -> JobStatus:
        answer = JobStatus(job.id, job.status, job.done, job.running)
        if not job.cancelled:
            self._kept_outlook().tell(job, now_us())
        if job.cancelled or job.forecast_us is None:
            return answer
        answer.forecast_s = round(to_seconds(job.forecast_us - job.first_seen_us), 1)
        due = due_us(job)
        if due is not None:
            answer.late = job.forecast_us > due
            if answer.late:
                answer.late_by_s = round(to_seconds(job.forecast_us - due), 1)
        return answer

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job; None if it is not known. NotReady if it cannot be decided now."""
        if not self.loaded or now_us() < self.term.predecessor_over_us:
            raise NotReady
        job = self.cluster.jobs.get(job_id)
        if job is None:
            return self.status(job_id)
        if not job.cancelled and not await self.completions.cancel(job, CANCEL_WAIT_US):
            raise NotReady
        return JobStatus(job_id, "withdrawn")

    def _stop_all(self, job: Job) -> None:
        """Stop what runs of a job that is withdrawn."""
        at_us = now_us()
        for attempt in list(job.active.values()):
            machine = self.cluster.machines[attempt.machine]
            if not request_stop(self.cluster, attempt, Stop.HARD, at_us, "cancelled"):
                self._dispatcher.post_soon(machine)
        self.term.flush.set()
        self.term.place.set()

    # -- workers ----------------------------------------------------------------------

    def silent_machines(self, at_us: int) -> tuple[str, ...]:
        """Machines that ought to have reported by now; their reports are to be relayed."""
        if not self.loaded:
            return ()
        limit_us = self.term.report_us * 5 // 4 + SECOND_US
        return tuple(
            machine.name for machine in self._silent(at_us, limit_us, self.term.loaded_us)
            if machine.session
        )[:SILENT_NAMED]  # fmt: skip

    def _silent(self, at_us: int, limit_us: int, floor_us: int) -> list[Machine]:
        """Return machines not heard for longer than that; those that boot are among them."""
        for machine in self._machines_changed.take():
            if machine.name not in self.cluster.machines:
                self._heard.pop(machine.name, None)
                self._noticed.pop(machine.name, None)
            elif machine.name not in self._heard:
                self._heard[machine.name] = machine
        found = []
        for machine in self._heard.values():
            if at_us - max(machine.heard_us, floor_us) > limit_us:
                found.append(machine)
            elif machine.heard_us:
                # All behind were heard later.
                break
        return found

    def report(self, report: Report, at_us: int, *, relayed: bool) -> ReportAnswer | None:
        """Handle a worker's report; None: it must not be answered 200."""
        if not self.loaded or not self.valid:
            return None
        if report.token > self.token:
            self.term.on_deposed(f"{report.machine} has seen token {report.token}")
            return None
        machine = self.cluster.machines.get(report.machine)
        if machine is None:
            self.rentals.unexpected(report)
            return None
        if machine.deleting or report.session <= machine.expired_session:
            return None
        if is_newer(machine, report):
            self._apply(machine, report, direct=False)
        elif report.sequence < machine.report_sequence and report.session == machine.session:
            # Held back on the way: its sender has long given up waiting.
            return None
        machine.hear(at_us, self.term.silence_us)
        machine.lease_from_us = at_us
        self._heard.pop(machine.name, None)
        self._heard[machine.name] = machine
        machine.relayed = relayed
        if machine.synced and not machine.up and not machine.up_pending:
            machine.up_pending = True
            self._duties.once("machine up", self.rentals.mark_up(machine))
        commands = pending_commands(
            machine,
            self.completions.is_committed,
            may_start=self.term.ready and machine.synced and machine.up,
            sequence=report.sequence,
        )
        return ReportAnswer(self.token, commands)

    def _answered(self, machine: Machine, report: Report) -> None:
        """Take a worker's answer to direct commands."""
        self._apply(machine, report, direct=True)

    def _apply(self, machine: Machine, report: Report, *, direct: bool) -> None:
        if not is_newer(machine, report):
            return
        at_us = now_us()
        had_notice = machine.notice_until_us
        outcome = apply_report(self.cluster, machine, report, at_us, direct=direct)
        self._digest(machine, outcome, at_us)
        if machine.notice_until_us and not had_notice:
            log.info("machine %s will be taken back", machine.name)
            self._noticed[machine.name] = machine
            self._evacuate(machine, at_us)

    def _digest(self, machine: Machine, outcome: Outcome, at_us: int) -> None:
        self._check_known()
        if outcome.completed:
            self.term.flush.set()
        for job, run_us in outcome.run_times:
            self.term.estimates.observe(job, run_us)
        for attempt in outcome.failed:
            self._failed(machine, attempt, at_us)
        for attempt, reason in outcome.lost:
            log.debug(
                "%s attempt %d left %s: %s", attempt.task, attempt.number, machine.name, reason
            )
            if attempt.job.cancelled:
                self.term.flush.set()
        if not machine.attempts and (outcome.lost or outcome.completed):
            machine.idle_since_us = at_us
        if outcome.room or outcome.lost:
            self.term.place.set()

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
            if not saves and self.term.estimates.remaining_us(attempt, at_us) < left_us:
                if attempt.phase is Phase.RUNNING:
                    continue
            request_stop(self.cluster, attempt, Stop.SOFT if saves else Stop.HARD, at_us, "notice")
        self._dispatcher.post_soon(machine)

    # -- duties -------------------------------------------------------------------------

    async def _watch_jobs(self) -> None:
        while True:
            try:
                changes = await self.term.state.watch(JOBS, self._jobs_revision, 10 * SECOND_US)
            except Compacted:
                async for entries, revision in self.term.state.pages(JOBS):  # noqa: B007
                    for part in _parts(entries):
                        for entry in part:
                            record = decode(bytes(entry.value), JobRecord)
                            self.job_created(record, entry.version)
                        await asyncio.sleep(0)
                self._jobs_revision = revision
                continue
            for event in changes.events:
                if event.put is not None:
                    record = decode(bytes(event.value), JobRecord)
                    if not record.cancelled:
                        self.job_created(record, event.version)
            self._jobs_revision = max(self._jobs_revision, changes.revision)

    def _ended(self, job: Job, final: FinalRecord) -> None:
        """A job is over, and that is committed."""
        self.term.estimates.forget(job.id)
        self.reclaims.trim(job.id, 0)
        self.chains.remove(job)
        self._over(job.id, final)

    def _kept_scene(self) -> Scene:
        if self._scene is None:
            self._scene = Scene(
                self.cluster, self.term.estimates, self.term.goals,
                self._tunables.preemptor.patience_us,
            )  # fmt: skip
        return self._scene

    async def _fill_scene(self) -> None:
        """Put all waiting jobs in order while workers are still being asked what they run."""
        backlog = self._kept_scene().backlog
        more = True
        while more:
            more = backlog.fill(now_us(), LOADED_AT_ONCE)
            await asyncio.sleep(0)

    async def _place_tasks(self) -> None:
        while True:
            await self.term.place.wait()
            self.term.place.clear()
            self._place_now()
            await self.pacer.rest("placement", Rank.PLACEMENT, self._tunables.placement_pause_us)

    def _place_now(self) -> None:
        with self.pacer.hold("placement"):
            self._place()

    def _place(self) -> None:
        if not self.valid:
            return
        at_us = now_us()
        scene = self._kept_scene()
        try:
            plan = plan_pass(scene, at_us, self.term.silence_us, self._tunables.fetch_weight)
        except Exception:
            # What it had read of the feeds may be lost with it: made anew at the next pass.
            scene.close()
            self._scene = None
            raise
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
                self._dispatcher.post_soon(machine)

    async def _preempt(self) -> None:
        while True:
            await self.pacer.rest("preemptor", Rank.PREEMPTOR, self._tunables.preemptor.period_us)
            if not self.valid:
                continue
            self._place_now()
            with self.pacer.hold("preemptor"):
                self._make_room(now_us())

    def _make_room(self, at_us: int) -> None:
        """Ask for room on behalf of those who found none."""
        settings = self._tunables.preemptor.settings(self.term.silence_us)
        self._trim_reclaims()
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
            self.term.estimates,
            at_us,
            settings,
            self.term.goals,
            free=self._scene.free if self._scene is not None else None,
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
                stop = stop_for(claimant, victim.job, self.term.goals)
                self._stop(victim, stop, at_us, "room")

    def _trim_reclaims(self) -> None:
        """Drop requests on behalf of jobs that wait for less than they did."""
        for job_id in self.reclaims.jobs():
            job = self.cluster.jobs.get(job_id)
            waiting = 0
            if job is not None and self._scene is not None:
                place = self._scene.backlog.place_of(job_id)
                waiting = self.last_plan.unplaced.count_of(job, place)
            self.reclaims.trim(job_id, waiting)

    def _who(self, job_id: str) -> str:
        job = self.cluster.jobs[job_id]
        return f"{job.spec.priority}, {job.team}"

    def _stop(self, attempt: Attempt, stop: Stop, at_us: int, reason: str) -> None:
        machine = self.cluster.machines[attempt.machine]
        if request_stop(self.cluster, attempt, stop, at_us, reason):
            self.term.place.set()
        else:
            self._dispatcher.post_soon(machine)

    async def _watch_machines(self) -> None:
        """See leases run out, limbo resolved, and machines go that must go."""
        while True:
            await asyncio.sleep(0.2)
            if not self.valid:
                continue
            at_us = now_us()
            doomed = self._expired_or_silent(at_us)
            if not self.term.ready and at_us - self.term.loaded_us > UNKNOWN_PATIENCE_US:
                # Recovery waits for them; most are gone already and only still on record.
                live = self._live()
                unknown = [m for m in live if not m.synced]
                if all(m.asked_in_vain for m in unknown) and look_gone(unknown, live):
                    doomed += unknown
            doomed += self._in_trouble(at_us)
            doomed += [m for m in self._noticed.values() if self._taken(m, at_us)]
            self.rentals.delete({m.name: m for m in doomed if not m.deleting})

    def _live(self) -> list[Machine]:
        return [m for m in self.cluster.machines.values() if m.up and not m.deleting]

    def _silent_live(self, at_us: int) -> list[Machine]:
        """Return the live machines that are silent for so long that nothing is placed there."""
        silent = self._silent(at_us, self.term.silence_us, self.term.floor_us())
        return [machine for machine in silent if machine.up and not machine.deleting]

    def _expired_or_silent(self, at_us: int) -> list[Machine]:
        """Return machines whose leases are over, or that are silent and look gone."""
        floor_us = self.term.floor_us()
        silent = self._silent_live(at_us)
        if not silent:
            return []
        live = self._live()
        limit_us = at_us - self.term.lease_us * 2 // 3
        gone = look_gone(silent, live)
        found = []
        for machine in silent:
            if at_us > machine.lease_over_us(self.term.lease_us, floor_us):
                self._expire(machine)
                found.append(machine)
            elif gone and max(machine.heard_us, floor_us) < limit_us:
                found.append(machine)
        return found

    def _taken(self, machine: Machine, at_us: int) -> bool:
        """Whether a notice has run out, and the machine is silent since."""
        return (
            0 < machine.notice_until_us < at_us - SECOND_US
            and at_us - machine.heard_us > self.term.report_us * 2
        )

    def _in_trouble(self, at_us: int) -> list[Machine]:
        """Return machines on which something must be ended by deleting them."""
        cluster = self.cluster
        limbo_us, stop_us = self.term.cancel_us // 4, self.term.cancel_us // 2
        found = [a for a in cluster.limbo.values() if a.limbo_us and at_us - a.limbo_us > limbo_us]
        found += [
            attempt
            for attempt in cluster.stopping.values()
            if attempt.stop is Stop.HARD and at_us - attempt.stop_us > stop_us
        ]
        machines = {a.machine: cluster.machines[a.machine] for a in found}
        return [m for m in machines.values() if m.up and not m.deleting]

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
                self.term.flush.set()
        self.term.place.set()

    def _gone(self, machine: Machine) -> None:
        """A machine is gone for good, and everything on it."""
        for attempt in self.cluster.remove_machine(machine):
            if attempt.job.cancelled:
                self.term.flush.set()
        self._check_known()
        self.term.place.set()

    async def _size_fleet(self) -> None:
        said_us = 0
        while True:
            await self.pacer.rest("fleet", Rank.FLEET, self._tunables.fleet.period_us)
            if not self.valid:
                continue
            at_us = now_us()
            with self.pacer.hold("fleet"):
                if at_us >= said_us + FLEET_LOG_US:
                    said_us = at_us
                    self._log_fleet()
                    self._audit(at_us)
                if self.term.ready:
                    self._size_now(at_us)
                else:
                    self._hire_ahead(at_us)

    def _hire_ahead(self, at_us: int) -> None:
        """Rent what replaces machines that recovery waits for in vain.

        After half of a fleet died together with its controllers, recovery waits for a whole
        lease, and the boots of what replaces them came on top of it (found on an own day).
        Nothing is started by this, and nothing given up on.
        """
        if at_us - self.term.loaded_us < HIRE_AHEAD_US or self.rentals.busy:
            return
        unknown = [m for m in self._live() if not m.synced]
        if not unknown or not all(m.asked_in_vain for m in unknown):
            return
        scene = self._kept_scene()
        settings = self._tunables.fleet.settings()
        plan = plan_nothing(scene, at_us, settings.most_considered)
        fresh = [m for m in self.cluster.machines.values() if m.hired_us >= self.term.loaded_us]
        missing = sum(m.type.cpus for m in unknown) - sum(m.type.cpus for m in fresh)
        missing -= sum(item.type.cpus * item.count for item in self.rentals.coming())
        hires = plan_hires(
            self.cluster, plan, self.term.market, self.term.estimates, self.term.goals, at_us,
            settings, self.rentals.coming(), self.term.demand,
            backlog=len(scene.backlog), silent={m.name for m in unknown},
        )  # fmt: skip
        for offer, count in replacements(hires, missing).items():
            log.info("%d machines do not answer: %d of %s asked for in %s (spot: %s)",
                len(unknown), count, offer.type.name, offer.zone, offer.spot)  # fmt: skip
            self.rentals.hire(offer, count)

    def _audit(self, at_us: int) -> None:
        """See that no waiting job was lost sight of, and say what the loop suffered from."""
        scene = self._kept_scene()
        scene.refresh(at_us)
        strays = scene.backlog.strays()
        if strays:
            log.error(
                "%d jobs were out of order, %s first; the order is made anew",
                len(strays), strays[0],
            )  # fmt: skip
            scene.close()
            self._scene = None
        summary = self.pacer.summary()
        if summary:
            log.info("loop: %s", summary)

    def _size_now(self, at_us: int) -> None:
        """Look once at what to rent, what to return, and what to empty."""
        settings = self._tunables.fleet.settings()
        silent = self._doubtful(at_us)
        upcoming = self._upcoming(at_us + settings.foresight_us)
        upcoming += endangered(silent, at_us, self.term.lease_us)
        closing = plan_closings(self.cluster, self.last_plan, settings, upcoming)
        for machine in self.cluster.machines.values():
            machine.closing = machine.name in closing
        for machine in plan_moves(
            self.cluster, self.last_plan, self.term.estimates, at_us, settings,
            self.term.silence_us,
        ):  # fmt: skip
            self._empty(machine, at_us)
        self.rentals.delete({m.name: m for m in plan_returns(self.cluster, at_us, settings)})
        if self.rentals.busy:
            return
        hires = plan_hires(
            self.cluster,
            self.last_plan,
            self.term.market,
            self.term.estimates,
            self.term.goals,
            at_us,
            settings,
            self.rentals.coming(),
            self.term.demand,
            upcoming,
            len(self._scene.backlog) if self._scene is not None else 0,
            {machine.name for machine in silent},
        )
        for offer, count in hires.items():
            self.rentals.hire(offer, count)

    def _doubtful(self, at_us: int) -> list[Machine]:
        """Return silent machines that are not given up on as long as their leases last."""
        silent = self._silent_live(at_us)
        if not silent or look_gone(silent, self._live()):
            return []
        return silent

    def _upcoming(self, until_us: int) -> list[Upcoming]:
        """Return the jobs that are expected to wait for nothing more by then."""
        return [
            Upcoming(job, job.starts_us)
            for job in self.chains.blocked.values()
            if job.starts_us is not None
            and job.starts_us <= until_us
            and job.team in self.cluster.teams
        ]

    def _empty(self, machine: Machine, at_us: int) -> None:
        """Have a machine's tasks that save go on elsewhere; it is returned when it is empty."""
        log.info("machine %s is emptied: %d tasks", machine.name, len(machine.attempts))
        machine.draining = True
        for attempt in list(machine.attempts.values()):
            if movable(attempt):
                self._stop(attempt, Stop.SOFT, at_us, "moved")

    def _log_fleet(self) -> None:
        """Say how the fleet's CPUs are used, for operators and for measured rounds."""
        cpus = dict.fromkeys(("booting", "free", "assigned", "pulling", "running", "saving"), 0.0)
        cost = 0.0
        for machine in self.cluster.machines.values():
            cost += machine.price
            cpus["booting" if machine.booting else "free"] += machine.cpus
            for attempt in machine.attempts.values():
                cpus[attempt.phase.value] += attempt.job.spec.cpus
        waiting = sum(job.waiting * job.spec.cpus for job in self.cluster.jobs.values())
        log.info(
            "fleet: %d machines at %.2f an hour; cpus: %s, waiting %.0f, allowed %.0f",
            len(self.cluster.machines),
            cost,
            ", ".join(f"{name} {amount:.0f}" for name, amount in cpus.items()),
            waiting,
            sum(count * job.spec.cpus for job, count in self.last_plan.unplaced),
        )

    async def _forecast(self) -> None:
        """Forecast each job's finish, and say when one turns late."""
        while True:
            await self.pacer.rest("forecasts", Rank.FORECASTS, self._tunables.forecast_period_us)
            with self.pacer.hold("forecasts"):
                self._look_ahead(now_us())

    def _look_ahead(self, at_us: int) -> None:
        outlook = self._kept_outlook()
        try:
            for job in outlook.look(at_us):
                self._say_if_late(job, at_us)
        except Exception:
            # It may have lost a job out of its sight: made anew at the next look.
            outlook.close()
            self._outlook = None
            raise

    def _stage_us(self, job: Job) -> int:
        rate = fetch_rate(self.term.market.types)
        return stage_us(self.cluster, job, self.term.estimates, rate, self._tunables.chain_margin)

    def _say_if_late(self, job: Job, at_us: int) -> None:
        """Log a job that turns late; of a chain, that whose users set the deadline."""
        if job.cancelled:
            return
        due = due_us(job)
        late = due is not None and (
            at_us > due or (job.forecast_us is not None and job.forecast_us > due)
        )
        stuck = looks_unable(job) and not job.spec.is_service and not job.blockers
        turned = (late or stuck) and not job.late
        # Forecasts of a whole chain waver: said once.
        job.late = late or stuck or (job.late and bool(job.spec.needs))
        if not turned:
            return
        if stuck:
            log.warning("%s looks unable to finish: it fails everywhere", job.id)
        elif job.spec.deadline_s is not None:
            stage = holding_up(self.cluster, job)
            finish_us = job.forecast_us or at_us
            log.warning(
                "%s will be late: due in %.0f s, forecast in %.0f s; %s%s (%s) has %d of %d "
                "tasks done",
                job.id, to_seconds((due or at_us) - at_us), to_seconds(finish_us - at_us),
                "" if stage is job else "it waits for ", stage.id, stage.spec.job_class,
                stage.done, stage.spec.tasks,
            )  # fmt: skip
