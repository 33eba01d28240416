"""When each job ought to be finished, from its deadline or what is expected of its class."""

import enum
from bisect import insort
from collections import defaultdict
from collections.abc import Iterable

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.jobs import Job
from weldhead.protocol.settings import Objective

#: Later than any time that is reckoned with.
FOR_EVER_US = 1 << 62


class Urgency(enum.IntEnum):
    """How urgently a job's waiting tasks need room, most urgent first."""

    PRESSING = 0
    LATE = 1
    PATIENT = 2


class ServiceLevelObjectives:
    """The users' expectations, as the settings state them.

    Several may be stated of a class: a share of it by one bound, and more by a later one.
    A job goes for the nearest bound that it can still keep; when it has clearly missed one
    there is time until the next.
    """

    def __init__(self, objectives: Iterable[Objective]) -> None:
        #: Per class, sorted: within what time jobs are to be finished, tasks to be started,
        #: and by how many times their deadline jobs are to be finished.
        self._finish_us: dict[str, list[int]] = defaultdict(list)
        self._wait_us: dict[str, list[int]] = defaultdict(list)
        self._times: dict[str, list[float]] = defaultdict(list)
        for objective in objectives:
            name = objective.job_class
            within_us = seconds_us(objective.within_s) if objective.within_s else None
            match objective.kind:
                case "wait" if name and within_us:
                    insort(self._wait_us[name], within_us)
                case "finished" if name and within_us:
                    insort(self._finish_us[name], within_us)
                case "deadline" if name:
                    insort(self._times[name], objective.times or 1.0)

    def wait_us(self, job: Job) -> int | None:
        """Return within what time the job's tasks are expected to start, if any is stated."""
        bounds = self._wait_us.get(job.spec.job_class)
        return bounds[0] if bounds else None

    def laxity_us(self, job: Job, task_us: int, at_us: int) -> int:
        """Return how long the job's tasks could still wait and be in time."""
        return self.target_us(job, task_us, at_us) - at_us - task_us

    def urgency_of(self, job: Job, task_us: int, at_us: int, patience_us: int) -> Urgency:
        """Say how urgent it is that the job's tasks get room.

        The paper's laxity (Natjam-R), used by placement and preemptor alike: if one gave
        room by a rule that contradicts the other's, jobs would start and stop in a circle.
        """
        return self._urgency_by(job, task_us, self.laxity_us(job, task_us, at_us), patience_us)

    def _urgency_by(self, job: Job, task_us: int, laxity_us: int, patience_us: int) -> Urgency:
        """Say the same of a job that could still wait for so long."""
        wait_us = self.wait_us(job)
        if wait_us is not None and wait_us <= patience_us:
            return Urgency.PRESSING
        if laxity_us >= patience_us:
            return Urgency.PATIENT
        # Estimates are rough: only what is clearly late gives way to what can be in time.
        return Urgency.PRESSING if laxity_us >= -slack_us(task_us) else Urgency.LATE

    def urgency_window(
        self, job: Job, task_us: int, at_us: int, patience_us: int
    ) -> tuple[Urgency, int, int]:
        """Return the press, the latest start that is in time, and until when both stay so.

        While they do, the job's laxity shrinks as time passes, as everybody's does: so the
        order of waiting jobs need not be drawn anew at each look.
        """
        target_us = self.target_us(job, task_us, at_us)
        start_us = target_us - task_us
        press = self._urgency_by(job, task_us, start_us - at_us, patience_us)
        missed_us = start_us + slack_us(task_us)
        if press is Urgency.PATIENT:
            return press, start_us, min(start_us - patience_us, missed_us)
        return press, start_us, missed_us if at_us <= missed_us else FOR_EVER_US

    def target_us(self, job: Job, task_us: int, at_us: int) -> int:
        """Return when the job ought to be finished, on the steady clock.

        Of several bounds the nearest that can still be kept; the last if none can. A job
        that nobody expects anything of ought not to wait much longer than it runs. What is
        expected of the jobs that need it counts as well.
        """
        name = job.spec.job_class
        since_us = job.runnable_since_us
        bounds = [since_us + wait_us + task_us for wait_us in self._wait_us.get(name, ())]
        bounds += [since_us + finish_us for finish_us in self._finish_us.get(name, ())]
        bounds += self.deadlines_us(job)
        bounds += job.inherited_due_us
        if not bounds:
            bounds = [since_us + 3 * task_us + 60 * SECOND_US]
        least_us = at_us + task_us - slack_us(task_us)
        kept = [bound for bound in bounds if bound >= least_us]
        return min(kept) if kept else max(bounds)

    def deadlines_us(self, job: Job) -> list[int]:
        """Return the times of the job's own deadline that count; it runs from submission.

        The instant to which a calendar binds it is one more: whichever comes first and can
        still be kept is gone for.
        """
        bound_us = job.calendar_due_us
        found = [] if bound_us is None else [bound_us]
        if job.spec.deadline_s is None:
            return found
        deadline_us = seconds_us(job.spec.deadline_s)
        times = self._times.get(job.spec.job_class) or (1.0,)
        return [*found, *(job.first_seen_us + round(deadline_us * factor) for factor in times)]


def slack_us(task_us: int) -> int:
    """By how much a task may look late and still be in time, as estimates are rough."""
    return task_us // 3
