"""The JSON messages of the HTTP interfaces, with standard Python field names.

The protocol uses other field names. They appear only in this module and in
``weldhead/protocol/settings.py``, as ``rename`` maps. Unknown fields are ignored by msgspec, as
the protocol requires.
"""

from typing import Any, Literal

import msgspec

from weldhead.clock import SECOND_US

JobKind = Literal["batch", "standing"]
PriorityName = Literal["production", "high", "normal", "idle"]
ReportedTaskState = Literal["pulling", "running", "saving", "ended"]

#: The level of each priority; jobs of a higher level are more important.
PRIORITY_LEVELS: dict[str, int] = {"idle": 0, "normal": 1, "high": 2, "production": 3}

MAX_BODY_BYTES = 64 * 1024
MAX_TASKS = 100_000

#: The values written by one transaction may take so much of its body, beside keys and conditions.
MAX_TRANSACTION_VALUE_BYTES = 48 * 1024

#: The longest entry of a task in a heartbeat: a name of 34 characters, an attempt number of 20
#: digits, every optional field, and a space behind each separator.
MAX_LISTED_TASK_BYTES = 136
#: Room in a heartbeat for all fields but the tasks.
HEARTBEAT_HEAD_BYTES = 1536
#: A worker lists all tasks on its machine, ended ones until they are forgotten, in one heartbeat.
#: With more of them, every heartbeat would be refused as too large.
MAX_TASKS_PER_MACHINE = (MAX_BODY_BYTES - HEARTBEAT_HEAD_BYTES) // MAX_LISTED_TASK_BYTES
#: The longest command, and room for all fields of an answer but the commands.
MAX_COMMAND_BYTES = 128
ANSWER_HEAD_BYTES = 128
#: How many commands fit into one answer to a heartbeat, or into one direct request.
MAX_COMMANDS = (MAX_BODY_BYTES - ANSWER_HEAD_BYTES) // MAX_COMMAND_BYTES

_ENCODED_JOB_FIELDS = {
    "id": "uid",
    "job_class": "jobclass",
    "team": "owner",
    "kind": "shape",
    "priority": "urgency",
    "tasks": "pieces",
    "cpus": "cores",
    "gpus": "cards",
    "memory_gb": "ram_gb",
    "image": "build",
    "image_gb": "pull_gb",
    "types": "frames",
    "zone": "yard",
    "one_zone": "same_place",
    "spread": "apart",
    "spot": "loaners",
    "estimate_s": "expected_s",
    "checkpoint_s": "tack_s",
    "save_s": "weld_s",
    "deadline_s": "due_s",
    "needs": "waits_on",
}


class JobSpec(msgspec.Struct, rename=_ENCODED_JOB_FIELDS, omit_defaults=True, frozen=True):
    """A submitted job: its tasks, their resources and the constraints on their placement."""

    id: str
    job_class: str
    team: str
    kind: JobKind
    priority: PriorityName
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    types: tuple[str, ...] | None = None
    zone: str | None = None
    deadline_s: float | None = None
    #: The ids of the jobs that have to be done before any task of this job starts.
    needs: tuple[str, ...] | None = None

    @property
    def is_service(self) -> bool:
        """Whether the job is a service: its tasks are replicas that run until it is cancelled."""
        return self.kind == "standing"

    @property
    def priority_level(self) -> int:
        """The priority as a number; a larger number means a higher priority."""
        return PRIORITY_LEVELS[self.priority]

    @property
    def estimate_us(self) -> int:
        """The run time of one task as estimated in the submission."""
        return round(self.estimate_s * SECOND_US)


class JobStatus(msgspec.Struct, rename={"id": "uid", "state": "status"}, omit_defaults=True):
    """The answer to a submission, a poll or a cancellation.

    The fields from ``forecast_s`` on are an addition of weldhead to the protocol:

    - ``forecast_s``: the forecast of the job's end, in seconds from the submission.
    - ``late`` and ``late_by_s``: whether and by how much the forecast misses the job's due time.
    - ``due_at``: the due time that a calendar sets (RFC 3339, UTC).
    - ``held_by``: the gate that keeps the job from starting.
    """

    id: str
    state: str
    done: int | None = None
    running: int | None = None
    forecast_s: float | None = None
    late: bool | None = None
    late_by_s: float | None = None
    due_at: str | None = None
    held_by: str | None = None


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """The JSON body of an HTTP response that refuses a request."""

    error: str
    field: str | None = None


class ReportedTask(
    msgspec.Struct,
    rename={"task": "piece", "attempt": "pass", "state": "status", "why": "cause", "saved": "kept"},
    # Thousands are decoded per second, and they refer to no other containers, so the garbage
    # collector does not need to track them.
    gc=False,
):
    """The state of one attempt of a task, as the worker of its machine reports it.

    ``why`` is the cause of an attempt's end.
    """

    task: str
    attempt: int
    state: ReportedTaskState
    why: str | None = None
    saved: bool | None = None


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine": "welder",
        "address": "endpoint",
        "type": "frame",
        "zone": "yard",
        "spot": "loaners",
        "session": "shift",
        "sequence": "stamp",
        "token": "torch",
        "notice_s": "recall_s",
        "tasks": "pieces",
    },
):
    """A worker's periodic report of its machine and of the tasks there."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    sequence: int
    token: int
    tasks: list[ReportedTask]
    notice_s: float | None = None


class Command(
    msgspec.Struct,
    rename={"op": "order", "task": "piece", "attempt": "pass", "grace_s": "cooldown_s"},
    omit_defaults=True,
    gc=False,
):
    """A command to a worker: ``run``, ``kill`` or ``forget`` one attempt of a task."""

    op: Literal["run", "kill", "forget"]
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatAnswer(msgspec.Struct, rename={"token": "torch", "commands": "orders"}):
    """The leader's answer to a heartbeat: its token and commands for the worker."""

    token: int
    commands: list[Command]


class DirectCommands(
    msgspec.Struct, rename={"token": "torch", "session": "shift", "commands": "orders"}
):
    """Commands that the leader sends to a worker without waiting for its heartbeat."""

    token: int
    session: int
    commands: list[Command]


class LeaderRedirect(msgspec.Struct, rename={"leader": "foreman"}, omit_defaults=True):
    """The body of a 421 response to a heartbeat: the name of the leader, or None if unknown."""

    leader: str | None = None


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "label",
        "cpus": "cores",
        "gpus": "cards",
        "memory_gb": "ram_gb",
        "price": "rate",
        "spot_price": "market_price",
        "zones": "yards",
    },
):
    """A machine type in the cloud's catalog: its resources, prices and zones."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def fits(self, spec: JobSpec) -> bool:
        """Return whether one task of the job fits on an empty machine of this type."""
        return (
            (spec.types is None or self.name in spec.types)
            and (spec.zone is None or spec.zone in self.zones)
            and spec.cpus <= self.cpus
            and spec.gpus <= self.gpus
            and spec.memory_gb <= self.memory_gb
        )


class Catalog(msgspec.Struct, rename={"types": "frames"}):
    """The machine types that the cloud offers."""

    types: list[MachineType]


class RentalRequest(
    msgspec.Struct,
    rename={
        "request": "hire",
        "type": "frame",
        "zone": "yard",
        "spot": "loaners",
        "count": "how_many",
    },
):
    """A request to rent machines; its name ``request`` is never reused for another rental."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "welders"}):
    """The names of machines: the answer to a rental, or the body of a request to delete them."""

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={
        "id": "uid",
        "address": "endpoint",
        "type": "frame",
        "zone": "yard",
        "spot": "loaners",
        "state": "status",
    },
):
    """A machine in the cloud's machine list."""

    id: str
    type: str
    zone: str
    spot: bool
    state: Literal["starting", "running", "failed"]
    age_s: float
    address: str | None = None


class MachineList(msgspec.Struct, rename={"machines": "welders", "more": "has_next"}):
    """One page of the cloud's machine list."""

    machines: list[ListedMachine]
    more: bool


class KeyValue(msgspec.Struct, rename={"version": "mark", "lease": "permit"}):
    """A key of the state service, its value, its version and the lease it is attached to."""

    key: str
    value: msgspec.Raw
    version: int
    lease: int | None = None


class KeyValuePage(msgspec.Struct, rename={"more": "has_next", "revision": "ledger"}):
    """One page of a list of keys, as of a revision of the state service."""

    items: list[KeyValue]
    more: bool
    revision: int


class Condition(msgspec.Struct, rename={"version": "mark"}):
    """The version that a key must have for a transaction; 0 means that it must not exist."""

    key: str
    version: int


class PutKey(msgspec.Struct, rename={"key": "set", "lease": "permit"}, omit_defaults=True):
    """A write of a key in a transaction."""

    key: str
    value: Any
    lease: int | None = None


class DeleteKey(msgspec.Struct, rename={"key": "delete"}):
    """A deletion of a key in a transaction."""

    key: str


class Transaction(
    msgspec.Struct, rename={"conditions": "if", "writes": "writes"}, omit_defaults=True
):
    """Writes that are applied together if every condition holds, and otherwise not at all."""

    conditions: list[Condition]
    writes: list[PutKey | DeleteKey] = []


class CommittedRevision(msgspec.Struct, rename={"revision": "ledger"}):
    """The answer to a committed transaction: its revision."""

    revision: int


class GrantedLease(msgspec.Struct, rename={"lease": "permit"}):
    """The answer to a ``LeaseRequest``: the id of the lease that the state service granted."""

    lease: int


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "life_ms"}):
    """A request to the state service for a lease."""

    ttl_ms: int


class KeyEvent(msgspec.Struct, rename={"put": "set", "version": "mark"}):
    """A change of a key; ``put`` or ``delete`` holds the key's name, depending on the change."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class KeyChanges(msgspec.Struct, rename={"revision": "ledger"}):
    """The changes of keys after a revision of the state service."""

    revision: int
    events: list[KeyEvent]


def task_name(job_id: str, index: int) -> str:
    """Return the name of a job's task with this index."""
    return f"{job_id}/{index}"


def split_task_name(name: str) -> tuple[str, int]:
    """Return the job id and index in a task's name; raise ValueError if the name is malformed."""
    job_id, slash, index = name.rpartition("/")
    if not slash or not job_id or not index.isdecimal():
        raise ValueError(f"not a task name: {name!r}")
    return job_id, int(index)
