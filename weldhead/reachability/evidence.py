"""Evidence on whether a machine whose heartbeats arrive also receives answers and commands. No I/O.

Each heartbeat is compared with the answer to the previous one. The evidence adds up: one lost
answer is never enough, and any proof that a message arrived clears all evidence.
Times are microseconds of the steady clock.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from weldhead.clock import MILLISECOND_US, SECOND_US, latest_lease_end_us
from weldhead.protocol.wire import Command, Heartbeat

#: The total weight of evidence from which a machine counts as unreachable.
UNREACHABLE_SCORE = 2
#: A heartbeat that arrives sooner than this after an answer shows nothing: a process that was
#: suspended reads several heartbeats in one go, before the answer can have had an effect.
MIN_ANSWER_LATENCY_US = 400 * MILLISECOND_US
#: The usual maximum delay between the sending and the arrival of a heartbeat.
MAX_HEARTBEAT_DELAY_US = 2 * SECOND_US


class DeliverySignal(enum.Enum):
    """What a heartbeat or a direct request shows about whether its machine receives messages."""

    NONE = "nothing"
    #: The machine executed a command or shows a token that it can only have received.
    RECEIVED = "messages received"
    COMMANDS_NOT_APPLIED = "commands not applied by the next heartbeat"
    CONTROLLER_CHANGED = "another controller contacted after an answer"
    SESSION_RESTARTED = "new session although heartbeats were answered"
    REQUEST_UNANSWERED = "direct requests unanswered while heartbeats arrive"


_SIGNAL_WEIGHTS = {
    DeliverySignal.COMMANDS_NOT_APPLIED: 1,
    DeliverySignal.CONTROLLER_CHANGED: 1,
    DeliverySignal.REQUEST_UNANSWERED: 1,
    DeliverySignal.SESSION_RESTARTED: 2,
}


@dataclass(slots=True)
class SentAnswer:
    """What the answer to one heartbeat contained; an instance is never changed.

    The class is not frozen because creating a frozen instance, one for each heartbeat, takes three
    times as long.
    """

    #: The session and the sequence number of the answered heartbeat.
    heartbeat: tuple[int, int]
    #: The token in the heartbeat, and the token in the answer.
    shown_token: int
    sent_token: int
    relayed: bool
    sent_us: int
    runs: tuple[tuple[str, int], ...] = ()
    forgets: tuple[tuple[str, int], ...] = ()


def make_sent_answer(
    heartbeat: Heartbeat, token: int, commands: Iterable[Command], at_us: int, *, relayed: bool
) -> SentAnswer:
    """Summarize the answer that is sent to a heartbeat."""
    runs, forgets = [], []
    for command in commands:
        if command.op == "run":
            runs.append((command.task, command.attempt))
        elif command.op == "forget":
            forgets.append((command.task, command.attempt))
    return SentAnswer(
        (heartbeat.session, heartbeat.sequence), heartbeat.token, token, relayed, at_us,
        tuple(runs), tuple(forgets),
    )  # fmt: skip


def detect_delivery_signal(
    last_answer: SentAnswer,
    heartbeat: Heartbeat,
    newest_sequence: int,
    at_us: int,
    lease_us: int,
    *,
    relayed: bool,
) -> DeliverySignal:
    """Compare a newer heartbeat with the answer to the previous one.

    ``newest_sequence`` is the highest sequence number seen before this heartbeat. A worker that
    receives the answer stays with its controller, so its next message has the next number. A kill
    is no evidence, because a stopped task may keep running for a while.
    """
    if last_answer.shown_token < last_answer.sent_token <= heartbeat.token:
        return DeliverySignal.RECEIVED
    if heartbeat.session != last_answer.heartbeat[0]:
        if (
            heartbeat.token < last_answer.shown_token
            or at_us > last_answer.sent_us + lease_us * 3 // 4
        ):
            # The worker's process lost its memory in a restart, or its lease may have expired.
            return DeliverySignal.NONE
        return DeliverySignal.SESSION_RESTARTED
    if last_answer.runs or last_answer.forgets:
        listed = {(task.task, task.attempt) for task in heartbeat.tasks}
        if any(run in listed for run in last_answer.runs) or any(
            forget not in listed for forget in last_answer.forgets
        ):
            return DeliverySignal.RECEIVED
    if at_us - last_answer.sent_us < MIN_ANSWER_LATENCY_US:
        return DeliverySignal.NONE
    if last_answer.runs or last_answer.forgets or heartbeat.token < last_answer.sent_token:
        return DeliverySignal.COMMANDS_NOT_APPLIED
    if relayed != last_answer.relayed or heartbeat.sequence > newest_sequence + 1:
        return DeliverySignal.CONTROLLER_CHANGED
    return DeliverySignal.NONE


@dataclass(slots=True)
class DeliveryEvidence:
    """The accumulated evidence on one machine."""

    lease_us: int
    last_answer: SentAnswer
    #: When the machine's current session was first seen.
    session_first_seen_us: int
    score: int = 0
    controller_changes: int = 0
    #: 1 if a direct request was not answered, else 0. Repeated failures count once: if a packet
    #: filter blocks only the machine's port, answers to its heartbeats still arrive.
    unanswered_requests: int = 0
    #: When the machine was classified as unreachable; 0 if it counts as reachable.
    unreachable_since_us: int = 0
    #: When the last evidence was added, and which kinds of evidence there are.
    last_evidence_us: int = 0
    evidence: set[DeliverySignal] = field(default_factory=set)
    #: Whether a heartbeat has arrived since the last unanswered direct request.
    heartbeat_since_probe: bool = True
    #: The earliest time of the next probe.
    next_probe_us: int = 0

    def observe_heartbeat(
        self, heartbeat: Heartbeat, newest_sequence: int, at_us: int, *, relayed: bool
    ) -> DeliverySignal:
        """Evaluate a heartbeat that is newer than all seen, and return what it shows."""
        signal = detect_delivery_signal(
            self.last_answer, heartbeat, newest_sequence, at_us, self.lease_us, relayed=relayed
        )
        self.heartbeat_since_probe = True
        if heartbeat.session != self.last_answer.heartbeat[0]:
            self.session_first_seen_us = at_us
        elif self.unreachable_since_us and signal is not DeliverySignal.RECEIVED:
            since_us = max(self.unreachable_since_us, self.session_first_seen_us)
            if at_us > latest_lease_end_us(since_us, self.lease_us) + MAX_HEARTBEAT_DELAY_US:
                # Without any received answer the lease would have expired and ended the session.
                signal = DeliverySignal.RECEIVED
        if signal is DeliverySignal.NONE:
            self.controller_changes = 0
        return signal

    def add(self, signal: DeliverySignal, at_us: int) -> bool:
        """Add a signal, and return whether the machine's classification has changed."""
        if signal is DeliverySignal.RECEIVED:
            changed = self.unreachable_since_us > 0
            self.score = self.controller_changes = self.unanswered_requests = (
                self.unreachable_since_us
            ) = 0
            self.evidence.clear()
            return changed
        weight = _SIGNAL_WEIGHTS.get(signal, 0)
        if signal is DeliverySignal.REQUEST_UNANSWERED:
            if not self.heartbeat_since_probe:
                return False
            self.heartbeat_since_probe = False
        if not weight:
            return False
        if not self.unreachable_since_us and at_us - self.last_evidence_us > 2 * self.lease_us:
            # Single answers are lost now and then, so old evidence expires.
            self.score = self.controller_changes = self.unanswered_requests = 0
            self.evidence.clear()
        self.last_evidence_us = at_us
        self.evidence.add(signal)
        if signal is DeliverySignal.CONTROLLER_CHANGED:
            self.controller_changes += weight
        elif signal is DeliverySignal.REQUEST_UNANSWERED:
            self.unanswered_requests = weight
        else:
            self.score += weight
        if (
            self.unreachable_since_us
            or self.score + self.controller_changes + self.unanswered_requests < UNREACHABLE_SCORE
        ):
            return False
        self.unreachable_since_us = at_us
        return True

    @property
    def is_suspected(self) -> bool:
        """Whether there is any evidence, so that the machine is to be probed."""
        return bool(
            self.unreachable_since_us
            or self.score
            or self.controller_changes
            or self.unanswered_requests
        )

    def describe(self) -> str:
        """Return the kinds of evidence as text for a log line."""
        return "; ".join(sorted(signal.value for signal in self.evidence))
