"""Attribution of task failures to faulty machines and faulty jobs.

The tests guard against faulty jobs that drain healthy machines, and against faulty machines that
go undetected.
"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import add_job, add_machine, cluster, job_spec
from tests.support.decisions import run_on
from tests.support.decisions import starts as starts_of
from weldhead.clock import SECOND_US as S
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.failure_attribution.failure_tracker import (
    MAX_RETRY_DELAY_US,
    MIN_RENTAL_DELAY_US,
    REVIEW_DELAY_US,
    FailureTracker,
)
from weldhead.failure_attribution.judgement import (
    FailureEvidence,
    JobHealth,
    assess_job,
    is_machine_faulty,
)
from weldhead.scheduling.placement.placement_plan import PlacementPlan

EVIDENCE = st.lists(st.builds(FailureEvidence, st.integers(1, 9), st.booleans(), st.booleans()))


# Jobs that fail on other machines too are no evidence against a machine.
@given(EVIDENCE, st.booleans())
def test_jobs_that_fail_elsewhere_as_well_accuse_nobody(
    evidence: list[FailureEvidence], alone: bool
) -> None:
    broken = [replace(a, succeeds_elsewhere=False, fails_elsewhere=True) for a in evidence]
    assert not is_machine_faulty(broken, is_only_machine=alone)
    judged = is_machine_faulty(evidence, is_only_machine=alone)
    assert is_machine_faulty([*evidence, *broken], is_only_machine=alone) == judged
    # An additional failure never makes a faulty machine healthy.
    assert judged <= is_machine_faulty(
        [*evidence, FailureEvidence(1, True, False)], is_only_machine=alone
    )


# A job that succeeds on some machine is healthy, whatever else is known of it.
@given(st.booleans(), st.integers(0, 5), st.integers(0, 5))
def test_a_job_that_succeeds_somewhere_is_never_called_broken(
    succeeds: bool, failed_on: int, on_proven: int
) -> None:
    health = assess_job(succeeds=succeeds, failed_machines=failed_on, proven_machines=on_proven)
    assert (health is JobHealth.HEALTHY) == succeeds
    if not succeeds and failed_on < 2 and not on_proven:
        assert health is JobHealth.UNDETERMINED


def starts(into: Cluster, at_us: int) -> PlacementPlan:
    """Plan starts while all machines send heartbeats."""
    for machine in into.machines.values():
        machine.last_heartbeat_us = at_us
    return starts_of(into, at_us)


def fail(
    failures: FailureTracker, into: Cluster, job: Job, index: int, on: Machine, at_us: int
) -> None:
    attempt = run_on(into, job, index, on, at_us - S // 10)
    into.release(attempt)
    failures.record_failure(attempt, at_us)


def review(failures: FailureTracker, into: Cluster) -> dict[str, JobHealth]:
    """Review once, apply the result as a leader does, and return each changed job's health."""
    found = failures.review(into)
    for machine in found.faulty_machines:
        machine.draining = True
    for job, health in found.changed_jobs:
        job.fails_everywhere = health is JobHealth.FAULTY
        job.on_probation = health is not JobHealth.HEALTHY
    return {job.id: health for job, health in found.changed_jobs}


def test_faulty_job_drains_no_machine_and_starts_rarely() -> None:
    """A job that failed with many tasks on each machine caused all of them to be returned."""
    into, failures = cluster(), FailureTracker()
    machines = [add_machine(into, f"vm-{n}", cpus=64.0, memory_gb=64.0) for n in range(4)]
    job = add_job(into, job_spec(1, tasks=30))
    for n, index in enumerate((0, 1, 2)):
        fail(failures, into, job, index, machines[0], (n + 1) * S)
    assert review(failures, into) == {job.id: JobHealth.UNDETERMINED}
    # The job is tried on another machine, one task at a time. No machine is rented
    # and no task is preempted for it.
    plan = starts(into, 10 * S)
    assert [start.machine is machines[0] for start in plan.starts] == [False]
    assert not plan.unplaced
    fail(failures, into, job, 0, machines[1], 11 * S)
    assert review(failures, into) == {job.id: JobHealth.FAULTY}
    for tries in range(12):
        before_us = (20 + 100 * tries) * S
        fail(failures, into, job, 0, machines[tries % 4], before_us)
        assert not review(failures, into)
    assert job.not_before_us == before_us + MAX_RETRY_DELAY_US
    assert not any(machine.draining for machine in machines)
    assert len(starts(into, before_us + MAX_RETRY_DELAY_US + S).starts) == 1
    # The machines run other jobs in the meantime.
    add_job(into, job_spec(2, tasks=100))
    assert len(starts(into, before_us + S).starts) > 40


def test_faulty_machine_is_found_despite_faulty_jobs() -> None:
    into, failures = cluster(), FailureTracker()
    faulty, healthy = (
        add_machine(into, name, cpus=64.0, memory_gb=64.0) for name in ("vm-1", "vm-2")
    )
    faulty_jobs = [add_job(into, job_spec(n, tasks=8)) for n in range(1, 6)]
    for job in faulty_jobs:
        for machine in (faulty, healthy):
            fail(failures, into, job, 0, machine, S)
    review(failures, into)
    healthy_job = add_job(into, job_spec(9, tasks=8))
    # A running task counts as a success only up to its machine's last heartbeat: the tasks of a
    # silent machine may have failed long ago.
    healthy.last_heartbeat_us = 20 * S
    run_on(into, healthy_job, 0, healthy, 10 * S)
    fail(failures, into, healthy_job, 1, faulty, 16 * S)
    assert not review(failures, into)
    fail(failures, into, healthy_job, 2, faulty, 17 * S)
    assert review(failures, into) == {}
    assert (faulty.draining, healthy.draining) == (True, False)
    # The failures of the healthy job are attributed to the faulty machine alone.
    assert healthy_job.failed_machines == {"vm-1"}


def test_job_is_faulty_if_another_succeeds_on_its_machine() -> None:
    into, failures = cluster(), FailureTracker()
    machine = add_machine(into, cpus=64.0, memory_gb=64.0)
    job = add_job(into, job_spec(1, tasks=8))
    fail(failures, into, job, 0, machine, S)
    assert review(failures, into) == {job.id: JobHealth.UNDETERMINED}
    # A task that started before the failure proves nothing: the machine may have failed since.
    failures.record_success(machine, S)
    assert review(failures, into) == {}
    failures.record_success(machine, 3 * S)
    assert review(failures, into) == {job.id: JobHealth.FAULTY}


@pytest.mark.parametrize("alone", [True, False])
def test_failures_of_new_jobs_count_only_on_the_only_machine(alone: bool) -> None:
    into, failures = cluster(), FailureTracker()
    machine = add_machine(into, cpus=64.0, memory_gb=64.0)
    if not alone:
        add_machine(into, "vm-2")
    for number in range(1, 4):
        assert not machine.draining
        fail(failures, into, add_job(into, job_spec(number)), 0, machine, S)
        review(failures, into)
    assert machine.draining == alone


def test_faulty_job_is_healthy_once_a_task_runs_long_enough() -> None:
    into, failures = cluster(), FailureTracker()
    failed_machines = [add_machine(into, f"vm-{n}") for n in range(2)]
    job = add_job(into, job_spec(1, tasks=4, cpus=1.0))
    for machine in failed_machines:
        fail(failures, into, job, 0, machine, S)
    assert review(failures, into) == {job.id: JobHealth.FAULTY}
    assert job.not_before_us == S + REVIEW_DELAY_US
    healthy = add_machine(into, "vm-9")
    (start,) = starts(into, 3 * S).starts
    assert start.machine is healthy
    run_on(into, job, start.index, healthy, 3 * S)
    assert job.waiting == 0
    healthy.last_heartbeat_us = 7 * S
    assert review(failures, into) == {}
    healthy.last_heartbeat_us = 9 * S
    assert review(failures, into) == {job.id: JobHealth.HEALTHY}
    assert job.waiting == 3


def test_machine_is_rented_rarely_for_a_stranded_faulty_job() -> None:
    into, failures = cluster(), FailureTracker()
    machine = add_machine(into)
    job = add_job(into, job_spec(1))
    fail(failures, into, job, 0, machine, S)
    review(failures, into)
    assert failures.is_stranded(job, into, 2 * S)
    other = add_machine(into, "vm-2")
    assert not failures.is_stranded(job, into, 2 * S)
    fail(failures, into, job, 0, other, 3 * S)
    review(failures, into)
    assert not failures.is_stranded(job, into, 4 * S + MIN_RENTAL_DELAY_US)
    for gone in (machine, other):
        into.remove_machine(gone)
    review(failures, into)
    assert not failures.is_stranded(job, into, 3 * S + MIN_RENTAL_DELAY_US - 1)
    assert failures.is_stranded(job, into, 3 * S + MIN_RENTAL_DELAY_US)
    job.stranded = True
    assert starts(into, 4 * S + MIN_RENTAL_DELAY_US).unplaced
