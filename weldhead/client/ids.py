"""Random job ids, chosen by the client.

The protocol's form of a job id has room for 24 digits. The ids are drawn uniformly from the
system's source of randomness. Among n ids, from any number of clients, two are equal with a
probability of about n² / (2 · 10^24): 5 · 10^-7 for 10^9 jobs.
"""

import secrets

ID_DIGITS = 24


def new_id() -> str:
    """Return a random job id, unique but for the probability given above."""
    return f"run-{secrets.randbelow(10**ID_DIGITS):0{ID_DIGITS}}"
