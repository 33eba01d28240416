"""The HTTP client for cloud, state service and workers."""

import asyncio
from functools import lru_cache

import aiohttp
from yarl import URL

from weldhead.clock import SECOND_US

_CLOSE = {"Connection": "close"}

#: What of a call's time it may wait for a connection, where that is bounded. Less than all of
#: it by more than the library rounds times up: what is over only then may have been sent.
_CONNECT_SHARE = 0.75


class CallError(Exception):
    """No usable answer; the request may or may not have been executed."""


class NotConnectedError(CallError):
    """No connection came about, so nothing was sent and the request surely not executed."""


#: A few thousand workers are called again and again; watches and pages are not.
@lru_cache(maxsize=8_192)
def _url(url: str) -> URL:
    """Return a URL; what is in it needs no quoting. To read one anew cost a third of a call."""
    return URL(url, encoded=True)


@lru_cache(maxsize=64)
def _timeout(timeout_us: int, connect_us: int) -> aiohttp.ClientTimeout:
    """Return a call's times.

    A call that waited for a free connection of the pool until its whole time was over could
    not be told from one that was sent and not answered.
    """
    total_s = timeout_us / SECOND_US
    if not connect_us:
        return aiohttp.ClientTimeout(total=total_s)
    return aiohttp.ClientTimeout(
        total=total_s, connect=total_s * _CONNECT_SHARE, sock_connect=connect_us / SECOND_US
    )


class HttpClient:
    """One pool of connections; every call has a time limit.

    The limit counts connections in use; idle ones, to any number of hosts, are kept for
    ``keepalive_s`` besides.
    """

    def __init__(self, connections: int, keepalive_s: float = 30.0) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, limit_per_host=0, keepalive_timeout=keepalive_s
            ),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None),
            headers={"Content-Type": "application/json"},
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_us: int,
        connect_us: int = 0,
        *,
        close: bool = False,
    ) -> tuple[int, bytes]:
        """Return status and body; CallError if none came in time.

        ``connect_us`` bounds how long a new connection may take (0: the whole call), and has
        a call that got none in time fail as NotConnectedError. ``close`` asks the other side not to
        keep the connection.
        """
        timeout = _timeout(timeout_us, connect_us)
        try:
            headers = _CLOSE if close else None
            async with self._session.request(
                method, _url(url), data=body, timeout=timeout, headers=headers
            ) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotConnectedError(f"{method} {url}: {error!r}") from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError) as error:
            raise CallError(f"{method} {url}: {error!r}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
