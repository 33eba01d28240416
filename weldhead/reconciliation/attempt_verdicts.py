"""What a worker reports against what is recorded: one verdict for each pair.

A verdict says what is ordered; ``reports`` carries the order out on the models. The list is
closed: whatever a report may hold falls under exactly one of these.
"""

import enum
from collections import Counter
from collections.abc import Iterable
from typing import TypeVar

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import TaskState
from weldhead.protocol.wire import ReportedTask, split_task

K = TypeVar("K", bound=enum.Enum)


class AttemptVerdict(enum.Enum):
    """What a reported attempt is, and so what is ordered."""

    #: Runs, and is wanted: it goes on and counts.
    ADOPTED = "adopted"
    #: Completed and not known to be: committed, then forgotten.
    FINISHED = "finished"
    #: Ended without completing, or known to be completed: forgotten.
    ENDED = "ended"
    #: Its job is cancelled, or is being: counted, and stopped hard.
    CANCELLED = "cancelled"
    #: Its job is over, or the task is completed: stopped, its machine takes nothing meanwhile.
    OVER = "of a job that is over"
    #: Nothing on record names its job, or the job has no such task: stopped likewise.
    UNRECORDED = "of no job on record"
    #: Another attempt of the task counts already: this one is stopped.
    SECOND = "a second attempt"
    #: Its team is over the limit with it: counted, and nothing is started for the team until
    #: enough has ended. It is not stopped: a limit that was lowered kills nothing.
    OVER_LIMIT = "over its team's limit"
    #: The machine has no room for it by the books: counted, and stopped hard.
    CROWDED = "without room"


class MachineStanding(enum.Enum):
    """What a machine on record, or a machine that reports, is."""

    #: It has shown the new token: what runs there is known.
    KNOWN = "known"
    #: Nothing was ever started on it by the records: nobody waits for it.
    UNUSED = "unused"
    #: Recorded and silent; its lease may be running.
    SILENT = "silent"
    #: Its worker's lease is surely over, or its deletion was answered.
    GONE = "gone"
    #: It is being returned: not answered, so that its lease ends if its deletion hangs.
    LEAVING = "leaving"
    #: It reports, and no record names it: answered, entered, then used or returned.
    UNKNOWN = "unknown"


def locate(cluster: Cluster, task: ReportedTask) -> tuple[Job | None, int]:
    """Return the job on record that an attempt belongs to, and the task's index."""
    try:
        job_id, index = split_task(task.task)
    except ValueError:
        return None, 0
    job = cluster.jobs.get(job_id)
    return (job, index) if job is not None and index < job.spec.tasks else (None, 0)


def judge_attempt(cluster: Cluster, machine: Machine, task: ReportedTask) -> AttemptVerdict:
    """Judge an attempt that this term has not started on the machine."""
    job, index = locate(cluster, task)
    if task.state == "ended":
        unknown = job is not None and job.states[index] == TaskState.WAITING
        if task.why == "done" and job is not None and unknown and not job.cancelled:
            return AttemptVerdict.FINISHED
        return AttemptVerdict.ENDED
    if job is None:
        return AttemptVerdict.UNRECORDED
    state = job.states[index]
    if state in (TaskState.COMPLETED, TaskState.COMMITTED):
        return AttemptVerdict.OVER
    if state == TaskState.ACTIVE or task.task in machine.attempts:
        return AttemptVerdict.SECOND
    # A type that left the catalog has no amounts: what runs there has its room.
    if machine.capacity_for(job) < 1 and not machine.has_unknown_capacity:
        return AttemptVerdict.CROWDED
    if job.unwanted:
        return AttemptVerdict.CANCELLED
    if cluster.tasks_within_limit(job) < 1 or job.team not in cluster.teams:
        return AttemptVerdict.OVER_LIMIT
    return AttemptVerdict.ADOPTED


def machine_standing(machine: Machine | None) -> MachineStanding:
    """Say what a machine is to the books; None: it reports and is on no record."""
    if machine is None:
        return MachineStanding.UNKNOWN
    if machine.deleting:
        return MachineStanding.LEAVING
    if machine.reconciled:
        gone = machine.expired_session and machine.expired_session >= machine.session
        return MachineStanding.GONE if gone else MachineStanding.KNOWN
    return MachineStanding.SILENT if machine.enrolled else MachineStanding.UNUSED


class ReconciliationCounts:
    """How often each verdict was given since the term began."""

    def __init__(self) -> None:
        self.attempts: Counter[AttemptVerdict] = Counter()

    def summary(self, cluster: Cluster) -> str:
        """Say in one line how the start went."""
        machines = Counter(machine_standing(machine) for machine in cluster.machines.values())
        said = [f"{count} {kind.value}" for kind, count in _in_order(machines, MachineStanding)]
        found = [
            f"{count} {kind.value}" for kind, count in _in_order(self.attempts, AttemptVerdict)
        ]
        return f"machines: {', '.join(said) or 'none'}; attempts: {', '.join(found) or 'none'}"


def _in_order(counts: Counter[K], kinds: Iterable[K]) -> list[tuple[K, int]]:
    return [(kind, counts[kind]) for kind in kinds if counts[kind]]
