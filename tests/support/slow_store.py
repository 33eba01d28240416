"""A state service that is slow."""

from typing import Any

from weldhead.protocol.wire import KeyValue
from weldhead.transport.http_client import CallError


class SlowStore:
    """A store that has what is asked for, in so many microseconds or in time for nobody."""

    def __init__(self, answers: list[Any]) -> None:
        self.answers = answers
        self.patience: list[int] = []

    async def get(self, key: str, *, urgent: bool, timeout_us: int) -> KeyValue | None:
        self.patience.append(timeout_us)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if answer > timeout_us:
            raise CallError("no answer in time")
        return None
