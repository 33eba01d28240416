"""Background tasks of the event loop, whose failures are always logged."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from weldhead.transport.http_client import CallError

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Owns asyncio tasks: logs their failures, restarts the endless ones, cancels all on close."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[None], None] = {}

    def start(
        self, name: str, routine: Callable[[], Awaitable[None]], pause_s: float = 0.5
    ) -> None:
        """Run a routine that never returns; restart the routine if it fails or returns."""
        self._create_task(self._run_forever(name, routine, pause_s), name)

    def spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine once; log its failure."""
        return self._create_task(self._run_once(name, coroutine), name)

    def _create_task(self, coroutine: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine, name=name)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    async def _run_forever(
        self, name: str, routine: Callable[[], Awaitable[None]], pause_s: float
    ) -> None:
        while True:
            try:
                await routine()
                log.error("background task %s returned unexpectedly, restarting", name)
            except CallError as error:
                log.info("background task %s failed, restarting: %s", name, error)
            except Exception:
                log.exception("background task %s failed, restarting", name)
            await asyncio.sleep(pause_s)

    async def _run_once(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except CallError as error:
            log.info("task %s failed: %s", name, error)
        except Exception:
            log.exception("task %s failed", name)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
