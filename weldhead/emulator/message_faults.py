"""What befalls messages: they are lost, late, held up, or come a second time."""

import asyncio
from dataclasses import replace

from weldhead.cluster_state.records import LEADER_KEY
from weldhead.emulator.command_copies import CopyWindow
from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.events import LOOK_S, Events
from weldhead.emulator.loop import VirtualLoop
from weldhead.emulator.network import DelayedMessage, LinkConditions, Network
from weldhead.emulator.roles import Roles
from weldhead.emulator.scenario import Fault
from weldhead.emulator.services import SimulatedStore

#: No more than this share of messages is lost with their connections.
MOST_LOST = 0.1


class MessageFaults:
    """The faults of messages; ``fair`` is how the network is without them."""

    def __init__(
        self,
        loop: VirtualLoop,
        network: Network,
        fair: LinkConditions,
        store: SimulatedStore,
        controllers: list[SimulatedController],
        events: Events,
        roles: Roles,
    ) -> None:
        self._loop, self._network, self._fair = loop, network, fair
        self._store, self._controllers = store.service.store, controllers
        self._events, self._roles = events, roles
        network.weather = fair

    async def befall(self, fault: Fault) -> None:
        """Let one come, and wait until it is over."""
        fair = self._fair
        match fault.kind:
            case "messages_lost":
                lost = min(fault.chance, MOST_LOST)
                await self._weather(replace(fair, lost=lost), fault.for_s)
            case "commands_late":
                await self._hold_commands(fault)
            case "commands_copied":
                await self._copy_commands(fault)
            case "reports_copied" if fault.for_next:
                await self._keep_reports(fault)
            case "reports_copied":
                await self._copy_reports(fault)
            case _:
                late = replace(fair, late=fault.chance, late_s=fault.most_s)
                await self._weather(late, fault.for_s)

    async def _weather(self, weather: LinkConditions, for_s: float) -> None:
        self._network.weather = weather
        await asyncio.sleep(for_s)
        self._network.weather = self._fair

    async def _hold_commands(self, fault: Fault) -> None:
        held_up = self._network.commands_held_up
        this = DelayedMessage(fault.chance, fault.least_s, fault.most_s)
        names = [controller.name for controller in self._roles.chosen(fault)]
        held_up |= dict.fromkeys(names, this)
        await asyncio.sleep(fault.for_s)
        for name in names:
            # Another such fault may have taken its place.
            if held_up.get(name) is this:
                del held_up[name]
        # The last of them are still to be carried out.
        await asyncio.sleep(fault.most_s)

    async def _copy_commands(self, fault: Fault) -> None:
        copies = self._network.command_copies
        window = CopyWindow(fault.chance, fault.least_s, fault.most_s)
        copies.open(window)
        await asyncio.sleep(fault.for_s)
        copies.close(window)
        # The last copies are still on their way.
        await asyncio.sleep(fault.most_s)

    def hold_command_copies(self, fault: Fault) -> CopyWindow:
        """Make copies that wait for the event that the fault is tied to."""
        window = CopyWindow(fault.chance, fault.least_s, fault.most_s, hold=True)
        self._network.command_copies.open(window)
        return window

    async def release_command_copies(self, window: CopyWindow, machine: str) -> None:
        """Let the copies go that waited for an event, and wait until all have arrived."""
        self._network.command_copies.release(window, machine)
        await asyncio.sleep(window.most_s)

    async def _copy_reports(self, fault: Fault) -> None:
        network = self._network
        network.copied, network.copied_s = fault.chance, fault.most_s
        await asyncio.sleep(fault.for_s)
        network.copied = 0.0
        # The last copies are still on their way.
        await asyncio.sleep(fault.most_s)

    async def _keep_reports(self, fault: Fault) -> None:
        """Keep copies until nobody leads, and until a term is won: then they come everywhere."""
        network = self._network
        addresses = [controller.settings.listen for controller in self._controllers]

        def won() -> None:
            network.deliver_kept(addresses, fault.most_s)
            network.kept.clear()

        self._events.on_term.append(won)
        network.keeps, vacant = fault.chance, False
        until_s = self._loop.true_s + fault.for_s
        while self._loop.true_s < until_s:
            await asyncio.sleep(LOOK_S)
            if self._store.get(LEADER_KEY) is None and not vacant:
                network.deliver_kept(addresses, fault.most_s)
            vacant = self._store.get(LEADER_KEY) is None
        self._events.on_term.remove(won)
        network.keeps = 0.0
        network.kept.clear()
        # The last copies are still on their way.
        await asyncio.sleep(fault.most_s)
