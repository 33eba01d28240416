"""What each part of a site is told by its keeper, in a JSON file."""

import msgspec

from weldhead.protocol.wire import MachineType
from weldhead.site.description import SpotSection


class StateSettings(msgspec.Struct):
    """What the state service is told: its limits are in the description's terms."""

    record: str
    limits: dict[str, float]
    next_limits: dict[str, float] | None
    next_after_s: float


class PoolSettings(msgspec.Struct):
    """What the pool is told; ``site`` is a name that no other site has."""

    site: str
    root: str
    types: list[MachineType]
    at_most: dict[str, int]
    cores: float
    rps: float
    list_lag_s: float
    report_s: float
    lease_s: float
    nodes: dict[str, str]
    front: str
    spot: SpotSection


class FrontSettings(msgspec.Struct):
    """What the front is told."""

    root: str
    nodes: dict[str, str]
    teams: list[str]


class WorkerSettings(msgspec.Struct):
    """What a worker is told; ``nodes`` are the controllers, by name."""

    machine: str
    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    report_s: float
    lease_s: float
    nodes: dict[str, str]
    front: str
    root: str
    mark: str
