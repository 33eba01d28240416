"""Jobs that are left waiting though there is room for them, once all troubles are over."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from weldhead.clock import SECOND_US
from weldhead.emulator.checker import Checker, ObservedAnswer
from weldhead.emulator.gpu_rules import GpuHolding
from weldhead.protocol.wire import JobSpec

#: How long no job may wait, and for how long there has to be room on one machine without a break:
#: between two tasks each machine has some for a moment.
WAIT_US = 90 * SECOND_US
ROOM_LOOKS = 10
#: How often :meth:`WaitingRules.look` is called, in seconds.
LOOK_S = 1.0


@dataclass(frozen=True)
class Amounts:
    """CPUs, cards and GB of memory."""

    cpus: float = 0.0
    cards: float = 0.0
    memory_gb: float = 0.0

    def __add__(self, other: "Amounts") -> "Amounts":
        return Amounts(
            self.cpus + other.cpus, self.cards + other.cards, self.memory_gb + other.memory_gb
        )

    def within(self, most: "Amounts") -> bool:
        """Whether no amount is above this."""
        return (
            self.cpus <= most.cpus + 1e-6
            and self.cards <= most.cards + 1e-6
            and self.memory_gb <= most.memory_gb + 1e-6
        )


def need(spec: JobSpec) -> Amounts:
    """Return what one task takes."""
    return Amounts(spec.cpus, spec.gpus, spec.memory_gb)


class Recent:
    """What was used at the last looks; full once there were enough of them."""

    def __init__(self) -> None:
        self._used: deque[Amounts] = deque(maxlen=ROOM_LOOKS)

    def add(self, used: Amounts) -> None:
        """Enter what is used now."""
        self._used.append(used)

    def room_for(self, asked: Amounts, limit: Amounts) -> bool:
        """Whether there was room at each of the looks."""
        enough = len(self._used) == ROOM_LOOKS
        return enough and all((used + asked).within(limit) for used in self._used)


@dataclass(frozen=True)
class Healthy:
    """A machine that runs, as it is: what it has, where, and whether it is a spot machine."""

    holding: GpuHolding
    zone: str
    spot: bool

    def allowed(self, spec: JobSpec) -> bool:
        """Whether a job may run there, as far as machines matter."""
        return (
            self.holding.type.fits(spec)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.spot or not self.spot)
        )


@dataclass
class WaitingRules:
    """Judges jobs of which no task runs: ``left_waiting``, once for each."""

    checker: Checker
    healthy: Callable[[], Iterable[Healthy]]
    _machines: dict[str, Recent] = field(default_factory=dict)
    _teams: dict[str, Recent] = field(default_factory=dict)
    #: Since when a job has been waiting beside room for it.
    _since: dict[str, int] = field(default_factory=dict)
    _judged: set[str] = field(default_factory=set)

    def look(self) -> None:
        """See who waits; every :data:`LOOK_S`."""
        if self.checker.calm_us is None:
            return
        machines = list(self.healthy())
        busy = self._count(machines)
        waiting = [told for told in self.checker.jobs.values() if self._waits(told, busy)]
        now_us, since = self.checker.now_us(), dict[str, int]()
        for told in waiting:
            job_id = told.spec.id
            if self._room_for(told.spec, machines):
                since[job_id] = self._since.get(job_id, now_us)
                if now_us - since[job_id] > WAIT_US:
                    self._judged.add(job_id)
                    self.checker.breaks("left_waiting", f"{job_id} waits beside room for it")
        self._since = since

    def _waits(self, told: ObservedAnswer, busy: set[str]) -> bool:
        spec = told.spec
        over = told.final or told.cancel_asked or spec.id in self._judged or spec.id in busy
        return told.accepted and not over and not spec.needs and self._unfinished(spec)

    def _unfinished(self, spec: JobSpec) -> bool:
        return len(self.checker.done[spec.id]) < spec.tasks

    def _count(self, machines: list[Healthy]) -> set[str]:
        """Enter what is used on each machine and by each team; return the jobs that run."""
        busy = set[str]()
        used_by = {team.name: Amounts() for team in self.checker.teams}
        recent: dict[str, Recent] = {}
        for machine in machines:
            used = Amounts()
            for task, spec in machine.holding.tasks.items():
                busy.add(task.rpartition("/")[0])
                used += need(spec)
                used_by[spec.team] += need(spec)
            kept = self._machines.get(machine.holding.name) or Recent()
            kept.add(used)
            recent[machine.holding.name] = kept
        self._machines = recent
        for name, used in used_by.items():
            self._teams.setdefault(name, Recent()).add(used)
        return busy

    def _room_for(self, spec: JobSpec, machines: list[Healthy]) -> bool:
        team = next(team for team in self.checker.teams if team.name == spec.team)
        # A team's memory has no limit.
        limit, asked = Amounts(team.cpus_max, team.gpus_max, float("inf")), need(spec)
        if not self._teams[spec.team].room_for(asked, limit):
            return False
        return any(
            machine.allowed(spec)
            and self._machines[machine.holding.name].room_for(asked, _capacity(machine))
            for machine in machines
        )


def _capacity(machine: Healthy) -> Amounts:
    kind = machine.holding.type
    return Amounts(kind.cpus, kind.gpus, kind.memory_gb)
