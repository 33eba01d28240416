"""Distinguishes machines that are lost from machines behind a network fault. No I/O."""

from collections.abc import Collection

from weldhead.cluster_state.machines import Machine


def are_likely_lost(silent: Collection[Machine], live: Collection[Machine]) -> bool:
    """Whether the silent machines among the live ones are probably lost, not just disconnected.

    A few silent machines are probably lost, because a network fault silences a whole zone or all
    machines. Many are probably lost if all of them are spot machines while on-demand machines in
    the same zones still send heartbeats: a network fault does not select by price, but the cloud
    reclaims spot machines in waves. A machine that is returned only for its silence loses its work
    if the network was the cause, so in doubt the leases are left to expire.
    """
    if len(silent) <= 1 or 3 * len(silent) <= len(live):
        return True
    if not all(machine.spot for machine in silent):
        return False
    silent_names = {machine.name for machine in silent}
    zones_with_heartbeats = {
        machine.zone for machine in live if not machine.spot and machine.name not in silent_names
    }
    return {machine.zone for machine in silent} <= zones_with_heartbeats
