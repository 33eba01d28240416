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

#: The first task of a job that waited for so long is not stopped for higher priorities' sake
#: (a guarantee's apart) before it has run for so long.
WAITED_US = 120 * SECOND_US


BEGUN_US = 32 * SECOND_US


@dataclass(frozen=True)
class PreemptorSettings:
    """Times of the preemptor."""

    kill_timeout_us: int
    claim_patience_us: int
    expiry_us: int
    silence_us: int


def over_guarantee(account: QuotaAccount, team: str, resource: Resource) -> bool:
    """Whether a team runs more of a resource than it is guaranteed."""
    return account.borrows(team, resource)


def victim_key(attempt: Attempt, estimates: RunTimeEstimates, at_us: int) -> tuple[int, ...]:
    """Sort a job's tasks, the first one stops first."""
    if attempt.phase in (AttemptPhase.ASSIGNED, AttemptPhase.PULLING):
        return (0, 0)
    if attempt.job.spec.checkpoint_s > 0:
        return (1, estimates.remaining_us(attempt, at_us))
    return (1, attempt.elapsed_us(at_us))


def just_begun(attempt: Attempt, at_us: int) -> bool:
    """Whether it is the first task of a job that waited for long, and has run for a moment.

    Where work that presses keeps arriving, such a job begins by its age (``holding.py``). Were
    its task stopped at once, that would have been for nothing.
    """
    job = attempt.job
    if job.spec.tasks < 2 or job.done or len(job.active) > 1 or attempt.adopted:
        return False
    begun_us = attempt.running_since_us or at_us
    return at_us - begun_us < BEGUN_US and begun_us - job.runnable_since_us >= WAITED_US


def stop_for(claimant: Job, victim: Job, objectives: ServiceLevelObjectives) -> StopRequest:
    """Whether a victim may save first: not if the claimant's start cannot wait for that."""
    wait_us = objectives.wait_us(claimant)
    if victim.spec.checkpoint_s <= 0 or (
        wait_us is not None and seconds_us(victim.spec.save_s) >= wait_us
    ):
        return StopRequest.HARD
    return StopRequest.SOFT


def overdue(
    lists: ReclaimLists, at_us: int, settings: PreemptorSettings
) -> tuple[list[Reclaim], list[Reclaim]]:
    """Return entries whose victims are to be killed hard, and entries to be given up."""
    hard = [
        entry
        for entry in lists.entries()
        if not entry.hard_kill_us and at_us - entry.requested_us >= settings.kill_timeout_us
    ]
    expired = [
        entry
        for entry in lists.entries()
        if entry.hard_kill_us and at_us - entry.hard_kill_us >= settings.expiry_us
    ]
    return hard, expired
