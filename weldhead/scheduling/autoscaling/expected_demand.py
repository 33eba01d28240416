"""Work that needs no machines yet but is expected to need them soon."""

from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine, tasks_that_fit


@dataclass(frozen=True)
class ExpectedDemand:
    """A job whose tasks are expected to need capacity from some time on.

    Either the job waits for dependencies or a gate, or some of its tasks run on silent machines
    (``tasks_at_risk``) and have to restart when the leases of these machines expire.
    """

    job: Job
    expected_start_us: int
    tasks_at_risk: int = 0

    def task_count(self, cluster: Cluster) -> int:
        """Return how many tasks will need capacity at once, within the team's limit."""
        if self.tasks_at_risk:
            return self.tasks_at_risk
        team = cluster.teams[self.job.team]
        return tasks_that_fit(self.job.spec, team.cpus_max, team.gpus_max)


def forecast_lost_tasks(
    silent_machines: Iterable[Machine], at_us: int, lease_us: int
) -> list[ExpectedDemand]:
    """Return the demand that arises if silent machines stay silent until their leases expire.

    Cancelled jobs and services are left out.

    If many machines fall silent at once, the cause may be the network, so no task is given up
    before the leases expire. Replacement machines take a boot to come up, and are therefore
    rented at once. If the silent machines turn out to be alive, either the cloud has no capacity
    for the replacements, or the surplus machines are returned.
    """
    lost: dict[str, tuple[Job, int, int]] = {}
    for machine in silent_machines:
        lease_end_us = max(at_us, machine.last_heartbeat_us + lease_us)
        for attempt in machine.attempts.values():
            job = attempt.job
            if not job.cancelled and not job.spec.is_service:
                _, count, latest_us = lost.get(job.id, (job, 0, 0))
                lost[job.id] = job, count + 1, max(latest_us, lease_end_us)
    return [ExpectedDemand(job, lease_end_us, count) for job, count, lease_end_us in lost.values()]
