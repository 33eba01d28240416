"""What placement decides by, and what it decides."""

from dataclasses import dataclass, field

from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.backlog import Backlog
from weldhead.scheduling.placement.gpu_reservation import GpuReservation
from weldhead.scheduling.placement.unplaced_tasks import UnplacedTasks
from weldhead.scheduling.reservations.reservations import Reservations


@dataclass(frozen=True)
class TaskStart:
    """A decision to start a task on a machine."""

    job: Job
    index: int
    machine: Machine


@dataclass
class PlacementPlan:
    """The decisions of one pass, and what is left over."""

    starts: list[TaskStart] = field(default_factory=list)
    #: Jobs whose tasks found no room, with how many of them the limits would allow.
    unplaced: UnplacedTasks = field(default_factory=UnplacedTasks)
    #: Work that takes cards waits: from whom what free cards need beside them was kept.
    gpu_reservation: GpuReservation | None = None


class PlacementInput:
    """What placement is decided by: the cluster, and what is kept in order about it."""

    def __init__(
        self,
        cluster: Cluster,
        estimates: RunTimeEstimates,
        objectives: ServiceLevelObjectives,
        patience_us: int,
    ) -> None:
        self.cluster = cluster
        self.estimates = estimates
        self.backlog = Backlog(cluster, estimates, objectives, patience_us)
        self.capacity_index = CapacityIndex(cluster.machines)
        #: What is kept free for wide work; nothing unless somebody decides it.
        self.reservations = Reservations()

    def refresh(self, at_us: int) -> None:
        """Take up what has changed, and what time has brought."""
        self.backlog.refresh(at_us)
        self.capacity_index.refresh()

    def close(self) -> None:
        """Stop following the cluster."""
        self.backlog.close()
        self.capacity_index.close()
