"""Peer failure detection: a refused peer is judged with what third controllers see of it.

The rules are in ``membership/peer_verdict.py``; this asks.
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
from weldhead.protocol.versions import LOOK_FORMAT
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import StateClient

log = logging.getLogger(__name__)

#: How long another controller has to say what it sees of a third.
LOOK_US = 300 * MILLISECOND_US
#: Between two looks at a suspect.
LOOK_AGAIN_US = 200 * MILLISECOND_US


def observation_of(link: PeerLink) -> PeerObservation:
    """Return what this node has seen of a peer itself."""
    heard_us = max(link.last_message_us, link.last_request_us)
    return PeerObservation(link.name, link.connected, link.refused_us, link.lost_us, heard_us)


class PeerFailureDetector:
    """This node's verdicts; ``dead`` acts on one, and says whether to come back to it."""

    def __init__(
        self,
        links: Mapping[str, PeerLink],
        background_tasks: BackgroundTasks,
        dead: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._links = links
        self._background_tasks = background_tasks
        self._on_dead = dead
        self.view = MembershipView()
        self._being_judged: set[str] = set()

    def start(self, state: StateClient, read_leader: Callable[[], Awaitable[None]]) -> None:
        """Judge whoever refuses connections from now on."""
        self._state = state
        self._read_leader = read_leader
        for link in self._links.values():
            link.on_refused = self.suspect

    def suspect(self, name: str) -> None:
        """A controller refuses connections: is it dead?"""
        if name not in self._being_judged:
            self._being_judged.add(name)
            self._background_tasks.spawn(f"suspicion of {name}", self._judge_until_settled(name))

    async def _judge_until_settled(self, name: str) -> None:
        """Judge a controller until it is alive again, or dead and replaced."""
        link = self._links[name]
        try:
            while link.refused_us:
                verdict = await self._verdict(link)
                if self.view.update(name, verdict):
                    # Who was never seen has not started yet, most likely.
                    level = logging.INFO if link.lost_us else logging.DEBUG
                    log.log(level, "%s: %s: %s", name, verdict.state.value, verdict.evidence)
                try:
                    # Again and again: promised to that leader just before it ended, or in an
                    # outage, this node waited for the whole lease after a single attempt.
                    if verdict.state is PeerState.DEAD and not await self._on_dead(name):
                        return
                except CallError as error:
                    log.debug("%s is not replaced yet: %s", name, error)
                await asyncio.sleep(to_seconds(LOOK_AGAIN_US))
            if self.view.update(name, PeerVerdict(PeerState.ALIVE, "")):
                log.info("%s: alive: connections are taken again", name)
        finally:
            self._being_judged.discard(name)

    async def _verdict(self, link: PeerLink) -> PeerVerdict:
        observations = await self._indirect_probes(link.name)
        verdict = self._judge(link, observations)
        if verdict.state is PeerState.DEAD and not observations:
            # By this node's word alone: then it has to be served itself.
            try:
                await self._read_leader()
            except CallError as error:
                log.debug("judging %s: %s", link.name, error)
            verdict = self._judge(link, observations)
        return verdict

    def _judge(
        self, link: PeerLink, observations: list[tuple[str, IndirectProbeResult]]
    ) -> PeerVerdict:
        others = [observation_of(other) for other in self._links.values() if other is not link]
        return judge_peer(
            observation_of(link), others, observations, now_us(), self._state.failed_us
        )

    async def _indirect_probes(self, name: str) -> list[tuple[str, IndirectProbeResult]]:
        """Ask the others what they see of a controller."""
        at_us = now_us()
        asked = [
            link for link in self._links.values()
            if link.name != name and link.alive(at_us) and link.format >= LOOK_FORMAT
        ]  # fmt: skip
        looks = [
            link.request(IndirectProbe(link.next_id(), name), IndirectProbeAnswer, LOOK_US)
            for link in asked
        ]
        answers = await asyncio.gather(*looks, return_exceptions=True)
        known = {observation.value: observation for observation in IndirectProbeResult}
        return [
            (link.name, known[answer.observation])
            for link, answer in zip(asked, answers, strict=True)
            if isinstance(answer, IndirectProbeAnswer) and answer.observation in known
        ]

    async def probe(self, name: str) -> IndirectProbeResult:
        """Say for another controller whether this one reaches a third, asking it first."""
        link = self._links.get(name)
        if link is None:
            return IndirectProbeResult.LOST
        if link.connected:
            try:
                ping = Ping(link.next_id(), 0, self._state.available)
                await link.request(ping, Pong, LOOK_US // 2)
                return IndirectProbeResult.HEARD
            except CallError:
                if link.connected:
                    return IndirectProbeResult.CONNECTED
        return IndirectProbeResult.REFUSED if link.refused_us else IndirectProbeResult.LOST
