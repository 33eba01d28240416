"""States of tasks, attempts and gates in memory."""

import enum


class AttemptPhase(enum.Enum):
    """Where an attempt stands, as far as the leader knows."""

    #: Promised a place; the worker has not reported it yet.
    ASSIGNED = "assigned"
    PULLING = "pulling"
    RUNNING = "running"
    SAVING = "saving"


class StopRequest(enum.Enum):
    """Whether an attempt was asked to stop, and how."""

    NO = 0
    #: May save first.
    SOFT = 1
    HARD = 2


class TaskState(enum.IntEnum):
    """A task's state."""

    WAITING = 0
    #: An attempt may exist somewhere.
    ACTIVE = 1
    #: Completed, not yet committed.
    COMPLETED = 2
    COMMITTED = 3


class GateStatus:
    """What holds jobs that wait for the same; shared by all of them."""

    __slots__ = ("expected_open_us", "name", "reason")

    def __init__(self, name: str = "") -> None:
        #: The gate, and what it waits for in words, as far as is known.
        self.name = name
        self.reason = ""
        #: When they are expected to wait no more, on the steady clock; None: cannot be told.
        self.expected_open_us: int | None = None


#: Nobody knows yet whether a job is held, or by what: closed when in doubt.
UNKNOWN_GATE_STATUS = GateStatus()
