"""Job ids that the client chooses.

PROTOCOL's form leaves 24 digits. Drawn evenly from all of them by the system's source of
randomness, n ids of any number of clients hold a pair of equal ones with probability of
about n² / (2 · 10^24): for a thousand million jobs 5 · 10^-7.
"""

import secrets

DIGITS = 24


def new_id() -> str:
    """Return an id that no other client has."""
    return f"run-{secrets.randbelow(10**DIGITS):0{DIGITS}}"
