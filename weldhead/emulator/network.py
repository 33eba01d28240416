"""The network between simulated machines: it delays, loses, holds back, cuts and refuses.

HTTP calls cross it as whole messages (the controllers' client and server are replaced at
``HttpClient.call`` and ``HttpServer``); links between controllers cross it as bytes of a
connection. Whatever has been sent arrives, is held back until a cut ends, or is lost with
its connection, whether or not its sender still waits.
"""

import asyncio
import contextlib
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from contextvars import Context, ContextVar
from dataclasses import dataclass
from typing import Any, Literal

from weldhead.clock import SECOND_US
from weldhead.emulator.command_copies import AnsweredCommands, CommandCopies
from weldhead.emulator.loop import ProcessInstance, VirtualLoop, current_life
from weldhead.emulator.processor import packet_us, request_us
from weldhead.transport.http_client import CallError, HttpClient, NotConnectedError
from weldhead.transport.http_server import Handler, Response

#: ``deaf``: connections come about, and of what is sent on them half arrives after the cut.
#: ``mute``: no connection comes about from this side; those from the other side work both ways.
Mode = Literal["hold", "drop", "reset", "refuse", "deaf", "mute"]
#: method, path with query, body -> status, body, seconds after which to come back
Serve = Callable[[str, str, bytes], Awaitable[Response]]


@dataclass(frozen=True)
class LinkConditions:
    """How the network is: one way in seconds, and shares of messages."""

    delay_s: float = 0.001
    jitter: float = 0.5
    #: Messages that are sent again after a second.
    resent: float = 0.001
    #: Messages lost with their connection.
    lost: float = 0.0
    #: Requests that arrive late, by up to so many seconds.
    late: float = 0.0
    late_s: float = 0.0


@dataclass(frozen=True)
class DelayedMessage:
    """A share of messages that are held up on their way, by how much at least and at most."""

    share: float
    least_s: float
    most_s: float


@dataclass
class _Listener:
    life: ProcessInstance
    serve: Serve | None
    factory: Callable[[], Any] | None


class Network:
    """All connections of a simulated site."""

    def __init__(self, loop: VirtualLoop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self.weather = LinkConditions()
        self._listeners: dict[str, _Listener] = {}
        #: Whose address it is, and whether that machine has power.
        self._machines: dict[str, str] = {}
        self.dark: set[str] = set()
        self._cuts: dict[tuple[str, str], list[Mode]] = defaultdict(list)
        self._held: dict[tuple[str, str], list[Callable[[], None]]] = defaultdict(list)
        self._streams: list[_Stream] = []
        #: Whose request is being served.
        self.caller: ContextVar[str] = ContextVar("caller", default="")
        #: Calls by (machine that calls, machine called).
        self.calls: Counter[tuple[str, str]] = Counter()
        self.bytes = 0
        #: The share of reports of which a copy comes again, up to so much later, at any of
        #: the addresses that reports are sent to; its answer goes nowhere.
        self.copied, self.copied_s = 0.0, 0.0
        self._reported_to: dict[str, None] = {}
        #: The share of reports that are kept, to come again later; and those that were.
        self.keeps = 0.0
        self.kept: list[tuple[str, bytes]] = []
        #: Whose direct commands are held up and stay unanswered.
        self.commands_held_up: dict[str, DelayedMessage] = {}
        self.commands_held = self.kept_delivered = 0
        self.command_copies = CommandCopies(rng, self._deliver_again)
        #: Who is told of each request just before it leaves (caller, called, path, body), of
        #: each answer (called, caller, path, answer), and of requests that were sent and got no
        #: answer (as of those that leave).
        self.on_sent: list[Callable[[str, str, str, bytes], None]] = []
        self.on_answered: list[Callable[[str, str, str, Response], None]] = []
        self.on_given_up: list[Callable[[str, str, str, bytes], None]] = []
        loop.dial = self._dial
        loop.answer = self._listen_stream

    # -- who is where ----------------------------------------------------------------------

    def listen(self, life: ProcessInstance, address: str, serve: Serve) -> None:
        """Serve HTTP at an address."""
        self._machines[address] = life.machine
        self._listeners[address] = _Listener(life, serve, None)

    def _listen_stream(self, factory: Callable[[], Any], address: str) -> "_Server":
        life = current_life()
        assert life is not None
        self._machines[address] = life.machine
        self._listeners[address] = _Listener(life, None, factory)
        return _Server()

    def known(self, address: str, machine: str) -> None:
        """Say whose address it is, before anything listens there."""
        self._machines[address] = machine

    def _listener(self, address: str) -> _Listener | None:
        found = self._listeners.get(address)
        return None if found is None or found.life.ended else found

    def ended(self, life: ProcessInstance) -> None:
        """A process has ended: its connections are reset."""
        for stream in [s for s in self._streams if life in (s.life, s.other.life)]:
            stream.break_off()

    # -- cuts ------------------------------------------------------------------------------

    def cut(self, source: str, target: str, mode: Mode) -> None:
        """From now on, messages of this direction are treated so."""
        self._cuts[source, target].append(mode)
        if mode in ("reset", "refuse"):
            for stream in list(self._streams):
                if {stream.life.machine, stream.other.life.machine} == {source, target}:
                    stream.break_off()

    def heal(self, source: str, target: str, mode: Mode) -> None:
        """End one such cut; what was held back arrives in its order."""
        self._cuts[source, target].remove(mode)
        if not self._cuts[source, target]:
            for deliver in self._held.pop((source, target), ()):
                deliver()

    def _mode(self, source: str, target: str) -> Mode | None:
        modes = self._cuts.get((source, target))
        for mode in reversed(modes or ()):
            if mode != "mute":
                return mode
        if source in self.dark or target in self.dark:
            return "drop"
        return None

    def _path(self, source: str, target: str) -> Mode | None:
        """Return what stands in the way of a new connection."""
        if "mute" in self._cuts.get((source, target), ()):
            return "drop"
        modes = (self._mode(source, target), self._mode(target, source))
        return next((mode for mode in modes if mode not in (None, "deaf")), None)

    def _delay_s(self) -> float:
        weather = self.weather
        delay_s = weather.delay_s * (1 + weather.jitter * self._rng.uniform(-1, 1))
        if weather.resent and self._rng.random() < weather.resent:
            delay_s += 1.0
        return delay_s

    def _carry(
        self,
        source: str,
        target: ProcessInstance,
        deliver: Callable[[], None],
        stream: "_Stream | None" = None,
    ) -> None:
        """Have something arrive, unless it is held back or lost; a stream keeps its order."""
        mode = self._mode(source, target.machine)
        if mode is None:
            arrival_s = self._loop.time() + self._delay_s()
            if stream is not None:
                arrival_s = stream.last_s = max(stream.last_s + 1e-6, arrival_s)
            self._loop.call_at(arrival_s, deliver, context=target.context)
        elif mode == "hold" or (mode == "deaf" and self._rng.random() < 0.5):
            held = self._held[source, target.machine]
            held.append(lambda: self._carry(source, target, deliver, stream))

    # -- HTTP ------------------------------------------------------------------------------

    async def call(
        self, method: str, url: str, body: bytes | None, timeout_us: int, connect_us: int
    ) -> tuple[int, bytes]:
        """Call as the controllers' HTTP client does, with its errors."""
        answer = await self.request(method, url, body, timeout_us, connect_us)
        return answer.status, answer.body

    async def request(
        self, method: str, url: str, body: bytes | None, timeout_us: int, connect_us: int = 0
    ) -> Response:
        """Send a request; CallError if no answer came in time."""
        address, _, path = url.removeprefix("http://").partition("/")
        life = current_life()
        assert life is not None
        machine = self._machines.get(address, address)
        sent = False
        try:
            async with asyncio.timeout(timeout_us / SECOND_US):
                listener = await self._connected(life, machine, address, connect_us)
                self.calls[life.machine, machine] += 1
                self.bytes += len(body or b"")
                self._loop.spend(request_us(body))
                if self.copied and path == "v1/report" and self._rng.random() < self.copied:
                    self._copy(life.machine, address, body or b"")
                if self.keeps and path == "v1/report" and self._rng.random() < self.keeps:
                    self.kept.append((life.machine, body or b""))
                for look in self.on_sent:
                    look(life.machine, machine, path, body or b"")
                sent = True
                return await self._exchange(
                    life, listener, address, method, "/" + path, body or b""
                )
        except asyncio.TimeoutError as error:
            self._give_up(life, machine, path, body, sent=sent)
            raise CallError(f"{method} {url}: no answer in time") from error
        except CallError:
            self._give_up(life, machine, path, body, sent=sent)
            raise

    def _give_up(
        self, life: ProcessInstance, machine: str, path: str, body: bytes | None, *, sent: bool
    ) -> None:
        """No answer came, or none will: say so if the request may have arrived."""
        for look in self.on_given_up if sent and not life.ended else ():
            look(life.machine, machine, path, body or b"")

    async def _connected(
        self, life: ProcessInstance, machine: str, address: str, connect_us: int
    ) -> _Listener:
        """Wait until a connection comes about."""
        until_s = self._loop.true_s + connect_us / SECOND_US if connect_us else 0.0
        while True:
            if life.ended:
                raise CallError("the caller has ended")
            mode = self._path(life.machine, machine)
            listener = self._listener(address)
            if mode is None:
                await asyncio.sleep(self._delay_s())
                listener = self._listener(address)
                if listener is not None:
                    return listener
            if mode in ("reset", "refuse") or (mode is None and listener is None):
                await asyncio.sleep(self.weather.delay_s)
                raise NotConnectedError(f"{address}: refused")
            if until_s and self._loop.true_s >= until_s:
                raise NotConnectedError(f"{address}: no connection in time")
            await asyncio.sleep(0.05)

    def _copy(self, machine: str, address: str, body: bytes) -> None:
        """Have a report come once more, whatever has become of its sender by then."""
        self._reported_to[address] = None
        target = self._rng.choice([address, *self._reported_to])
        after_s = self._rng.uniform(0, self.copied_s)
        self._deliver_again(machine, target, "/v1/report", body, after_s)

    def _deliver_again(
        self, source: str, address: str, path: str, body: bytes, after_s: float
    ) -> None:
        """Have a copy of a request arrive after so many seconds; its answer is for nobody."""

        async def serve(listener: _Listener) -> None:
            self.caller.set(source)
            assert listener.serve is not None
            await listener.serve("POST", path, body)

        def arrive() -> None:
            listener = self._listener(address)
            if listener is not None:
                self._loop.spawn(listener.life, lambda: serve(listener))

        # On the network it is nobody's: it arrives also if its sender has ended.
        self._loop.call_at(self._loop.true_s + after_s, arrive, context=Context())

    def deliver_kept(self, addresses: list[str], most_s: float) -> None:
        """Have each report that was kept come at all addresses: half at once, the others later."""
        for machine, body in self.kept:
            for address in addresses:
                self.kept_delivered += 1
                after_s = self._rng.choice((0.0, self._rng.uniform(0, most_s)))
                after_s += self._delay_s()
                self._deliver_again(machine, address, "/v1/report", body, after_s)

    async def _exchange(
        self,
        life: ProcessInstance,
        listener: _Listener,
        address: str,
        method: str,
        path: str,
        body: bytes,
    ) -> Response:
        loop, weather = self._loop, self.weather
        answered: asyncio.Future[Response] = loop.create_future()
        serve, target = listener.serve, listener.life
        assert serve is not None

        def fail() -> None:
            if not answered.done():
                answered.set_exception(CallError(f"{method} {path}: connection reset"))

        def arrive() -> None:
            if target.ended:
                self._carry(target.machine, life, fail)
                return
            loop.create_task(respond())

        async def respond() -> None:
            self.caller.set(life.machine)
            loop.spend(request_us(body))
            try:
                answer = await serve(method, path, body)
            except asyncio.CancelledError:
                self._carry(target.machine, life, fail)
                raise
            self.bytes += len(answer.body)
            for look in self.on_answered:
                look(target.machine, life.machine, path.removeprefix("/"), answer)
            if target.ended or (weather.lost and self._rng.random() < weather.lost):
                self._carry(target.machine, life, fail)
                return
            self._carry(target.machine, life, lambda: give(answer))

        def give(answer: Response) -> None:
            if answered.done():
                return
            answered.set_result(answer)
            if path == "/commands" and answer.status == 200:
                sent = AnsweredCommands(life.machine, target.machine, address, body)
                self.command_copies.answered(sent)

        if life.ended:
            raise CallError("the caller has ended")
        held = self.commands_held_up.get(life.machine) if path == "/commands" else None
        if held is not None and self._rng.random() < held.share:
            self.commands_held += 1
            delay_s, later = self._rng.uniform(held.least_s, held.most_s), self._carry
            loop.call_at(
                loop.true_s + delay_s, later, life.machine, target, arrive, context=Context()
            )
            # Nobody is told what came of it.
            answered.cancel()
            never: asyncio.Future[Response] = loop.create_future()
            return await never
        if weather.lost and self._rng.random() < weather.lost:
            self._carry(life.machine, life, fail)
        elif weather.late and self._rng.random() < weather.late:
            delay_s = self._rng.uniform(0, weather.late_s)
            loop.call_at(loop.true_s + delay_s, self._carry, life.machine, target, arrive)
        else:
            mode = self._mode(life.machine, target.machine)
            if mode in ("reset", "refuse"):
                fail()
            else:
                self._carry(life.machine, target, arrive)
        return await answered

    # -- streams ---------------------------------------------------------------------------

    async def _dial(self, factory: Callable[[], Any], address: str) -> tuple[Any, Any]:
        life = current_life()
        assert life is not None
        machine = self._machines.get(address, address)
        try:
            listener = await self._connected(life, machine, address, 0)
        except CallError as error:
            raise ConnectionRefusedError(str(error)) from error
        assert listener.factory is not None
        near, far = _Stream(self, life, factory()), _Stream(self, listener.life, None)
        near.other, far.other = far, near
        self._streams += [near, far]
        accept = listener.factory

        def accepted() -> None:
            far.protocol = accept()
            far.protocol.connection_made(far)

        self._carry(life.machine, listener.life, accepted, near)
        near.protocol.connection_made(near)
        return near, near.protocol

    def forget(self, stream: "_Stream") -> None:
        """A stream is closed."""
        if stream in self._streams:
            self._streams.remove(stream)


async def cut_for(network: Network, pairs: list[tuple[str, str]], mode: Mode, for_s: float) -> None:
    """Cut these ways, from the first of each pair to the second, for so many seconds."""
    with contextlib.ExitStack() as cuts:
        for source, target in pairs:
            network.cut(source, target, mode)
            cuts.callback(network.heal, source, target, mode)
        await asyncio.sleep(for_s)


class _Server:
    """What ``create_server`` returns: it goes with its process."""

    def close(self) -> None:
        """Listen no more."""


class _Stream(asyncio.Transport):
    """One end of a connection between controllers."""

    other: "_Stream"

    def __init__(self, network: Network, life: ProcessInstance, protocol: Any) -> None:
        super().__init__()
        self._network = network
        self.life = life
        self.protocol = protocol
        self._closed = False
        #: When the last of it arrives.
        self.last_s = 0.0

    def write(self, data: Any) -> None:
        """Send bytes."""
        if self._closed or self.life.ended:
            return
        other, chunk = self.other, bytes(data)
        self._network.bytes += len(chunk)
        loop = self._network._loop
        loop.spend(packet_us(chunk))

        def arrive() -> None:
            if not other._closed and other.protocol is not None:
                loop.spend(packet_us(chunk))
                other.protocol.data_received(chunk)

        self._network._carry(self.life.machine, other.life, arrive, self)

    def abort(self) -> None:
        """Break the connection off."""
        self.break_off()

    def close(self) -> None:
        """Close the connection."""
        self.break_off()

    def break_off(self) -> None:
        """Both ends learn that the connection is no more."""
        self._lose()
        other, network = self.other, self._network
        if not other._closed:
            network._carry(self.life.machine, other.life, other._lose, self)

    def _lose(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._network.forget(self)
        if self.protocol is not None:
            loop = asyncio.get_running_loop()
            error = ConnectionResetError()
            loop.call_soon(self.protocol.connection_lost, error, context=self.life.context)

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return self._closed

    def get_write_buffer_size(self) -> int:
        """Return how many bytes wait; none do here."""
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Nothing is known of a socket."""
        return default

    def pause_reading(self) -> None:
        """Bytes come all the same."""

    def resume_reading(self) -> None:
        """Bytes come all the same."""


class SimulatedHttp(HttpClient):
    """The controllers' HTTP client over the simulated network."""

    def __init__(self, network: Network) -> None:
        self._network = network

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_us: int,
        connect_timeout_us: int = 0,
        *,
        close: bool = False,
    ) -> tuple[int, bytes]:
        """Return status and body; CallError if none came in time."""
        return await self._network.call(method, url, body, timeout_us, connect_timeout_us)

    async def close(self) -> None:
        """Nothing is kept open."""


class SimulatedServer:
    """The controllers' HTTP server over the simulated network."""

    def __init__(self, network: Network, handler: Handler) -> None:
        self._network = network
        self._handler = handler

    async def start(self, address: str) -> None:
        """Listen."""
        life = current_life()
        assert life is not None
        self._network.listen(life, address, self._handler)

    async def close(self) -> None:
        """It goes with its process."""
