"""Which machines may take new work."""

from weldhead.cluster_state.machines import Machine


def usable(machine: Machine, at_us: int, silence_us: int) -> bool:
    """Whether new work may be placed on a machine."""
    return (
        machine.reconciled
        and not machine.draining
        and not machine.deleting
        and not machine.not_receiving
        and not machine.orphans
        and not machine.interruption_us
        and at_us - max(machine.last_heartbeat_us, machine.first_probe_us) < silence_us
    )
