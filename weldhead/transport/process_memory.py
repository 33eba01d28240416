"""What this process holds in memory, by the kernel's account."""

import os

STATM = "/proc/self/statm"


def own_bytes() -> int | None:
    """Return what of the resident memory is the process's own; None if that cannot be told.

    Pages of files are left out: the kernel drops them when memory is short. A controller writes
    nothing to /tmp, which would count as well.
    """
    try:
        with open(STATM, "rb") as file:
            _, resident, shared, *_ = file.read().split()
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError):
        return None
