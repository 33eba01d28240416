"""Expected boot times of machines, derived from the machines rented at about the same time. No I/O.

A boot takes 0.6 to 1.5 times the boot time that the machine's type states; some boots take
several times as long, and a few never finish. By that alone a machine is late after twice the
stated time. But sometimes all machines are late, or many never come up. A scheduler that treats
late machines as lost then rents the whole fleet a second time; one that waits for machines that
never come up occupies capacity that the cloud could give to others. So a machine is compared
with the machines rented in its zone at about the same time or later. If most of these are still
booting too, all are late and none is treated as lost. If many have come up, a machine that takes
clearly longer than they did is not expected to come up.

Times are microseconds of the monotonic clock. Boot times and ages of booting machines are ratios
to the boot time that the machine's type states.
"""

from bisect import insort
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.machines import Machine

#: Machines rented within this time of each other count as rented together.
COHORT_SPAN_US = 10 * SECOND_US
#: A boot is forgotten once its machine's rental is older than this.
BOOT_HISTORY_US = 300 * SECOND_US
#: The minimum number of machines, up or overdue, for an estimate from the cohort. With fewer, the
#: boot time that the type states is the better estimate.
MIN_COHORT_SIZE = 6
#: The longest usual boot.
MAX_USUAL_RATIO = 1.5
#: A machine is late if it takes this many times as long as nearly all that came up.
LATE_MARGIN = 1.2
#: Where other machines came up, a late machine is returned after this many times the time after
#: which it is late.
GIVE_UP_MARGIN = 1.1
#: Extra time before a limit counts as exceeded, for delays of timers and heartbeats.
REPORT_SLACK_US = 5 * SECOND_US


@dataclass(frozen=True)
class BootExpectation:
    """Expected boot of a machine, as ratios to the boot time that its type states."""

    #: The machine is expected to be ready after this time.
    ready: float
    #: After this time the machine is late: its capacity no longer counts as expected, and a
    #: replacement may be rented.
    late: float
    #: The machine is returned after this time.
    give_up: float


@dataclass(frozen=True)
class _CompletedBoot:
    rented_us: int
    ratio: float


def estimate_boot(
    boot_ratios: list[float], waiting_ratios: list[float], usual: BootExpectation
) -> BootExpectation:
    """Estimate the boots of machines rented together from those rented with them or later.

    ``boot_ratios`` are the sorted boot times of the machines that came up, ``waiting_ratios`` the
    ages of the machines that are still booting.
    """
    overdue = sum(ratio > MAX_USUAL_RATIO for ratio in waiting_ratios)
    if len(boot_ratios) + overdue < MIN_COHORT_SIZE:
        return usual
    if overdue > 2 * len(boot_ratios):
        # The cause that delays these machines would delay their replacements too: none is given
        # up before it has waited twice as long as usual.
        oldest = max(waiting_ratios)
        return BootExpectation(max(usual.ready, oldest), 2 * usual.late, 2 * usual.give_up)
    # A replacement would be ready sooner than a machine that takes clearly longer than nearly all
    # others. The result never exceeds the usual limits: when the limits grew with slow boots,
    # machines that never came up were kept for so long that the result of a day with both slow and
    # failed boots got worse (from 0.55 to 0.50).
    slow_boot = boot_ratios[min(len(boot_ratios) - 1, len(boot_ratios) * 19 // 20)]
    late = min(usual.give_up, max(usual.late, LATE_MARGIN * slow_boot))
    give_up = min(usual.give_up, GIVE_UP_MARGIN * late)
    return BootExpectation(max(usual.ready, boot_ratios[len(boot_ratios) // 2]), late, give_up)


class BootExpectations:
    """The expected boot of each machine that was booting at one point in time."""

    def __init__(
        self,
        usual: BootExpectation,
        minimum_charge_us: int,
        by_machine: dict[str, BootExpectation] | None = None,
    ) -> None:
        self._usual = usual
        self._minimum_charge_us = minimum_charge_us
        self._by_machine = by_machine or {}

    def expectation_of(self, machine: Machine) -> BootExpectation:
        """Return the expected boot of a machine; the usual one if nothing else is known."""
        return self._by_machine.get(machine.name, self._usual)

    def ready_us(self, machine: Machine, at_us: int) -> int:
        """Return when a booting machine is expected to be ready, but no time in the past."""
        boot_us = seconds_us(machine.type.boot_s)
        return max(at_us, machine.rented_us + round(boot_us * self.expectation_of(machine).ready))

    def is_late(self, machine: Machine, at_us: int) -> bool:
        """Return whether a booting machine is late, so that its capacity no longer counts."""
        return machine.is_booting and self._exceeds(
            machine, self.expectation_of(machine).late, at_us
        )

    def is_given_up(self, machine: Machine, at_us: int) -> bool:
        """Return whether a booting machine is to be returned.

        A machine is kept for the minimum time that is charged in any case.
        """
        return (
            machine.is_booting
            and self._exceeds(machine, self.expectation_of(machine).give_up, at_us)
            and at_us - machine.rented_us >= self._minimum_charge_us
        )

    @staticmethod
    def _exceeds(machine: Machine, ratio: float, at_us: int) -> bool:
        limit_us = seconds_us(machine.type.boot_s * ratio) + REPORT_SLACK_US
        return at_us - machine.rented_us > limit_us


class BootHistory:
    """The recently completed boots, by zone."""

    def __init__(self) -> None:
        self._boots: dict[str, deque[_CompletedBoot]] = defaultdict(deque)

    def record_boot(self, machine: Machine, at_us: int) -> None:
        """Record the boot of a machine that has just sent its first heartbeat to this leader."""
        if machine.type.boot_s > 0:
            ratio = (at_us - machine.rented_us) / seconds_us(machine.type.boot_s)
            self._boots[machine.zone].append(_CompletedBoot(machine.rented_us, ratio))

    def expectations(
        self,
        machines: Iterable[Machine],
        at_us: int,
        usual: BootExpectation,
        minimum_charge_us: int,
    ) -> BootExpectations:
        """Return the expected boots of those of the machines that are booting now."""
        booting_by_zone: dict[str, list[Machine]] = defaultdict(list)
        for machine in machines:
            if machine.is_booting and not machine.deleting and machine.type.boot_s > 0:
                booting_by_zone[machine.zone].append(machine)
        by_machine: dict[str, BootExpectation] = {}
        for zone, booting in booting_by_zone.items():
            self._remove_expired(zone, at_us)
            by_machine.update(_estimate_zone(booting, self._boots[zone], at_us, usual))
        return BootExpectations(usual, minimum_charge_us, by_machine)

    def _remove_expired(self, zone: str, at_us: int) -> None:
        boots = self._boots[zone]
        while boots and at_us - boots[0].rented_us > BOOT_HISTORY_US:
            boots.popleft()


def _estimate_zone(
    booting: list[Machine], completed: Iterable[_CompletedBoot], at_us: int, usual: BootExpectation
) -> dict[str, BootExpectation]:
    """Return the expected boots of a zone's booting machines, by machine name."""
    # The latest rentals come first, so each cohort extends the lists of the one before it.
    boots = sorted(completed, key=lambda boot: -boot.rented_us)
    booting = sorted(booting, key=lambda machine: -machine.rented_us)
    by_machine: dict[str, BootExpectation] = {}
    boot_ratios: list[float] = []
    waiting_ratios: list[float] = []
    next_boot = next_waiting = 0
    for index, machine in enumerate(booting):
        if index < next_waiting:
            continue
        # Add all machines that were rented within the cohort's span before this one.
        from_us = machine.rented_us - COHORT_SPAN_US
        while next_boot < len(boots) and boots[next_boot].rented_us >= from_us:
            insort(boot_ratios, boots[next_boot].ratio)
            next_boot += 1
        cohort = []
        while next_waiting < len(booting) and booting[next_waiting].rented_us >= from_us:
            member = booting[next_waiting]
            waiting_ratios.append((at_us - member.rented_us) / seconds_us(member.type.boot_s))
            cohort.append(member)
            next_waiting += 1
        expectation = estimate_boot(boot_ratios, waiting_ratios, usual)
        by_machine.update((member.name, expectation) for member in cohort)
    return by_machine
