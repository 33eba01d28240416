"""Observes the hand-overs of a run: teams at their limits, tasks out of reach, cancellations.

A run's result says which faults came about; this says how the site stood when they did.
Times are seconds of true time.
"""

import asyncio
from bisect import bisect
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from weldhead.clock import now_us
from weldhead.controller.leadership.leader import Leader
from weldhead.emulator.events import kinds
from weldhead.emulator.experiment import Experiment
from weldhead.emulator.loop import BEGIN_S, ProcessInstance, simulated
from weldhead.emulator.scenario import Scenario
from weldhead.protocol.wire import split_task_name
from weldhead.site.store.model import Batch
from weldhead.tunables.defaults import Tunables

#: How often it is looked how far a term is.
LOOK_S = 0.005
#: How often the leader's books are looked at.
BOOKS_S = 0.2
#: For how long before a leader leaves, and after its successor is ready, a hand-over is counted.
AROUND_S = 2.0

Step = Literal["leaving", "standing", "winning", "loading", "ready"]
STEPS: tuple[Step, ...] = ("leaving", "standing", "winning", "loading", "ready")


@dataclass(frozen=True)
class CancelRequest:
    """A user's request to cancel a job left for a controller, which led by then or did not."""

    at_s: float
    by_leader: bool


@dataclass(frozen=True)
class SiteState:
    """How the site stood when something happened."""

    at_s: float
    #: How many teams are at their limits by the books of the last leader that knew all machines.
    at_limit: int
    #: Tasks of jobs that were asked to be cancelled, on machines that hang or are cut off.
    out_of_reach: int
    #: Whether the leader has read the store, and whether it knows all machines.
    loaded: bool
    ready: bool


@dataclass
class HandOverObserver:
    """What was seen in one run; it follows the run's events from its creation on."""

    experiment: Experiment
    #: When the leader's key had a new owner, and when a user learned that a job is withdrawn.
    won: list[SiteState] = field(default_factory=list)
    confirmed: list[SiteState] = field(default_factory=list)
    cancel_requests: list[CancelRequest] = field(default_factory=list)
    #: The steps of all hand-overs, in their order.
    steps: list[tuple[float, Step]] = field(default_factory=list)
    #: Tasks that were lost with their machine, by class; and of arrays of which others ran on.
    lost: Counter[str] = field(default_factory=Counter)
    lost_of_arrays: Counter[str] = field(default_factory=Counter)
    _token: int = 0
    #: Who won the key last; None: has left since.
    _winner: ProcessInstance | None = None
    _full: set[str] = field(default_factory=set)
    _seen: set[tuple[Step, int]] = field(default_factory=set)

    def __post_init__(self) -> None:
        experiment = self.experiment
        written, told = experiment.store.on_written, experiment.users.on_confirmed

        def on_written() -> None:
            written()
            self._see_key()

        def on_confirmed(controller: str) -> None:
            self.confirmed.append(self._site_state())
            told(controller)

        experiment.store.on_written = on_written
        experiment.users.on_confirmed = on_confirmed
        experiment.network.on_sent.append(self._sent)
        left = experiment.checker.left

        def gone(task: str, machine: str, why: str) -> None:
            if why in ("died", "restarted", "killed by a lease"):
                self._lost(task, machine)
            left(task, machine, why)

        experiment.checker.left = gone  # type: ignore[method-assign]

    # -- the site -----------------------------------------------------------------------------

    def _site_state(self) -> SiteState:
        leader = self._leader()
        return SiteState(
            self.experiment.loop.true_s - BEGIN_S,
            len(self._full),
            sum(1 for _ in self._out_of_reach()),
            leader is not None and leader.term.loaded,
            leader is not None and leader.term.ready,
        )

    def _leader(self) -> Leader | None:
        """Return the term of the latest leader, while it commands."""
        leaders = [
            c.node.leader
            for c in self.experiment.controllers
            if c.node is not None and c.life is not None and not c.life.frozen
            if c.node.leader is not None and c.life.context.run(_valid, c.node.leader)
        ]
        return max(leaders, key=lambda leader: leader.token, default=None)

    def _look_at_books(self, leader: Leader) -> None:
        """See which teams have no room for one more task by the leader's books."""
        cluster = leader.cluster
        for team in cluster.teams:
            job = next((job for job in cluster.jobs.values() if job.team == team), None)
            if job is not None and cluster.tasks_within_limit(job) < 1:
                self._full.add(team)
            elif job is not None:
                self._full.discard(team)

    def _out_of_reach(self) -> Iterator[str]:
        experiment = self.experiment
        names = [controller.name for controller in experiment.controllers]
        for task, here in experiment.checker.on.items():
            if not experiment.checker.jobs[split_task_name(task)[0]].cancel_asked:
                continue
            for name, site in here.items():
                machine = experiment.cloud.machines[name]
                cut = all(experiment.network._path(node, name) for node in names)
                if site.present() and (machine.life.frozen or cut):
                    yield task

    def _lost(self, task: str, machine: str) -> None:
        on = self.experiment.checker.on
        job_id, _ = split_task_name(task)
        spec = self.experiment.jobs[job_id]
        if machine in on[task]:
            self.lost[spec.job_class] += 1
            others = (on.get(f"{job_id}/{index}") for index in range(spec.tasks))
            if any(here and machine not in here for here in others):
                self.lost_of_arrays[spec.job_class] += 1

    # -- hand-overs ---------------------------------------------------------------------------

    def _see_key(self) -> None:
        leader = self.experiment.faults._events._version
        if leader != self._token:
            self._token = leader
            self._step("winning")
            name = self.experiment.faults._events.leader
            self._winner = next(c.life for c in self.experiment.controllers if c.name == name)
            self.won.append(self._site_state())

    def _step(self, step: Step) -> None:
        self.steps.append((self.experiment.loop.true_s, step))

    def _sent(self, source: str, target: str, path: str, body: bytes) -> None:
        if path == "multi" and "leader" in kinds(msgspec.json.decode(body, type=Batch)):
            self._step("standing")
        elif source == "users" and path.endswith("/cancel"):
            node = next(c.node for c in self.experiment.controllers if c.name == target)
            leads = node is not None and node.leader is not None
            self.cancel_requests.append(CancelRequest(self.experiment.loop.true_s, leads))

    async def watch(self) -> None:
        """See when a leader leaves, and how far each term is."""
        led: Leader | None = None
        looked_s = 0.0
        while True:
            leader = self._leader()
            gone = self._winner is not None and (self._winner.ended or self._winner.frozen)
            if self._winner is not None and (gone or (led is not None and leader is not led)):
                self._winner = None
                self._step("leaving")
            led = leader
            if leader is not None:
                if leader.term.ready and self.experiment.loop.true_s - looked_s > BOOKS_S:
                    looked_s = self.experiment.loop.true_s
                    self._look_at_books(leader)
                states: tuple[tuple[Step, bool], ...] = (
                    ("loading", leader.term.loaded),
                    ("ready", leader.term.ready),
                )
                for step, so in states:
                    if so and (step, leader.token) not in self._seen:
                        self._seen.add((step, leader.token))
                        self._step(step)
            await asyncio.sleep(LOOK_S)

    def around(self, step: Step) -> tuple[Counter[str], Counter[str]]:
        """Count the cancellations before and after a step, to the leader or to a follower.

        Each one between two steps: it counts after the one and before the next.
        """
        before, after = Counter[str](), Counter[str]()
        steps = list(self._kept_steps())
        for asked in self.cancel_requests:
            whom = "leader" if asked.by_leader else "follower"
            passed = bisect(steps, (asked.at_s, "~"))
            if passed and steps[passed - 1][1] == step:
                after[whom] += asked.at_s - steps[passed - 1][0] <= AROUND_S
            if passed < len(steps) and steps[passed][1] == step:
                before[whom] += steps[passed][0] - asked.at_s <= AROUND_S
        return before, after

    def _kept_steps(self) -> Iterator[tuple[float, Step]]:
        """Leave out that somebody else stands too, or still."""
        last: Step | None = None
        for at_s, step in sorted(self.steps):
            if step != "standing" or last == "leaving":
                last = step
                yield at_s, step


def _valid(leader: Leader) -> bool:
    return leader.term._lease.is_valid(now_us())


def observe_hand_overs(scenario: Scenario, seed: int) -> HandOverObserver:
    """Play a scenario, and return what was seen of its hand-overs."""
    with simulated() as loop:
        experiment = Experiment(loop, scenario, seed, Tunables())
        observer = HandOverObserver(experiment)

        async def run() -> None:
            playing = asyncio.create_task(experiment.run())
            await asyncio.sleep(0)
            watching = asyncio.create_task(observer.watch())
            await playing
            watching.cancel()

        loop.run_until_complete(run())
        return observer
