"""Request handlers on a stand-in controller."""

import asyncio
from collections.abc import Awaitable
from typing import Any, cast

import msgspec

from tests.support.builders import machine_type
from tests.support.stand_ins import StandInState
from tests.support.submissions import GOOD
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.controller.leadership.leader import Leader
from weldhead.controller.requests.request_handler import RequestHandler
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import MachineType
from weldhead.transport.http_server import Response
from weldhead.transport.state_client import StateClient

JOB = "run-000412"


GOOD_BODY = msgspec.json.encode(GOOD)


OTHER_BODY = msgspec.json.encode(GOOD | {"uid": "run-000413"})


class StandInNode:
    """A follower that reaches neither leader nor peers."""

    def __init__(self) -> None:
        self.leader: Leader | None = None
        self.all_know_chains = True
        self.documents: DocumentReplica | None = None
        self.isolated = False
        #: What others answer, by the kind of question.
        self.others: dict[str, Response] = {}
        self.catalog: list[MachineType] = [machine_type()]

    async def ask_leader(self, kind: str, job_id: str, body: bytes) -> Response | None:
        return self.others.get(kind)

    async def ask_served_peer(
        self, kind: str, job_id: str, body: bytes, *, chained: bool = False
    ) -> Response | None:
        return None

    async def ask_poll_owner(self, job_id: str) -> Response | None:
        return None

    def peers_support(self, min_format: int) -> bool:
        return self.all_know_chains


def desk(state: StandInState, node: StandInNode | None = None) -> RequestHandler:
    return RequestHandler(node or StandInNode(), cast(StateClient, state), [Team("red", 8, 16)])


def run(call: Awaitable[Response]) -> tuple[int, Any]:
    async def answer() -> Response:
        return await call

    response = asyncio.run(answer())
    return response.status, msgspec.json.decode(response.body)
