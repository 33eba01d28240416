"""Target finish times of jobs, from their deadlines and the objectives of their job class."""

import enum
from bisect import insort
from collections import defaultdict
from collections.abc import Iterable

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.jobs import Job
from weldhead.protocol.settings import Objective

#: A time later than any time that the scheduler computes.
FAR_FUTURE_US = 1 << 62


class Urgency(enum.IntEnum):
    """How urgently a job's waiting tasks need capacity; the most urgent value sorts first."""

    #: The tasks have to start soon to meet the target finish time.
    URGENT = 0
    #: The target finish time will clearly be missed.
    LATE = 1
    #: The laxity of the tasks is at least the caller's patience.
    DEFERRABLE = 2


class ServiceLevelObjectives:
    """The service level objectives in the settings, by job class.

    A class may have several objectives: one time limit for a share of its jobs, and a longer limit
    for a larger share. A job aims at the nearest limit that it can still meet; after it has clearly
    missed one, it has time until the next.
    """

    def __init__(self, objectives: Iterable[Objective]) -> None:
        #: Time limits from the moment the job becomes runnable until it finishes, sorted.
        self._finish_us: dict[str, list[int]] = defaultdict(list)
        #: Time limits from the moment the job becomes runnable until its tasks start, sorted.
        self._wait_us: dict[str, list[int]] = defaultdict(list)
        #: Finish time limits as multiples of the job's own deadline, sorted.
        self._deadline_factors: dict[str, list[float]] = defaultdict(list)
        for objective in objectives:
            name = objective.job_class
            within_us = seconds_us(objective.within_s) if objective.within_s else None
            match objective.kind:
                case "wait" if name and within_us:
                    insort(self._wait_us[name], within_us)
                case "finished" if name and within_us:
                    insort(self._finish_us[name], within_us)
                case "deadline" if name:
                    insort(self._deadline_factors[name], objective.times or 1.0)

    def max_wait_us(self, job: Job) -> int | None:
        """Return the shortest time limit for the start of the job's tasks, if there is any."""
        limits_us = self._wait_us.get(job.spec.job_class)
        return limits_us[0] if limits_us else None

    def laxity_us(self, job: Job, task_us: int, at_us: int) -> int:
        """Return how much longer the job's tasks can wait and still meet the target finish time."""
        return self.target_finish_us(job, task_us, at_us) - at_us - task_us

    def urgency_of(self, job: Job, task_us: int, at_us: int, patience_us: int) -> Urgency:
        """Return how urgently the job's tasks need capacity, by their laxity as in Natjam-R.

        Placement and the preemptor use the same rule: with contradicting rules, one would keep
        starting the tasks that the other stops.
        """
        return self._urgency_by_laxity(
            job, task_us, self.laxity_us(job, task_us, at_us), patience_us
        )

    def _urgency_by_laxity(
        self, job: Job, task_us: int, laxity_us: int, patience_us: int
    ) -> Urgency:
        """Return the urgency of a job with the given laxity."""
        wait_us = self.max_wait_us(job)
        if wait_us is not None and wait_us <= patience_us:
            return Urgency.URGENT
        if laxity_us >= patience_us:
            return Urgency.DEFERRABLE
        # Run time estimates are rough, so only jobs that are late beyond doubt are ranked behind
        # those that can still finish in time.
        return Urgency.URGENT if laxity_us >= -lateness_tolerance_us(task_us) else Urgency.LATE

    def urgency_window(
        self, job: Job, task_us: int, at_us: int, patience_us: int
    ) -> tuple[Urgency, int, int]:
        """Return the urgency, the latest start that is in time, and until when both are valid.

        Until then the laxity of the job shrinks as fast as that of every other job, so the order
        of waiting jobs does not have to be computed again in each pass.
        """
        target_us = self.target_finish_us(job, task_us, at_us)
        start_us = target_us - task_us
        urgency = self._urgency_by_laxity(job, task_us, start_us - at_us, patience_us)
        missed_us = start_us + lateness_tolerance_us(task_us)
        if urgency is Urgency.DEFERRABLE:
            return urgency, start_us, min(start_us - patience_us, missed_us)
        return urgency, start_us, missed_us if at_us <= missed_us else FAR_FUTURE_US

    def target_finish_us(self, job: Job, task_us: int, at_us: int) -> int:
        """Return when the job should finish, on the steady clock.

        Of several limits, the nearest one that can still be met counts, or the latest one if none
        can. The deadlines that the job inherits from its dependents count as limits too. A job
        without any limit should finish 60 s after three times its task run time.
        """
        name = job.spec.job_class
        since_us = job.runnable_since_us
        limits_us = [since_us + wait_us + task_us for wait_us in self._wait_us.get(name, ())]
        limits_us += [since_us + finish_us for finish_us in self._finish_us.get(name, ())]
        limits_us += self.deadlines_us(job)
        limits_us += job.inherited_due_us
        if not limits_us:
            limits_us = [since_us + 3 * task_us + 60 * SECOND_US]
        earliest_us = at_us + task_us - lateness_tolerance_us(task_us)
        attainable_us = [limit_us for limit_us in limits_us if limit_us >= earliest_us]
        return min(attainable_us) if attainable_us else max(limits_us)

    def deadlines_us(self, job: Job) -> list[int]:
        """Return the deadlines of the job itself, on the steady clock.

        The deadline that the user set counts from submission and is multiplied by each factor of
        the job class. The deadline that a calendar sets is added to these.
        """
        calendar_due_us = job.calendar_due_us
        calendar_deadlines_us = [] if calendar_due_us is None else [calendar_due_us]
        if job.spec.deadline_s is None:
            return calendar_deadlines_us
        deadline_us = seconds_us(job.spec.deadline_s)
        factors = self._deadline_factors.get(job.spec.job_class) or (1.0,)
        return [
            *calendar_deadlines_us,
            *(job.first_seen_us + round(deadline_us * factor) for factor in factors),
        ]


def lateness_tolerance_us(task_us: int) -> int:
    """Return by how much a task may seem late and still count as in time.

    Run time estimates are rough, so a third of the estimated run time is tolerated.
    """
    return task_us // 3
