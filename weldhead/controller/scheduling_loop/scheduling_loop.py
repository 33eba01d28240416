"""When tasks are placed and stopped: the background tasks around placement and the preemptor."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from weldhead.clock import MILLISECOND_US, now_us
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.reclaim import Reclaim, ReclaimLists
from weldhead.cluster_state.states import StopRequest
from weldhead.controller.loop_budget import EventLoopBudget, LoopPriority
from weldhead.controller.scheduling_loop.preemption_recorder import PreemptionRecorder
from weldhead.controller.term import LOAD_BATCH_SIZE, Term
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.protocol.wire import MachineType
from weldhead.reconciliation.partial_view import PartialView
from weldhead.reconciliation.preemption_rate_limit import PreemptionRateLimit
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions
from weldhead.scheduling.preemption.victim_rules import (
    PreemptorSettings,
    choose_stop_request,
    find_overdue_reclaims,
)
from weldhead.scheduling.reservations.capacity_reserver import CapacityReserver
from weldhead.scheduling.reservations.reservations import Reservations
from weldhead.scheduling.reservations.wide_tasks import WideTaskForecast

log = logging.getLogger(__name__)

#: While machines are unknown, placement looks at all waiting jobs: not so often.
PARTIAL_PAUSE_US = 200 * MILLISECOND_US


class SchedulingLoop:
    """Places tasks and makes room for them."""

    def __init__(
        self, term: Term, dispatcher: CommandDispatcher, loop_budget: EventLoopBudget
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self.loop_budget = loop_budget
        self.reclaims = ReclaimLists(term.preemption_history)
        self.preemption_recorder = PreemptionRecorder(term)
        self._rate_limit = PreemptionRateLimit(term.tunables.recovery.pace())
        self.last_plan = PlacementPlan()
        #: What placement and forecasts keep in order; made when first needed, and made anew
        #: after a failure.
        self.current_input: PlacementInput | None = None
        self._reserver: CapacityReserver | None = None
        #: What is known while recovery goes on.
        self.partial_view: Callable[[], PartialView] | None = None

    def placement_input(self) -> PlacementInput:
        """Return what placement keeps in order."""
        if self.current_input is None:
            self.current_input = PlacementInput(
                self._term.cluster, self._term.estimates, self._term.objectives,
                self._term.tunables.preemptor.patience_us,
            )  # fmt: skip
            if self._reserver is not None:
                self._reserver.close()
            self._reserver = CapacityReserver(
                self._term.cluster, self.current_input.backlog, self._term.estimates,
                self._term.tunables.holding.settings(),
            )  # fmt: skip
        return self.current_input

    def wide_task_forecast(
        self, pending: Iterable[tuple[MachineType, int]], up_us: int
    ) -> WideTaskForecast:
        """Return which wide tasks will find machines by a time."""
        reservations = (
            self.current_input.reservations if self.current_input is not None else Reservations()
        )
        least = self._term.tunables.holding.least
        return WideTaskForecast(
            self._term.cluster.machines.values(), pending, reservations, least, up_us
        )

    def _update_reservations(self, placement_input: PlacementInput, at_us: int) -> None:
        """Decide what is kept free for wide work; nothing while machines are unknown."""
        if self._reserver is None or not self._term.ready:
            return
        before = placement_input.reservations
        placement_input.reservations = self._reserver.update(
            at_us,
            lambda machine: is_schedulable(machine, at_us, self._term.silence_us),
            ((entry.machine, entry.job_id) for entry in self.reclaims.entries()),
        )
        if placement_input.reservations is not before:
            for name, job_id in placement_input.reservations.machines.items():
                if name not in before.machines:
                    log.info("machine %s is reserved for job %s", name, job_id)

    async def load_backlog(self) -> None:
        """Put all waiting jobs in order while workers are still being asked what they run."""
        backlog = self.placement_input().backlog
        more = True
        while more:
            more = backlog.load_batch(now_us(), LOAD_BATCH_SIZE)
            await asyncio.sleep(0)

    async def run_placement(self) -> None:
        """Place tasks whenever something has changed; a background task."""
        while True:
            await self._term.placement_wanted.wait()
            self._term.placement_wanted.clear()
            self._place_now()
            pause_us = self._term.tunables.placement_pause_us
            if not self._term.ready:
                pause_us = max(pause_us, PARTIAL_PAUSE_US)
            await self.loop_budget.pause("placement", LoopPriority.PLACEMENT, pause_us)

    def _place_now(self) -> None:
        with self.loop_budget.measure("placement"):
            self.place()

    def place(self) -> None:
        """Make one placement pass and see to its starts."""
        if not self._term.valid:
            return
        at_us = now_us()
        placement_input = self.placement_input()
        may_start = None
        if not self._term.ready:
            assert self.partial_view is not None
            may_start = self.partial_view().is_settled
        try:
            self._update_reservations(placement_input, at_us)
            plan = plan_pass(
                placement_input,
                at_us,
                self._term.silence_us,
                self._term.tunables.fetch_weight,
                may_start,
            )
        except Exception:
            # What it had read of the feeds may be lost with it: made anew at the next pass.
            placement_input.close()
            self.current_input = None
            raise
        self.last_plan = plan
        touched: dict[str, Machine] = {}
        for start in plan.starts:
            if self._term.cluster.has_orphan(f"{start.job.id}/{start.index}"):
                # An attempt that no job counts may still run: its kill may be lost.
                continue
            self._term.cluster.start(start.job, start.index, start.machine, at_us)
            self.reclaims.record_grant(start.job.id, start.machine.name)
            touched[start.machine.name] = start.machine
        if plan.starts:
            log.debug("placed %d tasks on %d machines", len(plan.starts), len(touched))
        if self._term.tunables.direct_runs:
            for machine in touched.values():
                self._dispatcher.schedule(machine)

    async def run_preemption(self) -> None:
        """Make room for those who found none; a background task."""
        self.preemption_recorder.inherit(now_us())
        while True:
            await self.loop_budget.pause(
                "preemptor", LoopPriority.PREEMPTOR, self._term.tunables.preemptor.period_us
            )
            if not self._term.valid:
                continue
            self._place_now()
            with self.loop_budget.measure("preemptor"):
                self._preempt_for_waiting(now_us())

    def _preempt_for_waiting(self, at_us: int) -> None:
        """Ask for capacity on behalf of those who found none."""
        settings = self._term.tunables.preemptor.settings(self._term.silence_us)
        self._trim_reclaims()
        self._escalate_overdue(settings, at_us)
        current = self.current_input
        planned = plan_preemptions(
            self._term.cluster,
            self.reclaims,
            self.last_plan,
            self._term.estimates,
            at_us,
            settings,
            self._term.objectives,
            capacity_index=current.capacity_index if current is not None else None,
            reserved_machines=current.reservations.machines if current is not None else None,
        )
        running = sum(len(job.active) for job in self._term.cluster.active_jobs.values())
        allowed = self._rate_limit.allowed(self._term.ready_us, running, at_us)
        for reclaim in planned:
            if allowed is not None:
                if allowed <= 0:
                    # Asked for again at the next run, if it is still wanted then.
                    self._rate_limit.deferred += 1
                    continue
                allowed -= len(reclaim.victims)
                self._rate_limit.record(len(reclaim.victims))
            self._carry_out(reclaim, at_us)

    def _escalate_overdue(self, settings: PreemptorSettings, at_us: int) -> None:
        """Kill victims that take too long, and give up requests that bring nothing."""
        hard, expired = find_overdue_reclaims(self.reclaims, at_us, settings)
        for entry in expired:
            self.reclaims.remove(entry)
        for entry in hard:
            entry.hard_kill_requested_us = at_us
            for victim in entry.victims:
                if victim.job.active.get(victim.index) is victim:
                    self.stop(victim, StopRequest.HARD, at_us, "room, overdue")

    def _carry_out(self, reclaim: Reclaim, at_us: int) -> None:
        """Enter a request and stop its victims."""
        self.reclaims.add(reclaim)
        claimant = self._term.cluster.jobs[reclaim.job_id]
        for victim in reclaim.victims:
            log.info(
                "preempting %s (%s, %s) for %s (%s)",
                victim.task,
                victim.job.spec.priority,
                victim.job.team,
                reclaim.job_id,
                self._who(reclaim.job_id),
            )
            if victim.job.spec.gpus > 0:
                self.preemption_recorder.record(victim, at_us)
            stop = choose_stop_request(claimant, victim.job, self._term.objectives)
            self.stop(victim, stop, at_us, "room")

    def _trim_reclaims(self) -> None:
        """Drop requests on behalf of jobs that wait for less than they did."""
        for job_id in self.reclaims.job_ids():
            job = self._term.cluster.jobs.get(job_id)
            waiting = 0
            if job is not None and self.current_input is not None:
                place = self.current_input.backlog.position_of(job_id)
                waiting = self.last_plan.unplaced.count_for_job(job, place)
            self.reclaims.trim(job_id, waiting)

    def _who(self, job_id: str) -> str:
        job = self._term.cluster.jobs[job_id]
        return f"{job.spec.priority}, {job.team}"

    def stop(self, attempt: Attempt, stop: StopRequest, at_us: int, reason: str) -> None:
        """Ask an attempt to stop, and tell its worker."""
        machine = self._term.cluster.machines[attempt.machine]
        if request_stop(self._term.cluster, attempt, stop, at_us, reason):
            self._term.placement_wanted.set()
        else:
            self._dispatcher.schedule(machine)
