"""Whether a machine whose reports arrive hears what it is told. No I/O.

Each report is held against what its predecessor's answer said. Pieces of evidence are added up;
one lost answer is never enough, and whatever shows that something arrived clears them all.
Times are microseconds of the steady clock.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from weldhead.clock import MILLISECOND_US, SECOND_US, surely_over_us
from weldhead.protocol.wire import Command, Heartbeat

#: Evidence that makes a suspect.
ENOUGH = 2
#: Reports that come sooner after an answer were read in one go by a process that stood still.
SOON_US = 400 * MILLISECOND_US
#: How much later than it was sent a report may ordinarily come.
TRANSIT_US = 2 * SECOND_US


class DeliverySignal(enum.Enum):
    """What a report, or a direct request, shows of a machine's hearing."""

    NOTHING = "nothing"
    #: It carried out an order, or shows a token, that only arrived if it hears.
    HEARD = "it hears"
    UNSHOWN = "orders that its next report does not show"
    MOVED = "it went on to another controller after an answer"
    NEW_SESSION = "a new session, although its reports were answered"
    UNANSWERED = "direct requests unanswered while its reports come"


_WEIGHT = {
    DeliverySignal.UNSHOWN: 1,
    DeliverySignal.MOVED: 1,
    DeliverySignal.UNANSWERED: 1,
    DeliverySignal.NEW_SESSION: 2,
}


@dataclass(slots=True)
class SentAnswer:
    """What a report's answer said, and which report that was; never changed.

    One is made for each report: a frozen one takes three times as long to make.
    """

    heartbeat: tuple[int, int]
    #: The token that the report showed, and the one that the answer told.
    shown_token: int
    sent_token: int
    relayed: bool
    at_us: int
    runs: tuple[tuple[str, int], ...] = ()
    forgets: tuple[tuple[str, int], ...] = ()


def sent_answer(
    report: Heartbeat, token: int, commands: Iterable[Command], at_us: int, *, relayed: bool
) -> SentAnswer:
    """Note what a report is answered."""
    runs, forgets = [], []
    for command in commands:
        if command.op == "run":
            runs.append((command.task, command.attempt))
        elif command.op == "forget":
            forgets.append((command.task, command.attempt))
    return SentAnswer(
        (report.session, report.sequence), report.token, token, relayed, at_us,
        tuple(runs), tuple(forgets),
    )  # fmt: skip


def delivery_signal(
    last: SentAnswer, report: Heartbeat, seen: int, at_us: int, lease_us: int, *, relayed: bool
) -> DeliverySignal:
    """Hold a newer report against what the last one was told.

    ``seen`` is the newest stamp seen before it: a worker that took the answer stays where it is,
    so the next stamp comes next. A kill shows nothing: what is stopped may run on for a while.
    """
    if last.shown_token < last.sent_token <= report.token:
        return DeliverySignal.HEARD
    if report.session != last.heartbeat[0]:
        if report.token < last.shown_token or at_us > last.at_us + lease_us * 3 // 4:
            # A process that began anew without its memory; or its lease could run out.
            return DeliverySignal.NOTHING
        return DeliverySignal.NEW_SESSION
    if last.runs or last.forgets:
        listed = {(task.task, task.attempt) for task in report.tasks}
        if any(run in listed for run in last.runs) or any(f not in listed for f in last.forgets):
            return DeliverySignal.HEARD
    if at_us - last.at_us < SOON_US:
        return DeliverySignal.NOTHING
    if last.runs or last.forgets or report.token < last.sent_token:
        return DeliverySignal.UNSHOWN
    if relayed != last.relayed or report.sequence > seen + 1:
        return DeliverySignal.MOVED
    return DeliverySignal.NOTHING


@dataclass(slots=True)
class DeliveryEvidence:
    """The evidence on one machine."""

    lease_us: int
    last_answer: SentAnswer
    #: When its present session was first seen.
    session_us: int
    score: int = 0
    moves: int = 0
    #: Direct requests unanswered: they count once. Where a filter keeps us from its port, what
    #: its reports are answered arrives all the same.
    unanswered: int = 0
    #: Since when it is taken to hear nothing; 0: it is not.
    unreachable_since_us: int = 0
    #: When the last evidence came, and what there was.
    evidence_us: int = 0
    evidence: set[DeliverySignal] = field(default_factory=set)
    #: A report came since a direct request was last unanswered.
    heard_since_probe: bool = True
    #: It is asked again from then on.
    next_probe_us: int = 0

    def observe_heartbeat(
        self, report: Heartbeat, seen: int, at_us: int, *, relayed: bool
    ) -> DeliverySignal:
        """Take a report that is newer than all seen; return what it shows."""
        sign = delivery_signal(
            self.last_answer, report, seen, at_us, self.lease_us, relayed=relayed
        )
        self.heard_since_probe = True
        if report.session != self.last_answer.heartbeat[0]:
            self.session_us = at_us
        elif self.unreachable_since_us and sign is not DeliverySignal.HEARD:
            since_us = max(self.unreachable_since_us, self.session_us)
            if at_us > surely_over_us(since_us, self.lease_us) + TRANSIT_US:
                # Its session would be over if no answer had arrived.
                sign = DeliverySignal.HEARD
        if sign is DeliverySignal.NOTHING:
            self.moves = 0
        return sign

    def add(self, sign: DeliverySignal, at_us: int) -> bool:
        """Take a sign; whether that changes what the machine is taken for."""
        if sign is DeliverySignal.HEARD:
            changed = self.unreachable_since_us > 0
            self.score = self.moves = self.unanswered = self.unreachable_since_us = 0
            self.evidence.clear()
            return changed
        weight = _WEIGHT.get(sign, 0)
        if sign is DeliverySignal.UNANSWERED:
            if not self.heard_since_probe:
                return False
            self.heard_since_probe = False
        if not weight:
            return False
        if not self.unreachable_since_us and at_us - self.evidence_us > 2 * self.lease_us:
            # An answer is lost now and then.
            self.score = self.moves = self.unanswered = 0
            self.evidence.clear()
        self.evidence_us = at_us
        self.evidence.add(sign)
        if sign is DeliverySignal.MOVED:
            self.moves += weight
        elif sign is DeliverySignal.UNANSWERED:
            self.unanswered = weight
        else:
            self.score += weight
        if self.unreachable_since_us or self.score + self.moves + self.unanswered < ENOUGH:
            return False
        self.unreachable_since_us = at_us
        return True

    @property
    def suspected(self) -> bool:
        """Whether there is anything to be asked."""
        return bool(self.unreachable_since_us or self.score or self.moves or self.unanswered)

    def describe(self) -> str:
        """Say the evidence in words."""
        return "; ".join(sorted(sign.value for sign in self.evidence))
