"""A small HTTP server and client on aiohttp, both with JSON bodies."""

import contextlib
import json
import logging
import random
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "target" / "deps"))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

# A connection that a handler resets is meant to be reset.
logging.getLogger("aiohttp").setLevel(logging.CRITICAL)

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Answer | None]]


#: A loopback address of this run alone, so that runs at the same time don't share ports.
HOST = ".".join(["127", *(str(random.randrange(1, 255)) for _ in range(3))])

_given_ports: set[int] = set()


def free_port() -> int:
    """A free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


class Listener:
    """Serves one address; a handler that returns None resets the connection unanswered."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._runner = web.ServerRunner(
            web.Server(self._serve, access_log=None, keepalive_timeout=600.0), shutdown_timeout=0.1
        )
        self.address = ""

    async def start(self, port: int = 0) -> str:
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, port or free_port(), reuse_address=True)
        await site.start()
        self.address = site.name.removeprefix("http://")
        return self.address

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        raw = await request.read()
        try:
            body = json.loads(raw) if raw else None
        except ValueError:
            return _response(400, {"error": "not JSON"})
        answer = await self._handler(request.method, request.path, dict(request.query), body)
        if answer is None:
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError
        return _response(*answer)

    async def close(self) -> None:
        await self._runner.cleanup()


def _response(status: int, body: Any) -> web.Response:
    return web.Response(status=status, body=json.dumps(body), content_type="application/json")


class Client:
    """Calls by HTTP; status 0 stands for no answer."""

    def __init__(self, *, keep_open: bool) -> None:
        connector = aiohttp.TCPConnector(limit=0, force_close=not keep_open)
        self._session = aiohttp.ClientSession(connector=connector)

    async def call(
        self, method: str, address: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> Answer:
        data = None if body is None else json.dumps(body).encode()
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                text = await response.read()
                return response.status, json.loads(text) if text else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return 0, {"error": type(error).__name__}

    async def close(self) -> None:
        await self._session.close()
