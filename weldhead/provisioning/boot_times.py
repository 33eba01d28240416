"""What is expected of machines that boot, by how those hired beside them came up. No I/O.

A machine's boot takes 0.6 to 1.5 times what its type states, some take several times as long,
and a few never come up. By that alone a machine is late after twice the stated time. But at
times all are late, or many never come. Whoever counts late machines as lost then rents the
whole fleet a second time; whoever waits for those that never come leaves room that the cloud
would give to others. So a machine is compared with those hired in its zone at about the same
time or later: if most of them wait as well, all are late and none is lost; if many have come,
one that takes clearly longer than they did is not coming.

Times are microseconds of the steady clock; boots are counted in times of what the type states.
"""

from bisect import insort
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.machines import Machine

#: Machines hired within such a span are taken to be hired together.
SPAN_US = 10 * SECOND_US
#: Boots are remembered for so long.
MEMORY_US = 300 * SECOND_US
#: From so many machines on, those beside one tell more of it than what its type states.
LEAST = 6
#: The longest usual boot.
LONGEST_USUAL = 1.5
#: How much longer than those that came is clearly longer.
CLEARLY = 1.2
#: Where others came, a machine that is not counted on any more is returned a little later.
BESIDE_OTHERS = 1.1
#: Timers and reports: how much longer than a limit a machine may take.
SLACK_US = 5 * SECOND_US


@dataclass(frozen=True)
class BootExpectation:
    """What is expected of a machine, in times of its type's stated boot."""

    #: It is counted on from then on.
    ready: float
    #: It is not counted on any more, and what replaces it may be rented.
    late: float
    #: It is returned.
    give_up: float


@dataclass(frozen=True)
class _Boot:
    hired_us: int
    ratio: float


def expected_of(came: list[float], waiting: list[float], usual: BootExpectation) -> BootExpectation:
    """Judge machines hired together by those hired with them or later.

    ``came`` are the boots of those that came up, in order; ``waiting`` the ages of the others.
    """
    overdue = sum(ratio > LONGEST_USUAL for ratio in waiting)
    if len(came) + overdue < LEAST:
        return usual
    if overdue > 2 * len(came):
        # Whatever holds them up holds up what would replace them: none is given up on
        # before it has waited twice as long as usual.
        slowest = max(waiting)
        return BootExpectation(max(usual.ready, slowest), 2 * usual.late, 2 * usual.give_up)
    # A new one would come sooner than one that takes clearly longer than nearly all others.
    # Waited for in proportion to slow boots, those that never come kept their places for so
    # long that a day of both got worse (0.55 -> 0.50): never longer than usual.
    most = came[min(len(came) - 1, len(came) * 19 // 20)]
    late = min(usual.give_up, max(usual.late, CLEARLY * most))
    give_up = min(usual.give_up, BESIDE_OTHERS * late)
    return BootExpectation(max(usual.ready, came[len(came) // 2]), late, give_up)


class BootExpectations:
    """What is expected of each machine that boots, as of one look."""

    def __init__(
        self,
        usual: BootExpectation,
        minimum_charge_us: int,
        found: dict[str, BootExpectation] | None = None,
    ) -> None:
        self._usual = usual
        self._minimum_charge_us = minimum_charge_us
        self._found = found or {}

    def of(self, machine: Machine) -> BootExpectation:
        """Return what is expected of a machine."""
        return self._found.get(machine.name, self._usual)

    def ready_us(self, machine: Machine, at_us: int) -> int:
        """Return when a machine that boots is expected to be up: not in the past."""
        boot_us = seconds_us(machine.type.boot_s)
        return max(at_us, machine.rented_us + round(boot_us * self.of(machine).ready))

    def is_late(self, machine: Machine, at_us: int) -> bool:
        """Whether a machine is not to be counted on any more."""
        return machine.is_booting and self._over(machine, self.of(machine).late, at_us)

    def is_given_up(self, machine: Machine, at_us: int) -> bool:
        """Whether a machine is to be returned; what it costs anyhow it may stay for."""
        return (
            machine.is_booting
            and self._over(machine, self.of(machine).give_up, at_us)
            and at_us - machine.rented_us >= self._minimum_charge_us
        )

    @staticmethod
    def _over(machine: Machine, ratio: float, at_us: int) -> bool:
        limit_us = seconds_us(machine.type.boot_s * ratio) + SLACK_US
        return at_us - machine.rented_us > limit_us


class BootHistory:
    """The boots of late, by zone."""

    def __init__(self) -> None:
        self._boots: dict[str, deque[_Boot]] = defaultdict(deque)

    def record_boot(self, machine: Machine, at_us: int) -> None:
        """A machine that this leader saw boot has reported for the first time."""
        if machine.type.boot_s > 0:
            ratio = (at_us - machine.rented_us) / seconds_us(machine.type.boot_s)
            self._boots[machine.zone].append(_Boot(machine.rented_us, ratio))

    def expectations(
        self,
        machines: Iterable[Machine],
        at_us: int,
        usual: BootExpectation,
        minimum_charge_us: int,
    ) -> BootExpectations:
        """Return what is expected of the machines that boot now."""
        waiting: dict[str, list[Machine]] = defaultdict(list)
        for machine in machines:
            if machine.is_booting and not machine.deleting and machine.type.boot_s > 0:
                waiting[machine.zone].append(machine)
        found: dict[str, BootExpectation] = {}
        for zone, booting in waiting.items():
            self._forget(zone, at_us)
            found.update(_judge(booting, self._boots[zone], at_us, usual))
        return BootExpectations(usual, minimum_charge_us, found)

    def _forget(self, zone: str, at_us: int) -> None:
        came = self._boots[zone]
        while came and at_us - came[0].hired_us > MEMORY_US:
            came.popleft()


def _judge(
    booting: list[Machine], came: Iterable[_Boot], at_us: int, usual: BootExpectation
) -> dict[str, BootExpectation]:
    """Judge a zone's machines, the latest rentals first."""
    boots = sorted(came, key=lambda boot: -boot.hired_us)
    booting = sorted(booting, key=lambda machine: -machine.rented_us)
    found: dict[str, BootExpectation] = {}
    ratios: list[float] = []
    waiting: list[float] = []
    next_boot = next_waiting = 0
    for first, machine in enumerate(booting):
        if first < next_waiting:
            continue
        # All hired within a span of this one, or later.
        from_us = machine.rented_us - SPAN_US
        while next_boot < len(boots) and boots[next_boot].hired_us >= from_us:
            insort(ratios, boots[next_boot].ratio)
            next_boot += 1
        together = []
        while next_waiting < len(booting) and booting[next_waiting].rented_us >= from_us:
            other = booting[next_waiting]
            waiting.append((at_us - other.rented_us) / seconds_us(other.type.boot_s))
            together.append(other)
            next_waiting += 1
        expected = expected_of(ratios, waiting, usual)
        found.update((other.name, expected) for other in together)
    return found
