"""Decides which unreachable machines are returned to the cloud. No I/O.

Keeping an unreachable machine costs its price without any use, for an unknown time. Replacing it
costs the boot time of a machine of the same type and any minimum charge that is still to be paid.
A machine is therefore kept until its idle cost equals its replacement cost: however long the fault
lasts, at most twice the minimum is spent. Times are microseconds of the steady clock.
"""

from collections.abc import Collection, Mapping

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.machines import Machine
from weldhead.reachability.silence import are_likely_lost


def replacement_cost_us(machine: Machine) -> int:
    """Return the cost of a replacement as paid machine time: one boot and one image pull."""
    fetch_gb_per_s = machine.type.fetch_gb_per_s or 1.0
    largest_gb = max(machine.images.values(), default=0.0)
    return seconds_us(machine.type.boot_s) + round(largest_gb / fetch_gb_per_s * SECOND_US)


def machines_to_replace(
    unreachable_since_us: Mapping[str, int],
    live: Collection[Machine],
    silent: Collection[Machine],
    at_us: int,
    lease_us: int,
    minimum_charge_us: int,
) -> list[Machine]:
    """Return the unreachable machines that are now cheaper to replace than to keep.

    ``unreachable_since_us`` maps each unreachable machine's name to the time since when it counts
    as unreachable. The result is empty while many live machines are unreachable or silent at the
    same time: that points to a network fault, and replacements would not be reachable either.
    A machine with attempts on it is never returned.
    """
    unavailable = {machine.name: machine for machine in silent}
    unavailable.update(
        (machine.name, machine) for machine in live if machine.name in unreachable_since_us
    )
    if not are_likely_lost(unavailable.values(), live):
        return []
    return [
        machine
        for machine in live
        if machine.name in unreachable_since_us
        and not machine.attempts
        and not machine.command_in_flight
        and at_us - unreachable_since_us[machine.name]
        >= max(lease_us, replacement_cost_us(machine))
        and at_us - machine.rented_us >= minimum_charge_us
    ]
