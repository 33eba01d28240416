"""The HTTP server's ready-made answers, as a client on a socket sees them."""

import asyncio
import socket

from weldhead.transport.http_server import HttpServer, Response


async def answers(raw: bytes) -> bytes:
    """Send bytes on one connection and return all that comes back until it ends."""
    seen: list[tuple[str, str, bytes]] = []

    async def handle(method: str, path: str, body: bytes) -> Response:
        seen.append((method, path, body))
        return Response(
            503 if path == "/busy" else 200, b'{"n":%d}' % len(body), int(path == "/busy")
        )

    server = HttpServer(handle)
    listening = socket.create_server(("127.0.0.1", 0))
    port = listening.getsockname()[1]
    await server.start_on(listening)
    try:
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(raw)
            found = await reader.read()
            writer.close()
            return found
    finally:
        await server.close()


def request(method: str, path: str, body: bytes = b"", close: bool = False) -> bytes:
    ends = "Connection: close\r\n" if close else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{ends}\r\n"
    return head.encode() + body


def test_a_connection_serves_on_until_it_is_asked_to_close() -> None:
    raw = request("POST", "/v1/report", b"x" * 5_000) + request("GET", "/ready", close=True)
    first, second = asyncio.run(answers(raw)).split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"200 OK\r\n") and first.endswith(b'\r\n\r\n{"n":5000}')
    assert b"Connection:" not in first and b"Content-Length: 10\r\n" in first
    assert b"Content-Type: application/json\r\n" in first and b"Date: " in first
    assert second.endswith(b'\r\n\r\n{"n":0}') and b"Connection: close\r\n" in second


def test_who_is_refused_is_told_when_to_come_back() -> None:
    answer = asyncio.run(answers(request("GET", "/busy", close=True)))
    assert answer.startswith(b"HTTP/1.1 503 Service Unavailable\r\n")
    assert b"Retry-After: 1\r\n" in answer


def test_the_first_version_of_http_is_closed_unless_it_asks_otherwise() -> None:
    answer = asyncio.run(answers(b"GET /ready HTTP/1.0\r\nHost: x\r\n\r\n"))
    assert b"Connection: close\r\n" in answer
    kept = b"GET /ready HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
    answer = asyncio.run(answers(kept + request("GET", "/ready", close=True)))
    assert answer.count(b"HTTP/1.1 200 OK") == 2 and b"Connection: keep-alive\r\n" in answer
