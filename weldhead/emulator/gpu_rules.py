"""Rules on cards: whose are taken for whom, and whether they come back.

A stopped task was stopped for another team if a task with cards of that team starts on its
machine soon after and would not have fit beside it. ``below_guarantee``: the stopped team
held no more than its guarantee then; what it held is the most within a lease, for the
controllers must count what may still run. ``not_given_back``: 120 s after the job that took
them was cancelled (or the last trouble was over), a stopped task has not run again, though
there was room for it on one machine for 10 s.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from weldhead.clock import SECOND_US
from weldhead.emulator.checker import Checker
from weldhead.protocol.wire import JobSpec, MachineType, split_task_name

#: So soon after a stop whoever it was for starts.
FOLLOWS_US = 30 * SECOND_US
BACK_US = 120 * SECOND_US
ROOM_LOOKS = 10


@dataclass
class GpuHolding:
    """A machine that is up, and what is on it: the jobs' descriptions by task."""

    name: str
    type: MachineType
    tasks: dict[str, JobSpec]

    def free(self, *, cards: bool) -> float:
        """Return what no task takes."""
        if cards:
            return self.type.gpus - sum(spec.gpus for spec in self.tasks.values())
        return self.type.cpus - sum(spec.cpus for spec in self.tasks.values())


@dataclass
class StoppedGpuTask:
    """A task with cards that was told to stop, and the job that it was stopped for."""

    spec: JobSpec
    at_us: int
    held: float
    taker: str = ""
    looks: int = 0


class GpuRules:
    """Follows the cards of a run; ``look`` is called every second."""

    def __init__(
        self, checker: Checker, lease_us: int, holdings: Callable[[], Iterable[GpuHolding]]
    ) -> None:
        self._checker, self._holdings = checker, holdings
        self._window = lease_us // SECOND_US + 8
        self._held: dict[str, deque[float]] = defaultdict(lambda: deque(maxlen=self._window))
        self._stopped: dict[tuple[str, str], StoppedGpuTask] = {}
        checker.on_started.append(self._started)
        checker.on_told_to_stop.append(self._told_to_stop)

    def _by_team(self) -> Counter[str]:
        held: Counter[str] = Counter()
        for machine in self._holdings():
            for spec in machine.tasks.values():
                held[spec.team] += spec.gpus  # type: ignore[assignment]
        return held

    def _told_to_stop(self, task: str, machine: str) -> None:
        told = self._checker.jobs[split_task_name(task)[0]]
        if told.spec.gpus and not told.cancel_asked and (task, machine) not in self._stopped:
            team = told.spec.team
            held = max(self._by_team()[team], *self._held[team], 0.0)
            self._stopped[task, machine] = StoppedGpuTask(told.spec, self._checker.now_us(), held)

    def _started(self, task: str, machine: str) -> None:
        spec, at_us = self._checker.jobs[split_task_name(task)[0]].spec, self._checker.now_us()
        for key, stopped in list(self._stopped.items()):
            if key[0] == task:
                del self._stopped[key]
            elif key[1] == machine and not stopped.taker and spec.gpus:
                here = next((each for each in self._holdings() if each.name == machine), None)
                fits = here is None or here.free(cards=True) >= stopped.spec.gpus
                if at_us - stopped.at_us < FOLLOWS_US and not fits:
                    self._taken(key[0], stopped, spec)

    def _taken(self, task: str, stopped: StoppedGpuTask, by: JobSpec) -> None:
        stopped.taker = by.id
        team = next(t for t in self._checker.teams if t.name == stopped.spec.team)
        if by.team == team.name:
            return
        self._checker.counts["cards taken"] += 1
        if stopped.held <= team.gpus + 1e-6:
            text = f"{task} of {team.name}, which held {stopped.held:g}, gave way to {by.id}"
            self._checker.breaks("below_guarantee", text)

    def look(self) -> None:
        """See what is held, and what has not come back."""
        held, at_us, calm_us = self._by_team(), self._checker.now_us(), self._checker.calm_us
        for team in self._checker.teams:
            self._held[team.name].append(held[team.name])
        for (task, machine), stopped in list(self._stopped.items()):
            told = self._checker.jobs[stopped.spec.id]
            taker = self._checker.jobs.get(stopped.taker)
            if (
                told.final
                or told.cancel_asked
                or (taker is None and at_us > stopped.at_us + BACK_US)
            ):
                del self._stopped[task, machine]
            elif calm_us is not None and taker is not None and taker.cancelled_us:
                if at_us - max(taker.cancelled_us, calm_us) > BACK_US - ROOM_LOOKS * SECOND_US:
                    stopped.looks = stopped.looks + 1 if self._room(stopped.spec) else 0
                if stopped.looks > ROOM_LOOKS:
                    self._checker.breaks("not_given_back", f"{task}, taken for {stopped.taker}")
                    del self._stopped[task, machine]

    def _room(self, spec: JobSpec) -> bool:
        return any(
            each.free(cards=True) >= spec.gpus and each.free(cards=False) >= spec.cpus
            for each in self._holdings()
        )
