"""What request handlers need of their controller, and what they answer when it is isolated."""

from typing import Protocol

from weldhead.controller.configuration.document_replica import (
    DocumentReplica,
)
from weldhead.controller.leadership.leader import Leader
from weldhead.protocol.wire import MachineType
from weldhead.transport.http_server import Response, unavailable


class ControllerView(Protocol):
    """What request handlers need of their controller."""

    @property
    def isolated(self) -> bool:
        """Whether neither the state service nor another controller answers this controller."""

    @property
    def leader(self) -> Leader | None:
        """This node's term, if it leads."""

    @property
    def catalog(self) -> list[MachineType]:
        """The machine types, as far as they are known."""

    @property
    def documents(self) -> DocumentReplica | None:
        """The calendars and gates; None: this controller is given none."""

    async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
        """Have the leader answer; None if it cannot be reached."""

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        """Have a peer answer that the state service serves; None if there is none."""

    async def ask_home(self, job_id: str) -> Response | None:
        """Have the peer look that counts how long a job waits; None: that is this controller.

        CallError if it does not answer.
        """

    def peers_know(self, least_format: int) -> bool:
        """Whether no peer is known to run a version of an earlier format."""


def isolated_response(known: str = "") -> Response:
    """Send a user to other controllers, with what is known here of the job.

    The caller's next connection goes to another controller once the load balancer knows; nobody
    is kept waiting for what cannot come.
    """
    answer = unavailable("this node reaches nobody" + known)
    answer.close = True
    return answer
