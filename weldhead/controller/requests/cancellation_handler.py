"""Handles cancellation requests.

Only the leader cancels a job, because only the leader knows which tasks run.
"""

import msgspec

from weldhead.controller.leadership.leader import NotReadyError
from weldhead.controller.requests.controller_view import ControllerView, isolated_response
from weldhead.controller.requests.job_status_reader import JobStatusReader
from weldhead.protocol import http_status
from weldhead.protocol.validation import (
    is_job_id,
)
from weldhead.protocol.wire import JobStatus
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response, error_response, unavailable_response

_encode = msgspec.json.Encoder().encode


class CancellationHandler:
    """Handles the cancellation requests that reach one controller."""

    def __init__(self, controller: ControllerView, reader: JobStatusReader) -> None:
        self._controller = controller
        self._reader = reader

    async def cancel(self, job_id: str, *, forwarded: bool = False) -> Response:
        """Cancel a job on the leader; a follower forwards the request to the leader.

        ``forwarded``: the request comes from another controller and is not forwarded again.
        """
        if not is_job_id(job_id):
            return error_response(http_status.NOT_FOUND, "no such job")
        if self._controller.isolated:
            return isolated_response()
        leader = self._controller.leader
        if leader is None:
            if not forwarded:
                answer = await self._controller.ask_leader("cancel", job_id, b"")
                if answer is not None:
                    return answer
            return unavailable_response("no leader")
        try:
            status = await leader.cancel(job_id)
            if status is not None:
                return Response(http_status.OK, _encode(status))
            stored = await self._reader.read_status(job_id)
        except (CallError, NotReadyError):
            return unavailable_response("cannot be decided yet")
        if stored is None:
            return error_response(http_status.NOT_FOUND, "no such job")
        if stored.state in ("done", "withdrawn"):
            return Response(http_status.OK, _encode(JobStatus(job_id, stored.state)))
        # Another controller has just accepted the job, and reading the record has just added the
        # job to this leader's memory: the user's next attempt finds it there.
        return unavailable_response("cannot be decided yet")
