"""Tracks task failures and reviews which machines and jobs are faulty. No I/O.

``FailureTracker`` belongs to a leader's term: a new leader starts without any failures, and
learns from the next ones.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from weldhead.clock import MILLISECOND_US, SECOND_US
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase
from weldhead.failure_attribution.judgement import (
    FailureEvidence,
    JobHealth,
    assess_job,
    count_telling_machines,
    is_machine_faulty,
    is_machine_suspect,
    required_survival_us,
)

#: The start of an attempt is known from heartbeats only. An attempt counts as started after a
#: failure if its start was reported at least this much later.
START_TIME_UNCERTAINTY_US = SECOND_US
#: A job whose task has failed is reviewed within this time.
REVIEW_DELAY_US = 300 * MILLISECOND_US
#: Retry delays of a faulty job grow from one second, doubled each time, to this maximum.
MAX_RETRY_DELAY_US = 60 * SECOND_US
#: An undetermined job without room elsewhere is tried again on a machine where it failed after
#: this time, doubled with each failure up to ``MAX_RETRY_DELAY_US``.
MIN_SAME_MACHINE_DELAY_US = 10 * SECOND_US
#: A failing job that has waited this long for room on the machines left to try it on is stranded.
MAX_WAIT_FOR_ROOM_US = 30 * SECOND_US
#: A faulty job that failed on every machine it can be tried on may get another one so long after
#: its first failure on the last of them.
RETRIAL_DELAY_US = 600 * SECOND_US
#: The time after a faulty job's last failure after which a machine may be rented for it if it can
#: be tried on none.
MIN_RENTAL_DELAY_US = 300 * SECOND_US


@dataclass
class _FailureCount:
    """Failures of one job on one machine."""

    count: int = 0
    first_us: int = 0
    last_us: int = 0
    longest_us: int = 0


@dataclass
class _FailingJob:
    """A job whose tasks have failed."""

    job: Job
    health: JobHealth = JobHealth.HEALTHY
    #: Number of failures since the job was found faulty.
    retries: int = 0
    last_us: int = 0
    #: When it last failed on a machine on which it had not failed before.
    new_machine_us: int = 0
    longest_us: int = 0
    #: Machines on which a task has succeeded after this job failed there.
    proven_machines: set[str] = field(default_factory=set)


@dataclass
class FailureReview:
    """The changes that a review found."""

    #: Machines that this review found faulty.
    faulty_machines: list[Machine] = field(default_factory=list)
    #: Jobs whose health has changed.
    changed_jobs: list[tuple[Job, JobHealth]] = field(default_factory=list)


class FailureTracker:
    """Task failures by machine and job, and the machines and jobs found faulty."""

    def __init__(self) -> None:
        self._failures_by_machine: dict[str, dict[str, _FailureCount]] = {}
        self._failing_jobs: dict[str, _FailingJob] = {}
        self._faulty_machines: set[str] = set()
        self._last_failure_us = 0

    @property
    def faulty_machines(self) -> frozenset[str]:
        """The names of the machines that have been found faulty."""
        return frozenset(self._faulty_machines)

    def __bool__(self) -> bool:
        return bool(self._failures_by_machine or self._failing_jobs)

    def record_failure(self, attempt: Attempt, at_us: int) -> None:
        """Record that a task failed by itself, and delay the job's next start."""
        job = attempt.job
        ran_us = at_us - attempt.running_since_us if attempt.running_since_us else 0
        job.failures += 1
        is_new_machine = attempt.machine not in job.failed_machines
        job.failed_machines |= {attempt.machine}
        same_machine_delay_us = MIN_SAME_MACHINE_DELAY_US << min(6, job.failures - 1)
        job.retry_failed_us = at_us + min(MAX_RETRY_DELAY_US, same_machine_delay_us)
        failures = self._failures_by_machine.setdefault(attempt.machine, {}).setdefault(
            job.id, _FailureCount()
        )
        failing_job = self._failing_jobs.setdefault(job.id, _FailingJob(job))
        failures.count += 1
        failures.first_us = failures.first_us or at_us
        self._last_failure_us = at_us
        if is_new_machine:
            failing_job.new_machine_us = at_us
        failures.last_us = failing_job.last_us = at_us
        failures.longest_us = max(failures.longest_us, ran_us)
        failing_job.longest_us = max(failing_job.longest_us, ran_us)
        if failing_job.health is JobHealth.FAULTY:
            delay_us = min(MAX_RETRY_DELAY_US, SECOND_US << min(6, failing_job.retries))
            failing_job.retries += 1
            job.not_before_us = max(job.not_before_us, at_us + delay_us)
        elif not job.done:
            # Without a delay, the job's tasks would be restarted many times before the review.
            job.not_before_us = max(job.not_before_us, at_us + REVIEW_DELAY_US)

    def record_success(self, machine: Machine, began_us: int) -> None:
        """Record that a task on a machine succeeded: it completed, or ran long without failing.

        ``began_us`` is when the task started. Earlier failures on the machine are removed.
        """
        failures_by_job = self._failures_by_machine.get(machine.name)
        if not failures_by_job:
            return
        for job_id, failures in list(failures_by_job.items()):
            if failures.last_us + START_TIME_UNCERTAINTY_US <= began_us:
                del failures_by_job[job_id]
                if job_id in self._failing_jobs:
                    self._failing_jobs[job_id].proven_machines.add(machine.name)
        if not failures_by_job:
            del self._failures_by_machine[machine.name]

    def review(self, cluster: Cluster) -> FailureReview:
        """Review all machines and jobs with recorded failures, and return what has changed."""
        review = FailureReview()
        for name in list(self._failures_by_machine):
            machine = cluster.machines.get(name)
            if machine is None:
                del self._failures_by_machine[name]
            else:
                self._record_long_running(machine)
        self._review_machines(cluster, review)
        suspects = self._find_suspect_machines()
        for job_id, failing_job in list(self._failing_jobs.items()):
            if cluster.jobs.get(job_id) is not failing_job.job:
                del self._failing_jobs[job_id]
                continue
            health = assess_job(
                succeeds=_succeeds(cluster, failing_job),
                failed_machines=count_telling_machines(
                    failing_job.job.failed_machines - self._faulty_machines, suspects
                ),
                proven_machines=len(failing_job.proven_machines - self._faulty_machines),
            )
            if health is not failing_job.health:
                failing_job.health = health
                review.changed_jobs.append((failing_job.job, health))
        return review

    def is_stranded(
        self,
        job: Job,
        cluster: Cluster,
        at_us: int,
        held_by_services: Callable[[], Mapping[str, list[float]]] | None = None,
    ) -> bool:
        """Return whether no machine is left to try a failing job on, and one may be rented.

        For an undetermined job a machine may be rented at once; for a faulty job only
        ``MIN_RENTAL_DELAY_US`` after its last failure, or ``RETRIAL_DELAY_US`` after it was last
        tried on a machine that was new to it. A machine that services fill for good is
        none to try the job on, nor are machines that had no room for ``MAX_WAIT_FOR_ROOM_US``.
        ``held_by_services`` returns what services hold, by machine, if a caller has it already.
        """
        failing_job = self._failing_jobs.get(job.id)
        if failing_job is None or failing_job.health is JobHealth.HEALTHY or job.active:
            return False
        is_faulty = failing_job.health is JobHealth.FAULTY
        # Retries on the same machines move the time of the last failure, but not this one.
        retrial_us = failing_job.new_machine_us + (RETRIAL_DELAY_US if is_faulty else 0)
        if at_us >= retrial_us:
            from_us, tried_machines = retrial_us, job.failed_machines
        else:
            from_us, tried_machines = failing_job.last_us + MIN_RENTAL_DELAY_US, frozenset[str]()
        if at_us < from_us:
            return False
        if at_us >= from_us + MAX_WAIT_FOR_ROOM_US:
            return True
        held = (held_by_services or cluster.amounts_held_by_services)()
        return not any(
            machine.name not in tried_machines and machine.could_run(job, held.get(machine.name))
            for machine in cluster.machines.values()
        )

    @staticmethod
    def await_other_machine(job: Job, at_us: int) -> None:
        """Give a stranded job's new machine time to boot before old ones are tried again."""
        job.retry_failed_us = max(job.retry_failed_us, at_us + MAX_RETRY_DELAY_US)

    def _find_suspect_machines(self) -> set[str]:
        """Return the machines on which several jobs failed for a while and no task succeeded."""
        return {
            name
            for name, failures_by_job in self._failures_by_machine.items()
            if is_machine_suspect(
                len(failures_by_job),
                self._last_failure_us
                - min(failures.first_us for failures in failures_by_job.values()),
            )
        }

    def _record_long_running(self, machine: Machine) -> None:
        """Record a success for each task that has run longer than those that failed there."""
        longest_us = max(
            failures.longest_us for failures in self._failures_by_machine[machine.name].values()
        )
        min_run_us = required_survival_us(longest_us)
        for attempt in machine.attempts.values():
            # The run time ends with the last heartbeat: the tasks of a silent machine may have
            # failed long ago.
            if (
                attempt.phase is AttemptPhase.RUNNING
                and not attempt.adopted
                and machine.last_heartbeat_us - attempt.running_since_us >= min_run_us
            ):
                self.record_success(machine, attempt.running_since_us)
                if machine.name not in self._failures_by_machine:
                    return

    def _review_machines(self, cluster: Cluster, review: FailureReview) -> None:
        is_only_machine = sum(not machine.deleting for machine in cluster.machines.values()) == 1
        for name, failures_by_job in self._failures_by_machine.items():
            if name in self._faulty_machines:
                continue
            evidence = []
            for job_id, failures in failures_by_job.items():
                failing_job = self._failing_jobs.get(job_id)
                if failing_job is None or cluster.jobs.get(job_id) is not failing_job.job:
                    continue
                other_machines = failing_job.job.failed_machines - self._faulty_machines - {name}
                evidence.append(
                    FailureEvidence(
                        failures.count,
                        _succeeds(cluster, failing_job, except_on=name),
                        bool(other_machines) or failing_job.health is JobHealth.FAULTY,
                    )
                )
            if is_machine_faulty(evidence, is_only_machine=is_only_machine):
                self._faulty_machines.add(name)
                review.faulty_machines.append(cluster.machines[name])


def _succeeds(cluster: Cluster, failing_job: _FailingJob, except_on: str = "") -> bool:
    """Return whether a task of a job has completed, or runs long without failing.

    Running tasks on the machine ``except_on`` do not count.
    """
    if failing_job.job.done:
        return True
    min_run_us = required_survival_us(failing_job.longest_us)
    return any(
        attempt.phase in (AttemptPhase.RUNNING, AttemptPhase.SAVING)
        and attempt.machine != except_on
        and cluster.machines[attempt.machine].last_heartbeat_us - attempt.running_since_us
        >= min_run_us
        for attempt in failing_job.job.active.values()
    )
