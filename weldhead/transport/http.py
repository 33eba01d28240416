"""The HTTP client for cloud, state service and workers."""

import asyncio

import aiohttp

from weldhead.clock import SECOND_US


class CallFailed(Exception):
    """No usable answer; the request may or may not have been executed."""


class NotConnected(CallFailed):
    """No connection came about, so the request was surely not executed."""


class HttpClient:
    """One pool of connections; every call has a time limit."""

    def __init__(self, connections: int) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, limit_per_host=0, keepalive_timeout=30.0
            ),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None),
            headers={"Content-Type": "application/json"},
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def call(
        self, method: str, url: str, body: bytes | None, timeout_us: int, connect_us: int = 0
    ) -> tuple[int, bytes]:
        """Return status and body; CallFailed if none came in time."""
        timeout = aiohttp.ClientTimeout(
            total=timeout_us / SECOND_US,
            sock_connect=connect_us / SECOND_US if connect_us else None,
        )
        try:
            async with self._session.request(method, url, data=body, timeout=timeout) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotConnected(f"{method} {url}: {error!r}") from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError) as error:
            raise CallFailed(f"{method} {url}: {error!r}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
