"""What befalls a simulated site, and when all of it is over."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

from weldhead.cluster_state.records import LEADER_KEY, LeaderRecord
from weldhead.emulator.checker import Checker
from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.events import LOOK_S, Events, SimulationEvent
from weldhead.emulator.loop import BEGIN_S, VirtualLoop
from weldhead.emulator.machines import SimulatedMachine
from weldhead.emulator.malformed_requests import MalformedRequests
from weldhead.emulator.message_faults import MessageFaults
from weldhead.emulator.network import LinkConditions, Network, cut_for
from weldhead.emulator.roles import Roles
from weldhead.emulator.scenario import LEAST_COPY_S, Event, Fault, Kind, Scenario
from weldhead.emulator.services import LateWrites, SimulatedCloud, SimulatedStore
from weldhead.emulator.users import Users
from weldhead.emulator.zones import ZoneCuts
from weldhead.transport.state_client import decode

#: Of how many machines the jobs that users cancel at once let hang at most.
MOST_HUNG = 8


@dataclass(frozen=True)
class TriggeredFault:
    """A fault that was tied to an event, or to who leads next, and came about."""

    kind: Kind
    event: Event | None
    at_s: float
    #: Whose doing the event was, who led at the fault's ``at_s``, and who when it came.
    controller: str
    former: str
    leader: str


class Faults:
    """The faults of one run."""

    def __init__(
        self,
        loop: VirtualLoop,
        rng: random.Random,
        scenario: Scenario,
        network: Network,
        store: SimulatedStore,
        cloud: SimulatedCloud,
        controllers: list[SimulatedController],
        users: Users,
        odd_users: MalformedRequests,
        checker: Checker,
    ) -> None:
        self._loop, self._rng, self._scenario = loop, rng, scenario
        self._odd = odd_users
        self._network, self._store, self._cloud = network, store, cloud
        self._controllers, self._users, self._checker = controllers, users, checker
        self._left = 0
        wanted = {fault.on for fault in scenario.faults if fault.on is not None}
        self._events = Events(
            loop, wanted, network, store.service.store, checker, controllers
        )  # fmt: skip
        self._roles = Roles(rng, controllers, cloud, self._events)
        store.on_written = self._events.look
        users.on_confirmed = lambda controller: self._events.happened("confirmed", controller)
        #: The faults tied to something that came about, in their order.
        self.met: list[TriggeredFault] = []
        #: Machines that hear no controller at all, and since when.
        self.deaf: dict[str, float] = {}
        fair = LinkConditions(delay_s=scenario.delay_s, lost=scenario.lost)
        self._messages = MessageFaults(
            loop, network, fair, store, controllers, self._events, self._roles
        )
        self.zone_cuts = ZoneCuts(network, cloud, controllers, self._events, checker)

    def start(self) -> list[asyncio.Task[None]]:
        """Have all faults come at their times."""
        faults = [*self._scenario.faults, *self._draw()]
        self._left = len(faults)
        if not faults:
            self._checker.calm_us = self._loop.true_us
        background_tasks = [asyncio.create_task(self._befall(fault)) for fault in faults]
        return [*background_tasks, asyncio.create_task(self._events.watch())]

    def _draw(self) -> Iterator[Fault]:
        drawn, rng = self._scenario.drawn, self._rng
        if drawn is None:
            return
        for _ in range(drawn.count):
            fault = Fault(
                kind=rng.choice(drawn.kinds),
                at_s=rng.uniform(drawn.from_s, drawn.to_s),
                for_s=rng.uniform(0.5, drawn.most_for_s),
                count=rng.choice((0, 1, 1, self._scenario.controllers - 1)),
                share=rng.choice((0.1, 0.3, 0.5, 0.9)),
                leader=rng.random() < 0.5,
                mode=rng.choice(("hold", "hold", "drop", "reset", "refuse")),
                one_way=rng.random() < 0.3,
                chance=rng.choice((0.05, 0.3)),
                most_s=rng.choice((2.0, 20.0, drawn.most_for_s)),
            )
            if fault.kind == "store_late_writes":
                fault.most_s = 12.0
            elif fault.kind == "commands_copied":
                fault.least_s = LEAST_COPY_S
            elif fault.kind == "store_slow":
                fault.most_s = min(fault.most_s, 0.4)
            if drawn.backs_s:
                fault.back_s = rng.choice(drawn.backs_s)
                fault.again = fault.kind == "controllers_end" and rng.random() < 0.3
            yield fault

    async def _tie(self, fault: Fault) -> tuple[bool, SimulationEvent | None]:
        """Wait for what a fault is tied to; false: that has not come in time."""
        events, until_s = self._events, BEGIN_S + fault.until_s
        former, happened = events.leader, None
        if fault.on is not None:
            happened = await events.wait(
                fault.on, nth=fault.nth, until_s=until_s, write=fault.write,
                not_under=former if fault.elsewhere else None,
            )  # fmt: skip
            if happened is None:
                return False, None
            await asyncio.sleep(fault.after_s)
        if fault.role == "successor":
            # Of an event: who leads next after the one that led when it came.
            before = happened.leader if happened is not None else former
            while events.leader in ("", before):
                if self._loop.true_s > until_s:
                    return False, None
                await asyncio.sleep(LOOK_S)
        if fault.on is not None or fault.role == "successor":
            by = happened.controller if happened is not None else events.leader
            at_s = self._loop.true_s - BEGIN_S
            self.met.append(TriggeredFault(fault.kind, fault.on, at_s, by, former, events.leader))
        return True, happened

    def _some_machines(self, fault: Fault, concerned: str) -> list[SimulatedMachine]:
        up = self._cloud.up()
        if fault.concerned:
            return [machine for machine in up if machine.name == concerned]
        return self._rng.sample(up, round(len(up) * fault.share))

    async def _befall(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind == "commands_copied" and fault.on is not None:
            await self._befall_copied_commands(fault)
        else:
            await self._befall_tied(fault)
        # What lapses is over as well: the rest of the run is judged as calm.
        self._left -= 1
        if not self._left:
            self._checker.calm_us = self._loop.true_us

    async def _befall_tied(self, fault: Fault) -> None:
        """Wait for what a fault is tied to, if anything, and let it come."""
        background_tasks: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "controllers": self._befall_controllers,
            "store": self._befall_store,
            "boots": self._befall_boots,
            "users": self._befall_users,
            "zone": self.zone_cuts.befall,
        }
        comes, happened = await self._tie(fault)
        if comes:
            self._checker.note("fault", fault.kind)
            if fault.kind.startswith("machines_"):
                concerned = happened.machine if happened is not None else ""
                await self._befall_machines(fault, self._some_machines(fault, concerned))
            else:
                await background_tasks.get(fault.kind.partition("_")[0], self._messages.befall)(
                    fault
                )

    async def _befall_copied_commands(self, fault: Fault) -> None:
        """Copy direct commands until an event comes, and have the copies arrive after it."""
        window = self._messages.hold_command_copies(fault)
        comes, happened = await self._tie(fault)
        self._network.command_copies.close(window)
        if comes:
            self._checker.note("fault", fault.kind)
            concerned = happened.machine if fault.concerned and happened is not None else ""
            await self._messages.release_command_copies(window, concerned)

    # -- controllers -----------------------------------------------------------------------

    async def _befall_controllers(self, fault: Fault) -> None:
        chosen = self._roles.chosen(fault)
        names = {c.name for c in chosen}
        peers, machines = {c.name for c in self._controllers}, set(self._cloud.machines)
        match fault.kind:
            case "controllers_end":
                back_s = fault.back_s or max(fault.for_s, self._scenario.back_s)
                bounced = [asyncio.create_task(self._bounce(c, back_s)) for c in chosen]
                if fault.again:
                    await self._end_winners(self._loop.true_s + fault.for_s, back_s)
                await asyncio.gather(*bounced)
            case "controllers_freeze":
                lives = [c.life for c in chosen if c.life is not None]
                for life in lives:
                    self._loop.freeze(life)
                await asyncio.sleep(fault.for_s)
                for life in lives:
                    if life.frozen:
                        self._loop.thaw(life)
            case "controllers_cut":
                await self._cut(names, peers | {"state", "cloud", "users"} | machines, fault)
            case "controllers_peers":
                await self._cut(names, peers, fault)
            case "controllers_alone":
                await self._cut(names, peers | {"state"}, fault)
            case "controllers_from_store":
                await self._cut(names, {"state"}, fault)
            case _:
                await self._cut(names, machines, fault)

    async def _bounce(self, controller: SimulatedController, back_s: float) -> None:
        controller.end()
        await asyncio.sleep(back_s)
        controller.start()
        self._events.happened("controller_back", controller.name)

    async def _end_winners(self, until_s: float, back_s: float) -> None:
        """End a controller whenever the leader's key is vacant or has a new owner."""
        seen, bounced = -1, []
        while self._loop.true_s < until_s:
            await asyncio.sleep(LOOK_S)
            entry = self._store.service.store.get(LEADER_KEY)
            version = entry.version if entry is not None else 0
            if version == seen:
                continue
            seen = version
            # Whoever stands or has won is ended at any moment of it.
            await asyncio.sleep(self._rng.uniform(0, 0.3))
            victim = self._rng.choice(self._controllers)
            if entry is not None:
                name = decode(bytes(entry.value), LeaderRecord).name
                victim = next(c for c in self._controllers if c.name == name)
            if victim.life is not None:
                bounced.append(asyncio.create_task(self._bounce(victim, back_s)))
        await asyncio.gather(*bounced)

    async def _cut(self, names: set[str], others: set[str], fault: Fault) -> None:
        pairs = sorted((a, b) for a in names for b in others - {a})
        if not fault.one_way:
            pairs += [(b, a) for a, b in pairs if b not in names]
        await cut_for(self._network, pairs, fault.mode, fault.for_s)

    # -- machines --------------------------------------------------------------------------

    async def _befall_machines(self, fault: Fault, chosen: list[SimulatedMachine]) -> None:
        match fault.kind:
            case "machines_die":
                for machine in chosen:
                    self._cloud.fail(machine)
            case "machines_restart":
                for machine in chosen:
                    machine.end()
                await asyncio.sleep(fault.back_s)
                for machine in chosen:
                    machine.come_back()
                    self._events.happened("machine_back", self._events.leader, machine.name)
            case "machines_sick":
                for machine in chosen:
                    machine.fall_sick()
                await asyncio.sleep(fault.for_s)
                for machine in chosen:
                    machine.sick = False
            case "machines_hang":
                await self._hang(chosen, fault.for_s)
            case "machines_deaf":
                unheard = self._roles.chosen(fault)
                pairs = [(c.name, machine.name) for machine in chosen for c in unheard]
                names = [m.name for m in chosen if len(unheard) == len(self._controllers)]
                self.deaf.update(dict.fromkeys(names, self._loop.true_s))
                await cut_for(self._network, pairs, "deaf", fault.for_s)
                for name in names:
                    self.deaf.pop(name, None)
            case "machines_mute":
                unreached = self._roles.chosen(fault)
                pairs = [(machine.name, c.name) for machine in chosen for c in unreached]
                await cut_for(self._network, pairs, "mute", fault.for_s)
            case _:
                await self._cut(
                    {m.name for m in chosen}, {c.name for c in self._controllers}, fault
                )

    async def _hang(self, chosen: list[SimulatedMachine], for_s: float) -> None:
        for machine in chosen:
            self._loop.freeze(machine.life)
        await asyncio.sleep(for_s)
        for machine in chosen:
            if machine.life.frozen:
                self._loop.thaw(machine.life)

    # -- services, users, the network ------------------------------------------------------

    async def _befall_store(self, fault: Fault) -> None:
        store = self._store
        match fault.kind:
            case "store_down":
                store.service.outage = True
                await asyncio.sleep(fault.for_s)
                store.life.context.run(store.service.end_outage)
            case "store_slow":
                store.slow_s = fault.most_s
                await asyncio.sleep(fault.for_s)
                store.slow_s = 0.0
            case "store_refuses":
                names = {c.name for c in self._roles.chosen(fault)}
                store.refused |= names
                await asyncio.sleep(fault.for_s)
                store.refused -= names
            case "store_late":
                await self._late(LateWrites(fault.chance, 0.0, fault.most_s), {""}, fault.for_s)
            case _:
                late = LateWrites(
                    fault.chance, fault.least_s, fault.most_s, grants=True,
                    at_once=fault.at_once, kinds=frozenset(fault.writes),
                )  # fmt: skip
                chosen = {c.name for c in self._roles.chosen(fault)}
                await self._late(late, chosen, fault.for_s)
                # The last of them are still to be executed.
                await asyncio.sleep(fault.most_s)

    async def _late(self, late: LateWrites, names: set[str], for_s: float) -> None:
        self._store.late |= dict.fromkeys(names, late)
        await asyncio.sleep(for_s)
        for name in names:
            # Another such fault may have taken its place.
            if self._store.late.get(name) is late:
                del self._store.late[name]

    async def _befall_boots(self, fault: Fault) -> None:
        if fault.kind == "boots_late":
            self._cloud.boot_factor = fault.factor
        else:
            self._cloud.boots_fail = fault.chance
        await asyncio.sleep(fault.for_s)
        self._cloud.boot_factor, self._cloud.boots_fail = 1.0, 0.0

    async def _befall_users(self, fault: Fault) -> None:
        match fault.kind:
            case "users_poll":
                self._users.eager = fault.factor
                await asyncio.sleep(fault.for_s)
                self._users.eager = 1.0
            case "users_ask_everywhere":
                await self._odd.ask_everywhere(fault.for_s)
            case "users_odd":
                await self._odd.send_odd_requests(fault.for_s)
            case "users_cancel_at_end":
                await self._odd.cancel_at_end(fault.chance, fault.for_s)
            case _:
                hung = self._odd.cancel_now(fault.count)
                if fault.hang_s:
                    await self._hang(hung[:MOST_HUNG], fault.hang_s)
