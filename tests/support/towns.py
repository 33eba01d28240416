"""Clusters that change at random."""

import math
import random
from dataclasses import replace

from tests.support.builders import TOKEN, add_job, job_spec, machine_type
from tests.support.reference_decisions import PlainPlan, PlainQueue, plain_reclaims, plain_starts
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.reclaim import ReclaimLists
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.protocol.settings import Objective, Team
from weldhead.scheduling.autoscaling.capacity_forecast import CapacityForecast
from weldhead.scheduling.autoscaling.rental_offers import PendingRental
from weldhead.scheduling.autoscaling.scale_out import default_boot_expectations
from weldhead.scheduling.autoscaling.unmet_demand import DemandForecastInput, forecast_unmet_demand
from weldhead.scheduling.forecast.completion_times import forecast_boots, forecast_finish_us
from weldhead.scheduling.forecast.job_forecasts import BootTracker
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput, PlacementPlan
from weldhead.scheduling.placement.unplaced_tasks import UnplacedTasks
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions
from weldhead.tunables.defaults import Tunables

S = 1_000_000


SILENCE = 6 * S


PATIENCE = 45 * S


GOALS = ServiceLevelObjectives(
    [
        Objective("wait", "prompt", 0.9, 3.0),
        Objective("wait", "soon", 0.9, 30.0),
        Objective("wait", "soon", 0.99, 90.0),
        Objective("finished", "done-by", 0.9, 120.0),
        Objective("deadline", "due", 0.9, times=1.0),
        Objective("deadline", "due", 0.9, times=1.5),
    ]
)


CLASSES = ("prompt", "soon", "done-by", "due", "other")


FLEET = Tunables().fleet.settings()


PREEMPTOR = Tunables().preemptor.settings(SILENCE)


class Town:
    """A cluster that lives: every step changes something, then decides twice."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.now = 100 * S
        self.cluster = Cluster([Team("red", 8, 20), Team("blue", 4, 30), Team("far", 0, 6)], TOKEN)
        self.estimates = RunTimeEstimates()
        self.lists = ReclaimLists()
        self.machines = 0
        self.jobs = 0
        #: In half of the towns jobs are of few kinds, and idle work fills the machines: queues
        #: grow long, and there is somebody to stop.
        self.dense = self.dice.random() < 0.6
        for _ in range(6 if self.dense else self.dice.randint(0, 4)):
            self.add_machine()
            self.add_job()
        self.scene = PlacementInput(self.cluster, self.estimates, GOALS, PATIENCE)
        self.boots = BootTracker(self.cluster.machines)

    # -- changes ---------------------------------------------------------------------------

    def add_dense_job(self) -> None:
        dice = self.dice
        idle = self.jobs < 12 or dice.random() < 0.2
        add_job(
            self.cluster,
            job_spec(
                self.jobs,
                team=dice.choice(("red", "blue")),
                job_class=dice.choice(("other", "due", "soon")),
                priority="idle" if idle else dice.choice(("normal", "high")),
                tasks=dice.choice((1, 3, 8)),
                cpus=dice.choice((1.0, 1.0, 3.0)),
                memory_gb=0.5,
                estimate_s=dice.choice((10.0, 30.0)),
                deadline_s=None if idle else dice.choice((20.0, 60.0, 90.0)),
            ),
            self.now - dice.choice((0, 0, 20 * S)),
        )

    def add_job(self) -> None:
        dice = self.dice
        self.jobs += 1
        if self.dense:
            self.add_dense_job()
            return
        special = dice.random()
        job = add_job(
            self.cluster,
            job_spec(
                self.jobs,
                team=dice.choice(("red", "blue", "blue", "far", "nobody")),
                job_class=dice.choice(CLASSES),
                priority=dice.choice(("idle", "normal", "high", "production")),
                kind="standing" if special < 0.05 else "batch",
                tasks=dice.choice((1, 1, 2, 5, 12)),
                cpus=dice.choice((0.0, 0.5, 1.0, 2.0, 4.0)),
                memory_gb=dice.choice((0.5, 2.0, 7.5)),
                image=dice.choice(("img", "img-2")),
                one_zone=0.05 < special < 0.15,
                spread=0.15 < special < 0.25,
                spot=dice.random() < 0.8,
                zone=dice.choice((None, None, None, "a")),
                types=dice.choice((None, None, ("m4",), ("m8",))),
                estimate_s=dice.choice((5.0, 20.0, 60.0)),
                checkpoint_s=dice.choice((0.0, 10.0)),
                deadline_s=dice.choice((None, 30.0, 100.0, 400.0)),
            ),
            self.now - dice.choice((0, 0, 50 * S)),
        )
        job.inherited_due_us = dice.choice(((), (), (self.now + 60 * S,)))

    def add_machine(self) -> None:
        dice = self.dice
        self.machines += 1
        big = dice.random() < 0.3
        kind = machine_type(
            name="m8" if big else "m4", cpus=8.0 if big else 4.0, boot_s=20.0 if big else 30.0
        )
        name = f"vm-{self.machines:06}"
        machine = Machine(name, kind, dice.choice("ab"), dice.random() < 0.6, self.now)
        self.cluster.machines[name] = machine
        if dice.random() < 0.7:
            self.bring_up(machine)

    def bring_up(self, machine: Machine) -> None:
        machine.notify_changed()
        machine.enrolled = machine.reconciled = True
        machine.newest_message = (1, 1)
        machine.record_heartbeat(self.now, SILENCE)

    def some_machine(self) -> Machine | None:
        machines = list(self.cluster.machines.values())
        return self.dice.choice(machines) if machines else None

    def some_attempt(self) -> Attempt | None:
        attempts = [a for m in self.cluster.machines.values() for a in m.attempts.values()]
        return self.dice.choice(attempts) if attempts else None

    def change(self) -> None:
        dice, cluster = self.dice, self.cluster
        machine, attempt = self.some_machine(), self.some_attempt()
        job = dice.choice(list(cluster.jobs.values())) if cluster.jobs else None
        match dice.randrange(16):
            case 0 | 1:
                self.add_job()
            case 2 | 3:
                self.add_machine()
            case 4 | 5 | 6 if attempt is not None:
                run_us = self.now - (attempt.running_since_us or self.now - S)
                cluster.release(attempt, completed=True)
                self.estimates.observe(attempt.job, dice.choice((run_us, 9 * run_us)))
            case 7 if attempt is not None:
                cluster.release(attempt)
                if dice.random() < 0.5:
                    attempt.job.failed_machines |= {attempt.machine}
                    attempt.job.not_before_us = self.now + 2 * S
            case 8 if attempt is not None:
                request_stop(cluster, attempt, StopRequest.SOFT, self.now, "test")
            case 9 if machine is not None and len(self.cluster.machines) > 5:
                cluster.remove_machine(machine)
            case 10 if machine is not None and machine.is_booting:
                self.bring_up(machine)
            case 11 if machine is not None:
                # Long silent, then heard again: only the hearing tells of it.
                if self.now - machine.last_heartbeat_us < SILENCE:
                    machine.last_heartbeat_us = self.now - 2 * SILENCE
                else:
                    machine.record_heartbeat(self.now, SILENCE)
            case 12 if machine is not None and not self.dense:
                machine.draining = True
            case 13 if job is not None:
                job.cancelled = True
                for held in list(job.active.values()):
                    request_stop(cluster, held, StopRequest.HARD, self.now, "cancelled")
            case 14 if job is not None and not job.active:
                cluster.jobs.remove(job.id)
            case 15 if job is not None:
                job.effective_level = dice.randrange(4)
            case _:
                self.now += dice.choice((S // 10, S, 7 * S, 40 * S))

    # -- decisions -------------------------------------------------------------------------

    def compare_placement(self) -> None:
        plain = plain_starts(self.cluster, self.estimates, GOALS, self.now, SILENCE, PATIENCE)
        plan = plan_pass(self.scene, self.now, SILENCE)
        assert plan.starts == plain.starts
        assert list(plan.unplaced) == plain.listed
        assert bool(plan.unplaced) == bool(plain.listed)
        for start in plan.starts:
            attempt = self.cluster.start(start.job, start.index, start.machine, self.now)
            self.lists.record_grant(start.job.id, start.machine.name)
            if self.dice.random() < 0.9:
                attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, self.now
                start.machine.record_image(start.job.spec.image, start.job.spec.image_gb)
        # Counts are asked for after the starts were entered.
        counts = {job.id: count for job, count in plain.listed}
        backlog = self.scene.backlog
        for job in self.cluster.jobs.values():
            found = plan.unplaced.count_for_job(job, backlog.position_of(job.id))
            assert found == counts.get(job.id, 0)
        expected = plain_reclaims(
            self.cluster, self.lists, plain, self.estimates, self.now, PREEMPTOR, GOALS, 8
        )
        self.compare_missing(plain, plan)
        reclaims = plan_preemptions(
            self.cluster, self.lists, plan, self.estimates, self.now, PREEMPTOR, GOALS, 8,
            self.scene.capacity_index,
        )  # fmt: skip
        assert reclaims == expected
        for reclaim in reclaims:
            self.lists.add(reclaim)
            for victim in reclaim.victims:
                request_stop(self.cluster, victim, StopRequest.SOFT, self.now, "room")

    def compare_missing(self, plain: PlainPlan, plan: PlacementPlan) -> None:
        """Compare before anything is stopped for it, as plan and plain plan count alike then."""
        coming = [PendingRental(machine_type(), self.dice.randint(0, 3))]
        queues = (
            CapacityForecast(
                self.cluster, coming, self.estimates, self.now, default_boot_expectations(FLEET)
            ),
            PlainQueue(self.cluster, coming, self.estimates, self.now, FLEET),
        )
        rest = (self.estimates, GOALS, FLEET, self.now, 20 * S, lambda job: 1.5)
        given = DemandForecastInput(self.cluster, plan, *rest)
        found = forecast_unmet_demand(given, queues[0])
        listed = PlacementPlan(unplaced=UnplacedTasks(plain.listed))
        expected = forecast_unmet_demand(replace(given, plan=listed), queues[1])
        assert found.deferrable == expected.deferrable
        assert found.urgent == expected.urgent
        assert math.isclose(found.backlog_cpu_us, expected.backlog_cpu_us, rel_tol=1e-9)

    def compare_forecasts(self) -> None:
        boots = self.boots.forecast()
        plain = forecast_boots(self.cluster.machines.values())
        assert boots == plain
        for job in self.cluster.jobs.values():
            left = [self.estimates.remaining_us(a, self.now) for a in job.active.values()]
            ends_us = job.expected_ends_us(self.estimates.task_us(job), self.now)
            assert ends_us == [self.now + left_us for left_us in left]
            told = forecast_finish_us(self.cluster, job, self.estimates, self.now, boots)
            assert told == forecast_finish_us(self.cluster, job, self.estimates, self.now, plain)
