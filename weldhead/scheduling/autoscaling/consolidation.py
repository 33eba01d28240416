"""Consolidation: drains machines that are to be returned by moving their tasks elsewhere."""

from dataclasses import dataclass

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import (
    EPSILON,
    Machine,
    add_tasks,
    allocate_tasks,
    tasks_that_fit,
)
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, lateness_tolerance_us
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.placement_plan import PlacementPlan

#: A move that fetches an image must save the minimum time plus this multiple of the fetch time.
FETCH_WEIGHT = 4


#: Extra time that a restarted task must have left, as it may have to fetch its image.
RESTART_MARGIN_US = 15 * SECOND_US


@dataclass(frozen=True)
class MachineDrain:
    """A machine to drain, and the attempts to move from it."""

    machine: Machine
    #: Attempts that resume from a checkpoint or restart on another machine.
    attempts: list[Attempt]
    #: How much sooner the machine can be returned.
    time_saved_us: int


def plan_consolidation(
    cluster: Cluster,
    plan: PlacementPlan,
    estimates: RunTimeEstimates,
    at_us: int,
    settings: FleetSettings,
    silence_us: int,
    objectives: ServiceLevelObjectives | None = None,
) -> list[MachineDrain]:
    """Choose scale-in candidates to drain, those that save the most money first.

    After a backlog, long tasks keep machines that are otherwise empty. A machine is drained only
    while no task waits, only if its tasks fit on machines that are not scale-in candidates, and
    only if it can be returned sooner by at least ``min_drain_saving_us``. Tasks with checkpoints
    resume on another machine; others restart there if little work is lost (``_plan_drain``).
    Machines that have a task's image are preferred; a fetch must save FETCH_WEIGHT times its
    duration as well.
    """
    if plan.unplaced:
        return []
    drains: list[tuple[float, MachineDrain]] = []
    targets: list[tuple[Machine, list[float]]] = []
    for machine in cluster.machines.values():
        if not is_schedulable(machine, at_us, silence_us):
            continue
        if not machine.scale_in_candidate:
            if machine.cpus > EPSILON:
                targets.append((machine, machine.free_amounts()))
        elif machine.attempts:
            drain = _plan_drain(machine, estimates, objectives, at_us, settings.max_lost_work_share)
            if drain is not None and drain.time_saved_us >= settings.min_drain_saving_us:
                drains.append((machine.price * drain.time_saved_us, drain))
    drains.sort(key=lambda item: (-item[0], item[1].machine.name))
    # The fullest machines come first, so that emptier ones can become idle.
    targets.sort(key=lambda item: item[1][0])
    return [
        drain
        for _, drain in drains[: settings.max_drains_per_run]
        if _allocate_on_targets(drain, targets, settings.min_drain_saving_us)
    ]


def can_resume_elsewhere(attempt: Attempt) -> bool:
    """Whether a task saves checkpoints and can resume on another machine by itself."""
    return attempt.job.spec.checkpoint_s > 0 and _can_change_machine(attempt)


def _can_change_machine(attempt: Attempt) -> bool:
    """Whether a task may run on another machine, independently of the job's other tasks."""
    spec = attempt.job.spec
    # A closed gate doesn't stop running tasks, but it would keep a stopped task from restarting.
    is_startable = attempt.job.blocking_gate is None
    return is_startable and not spec.is_service and not spec.one_zone and not spec.spread


def _can_restart_elsewhere(
    attempt: Attempt, estimates: RunTimeEstimates, objectives: ServiceLevelObjectives, at_us: int
) -> bool:
    """Whether a task without checkpoints may restart on another machine and still be in time.

    Only idle-priority tasks without deadlines, own or inherited from dependent jobs, may:
    run-time estimates are too rough for tasks with deadlines and for chains.
    """
    if not _can_change_machine(attempt) or attempt.adopted or attempt.job.effective_level > 0:
        return False
    if attempt.job.due_us is not None or attempt.job.inherited_due_us:
        return False
    job, task_us = attempt.job, estimates.task_us(attempt.job)
    remaining_us = estimates.remaining_us(attempt, at_us)
    target_us = objectives.target_finish_us(job, remaining_us, at_us)
    # The slack allows for the error of run-time estimates.
    return at_us + task_us + lateness_tolerance_us(task_us) + RESTART_MARGIN_US <= target_us


def _plan_drain(
    machine: Machine,
    estimates: RunTimeEstimates,
    objectives: ServiceLevelObjectives | None,
    at_us: int,
    max_lost_work_share: float,
) -> MachineDrain | None:
    """Choose the tasks to move so that a machine can be returned sooner; None: no task can move.

    A task without checkpoints loses the work that it has done. Restarting such tasks is allowed
    if they lose at most ``max_lost_work_share`` of the machine time that the drain saves: a
    burst of long small tasks kept hundreds of CPUs idle for minutes.
    """
    resuming: list[Attempt] = []
    restarting: list[Attempt] = []
    saving_us = staying_us = resuming_us = restarting_us = 0
    lost_cpu_us = 0.0
    for attempt in machine.attempts.values():
        if attempt.phase is not AttemptPhase.RUNNING or attempt.stop_request is not StopRequest.NO:
            return None
        remaining_us = estimates.remaining_us(attempt, at_us)
        if can_resume_elsewhere(attempt):
            resuming.append(attempt)
            resuming_us = max(resuming_us, remaining_us)
            saving_us = max(saving_us, seconds_us(attempt.job.spec.save_s))
        elif objectives is not None and _can_restart_elsewhere(
            attempt, estimates, objectives, at_us
        ):
            restarting.append(attempt)
            restarting_us = max(restarting_us, remaining_us)
            lost_cpu_us += attempt.job.spec.cpus * attempt.elapsed_us(at_us)
        else:
            staying_us = max(staying_us, remaining_us)
    time_saved_us = max(resuming_us, restarting_us) - max(staying_us, saving_us)
    if restarting and lost_cpu_us <= max_lost_work_share * machine.type.cpus * time_saved_us:
        return MachineDrain(machine, resuming + restarting, time_saved_us)
    staying_us = max(staying_us, restarting_us, saving_us)
    return MachineDrain(machine, resuming, resuming_us - staying_us) if resuming else None


def _allocate_on_targets(
    drain: MachineDrain, targets: list[tuple[Machine, list[float]]], min_saving_us: int
) -> bool:
    """Allocate capacity on target machines for a drain's tasks; return whether all of them fit.

    If a task doesn't fit, the capacity allocated for the others is released again.
    """
    allocated: list[tuple[list[float], Job]] = []
    for attempt in drain.attempts:
        job = attempt.job
        # Fetch time of the image and index of the target.
        best: tuple[int, int] | None = None
        for number, (target, remaining) in enumerate(targets):
            if not target.allows(job) or tasks_that_fit(job.spec, *remaining) < 1:
                continue
            if job.spec.image in target.images:
                best = (0, number)
                break
            fetch_us = seconds_us(job.spec.image_gb / (target.type.fetch_gb_per_s or 1.0))
            if drain.time_saved_us - FETCH_WEIGHT * fetch_us >= min_saving_us and (
                best is None or fetch_us < best[0]
            ):
                best = (fetch_us, number)
        if best is None:
            for remaining, other in allocated:
                add_tasks(remaining, other.spec, 1)
            return False
        remaining = targets[best[1]][1]
        allocate_tasks(remaining, job, 1)
        allocated.append((remaining, job))
    return True
