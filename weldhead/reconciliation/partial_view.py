"""Decides which jobs may start before all machines are known to a new leader. No I/O.

A task certainly runs nowhere else if no earlier leader can have started it: its job was created
after all earlier leaders had stopped sending commands, or the job may not use any of the machines
that are still unknown. The task may then start on a known machine, within its team's limit minus
the most that the team's tasks could use on the unknown machines. No task is preempted until all
machines are known; ``docs/design/recovery.md`` gives the argument.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

from weldhead.cluster_state.cluster import Cluster, UnverifiedUsage
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine


@dataclass(frozen=True)
class PartialView:
    """The state of a cluster in which the attempts on some machines are still unknown.

    ``safe_revision`` is a store revision at which every earlier leader had certainly stopped: none
    of them started jobs created later. None means that this revision is not known yet.
    """

    safe_revision: int | None
    unknown: tuple[Machine, ...]

    def is_settled(self, job: Job) -> bool:
        """Whether all attempts of a job that may be running are known.

        A cancellation rewrites the job's record, so the record's version does not show when a
        cancelled job was created.
        """
        if (
            self.safe_revision is not None
            and not job.cancelled
            and job.version > self.safe_revision
        ):
            return True
        return not self._may_run_on_unknown(job)

    def _may_run_on_unknown(self, job: Job) -> bool:
        """Whether an earlier leader may have started a task of the job on an unknown machine."""
        spec = job.spec
        shape = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
        may_run = self._placement_cache.get(shape)
        if may_run is None:
            may_run = any(_may_run_on(machine, job) for machine in self._unknown_kinds)
            self._placement_cache[shape] = may_run
        return may_run

    @cached_property
    def _unknown_kinds(self) -> list[Machine]:
        """One machine for each combination of type, zone and price class among the unknown ones."""
        return list({(m.type.name, m.zone, m.spot): m for m in self.unknown}.values())

    @cached_property
    def _placement_cache(self) -> dict[tuple[object, ...], bool]:
        """Results of ``_may_run_on_unknown`` by the job properties that they depend on."""
        return {}


def make_partial_view(machines: Iterable[Machine], safe_revision: int | None) -> PartialView:
    """Return the view in which enrolled machines that are not yet reconciled are unknown."""
    return PartialView(safe_revision, tuple(m for m in machines if m.enrolled and not m.reconciled))


def _may_run_on(machine: Machine, job: Job) -> bool:
    """Whether an earlier leader may have started a task of the job on the machine.

    The check uses the total amounts of the machine's type, because its free capacity is unknown.
    A type that left the catalog has no amounts, so any task may run on its machines.
    """
    if not machine.allows(job):
        return False
    machine_type, spec = machine.type, job.spec
    if machine.has_unknown_capacity:
        return True
    return (
        spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
    )


def unverified_usage(cluster: Cluster, partial: PartialView) -> dict[str, UnverifiedUsage]:
    """Return, for each team, the most that its tasks on unknown machines may use.

    A team cannot use more than these machines have, nor more than those of its unsettled tasks
    need that are not known to run elsewhere.
    """
    if not partial.unknown:
        return {}
    has_unknown_capacity = any(machine.has_unknown_capacity for machine in partial.unknown)
    cpus = float("inf") if has_unknown_capacity else sum(m.type.cpus for m in partial.unknown)
    gpus = float("inf") if has_unknown_capacity else sum(m.type.gpus for m in partial.unknown)
    unsettled_amounts: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for job in cluster.jobs.values():
        # Cancelled and blocked jobs count too: their attempts run until their machines are known.
        remaining = job.spec.tasks - job.done - len(job.active)
        if remaining > 0 and not partial.is_settled(job):
            amounts = unsettled_amounts[job.team]
            amounts[0] += remaining * job.spec.cpus
            amounts[1] += remaining * job.spec.gpus
    return {
        team: UnverifiedUsage(min(cpus, amounts[0]), min(gpus, amounts[1]))
        for team, amounts in unsettled_amounts.items()
    }
