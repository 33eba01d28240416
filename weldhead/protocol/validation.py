"""Decodes submissions, and checks them without knowledge of the cluster or of other jobs."""

import math
import re
from collections.abc import Mapping

import msgspec

from weldhead.protocol import http_status
from weldhead.protocol.wire import MAX_TASKS, JobSpec

#: The format of all job ids.
JOB_ID_PATTERN = re.compile(r"run-[0-9]{1,24}", re.ASCII)


#: Names end up in keys, records and logs, so their length is limited.
MAX_NAME_CHARACTERS = 200
#: The number of machine types that a submission may list.
MAX_MACHINE_TYPES = 100
#: Amounts of CPUs, GPUs, GB and seconds have to be below this.
MAX_AMOUNT = 1e9
#: The fields of ``JobSpec`` that are amounts.
_AMOUNT_FIELDS = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimate_s",
    "checkpoint_s",
    "save_s",
    "deadline_s",
)


#: Finds the first field of the path in a msgspec error.
_ERROR_PATH_PATTERN = re.compile(r"`\$\.?([A-Za-z_]*)")


_MISSING_FIELD_PATTERN = re.compile(r"missing required field `([^`]+)`")


#: The encoded name of each field of ``JobSpec``.
WIRE_NAMES: Mapping[str, str] = dict(
    zip(JobSpec.__struct_fields__, JobSpec.__struct_encode_fields__, strict=True)
)


_decoder = msgspec.json.Decoder(JobSpec, strict=True)


class SubmissionRefusedError(Exception):
    """A submission is refused permanently, with an HTTP status and the field that is the cause."""

    def __init__(self, status: int, reason: str, field: str | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.field = field


def is_job_id(text: str) -> bool:
    """Return whether the text has the format of a job id."""
    return JOB_ID_PATTERN.fullmatch(text) is not None


def _make_field_error(field: str, reason: str) -> SubmissionRefusedError:
    wire_name = WIRE_NAMES[field]
    return SubmissionRefusedError(http_status.BAD_REQUEST, f"{wire_name}: {reason}", wire_name)


def parse_submission(body: bytes) -> JobSpec:
    """Decode a submission; raise SubmissionRefusedError with status 400 if it is malformed."""
    try:
        spec = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        text = str(error)
        match = _MISSING_FIELD_PATTERN.search(text) or _ERROR_PATH_PATTERN.search(text)
        field = match.group(1) or None if match else None
        raise SubmissionRefusedError(http_status.BAD_REQUEST, text, field) from error
    if not is_job_id(spec.id):
        raise _make_field_error("id", "not a job id")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise _make_field_error("tasks", f"must be 1 to {MAX_TASKS}")
    _check_names(spec)
    _check_amounts(spec)
    _check_machine_choice(spec)
    if spec.needs is not None:
        if not all(is_job_id(name) for name in spec.needs):
            raise _make_field_error("needs", "must be null or a list of job ids")
        # Repeated ids count once, and an empty list means the same as null.
        spec = msgspec.structs.replace(spec, needs=tuple(dict.fromkeys(spec.needs)) or None)
    return spec


def _check_names(spec: JobSpec) -> None:
    for field in ("job_class", "team", "image"):
        value = getattr(spec, field)
        if not value or len(value) > MAX_NAME_CHARACTERS:
            raise _make_field_error(field, f"must have 1 to {MAX_NAME_CHARACTERS} characters")


def _check_amounts(spec: JobSpec) -> None:
    for field in _AMOUNT_FIELDS:
        number = getattr(spec, field)
        # 1e999 is valid JSON but not an amount; 1e15 s would overflow sums of microseconds.
        if number is not None and not (math.isfinite(number) and 0 <= number < MAX_AMOUNT):
            raise _make_field_error(field, "must be a number from 0 to below 1e9")


def _check_machine_choice(spec: JobSpec) -> None:
    if spec.types is not None and (
        not spec.types
        or len(spec.types) > MAX_MACHINE_TYPES
        or any(len(t) > MAX_NAME_CHARACTERS for t in spec.types)
    ):
        raise _make_field_error("types", f"must be null or 1 to {MAX_MACHINE_TYPES} names")
    if spec.zone is not None and not 1 <= len(spec.zone) <= MAX_NAME_CHARACTERS:
        raise _make_field_error("zone", "must be null or a zone's name")


def check_record_size(spec: JobSpec, size_bytes: int, limit_bytes: int) -> None:
    """Raise SubmissionRefusedError with status 422 if a job's record is larger than the limit.

    The state service would not store such a record, so the job must not be accepted. Sizes are
    in bytes.
    """
    if size_bytes > limit_bytes:
        field = WIRE_NAMES["needs"] if spec.needs else WIRE_NAMES["id"]
        reason = f"the job's record takes {size_bytes} bytes, and a value has at most {limit_bytes}"
        raise SubmissionRefusedError(http_status.UNPROCESSABLE, f"{field}: {reason}", field)


def make_dependency_refusal(job_id: str, reason: str) -> SubmissionRefusedError:
    """Return the error for a submission that may not depend on the job ``job_id``."""
    wire_name = WIRE_NAMES["needs"]
    return SubmissionRefusedError(
        http_status.UNPROCESSABLE, f"{wire_name}: {job_id} {reason}", wire_name
    )
