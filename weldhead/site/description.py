"""What a site consists of: teams, machine types, limits; and the settings made from it."""

import os
from pathlib import Path

import msgspec

from weldhead.protocol.settings import (
    CloudLimits,
    DeploymentFacts,
    MachineLimits,
    Objective,
    PeerSettings,
    ServiceAddresses,
    Settings,
    SettingsError,
    StateLimits,
    Team,
    UpcomingStateLimits,
    WorkerLimits,
    parse_settings,
)
from weldhead.protocol.wire import MachineType
from weldhead.tomlfiles import FileProblemError, parse, problem_at, read_text

#: What is written for "as many as this machine has".
ALL = "all"


class TeamPart(msgspec.Struct, forbid_unknown_fields=True):
    """A team: CPUs guaranteed and at most, as numbers or ``"all"``."""

    name: str
    cpus: float | str = 0.0
    cpus_max: float | str = ALL
    gpus: float = 0.0
    gpus_max: float = 0.0


class MachinePart(msgspec.Struct, forbid_unknown_fields=True):
    """A machine type: a share of this machine that one worker looks after."""

    name: str
    cpus: float
    memory_gb: float
    gpus: float = 0.0
    price: float = 1.0
    spot_price: float = 0.5
    boot_s: float = 2.0
    #: How many there may be at once; None: as many as the cores allow.
    at_most: int | None = None
    zones: list[str] | None = None


class SpotPart(msgspec.Struct, forbid_unknown_fields=True):
    """When spot machines are taken back; ``mean_life_s`` 0: never."""

    mean_life_s: float = 0.0
    notice_s: float = 30.0
    #: Share of the machines that are taken without notice.
    unannounced: float = 0.1
    seed: int = 1


class CloudPart(msgspec.Struct, forbid_unknown_fields=True):
    """The pool's limits."""

    rps: float = 50.0
    list_lag_s: float = 0.5
    spot: SpotPart = msgspec.field(default_factory=SpotPart)


class NextPart(msgspec.Struct, forbid_unknown_fields=True):
    """Limits that the state service has from ``after_s`` after the site's start."""

    after_s: float
    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StatePart(msgspec.Struct, forbid_unknown_fields=True):
    """The state service's limits."""

    rps: float = 5000.0
    write_rps: float = 4000.0
    value_kb: float = 32.0
    txn_ops: int = 64
    next: NextPart | None = None


class WorkersPart(msgspec.Struct, forbid_unknown_fields=True):
    """How workers behave."""

    report_s: float = 1.0
    lease_s: float = 10.0
    cancel_s: float = 30.0


class ControllersPart(msgspec.Struct, forbid_unknown_fields=True):
    """How many controllers there are, and what each may use."""

    count: int = 3
    cpu_share: float = 1.0
    memory_mb: float = 512.0
    sockets: int = 1024
    #: A file of tunables, relative to the description.
    tunables: str | None = None


class Description(msgspec.Struct, forbid_unknown_fields=True):
    """A site."""

    machines: list[MachinePart]
    teams: list[TeamPart]
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])
    #: CPUs that all machines together may take; "all": those of this machine.
    cores: float | str = ALL
    controllers: ControllersPart = msgspec.field(default_factory=ControllersPart)
    workers: WorkersPart = msgspec.field(default_factory=WorkersPart)
    state: StatePart = msgspec.field(default_factory=StatePart)
    cloud: CloudPart = msgspec.field(default_factory=CloudPart)
    objectives: list[Objective] = []

    @property
    def total_cores(self) -> float:
        """CPUs that all machines together may take."""
        return _amount(self.cores, float(os.cpu_count() or 1))

    def state_limits(self) -> StateLimits:
        """Return the limits that the state service begins with, and those to come."""
        part = self.state
        coming = None
        if part.next is not None:
            change = part.next
            coming = UpcomingStateLimits(
                change.rps, change.write_rps, change.value_kb, change.txn_ops
            )
        return StateLimits(part.rps, part.write_rps, part.value_kb, part.txn_ops, coming)

    def catalog(self) -> list[MachineType]:
        """Return the pool's machine types."""
        return [
            MachineType(
                name=part.name,
                cpus=part.cpus,
                gpus=part.gpus,
                memory_gb=part.memory_gb,
                cache_gb=1e6,
                fetch_gb_per_s=1e6,
                price=part.price,
                spot_price=part.spot_price,
                boot_s=part.boot_s,
                zones=tuple(part.zones or self.zones),
            )
            for part in self.machines
        ]

    def facts(self) -> DeploymentFacts:
        """Return the settings' facts."""
        total = self.total_cores
        teams = [
            Team(
                part.name,
                _amount(part.cpus, total),
                _amount(part.cpus_max, total),
                part.gpus,
                part.gpus_max,
            )
            for part in self.teams
        ]
        return DeploymentFacts(
            zones=self.zones,
            teams=teams,
            workers=WorkerLimits(
                self.workers.report_s, self.workers.lease_s, self.workers.cancel_s
            ),
            state=self.state_limits(),
            cloud=CloudLimits(self.cloud.rps, self.cloud.list_lag_s),
            objectives=self.objectives,
            limits=MachineLimits(
                self.controllers.cpu_share, self.controllers.memory_mb, self.controllers.sockets
            ),
            clock_error_ms=50.0,
        )


def _amount(value: float | str, total: float) -> float:
    return total if isinstance(value, str) else float(value)


def _check(description: Description, source: str, text: str) -> None:
    def problem(reason: str, *path: str | int) -> FileProblemError:
        return problem_at(source, text, list(path), reason)

    total = description.total_cores
    if isinstance(description.cores, str) and description.cores != ALL:
        raise problem(f'must be a number or "{ALL}"', "cores")
    if total <= 0:
        raise problem("must be above 0", "cores")
    if not description.zones:
        raise problem("must name one zone or more", "zones")
    if not 1 <= description.controllers.count <= 32:
        raise problem("must be 1 to 32", "controllers", "count")
    for kind, parts in (("machines", description.machines), ("teams", description.teams)):
        if not parts:
            raise problem("must name one or more", kind)
        names = [part.name for part in parts]
        for index, name in enumerate(names):
            if not name or name in names[:index]:
                raise problem("must be a name of its own", kind, index, "name")
    for index, machine in enumerate(description.machines):
        for field in ("cpus", "memory_gb", "price", "spot_price"):
            if not getattr(machine, field) > 0:
                raise problem("must be above 0", "machines", index, field)
        if machine.cpus > total:
            raise problem(f"more than the site's {total:g}", "machines", index, "cpus")
        for zone in machine.zones or ():
            if zone not in description.zones:
                raise problem(f"unknown zone {zone!r}", "machines", index, "zones")
    for index, team in enumerate(description.teams):
        for field in ("cpus", "cpus_max"):
            value = getattr(team, field)
            if isinstance(value, str) and value != ALL:
                raise problem(f'must be a number or "{ALL}"', "teams", index, field)
            if _amount(value, total) < 0:
                raise problem("must be 0 or more", "teams", index, field)
    spot = description.cloud.spot
    if not 0 <= spot.unannounced <= 1:
        raise problem("must be a share from 0 to 1", "cloud", "spot", "unannounced")


def parse_description(source: str, text: str) -> Description:
    """Decode and check a site's description; FileProblem names line and field."""
    description = parse(source, text, Description)
    _check(description, source, text)
    made = controller_settings(description, ["127.0.0.1:1"] * 2, ["127.0.0.1:1"] * 2, "", "")
    try:
        # The controllers' own checks of limits and times apply to what is made of it.
        parse_settings(msgspec.json.encode(made[0]))
    except SettingsError as error:
        field, _, reason = str(error).partition(": ")
        steps: list[str | int] = [step for step in field.split(".") if step != "facts"]
        raise problem_at(source, text, steps, reason) from error
    return description


def read_description(path: Path) -> Description:
    """Read a site's description."""
    return parse_description(str(path), read_text(path))


def controller_settings(
    description: Description,
    addresses: list[str],
    peer_addresses: list[str],
    cloud: str,
    state: str,
) -> list[Settings]:
    """Return each controller's settings; addresses are ``host:port``, one a controller."""
    count = len(addresses)
    zones = [description.zones[index % len(description.zones)] for index in range(count)]
    nodes = [
        PeerSettings(f"controller-{index}", zones[index], peer_addresses[index])
        for index in range(count)
    ]
    return [
        Settings(
            name=nodes[index].name,
            zone=zones[index],
            listen=addresses[index],
            peer_listen=peer_addresses[index],
            peers=[node for node in nodes if node is not nodes[index]],
            services=ServiceAddresses(cloud or "127.0.0.1:1", state or "127.0.0.1:1"),
            facts=description.facts(),
        )
        for index in range(count)
    ]
