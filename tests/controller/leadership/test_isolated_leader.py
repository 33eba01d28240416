"""A leader that is cut from the store and the others while users and workers reach it.

Whatever another node has told out of the store it must not deny, and whatever it commands
ends with its authority.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from tests.support.builders import job_spec
from tests.support.leaders import new_leader, put_job, put_machine, report
from tests.support.stand_ins import StandInState
from tests.support.users import StandInNode, desk
from weldhead.clock import now_us
from weldhead.cluster_state.records import LEADER_KEY, FinalRecord, final_key, job_key
from weldhead.controller.requests.job_dependencies import MAX_STATUS_WITHHOLD_US
from weldhead.controller.requests.request_handler import RequestHandler
from weldhead.protocol.wire import KeyValue
from weldhead.transport.http_client import CallError

JOB, FOLLOWER = "run-000001", "run-000002"


class CutState(StandInState):
    """One controller's way to a store that others share; it can be cut off."""

    def __init__(self, shared: StandInState) -> None:
        super().__init__()
        self.store = shared.store
        self.cut = False
        #: How the next transactions end that reach the store.
        self.answers: list[str] = []

    async def get(self, key: str, **more: Any) -> KeyValue | None:
        if self.cut:
            raise CallError("cut off")
        return await super().get(key, **more)

    async def transact(self, conditions: list[Any], writes: list[Any], **more: Any) -> int:
        if self.cut:
            raise CallError("cut off")
        revision = await super().transact(conditions, writes, **more)
        if self.answers and self.answers.pop(0) == "cut":
            # It is carried out, and from then on nothing gets through any more.
            self.cut = True
            raise CallError("the answer was lost")
        return revision


class Site:
    """A leader with a way to the store of its own, and a node that reads the same store."""

    def __init__(self) -> None:
        self.state = StandInState()
        put_job(self.state, job_spec(1, tasks=2))
        put_job(self.state, job_spec(2, tasks=1, needs=(JOB,)))
        self.way = CutState(self.state)
        self.leader = new_leader(self.way, now_us())
        node = StandInNode()
        node.leader = self.leader
        self.near, self.far = desk(self.way, node), desk(self.state)

    async def answered(self, front: RequestHandler, job_id: str) -> tuple[int, str]:
        response = await front.poll(job_id)
        body = msgspec.json.decode(response.body)
        return response.status, body.get("status", "")


async def until(done: Callable[[], bool]) -> None:
    """Let others run until something is so."""
    for _ in range(500):
        if done():
            return
        await asyncio.sleep(0)
    raise AssertionError("it never came about")


async def cancel(site: Site) -> None:
    job = site.leader.cluster.jobs[JOB]
    assert not await site.leader.completions.cancel(job, 1_000)


async def end(site: Site) -> None:
    job = site.leader.cluster.jobs[JOB]
    for index in range(job.spec.tasks):
        job.complete_waiting(index)
    site.leader.term.background_tasks.spawn("end", site.leader.completions._try_finish_job(job))


@pytest.mark.parametrize(
    ("act", "told"),
    [(cancel, {JOB: "withdrawn", FOLLOWER: "withdrawn"}), (end, {JOB: "done"})],
)
def test_what_another_node_reads_in_the_store_a_lone_leader_does_not_deny(
    act: Callable[[Site], Awaitable[None]], told: dict[str, str]
) -> None:
    """Its write was carried out and not answered: it said `running` of what was withdrawn."""
    site = Site()

    async def scenario() -> None:
        background_task = asyncio.create_task(site.leader.state_writer.run())
        for job_id in (JOB, FOLLOWER):
            assert await site.answered(site.near, job_id) == (200, "pending")
        site.way.answers = ["cut"]
        await act(site)
        await until(lambda: site.way.cut)
        for job_id, state in told.items():
            assert await site.answered(site.far, job_id) == (200, state)
            assert (await site.answered(site.near, job_id))[0] == 503
        # Served again, it finds out what became of it.
        site.way.cut = False
        for job_id, state in told.items():
            assert await site.answered(site.near, job_id) == (200, state)
        await site.leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_what_was_told_as_over_stays_so_whatever_the_memory_says() -> None:
    """Its authority lapsed and came back; in between it had read the job's end."""
    site = Site()
    site.state.delete(job_key(JOB))
    site.state.put(final_key(JOB), FinalRecord("done", 2))

    async def scenario() -> None:
        authority = site.leader.term._lease
        lapsed = pytest.MonkeyPatch()
        lapsed.setattr(authority, "valid", lambda at_us: False)
        assert await site.answered(site.near, JOB) == (200, "done")
        lapsed.undo()
        assert site.leader.status(JOB) is not None
        assert await site.answered(site.near, JOB) == (200, "done")

    asyncio.run(scenario())


def test_a_write_in_doubt_keeps_nobody_without_an_answer_for_good() -> None:
    """In an outage of minutes a job that is never answered about counts as forgotten."""
    site = Site()

    async def scenario() -> None:
        background_task = asyncio.create_task(site.leader.state_writer.run())
        site.way.answers = ["cut"]
        await cancel(site)
        await until(lambda: site.way.cut)
        assert (await site.answered(site.near, JOB))[0] == 503
        site.leader.state_writer.unanswered_since_us -= MAX_STATUS_WITHHOLD_US
        assert (await site.answered(site.near, JOB))[0] == 200
        await site.leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_what_was_surely_not_carried_out_is_not_in_doubt() -> None:
    """In an outage the store says so of each write: all are answered out of the memory."""
    site = Site()

    async def scenario() -> None:
        background_task = asyncio.create_task(site.leader.state_writer.run())
        site.way.fates = ["refused"] * 1_000
        await cancel(site)
        await until(lambda: len(site.way.fates) < 1_000)
        assert await site.answered(site.near, JOB) == (200, "pending")
        await site.leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_what_a_leader_commands_ends_with_its_authority(monkeypatch: pytest.MonkeyPatch) -> None:
    """Workers and users still reach it: it starts, kills, answers and ends nothing any more."""
    state = StandInState()
    put_job(state, job_spec(1, tasks=2))
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, now_us())
    sent: list[object] = []

    async def command(*args: object, **more: object) -> tuple[bool, object]:
        sent.append(args)
        raise CallError("no answer")

    monkeypatch.setattr("weldhead.transport.worker_commands.command", command)
    for _ in range(2):
        assert report(leader, worker, now_us())

    async def scenario() -> None:
        await leader.recovery.finish(lambda: None)
        machine = leader.cluster.machines["vm-000001"]
        authority = leader.term._lease
        monkeypatch.setattr(authority, "valid", lambda at_us: False)
        leader.scheduling_loop.place()
        assert leader.cluster.jobs[JOB].active == {}
        assert leader.handle_heartbeat(worker.report(), now_us(), relayed=False) is None
        assert leader.status(JOB) is None
        # Decided before, and its turn comes only now.
        attempt = leader.cluster.start(leader.cluster.jobs[JOB], 0, machine, now_us())
        leader._dispatcher.schedule(machine)
        await until(lambda: not machine.command_in_flight)
        assert sent == [] and not attempt.sent_directly
        monkeypatch.setattr(authority, "valid", lambda at_us: True)
        leader._dispatcher.schedule(machine)
        await until(lambda: not machine.command_in_flight)
        assert len(sent) == 1
        # Replaced, it ends and cancels nothing either.
        state.put(LEADER_KEY, {"name": "n-1", "nonce": "y", "ttl_us": 3_000_000})
        background_task = asyncio.create_task(leader.state_writer.run())
        before = state.revision
        assert not await leader.completions.cancel(leader.cluster.jobs[JOB], 100_000)
        assert state.revision == before
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)
        await leader.close()

    asyncio.run(scenario())
