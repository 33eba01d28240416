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
    """Forecasts task starts: waiting tasks take capacity in order, as running tasks release it."""

    def __init__(
        self,
        cluster: Cluster,
        pending: Iterable[PendingRental],
        estimates: RunTimeEstimates,
        at_us: int,
        boots: BootExpectations,
        silent_machines: Collection[str] = (),
        *,
        gpus: bool = False,
        zone: str | None = None,
    ) -> None:
        """Forecast free CPUs, or free GPUs with ``gpus``; only those of ``zone``, if it is given.

        Machines named in ``silent_machines`` and the tasks on them are left out.
        """
        #: By time: the amount that becomes free then.
        released: dict[int, float] = defaultdict(float)
        for item in pending:
            if zone is not None and item.zone != zone:
                continue
            amount = item.type.gpus if gpus else item.type.cpus
            released[at_us + seconds_us(item.type.boot_s)] += amount * item.count
        excluded_machines = set(silent_machines)
        for machine in cluster.machines.values():
            in_other_zone = zone is not None and machine.zone != zone
            if (
                machine.deleting
                or machine.draining
                or in_other_zone
                or machine.name in excluded_machines
            ):
                excluded_machines.add(machine.name)
            elif machine.is_booting:
                if not boots.is_late(machine, at_us):
                    amount = machine.gpus if gpus else machine.cpus
                    released[boots.ready_us(machine, at_us)] += amount
            elif (amount := machine.gpus if gpus else machine.cpus) > EPSILON:
                released[at_us] += amount
        for job in cluster.active_jobs.values():
            if job.spec.is_service:
                continue
            task_us, amount = estimates.task_us(job), job.spec.gpus if gpus else job.spec.cpus
            if gpus and amount <= 0:
                continue
            for end_us in job.expected_ends_us(task_us, at_us, excluded_machines):
                released[end_us] += amount
        #: Heap of times with the amount that becomes free then. Amounts released at the same
        #: time are one item, and so are tasks that start together, so that the cost does not
        #: depend on the number of tasks.
        self._heap = list(released.items())
        heapq.heapify(self._heap)

    def schedule(
        self, amount: float, run_us: int, ready_us: int = 0, count: int = 1
    ) -> Iterator[tuple[int | None, int]]:
        """Let ``count`` tasks run as early as they can; yield start times and numbers of tasks.

        Each task takes ``amount`` CPUs or GPUs for ``run_us``. The start time is None for tasks
        that can never start. Capacity taken by tasks that become ready later is not lent to other
        tasks until then: the next stage of a chain finds it free when the stage is released.
        """
        heap = self._heap
        while count > 0:
            taken: list[tuple[int, float]] = []
            taken_amount = 0.0
            while taken_amount + EPSILON < amount:
                if not heap:
                    for item in taken:
                        heapq.heappush(heap, item)
                    yield None, count
                    return
                item = heapq.heappop(heap)
                taken.append(item)
                taken_amount += item[1]
            free_us = taken[-1][0] if taken else 0
            start_us = max(ready_us, free_us)
            started_count = (
                min(count, int((taken_amount + EPSILON) / amount)) if amount > 0 else count
            )
            remainder = taken_amount - amount * started_count
            if remainder > EPSILON:
                heapq.heappush(heap, (free_us, remainder))
            heapq.heappush(heap, (start_us + run_us, amount * started_count))
            yield start_us, started_count
            count -= started_count
