"""Which reclaim requests one run of the preemptor makes."""

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
    most: int = 64,
    free: CapacityIndex | None = None,
    held: Mapping[str, str] | None = None,
) -> list[Reclaim]:
    """Return the new requests of one run; ``plan`` says who found no room."""
    scan = plan.unplaced.scan()
    following = free if free is not None else CapacityIndex(cluster.machines)
    try:
        following.refresh()
        return _reclaims(
            PreemptionPass(
                cluster, lists, estimates, at_us, settings, following,
                kept=plan.gpu_reservation, held=held,
            ),
            scan, lists, objectives, most,
        )  # fmt: skip
    finally:
        if free is None:
            following.close()


def _reclaims(
    run: PreemptionPass,
    scan: QueueScan,
    lists: ReclaimLists,
    objectives: ServiceLevelObjectives,
    most: int,
) -> list[Reclaim]:
    """Choose victims for those who found no room, in order.

    A queue of claimants of one kind is left where the next of them could not claim, or
    found nobody to stop, as then none behind it can or does.
    """
    reclaims: list[Reclaim] = []
    held = _empty_held(run, lists, reclaims, most) if run.reserved else {}
    while (found := scan.next()) is not None:
        job, unplaced = found
        press = run.urgency_of(job, objectives)
        if press is Urgency.PATIENT and not run.within_guarantee(job):
            # They stand in the order of their laxity: those behind have more of it. What is
            # late already claims, and comes after what can be in time.
            scan.skip_to_urgency(Urgency.LATE)
            continue
        for _ in range(max(0, unplaced - lists.count(job.id) - held.get(job.id, 0))):
            if len(reclaims) >= most:
                return reclaims
            reclaim = run.choose(job)
            if reclaim is None:
                scan.skip_queue()
                break
            reclaims.append(reclaim)
            if run.capacity_reopened:
                run.capacity_reopened = False
                scan.resume_skipped()
    return reclaims


def _empty_held(
    run: PreemptionPass, lists: ReclaimLists, reclaims: list[Reclaim], most: int
) -> dict[str, int]:
    """Empty held machines as far as the rules let; return by job how many are not asked for yet.

    Their jobs wait for them, and ask for so much less elsewhere.
    """
    asked = {(entry.machine, entry.job_id) for entry in lists.entries()}
    held: dict[str, int] = defaultdict(int)
    for name, job_id in run.reserved.items():
        job = run.cluster.jobs.get(job_id)
        if job is None or job.waiting <= 0 or (name, job_id) in asked:
            continue
        held[job_id] += 1
        if len(reclaims) < most and (reclaim := run.preempt_reserved(job, name)) is not None:
            reclaims.append(reclaim)
    return held
