"""The HTTP server for users, workers and health checks."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
import msgspec
from aiohttp import web

from weldhead.protocol.settings import split_address
from weldhead.protocol.wire import MAX_BODY_BYTES, ErrorBody

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode


@dataclass
class Response:
    """An answer."""

    status: int
    body: bytes
    retry_after_s: int = 0


def refusal(status: int, error: str, field: str | None = None, retry_after_s: int = 0) -> Response:
    """Return an error answer."""
    return Response(status, _encode(ErrorBody(error, field)), retry_after_s)


#: method, path, body -> response
Handler = Callable[[str, str, bytes], Awaitable[Response]]


class BodyTooLarge(Exception):
    """The body is over the limit; the rest is not read."""


async def read_body(request: web.BaseRequest) -> bytes:
    """Read a body of at most the limit."""
    if request.content_length is not None and request.content_length > MAX_BODY_BYTES:
        raise BodyTooLarge
    if not request.body_exists:
        return b""
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise BodyTooLarge
        parts.append(part)
    return b"".join(parts)


class HttpServer:
    """Serves one address; aiohttp runs a routine per connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server = web.Server(self._handle, access_log=None, keepalive_timeout=75.0)
        self._runner = web.ServerRunner(self._server)

    async def start(self, address: str) -> None:
        """Listen."""
        host, port = split_address(address)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, backlog=1024).start()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        close = False
        try:
            body = await read_body(request)
            answer = await self._handler(request.method, request.path, body)
        except BodyTooLarge:
            # Counts as malformed; the connection cannot be used further, as the rest of
            # the body is still coming.
            answer = refusal(400, f"body of more than {MAX_BODY_BYTES} bytes")
            close = True
        except (aiohttp.ClientError, ConnectionError) as error:
            log.info("request broke off: %r", error)
            raise
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            answer = refusal(503, "internal error", retry_after_s=1)
        headers = {"Content-Type": "application/json"}
        if answer.retry_after_s:
            headers["Retry-After"] = str(answer.retry_after_s)
        response = web.Response(status=answer.status, body=answer.body, headers=headers)
        if close:
            response.force_close()
        return response

    async def close(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()
