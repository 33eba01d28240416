"""Remaining times: the owner's estimate, corrected by what was observed.

Owners' estimates are often wrong by half, and on some days mostly too high or too low. The
ratio of observed to estimated run time is kept per class of jobs and, once a job has
finished tasks of its own, per job.
"""

import math

from weldhead.cluster_state.jobs import Attempt, Job

#: How many observations the assumption "the estimate is right" weighs as much as.
PRIOR_WEIGHT = 2.0
#: Older observations of a class fade: this share of their weight is kept at each new one.
FADING = 0.97
#: The order of waiting jobs follows the mean of a class when it has moved by this share.
TOLD_STEP = 0.02
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


class RunTimeEstimates:
    """Run time estimates, corrected by what was observed."""

    def __init__(self) -> None:
        self._classes: dict[str, Mean] = {}
        self._jobs: dict[str, Mean] = {}
        #: What is told of each class: its mean ratio, as it was when it last moved clearly.
        self._published: dict[str, float] = {}
        #: Counts the changes of what is told, per class.
        self.versions: dict[str, int] = {}

    def observe(self, job: Job, run_us: int) -> None:
        """Learn from a completed task."""
        if job.spec.estimate_us <= 0 or run_us <= 0:
            return
        ratio = min(MOST_RATIO, max(LEAST_RATIO, run_us / job.spec.estimate_us))
        name = job.spec.job_class
        of_class = self._classes.setdefault(name, Mean())
        of_class.add(ratio, FADING)
        self._jobs.setdefault(job.id, Mean()).add(ratio)
        self._publish(name, of_class)
        job.notify_changed()

    def _publish(self, name: str, of_class: Mean) -> None:
        fresh, told = of_class.ratio(1.0), self._published.get(name)
        if told is None or abs(fresh - told) > TOLD_STEP * told:
            # Every waiting job of the class has to be put in order anew: not at each task.
            self._published[name] = fresh
            self.versions[name] = self.versions.get(name, 0) + 1

    def export(self, name: str) -> tuple[float, float] | None:
        """Return what was seen of a class, for ``restore`` in a later term."""
        of_class = self._classes.get(name)
        return (round(of_class.total, 4), round(of_class.weight, 2)) if of_class else None

    def restore(self, name: str, total: float, weight: float) -> None:
        """Take up what was seen of a class in an earlier term."""
        if name not in self._classes and weight > 0:
            of_class = self._classes[name] = Mean()
            of_class.total, of_class.weight = total, weight
            self._publish(name, of_class)

    def forget(self, job_id: str) -> None:
        """Drop what was kept for a job that is over."""
        self._jobs.pop(job_id, None)

    def has_observations(self, job: Job) -> bool:
        """Whether any task of the job or of its class was seen to end."""
        return job.id in self._jobs or job.spec.job_class in self._classes

    def task_us(self, job: Job) -> int:
        """Estimate the whole run time of one of the job's tasks."""
        of_class = self._classes.get(job.spec.job_class)
        return self._by_job(job, of_class.ratio(1.0) if of_class else 1.0)

    def order_us(self, job: Job) -> int:
        """Return the same as it was when its class's mean last moved clearly.

        Waiting jobs are put in order by this: else the end of each task would put all jobs
        of its class in their places anew.
        """
        return self._by_job(job, self._published.get(job.spec.job_class, 1.0))

    def _by_job(self, job: Job, ratio: float) -> int:
        of_job = self._jobs.get(job.id)
        if of_job is not None:
            ratio = of_job.ratio(ratio)
        return round(job.spec.estimate_us * ratio)

    def remaining_us(self, attempt: Attempt, at_us: int) -> int:
        """Estimate the remaining run time: the estimate minus the elapsed run, at least 0."""
        return attempt.remaining_us(self.task_us(attempt.job), at_us)
