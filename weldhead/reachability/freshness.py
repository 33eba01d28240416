"""Classifies heartbeats by their session, sequence number and token. No I/O.

A heartbeat can arrive late and more than once, through any controller. A worker numbers all its
messages, both heartbeats and answers to direct requests, so a message with a higher sequence number
than all seen cannot be a copy of one of them. A worker cannot send this term's token before it has
received a message of this term. ``docs/design/end-of-day.md`` explains the rule.
"""

import enum

from weldhead.cluster_state.machines import Machine
from weldhead.protocol.wire import Heartbeat

#: After this many answers to heartbeats with an older token, a machine that may run tasks is no
#: longer answered until it sends this term's token, so that its lease expires.
MAX_STALE_TOKEN_ANSWERS = 2
#: Additional answers if another controller relays the heartbeats: an answer can be lost on either
#: of two links, and the machine cannot be probed directly.
EXTRA_RELAYED_ANSWERS = 1


class Freshness(enum.Enum):
    """What a heartbeat proves about its machine."""

    #: Newer than all messages seen and with this term's token: the machine is alive.
    FRESH = "fresh"
    #: Newer than all messages seen, but sent before the machine received this term's token. The
    #: answer may renew its lease, but the heartbeat may also be an old copy.
    STALE_TOKEN = "stale token"
    #: Older than the newest message, but the worker may still wait for the answer. The answer
    #: carries only kills. The heartbeat was sent before the newest message, so the lease counts
    #: from the arrival of that message.
    SUPERSEDED = "superseded"
    #: A copy or a delayed heartbeat that its worker no longer expects an answer to.
    OUTDATED = "outdated"


def classify_freshness(machine: Machine, heartbeat: Heartbeat, token: int) -> Freshness:
    """Classify a heartbeat of a machine on record before any of its content is used."""
    if heartbeat.session <= machine.expired_session:
        return Freshness.OUTDATED
    if (heartbeat.session, heartbeat.sequence) > machine.newest_message:
        return Freshness.FRESH if heartbeat.token == token else Freshness.STALE_TOKEN
    if heartbeat.session == machine.session and heartbeat.sequence >= machine.heartbeat_sequence:
        return Freshness.SUPERSEDED
    return Freshness.OUTDATED


def can_answer(machine: Machine) -> bool:
    """Whether heartbeats of a machine that has not sent this term's token may still be answered.

    Each answer may renew its worker's lease, and attempts started there by an earlier leader count
    until that lease has certainly expired. A worker that receives an answer sends the token in its
    next heartbeat. A worker that does not do so after several answers would keep a new leader
    waiting for as long as it is answered.
    """
    if machine.reconciled or not machine.enrolled:
        return True
    if machine.relayed:
        return machine.stale_token_answers < MAX_STALE_TOKEN_ANSWERS + EXTRA_RELAYED_ANSWERS
    # Two failed probes and one answered heartbeat count as several answers, too.
    return machine.stale_token_answers < MAX_STALE_TOKEN_ANSWERS - machine.probes_failed
