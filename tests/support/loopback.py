"""Servers on loopback for tests: port 0, bounded waits, closed in the end."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from weldhead.site.http import Handler, SiteServer, listen


@contextlib.asynccontextmanager
async def served(handler: Handler) -> AsyncIterator[str]:
    """Serve a handler; yields its address."""
    listening = listen("127.0.0.1", 0)
    port = listening.getsockname()[1]
    server = SiteServer(handler)
    await server.start(listening)
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await server.close()


async def eventually(condition: object, limit_s: float = 10.0) -> None:
    """Wait until a condition holds; TimeoutError after the limit."""
    assert callable(condition)
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110 - a condition has no event
            await asyncio.sleep(0.01)
