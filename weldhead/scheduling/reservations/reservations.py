"""The reservations of machines and team quota, and the settings that control them."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class ReservationSettings:
    """The operator's settings for reservations."""

    #: How long a job waits before machines are reserved for it.
    min_wait_us: int
    #: Target for the time from when a job can run until its tasks start. A machine is vacated for
    #: the job only as early as this target requires.
    start_target_us: int
    #: A task is wide if it needs more than this fraction of every machine that it may run on.
    wide_task_fraction: float
    #: The fraction of the fleet's CPUs that may be on machines that are being vacated. One
    #: machine may always be vacated.
    max_vacated_fraction: float


@dataclass
class Reservations:
    """Machines and team quota that are reserved for certain jobs."""

    #: ID of the job that a machine is reserved for, by machine.
    machines: dict[str, str] = field(default_factory=dict)
    #: By machine: the time by which other jobs' tasks that still start there must end, and the
    #: number of waiting tasks that the reserving job had when that time was estimated. While
    #: that number is unchanged, the time is only ever moved earlier.
    fill_deadlines: dict[str, tuple[int, int]] = field(default_factory=dict)
    #: By team: CPUs and GPUs of its limit that are withheld from the team's other jobs.
    quota_by_team: dict[str, tuple[float, float]] = field(default_factory=dict)
