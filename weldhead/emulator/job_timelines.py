"""Who was served by the end of a run: of each class, of each team, and of the largest.

A class or a team counts with the jobs that had time to end: accepted, not cancelled, without
mistake. The largest of a class are its largest tenth, by tasks and by what one task takes.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from weldhead.clock import SECOND_US
from weldhead.protocol.wire import JobSpec

#: What a job takes at most on a day that can serve it: so many run times, and so long.
RUNS = 4
WAIT_US = 60 * SECOND_US
#: The largest jobs begin so long after their acceptance at the latest.
BEGIN_US = 240 * SECOND_US
#: Of a single job nothing follows for its group.
LEAST = 2


@dataclass(frozen=True)
class JobTimeline:
    """One job from its acceptance to the end of the run; 0: that never came."""

    spec: JobSpec
    accepted_us: int
    begun_us: int
    served: bool

    def could_be_served(self, end_us: int) -> bool:
        """Whether there was time."""
        return self.accepted_us + WAIT_US + RUNS * self.spec.estimate_us <= end_us


def largest(jobs: list[JobTimeline], size: Callable[[JobSpec], float]) -> list[JobTimeline]:
    """Return the largest tenth and what is as large as its smallest."""
    sizes = sorted((size(job.spec) for job in jobs), reverse=True)
    least = sizes[max(1, len(sizes) // 10) - 1] if sizes else 0.0
    return [job for job in jobs if size(job.spec) >= least]


def unserved(jobs: Iterable[JobTimeline], end_us: int) -> Iterator[str]:
    """Yield in words what was served too little, or began too late."""
    classes: dict[str, list[JobTimeline]] = defaultdict(list)
    groups: dict[str, list[JobTimeline]] = defaultdict(list)
    for job in jobs:
        classes[job.spec.job_class].append(job)
        groups[f"team {job.spec.team}"].append(job)
    waited_s: dict[str, float] = {}
    for name, members in classes.items():
        groups[f"class {name}"] = members
        for what, size in (("tasks", _tasks), ("CPUs of a task", _cpus)):
            group = groups[f"the largest of {name} by {what}"] = largest(members, size)
            for job in group:
                waited_us = (job.begun_us or end_us) - job.accepted_us
                if waited_us > BEGIN_US:
                    waited_s[job.spec.id] = waited_us / SECOND_US
    yield from (f"{name}, one of the largest: {wait:.0f} s" for name, wait in waited_s.items())
    for name, members in groups.items():
        due = [job for job in members if job.could_be_served(end_us)]
        done = sum(job.served for job in due)
        if len(due) >= LEAST and 2 * done < len(due):
            yield f"{name}: {done} of {len(due)} jobs"


def _tasks(spec: JobSpec) -> float:
    return spec.tasks


def _cpus(spec: JobSpec) -> float:
    return spec.cpus
