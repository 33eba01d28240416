"""The state service and the cloud of a simulated site: the models of a local site, with faults."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl

import msgspec

from weldhead.clock import SECOND_US, now_us
from weldhead.emulator.events import kinds
from weldhead.emulator.loop import ProcessInstance, VirtualLoop
from weldhead.emulator.machines import SimulatedMachine
from weldhead.emulator.network import Network
from weldhead.emulator.scenario import WriteKind
from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import Catalog, MachineNames, MachineType, RentalRequest
from weldhead.site.pool import Pool, PoolError
from weldhead.site.pool import PooledMachine as PoolMachine
from weldhead.site.store.model import Batch
from weldhead.site.store.server import StateService
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_server import Response, error_response
from weldhead.transport.token_bucket import TokenBucket

STATE_ADDRESS = "10.2.0.1:2379"
CLOUD_ADDRESS = "10.2.0.2:8443"
_encode = msgspec.json.Encoder().encode


class _RecordedRequest:
    """What the state service reads of a request."""

    def __init__(self, method: str, path: str) -> None:
        self.method = method
        self.path, _, query = path.partition("?")
        self.query = dict(parse_qsl(query))


@dataclass(frozen=True)
class LateWrites:
    """How many writes are executed late: a share of them, by how much at least and at most.

    ``grants`` too: those of leases. Otherwise transactions only. ``kinds``: only of these kinds.
    ``at_once``: they are executed at once, and only their answers come that late.
    """

    share: float
    least_s: float
    most_s: float
    grants: bool = False
    at_once: bool = False
    kinds: frozenset[WriteKind] = frozenset()

    def concerns(self, path: str, body: bytes) -> bool:
        """Whether a request is such a write."""
        if path != "/multi":
            lease = self.grants and path.startswith("/grants")
            return lease and (not self.kinds or "lease" in self.kinds)
        if not self.kinds:
            return True
        return not self.kinds.isdisjoint(kinds(msgspec.json.decode(body, type=Batch)))


class SimulatedStore:
    """A local site's state service, behind faults."""

    def __init__(self, loop: VirtualLoop, network: Network, limits: StateLimits) -> None:
        self.life = ProcessInstance("state")
        self.service = self.life.context.run(StateService, limits)
        self.slow_s = 0.0
        #: Controllers that are refused.
        self.refused: set[str] = set()
        #: Whose writes are executed late; those of "" are everybody's.
        self.late: dict[str, LateWrites] = {}
        #: Who is told of it when a transaction has been executed.
        self.on_written: Callable[[], None] = lambda: None
        self.writes = self.late_writes = 0
        self._rng = random.Random(loop.true_us)
        network.listen(self.life, STATE_ADDRESS, self._serve)
        self._network = network

        async def run() -> None:
            self.service.start(BackgroundTasks())

        loop.spawn(self.life, run)

    async def _serve(self, method: str, path: str, body: bytes) -> Response:
        caller = self._network.caller.get()
        if caller in self.refused:
            return error_response(503, "trouble")
        await self._dawdle()
        self.writes += path == "/multi"
        late = self.late.get(caller) or self.late.get("")
        late_s, at_once = 0.0, late is not None and late.at_once
        if late is not None and late.concerns(path, body) and self._rng.random() < late.share:
            self.late_writes += 1
            late_s = self._rng.uniform(late.least_s, late.most_s)
        if late_s and not at_once:
            await asyncio.sleep(late_s)
        answer = await self.service.handle(_RecordedRequest(method, path), body)  # type: ignore[arg-type]
        if path == "/multi":
            self.on_written()
        if late_s and at_once:
            await asyncio.sleep(late_s)
        await self._dawdle()
        while path.startswith("/changes") and caller in self.refused:  # noqa: ASYNC110
            # Open watches wait as they do in an outage.
            await asyncio.sleep(0.1)
        return Response(answer.status, answer.body, answer.retry_after_s)

    async def _dawdle(self) -> None:
        """A slow service is slow before it executes a request, and after."""
        if self.slow_s:
            await asyncio.sleep(self.slow_s * self._rng.uniform(0, 1))


class SimulatedCloud:
    """A pool that rents simulated machines; ``make`` brings one up."""

    def __init__(
        self,
        loop: VirtualLoop,
        network: Network,
        types: dict[MachineType, int],
        rps: float,
        make: Callable[[PoolMachine], SimulatedMachine],
        rng: random.Random,
    ) -> None:
        self.life = ProcessInstance("cloud")
        self._types = list(types)
        self.pool = Pool(
            self._types, 1e9, 2 * SECOND_US, {kind.name: most for kind, most in types.items()}
        )
        self.machines: dict[str, SimulatedMachine] = {}
        self.calls = 0
        #: How many times longer boots take, and how many machines never come up.
        self.boot_factor, self.boots_fail = 1.0, 0.0
        self._loop, self._make, self._rng = loop, make, rng
        self._budget = self.life.context.run(TokenBucket, rps, 2 * rps)
        network.listen(self.life, CLOUD_ADDRESS, self._serve)

    def up(self) -> list[SimulatedMachine]:
        """Return the machines that are up."""
        return [machine for machine in self.machines.values() if not machine.gone]

    async def _serve(self, method: str, path: str, body: bytes) -> Response:
        self.calls += 1
        await asyncio.sleep(0.1)
        if not self._budget.try_take(1, now_us()):
            return error_response(429, "too many calls")
        path, _, query = path.partition("?")
        try:
            if path == "/catalog":
                return Response(200, _encode(Catalog(self._types)))
            if method == "GET":
                asked = dict(parse_qsl(query))
                start, most = asked.get("from", ""), int(asked.get("most", "500"))
                return Response(200, _encode(self.pool.listing(start, most, now_us())))
            if path == "/rentals/delete":
                self._delete(msgspec.json.decode(body, type=MachineNames).machines)
                return Response(200, b"{}")
            return self._rent(msgspec.json.decode(body, type=RentalRequest))
        except PoolError as refused:
            return error_response(refused.status, str(refused))

    def _rent(self, request: RentalRequest) -> Response:
        names, record = self.pool.rent(request, now_us())
        if record is not None:
            for made in self.pool.rented(record):
                asyncio.create_task(self._boot(made))  # noqa: RUF006 - the life holds it
        return Response(200, _encode(MachineNames(names)))

    async def _boot(self, made: PoolMachine) -> None:
        boot_s = made.type.boot_s * self._rng.uniform(0.6, 1.5) * self.boot_factor
        if self.boots_fail and self._rng.random() < self.boots_fail:
            # It stays listed as starting until it is deleted.
            return
        await asyncio.sleep(boot_s)
        if not made.gone_us and not made.is_being_deleted:
            made.up_us = now_us()
            machine = self.machines[made.name] = self._make(made)
            machine.boot()

    def _delete(self, names: list[str]) -> None:
        for made in self.pool.leave(names):
            machine = self.machines.get(made.name)
            if machine is not None and not machine.gone:
                machine.die()
            self.pool.gone(made.name, now_us())

    def fail(self, machine: SimulatedMachine) -> None:
        """A machine dies by itself: listed as running for a while, then as failed."""
        machine.die()
        made = self.pool.machines.get(machine.name)
        if made is not None:
            made.failed_us = now_us() + 30 * SECOND_US
