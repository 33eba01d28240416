"""Records in the state service.

=========  =========================================================================
key        value
=========  =========================================================================
leader     LeaderRecord, attached to the leader's lease; its revision is the token
unsettled  UnsettledRecord, while tasks may be left that the leader would not know to kill
j/ID       JobRecord: a job that is not over, or whose tasks may still be somewhere
p/ID/N     the completed tasks of a job, N-th chunk of a bitmap
f/ID       FinalRecord: how a job ended, kept for good
h/NAME     RentalRecord: a rental that may have been asked for, and its machines
t/N        tasks that were stopped for others while they held cards (``taken.py``)
d/...      documents, see ``documents/records.py``
=========  =========================================================================

Only the leader writes anything but ``leader`` and new ``j/`` keys, and each of its
transactions is conditional on the version of ``leader``.
"""

import base64
from typing import Literal

import msgspec

from weldhead.protocol.wire import Condition, JobSpec

LEADER_KEY = "leader"
UNSETTLED_KEY = "unsettled"
JOBS = "j/"
PROGRESS = "p/"
FINAL = "f/"
RENTALS = "h/"

#: Tasks in one chunk of progress: 1 KiB of bits, well inside any value limit.
CHUNK_TASKS = 8192

#: Bytes of a machine's address, "255.255.255.255:65535", with what stands around it.
ADDRESS_BYTES = 25


class LeaderRecord(msgspec.Struct):
    """Who leads; the nonce tells a leader its own record after an unanswered write.

    ``ttl_us`` bounds how long its holder may believe in it after it is gone. ``earlier_us``
    bounds for how long after this record was written the holders before may have gone on.
    """

    name: str
    nonce: str
    ttl_us: int
    earlier_us: int = 0


class UnsettledRecord(msgspec.Struct):
    """Written with each leader's record, deleted once that term has seen to what it found.

    ``from_us``: the earliest cancellation (time of day) of which tasks may still be somewhere
    without the next leader's knowing, however many terms have ended since before they could.
    """

    from_us: int


class CalendarDeadline(msgspec.Struct, omit_defaults=True, frozen=True):
    """The instant that a calendar binds a job to (time of day, UTC)."""

    calendar: str
    edition: int
    due_us: int


class GateHold(msgspec.Struct, omit_defaults=True, frozen=True):
    """The gate that holds a job, and the edition of what it waits for."""

    gate: str
    edition: int


class GateAction(msgspec.Struct, omit_defaults=True, frozen=True):
    """What a job does to a gate: the act, and the edition that it is of if it names none.

    ``round``: how many approvals had been withdrawn when the job was accepted.
    """

    gate: str
    act: str
    edition: int = 0
    round: int = 0


#: Stands among what a job needs that a gate holds or that works on one, before the gate's
#: name. No job has such an id: whoever knows chains and no gates waits for it for ever.
GATE_NEED = "gate/"


class AdmissionBinding(msgspec.Struct, frozen=True):
    """What documents say of a job at its acceptance, and on which marks that rests."""

    deadline: CalendarDeadline | None = None
    gate_hold: GateHold | None = None
    gate_action: GateAction | None = None
    conditions: tuple[Condition, ...] = ()

    def merged(self, other: "AdmissionBinding") -> "AdmissionBinding":
        """Return both; of two instants the earlier binds."""
        bounds = [bound for bound in (self.deadline, other.deadline) if bound is not None]
        return AdmissionBinding(
            min(bounds, key=lambda bound: bound.due_us, default=None),
            self.gate_hold or other.gate_hold,
            self.gate_action or other.gate_action,
            # Several may rest on the same marks; a condition is stated once.
            (*self.conditions, *(c for c in other.conditions if c not in self.conditions)),
        )


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"deadline": "bound", "gate_hold": "hold", "gate_action": "deed"},
):
    """A job that is not over.

    The last three fields came with documents (see ``protocol/versions.py``).
    """

    spec: JobSpec
    submitted_us: int
    cancelled: bool = False
    deadline: CalendarDeadline | None = None
    gate_hold: GateHold | None = None
    gate_action: GateAction | None = None


def admitted_record(spec: JobSpec, submitted_us: int, binding: AdmissionBinding) -> JobRecord:
    """Return a new job's record; what concerns a gate has a need that only older versions see."""
    gate = binding.gate_hold or binding.gate_action
    if gate is not None:
        spec = msgspec.structs.replace(spec, needs=(*(spec.needs or ()), GATE_NEED + gate.gate))
    return JobRecord(
        spec,
        submitted_us,
        deadline=binding.deadline,
        gate_hold=binding.gate_hold,
        gate_action=binding.gate_action,
    )


def without_gate(spec: JobSpec) -> JobSpec:
    """Return a job as its user submitted it."""
    if not spec.needs or not any(name.startswith(GATE_NEED) for name in spec.needs):
        return spec
    needs = tuple(name for name in spec.needs if not name.startswith(GATE_NEED))
    return msgspec.structs.replace(spec, needs=needs or None)


class FinalRecord(msgspec.Struct, omit_defaults=True):
    """How a job ended.

    The last two fields came with job chains (see ``protocol/versions.py``).
    """

    status: Literal["done", "withdrawn"]
    done: int
    #: Time of day of its end; 0: an earlier version did not say, so it was long ago.
    ended_us: int = 0
    service: bool = False


class RentalRecord(msgspec.Struct, omit_defaults=True, rename={"rented_us": "hired_us"}):
    """A rental: asked for under the name in its key, and the machines that came of it.

    One record holds many machines, so that hundreds of them can be entered and marked
    within the store's rate of changes. A machine maps to the address at which it reported,
    or to null: until the address is entered, nothing was ever started on it.
    """

    type: str
    zone: str
    spot: bool
    count: int
    rented_us: int
    #: What came of the request is known.
    settled: bool = False
    machines: dict[str, str | None] = {}


def divide_machines(record: RentalRecord, limit: int) -> list[dict[str, str | None]]:
    """Divide a rental's machines so that a record holds each part, with their addresses."""
    head = msgspec.structs.replace(record, settled=True, machines={"": None})
    room = limit - len(msgspec.json.encode(head))
    parts: list[dict[str, str | None]] = [{}]
    left = room
    for name, address in record.machines.items():
        size = len(msgspec.json.encode(name)) + max(ADDRESS_BYTES, len(address or "") + 4)
        if parts[-1] and size > left:
            parts.append({})
            left = room
        parts[-1][name] = address
        left -= size
    return parts


def cancelled_record(spec: JobSpec, submitted_us: int, limit: int) -> JobRecord:
    """Return the record of a cancelled job; it fits the limit even if it did not before.

    Nothing of a cancelled job is started any more, so what only says where it may start can
    go: an earlier version accepted submissions under a larger limit, and to cancel such a
    job its record has to be written once more. Every version reads the shorter one.
    """
    record = JobRecord(spec, submitted_us, cancelled=True)
    if len(msgspec.json.encode(record)) > limit:
        record.spec = msgspec.structs.replace(
            spec, job_class="-", image="-", types=None, zone=None, needs=None
        )
    return record


def job_key(job_id: str) -> str:
    """Return the key of a job that is not over."""
    return JOBS + job_id


def final_key(job_id: str) -> str:
    """Return the key of a job that is over."""
    return FINAL + job_id


def progress_key(job_id: str, chunk: int) -> str:
    """Return the key of a chunk of progress."""
    return f"{PROGRESS}{job_id}/{chunk}"


#: By flag: the digit that says the same.
_DIGITS = b"0" + b"1" * 255


def encode_progress(done: bytes | bytearray) -> str:
    """Encode one chunk; ``done`` has one byte a task, non-zero when completed."""
    bits = int(done[::-1].translate(_DIGITS) or b"0", 2)
    return base64.b64encode(bits.to_bytes(-(-len(done) // 8) or 1, "little")).decode()


def decode_progress(text: str, tasks: int) -> list[int]:
    """Return the indexes completed in a chunk of that many tasks."""
    bits = int.from_bytes(base64.b64decode(text, validate=True), "little")
    return [index for index in range(tasks) if bits >> index & 1]
