"""Accepting jobs: checked, bound to calendars and gates, and created on conditions."""

import asyncio
import logging

import msgspec

from weldhead.admission.feasibility import check_feasible
from weldhead.admission.memory_gate import COME_BACK_S
from weldhead.admission.team_rate_limiter import TeamRateLimiter
from weldhead.clock import MILLISECOND_US, now_us, wall_us
from weldhead.cluster_state.records import (
    AdmissionBinding,
    JobRecord,
    admitted_record,
    final_key,
    job_key,
)
from weldhead.controller.configuration.document_replica import (
    DocumentsNotLoadedError,
)
from weldhead.controller.memory_monitor import MemoryMonitor
from weldhead.controller.requests.controller_view import ControllerView, isolated_response
from weldhead.controller.requests.job_status_reader import JobStatusReader
from weldhead.protocol import http_status
from weldhead.protocol.settings import Team
from weldhead.protocol.validation import (
    SubmissionRefusedError,
    check_size,
    parse_submission,
    refuse_need,
)
from weldhead.protocol.versions import CHAINS_FORMAT, DOCUMENTS_FORMAT
from weldhead.protocol.wire import Condition, JobSpec, JobStatus, PutKey
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, refusal, unavailable
from weldhead.transport.state_client import (
    ConflictError,
    RateLimitedError,
    StateClient,
    TransactionRejectedError,
)

log = logging.getLogger(__name__)

#: For how long a submission may wait for its turn at the store.
SUBMISSION_WAIT_US = 600 * MILLISECOND_US
#: Share of the store's changes that submissions may use at once.
SUBMISSION_SHARE = 0.4

_encode = msgspec.json.Encoder().encode


class SubmissionHandler:
    """Answers submissions on one controller."""

    def __init__(
        self,
        controller: ControllerView,
        state: StateClient,
        teams: list[Team],
        memory: MemoryMonitor,
        reader: JobStatusReader,
    ) -> None:
        self._controller = controller
        self._state = state
        self._teams = {team.name: team for team in teams}
        self._memory = memory
        self._reader = reader
        self.limiter = TeamRateLimiter(state.limits.write_rps * SUBMISSION_SHARE)

    async def submit(self, body: bytes, *, forwarded: bool = False) -> Response:
        """Accept a job: 201 only when it is in the store."""
        try:
            spec = parse_submission(body)
        except SubmissionRefusedError as error:
            return refusal(error.status, error.reason, error.field)
        known = self._reader.in_memory(spec.id)
        if known is not None:
            return Response(http_status.OK, _encode(known))
        if self._controller.isolated:
            return isolated_response()
        if not self._controller.catalog:
            return unavailable("machine types not known yet")
        if not self._memory.admits(now_us()):
            return await self._refuse_for_now(spec.id, COME_BACK_S, forwarded, "no memory is left")
        # Names that the settings do not know share one part, or many of them took all.
        team = spec.team if spec.team in self._teams else ""
        wait_s = self.limiter.admit(team, self._state.submission_budget.rate, now_us())
        if wait_s:
            return await self._refuse_for_now(spec.id, wait_s, forwarded)
        try:
            return await self._accept(spec)
        except RateLimitedError as busy:
            # Another controller uses the same rate: forwarded, it would cost two.
            log.debug("submission rate limited: job %s: %s", spec.id, busy)
            wait_s = self.limiter.record_refusal(now_us())
            return await self._refuse_for_now(spec.id, wait_s, forwarded)
        except CallError as error:
            log.info("submission not committed: job %s: %s", spec.id, error)
            answer = None if forwarded else await self._forward(spec, body)
            return answer or unavailable("state service unavailable")

    async def _forward(self, spec: JobSpec, body: bytes) -> Response | None:
        """Have a controller accept a job that the state service serves; None: there is none."""
        return await self._controller.ask_served_peer(
            "submit", spec.id, body, chained=bool(spec.needs)
        )

    async def _refuse_for_now(
        self, job_id: str, wait_s: int, forwarded: bool, why: str = "too much is submitted at once"
    ) -> Response:
        """Ask to come back later, unless the job was accepted long ago: that costs nothing.

        A repeated submission to a follower was refused as long as others submitted much.
        """
        if not forwarded and self._controller.leader is None:
            answer = await self._controller.ask_leader("known", job_id, b"")
            if answer is not None and answer.status == http_status.OK:
                return answer
        return unavailable(why, wait_s)

    def known_status(self, job_id: str) -> Response:
        """Tell a job's state if it is in memory; the store is not asked."""
        known = self._reader.in_memory(job_id)
        if known is None:
            return unavailable("not known here")
        return Response(http_status.OK, _encode(known))

    async def _accept(self, spec: JobSpec) -> Response:
        """Judge a job by what the store says, and create it."""
        trouble: SubmissionRefusedError | CallError
        try:
            record, binding = self._admit(spec, wall_us())
            check_feasible(spec, self._teams, self._controller.catalog)
            size = len(_encode(record))
            check_size(spec, size, self._state.limits.value_bytes)
            await self._check_dependencies(spec)
        except (SubmissionRefusedError, CallError) as error:
            trouble = error
        else:
            try:
                return await self._create(record, size, binding.conditions)
            except SubmissionRefusedError as error:
                trouble = error
        # An accepted job stays accepted, whatever has changed since, and whatever cannot be
        # told just now of what it needs or is bound to.
        stored = await self._reader.read_status(spec.id)
        if stored is not None:
            return Response(http_status.OK, _encode(stored))
        if isinstance(trouble, CallError):
            raise trouble
        return refusal(trouble.status, trouble.reason, trouble.field)

    def _admit(self, spec: JobSpec, at_us: int) -> tuple[JobRecord, AdmissionBinding]:
        """Return a job's record with what calendars and gates say; CallError if unknown."""
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

    async def _check_dependencies(self, spec: JobSpec) -> None:
        """SubmissionRefusedError(422) if a job is named that cannot be waited for.

        Accepted jobs stay accepted, so what the store said a moment ago still holds when
        the job is created; and as only accepted ones can be named, there are no circles.
        """
        if not spec.needs:
            return
        if spec.id in spec.needs:
            raise refuse_need(spec.id, "cannot wait for itself")
        if not self._controller.peers_know(CHAINS_FORMAT):
            raise CallError("a peer's version does not know job chains yet")
        found = await asyncio.gather(*(self._reader.is_service(name) for name in spec.needs))
        for name, service in zip(spec.needs, found, strict=True):
            if service is None:
                raise refuse_need(name, "was never accepted")
            if service:
                raise refuse_need(name, "is a service, which is never done")

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
                patience_us=SUBMISSION_WAIT_US,
            )  # fmt: skip
        except TransactionRejectedError as error:
            # Lower limits than were announced: no promise that cannot be kept.
            log.exception("submission rejected by the state service: job %s", spec.id)
            raise SubmissionRefusedError(
                http_status.UNPROCESSABLE, f"the state service takes no record of {size} bytes"
            ) from error
        except ConflictError:
            stored = self._reader.in_memory(spec.id) or await self._reader.read_status(spec.id)
            if stored is None:
                raise CallError("job is neither new nor known") from None
            return Response(http_status.OK, _encode(stored))
        if leader is not None:
            leader.job_created(record, version)
        log.debug("%s accepted", spec.id)
        if self._controller.documents is not None and (record.deadline or record.gate_hold):
            for tell in self._controller.documents.acceptance_listeners:
                tell(record)
        return Response(
            http_status.CREATED,
            _encode(JobStatus(spec.id, "pending", due_at=self._reader.due_at(record))),
        )
