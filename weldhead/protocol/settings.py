"""The settings file that the platform writes for each controller.

Unknown fields are ignored. The error for a missing or invalid field names that field.
"""

import math
from pathlib import Path

import msgspec

MAX_PORT = 65_535
#: The number of keys that are changed when a job is finished.
MIN_TRANSACTION_OPS = 4
#: The value size that one chunk of a job's progress requires, see
#: ``weldhead/cluster_state/records.py``.
MIN_VALUE_KB = 2


class SettingsError(Exception):
    """The settings file cannot be read, is malformed or has an invalid value."""


class PeerSettings(
    msgspec.Struct, rename={"name": "label", "zone": "domain", "address": "endpoint"}
):
    """The name, zone and peer address of another controller."""

    name: str
    zone: str
    address: str


class ServiceAddresses(msgspec.Struct):
    """Addresses of the cloud and the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed quota and its limit, in CPUs and GPUs.

    In the settings file, 0 means that there is no guarantee or no limit. When a limit of 0 was
    applied literally, all jobs of a guest team were refused. Therefore ``cpus_max`` and
    ``gpus_max`` return infinity for it; the ``stated_`` fields hold the value in the file.
    """

    name: str
    cpus: float = 0.0
    stated_cpus_max: float = msgspec.field(default=0.0, name="cpus_max")
    gpus: float = 0.0
    stated_gpus_max: float = msgspec.field(default=0.0, name="gpus_max")

    @property
    def cpus_max(self) -> float:
        """The limit in CPUs; infinite if there is none."""
        return self.stated_cpus_max or math.inf

    @property
    def gpus_max(self) -> float:
        """The limit in GPUs; infinite if there is none."""
        return self.stated_gpus_max or math.inf


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service level objective for the jobs of a class, see ``weldhead.scheduling.objectives``."""

    kind: str
    job_class: str | None = None
    share: float | None = None
    within_s: float | None = None
    times: float | None = None


class WorkerLimits(msgspec.Struct):
    """Time limits of workers.

    - ``report_s``: the interval of a worker's heartbeats.
    - ``lease_s``: how long a worker may run its tasks after an answer to a heartbeat.
    - ``cancel_s``: how long a task of a job may still run after the job's confirmed cancellation.
    """

    report_s: float
    lease_s: float
    cancel_s: float


class UpcomingStateLimits(msgspec.Struct):
    """Limits that the state service will have after a change; None means unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Rate and size limits of the state service, as they are now."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    #: The limits after an announced change, or None if no change is announced. The new limits
    #: take effect without notice, so clients always respect the result of ``tightest``.
    next: UpcomingStateLimits | None = None

    def tightest(self) -> "StateLimits":
        """Return limits that are valid both before and after the change."""
        upcoming = self.next or UpcomingStateLimits()
        return StateLimits(
            rps=min(self.rps, upcoming.rps or self.rps),
            write_rps=min(self.write_rps, upcoming.write_rps or self.write_rps),
            value_kb=min(self.value_kb, upcoming.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, upcoming.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """The maximum size of a value."""
        return int(self.value_kb * 1024)


class CloudLimits(msgspec.Struct):
    """The cloud's request rate limit, and how late its machine list may show a change."""

    rps: float
    list_lag_s: float


class DeploymentFacts(msgspec.Struct):
    """The part of the settings that describes the deployment and its limits."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerLimits
    state: StateLimits
    cloud: CloudLimits
    objectives: list[Objective] = []
    limits: "MachineLimits" = msgspec.field(
        default_factory=lambda: MachineLimits(), name="machine_limits"
    )
    clock_error_ms: float = 1000.0


#: A controller cannot run with less memory than this: without load it takes 27 MB.
MIN_MEMORY_MB = 32.0


class MachineLimits(msgspec.Struct, rename={"cpu_share": "cores", "memory_mb": "mem_mb"}):
    """The CPU share, memory and sockets that this controller may use.

    If ``memory_mb`` is 0 or absent, the settings give no memory limit.
    """

    cpu_share: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 1024


class Settings(
    msgspec.Struct,
    rename={
        "name": "label",
        "zone": "domain",
        "listen": "serve_on",
        "peer_listen": "internal_addr",
        "peers": "seeds",
        "services": "external",
    },
):
    """The contents of the settings file."""

    name: str
    zone: str
    listen: str
    peer_listen: str
    peers: list[PeerSettings]
    services: ServiceAddresses
    facts: DeploymentFacts


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form ``host:port``; raise ValueError for any other text."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not host:port: {address!r}")
    return host, int(port)


def _require_positive(name: str, value: float) -> None:
    if not value > 0:
        raise SettingsError(f"{name}: must be above 0, is {value}")


def _check_team(team: Team) -> None:
    """Raise SettingsError if an amount of the team is negative or not finite."""
    for field, amount in msgspec.structs.asdict(team).items():
        if field != "name" and not (math.isfinite(amount) and amount >= 0):
            wire_name = field.removeprefix("stated_")
            raise SettingsError(f"facts.teams: {team.name}: {wire_name}: {amount} is no amount")


def _check_memory(stated_mb: float) -> None:
    """Raise SettingsError if a controller cannot run within the memory limit."""
    if stated_mb and not MIN_MEMORY_MB <= stated_mb < math.inf:
        raise SettingsError(
            f"facts.machine_limits.mem_mb: at least {MIN_MEMORY_MB:g} are needed, is {stated_mb}"
        )


def parse_settings(body: bytes) -> Settings:
    """Decode and check the settings; raise SettingsError, which names the field, if invalid."""
    try:
        settings = msgspec.json.decode(body, type=Settings, strict=True)
    except msgspec.DecodeError as error:
        raise SettingsError(str(error)) from error
    addresses = [("serve_on", settings.listen), ("internal_addr", settings.peer_listen)]
    addresses += [(f"seeds: {peer.name}", peer.address) for peer in settings.peers]
    addresses += [
        ("external.cloud", settings.services.cloud),
        ("external.state", settings.services.state),
    ]
    for name, address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise SettingsError(f"{name}: {error}") from error
    facts = settings.facts
    _require_positive("facts.workers.report_s", facts.workers.report_s)
    _require_positive("facts.workers.lease_s", facts.workers.lease_s)
    _require_positive("facts.workers.cancel_s", facts.workers.cancel_s)
    _require_positive("facts.state.rps", facts.state.rps)
    _require_positive("facts.state.write_rps", facts.state.write_rps)
    _require_positive("facts.cloud.rps", facts.cloud.rps)
    tightest = facts.state.tightest()
    _require_positive("facts.state.next.rps", tightest.rps)
    _require_positive("facts.state.next.write_rps", tightest.write_rps)
    if tightest.txn_ops < MIN_TRANSACTION_OPS:
        raise SettingsError("facts.state.txn_ops: at least 4 are needed to finish a job")
    if tightest.value_kb < MIN_VALUE_KB:
        raise SettingsError("facts.state.value_kb: at least 2 are needed for a job's progress")
    _check_memory(facts.limits.memory_mb)
    for team in facts.teams:
        _check_team(team)
    if len({team.name for team in facts.teams}) != len(facts.teams):
        raise SettingsError("facts.teams: two teams have the same name")
    names = [settings.name, *(peer.name for peer in settings.peers)]
    if len(set(names)) != len(names):
        raise SettingsError("seeds: two nodes have the same label")
    return settings


def load_settings(path: Path) -> Settings:
    """Read and check the settings file; raise SettingsError if it cannot be used."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse_settings(body)
