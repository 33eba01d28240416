"""The HTTP client for calls to the cloud, the state service and the workers."""

import asyncio
from functools import lru_cache

import aiohttp
from yarl import URL

from weldhead.clock import SECOND_US

_CLOSE_HEADERS = {"Connection": "close"}

#: The share of a call's timeout that it may wait for a connection, if ``connect_timeout_us`` is
#: given. The rest has to exceed the error by which aiohttp rounds timeouts up: a call that only
#: fails at its total timeout may have been sent.
_MAX_CONNECT_WAIT_SHARE = 0.75


class CallError(Exception):
    """A call got no usable answer; the request may or may not have been executed."""


class NotConnectedError(CallError):
    """No connection could be opened: the request was not sent, hence not executed."""


#: Large enough for the few thousand workers, whose URLs recur; URLs of watches and pages do not.
@lru_cache(maxsize=8_192)
def _parse_url(url: str) -> URL:
    """Parse a URL that needs no quoting; cached, because parsing took a third of a call."""
    return URL(url, encoded=True)


@lru_cache(maxsize=64)
def _build_timeout(timeout_us: int, connect_timeout_us: int) -> aiohttp.ClientTimeout:
    """Return a call's timeouts.

    The wait for a free connection of the pool gets a shorter limit than the whole call.
    Otherwise a call that timed out in the pool could not be distinguished from a call that
    was sent and not answered.
    """
    total_s = timeout_us / SECOND_US
    if not connect_timeout_us:
        return aiohttp.ClientTimeout(total=total_s)
    return aiohttp.ClientTimeout(
        total=total_s,
        connect=total_s * _MAX_CONNECT_WAIT_SHARE,
        sock_connect=connect_timeout_us / SECOND_US,
    )


class HttpClient:
    """A connection pool; every call has a timeout.

    ``connections`` limits the connections in use. Idle connections do not count: each of them,
    to any number of hosts, stays open for ``keepalive_s``.
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
        connect_timeout_us: int = 0,
        *,
        close: bool = False,
    ) -> tuple[int, bytes]:
        """Send a request and return status and body; CallError if no answer arrives in time.

        ``connect_timeout_us`` limits the time for opening a new connection (0: only the call's
        timeout applies); a call that gets no connection in time fails with NotConnectedError.
        With ``close``, the request tells the server to close the connection after the answer.
        """
        timeout = _build_timeout(timeout_us, connect_timeout_us)
        try:
            headers = _CLOSE_HEADERS if close else None
            async with self._session.request(
                method, _parse_url(url), data=body, timeout=timeout, headers=headers
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotConnectedError(f"{method} {url}: {error!r}") from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError) as error:
            raise CallError(f"{method} {url}: {error!r}") from error

    async def close(self) -> None:
        """Close all connections of the pool."""
        await self._session.close()
