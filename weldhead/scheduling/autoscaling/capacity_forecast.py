"""A coarse forecast of when CPUs or GPUs become free."""

import heapq
from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator

from weldhead.clock import seconds_us
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import EPSILON
from weldhead.provisioning.boot_times import BootExpectations
from weldhead.scheduling.autoscaling.rental_offers import PendingRental
from weldhead.scheduling.forecast.run_times import RunTimeEstimates


class CapacityForecast:
    """A coarse forecast: waiting tasks take CPUs in order, as running ones give them back."""

    def __init__(
        self,
        cluster: Cluster,
        pending: Iterable[PendingRental],
        estimates: RunTimeEstimates,
        at_us: int,
        boots: BootExpectations,
        silent: Collection[str] = (),
        *,
        gpus: bool = False,
        zone: str | None = None,
    ) -> None:
        """Forecast CPUs, or GPUs for work that takes any; of one zone alone, if it is given."""
        pools: dict[int, float] = defaultdict(float)
        for item in pending:
            if zone is not None and item.zone != zone:
                continue
            amount = item.type.gpus if gpus else item.type.cpus
            pools[at_us + seconds_us(item.type.boot_s)] += amount * item.count
        away = set(silent)
        for machine in cluster.machines.values():
            elsewhere = zone is not None and machine.zone != zone
            if machine.deleting or machine.draining or elsewhere or machine.name in away:
                away.add(machine.name)
            elif machine.is_booting:
                if not boots.is_late(machine, at_us):
                    amount = machine.gpus if gpus else machine.cpus
                    pools[boots.ready_us(machine, at_us)] += amount
            elif (amount := machine.gpus if gpus else machine.cpus) > EPSILON:
                pools[at_us] += amount
        for job in cluster.active_jobs.values():
            if job.spec.is_service:
                continue
            task_us, amount = estimates.task_us(job), job.spec.gpus if gpus else job.spec.cpus
            if gpus and amount <= 0:
                continue
            for end_us in job.expected_ends_us(task_us, at_us, away):
                pools[end_us] += amount
        #: When how many CPUs are given back. What comes at one moment is one item, as are
        #: tasks that start together: their number is not what this costs.
        self._heap = list(pools.items())
        heapq.heapify(self._heap)

    def schedule(
        self, cpus: float, run_us: int, ready_us: int = 0, count: int = 1
    ) -> Iterator[tuple[int | None, int]]:
        """Let tasks run as early as they can; yield when how many of them start.

        None: they never can. One that becomes ready later leaves what it takes to nobody
        until then: room for the next stage of a chain is there when it is released.
        """
        heap = self._heap
        while count > 0:
            taken: list[tuple[int, float]] = []
            found = 0.0
            while found + EPSILON < cpus:
                if not heap:
                    for item in taken:
                        heapq.heappush(heap, item)
                    yield None, count
                    return
                item = heapq.heappop(heap)
                taken.append(item)
                found += item[1]
            free_us = taken[-1][0] if taken else 0
            start_us = max(ready_us, free_us)
            together = min(count, int((found + EPSILON) / cpus)) if cpus > 0 else count
            rest = found - cpus * together
            if rest > EPSILON:
                heapq.heappush(heap, (free_us, rest))
            heapq.heappush(heap, (start_us + run_us, cpus * together))
            yield start_us, together
            count -= together
