"""What a report is worth by its session, stamp and token. No I/O.

A report can come late, and more than once, over whichever controller. Its sender counts every
message (the stamp; it grows with reports and with answers to direct requests alike), so what is
newer than all that was seen cannot be a copy of it; and nobody shows this term's token who has
not heard this term. ``docs/design/end-of-day.md`` has the rule and its argument.
"""

import enum

from weldhead.cluster_state.machines import Machine
from weldhead.protocol.wire import Heartbeat

#: Answers to reports of an earlier token after which a machine on which something may run is not
#: answered any more until it shows this term's: its lease is to end. One more where another
#: controller passes them on: there are two ways on which an answer is lost, and nobody to ask.
MOST_UNSHOWN = 2
RELAYED_MORE = 1


class Freshness(enum.Enum):
    """What a report says of its machine's life."""

    #: Newer than all that was seen, and with this term's token: its machine lives.
    FRESH = "fresh"
    #: Newer than all that was seen, but from before its machine heard of this term: the answer
    #: may renew its lease, and the report may as well be a copy from long ago.
    UNTOLD = "untold"
    #: Not newer, and nobody can say that its sender has given up: answered without orders. It
    #: was sent before the newest message was, so the lease counts from there.
    OVERTAKEN = "overtaken"
    #: A copy, or held back: its sender has long gone on.
    COPY = "copy"


def freshness_of(machine: Machine, report: Heartbeat, token: int) -> Freshness:
    """Judge a report of a machine on record before anything of it is used."""
    if report.session <= machine.expired_session:
        return Freshness.COPY
    if (report.session, report.sequence) > machine.newest_message:
        return Freshness.FRESH if report.token == token else Freshness.UNTOLD
    if report.session == machine.session and report.sequence >= machine.heartbeat_sequence:
        return Freshness.OVERTAKEN
    return Freshness.COPY


def answerable(machine: Machine) -> bool:
    """Whether a machine that has not shown this term's token is (still) answered.

    Each answer may renew the lease of its worker, and what an earlier leader started there
    counts until that lease is surely over. A worker that hears shows the token in the next
    report after the answer; one that does not after several would hold up a new leader for
    as long as it is answered.
    """
    if machine.reconciled or not machine.enrolled:
        return True
    if machine.relayed:
        return machine.stale_token_answers < MOST_UNSHOWN + RELAYED_MORE
    # Two direct questions in vain and one answer to a report: that is several as well.
    return machine.stale_token_answers < MOST_UNSHOWN - machine.probes_failed
