"""Cuts of a zone: its machines and controllers lose the other zones, with or without services."""

from dataclasses import dataclass

from weldhead.emulator.checker import Checker
from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.events import Events
from weldhead.emulator.network import Network, cut_for
from weldhead.emulator.scenario import Fault
from weldhead.emulator.services import SimulatedCloud

SERVICES = ("state", "cloud", "users")


@dataclass(frozen=True)
class ZoneCut:
    """What a cut found: its zone, whether the leader was in it, and what ran there."""

    zone: str
    leader_inside: bool
    machines: int
    #: Tasks and their machines: what ran there at its beginning, and what still did at its end.
    ran: frozenset[tuple[str, str]]
    still: frozenset[tuple[str, str]]


class ZoneCuts:
    """Cuts zones off, and keeps what each cut found."""

    def __init__(
        self,
        network: Network,
        cloud: SimulatedCloud,
        controllers: list[SimulatedController],
        events: Events,
        checker: Checker,
    ) -> None:
        self._network, self._cloud, self._controllers = network, cloud, controllers
        self._events, self._checker = events, checker
        #: The cuts that are over, in their order.
        self.over: list[ZoneCut] = []

    async def befall(self, fault: Fault) -> None:
        """Cut a zone off, and wait until the cut is over."""
        leader_zone = self._leader_zone()
        zone = self._zone(fault, leader_zone)
        machines = {machine.name: machine.zone for machine in self._cloud.up()}
        zones = machines | {c.name: c.settings.zone for c in self._controllers}
        inside = sorted(name for name in zones if zones[name] == zone)
        outside = sorted(name for name in zones if zones[name] != zone)
        outside += SERVICES if fault.services else ()
        pairs = [(a, b) for a in inside for b in outside]
        if not fault.one_way:
            pairs += [(b, a) for a, b in pairs]
        ran = self._running_in(zone)
        await cut_for(self._network, pairs, fault.mode, fault.for_s)
        still = ran & self._running_in(zone)
        count = sum(where == zone for where in machines.values())
        self.over.append(ZoneCut(zone, leader_zone == zone, count, ran, still))

    def _leader_zone(self) -> str:
        """Return the zone of who led last; of the first controller, as long as nobody has led."""
        named = (c for c in self._controllers if c.name == self._events.leader)
        return next(named, self._controllers[0]).settings.zone

    def _zone(self, fault: Fault, leader_zone: str) -> str:
        if fault.zone:
            return fault.zone
        if fault.leader:
            return leader_zone
        zones = (controller.settings.zone for controller in self._controllers)
        return next(zone for zone in zones if zone != leader_zone)

    def _running_in(self, zone: str) -> frozenset[tuple[str, str]]:
        return frozenset(
            (task, name)
            for task, here in self._checker.on.items()
            for name, site in here.items()
            if site.zone == zone and site.present()
        )
