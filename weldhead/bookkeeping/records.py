"""Records in the state service.

========  =========================================================================
key       value
========  =========================================================================
leader    LeaderRecord, attached to the leader's lease; its revision is the token
j/ID      JobRecord: a job that is not over, or whose tasks may still be somewhere
p/ID/N    the completed tasks of a job, N-th chunk of a bitmap
f/ID      FinalRecord: how a job ended, kept for good
h/NAME    HireRecord: a rental that may have been asked for, and its machines
========  =========================================================================

Only the leader writes anything but ``leader`` and new ``j/`` keys, and each of its
transactions is conditional on the version of ``leader``.
"""

import base64
from typing import Literal

import msgspec

from weldhead.protocol.wire import JobSpec

LEADER_KEY = "leader"
JOBS = "j/"
PROGRESS = "p/"
FINAL = "f/"
HIRES = "h/"

#: Tasks in one chunk of progress: 1 KiB of bits, well inside any value limit.
CHUNK_TASKS = 8192

#: Room for a rental's own fields, and for each machine's name and address, generously.
HIRE_HEAD_BYTES = 400
HIRE_MACHINE_BYTES = 96


class LeaderRecord(msgspec.Struct):
    """Who leads; the nonce tells a leader its own record after an unanswered write.

    ``ttl_us`` bounds how long its holder may believe in it after it is gone.
    """

    name: str
    nonce: str
    ttl_us: int


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A job that is not over."""

    spec: JobSpec
    submitted_us: int
    cancelled: bool = False


class FinalRecord(msgspec.Struct):
    """How a job ended."""

    status: Literal["done", "withdrawn"]
    done: int


class HireRecord(msgspec.Struct, omit_defaults=True):
    """A rental: asked for under the name in its key, and the machines that came of it.

    One record holds many machines, so that hundreds of them can be entered and marked
    within the store's rate of changes. A machine maps to the address at which it reported,
    or to null: until the address is entered, nothing was ever started on it.
    """

    type: str
    zone: str
    spot: bool
    count: int
    hired_us: int
    #: What came of the request is known.
    settled: bool = False
    machines: dict[str, str | None] = {}


def hire_size(value_kb: float) -> int:
    """How many machines a rental's record can hold."""
    return max(1, int((value_kb * 1024 - HIRE_HEAD_BYTES) / HIRE_MACHINE_BYTES))


def job_key(job_id: str) -> str:
    """Return the key of a job that is not over."""
    return JOBS + job_id


def final_key(job_id: str) -> str:
    """Return the key of a job that is over."""
    return FINAL + job_id


def progress_key(job_id: str, chunk: int) -> str:
    """Return the key of a chunk of progress."""
    return f"{PROGRESS}{job_id}/{chunk}"


def encode_progress(done: bytes | bytearray) -> str:
    """Encode one chunk; ``done`` has one byte a task, non-zero when completed."""
    bits = int("".join("1" if flag else "0" for flag in reversed(done)) or "0", 2)
    return base64.b64encode(bits.to_bytes(-(-len(done) // 8) or 1, "little")).decode()


def decode_progress(text: str, tasks: int) -> list[int]:
    """Return the indexes completed in a chunk of that many tasks."""
    bits = int.from_bytes(base64.b64decode(text, validate=True), "little")
    return [index for index in range(tasks) if bits >> index & 1]
