"""A controller process: serves users, workers and peers, and takes part in leader election."""

import asyncio
import logging
from collections.abc import Callable
from functools import partial

import msgspec

from weldhead.clock import MILLISECOND_US, PROCESS_STARTED_US, SECOND_US, now_us, seconds_us
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.controller.leadership.leader import Leader
from weldhead.controller.leadership.leader_election import LeaderElection
from weldhead.controller.leadership.peer_directory import PeerDirectory
from weldhead.controller.memory_monitor import MemoryMonitor
from weldhead.controller.requests.request_handler import RequestHandler
from weldhead.controller.workers.heartbeat_forwarding import HeartbeatForwarding
from weldhead.documents.records import DocumentSet
from weldhead.protocol import http_status
from weldhead.protocol.peer import (
    ForwardedAnswer,
    ForwardedRequest,
    IndirectProbe,
    IndirectProbeAnswer,
    LeaderResigned,
    Message,
    Ping,
    Pong,
    PromiseRequest,
)
from weldhead.protocol.settings import Settings
from weldhead.protocol.versions import CURRENT_FORMAT
from weldhead.protocol.wire import Heartbeat, LeaderRedirect, MachineType
from weldhead.reconciliation.answer_window import describe_unmet_guarantee
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.cloud_client import CloudClient
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.http_server import (
    Handler,
    HttpListener,
    HttpServer,
    Response,
    error_response,
    unavailable_response,
)
from weldhead.transport.peer_links import PeerLink, PeerServer
from weldhead.transport.state_client import StateClient
from weldhead.tunables.defaults import Tunables

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode
_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)

#: How long a peer may take to answer a ping before the connection to it is opened again.
PONG_TIMEOUT_US = 2 * SECOND_US
#: A timer that fires late by at least this time shows that this process was paused.
PROCESS_PAUSE_THRESHOLD_US = 500 * MILLISECOND_US
#: The time between the answer to a ping, or its timeout, and the next ping.
PING_INTERVAL_S = 0.4


class ControllerProcess:
    """One controller process: its servers, its links to the peers, and its background tasks.

    ``client`` and ``server`` create the HTTP client and server; ``offer`` is the set of documents
    that this node offers to the leader, or None if this node has no documents.
    """

    def __init__(
        self,
        settings: Settings,
        tunables: Tunables,
        *,
        client: Callable[..., HttpClient] = HttpClient,
        server: Callable[[Handler], HttpListener] = HttpServer,
        started_us: int = PROCESS_STARTED_US,
        offer: DocumentSet | None = None,
    ) -> None:
        self.settings = settings
        self.tunables = tunables
        self._client_factory = client
        self._server_factory = server
        self._background_tasks = BackgroundTasks()
        self._links = {peer.name: PeerLink(peer, settings.name) for peer in settings.peers}
        self._forwarding = HeartbeatForwarding()
        self._document_set = offer
        self.memory = MemoryMonitor(settings.facts.limits.memory_mb)
        self.election = LeaderElection(
            settings, tunables, self._links, self._background_tasks, started_us
        )
        self.peers = PeerDirectory(settings.name, self._links, self.election, started_us)

    def _log_unmet_guarantee(self) -> None:
        """Log which guarantee about cancellations the configured times don't allow, if any."""
        workers = self.settings.facts.workers
        unmet_guarantee = describe_unmet_guarantee(
            seconds_us(workers.cancel_s), seconds_us(workers.lease_s)
        )
        if unmet_guarantee:
            log.warning("%s", unmet_guarantee)

    @property
    def leader(self) -> Leader | None:
        """This node's term, or None while it is a follower."""
        return self.election.leader

    @property
    def catalog(self) -> list[MachineType]:
        """The machine types of the cloud; empty until they are known."""
        return self.election.catalog

    async def run(self) -> None:
        """Serve requests until cancelled."""
        # Only a part of the sockets is used for outgoing calls, because users and workers need the
        # rest to connect. Direct commands to workers have a separate connection pool, so that they
        # never delay a call to the state service.
        sockets = self.settings.facts.limits.sockets
        self._http = self._client_factory(max(8, sockets // 16))
        self._worker_http = self._client_factory(max(8, sockets // 7), 15.0)
        self._state = StateClient(
            self._http, self.settings.services.state, self.settings.facts.state
        )
        self._cloud = CloudClient(
            self._http, self.settings.services.cloud, self.settings.facts.cloud
        )
        if self._document_set is not None:
            self.peers.documents = self._follow_documents(self._document_set)
        self.election.open(self._state, self._cloud, self._worker_http, self.peers.documents)
        self.peers.open(self._state)
        teams = self.settings.facts.teams
        self._request_handler = RequestHandler(
            self.peers, self._state, teams, 1 + len(self._links), self.memory
        )
        server = self._server_factory(self._handle)
        peer_server = PeerServer(
            self._handle_peer_message, self._background_tasks, set(self._links)
        )
        try:
            await server.start(self.settings.listen)
            await peer_server.start(self.settings.peer_listen)
            for link in self._links.values():
                self._background_tasks.start(f"link to {link.name}", link.run, 0.05)
                self._background_tasks.start(
                    f"pings to {link.name}", partial(self._send_pings, link)
                )
            self._background_tasks.start("catalog", self._watch_catalog)
            self._background_tasks.start("peers", self.peers.watch)
            self.election.start()
            self._log_unmet_guarantee()
            log.info("%s serves %s", self.settings.name, self.settings.listen)
            await asyncio.Event().wait()
        finally:
            await self.election.close()
            await self._background_tasks.close()
            await peer_server.close()
            await server.close()
            await self._http.close()
            await self._worker_http.close()

    def _follow_documents(self, offer: DocumentSet) -> DocumentReplica:
        """Start to replicate calendars and gates, on a node that has documents."""
        # Only controllers that have documents load these modules.
        from weldhead.controller.configuration.calendar_binder import CalendarBinder
        from weldhead.controller.configuration.deadline_table_follower import DeadlineTableFollower
        from weldhead.controller.configuration.gate_binder import GateBinder

        documents = DocumentReplica(self._state, offer, self.peers.ask_leader)
        self._background_tasks.start("documents", documents.follow)
        self._background_tasks.start("document offer", documents.offer_own_documents)
        documents.binders.append(GateBinder(documents.cache))
        CalendarBinder(documents, round(self.settings.facts.clock_error_ms * MILLISECOND_US))
        self._background_tasks.start(
            "deadline table", DeadlineTableFollower(documents, self._state).follow
        )
        return documents

    # -- leadership -------------------------------------------------------------------

    async def _watch_catalog(self) -> None:
        while True:
            self.election.update_catalog(await self._cloud.catalog())
            await asyncio.sleep(60.0)

    # -- peers ------------------------------------------------------------------------

    async def _send_pings(self, link: PeerLink) -> None:
        while True:
            await link.connected_event.wait()
            at_us = now_us()
            token = self.election.lease.token if self.election.lease.is_valid(at_us) else 0
            silent = self.leader.silent_machines(at_us) if self.leader is not None else ()
            memory_exhausted, highest_token = (
                self.memory.is_exhausted(at_us),
                self.election.highest_token,
            )
            ping = Ping(
                link.next_id(),
                token,
                self._state.is_available,
                silent,
                memory_exhausted,
                highest_token,
            )
            try:
                pong = await link.request(ping, Pong, PONG_TIMEOUT_US)
                self.election.observe_pong(link.name, pong, at_us)
            except CallError:
                # If this process was paused, the peer may have answered in time. Its messages
                # are read next, so the connection is kept.
                if now_us() - at_us < PONG_TIMEOUT_US + PROCESS_PAUSE_THRESHOLD_US:
                    link.drop()
            await asyncio.sleep(PING_INTERVAL_S)

    async def _handle_peer_message(self, name: str, message: Message) -> Message | None:
        at_us = now_us()
        match message:
            case Ping():
                self._links[name].last_request_us = at_us
                self.election.observe_token(name, message.known_token)
                if message.token:
                    self.election.observe_leader(name, message.token)
                    self.memory.observe_leader(at_us, full=message.full)
                    self._forwarding.record_silent_machines(message.silent, at_us)
                is_leader, highest_token = self.leader is not None, self.election.highest_token
                return Pong(
                    message.id, self._state.is_available, CURRENT_FORMAT, is_leader, highest_token
                )
            case ForwardedRequest():
                answer = await self._answer_peer(message)
                return ForwardedAnswer(message.id, answer.status, answer.body)
            case PromiseRequest():
                return await self.election.answer_promise_request(name, message)
            case IndirectProbe():
                return IndirectProbeAnswer(
                    message.id, (await self.election.failure_detector.probe(message.name)).value
                )
            case LeaderResigned():
                self._background_tasks.spawn(
                    "leader resignation", self.election.replace_resigned_leader(message)
                )
                return None
            case _:
                log.error(
                    "unexpected %s from peer %s ignored: not a request",
                    type(message).__name__,
                    name,
                )
                return None

    async def _answer_peer(self, request: ForwardedRequest) -> Response:
        match request.kind:
            case "submit":
                return await self._request_handler.submit(request.body, forwarded=True)
            case "poll":
                # A node that has no jobs in memory would have to read the state service. Which
                # poll may do that is decided by the controller that owns the job's polls.
                if self.leader is None or not self.leader.loaded:
                    return unavailable_response("not a leader that has read the jobs")
                return await self._request_handler.poll(request.job_id, forwarded=True)
            case "read":
                return await self._request_handler.poll(request.job_id, ask_peers=False)
            case "known":
                return self._request_handler.known_status(request.job_id)
            case "cancel":
                return await self._request_handler.cancel(request.job_id, forwarded=True)
            case "report":
                return await self._handle_heartbeat(request.body, relayed=True)
            case "documents" if self.leader is not None and self.leader.publisher is not None:
                return self.leader.publisher.handle_offer(request.body)
            case _:
                return unavailable_response("unknown kind")

    # -- HTTP requests ----------------------------------------------------------------

    async def _handle(self, method: str, path: str, body: bytes) -> Response:
        if path == "/v1/report" and method == "POST":
            return await self._handle_heartbeat(body, relayed=False)
        if path == "/ready" and method == "GET":
            return self.peers.ready()
        if path == "/submissions" and method == "POST":
            return await self._request_handler.submit(body)
        if path.startswith("/submissions/"):
            job_id = path.removeprefix("/submissions/")
            if method == "GET" and "/" not in job_id:
                return await self._request_handler.poll(job_id)
            if method == "POST" and job_id.endswith("/cancel"):
                return await self._request_handler.cancel(job_id.removesuffix("/cancel"))
        return error_response(http_status.NOT_FOUND, "no such path")

    async def _handle_heartbeat(self, body: bytes, *, relayed: bool) -> Response:
        at_us = now_us()
        try:
            heartbeat = _heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.exception("malformed heartbeat refused")
            return error_response(http_status.BAD_REQUEST, str(error))
        leader = self.leader
        if leader is not None and self.election.lease.is_valid(at_us):
            answer = leader.handle_heartbeat(heartbeat, at_us, relayed=relayed)
            if answer is not None:
                return Response(http_status.OK, _encode(answer))
            return unavailable_response("not now")
        self.election.observe_token(heartbeat.machine, heartbeat.token)
        record = self.election.known_leader
        if record is None or record.name not in self._links:
            return Response(http_status.MISDIRECTED, _encode(LeaderRedirect()))
        return await self._forward_heartbeat(
            heartbeat.machine, body, record.name, at_us, relayed=relayed
        )

    async def _forward_heartbeat(
        self, machine: str, body: bytes, leader: str, at_us: int, *, relayed: bool
    ) -> Response:
        """Relay a heartbeat that reached this follower to the leader, or redirect its worker."""
        link = self._links[leader]
        if link.is_responsive(at_us):
            if relayed or self._forwarding.should_forward(machine, at_us):
                answer = await self.peers.forward(link, "report", "", body)
                if answer is not None and answer.status == http_status.OK:
                    return answer
            if relayed:
                return error_response(http_status.UNAVAILABLE, "not now")
            self._forwarding.record_redirect(machine, at_us)
            return Response(http_status.MISDIRECTED, _encode(LeaderRedirect(leader)))
        if not relayed:
            # The leader may be cut off from this zone. A worker that was redirected to it would
            # lose seconds of its lease, while another node may still reach the leader.
            for other in self._links.values():
                if other.name != leader and other.is_responsive(at_us):
                    answer = await self.peers.forward(other, "report", "", body)
                    if answer is not None and answer.status == http_status.OK:
                        return answer
        return Response(http_status.MISDIRECTED, _encode(LeaderRedirect()))
