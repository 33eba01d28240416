"""The state and the clients that the components of a leader's term share."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

from weldhead.calendars.job_deadlines import JobDeadlines
from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, seconds_us, to_seconds
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.preemption_history import PreemptionHistory
from weldhead.cluster_state.state_writer import StateWriter
from weldhead.controller.leadership.leader_lease import LeaderLease
from weldhead.protocol.settings import Settings
from weldhead.protocol.wire import MachineType
from weldhead.provisioning.boot_times import BootHistory
from weldhead.reconciliation.attempt_verdicts import ReconciliationCounts
from weldhead.scheduling.autoscaling.arrival_rates import ArrivalRates
from weldhead.scheduling.autoscaling.rental_offers import RentalOffers
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.cloud_client import CloudClient
from weldhead.transport.http_client import HttpClient
from weldhead.transport.state_client import StateClient
from weldhead.tunables.defaults import Tunables

T = TypeVar("T")

#: How many records are processed before control returns to the event loop.
LOAD_BATCH_SIZE = 250


def batches(items: Sequence[T], size: int = LOAD_BATCH_SIZE) -> Iterator[Sequence[T]]:
    """Split a sequence into batches of at most ``size`` items."""
    return (items[start : start + size] for start in range(0, len(items), size))


@dataclass(frozen=True)
class TermContext:
    """The inputs that a term is created from."""

    settings: Settings
    tunables: Tunables
    lease: LeaderLease
    state: StateClient
    cloud: CloudClient
    worker_http: HttpClient
    machine_types: list[MachineType]
    #: When all earlier leaders have surely stopped answering users and workers (steady clock).
    previous_leader_expired_us: int
    #: Ends the term; the argument is the reason as text.
    on_leadership_lost: Callable[[str], None]
    #: Until when workers with tasks are answered before the jobs are loaded (steady clock).
    answer_unloaded_until_us: int


class Term:
    """One term of leadership: the lease, the cluster's in-memory state, and the clients."""

    def __init__(self, context: TermContext) -> None:
        settings, tunables, state = context.settings, context.tunables, context.state
        self.settings = settings
        self.tunables = tunables
        self._lease = context.lease
        self.answer_unloaded_until_us = context.answer_unloaded_until_us
        self.state = state
        self.cloud = context.cloud
        self.worker_http = context.worker_http
        self.types = {machine_type.name: machine_type for machine_type in context.machine_types}
        self.previous_leader_expired_us = context.previous_leader_expired_us
        self.on_leadership_lost = context.on_leadership_lost
        self.token = context.lease.token
        self.cluster = Cluster(settings.facts.teams, self.token)
        self.dependency_graph = DependencyGraph(self.cluster.jobs)
        self.state_writer = StateWriter(state, self.token)
        self.estimates = RunTimeEstimates()
        self.arrival_rates = ArrivalRates(tunables.fleet.demand_memory_us)
        self.objectives = ServiceLevelObjectives(settings.facts.objectives)
        self.rental_offers = RentalOffers(types=context.machine_types)
        self.boot_history = BootHistory()
        self.reconciliation_counts = ReconciliationCounts()
        self.job_deadlines = JobDeadlines(round(settings.facts.clock_error_ms * MILLISECOND_US))
        #: The tasks that were preempted for other jobs, and are restarted first.
        self.preemption_history = PreemptionHistory()
        self.background_tasks = BackgroundTasks()
        workers = settings.facts.workers
        self.lease_us = seconds_us(workers.lease_s)
        self.cancel_us = seconds_us(workers.cancel_s)
        self.heartbeat_interval_us = seconds_us(workers.report_s)
        self.silence_us = 2 * self.heartbeat_interval_us + SECOND_US
        #: When this node won the election.
        self.won_us = now_us()
        #: Whether the records of the state service are loaded, and since when (0: not yet).
        self.loaded = False
        self.loaded_us = 0
        #: Whether recovery has finished, so that any task may be started or evicted, and since when
        #: (0: not yet).
        self.ready = False
        self.ready_us = 0
        self.became_ready = asyncio.Event()
        #: Set when placement has to run because the cluster's state has changed.
        self.placement_wanted = asyncio.Event()
        #: Set when jobs may have finished, or have completed tasks to commit.
        self.commit_wanted = asyncio.Event()

    @property
    def is_valid(self) -> bool:
        """Whether this node may command workers in this term now."""
        return self._lease.token == self.token and self._lease.is_valid(now_us())

    @property
    def leadership_verified_us(self) -> int:
        """The latest time at which certainly no other node led."""
        return max(self.state_writer.leadership_verified_us, self._lease.sole_leader_confirmed_us)

    def previous_leader_until_us(self) -> int:
        """Return the latest time at which an earlier leader may have answered a worker.

        Answers of this leader are recorded for each machine, also before the term is loaded.
        """
        return self.previous_leader_expired_us

    def describe_authority(self, at_us: int) -> str:
        """Return what the term's commands and answers rest on, as text for a log line."""
        return (
            f"term {self.token}: {self.settings.name} leads since "
            f"{to_seconds(at_us - self.won_us):.0f} s; state service: "
            f"last read {self.state.last_read.describe(at_us)}, "
            f"last write {self.state.last_write.describe(at_us)}; "
            f"attempts listed again: {self.reconciliation_counts.relisted_attempts}"
        )
