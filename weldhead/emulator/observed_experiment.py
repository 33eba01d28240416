"""A run watched more closely: where old messages arrive, and who leads on though replaced."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from weldhead.clock import SECOND_US, latest_lease_end_us
from weldhead.controller.process import ControllerProcess
from weldhead.emulator.arrivals import Arrivals
from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.experiment import Experiment, Result, _result
from weldhead.emulator.loop import VirtualLoop, simulated
from weldhead.emulator.machines import SimulatedMachine
from weldhead.emulator.scenario import Scenario
from weldhead.transport.http_server import Response
from weldhead.tunables.defaults import Tunables


class WatchedExperiment(Experiment):
    """An experiment that also judges ``outlived_term``.

    A leader answers although a later term began longer ago than a lease of the leader's key
    lasts: by then it may have led on by promises alone, and of those that gave them one has
    replaced it.
    """

    def __init__(
        self, loop: VirtualLoop, scenario: Scenario, seed: int, tunables: Tunables
    ) -> None:
        super().__init__(loop, scenario, seed, tunables)
        self._unaware_s = latest_lease_end_us(0, tunables.leadership.ttl_us) / SECOND_US

    def check_lease(self, controller: SimulatedController, what: str) -> None:
        """Look at whoever answers."""
        super().check_lease(controller, what)
        node = controller.node
        token = node.election.lease.token if node is not None else 0
        later_s = [at_s for other, at_s in self.led_s.items() if other > token]
        if token and later_s and self.loop.true_s > min(later_s) + self._unaware_s:
            self.checker.breaks(
                "outlived_term", f"{controller.name} answers {what}, token {token} of {self.led_s}"
            )


@contextmanager
def _watched(arrivals: Arrivals) -> Iterator[None]:
    report, serve = ControllerProcess._handle_heartbeat, SimulatedMachine._serve

    async def reported(self: ControllerProcess, body: bytes, *, relayed: bool) -> Response:
        if not relayed:
            arrivals.arrived(self, body)
        leader = self.leader
        answer = await report(self, body, relayed=relayed)
        if leader is not None and answer.status == 200:
            arrivals.answered(leader, answer)
        return answer

    async def served(self: SimulatedMachine, method: str, path: str, body: bytes) -> Response:
        if path == "/commands":
            arrivals.commanded(self, body)
        return await serve(self, method, path, body)

    with (
        patch.object(ControllerProcess, "_handle_heartbeat", reported),
        patch.object(SimulatedMachine, "_serve", served),
    ):
        yield


def play_watched(scenario: Scenario, seed: int) -> tuple[Result, Arrivals]:
    """Play a scenario, and say what came old."""
    with simulated() as loop:
        experiment = WatchedExperiment(loop, scenario, seed, Tunables())
        arrivals = Arrivals(experiment)
        experiment.network.on_sent.append(arrivals.sent)
        with _watched(arrivals):
            loop.run_until_complete(experiment.run())
        return _result(experiment, seed), arrivals
