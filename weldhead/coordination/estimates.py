"""Remaining times: the owner's estimate, corrected by what was observed.

Owners' estimates are often wrong by half, and on some days mostly too high or too low. The
ratio of observed to estimated run time is kept per class of jobs and, once a job has
finished tasks of its own, per job.
"""

import math

from weldhead.bookkeeping.jobs import Attempt, Job

#: How many observations the assumption "the estimate is right" weighs as much as.
PRIOR_WEIGHT = 2.0
#: Older observations of a class fade: this share of their weight is kept at each new one.
FADING = 0.97
#: A single observation counts within these bounds (a sick machine, a clock step).
LEAST_RATIO, MOST_RATIO = 0.1, 10.0


class Mean:
    """A fading mean of logarithms of ratios."""

    __slots__ = ("_cached", "total", "weight")

    def __init__(self) -> None:
        self.total = 0.0
        self.weight = 0.0
        #: The last answer and what it was for: it is asked for far more often than it changes.
        self._cached = (0.0, 0.0)

    def add(self, ratio: float, fading: float = 1.0) -> None:
        """Add an observation."""
        self.total = self.total * fading + math.log(ratio)
        self.weight = self.weight * fading + 1.0
        self._cached = (0.0, 0.0)

    def ratio(self, prior: float) -> float:
        """Return the mean ratio, starting from a prior one."""
        if self._cached[0] != prior:
            total = self.total + math.log(prior) * PRIOR_WEIGHT
            self._cached = (prior, math.exp(total / (self.weight + PRIOR_WEIGHT)))
        return self._cached[1]


class Estimates:
    """Observed run times against estimates."""

    def __init__(self) -> None:
        self._classes: dict[str, Mean] = {}
        self._jobs: dict[str, Mean] = {}

    def observe(self, job: Job, run_us: int) -> None:
        """Learn from a completed task."""
        if job.spec.estimate_us <= 0 or run_us <= 0:
            return
        ratio = min(MOST_RATIO, max(LEAST_RATIO, run_us / job.spec.estimate_us))
        self._classes.setdefault(job.spec.job_class, Mean()).add(ratio, FADING)
        self._jobs.setdefault(job.id, Mean()).add(ratio)

    def forget(self, job_id: str) -> None:
        """Drop what was kept for a job that is over."""
        self._jobs.pop(job_id, None)

    def task_us(self, job: Job) -> int:
        """Estimate the whole run time of one of the job's tasks."""
        of_class = self._classes.get(job.spec.job_class)
        ratio = of_class.ratio(1.0) if of_class else 1.0
        of_job = self._jobs.get(job.id)
        if of_job is not None:
            ratio = of_job.ratio(ratio)
        return round(job.spec.estimate_us * ratio)

    def remaining_us(self, attempt: Attempt, at_us: int) -> int:
        """Estimate the remaining run time: the estimate minus the elapsed run, at least 0.

        A task that an earlier leader started is taken to have been half done when adopted.
        """
        task_us = self.task_us(attempt.job)
        if attempt.adopted:
            task_us //= 2
        return max(0, task_us - attempt.elapsed_us(at_us))
