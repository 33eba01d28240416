"""Forecasts when release gates will open, and which jobs will then need machines.

A gate holds the jobs that are bound to it until an edition, which a rebuild job makes, has been
approved and published (``weldhead/gates/gate_state.py``). A *held job* is a job that its gate does
not let start yet. An *action job* is a job that performs one of the actions on a gate, for example
an approval. Held jobs wait for the action jobs of their gate, so each action job inherits the
highest priority and the earliest deadlines of the held jobs.
"""

from collections.abc import Iterator, Mapping
from heapq import nsmallest

from weldhead.clock import SECOND_US
from weldhead.cluster_state.jobs import Job
from weldhead.controller.requests.job_dependencies import JobDependencies
from weldhead.controller.term import Term
from weldhead.gates.gate_tracker import (
    GateTracker,
    combine_inheritance,
    estimate_opening_us,
    urgency_key,
)
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.inherited_priority import MAX_INHERITED_DEADLINES

#: Minimum interval between refreshes of the forecasts while no gate's state changes.
REFRESH_INTERVAL_US = SECOND_US
#: Minimum interval between full recomputations of what the action jobs of a gate inherit, after
#: held jobs have left the gate.
INHERITANCE_RECOMPUTE_INTERVAL_US = 10 * SECOND_US
#: Machines are rented ahead for at most this many held jobs of a gate.
MAX_PRERENTED_JOBS = 200


class GateForecast:
    """Forecasts when the gates open, and which held jobs they then release, in one leader term."""

    def __init__(
        self, term: Term, job_dependencies: JobDependencies, trackers: Mapping[str, GateTracker]
    ) -> None:
        self._term = term
        self._job_dependencies = job_dependencies
        self._trackers = trackers
        #: Jobs that gates have begun to hold since the action jobs last inherited priorities and
        #: deadlines from held jobs.
        self.newly_held_jobs: list[Job] = []
        #: When the forecasts were last refreshed; 0 if a gate's state has changed since.
        self.refreshed_us = 0

    def refresh(self, at_us: int) -> None:
        """Update when gates are expected to open, and what action jobs inherit from held jobs."""
        if at_us < self.refreshed_us + REFRESH_INTERVAL_US:
            return
        self.refreshed_us = at_us
        for tracker in self._trackers.values():
            if tracker.state is None or not (tracker.jobs or tracker.state.pending):
                continue
            jobs = self._term.cluster.jobs
            action_jobs = [jobs[p.job] for p in tracker.state.pending if p.job in jobs]
            tracker.status.reason = tracker.waiting_reason()
            tracker.status.expected_open_us = estimate_opening_us(
                tracker, {a.id: self._expected_end_us(a, at_us) for a in action_jobs}
            )
            self._update_inheritance(tracker, action_jobs, at_us)
        self.newly_held_jobs.clear()

    def _expected_end_us(self, job: Job, at_us: int) -> int | None:
        """Return when an action job is expected to end, or None if that is unknown."""
        if job.unmet_dependencies:
            return (
                None
                if job.expected_start_us is None
                else job.expected_start_us + self._job_dependencies.stage_us(job)
            )
        if job.active and not job.waiting:
            task_us = self._term.estimates.task_us(job)
            return at_us + max(a.remaining_us(task_us, at_us) for a in job.active.values())
        return at_us + self._job_dependencies.stage_us(job)

    def _update_inheritance(self, tracker: GateTracker, action_jobs: list[Job], at_us: int) -> None:
        """Let action jobs inherit the priority and the deadlines of the jobs held by the gate."""
        dependency_graph, objectives = self._term.dependency_graph, self._term.objectives
        if (
            tracker.has_departed_jobs
            and at_us > tracker.inheritance_checked_us + INHERITANCE_RECOMPUTE_INTERVAL_US
        ):
            # A job that left the gate may have had the highest priority or the earliest deadline,
            # so the inherited values are recomputed from all jobs that the gate still holds.
            tracker.has_departed_jobs, tracker.inheritance_checked_us = False, at_us
            for action_job in action_jobs:
                dependency_graph.gate_inheritance.pop(action_job.id, None)
        for action_job in action_jobs:
            previous = dependency_graph.gate_inheritance.get(action_job.id)
            contributions: list[tuple[int, list[int]]] = []
            if previous is not None:
                contributions.append((previous[0], list(previous[1])))
                added_jobs = [
                    j
                    for j in self.newly_held_jobs
                    if j.gate_hold and j.gate_hold.gate == tracker.name
                ]
            else:
                added_jobs = list(held_jobs(tracker))
            for job in added_jobs:
                deadlines_us = (*objectives.deadlines_us(job), *job.inherited_due_us)
                path_us = self._job_dependencies.stage_us(job) if deadlines_us else 0
                contributions.append(
                    (job.effective_level, [due_us - path_us for due_us in deadlines_us])
                )
            inherited = combine_inheritance(contributions, MAX_INHERITED_DEADLINES, at_us)
            if inherited != previous:
                dependency_graph.gate_inheritance[action_job.id] = inherited
                self._job_dependencies.refresh_inherited_priorities([action_job])

    def expected_demand(self, at_us: int, until_us: int) -> list[ExpectedDemand]:
        """Return the held jobs that are expected to be released by ``until_us``.

        Machines may be rented ahead for these jobs. An action job that takes longer than expected
        must not keep machines forever. Machines are therefore rented ahead for a gate during at
        most twice the span from ``at_us`` to ``until_us``, which starts again when the state of the
        gate changes.
        """
        demand: list[ExpectedDemand] = []
        for tracker in self._trackers.values():
            opens_at_us = tracker.status.expected_open_us
            if opens_at_us is None or opens_at_us > until_us:
                continue
            tracker.prerented_since_us = tracker.prerented_since_us or at_us
            if at_us - tracker.prerented_since_us > 2 * (until_us - at_us):
                continue
            teams = self._term.cluster.teams
            ready = (j for j in held_jobs(tracker) if j.team in teams and not j.unmet_dependencies)
            demand += [
                ExpectedDemand(j, opens_at_us)
                for j in nsmallest(MAX_PRERENTED_JOBS, ready, key=urgency_key)
            ]
        return demand


def held_jobs(tracker: GateTracker) -> Iterator[Job]:
    """Iterate over the jobs that a gate holds."""
    return (job for job in tracker.jobs.values() if job.blocking_gate is not None)
