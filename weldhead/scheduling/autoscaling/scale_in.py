"""Scale in: which machines to return."""

from collections.abc import Sequence

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import TaskState
from weldhead.protocol.wire import split_task_name
from weldhead.provisioning.boot_times import BootExpectations
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.scale_out import default_boot_expectations
from weldhead.scheduling.placement.placement_plan import PlacementPlan


def choose_scale_in_candidates(
    cluster: Cluster,
    plan: PlacementPlan,
    settings: FleetSettings,
    expected_demand: Sequence[ExpectedDemand] = (),
) -> set[str]:
    """Return the names of machines that are no longer needed, so that placement fills them last.

    The other machines must have capacity for the running tasks, for the expected demand, and for
    a reserve. Machines that cost most per used CPU are chosen first.
    """
    usable_machines = [
        m
        for m in cluster.machines.values()
        if m.reconciled and not m.draining and not m.deleting and not m.not_receiving
    ]
    if plan.unplaced or not usable_machines:
        return set()
    used_cpus = {m.name: m.type.cpus - m.cpus for m in usable_machines}
    free_cpus = sum(m.cpus for m in usable_machines)
    required_cpus = settings.reserve_share * sum(used_cpus.values())
    required_cpus += sum(item.task_count(cluster) * item.job.spec.cpus for item in expected_demand)

    def cost_per_used_cpu(machine: Machine) -> float:
        return machine.price / (used_cpus[machine.name] + 0.1 * machine.type.cpus)

    candidates: set[str] = set()
    for machine in sorted(usable_machines, key=cost_per_used_cpu, reverse=True):
        if free_cpus - machine.type.cpus < required_cpus:
            continue
        free_cpus -= machine.type.cpus
        candidates.add(machine.name)
    return candidates


def plan_scale_in(
    cluster: Cluster,
    at_us: int,
    settings: FleetSettings,
    boot_expectations: BootExpectations | None = None,
) -> list[Machine]:
    """Return the machines to return: idle ones, and those that never came up.

    A machine that reports a completion that is not committed yet is kept. If the leader fails
    before the completion is in the store, its successor can learn of the completion only from
    that machine; otherwise the task would have run for nothing.
    """
    boots = boot_expectations or default_boot_expectations(settings)
    machines_to_return = []
    for machine in cluster.machines.values():
        if machine.deleting or machine.command_in_flight or machine.not_receiving:
            # ``reachability/replacement.py`` decides on machines that receive no commands.
            continue
        if boots.is_given_up(machine, at_us):
            machines_to_return.append(machine)
            continue
        if machine.is_booting or machine.attempts or machine.orphans or not machine.reconciled:
            continue
        if _reports_uncommitted_completion(cluster, machine):
            continue
        idle_us = at_us - machine.idle_since_us
        is_minimum_used = at_us - machine.rented_us >= settings.minimum_charge_us
        keep_us = settings.keep_idle_spot_us if machine.spot else settings.keep_idle_us
        if machine.scale_in_candidate:
            keep_us = 0
        if machine.draining or (
            is_minimum_used and idle_us >= max(keep_us, cache_retention_us(machine))
        ):
            machines_to_return.append(machine)
    return machines_to_return


def _reports_uncommitted_completion(cluster: Cluster, machine: Machine) -> bool:
    """Whether a machine reports a completion that is not in the store yet."""
    for task, _ in machine.unacknowledged:
        try:
            job_id, index = split_task_name(task)
        except ValueError:
            continue
        job = cluster.jobs.get(job_id)
        # Workers may report tasks that belong to no known job.
        if job is None or index >= job.spec.tasks:
            continue
        if job.states[index] == TaskState.COMPLETED:
            return True
    return False


def cache_retention_us(machine: Machine) -> int:
    """Return how long to keep an idle machine with GPUs for the images in its cache.

    The result is the time that another machine would take to boot and to fetch the largest image.
    Whether or not the cached images are needed again, at most twice the minimum cost is paid.
    """
    if machine.type.gpus <= 0 or not machine.images:
        return 0
    fetch_gb_per_s = machine.type.fetch_gb_per_s or 1.0
    return seconds_us(machine.type.boot_s + max(machine.images.values()) / fetch_gb_per_s)
