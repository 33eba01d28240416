"""Commands and answers that are held up on the way, and the machine then goes on."""

import asyncio
from dataclasses import dataclass, field
from typing import cast

import msgspec

from tests.builders import job_spec
from tests.stand_ins import StandInState
from tests.test_recovery import Clock, clock, new_leader, put_job, put_machine
from weldhead.bookkeeping.jobs import Stop
from weldhead.protocol.wire import DirectCommands
from weldhead.transport.http import HttpClient, NotConnected

S = 1_000_000
__all__ = ["clock"]


@dataclass
class Request:
    """A direct request on its way; the test decides what becomes of it."""

    address: str
    sent: DirectCommands
    answer: asyncio.Future[tuple[int, bytes]]


@dataclass
class Wire:
    """Takes the place of the connections to workers."""

    requests: list[Request] = field(default_factory=list)

    async def call(
        self, method: str, url: str, body: bytes, timeout_us: int, **more: object
    ) -> tuple[int, bytes]:
        sent = msgspec.json.decode(body, type=DirectCommands)
        answer: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        self.requests.append(Request(url, sent, answer))
        return await answer


async def settle() -> None:
    for _ in range(12):
        await asyncio.sleep(0)


def test_what_was_to_stop_and_could_not_be_sent_is_gone(clock: Clock) -> None:
    """Neither sent nor stopped nor released, it kept its room until its machine was deleted."""
    state, wire = StandInState(), Wire()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    leader.term.worker_http = cast(HttpClient, wire)

    def meet() -> None:
        answer = leader.report(worker.report(), clock(), relayed=False)
        assert answer is not None
        worker.answered(answer)

    async def scenario() -> None:
        meet()
        meet()
        machine = leader.cluster.machines[worker.name]
        attempt = leader.cluster.start(leader.cluster.jobs["run-000001"], 0, machine, clock())
        leader._dispatcher.post_soon(machine)
        await settle()
        assert attempt.posted
        leader.deciding.stop(attempt, Stop.HARD, clock(), "room")
        wire.requests[0].answer.set_exception(NotConnected("refused"))
        await settle()
        for _ in range(2):
            clock.us += S
            meet()
        await leader.close()

    asyncio.run(scenario())
    assert not leader.cluster.stopping and not leader.cluster.jobs["run-000001"].active
    assert worker.starts == []
