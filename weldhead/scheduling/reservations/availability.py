"""When a machine will have capacity for a task."""

from weldhead.clock import seconds_us
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine, tasks_that_fit
from weldhead.cluster_state.states import StopRequest
from weldhead.scheduling.forecast.run_times import RunTimeEstimates


def room_us(machine: Machine, job: Job, estimates: RunTimeEstimates, at_us: int) -> int | None:
    """Estimate when what runs on a machine leaves room for a task of the job; None: never.

    Nothing else starts there. Work of a lower priority gives way at once.
    """
    spec = job.spec
    cpus, gpus, memory_gb = machine.cpus, machine.gpus, machine.memory_gb
    if tasks_that_fit(spec, cpus, gpus, memory_gb):
        return at_us
    ends = [
        (end_us, number, attempt)
        for number, attempt in enumerate(machine.attempts.values())
        if (end_us := _end_us(attempt, job, estimates, at_us)) is not None
    ]
    ends.sort(key=lambda end: end[:2])
    for end_us, _, attempt in ends:
        cpus += attempt.job.spec.cpus
        gpus += attempt.job.spec.gpus
        memory_gb += attempt.job.spec.memory_gb
        if tasks_that_fit(spec, cpus, gpus, memory_gb):
            return end_us
    return None


def _end_us(attempt: Attempt, job: Job, estimates: RunTimeEstimates, at_us: int) -> int | None:
    """Estimate when an attempt leaves its machine to the job; None: it does not by itself."""
    spec = attempt.job.spec
    if (
        attempt.stop_request is not StopRequest.NO
        or attempt.job.effective_level < job.effective_level
    ):
        return at_us + seconds_us(spec.save_s)
    if spec.is_service:
        return None
    return at_us + estimates.remaining_us(attempt, at_us)
