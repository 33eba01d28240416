"""Links between controllers, one connection in each direction.

The controller that opens a connection sends requests; the controller that accepts it answers
them. A link records how its last attempt to connect ended. A refused connection usually means
that the peer's machine runs but its process does not. The leader election may use this as a
hint, never as proof.
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

#: If more unsent bytes wait for a peer, the peer does not read, and its connection is dropped.
MAX_UNSENT_BYTES = 1024 * 1024


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one frame and decode its message."""
    length = decode_frame_length(await reader.readexactly(4))
    return decode_message(await reader.readexactly(length))


class PeerLink:
    """The requesting side of the connection to one peer."""

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
        #: The time since which the peer refuses connections (0: it does not).
        self.refused_since_us = 0
        #: When a connection last ended (0: never).
        self.last_disconnect_us = 0
        #: When the current connection was opened (0: there is none).
        self.connected_since_us = 0
        #: When the peer last sent a request on its own connection to this controller.
        self.last_request_us = 0
        #: Set while a connection is open.
        self.connected_event = asyncio.Event()
        #: Whether the peer reaches the state service, by its last pong.
        self.state_ok = False
        #: The newest format that the peer supports, by its last pong; 0: no pong yet.
        self.format = 0
        #: Called with the peer's name when the peer begins to refuse connections.
        self.on_refused: Callable[[str], None] = lambda name: None

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open (the peer may still not answer)."""
        return self._writer is not None

    def is_responsive(self, at_us: int, max_silence_us: int = 1_500_000) -> bool:
        """Whether the peer is connected and sent a message within the last ``max_silence_us``."""
        return self.is_connected and at_us - self.last_message_us < max_silence_us

    def next_id(self) -> int:
        """Return a new request id."""
        self._next_id += 1
        return self._next_id

    async def run(self) -> None:
        """Stay connected and read the peer's answers; a background task."""
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
                self.refused_since_us = now_us()
                self.on_refused(self.name)
            await asyncio.sleep(0.2)
            return
        except (OSError, asyncio.TimeoutError):
            self.refused, self.refused_since_us = False, 0
            await asyncio.sleep(0.2)
            return
        self.refused, self.refused_since_us = False, 0
        self._writer = writer
        self.last_message_us = self.connected_since_us = now_us()
        try:
            writer.write(encode_frame(Hello(self._own_name)))
            self.connected_event.set()
            while True:
                self._receive(await read_message(reader))
        except PeerProtocolError:
            log.exception("peer %s sent an invalid answer, connection closed", self.name)
        except (OSError, asyncio.IncompleteReadError) as error:
            log.info("peer %s: connection ended: %r", self.name, error)
        finally:
            self._handle_disconnect(writer)

    def _receive(self, message: Message) -> None:
        """Deliver a message to the pending request that it answers."""
        self.last_message_us = now_us()
        if isinstance(message, Pong):
            self.state_ok = message.state_ok
            if message.format != self.format:
                log.info("peer %s has format %d", self.name, message.format)
                self.format = message.format
        request = self._pending.pop(getattr(message, "id", -1), None)
        if request is not None and not request.done():
            request.set_result(message)

    def _handle_disconnect(self, writer: asyncio.StreamWriter) -> None:
        """Reset what the peer reported on the connection, and fail the pending requests."""
        self._writer = None
        self.connected_since_us = 0
        self.last_disconnect_us = now_us()
        self.connected_event.clear()
        self.state_ok = False
        self.format = 0
        writer.transport.abort()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(CallError(f"peer {self.name}: connection ended"))
        self._pending.clear()

    def drop(self) -> None:
        """Abort the connection; the background task of ``run`` reconnects."""
        if self._writer is not None:
            self._writer.transport.abort()

    def send(self, message: Message) -> bool:
        """Send a message without waiting for an answer; return false if it cannot be sent."""
        writer = self._writer
        if writer is None:
            return False
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.drop()
            return False
        try:
            writer.write(encode_frame(message))
        except (OSError, RuntimeError) as error:
            # The connection has just been lost, and its reader has not noticed that yet.
            log.info("peer %s: message not sent, connection lost: %r", self.name, error)
            return False
        return True

    async def request(self, message: Message, answer_type: type[M], timeout_us: int) -> M:
        """Send a request and return its answer; NotConnectedError if it could not be sent."""
        request_id: int = getattr(message, "id")  # noqa: B009  (all requests have one)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            if not self.send(message):
                raise NotConnectedError(f"peer {self.name}: no connection")
            answer = await asyncio.wait_for(future, timeout_us / SECOND_US)
        except asyncio.TimeoutError as error:
            raise CallError(f"peer {self.name}: no answer within {timeout_us} us") from error
        finally:
            self._pending.pop(request_id, None)
        if not isinstance(answer, answer_type):
            raise CallError(
                f"peer {self.name}: answer is a {type(answer).__name__}, "
                f"not a {answer_type.__name__}"
            )
        return answer


Handler = Callable[[str, Message], Awaitable[Message | None]]


class PeerServer:
    """The answering side: runs one coroutine per incoming connection."""

    def __init__(
        self, handler: Handler, background_tasks: BackgroundTasks, peer_names: set[str]
    ) -> None:
        self._handler = handler
        self._background_tasks = background_tasks
        self._peer_names = peer_names
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Start listening on the address, given as ``host:port``."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = "?"
        try:
            hello = await asyncio.wait_for(read_message(reader), 5.0)
            if not isinstance(hello, Hello) or hello.name not in self._peer_names:
                raise PeerProtocolError("first message is not a Hello of a known peer")
            name = hello.name
            while True:
                message = await read_message(reader)
                if isinstance(message, Ping):
                    await self._answer(name, message, writer)
                else:
                    # A slow request must not delay the pings that follow it.
                    self._background_tasks.spawn(
                        "peer request", self._answer(name, message, writer)
                    )
        except PeerProtocolError:
            log.exception("peer %s sent an invalid message, connection closed", name)
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
