"""Autoscaling: when machines are rented, drained and returned."""

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
from weldhead.scheduling.autoscaling.consolidation import MachineDrain, movable, plan_consolidation
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand, endangered
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.scale_in import choose_scale_in_candidates, plan_scale_in
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out, replacements
from weldhead.scheduling.placement.placement_pass import plan_without_starts

if TYPE_CHECKING:
    from weldhead.controller.configuration.gate_keeper import GateKeeper

log = logging.getLogger(__name__)

#: A new leader rents what replaces machines that have not answered by then.
HIRE_AHEAD_US = 2 * SECOND_US

#: How often the fleet's use is logged.
FLEET_LOG_US = 10 * SECOND_US


class Autoscaler:
    """Keeps the fleet at the size that the work needs."""

    def __init__(
        self,
        term: Term,
        scheduling_loop: SchedulingLoop,
        rentals: RentalManager,
        watch: MachineMonitor,
        gates: "GateKeeper | None" = None,
    ) -> None:
        self._term = term
        self._scheduling_loop = scheduling_loop
        self._rental_manager = rentals
        self._machine_monitor = watch
        self._gate_keeper = gates
        self._logged_summary = ""

    async def run(self) -> None:
        """Scale the fleet again and again; a background task."""
        said_us = 0
        while True:
            await self._scheduling_loop.loop_budget.pause(
                "fleet", LoopPriority.FLEET, self._term.tunables.fleet.period_us
            )
            if not self._term.valid:
                continue
            at_us = now_us()
            with self._scheduling_loop.loop_budget.measure("fleet"):
                if at_us >= said_us + FLEET_LOG_US:
                    said_us = at_us
                    self._log_fleet()
                    self.audit(at_us)
                if self._term.ready:
                    self._scale(at_us)
                else:
                    self.rent_replacements(at_us)

    def rent_replacements(self, at_us: int) -> None:
        """Rent what replaces machines that recovery waits for in vain.

        After half of a fleet died together with its controllers, recovery waits for a whole
        lease, and the boots of what replaces them came on top of it.
        Nothing is started by this, and nothing given up on.
        """
        if at_us - self._term.loaded_us < HIRE_AHEAD_US or self._rental_manager.busy:
            return
        unknown = [m for m in self._machine_monitor.live_machines() if not m.reconciled]
        if not unknown or not all(m.probes_failed for m in unknown):
            return
        placement_input = self._scheduling_loop.placement_input()
        settings = self._term.tunables.fleet.settings()
        plan = plan_without_starts(placement_input, at_us, settings.most_considered)
        fresh = [
            m for m in self._term.cluster.machines.values() if m.rented_us >= self._term.loaded_us
        ]
        missing = sum(m.type.cpus for m in unknown) - sum(m.type.cpus for m in fresh)
        missing -= sum(item.type.cpus * item.count for item in self._rental_manager.pending())
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
            backlog=len(placement_input.backlog),
            silent={m.name for m in unknown},
        )
        for offer, count in replacements(rentals, missing).items():
            log.info("%d machines do not answer: %d of %s asked for in %s (spot: %s)",
                len(unknown), count, offer.type.name, offer.zone, offer.spot)  # fmt: skip
            self._rental_manager.rent(offer, count)

    def audit(self, at_us: int) -> None:
        """See that no waiting job was lost observation of, and say what the loop suffered from."""
        placement_input = self._scheduling_loop.placement_input()
        placement_input.refresh(at_us)
        strays = placement_input.backlog.find_inconsistent_jobs()
        if strays:
            log.error(
                "%d jobs were out of order, %s first; the order is made anew",
                len(strays), strays[0],
            )  # fmt: skip
            placement_input.close()
            self._scheduling_loop.current_input = None
        summary = self._scheduling_loop.loop_budget.summary()
        if summary != self._logged_summary:
            # The counts only grow: repeated each time, an hour-old one looked like a load.
            self._logged_summary = summary
            log.info("event loop: %s", summary)

    def _scale(self, at_us: int) -> None:
        """Decide once what to rent, what to return, and what to drain."""
        term = self._term
        settings = term.tunables.fleet.settings()
        silent = self._machine_monitor.machines_at_risk(at_us)
        until_us = at_us + settings.foresight_us
        expected = self._expected_demand(until_us)
        if self._gate_keeper is not None:
            expected += self._gate_keeper.forecast.expected_demand(at_us, until_us)
        expected += endangered(silent, at_us, term.lease_us)
        self._consolidate(expected, settings, at_us)
        boots = term.boot_history.expectations(
            term.cluster.machines.values(), at_us, settings.boots, settings.minimum_charge_us
        )
        self._scale_in(settings, boots, at_us)
        if self._rental_manager.busy:
            return
        current = self._scheduling_loop.current_input
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
            expected,
            len(current.backlog) if current is not None else 0,
            {machine.name for machine in silent},
            boots,
            lambda up_us: self._scheduling_loop.wide_task_forecast(
                ((item.type, item.count) for item in self._rental_manager.pending()), up_us
            ),
        )
        for offer, count in rentals.items():
            self._rental_manager.rent(offer, count)

    def _consolidate(
        self, expected: list[ExpectedDemand], settings: FleetSettings, at_us: int
    ) -> None:
        """Mark machines that are no longer needed, and drain those that can go sooner for it."""
        term, plan = self._term, self._scheduling_loop.last_plan
        candidates = choose_scale_in_candidates(term.cluster, plan, settings, expected)
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
        """Return idle machines, and those that never came up."""
        returned = plan_scale_in(self._term.cluster, at_us, settings, boots)
        hopeless = [machine.name for machine in returned if machine.is_booting]
        if hopeless:
            log.info("%d machines never came up: %s", len(hopeless), ", ".join(hopeless))
        self._rental_manager.return_machines({m.name: m for m in returned})

    def _expected_demand(self, until_us: int) -> list[ExpectedDemand]:
        """Return the jobs that are expected to wait for nothing more by then."""
        return [
            ExpectedDemand(job, job.expected_start_us)
            for job in self._term.dependency_graph.blocked.values()
            if job.expected_start_us is not None
            and job.blocking_gate is None
            and job.expected_start_us <= until_us
            and job.team in self._term.cluster.teams
        ]

    def _drain(self, move: MachineDrain, at_us: int) -> None:
        """Have a machine's tasks go on or begin anew elsewhere; it is returned when empty."""
        machine = move.machine
        log.info(
            "consolidation: draining machine %s, %d of %d tasks, %.0f s sooner",
            machine.name, len(move.attempts), len(machine.attempts), to_seconds(move.gain_us),
        )  # fmt: skip
        machine.draining = True
        for attempt in move.attempts:
            stop = StopRequest.SOFT if movable(attempt) else StopRequest.HARD
            self._scheduling_loop.stop(attempt, stop, at_us, "moved")

    def _log_fleet(self) -> None:
        """Say how the fleet's CPUs are used, for operators and for measured rounds."""
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
        """Say how the fleet's cards are used, where it has any; ``bare`` machines have no CPUs."""
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
