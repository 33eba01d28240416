"""Settings of the site's processes, which read them from JSON files at their start."""

import msgspec

from weldhead.protocol.wire import MachineType
from weldhead.site.description import SpotSection


class StateSettings(msgspec.Struct):
    """Settings of the state service.

    ``next_limits`` replace their counterparts in ``limits`` ``next_after_s`` seconds after
    the start; None: the limits never change.
    """

    record: str
    limits: dict[str, float]
    next_limits: dict[str, float] | None
    next_after_s: float


class PoolSettings(msgspec.Struct):
    """Settings of the machine pool; ``site`` is a name that no other site has.

    ``nodes`` maps the controllers' names to their addresses; ``at_most`` bounds the number of
    machines of a type.
    """

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
    """Settings of the HTTP front; ``nodes`` maps the controllers' names to their addresses."""

    root: str
    nodes: dict[str, str]
    teams: list[str]


class WorkerSettings(msgspec.Struct):
    """Settings of a machine's worker; ``nodes`` maps the controllers' names to their addresses.

    ``mark`` is the value of the environment variable that identifies the machine's processes.
    """

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
