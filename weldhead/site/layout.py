"""File paths below a site's directory."""

import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from weldhead.protocol.validation import is_job_id


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file's content atomically: a reader sees the old or the new content in full."""
    path.parent.mkdir(parents=True, exist_ok=True)
    descriptor, temporary_path = tempfile.mkstemp(prefix=f".{path.name}.", dir=path.parent)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
        os.replace(temporary_path, path)
    except OSError:
        Path(temporary_path).unlink(missing_ok=True)
        raise


@dataclass(frozen=True)
class Layout:
    """The paths of a site's files; ``root`` is the site's directory."""

    root: Path

    @property
    def address(self) -> Path:
        """The file with the HTTP front's address; it exists while the site serves requests."""
        return self.root / "address"

    @property
    def state(self) -> Path:
        """The state service's record file."""
        return self.root / "state" / "record"

    @property
    def pool(self) -> Path:
        """The machine pool's record file."""
        return self.root / "pool" / "record"

    def settings(self, name: str) -> Path:
        """Return the settings file of a site process."""
        return self.root / "settings" / f"{name}.json"

    def pid(self, name: str) -> Path:
        """Return the PID file of a site process, which is written at each start of the process."""
        return self.root / "pids" / name

    def log(self, name: str) -> Path:
        """Return the log file of a site process."""
        return self.root / "log" / f"{name}.log"

    def machine(self, name: str) -> Path:
        """Return the directory in which a machine's worker stores its session."""
        return self.root / "machines" / name

    def description(self, job: str) -> Path:
        """Return the file with a job's description."""
        return self.root / "descriptions" / _validate_job_id(job)[-2:] / f"{job}.json"

    def task(self, job: str, index: int) -> Path:
        """Return a task's directory, which holds a directory for each attempt, and ``save``."""
        return self.job(job) / str(index)

    def job(self, job: str) -> Path:
        """Return the directory that holds the task directories of a job."""
        return self.root / "tasks" / _validate_job_id(job)[-2:] / job

    def result(self, job: str, index: int) -> Path:
        """Return a task's result file, which exists once the task has exited with code 0."""
        return self.task(job, index) / "result"


def _validate_job_id(job: str) -> str:
    # Job ids become parts of file paths, so any other text is rejected.
    if not is_job_id(job):
        raise ValueError(f"not a job id: {job!r}")
    return job
