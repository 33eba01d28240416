"""What is reserved for whom, and the operators' settings for it."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class ReservationSettings:
    """The operators' choices."""

    #: How long a job waits before machines are held for it.
    age_us: int
    #: Within what time its tasks are to start: machines are emptied for it when it is time to.
    within_us: int
    #: A task that takes more than this part of every machine that it may run on is wide.
    least: float
    #: At most this part of the fleet's CPUs is on machines that are being emptied; one always is.
    share: float


@dataclass
class Reservations:
    """What is kept free, and for whom."""

    #: By machine: the job.
    machines: dict[str, str] = field(default_factory=dict)
    #: By machine: what surely ends before then may still run there; and for which moment of
    #: its job's that was said, as it only comes nearer until another task of it starts.
    until_us: dict[str, tuple[int, int]] = field(default_factory=dict)
    #: By team: CPUs and GPUs of its limit that nobody else of the team gets.
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
