"""Forwards requests to other controllers, and detects whether this controller is isolated."""

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
from weldhead.protocol.versions import DOCUMENTS_FORMAT, JOB_DEPENDENCIES_FORMAT
from weldhead.protocol.wire import MachineType
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, unavailable_response
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import StateClient

log = logging.getLogger(__name__)

#: How long another controller may take to answer a request that a user or worker sent here.
FORWARD_TIMEOUT_US = 900 * MILLISECOND_US
#: The time between two checks whether this node is isolated.
ISOLATION_CHECK_INTERVAL_US = 200 * MILLISECOND_US
#: How long the state service may take to answer the probe of a node that reaches no peer.
SERVICE_PROBE_TIMEOUT_US = 400 * MILLISECOND_US


class PeerDirectory:
    """The peers of this node, as far as its request handlers need them."""

    def __init__(
        self, name: str, links: Mapping[str, PeerLink], election: LeaderElection, started_us: int
    ) -> None:
        self._name = name
        self._links = links
        self._election = election
        self._isolation = IsolationDetector(started_us)
        #: Counts forwarded requests, so that successive ones go to different peers.
        self._forward_count = 0
        #: The calendars and gates; None if this node has no documents.
        self.documents: DocumentReplica | None = None

    def open(self, state: StateClient) -> None:
        """Set the client of the state service; has to be called before any other method."""
        self._state = state

    @property
    def leader(self) -> Leader | None:
        """This node's term, or None while it is a follower."""
        return self._election.leader

    @property
    def catalog(self) -> list[MachineType]:
        """The machine types of the cloud; empty until they are known."""
        return self._election.catalog

    # -- isolation ----------------------------------------------------------------------------

    @property
    def isolated(self) -> bool:
        """Whether neither the state service nor any peer answers this controller."""
        return self._isolation.isolated

    async def watch(self) -> None:
        """Check periodically whether this controller is isolated; a background task."""
        while self._links:
            await asyncio.sleep(to_seconds(ISOLATION_CHECK_INTERVAL_US))
            self._update_isolation()
            if self._isolation.probe_wanted:
                # If no call was made to the state service for seconds, no failed call shows
                # that it is out of reach.
                try:
                    await self._state.get(
                        LEADER_KEY, urgent=True, timeout_us=SERVICE_PROBE_TIMEOUT_US
                    )
                except CallError as error:
                    log.debug(
                        "all peers are silent, and the state service does not answer: %s", error
                    )
                self._update_isolation()
        await asyncio.Event().wait()

    def _update_isolation(self) -> None:
        answered_us = max(link.last_message_us for link in self._links.values())
        contact = LastContact(answered_us, self._state.last_served_us, self._state.last_failed_us)
        if self._isolation.update(contact, now_us()):
            if self.isolated:
                log.info(
                    "%s is isolated: neither the state service nor another controller answers; "
                    "users and workers are sent to other controllers",
                    self._name,
                )
            else:
                log.info("%s is no longer isolated", self._name)

    def ready(self) -> Response:
        """Answer the load balancer's health check.

        The node is ready if it can serve users as well as the other controllers can.
        """
        if not self.catalog:
            return unavailable_response("machine types not known yet")
        if self.isolated:
            return unavailable_response("this node is alone")
        if not self._state.is_available and self._served_peers(now_us()):
            return unavailable_response("the state service refuses this node")
        # In an outage of the state service every node stays ready, because a load balancer
        # without a healthy node rejects all users.
        return Response(http_status.OK, b"{}")

    # -- forwarding to peers ------------------------------------------------------------------

    async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
        """Forward a request to the leader; return None if the leader cannot be reached."""
        record = self._election.known_leader
        link = self._links.get(record.name) if record is not None else None
        if link is None or not link.is_responsive(now_us()):
            # Each request that was forwarded to a silent leader made its user wait for most of
            # a second.
            return None
        return await self.forward(link, kind, job_id, body)

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        """Forward a request to a peer that the state service serves.

        Returns None if there is no such peer, or if the peer does not answer.
        """
        min_format = JOB_DEPENDENCIES_FORMAT if chained else 0
        if self.documents is not None and kind == "submit":
            # A peer of an earlier version would accept a job without its calendars and gates.
            min_format = DOCUMENTS_FORMAT
        served = self._served_peers(now_us(), min_format)
        if not served:
            return None
        self._forward_count += 1
        followers = [link for link in served if not self._is_leader(link)]
        if kind == "poll" and followers:
            # The poll was forwarded to the leader before. A follower refuses a request of kind
            # "poll", so a user who reached only followers was never answered. A request of
            # kind "read" makes the follower read the job from the state service itself.
            link, kind = followers[self._forward_count % len(followers)], "read"
        else:
            # The peers take turns, so that one failing peer does not fail every request.
            link = served[self._forward_count % len(served)]
        return await self.forward(link, kind, job_id, body)

    async def ask_poll_owner(self, job_id: str) -> Response | None:
        """Forward a poll to the controller that owns the polls of this job.

        The owner records how long the job's user has waited for an answer. All controllers
        choose the same owner, by the job's id, among the controllers that the state service
        serves. Returns None if this controller is the owner. Raises CallError if the owner does
        not answer in time.
        """
        links = {link.name: link for link in self._served_peers(now_us(), DOCUMENTS_FORMAT)}
        served = [*links, self._name] if self._state.is_available else [*links]
        owner = max(
            served, key=lambda name: sha256(f"{job_id} {name}".encode()).digest(), default=""
        )
        if owner not in links:
            return None
        answer = await self.forward(links[owner], "read", job_id, b"")
        if answer is None:
            raise CallError(f"{owner} did not answer a poll of job {job_id} in time")
        return answer

    def peers_support(self, min_format: int) -> bool:
        """Return whether no peer is known to use an earlier format than the given one."""
        return all(not 0 < link.format < min_format for link in self._links.values())

    def _is_leader(self, link: PeerLink) -> bool:
        record = self._election.known_leader
        return record is not None and record.name == link.name

    def _served_peers(self, at_us: int, min_format: int = 0) -> list[PeerLink]:
        """Return the live peers that the state service serves, of at least the given format."""
        return [
            link
            for link in self._links.values()
            if link.is_responsive(at_us) and link.state_ok and link.format >= min_format
        ]

    async def forward(self, link: PeerLink, kind: str, job_id: str, body: bytes) -> Response | None:
        """Forward a request to a peer; return None if the peer does not answer in time."""
        if not link.is_connected:
            return None
        at_us = now_us()
        try:
            answer = await link.request(
                ForwardedRequest(link.next_id(), kind, job_id, body),
                ForwardedAnswer,
                FORWARD_TIMEOUT_US,
            )
        except CallError:
            return None
        if now_us() - at_us > FORWARD_TIMEOUT_US:
            # The answer was read late because this process was paused. Other controllers may
            # have given newer answers in the meantime.
            return None
        return Response(
            answer.status, answer.body, 1 if answer.status == http_status.UNAVAILABLE else 0
        )
