"""Detects failed peers: a peer that refuses connections is probed through other controllers.

The rules for the verdict are in ``weldhead/membership/peer_verdict.py``. This module collects
the observations for them.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

from weldhead.clock import MILLISECOND_US, now_us, to_seconds
from weldhead.membership.peer_verdict import (
    IndirectProbeResult,
    MembershipView,
    PeerObservation,
    PeerState,
    PeerVerdict,
    judge_peer,
)
from weldhead.protocol.peer import IndirectProbe, IndirectProbeAnswer, Ping, Pong
from weldhead.protocol.versions import INDIRECT_PROBE_FORMAT
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import StateClient

log = logging.getLogger(__name__)

#: How long a controller may take to answer an indirect probe.
INDIRECT_PROBE_TIMEOUT_US = 300 * MILLISECOND_US
#: The time between two verdicts on a suspected peer.
VERDICT_INTERVAL_US = 200 * MILLISECOND_US


def observe_peer(link: PeerLink) -> PeerObservation:
    """Return what this node has itself observed of a peer."""
    heard_us = max(link.last_message_us, link.last_request_us)
    return PeerObservation(
        link.name, link.is_connected, link.refused_since_us, link.last_disconnect_us, heard_us
    )


class PeerFailureDetector:
    """Judges peers that refuse connections.

    ``on_dead`` is called with the name of a peer that was judged dead. It returns whether the
    peer has to be judged again.
    """

    def __init__(
        self,
        links: Mapping[str, PeerLink],
        background_tasks: BackgroundTasks,
        on_dead: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._links = links
        self._background_tasks = background_tasks
        self._on_dead = on_dead
        self.view = MembershipView()
        #: The peers that a background task is judging.
        self._suspects: set[str] = set()

    def start(self, state: StateClient, read_leader: Callable[[], Awaitable[None]]) -> None:
        """Judge every peer that refuses connections from now on."""
        self._state = state
        self._read_leader = read_leader
        for link in self._links.values():
            link.on_refused = self.suspect

    def suspect(self, name: str) -> None:
        """Start to judge a peer that refuses connections, unless it is being judged already."""
        if name not in self._suspects:
            self._suspects.add(name)
            self._background_tasks.spawn(f"suspicion of {name}", self._judge_until_settled(name))

    async def _judge_until_settled(self, name: str) -> None:
        """Judge a peer repeatedly until it accepts connections again, or is dead and replaced."""
        link = self._links[name]
        try:
            while link.refused_since_us:
                verdict = await self._reach_verdict(link)
                if self.view.update(name, verdict):
                    # A peer that never was connected most likely has not started yet.
                    level = logging.INFO if link.last_disconnect_us else logging.DEBUG
                    log.log(level, "peer %s %s: %s", name, verdict.state.value, verdict.evidence)
                try:
                    # Replacing a dead leader is retried. After a single attempt a node that had
                    # promised to that leader just before its end, or met an outage of the state
                    # service, waited for the whole lease.
                    if verdict.state is PeerState.DEAD and not await self._on_dead(name):
                        return
                except CallError as error:
                    log.debug("dead leader %s not replaced yet: %s", name, error)
                await asyncio.sleep(to_seconds(VERDICT_INTERVAL_US))
            if self.view.update(name, PeerVerdict(PeerState.ALIVE, "")):
                log.info("peer %s alive: it accepts connections again", name)
        finally:
            self._suspects.discard(name)

    async def _reach_verdict(self, link: PeerLink) -> PeerVerdict:
        probe_results = await self._probe_indirectly(link.name)
        verdict = self._judge(link, probe_results)
        if verdict.state is PeerState.DEAD and not probe_results:
            # Only this node's own observations speak for the peer's death. Reading the leader's
            # key shows whether the state service serves this node, as the verdict requires.
            try:
                await self._read_leader()
            except CallError as error:
                log.debug("leader's key not read while judging %s: %s", link.name, error)
            verdict = self._judge(link, probe_results)
        return verdict

    def _judge(
        self, link: PeerLink, probe_results: list[tuple[str, IndirectProbeResult]]
    ) -> PeerVerdict:
        others = [observe_peer(other) for other in self._links.values() if other is not link]
        return judge_peer(
            observe_peer(link), others, probe_results, now_us(), self._state.last_failed_us
        )

    async def _probe_indirectly(self, name: str) -> list[tuple[str, IndirectProbeResult]]:
        """Have the other peers probe a controller; return the name and result of each."""
        at_us = now_us()
        probing_links = [
            link
            for link in self._links.values()
            if link.name != name
            and link.is_responsive(at_us)
            and link.format >= INDIRECT_PROBE_FORMAT
        ]
        requests = [
            link.request(
                IndirectProbe(link.next_id(), name), IndirectProbeAnswer, INDIRECT_PROBE_TIMEOUT_US
            )
            for link in probing_links
        ]
        answers = await asyncio.gather(*requests, return_exceptions=True)
        results = {result.value: result for result in IndirectProbeResult}
        return [
            (link.name, results[answer.observation])
            for link, answer in zip(probing_links, answers, strict=True)
            if isinstance(answer, IndirectProbeAnswer) and answer.observation in results
        ]

    async def probe(self, name: str) -> IndirectProbeResult:
        """Probe a peer on behalf of another controller; return the result."""
        link = self._links.get(name)
        if link is None:
            return IndirectProbeResult.LOST
        if link.is_connected:
            try:
                ping = Ping(link.next_id(), 0, self._state.is_available)
                await link.request(ping, Pong, INDIRECT_PROBE_TIMEOUT_US // 2)
                return IndirectProbeResult.HEARD
            except CallError:
                if link.is_connected:
                    return IndirectProbeResult.CONNECTED
        return IndirectProbeResult.REFUSED if link.refused_since_us else IndirectProbeResult.LOST
