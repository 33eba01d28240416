"""The order in which machines are sent direct commands, where many have to be. No I/O.

After a start hundreds of machines have something to do at once. First goes what rules need,
then what frees room for others, then starts that a team is guaranteed, by deadline, then the
rest. Times are microseconds of the steady clock.
"""

import enum
from heapq import heappop, heappush

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest

_NO_DUE_US = 1 << 62


class CommandPriority(enum.IntEnum):
    """What a machine has to be told, the most urgent first."""

    #: Cancelled work, and attempts that nothing on record wants, must go in time.
    RULES = 0
    #: A stop whose room somebody waits for.
    ROOM = 1
    #: A start inside its team's guarantee.
    GUARANTEED = 2
    REST = 3


#: What comes first: the errand, then by when the most urgent job in it has to be done.
QueuePosition = tuple[CommandPriority, int]


def _rank_of(cluster: Cluster, attempt: Attempt) -> QueuePosition:
    job = attempt.job
    if attempt.stop_request is not StopRequest.NO:
        return (CommandPriority.RULES if job.unwanted else CommandPriority.ROOM), 0
    if attempt.phase is not AttemptPhase.ASSIGNED:
        return CommandPriority.REST, _NO_DUE_US
    due_us = job.inherited_due_us[0] if job.inherited_due_us else _NO_DUE_US
    team, usage = cluster.teams.get(job.team), cluster.usage[job.team]
    inside = team is not None and usage.cpus <= team.cpus and usage.gpus <= team.gpus
    return (CommandPriority.GUARANTEED if inside else CommandPriority.REST), due_us


def queue_position(cluster: Cluster, machine: Machine) -> QueuePosition:
    """Return how urgent it is to tell a machine what it has to do."""
    if machine.orphans:
        return CommandPriority.RULES, 0
    best: QueuePosition = (CommandPriority.REST, _NO_DUE_US)
    for attempt in machine.attempts.values():
        # Of what runs on and is not to stop there is nothing to tell: it has the last rank.
        if attempt.phase is AttemptPhase.ASSIGNED or attempt.stop_request is not StopRequest.NO:
            best = min(best, _rank_of(cluster, attempt))
    return best


class CommandQueue:
    """Machines that wait for their turn; one that is put in again keeps its best rank."""

    def __init__(self) -> None:
        self._heap: list[tuple[QueuePosition, int, str]] = []
        self._best: dict[str, QueuePosition] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._best)

    def __contains__(self, name: str) -> bool:
        return name in self._best

    def put(self, name: str, queue_position: QueuePosition) -> None:
        """Let a machine wait for its turn."""
        best = self._best.get(name)
        if best is not None and best <= queue_position:
            return
        self._best[name] = queue_position
        self._count += 1
        heappush(self._heap, (queue_position, self._count, name))

    def pop(self) -> str | None:
        """Return whose turn it is; None: nobody waits."""
        while self._heap:
            queue_position, _, name = heappop(self._heap)
            if self._best.get(name) == queue_position:
                del self._best[name]
                return name
        return None
