"""Keeps messages that arrive before the term is loaded, until they can be applied. No I/O.

An answer renews a worker's lease and needs only the token, so heartbeats are answered as soon as
the token is won; the ``answer_window`` module limits for how long. The newest message of each
machine is kept until the records are loaded. Times are microseconds of the steady clock.
"""

import enum
from dataclasses import dataclass

from weldhead.protocol.wire import Heartbeat


class MessageSource(enum.Enum):
    """The kind of message in which a worker listed its tasks."""

    HEARTBEAT = "heartbeat"
    #: The body of the answer to a direct command or a status probe.
    COMMAND_ANSWER = "command answer"


@dataclass
class BufferedHeartbeat:
    """The newest message of a machine, and when its last heartbeat was answered (0: never)."""

    heartbeat: Heartbeat
    source: MessageSource
    answered_us: int
    relayed: bool
    #: Whether the newest message is a heartbeat that was answered.
    answered: bool = False


class HeartbeatBuffer:
    """Holds the newest message of each machine until the machine records are loaded."""

    def __init__(self) -> None:
        self._newest: dict[str, BufferedHeartbeat] = {}

    def __len__(self) -> int:
        return len(self._newest)

    def has_shown(self, machine: str, token: int) -> bool:
        """Whether a machine's newest message carries the given token or a newer one."""
        buffered = self._newest.get(machine)
        return buffered is not None and buffered.heartbeat.token >= token

    def add_answered(self, heartbeat: Heartbeat, at_us: int, *, relayed: bool) -> bool:
        """Keep a heartbeat, and return whether to answer it.

        A heartbeat older than the newest message was delayed, and its worker no longer waits for
        the answer. Recorded as answered, it would make a machine that is silent now seem alive.
        """
        buffered = self._newest.get(heartbeat.machine)
        if buffered is None:
            self._newest[heartbeat.machine] = BufferedHeartbeat(
                heartbeat, MessageSource.HEARTBEAT, at_us, relayed, True
            )
            return True
        if _message_order(heartbeat) < _message_order(buffered.heartbeat):
            return False
        if _message_order(heartbeat) == _message_order(buffered.heartbeat):
            # This is the same heartbeat again: its worker had sent it when it was first recorded.
            return True
        buffered.heartbeat = heartbeat
        buffered.source = MessageSource.HEARTBEAT
        buffered.answered = True
        buffered.answered_us, buffered.relayed = at_us, relayed
        return True

    def add_probe_answer(self, heartbeat: Heartbeat) -> None:
        """Keep a machine's answer to a direct request unless a newer message is already kept."""
        self._buffer_unanswered(heartbeat, MessageSource.COMMAND_ANSWER, relayed=False)

    def add_unanswered(self, heartbeat: Heartbeat, *, relayed: bool) -> None:
        """Keep a heartbeat that is not answered unless a newer message is already kept."""
        self._buffer_unanswered(heartbeat, MessageSource.HEARTBEAT, relayed=relayed)

    def _buffer_unanswered(
        self, heartbeat: Heartbeat, source: MessageSource, *, relayed: bool
    ) -> None:
        buffered = self._newest.get(heartbeat.machine)
        if buffered is None:
            self._newest[heartbeat.machine] = BufferedHeartbeat(heartbeat, source, 0, relayed)
        elif _message_order(heartbeat) > _message_order(buffered.heartbeat):
            buffered.heartbeat = heartbeat
            buffered.source = source
            buffered.answered = False

    def take(self) -> list[BufferedHeartbeat]:
        """Return all kept messages and clear the buffer."""
        buffered = list(self._newest.values())
        self._newest.clear()
        return buffered


def _message_order(heartbeat: Heartbeat) -> tuple[int, int]:
    """Return a sort key that grows with every message of a worker."""
    return heartbeat.session, heartbeat.sequence
