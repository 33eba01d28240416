"""Judging machines and jobs by who fails where, and who succeeds there. No I/O.

A task that ends with an error was on a faulty machine, mostly; but a job that was submitted
with a mistake fails on every machine. Neither can be told from a single failure, so both are
judged by evidence: a machine by whether others succeed there, a job by whether it succeeds
elsewhere. Times are microseconds of the steady clock.
"""

import enum
from collections.abc import Collection
from dataclasses import dataclass

from weldhead.clock import SECOND_US

#: So many failures of jobs that succeed elsewhere show that a machine is faulty.
SURE_FAILURES = 2
#: So many jobs that fail on the only machine there is do so as well.
OPEN_JOBS = 3
#: On so many machines that are not faulty a job must have failed to be called broken.
MACHINES_FAILED = 2
#: A task that has run for so long, and for three times as long as those that failed, has
#: not failed as they did.
SURVIVED_US = 5 * SECOND_US


class JobHealth(enum.Enum):
    """What is thought of a job of which tasks have failed."""

    #: It succeeds somewhere: its failures are its machines'.
    SOUND = "sound"
    #: Nobody can tell yet: it is tried elsewhere, one task at a time.
    OPEN = "open"
    #: It fails wherever it runs: tried again more and more rarely.
    BROKEN = "broken"


@dataclass(frozen=True)
class FailureEvidence:
    """Failures of one job on a machine that has shown no success since."""

    count: int
    #: The job succeeds on another machine.
    succeeds: bool
    #: The job has failed on another machine that is not faulty, or is called broken.
    elsewhere: bool


def is_faulty(evidence: Collection[FailureEvidence], *, alone: bool) -> bool:
    """Whether a machine is at fault, by the failures there since its last success.

    Jobs that fail elsewhere as well say nothing of it, however many they are. Nor do those
    that have been tried nowhere else: they are about to be, and then it is known. (Three
    such jobs, of one task each, had healthy machines set aside: found in the emulator.) Only
    where there is no other machine (``alone``) many of them have to do.
    """
    if sum(a.count for a in evidence if a.succeeds) >= SURE_FAILURES:
        return True
    return alone and sum(not a.succeeds and not a.elsewhere for a in evidence) >= OPEN_JOBS


def job_health(*, succeeds: bool, failed_on: int, on_proven: int) -> JobHealth:
    """Judge a job that has failed.

    ``failed_on`` counts the machines on which it failed that are not faulty; ``on_proven``
    those of them on which others have succeeded since.
    """
    if succeeds:
        return JobHealth.SOUND
    if on_proven or failed_on >= MACHINES_FAILED:
        return JobHealth.BROKEN
    return JobHealth.OPEN


def survived_us(longest_failed_us: int) -> int:
    """Return for how long a task must run to show that it does not fail as others did."""
    return max(SURVIVED_US, 3 * longest_failed_us)
