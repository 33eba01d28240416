"""Silent machines: are they gone, or is it the network? No I/O."""

from collections.abc import Collection

from weldhead.cluster_state.machines import Machine


def look_lost(silent: Collection[Machine], live: Collection[Machine]) -> bool:
    """Whether the silent ones among the live machines look gone rather than cut off.

    A few are: a cut silences a zone, or everything. Many are if all of them are spot
    machines and ordinary ones of the same zones are heard: a cut does not choose by price,
    but the cloud takes spot machines in waves. What is returned for its silence alone
    loses its work if the network was to blame, so doubt means waiting for the leases.
    """
    if len(silent) <= 1 or 3 * len(silent) <= len(live):
        return True
    if not all(machine.spot for machine in silent):
        return False
    names = {machine.name for machine in silent}
    heard = {machine.zone for machine in live if not machine.spot and machine.name not in names}
    return {machine.zone for machine in silent} <= heard
