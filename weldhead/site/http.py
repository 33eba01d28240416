"""HTTP server, replies and listening sockets shared by the site's processes."""

import logging
import socket
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from weldhead.protocol.wire import MAX_BODY_BYTES
from weldhead.transport.http_server import BodyTooLargeError, read_body

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode


class Reply(msgspec.Struct):
    """An HTTP response; a ``retry_after_s`` above 0 is sent as its ``Retry-After`` header."""

    status: int
    body: bytes
    retry_after_s: int = 0
    content_type: str = "application/json"


def reply(status: int, value: object) -> Reply:
    """Return a reply whose body is the value as JSON."""
    return Reply(status, _encode(value))


def error(status: int, text: str, retry_after_s: int = 0) -> Reply:
    """Return a reply whose JSON body holds the text as ``error``."""
    return Reply(status, _encode({"error": text}), retry_after_s)


def parse_count(text: str) -> int:
    """Parse a non-negative decimal integer from a URL path or query; ValueError otherwise."""
    if not text.isascii() or not text.isdecimal() or len(text) > 20:
        raise ValueError(f"not a count: {text[:40]!r}")
    return int(text)


#: A coroutine function that answers a request, given the request and its body.
Handler = Callable[[web.BaseRequest, bytes], Awaitable[Reply]]


class SiteServer:
    """Passes HTTP requests from a listening socket to a handler.

    A handler's unexpected exception is logged and answered with status 503.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        server = web.Server(self._serve, access_log=None, keepalive_timeout=75.0)
        self._runner = web.ServerRunner(server, shutdown_timeout=1.0)

    async def start(self, listener: socket.socket) -> None:
        """Start to serve requests on a listening socket."""
        await self._runner.setup()
        await web.SockSite(self._runner, listener, backlog=1024).start()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        close_connection = False
        try:
            body = await read_body(request)
            answer = await self._handler(request, body)
        except BodyTooLargeError:
            answer, close_connection = error(400, f"body of more than {MAX_BODY_BYTES} bytes"), True
        except ConnectionError:
            raise
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            answer = error(503, "internal error", 1)
        headers = {"Content-Type": answer.content_type}
        if answer.retry_after_s:
            headers["Retry-After"] = str(answer.retry_after_s)
        response = web.Response(status=answer.status, body=answer.body, headers=headers)
        if close_connection:
            response.force_close()
        return response

    async def close(self) -> None:
        """Stop serving and close the connections."""
        await self._runner.cleanup()


def listen(host: str, port: int) -> socket.socket:
    """Open a listening TCP socket; for port 0 the system picks a free port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(1024)
    except OSError:
        listener.close()
        raise
    return listener
