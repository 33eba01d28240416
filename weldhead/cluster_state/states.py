"""States of tasks, attempts and gates in memory."""

import enum


class AttemptPhase(enum.Enum):
    """The phase of an attempt, as far as the leader knows."""

    #: The attempt is assigned to a machine whose worker has not reported it yet.
    ASSIGNED = "assigned"
    PULLING = "pulling"
    RUNNING = "running"
    SAVING = "saving"


class StopRequest(enum.Enum):
    """Whether an attempt was requested to stop, and whether it may save its progress first."""

    NO = 0
    #: The attempt may save its progress before it stops.
    SOFT = 1
    #: The attempt is killed without saving.
    HARD = 2


class TaskState(enum.IntEnum):
    """A task's state."""

    WAITING = 0
    #: An attempt of the task may exist on some machine.
    ACTIVE = 1
    #: The task has completed, but its completion is not committed to the state service yet.
    COMPLETED = 2
    COMMITTED = 3


class GateStatus:
    """The gate that blocks a group of jobs; one instance is shared by all of these jobs."""

    __slots__ = ("expected_open_us", "name", "reason")

    def __init__(self, name: str = "") -> None:
        #: The gate's name, and a text that says what the gate waits for, if that is known.
        self.name = name
        self.reason = ""
        #: The expected time at which the jobs may start, on the steady clock; None: unknown.
        self.expected_open_us: int | None = None


#: The status of a job while it is unknown whether a gate blocks the job. Until that is known, the
#: job counts as blocked.
UNKNOWN_GATE_STATUS = GateStatus()
