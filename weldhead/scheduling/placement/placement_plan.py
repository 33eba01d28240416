"""The input and the result of a placement pass."""

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
    """The task starts that one pass decided on, and the tasks that it could not place."""

    starts: list[TaskStart] = field(default_factory=list)
    #: Jobs whose tasks found no capacity, with the number of tasks that quotas would allow.
    unplaced: UnplacedTasks = field(default_factory=UnplacedTasks)
    #: Reservation of CPUs and memory beside free GPUs; None if no job that needs GPUs waits.
    gpu_reservation: GpuReservation | None = None


class PlacementInput:
    """The cluster and the indexes that placement maintains between its passes."""

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
        #: Reserved machines and quota; empty unless a ``CapacityReserver`` is in use.
        self.reservations = Reservations()

    def refresh(self, at_us: int) -> None:
        """Update the indexes to the cluster's state at the given time."""
        self.backlog.refresh(at_us)
        self.capacity_index.refresh()

    def close(self) -> None:
        """Unsubscribe from changes of the cluster."""
        self.backlog.close()
        self.capacity_index.close()
