"""A small HTTP/1.1 server and client with JSON bodies, on asyncio streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote

HOST = "127.0.0.1"


#: What went wrong in a stand-in: a case with such an entry proves nothing.
faults: list[str] = []


def note_fault(task: "asyncio.Task[None]") -> None:
    """Note the failure of a task that ought not to fail; a task's done callback."""
    if not task.cancelled() and task.exception() is not None:
        faults.append(repr(task.exception()))


class CallFailedError(Exception):
    """A call got no answer: no connection, a lost connection, or no answer in time."""


@dataclass
class Request:
    method: str
    path: str
    query: dict[str, str]
    body: bytes
    #: The length of the line that carried the body, without its end.
    body_bytes: int = field(init=False)

    def __post_init__(self) -> None:
        self.body_bytes = len(self.body)

    def json(self) -> Any:
        return json.loads(self.body) if self.body else None


Answer = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Answer]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves one address; a handler returns a status and a JSON value."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        return self.address

    def stop(self) -> None:
        """Stop at once, as a machine that loses its power."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                request = Request(method, unquote(path), dict(parse_qsl(query)), body)
                status, value = await self._handler(request)
                content = json.dumps(value, separators=(",", ":")).encode()
                close = headers.get("connection", "").lower() == "close"
                head = (
                    f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n"
                    f"{'Connection: close' if close else 'Connection: keep-alive'}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
                if close:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case ends; asyncio would print a traceback for each open connection.
            pass
        except Exception as error:  # noqa: BLE001 - the case has to know of it
            faults.append(repr(error))
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _exchange(
    address: str, method: str, path: str, content: bytes
) -> tuple[int, bytes, dict[str, str]]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + content)
        first, headers = await _read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return int(first.split(" ", 2)[1]), body, headers
    finally:
        writer.transport.abort()


async def call_raw(
    address: str, method: str, path: str, value: Any = None, timeout_s: float = 5.0
) -> tuple[int, bytes, dict[str, str]]:
    """Send a request; return status, body and headers, or raise CallFailedError."""
    content = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    try:
        return await asyncio.wait_for(_exchange(address, method, path, content), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        raise CallFailedError(f"{method} {address}{path}: {error!r}") from error


async def call(
    address: str, method: str, path: str, value: Any = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Send a request; return the status and the decoded body, or raise CallFailedError."""
    status, body, _ = await call_raw(address, method, path, value, timeout_s)
    try:
        return status, json.loads(body) if body else None
    except ValueError as error:
        raise CallFailedError(f"{method} {address}{path}: {error!r}") from error
