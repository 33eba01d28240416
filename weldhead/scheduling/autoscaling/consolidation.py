"""Consolidation: emptying machines that are to be returned by moving their tasks."""

from dataclasses import dataclass

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import EPSILON, Machine, tasks_that_fit
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.rental_offers import fill_room
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, lateness_tolerance_us
from weldhead.scheduling.placement.eligibility import is_schedulable
from weldhead.scheduling.placement.placement_plan import PlacementPlan

#: How much sooner, in times of the fetch, a machine must go for a move that costs a fetch.
FETCH_WEIGHT = 4


#: A task that begins anew must be in time by so much more: it may have to fetch its image.
ANEW_US = 15 * SECOND_US


@dataclass(frozen=True)
class MachineDrain:
    """A machine to be emptied, and which of its tasks go on or begin anew elsewhere."""

    machine: Machine
    attempts: list[Attempt]
    #: How much sooner the machine can go.
    gain_us: int


def plan_consolidation(
    cluster: Cluster,
    plan: PlacementPlan,
    estimates: RunTimeEstimates,
    at_us: int,
    settings: FleetSettings,
    silence_us: int,
    objectives: ServiceLevelObjectives | None = None,
) -> list[MachineDrain]:
    """Choose closing machines to be emptied by moving their tasks, the dearest first.

    Only while nothing waits; only to machines that stay; and only if the machine can go
    ``move_worth`` sooner for it. Tasks that save go on there, others begin anew where little
    is lost (``_unloading``). Machines that have the image come first; to fetch it must be
    worth FETCH_WEIGHT times its time. After a backlog long tasks hold machines that are
    otherwise empty.
    """
    if plan.unplaced:
        return []
    closing: list[tuple[float, MachineDrain]] = []
    targets: list[tuple[Machine, list[float]]] = []
    for machine in cluster.machines.values():
        if not is_schedulable(machine, at_us, silence_us):
            continue
        if not machine.scale_in_candidate:
            if machine.cpus > EPSILON:
                targets.append((machine, [machine.cpus, machine.gpus, machine.memory_gb]))
        elif machine.attempts:
            move = _unloading(machine, estimates, objectives, at_us, settings.move_loss)
            if move is not None and move.gain_us >= settings.move_worth_us:
                closing.append((machine.price * move.gain_us, move))
    closing.sort(key=lambda item: (-item[0], item[1].machine.name))
    # Fullest first, so that others stay empty.
    targets.sort(key=lambda item: item[1][0])
    return [
        move
        for _, move in closing[: settings.most_moves]
        if _find_places(move, targets, settings.move_worth_us)
    ]


def movable(attempt: Attempt) -> bool:
    """Whether a task may go on elsewhere at little cost, whatever its job's other tasks do."""
    return attempt.job.spec.checkpoint_s > 0 and _may_move(attempt)


def _may_move(attempt: Attempt) -> bool:
    spec = attempt.job.spec
    # What a gate holds goes on where it runs, and would not start again elsewhere.
    free = attempt.job.blocking_gate is None
    return free and not spec.is_service and not spec.one_zone and not spec.spread


def _may_begin_anew(
    attempt: Attempt, estimates: RunTimeEstimates, objectives: ServiceLevelObjectives, at_us: int
) -> bool:
    """Whether a task that saves nothing may begin anew elsewhere now, and be in time.

    Only idle work that nobody waits for: estimates are too rough for tasks with deadlines and
    of chains.
    """
    if not _may_move(attempt) or attempt.adopted or attempt.job.effective_level > 0:
        return False
    if attempt.job.due_us is not None or attempt.job.inherited_due_us:
        return False
    job, task_us = attempt.job, estimates.task_us(attempt.job)
    remaining_us = estimates.remaining_us(attempt, at_us)
    bound_us = objectives.target_finish_us(job, remaining_us, at_us)
    # As late as estimates are rough, or later still.
    return at_us + task_us + lateness_tolerance_us(task_us) + ANEW_US <= bound_us


def _unloading(
    machine: Machine,
    estimates: RunTimeEstimates,
    objectives: ServiceLevelObjectives | None,
    at_us: int,
    most_loss: float,
) -> MachineDrain | None:
    """Return which tasks would have to leave a machine for it to go sooner; None: nothing helps.

    A task that saves nothing loses what it has run. Where that is a small part of what the
    machine would cost until it ends, it is the cheaper of the two: a burst of long small
    tasks kept hundreds of CPUs idle for minutes.
    """
    leaving: list[Attempt] = []
    anew: list[Attempt] = []
    saving_us = staying_us = leaving_us = anew_us = 0
    lost = 0.0
    for attempt in machine.attempts.values():
        if attempt.phase is not AttemptPhase.RUNNING or attempt.stop_request is not StopRequest.NO:
            return None
        remaining_us = estimates.remaining_us(attempt, at_us)
        if movable(attempt):
            leaving.append(attempt)
            leaving_us = max(leaving_us, remaining_us)
            saving_us = max(saving_us, seconds_us(attempt.job.spec.save_s))
        elif objectives is not None and _may_begin_anew(attempt, estimates, objectives, at_us):
            anew.append(attempt)
            anew_us = max(anew_us, remaining_us)
            lost += attempt.job.spec.cpus * attempt.elapsed_us(at_us)
        else:
            staying_us = max(staying_us, remaining_us)
    gain_us = max(leaving_us, anew_us) - max(staying_us, saving_us)
    if anew and lost <= most_loss * machine.type.cpus * gain_us:
        return MachineDrain(machine, leaving + anew, gain_us)
    staying_us = max(staying_us, anew_us, saving_us)
    return MachineDrain(machine, leaving, leaving_us - staying_us) if leaving else None


def _find_places(
    move: MachineDrain, targets: list[tuple[Machine, list[float]]], worth_us: int
) -> bool:
    """Whether all that is to leave fits elsewhere; if so its room is taken there."""
    taken: list[tuple[list[float], Job]] = []
    for attempt in move.attempts:
        job = attempt.job
        best: tuple[int, int] | None = None
        for number, (target, room) in enumerate(targets):
            if not target.allows(job) or tasks_that_fit(job.spec, *room) < 1:
                continue
            if job.spec.image in target.images:
                best = (0, number)
                break
            fetch_us = seconds_us(job.spec.image_gb / (target.type.fetch_gb_per_s or 1.0))
            if move.gain_us - FETCH_WEIGHT * fetch_us >= worth_us and (
                best is None or fetch_us < best[0]
            ):
                best = (fetch_us, number)
        if best is None:
            for room, other in taken:
                room[0] += other.spec.cpus
                room[1] += other.spec.gpus
                room[2] += other.spec.memory_gb
            return False
        room = targets[best[1]][1]
        fill_room(room, job, 1)
        taken.append((room, job))
    return True
