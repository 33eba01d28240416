"""Checks of a submission that need nothing but the submission."""

import math
import re
from collections.abc import Mapping

import msgspec

from weldhead.protocol import http_status
from weldhead.protocol.wire import MAX_TASKS, JobSpec

#: The one form of job ids.
JOB_ID = re.compile(r"run-[0-9]{1,24}", re.ASCII)


#: Strings that end up in keys, records and logs stay short.
MAX_NAME = 200
#: Machine types that a submission may name.
MAX_TYPES = 100
#: Amounts of CPUs, GPUs, GB and seconds are below this.
MAX_AMOUNT = 1e9
_AMOUNTS = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimate_s",
    "checkpoint_s",
    "save_s",
    "deadline_s",
)


_PATH = re.compile(r"`\$\.?([A-Za-z_]*)")


_MISSING = re.compile(r"missing required field `([^`]+)`")


WIRE_NAMES: Mapping[str, str] = dict(
    zip(JobSpec.__struct_fields__, JobSpec.__struct_encode_fields__, strict=True)
)


_decoder = msgspec.json.Decoder(JobSpec, strict=True)


class SubmissionRefusedError(Exception):
    """A submission that is refused for good."""

    def __init__(self, status: int, reason: str, field: str | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.field = field


def is_job_id(text: str) -> bool:
    """Whether the text has a job id's form."""
    return JOB_ID.fullmatch(text) is not None


def _malformed(field: str, reason: str) -> SubmissionRefusedError:
    wire = WIRE_NAMES[field]
    return SubmissionRefusedError(http_status.BAD_REQUEST, f"{wire}: {reason}", wire)


def parse_submission(body: bytes) -> JobSpec:
    """Decode a submission; SubmissionRefusedError(http_status.BAD_REQUEST) if it is malformed."""
    try:
        spec = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        text = str(error)
        found = _MISSING.search(text) or _PATH.search(text)
        field = found.group(1) or None if found else None
        raise SubmissionRefusedError(http_status.BAD_REQUEST, text, field) from error
    if not is_job_id(spec.id):
        raise _malformed("id", "not a job id")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise _malformed("tasks", f"must be 1 to {MAX_TASKS}")
    _check_names(spec)
    _check_amounts(spec)
    _check_machine_choice(spec)
    if spec.needs is not None:
        if not all(is_job_id(name) for name in spec.needs):
            raise _malformed("needs", "must be null or a list of job ids")
        # Repeats count once; an empty list is none.
        spec = msgspec.structs.replace(spec, needs=tuple(dict.fromkeys(spec.needs)) or None)
    return spec


def _check_names(spec: JobSpec) -> None:
    for field in ("job_class", "team", "image"):
        value = getattr(spec, field)
        if not value or len(value) > MAX_NAME:
            raise _malformed(field, f"must have 1 to {MAX_NAME} characters")


def _check_amounts(spec: JobSpec) -> None:
    for field in _AMOUNTS:
        number = getattr(spec, field)
        # 1e999 is valid JSON but no amount; 1e15 s would overflow sums of microseconds.
        if number is not None and not (math.isfinite(number) and 0 <= number < MAX_AMOUNT):
            raise _malformed(field, "must be a number from 0 to below 1e9")


def _check_machine_choice(spec: JobSpec) -> None:
    if spec.types is not None and (
        not spec.types or len(spec.types) > MAX_TYPES or any(len(t) > MAX_NAME for t in spec.types)
    ):
        raise _malformed("types", f"must be null or 1 to {MAX_TYPES} names")
    if spec.zone is not None and not 1 <= len(spec.zone) <= MAX_NAME:
        raise _malformed("zone", "must be null or a zone's name")


def check_size(spec: JobSpec, size: int, limit: int) -> None:
    """SubmissionRefusedError(http_status.UNPROCESSABLE) if a job's record cannot be stored within
    the limit, in bytes.

    No promise is made that could not be kept: such a job could never be written down.
    """
    if size > limit:
        field = WIRE_NAMES["needs"] if spec.needs else WIRE_NAMES["id"]
        reason = f"the job's record takes {size} bytes, and a value has at most {limit}"
        raise SubmissionRefusedError(http_status.UNPROCESSABLE, f"{field}: {reason}", field)


def refuse_need(job_id: str, reason: str) -> SubmissionRefusedError:
    """Return the refusal of a submission for one of the jobs that it names."""
    wire = WIRE_NAMES["needs"]
    return SubmissionRefusedError(http_status.UNPROCESSABLE, f"{wire}: {job_id} {reason}", wire)
