"""Commands and answers that are held up on the way, and the machine then goes on."""

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


def test_what_was_to_stop_and_could_not_be_sent_is_gone(clock: Clock) -> None:
    """Neither sent nor stopped nor released, it kept its room until its machine was deleted."""
    state, wire = StandInState(), Wire()
    put_job(state, job_spec(1))
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, clock())
    leader.term.worker_http = cast(HttpClient, wire)

    def meet() -> None:
        answer = leader.handle_heartbeat(worker.report(), clock(), relayed=False)
        assert answer is not None
        worker.answered(answer)

    async def scenario() -> None:
        meet()
        meet()
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
            meet()
        await leader.close()

    asyncio.run(scenario())
    assert not leader.cluster.stopping and not leader.cluster.jobs["run-000001"].active
    assert worker.starts == []


def test_what_waited_in_vain_for_a_free_connection_was_not_sent() -> None:
    """It counted as sent: its task started nowhere until its machine listed or lost it."""
    asked: list[bytes] = []
    waiting = asyncio.Event()

    async def handle(_: Any, body: bytes) -> Reply:
        asked.append(body)
        await waiting.wait()
        return Reply(503, b"")

    async def scenario() -> None:
        http = HttpClient(1)
        async with served(handle) as address:
            one = asyncio.create_task(workers.command(http, address, 1, 1, [], 60 * S))
            await eventually(lambda: len(asked) == 1)
            with pytest.raises(NotConnectedError):
                await workers.command(http, address, 2, 1, [], S // 10)
            waiting.set()
            with pytest.raises(CallError, match="503"):
                await one
            waiting.clear()
            # One that was sent and is not answered in time is no such thing.
            with pytest.raises(CallError) as sent:
                await workers.command(http, address, 3, 1, [], S // 10)
            assert not isinstance(sent.value, NotConnectedError)
            waiting.set()
            await http.close()
        assert [b'"token":2' in body for body in asked] == [False] * 2

    asyncio.run(scenario())


#: What may happen next; what ordinarily happens comes more often.
EVENTS = (
    *("round",) * 8, *("place",) * 6, *("direct",) * 5, *("exit",) * 5, *("direct arrives",) * 2,
    *("speak",) * 2, *("arrive",) * 2, *("copy",) * 2, *("save",) * 2, *("take over",) * 2,
    "meet", "arrive old", "lost", "place old", "direct answered", "direct fails",
    "direct refused", "stop", "kill", "rest", "delete",
)  # fmt: skip


async def play(network: Network, events: list[tuple[str, int, int]]) -> None:
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
            case "direct arrives" | "direct answered" | "direct fails" | "direct refused":
                fates = {"arrives": "arrive", "answered": "answer", "fails": "fail"}
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
def test_whatever_is_held_up_nothing_runs_twice_and_all_is_counted(
    events: list[tuple[str, int, int]],
) -> None:
    """Leaders in a row, each unaware for a while; messages held, copied, lost and reordered."""

    async def history(clock: Clock) -> None:
        network = Network(clock)
        try:
            await play(network, events)
            await network.calm()
            network.check()
            # In the end the books hold just what runs.
            live = {(name, task, number) for name, task, number in network.live()}
            for machine in network.leader.cluster.machines.values():
                if not machine.deleting and not machine.not_receiving:
                    held = {(machine.name, a.task, a.number) for a in machine.attempts.values()
                            if not a.unconfirmed_since_us}  # fmt: skip
                    assert held <= live, "counted for ever"
        finally:
            await network.close()

    with fixed_clock() as clock:
        asyncio.run(history(clock))
