"""The background tasks that place waiting tasks and preempt running ones."""

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

#: Pause between placement passes until recovery has ended. Until then each pass examines all
#: waiting jobs, so passes are less frequent.
PARTIAL_VIEW_PAUSE_US = 200 * MILLISECOND_US


class SchedulingLoop:
    """Runs placement and preemption for one term, and keeps the state that they share."""

    def __init__(
        self, term: Term, dispatcher: CommandDispatcher, loop_budget: EventLoopBudget
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self.loop_budget = loop_budget
        self.reclaims = ReclaimLists(term.preemption_history)
        self.preemption_recorder = PreemptionRecorder(term)
        self._rate_limit = PreemptionRateLimit(term.tunables.recovery.preemption_rate_settings())
        self.last_plan = PlacementPlan()
        #: The sorted backlog, the capacity index and the reservations, shared by placement and
        #: the autoscaler; created when first needed, and again after a failure.
        self.current_input: PlacementInput | None = None
        self._reserver: CapacityReserver | None = None
        #: Returns the partial view of the cluster that placement uses until recovery has ended.
        self.partial_view: Callable[[], PartialView] | None = None

    def placement_input(self) -> PlacementInput:
        """Return the placement input; create it if there is none."""
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
        """Return the forecast of which wide tasks find a machine by ``up_us``.

        ``pending`` lists machine types that are being rented, each with its count.
        """
        reservations = (
            self.current_input.reservations if self.current_input is not None else Reservations()
        )
        min_portion = self._term.tunables.holding.least
        return WideTaskForecast(
            self._term.cluster.machines.values(), pending, reservations, min_portion, up_us
        )

    def _update_reservations(self, placement_input: PlacementInput, at_us: int) -> None:
        """Update the machines reserved for wide tasks; no change until recovery has ended."""
        if self._reserver is None or not self._term.ready:
            return
        previous = placement_input.reservations
        placement_input.reservations = self._reserver.update(
            at_us,
            lambda machine: is_schedulable(machine, at_us, self._term.silence_us),
            ((entry.machine, entry.job_id) for entry in self.reclaims.entries()),
        )
        if placement_input.reservations is not previous:
            for name, job_id in placement_input.reservations.machines.items():
                if name not in previous.machines:
                    log.info("machine %s is reserved for job %s", name, job_id)

    async def load_backlog(self) -> None:
        """Sort all waiting jobs in batches, while recovery still collects the running tasks."""
        backlog = self.placement_input().backlog
        has_more = True
        while has_more:
            has_more = backlog.load_batch(now_us(), LOAD_BATCH_SIZE)
            await asyncio.sleep(0)

    async def run_placement(self) -> None:
        """Place tasks whenever a change requires it; a background task."""
        while True:
            await self._term.placement_wanted.wait()
            self._term.placement_wanted.clear()
            self._place_measured()
            pause_us = self._term.tunables.placement_pause_us
            if not self._term.ready:
                pause_us = max(pause_us, PARTIAL_VIEW_PAUSE_US)
            await self.loop_budget.pause("placement", LoopPriority.PLACEMENT, pause_us)

    def _place_measured(self) -> None:
        with self.loop_budget.measure("placement"):
            self.place()

    def place(self) -> None:
        """Run one placement pass and start the tasks that it has placed."""
        if not self._term.is_valid:
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
            # The failed pass may have lost change notifications that it had read: the next pass
            # creates a new input.
            placement_input.close()
            self.current_input = None
            raise
        self.last_plan = plan
        machines_by_name: dict[str, Machine] = {}
        for start in plan.starts:
            if self._term.cluster.has_orphan(f"{start.job.id}/{start.index}"):
                # An orphaned attempt of the task may still run, since its kill may be lost.
                continue
            self._term.cluster.start(start.job, start.index, start.machine, at_us)
            self.reclaims.record_grant(start.job.id, start.machine.name)
            machines_by_name[start.machine.name] = start.machine
        if plan.starts:
            log.debug("placed %d tasks on %d machines", len(plan.starts), len(machines_by_name))
        if self._term.tunables.direct_runs:
            for machine in machines_by_name.values():
                self._dispatcher.schedule(machine)

    async def run_preemption(self) -> None:
        """Preempt tasks for waiting tasks that found no capacity; a background task."""
        self.preemption_recorder.record_inherited(now_us())
        while True:
            await self.loop_budget.pause(
                "preemptor", LoopPriority.PREEMPTOR, self._term.tunables.preemptor.period_us
            )
            if not self._term.is_valid:
                continue
            self._place_measured()
            with self.loop_budget.measure("preemptor"):
                self._preempt_for_waiting(now_us())

    def _preempt_for_waiting(self, at_us: int) -> None:
        """Preempt running tasks for jobs whose tasks found no capacity in the last pass."""
        settings = self._term.tunables.preemptor.settings(self._term.silence_us)
        self._trim_reclaims()
        self._escalate_overdue(settings, at_us)
        placement_input = self.current_input
        reclaims = plan_preemptions(
            self._term.cluster,
            self.reclaims,
            self.last_plan,
            self._term.estimates,
            at_us,
            settings,
            self._term.objectives,
            capacity_index=placement_input.capacity_index if placement_input is not None else None,
            reserved_machines=placement_input.reservations.machines
            if placement_input is not None
            else None,
        )
        running = sum(len(job.active) for job in self._term.cluster.active_jobs.values())
        allowed = self._rate_limit.allowed(self._term.ready_us, running, at_us)
        for reclaim in reclaims:
            if allowed is not None:
                if allowed <= 0:
                    # The next run plans this preemption again if it is still needed.
                    self._rate_limit.deferred += 1
                    continue
                allowed -= len(reclaim.victims)
                self._rate_limit.record(len(reclaim.victims))
            self._execute_reclaim(reclaim, at_us)

    def _escalate_overdue(self, settings: PreemptorSettings, at_us: int) -> None:
        """Kill victims that take too long to stop, and remove reclaims that have expired."""
        to_kill, expired = find_overdue_reclaims(self.reclaims, at_us, settings)
        for entry in expired:
            self.reclaims.remove(entry)
        for entry in to_kill:
            entry.hard_kill_requested_us = at_us
            for victim in entry.victims:
                if victim.job.active.get(victim.index) is victim:
                    self.stop(victim, StopRequest.HARD, at_us, "room, overdue")

    def _execute_reclaim(self, reclaim: Reclaim, at_us: int) -> None:
        """Add a reclaim to its job's list and stop the victims."""
        self.reclaims.add(reclaim)
        claimant = self._term.cluster.jobs[reclaim.job_id]
        for victim in reclaim.victims:
            log.info(
                "preempting task %s (%s, %s) for job %s (%s)",
                victim.task,
                victim.job.spec.priority,
                victim.job.team,
                reclaim.job_id,
                self._priority_and_team(reclaim.job_id),
            )
            if victim.job.spec.gpus > 0:
                self.preemption_recorder.record(victim, at_us)
            stop = choose_stop_request(claimant, victim.job, self._term.objectives)
            self.stop(victim, stop, at_us, "room")

    def _trim_reclaims(self) -> None:
        """Remove the surplus reclaims of jobs that now have fewer waiting tasks."""
        for job_id in self.reclaims.job_ids():
            job = self._term.cluster.jobs.get(job_id)
            waiting = 0
            if job is not None and self.current_input is not None:
                position = self.current_input.backlog.position_of(job_id)
                waiting = self.last_plan.unplaced.count_for_job(job, position)
            self.reclaims.trim(job_id, waiting)

    def _priority_and_team(self, job_id: str) -> str:
        job = self._term.cluster.jobs[job_id]
        return f"{job.spec.priority}, {job.team}"

    def stop(self, attempt: Attempt, stop: StopRequest, at_us: int, reason: str) -> None:
        """Stop an attempt: release it if it was never sent, otherwise command its worker."""
        machine = self._term.cluster.machines[attempt.machine]
        if request_stop(self._term.cluster, attempt, stop, at_us, reason):
            self._term.placement_wanted.set()
        else:
            self._dispatcher.schedule(machine)
