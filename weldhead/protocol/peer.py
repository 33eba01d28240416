"""Messages between controllers: msgpack arrays in length-prefixed frames.

A frame is a 4-byte big-endian length followed by one message. A message is the array
``[tag, field, ...]``. A request carries an id that its answer repeats. A newer version may
append fields to a message; older versions ignore them.
"""

import msgspec

from weldhead.protocol.versions import FIRST_FORMAT

MAX_FRAME_BYTES = 256 * 1024


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """The first message of a connection: the name of the controller that opened it."""

    name: str


class Ping(msgspec.Struct, array_like=True, tag="ping"):
    """A heartbeat between controllers; the receiver answers with a ``Pong``.

    - ``token``: the sender's leader token, or 0 if the sender is not the leader.
    - ``state_ok``: whether the state service has recently served the sender.
    - ``silent``: the machines from which the leader receives no heartbeats. Other controllers
      relay the heartbeats of these machines to it.
    - ``full``: whether the sender accepts no new jobs because of its memory use.
    - ``known_token``: the highest leader token that the sender has heard of, or 0 if the sender's
      version does not send this field.
    """

    id: int
    token: int
    state_ok: bool
    silent: tuple[str, ...] = ()
    full: bool = False
    known_token: int = 0


class Pong(msgspec.Struct, array_like=True, tag="pong"):
    """The answer to a ping.

    - ``state_ok``: whether the state service has recently served the answering controller.
    - ``format``: the protocol format of the answering controller, see
      ``weldhead/protocol/versions.py``.
    - ``leads``: whether the answering controller is in a term as leader, even if its lease does
      not allow it to send commands at the moment. The default is true because a controller whose
      version does not send this field may be in a term.
    - ``known_token``: the highest leader token that the answering controller has heard of, or 0.
    """

    id: int
    state_ok: bool
    format: int = FIRST_FORMAT
    leads: bool = True
    known_token: int = 0


class ForwardedRequest(msgspec.Struct, array_like=True, tag="ask"):
    """A request of a client, a worker or a controller that another controller is to answer.

    ``kind`` is ``submit``, ``poll``, ``cancel`` or ``report``, and from format 4 on also
    ``documents``, ``read`` or ``known``.
    """

    id: int
    kind: str
    job_id: str
    body: bytes


class ForwardedAnswer(msgspec.Struct, array_like=True, tag="answer"):
    """The answer to a ``ForwardedRequest``: an HTTP status and body."""

    id: int
    status: int
    body: bytes


class PromiseRequest(msgspec.Struct, array_like=True, tag="hold"):
    """A leader's request for a promise, sent when the state service does not serve the leader.

    A controller that promises does not become leader for ``duration_us`` after it received this
    request. ``token`` is the requesting leader's token.
    """

    id: int
    token: int
    duration_us: int


class PromiseAnswer(msgspec.Struct, array_like=True, tag="held"):
    """The answer to a ``PromiseRequest``.

    - ``promised``: whether the promise is given. If it is denied, the state service serves the
      answering controller, or a later leader exists, and the requesting leader is to hand over.
    - ``known_token``: the highest leader token that the answering controller has heard of, or 0.
      If it is higher than the requesting leader's token, that leader has been replaced.
    - ``running_us``: how long the answering process has been running by its own clock, or 0 if
      its version does not send this field. A promise binds only the process that gave it and
      implies nothing about what a previous process of the same controller did.
    """

    id: int
    promised: bool
    known_token: int = 0
    running_us: int = 0


class IndirectProbe(msgspec.Struct, array_like=True, tag="look"):
    """A request to contact the controller ``name`` and to answer whether it could be reached."""

    id: int
    name: str


class IndirectProbeAnswer(msgspec.Struct, array_like=True, tag="seen"):
    """The answer to an ``IndirectProbe``.

    ``observation`` is ``heard``, ``connected``, ``refused`` or ``lost``, see
    ``weldhead.membership.peer_verdict.IndirectProbeResult``.
    """

    id: int
    observation: str


class LeaderResigned(msgspec.Struct, array_like=True, tag="resigned"):
    """The leader has stopped sending commands; a controller that receives this may replace it."""

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
    """A message or frame is malformed or too large."""


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame: its length, then its body."""
    body = _encoder.encode(message)
    if len(body) > MAX_FRAME_BYTES:
        raise PeerProtocolError(
            f"message has {len(body)} bytes, at most {MAX_FRAME_BYTES} are allowed"
        )
    return len(body).to_bytes(4, "big") + body


def decode_frame_length(header: bytes) -> int:
    """Return the length of a frame's body, decoded from the frame's 4-byte header."""
    length = int.from_bytes(header, "big")
    if not 0 < length <= MAX_FRAME_BYTES:
        raise PeerProtocolError(f"frame length is {length} bytes, must be 1 to {MAX_FRAME_BYTES}")
    return length


def decode_message(body: bytes) -> Message:
    """Decode the message in a frame's body."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PeerProtocolError(str(error)) from error
