"""Leader election: following the leader's key, campaigning, renewing, and failover.

The rules are in ``leader_lease.py``; this asks the state service and the other controllers.
One module, as all its events read and change the same few fields in one order.
"""

import asyncio
import contextlib
import gc
import logging
import secrets
from collections.abc import Mapping
from dataclasses import dataclass

from weldhead.clock import (
    MILLISECOND_US,
    SECOND_US,
    now_us,
    seconds_us,
    to_seconds,
    wall_us,
)
from weldhead.cluster_state.records import (
    LEADER_KEY,
    UNSETTLED_KEY,
    LeaderRecord,
    UnsettledRecord,
)
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.controller.leadership.leader import Leader
from weldhead.controller.leadership.leader_lease import (
    Candidacy,
    LeaderLease,
    default_timing,
    handicap_us,
    predecessor_over_us,
)
from weldhead.controller.leadership.lease_renewer import LeaseRenewer, RenewalActions
from weldhead.controller.leadership.peer_failure_detector import PeerFailureDetector
from weldhead.controller.leadership.previous_leaders import PreviousLeaders, missed_from_us
from weldhead.controller.leadership.promises import ask_for_promises
from weldhead.controller.term import Term, TermContext
from weldhead.protocol.peer import LeaderResigned, Pong, PromiseAnswer, PromiseRequest
from weldhead.protocol.settings import Settings
from weldhead.protocol.wire import Condition, MachineType, PutKey
from weldhead.reconciliation.answer_window import (
    earliest_missed_cancellation_us,
    unloaded_answers_until_us,
)
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.cloud_client import CloudClient
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.peer_links import PeerLink
from weldhead.transport.state_client import (
    ConflictError,
    LeaseNotFoundError,
    RateLimitedError,
    RevisionCompactedError,
    StateClient,
    decode,
)
from weldhead.tunables.defaults import Tunables

log = logging.getLogger(__name__)

#: How long an answer to a reading of the leader's key is waited for.
READ_US = 800 * MILLISECOND_US
#: So long after a term's end its memory is taken back, in seconds: whoever was about to use it
#: has noticed by then. Its parts know one another, so only the collector finds that nobody needs
#: them, and by itself it looks at what is old only when much is new: a follower kept its last
#: term's picture (14 MB of 1,400 machines and 24,000 tasks) until it led again. In a next term
#: much is new, and the processor is wanted for it.
RELEASE_S = 5.0


@dataclass(frozen=True)
class _CampaignAttempt:
    """One attempt at the leader's key."""

    record: LeaderRecord
    lease: int
    #: When its lease was asked for, on the steady clock and by the time of day.
    sent_us: int
    wall_us: int
    #: Since when earlier terms may have missed cancellations (time of day); None: settled.
    inherited_us: int | None
    #: For how long the leader that is replaced may still believe in its lease.
    believes_us: int


class LeaderElection:
    """One controller's part in who leads; ``leader`` is its own term, if it has one."""

    def __init__(
        self,
        settings: Settings,
        tunables: Tunables,
        links: Mapping[str, PeerLink],
        background_tasks: BackgroundTasks,
        started_us: int,
    ) -> None:
        self.settings = settings
        self.tunables = tunables
        self._links = links
        self._background_tasks = background_tasks
        self._started_us = started_us
        self.timing = default_timing(tunables.leadership.ttl_us)
        self.lease = LeaderLease(self.timing, frozenset(links))
        self.candidacy = Candidacy(self.timing, started_us)
        self.leader: Leader | None = None
        self.catalog: list[MachineType] = []
        self.known_leader: LeaderRecord | None = None
        self.known_token = 0
        #: The highest token of any leader that was heard of, of whomever. It never falls.
        self.highest_token = 0
        #: Nonces of this process's own records: any other under our name is a former life's.
        self._nonces: set[str] = set()
        #: How all nonces of this process begin, those given up among them.
        self._nonce_prefix = secrets.token_hex(4)
        self._key_absent = asyncio.Event()
        #: One attempt at the key at a time: the end of an earlier one spoiled a later one's term.
        self._campaign_lock = asyncio.Lock()
        self.previous_leaders = PreviousLeaders(
            settings.name, self._nonce_prefix, len(links), self.timing.ttl_us
        )
        #: The leader that this node last tried to replace.
        self._last_challenged_token = 0
        self._lease_renewer: LeaseRenewer | None = None
        self.failure_detector = PeerFailureDetector(links, background_tasks, self._on_peer_dead)

    def open(
        self,
        state: StateClient,
        cloud: CloudClient,
        worker_http: HttpClient,
        documents: DocumentReplica | None = None,
    ) -> None:
        """Use these from now on."""
        self._documents = documents
        self._state = state
        self.previous_leaders.open(state)
        self._cloud = cloud
        self._worker_http = worker_http

    def start(self) -> None:
        """Begin the background tasks."""
        self.failure_detector.start(self._state, self.read_leader)
        self._background_tasks.start("leader watch", self.watch, 0.2)
        self._background_tasks.start("campaign", self.campaign_when_vacant, 0.2)

    async def close(self) -> None:
        """End the term, if there is one."""
        if self.leader is not None:
            await self.leader.close()

    def update_catalog(self, catalog: list[MachineType]) -> None:
        """Take up the machine types and prices that the cloud states now."""
        self.catalog = catalog
        if self.leader is not None:
            self.leader.update_catalog(catalog)

    async def watch(self) -> None:
        """Follow the leader's key."""
        await self.read_leader()
        while True:
            # RevisionCompactedError: it is begun anew at once.
            with contextlib.suppress(RevisionCompactedError):
                if await self.previous_leaders.follow(10 * SECOND_US):
                    await self.read_leader()

    async def read_leader(self, timeout_us: int = READ_US) -> None:
        """Read the leader's key."""
        sent_us = now_us()
        entry = await self._state.get(LEADER_KEY, urgent=True, timeout_us=timeout_us)
        if entry is None:
            if self.leader is not None and sent_us >= self.leader.term.won_us:
                self.step_down("its key is gone")
            self.known_leader = None
            self._key_absent.set()
            return
        if entry.version < self.known_token:
            # Read before what is known was written, and answered late.
            return
        record = decode(bytes(entry.value), LeaderRecord)
        self.previous_leaders.record(record, entry.version)
        self.highest_token = max(self.highest_token, entry.version)
        if self.leader is not None:
            if entry.version == self.leader.token:
                self.lease.confirm_key(sent_us)
            elif entry.version > self.leader.token:
                # Its lease would still be extended: that says nothing of the key.
                self.step_down(f"{record.name} has replaced it")
        self.known_leader, self.known_token = record, entry.version
        self._key_absent.clear()
        if record.name == self.settings.name:
            self._background_tasks.spawn("return", self._replace_own_key(record, entry.version))
        elif record.name in self._links and self._links[record.name].refused_us:
            # It ended before anybody had read that it led, and nobody was looking any more.
            self.failure_detector.suspect(record.name)

    async def _replace_own_key(self, record: LeaderRecord, token: int) -> None:
        """Replace the key of this node's own former life, which surely commands nothing.

        Without this all controllers, ending at once, waited for a dead leader's lease: up
        to its whole length after an outage, when every lease has its full time again.
        """
        if record.nonce in self._nonces:
            return
        while not self.catalog or not self.candidacy.may_lead(now_us()):
            await asyncio.sleep(0.02)
            if self.known_token != token:
                return
        if self.leader is None and self.known_token == token:
            log.info("failover: %s replaces the key of its own earlier process", record.name)
            await self.campaign(token, 0)

    # -- others -----------------------------------------------------------------------------

    async def _on_peer_dead(self, name: str) -> bool:
        """Replace a controller that was judged dead, if it leads; whether to come back to it."""
        record = self.known_leader
        if record is None or record.name != name:
            return False
        if self.catalog:
            await self.take_over(record, self.known_token)
        return True

    async def take_over(self, record: LeaderRecord, token: int) -> None:
        """Replace a leader that looks dead.

        Replacing its key at once, instead of ending its lease, leaves no moment in which a
        third node could take a leader that was pushed out for one whose lease ran out.
        """
        at_us = now_us()
        others = (link for link in self._links.values() if link.name != record.name)
        unreached = sum(1 for link in others if not link.alive(at_us))
        await asyncio.sleep(to_seconds(handicap_us(unreached)))
        if self.known_token != token:
            return
        if self.leader is None and self.candidacy.may_lead(now_us()):
            level = logging.DEBUG if token == self._last_challenged_token else logging.INFO
            log.log(level, "failover: replacing leader %s, which was judged dead", record.name)
            self._last_challenged_token = token
            await self.campaign(token, record.ttl_us)

    async def campaign_when_vacant(self) -> None:
        """Stand whenever the key is free; a background task."""
        while True:
            try:
                await asyncio.wait_for(self._key_absent.wait(), 5.0)
            except asyncio.TimeoutError:
                await self.read_leader()
                continue
            if self.leader is not None or not self.catalog:
                await asyncio.sleep(0.1)
                continue
            wait_us = self.candidacy.wait_us(now_us())
            if wait_us:
                # The promises of a former life may turn out to bind nobody.
                await asyncio.sleep(to_seconds(min(wait_us, 20 * MILLISECOND_US)))
                continue
            await self.campaign(0, 0)

    async def campaign(self, replaced: int, believes_us: int) -> None:
        """Try to write the leader's key.

        ``replaced`` is the token of the leader to be replaced, or 0 if the key has to be
        absent; ``believes_us`` is for how long that leader may still believe in its lease.
        """
        async with self._campaign_lock:
            if self.leader is not None:
                return
            nonce = self._nonce_prefix + secrets.token_hex(4)
            self._nonces.add(nonce)
            try:
                await self._acquire_leader_key(replaced, believes_us, nonce)
            finally:
                if self.leader is None:
                    # Should it be applied late: nobody commands by that record.
                    self._nonces.discard(nonce)

    async def _acquire_leader_key(self, replaced: int, believes_us: int, nonce: str) -> None:
        sent_us, wall = now_us(), wall_us()
        lease, inherited_us = await asyncio.gather(
            self._state.grant(self.timing.ttl_us), missed_from_us(self._state)
        )
        # A successor that takes this record over at once, though its writer never led or ended
        # at once, has to wait for the same leaders as this one.
        earlier_us = max(believes_us, self.previous_leaders.expired_us - sent_us, 0)
        record = LeaderRecord(self.settings.name, nonce, self.timing.ttl_us, earlier_us)
        attempt = _CampaignAttempt(record, lease, sent_us, wall, inherited_us, believes_us)
        token = await self._write_leader_key(replaced, attempt)
        if token is None:
            return
        if believes_us < self.timing.ttl_us:
            # Whoever was replaced of late is over as soon as a leader replaced just now.
            await self.previous_leaders.catch_up()
        if token < self.highest_token:
            # Replaced already. Begun now, the term would lead others back to a token of the past.
            return
        at_us = now_us()
        if not self.candidacy.may_lead(at_us):
            # Promised to another meanwhile: the key goes with its lease.
            await self._state.revoke(lease)
            return
        self.lease.begin(token, lease, sent_us)
        if not self.lease.valid(at_us):
            self.lease.end()
            return
        self._begin_term(token, attempt, at_us)

    async def _write_leader_key(self, replaced: int, attempt: _CampaignAttempt) -> int | None:
        """Write the leader's key; return its token, None if another controller has it."""
        workers = self.settings.facts.workers
        lease_us = seconds_us(workers.lease_s)
        missed_us = earliest_missed_cancellation_us(attempt.wall_us, lease_us, attempt.inherited_us)
        try:
            return await self._state.transact(
                [Condition(LEADER_KEY, replaced)],
                # On no condition of its own: applied late, it says what was so earlier, and
                # whoever believes that is only more careful.
                [
                    PutKey(LEADER_KEY, attempt.record, attempt.lease),
                    PutKey(UNSETTLED_KEY, UnsettledRecord(missed_us)),
                ],
                urgent=True,
            )
        except (ConflictError, LeaseNotFoundError):
            self._background_tasks.spawn("lease returned", self._state.revoke(attempt.lease))
            await self.read_leader()
            return None
        except CallError:
            # It may have been applied: only the key itself can tell.
            entry = await self._state.get(LEADER_KEY, urgent=True)
            if entry is None:
                return None
            written = decode(bytes(entry.value), LeaderRecord)
            return entry.version if written.nonce == attempt.record.nonce else None

    def _begin_term(self, token: int, attempt: _CampaignAttempt, at_us: int) -> None:
        self.known_leader, self.known_token = attempt.record, token
        self.highest_token = token
        self._key_absent.clear()
        expired_us = max(
            predecessor_over_us(at_us, attempt.believes_us), self.previous_leaders.expired_us
        )
        log.info("leader election won: %s, fencing token %d", self.settings.name, token)
        facts = self.settings.facts
        context = TermContext(
            self.settings,
            self.tunables,
            self.lease,
            self._state,
            self._cloud,
            self._worker_http,
            self.catalog,
            previous_leader_expired_us=expired_us,
            on_leadership_lost=self.step_down,
            answer_unloaded_until_us=unloaded_answers_until_us(
                attempt.sent_us,
                attempt.wall_us,
                attempt.inherited_us,
                seconds_us(facts.workers.cancel_s),
                seconds_us(facts.workers.lease_s),
                round(facts.clock_error_ms * MILLISECOND_US),
            ),
        )
        self.leader = Leader(Term(context), self._documents)
        self.leader.start()
        self._background_tasks.spawn("lease renewal", self._renew(self.leader))

    async def _renew(self, leader: Leader) -> None:
        """Keep the lease; the term ends with the authority."""

        async def attempt(patience_us: int) -> bool:
            _, seen = await asyncio.gather(
                self._extend_lease(patience_us), self._verify_key(leader, patience_us)
            )
            return seen

        def unanswered() -> None:
            self._state.failed_us = now_us()

        actions = RenewalActions(
            is_leading=lambda: self.leader is leader,
            attempt=attempt,
            request_promises=self._request_promises,
            step_down=self.step_down,
            on_late_answer=unanswered,
        )
        self._lease_renewer = LeaseRenewer(self.timing, self.lease, actions)
        await self._lease_renewer.run()

    async def _extend_lease(self, patience_us: int) -> None:
        sent_us = now_us()
        await self._state.extend(self.lease.lease_id, patience_us)
        self.lease.confirm_renewal(sent_us)

    async def _verify_key(self, leader: Leader, patience_us: int) -> bool:
        """Verify that the key is still ours; false if that cannot be seen now."""
        try:
            await self.read_leader(patience_us)
        except CallError as error:
            log.debug("the leader's key is not read: %s", error)
            if self.leader is leader:
                # Whatever it has written since is as good.
                self.lease.confirm_key(leader.state_writer.leadership_verified_us)
            return False
        return True

    async def _request_promises(self) -> None:
        """The state service does not serve the leader: is it an outage, or only us?

        In an outage all peers promise not to lead for a moment, and the term goes on; if
        one of them is served, it takes over at once.
        """
        links = list(self._links.values())
        if not links or not all(link.connected for link in links):
            return
        if not self.lease.valid(now_us()):
            return
        token = self.lease.token
        denied = await ask_for_promises(links, self.lease, self.timing)
        if denied is None or self.leader is None or self.lease.token != token:
            return
        self.observe_token(denied.link.name, denied.known_token)
        left_us = self.lease.lease_valid_until_us - now_us()
        if (
            self._lease_renewer is not None
            and self._lease_renewer.slow
            and left_us > self.timing.renew_us
        ):
            # Slow rather than silent: this node may be answered yet, as the others were.
            return
        if self.leader is not None:
            self.step_down(f"the state service serves {denied.link.name} but not this node")
            denied.link.send(LeaderResigned(0, token))

    async def answer_promise_request(self, name: str, hold: PromiseRequest) -> PromiseAnswer:
        """Answer a leader that asks for a promise."""
        self.observe_token(name, hold.token)
        promised = await self.promise(hold)
        running_us = now_us() - self._started_us
        return PromiseAnswer(hold.id, promised, self.highest_token, running_us)

    async def promise(self, hold: PromiseRequest) -> bool:
        """Whether to promise the leader not to campaign: only if we are not served either."""
        try:
            await self._state.get(LEADER_KEY, urgent=True, timeout_us=self.timing.renew_us // 2)
            return False
        except RateLimitedError:
            # The rate is used up, so the store is up: neither promised nor denied.
            raise
        except CallError:
            if self.leader is not None or hold.duration_us > self.timing.promise_us:
                raise
            if hold.token < self.highest_token:
                # Replaced, and does not know it: a later leader may have answered workers.
                return False
            # From here on until the promise is over, this node does not become leader.
            self.candidacy.promise(now_us())
            return True

    async def take_over_resigned(self, message: LeaderResigned) -> None:
        """The leader says that it has stopped commanding: replace it at once."""
        self.highest_token = max(self.highest_token, message.token)
        if self.leader is None and self.catalog and self.candidacy.may_lead(now_us()):
            if self.previous_leaders.read_token != message.token:
                # Whom it replaced itself, moments ago, only its record says.
                await self.read_leader()
            if self.known_token == message.token:
                await self.campaign(message.token, 0)

    def step_down(self, reason: str) -> None:
        """End this node's term."""
        leader = self.leader
        if leader is None:
            return
        log.info("leadership of %s ended: %s", self.settings.name, reason)
        self.leader = None
        self.lease.end()
        self.known_leader = None
        self._background_tasks.spawn("end of term", self._release_term(leader))
        self._background_tasks.spawn("leader lookup", self.read_leader())

    async def _release_term(self, leader: Leader) -> None:
        """Close a term that is over, and have its memory back (``RELEASE_S``)."""
        await leader.close()
        del leader
        await asyncio.sleep(RELEASE_S)
        if self.leader is None:
            gc.collect()

    def observe_token(self, source: str, token: int) -> None:
        """A controller or a worker has named a token that some leader has had."""
        self.highest_token = max(self.highest_token, token)
        if self.leader is not None and token > self.leader.token:
            self.step_down(f"{source} knows of token {token}")

    def observe_leader(self, name: str, token: int) -> None:
        """A peer says that it leads: a node that the store does not serve learns it so.

        Without this a follower cut off from the store sent workers to nobody, or to the
        leader before last, while it could have relayed their reports.
        """
        if token < self.highest_token:
            # Replaced, and does not know it: who took it for the leader forgot the later token,
            # and promised to it.
            return
        self.highest_token = token
        if self.leader is not None and token > self.leader.token:
            # Its key was replaced, and it has not read that yet.
            self.step_down(f"{name} leads with token {token}")
        if token > self.known_token or (self.known_leader is None and self.leader is None):
            if self.leader is None:
                self.known_leader = LeaderRecord(name, "", self.timing.ttl_us)
                self.known_token = token

    def observe_pong(self, name: str, pong: Pong, sent_us: int) -> None:
        """A peer has said whether it is in a term; it was asked at ``sent_us``."""
        self.observe_token(name, pong.known_token)
        if self.previous_leaders.observe_pong(name, pong, sent_us):
            self.candidacy.discard_earlier_promises()
