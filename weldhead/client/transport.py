"""HTTP requests to the first address that connects, and the interpretation of their answers.

An answer that violates the protocol counts as a failed try. A failed try records whether the
request may have been sent: only a connection that was never established proves that the
service received nothing.
"""

import asyncio

import aiohttp
import msgspec

from weldhead.client.decisions import (
    FailedCall,
    MissingAnswer,
    RefusedAnswer,
    Reply,
    StatusAnswer,
    Step,
)
from weldhead.client.endpoints import Endpoints
from weldhead.clock import MILLISECOND_US, SECOND_US, now_us
from weldhead.protocol.wire import MAX_BODY_BYTES, ErrorBody, JobStatus

_CONNECT_TIMEOUT_US = 700 * MILLISECOND_US
_STEP_TIMEOUTS_US = {Step.POLL: 2 * SECOND_US, Step.WATCH: 2 * SECOND_US}
_DEFAULT_TIMEOUT_US = 5 * SECOND_US
_STATES = ("pending", "running", "done", "withdrawn")

_status_decoder = msgspec.json.Decoder(JobStatus)
_error_decoder = msgspec.json.Decoder(ErrorBody)


class Transport:
    """A client's HTTP connections to all addresses of a service."""

    def __init__(self, endpoints: Endpoints, connections: int) -> None:
        self._endpoints = endpoints
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=connections, limit_per_host=0),
            timeout=aiohttp.ClientTimeout(total=None),
            headers={"Content-Type": "application/json"},
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def try_step(self, step: Step, job_id: str, body: bytes | None) -> Reply:
        """Send the request of a step once, and return the interpreted answer."""
        method, path = {
            Step.UPLOAD: ("PUT", f"/descriptions/{job_id}"),
            Step.SUBMIT: ("POST", "/submissions"),
            Step.POLL: ("GET", f"/submissions/{job_id}"),
            Step.WATCH: ("GET", f"/submissions/{job_id}"),
            Step.CANCEL: ("POST", f"/submissions/{job_id}/cancel"),
        }[step]
        answer = await self.call(
            method, path, body, _STEP_TIMEOUTS_US.get(step, _DEFAULT_TIMEOUT_US)
        )
        if isinstance(answer, FailedCall):
            return answer
        status, content, retry_after_us = answer
        return interpret_answer(step, job_id, status, content, retry_after_us)

    async def call(
        self, method: str, path: str, body: bytes | None, timeout_us: int
    ) -> tuple[int, bytes, int] | FailedCall:
        """Send a request to one address after the other until one may have received it.

        Returns status, body and ``Retry-After`` (in microseconds) of the answer. The next
        address is tried only if the previous one surely received nothing.
        """
        reason = "no address"
        for address in self._endpoints.ordered_addresses(now_us()):
            answer = await self._request_address(method, address, path, body, timeout_us)
            if not isinstance(answer, FailedCall):
                self._endpoints.record_success(address)
                return answer
            self._endpoints.record_failure(address, now_us())
            if answer.sent:
                return answer
            reason = answer.reason
        return FailedCall(reason, sent=False)

    async def _request_address(
        self, method: str, address: str, path: str, body: bytes | None, timeout_us: int
    ) -> tuple[int, bytes, int] | FailedCall:
        timeout = aiohttp.ClientTimeout(
            total=timeout_us / SECOND_US, sock_connect=_CONNECT_TIMEOUT_US / SECOND_US
        )
        try:
            async with self._session.request(
                method, f"http://{address}{path}", data=body, timeout=timeout, allow_redirects=False
            ) as answer:
                content = await answer.content.read(MAX_BODY_BYTES + 1)
                while not answer.content.at_eof() and len(content) <= MAX_BODY_BYTES:
                    content += await answer.content.read(MAX_BODY_BYTES + 1)
                if len(content) > MAX_BODY_BYTES:
                    answer.close()
                    return FailedCall(f"{address}: an answer of more than {MAX_BODY_BYTES} bytes")
                return answer.status, content, _retry_after_us(answer.headers.get("Retry-After"))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return FailedCall(f"{address}: {_describe_error(error)}", sent=False)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError) as error:
            return FailedCall(f"{address}: {_describe_error(error)}")


def _describe_error(error: Exception) -> str:
    if isinstance(error, asyncio.TimeoutError):
        return "no answer in time"
    return str(error) or type(error).__name__


def _retry_after_us(text: str | None) -> int:
    if text is not None and text.isascii() and text.isdecimal() and len(text) < 6:
        return int(text) * SECOND_US
    return 0


_NO_REASON = "no reason given"


def interpret_answer(
    step: Step, job_id: str, status: int, body: bytes, retry_after_us: int = 0
) -> Reply:
    """Translate an HTTP answer to a step's request into a reply."""
    if step is Step.UPLOAD:
        if status in (200, 201):
            return StatusAnswer("uploaded")
        if status in (400, 409):
            return _refusal_from(status, body)
    elif status == 200 or (status == 201 and step is Step.SUBMIT):
        try:
            job = _status_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return FailedCall(f"nonsense: {error}")
        if job.id != job_id or job.state not in _STATES:
            return FailedCall(f"nonsense: {job.id} {job.state}")
        if step is Step.CANCEL and job.state not in ("done", "withdrawn"):
            return FailedCall(f"nonsense: cancelled, and {job.state}")
        late_by_s = (job.late_by_s or 0.0) if job.late else None
        return StatusAnswer(
            job.state, status == 201, job.done, job.running, job.forecast_s, late_by_s,
            job.late, job.due_at, job.held_by,
        )  # fmt: skip
    elif status in (400, 422) and step is Step.SUBMIT:
        return _refusal_from(status, body)
    if status == 404 and step is not Step.SUBMIT:
        return MissingAnswer()
    reason = f"status {status}"
    if status == 503 and step is Step.POLL and _refusal_from(status, body).reason != _NO_REASON:
        # Without knowing the job's state, the service may still name the time it is due.
        reason += f": {_refusal_from(status, body).reason[:200]}"
    return FailedCall(reason, retry_after_us=retry_after_us)


def _refusal_from(status: int, body: bytes) -> RefusedAnswer:
    try:
        error_body = _error_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        # The status alone makes the answer a refusal; the body names no reason.
        return RefusedAnswer(status, _NO_REASON)
    return RefusedAnswer(status, error_body.error, error_body.field)
