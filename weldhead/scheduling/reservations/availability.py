"""Estimates of when a machine will have capacity for a task."""

from weldhead.clock import seconds_us
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine, add_tasks, tasks_that_fit
from weldhead.cluster_state.states import StopRequest
from weldhead.scheduling.forecast.run_times import RunTimeEstimates


def estimate_available_us(
    machine: Machine,
    job: Job,
    estimates: RunTimeEstimates,
    at_us: int,
    *,
    cautious: bool = False,
) -> int | None:
    """Estimate when a machine has capacity for one task of a job; None if never.

    The estimate assumes that no other task starts on the machine, and that tasks of a lower
    priority are preempted at once. With ``cautious``, replicas of services are not, and a task that
    has exceeded its estimated run time is expected to exceed it by as much again.
    """
    spec = job.spec
    free = machine.free_amounts()
    if tasks_that_fit(spec, *free):
        return at_us
    ends = [
        (end_us, number, attempt)
        for number, attempt in enumerate(machine.attempts.values())
        if (end_us := _estimate_end_us(attempt, job, estimates, at_us, cautious=cautious))
        is not None
    ]
    ends.sort(key=lambda end: end[:2])
    for end_us, _, attempt in ends:
        add_tasks(free, attempt.job.spec, 1)
        if tasks_that_fit(spec, *free):
            return end_us
    return None


def _estimate_end_us(
    attempt: Attempt,
    job: Job,
    estimates: RunTimeEstimates,
    at_us: int,
    *,
    cautious: bool,
) -> int | None:
    """Estimate when an attempt ends or is preempted by the job; None if it runs indefinitely."""
    spec = attempt.job.spec
    is_preempted = attempt.job.effective_level < job.effective_level and not (
        cautious and spec.is_service
    )
    if attempt.stop_request is not StopRequest.NO or is_preempted:
        return at_us + seconds_us(spec.save_s)
    if spec.is_service:
        return None
    remaining_us = estimates.remaining_us(attempt, at_us)
    if cautious and not remaining_us and attempt.running_since_us:
        # Taken to end at once, tasks that ran for much longer kept others waiting without end.
        remaining_us = max(0, attempt.elapsed_us(at_us) - estimates.task_us(attempt.job))
    return at_us + remaining_us
