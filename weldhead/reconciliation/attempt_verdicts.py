"""Compares each attempt that a worker reports with the records, and gives one verdict on it.

A verdict determines the commands for the attempt; the ``heartbeat_reconciler`` module of
``weldhead.controller.workers`` applies it to the cluster state. The verdicts are exhaustive and
mutually exclusive.
"""

import enum
from collections import Counter
from collections.abc import Iterable
from typing import TypeVar

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import TaskState
from weldhead.protocol.wire import ReportedTask, split_task_name

Kind = TypeVar("Kind", bound=enum.Enum)


class AttemptVerdict(enum.Enum):
    """How a reported attempt relates to the records, which determines how it is handled."""

    #: The attempt runs and is wanted: it continues and is counted.
    ADOPTED = "adopted"
    #: The task completed, which is not on record yet: the completion is committed before the worker
    #: is told to forget the attempt.
    COMPLETED = "finished"
    #: The attempt ended without completing, or its completion is on record: the worker forgets it.
    ENDED = "ended"
    #: The attempt's job is cancelled or being cancelled: the attempt is counted and killed.
    CANCELLED = "cancelled"
    #: The job is over or the task has completed: the attempt is killed, and nothing is placed on
    #: its machine until it has ended.
    JOB_OVER = "of a job that is over"
    #: The job is not on record or has no such task: the attempt is handled like ``JOB_OVER``.
    UNKNOWN_JOB = "of no job on record"
    #: Another attempt of the task is already counted: this one is killed.
    DUPLICATE = "a second attempt"
    #: The attempt takes its team over the limit: it is counted, and no task of the team starts
    #: until enough attempts have ended. It continues, because lowering a limit kills no tasks.
    OVER_LIMIT = "over its team's limit"
    #: The machine has too little free capacity by the records: the attempt is counted and killed.
    NO_CAPACITY = "without room"


class MachineRecoveryState(enum.Enum):
    """What a new leader knows about a machine that is on record or sends heartbeats."""

    #: The machine has sent the new token, so its attempts are known.
    KNOWN = "known"
    #: By the records nothing was ever started on the machine, so recovery does not wait for it.
    UNUSED = "unused"
    #: The machine is on record and silent, and its lease may not have expired.
    SILENT = "silent"
    #: The lease of the machine's worker has certainly expired, or its deletion was confirmed.
    GONE = "gone"
    #: The machine is being deleted. It is not answered, so that its lease ends if deletion hangs.
    DELETING = "leaving"
    #: The machine sends heartbeats and is not on record. It is answered, added to the records, and
    #: then used or returned.
    UNRECORDED = "unknown"


def find_job(cluster: Cluster, task: ReportedTask) -> tuple[Job | None, int]:
    """Return the recorded job of a reported attempt and the task's index; None if there is none."""
    try:
        job_id, index = split_task_name(task.task)
    except ValueError:
        return None, 0
    job = cluster.jobs.get(job_id)
    return (job, index) if job is not None and index < job.spec.tasks else (None, 0)


def classify_attempt(cluster: Cluster, machine: Machine, task: ReportedTask) -> AttemptVerdict:
    """Give the verdict on a reported attempt that this term has not started on the machine."""
    job, index = find_job(cluster, task)
    if task.state == "ended":
        is_waiting = job is not None and job.states[index] == TaskState.WAITING
        if task.why == "done" and job is not None and is_waiting and not job.cancelled:
            return AttemptVerdict.COMPLETED
        return AttemptVerdict.ENDED
    if job is None:
        return AttemptVerdict.UNKNOWN_JOB
    state = job.states[index]
    if state in (TaskState.COMPLETED, TaskState.COMMITTED):
        return AttemptVerdict.JOB_OVER
    if state == TaskState.ACTIVE or task.task in machine.attempts:
        return AttemptVerdict.DUPLICATE
    # A machine type that left the catalog has no amounts. Its running attempts fit by definition.
    if not machine.has_amounts_for(job) and not machine.has_unknown_capacity:
        return AttemptVerdict.NO_CAPACITY
    if job.must_stop:
        return AttemptVerdict.CANCELLED
    if cluster.tasks_within_limit(job) < 1 or job.team not in cluster.teams:
        return AttemptVerdict.OVER_LIMIT
    return AttemptVerdict.ADOPTED


def machine_recovery_state(machine: Machine | None) -> MachineRecoveryState:
    """Return what is known of a machine; None stands for one that is not on record."""
    if machine is None:
        return MachineRecoveryState.UNRECORDED
    if machine.deleting:
        return MachineRecoveryState.DELETING
    if machine.reconciled:
        gone = machine.expired_session and machine.expired_session >= machine.session
        return MachineRecoveryState.GONE if gone else MachineRecoveryState.KNOWN
    return MachineRecoveryState.SILENT if machine.enrolled else MachineRecoveryState.UNUSED


class ReconciliationCounts:
    """Counts how often each verdict was given since the term began."""

    def __init__(self) -> None:
        self.attempts: Counter[AttemptVerdict] = Counter()
        #: How many attempts were listed as live again after the leader had seen them end.
        self.relisted_attempts = 0

    def summary(self, cluster: Cluster) -> str:
        """Return one line on the machines and attempts found by recovery, for the log."""
        machines = Counter(machine_recovery_state(machine) for machine in cluster.machines.values())
        machines_text = [
            f"{count} {kind.value}"
            for kind, count in _nonzero_counts(machines, MachineRecoveryState)
        ]
        attempts_text = [
            f"{count} {kind.value}"
            for kind, count in _nonzero_counts(self.attempts, AttemptVerdict)
        ]
        return (
            f"machines: {', '.join(machines_text) or 'none'}; "
            f"attempts: {', '.join(attempts_text) or 'none'}"
        )


def _nonzero_counts(counts: Counter[Kind], kinds: Iterable[Kind]) -> list[tuple[Kind, int]]:
    """Return the non-zero counts in the order in which the kinds are declared."""
    return [(kind, counts[kind]) for kind in kinds if counts[kind]]
