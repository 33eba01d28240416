"""The users' side: submissions, polls and cancellations, on any node.

A job's creation is committed by whichever node the user has reached. Everything that
changes later is the leader's: its memory answers polls while its authority lasts, and
otherwise the store itself is read, so that no answer is older than one already given.
What can never change is remembered. One job's trouble is kept from the others' polls, and
whose polls have failed for long goes first (``admission/fair_rate_limiter.py``).
"""

import asyncio
import logging
from typing import Protocol, TypeVar

import msgspec

from weldhead.admission.fair_rate_limiter import FairRateLimiter
from weldhead.admission.feasibility import check_feasible
from weldhead.admission.memory_gate import COME_BACK_S
from weldhead.admission.team_rate_limiter import TeamRateLimiter
from weldhead.calendars.binding import moved
from weldhead.calendars.formatting import utc
from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, to_seconds, wall_us
from weldhead.cluster_state.records import (
    AdmissionBinding,
    FinalRecord,
    JobRecord,
    admitted_record,
    final_key,
    job_key,
    without_gate,
)
from weldhead.controller.configuration.document_replica import (
    DocumentReplica,
    DocumentsNotLoadedError,
)
from weldhead.controller.leadership.leader import Leader, NotReadyError
from weldhead.controller.memory_monitor import MemoryMonitor
from weldhead.protocol.settings import Team
from weldhead.protocol.validation import (
    SubmissionRefusedError,
    check_size,
    is_job_id,
    parse_submission,
    refuse_need,
)
from weldhead.protocol.versions import CHAINS_FORMAT, DOCUMENTS_FORMAT
from weldhead.protocol.wire import Condition, JobSpec, JobStatus, MachineType, PutKey
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, refusal
from weldhead.transport.state_client import (
    ConflictError,
    RateLimitedError,
    StateClient,
    TransactionRejectedError,
    decode,
)

log = logging.getLogger(__name__)

T = TypeVar("T")

#: What of the store's requests the polls of all controllers together may use. With half as
#: much, some 50 polls of a day were refused in the moments between two leaders.
POLL_SHARE = 0.6
#: How many requests a poll may cost.
POLL_REQUESTS = 2.0
#: What of that the needed jobs of jobs may use: a few long chains, asked about again and again,
#: would leave nothing to the rest.
CHAIN_SHARE = 1 / 3
#: How many needed jobs are read at once.
NEEDS_AT_ONCE = 8
#: A job whose polls have failed for so long is asked about elsewhere too, and its reads go
#: before others' that can wait.
URGENT_US = 20 * SECOND_US
TOO_MANY = "too many ask at once"
#: What a peer is answered that asks for a job whose turn has not come.
NO_TURN = 429
#: How many polls a follower has the leader answer at once. A leader that is short of processor
#: time answers later, so it is then passed fewer a second; at 10 ms an answer it is 1,600.
POLLS_AT_LEADER = 16
#: How many answers that never change are kept.
KEPT = 4_096
#: What the store said so long ago is told to nobody: this process may have stood still, and
#: others have said something newer since.
STALE_US = SECOND_US
#: For how long a submission may wait for its turn at the store.
CREATE_WAIT_US = 600 * MILLISECOND_US

_encode = msgspec.json.Encoder().encode


def _alone(known: str = "") -> Response:
    """Send a user on to other nodes, with what is known of the job."""
    answer = refusal(503, "this node reaches nobody" + known, retry_after_s=1)
    answer.close = True
    return answer


#: The caller's next connection goes to another node, once the balancer knows; none is kept
#: waiting for what cannot come.
_ALONE = _alone()


class ControllerView(Protocol):
    """What the front desk needs of its node."""

    @property
    def isolated(self) -> bool:
        """Whether neither the state service nor another controller answers this node."""

    @property
    def leader(self) -> Leader | None:
        """This node's term, if it leads."""

    @property
    def catalog(self) -> list[MachineType]:
        """The machine types, as far as they are known."""

    @property
    def documents(self) -> DocumentReplica | None:
        """The calendars and gates; None: this node is given none."""

    async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
        """Have the leader answer; None if it cannot be reached."""

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        """Have a peer answer that the state service serves; None if there is none."""

    async def ask_home(self, job_id: str) -> Response | None:
        """Have the peer look that counts how long a job waits; None: that is this node.

        CallFailed if it does not answer.
        """

    def peers_know(self, least_format: int) -> bool:
        """Whether no peer is known to run a version of an earlier format."""


def _keep(kept: dict[str, T], job_id: str, value: T) -> None:
    """Remember what never changes; the oldest is forgotten."""
    kept[job_id] = value
    while len(kept) > KEPT:
        del kept[next(iter(kept))]


class RequestHandler:
    """Answers users."""

    def __init__(
        self,
        node: ControllerView,
        state: StateClient,
        teams: list[Team],
        controllers: int = 1,
        memory: MemoryMonitor | None = None,
    ) -> None:
        self._controller = node
        self._memory = memory or MemoryMonitor(0.0)
        self._state = state
        self._teams = {team.name: team for team in teams}
        # All controllers' polls together leave the store to its leader and to submissions:
        # in a storm of polls without a leader it refused both (found on an own day).
        rate, at_us = state.limits.rps * POLL_SHARE / controllers, now_us()
        self._poll_limiter = FairRateLimiter(rate, 2 * rate, at_us)
        self._dependency_limiter = FairRateLimiter(
            rate * CHAIN_SHARE, 2 * rate * CHAIN_SHARE, at_us
        )
        #: How jobs ended, and whether accepted ones are services, as the store said.
        self._finals: dict[str, FinalRecord] = {}
        self._services: dict[str, bool] = {}
        self._submission_limiter = TeamRateLimiter(state.limits.write_rps * 0.4)
        #: How many polls the leader is being asked just now.
        self._polls_at_leader = 0

    async def submit(self, body: bytes, *, forwarded: bool = False) -> Response:
        """Accept a job: 201 only when it is in the store."""
        try:
            spec = parse_submission(body)
        except SubmissionRefusedError as error:
            return refusal(error.status, error.reason, error.field)
        known = self._in_memory(spec.id)
        if known is not None:
            return Response(200, _encode(known))
        if self._controller.isolated:
            return _ALONE
        if not self._controller.catalog:
            return refusal(503, "machine types not known yet", retry_after_s=1)
        if not self._memory.admits(now_us()):
            return await self._refuse_for_now(spec.id, COME_BACK_S, forwarded, "no memory is left")
        # Names that the settings do not know share one part, or many of them took all.
        team = spec.team if spec.team in self._teams else ""
        wait_s = self._submission_limiter.admit(team, self._state.submission_budget.rate, now_us())
        if wait_s:
            return await self._refuse_for_now(spec.id, wait_s, forwarded)
        try:
            return await self._accept(spec)
        except RateLimitedError as busy:
            # Another controller uses the same rate: passed on, it would cost two.
            log.debug("submission of %s: %s", spec.id, busy)
            wait_s = self._submission_limiter.record_refusal(now_us())
            return await self._refuse_for_now(spec.id, wait_s, forwarded)
        except CallError as error:
            log.info("submission of %s not committed: %s", spec.id, error)
            if not forwarded:
                answer = await self._controller.ask_served_peer(
                    "submit", spec.id, body, chained=bool(spec.needs)
                )
                if answer is not None:
                    return answer
            return refusal(503, "state service unavailable", retry_after_s=1)

    async def _refuse_for_now(
        self, job_id: str, wait_s: int, forwarded: bool, why: str = "too much is submitted at once"
    ) -> Response:
        """Ask to come back later, unless the job was accepted long ago: that costs nothing.

        A repeated submission to a follower was refused as long as others submitted much.
        """
        if not forwarded and self._controller.leader is None:
            answer = await self._controller.ask_leader("known", job_id, b"")
            if answer is not None and answer.status == 200:
                return answer
        return refusal(503, why, retry_after_s=wait_s)

    def known_status(self, job_id: str) -> Response:
        """Tell a job's state if it is in memory; the store is not asked."""
        known = self._in_memory(job_id)
        if known is None:
            return refusal(503, "not known here", retry_after_s=1)
        return Response(200, _encode(known))

    async def _accept(self, spec: JobSpec) -> Response:
        """Judge a job by what the store says, and create it."""
        trouble: SubmissionRefusedError | CallError
        try:
            record, binding = self._admit(spec, wall_us())
            check_feasible(spec, self._teams, self._controller.catalog)
            size = len(_encode(record))
            check_size(spec, size, self._state.limits.value_bytes)
            await self._check_needs(spec)
        except (SubmissionRefusedError, CallError) as error:
            trouble = error
        else:
            try:
                return await self._create(record, size, binding.conditions)
            except SubmissionRefusedError as error:
                trouble = error
        # An accepted job stays accepted, whatever has changed since, and whatever cannot be
        # told just now of what it needs or is bound to.
        stored = await self._read_status(spec.id)
        if stored is not None:
            return Response(200, _encode(stored))
        if isinstance(trouble, CallError):
            raise trouble
        return refusal(trouble.status, trouble.reason, trouble.field)

    def _admit(self, spec: JobSpec, at_us: int) -> tuple[JobRecord, AdmissionBinding]:
        """Return a job's record with what calendars and gates say; CallFailed if unknown."""
        documents = self._controller.documents
        if documents is None:
            return JobRecord(spec, at_us), AdmissionBinding()
        try:
            binding = documents.bind(spec, at_us)
        except DocumentsNotLoadedError:
            raise CallError("calendars and gates are not known yet") from None
        gate = binding.gate_hold or binding.gate_action
        if gate is not None and not self._controller.peers_know(DOCUMENTS_FORMAT):
            raise CallError("a peer's version would start a job that a gate holds")
        return admitted_record(spec, at_us, binding), binding

    async def _check_needs(self, spec: JobSpec) -> None:
        """Refusal(422) if a job is named that cannot be waited for.

        Accepted jobs stay accepted, so what the store said a moment ago still holds when
        the job is created; and as only accepted ones can be named, there are no circles.
        """
        if not spec.needs:
            return
        if spec.id in spec.needs:
            raise refuse_need(spec.id, "cannot wait for itself")
        if not self._controller.peers_know(CHAINS_FORMAT):
            raise CallError("a peer's version does not know job chains yet")
        found = await asyncio.gather(*(self._is_service(name) for name in spec.needs))
        for name, service in zip(spec.needs, found, strict=True):
            if service is None:
                raise refuse_need(name, "was never accepted")
            if service:
                raise refuse_need(name, "is a service, which is never done")

    async def _is_service(self, job_id: str) -> bool | None:
        """Whether an accepted job is a service; None if it was never accepted."""
        leader = self._controller.leader
        known = leader.is_service(job_id) if leader is not None else None
        if known is None:
            known = self._services.get(job_id)
        if known is None:
            stored = await self._read_record(job_id)
            if stored is None:
                return None
            known = stored.spec.is_service if isinstance(stored, JobRecord) else stored.service
            _keep(self._services, job_id, known)
        return known

    async def _create(
        self, record: JobRecord, size: int, bound_by: tuple[Condition, ...]
    ) -> Response:
        spec = record.spec
        conditions = [Condition(job_key(spec.id), 0), Condition(final_key(spec.id), 0)]
        # What bound it must be so still, or it was bound by an edition that is over.
        conditions += bound_by
        # A term that begins before the answer comes may have found the job ended by the leader
        # before it: taken up as new, it ran once more. Its own reading and watch show the rest.
        leader = self._controller.leader
        try:
            version = await self._state.transact(
                conditions, [PutKey(job_key(spec.id), record)], timeout_us=1_000_000,
                patience_us=CREATE_WAIT_US,
            )  # fmt: skip
        except TransactionRejectedError as error:
            # Lower limits than were announced: no promise that cannot be kept.
            log.error("submission of %s is never taken: %s", spec.id, error)
            raise SubmissionRefusedError(
                422, f"the state service takes no record of {size} bytes"
            ) from error
        except ConflictError:
            stored = self._in_memory(spec.id) or await self._read_status(spec.id)
            if stored is None:
                raise CallError("job is neither new nor known") from None
            return Response(200, _encode(stored))
        if leader is not None:
            leader.job_created(record, version)
        log.debug("%s accepted", spec.id)
        if self._controller.documents is not None and (record.deadline or record.gate_hold):
            for tell in self._controller.documents.on_accepted:
                tell(record)
        return Response(201, _encode(JobStatus(spec.id, "pending", due_at=self._due_at(record))))

    def _due_at(self, record: JobRecord) -> str | None:
        """Say by when a calendar has a job finished."""
        documents = self._controller.documents
        if documents is None or record.deadline is None or record.cancelled:
            return None
        return utc(moved(documents.cache, record.deadline).due_us)

    def _known_of(self, job_id: str) -> str:
        """Say in a refusal by when a job is due, as far as this node knows."""
        documents = self._controller.documents
        return (
            documents.deadline_table.describe(job_id, documents.cache)
            if documents is not None
            else ""
        )

    def _in_memory(self, job_id: str) -> JobStatus | None:
        final = self._finals.get(job_id)
        if final is not None:
            # Before the leader's memory: it may have been told while that was not to be used.
            return JobStatus(job_id, final.status, final.done, 0)
        leader = self._controller.leader
        known: JobStatus | None = None
        try:
            known = leader.status(job_id) if leader is not None else None
            if (
                known is not None
                and leader is not None
                and leader.job_dependencies.has_unanswered_write(job_id)
            ):
                known = None
        except Exception:
            # A bug that one job brings out must not keep it from its users: the store's word
            # is as new.
            log.exception("status of %s", job_id)
        return known

    async def _read_status(self, job_id: str, *, urgent: bool = False) -> JobStatus | None:
        """Read a job's status; it moves from j/ to f/ only, so that order is safe."""
        at_us = now_us()
        try:
            async with asyncio.timeout(to_seconds(STALE_US)):
                stored = await self._read_record(job_id, urgent=urgent)
                if isinstance(stored, FinalRecord):
                    return JobStatus(job_id, stored.status, stored.done, 0)
                if stored is not None and (
                    stored.cancelled or await self._withdrawn_with(stored, urgent=urgent)
                ):
                    return JobStatus(job_id, "withdrawn")
        except TimeoutError as error:
            raise CallError("the store takes too long") from error
        # What is over stays over; anything else may have changed since.
        if now_us() - at_us > STALE_US:
            raise CallError("what the store said may be old by now")
        if stored is None:
            return None
        return JobStatus(job_id, "pending", due_at=self._due_at(stored))

    async def _read_record(
        self, job_id: str, *, urgent: bool = False
    ) -> JobRecord | FinalRecord | None:
        """Read a job's record."""
        kept = self._finals.get(job_id)
        if kept is not None:
            return kept
        leader = self._controller.leader
        entry = await self._state.get(job_key(job_id), urgent=urgent)
        if entry is not None:
            record = decode(bytes(entry.value), JobRecord)
            if leader is not None and not record.cancelled:
                leader.job_created(record, entry.version)
            return record
        final = await self._state.get(final_key(job_id), urgent=urgent)
        if final is None:
            return None
        outcome = decode(bytes(final.value), FinalRecord)
        _keep(self._finals, job_id, outcome)
        if leader is not None:
            leader.completions.remember_final(job_id, outcome)
        return outcome

    async def _withdrawn_with(self, record: JobRecord, *, urgent: bool = False) -> bool:
        """Whether a job that the record's needs, directly or through others, is withdrawn.

        The leader calls a job withdrawn as soon as that follows from what is stored, and the
        store may say so later only for the job itself: so the same is followed here. Each
        job is read once; what is over is remembered, so a long chain that fails gets further
        the next time.
        """
        job_id, seen = record.spec.id, set(without_gate(record.spec).needs or ())
        names = list(seen)
        if names and not self._dependency_limiter.take(
            job_id, min(len(names), NEEDS_AT_ONCE), now_us()
        ):
            raise CallError("too many needed jobs are to be read at once")
        # It has had its turn: a chain that is too long each time must not go first each time.
        self._dependency_limiter.answered(job_id)
        while names:
            batch, names = names[:NEEDS_AT_ONCE], names[NEEDS_AT_ONCE:]
            fresh: set[str] = set()
            for need in await asyncio.gather(*(self._read_record(n, urgent=urgent) for n in batch)):
                if isinstance(need, FinalRecord):
                    if need.status == "withdrawn":
                        return True
                elif need is not None:
                    if need.cancelled:
                        return True
                    fresh |= set(without_gate(need.spec).needs or ())
            names += fresh - seen
            seen |= fresh
            self._dependency_limiter.charge(min(len(names), NEEDS_AT_ONCE), now_us())
        return False

    async def poll(
        self, job_id: str, *, forwarded: bool = False, elsewhere: bool = True
    ) -> Response:
        """Tell a job's state; ``forwarded``: by what this node has itself.

        ``elsewhere``: other nodes may be asked to look, besides the leader.
        """
        if not is_job_id(job_id):
            return refusal(404, "no such job")
        known = self._in_memory(job_id)
        if known is not None:
            self._poll_limiter.answered(job_id)
            return Response(200, _encode(known))
        if self._controller.isolated:
            return _alone(self._known_of(job_id))
        if not forwarded and self._controller.leader is None:
            answer = await self._poll_leader(job_id)
            if answer is not None and answer.status in (200, 404):
                self._poll_limiter.answered(job_id)
                return answer
        at_us = now_us()
        waited = self._poll_limiter.waited_us(job_id, at_us) > URGENT_US
        why = TOO_MANY
        taken = self._poll_limiter.take_spare(POLL_REQUESTS, at_us)
        lost = False
        if not taken and elsewhere and not forwarded:
            # Each node counted waits that had ended when another answered: some jobs were
            # answered again and again, and others waited for over 120 s.
            try:
                answer = await self._controller.ask_home(job_id)
            except CallError:
                answer, lost = None, True
            if answer is not None and answer.status in (200, 404):
                self._poll_limiter.answered(job_id)
                return answer
            if answer is not None and answer.status == NO_TURN:
                return refusal(503, why + self._known_of(job_id), retry_after_s=1)
            at_us = now_us()
        if taken or self._poll_limiter.take(job_id, POLL_REQUESTS, at_us, lost=lost):
            try:
                stored = await self._read_status(job_id, urgent=waited)
            except CallError as error:
                log.debug("poll of %s: %s", job_id, error)
                why, waited = "state service unavailable", True
            else:
                self._poll_limiter.answered(job_id)
                if stored is None:
                    return refusal(404, "no such job")
                if stored.state == "pending":
                    # Found under its first key.
                    self._poll_limiter.refund(POLL_REQUESTS / 2)
                return Response(200, _encode(stored))
        if waited and elsewhere and not forwarded:
            answer = await self._controller.ask_served_peer("poll", job_id, b"")
            if answer is not None and answer.status in (200, 404):
                self._poll_limiter.answered(job_id)
                return answer
        self._poll_limiter.failed(job_id, now_us())
        if not elsewhere and why == TOO_MANY:
            return refusal(NO_TURN, why)
        return refusal(503, why + self._known_of(job_id), retry_after_s=1)

    async def _poll_leader(self, job_id: str) -> Response | None:
        """Have the leader answer a poll; None if it does not, or has enough to answer already.

        Followers passed on whatever they were asked, and a storm of polls kept a small leader
        from renewing its lease and from answering workers (docs/design/pressure.md).
        """
        if self._polls_at_leader >= POLLS_AT_LEADER:
            return None
        self._polls_at_leader += 1
        try:
            return await self._controller.ask_leader("poll", job_id, b"")
        finally:
            self._polls_at_leader -= 1

    async def cancel(self, job_id: str, *, forwarded: bool = False) -> Response:
        """Cancel a job; only the leader does, as it knows what runs."""
        if not is_job_id(job_id):
            return refusal(404, "no such job")
        if self._controller.isolated:
            return _ALONE
        leader = self._controller.leader
        if leader is None:
            if not forwarded:
                answer = await self._controller.ask_leader("cancel", job_id, b"")
                if answer is not None:
                    return answer
            return refusal(503, "no leader", retry_after_s=1)
        try:
            answer_now = await leader.cancel(job_id)
            if answer_now is not None:
                return Response(200, _encode(answer_now))
            stored = await self._read_status(job_id)
        except (CallError, NotReadyError):
            return refusal(503, "cannot be decided yet", retry_after_s=1)
        if stored is None:
            return refusal(404, "no such job")
        if stored.state in ("done", "withdrawn"):
            return Response(200, _encode(JobStatus(job_id, stored.state)))
        # Accepted by another node a moment ago, and taken up just now.
        return refusal(503, "cannot be decided yet", retry_after_s=1)
