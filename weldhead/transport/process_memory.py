"""Memory usage of this process as reported by the kernel."""

import os

STATM_PATH = "/proc/self/statm"


def private_resident_bytes() -> int | None:
    """Return the size of the resident memory without shared pages; None if it cannot be read.

    Pages of mapped files are excluded, because the kernel drops them when memory is short.
    Files in /tmp would count as memory too, but a controller writes none.
    """
    try:
        with open(STATM_PATH, "rb") as file:
            _, resident, shared, *_ = file.read().split()
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError):
        return None
