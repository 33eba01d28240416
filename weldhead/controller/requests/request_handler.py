"""Handles users' requests on a controller: submissions, polls and cancellations."""

from weldhead.admission.fair_rate_limiter import FairRateLimiter
from weldhead.clock import now_us
from weldhead.controller.memory_monitor import MemoryMonitor
from weldhead.controller.requests.cancellation_handler import CancellationHandler
from weldhead.controller.requests.controller_view import ControllerView
from weldhead.controller.requests.job_status_reader import JobStatusReader
from weldhead.controller.requests.poll_handler import PollHandler
from weldhead.controller.requests.submission_handler import SubmissionHandler
from weldhead.protocol.settings import Team
from weldhead.transport.http_server import Response
from weldhead.transport.state_client import (
    StateClient,
)

#: Share of the state service's request rate that the polls of all controllers together may use;
#: the rest is for the leader and for submissions.
POLL_SHARE = 0.6
#: Share of the polls' rate for reading dependencies. Without this limit, a few long chains would
#: use the whole rate.
DEPENDENCY_SHARE = 1 / 3
#: A limiter's burst, as seconds of its rate.
BURST_S = 2


class RequestHandler:
    """Handles the requests that users send to one of ``controllers`` controllers."""

    def __init__(
        self,
        controller: ControllerView,
        state: StateClient,
        teams: list[Team],
        controllers: int = 1,
        memory: MemoryMonitor | None = None,
    ) -> None:
        rate, at_us = state.limits.rps * POLL_SHARE / controllers, now_us()
        poll_limiter = FairRateLimiter(rate, BURST_S * rate, at_us)
        dependency_rate = rate * DEPENDENCY_SHARE
        dependency_limiter = FairRateLimiter(dependency_rate, BURST_S * dependency_rate, at_us)
        self.reader = JobStatusReader(controller, state, dependency_limiter)
        self.submissions = SubmissionHandler(
            controller, state, teams, memory or MemoryMonitor(0.0), self.reader
        )
        self.polls = PollHandler(controller, self.reader, poll_limiter)
        self.cancellations = CancellationHandler(controller, self.reader)

    async def submit(self, body: bytes, *, forwarded: bool = False) -> Response:
        """Accept a job; the response is 201 only after the job's record is committed."""
        return await self.submissions.submit(body, forwarded=forwarded)

    def known_status(self, job_id: str) -> Response:
        """Report a job's status from memory only, without reading the state service."""
        return self.submissions.known_status(job_id)

    async def poll(
        self, job_id: str, *, forwarded: bool = False, ask_peers: bool = True
    ) -> Response:
        """Report a job's status.

        ``forwarded``: the poll was forwarded to this controller as the leader, which answers it
        without other controllers. ``ask_peers``: controllers other than the leader may be asked;
        False if the poll itself comes from a peer.
        """
        return await self.polls.poll(job_id, forwarded=forwarded, ask_peers=ask_peers)

    async def cancel(self, job_id: str, *, forwarded: bool = False) -> Response:
        """Cancel a job on the leader."""
        return await self.cancellations.cancel(job_id, forwarded=forwarded)
