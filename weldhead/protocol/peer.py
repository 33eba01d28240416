"""Messages between controllers: length-framed msgpack tagged tuples.

Each frame is a 4-byte big-endian length and one message; a message is the tuple
``(tag, field, ...)``. Requests carry an id that their answer repeats. Trailing fields
that a newer version adds are ignored by an older one.
"""

import msgspec

from weldhead.protocol.versions import FIRST_FORMAT

FRAME_LIMIT = 256 * 1024


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """The first message of a connection: who is calling."""

    name: str


class Ping(msgspec.Struct, array_like=True, tag="ping"):
    """A sign of life.

    ``token`` is that of the caller's leadership, or 0. ``state_ok`` says whether the state
    service has served the caller of late; ``silent`` names machines that a leader misses
    and wants relayed. ``full``: the caller takes no new work for its memory. ``known_token`` is
    the highest token of any leader that the caller has heard of; a version that does not say so
    leaves it 0.
    """

    id: int
    token: int
    state_ok: bool
    silent: tuple[str, ...] = ()
    full: bool = False
    known_token: int = 0


class Pong(msgspec.Struct, array_like=True, tag="pong"):
    """The answer to a ping, with the answerer's own view and format (``versions.py``).

    ``leads``: it is in a term, whether or not it may command at this moment. A version that
    does not say so may be. ``known_token``: the highest token that the answerer has heard of, or 0.
    """

    id: int
    state_ok: bool
    format: int = FIRST_FORMAT
    leads: bool = True
    known_token: int = 0


class ForwardedRequest(msgspec.Struct, array_like=True, tag="ask"):
    """A user's or worker's request that another node shall answer.

    ``kind`` is ``submit``, ``poll``, ``cancel`` or ``report``.
    """

    id: int
    kind: str
    job_id: str
    body: bytes


class ForwardedAnswer(msgspec.Struct, array_like=True, tag="answer"):
    """The answer to an ask: an HTTP status and body."""

    id: int
    status: int
    body: bytes


class PromiseRequest(msgspec.Struct, array_like=True, tag="hold"):
    """A leader that the state service refuses asks for a promise.

    Whoever promises does not become leader for ``duration_us`` from receiving this.
    """

    id: int
    token: int
    duration_us: int


class PromiseAnswer(msgspec.Struct, array_like=True, tag="held"):
    """The answer to a hold; false: the state service serves this node, hand over.

    ``known_token``: the highest token that the answerer has heard of, or 0; above the asker's own,
    it was replaced. ``running_us``: for how long the answerer's process has run by its own clock;
    0 if it does not say. What it promises says nothing of what a former process of it did.
    """

    id: int
    promised: bool
    known_token: int = 0
    running_us: int = 0


class IndirectProbe(msgspec.Struct, array_like=True, tag="look"):
    """Whether the answerer reaches another controller; it asks it before it answers."""

    id: int
    name: str


class IndirectProbeAnswer(msgspec.Struct, array_like=True, tag="seen"):
    """The answer to a look: ``heard``, ``connected``, ``refused`` or ``lost``."""

    id: int
    observation: str


class LeaderResigned(msgspec.Struct, array_like=True, tag="resigned"):
    """The leader has stopped commanding; whoever gets this may take over at once."""

    id: int
    token: int


Message = (
    Hello
    | Ping
    | Pong
    | ForwardedRequest
    | ForwardedAnswer
    | PromiseRequest
    | PromiseAnswer
    | LeaderResigned
    | IndirectProbe
    | IndirectProbeAnswer
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class PeerProtocolError(Exception):
    """A peer sent something that is no message."""


def encode_frame(message: Message) -> bytes:
    """Encode a message with its length in front."""
    body = _encoder.encode(message)
    if len(body) > FRAME_LIMIT:
        raise PeerProtocolError(f"message of {len(body)} bytes")
    return len(body).to_bytes(4, "big") + body


def frame_length(header: bytes) -> int:
    """Return the length that a frame's header announces."""
    length = int.from_bytes(header, "big")
    if not 0 < length <= FRAME_LIMIT:
        raise PeerProtocolError(f"frame of {length} bytes")
    return length


def decode_message(body: bytes) -> Message:
    """Decode a frame's body."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PeerProtocolError(str(error)) from error
