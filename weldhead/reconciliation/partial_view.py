"""What may be decided before every machine is known. No I/O.

A task surely runs nowhere else if no earlier leader can have started it: its job was created
after all of them had stopped commanding, or no machine that is still unknown is allowed to
the job. It may then start on a machine that is known, within what its team may use if every
unknown machine runs the most of that team's work that it could. Nothing is evicted; that
waits for all (``docs/design/recovery.md`` has the argument).
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
    """What is known of a cluster of which not all machines are.

    ``safe_revision`` is a revision of the store at which every earlier leader had surely stopped:
    jobs created later were started by none of them. None: that moment has not come yet.
    """

    safe_revision: int | None
    unknown: tuple[Machine, ...]

    def is_settled(self, job: Job) -> bool:
        """Whether what may run of a job is all known.

        A cancellation writes a job's record anew, so its version does not tell when the job
        was created.
        """
        if (
            self.safe_revision is not None
            and not job.cancelled
            and job.version > self.safe_revision
        ):
            return True
        return not self._may_hold(job)

    def _may_hold(self, job: Job) -> bool:
        spec = job.spec
        shape = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
        held = self._held.get(shape)
        if held is None:
            held = any(_could_hold(machine, job) for machine in self._kinds)
            self._held[shape] = held
        return held

    @cached_property
    def _kinds(self) -> list[Machine]:
        """One of each kind of unknown machines."""
        return list({(m.type.name, m.zone, m.spot): m for m in self.unknown}.values())

    @cached_property
    def _held(self) -> dict[tuple[object, ...], bool]:
        return {}


def partial_view_of(machines: Iterable[Machine], safe_from: int | None) -> PartialView:
    """Return what is known while some machines on record have not shown themselves."""
    return PartialView(safe_from, tuple(m for m in machines if m.enrolled and not m.reconciled))


def _could_hold(machine: Machine, job: Job) -> bool:
    """Whether an earlier leader may have a task of the job there.

    By its type's amounts: what is free there is not known. A type that left the catalog has
    no amounts and may hold anything.
    """
    if not machine.allows(job):
        return False
    kind, spec = machine.type, job.spec
    if machine.has_unknown_capacity:
        return True
    return spec.cpus <= kind.cpus and spec.gpus <= kind.gpus and spec.memory_gb <= kind.memory_gb


def unverified_usage(cluster: Cluster, partial: PartialView) -> dict[str, UnverifiedUsage]:
    """Return, for each team, the most that its work on unknown machines may use.

    No more than those machines have, and no more than the team's unsettled tasks would take
    that are not known to be elsewhere.
    """
    if not partial.unknown:
        return {}
    boundless = any(machine.has_unknown_capacity for machine in partial.unknown)
    cpus = float("inf") if boundless else sum(m.type.cpus for m in partial.unknown)
    gpus = float("inf") if boundless else sum(m.type.gpus for m in partial.unknown)
    wanted: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for job in cluster.jobs.values():
        # Cancelled and blocked ones too: what runs of them runs until it has shown itself.
        left = job.spec.tasks - job.done - len(job.active)
        if left > 0 and not partial.is_settled(job):
            amounts = wanted[job.team]
            amounts[0] += left * job.spec.cpus
            amounts[1] += left * job.spec.gpus
    return {
        team: UnverifiedUsage(min(cpus, amounts[0]), min(gpus, amounts[1]))
        for team, amounts in wanted.items()
    }
