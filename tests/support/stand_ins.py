"""Stand-ins for the outside world, written after the protocol.

None of them sleeps or keeps real time: tests decide what is delivered, and when.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from weldhead.protocol.settings import StateLimits
from weldhead.protocol.wire import (
    MAX_BODY_BYTES,
    Command,
    Condition,
    DeleteKey,
    DirectCommands,
    Heartbeat,
    HeartbeatAnswer,
    KeyChanges,
    KeyValue,
    PutKey,
    ReportedTask,
)
from weldhead.site.store.model import Batch, ConditionFailedError, Store, StoreError, Write
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    ConflictError,
    RequestRefusedError,
    TransactionRejectedError,
)
from weldhead.transport.token_bucket import TokenBucket


def refuse_if_too_long(message: Heartbeat | HeartbeatAnswer | DirectCommands) -> None:
    """No body, and no line of an answer, may be longer than the protocol allows."""
    size = len(msgspec.json.encode(message))
    assert size <= MAX_BODY_BYTES, f"{type(message).__name__} of {size} bytes"


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

    def report(self) -> Heartbeat:
        self.sequence += 1
        tasks = [
            ReportedTask(name, task.attempt, task.state, task.why, task.saved)  # type: ignore[arg-type]
            for name, task in self.tasks.items()
        ]
        heartbeat = Heartbeat(
            self.name, "10.0.0.9:1", "m4", "a", False, self.session, self.sequence, self.token,
            tasks,
        )  # fmt: skip
        refuse_if_too_long(heartbeat)
        return heartbeat

    def answered(self, answer: HeartbeatAnswer) -> None:
        refuse_if_too_long(answer)
        if answer.token < self.token:
            return
        self.token = answer.token
        self.execute(answer.commands)

    def direct(self, token: int, session: int, commands: list[Command]) -> tuple[bool, Heartbeat]:
        refuse_if_too_long(DirectCommands(token, session, commands))
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
    """The state service's own model; transactions can be lost, refused, or applied late."""

    def __init__(self) -> None:
        self.store = Store(StateLimits(1e6, 1e6, 8.0, 12))
        self.store.revision = 1
        self.submission_budget = TokenBucket(1e6, 1e6)
        self.max_writes = 12
        self.value_bytes = 8192
        #: What happens to the next transactions: ok, refused, lost, unanswered or late.
        self.fates: list[str] = []
        self.late: list[tuple[list[Condition], list[PutKey | DeleteKey]]] = []
        self.calls = itertools.count()
        #: How many keys a page has.
        self.page = 100

    @property
    def limits(self) -> StateLimits:
        return StateLimits(1e6, 1e6, self.value_bytes / 1024, self.max_writes)

    @property
    def revision(self) -> int:
        return self.store.revision

    @property
    def keys(self) -> dict[str, tuple[Any, int]]:
        """Every key with its value and version."""
        kept = self.store.page("", "", 1_000_000)
        found = list(kept.items)
        while kept.more:
            kept = self.store.page("", found[-1].key, 1_000_000)
            found += kept.items
        return {e.key: (msgspec.json.decode(e.value), e.version) for e in found}

    def put(self, key: str, value: Any) -> int:
        raw = msgspec.Raw(msgspec.json.encode(value))
        # What a test puts there may be larger than what a transaction may write.
        self.store.limits = StateLimits(1e6, 1e6, 64.0, 12)
        return self.store.commit(Batch([], [Write(set=key, value=raw)]), 0)

    def delete(self, key: str) -> None:
        self.store.commit(Batch([], [Write(delete=key)]), 0)

    def apply(self, conditions: list[Condition], writes: list[PutKey | DeleteKey]) -> int:
        self.store.limits = self.limits
        batch = [
            Write(set=w.key, value=msgspec.Raw(msgspec.json.encode(w.value)), lease=w.lease)
            if isinstance(w, PutKey)
            else Write(delete=w.key)
            for w in writes
        ]
        try:
            return self.store.commit(Batch(conditions, batch), 0)
        except ConditionFailedError as failed:
            raise ConflictError(failed.keys[0]) from failed
        except StoreError as error:
            raise TransactionRejectedError(str(error)) from error

    def release_late(self) -> None:
        """Apply what was held back; what no longer holds is refused."""
        for conditions, writes in self.late:
            try:
                self.apply(conditions, writes)
            except (ConflictError, TransactionRejectedError):
                continue
        self.late.clear()

    async def transact(
        self, conditions: list[Condition], writes: list[PutKey | DeleteKey], **_: Any
    ) -> int:
        fate = self.fates.pop(0) if self.fates else "ok"
        match fate:
            case "refused":
                raise RequestRefusedError("503")
            case "lost":
                raise CallError("lost")
            case "late":
                self.late.append((list(conditions), list(writes)))
                raise CallError("held back")
            case "unanswered":
                self.apply(conditions, writes)
                raise CallError("the answer was lost")
        return self.apply(conditions, writes)

    async def pages(self, prefix: str) -> AsyncIterator[tuple[list[KeyValue], int]]:
        revision, start, more = self.store.revision, "", True
        while more:
            await asyncio.sleep(0)
            page = self.store.page(prefix, start, self.page)
            yield page.items, revision
            more, start = page.more, page.items[-1].key if page.items else ""

    async def watch(self, prefix: str, revision: int, wait_us: int) -> KeyChanges:
        """Return what has changed since; it never waits."""
        await asyncio.sleep(0)
        return KeyChanges(self.store.revision, self.store.changes(prefix, revision))

    async def get(self, key: str, **_: Any) -> KeyValue | None:
        return self.store.get(key)


class SharedState(StandInState):
    """A store that carries out one write, lets others look, and loses its answer."""

    def __init__(self) -> None:
        super().__init__()
        #: The next transaction that writes a key that begins so; after how many others of them.
        self.loses, self.after = "", 0
        self.meanwhile: Callable[[], Awaitable[None]]
        #: What the lost ones wrote: keys with their versions then (0: deleted).
        self.lost: dict[str, int] = {}

    def version(self, key: str) -> int:
        return self.keys[key][1] if key in self.keys else 0

    async def transact(
        self, conditions: list[Condition], writes: list[PutKey | DeleteKey], **_: Any
    ) -> int:
        revision = self.apply(conditions, writes)
        if self.loses and any(write.key.startswith(self.loses) for write in writes):
            self.after -= 1
            if self.after < 0:
                self.loses = ""
                self.lost = {write.key: self.version(write.key) for write in writes}
                await self.meanwhile()
                raise CallError("the answer was lost")
        return revision
