"""When each job ought to be finished, from its deadline or what is expected of its class."""

import enum
from collections.abc import Iterable

from weldhead.bookkeeping.jobs import Job
from weldhead.clock import SECOND_US, seconds_us
from weldhead.protocol.settings import Objective


class Press(enum.IntEnum):
    """How urgently a job's waiting tasks need room, most urgent first."""

    PRESSING = 0
    LATE = 1
    PATIENT = 2


class Goals:
    """The users' expectations, as the settings state them."""

    def __init__(self, objectives: Iterable[Objective]) -> None:
        objectives = list(objectives)
        self._within_us: dict[str, int] = {}
        #: Classes whose tasks are expected to start soon.
        self._wait_us: dict[str, int] = {}
        for objective in objectives:
            if objective.kind == "wait" and objective.job_class and objective.within_s:
                wait_us = seconds_us(objective.within_s)
                known_us = self._wait_us.get(objective.job_class, wait_us)
                self._wait_us[objective.job_class] = min(known_us, wait_us)
            if objective.kind == "finished" and objective.job_class and objective.within_s:
                within_us = seconds_us(objective.within_s)
                known_us = self._within_us.get(objective.job_class, within_us)
                # Of several, the tightest: whoever meets it meets the others.
                self._within_us[objective.job_class] = min(known_us, within_us)

    def wait_us(self, job: Job) -> int | None:
        """Return within what time the job's tasks are expected to start, if any is stated."""
        return self._wait_us.get(job.spec.job_class)

    def laxity_us(self, job: Job, task_us: int, at_us: int) -> int:
        """Return how long the job's tasks could still wait and be in time."""
        return self.target_us(job, task_us) - at_us - task_us

    def press(self, job: Job, task_us: int, at_us: int, patience_us: int) -> Press:
        """Say how urgent it is that the job's tasks get room.

        The paper's laxity (Natjam-R), used by placement and preemptor alike: if one gave
        room by a rule that contradicts the other's, jobs would start and stop in a circle.
        """
        if job.spec.job_class in self._wait_us:
            return Press.PRESSING
        laxity_us = self.laxity_us(job, task_us, at_us)
        if laxity_us >= patience_us:
            return Press.PATIENT
        # Estimates are rough: only what is clearly late gives way to what can be in time.
        return Press.PRESSING if laxity_us >= -task_us // 3 else Press.LATE

    def target_us(self, job: Job, task_us: int) -> int:
        """Return when the job ought to be finished, on the steady clock.

        A job that nobody expects anything of ought not to wait much longer than it runs.
        """
        start_us = job.first_seen_us
        if job.spec.deadline_s is not None:
            return start_us + seconds_us(job.spec.deadline_s)
        within_us = self._within_us.get(job.spec.job_class)
        if within_us is not None:
            return start_us + within_us
        return start_us + 3 * task_us + 60 * SECOND_US
