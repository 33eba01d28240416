"""Rules that attribute task failures to machines or to jobs. No I/O.

Most tasks that end with an error ran on a faulty machine; but a job that was submitted with a
mistake fails on every machine. A single failure does not show which of them is at fault. So a
machine is judged by whether other tasks succeed on it, and a job by whether its tasks succeed on
other machines. Times are microseconds of the monotonic clock.
"""

import enum
from collections.abc import Collection, Set
from dataclasses import dataclass

from weldhead.clock import SECOND_US

#: A machine is faulty after this many failures of jobs that succeed elsewhere.
MIN_FAILURES_OF_HEALTHY_JOBS = 2
#: The only machine of a cluster is also faulty after the failures of this many jobs that have
#: neither succeeded nor failed elsewhere.
MIN_UNDETERMINED_JOBS = 3
#: A job is faulty after it has failed on this many machines that are not faulty.
MIN_FAILED_MACHINES = 2
#: A machine is suspect if so many jobs failed on it over so long a time, and no task succeeded.
MIN_SUSPECT_JOBS = 3
MIN_SUSPECT_SPAN_US = 10 * SECOND_US
#: A job that failed on so many machines is faulty even if all of them are suspect. This bounds how
#: many machines are rented for several faulty jobs that make each other's machines suspect.
MAX_SUSPECT_MACHINES = 4
#: A task differs from the failed tasks once it has run for this long, and three times as long as
#: they did.
MIN_SURVIVAL_US = 5 * SECOND_US


class JobHealth(enum.Enum):
    """Assessment of a job whose tasks have failed. The values appear in the log."""

    #: Its tasks succeed on some machine: its failures are attributed to the machines.
    HEALTHY = "sound"
    #: The evidence does not suffice yet: it is tried on other machines, one task at a time.
    UNDETERMINED = "open"
    #: Its tasks fail on all machines: it is retried at increasing intervals.
    FAULTY = "broken"


@dataclass(frozen=True)
class FailureEvidence:
    """Failures of one job on a machine on which no task has succeeded since."""

    count: int
    #: The job succeeds on another machine.
    succeeds_elsewhere: bool
    #: The job has failed on another machine that is not faulty, or the job itself is faulty.
    fails_elsewhere: bool


def is_machine_faulty(evidence: Collection[FailureEvidence], *, is_only_machine: bool) -> bool:
    """Return whether a machine is faulty, given the failures on it since its last success.

    Jobs that fail elsewhere as well are no evidence against the machine, however many they are.
    Nor are jobs that have not been tried elsewhere: they are about to be, which decides. (In the
    emulator, three such jobs of one task each caused healthy machines to be drained.) Only if
    there is no other machine do many such jobs suffice.
    """
    if sum(e.count for e in evidence if e.succeeds_elsewhere) >= MIN_FAILURES_OF_HEALTHY_JOBS:
        return True
    return (
        is_only_machine
        and sum(not e.succeeds_elsewhere and not e.fails_elsewhere for e in evidence)
        >= MIN_UNDETERMINED_JOBS
    )


def is_machine_suspect(failed_jobs: int, span_us: int) -> bool:
    """Return whether a machine may well be faulty, though none of the jobs succeeds elsewhere.

    ``failed_jobs`` is how many jobs failed on it since its last success, and ``span_us`` the time
    between the first of these failures and the latest failure anywhere.
    """
    return failed_jobs >= MIN_SUSPECT_JOBS and span_us >= MIN_SUSPECT_SPAN_US


def count_telling_machines(failed_machines: Set[str], suspects: Set[str]) -> int:
    """Return on how many machines a job failed of which the failures say something of the job.

    A sound job fails on each of several faulty machines. Counted against it, these failures made
    it a faulty job that was tried on no other machine.
    """
    if len(failed_machines) >= MAX_SUSPECT_MACHINES:
        return len(failed_machines)
    return len(failed_machines - suspects)


def assess_job(*, succeeds: bool, failed_machines: int, proven_machines: int) -> JobHealth:
    """Assess a job whose tasks have failed.

    ``failed_machines`` is the number of machines on which the job failed and that are not faulty;
    ``proven_machines`` is the number of those on which tasks of other jobs have succeeded since.
    """
    if succeeds:
        return JobHealth.HEALTHY
    if proven_machines or failed_machines >= MIN_FAILED_MACHINES:
        return JobHealth.FAULTY
    return JobHealth.UNDETERMINED


def required_survival_us(longest_failed_us: int) -> int:
    """Return how long a task must run to show that it does not fail like the failed tasks.

    ``longest_failed_us`` is the longest run time of the failed tasks.
    """
    return max(MIN_SURVIVAL_US, 3 * longest_failed_us)
