"""Leader election: following the leader's key, campaigning, renewing the lease, and failover.

The rules that keep leadership safe are in ``weldhead/controller/leadership/leader_lease.py``.
This module talks to the state service and the other controllers. It is a single module because
all its events read and change the same few fields, in a definite order.
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
    campaign_delay_us,
    default_timing,
    predecessor_expired_us,
)
from weldhead.controller.leadership.lease_renewer import LeaseRenewer, RenewalActions
from weldhead.controller.leadership.peer_failure_detector import PeerFailureDetector
from weldhead.controller.leadership.previous_leaders import PreviousLeaders, read_unsettled_from_us
from weldhead.controller.leadership.promises import request_promises
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

#: How long the state service may take to answer a read of the leader's key.
LEADER_READ_TIMEOUT_US = 800 * MILLISECOND_US
#: The time between the end of a term and the garbage collection that frees its memory. By then no
#: task uses the term any more. The term's objects refer to one another, so only the collector can
#: free them, and it examines old objects only after many new ones were allocated. A follower used
#: to keep its last term's state (14 MB for 1,400 machines and 24,000 tasks) until it led again. A
#: new term allocates many objects, and needs the processor for other work than collecting them.
TERM_MEMORY_RELEASE_DELAY_S = 5.0


@dataclass(frozen=True)
class _CampaignAttempt:
    """One attempt to write the leader's key."""

    record: LeaderRecord
    lease_id: int
    #: When the lease was requested, by the steady clock and by the time of day.
    sent_us: int
    sent_wall_us: int
    #: The time of day since which earlier terms may have missed cancellations; None: they missed
    #: none.
    unsettled_from_us: int | None
    #: How long the replaced leader may still trust its lease; 0 if it has surely stopped.
    remaining_lease_us: int


class LeaderElection:
    """One controller's part in leader election.

    ``leader`` is this node's own term of leadership, or None while it is a follower.
    """

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
        #: The machine types of the cloud; empty until they are known, and then no campaign starts.
        self.catalog: list[MachineType] = []
        #: The leader that this node knows of, and the token of its term.
        self.known_leader: LeaderRecord | None = None
        self.known_leader_token = 0
        #: The highest token of any leader that this node has heard of from any source. It never
        #: decreases.
        self.highest_token = 0
        #: The nonces of the records that this process has written. A record that has this node's
        #: name and another nonce was written by a previous process of this node.
        self._own_nonces: set[str] = set()
        #: The prefix of all nonces of this process, including those of abandoned campaigns.
        self._nonce_prefix = secrets.token_hex(4)
        self._key_absent = asyncio.Event()
        #: Allows one campaign at a time: an earlier campaign that ended late used to disturb the
        #: term that a later one had begun.
        self._campaign_lock = asyncio.Lock()
        self.previous_leaders = PreviousLeaders(
            settings.name, self._nonce_prefix, len(links), self.timing.ttl_us
        )
        #: The token of the leader that this node last tried to replace.
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
        """Set the clients and documents to use; has to be called before ``start``."""
        self._documents = documents
        self._state = state
        self.previous_leaders.open(state)
        self._cloud = cloud
        self._worker_http = worker_http

    def start(self) -> None:
        """Start the background tasks."""
        self.failure_detector.start(self._state, self.read_leader)
        self._background_tasks.start("leader watch", self.follow_leader_key, 0.2)
        self._background_tasks.start("campaign", self.campaign_when_vacant, 0.2)

    async def close(self) -> None:
        """End this node's term, if it leads."""
        if self.leader is not None:
            await self.leader.close()

    def update_catalog(self, catalog: list[MachineType]) -> None:
        """Replace the machine types and prices by the ones that the cloud offers now."""
        self.catalog = catalog
        if self.leader is not None:
            self.leader.update_catalog(catalog)

    async def follow_leader_key(self) -> None:
        """Follow changes of the leader's key; a background task."""
        await self.read_leader()
        while True:
            # After a RevisionCompactedError the next call reads the key again and follows it from
            # there.
            with contextlib.suppress(RevisionCompactedError):
                if await self.previous_leaders.follow(10 * SECOND_US):
                    await self.read_leader()

    async def read_leader(self, timeout_us: int = LEADER_READ_TIMEOUT_US) -> None:
        """Read the leader's key, and step down if another node or no node holds it."""
        sent_us = now_us()
        entry = await self._state.get(LEADER_KEY, urgent=True, timeout_us=timeout_us)
        if entry is None:
            if self.leader is not None and sent_us >= self.leader.term.won_us:
                self.step_down("the leader's key no longer exists")
            self.known_leader = None
            self._key_absent.set()
            return
        if entry.version < self.known_leader_token:
            # A late answer: the key was read before the known leader wrote it.
            return
        record = decode(bytes(entry.value), LeaderRecord)
        self.previous_leaders.record(record, entry.version)
        self.highest_token = max(self.highest_token, entry.version)
        if self.leader is not None:
            if entry.version == self.leader.token:
                self.lease.confirm_key(sent_us)
            elif entry.version > self.leader.token:
                # The state service may still renew the lease of this node, but another node has
                # replaced the key.
                self.step_down(f"{record.name} has replaced it")
        self._log_leader(record.name, entry.version)
        self.known_leader, self.known_leader_token = record, entry.version
        self._key_absent.clear()
        if record.name == self.settings.name:
            self._background_tasks.spawn(
                "return", self._replace_key_of_earlier_process(record, entry.version)
            )
        elif record.name in self._links and self._links[record.name].refused_since_us:
            # The leader's process may have ended before this node learned that it led. Its refused
            # connections were noticed at that time, but the failure detector examines it no longer.
            self.failure_detector.suspect(record.name)

    def _log_leader(self, name: str, token: int) -> None:
        """Log which other controller leads, when that is new to this node."""
        if token != self.known_leader_token and name != self.settings.name:
            log.info("%s follows leader %s, fencing token %d", self.settings.name, name, token)

    async def _replace_key_of_earlier_process(self, record: LeaderRecord, token: int) -> None:
        """Replace the key that a previous process of this node wrote, as that process has ended.

        Without this, controllers that had all ended at once waited for the lease of a dead
        leader. After an outage of the state service, which restarts every lease at its full
        length, they waited for all of it.
        """
        if record.nonce in self._own_nonces:
            return
        while not self.catalog or not self.candidacy.can_lead(now_us()):
            await asyncio.sleep(0.02)
            if self.known_leader_token != token:
                return
        if self.leader is None and self.known_leader_token == token:
            log.info("failover: %s replaces the leader's key of its previous process", record.name)
            await self.campaign(token, 0)

    # -- other controllers -------------------------------------------------------------------------

    async def _on_peer_dead(self, name: str) -> bool:
        """Replace a controller that was judged dead, if it leads; return whether it does."""
        record = self.known_leader
        if record is None or record.name != name:
            return False
        if self.catalog:
            await self.replace_dead_leader(record, self.known_leader_token)
        return True

    async def replace_dead_leader(self, record: LeaderRecord, token: int) -> None:
        """Campaign to replace a leader that was judged dead.

        The campaign replaces the leader's key directly instead of revoking its lease. Otherwise
        the key would be absent for a moment, and a third node could mistake the replaced leader
        for one whose lease has expired.
        """
        at_us = now_us()
        others = (link for link in self._links.values() if link.name != record.name)
        unreachable_peers = sum(1 for link in others if not link.is_responsive(at_us))
        await asyncio.sleep(to_seconds(campaign_delay_us(unreachable_peers)))
        if self.known_leader_token != token:
            return
        if self.leader is None and self.candidacy.can_lead(now_us()):
            level = logging.DEBUG if token == self._last_challenged_token else logging.INFO
            log.log(level, "failover: replacing leader %s, which was judged dead", record.name)
            self._last_challenged_token = token
            await self.campaign(token, record.ttl_us)

    async def campaign_when_vacant(self) -> None:
        """Campaign whenever the leader's key is absent; a background task."""
        while True:
            try:
                await asyncio.wait_for(self._key_absent.wait(), 5.0)
            except asyncio.TimeoutError:
                await self.read_leader()
                continue
            if self.leader is not None or not self.catalog:
                await asyncio.sleep(0.1)
                continue
            promise_wait_us = self.candidacy.remaining_promise_us(now_us())
            if promise_wait_us:
                # Promises of a previous process may be discarded before their time is over.
                await asyncio.sleep(to_seconds(min(promise_wait_us, 20 * MILLISECOND_US)))
                continue
            await self.campaign(0, 0)

    async def campaign(self, replaced_token: int, remaining_lease_us: int) -> None:
        """Try to write the leader's key.

        ``replaced_token`` is the token of the leader to be replaced, or 0 if the key has to be
        absent. ``remaining_lease_us`` is how long that leader may still trust its lease, or 0 if
        it has surely stopped commanding.
        """
        async with self._campaign_lock:
            if self.leader is not None:
                return
            nonce = self._nonce_prefix + secrets.token_hex(4)
            self._own_nonces.add(nonce)
            try:
                await self._acquire_leader_key(replaced_token, remaining_lease_us, nonce)
            finally:
                if self.leader is None:
                    # If the write is applied late, no process leads by that record, so this node
                    # may replace it as one of a previous process.
                    self._own_nonces.discard(nonce)

    async def _acquire_leader_key(
        self, replaced_token: int, remaining_lease_us: int, nonce: str
    ) -> None:
        sent_us, sent_wall_us = now_us(), wall_us()
        lease_id, unsettled_from_us = await asyncio.gather(
            self._state.grant(self.timing.ttl_us), read_unsettled_from_us(self._state)
        )
        # The record states how long earlier leaders may be active. If this node never leads by the
        # record, or its term ends immediately, a successor may replace the record at once, and then
        # has to wait for the same earlier leaders.
        earlier_us = max(remaining_lease_us, self.previous_leaders.expired_us - sent_us, 0)
        record = LeaderRecord(self.settings.name, nonce, self.timing.ttl_us, earlier_us)
        attempt = _CampaignAttempt(
            record, lease_id, sent_us, sent_wall_us, unsettled_from_us, remaining_lease_us
        )
        token = await self._write_leader_key(replaced_token, attempt)
        if token is None:
            return
        if remaining_lease_us < self.timing.ttl_us:
            # A recently replaced leader may trust its lease for longer than the holder of the key
            # that this campaign replaced.
            await self.previous_leaders.catch_up()
        if token < self.highest_token:
            # This node's key was replaced already. A term begun now would make other nodes accept
            # an outdated token.
            return
        at_us = now_us()
        if not self.candidacy.can_lead(at_us):
            # This node has promised meanwhile not to lead. Revoking the lease deletes the key.
            await self._state.revoke(lease_id)
            return
        self.lease.begin(token, lease_id, sent_us)
        if not self.lease.is_valid(at_us):
            self.lease.end()
            return
        self._begin_term(token, attempt, at_us)

    async def _write_leader_key(self, replaced_token: int, attempt: _CampaignAttempt) -> int | None:
        """Write the leader's key; return its token, or None if this node does not hold the key."""
        workers = self.settings.facts.workers
        worker_lease_us = seconds_us(workers.lease_s)
        missed_us = earliest_missed_cancellation_us(
            attempt.sent_wall_us, worker_lease_us, attempt.unsettled_from_us
        )
        try:
            return await self._state.transact(
                [Condition(LEADER_KEY, replaced_token)],
                # The unsettled record (``UnsettledRecord``) states since when tasks of cancelled
                # jobs may run without the leader's knowledge. Its write requires nothing of the
                # record's present version; the only condition is the one on the leader's key. If
                # the write is applied late, the record states an earlier time than it needs to,
                # which only makes leaders more careful.
                [
                    PutKey(LEADER_KEY, attempt.record, attempt.lease_id),
                    PutKey(UNSETTLED_KEY, UnsettledRecord(missed_us)),
                ],
                urgent=True,
            )
        except (ConflictError, LeaseNotFoundError):
            self._background_tasks.spawn("lease returned", self._state.revoke(attempt.lease_id))
            await self.read_leader()
            return None
        except CallError:
            # The write may have been applied, which only reading the key can show.
            entry = await self._state.get(LEADER_KEY, urgent=True)
            if entry is None:
                return None
            written = decode(bytes(entry.value), LeaderRecord)
            return entry.version if written.nonce == attempt.record.nonce else None

    def _begin_term(self, token: int, attempt: _CampaignAttempt, at_us: int) -> None:
        self.known_leader, self.known_leader_token = attempt.record, token
        self.highest_token = token
        self._key_absent.clear()
        expired_us = max(
            predecessor_expired_us(at_us, attempt.remaining_lease_us),
            self.previous_leaders.expired_us,
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
                attempt.sent_wall_us,
                attempt.unsettled_from_us,
                seconds_us(facts.workers.cancel_s),
                seconds_us(facts.workers.lease_s),
                round(facts.clock_error_ms * MILLISECOND_US),
            ),
        )
        self.leader = Leader(Term(context), self._documents)
        self.leader.start()
        self._background_tasks.spawn("lease renewal", self._renew(self.leader))

    async def _renew(self, leader: Leader) -> None:
        """Renew the lease of a term until the term ends."""

        async def extend_and_read_key(timeout_us: int) -> bool:
            _, key_read = await asyncio.gather(
                self._extend_lease(timeout_us), self._verify_key(leader, timeout_us)
            )
            return key_read

        def record_service_failure() -> None:
            self._state.last_failed_us = now_us()

        actions = RenewalActions(
            is_leading=lambda: self.leader is leader,
            extend_and_read_key=extend_and_read_key,
            request_promises=self._request_promises,
            step_down=self.step_down,
            on_late_answer=record_service_failure,
        )
        self._lease_renewer = LeaseRenewer(self.timing, self.lease, actions)
        await self._lease_renewer.run()

    async def _extend_lease(self, timeout_us: int) -> None:
        sent_us = now_us()
        await self._state.extend(self.lease.lease_id, timeout_us)
        self.lease.confirm_renewal(sent_us)

    async def _verify_key(self, leader: Leader, timeout_us: int) -> bool:
        """Read the key, stepping down if it is not this node's; return whether it was read."""
        try:
            await self.read_leader(timeout_us)
        except CallError as error:
            log.debug("leader's key not read: %s", error)
            if self.leader is leader:
                # Every write of a leader is conditional on the key, so a successful write shows
                # as well that the key is this node's own.
                self.lease.confirm_key(leader.state_writer.leadership_verified_us)
            return False
        return True

    async def _request_promises(self) -> None:
        """Request promises from all peers when the state service does not serve this leader.

        In an outage of the state service, all peers promise not to lead for a short time, and
        the term goes on. If the state service serves a peer, that peer denies its promise and
        takes over at once.
        """
        links = list(self._links.values())
        if not links or not all(link.is_connected for link in links):
            return
        if not self.lease.is_valid(now_us()):
            return
        token = self.lease.token
        denied = await request_promises(links, self.lease, self.timing)
        if denied is None or self.leader is None or self.lease.token != token:
            return
        self.observe_token(denied.link.name, denied.known_token)
        remaining_us = self.lease.lease_valid_until_us - now_us()
        if (
            self._lease_renewer is not None
            and self._lease_renewer.is_service_slow
            and remaining_us > self.timing.renewal_interval_us
        ):
            # The state service is slow rather than silent, and may still answer this node as it
            # answered the peer.
            return
        if self.leader is not None:
            self.step_down(f"the state service serves {denied.link.name} but not this node")
            denied.link.send(LeaderResigned(0, token))

    async def answer_promise_request(self, name: str, request: PromiseRequest) -> PromiseAnswer:
        """Answer a leader's request for a promise."""
        self.observe_token(name, request.token)
        promised = await self.grant_promise(request)
        running_us = now_us() - self._started_us
        return PromiseAnswer(request.id, promised, self.highest_token, running_us)

    async def grant_promise(self, request: PromiseRequest) -> bool:
        """Promise not to campaign, unless the state service serves this node.

        Returns whether the promise was given.
        """
        try:
            await self._state.get(
                LEADER_KEY, urgent=True, timeout_us=self.timing.renewal_interval_us // 2
            )
            return False
        except RateLimitedError:
            # The rate limit is exceeded, so the state service is running. The promise is neither
            # given nor denied.
            raise
        except CallError:
            if self.leader is not None or request.duration_us > self.timing.promise_duration_us:
                raise
            if request.token < self.highest_token:
                # The requesting leader was replaced without knowing it, and a later leader may
                # have answered workers.
                return False
            # From here until the promise expires, this node does not become leader.
            self.candidacy.promise_not_to_lead(now_us())
            return True

    async def replace_resigned_leader(self, message: LeaderResigned) -> None:
        """Replace a leader at once that has announced that it no longer commands."""
        self.highest_token = max(self.highest_token, message.token)
        if self.leader is None and self.catalog and self.candidacy.can_lead(now_us()):
            if self.previous_leaders.read_token != message.token:
                # Only the resigned leader's record shows whether it had just replaced another
                # leader, which may still be active.
                await self.read_leader()
            if self.known_leader_token == message.token:
                await self.campaign(message.token, 0)

    def step_down(self, reason: str) -> None:
        """End this node's term, if it leads; ``reason`` is logged."""
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
        """Close an ended term and, after TERM_MEMORY_RELEASE_DELAY_S, free its memory."""
        await leader.close()
        del leader
        await asyncio.sleep(TERM_MEMORY_RELEASE_DELAY_S)
        if self.leader is None:
            gc.collect()

    def observe_token(self, source: str, token: int) -> None:
        """Record a token reported by ``source``; step down if it is later than this node's own."""
        self.highest_token = max(self.highest_token, token)
        if self.leader is not None and token > self.leader.token:
            self.step_down(f"{source} knows of token {token}")

    def observe_leader(self, name: str, token: int) -> None:
        """Record a peer's statement that it leads.

        A node that the state service does not serve learns only in this way which node leads.
        Without this, a follower cut off from the state service directed workers to no leader or
        to an outdated one, although it could have relayed their reports.
        """
        if token < self.highest_token:
            # The peer was replaced without knowing it. A node that accepted it as the leader used
            # to forget the later token, and gave it a promise.
            return
        self.highest_token = token
        if self.leader is not None and token > self.leader.token:
            # This node's key was replaced, and this node has not read that yet.
            self.step_down(f"{name} leads with token {token}")
        if token > self.known_leader_token or (self.known_leader is None and self.leader is None):
            if self.leader is None:
                self._log_leader(name, token)
                self.known_leader = LeaderRecord(name, "", self.timing.ttl_us)
                self.known_leader_token = token

    def observe_pong(self, name: str, pong: Pong, sent_us: int) -> None:
        """Process a peer's answer to a ping that this node sent at ``sent_us``.

        The answer states whether the peer is in a term, and the highest token that it knows.
        """
        self.observe_token(name, pong.known_token)
        if self.previous_leaders.observe_pong(name, pong, sent_us):
            self.candidacy.discard_earlier_promises()
