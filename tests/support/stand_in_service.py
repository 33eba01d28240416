"""A stand-in for the service as users see it, and a proxy that cuts connections anywhere."""

import asyncio
import contextlib
import socket
import struct
import threading
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator

import msgspec
from aiohttp import web

from tests.support.loopback import served
from weldhead.site.http import Reply, error, reply


class StandInService:
    """Accepts, tells and withdraws jobs as PROTOCOL says; tests say what goes wrong.

    ``fates`` are taken by the next requests: ``ok``; ``held``: carried out only by
    :meth:`release`, answered with 504; ``503``; ``422``; ``nonsense``; ``missing``: 404.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, str] = {}
        self.bodies: dict[str, bytes] = {}
        self.accepted: list[str] = []
        self.calls: Counter[str] = Counter()
        self.fates: list[str] = []
        self.held: list[tuple[str, str, bytes]] = []
        #: After so many polls a job is done; -1: never.
        self.done_after = 1
        self.polled: Counter[str] = Counter()
        self.retry_after_s = 0
        self.before: Callable[[str], None] = lambda verb: None

    async def handle(self, request: web.BaseRequest, body: bytes) -> Reply:
        parts = request.path.strip("/").split("/")
        verb = {("POST", 1): "submit", ("GET", 2): "poll", ("POST", 3): "cancel"}.get(
            (request.method, len(parts)), ""
        )
        if parts[0] != "submissions" or not verb:
            return error(404, "no such call")
        self.calls[verb] += 1
        self.before(verb)
        job_id = parts[1] if len(parts) > 1 else ""
        match self.fates.pop(0) if self.fates else "ok":
            case "held":
                self.held.append((verb, job_id, body))
                return error(504, "held")
            case "503":
                return error(503, "not now", self.retry_after_s)
            case "422":
                return reply(422, {"error": "cores: too many", "field": "cores"})
            case "missing":
                return error(404, "no such job")
            case "nonsense":
                return Reply(200, b'{"uid":"run-1","status":"perhaps"}')
        return self.execute(verb, job_id, body)

    def execute(self, verb: str, job_id: str, body: bytes) -> Reply:
        if verb == "submit":
            job_id = msgspec.json.decode(body)["uid"]
            fresh = job_id not in self.jobs
            if fresh:
                self.jobs[job_id] = "pending"
                self.bodies[job_id] = body
                self.accepted.append(job_id)
            return reply(201 if fresh else 200, {"uid": job_id, "status": self.jobs[job_id]})
        if job_id not in self.jobs:
            return error(404, "no such job")
        if verb == "cancel" and self.jobs[job_id] != "done":
            self.jobs[job_id] = "withdrawn"
        if verb == "poll" and self.jobs[job_id] == "pending" and self.done_after >= 0:
            self.polled[job_id] += 1
            if self.polled[job_id] >= self.done_after:
                self.jobs[job_id] = "done"
        return reply(200, {"uid": job_id, "status": self.jobs[job_id], "done": 0, "running": 0})

    def release(self) -> None:
        """What was held back arrives now."""
        for verb, job_id, body in self.held:
            self.execute(verb, job_id, body)
        self.held.clear()


@contextlib.contextmanager
def in_a_thread(service: StandInService) -> Iterator[str]:
    """Serve from a thread, for callers that are other processes; yields the address."""
    ready: list[str] = []
    up, over = threading.Event(), threading.Event()

    async def run() -> None:
        async with served(service.handle) as address:
            ready.append(address)
            up.set()
            await asyncio.to_thread(over.wait)

    thread = threading.Thread(target=lambda: asyncio.run(run()), daemon=True)
    thread.start()
    assert up.wait(10)
    try:
        yield ready[0]
    finally:
        over.set()
        thread.join(10)


def _abort(writer: asyncio.StreamWriter) -> None:
    """Reset the connection: whoever reads from it gets an error, not an end."""
    made = writer.get_extra_info("socket")
    if made is not None:
        with contextlib.suppress(OSError):
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class CuttingProxy:
    """One request a connection; ``cuts`` has for each verb where its next requests are cut.

    A cut is ``("request", n)``: n bytes of the request are passed on, or ``("answer", n)``:
    the request is passed on whole, and n bytes of its answer come back. ``sizes`` has the
    lengths of each verb's last whole request and answer.
    """

    def __init__(self, target: str) -> None:
        self.host, _, port = target.partition(":")
        self.port = int(port)
        self.cuts: dict[str, list[tuple[str, int]]] = {}
        self.sizes: dict[str, tuple[int, int]] = {}
        self.made = 0
        self.on_answer: Callable[[str], bool] = lambda verb: False

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0, backlog=1024)
        try:
            yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        finally:
            server.close()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await _message(reader)
            verb = _verb(request)
            cuts = self.cuts.get(verb, [])
            side, length = cuts.pop(0) if cuts else ("", -1)
            self.made += side != ""
            to_reader, to_writer = await asyncio.open_connection(self.host, self.port)
            try:
                to_writer.write(request[:length] if side == "request" else request)
                await to_writer.drain()
                if side == "request" and length < len(request):
                    return
                answer = await _message(to_reader)
                self.sizes[verb] = (len(request), len(answer))
                if self.on_answer(verb):
                    return
                writer.write(answer[:length] if side else answer)
                await writer.drain()
            finally:
                _abort(to_writer)
            if not side:
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if not writer.is_closing():
                _abort(writer)


async def _message(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return head + await reader.readexactly(int(line.split(b":")[1]))
    return head


def _verb(request: bytes) -> str:
    line = request.split(b"\r\n", 1)[0]
    if line.startswith(b"GET"):
        return "poll"
    return "cancel" if b"/cancel" in line else "submit"
