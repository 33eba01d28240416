"""Work that does not need machines yet and is expected to."""

from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine, tasks_that_fit


@dataclass(frozen=True)
class ExpectedDemand:
    """Work that does not wait for room yet, and when it is expected to.

    A job that waits for others, until those are done; or tasks on machines that are silent
    (``at_risk``), until their leases are over.
    """

    job: Job
    starts_us: int
    at_risk: int = 0

    def tasks(self, cluster: Cluster) -> int:
        """How many of its tasks will want room at once, as its team's limit allows."""
        if self.at_risk:
            return self.at_risk
        team = cluster.teams[self.job.team]
        return tasks_that_fit(self.job.spec, team.cpus_max, team.gpus_max)


def endangered(silent: Iterable[Machine], at_us: int, lease_us: int) -> list[ExpectedDemand]:
    """Return the tasks on silent machines, as work that will want room if they stay silent.

    Where many machines fall silent at once nothing is given up on before their leases are
    over, as it may be the network; but machines that replace them take a boot to come, and
    are asked for at once. If the silent ones live, the cloud has no such room, or what came
    too much is returned.
    """
    lost: dict[str, tuple[Job, int, int]] = {}
    for machine in silent:
        over_us = max(at_us, machine.last_heartbeat_us + lease_us)
        for attempt in machine.attempts.values():
            job = attempt.job
            if not job.cancelled and not job.spec.is_service:
                _, count, latest_us = lost.get(job.id, (job, 0, 0))
                lost[job.id] = job, count + 1, max(latest_us, over_us)
    return [ExpectedDemand(job, over_us, count) for job, count, over_us in lost.values()]
