"""Playing scenarios in which two faults meet."""

import asyncio

from tests.support.stand_ins import StandInWorker
from weldhead.controller.leadership.leader import Leader
from weldhead.protocol.wire import Heartbeat, HeartbeatAnswer


def deliver(leader: Leader, report: Heartbeat, at_us: int) -> HeartbeatAnswer:
    async def scenario() -> HeartbeatAnswer | None:
        return leader.handle_heartbeat(report, at_us, relayed=False)

    answer = asyncio.run(scenario())
    assert answer is not None
    return answer


def meet(leader: Leader, worker: StandInWorker, at_us: int, *, heard: bool = True) -> None:
    """Let a worker report once; ``heard``: the answer arrives."""
    answer = deliver(leader, worker.report(), at_us)
    if heard:
        worker.answered(answer)
