"""Request handlers with a stand-in for the state service, and the HTTP server on loopback."""

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


async def await_response(call: Awaitable[Response]) -> Response:
    return await call


def test_repeated_submission_and_poll_know_an_accepted_job() -> None:
    state = StandInState()
    assert run(desk(state).submit(GOOD_BODY)) == (201, {"uid": JOB, "status": "pending"})
    assert run(desk(state).submit(GOOD_BODY)) == (200, {"uid": JOB, "status": "pending"})
    assert run(desk(state).poll(JOB))[0] == 200
    # When the job is over, its record moves to another key. The job is still known.
    state.delete(job_key(JOB))
    state.put(final_key(JOB), FinalRecord("done", 16))
    assert run(desk(state).submit(GOOD_BODY)) == (
        200,
        {"uid": JOB, "status": "done", "done": 16, "running": 0},
    )
    assert run(desk(state).poll(JOB))[1]["status"] == "done"


@pytest.mark.parametrize("fate", ["refused", "lost", "late", "unanswered"])
def test_unanswered_store_write_makes_the_submission_a_503(fate: str) -> None:
    state = StandInState()
    state.fates = [fate]
    assert run(desk(state).submit(GOOD_BODY))[0] == 503
    state.release_late()
    assert run(desk(state).submit(GOOD_BODY))[0] in (200, 201)
    assert run(desk(state).poll(JOB))[0] == 200


def test_poll_of_a_job_that_is_not_stored_is_a_404() -> None:
    assert run(desk(StandInState()).poll("run-999999"))[0] == 404
    assert run(desk(StandInState()).poll("nonsense"))[0] == 404


def test_submission_without_machine_types_is_a_503() -> None:
    node = StandInNode()
    node.catalog = []
    assert run(desk(StandInState(), node).submit(GOOD_BODY))[0] == 503


def test_invalid_job_is_a_422_unless_accepted_before() -> None:
    state = StandInState()
    body = msgspec.json.encode(GOOD | {"owner": "nobody"})
    assert run(desk(state).submit(body)) == (422, {"error": "unknown team", "field": "owner"})
    run(desk(state).submit(GOOD_BODY))
    assert run(desk(state).submit(body))[0] == 200


def test_isolated_controller_closes_connections_with_a_503() -> None:
    state, node = StandInState(), StandInNode()
    handler = desk(state, node)
    assert run(handler.submit(GOOD_BODY))[0] == 201
    state.delete(job_key(JOB))
    state.put(final_key(JOB), FinalRecord("done", 16))
    assert run(handler.poll(JOB))[0] == 200
    node.isolated = True
    for call in (handler.submit(OTHER_BODY), handler.poll("run-000413"), handler.cancel(JOB)):
        answer = asyncio.run(await_response(call))
        assert (answer.status, answer.retry_after_s, answer.close) == (503, 1, True)
    # Final records never change, so an isolated controller still reports them.
    assert run(handler.poll(JOB))[1]["status"] == "done"
    assert run(handler.submit(GOOD_BODY))[0] == 200


def test_rate_limited_repeated_submission_asks_the_leader() -> None:
    """A follower refused repeated submissions for as long as others submitted many jobs."""
    node = StandInNode()
    handler = desk(StandInState(), node)
    handler.submissions.limiter.admit = lambda *_: 7  # type: ignore[method-assign]
    assert run(handler.submit(GOOD_BODY))[0] == 503
    node.others["known"] = Response(200, b"{}")
    assert run(handler.submit(GOOD_BODY))[0] == 200


def test_failing_status_from_memory_is_read_from_the_store() -> None:
    """A leader never answered the polls of a job whose status triggered a bug."""

    class Leader:
        def status(self, job_id: str) -> None:
            raise ValueError("a bug")

        def job_created(self, *_: Any) -> None:
            pass

    node = StandInNode()
    handler = desk(StandInState(), node)
    assert run(handler.submit(GOOD_BODY))[0] == 201
    node.leader = cast(Any, Leader())
    assert run(handler.poll(JOB))[0] == 200


def test_term_that_begins_during_a_submission_skips_the_job() -> None:
    """A new term must not add a job that was accepted before the term began.

    The job had been cancelled and ended by the previous leader before the submission's answer
    arrived. The new leader added the job as waiting, and its tasks ran.
    """
    state, node, created = StandInState(), StandInNode(), list[str]()
    transact = state.transact

    class Leader:
        def status(self, job_id: str) -> None:
            """Return None: the job is over and in no term's memory."""

        def job_created(self, record: Any, version: int) -> None:
            created.append(record.spec.id)

    async def answered_late(*args: Any, **options: Any) -> int:
        revision = await transact(*args, **options)
        state.delete(job_key(JOB))
        state.put(final_key(JOB), FinalRecord("withdrawn", 0))
        node.leader = cast(Any, Leader())
        return revision

    state.transact = answered_late  # type: ignore[method-assign]
    assert run(desk(state, node).submit(GOOD_BODY))[0] == 201
    assert created == []


def test_finished_dependencies_are_read_only_once() -> None:
    """Retries of a job with many dependencies succeed although reads fail in between."""
    state = StandInState()
    handler = desk(state)
    names = [f"run-{n:06}" for n in range(500, 540)]
    for name in names:
        state.put(final_key(name), FinalRecord("done", 1))
    body = msgspec.json.encode(GOOD | {"waits_on": names})
    read_keys: list[str] = []
    get = state.get

    async def failing_get(key: str, **options: Any) -> Any:
        read_keys.append(key)
        if len(read_keys) % 60 == 0:
            raise CallError("enough")
        return await get(key, **options)

    state.get = failing_get  # type: ignore[method-assign]
    answers = [run(handler.submit(body))[0] for _ in range(3)]
    assert answers[0] == 503 and 201 in answers
    assert len(read_keys) < 160


def test_cancellation_without_a_leader_is_a_503() -> None:
    assert run(desk(StandInState()).cancel(JOB))[0] == 503


async def with_server(
    exchange: Callable[[aiohttp.ClientSession, str, list[tuple[str, str, bytes]]], Awaitable[None]],
) -> None:
    received: list[tuple[str, str, bytes]] = []

    async def handle(method: str, path: str, body: bytes) -> Response:
        received.append((method, path, body))
        if path == "/broken":
            raise RuntimeError("a bug")
        return Response(200, b"{}")

    server = HttpServer(handle)
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    await server.start(address)
    try:
        async with aiohttp.ClientSession() as session:
            await exchange(session, f"http://{address}", received)
    finally:
        await server.close()


def test_body_over_the_size_limit_is_a_400_and_not_handled() -> None:
    async def chunks() -> Any:
        for _ in range(3):
            yield b"x" * 40_000

    async def exchange(session: aiohttp.ClientSession, base: str, received: list[Any]) -> None:
        for body in (b"x" * 65_537, chunks()):
            async with session.post(f"{base}/submissions", data=body) as answer:
                assert answer.status == 400
                assert "65536" in (await answer.json())["error"]
        assert received == []
        async with session.post(f"{base}/submissions", data=b"x" * 65_536) as answer:
            assert answer.status == 200
        assert len(received[0][2]) == 65_536

    asyncio.run(with_server(exchange))


def test_exception_in_a_handler_is_a_503_with_retry_after() -> None:
    async def exchange(session: aiohttp.ClientSession, base: str, received: list[Any]) -> None:
        async with session.get(f"{base}/broken") as answer:
            assert answer.status == 503
            assert answer.headers["Retry-After"] == "1"

    asyncio.run(with_server(exchange))
