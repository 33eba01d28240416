"""A blocking client, which runs the asynchronous one on an event loop in its own thread."""

import asyncio
import threading
from collections.abc import AsyncIterator, Coroutine, Iterable, Iterator
from types import TracebackType
from typing import Any, TypeVar

from weldhead.client.answers import Answer
from weldhead.client.client import Client, ClientSettings
from weldhead.client.job import Job

T = TypeVar("T")


async def _next_answer(answers: AsyncIterator[Answer]) -> Answer:
    return await anext(answers)


class SyncClient:
    """The blocking counterpart of ``Client``, to be used as a context manager.

    Any number of threads may call its methods.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="weldhead", daemon=True)

    def __enter__(self) -> "SyncClient":
        self._thread.start()
        try:
            self._client = self._call(self._open())
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Stop working on all submissions.

        Unfinished submissions stay in the journal; a later client continues them with
        ``resume``, or when one of them is submitted again or waited for.
        """
        try:
            self._call(self._client.close())
        finally:
            self._stop()

    def _stop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _open(self) -> Client:
        return await Client(self._settings).__aenter__()

    def _call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def submit(self, job: Job, key: str | None = None) -> str:
        """See ``Client.submit``."""
        return self._call(self._client.submit(job, key))

    def submit_many(self, jobs: Iterable[tuple[str | None, Job]]) -> list[str]:
        """See ``Client.submit_many``."""
        return self._call(self._client.submit_many(jobs))

    def accepted(self, key: str, timeout_s: float | None = None) -> Answer:
        """See ``Client.accepted``."""
        return self._call(self._client.accepted(key, timeout_s))

    def wait(self, key: str, timeout_s: float | None = None) -> Answer:
        """See ``Client.wait``."""
        return self._call(self._client.wait(key, timeout_s))

    def wait_many(self, keys: Iterable[str], timeout_s: float | None = None) -> Iterator[Answer]:
        """See ``Client.wait_many``."""
        answers = self._client.wait_many(keys, timeout_s)
        while True:
            try:
                yield self._call(_next_answer(answers))
            except StopAsyncIteration:
                return

    def poll(self, key: str) -> Answer:
        """See ``Client.poll``."""
        return self._call(self._client.poll(key))

    def cancel(self, key: str, timeout_s: float | None = None) -> Answer:
        """See ``Client.cancel``."""
        return self._call(self._client.cancel(key, timeout_s))

    def resume(self) -> list[str]:
        """See ``Client.resume``."""
        return self._call(self._client.resume())
