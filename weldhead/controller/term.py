"""What the parts of a leader's term share."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

from weldhead.calendars.job_deadlines import JobDeadlines
from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, seconds_us
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

#: How many records are taken up before the loop gets its turn.
LOAD_BATCH_SIZE = 250


def batches(items: Sequence[T], size: int = LOAD_BATCH_SIZE) -> Iterator[Sequence[T]]:
    """Cut a sequence into parts of that many."""
    return (items[start : start + size] for start in range(0, len(items), size))


@dataclass(frozen=True)
class TermContext:
    """What a term begins with."""

    settings: Settings
    tunables: Tunables
    lease: LeaderLease
    state: StateClient
    cloud: CloudClient
    worker_http: HttpClient
    machine_types: list[MachineType]
    #: Until then an earlier leader may still answer users and workers (steady clock).
    previous_leader_expired_us: int
    #: Ends the term; called with the reason.
    on_leadership_lost: Callable[[str], None]
    #: Until then workers with tasks are answered although the jobs are not read (steady clock).
    answer_unloaded_until_us: int


class Term:
    """One term: the lease, the view of the cluster, and the clients that its parts share."""

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
        #: What was taken from whom, to be given back.
        self.preemption_history = PreemptionHistory()
        self.background_tasks = BackgroundTasks()
        workers = settings.facts.workers
        self.lease_us = seconds_us(workers.lease_s)
        self.cancel_us = seconds_us(workers.cancel_s)
        self.heartbeat_interval_us = seconds_us(workers.report_s)
        self.silence_us = 2 * self.heartbeat_interval_us + SECOND_US
        #: When the token was won.
        self.won_us = now_us()
        #: The store has been read; since when (0: not yet).
        self.loaded = False
        self.loaded_us = 0
        #: Recovery is over: work may be started and evicted.
        self.ready = False
        self.ready_us = 0
        self.became_ready = asyncio.Event()
        #: Something that placement should look at.
        self.placement_wanted = asyncio.Event()
        #: Jobs may be over, or have completions to commit.
        self.commit_wanted = asyncio.Event()

    @property
    def valid(self) -> bool:
        """Whether this node may command now."""
        return self._lease.token == self.token and self._lease.is_valid(now_us())

    @property
    def leadership_verified_us(self) -> int:
        """The latest moment at which surely nobody else led."""
        return max(self.state_writer.leadership_verified_us, self._lease.sole_leader_confirmed_us)

    def previous_leader_until_us(self) -> int:
        """Return when an earlier leader may last have answered a worker.

        What this one answers is known of each machine, also before the term is loaded.
        """
        return self.previous_leader_expired_us
