"""The wire's messages under the field's standard names.

The names used on the wire appear in this module (and in the settings file's) only, as
``rename`` maps. Unknown fields are ignored by msgspec, as the protocol asks.
"""

from typing import Any, Literal

import msgspec

from weldhead.clock import SECOND_US

Shape = Literal["batch", "standing"]
Urgency = Literal["production", "high", "normal", "idle"]
ReportedTaskState = Literal["pulling", "running", "saving", "ended"]

#: Larger is more important.
PRIORITY_LEVELS: dict[str, int] = {"idle": 0, "normal": 1, "high": 2, "production": 3}

MAX_BODY_BYTES = 64 * 1024
MAX_TASKS = 100_000

_JOB_NAMES = {
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


class JobSpec(msgspec.Struct, rename=_JOB_NAMES, omit_defaults=True, frozen=True):
    """A submission."""

    id: str
    job_class: str
    team: str
    kind: Shape
    priority: Urgency
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
    #: Jobs that have to be done before any task of this one starts.
    needs: tuple[str, ...] | None = None

    @property
    def is_service(self) -> bool:
        """Whether the job's tasks are replicas that run until it is cancelled."""
        return self.kind == "standing"

    @property
    def level(self) -> int:
        """The priority as a number, larger first."""
        return PRIORITY_LEVELS[self.priority]

    @property
    def estimate_us(self) -> int:
        """The owner's estimate of one task's run time."""
        return round(self.estimate_s * SECOND_US)


class JobStatus(msgspec.Struct, rename={"id": "uid", "state": "status"}, omit_defaults=True):
    """The answer to a submission, a poll or a cancellation.

    The fields from ``forecast_s`` on are weldhead's own: a forecast, in seconds from the
    submission; when it is due by a calendar (RFC 3339, UTC), and which gate holds it.
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
    """The JSON body of a refusal."""

    error: str
    field: str | None = None


class ReportedTask(
    msgspec.Struct,
    rename={"task": "piece", "attempt": "pass", "state": "status", "why": "cause", "saved": "kept"},
    # Thousands come in a second and refer to nothing: the collector need not look at them.
    gc=False,
):
    """One task on a machine, as its worker sees it."""

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
    """A worker's report."""

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
    """One command to a worker: ``run``, ``kill`` or ``forget``."""

    op: Literal["run", "kill", "forget"]
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatAnswer(msgspec.Struct, rename={"token": "torch", "commands": "orders"}):
    """The answer to a report."""

    token: int
    commands: list[Command]


class DirectCommands(
    msgspec.Struct, rename={"token": "torch", "session": "shift", "commands": "orders"}
):
    """A direct request to a worker."""

    token: int
    session: int
    commands: list[Command]


class LeaderRedirect(msgspec.Struct, rename={"leader": "foreman"}, omit_defaults=True):
    """The body of a 421."""

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
    """A machine type of the catalog."""

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
        """Whether one task of the job fits an empty machine of this type."""
        return (
            (spec.types is None or self.name in spec.types)
            and (spec.zone is None or spec.zone in self.zones)
            and spec.cpus <= self.cpus
            and spec.gpus <= self.gpus
            and spec.memory_gb <= self.memory_gb
        )


class Catalog(msgspec.Struct, rename={"types": "frames"}):
    """The cloud's machine types."""

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
    """A request for machines; its name is never used for anything else."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "welders"}):
    """Machine names: what a rental answers and a deletion asks."""

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
    """A machine as the cloud lists it."""

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
    """A key of the state service."""

    key: str
    value: msgspec.Raw
    version: int
    lease: int | None = None


class KeyValuePage(msgspec.Struct, rename={"more": "has_next", "revision": "ledger"}):
    """One page of keys."""

    items: list[KeyValue]
    more: bool
    revision: int


class Condition(msgspec.Struct, rename={"version": "mark"}):
    """A key must have this version; 0: it must not exist."""

    key: str
    version: int


class PutKey(msgspec.Struct, rename={"key": "set", "lease": "permit"}, omit_defaults=True):
    """Write a key."""

    key: str
    value: Any
    lease: int | None = None


class DeleteKey(msgspec.Struct, rename={"key": "delete"}):
    """Remove a key."""

    key: str


class Transaction(
    msgspec.Struct, rename={"conditions": "if", "writes": "writes"}, omit_defaults=True
):
    """Writes that happen together, if every condition holds."""

    conditions: list[Condition]
    writes: list[PutKey | DeleteKey] = []


class CommittedRevision(msgspec.Struct, rename={"revision": "ledger"}):
    """A transaction's revision."""

    revision: int


class GrantedLease(msgspec.Struct, rename={"lease": "permit"}):
    """A lease of the state service."""

    lease: int


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "life_ms"}):
    """A request for a lease."""

    ttl_ms: int


class KeyEvent(msgspec.Struct, rename={"put": "set", "version": "mark"}):
    """A change; ``put`` or ``delete`` holds the key."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class KeyChanges(msgspec.Struct, rename={"revision": "ledger"}):
    """The changes after a revision."""

    revision: int
    events: list[KeyEvent]


def task_name(job_id: str, index: int) -> str:
    """Name a task."""
    return f"{job_id}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """Return a task's job and index; ValueError if the name is malformed."""
    job_id, slash, index = name.rpartition("/")
    if not slash or not job_id or not index.isdecimal():
        raise ValueError(f"not a task name: {name!r}")
    return job_id, int(index)
