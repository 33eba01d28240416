"""Reports that come before the term is loaded: answered at once, kept, and applied later.

An answer renews a worker's lease and needs the token only. So from the moment the token is
won reports are answered (for how long: ``answering.py``); what they say waits here for the
records, the newest message of each machine. Times are microseconds of the steady clock.
"""

import enum
from dataclasses import dataclass

from weldhead.protocol.wire import Heartbeat


class MessageSource(enum.Enum):
    """In which kind of message a worker told its state."""

    HEARTBEAT = "heartbeat"
    #: The body of a direct command's answer, or of a probe's.
    COMMAND_ANSWER = "command answer"


@dataclass
class BufferedHeartbeat:
    """The newest message of a machine, and when its last report was answered (0: never)."""

    heartbeat: Heartbeat
    source: MessageSource
    answered_us: int
    relayed: bool
    #: This very message was a report and was answered.
    answered: bool = False


class HeartbeatBuffer:
    """What machines said before their records were known."""

    def __init__(self) -> None:
        self._kept: dict[str, BufferedHeartbeat] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def has_shown(self, machine: str, token: int) -> bool:
        """Whether a machine has shown that token in a message of its own."""
        kept = self._kept.get(machine)
        return kept is not None and kept.heartbeat.token >= token

    def add_answered(self, report: Heartbeat, at_us: int, *, relayed: bool) -> bool:
        """Keep a report; whether to answer it.

        One that is older than what was seen was held back on the way: its sender has given
        up, and to count it as an answer would be wrong for whoever is silent now.
        """
        kept = self._kept.get(report.machine)
        if kept is None:
            self._kept[report.machine] = BufferedHeartbeat(
                report, MessageSource.HEARTBEAT, at_us, relayed, True
            )
            return True
        if _order(report) < _order(kept.heartbeat):
            return False
        if _order(report) == _order(kept.heartbeat):
            # The same once more: its sender had sent it when it was first counted.
            return True
        kept.heartbeat = report
        kept.source = MessageSource.HEARTBEAT
        kept.answered = True
        kept.answered_us, kept.relayed = at_us, relayed
        return True

    def add_probe_answer(self, report: Heartbeat) -> None:
        """Keep what a machine answered to a direct request, unless something newer is here."""
        self._keep_unanswered(report, MessageSource.COMMAND_ANSWER, relayed=False)

    def add_unanswered(self, report: Heartbeat, *, relayed: bool) -> None:
        """Keep a report that is not answered, unless something newer is here."""
        self._keep_unanswered(report, MessageSource.HEARTBEAT, relayed=relayed)

    def _keep_unanswered(self, report: Heartbeat, source: MessageSource, *, relayed: bool) -> None:
        kept = self._kept.get(report.machine)
        if kept is None:
            self._kept[report.machine] = BufferedHeartbeat(report, source, 0, relayed)
        elif _order(report) > _order(kept.heartbeat):
            kept.heartbeat = report
            kept.source = source
            kept.answered = False

    def take(self) -> list[BufferedHeartbeat]:
        """Return everything, and keep nothing."""
        kept = list(self._kept.values())
        self._kept.clear()
        return kept


def _order(report: Heartbeat) -> tuple[int, int]:
    return report.session, report.sequence
