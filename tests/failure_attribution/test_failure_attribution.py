"""Whose fault failures are: faulty machines are found, healthy ones kept, broken jobs held back."""

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
    MOST_PAUSE_US,
    RENT_PAUSE_US,
    REVIEW_US,
    FailureTracker,
)
from weldhead.failure_attribution.judgement import FailureEvidence, JobHealth, is_faulty, job_health
from weldhead.scheduling.placement.placement_plan import PlacementPlan

EVIDENCE = st.lists(st.builds(FailureEvidence, st.integers(1, 9), st.booleans(), st.booleans()))


@given(EVIDENCE, st.booleans())
def test_jobs_that_fail_elsewhere_as_well_accuse_nobody(
    evidence: list[FailureEvidence], alone: bool
) -> None:
    broken = [replace(a, succeeds=False, elsewhere=True) for a in evidence]
    assert not is_faulty(broken, alone=alone)
    judged = is_faulty(evidence, alone=alone)
    assert is_faulty([*evidence, *broken], alone=alone) == judged
    # One more failure of whatever kind exonerates nobody.
    assert judged <= is_faulty([*evidence, FailureEvidence(1, True, False)], alone=alone)


@given(st.booleans(), st.integers(0, 5), st.integers(0, 5))
def test_a_job_that_succeeds_somewhere_is_never_called_broken(
    succeeds: bool, failed_on: int, on_proven: int
) -> None:
    standing = job_health(succeeds=succeeds, failed_on=failed_on, on_proven=on_proven)
    assert (standing is JobHealth.SOUND) == succeeds
    if not succeeds and failed_on < 2 and not on_proven:
        assert standing is JobHealth.OPEN


def starts(into: Cluster, at_us: int) -> PlacementPlan:
    """A pass while all machines are heard."""
    for machine in into.machines.values():
        machine.last_heartbeat_us = at_us
    return starts_of(into, at_us)


def fail(
    failures: FailureTracker, into: Cluster, job: Job, index: int, on: Machine, at_us: int
) -> None:
    attempt = run_on(into, job, index, on, at_us - S // 10)
    into.release(attempt)
    failures.record_failure(attempt, at_us)


def judged(failures: FailureTracker, into: Cluster) -> dict[str, JobHealth]:
    """Look once, and apply what a leader applies; the standings that changed."""
    review = failures.review(into)
    for machine in review.faulty:
        machine.draining = True
    for job, standing in review.changed:
        job.fails_everywhere = standing is JobHealth.BROKEN
        job.on_probation = standing is not JobHealth.SOUND
    return {job.id: standing for job, standing in review.changed}


def test_a_broken_job_drains_no_machine_and_takes_little() -> None:
    """One that failed with many tasks on each machine had them all returned, one by one."""
    into, failures = cluster(), FailureTracker()
    machines = [add_machine(into, f"vm-{n}", cpus=64.0, memory_gb=64.0) for n in range(4)]
    job = add_job(into, job_spec(1, tasks=30))
    for n, index in enumerate((0, 1, 2)):
        fail(failures, into, job, index, machines[0], (n + 1) * S)
    assert judged(failures, into) == {job.id: JobHealth.OPEN}
    # Tried elsewhere, one task at a time, and nothing is rented or stopped for it.
    plan = starts(into, 10 * S)
    assert [start.machine is machines[0] for start in plan.starts] == [False]
    assert not plan.unplaced
    fail(failures, into, job, 0, machines[1], 11 * S)
    assert judged(failures, into) == {job.id: JobHealth.BROKEN}
    for tries in range(12):
        before_us = (20 + 100 * tries) * S
        fail(failures, into, job, 0, machines[tries % 4], before_us)
        assert not judged(failures, into)
    assert job.not_before_us == before_us + MOST_PAUSE_US
    assert not any(machine.draining for machine in machines)
    assert len(starts(into, before_us + MOST_PAUSE_US + S).starts) == 1
    # The machines hold other jobs all the while.
    add_job(into, job_spec(2, tasks=100))
    assert len(starts(into, before_us + S).starts) > 40


def test_a_faulty_machine_is_found_beside_broken_jobs() -> None:
    into, failures = cluster(), FailureTracker()
    sick, well = (add_machine(into, name, cpus=64.0, memory_gb=64.0) for name in ("vm-1", "vm-2"))
    broken = [add_job(into, job_spec(n, tasks=8)) for n in range(1, 6)]
    for job in broken:
        for machine in (sick, well):
            fail(failures, into, job, 0, machine, S)
    judged(failures, into)
    good = add_job(into, job_spec(9, tasks=8))
    well.last_heartbeat_us = 20 * S
    run_on(into, good, 0, well, 10 * S)
    fail(failures, into, good, 1, sick, 16 * S)
    assert not judged(failures, into)
    fail(failures, into, good, 2, sick, 17 * S)
    assert judged(failures, into) == {}
    assert (sick.draining, well.draining) == (True, False)
    # What a silent machine runs proves nothing: it may have failed long ago.
    assert good.failed_machines == {"vm-1"}


def test_a_machine_on_which_others_succeed_since_is_healthy_and_the_job_broken() -> None:
    into, failures = cluster(), FailureTracker()
    machine = add_machine(into, cpus=64.0, memory_gb=64.0)
    job = add_job(into, job_spec(1, tasks=8))
    fail(failures, into, job, 0, machine, S)
    assert judged(failures, into) == {job.id: JobHealth.OPEN}
    # What began before the failure proves nothing: machines fall sick.
    failures.record_success(machine, S)
    assert judged(failures, into) == {}
    failures.record_success(machine, 3 * S)
    assert judged(failures, into) == {job.id: JobHealth.BROKEN}


@pytest.mark.parametrize("alone", [True, False])
def test_many_new_jobs_failing_on_one_machine_accuse_it_only_where_it_is_alone(alone: bool) -> None:
    into, failures = cluster(), FailureTracker()
    machine = add_machine(into, cpus=64.0, memory_gb=64.0)
    if not alone:
        add_machine(into, "vm-2")
    for number in range(1, 4):
        assert not machine.draining
        fail(failures, into, add_job(into, job_spec(number)), 0, machine, S)
        judged(failures, into)
    assert machine.draining == alone


def test_a_job_that_was_only_unlucky_goes_on_at_its_whole_width() -> None:
    into, failures = cluster(), FailureTracker()
    sick = [add_machine(into, f"vm-{n}") for n in range(2)]
    job = add_job(into, job_spec(1, tasks=4, cpus=1.0))
    for machine in sick:
        fail(failures, into, job, 0, machine, S)
    assert judged(failures, into) == {job.id: JobHealth.BROKEN}
    assert job.not_before_us == S + REVIEW_US
    well = add_machine(into, "vm-9")
    (start,) = starts(into, 3 * S).starts
    assert start.machine is well
    run_on(into, job, start.index, well, 3 * S)
    assert job.waiting == 0
    well.last_heartbeat_us = 7 * S
    assert judged(failures, into) == {}
    well.last_heartbeat_us = 9 * S
    assert judged(failures, into) == {job.id: JobHealth.SOUND}
    assert job.waiting == 3


def test_a_job_with_no_machine_to_be_tried_on_has_one_rented_but_rarely_once_it_is_broken() -> None:
    into, failures = cluster(), FailureTracker()
    machine = add_machine(into)
    job = add_job(into, job_spec(1))
    fail(failures, into, job, 0, machine, S)
    judged(failures, into)
    assert failures.is_stranded(job, into, 2 * S)
    other = add_machine(into, "vm-2")
    assert not failures.is_stranded(job, into, 2 * S)
    fail(failures, into, job, 0, other, 3 * S)
    judged(failures, into)
    assert not failures.is_stranded(job, into, 4 * S + RENT_PAUSE_US)
    for gone in (machine, other):
        into.remove_machine(gone)
    judged(failures, into)
    assert not failures.is_stranded(job, into, 3 * S + RENT_PAUSE_US - 1)
    assert failures.is_stranded(job, into, 3 * S + RENT_PAUSE_US)
    job.stranded = True
    assert starts(into, 4 * S + RENT_PAUSE_US).unplaced
