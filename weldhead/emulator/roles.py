"""Which controller a fault befalls: by its number, or by the part it plays."""

import random
from collections import Counter

from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.events import Events
from weldhead.emulator.scenario import Fault
from weldhead.emulator.services import SimulatedCloud


class Roles:
    """Chooses controllers."""

    def __init__(
        self,
        rng: random.Random,
        controllers: list[SimulatedController],
        cloud: SimulatedCloud,
        events: Events,
    ) -> None:
        self._rng, self._controllers = rng, controllers
        self._cloud, self._events = cloud, events

    def chosen(self, fault: Fault) -> list[SimulatedController]:
        """Return whom a fault befalls now."""
        match fault.role:
            case None:
                return self._drawn(fault)
            case "follower":
                others = [c for c in self._controllers if c.name != self._events.leader]
                return self._rng.sample(others, min(fault.count or 1, len(others)))
            case "most_workers":
                return [self._named(self._most_reported())]
            case _:
                # By then a successor leads.
                return [self._named(self._events.leader)]

    def _drawn(self, fault: Fault) -> list[SimulatedController]:
        count = fault.count or len(self._controllers)
        order = self._rng.sample(self._controllers, len(self._controllers))
        if fault.leader:
            order.sort(key=lambda c: c.node is None or c.node.leader is None)
        return order[:count]

    def _named(self, name: str) -> SimulatedController:
        """Return the controller of that name; the first, as long as nobody has led."""
        return next((c for c in self._controllers if c.name == name), self._controllers[0])

    def _most_reported(self) -> str:
        counts = Counter(machine.reports_to for machine in self._cloud.up())
        return min(counts, key=lambda name: (-counts[name], name), default="")
