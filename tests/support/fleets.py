"""Large fleets, and counting of calls."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from tests.support.builders import add_job, cluster, job_spec, machine_type
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import RentalRequest
from weldhead.transport.cloud_client import NoCapacityError, NotSentError

S = 1_000_000


def count_calls(
    patch: pytest.MonkeyPatch, owner: Any, name: str, counts: dict[str, int]
) -> Callable[..., Any]:
    original: Callable[..., Any] = getattr(owner, name)

    def counted(*args: Any, **kwargs: Any) -> Any:
        counts[name] = counts.get(name, 0) + 1
        return original(*args, **kwargs)

    patch.setattr(owner, name, counted)
    return original


def full_fleet(machines: int, jobs: int) -> Cluster:
    """A fleet that idle work fills, and a queue of jobs of the same few kinds."""
    into = cluster(Team("red", 100_000, 100_000))
    kind = machine_type(cpus=8.0, memory_gb=64.0)
    for number in range(machines):
        machine = Machine(f"vm-{number:06}", kind, "a", True, 0)
        machine.newest_message, machine.reconciled, machine.enrolled, machine.last_heartbeat_us = (
            (1, 1),
            True,
            True,
            S,
        )
        into.machines[machine.name] = machine
    filler = add_job(into, job_spec(1, priority="idle", tasks=machines * 4, cpus=2.0))
    for index, machine in enumerate(m for m in into.machines.values() for _ in range(4)):
        attempt = into.start(filler, index, machine, S)
        attempt.phase, attempt.running_since_us = AttemptPhase.RUNNING, S
    for number in range(2, jobs + 2):
        add_job(into, job_spec(number, priority="high", tasks=20, cpus=2.0 + 2.0 * (number % 2)))
    return into


class StandInCloud:
    """Rents whatever is asked for, and remembers the calls."""

    def __init__(self) -> None:
        self.rented: list[RentalRequest] = []
        self.deleted: list[list[str]] = []
        self.next = 0
        self.capacity = 1_000_000
        self.turn = asyncio.Lock()

    async def rent(
        self, request: RentalRequest, confirm_send: Callable[[], bool] = lambda: True
    ) -> list[str]:
        # One call at a time, as the cloud's budget has it.
        async with self.turn:
            if not confirm_send():
                raise NotSentError
            await asyncio.sleep(0)
            self.rented.append(request)
            if self.next + request.count > self.capacity:
                raise NoCapacityError
        self.next += request.count
        return [f"vm-{self.next - n:06}" for n in range(request.count)]

    async def delete(
        self, names: list[str], confirm_send: Callable[[], bool] = lambda: True
    ) -> None:
        # Another call has its turn first.
        await asyncio.sleep(0)
        if not confirm_send():
            raise NotSentError
        self.deleted.append(names)


async def settle() -> None:
    """Let everything that does not wait for a clock run."""
    for _ in range(200):
        await asyncio.sleep(0)
