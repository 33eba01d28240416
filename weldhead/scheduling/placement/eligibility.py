"""The rule for which machines may receive new tasks."""

from weldhead.cluster_state.machines import Machine


def is_schedulable(machine: Machine, at_us: int, silence_us: int) -> bool:
    """Whether new tasks may be placed on a machine.

    A machine counts as silent ``silence_us`` after its last heartbeat or its first probe,
    whichever is later.
    """
    return (
        machine.reconciled
        and machine.accepts_new_tasks
        and not machine.orphans
        and at_us - max(machine.last_heartbeat_us, machine.first_probe_us) < silence_us
    )
