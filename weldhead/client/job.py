"""The job that a user submits, its checks, and its conversion to the wire format."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from weldhead.protocol.validation import SubmissionRefusedError, parse_submission
from weldhead.protocol.wire import MAX_BODY_BYTES, JobSpec
from weldhead.tomlfiles import build_problem, parse_toml

Priority = Literal["production", "high", "normal", "idle"]

#: A placeholder for a job's id, as long as every real id, so that a body encoded with the
#: placeholder has its final size.
SAMPLE_ID = "run-" + "0" * 24


class JobProblem(Exception):
    """The client refuses a job before sending it; ``field`` is the name of the invalid field."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field
        self.reason = reason


class Job(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"job_class": "class"},
):
    """A job of ``tasks`` tasks that each run ``command``.

    Without a command, the server has to know what the tasks run. Resource amounts are per task,
    in CPUs, GPUs and GB; times are in seconds. ``deadline_s`` counts from the submission.
    ``waits_on`` lists the ids of jobs that have to be done before this job starts. The
    environment variable ``WELDHEAD_TASK`` tells each task its number.
    """

    command: tuple[str, ...] = ()
    tasks: int = 1
    team: str = "default"
    job_class: str = "default"
    cpus: float = 1.0
    gpus: float = 0.0
    memory_gb: float = 1.0
    priority: Priority = "normal"
    deadline_s: float | None = None
    estimate_s: float = 0.0
    waits_on: tuple[str, ...] = ()
    environment: dict[str, str] = {}
    directory: str | None = None
    service: bool = False
    spot: bool = False
    types: tuple[str, ...] | None = None
    zone: str | None = None
    one_zone: bool = False
    spread: bool = False
    checkpoint_s: float = 0.0
    save_s: float = 0.0
    image: str = "none"
    image_gb: float = 0.0

    def spec(self, job_id: str) -> JobSpec:
        """Return the job as the protocol's job specification with the given id."""
        return JobSpec(
            id=job_id,
            job_class=self.job_class,
            team=self.team,
            kind="standing" if self.service else "batch",
            priority=self.priority,
            tasks=self.tasks,
            cpus=self.cpus,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
            image=self.image,
            image_gb=self.image_gb,
            one_zone=self.one_zone,
            spread=self.spread,
            spot=self.spot,
            estimate_s=self.estimate_s,
            checkpoint_s=self.checkpoint_s,
            save_s=self.save_s,
            types=self.types,
            zone=self.zone,
            deadline_s=self.deadline_s,
            needs=self.waits_on or None,
        )

    def body(self, job_id: str) -> bytes:
        """Return the body of the HTTP request that submits the job with the given id."""
        return msgspec.json.encode(self.spec(job_id))

    def description(self) -> bytes | None:
        """Return the description that is uploaded before the submission; None without a command."""
        if not self.command:
            return None
        return msgspec.json.encode(
            {
                "command": self.command,
                "tasks": self.tasks,
                "cpus": self.cpus,
                "gpus": self.gpus,
                "memory_gb": self.memory_gb,
                "checkpoint_s": self.checkpoint_s,
                "save_s": self.save_s,
                "environment": self.environment,
                "directory": self.directory,
            }
        )

    def content(self) -> bytes:
        """Return a canonical encoding of the job: equal jobs have equal encodings."""
        return msgspec.json.encode(self, order="sorted")


_JOB_FIELD_NAMES = {
    wire: {"id": "", "kind": "service", "needs": "waits_on", "job_class": "class"}.get(name, name)
    for name, wire in zip(JobSpec.__struct_fields__, JobSpec.__struct_encode_fields__, strict=True)
}


def job_field_name(wire_field: str | None) -> str:
    """Return the name in ``Job`` of a field that the server names as on the wire."""
    return _JOB_FIELD_NAMES.get(wire_field or "", wire_field or "")


def check_job(job: Job) -> None:
    """Raise JobProblem if every server would refuse the job.

    Errors that the client can detect itself cost no request.
    """
    try:
        parse_submission(job.body(SAMPLE_ID))
    except SubmissionRefusedError as refusal:
        field = job_field_name(refusal.field)
        reason = refusal.reason.removeprefix(f"{refusal.field}: ")
        raise JobProblem(field, reason) from refusal
    if any(not part for part in job.command[:1]) or any("\0" in part for part in job.command):
        raise JobProblem("command", "must name a program, without NUL")
    for key, value in job.environment.items():
        if not key or "=" in key or "\0" in key + value:
            raise JobProblem("environment", f"{key!r} cannot be set")
    if job.directory is not None and not Path(job.directory).is_absolute():
        raise JobProblem("directory", "must be absolute")
    for part, body in (("job", job.body(SAMPLE_ID)), ("command", job.description() or b"")):
        if len(body) > MAX_BODY_BYTES:
            size = f"{len(body)} bytes, and {MAX_BODY_BYTES} is the most that can be sent"
            raise JobProblem(part, size)


class JobFile(Job, frozen=True, forbid_unknown_fields=True, rename={"job_class": "class"}):
    """A job file: the fields of a job, and optionally the submission's key."""

    key: Annotated[str, msgspec.Meta(min_length=1, max_length=200)] | None = None


def parse_job(source: str, text: str) -> tuple[Job, str | None]:
    """Return the job and the key of a job file; FileProblemError names line and field."""
    job_file = parse_toml(source, text, JobFile)
    values = {name: getattr(job_file, name) for name in Job.__struct_fields__}
    job = Job(**values)
    try:
        check_job(job)
    except JobProblem as problem:
        raise build_problem(
            source, text, [problem.field] if problem.field else [], problem.reason
        ) from problem
    return job, job_file.key


def describe_differences(old: bytes, new: bytes) -> list[str]:
    """Return a line for each field in which two encoded jobs differ."""
    old_values = msgspec.json.decode(old)
    new_values = msgspec.json.decode(new)
    defaults = dict(zip(Job.__struct_encode_fields__, Job.__struct_defaults__, strict=True))
    lines = []
    for name in Job.__struct_encode_fields__:
        old_value, new_value = (
            values.get(name, defaults[name]) for values in (old_values, new_values)
        )
        if old_value != new_value and not (old_value in ((), []) and new_value in ((), [])):
            lines.append(f"{name}: {old_value!r} before, {new_value!r} now")
    return lines
