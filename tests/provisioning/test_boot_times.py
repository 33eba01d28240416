"""Expected boots of machines that come up late, never or early, and when they are given up."""

from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import cluster, machine_type
from weldhead.clock import SECOND_US as S
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.provisioning.boot_times import (
    MIN_COHORT_SIZE,
    BootExpectation,
    BootExpectations,
    BootHistory,
    estimate_boot,
)

USUAL = BootExpectation(1.0, 2.0, 4.0)
BOOT_S = 30
RATIOS = st.lists(st.floats(0.01, 9.0), max_size=60)


# The times of a boot keep their order: expected, then late, then given up.
@given(RATIOS, RATIOS)
def test_nobody_is_given_up_before_it_is_late_nor_late_before_it_is_expected(
    came: list[float], waiting: list[float]
) -> None:
    expected = estimate_boot(sorted(came), waiting, USUAL)
    assert USUAL.late <= expected.late <= expected.give_up
    assert expected.ready >= USUAL.ready
    if came and len(came) + len(waiting) >= MIN_COHORT_SIZE:
        # Slower completed boots never make the limit for the waiting machines shorter.
        slower = estimate_boot(sorted(ratio * 2 for ratio in came), waiting, USUAL)
        assert slower.late >= expected.late
    assert estimate_boot([], waiting[: MIN_COHORT_SIZE - 1], USUAL) == USUAL


def rent(into: Cluster, count: int, at_us: int, zone: str = "a") -> list[Machine]:
    """Add machines that begin to boot at the given time."""
    rented = []
    for _ in range(count):
        machine = Machine(f"vm-{len(into.machines):06}", machine_type(), zone, True, at_us)
        into.machines[machine.name] = added = machine
        rented.append(added)
    return rented


def finish_boots(boots: BootHistory, machines: list[Machine], at_us: int) -> None:
    """Record the first heartbeat of machines."""
    for machine in machines:
        boots.record_boot(machine, at_us)
        machine.newest_message = (1, 1)


def expectations(boots: BootHistory, into: Cluster, at_us: int) -> BootExpectations:
    return boots.expectations(into.machines.values(), at_us, USUAL, 60 * S)


def test_no_machine_is_late_while_whole_fleet_boots_slowly() -> None:
    """A whole fleet whose boots took three times as long as stated was rented a second time."""
    into, boots = cluster(), BootHistory()
    fleet = rent(into, 40, 0)
    at_us = 80 * S
    expected = expectations(boots, into, at_us)
    assert not any(expected.is_late(machine, at_us) for machine in fleet)
    # Once most machines have come up, the others are compared with them.
    finish_boots(boots, fleet[:30], 85 * S)
    at_us = 100 * S
    expected = expectations(boots, into, at_us)
    assert not any(expected.is_late(machine, at_us) for machine in fleet[30:])
    at_us = 126 * S
    expected = expectations(boots, into, at_us)
    assert all(expected.is_late(m, at_us) and expected.is_given_up(m, at_us) for m in fleet[30:])


def test_machine_slower_than_its_cohort_is_given_up_early() -> None:
    """Machines that never came up were kept for four boot times, and occupied capacity."""
    into, boots = cluster(), BootHistory()
    fleet = rent(into, 20, 0)
    finish_boots(boots, fleet[:15], 30 * S)
    early, late = 60 * S, 72 * S
    assert not any(expectations(boots, into, early).is_given_up(m, early) for m in fleet[15:])
    assert all(expectations(boots, into, late).is_given_up(m, late) for m in fleet[15:])
    # A machine rented alone has no cohort to be compared with, and is kept.
    lone = rent(into, 1, 300 * S)
    at_us = 300 * S + late
    assert not expectations(boots, into, at_us).is_given_up(lone[0], at_us)


def test_other_zones_and_earlier_rentals_are_not_compared() -> None:
    into, boots = cluster(), BootHistory()
    finish_boots(boots, rent(into, 20, 0, "b"), 30 * S)
    finish_boots(boots, rent(into, 20, 0), 30 * S)
    fleet = rent(into, 20, 60 * S)
    at_us = 60 * S + 72 * S
    expected = expectations(boots, into, at_us)
    assert not any(expected.is_late(machine, at_us) for machine in fleet)


def test_fast_boots_do_not_shorten_the_expected_boot() -> None:
    into, boots = cluster(), BootHistory()
    fleet = rent(into, 20, 0)
    finish_boots(boots, fleet[:19], 2 * S)
    expected = expectations(boots, into, 3 * S)
    assert expected.ready_us(fleet[19], 3 * S) == BOOT_S * S
    assert not expected.is_late(fleet[19], 3 * S)
