"""One try: a request to the first address that connects, and what its answer amounts to.

Nonsense is a failed try, never an answer. Whether anything was sent is told apart from
whether an answer came: only a connection that never came about proves that nothing was.
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

_CONNECT_US = 700 * MILLISECOND_US
_LIMITS_US = {Step.POLL: 2 * SECOND_US, Step.WATCH: 2 * SECOND_US}
_LIMIT_US = 5 * SECOND_US
_STATES = ("pending", "running", "done", "withdrawn")

_statuses = msgspec.json.Decoder(JobStatus)
_errors = msgspec.json.Decoder(ErrorBody)


class Transport:
    """A client's connections to all addresses of a service."""

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
        """Make one try of a step."""
        method, path = {
            Step.UPLOAD: ("PUT", f"/descriptions/{job_id}"),
            Step.SUBMIT: ("POST", "/submissions"),
            Step.POLL: ("GET", f"/submissions/{job_id}"),
            Step.WATCH: ("GET", f"/submissions/{job_id}"),
            Step.CANCEL: ("POST", f"/submissions/{job_id}/cancel"),
        }[step]
        answer = await self.call(method, path, body, _LIMITS_US.get(step, _LIMIT_US))
        if isinstance(answer, FailedCall):
            return answer
        status, content, retry_after_us = answer
        return understand(step, job_id, status, content, retry_after_us)

    async def call(
        self, method: str, path: str, body: bytes | None, limit_us: int
    ) -> tuple[int, bytes, int] | FailedCall:
        """Return status, body and ``Retry-After`` (microseconds) of the first who answers."""
        reason = "no address"
        for address in self._endpoints.order(now_us()):
            answer = await self._one(method, address, path, body, limit_us)
            if not isinstance(answer, FailedCall):
                self._endpoints.reached(address)
                return answer
            self._endpoints.missed(address, now_us())
            if answer.sent:
                return answer
            reason = answer.reason
        return FailedCall(reason, sent=False)

    async def _one(
        self, method: str, address: str, path: str, body: bytes | None, limit_us: int
    ) -> tuple[int, bytes, int] | FailedCall:
        timeout = aiohttp.ClientTimeout(
            total=limit_us / SECOND_US, sock_connect=_CONNECT_US / SECOND_US
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
            return FailedCall(f"{address}: {_brief(error)}", sent=False)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError) as error:
            return FailedCall(f"{address}: {_brief(error)}")


def _brief(error: Exception) -> str:
    if isinstance(error, asyncio.TimeoutError):
        return "no answer in time"
    return str(error) or type(error).__name__


def _retry_after_us(text: str | None) -> int:
    if text is not None and text.isascii() and text.isdecimal() and len(text) < 6:
        return int(text) * SECOND_US
    return 0


_NO_REASON = "no reason given"


def understand(step: Step, job_id: str, status: int, body: bytes, retry_after_us: int = 0) -> Reply:
    """Return what an answer amounts to."""
    if step is Step.UPLOAD:
        if status in (200, 201):
            return StatusAnswer("uploaded")
        if status in (400, 409):
            return _refused(status, body)
    elif status == 200 or (status == 201 and step is Step.SUBMIT):
        try:
            told = _statuses.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return FailedCall(f"nonsense: {error}")
        if told.id != job_id or told.state not in _STATES:
            return FailedCall(f"nonsense: {told.id} {told.state}")
        if step is Step.CANCEL and told.state not in ("done", "withdrawn"):
            return FailedCall(f"nonsense: cancelled, and {told.state}")
        late_by_s = (told.late_by_s or 0.0) if told.late else None
        return StatusAnswer(
            told.state, status == 201, told.done, told.running, told.forecast_s, late_by_s,
            told.late, told.due_at, told.held_by,
        )  # fmt: skip
    elif status in (400, 422) and step is Step.SUBMIT:
        return _refused(status, body)
    if status == 404 and step is not Step.SUBMIT:
        return MissingAnswer()
    why = f"status {status}"
    if status == 503 and step is Step.POLL and _refused(status, body).reason != _NO_REASON:
        # It may say by when the job is due, though not how it stands.
        why += f": {_refused(status, body).reason[:200]}"
    return FailedCall(why, retry_after_us=retry_after_us)


def _refused(status: int, body: bytes) -> RefusedAnswer:
    try:
        told = _errors.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        # The status alone decides; what is wrong is not told.
        return RefusedAnswer(status, _NO_REASON)
    return RefusedAnswer(status, told.error, told.field)
