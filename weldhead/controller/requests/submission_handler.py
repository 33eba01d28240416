"""Accepts jobs: validates them, binds them to calendars and gates, and commits their records."""

import asyncio
import logging

import msgspec

from weldhead.admission.feasibility import check_feasible
from weldhead.admission.memory_gate import MEMORY_RETRY_AFTER_S
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
    check_record_size,
    make_dependency_refusal,
    parse_submission,
)
from weldhead.protocol.versions import DOCUMENTS_FORMAT, JOB_DEPENDENCIES_FORMAT
from weldhead.protocol.wire import Condition, JobSpec, JobStatus, PutKey
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, error_response, unavailable_response
from weldhead.transport.state_client import (
    ConflictError,
    RateLimitedError,
    StateClient,
    TransactionRejectedError,
)

log = logging.getLogger(__name__)

#: For how long a submission may wait until the rate limit of the state service admits its write.
MAX_SUBMISSION_WAIT_US = 600 * MILLISECOND_US
#: Share of the state service's write rate that a burst of submissions may use.
SUBMISSION_SHARE = 0.4

_encode = msgspec.json.Encoder().encode


class SubmissionHandler:
    """Handles the submissions that reach one controller."""

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
        """Accept a job; the response is 201 only after the job's record is committed.

        ``forwarded``: the submission comes from another controller and is not forwarded again.
        """
        try:
            spec = parse_submission(body)
        except SubmissionRefusedError as error:
            return error_response(error.status, error.reason, error.field)
        status = self._reader.status_in_memory(spec.id)
        if status is not None:
            return Response(http_status.OK, _encode(status))
        if self._controller.isolated:
            return isolated_response()
        if not self._controller.catalog:
            return unavailable_response("machine types not known yet")
        if not self._memory.admits(now_us()):
            return await self._ask_to_retry(
                spec.id, MEMORY_RETRY_AFTER_S, forwarded, "no memory is left"
            )
        # Team names that are not in the settings share one quota; otherwise many such names
        # together would use the whole rate.
        team = spec.team if spec.team in self._teams else ""
        wait_s = self.limiter.admit(team, self._state.submission_budget.rate, now_us())
        if wait_s:
            return await self._ask_to_retry(spec.id, wait_s, forwarded)
        try:
            return await self._accept(spec)
        except RateLimitedError as error:
            # All controllers share the state service's rate: a forwarded submission would use
            # two requests of it.
            log.debug("submission rate limited: job %s: %s", spec.id, error)
            wait_s = self.limiter.record_refusal(now_us())
            return await self._ask_to_retry(spec.id, wait_s, forwarded)
        except CallError as error:
            log.info("submission not committed: job %s: %s", spec.id, error)
            answer = None if forwarded else await self._forward(spec, body)
            return answer or unavailable_response("state service unavailable")

    async def _forward(self, spec: JobSpec, body: bytes) -> Response | None:
        """Forward a submission to a peer that the state service serves; None if there is none."""
        return await self._controller.ask_served_peer(
            "submit", spec.id, body, chained=bool(spec.needs)
        )

    async def _ask_to_retry(
        self,
        job_id: str,
        wait_s: int,
        forwarded: bool,
        reason: str = "too much is submitted at once",
    ) -> Response:
        """Return the response that asks the user to retry, or the status of an accepted job.

        A job that was accepted earlier is in the leader's memory, which costs the state service
        nothing. Without that question, a submission repeated to a follower was refused for as
        long as other users submitted many jobs.
        """
        if not forwarded and self._controller.leader is None:
            answer = await self._controller.ask_leader("known", job_id, b"")
            if answer is not None and answer.status == http_status.OK:
                return answer
        return unavailable_response(reason, wait_s)

    def known_status(self, job_id: str) -> Response:
        """Report a job's status from memory only, without reading the state service."""
        status = self._reader.status_in_memory(job_id)
        if status is None:
            return unavailable_response("not known here")
        return Response(http_status.OK, _encode(status))

    async def _accept(self, spec: JobSpec) -> Response:
        """Check a job against the cluster and the state service, and commit its record."""
        problem: SubmissionRefusedError | CallError
        try:
            record, binding = self._bind_to_documents(spec, wall_us())
            check_feasible(spec, self._teams, self._controller.catalog)
            size_bytes = len(_encode(record))
            check_record_size(spec, size_bytes, self._state.limits.value_bytes)
            await self._check_dependencies(spec)
        except (SubmissionRefusedError, CallError) as error:
            problem = error
        else:
            try:
                return await self._create(record, size_bytes, binding.conditions)
            except SubmissionRefusedError as error:
                problem = error
        # An accepted job stays accepted, even if its submission would be refused now, and even if
        # its dependencies, calendars or gates cannot be read now.
        stored = await self._reader.read_status(spec.id)
        if stored is not None:
            return Response(http_status.OK, _encode(stored))
        if isinstance(problem, CallError):
            raise problem
        return error_response(problem.status, problem.reason, problem.field)

    def _bind_to_documents(
        self, spec: JobSpec, accepted_us: int
    ) -> tuple[JobRecord, AdmissionBinding]:
        """Return a job's record, bound to its calendar and gate, and the binding.

        ``accepted_us`` is the time of day. Raises CallError if the documents are not loaded.
        """
        documents = self._controller.documents
        if documents is None:
            return JobRecord(spec, accepted_us), AdmissionBinding()
        try:
            binding = documents.bind(spec, accepted_us)
        except DocumentsNotLoadedError:
            raise CallError("calendars and gates are not loaded yet") from None
        gate = binding.gate_hold or binding.gate_action
        if gate is not None and not self._controller.peers_support(DOCUMENTS_FORMAT):
            raise CallError("a peer runs a version that would start a job held by a gate")
        return admitted_record(spec, accepted_us, binding), binding

    async def _check_dependencies(self, spec: JobSpec) -> None:
        """Raise SubmissionRefusedError (422) if the job cannot wait for one of its dependencies.

        Accepted jobs stay accepted, so the result of this check still holds when the job is
        created. Only accepted jobs can be dependencies, so there are no cycles.
        """
        if not spec.needs:
            return
        if spec.id in spec.needs:
            raise make_dependency_refusal(spec.id, "cannot wait for itself")
        if not self._controller.peers_support(JOB_DEPENDENCIES_FORMAT):
            raise CallError("a peer runs a version that does not support dependencies between jobs")
        service_flags = await asyncio.gather(
            *(self._reader.is_service(name) for name in spec.needs)
        )
        for name, is_service in zip(spec.needs, service_flags, strict=True):
            if is_service is None:
                raise make_dependency_refusal(name, "was never accepted")
            if is_service:
                raise make_dependency_refusal(name, "is a service, which is never done")

    async def _create(
        self, record: JobRecord, size_bytes: int, binding_conditions: tuple[Condition, ...]
    ) -> Response:
        spec = record.spec
        conditions = [Condition(job_key(spec.id), 0), Condition(final_key(spec.id), 0)]
        # The documents that bind the job must not have changed; otherwise an outdated edition
        # would bind it.
        conditions += binding_conditions
        # The leader is read before the transaction: a term that began before the answer arrived
        # could have found the job already ended by the previous leader, and then ran it again as a
        # new job. Such a term learns of the job by loading the records or through its watch.
        leader = self._controller.leader
        try:
            version = await self._state.transact(
                conditions, [PutKey(job_key(spec.id), record)], timeout_us=1_000_000,
                submission_wait_us=MAX_SUBMISSION_WAIT_US,
            )  # fmt: skip
        except TransactionRejectedError as error:
            # The actual limits are lower than the announced ones: the job is refused for good,
            # since a retry could not succeed.
            log.exception("submission rejected by the state service: job %s", spec.id)
            raise SubmissionRefusedError(
                http_status.UNPROCESSABLE,
                f"the state service takes no record of {size_bytes} bytes",
            ) from error
        except ConflictError:
            stored = self._reader.status_in_memory(spec.id) or await self._reader.read_status(
                spec.id
            )
            if stored is None:
                raise CallError(
                    f"creation of job {spec.id} conflicted, but the job is not stored"
                ) from None
            return Response(http_status.OK, _encode(stored))
        if leader is not None:
            leader.job_created(record, version)
        log.debug("job %s accepted", spec.id)
        if self._controller.documents is not None and (record.deadline or record.gate_hold):
            for on_accepted in self._controller.documents.acceptance_listeners:
                on_accepted(record)
        return Response(
            http_status.CREATED,
            _encode(JobStatus(spec.id, "pending", due_at=self._reader.due_at(record))),
        )
