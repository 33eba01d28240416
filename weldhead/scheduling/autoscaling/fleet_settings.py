"""The operators' settings of the fleet's size."""

from dataclasses import dataclass

from weldhead.provisioning.boot_times import BootExpectation


@dataclass(frozen=True)
class FleetSettings:
    """The operators' choices."""

    keep_idle_us: int
    keep_idle_spot_us: int
    spot_patience_us: int
    overdue_patience_us: int
    payback_us: int
    goal_margin: float
    reserve: float
    minimum_charge_us: int
    boots: BootExpectation
    most_per_look: int
    move_worth_us: int
    move_loss: float
    most_moves: int
    foresight_us: int
    most_considered: int
