"""The bytes that the HTTP server sends on a connection.

The server builds its response headers itself (``PrebuiltResponse``) instead of
aiohttp, so the tests read the raw bytes.
"""

import asyncio
import socket

from weldhead.transport.http_server import HttpServer, Response


async def exchange(raw: bytes) -> bytes:
    """Send bytes on one connection; return all bytes received until the server closes it."""
    requests: list[tuple[str, str, bytes]] = []

    async def handle(method: str, path: str, body: bytes) -> Response:
        requests.append((method, path, body))
        return Response(
            503 if path == "/busy" else 200, b'{"n":%d}' % len(body), int(path == "/busy")
        )

    server = HttpServer(handle)
    bound_socket = socket.create_server(("127.0.0.1", 0))
    port = bound_socket.getsockname()[1]
    await server.start_on_socket(bound_socket)
    try:
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(raw)
            received = await reader.read()
            writer.close()
            return received
    finally:
        await server.close()


def request(method: str, path: str, body: bytes = b"", close: bool = False) -> bytes:
    connection = "Connection: close\r\n" if close else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{connection}\r\n"
    return head.encode() + body


def test_connection_stays_open_until_request_asks_to_close() -> None:
    raw = request("POST", "/v1/report", b"x" * 5_000) + request("GET", "/ready", close=True)
    first, second = asyncio.run(exchange(raw)).split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"200 OK\r\n") and first.endswith(b'\r\n\r\n{"n":5000}')
    assert b"Connection:" not in first and b"Content-Length: 10\r\n" in first
    assert b"Content-Type: application/json\r\n" in first and b"Date: " in first
    assert second.endswith(b'\r\n\r\n{"n":0}') and b"Connection: close\r\n" in second


def test_unavailable_response_has_retry_after_header() -> None:
    answer = asyncio.run(exchange(request("GET", "/busy", close=True)))
    assert answer.startswith(b"HTTP/1.1 503 Service Unavailable\r\n")
    assert b"Retry-After: 1\r\n" in answer


def test_http_1_0_connection_closes_unless_keep_alive() -> None:
    answer = asyncio.run(exchange(b"GET /ready HTTP/1.0\r\nHost: x\r\n\r\n"))
    assert b"Connection: close\r\n" in answer
    keep_alive_request = b"GET /ready HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
    answer = asyncio.run(exchange(keep_alive_request + request("GET", "/ready", close=True)))
    assert answer.count(b"HTTP/1.1 200 OK") == 2 and b"Connection: keep-alive\r\n" in answer
