"""Which machines that hear nothing are returned. No I/O.

Keeping one costs its price for nothing, for nobody knows how long; replacing it costs a boot of
the same type, and what is paid for it anyhow. So it is kept until it has cost for nothing what
a replacement costs: whatever the trouble's length, no more than twice the least is spent.
Times are microseconds of the steady clock.
"""

from collections.abc import Collection, Mapping

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.machines import Machine
from weldhead.reachability.silence import look_lost


def replacement_cost_us(machine: Machine) -> int:
    """Return what replacing a machine costs, in time of its price: a boot, a fetch."""
    rate = machine.type.fetch_gb_per_s or 1.0
    largest_gb = max(machine.images.values(), default=0.0)
    return seconds_us(machine.type.boot_s) + round(largest_gb / rate * SECOND_US)


def machines_to_replace(
    deaf: Mapping[str, int],
    live: Collection[Machine],
    silent: Collection[Machine],
    at_us: int,
    lease_us: int,
    minimum_charge_us: int,
) -> list[Machine]:
    """Return the machines to give back, of those that hear nothing since some moment.

    None while many of the live machines are deaf or silent at once: that is the network, and
    what replaced them would not be reached either. None on which anything is.
    """
    away = {machine.name: machine for machine in silent}
    away.update((machine.name, machine) for machine in live if machine.name in deaf)
    if not look_lost(away.values(), live):
        return []
    return [
        machine
        for machine in live
        if machine.name in deaf
        and not machine.attempts
        and not machine.command_in_flight
        and at_us - deaf[machine.name] >= max(lease_us, replacement_cost_us(machine))
        and at_us - machine.rented_us >= minimum_charge_us
    ]
