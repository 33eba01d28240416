"""What is kept of failures, and the look that judges by it. No I/O.

``FailureTracker`` belongs to a leader's term; a new leader begins with none, and learns from the
next failures.
"""

from dataclasses import dataclass, field

from weldhead.clock import MILLISECOND_US, SECOND_US
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase
from weldhead.failure_attribution.judgement import (
    FailureEvidence,
    JobHealth,
    is_faulty,
    job_health,
    survived_us,
)

#: When an attempt began is known by reports only: what is to have begun after a failure must
#: have been seen to begin so much later.
ORDER_US = SECOND_US
#: Until a job that has failed has surely been looked at.
REVIEW_US = 300 * MILLISECOND_US
#: Pauses between the tries of a broken job: from one second, doubled each time, up to this.
MOST_PAUSE_US = 60 * SECOND_US
#: A broken job that no machine is left to be tried on has one rented so rarely.
RENT_PAUSE_US = 300 * SECOND_US


@dataclass
class _FailureCount:
    """Failures of one job on one machine."""

    count: int = 0
    last_us: int = 0
    longest_us: int = 0


@dataclass
class _FailingJob:
    """A job of which tasks have failed."""

    job: Job
    standing: JobHealth = JobHealth.SOUND
    tries: int = 0
    last_us: int = 0
    longest_us: int = 0
    #: Machines on which others have succeeded since it failed there.
    on_proven: set[str] = field(default_factory=set)


@dataclass
class FailureReview:
    """What a look came to."""

    #: Machines that are faulty, and were not called so before.
    faulty: list[Machine] = field(default_factory=list)
    #: Jobs whose standing has changed.
    changed: list[tuple[Job, JobHealth]] = field(default_factory=list)


class FailureTracker:
    """Who has failed where."""

    def __init__(self) -> None:
        self._machines: dict[str, dict[str, _FailureCount]] = {}
        self._suspects: dict[str, _FailingJob] = {}
        self._faulty: set[str] = set()

    @property
    def faulty(self) -> frozenset[str]:
        """The machines that have been called faulty."""
        return frozenset(self._faulty)

    def __bool__(self) -> bool:
        return bool(self._machines or self._suspects)

    def record_failure(self, attempt: Attempt, at_us: int) -> None:
        """Note that a task failed by itself, and put its job's next try off if need be."""
        job = attempt.job
        ran_us = at_us - attempt.running_since_us if attempt.running_since_us else 0
        job.failures += 1
        job.failed_machines |= {attempt.machine}
        against = self._machines.setdefault(attempt.machine, {}).setdefault(job.id, _FailureCount())
        suspect = self._suspects.setdefault(job.id, _FailingJob(job))
        against.count += 1
        against.last_us = suspect.last_us = at_us
        against.longest_us = max(against.longest_us, ran_us)
        suspect.longest_us = max(suspect.longest_us, ran_us)
        if suspect.standing is JobHealth.BROKEN:
            pause_us = min(MOST_PAUSE_US, SECOND_US << min(6, suspect.tries))
            suspect.tries += 1
            job.not_before_us = max(job.not_before_us, at_us + pause_us)
        elif not job.done:
            # Judged in a moment, not started as often as can be until then.
            job.not_before_us = max(job.not_before_us, at_us + REVIEW_US)

    def record_success(self, machine: Machine, began_us: int) -> None:
        """A task that began there at that time has completed, or has long not failed."""
        against = self._machines.get(machine.name)
        if not against:
            return
        for job_id, failures in list(against.items()):
            if failures.last_us + ORDER_US <= began_us:
                del against[job_id]
                if job_id in self._suspects:
                    self._suspects[job_id].on_proven.add(machine.name)
        if not against:
            del self._machines[machine.name]

    def review(self, cluster: Cluster) -> FailureReview:
        """Judge everybody of whom something is kept, by what is there now."""
        found = FailureReview()
        for name in list(self._machines):
            machine = cluster.machines.get(name)
            if machine is None:
                del self._machines[name]
            else:
                self._see_survivors(machine)
        self._review_machines(cluster, found)
        for job_id, suspect in list(self._suspects.items()):
            if cluster.jobs.get(job_id) is not suspect.job:
                del self._suspects[job_id]
                continue
            standing = job_health(
                succeeds=_succeeds(cluster, suspect),
                failed_on=len(suspect.job.failed_machines - self._faulty),
                on_proven=len(suspect.on_proven - self._faulty),
            )
            if standing is not suspect.standing:
                suspect.standing = standing
                found.changed.append((suspect.job, standing))
        return found

    def is_stranded(self, job: Job, cluster: Cluster, at_us: int) -> bool:
        """Whether a job that is tried finds no machine to be tried on, and one may be rented.

        Rented for at once where nobody can tell yet; rarely where it has failed everywhere.
        """
        suspect = self._suspects.get(job.id)
        if suspect is None or suspect.standing is JobHealth.SOUND:
            return False
        if suspect.standing is JobHealth.BROKEN and at_us < suspect.last_us + RENT_PAUSE_US:
            return False
        tried = job.failed_machines if suspect.standing is JobHealth.OPEN else frozenset[str]()
        return not any(
            machine.name not in tried
            and not machine.draining
            and not machine.deleting
            and machine.allows(job)
            and machine.type.fits(job.spec)
            for machine in cluster.machines.values()
        )

    def _see_survivors(self, machine: Machine) -> None:
        longest_us = max(a.longest_us for a in self._machines[machine.name].values())
        least_us = survived_us(longest_us)
        for attempt in machine.attempts.values():
            # What a silent machine runs may have failed long ago.
            if (
                attempt.phase is AttemptPhase.RUNNING
                and not attempt.adopted
                and machine.last_heartbeat_us - attempt.running_since_us >= least_us
            ):
                self.record_success(machine, attempt.running_since_us)
                if machine.name not in self._machines:
                    return

    def _review_machines(self, cluster: Cluster, found: FailureReview) -> None:
        alone = sum(not machine.deleting for machine in cluster.machines.values()) == 1
        for name, against in self._machines.items():
            if name in self._faulty:
                continue
            evidence = []
            for job_id, failures in against.items():
                suspect = self._suspects.get(job_id)
                if suspect is None or cluster.jobs.get(job_id) is not suspect.job:
                    continue
                others = suspect.job.failed_machines - self._faulty - {name}
                evidence.append(
                    FailureEvidence(
                        failures.count,
                        _succeeds(cluster, suspect, but_on=name),
                        bool(others) or suspect.standing is JobHealth.BROKEN,
                    )
                )
            if is_faulty(evidence, alone=alone):
                self._faulty.add(name)
                found.faulty.append(cluster.machines[name])


def _succeeds(cluster: Cluster, suspect: _FailingJob, but_on: str = "") -> bool:
    """Whether a task of a job has completed, or has run elsewhere for long without failing."""
    if suspect.job.done:
        return True
    least_us = survived_us(suspect.longest_us)
    return any(
        attempt.phase in (AttemptPhase.RUNNING, AttemptPhase.SAVING)
        and attempt.machine != but_on
        and cluster.machines[attempt.machine].last_heartbeat_us - attempt.running_since_us
        >= least_us
        for attempt in suspect.job.active.values()
    )
