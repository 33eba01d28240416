"""Users look at all nodes within milliseconds: does any node tell anything older?

The real controllers on the emulator's loop, network, store, cloud and machines. A look is a pair
of requests about one job: the first at one node, the second at all nodes, again and again from
the moment of a write (on its way to the store, carried out and unanswered, answered) until
another leader has read the jobs, if the one that led is lost at that moment.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Literal, get_args

import msgspec

from weldhead.emulator.controller import SimulatedController
from weldhead.emulator.events import kinds
from weldhead.emulator.experiment import Experiment
from weldhead.emulator.loop import VirtualLoop, simulated
from weldhead.emulator.scenario import JobClass, Scenario, ScenarioTeam
from weldhead.emulator.services import STATE_ADDRESS
from weldhead.protocol.wire import JobSpec, JobStatus
from weldhead.site.store.model import Batch
from weldhead.transport.http_server import Response
from weldhead.tunables.defaults import Tunables

Write = Literal["submission", "cancellation", "completion"]
Moment = Literal["in flight", "unanswered", "answered"]
Act = Literal["question", "submission", "cancellation"]
Loss = Literal["ends", "alone", "freezes"]
#: By whom the second request of a look could be answered from memory: by who led at the write,
#: by nobody, by who led next.
Led = Literal["same", "nobody", "next"]
#: How long the store holds a write, or its answer, so that there is time to look.
HOLD_S = 0.02
#: Between looks while the leader changes; for how long it is lost, and a moment is waited for.
PAUSE_S, LOST_S, MOST_S = 0.4, 5.0, 60.0
ROUNDS = 4
_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True)
class VisibilityProbe:
    """What is done about one job, and when."""

    write: Write
    moment: Moment
    first: Act
    second: Act


LOOKS = [
    VisibilityProbe(*each)
    for each in itertools.product(get_args(Write), get_args(Moment), get_args(Act), get_args(Act))
]


@dataclass
class Known:
    """What users were told of a job: when first that it is accepted, and how it ended."""

    accepted_us: int = 0
    final_us: int = 0
    final: str = ""


@dataclass
class ReadYourWritesProbes:
    """A site whose users look at all nodes around each write, and what they were told."""

    experiment: Experiment
    loop: VirtualLoop
    rng: random.Random
    #: Looks that wait for their moment, by job.
    waiting: dict[str, tuple[VisibilityProbe, "asyncio.Event"]] = field(default_factory=dict)
    known: dict[str, Known] = field(default_factory=dict)
    older: list[str] = field(default_factory=list)
    #: How often each look came about, by who could answer its second request.
    seen: Counter[tuple[VisibilityProbe, Led]] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    #: The terms whose leader was lost.
    lost: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        store = self.experiment.store
        self.experiment.network.listen(store.life, STATE_ADDRESS, self._serve)

    async def _serve(self, method: str, path: str, body: bytes) -> Response:
        found = self._waited_for(body) if path == "/multi" else {}
        await self._hold(found, "in flight")
        answer = await self.experiment.store._serve(method, path, body)
        if answer.status == 200:
            await self._hold(found, "unanswered")
            for _, come in (each for each in found.values() if each[0].moment == "answered"):
                # Taken up within the next milliseconds, in which users look.
                self.loop.call_at(self.loop.true_s + self.rng.uniform(0, 0.003), come.set)
        return answer

    def _waited_for(self, body: bytes) -> dict[str, tuple[VisibilityProbe, asyncio.Event]]:
        batch = msgspec.json.decode(body, type=Batch)
        names = {(write.set or write.delete or "").partition("/")[2] for write in batch.writes}
        met = set(kinds(batch))
        return {n: w for n in names if (w := self.waiting.get(n)) and w[0].write in met}

    async def _hold(
        self, found: dict[str, tuple[VisibilityProbe, asyncio.Event]], moment: Moment
    ) -> None:
        comes = [come for look, come in found.values() if look.moment == moment]
        for come in comes:
            come.set()
        if comes:
            await asyncio.sleep(HOLD_S)

    def missing(self) -> list[tuple[VisibilityProbe, Led]]:
        """What has not come about."""
        return [pair for pair in itertools.product(LOOKS, get_args(Led)) if not self.seen[pair]]

    # -- who leads ---------------------------------------------------------------------------

    def leading(self) -> tuple[SimulatedController, int] | None:
        """The last one that may answer from its memory, and its token."""
        found = []
        for controller in self.experiment.controllers:
            leader = controller.node.leader if controller.node is not None else None
            life = controller.life
            if leader is None or life is None or life.frozen or not leader.loaded:
                continue
            if life.context.run(lambda leader=leader: leader.is_valid):  # type: ignore[misc]
                found.append((controller, leader.token))
        return max(found, key=lambda pair: pair[1], default=None)

    def lose(self, who: SimulatedController, loss: Loss) -> None:
        """Have a controller end, hang, or lose the store and its peers, for a while."""
        network = self.experiment.network
        others = ["state", *(c.name for c in self.experiment.controllers if c is not who)]
        pairs = [pair for other in others for pair in ((who.name, other), (other, who.name))]
        life = who.life
        if loss == "ends":
            who.end()
            self.loop.call_at(self.loop.true_s + 1.0, who.start)
        elif loss == "freezes" and life is not None:
            self.loop.freeze(life)
            self.loop.call_at(self.loop.true_s + LOST_S, self.loop.thaw, life)
        elif loss == "alone":
            for pair in pairs:
                network.cut(*pair, "drop")
                self.loop.call_at(self.loop.true_s + LOST_S, network.heal, *pair, "drop")

    # -- what users do -----------------------------------------------------------------------

    async def ask(self, act: Act, spec: JobSpec, address: str) -> None:
        """Send a request; whatever it is answered must not be older than what was told before."""
        users, checker = self.experiment.users, self.experiment.checker
        path = {"submission": "/submissions", "cancellation": f"/submissions/{spec.id}/cancel"}
        method = "GET" if act == "question" else "POST"
        body = _encode(spec) if act == "submission" else b""
        if act == "cancellation":
            checker.jobs[spec.id].cancel_asked = True
        asked_us = self.loop.true_us
        where = path.get(act, f"/submissions/{spec.id}")
        answer = await users._call(method, address, where, body, 2.0)
        status = answer.status if answer is not None else 0
        self.statuses[status] += 1
        known = self.known.setdefault(spec.id, Known())
        accepted = 0 < known.accepted_us < asked_us
        state = ""
        if answer is not None and status in (200, 201):
            state = msgspec.json.decode(answer.body, type=JobStatus).state
            known.accepted_us = known.accepted_us or self.loop.true_us
        over = 0 < known.final_us < asked_us
        told = f"{spec.id}: {act} of {asked_us} at {address} answered {status} {state}"
        if accepted and status in (201, 400, 404, 422):
            self.older.append(f"{told}, accepted at {known.accepted_us}")
        if over and state and state != known.final:
            self.older.append(f"{told}, {known.final} at {known.final_us}")
        if state in ("done", "withdrawn") and not known.final:
            known.final, known.final_us = state, self.loop.true_us
        if state:
            verb = {"question": "poll", "submission": "submit", "cancellation": "cancel"}[act]
            checker.answered(spec.id, verb, status, state, asked_us)

    async def until(self, act: Act, spec: JobSpec, done: str) -> None:
        """Ask until a job is at least so far."""
        addresses = list(self.experiment.addresses.values())
        while not getattr(self.known.setdefault(spec.id, Known()), done):
            await self.ask(act, spec, self.rng.choice(addresses))
            await asyncio.sleep(1.0)

    async def look(self, look: VisibilityProbe, loss: Loss) -> None:
        """Bring one look about, and have who leads be lost then."""
        users, checker = self.experiment.users, self.experiment.checker
        short, long = self.experiment.scenario.jobs
        spec = users._draw(long if look.write == "cancellation" else short, 1)
        checker.submitted(spec)
        come = asyncio.Event()
        self.waiting[spec.id] = look, come
        begun = [asyncio.create_task(self.until("submission", spec, "accepted_us"))]
        if look.write == "cancellation":
            await begun[0]
            begun.append(asyncio.create_task(self.until("cancellation", spec, "final_us")))
        try:
            async with asyncio.timeout(MOST_S):
                await come.wait()
        except TimeoutError:
            # That it never came about shows in what was not seen.
            return
        finally:
            del self.waiting[spec.id]
        leading = self.leading()
        if leading is not None and leading[1] not in self.lost:
            self.lost.add(leading[1])
            lost_s = self.loop.true_s + self.rng.uniform(HOLD_S, 3 * HOLD_S)
            self.loop.call_at(lost_s, self.lose, leading[0], loss)
        await self._ask_all(look, spec, leading[1] if leading else 0)
        await asyncio.gather(*begun)
        await self.until("question", spec, "final_us")

    async def _ask_all(self, look: VisibilityProbe, spec: JobSpec, token: int) -> None:
        addresses = list(self.experiment.addresses.values())
        asks = [asyncio.create_task(self.ask(look.first, spec, self.rng.choice(addresses)))]
        until_s, led = self.loop.true_s + MOST_S, self.led_by(token)
        # At once, in the next milliseconds, and until another leader has read the jobs.
        pauses = itertools.chain([0.0005, 0.001, 0.002, 0.004], itertools.repeat(PAUSE_S))
        while self.loop.true_s < until_s:
            self.seen[look, led] += 1
            asks += [asyncio.create_task(self.ask(look.second, spec, a)) for a in addresses]
            if led == "next":
                break
            before, next_s = led, self.loop.true_s + next(pauses)
            while led == before and self.loop.true_s < next_s:
                await asyncio.sleep(min(0.01, next_s - self.loop.true_s))
                led = self.led_by(token)
        await asyncio.gather(*asks)

    def led_by(self, token: int) -> Led:
        """Say who leads by now, from the token of who led at the write."""
        leading = self.leading()
        if leading is None:
            return "nobody"
        return "same" if leading[1] == token else "next"


def play_close_looks(seed: int) -> ReadYourWritesProbes:
    """Look at a site of three controllers, whose leader is lost in another way in each part."""
    short, long = (
        JobClass(name, "red", 0.0, tasks=1, run_s=run_s, cpus=0.1, image_gb=0.1)
        for name, run_s in (("short", 1.0), ("long", 60.0))
    )
    scenario = Scenario("close-looks", [ScenarioTeam("red", 8.0, 40.0)], [short, long], machines=6)
    with simulated() as loop:
        experiment = Experiment(loop, scenario, seed, Tunables())
        site = ReadYourWritesProbes(experiment, loop, random.Random(seed))

        async def users() -> None:
            losses = itertools.cycle(site.rng.sample(get_args(Loss), len(get_args(Loss))))
            while site.leading() is None:  # noqa: ASYNC110
                await asyncio.sleep(PAUSE_S)
            for _ in range(ROUNDS):
                # What a leader lost too early has kept from coming about is tried once more.
                missing = {look for look, _ in site.missing()}
                left = [look for look in LOOKS if look in missing]
                for _, part in itertools.groupby(left, lambda look: (look.write, look.moment)):
                    loss = next(losses)
                    await asyncio.gather(*(site.look(look, loss) for look in part))

        async def run() -> None:
            for controller in experiment.controllers:
                controller.start()
            judging = asyncio.create_task(experiment._look())
            await loop.spawn(experiment.users.life, users)
            judging.cancel()

        loop.run_until_complete(run())
    return site
