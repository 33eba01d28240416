"""What a user submits, in the field's own words, and what it becomes on the wire."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from weldhead.protocol.validation import SubmissionRefusedError, parse_submission
from weldhead.protocol.wire import MAX_BODY_BYTES, JobSpec
from weldhead.tomlfiles import build_problem, parse_toml

Priority = Literal["production", "high", "normal", "idle"]

#: An id that stands for the one a job will get, as long as any: bodies do not grow by it.
SAMPLE_ID = "run-" + "0" * 24


class JobProblem(Exception):
    """A job that is refused before anything is sent; ``field`` is its own name for it."""

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
    """A job: ``tasks`` tasks that each run ``command`` (or what the server knows they run).

    Amounts are per task, in CPUs, GPUs and GB; times are seconds. ``deadline_s`` counts from
    the submission. ``waits_on`` names ids of jobs that have to be done before. A task can
    tell itself from the others by ``WELDHEAD_TASK`` in its environment.
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
        """Return the submission under an id."""
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
        """Return the submission's body."""
        return msgspec.json.encode(self.spec(job_id))

    def description(self) -> bytes | None:
        """Return what is uploaded of it; None where there is no command."""
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
        """Return the job in one form, for comparing: equal jobs have equal contents."""
        return msgspec.json.encode(self, order="sorted")


_OWN_NAMES = {
    wire: {"id": "", "kind": "service", "needs": "waits_on", "job_class": "class"}.get(name, name)
    for name, wire in zip(JobSpec.__struct_fields__, JobSpec.__struct_encode_fields__, strict=True)
}


def own_name(wire_field: str | None) -> str:
    """Return a job's own name of a field that the server names."""
    return _OWN_NAMES.get(wire_field or "", wire_field or "")


def check_job(job: Job) -> None:
    """JobProblem if no server would take the job: what can be known here is not sent."""
    try:
        parse_submission(job.body(SAMPLE_ID))
    except SubmissionRefusedError as refusal:
        field = own_name(refusal.field)
        reason = refusal.reason.removeprefix(f"{refusal.field}: ")
        raise JobProblem(field, reason) from refusal
    if any(not part for part in job.command[:1]) or any("\0" in part for part in job.command):
        raise JobProblem("command", "must name a program, without NUL")
    for key, value in job.environment.items():
        if not key or "=" in key or "\0" in key + value:
            raise JobProblem("environment", f"{key!r} cannot be set")
    if job.directory is not None and not Path(job.directory).is_absolute():
        raise JobProblem("directory", "must be absolute")
    for what, body in (("job", job.body(SAMPLE_ID)), ("command", job.description() or b"")):
        if len(body) > MAX_BODY_BYTES:
            size = f"{len(body)} bytes, and {MAX_BODY_BYTES} is the most that can be sent"
            raise JobProblem(what, size)


class JobFile(Job, frozen=True, forbid_unknown_fields=True, rename={"job_class": "class"}):
    """A job as a file has it: besides the job its key, if it has one."""

    key: Annotated[str, msgspec.Meta(min_length=1, max_length=200)] | None = None


def parse_job(source: str, text: str) -> tuple[Job, str | None]:
    """Read a job file: the job and its key; FileProblem names line and field."""
    made = parse_toml(source, text, JobFile)
    values = {name: getattr(made, name) for name in Job.__struct_fields__}
    job = Job(**values)
    try:
        check_job(job)
    except JobProblem as problem:
        raise build_problem(
            source, text, [problem.field] if problem.field else [], problem.reason
        ) from problem
    return job, made.key


def differences(old: bytes, new: bytes) -> list[str]:
    """Say in which fields two contents differ."""
    before = msgspec.json.decode(old)
    after = msgspec.json.decode(new)
    shown = dict(zip(Job.__struct_encode_fields__, Job.__struct_defaults__, strict=True))
    lines = []
    for name in Job.__struct_encode_fields__:
        was, now = (values.get(name, shown[name]) for values in (before, after))
        if was != now and not (was in ((), []) and now in ((), [])):
            lines.append(f"{name}: {was!r} before, {now!r} now")
    return lines
