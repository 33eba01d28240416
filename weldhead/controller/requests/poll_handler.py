"""Answering polls: from memory, by the leader, from the store, or by another controller.

One job's trouble is kept from the others' polls, and whose polls have failed for longest goes
first (``admission/fair_rate_limiter.py``).
"""

import logging

import msgspec

from weldhead.admission.fair_rate_limiter import FairRateLimiter
from weldhead.clock import SECOND_US, now_us
from weldhead.controller.requests.controller_view import ControllerView, isolated_response
from weldhead.controller.requests.job_status_reader import JobStatusReader
from weldhead.protocol import http_status
from weldhead.protocol.validation import (
    is_job_id,
)
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, refusal, unavailable

log = logging.getLogger(__name__)

#: How many requests to the store a poll may cost.
REQUESTS_PER_POLL = 2.0
#: A job whose polls have failed for so long is asked about elsewhere too, and its reads go
#: before others' that can wait.
URGENT_US = 20 * SECOND_US
TOO_MANY_POLLS = "too many ask at once"
#: Answers a peer that asks for a job whose turn has not come.
NO_TURN_STATUS = http_status.TOO_MANY_REQUESTS
#: Polls that a follower forwards to the leader at once; bounds the leader's load.
MAX_FORWARDED_POLLS = 16

_encode = msgspec.json.Encoder().encode


class PollHandler:
    """Answers polls on one controller."""

    def __init__(
        self, controller: ControllerView, reader: JobStatusReader, limiter: FairRateLimiter
    ) -> None:
        self._controller = controller
        self._reader = reader
        self.limiter = limiter
        self._forwarded_polls = 0

    async def poll(
        self, job_id: str, *, forwarded: bool = False, elsewhere: bool = True
    ) -> Response:
        """Tell a job's state; ``forwarded``: by what this controller has itself.

        ``elsewhere``: other controllers may be asked to look, besides the leader.
        """
        if not is_job_id(job_id):
            return refusal(http_status.NOT_FOUND, "no such job")
        known = self._reader.in_memory(job_id)
        if known is not None:
            self.limiter.answered(job_id)
            return Response(http_status.OK, _encode(known))
        if self._controller.isolated:
            return isolated_response(self._reader.describe_deadline(job_id))
        if not forwarded and self._controller.leader is None:
            answer = self._definite(job_id, await self._poll_leader(job_id))
            if answer is not None:
                return answer
        return await self._poll_store(
            job_id, ask_others=elsewhere and not forwarded, told=elsewhere
        )

    async def _poll_store(self, job_id: str, *, ask_others: bool, told: bool) -> Response:
        """Answer by the store's word, or by another controller's.

        ``told``: a user is answered, not another controller.
        """
        at_us = now_us()
        waited = self.limiter.waited_us(job_id, at_us) > URGENT_US
        taken = self.limiter.take_spare(REQUESTS_PER_POLL, at_us)
        lost = False
        if not taken and ask_others:
            # One controller counts how long a job waits: counted by each, waits that had ended
            # elsewhere went on here, and others' jobs were not answered.
            try:
                answer = await self._controller.ask_home(job_id)
            except CallError:
                answer, lost = None, True
            if (definite := self._definite(job_id, answer)) is not None:
                return definite
            if answer is not None and answer.status == NO_TURN_STATUS:
                return self._refuse(job_id, TOO_MANY_POLLS)
            at_us = now_us()
        why = TOO_MANY_POLLS
        if taken or self.limiter.take(job_id, REQUESTS_PER_POLL, at_us, lost=lost):
            try:
                return await self._read(job_id, urgent=waited)
            except CallError as error:
                log.debug("poll failed: job %s: %s", job_id, error)
                why, waited = "state service unavailable", True
        if waited and ask_others:
            answer = await self._controller.ask_served_peer("poll", job_id, b"")
            if (definite := self._definite(job_id, answer)) is not None:
                return definite
        self.limiter.failed(job_id, now_us())
        if not told and why == TOO_MANY_POLLS:
            return refusal(NO_TURN_STATUS, why)
        return self._refuse(job_id, why)

    def _definite(self, job_id: str, answer: Response | None) -> Response | None:
        """Return another controller's answer if it says how the job stands; None: it does not."""
        if answer is None or answer.status not in (http_status.OK, http_status.NOT_FOUND):
            return None
        self.limiter.answered(job_id)
        return answer

    async def _read(self, job_id: str, *, urgent: bool) -> Response:
        """Answer by the store's word; CallError if it has none."""
        stored = await self._reader.read_status(job_id, urgent=urgent)
        self.limiter.answered(job_id)
        if stored is None:
            return refusal(http_status.NOT_FOUND, "no such job")
        if stored.state == "pending":
            # Found under its first key.
            self.limiter.refund(REQUESTS_PER_POLL / 2)
        return Response(http_status.OK, _encode(stored))

    def _refuse(self, job_id: str, why: str) -> Response:
        deadline = self._reader.describe_deadline(job_id)
        return unavailable(why + deadline)

    async def _poll_leader(self, job_id: str) -> Response | None:
        """Have the leader answer a poll; None if it does not, or has enough to answer already.

        A storm of forwarded polls would keep a small leader from renewing its lease and from
        answering workers (docs/design/pressure.md).
        """
        if self._forwarded_polls >= MAX_FORWARDED_POLLS:
            return None
        self._forwarded_polls += 1
        try:
            return await self._controller.ask_leader("poll", job_id, b"")
        finally:
            self._forwarded_polls -= 1
