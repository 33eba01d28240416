"""The users' side of a controller: submissions, polls and cancellations."""

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

#: Share of the store's requests that the polls of all controllers together may use; the rest is
#: for the leader and for submissions.
POLL_SHARE = 0.6
#: Share of that for reading dependencies: a few long chains would leave nothing to the rest.
DEPENDENCY_SHARE = 1 / 3
#: Seconds of its rate that a limiter gives out at once.
BURST_S = 2


class RequestHandler:
    """Answers users on one of ``controllers`` controllers."""

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
        """Accept a job: 201 only when it is in the store."""
        return await self.submissions.submit(body, forwarded=forwarded)

    def known_status(self, job_id: str) -> Response:
        """Tell a job's state if it is in memory; the store is not asked."""
        return self.submissions.known_status(job_id)

    async def poll(
        self, job_id: str, *, forwarded: bool = False, elsewhere: bool = True
    ) -> Response:
        """Tell a job's state; ``forwarded``: by what this controller has itself.

        ``elsewhere``: other controllers may be asked to look, besides the leader.
        """
        return await self.polls.poll(job_id, forwarded=forwarded, elsewhere=elsewhere)

    async def cancel(self, job_id: str, *, forwarded: bool = False) -> Response:
        """Cancel a job; only the leader does."""
        return await self.cancellations.cancel(job_id, forwarded=forwarded)
