"""A site's description file: teams, machine types, limits; and the settings derived from it."""

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
from weldhead.tomlfiles import FileProblemError, build_problem, parse_toml, read_text

#: Value of a CPU amount that stands for all CPUs of the site, or of the host for ``cores``.
ALL_CPUS = "all"


class TeamSection(msgspec.Struct, forbid_unknown_fields=True):
    """A team with its guaranteed and maximum CPUs (a number or ``"all"``) and GPUs."""

    name: str
    cpus: float | str = 0.0
    cpus_max: float | str = ALL_CPUS
    gpus: float = 0.0
    gpus_max: float = 0.0


class MachineTypeSection(msgspec.Struct, forbid_unknown_fields=True):
    """A machine type: the share of the host that one worker manages."""

    name: str
    cpus: float
    memory_gb: float
    gpus: float = 0.0
    price: float = 1.0
    spot_price: float = 0.5
    boot_s: float = 2.0
    #: Maximum number of machines of the type at a time; None: as many as the cores allow.
    at_most: int | None = None
    zones: list[str] | None = None


class SpotSection(msgspec.Struct, forbid_unknown_fields=True):
    """Times at which spot machines are reclaimed; never if ``mean_life_s`` is 0."""

    mean_life_s: float = 0.0
    notice_s: float = 30.0
    #: Fraction of the spot machines that are reclaimed without notice.
    unannounced: float = 0.1
    seed: int = 1


class CloudSection(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the machine pool, which is the site's cloud."""

    rps: float = 50.0
    list_lag_s: float = 0.5
    spot: SpotSection = msgspec.field(default_factory=SpotSection)


class UpcomingStateSection(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the state service that apply ``after_s`` seconds after the site's start."""

    after_s: float
    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateSection(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the state service, which may change once after the start."""

    rps: float = 5000.0
    write_rps: float = 4000.0
    value_kb: float = 32.0
    txn_ops: int = 64
    next: UpcomingStateSection | None = None


class WorkersSection(msgspec.Struct, forbid_unknown_fields=True):
    """Timing of workers: report interval, lease and cancellation."""

    report_s: float = 1.0
    lease_s: float = 10.0
    cancel_s: float = 30.0


class ControllersSection(msgspec.Struct, forbid_unknown_fields=True):
    """Number of controllers, and the resources that each of them may use."""

    count: int = 3
    cpu_share: float = 1.0
    memory_mb: float = 512.0
    sockets: int = 1024
    #: Path of a file of tunables, relative to the description file.
    tunables: str | None = None


class Description(msgspec.Struct, forbid_unknown_fields=True):
    """Description of a site, as its TOML file holds it."""

    machines: list[MachineTypeSection]
    teams: list[TeamSection]
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])
    #: CPUs that all machines of the site may take together; "all": the CPUs of the host.
    cores: float | str = ALL_CPUS
    controllers: ControllersSection = msgspec.field(default_factory=ControllersSection)
    workers: WorkersSection = msgspec.field(default_factory=WorkersSection)
    state: StateSection = msgspec.field(default_factory=StateSection)
    cloud: CloudSection = msgspec.field(default_factory=CloudSection)
    objectives: list[Objective] = []

    @property
    def total_cores(self) -> float:
        """CPUs that all machines of the site may take together."""
        return _resolve_cpus(self.cores, float(os.cpu_count() or 1))

    def state_limits(self) -> StateLimits:
        """Return the state service's initial limits and its upcoming limits, if any."""
        section = self.state
        upcoming = None
        if section.next is not None:
            change = section.next
            upcoming = UpcomingStateLimits(
                change.rps, change.write_rps, change.value_kb, change.txn_ops
            )
        return StateLimits(
            section.rps, section.write_rps, section.value_kb, section.txn_ops, upcoming
        )

    def catalog(self) -> list[MachineType]:
        """Return the machine types that the pool offers."""
        return [
            MachineType(
                name=section.name,
                cpus=section.cpus,
                gpus=section.gpus,
                memory_gb=section.memory_gb,
                cache_gb=1e6,
                fetch_gb_per_s=1e6,
                price=section.price,
                spot_price=section.spot_price,
                boot_s=section.boot_s,
                zones=tuple(section.zones or self.zones),
            )
            for section in self.machines
        ]

    def facts(self) -> DeploymentFacts:
        """Return the facts part of the controllers' settings."""
        total = self.total_cores
        teams = [
            Team(
                section.name,
                _resolve_cpus(section.cpus, total),
                _resolve_cpus(section.cpus_max, total),
                section.gpus,
                section.gpus_max,
            )
            for section in self.teams
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


def _resolve_cpus(value: float | str, total: float) -> float:
    return total if isinstance(value, str) else float(value)


def _check_description(description: Description, source: str, text: str) -> None:
    def make_error(reason: str, *path: str | int) -> FileProblemError:
        return build_problem(source, text, list(path), reason)

    total = description.total_cores
    if isinstance(description.cores, str) and description.cores != ALL_CPUS:
        raise make_error(f'must be a number or "{ALL_CPUS}"', "cores")
    if total <= 0:
        raise make_error("must be above 0", "cores")
    if not description.zones:
        raise make_error("must name one zone or more", "zones")
    if not 1 <= description.controllers.count <= 32:
        raise make_error("must be 1 to 32", "controllers", "count")
    for kind, sections in (("machines", description.machines), ("teams", description.teams)):
        if not sections:
            raise make_error("must name one or more", kind)
        names = [section.name for section in sections]
        for index, name in enumerate(names):
            if not name or name in names[:index]:
                raise make_error(
                    "must be a non-empty name that no other entry has", kind, index, "name"
                )
    for index, machine in enumerate(description.machines):
        for field in ("cpus", "memory_gb", "price", "spot_price"):
            if not getattr(machine, field) > 0:
                raise make_error("must be above 0", "machines", index, field)
        if machine.cpus > total:
            raise make_error(
                f"must be at most {total:g}, the CPUs of the site", "machines", index, "cpus"
            )
        for zone in machine.zones or ():
            if zone not in description.zones:
                raise make_error(f"unknown zone {zone!r}", "machines", index, "zones")
    for index, team in enumerate(description.teams):
        for field in ("cpus", "cpus_max"):
            value = getattr(team, field)
            if isinstance(value, str) and value != ALL_CPUS:
                raise make_error(f'must be a number or "{ALL_CPUS}"', "teams", index, field)
            if _resolve_cpus(value, total) < 0:
                raise make_error("must be 0 or more", "teams", index, field)
    spot = description.cloud.spot
    if not 0 <= spot.unannounced <= 1:
        raise make_error("must be a fraction from 0 to 1", "cloud", "spot", "unannounced")


def parse_description(source: str, text: str) -> Description:
    """Decode and check a site's description; a FileProblemError names line and field."""
    description = parse_toml(source, text, Description)
    _check_description(description, source, text)
    all_settings = controller_settings(
        description, ["127.0.0.1:1"] * 2, ["127.0.0.1:1"] * 2, "", ""
    )
    try:
        # The controllers' own checks of limits and times apply to the derived settings.
        parse_settings(msgspec.json.encode(all_settings[0]))
    except SettingsError as error:
        field, _, reason = str(error).partition(": ")
        field_path: list[str | int] = [name for name in field.split(".") if name != "facts"]
        raise build_problem(source, text, field_path, reason) from error
    return description


def read_description(path: Path) -> Description:
    """Read and check the description file of a site."""
    return parse_description(str(path), read_text(path))


def controller_settings(
    description: Description,
    addresses: list[str],
    peer_addresses: list[str],
    cloud: str,
    state: str,
) -> list[Settings]:
    """Return each controller's settings; each list has one ``host:port`` per controller."""
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
