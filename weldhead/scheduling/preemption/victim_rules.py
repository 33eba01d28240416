"""Rules for single victims: their order, their protection, and how they are stopped."""

from dataclasses import dataclass

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.reclaim import Reclaim, ReclaimLists
from weldhead.cluster_state.states import AttemptPhase, StopRequest
from weldhead.quota.amounts import Resource
from weldhead.quota.teams import QuotaAccount
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives

#: A job that waited this long for its first task has that task protected from preemption by
#: higher priority levels. Claims within a team's guarantee ignore the protection.
MIN_PROTECTED_WAIT_US = 120 * SECOND_US


#: The protection of such a first task ends when the task has run this long.
PROTECTED_RUN_TIME_US = 32 * SECOND_US


@dataclass(frozen=True)
class PreemptorSettings:
    """Time limits of the preemptor."""

    #: A victim that has not stopped by then is killed.
    kill_timeout_us: int
    #: A job whose laxity is at least this long claims no capacity outside its team's guarantee.
    claim_patience_us: int
    #: A reclaim request is dropped this long after its victims were to be killed.
    expiry_us: int
    #: A machine that sent no heartbeat for this long gets no tasks.
    silence_us: int


def is_over_guarantee(account: QuotaAccount, team: str, resource: Resource) -> bool:
    """Return whether a team uses more of a resource than its quota guarantees."""
    return account.is_borrowing(team, resource)


def victim_sort_key(attempt: Attempt, estimates: RunTimeEstimates, at_us: int) -> tuple[int, ...]:
    """Return the sort key that orders the tasks of a job, first victim first."""
    if attempt.phase in (AttemptPhase.ASSIGNED, AttemptPhase.PULLING):
        return (0, 0)
    if attempt.job.spec.checkpoint_s > 0:
        return (1, estimates.remaining_us(attempt, at_us))
    return (1, attempt.elapsed_us(at_us))


def is_protected_first_task(attempt: Attempt, at_us: int) -> bool:
    """Return whether a task is the recently started first task of a job that waited long.

    While urgent work keeps arriving, such a job only gets its first task because of its age
    (``scheduling/reservations/unstarted_jobs.py``). Preempting that task right away would make
    the reservation useless.
    """
    job = attempt.job
    if job.spec.tasks < 2 or job.done or len(job.active) > 1 or attempt.adopted:
        return False
    started_us = attempt.running_since_us or at_us
    return (
        at_us - started_us < PROTECTED_RUN_TIME_US
        and started_us - job.runnable_since_us >= MIN_PROTECTED_WAIT_US
    )


def choose_stop_request(
    claimant: Job, victim: Job, objectives: ServiceLevelObjectives
) -> StopRequest:
    """Return whether a victim may save its state before it stops (``SOFT``) or not (``HARD``).

    A victim that takes no checkpoints has nothing to save. A victim whose saving takes at least
    as long as the claimant's tasks are expected to wait at most is killed.
    """
    wait_us = objectives.max_wait_us(claimant)
    if victim.spec.checkpoint_s <= 0 or (
        wait_us is not None and seconds_us(victim.spec.save_s) >= wait_us
    ):
        return StopRequest.HARD
    return StopRequest.SOFT


def find_overdue_reclaims(
    lists: ReclaimLists, at_us: int, settings: PreemptorSettings
) -> tuple[list[Reclaim], list[Reclaim]]:
    """Return the requests whose victims are now to be killed, and the requests to be dropped."""
    to_kill = [
        entry
        for entry in lists.entries()
        if not entry.hard_kill_requested_us
        and at_us - entry.requested_us >= settings.kill_timeout_us
    ]
    expired = [
        entry
        for entry in lists.entries()
        if entry.hard_kill_requested_us
        and at_us - entry.hard_kill_requested_us >= settings.expiry_us
    ]
    return to_kill, expired
