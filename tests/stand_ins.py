"""Stand-ins for the outside world, written after the protocol.

None of them sleeps or keeps real time: tests decide what is delivered, and when.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import (
    Command,
    Condition,
    Delete,
    Entry,
    Put,
    Report,
    ReportAnswer,
    TaskReport,
)
from weldhead.transport.http import CallFailed
from weldhead.transport.state import Conflict, Refused, Rejected


@dataclass
class StandInTask:
    attempt: int
    state: str = "pulling"
    why: str | None = None
    saved: bool | None = None


@dataclass
class StandInWorker:
    """A worker: keeps tasks, tokens and sessions as the protocol says."""

    name: str
    cpus: float
    session: int = 1
    sequence: int = 0
    token: int = 0
    tasks: dict[str, StandInTask] = field(default_factory=dict)
    starts: list[tuple[str, int]] = field(default_factory=list)

    def report(self) -> Report:
        self.sequence += 1
        tasks = [
            TaskReport(name, task.attempt, task.state, task.why, task.saved)  # type: ignore[arg-type]
            for name, task in self.tasks.items()
        ]
        return Report(
            self.name, "10.0.0.9:1", "m4", "a", False, self.session, self.sequence, self.token,
            tasks,
        )  # fmt: skip

    def answered(self, answer: ReportAnswer) -> None:
        if answer.token < self.token:
            return
        self.token = answer.token
        self.execute(answer.commands)

    def direct(self, token: int, session: int, commands: list[Command]) -> tuple[bool, Report]:
        accepted = token >= self.token and session == self.session
        self.token = max(self.token, token)
        if accepted:
            self.execute(commands)
        return accepted, self.report()

    def execute(self, commands: list[Command]) -> None:
        for command in commands:
            task = self.tasks.get(command.task)
            mine = task is not None and task.attempt == command.attempt
            if command.op == "run":
                if mine:
                    continue
                if task is not None and task.state != "ended":
                    continue
                self.tasks[command.task] = StandInTask(command.attempt)
                self.starts.append((command.task, command.attempt))
            elif command.op == "kill" and mine and task is not None and task.state != "ended":
                task.state, task.why = "ended", "halted"
            elif command.op == "forget" and mine and task is not None and task.state == "ended":
                del self.tasks[command.task]

    def expire(self) -> None:
        """The lease has run out."""
        self.tasks.clear()
        self.session += 1

    def live(self) -> set[str]:
        return {name for name, task in self.tasks.items() if task.state != "ended"}


class StandInState:
    """The state service; transactions can be lost, refused, or applied late."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int]] = {}
        self.revision = 1
        self.max_writes = 12
        self.value_bytes = 8192
        #: What happens to the next transactions: ok, refused, lost, unanswered or late.
        self.fates: list[str] = []
        self.late: list[tuple[list[Condition], list[Put | Delete]]] = []
        self.calls = itertools.count()
        #: How many keys a page has.
        self.page = 100

    @property
    def limits(self) -> StateLimits:
        return StateLimits(1e6, 1e6, self.value_bytes / 1024, self.max_writes)

    def put(self, key: str, value: Any) -> int:
        self.revision += 1
        self.keys[key] = (msgspec.json.decode(msgspec.json.encode(value)), self.revision)
        return self.revision

    def apply(self, conditions: list[Condition], writes: list[Put | Delete]) -> int:
        for condition in conditions:
            if self.keys.get(condition.key, (None, 0))[1] != condition.version:
                raise Conflict(condition.key)
        puts = [msgspec.json.encode(write.value) for write in writes if isinstance(write, Put)]
        if len(writes) > self.max_writes or any(len(p) > self.value_bytes for p in puts):
            raise Rejected("over the limit")
        self.revision += 1
        for write in writes:
            if isinstance(write, Put):
                value = msgspec.json.decode(msgspec.json.encode(write.value))
                self.keys[write.key] = (value, self.revision)
            else:
                self.keys.pop(write.key, None)
        return self.revision

    def release_late(self) -> None:
        """Apply what was held back; what no longer holds is refused."""
        for conditions, writes in self.late:
            try:
                self.apply(conditions, writes)
            except (Conflict, Rejected):
                continue
        self.late.clear()

    async def transact(
        self, conditions: list[Condition], writes: list[Put | Delete], **_: Any
    ) -> int:
        fate = self.fates.pop(0) if self.fates else "ok"
        match fate:
            case "refused":
                raise Refused("503")
            case "lost":
                raise CallFailed("lost")
            case "late":
                self.late.append((list(conditions), list(writes)))
                raise CallFailed("held back")
            case "unanswered":
                self.apply(conditions, writes)
                raise CallFailed("the answer was lost")
        return self.apply(conditions, writes)

    async def pages(self, prefix: str) -> AsyncIterator[tuple[list[Entry], int]]:
        revision, keys = self.revision, sorted(key for key in self.keys if key.startswith(prefix))
        for start in range(0, len(keys) or 1, self.page):
            await asyncio.sleep(0)
            yield (
                [
                    Entry(
                        key, msgspec.Raw(msgspec.json.encode(self.keys[key][0])), self.keys[key][1]
                    )
                    for key in keys[start : start + self.page]
                ],
                revision,
            )

    async def get(self, key: str, **_: Any) -> Entry | None:
        if key not in self.keys:
            return None
        value, version = self.keys[key]
        return Entry(key, msgspec.Raw(msgspec.json.encode(value)), version)
