"""The settings that operators may tune, and their default values.

The field names are the names of the settings in the operators' language. Durations end in ``_us``
here, and this suffix is left out in the language.
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
    """Settings of the leader's lease."""

    ttl_us: int = 3 * SECOND_US


@dataclass
class PreemptorTunables:
    """Settings of the preemptor, which stops tasks to free capacity for more important ones.

    Fields without a comment are explained at the fields of ``PreemptorSettings``. The Natjam
    paper uses 1 s for ``period``, 12 s for ``kill_timeout`` and 2 s for ``expiry``.
    """

    #: The time between two runs of the preemptor.
    period_us: int = 250 * MILLISECOND_US
    kill_timeout_us: int = 12 * SECOND_US
    #: A job whose laxity is at least this long is deferrable, unless an objective of its class
    #: limits its wait to this time or less.
    patience_us: int = 45 * SECOND_US
    claim_patience_us: int = 20 * SECOND_US
    expiry_us: int = 2 * SECOND_US

    def settings(self, silence_us: int) -> PreemptorSettings:
        """Return the settings of one run of the preemptor.

        A machine that sent no heartbeat for ``silence_us`` gets no tasks.
        """
        return PreemptorSettings(
            self.kill_timeout_us,
            self.claim_patience_us,
            self.expiry_us,
            silence_us,
        )


@dataclass
class FleetTunables:
    """Settings of the autoscaler, which rents and returns machines.

    Fields without a comment are explained at the field of ``FleetSettings`` that ``settings`` sets.
    """

    #: The time between two runs of the autoscaler.
    period_us: int = 1 * SECOND_US
    keep_idle_us: int = 8 * SECOND_US
    keep_idle_spot_us: int = 25 * SECOND_US
    spot_patience_us: int = 10 * SECOND_US
    overdue_patience_us: int = 60 * SECOND_US
    payback_us: int = 25 * SECOND_US
    goal_margin: float = 0.1
    #: The time constant with which the measured rates of arriving work decay.
    demand_memory_us: int = 100 * SECOND_US
    reserve: float = 0.15
    minimum_charge_us: int = 60 * SECOND_US
    #: After this multiple of the boot time stated for its type, a machine that has not booted
    #: is no longer counted on, and its replacement may be rented.
    boot_patience: float = 2.0
    #: After this multiple of the stated boot time, a machine that has not booted is returned.
    boot_give_up: float = 4.0
    #: How long an offer of machines is not rented after the cloud gave fewer than requested.
    refusal_backoff_us: int = 15 * SECOND_US
    most_per_look: int = 300
    move_worth_us: int = 30 * SECOND_US
    move_loss: float = 0.25
    most_moves: int = 20
    foresight_us: int = 45 * SECOND_US
    most_considered: int = 2_000

    def settings(self) -> FleetSettings:
        """Return the settings of one run of the autoscaler."""
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
class ReservationTunables:
    """Settings for reserving machines for tasks that need most of a machine.

    The fields are explained at the fields of ``ReservationSettings``, in the same order.
    """

    age_us: int = 15 * SECOND_US
    within_us: int = 150 * SECOND_US
    least: float = 0.5
    share: float = 0.15

    def settings(self) -> ReservationSettings:
        """Return the settings of one update of the reservations."""
        return ReservationSettings(self.age_us, self.within_us, self.least, self.share)


@dataclass
class RecoveryTunables:
    """Settings for the start of a term: the status probes of workers and the preemption rate."""

    #: The maximum number of status probes in flight.
    questions: int = 200
    #: How long the first probe of a machine may stay unanswered before the second is sent.
    ask_again_us: int = 150 * MILLISECOND_US
    #: After this time without any answer, machines that were probed twice count as unanswered.
    quiet_us: int = 400 * MILLISECOND_US
    #: How long the preemption rate is limited after the start of a term.
    settle_us: int = 10 * SECOND_US
    #: The share of the running attempts that may be preempted per second during that time.
    stop_share: float = 0.001

    def preemption_rate_settings(self) -> PreemptionRateSettings:
        """Return the limit on the preemption rate at the start of a term."""
        return PreemptionRateSettings(self.settle_us, self.stop_share)

    def probe_settings(self, sockets: int) -> ProbeSettings:
        """Return the settings of status probes for a process that may open ``sockets`` sockets."""
        max_in_flight = max(4, min(self.questions, sockets // 8))
        return ProbeSettings(max_in_flight, self.ask_again_us, no_answer_period_us=self.quiet_us)


@dataclass
class Tunables:
    """All settings that operators may tune."""

    #: Whether run commands are sent to a worker directly, without waiting for its heartbeat.
    direct_runs: bool = True
    #: The maximum number of direct requests to workers in flight.
    direct_at_once: int = 100
    #: The weight of the delay by fetching an image when a machine is chosen for a task.
    fetch_weight: float = 1.0
    #: The pause between two placement passes.
    placement_pause_us: int = 50 * MILLISECOND_US
    #: How long ends of jobs are gathered into one write.
    commit_gather_us: int = 100 * MILLISECOND_US
    #: How long completions of tasks of unfinished jobs are gathered into one write.
    progress_gather_us: int = 1 * SECOND_US
    #: The time between two updates of the forecasts.
    forecast_period_us: int = 1 * SECOND_US
    #: The maximum time between two forecasts of a job, unless its calendar deadline is far away.
    forecast_recheck_us: int = 4 * SECOND_US
    #: The maximum number of forecasts in one update.
    most_forecasts: int = 5_000
    #: Runs of a background task that hold the event loop for longer than this share of the leader
    #: lease are logged.
    most_hold: float = 0.1
    #: The share that is added to the estimated run time of a job in a chain of dependent jobs,
    #: because the last of many tasks takes longer than the mean.
    chain_margin: float = 0.25
    leadership: LeadershipTunables = field(default_factory=LeadershipTunables)
    preemptor: PreemptorTunables = field(default_factory=PreemptorTunables)
    fleet: FleetTunables = field(default_factory=FleetTunables)
    holding: ReservationTunables = field(default_factory=ReservationTunables)
    recovery: RecoveryTunables = field(default_factory=RecoveryTunables)
