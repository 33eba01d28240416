"""What is expected of gates: when they open, what their acts inherit, whom to rent for."""

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

#: Between two looks at what is expected of the acts under way.
EXPECT_US = SECOND_US
#: Between two looks whether what lent the most to an act is gone.
LENT_US = 10 * SECOND_US
#: For how many jobs of a gate machines are rented ahead at most.
MOST_FORESEEN = 200


class GateForecast:
    """Looks ahead of a term's gates."""

    def __init__(
        self, term: Term, job_dependencies: JobDependencies, trackers: Mapping[str, GateTracker]
    ) -> None:
        self._term = term
        self._linking = job_dependencies
        self._trackers = trackers
        #: Held since the last look at what they lend.
        self.newly_held: list[Job] = []
        #: When it was looked last; 0: something has changed since.
        self.refreshed_us = 0

    def refresh(self, at_us: int) -> None:
        """Expect openings from the acts under way, and lend these what waits for them."""
        if at_us < self.refreshed_us + EXPECT_US:
            return
        self.refreshed_us = at_us
        for tracker in self._trackers.values():
            if tracker.state is None or not (tracker.jobs or tracker.state.pending):
                continue
            jobs = self._term.cluster.jobs
            acts = [jobs[p.job] for p in tracker.state.pending if p.job in jobs]
            tracker.status.reason = tracker.waiting_reason()
            tracker.status.expected_open_us = estimate_opening_us(
                tracker, {a.id: self._end_us(a, at_us) for a in acts}
            )
            self._inherit(tracker, acts, at_us)
        self.newly_held.clear()

    def _end_us(self, job: Job, at_us: int) -> int | None:
        """Return when an act's job is expected to be done; None: it cannot be told."""
        if job.unmet_dependencies:
            return (
                None
                if job.expected_start_us is None
                else job.expected_start_us + self._linking.stage_us(job)
            )
        if job.active and not job.waiting:
            task_us = self._term.estimates.task_us(job)
            return at_us + max(a.remaining_us(task_us, at_us) for a in job.active.values())
        return at_us + self._linking.stage_us(job)

    def _inherit(self, tracker: GateTracker, acts: list[Job], at_us: int) -> None:
        """Let acts count with the priority and the deadlines of what waits for them."""
        dependency_graph, objectives = self._term.dependency_graph, self._term.objectives
        if tracker.has_departed_jobs and at_us > tracker.inheritance_checked_us + LENT_US:
            # Some may have gone that lent the most.
            tracker.has_departed_jobs, tracker.inheritance_checked_us = False, at_us
            for act in acts:
                dependency_graph.gate_inheritance.pop(act.id, None)
        for act in acts:
            before = dependency_graph.gate_inheritance.get(act.id)
            bounds: list[tuple[int, list[int]]] = []
            if before is not None:
                bounds.append((before[0], list(before[1])))
                fresh = [
                    j for j in self.newly_held if j.gate_hold and j.gate_hold.gate == tracker.name
                ]
            else:
                fresh = list(held(tracker))
            for job in fresh:
                ends = (*objectives.deadlines_us(job), *job.inherited_due_us)
                path_us = self._linking.stage_us(job) if ends else 0
                bounds.append((job.effective_level, [end_us - path_us for end_us in ends]))
            now = combine_inheritance(bounds, MAX_INHERITED_DEADLINES, at_us)
            if now != before:
                dependency_graph.gate_inheritance[act.id] = now
                self._linking.refresh_inherited([act])

    def expected_demand(self, at_us: int, until_us: int) -> list[ExpectedDemand]:
        """Return held work that is expected to be released by then; machines may be rented.

        An act that takes longer than expected must not keep machines for ever: they are
        rented ahead for twice the time of foresight at most, until something changes.
        """
        found: list[ExpectedDemand] = []
        for tracker in self._trackers.values():
            starts_us = tracker.status.expected_open_us
            if starts_us is None or starts_us > until_us:
                continue
            tracker.prerented_since_us = tracker.prerented_since_us or at_us
            if at_us - tracker.prerented_since_us > 2 * (until_us - at_us):
                continue
            teams = self._term.cluster.teams
            ready = (j for j in held(tracker) if j.team in teams and not j.unmet_dependencies)
            found += [
                ExpectedDemand(j, starts_us)
                for j in nsmallest(MOST_FORESEEN, ready, key=urgency_key)
            ]
        return found


def held(tracker: GateTracker) -> Iterator[Job]:
    """Iterate over the jobs that a gate holds."""
    return (job for job in tracker.jobs.values() if job.blocking_gate is not None)
