"""The platform's settings file.

Unknown fields are ignored; a missing or invalid one is reported with its name.
"""

import math
from pathlib import Path

import msgspec

MAX_PORT = 65_535
#: Finishing a job changes so many keys.
MIN_TRANSACTION_OPS = 4
#: A chunk of a job's progress takes so much.
MIN_VALUE_KB = 2


class SettingsError(Exception):
    """The settings file cannot be used."""


class PeerSettings(
    msgspec.Struct, rename={"name": "label", "zone": "domain", "address": "endpoint"}
):
    """Another controller."""

    name: str
    zone: str
    address: str


class Services(msgspec.Struct):
    """Addresses of the cloud and the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit, in CPUs and cards.

    In the platform's file a 0 means none: no guarantee, and no limit. Taken for a limit of
    nothing, it refused all of a guest team's work. Whoever
    decides sees a limit that does not exist as infinite.
    """

    name: str
    cpus: float = 0.0
    stated_cpus_max: float = msgspec.field(default=0.0, name="cpus_max")
    gpus: float = 0.0
    stated_gpus_max: float = msgspec.field(default=0.0, name="gpus_max")

    @property
    def cpus_max(self) -> float:
        """The limit in CPUs."""
        return self.stated_cpus_max or math.inf

    @property
    def gpus_max(self) -> float:
        """The limit in cards."""
        return self.stated_gpus_max or math.inf


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """What users expect of a class of jobs."""

    kind: str
    job_class: str | None = None
    share: float | None = None
    within_s: float | None = None
    times: float | None = None


class WorkerLimits(msgspec.Struct):
    """How workers behave."""

    report_s: float
    lease_s: float
    cancel_s: float


class UpcomingStateLimits(msgspec.Struct):
    """Limits that the state service will have from some moment on; None: unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    #: They come without notice, so whoever calls the service keeps to ``tightest``.
    next: UpcomingStateLimits | None = None

    def tightest(self) -> "StateLimits":
        """Return the limits that hold now and after the change alike."""
        coming = self.next or UpcomingStateLimits()
        return StateLimits(
            rps=min(self.rps, coming.rps or self.rps),
            write_rps=min(self.write_rps, coming.write_rps or self.write_rps),
            value_kb=min(self.value_kb, coming.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, coming.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """How long a value may be."""
        return int(self.value_kb * 1024)


class CloudLimits(msgspec.Struct):
    """Limits of the cloud."""

    rps: float
    list_lag_s: float


class Facts(msgspec.Struct):
    """What the platform tells of the deployment."""

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


#: Less than this holds no controller: at rest it takes 27 MB of its own.
LEAST_MEMORY_MB = 32.0


class MachineLimits(msgspec.Struct, rename={"cpu_share": "cores", "memory_mb": "mem_mb"}):
    """What this controller may use; ``memory_mb`` 0 or absent: no limit is stated."""

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
    """The whole file."""

    name: str
    zone: str
    listen: str
    peer_listen: str
    peers: list[PeerSettings]
    services: Services
    facts: Facts


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; ValueError if it is neither."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not host:port: {address!r}")
    return host, int(port)


def _positive(name: str, value: float) -> None:
    if not value > 0:
        raise SettingsError(f"{name}: must be above 0, is {value}")


def _check_team(team: Team) -> None:
    """SettingsError if a team's amounts can be neither given nor kept to."""
    for field, amount in msgspec.structs.asdict(team).items():
        if field != "name" and not (math.isfinite(amount) and amount >= 0):
            wire = field.removeprefix("stated_")
            raise SettingsError(f"facts.teams: {team.name}: {wire}: {amount} is no amount")


def _check_memory(stated_mb: float) -> None:
    """SettingsError if no controller can live within the limit."""
    if stated_mb and not LEAST_MEMORY_MB <= stated_mb < math.inf:
        raise SettingsError(
            f"facts.machine_limits.mem_mb: at least {LEAST_MEMORY_MB:g} are needed, is {stated_mb}"
        )


def parse_settings(body: bytes) -> Settings:
    """Decode and check the settings; SettingsError names the field."""
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
    _positive("facts.workers.report_s", facts.workers.report_s)
    _positive("facts.workers.lease_s", facts.workers.lease_s)
    _positive("facts.workers.cancel_s", facts.workers.cancel_s)
    _positive("facts.state.rps", facts.state.rps)
    _positive("facts.state.write_rps", facts.state.write_rps)
    _positive("facts.cloud.rps", facts.cloud.rps)
    tightest = facts.state.tightest()
    _positive("facts.state.next.rps", tightest.rps)
    _positive("facts.state.next.write_rps", tightest.write_rps)
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
    """Read the settings file."""
    try:
        body = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse_settings(body)
