"""Requests to the other controllers to promise not to lead, while the state service is out.

What a promise counts for is in ``leader_lease.py``. Times are microseconds of the steady clock.
"""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from weldhead.clock import now_us, surely_valid_us, to_seconds
from weldhead.controller.leadership.leader_lease import LeaderLease, LeaseTiming
from weldhead.protocol.peer import PromiseAnswer, PromiseRequest
from weldhead.transport.peer_links import PeerLink

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class PromiseDenied:
    """A controller that did not promise, and the highest token that it has heard of (or 0)."""

    link: PeerLink
    known_token: int


async def ask_for_promises(
    links: Sequence[PeerLink], leader_lease: LeaderLease, timing: LeaseTiming
) -> PromiseDenied | None:
    """Ask all for a promise and enter those that count; return who denied one, if anybody."""
    token, sent_us = leader_lease.token, now_us()
    asked = [
        link.request(
            PromiseRequest(link.next_id(), token, timing.promise_us), PromiseAnswer, timing.renew_us
        )
        for link in links
    ]
    answers = await asyncio.gather(*asked, return_exceptions=True)
    if leader_lease.token != token:
        # Promised to a term that is over: counted for the next one, they would bind
        # nobody who has said since that it knows of no term.
        return None
    for link, answer in zip(links, answers, strict=True):
        if not isinstance(answer, PromiseAnswer):
            continue
        if not answer.promised or answer.known_token > token:
            return PromiseDenied(link, answer.known_token)
        _enter(link, answer, leader_lease, sent_us)
    return None


def _enter(link: PeerLink, answer: PromiseAnswer, leader_lease: LeaderLease, sent_us: int) -> None:
    """Enter a promise, unless a former process of its giver may have replaced this node."""
    at_us = now_us()
    began_us = began_by_us(link, answer, at_us)
    late_us = began_us - leader_lease.unreplaced_until_us(link.name)
    if late_us <= 0:
        leader_lease.record_promise(link.name, sent_us, at_us)
    elif leader_lease.valid(at_us):
        log.info(
            "promise of %s ignored: it may have begun %.2f s after the key was last "
            "seen, and may have led before that", link.name, to_seconds(late_us),
        )  # fmt: skip


def began_by_us(link: PeerLink, answer: PromiseAnswer, at_us: int) -> int:
    """Return by when a peer's process had surely begun, by this node's clock.

    It says for how long it has run. Of a version that does not, it is known that its process is
    as old as the connection that its answer came on.
    """
    if not answer.running_us:
        return link.connected_us or at_us
    return at_us - surely_valid_us(0, answer.running_us)
