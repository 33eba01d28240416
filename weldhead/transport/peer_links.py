"""Links between controllers, one connection in each direction.

The caller of a connection asks, the other side answers. A link knows how the last attempt
to connect ended: a refusal while the machine answers usually means that no process is
there, which the leadership may use as a hint (never as proof).
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from weldhead.clock import SECOND_US, now_us
from weldhead.protocol.peer import (
    ForwardedAnswer,
    Hello,
    IndirectProbeAnswer,
    Message,
    PeerProtocolError,
    Ping,
    Pong,
    PromiseAnswer,
    decode_frame_length,
    decode_message,
    encode_frame,
)
from weldhead.protocol.settings import PeerSettings, split_address
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, NotConnectedError

log = logging.getLogger(__name__)

M = TypeVar("M", ForwardedAnswer, Pong, PromiseAnswer, IndirectProbeAnswer)

#: More waiting bytes than this to one peer: it does not read, the connection is dropped.
WRITE_LIMIT = 1024 * 1024


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one frame."""
    length = decode_frame_length(await reader.readexactly(4))
    return decode_message(await reader.readexactly(length))


class PeerLink:
    """The calling side of a connection to one peer."""

    def __init__(self, peer: PeerSettings, own_name: str) -> None:
        self.name = peer.name
        self.zone = peer.zone
        self._address = split_address(peer.address)
        self._own_name = own_name
        self._writer: asyncio.StreamWriter | None = None
        self._pending: dict[int, asyncio.Future[Message]] = {}
        self._next_id = 0
        self.last_message_us = 0
        self.refused = False
        #: Since when connections are refused, and when one ended last (0: never).
        self.refused_us = 0
        self.lost_us = 0
        #: When the connection that is up came about (0: none is).
        self.connected_us = 0
        #: When the peer last spoke on its own connection to us.
        self.last_request_us = 0
        #: Set while a connection is up.
        self.up = asyncio.Event()
        self.state_ok = False
        #: The format that the peer's process has said to know; 0: it has not answered yet.
        self.format = 0
        #: Called with the peer's name when its process seems to be gone.
        self.on_refused: Callable[[str], None] = lambda name: None

    @property
    def connected(self) -> bool:
        """Whether a connection is up (the peer may be silent all the same)."""
        return self._writer is not None

    def alive(self, at_us: int, within_us: int = 1_500_000) -> bool:
        """Whether the peer answered lately."""
        return self.connected and at_us - self.last_message_us < within_us

    def next_id(self) -> int:
        """Return a request id."""
        self._next_id += 1
        return self._next_id

    async def run(self) -> None:
        """Connect and read answers, again and again; a background task."""
        while True:
            await self._connect()
            await asyncio.sleep(0.1)

    async def _connect(self) -> None:
        """Connect and read answers until the connection ends."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self._address), timeout=1.0
            )
        except ConnectionRefusedError:
            if not self.refused:
                self.refused = True
                self.refused_us = now_us()
                self.on_refused(self.name)
            await asyncio.sleep(0.2)
            return
        except (OSError, asyncio.TimeoutError):
            self.refused, self.refused_us = False, 0
            await asyncio.sleep(0.2)
            return
        self.refused, self.refused_us = False, 0
        self._writer = writer
        self.last_message_us = self.connected_us = now_us()
        try:
            writer.write(encode_frame(Hello(self._own_name)))
            self.up.set()
            while True:
                self._receive(await read_message(reader))
        except PeerProtocolError:
            log.exception("peer %s sent a malformed message, connection closed", self.name)
        except (OSError, asyncio.IncompleteReadError) as error:
            log.info("peer %s: connection ended: %r", self.name, error)
        finally:
            self._disconnected(writer)

    def _receive(self, message: Message) -> None:
        """Hand a message to whoever waits for it."""
        self.last_message_us = now_us()
        if isinstance(message, Pong):
            self.state_ok = message.state_ok
            if message.format != self.format:
                log.info("peer %s has format %d", self.name, message.format)
                self.format = message.format
        waiting = self._pending.pop(getattr(message, "id", -1), None)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    def _disconnected(self, writer: asyncio.StreamWriter) -> None:
        """Forget what the connection told, and fail what waits on it."""
        self._writer = None
        self.connected_us = 0
        self.lost_us = now_us()
        self.up.clear()
        self.state_ok = False
        self.format = 0
        writer.transport.abort()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(CallError(f"peer {self.name}: connection ended"))
        self._pending.clear()

    def drop(self) -> None:
        """Give the connection up; the background task connects anew."""
        if self._writer is not None:
            self._writer.transport.abort()

    def send(self, message: Message) -> bool:
        """Send without waiting for an answer; false if no connection is up."""
        writer = self._writer
        if writer is None:
            return False
        if writer.transport.get_write_buffer_size() > WRITE_LIMIT:
            self.drop()
            return False
        try:
            writer.write(encode_frame(message))
        except (OSError, RuntimeError) as error:
            # The connection broke a moment ago and its reader has not been told yet.
            log.info("peer %s: cannot send: %r", self.name, error)
            return False
        return True

    async def request(self, message: Message, kind: type[M], timeout_us: int) -> M:
        """Send a request and return its answer; NotConnectedError if it was never sent."""
        request_id: int = getattr(message, "id")  # noqa: B009  (all requests have one)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            if not self.send(message):
                raise NotConnectedError(f"peer {self.name}: no connection")
            answer = await asyncio.wait_for(future, timeout_us / SECOND_US)
        except asyncio.TimeoutError as error:
            raise CallError(f"peer {self.name}: no answer") from error
        finally:
            self._pending.pop(request_id, None)
        if not isinstance(answer, kind):
            raise CallError(f"peer {self.name}: wrong kind of answer")
        return answer


Handler = Callable[[str, Message], Awaitable[Message | None]]


class PeerServer:
    """The answering side: each incoming connection has its own routine."""

    def __init__(
        self, handler: Handler, background_tasks: BackgroundTasks, names: set[str]
    ) -> None:
        self._handler = handler
        self._duties = background_tasks
        self._names = names
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = "?"
        try:
            hello = await asyncio.wait_for(read_message(reader), 5.0)
            if not isinstance(hello, Hello) or hello.name not in self._names:
                raise PeerProtocolError("no greeting from a known peer")
            name = hello.name
            while True:
                message = await read_message(reader)
                if isinstance(message, Ping):
                    await self._answer(name, message, writer)
                else:
                    # A slow request must not hold up the pings behind it.
                    self._duties.spawn("peer request", self._answer(name, message, writer))
        except PeerProtocolError:
            log.exception("peer %s sent a malformed message, connection closed", name)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, name: str, message: Message, writer: asyncio.StreamWriter) -> None:
        answer = await self._handler(name, message)
        if answer is not None and not writer.is_closing():
            writer.write(encode_frame(answer))

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
