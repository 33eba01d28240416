"""The other controllers as far as this one can ask them, and whether it is alone."""

import asyncio
import logging
from collections.abc import Mapping
from hashlib import sha256

from weldhead.clock import MILLISECOND_US, now_us, to_seconds
from weldhead.cluster_state.records import LEADER_KEY
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.controller.leadership.leader import Leader
from weldhead.controller.leadership.leader_election import LeaderElection
from weldhead.membership.isolation import IsolationDetector, LastContact
from weldhead.protocol import http_status
from weldhead.protocol.peer import ForwardedAnswer, ForwardedRequest
from weldhead.protocol.versions import CHAINS_FORMAT, DOCUMENTS_FORMAT
from weldhead.protocol.wire import MachineType
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, unavailable
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import StateClient

log = logging.getLogger(__name__)

#: How long a user's or worker's request may take on its way through another node.
FORWARD_US = 900 * MILLISECOND_US
#: Between two looks at whether this node is alone.
LOOK_US = 200 * MILLISECOND_US
#: How long the state service has to answer who seems to be alone.
PROOF_US = 400 * MILLISECOND_US


class PeerDirectory:
    """What this node knows of the others, and what it has them answer."""

    def __init__(
        self, name: str, links: Mapping[str, PeerLink], campaign: LeaderElection, started_us: int
    ) -> None:
        self._name = name
        self._links = links
        self._election = campaign
        self._isolation = IsolationDetector(started_us)
        self._turn = 0
        #: Calendars and gates; None: this node is given none.
        self.documents: DocumentReplica | None = None

    def open(self, state: StateClient) -> None:
        """Use this from now on."""
        self._state = state

    @property
    def leader(self) -> Leader | None:
        """This node's term, if it leads."""
        return self._election.leader

    @property
    def catalog(self) -> list[MachineType]:
        """The machine types, as far as they are known."""
        return self._election.catalog

    # -- alone --------------------------------------------------------------------------------

    @property
    def isolated(self) -> bool:
        """Whether neither the state service nor another controller answers this one."""
        return self._isolation.isolated

    async def watch(self) -> None:
        """Update whether this controller is isolated, again and again; a background task."""
        while self._links:
            await asyncio.sleep(to_seconds(LOOK_US))
            self._update_isolation()
            if self._isolation.probe_wanted:
                # Nobody may have called the service for seconds: then nothing has failed.
                try:
                    await self._state.get(LEADER_KEY, urgent=True, timeout_us=PROOF_US)
                except CallError as error:
                    log.debug("all others are silent, and the state service: %s", error)
                self._update_isolation()
        await asyncio.Event().wait()

    def _update_isolation(self) -> None:
        answered_us = max(link.last_message_us for link in self._links.values())
        contact = LastContact(answered_us, self._state.served_us, self._state.failed_us)
        if self._isolation.update(contact, now_us()):
            if self.isolated:
                log.info(
                    "%s is isolated: neither the state service nor another controller answers; "
                    "users and workers are sent on",
                    self._name,
                )
            else:
                log.info("%s is no longer isolated", self._name)

    def ready(self) -> Response:
        """Tell the load balancer whether users are served here as well as elsewhere."""
        if not self.catalog:
            return unavailable("machine types not known yet")
        if self.isolated:
            return unavailable("this node is alone")
        if not self._state.available and self._served_peers(now_us()):
            return unavailable("the state service refuses this node")
        # In an outage all stay: a balancer without a healthy node serves nobody.
        return Response(http_status.OK, b"{}")

    # -- asking others ------------------------------------------------------------------------

    async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
        """Have the leader answer; None if it cannot be reached."""
        record = self._election.known_leader
        link = self._links.get(record.name) if record is not None else None
        if link is None or not link.alive(now_us()):
            # Asked in vain, a silent leader kept each user waiting for most of a second.
            return None
        return await self.forward(link, kind, job_id, body)

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        """Have a peer answer that the state service serves; None if there is none."""
        least = CHAINS_FORMAT if chained else 0
        if self.documents is not None and kind == "submit":
            # Another version would accept a job without what binds it.
            least = DOCUMENTS_FORMAT
        served = self._served_peers(now_us(), least)
        if not served:
            return None
        self._turn += 1
        followers = [link for link in served if not self._leads(link)]
        if kind == "poll" and followers:
            # The leader was asked before. A follower looks for itself: it refused what is
            # meant for a leader, and who reaches only followers was never answered.
            link, kind = followers[self._turn % len(followers)], "read"
        else:
            # In turn, so that one peer that fails does not fail each time.
            link = served[self._turn % len(served)]
        return await self.forward(link, kind, job_id, body)

    async def ask_poll_owner(self, job_id: str) -> Response | None:
        """Have the one controller look that counts how long a job waits for an answer.

        All controllers choose the same one of those that the state service serves, by the job's
        id. None: that is this one. CallError if it does not answer in time.
        """
        links = {link.name: link for link in self._served_peers(now_us(), DOCUMENTS_FORMAT)}
        served = [*links, self._name] if self._state.available else [*links]
        home = max(
            served, key=lambda name: sha256(f"{job_id} {name}".encode()).digest(), default=""
        )
        if home not in links:
            return None
        answer = await self.forward(links[home], "read", job_id, b"")
        if answer is None:
            raise CallError(f"{home} does not answer for {job_id}")
        return answer

    def peers_support(self, min_format: int) -> bool:
        """Whether no peer is known to run a version of an earlier format."""
        return all(not 0 < link.format < min_format for link in self._links.values())

    def _leads(self, link: PeerLink) -> bool:
        record = self._election.known_leader
        return record is not None and record.name == link.name

    def _served_peers(self, at_us: int, least_format: int = 0) -> list[PeerLink]:
        """Return the live peers of that format or a later one that the state service serves."""
        return [
            link
            for link in self._links.values()
            if link.alive(at_us) and link.state_ok and link.format >= least_format
        ]

    async def forward(self, link: PeerLink, kind: str, job_id: str, body: bytes) -> Response | None:
        """Have a peer answer; None if it does not, or not in time."""
        if not link.connected:
            return None
        at_us = now_us()
        try:
            answer = await link.request(
                ForwardedRequest(link.next_id(), kind, job_id, body), ForwardedAnswer, FORWARD_US
            )
        except CallError:
            return None
        if now_us() - at_us > FORWARD_US:
            # Read only after this process stood still: others may have answered newer since.
            return None
        return Response(
            answer.status, answer.body, 1 if answer.status == http_status.UNAVAILABLE else 0
        )
