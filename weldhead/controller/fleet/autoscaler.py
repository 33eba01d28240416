"""Runs the autoscaling decisions: rents, drains and returns machines."""

import logging
from typing import TYPE_CHECKING

from weldhead.clock import SECOND_US, now_us, to_seconds
from weldhead.cluster_state.states import StopRequest
from weldhead.controller.fleet.rental_manager import RentalManager
from weldhead.controller.loop_budget import LoopPriority
from weldhead.controller.scheduling_loop.scheduling_loop import SchedulingLoop
from weldhead.controller.term import Term
from weldhead.controller.workers.machine_monitor import MachineMonitor
from weldhead.provisioning.boot_times import BootExpectations
from weldhead.scheduling.autoscaling.consolidation import (
    MachineDrain,
    can_resume_elsewhere,
    plan_consolidation,
)
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand, forecast_lost_tasks
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.scale_in import choose_scale_in_candidates, plan_scale_in
from weldhead.scheduling.autoscaling.scale_out import limit_rentals, plan_scale_out
from weldhead.scheduling.placement.placement_pass import plan_without_starts

if TYPE_CHECKING:
    from weldhead.controller.configuration.gate_keeper import GateKeeper

log = logging.getLogger(__name__)

#: How long after loading the state a new leader waits before it replaces machines that do not
#: answer its status probes.
REPLACEMENT_DELAY_US = 2 * SECOND_US

#: How often the utilization of the fleet is logged.
FLEET_LOG_INTERVAL_US = 10 * SECOND_US


class Autoscaler:
    """Adapts the size of the fleet to the waiting and running work."""

    def __init__(
        self,
        term: Term,
        scheduling_loop: SchedulingLoop,
        rental_manager: RentalManager,
        machine_monitor: MachineMonitor,
        gate_keeper: "GateKeeper | None" = None,
    ) -> None:
        self._term = term
        self._scheduling_loop = scheduling_loop
        self._rental_manager = rental_manager
        self._machine_monitor = machine_monitor
        self._gate_keeper = gate_keeper
        self._logged_summary = ""

    async def run(self) -> None:
        """Scale the fleet periodically, as a background task."""
        last_log_us = 0
        while True:
            await self._scheduling_loop.loop_budget.pause(
                "fleet", LoopPriority.FLEET, self._term.tunables.fleet.period_us
            )
            if not self._term.is_valid:
                continue
            at_us = now_us()
            with self._scheduling_loop.loop_budget.measure("fleet"):
                if at_us >= last_log_us + FLEET_LOG_INTERVAL_US:
                    last_log_us = at_us
                    self._log_fleet()
                    log.info("%s", self._term.describe_authority(at_us))
                    self.audit(at_us)
                if self._term.ready:
                    self._scale(at_us)
                else:
                    self.rent_replacements(at_us)

    def rent_replacements(self, at_us: int) -> None:
        """Rent replacements for machines that do not answer while recovery waits for them.

        If half of the fleet fails together with the controllers, recovery waits for a whole
        lease, and without this call the boots of the replacements would add to that time.
        The call starts no tasks and gives up no machine or task.
        """
        if at_us - self._term.loaded_us < REPLACEMENT_DELAY_US or self._rental_manager.is_busy:
            return
        unanswering = [m for m in self._machine_monitor.live_machines() if not m.reconciled]
        if not unanswering or not all(m.probes_failed for m in unanswering):
            return
        placement_input = self._scheduling_loop.placement_input()
        settings = self._term.tunables.fleet.settings()
        plan = plan_without_starts(placement_input, at_us, settings.max_considered_jobs)
        replacements = [
            m for m in self._term.cluster.machines.values() if m.rented_us >= self._term.loaded_us
        ]
        missing_cpus = sum(m.type.cpus for m in unanswering) - sum(
            m.type.cpus for m in replacements
        )
        missing_cpus -= sum(item.type.cpus * item.count for item in self._rental_manager.pending())
        rentals = plan_scale_out(
            self._term.cluster,
            plan,
            self._term.rental_offers,
            self._term.estimates,
            self._term.objectives,
            at_us,
            settings,
            self._rental_manager.pending(),
            self._term.arrival_rates,
            backlog_size=len(placement_input.backlog),
            silent_machines={m.name for m in unanswering},
        )
        for offer, count in limit_rentals(rentals, missing_cpus).items():
            log.info(
                "%d machines do not answer status probes: renting %d of type %s in %s (spot: %s)",
                len(unanswering), count, offer.type.name, offer.zone, offer.spot)  # fmt: skip
            self._rental_manager.rent(offer, count)

    def audit(self, at_us: int) -> None:
        """Check the backlog for jobs whose changes it missed, and log overruns of the event loop.

        An inconsistent backlog is discarded, so that the next pass rebuilds it from the jobs.
        """
        placement_input = self._scheduling_loop.placement_input()
        placement_input.refresh(at_us)
        inconsistent_job_ids = placement_input.backlog.find_inconsistent_jobs()
        if inconsistent_job_ids:
            log.error(
                "backlog is inconsistent: %d jobs out of order, first %s; rebuilding it",
                len(inconsistent_job_ids), inconsistent_job_ids[0],
            )  # fmt: skip
            placement_input.close()
            self._scheduling_loop.current_input = None
        summary = self._scheduling_loop.loop_budget.summary()
        if summary != self._logged_summary:
            # The counts only grow. Repeating an unchanged summary made an overrun of an hour ago
            # look like current load.
            self._logged_summary = summary
            log.info("event loop: %s", summary)

    def _scale(self, at_us: int) -> None:
        """Run one round of consolidation, scale in and scale out."""
        term = self._term
        settings = term.tunables.fleet.settings()
        silent_machines = self._machine_monitor.machines_at_risk(at_us)
        until_us = at_us + settings.demand_horizon_us
        expected_demand = self._expected_demand(until_us)
        if self._gate_keeper is not None:
            expected_demand += self._gate_keeper.forecast.expected_demand(at_us, until_us)
        expected_demand += forecast_lost_tasks(silent_machines, at_us, term.lease_us)
        self._consolidate(expected_demand, settings, at_us)
        boots = term.boot_history.expectations(
            term.cluster.machines.values(),
            at_us,
            settings.boot_expectation,
            settings.minimum_charge_us,
        )
        self._scale_in(settings, boots, at_us)
        if self._rental_manager.is_busy:
            return
        placement_input = self._scheduling_loop.current_input
        rentals = plan_scale_out(
            term.cluster,
            self._scheduling_loop.last_plan,
            term.rental_offers,
            term.estimates,
            term.objectives,
            at_us,
            settings,
            self._rental_manager.pending(),
            term.arrival_rates,
            expected_demand,
            len(placement_input.backlog) if placement_input is not None else 0,
            {machine.name for machine in silent_machines},
            boots,
            lambda up_us: self._scheduling_loop.wide_task_forecast(
                ((item.type, item.count) for item in self._rental_manager.pending()), up_us
            ),
        )
        for offer, count in rentals.items():
            self._rental_manager.rent(offer, count)

    def _consolidate(
        self, expected_demand: list[ExpectedDemand], settings: FleetSettings, at_us: int
    ) -> None:
        """Mark scale-in candidates, and drain those that can then be returned sooner."""
        term, plan = self._term, self._scheduling_loop.last_plan
        candidates = choose_scale_in_candidates(term.cluster, plan, settings, expected_demand)
        for machine in term.cluster.machines.values():
            machine.scale_in_candidate = machine.name in candidates
        for drain in plan_consolidation(
            term.cluster,
            plan,
            term.estimates,
            at_us,
            settings,
            term.silence_us,
            term.objectives,
        ):
            self._drain(drain, at_us)

    def _scale_in(self, settings: FleetSettings, boots: BootExpectations, at_us: int) -> None:
        """Return idle machines, and machines that never came up."""
        returned = plan_scale_in(self._term.cluster, at_us, settings, boots)
        failed_boots = [machine.name for machine in returned if machine.is_booting]
        if failed_boots:
            log.info(
                "returning %d machines that never came up: %s",
                len(failed_boots),
                ", ".join(failed_boots),
            )
        self._rental_manager.return_machines({m.name: m for m in returned})

    def _expected_demand(self, until_us: int) -> list[ExpectedDemand]:
        """Return the jobs whose dependencies are expected to be done by ``until_us``."""
        return [
            ExpectedDemand(job, job.expected_start_us)
            for job in self._term.dependency_graph.blocked.values()
            if job.expected_start_us is not None
            and job.blocking_gate is None
            and job.expected_start_us <= until_us
            and job.team in self._term.cluster.teams
        ]

    def _drain(self, drain: MachineDrain, at_us: int) -> None:
        """Stop the chosen tasks of a machine, so that they continue on other machines.

        A drained machine gets no new tasks, and is returned when it is empty.
        """
        machine = drain.machine
        log.info(
            "consolidation: draining machine %s by moving %d of %d tasks, returned %.0f s sooner",
            machine.name, len(drain.attempts), len(machine.attempts),
            to_seconds(drain.time_saved_us),
        )  # fmt: skip
        machine.draining = True
        for attempt in drain.attempts:
            stop = StopRequest.SOFT if can_resume_elsewhere(attempt) else StopRequest.HARD
            self._scheduling_loop.stop(attempt, stop, at_us, "moved")

    def _log_fleet(self) -> None:
        """Log how the CPUs of the fleet are used, for operators and for benchmarks.

        ``waiting`` counts the CPUs of all waiting tasks, ``allowed`` those within the quotas.
        """
        cpus = dict.fromkeys(("booting", "free", "assigned", "pulling", "running", "saving"), 0.0)
        cost = 0.0
        for machine in self._term.cluster.machines.values():
            cost += machine.price
            cpus["booting" if machine.is_booting else "free"] += machine.cpus
            for attempt in machine.attempts.values():
                cpus[attempt.phase.value] += attempt.job.spec.cpus
        waiting = sum(job.waiting * job.spec.cpus for job in self._term.cluster.jobs.values())
        log.info(
            "fleet: %d machines at %.2f an hour; cpus: %s, waiting %.0f, allowed %.0f",
            len(self._term.cluster.machines),
            cost,
            ", ".join(f"{name} {amount:.0f}" for name, amount in cpus.items()),
            waiting,
            sum(count * job.spec.cpus for job, count in self._scheduling_loop.last_plan.unplaced),
        )
        self._log_gpus()

    def _log_gpus(self) -> None:
        """Log how the GPUs of the fleet are used, if the fleet has any.

        GPUs are ``bare`` if their machine has no whole free CPU left.
        """
        machines = [m for m in self._term.cluster.machines.values() if m.type.gpus > 0]
        if not machines:
            return
        names = ("booting", "free", "bare", "assigned", "pulling", "running", "saving")
        gpus = dict.fromkeys(names, 0.0)
        for machine in machines:
            state = "booting" if machine.is_booting else "free" if machine.cpus >= 1.0 else "bare"
            gpus[state] += machine.gpus
            for attempt in machine.attempts.values():
                gpus[attempt.phase.value] += attempt.job.spec.gpus
        unplaced = [
            (job, n) for job, n in self._scheduling_loop.last_plan.unplaced if job.spec.gpus > 0
        ]
        log.info(
            "gpus: %s, allowed %.0f of %d jobs",
            ", ".join(f"{name} {amount:.0f}" for name, amount in gpus.items()),
            sum(count * job.spec.gpus for job, count in unplaced),
            len(unplaced),
        )
