"""The record of a case: what was sent, answered and run, with the time since its start."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began

    def write(self, what: str, **values: Any) -> None:
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in values.items())
        self._file.write(f"{self.now:8.3f} {what} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()
