"""Estimates of task run times: the owner's estimate, corrected by observed run times.

Owners' estimates are often wrong by half, and on some days mostly too high or mostly too low. The
ratio of observed to estimated run time is tracked per job class and, after a job has completed
tasks of its own, per job.
"""

import math

from weldhead.cluster_state.jobs import Attempt, Job

#: The assumption that an estimate is right weighs as much as this many observations.
PRIOR_WEIGHT = 2.0
#: Share of their weight that earlier observations of a class keep at each new observation.
CLASS_WEIGHT_DECAY = 0.97
#: The mean ratio of a class is published again when it has changed by more than this share.
MIN_PUBLISHED_CHANGE = 0.02
#: Single observations are clamped to these bounds, against faulty machines and clock steps.
MIN_RATIO, MAX_RATIO = 0.1, 10.0


class RatioMean:
    """A decaying geometric mean of ratios."""

    __slots__ = ("_cached", "total", "weight")

    def __init__(self) -> None:
        #: Weighted sum of the logarithms of the observed ratios.
        self.total = 0.0
        self.weight = 0.0
        #: The last prior ratio and its result; the mean is read far more often than it changes.
        self._cached = (0.0, 0.0)

    def add(self, ratio: float, decay: float = 1.0) -> None:
        """Add an observation, after multiplying the weight of earlier ones by ``decay``."""
        self.total = self.total * decay + math.log(ratio)
        self.weight = self.weight * decay + 1.0
        self._cached = (0.0, 0.0)

    def ratio(self, prior: float) -> float:
        """Return the mean ratio; ``prior`` counts as ``PRIOR_WEIGHT`` observations."""
        if self._cached[0] != prior:
            total = self.total + math.log(prior) * PRIOR_WEIGHT
            self._cached = (prior, math.exp(total / (self.weight + PRIOR_WEIGHT)))
        return self._cached[1]


class RunTimeEstimates:
    """Run time estimates, corrected by observed run times."""

    def __init__(self) -> None:
        self._classes: dict[str, RatioMean] = {}
        self._jobs: dict[str, RatioMean] = {}
        #: The published ratio of each class: its mean ratio at its last significant change.
        self._published: dict[str, float] = {}
        #: Number of times that each class has published a ratio.
        self.versions: dict[str, int] = {}

    def observe(self, job: Job, run_us: int) -> None:
        """Record the run time of a completed task."""
        if job.spec.estimate_us <= 0 or run_us <= 0:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_us / job.spec.estimate_us))
        class_name = job.spec.job_class
        class_mean = self._classes.setdefault(class_name, RatioMean())
        class_mean.add(ratio, CLASS_WEIGHT_DECAY)
        self._jobs.setdefault(job.id, RatioMean()).add(ratio)
        self._publish(class_name, class_mean)
        job.notify_changed()

    def _publish(self, class_name: str, class_mean: RatioMean) -> None:
        """Publish the mean ratio of a class if it has changed significantly."""
        current, published = class_mean.ratio(1.0), self._published.get(class_name)
        if published is None or abs(current - published) > MIN_PUBLISHED_CHANGE * published:
            # A new ratio reorders every waiting job of the class, which each completed task of
            # the class would otherwise cause.
            self._published[class_name] = current
            self.versions[class_name] = self.versions.get(class_name, 0) + 1

    def export(self, class_name: str) -> tuple[float, float] | None:
        """Return the observations of a class, for ``restore`` in a later leader term."""
        class_mean = self._classes.get(class_name)
        return (round(class_mean.total, 4), round(class_mean.weight, 2)) if class_mean else None

    def restore(self, class_name: str, total: float, weight: float) -> None:
        """Load the observations of a class that an earlier leader term exported."""
        if class_name not in self._classes and weight > 0:
            class_mean = self._classes[class_name] = RatioMean()
            class_mean.total, class_mean.weight = total, weight
            self._publish(class_name, class_mean)

    def forget(self, job_id: str) -> None:
        """Drop the observations of a job that has ended."""
        self._jobs.pop(job_id, None)

    def has_observations(self, job: Job) -> bool:
        """Return whether a run time of the job or of its class has been observed."""
        return job.id in self._jobs or job.spec.job_class in self._classes

    def task_us(self, job: Job) -> int:
        """Estimate the whole run time of one of the job's tasks."""
        class_mean = self._classes.get(job.spec.job_class)
        return self._estimate_us(job, class_mean.ratio(1.0) if class_mean else 1.0)

    def published_task_us(self, job: Job) -> int:
        """Estimate the whole run time of a task like ``task_us``, by the class's published ratio.

        Waiting jobs are ordered by this estimate. By the current ratio, each completed task would
        cause all waiting jobs of its class to be reordered.
        """
        return self._estimate_us(job, self._published.get(job.spec.job_class, 1.0))

    def _estimate_us(self, job: Job, class_ratio: float) -> int:
        """Correct the owner's estimate by the job's own ratio, or else by that of its class."""
        job_mean = self._jobs.get(job.id)
        if job_mean is not None:
            class_ratio = job_mean.ratio(class_ratio)
        return round(job.spec.estimate_us * class_ratio)

    def remaining_us(self, attempt: Attempt, at_us: int) -> int:
        """Estimate the remaining run time: the estimate minus the elapsed run time, at least 0."""
        return attempt.remaining_us(self.task_us(attempt.job), at_us)
