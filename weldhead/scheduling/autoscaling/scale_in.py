"""Scale in: which machines to return."""

from collections.abc import Sequence

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import TaskState
from weldhead.protocol.wire import split_task
from weldhead.provisioning.boot_times import BootExpectations
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.autoscaling.fleet_settings import FleetSettings
from weldhead.scheduling.autoscaling.scale_out import usual_boots
from weldhead.scheduling.placement.placement_plan import PlacementPlan


def choose_scale_in_candidates(
    cluster: Cluster,
    plan: PlacementPlan,
    settings: FleetSettings,
    expected: Sequence[ExpectedDemand] = (),
) -> set[str]:
    """Choose machines that are no longer needed, so that they are filled last.

    The rest must have room for what runs on them, for what is about to become runnable, and
    a reserve besides. Those that cost most for what runs on them go first.
    """
    open_machines = [
        m
        for m in cluster.machines.values()
        if m.reconciled and not m.draining and not m.deleting and not m.not_receiving
    ]
    if plan.unplaced or not open_machines:
        return set()
    used = {m.name: m.type.cpus - m.cpus for m in open_machines}
    free = sum(m.cpus for m in open_machines)
    allowance = settings.reserve * sum(used.values())
    allowance += sum(item.tasks(cluster) * item.job.spec.cpus for item in expected)

    def waste(machine: Machine) -> float:
        return machine.price / (used[machine.name] + 0.1 * machine.type.cpus)

    closing: set[str] = set()
    for machine in sorted(open_machines, key=waste, reverse=True):
        if free - machine.type.cpus < allowance:
            continue
        free -= machine.type.cpus
        closing.add(machine.name)
    return closing


def plan_scale_in(
    cluster: Cluster, at_us: int, settings: FleetSettings, boots: BootExpectations | None = None
) -> list[Machine]:
    """Decide which machines to return: idle ones, and those that never came up.

    One that lists a completion which is not committed stays: if the leader ends before the
    store has it, its successor learns of it from that machine only, and the task ran in vain.
    """
    boots = boots or usual_boots(settings)
    found = []
    for machine in cluster.machines.values():
        if machine.deleting or machine.command_in_flight or machine.not_receiving:
            # What hears nothing is returned by a rule of its own (``reachability/replacement.py``).
            continue
        if boots.is_given_up(machine, at_us):
            found.append(machine)
            continue
        if machine.is_booting or machine.attempts or machine.orphans or not machine.reconciled:
            continue
        if _lists_unsaved(cluster, machine):
            continue
        idle_us = at_us - machine.idle_since_us
        paid = at_us - machine.rented_us >= settings.minimum_charge_us
        keep_us = settings.keep_idle_spot_us if machine.spot else settings.keep_idle_us
        if machine.scale_in_candidate:
            keep_us = 0
        if machine.draining or (paid and idle_us >= max(keep_us, weights_worth_us(machine))):
            found.append(machine)
    return found


def _lists_unsaved(cluster: Cluster, machine: Machine) -> bool:
    """Whether a machine lists a completion that the store has not yet."""
    for task, _ in machine.unacknowledged:
        try:
            job_id, index = split_task(task)
        except ValueError:
            continue
        job = cluster.jobs.get(job_id)
        # Workers may list what no job has.
        if job is None or index >= job.spec.tasks:
            continue
        if job.states[index] == TaskState.COMPLETED:
            return True
    return False


def weights_worth_us(machine: Machine) -> int:
    """Return for how long an idle machine with cards is worth keeping for what its cache holds.

    For as long as it would take another one to boot and to fetch the same: so whether or not
    the weights are wanted again, no more than twice the least is paid.
    """
    if machine.type.gpus <= 0 or not machine.images:
        return 0
    rate = machine.type.fetch_gb_per_s or 1.0
    return seconds_us(machine.type.boot_s + max(machine.images.values()) / rate)
