"""Plans the reclaim requests of one run of the preemptor."""

from collections import defaultdict
from collections.abc import Mapping

from weldhead.cluster_state.capacity_index import CapacityIndex
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.reclaim import Reclaim, ReclaimLists
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, Urgency
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.placement.unplaced_tasks import QueueScan
from weldhead.scheduling.preemption.preemption_pass import PreemptionPass
from weldhead.scheduling.preemption.victim_rules import PreemptorSettings


def plan_preemptions(
    cluster: Cluster,
    lists: ReclaimLists,
    plan: PlacementPlan,
    estimates: RunTimeEstimates,
    at_us: int,
    settings: PreemptorSettings,
    objectives: ServiceLevelObjectives,
    max_reclaims: int = 64,
    capacity_index: CapacityIndex | None = None,
    reserved_machines: Mapping[str, str] | None = None,
) -> list[Reclaim]:
    """Return the new reclaim requests for the tasks that ``plan`` lists as unplaced.

    ``reserved_machines`` maps the name of each reserved machine to the job that it is reserved
    for. Without a ``capacity_index``, a temporary one is built.
    """
    scan = plan.unplaced.scan()
    index = capacity_index if capacity_index is not None else CapacityIndex(cluster.machines)
    try:
        index.refresh()
        return _plan_reclaims(
            PreemptionPass(
                cluster, lists, estimates, at_us, settings, index,
                gpu_reservation=plan.gpu_reservation, reserved_machines=reserved_machines,
            ),
            scan, lists, objectives, max_reclaims,
        )  # fmt: skip
    finally:
        if capacity_index is None:
            index.close()


def _plan_reclaims(
    preemption_pass: PreemptionPass,
    scan: QueueScan,
    lists: ReclaimLists,
    objectives: ServiceLevelObjectives,
    max_reclaims: int,
) -> list[Reclaim]:
    """Choose victims for the unplaced tasks, in placement order.

    The claimants in a queue are of one kind. When one of them may not claim capacity, or finds no
    victims, the claimants behind it in the queue would fail as well, so they are skipped.
    """
    reclaims: list[Reclaim] = []
    reserved_counts = (
        _plan_reserved_reclaims(preemption_pass, lists, reclaims, max_reclaims)
        if preemption_pass.reserved_machines
        else {}
    )
    while (found := scan.next()) is not None:
        job, unplaced = found
        if job.on_probation:
            # It may fail wherever it runs: it waits for free capacity and stops no other task.
            continue
        urgency = preemption_pass.urgency_of(job, objectives)
        if urgency is Urgency.DEFERRABLE and not preemption_pass.is_within_guarantee(job):
            # A queue is ordered by laxity, so the deferrable jobs behind this one have even more
            # time. Late jobs come after them in the queue and may claim capacity.
            scan.skip_to_urgency(Urgency.LATE)
            continue
        for _ in range(max(0, unplaced - lists.count(job.id) - reserved_counts.get(job.id, 0))):
            if len(reclaims) >= max_reclaims:
                return reclaims
            reclaim = preemption_pass.plan_reclaim(job)
            if reclaim is None:
                scan.skip_queue()
                break
            reclaims.append(reclaim)
            if preemption_pass.has_freed_surplus:
                preemption_pass.has_freed_surplus = False
                scan.resume_skipped()
    return reclaims


def _plan_reserved_reclaims(
    preemption_pass: PreemptionPass,
    lists: ReclaimLists,
    reclaims: list[Reclaim],
    max_reclaims: int,
) -> dict[str, int]:
    """Preempt tasks on reserved machines, as far as the rules allow, and append the requests.

    Returns the number of machines per job that are reserved for it and had no open request
    before. The job waits for these machines, so it claims that many tasks less elsewhere.
    """
    requested = {(entry.machine, entry.job_id) for entry in lists.entries()}
    reserved_counts: dict[str, int] = defaultdict(int)
    for machine_name, job_id in preemption_pass.reserved_machines.items():
        job = preemption_pass.cluster.jobs.get(job_id)
        if job is None or job.waiting <= 0 or (machine_name, job_id) in requested:
            continue
        reserved_counts[job_id] += 1
        if (
            len(reclaims) < max_reclaims
            and (reclaim := preemption_pass.plan_reserved_reclaim(job, machine_name)) is not None
        ):
            reclaims.append(reclaim)
    return reserved_counts
