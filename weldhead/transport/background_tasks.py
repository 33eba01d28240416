"""Long-lived background tasks: asyncio tasks that never die unnoticed."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from weldhead.transport.http_client import CallError

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Runs background tasks until closed; one that fails is logged and begun again."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[None], None] = {}

    def start(
        self, name: str, routine: Callable[[], Awaitable[None]], pause_s: float = 0.5
    ) -> None:
        """Keep a background task running: it is expected never to return."""
        self._add(self._keep(name, routine, pause_s), name)

    def spawn(self, name: str, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a single errand; a failure is logged."""
        return self._add(self._guard(name, job), name)

    def _add(self, job: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        task = asyncio.create_task(job, name=name)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    async def _keep(
        self, name: str, routine: Callable[[], Awaitable[None]], pause_s: float
    ) -> None:
        while True:
            try:
                await routine()
                log.error("background task %s ended unexpectedly, restarting", name)
            except CallError as error:
                log.info("background task %s: %s", name, error)
            except Exception:
                log.exception("background task %s failed, restarting", name)
            await asyncio.sleep(pause_s)

    async def _guard(self, name: str, job: Coroutine[Any, Any, None]) -> None:
        try:
            await job
        except CallError as error:
            log.info("%s: %s", name, error)
        except Exception:
            log.exception("%s failed", name)

    async def close(self) -> None:
        """Cancel everything and wait for it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
