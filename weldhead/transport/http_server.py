"""The HTTP server for users, workers and health checks.

Of aiohttp's server only its lowest part is loaded: what routes, serves files and runs
applications took 1.4 MB that no controller used.
"""

import asyncio
import logging
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from email.utils import formatdate
from functools import lru_cache
from typing import Protocol

import aiohttp
import msgspec
from aiohttp import HttpVersion11
from aiohttp.abc import AbstractStreamWriter
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from weldhead.protocol import http_status
from weldhead.protocol.settings import split_address
from weldhead.protocol.wire import MAX_BODY_BYTES, ErrorBody

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode

#: How many connections may wait to be accepted.
BACKLOG = 1024
#: How long a connection without a request is kept, and how long a request at the end, in seconds.
KEEPALIVE_S = 75.0
SHUTDOWN_S = 60.0


@dataclass
class Response:
    """An answer; ``close``: the caller is to connect anew, and so perhaps to another node."""

    status: int
    body: bytes
    retry_after_s: int = 0
    close: bool = False


def refusal(status: int, error: str, field: str | None = None, retry_after_s: int = 0) -> Response:
    """Return an error answer."""
    return Response(status, _encode(ErrorBody(error, field)), retry_after_s)


def unavailable(error: str, retry_after_s: int = 1) -> Response:
    """Return the answer that this cannot be told or done now; the caller is to come back."""
    return refusal(http_status.UNAVAILABLE, error, retry_after_s=retry_after_s)


#: method, path, body -> response
Handler = Callable[[str, str, bytes], Awaitable[Response]]


class HttpListener(Protocol):
    """What serves one address."""

    async def start(self, address: str) -> None:
        """Listen."""

    async def close(self) -> None:
        """Stop serving."""


class BodyTooLargeError(Exception):
    """The body is over the limit; the rest is not read."""


async def read_body(request: BaseRequest) -> bytes:
    """Read a body of at most the limit."""
    length = request.content_length
    if length is not None and length > MAX_BODY_BYTES:
        raise BodyTooLargeError
    if not request.body_exists:
        return b""
    content = request.content
    if content.is_eof() and content.total_bytes <= MAX_BODY_BYTES:
        # All of it is here, as with nearly every request.
        return content.read_nowait()
    parts: list[bytes] = []
    size = 0
    async for part in content.iter_any():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise BodyTooLargeError
        parts.append(part)
    return b"".join(parts)


@lru_cache(maxsize=1)
def _date(second: int) -> str:
    return formatdate(second, usegmt=True)


#: Answers of one moment differ in a few lengths only.
@lru_cache(maxsize=256)
def _head(status: int, reason: str, length: int, retry_after_s: int, second: int) -> bytes:
    """Return an answer's head, up to what is said of its connection."""
    retry = f"Retry-After: {retry_after_s}\r\n" if retry_after_s else ""
    return (
        f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
        f"Date: {_date(second)}\r\nContent-Length: {length}\r\n{retry}"
    ).encode()


class ReadyResponse(StreamResponse):
    """An answer that is ready: head and body go out in one piece.

    aiohttp's own response makes its head anew each time, from fields that are the same for all
    answers here; with hundreds of reports a second that took a third of a leader's time for
    them.
    """

    def __init__(self, answer: Response, *, close: bool = False) -> None:
        super().__init__(status=answer.status)
        self._close = close
        self._head = _head(
            answer.status, self.reason, len(answer.body), answer.retry_after_s, int(time.time())
        )
        self._content = answer.body

    async def prepare(self, request: BaseRequest) -> AbstractStreamWriter | None:
        """Send the answer."""
        stays = not self._close and request.keep_alive
        if not stays:
            self.force_close()
            self._head += b"Connection: close\r\n"
        elif request.version < HttpVersion11:
            self._head += b"Connection: keep-alive\r\n"
        self._keep_alive = stays
        if request.transport is not None:
            body = b"" if request.method == "HEAD" else self._content
            request.transport.write(self._head + b"\r\n" + body)
        return None

    async def write_eof(self, data: bytes = b"") -> None:
        """Everything has been sent."""


class HttpServer:
    """Serves one address; aiohttp runs a routine per connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server = Server(self._handle, access_log=None, keepalive_timeout=KEEPALIVE_S)
        self._listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, host, port, backlog=BACKLOG)

    async def start_on(self, listening: socket.socket) -> None:
        """Serve a socket that the caller has bound."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, sock=listening, backlog=BACKLOG)

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        close = False
        try:
            body = await read_body(request)
            answer = await self._handler(request.method, request.path, body)
        except BodyTooLargeError:
            # Counts as malformed; the connection cannot be used further, as the rest of
            # the body is still coming.
            answer = refusal(http_status.BAD_REQUEST, f"body of more than {MAX_BODY_BYTES} bytes")
            close = True
        except (aiohttp.ClientError, ConnectionError) as error:
            log.info("request broke off: %r", error)
            raise
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            answer = unavailable("internal error")
        return ReadyResponse(answer, close=close or answer.close)

    async def close(self) -> None:
        """Stop serving; requests that have come are answered."""
        if self._listener is None:
            return
        self._listener.close()
        self._listener = None
        # Whatever has arrived begins to be handled before idle connections are closed.
        await asyncio.sleep(0)
        self._server.pre_shutdown()
        await self._server.shutdown(SHUTDOWN_S)
