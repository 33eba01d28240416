"""Requests promises not to lead from the other controllers during a state service outage.

The rules that make promises safe are in ``weldhead/controller/leadership/leader_lease.py``.
Times are microseconds of this node's steady clock.
"""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from weldhead.clock import earliest_lease_end_us, now_us, to_seconds
from weldhead.controller.leadership.leader_lease import LeaderLease, LeaseTiming
from weldhead.protocol.peer import PromiseAnswer, PromiseRequest
from weldhead.transport.peer_links import PeerLink

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class PromiseDenied:
    """A controller that denied a promise, and the highest token that it has heard of (or 0)."""

    link: PeerLink
    known_token: int


async def request_promises(
    links: Sequence[PeerLink], leader_lease: LeaderLease, timing: LeaseTiming
) -> PromiseDenied | None:
    """Request a promise from every peer and record the promises that count.

    Returns the first denial, or None if no peer denied its promise.
    """
    token, sent_us = leader_lease.token, now_us()
    requests = [
        link.request(
            PromiseRequest(link.next_id(), token, timing.promise_duration_us),
            PromiseAnswer,
            timing.renewal_interval_us,
        )
        for link in links
    ]
    answers = await asyncio.gather(*requests, return_exceptions=True)
    if leader_lease.token != token:
        # These promises were given for a term that has ended. They must not count for the next
        # term: a peer that has restarted since, and was told that no node is in a term, is no
        # longer bound by its promise.
        return None
    for link, answer in zip(links, answers, strict=True):
        if not isinstance(answer, PromiseAnswer):
            continue
        if not answer.promised or answer.known_token > token:
            return PromiseDenied(link, answer.known_token)
        _record_promise(link, answer, leader_lease, sent_us)
    return None


def _record_promise(
    link: PeerLink, answer: PromiseAnswer, leader_lease: LeaderLease, sent_us: int
) -> None:
    """Record a promise, unless a previous process of the peer may have replaced this node."""
    at_us = now_us()
    started_us = latest_process_start_us(link, answer, at_us)
    unprotected_us = started_us - leader_lease.unreplaced_until_us(link.name)
    if unprotected_us <= 0:
        leader_lease.record_promise(link.name, sent_us, at_us)
    elif leader_lease.is_valid(at_us):
        log.info(
            "promise of %s ignored: its process may have started %.2f s too late to rule out that "
            "a previous process replaced this leader", link.name, to_seconds(unprotected_us),
        )  # fmt: skip


def latest_process_start_us(link: PeerLink, answer: PromiseAnswer, at_us: int) -> int:
    """Return the latest time, by this node's clock, at which a peer's process may have started.

    The answer states how long the process has been running. If an older version leaves that out,
    the process is at least as old as the connection on which the answer arrived.
    """
    if not answer.running_us:
        return link.connected_since_us or at_us
    return at_us - earliest_lease_end_us(0, answer.running_us)
