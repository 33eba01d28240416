"""When each job ought to be finished, from its deadline or what is expected of its class."""

from collections.abc import Iterable

from weldhead.bookkeeping.jobs import Job
from weldhead.clock import SECOND_US, seconds_us
from weldhead.protocol.settings import Objective


class Goals:
    """The users' expectations, as the settings state them."""

    def __init__(self, objectives: Iterable[Objective]) -> None:
        self._within_us: dict[str, int] = {}
        for objective in objectives:
            if objective.kind == "finished" and objective.job_class and objective.within_s:
                within_us = seconds_us(objective.within_s)
                known_us = self._within_us.get(objective.job_class, within_us)
                # Of several, the tightest: whoever meets it meets the others.
                self._within_us[objective.job_class] = min(known_us, within_us)

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
