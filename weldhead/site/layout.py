"""Where a site keeps what, below its directory."""

import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from weldhead.protocol.validation import is_job_id


def write_whole(path: Path, data: bytes) -> None:
    """Write a file so that a reader finds the old or the new content, never a part."""
    path.parent.mkdir(parents=True, exist_ok=True)
    handle, fresh = tempfile.mkstemp(prefix=f".{path.name}.", dir=path.parent)
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data)
        os.replace(fresh, path)
    except OSError:
        Path(fresh).unlink(missing_ok=True)
        raise


@dataclass(frozen=True)
class Layout:
    """The paths of a site."""

    root: Path

    @property
    def address(self) -> Path:
        """The front's address, while the site serves."""
        return self.root / "address"

    @property
    def state(self) -> Path:
        """The state service's record."""
        return self.root / "state" / "record"

    @property
    def pool(self) -> Path:
        """The pool's record."""
        return self.root / "pool" / "record"

    def settings(self, name: str) -> Path:
        """Return where a part's settings are written."""
        return self.root / "settings" / f"{name}.json"

    def pid(self, name: str) -> Path:
        """Return where a part's process number is written at each of its starts."""
        return self.root / "pids" / name

    def log(self, name: str) -> Path:
        """Return where a part's log is written."""
        return self.root / "log" / f"{name}.log"

    def machine(self, name: str) -> Path:
        """Return where a machine's worker keeps its session."""
        return self.root / "machines" / name

    def description(self, job: str) -> Path:
        """Return where a job's description is kept."""
        return self.root / "descriptions" / _checked(job)[-2:] / f"{job}.json"

    def task(self, job: str, index: int) -> Path:
        """Return the directory of a task: one below it an attempt, and ``save``."""
        return self.job(job) / str(index)

    def job(self, job: str) -> Path:
        """Return the directory of a job's tasks."""
        return self.root / "tasks" / _checked(job)[-2:] / job

    def result(self, job: str, index: int) -> Path:
        """Return the file that is there once a task has ended with code 0."""
        return self.task(job, index) / "result"


def _checked(job: str) -> str:
    # Ids become file names: nothing else may.
    if not is_job_id(job):
        raise ValueError(f"not a job id: {job!r}")
    return job
