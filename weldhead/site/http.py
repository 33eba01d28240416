"""What the site's HTTP servers share."""

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
    """Status and body of an answer, and when to come back (seconds, 0: not said)."""

    status: int
    body: bytes
    retry_after_s: int = 0
    kind: str = "application/json"


def reply(status: int, value: object) -> Reply:
    """Answer with a value as JSON."""
    return Reply(status, _encode(value))


def error(status: int, text: str, retry_after_s: int = 0) -> Reply:
    """Answer with a reason."""
    return Reply(status, _encode({"error": text}), retry_after_s)


def integer(text: str) -> int:
    """Read a count from a path or query; ValueError if it is none."""
    if not text.isascii() or not text.isdecimal() or len(text) > 20:
        raise ValueError(f"not a count: {text[:40]!r}")
    return int(text)


Handler = Callable[[web.BaseRequest, bytes], Awaitable[Reply]]


class SiteServer:
    """Serves a handler on a listening socket that its caller made."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        server = web.Server(self._serve, access_log=None, keepalive_timeout=75.0)
        self._runner = web.ServerRunner(server, shutdown_timeout=1.0)

    async def start(self, listening: socket.socket) -> None:
        """Serve."""
        await self._runner.setup()
        await web.SockSite(self._runner, listening, backlog=1024).start()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        close = False
        try:
            body = await read_body(request)
            answer = await self._handler(request, body)
        except BodyTooLargeError:
            answer, close = error(400, f"body of more than {MAX_BODY_BYTES} bytes"), True
        except ConnectionError:
            raise
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            answer = error(503, "internal error", 1)
        headers = {"Content-Type": answer.kind}
        if answer.retry_after_s:
            headers["Retry-After"] = str(answer.retry_after_s)
        response = web.Response(status=answer.status, body=answer.body, headers=headers)
        if close:
            response.force_close()
        return response

    async def close(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket; port 0 picks one."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        made.bind((host, port))
        made.listen(1024)
    except OSError:
        made.close()
        raise
    return made
