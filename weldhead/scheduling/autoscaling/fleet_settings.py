"""The operators' settings for the size of the fleet."""

from dataclasses import dataclass

from weldhead.provisioning.boot_times import BootExpectation


@dataclass(frozen=True)
class FleetSettings:
    """The operators' settings for scale out, scale in and consolidation."""

    #: How long an on-demand machine may be idle before it is returned.
    keep_idle_us: int
    #: How long a spot machine may be idle before it is returned.
    keep_idle_spot_us: int
    #: Spot machines are rented for tasks that would wait longer than this after a boot.
    spot_patience_us: int
    #: How long tasks of a job that is late already may wait after a boot.
    overdue_patience_us: int
    #: On-demand machines are rented only if the backlog keeps the fleet busy for this long.
    payback_us: int
    #: Share of the time between a job's becoming runnable and its target by which the forecast
    #: brings the target forward.
    target_margin: float
    #: CPUs that scale in leaves free, as a share of the CPUs in use.
    reserve_share: float
    #: The cloud charges for at least this time.
    minimum_charge_us: int
    #: Expected boot of a machine while nothing is known of other boots.
    boot_expectation: BootExpectation
    #: How many machines one run of the autoscaler may rent.
    max_machines_per_run: int
    #: A machine is drained only if it can be returned sooner by at least this time.
    min_drain_saving_us: int
    #: Largest loss of work by restarts, as a share of the machine time that a drain saves.
    max_lost_work_share: float
    #: How many machines one run of the autoscaler may drain.
    max_drains_per_run: int
    #: How far ahead the autoscaler includes jobs that are expected to become runnable.
    demand_horizon_us: int
    #: How many waiting jobs a forecast of unmet demand considers.
    max_considered_jobs: int
