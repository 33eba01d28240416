"""The interface that request handlers need of their controller, and the isolated response."""

from typing import Protocol

from weldhead.controller.configuration.document_replica import (
    DocumentReplica,
)
from weldhead.controller.leadership.leader import Leader
from weldhead.protocol.wire import MachineType
from weldhead.transport.http_server import Response, unavailable_response


class ControllerView(Protocol):
    """The controller as its request handlers see it."""

    @property
    def isolated(self) -> bool:
        """Whether neither the state service nor another controller answers this controller."""

    @property
    def leader(self) -> Leader | None:
        """This controller's term, if this controller leads."""

    @property
    def catalog(self) -> list[MachineType]:
        """The machine types known so far; empty until the first ones are known."""

    @property
    def documents(self) -> DocumentReplica | None:
        """The calendars and gates; None if this controller is configured without documents."""

    async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
        """Forward a request to the leader; None if the leader cannot be reached."""

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        """Forward a request to a peer that the state service serves; None if there is none."""

    async def ask_poll_owner(self, job_id: str) -> Response | None:
        """Forward a poll to its owner, the one peer that tracks how long the job's polls fail.

        Returns None if this controller is the owner. Raises CallError if the owner does not
        answer.
        """

    def peers_support(self, min_format: int) -> bool:
        """Whether no peer is known to run a version with a format older than ``min_format``."""


def isolated_response(details: str = "") -> Response:
    """Return the response that sends a user to another controller.

    ``details`` is appended to the message: facts about the job that this controller knows. The
    connection is closed, and the caller's next one goes to another controller once the load
    balancer has noticed. The response is immediate, since this controller can get no answer.
    """
    answer = unavailable_response("this node reaches nobody" + details)
    answer.close = True
    return answer
