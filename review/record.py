"""What a case writes down: a line of JSON for each thing sent, answered, run or broken."""

import json
import time
from pathlib import Path


class Record:
    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()
        self.broken: list[str] = []

    @property
    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, event: str, **fields: object) -> None:
        line = {"t": round(self.now, 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def violation(self, rule: str, text: str) -> None:
        self.broken.append(rule)
        self.add("VIOLATION", rule=rule, text=text)

    def close(self) -> None:
        self._file.close()
