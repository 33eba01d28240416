"""A controller: campaigns, follows or leads, and answers whoever asks."""

import asyncio
import logging
import secrets
from collections.abc import Callable
from functools import partial

import msgspec

from weldhead.bookkeeping.records import LEADER_KEY, LeaderRecord
from weldhead.clock import MILLISECOND_US, PROCESS_STARTED_US, SECOND_US, now_us, to_seconds
from weldhead.coordination.frontdesk import FrontDesk
from weldhead.coordination.leader import Leader
from weldhead.coordination.leadership import (
    Authority,
    Candidacy,
    default_timing,
    handicap_us,
    predecessor_over_us,
)
from weldhead.coordination.relays import Relays
from weldhead.coordination.term import Term
from weldhead.duties import Duties
from weldhead.protocol.peer import Answer, Ask, Held, Hold, Message, Ping, Pong, Resigned
from weldhead.protocol.settings import Settings
from weldhead.protocol.versions import CHAINS_FORMAT, FORMAT
from weldhead.protocol.wire import Condition, MachineType, Put, Redirect, Report
from weldhead.transport.cloud import CloudClient
from weldhead.transport.http import CallFailed, HttpClient
from weldhead.transport.peers import PeerLink, PeerServer
from weldhead.transport.server import Handler, HttpServer, Listening, Response, refusal
from weldhead.transport.state import Compacted, Conflict, LeaseGone, StateClient, decode
from weldhead.tunables.defaults import Tunables

log = logging.getLogger(__name__)

_encode = msgspec.json.Encoder().encode
_report_decoder = msgspec.json.Decoder(Report)

#: How long a user's or worker's request may take on its way through another node.
FORWARD_US = 900 * MILLISECOND_US

#: Between two pings.
PING_S = 0.4


class Node:
    """One controller process."""

    def __init__(
        self,
        settings: Settings,
        tunables: Tunables,
        *,
        client: Callable[..., HttpClient] = HttpClient,
        server: Callable[[Handler], Listening] = HttpServer,
        started_us: int = PROCESS_STARTED_US,
    ) -> None:
        self.settings = settings
        self.tunables = tunables
        self._client = client
        self._serve = server
        self.timing = default_timing(tunables.leadership.ttl_us)
        self.authority = Authority(self.timing, frozenset(p.name for p in settings.peers))
        self.candidacy = Candidacy(self.timing, started_us)
        self.leader: Leader | None = None
        self.catalog: list[MachineType] = []
        self._known_leader: LeaderRecord | None = None
        self._known_token = 0
        self._leader_revision = 0
        #: Nonces of this process's own records: any other under our name is a former life's.
        self._nonces: set[str] = set()
        self._vacant = asyncio.Event()
        self._duties = Duties()
        self._links = {p.name: PeerLink(p, settings.name) for p in settings.peers}
        self._relays = Relays()
        #: Peers that have said, in this process's life, that they are in no term.
        self._in_no_term: set[str] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        # Users' and workers' own connections need the rest. Direct commands have a pool of
        # their own, so that they never keep a call to the store waiting.
        sockets = self.settings.facts.limits.sockets
        self._http = self._client(max(8, sockets // 16))
        self._worker_http = self._client(max(8, sockets // 7), 15.0)
        self._state = StateClient(
            self._http, self.settings.services.state, self.settings.facts.state
        )
        self._cloud = CloudClient(
            self._http, self.settings.services.cloud, self.settings.facts.cloud
        )
        self._desk = FrontDesk(self, self._state, self.settings.facts.teams)
        server = self._serve(self._handle)
        peer_server = PeerServer(self._peer_request, self._duties, set(self._links))
        try:
            await server.start(self.settings.listen)
            await peer_server.start(self.settings.peer_listen)
            for link in self._links.values():
                link.on_lost = self._peer_lost
                self._duties.start(f"link to {link.name}", link.run, 0.05)
                self._duties.start(f"pings to {link.name}", partial(self._ping, link))
            self._duties.start("catalog", self._watch_catalog)
            self._duties.start("leader watch", self._watch_leader, 0.2)
            self._duties.start("campaign", self._campaign, 0.2)
            log.info("%s serves %s", self.settings.name, self.settings.listen)
            await asyncio.Event().wait()
        finally:
            if self.leader is not None:
                await self.leader.close()
            await self._duties.close()
            await peer_server.close()
            await server.close()
            await self._http.close()
            await self._worker_http.close()

    # -- leadership -------------------------------------------------------------------

    async def _watch_catalog(self) -> None:
        while True:
            self.catalog = await self._cloud.catalog()
            if self.leader is not None:
                self.leader.new_catalog(self.catalog)
            await asyncio.sleep(60.0)

    async def _watch_leader(self) -> None:
        """Follow the leader's key."""
        await self._read_leader()
        while True:
            try:
                changes = await self._state.watch(LEADER_KEY, self._leader_revision, 10 * SECOND_US)
            except Compacted:
                await self._read_leader()
                continue
            for event in changes.events:
                if event.put == LEADER_KEY or event.delete == LEADER_KEY:
                    await self._read_leader()
                    break
            self._leader_revision = max(self._leader_revision, changes.revision)

    async def _read_leader(self) -> None:
        entry = await self._state.get(LEADER_KEY, urgent=True)
        if entry is None:
            self._known_leader = None
            self._vacant.set()
            return
        self._known_leader = decode(bytes(entry.value), LeaderRecord)
        self._known_token = entry.version
        self._leader_revision = max(self._leader_revision, entry.version)
        self._vacant.clear()
        if self._known_leader.name == self.settings.name:
            self._duties.once("return", self._come_back(self._known_leader, entry.version))

    async def _come_back(self, record: LeaderRecord, token: int) -> None:
        """Replace the key of this node's own former life, which surely commands nothing.

        Without this all controllers, ending at once, waited for a dead leader's lease: up
        to its whole length after an outage, when every lease has its full time again.
        """
        if record.nonce in self._nonces:
            return
        while not self.catalog or not self.candidacy.may_lead(now_us()):  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        if self.leader is None and self._known_token == token:
            log.info("%s led until it ended: taking up again", record.name)
            await self._stand(token, 0)

    def _peer_lost(self, name: str) -> None:
        """The leader's process looks dead: do not wait for its lease to run out."""
        record = self._known_leader
        if record is not None and record.name == name and self.catalog:
            self._duties.once("takeover", self._take_over(record, self._known_token))

    async def _take_over(self, record: LeaderRecord, token: int) -> None:
        """Replace a leader that looks dead.

        Replacing its key at once, instead of ending its lease, leaves no moment in which a
        third node could take a leader that was pushed out for one whose lease ran out.
        """
        at_us = now_us()
        others = (link for link in self._links.values() if link.name != record.name)
        unreached = sum(1 for link in others if not link.alive(at_us))
        await asyncio.sleep(to_seconds(handicap_us(unreached)))
        if self._known_token != token:
            return
        if self.leader is None and self.candidacy.may_lead(now_us()):
            log.info("%s looks dead: taking over", record.name)
            await self._stand(token, record.ttl_us)

    async def _campaign(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._vacant.wait(), 5.0)
            except asyncio.TimeoutError:
                await self._read_leader()
                continue
            if self.leader is not None or not self.catalog:
                await asyncio.sleep(0.1)
                continue
            wait_us = self.candidacy.wait_us(now_us())
            if wait_us:
                # The promises of a former life may turn out to bind nobody.
                await asyncio.sleep(to_seconds(min(wait_us, 20 * MILLISECOND_US)))
                continue
            await self._stand(0, 0)

    async def _stand(self, replaced: int, believes_us: int) -> None:
        """Try to write the leader's key.

        ``replaced`` is the token of the leader to be replaced, or 0 if the key has to be
        absent; ``believes_us`` is for how long that leader may still believe in its lease.
        """
        sent_us = now_us()
        lease = await self._state.grant(self.timing.ttl_us)
        record = LeaderRecord(self.settings.name, secrets.token_hex(8), self.timing.ttl_us)
        self._nonces.add(record.nonce)
        try:
            token = await self._state.transact(
                [Condition(LEADER_KEY, replaced)], [Put(LEADER_KEY, record, lease)], urgent=True
            )
        except (Conflict, LeaseGone):
            self._duties.once("lease returned", self._state.revoke(lease))
            await self._read_leader()
            return
        except CallFailed:
            # It may have been applied: only the key itself can tell.
            entry = await self._state.get(LEADER_KEY, urgent=True)
            if entry is None or decode(bytes(entry.value), LeaderRecord).nonce != record.nonce:
                return
            token = entry.version
        at_us = now_us()
        if not self.candidacy.may_lead(at_us):
            # Promised to another meanwhile: the key goes with its lease.
            await self._state.revoke(lease)
            return
        self.authority.begin(token, lease, sent_us)
        if not self.authority.valid(at_us):
            self.authority.end()
            return
        self._known_leader, self._known_token = record, token
        self._vacant.clear()
        over_us = predecessor_over_us(at_us, believes_us)
        log.info("%s leads with token %d", self.settings.name, token)
        term = Term(
            self.settings, self.tunables, self.authority, self._state, self._cloud,
            self._worker_http, self.catalog, over_us, self._step_down,
        )  # fmt: skip
        self.leader = Leader(term)
        self.leader.start()
        self._duties.once("lease renewal", self._renew(self.leader))

    async def _renew(self, leader: Leader) -> None:
        """Keep the lease; the term ends with the authority."""
        pause_us = self.timing.renew_us
        failing = False
        while self.leader is leader:
            await asyncio.sleep(to_seconds(pause_us))
            sent_us = now_us()
            try:
                await self._state.extend(self.authority.lease, self.timing.renew_us)
                self.authority.renewed(sent_us)
                pause_us = self.timing.renew_us
                failing = False
            except LeaseGone:
                self._step_down("the lease is gone")
            except CallFailed as error:
                # Said once for each trouble, not at each of its many attempts.
                log.log(logging.DEBUG if failing else logging.INFO, "lease not renewed: %s", error)
                failing = True
                pause_us = self.timing.renew_us // 3
                await self._hold_on()
                if self.leader is leader and not self.authority.valid(now_us()):
                    self._step_down("the lease ran out")

    async def _hold_on(self) -> None:
        """The state service does not serve the leader: is it an outage, or only us?

        In an outage all peers promise not to lead for a moment, and the term goes on; if
        one of them is served, it takes over at once.
        """
        links = list(self._links.values())
        if not links or not all(link.connected for link in links):
            return
        token = self.authority.token
        sent_us = now_us()
        asked = [
            link.ask(
                Hold(link.next_id(), self.authority.token, self.timing.promise_us),
                Held,
                self.timing.renew_us,
            )
            for link in links
        ]
        answers = await asyncio.gather(*asked, return_exceptions=True)
        if self.authority.token != token:
            # Promised to a term that is over: counted for the next one, they would bind
            # nobody who has said since that it knows of no term.
            return
        for link, answer in zip(links, answers, strict=True):
            if isinstance(answer, Held) and answer.promised:
                self.authority.promised(link.name, sent_us)
            elif isinstance(answer, Held) and self.leader is not None:
                self._step_down(f"the state service serves {link.name} but not this node")
                link.send(Resigned(0, token))
                return

    async def _promise(self, hold: Hold) -> bool:
        """Whether to promise the leader not to campaign: only if we are not served either."""
        try:
            await self._state.get(LEADER_KEY, urgent=True, timeout_us=self.timing.renew_us // 2)
            return False
        except CallFailed:
            if self.leader is not None or hold.duration_us > self.timing.promise_us:
                raise
            if hold.token < self._known_token:
                # Replaced, and does not know it: a later leader may have answered workers.
                return False
            # From here on until the promise is over, this node does not become leader.
            self.candidacy.promise(now_us())
            return True

    async def _succeed(self, message: Resigned) -> None:
        """The leader says that it has stopped commanding: replace it at once."""
        if self.leader is None and self.catalog and self.candidacy.may_lead(now_us()):
            await self._stand(message.token, 0)

    def _step_down(self, reason: str) -> None:
        leader = self.leader
        if leader is None:
            return
        log.info("%s leads no more: %s", self.settings.name, reason)
        self.leader = None
        self.authority.end()
        self._known_leader = None
        self._duties.once("end of term", leader.close())
        self._duties.once("leader lookup", self._read_leader())

    # -- peers ------------------------------------------------------------------------

    async def _ping(self, link: PeerLink) -> None:
        while True:
            await link.up.wait()
            at_us = now_us()
            token = self.authority.token if self.authority.valid(at_us) else 0
            silent = self.leader.silent_machines(at_us) if self.leader is not None else ()
            ping = Ping(link.next_id(), token, self._state.ok, silent)
            try:
                pong = await link.ask(ping, Pong, 2 * SECOND_US)
                self._heard_pong(link.name, pong)
            except CallFailed:
                link.drop()
            await asyncio.sleep(PING_S)

    def _heard_pong(self, name: str, pong: Pong) -> None:
        if pong.leads:
            self._in_no_term.discard(name)
            return
        self._in_no_term.add(name)
        if len(self._in_no_term) == len(self._links):
            self.candidacy.nobody_leads()

    async def _peer_request(self, name: str, message: Message) -> Message | None:
        at_us = now_us()
        match message:
            case Ping():
                if message.token:
                    self._hear_leader(name, message.token)
                    self._relays.leader_misses(message.silent, at_us)
                return Pong(message.id, self._state.ok, FORMAT, self.leader is not None)
            case Ask():
                answer = await self._answer_peer(message)
                return Answer(message.id, answer.status, answer.body)
            case Hold():
                return Held(message.id, await self._promise(message))
            case Resigned():
                self._duties.once("succession", self._succeed(message))
                return None
            case _:
                log.error("peer %s asked with an answer", name)
                return None

    async def _answer_peer(self, ask: Ask) -> Response:
        match ask.kind:
            case "submit":
                return await self._desk.submit(ask.body, forwarded=True)
            case "poll":
                if self.leader is None:
                    return refusal(503, "not the leader", retry_after_s=1)
                return await self._desk.poll(ask.job_id, forwarded=True)
            case "cancel":
                return await self._desk.cancel(ask.job_id, forwarded=True)
            case "report":
                return await self._report(ask.body, relayed=True)
            case _:
                return refusal(503, "unknown kind", retry_after_s=1)

    def _hear_leader(self, name: str, token: int) -> None:
        """A peer says that it leads: a node that the store does not serve learns it so.

        Without this a follower cut off from the store sent workers to nobody, or to the
        leader before last, while it could have relayed their reports.
        """
        if token > self._known_token or (self._known_leader is None and self.leader is None):
            if self.leader is None:
                self._known_leader = LeaderRecord(name, "", self.timing.ttl_us)
                self._known_token = token

    def _leader_link(self) -> PeerLink | None:
        if self._known_leader is None:
            return None
        return self._links.get(self._known_leader.name)

    async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
        """Have the leader answer; None if it cannot be reached."""
        link = self._leader_link()
        return await self._forward(link, kind, job_id, body) if link is not None else None

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        """Have a peer answer that the state service serves; None if there is none."""
        link = self._served_peer(now_us(), CHAINS_FORMAT if chained else 0)
        return await self._forward(link, kind, job_id, body) if link is not None else None

    def peers_know_chains(self) -> bool:
        """Whether no peer is known to run a version that would start jobs that wait."""
        return all(not 0 < link.format < CHAINS_FORMAT for link in self._links.values())

    def _served_peer(self, at_us: int, least_format: int = 0) -> PeerLink | None:
        """Return a live peer of that format or a later one that the state service serves."""
        served = (
            link
            for link in self._links.values()
            if link.alive(at_us) and link.state_ok and link.format >= least_format
        )
        return next(served, None)

    async def _forward(
        self, link: PeerLink, kind: str, job_id: str, body: bytes
    ) -> Response | None:
        if not link.connected:
            return None
        try:
            answer = await link.ask(Ask(link.next_id(), kind, job_id, body), Answer, FORWARD_US)
        except CallFailed:
            return None
        return Response(answer.status, answer.body, 1 if answer.status == 503 else 0)

    # -- HTTP -------------------------------------------------------------------------

    async def _handle(self, method: str, path: str, body: bytes) -> Response:
        if path == "/v1/report" and method == "POST":
            return await self._report(body, relayed=False)
        if path == "/ready" and method == "GET":
            return self._ready()
        if path == "/submissions" and method == "POST":
            return await self._desk.submit(body)
        if path.startswith("/submissions/"):
            job_id = path.removeprefix("/submissions/")
            if method == "GET" and "/" not in job_id:
                return await self._desk.poll(job_id)
            if method == "POST" and job_id.endswith("/cancel"):
                return await self._desk.cancel(job_id.removesuffix("/cancel"))
        return refusal(404, "no such path")

    def _ready(self) -> Response:
        at_us = now_us()
        if not self.catalog:
            return refusal(503, "machine types not known yet", retry_after_s=1)
        refused = not self._state.ok
        if refused and self._served_peer(at_us) is not None:
            return refusal(503, "the state service refuses this node", retry_after_s=1)
        return Response(200, b"{}")

    async def _report(self, body: bytes, *, relayed: bool) -> Response:
        at_us = now_us()
        try:
            report = _report_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.error("malformed report refused: %s", error)
            return refusal(400, str(error))
        leader = self.leader
        if leader is not None and self.authority.valid(at_us):
            answer = leader.report(report, at_us, relayed=relayed)
            if answer is not None:
                return Response(200, _encode(answer))
            return refusal(503, "not now", retry_after_s=1)
        record = self._known_leader
        if record is None or record.name not in self._links:
            return Response(421, _encode(Redirect()))
        return await self._pass_on(report.machine, body, record.name, at_us, relayed=relayed)

    async def _pass_on(
        self, machine: str, body: bytes, leader: str, at_us: int, *, relayed: bool
    ) -> Response:
        """A worker's report has reached a follower: redirect the worker, or relay it."""
        link = self._links[leader]
        if link.alive(at_us):
            if relayed or self._relays.wanted(machine, at_us):
                answer = await self._forward(link, "report", "", body)
                if answer is not None and answer.status == 200:
                    return answer
            if relayed:
                return refusal(503, "not now")
            self._relays.redirected(machine, at_us)
            return Response(421, _encode(Redirect(leader)))
        if not relayed:
            # A worker sent to a leader that is cut off from this zone would lose seconds
            # of its lease: another node may reach that leader.
            for other in self._links.values():
                if other.name != leader and other.alive(at_us):
                    answer = await self._forward(other, "report", "", body)
                    if answer is not None and answer.status == 200:
                        return answer
        return Response(421, _encode(Redirect()))
