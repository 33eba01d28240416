"""The users' side over HTTP on loopback, with a stand-in for the state service."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

import aiohttp
import msgspec
import pytest

from tests.support.stand_ins import StandInState
from tests.support.submissions import GOOD
from tests.support.users import GOOD_BODY, JOB, OTHER_BODY, StandInNode, desk, run
from weldhead.cluster_state.records import FinalRecord, final_key, job_key
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import HttpServer, Response


async def responded(call: Awaitable[Response]) -> Response:
    return await call


def test_a_job_is_created_once_and_known_ever_after() -> None:
    state = StandInState()
    assert run(desk(state).submit(GOOD_BODY)) == (201, {"uid": JOB, "status": "pending"})
    assert run(desk(state).submit(GOOD_BODY)) == (200, {"uid": JOB, "status": "pending"})
    assert run(desk(state).poll(JOB))[0] == 200
    # Over: it has moved, and is neither new nor unknown.
    state.delete(job_key(JOB))
    state.put(final_key(JOB), FinalRecord("done", 16))
    assert run(desk(state).submit(GOOD_BODY)) == (
        200,
        {"uid": JOB, "status": "done", "done": 16, "running": 0},
    )
    assert run(desk(state).poll(JOB))[1]["status"] == "done"


@pytest.mark.parametrize("fate", ["refused", "lost", "late", "unanswered"])
def test_without_an_answer_from_the_store_nothing_is_promised(fate: str) -> None:
    state = StandInState()
    state.fates = [fate]
    assert run(desk(state).submit(GOOD_BODY))[0] == 503
    state.release_late()
    assert run(desk(state).submit(GOOD_BODY))[0] in (200, 201)
    assert run(desk(state).poll(JOB))[0] == 200


def test_unknown_jobs_are_404_by_the_stores_word() -> None:
    assert run(desk(StandInState()).poll("run-999999"))[0] == 404
    assert run(desk(StandInState()).poll("nonsense"))[0] == 404


def test_undecidable_without_machine_types() -> None:
    node = StandInNode()
    node.catalog = []
    assert run(desk(StandInState(), node).submit(GOOD_BODY))[0] == 503


def test_impossible_jobs_are_422_unless_they_were_accepted_before() -> None:
    state = StandInState()
    body = msgspec.json.encode(GOOD | {"owner": "nobody"})
    assert run(desk(state).submit(body)) == (422, {"error": "unknown team", "field": "owner"})
    run(desk(state).submit(GOOD_BODY))
    assert run(desk(state).submit(body))[0] == 200


def test_a_node_that_is_alone_answers_at_once_and_sends_users_on() -> None:
    state, node = StandInState(), StandInNode()
    front = desk(state, node)
    assert run(front.submit(GOOD_BODY))[0] == 201
    state.delete(job_key(JOB))
    state.put(final_key(JOB), FinalRecord("done", 16))
    assert run(front.poll(JOB))[0] == 200
    node.isolated = True
    for call in (front.submit(OTHER_BODY), front.poll("run-000413"), front.cancel(JOB)):
        answer = asyncio.run(responded(call))
        assert (answer.status, answer.retry_after_s, answer.close) == (503, 1, True)
    # What never changes is told all the same.
    assert run(front.poll(JOB))[1]["status"] == "done"
    assert run(front.submit(GOOD_BODY))[0] == 200


def test_a_repeated_submission_is_known_also_when_no_more_are_taken() -> None:
    """Its user was asked to come back, again and again, as long as others submitted much."""
    node = StandInNode()
    front = desk(StandInState(), node)
    front.submissions.limiter.admit = lambda *_: 7  # type: ignore[method-assign]
    assert run(front.submit(GOOD_BODY))[0] == 503
    node.others["known"] = Response(200, b"{}")
    assert run(front.submit(GOOD_BODY))[0] == 200


def test_a_job_whose_status_fails_in_memory_is_read_from_the_store() -> None:
    """One job that brings out a bug was never answered by its leader."""

    class Leader:
        def status(self, job_id: str) -> None:
            raise ValueError("a bug")

        def job_created(self, *_: Any) -> None:
            pass

    node = StandInNode()
    front = desk(StandInState(), node)
    assert run(front.submit(GOOD_BODY))[0] == 201
    node.leader = cast(Any, Leader())
    assert run(front.poll(JOB))[0] == 200


def test_a_term_that_began_before_a_submission_was_answered_does_not_take_it_up() -> None:
    """Cancelled and ended by the leader before, it was entered as waiting, and ran."""
    state, node, taken = StandInState(), StandInNode(), list[str]()
    transact = state.transact

    class Leader:
        def status(self, job_id: str) -> None:
            """It is over: no term keeps it in memory."""

        def job_created(self, record: Any, version: int) -> None:
            taken.append(record.spec.id)

    async def answered_late(*args: Any, **more: Any) -> int:
        revision = await transact(*args, **more)
        state.delete(job_key(JOB))
        state.put(final_key(JOB), FinalRecord("withdrawn", 0))
        node.leader = cast(Any, Leader())
        return revision

    state.transact = answered_late  # type: ignore[method-assign]
    assert run(desk(state, node).submit(GOOD_BODY))[0] == 201
    assert taken == []


def test_what_is_over_is_read_once_and_a_long_chain_gets_further_each_time() -> None:
    state = StandInState()
    front = desk(state)
    names = [f"run-{n:06}" for n in range(500, 540)]
    for name in names:
        state.put(final_key(name), FinalRecord("done", 1))
    body = msgspec.json.encode(GOOD | {"waits_on": names})
    read: list[str] = []
    get = state.get

    async def limited(key: str, **more: Any) -> Any:
        read.append(key)
        if len(read) % 60 == 0:
            raise CallError("enough")
        return await get(key, **more)

    state.get = limited  # type: ignore[method-assign]
    answers = [run(front.submit(body))[0] for _ in range(3)]
    assert answers[0] == 503 and 201 in answers
    assert len(read) < 160


def test_cancellations_need_a_leader() -> None:
    assert run(desk(StandInState()).cancel(JOB))[0] == 503


async def with_server(
    visit: Callable[[aiohttp.ClientSession, str, list[tuple[str, str, bytes]]], Awaitable[None]],
) -> None:
    seen: list[tuple[str, str, bytes]] = []

    async def handle(method: str, path: str, body: bytes) -> Response:
        seen.append((method, path, body))
        if path == "/broken":
            raise RuntimeError("a bug")
        return Response(200, b"{}")

    server = HttpServer(handle)
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    await server.start(address)
    try:
        async with aiohttp.ClientSession() as session:
            await visit(session, f"http://{address}", seen)
    finally:
        await server.close()


def test_bodies_over_the_limit_are_malformed_and_not_read() -> None:
    async def chunks() -> Any:
        for _ in range(3):
            yield b"x" * 40_000

    async def visit(session: aiohttp.ClientSession, base: str, seen: list[Any]) -> None:
        for body in (b"x" * 65_537, chunks()):
            async with session.post(f"{base}/submissions", data=body) as answer:
                assert answer.status == 400
                assert "65536" in (await answer.json())["error"]
        assert seen == []
        async with session.post(f"{base}/submissions", data=b"x" * 65_536) as answer:
            assert answer.status == 200
        assert len(seen[0][2]) == 65_536

    asyncio.run(with_server(visit))


def test_a_bug_is_a_503_with_retry_after() -> None:
    async def visit(session: aiohttp.ClientSession, base: str, seen: list[Any]) -> None:
        async with session.get(f"{base}/broken") as answer:
            assert answer.status == 503
            assert answer.headers["Retry-After"] == "1"

    asyncio.run(with_server(visit))
