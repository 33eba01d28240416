"""Commands and answers that are delayed in the network while their machine continues."""

import asyncio
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.builders import job_spec
from tests.support.held_network import Network, Wire, settle
from tests.support.leaders import Clock, fixed_clock, new_leader, put_job, put_machine
from tests.support.loopback import eventually, served
from tests.support.stand_ins import StandInState
from weldhead.cluster_state.states import StopRequest
from weldhead.site.http import Reply
from weldhead.transport import worker_commands as workers
from weldhead.transport.http_client import CallError, HttpClient, NotConnectedError

S = 1_000_000


def test_stopped_attempt_whose_run_was_not_sent_is_released(clock: Clock) -> None:
    """A stopped attempt whose ``run`` could not be sent is released.

    The attempt was neither sent nor stopped nor released, and kept its capacity until its machine
    was deleted.
    """
    state, wire = StandInState(), Wire()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    leader.term.worker_http = cast(HttpClient, wire)

    def exchange_heartbeat() -> None:
        answer = leader.handle_heartbeat(worker.report(), clock(), relayed=False)
        assert answer is not None
        worker.answered(answer)

    async def scenario() -> None:
        exchange_heartbeat()
        exchange_heartbeat()
        machine = leader.cluster.machines[worker.name]
        attempt = leader.cluster.start(leader.cluster.jobs["run-000001"], 0, machine, clock())
        leader._dispatcher.schedule(machine)
        await settle()
        assert attempt.sent_directly
        leader.scheduling_loop.stop(attempt, StopRequest.HARD, clock(), "room")
        wire.requests[0].answer.set_exception(NotConnectedError("refused"))
        await settle()
        for _ in range(2):
            clock.us += S
            exchange_heartbeat()
        await leader.close()

    asyncio.run(scenario())
    assert not leader.cluster.stopping and not leader.cluster.jobs["run-000001"].active
    assert worker.starts == []


def test_request_without_a_free_connection_counts_as_not_sent() -> None:
    """A request that got no free connection in time counts as not sent.

    It counted as sent, so its task started nowhere until its machine listed it or was lost.
    """
    received: list[bytes] = []
    release = asyncio.Event()

    async def handle(_: Any, body: bytes) -> Reply:
        received.append(body)
        await release.wait()
        return Reply(503, b"")

    async def scenario() -> None:
        http = HttpClient(1)
        async with served(handle) as address:
            first_request = asyncio.create_task(
                workers.send_commands(http, address, 1, 1, [], 60 * S)
            )
            await eventually(lambda: len(received) == 1)
            with pytest.raises(NotConnectedError):
                await workers.send_commands(http, address, 2, 1, [], S // 10)
            release.set()
            with pytest.raises(CallError, match="503"):
                await first_request
            release.clear()
            # A request that was sent and is not answered in time may have been executed.
            with pytest.raises(CallError) as sent:
                await workers.send_commands(http, address, 3, 1, [], S // 10)
            assert not isinstance(sent.value, NotConnectedError)
            release.set()
            await http.close()
        assert [b'"token":2' in body for body in received] == [False] * 2

    asyncio.run(scenario())


#: The possible events; a more common event is listed more often.
EVENTS = (
    *("round",) * 8, *("place",) * 6, *("direct",) * 5, *("exit",) * 5, *("direct arrives",) * 2,
    *("speak",) * 2, *("arrive",) * 2, *("copy",) * 2, *("save",) * 2, *("take over",) * 2,
    *("direct again",) * 3,
    "meet", "arrive old", "lost", "place old", "direct answered", "direct fails",
    "direct refused", "stop", "kill", "rest", "delete",
)  # fmt: skip


async def play_events(network: Network, events: list[tuple[str, int, int]]) -> None:
    await network.take_over()
    for _ in range(2):
        network.round(heard=True)
    for event, number, tenths in events:
        network.clock.us += tenths * S // 10
        await network.look()
        newest = len(network.reports) - 1
        match event:
            case "round":
                network.round(heard=number % 8 > 0)
            case "meet":
                sent = network.speak(number)
                if sent is not None:
                    network.arrive(sent, relayed=number % 5 == 0)
            case "speak":
                network.speak(number)
            case "arrive" | "lost":
                network.arrive(newest, relayed=number % 5 == 0, lost=event == "lost")
            case "arrive old":
                network.arrive(newest - number % 2, relayed=False, old=True)
            case "copy":
                network.arrive(number, relayed=number % 2 == 0)
            case "place" | "place old":
                await network.place(network.leader if event == "place" else network.before)
            case "direct":
                for fate in ("arrive", "answer"):
                    await network.request(-1 - number % 3, fate)
            case (
                "direct arrives"
                | "direct answered"
                | "direct fails"
                | "direct refused"
                | "direct again"
            ):
                fates = {
                    "arrives": "arrive",
                    "answered": "answer",
                    "fails": "fail",
                    "again": "again",
                }
                await network.request(number, fates.get(event.split()[1], "refuse"))
            case "exit":
                network.exit(number)
            case "stop" | "kill":
                await network.stop(
                    number, StopRequest.SOFT if event == "stop" else StopRequest.HARD
                )
            case "save":
                await network.save()
            case "take over":
                await network.take_over(number if network.reports and number % 2 else None)
            case "rest":
                network.clock.us += number % 6 * S
            case "delete":
                await network.delete()
        await network.look()
        network.check()


@settings(max_examples=150)
@given(
    st.lists(
        st.tuples(st.sampled_from(EVENTS), st.integers(0, 60), st.integers(0, 9)),
        min_size=50,
        max_size=90,
    )
)
def test_delayed_messages_start_nothing_twice_and_all_is_counted(
    events: list[tuple[str, int, int]],
) -> None:
    """Nothing runs twice and every attempt is counted, whichever messages are delayed.

    Several leaders follow each other, each unaware of its successor for a while. Messages are
    delayed, copied, lost and reordered.
    """

    async def run_events(clock: Clock) -> None:
        network = Network(clock)
        try:
            await play_events(network, events)
            await network.calm()
            network.check()
            # In the end the leader counts exactly the attempts that run.
            live = {(name, task, number) for name, task, number in network.live()}
            for machine in network.leader.cluster.machines.values():
                if not machine.deleting and not machine.not_receiving:
                    counted = {(machine.name, a.task, a.number) for a in machine.attempts.values()
                            if not a.unconfirmed_since_us}  # fmt: skip
                    assert counted <= live, "an attempt that does not run is counted"
        finally:
            await network.close()

    with fixed_clock() as clock:
        asyncio.run(run_events(clock))
