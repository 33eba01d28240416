"""Answers polls from memory, through the leader, from the state service, or through a peer.

A job whose status cannot be read does not delay the polls of other jobs, and the jobs whose polls
have failed for longest are served first (``weldhead/admission/fair_rate_limiter.py``).
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
from weldhead.transport.http_server import Response, error_response, unavailable_response

log = logging.getLogger(__name__)

#: How many requests to the state service a poll may need: the job's two possible keys.
REQUESTS_PER_POLL = 2.0
#: Once a job's polls have failed for this long, a peer is asked as well, and the job's reads
#: take precedence over reads of other jobs that can wait.
URGENT_WAIT_US = 20 * SECOND_US
TOO_MANY_POLLS = "too many ask at once"
#: Tells a peer that the polled job has to wait until jobs that have waited longer are served.
RATE_LIMITED_STATUS = http_status.TOO_MANY_REQUESTS
#: How many polls a follower forwards to the leader at once; this limits the leader's load.
MAX_FORWARDED_POLLS = 16

_encode = msgspec.json.Encoder().encode


class PollHandler:
    """Answers the polls that reach one controller."""

    def __init__(
        self, controller: ControllerView, reader: JobStatusReader, limiter: FairRateLimiter
    ) -> None:
        self._controller = controller
        self._reader = reader
        self.limiter = limiter
        self._forwarded_polls = 0

    async def poll(
        self, job_id: str, *, forwarded: bool = False, ask_peers: bool = True
    ) -> Response:
        """Report a job's status.

        ``forwarded``: the poll was forwarded to this controller as the leader, which answers it
        without other controllers. ``ask_peers``: controllers other than the leader may be asked;
        False if the poll itself comes from a peer.
        """
        if not is_job_id(job_id):
            return error_response(http_status.NOT_FOUND, "no such job")
        status = self._reader.status_in_memory(job_id)
        if status is not None:
            self.limiter.record_answer(job_id)
            return Response(http_status.OK, _encode(status))
        if self._controller.isolated:
            return isolated_response(self._reader.describe_deadline(job_id))
        if not forwarded and self._controller.leader is None:
            answer = self._accept_definite(job_id, await self._poll_leader(job_id))
            if answer is not None:
                return answer
        return await self._poll_store(
            job_id, ask_peers=ask_peers and not forwarded, for_user=ask_peers
        )

    async def _poll_store(self, job_id: str, *, ask_peers: bool, for_user: bool) -> Response:
        """Answer a poll by reading the state service, here or on another controller.

        ``for_user``: the response goes to a user, not to another controller.
        """
        at_us = now_us()
        urgent = self.limiter.waited_us(job_id, at_us) > URGENT_WAIT_US
        admitted = self.limiter.take_spare(REQUESTS_PER_POLL, at_us)
        owner_unreachable = False
        if not admitted and ask_peers:
            # A single controller, the poll's owner, tracks how long a job's polls have failed.
            # When each controller tracked that itself, it did not learn that a job had been
            # answered on another one, and such jobs took precedence over unanswered ones.
            try:
                answer = await self._controller.ask_poll_owner(job_id)
            except CallError:
                answer, owner_unreachable = None, True
            if (definite := self._accept_definite(job_id, answer)) is not None:
                return definite
            if answer is not None and answer.status == RATE_LIMITED_STATUS:
                return self._refuse(job_id, TOO_MANY_POLLS)
            at_us = now_us()
        reason = TOO_MANY_POLLS
        if admitted or self.limiter.take(
            job_id, REQUESTS_PER_POLL, at_us, owner_unreachable=owner_unreachable
        ):
            try:
                return await self._read(job_id, urgent=urgent)
            except CallError as error:
                log.debug("poll failed: job %s: %s", job_id, error)
                reason, urgent = "state service unavailable", True
        if urgent and ask_peers:
            answer = await self._controller.ask_served_peer("poll", job_id, b"")
            if (definite := self._accept_definite(job_id, answer)) is not None:
                return definite
        self.limiter.record_failure(job_id, now_us())
        if not for_user and reason == TOO_MANY_POLLS:
            return error_response(RATE_LIMITED_STATUS, reason)
        return self._refuse(job_id, reason)

    def _accept_definite(self, job_id: str, answer: Response | None) -> Response | None:
        """Return another controller's answer if it states the job's status, otherwise None.

        The limiter then counts the job's poll as answered.
        """
        if answer is None or answer.status not in (http_status.OK, http_status.NOT_FOUND):
            return None
        self.limiter.record_answer(job_id)
        return answer

    async def _read(self, job_id: str, *, urgent: bool) -> Response:
        """Answer a poll from the state service; CallError if the status cannot be read."""
        stored = await self._reader.read_status(job_id, urgent=urgent)
        self.limiter.record_answer(job_id)
        if stored is None:
            return error_response(http_status.NOT_FOUND, "no such job")
        if stored.state == "pending":
            # The record was found under the first of the two keys: one request was not needed.
            self.limiter.refund(REQUESTS_PER_POLL / 2)
        return Response(http_status.OK, _encode(stored))

    def _refuse(self, job_id: str, reason: str) -> Response:
        deadline = self._reader.describe_deadline(job_id)
        return unavailable_response(reason + deadline)

    async def _poll_leader(self, job_id: str) -> Response | None:
        """Forward a poll to the leader.

        Returns None if the leader does not answer, or if ``MAX_FORWARDED_POLLS`` are already
        under way: too many of them would keep a small leader from renewing its lease and from
        answering workers (docs/design/pressure.md).
        """
        if self._forwarded_polls >= MAX_FORWARDED_POLLS:
            return None
        self._forwarded_polls += 1
        try:
            return await self._controller.ask_leader("poll", job_id, b"")
        finally:
            self._forwarded_polls -= 1
