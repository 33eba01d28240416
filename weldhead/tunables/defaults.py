"""What operators may tune, with its defaults.

Field names are the settings' names in the operators' language; ``_us`` marks durations and
is left out there.
"""

from dataclasses import dataclass, field

from weldhead.clock import MILLISECOND_US, SECOND_US
from weldhead.provisioning.boot_times import BootExpectation
from weldhead.reconciliation.preemption_rate_limit import PreemptionRateSettings
from weldhead.reconciliation.status_probes import ProbeSettings
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.preemption.victim_rules import PreemptorSettings
from weldhead.scheduling.reservations.reservations import ReservationSettings


@dataclass
class LeadershipTunables:
    """The leader's lease."""

    ttl_us: int = 3 * SECOND_US


@dataclass
class PreemptorTunables:
    """The preemptor; the paper's values are 1 s, 12 s and 2 s."""

    period_us: int = 250 * MILLISECOND_US
    kill_timeout_us: int = 12 * SECOND_US
    patience_us: int = 45 * SECOND_US
    claim_patience_us: int = 20 * SECOND_US
    expiry_us: int = 2 * SECOND_US

    def settings(self, silence_us: int) -> PreemptorSettings:
        """Return what one run needs."""
        return PreemptorSettings(
            self.kill_timeout_us,
            self.claim_patience_us,
            self.expiry_us,
            silence_us,
        )


@dataclass
class FleetTunables:
    """Renting and returning."""

    period_us: int = 1 * SECOND_US
    keep_idle_us: int = 8 * SECOND_US
    keep_idle_spot_us: int = 25 * SECOND_US
    spot_patience_us: int = 10 * SECOND_US
    overdue_patience_us: int = 60 * SECOND_US
    payback_us: int = 25 * SECOND_US
    goal_margin: float = 0.1
    demand_memory_us: int = 100 * SECOND_US
    reserve: float = 0.15
    minimum_charge_us: int = 60 * SECOND_US
    boot_patience: float = 2.0
    boot_give_up: float = 4.0
    refusal_backoff_us: int = 15 * SECOND_US
    most_per_look: int = 300
    move_worth_us: int = 30 * SECOND_US
    move_loss: float = 0.25
    most_moves: int = 20
    foresight_us: int = 45 * SECOND_US
    most_considered: int = 2_000

    def settings(self) -> FleetSettings:
        """Return what one run needs."""
        return FleetSettings(
            keep_idle_us=self.keep_idle_us,
            keep_idle_spot_us=self.keep_idle_spot_us,
            spot_patience_us=self.spot_patience_us,
            overdue_patience_us=self.overdue_patience_us,
            payback_us=self.payback_us,
            target_margin=self.goal_margin,
            reserve_share=self.reserve,
            minimum_charge_us=self.minimum_charge_us,
            boot_expectation=BootExpectation(1.0, self.boot_patience, self.boot_give_up),
            max_machines_per_run=self.most_per_look,
            min_drain_saving_us=self.move_worth_us,
            max_lost_work_share=self.move_loss,
            max_drains_per_run=self.most_moves,
            demand_horizon_us=self.foresight_us,
            max_considered_jobs=self.most_considered,
        )


@dataclass
class HoldingTunables:
    """Machines kept free for tasks that take most of one."""

    age_us: int = 15 * SECOND_US
    within_us: int = 150 * SECOND_US
    least: float = 0.5
    share: float = 0.15

    def settings(self) -> ReservationSettings:
        """Return what one look needs."""
        return ReservationSettings(self.age_us, self.within_us, self.least, self.share)


@dataclass
class RecoveryTunables:
    """The start of a term: how workers are asked, and how fast work is stopped for other work."""

    questions: int = 200
    ask_again_us: int = 150 * MILLISECOND_US
    quiet_us: int = 400 * MILLISECOND_US
    settle_us: int = 10 * SECOND_US
    stop_share: float = 0.001

    def pace(self) -> PreemptionRateSettings:
        """Return how fast work is stopped for other work at first."""
        return PreemptionRateSettings(self.settle_us, self.stop_share)

    def asking(self, sockets: int) -> ProbeSettings:
        """Return how workers are asked by a process with that many sockets."""
        at_once = max(4, min(self.questions, sockets // 8))
        return ProbeSettings(at_once, self.ask_again_us, no_answer_period_us=self.quiet_us)


@dataclass
class Tunables:
    """All settings."""

    direct_runs: bool = True
    direct_at_once: int = 100
    fetch_weight: float = 1.0
    placement_pause_us: int = 50 * MILLISECOND_US
    commit_gather_us: int = 100 * MILLISECOND_US
    progress_gather_us: int = 1 * SECOND_US
    forecast_period_us: int = 1 * SECOND_US
    forecast_recheck_us: int = 4 * SECOND_US
    most_forecasts: int = 5_000
    most_hold: float = 0.1
    chain_margin: float = 0.25
    leadership: LeadershipTunables = field(default_factory=LeadershipTunables)
    preemptor: PreemptorTunables = field(default_factory=PreemptorTunables)
    fleet: FleetTunables = field(default_factory=FleetTunables)
    holding: HoldingTunables = field(default_factory=HoldingTunables)
    recovery: RecoveryTunables = field(default_factory=RecoveryTunables)
