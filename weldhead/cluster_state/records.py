"""The records that controllers keep in the state service, and their keys.

=========  =========================================================================
key        value
=========  =========================================================================
leader     LeaderRecord, attached to the leader's lease; its revision is the token
unsettled  UnsettledRecord, while tasks may run that the leader would not know to kill
j/ID       JobRecord: a job that has not ended, or whose tasks may still run somewhere
p/ID/N     the completed tasks of a job, N-th chunk of a bitmap
f/ID       FinalRecord: how a job ended, kept permanently
h/NAME     RentalRecord: a rental that may have been requested, and its machines
t/N        preempted GPU tasks, see ``cluster_state/preemption_history.py``
d/...      documents, see ``documents/records.py``
=========  =========================================================================

Any controller may write ``leader`` and create ``j/`` keys. Only the leader writes anything else,
and each of its transactions is conditional on the version of ``leader``.
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

#: Tasks in one chunk of progress: 1 KiB of bits, well within any limit of a value.
CHUNK_TASKS = 8192

#: Encoded size of the longest machine address, "255.255.255.255:65535", with its punctuation.
ADDRESS_BYTES = 25


class LeaderRecord(msgspec.Struct):
    """The current leader.

    ``nonce`` lets a leader recognize its own record after an unanswered write. ``ttl_us`` bounds
    how long the leader may rely on the record after its deletion. ``earlier_us`` bounds how long
    after the write of this record previous leaders may have continued to lead.
    """

    name: str
    nonce: str
    ttl_us: int
    earlier_us: int = 0


class UnsettledRecord(msgspec.Struct):
    """States that tasks of cancelled jobs may still run without the leader's knowledge.

    The record is written with each leader's record. It is deleted once no task can be left of the
    jobs that were cancelled before that term. ``from_us`` is the time of day of the earliest
    cancellation that may be affected, however many terms have ended since without a deletion.
    """

    from_us: int


class CalendarDeadline(msgspec.Struct, omit_defaults=True, frozen=True):
    """The due time that a calendar sets for a job (time of day, UTC).

    ``edition`` is the edition of the documents under which the calendar set it.
    """

    calendar: str
    edition: int
    due_us: int


class GateHold(msgspec.Struct, omit_defaults=True, frozen=True):
    """The gate that blocks a job, and the edition that the job waits for.

    A gate holds jobs until an edition, which a rebuild job makes, has been approved and published.
    These editions are numbered per gate and are not the editions of the documents.
    """

    gate: str
    edition: int


class GateAction(msgspec.Struct, omit_defaults=True, frozen=True):
    """The act that a job performs on a gate.

    ``edition`` is the edition that the act applies to if the job names none. ``round`` is the
    number of approvals that had been withdrawn when the job was accepted.
    """

    gate: str
    act: str
    edition: int = 0
    round: int = 0


#: Prefix of a gate's name among the needs of a job that the gate blocks or that acts on the gate.
#: No job has such an id. A version that supports job chains but no gates therefore waits for this
#: need forever and never starts the job.
GATE_NEED = "gate/"


class AdmissionBinding(msgspec.Struct, frozen=True):
    """The deadline, gate and action on a gate that documents set for a job when it is accepted.

    ``conditions`` require that the keys from which they were derived still have the same versions.
    """

    deadline: CalendarDeadline | None = None
    gate_hold: GateHold | None = None
    gate_action: GateAction | None = None
    conditions: tuple[Condition, ...] = ()

    def merged(self, other: "AdmissionBinding") -> "AdmissionBinding":
        """Return the combination of two bindings; the earlier of two deadlines applies."""
        bounds = [bound for bound in (self.deadline, other.deadline) if bound is not None]
        return AdmissionBinding(
            min(bounds, key=lambda bound: bound.due_us, default=None),
            self.gate_hold or other.gate_hold,
            self.gate_action or other.gate_action,
            # ``self`` and ``other`` may rest on the versions of the same keys, so a condition that
            # both of them have is listed once.
            (*self.conditions, *(c for c in other.conditions if c not in self.conditions)),
        )


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"deadline": "bound", "gate_hold": "hold", "gate_action": "deed"},
):
    """A job that has not ended.

    Controllers that do not support documents know only the first three fields (see
    ``protocol/versions.py``).
    """

    spec: JobSpec
    submitted_us: int
    cancelled: bool = False
    deadline: CalendarDeadline | None = None
    gate_hold: GateHold | None = None
    gate_action: GateAction | None = None


def admitted_record(spec: JobSpec, submitted_us: int, binding: AdmissionBinding) -> JobRecord:
    """Return the record of a new job.

    If a gate holds the job, or the job acts on a gate, the record names an additional need, which
    only versions without support for gates take into account (see ``GATE_NEED``).
    """
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
    """Return the job specification without the need that stands for a gate."""
    if not spec.needs or not any(name.startswith(GATE_NEED) for name in spec.needs):
        return spec
    needs = tuple(name for name in spec.needs if not name.startswith(GATE_NEED))
    return msgspec.structs.replace(spec, needs=needs or None)


class FinalRecord(msgspec.Struct, omit_defaults=True):
    """How a job ended.

    Controllers that do not support job chains know only the first two fields (see
    ``protocol/versions.py``).
    """

    status: Literal["done", "withdrawn"]
    done: int
    #: Time of day of the end; 0: an earlier version wrote the record without it, long ago.
    ended_us: int = 0
    service: bool = False


class RentalRecord(msgspec.Struct, omit_defaults=True, rename={"rented_us": "hired_us"}):
    """A rental that is requested under the name in its key, and the machines that it provided.

    One record holds many machines, so that hundreds of machines can be recorded and enrolled
    within the store's limit on the rate of changes. Each machine maps to the address that it
    reported, or to null. No task is ever started on a machine before its address is recorded.
    """

    type: str
    zone: str
    spot: bool
    count: int
    rented_us: int
    #: Whether the outcome of the request is known.
    settled: bool = False
    machines: dict[str, str | None] = {}


def divide_machines(record: RentalRecord, max_bytes: int) -> list[dict[str, str | None]]:
    """Divide a rental's machines into parts that fit into a record each, with their addresses."""
    head = msgspec.structs.replace(record, settled=True, machines={"": None})
    available_bytes = max_bytes - len(msgspec.json.encode(head))
    parts: list[dict[str, str | None]] = [{}]
    remaining_bytes = available_bytes
    for name, address in record.machines.items():
        size = len(msgspec.json.encode(name)) + max(ADDRESS_BYTES, len(address or "") + 4)
        if parts[-1] and size > remaining_bytes:
            parts.append({})
            remaining_bytes = available_bytes
        parts[-1][name] = address
        remaining_bytes -= size
    return parts


def cancelled_record(spec: JobSpec, submitted_us: int, max_bytes: int) -> JobRecord:
    """Return the record of a cancelled job, shortened if it exceeds ``max_bytes``.

    An earlier version accepted submissions under a larger limit, and the cancellation of such a job
    writes its record once more. No task of a cancelled job is started, so the fields that only say
    where tasks may start can be cleared. Every version can read the shortened record.
    """
    record = JobRecord(spec, submitted_us, cancelled=True)
    if len(msgspec.json.encode(record)) > max_bytes:
        record.spec = msgspec.structs.replace(
            spec, job_class="-", image="-", types=None, zone=None, needs=None
        )
    return record


def job_key(job_id: str) -> str:
    """Return the key of the record of an unfinished job."""
    return JOBS + job_id


def final_key(job_id: str) -> str:
    """Return the key of the final record of an ended job."""
    return FINAL + job_id


def progress_key(job_id: str, chunk: int) -> str:
    """Return the key of a chunk of a job's progress."""
    return f"{PROGRESS}{job_id}/{chunk}"


#: Translates a completed flag (a byte, 0 or not) into the digit "0" or "1".
_DIGITS = b"0" + b"1" * 255


def encode_progress(done: bytes | bytearray) -> str:
    """Encode one chunk; ``done`` has one byte for each task, non-zero if it is completed."""
    bits = int(done[::-1].translate(_DIGITS) or b"0", 2)
    return base64.b64encode(bits.to_bytes(-(-len(done) // 8) or 1, "little")).decode()


def decode_progress(text: str, tasks: int) -> list[int]:
    """Return the indexes of the completed tasks in a chunk of ``tasks`` tasks."""
    bits = int.from_bytes(base64.b64decode(text, validate=True), "little")
    return [index for index in range(tasks) if bits >> index & 1]
