"""Orders machines by the urgency of their direct commands. No I/O.

After a term's start hundreds of machines need commands at the same time. Required stops come first,
then stops that free capacity for other tasks, then starts within a team's guarantee, by deadline,
then all others. Times are microseconds of the steady clock.
"""

import enum
from heapq import heappop, heappush

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest

#: Sorts after every deadline.
_NO_DEADLINE_US = 1 << 62


class CommandPriority(enum.IntEnum):
    """The most urgent kind of command that a machine needs; lower values come first."""

    #: Attempts of cancelled or unknown jobs must be stopped within a time limit.
    REQUIRED_STOP = 0
    #: Another task waits for the capacity of an attempt that is to stop.
    FREES_CAPACITY = 1
    #: A task starts within its team's guaranteed share.
    GUARANTEED_START = 2
    OTHER = 3


#: The priority and then the earliest deadline (microseconds) among a machine's commands.
QueuePosition = tuple[CommandPriority, int]


def _attempt_position(cluster: Cluster, attempt: Attempt) -> QueuePosition:
    """Return the priority and the deadline of the command that an attempt needs next."""
    job = attempt.job
    if attempt.stop_request is not StopRequest.NO:
        return (
            CommandPriority.REQUIRED_STOP if job.must_stop else CommandPriority.FREES_CAPACITY
        ), 0
    if attempt.phase is not AttemptPhase.ASSIGNED:
        return CommandPriority.OTHER, _NO_DEADLINE_US
    due_us = job.inherited_due_us[0] if job.inherited_due_us else _NO_DEADLINE_US
    team, usage = cluster.teams.get(job.team), cluster.usage[job.team]
    is_guaranteed = team is not None and usage.cpus <= team.cpus and usage.gpus <= team.gpus
    return (CommandPriority.GUARANTEED_START if is_guaranteed else CommandPriority.OTHER), due_us


def queue_position(cluster: Cluster, machine: Machine) -> QueuePosition:
    """Return the position of the most urgent command for a machine."""
    if machine.orphans:
        return CommandPriority.REQUIRED_STOP, 0
    best: QueuePosition = (CommandPriority.OTHER, _NO_DEADLINE_US)
    for attempt in machine.attempts.values():
        # An attempt that keeps running needs no command, so it has the lowest priority.
        if attempt.phase is AttemptPhase.ASSIGNED or attempt.stop_request is not StopRequest.NO:
            best = min(best, _attempt_position(cluster, attempt))
    return best


class CommandQueue:
    """Priority queue of machines; a machine that is queued again keeps its best position."""

    def __init__(self) -> None:
        self._heap: list[tuple[QueuePosition, int, str]] = []
        self._positions: dict[str, QueuePosition] = {}
        self._entry_number = 0

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def put(self, name: str, position: QueuePosition) -> None:
        """Queue a machine, or move it forward if it is queued with a lower priority."""
        best = self._positions.get(name)
        if best is not None and best <= position:
            return
        self._positions[name] = position
        self._entry_number += 1
        heappush(self._heap, (position, self._entry_number, name))

    def pop(self) -> str | None:
        """Remove and return the name of the most urgent machine; None if the queue is empty."""
        while self._heap:
            position, _, name = heappop(self._heap)
            if self._positions.get(name) == position:
                del self._positions[name]
                return name
        return None
