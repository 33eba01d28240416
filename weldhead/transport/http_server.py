"""The HTTP server for users, workers and health checks.

Only the low-level server of aiohttp is imported: its routing, file serving and application
runner took 1.4 MB of memory that no controller used.
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

#: The maximum number of connections that wait to be accepted.
MAX_PENDING_CONNECTIONS = 1024
#: The time after which a connection without a request is closed.
KEEPALIVE_TIMEOUT_S = 75.0
#: The time that running requests have to finish when the server is closed.
SHUTDOWN_TIMEOUT_S = 60.0


@dataclass
class Response:
    """An HTTP response.

    ``close`` closes the connection afterwards, so that the client connects again, perhaps to
    another controller.
    """

    status: int
    body: bytes
    retry_after_s: int = 0
    close: bool = False


def error_response(
    status: int, error: str, field: str | None = None, retry_after_s: int = 0
) -> Response:
    """Return a response with an error message and, if known, the name of the invalid field."""
    return Response(status, _encode(ErrorBody(error, field)), retry_after_s)


def unavailable_response(error: str, retry_after_s: int = 1) -> Response:
    """Return a 503 response that tells the client to retry after ``retry_after_s`` seconds."""
    return error_response(http_status.UNAVAILABLE, error, retry_after_s=retry_after_s)


#: Takes the method, the path and the body of a request.
Handler = Callable[[str, str, bytes], Awaitable[Response]]


class HttpListener(Protocol):
    """A server that listens on one address."""

    async def start(self, address: str) -> None:
        """Start listening on the address."""

    async def close(self) -> None:
        """Stop listening."""


class BodyTooLargeError(Exception):
    """A request body exceeds ``MAX_BODY_BYTES``; the rest of the body is not read."""


async def read_body(request: BaseRequest) -> bytes:
    """Read a request's body; BodyTooLargeError if it exceeds ``MAX_BODY_BYTES``."""
    length = request.content_length
    if length is not None and length > MAX_BODY_BYTES:
        raise BodyTooLargeError
    if not request.body_exists:
        return b""
    content = request.content
    if content.is_eof() and content.total_bytes <= MAX_BODY_BYTES:
        # The whole body has already arrived, as with nearly every request.
        return content.read_nowait()
    chunks: list[bytes] = []
    size = 0
    async for chunk in content.iter_any():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise BodyTooLargeError
        chunks.append(chunk)
    return b"".join(chunks)


@lru_cache(maxsize=1)
def _format_date(second: int) -> str:
    return formatdate(second, usegmt=True)


#: Within a second, responses differ only in a few body lengths.
@lru_cache(maxsize=256)
def _build_head(status: int, reason: str, length: int, retry_after_s: int, second: int) -> bytes:
    """Return the status line and the headers, without ``Connection`` and the final empty line."""
    retry = f"Retry-After: {retry_after_s}\r\n" if retry_after_s else ""
    return (
        f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
        f"Date: {_format_date(second)}\r\nContent-Length: {length}\r\n{retry}"
    ).encode()


class PrebuiltResponse(StreamResponse):
    """A response whose headers and body are sent in a single write.

    aiohttp's own response builds its headers again for each response, from fields that are the
    same for all responses here. With hundreds of worker reports per second, this took a third
    of the time that a leader spent on the reports.
    """

    def __init__(self, response: Response, *, close: bool = False) -> None:
        super().__init__(status=response.status)
        self._close = close
        self._head = _build_head(
            response.status,
            self.reason,
            len(response.body),
            response.retry_after_s,
            int(time.time()),
        )
        self._content = response.body

    async def prepare(self, request: BaseRequest) -> AbstractStreamWriter | None:
        """Send the headers and the body."""
        keep_open = not self._close and request.keep_alive
        if not keep_open:
            self.force_close()
            self._head += b"Connection: close\r\n"
        elif request.version < HttpVersion11:
            self._head += b"Connection: keep-alive\r\n"
        self._keep_alive = keep_open
        if request.transport is not None:
            body = b"" if request.method == "HEAD" else self._content
            request.transport.write(self._head + b"\r\n" + body)
        return None

    async def write_eof(self, data: bytes = b"") -> None:
        """Do nothing: ``prepare`` has already sent the whole response."""


class HttpServer:
    """Serves HTTP on one address; aiohttp runs one coroutine per connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server = Server(self._handle, access_log=None, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        self._listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Start listening on the address, given as ``host:port``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, port, backlog=MAX_PENDING_CONNECTIONS
        )

    async def start_on_socket(self, bound_socket: socket.socket) -> None:
        """Start serving on a socket that the caller has bound."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, sock=bound_socket, backlog=MAX_PENDING_CONNECTIONS
        )

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        close = False
        try:
            body = await read_body(request)
            response = await self._handler(request.method, request.path, body)
        except BodyTooLargeError:
            # An oversized body counts as a malformed request. The rest of the body is still
            # arriving, so the connection cannot be used for another request.
            response = error_response(
                http_status.BAD_REQUEST, f"body of more than {MAX_BODY_BYTES} bytes"
            )
            close = True
        except (aiohttp.ClientError, ConnectionError) as error:
            log.info("connection lost while a request was read or answered: %r", error)
            raise
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            response = unavailable_response("internal error")
        return PrebuiltResponse(response, close=close or response.close)

    async def close(self) -> None:
        """Stop listening and return after the requests that have arrived are answered."""
        if self._listener is None:
            return
        self._listener.close()
        self._listener = None
        # Let handlers start for the requests that have arrived; idle connections close next.
        await asyncio.sleep(0)
        self._server.pre_shutdown()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
