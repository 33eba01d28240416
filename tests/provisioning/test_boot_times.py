"""Machines that come up late, never, or at once: what is counted on, and what is given up."""

from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import cluster, machine_type
from weldhead.clock import SECOND_US as S
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.provisioning.boot_times import (
    LEAST,
    BootExpectation,
    BootExpectations,
    BootHistory,
    expected_of,
)

USUAL = BootExpectation(1.0, 2.0, 4.0)
BOOT_S = 30
RATIOS = st.lists(st.floats(0.01, 9.0), max_size=60)


@given(RATIOS, RATIOS)
def test_nobody_is_given_up_before_it_is_late_nor_late_before_it_is_expected(
    came: list[float], waiting: list[float]
) -> None:
    expected = expected_of(sorted(came), waiting, USUAL)
    assert USUAL.late <= expected.late <= expected.give_up
    assert expected.ready >= USUAL.ready
    if came and len(came) + len(waiting) >= LEAST:
        # Slow ones that came never make anybody look later than quick ones do.
        slower = expected_of(sorted(ratio * 2 for ratio in came), waiting, USUAL)
        assert slower.late >= expected.late
    assert expected_of([], waiting[: LEAST - 1], USUAL) == USUAL


def rental(into: Cluster, count: int, at_us: int, zone: str = "a") -> list[Machine]:
    made = []
    for _ in range(count):
        machine = Machine(f"vm-{len(into.machines):06}", machine_type(), zone, True, at_us)
        into.machines[machine.name] = made_one = machine
        made.append(made_one)
    return made


def come(boots: BootHistory, machines: list[Machine], at_us: int) -> None:
    for machine in machines:
        boots.record_boot(machine, at_us)
        machine.newest_message = (1, 1)


def look(boots: BootHistory, into: Cluster, at_us: int) -> BootExpectations:
    return boots.expectations(into.machines.values(), at_us, USUAL, 60 * S)


def test_where_all_are_late_none_is_lost_and_none_is_rented_twice() -> None:
    """A whole fleet that booted three times as long was rented a second time."""
    into, boots = cluster(), BootHistory()
    fleet = rental(into, 40, 0)
    at_us = 80 * S
    expected = look(boots, into, at_us)
    assert not any(expected.is_late(machine, at_us) for machine in fleet)
    # Once most have come, those that still do not are measured by them.
    come(boots, fleet[:30], 85 * S)
    at_us = 100 * S
    expected = look(boots, into, at_us)
    assert not any(expected.is_late(machine, at_us) for machine in fleet[30:])
    at_us = 126 * S
    expected = look(boots, into, at_us)
    assert all(expected.is_late(m, at_us) and expected.is_given_up(m, at_us) for m in fleet[30:])


def test_one_that_stays_behind_those_hired_with_it_is_given_up_before_long() -> None:
    """Those that never come were kept for four boots, and took room that others could have."""
    into, boots = cluster(), BootHistory()
    fleet = rental(into, 20, 0)
    come(boots, fleet[:15], 30 * S)
    early, late = 60 * S, 72 * S
    assert not any(look(boots, into, early).is_given_up(m, early) for m in fleet[15:])
    assert all(look(boots, into, late).is_given_up(m, late) for m in fleet[15:])
    # One hired alone is not: nobody came up beside it.
    lone = rental(into, 1, 300 * S)
    at_us = 300 * S + late
    assert not look(boots, into, at_us).is_given_up(lone[0], at_us)


def test_another_zone_and_earlier_hires_tell_nothing() -> None:
    into, boots = cluster(), BootHistory()
    come(boots, rental(into, 20, 0, "b"), 30 * S)
    come(boots, rental(into, 20, 0), 30 * S)
    fleet = rental(into, 20, 60 * S)
    at_us = 60 * S + 72 * S
    expected = look(boots, into, at_us)
    assert not any(expected.is_late(machine, at_us) for machine in fleet)


def test_they_come_at_once_and_are_not_counted_on_sooner_than_they_did() -> None:
    into, boots = cluster(), BootHistory()
    fleet = rental(into, 20, 0)
    come(boots, fleet[:19], 2 * S)
    expected = look(boots, into, 3 * S)
    assert expected.ready_us(fleet[19], 3 * S) == BOOT_S * S
    assert not expected.is_late(fleet[19], 3 * S)
