"""A simulated controller: its machine, and the process of the real code that lives there."""

import asyncio
from collections.abc import Callable
from functools import partial

from weldhead.clock import SECOND_US, now_us
from weldhead.controller.process import ControllerProcess
from weldhead.documents.records import DocumentSet
from weldhead.emulator.loop import ProcessInstance, VirtualLoop
from weldhead.emulator.network import Network, SimulatedHttp, SimulatedServer
from weldhead.emulator.processor import START_US
from weldhead.protocol.settings import Settings
from weldhead.transport.http_server import Handler, Response
from weldhead.tunables.defaults import Tunables


class SimulatedController:
    """A controller's machine, and the process that lives there now."""

    def __init__(
        self,
        loop: VirtualLoop,
        network: Network,
        settings: Settings,
        tunables: Tunables,
        clock: tuple[float, int],
        offer: DocumentSet | None,
        answered: Callable[["SimulatedController", str], None],
        core_share: float = 0.0,
    ) -> None:
        self._loop, self._network, self._tunables = loop, network, tunables
        self.settings = settings
        self.name = settings.name
        self._clock, self._offer, self._answered = clock, offer, answered
        self._core_share = core_share
        self.life: ProcessInstance | None = None
        #: All its processes so far.
        self.lives: list[ProcessInstance] = []
        self.node: ControllerProcess | None = None

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.life is not None:
            return
        life = self.life = ProcessInstance(self.name, *self._clock, self._core_share)
        self.lives.append(life)
        network = self._network

        async def run() -> None:
            if self._core_share and len(self.lives) > 1:
                # The first ones were started before the run began.
                await asyncio.sleep(START_US / SECOND_US / self._core_share)
            node = self.node = ControllerProcess(
                self.settings,
                self._tunables,
                client=lambda *_: SimulatedHttp(network),
                server=lambda handler: SimulatedServer(network, partial(watched, handler)),
                started_us=now_us(),
                offer=self._offer,
            )
            await node.run()

        async def watched(handler: Handler, method: str, path: str, body: bytes) -> Response:
            answer = await handler(method, path, body)
            if answer.status == 200 and path != "/ready":
                self._answered(self, f"{method} {path}")
            return answer

        self._loop.spawn(life, run)

    def end(self) -> None:
        """End the process without a signal."""
        life, self.life, self.node = self.life, None, None
        if life is not None:
            self._loop.end(life)
            self._network.ended(life)
