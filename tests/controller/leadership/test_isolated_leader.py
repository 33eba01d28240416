"""A leader cut off from the state service and its peers while users and workers still reach it.

Such a leader must not contradict what another node has answered from the state service, and it
must stop commanding when its lease expires.
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

JOB, DEPENDENT_JOB = "run-000001", "run-000002"


class DisconnectableState(StandInState):
    """One controller's access to a state service that others share; it can be cut off."""

    def __init__(self, shared: StandInState) -> None:
        super().__init__()
        self.store = shared.store
        self.cut = False
        #: The outcomes of the next transactions; after "cut", this controller is cut off.
        self.answers: list[str] = []

    async def get(self, key: str, **options: Any) -> KeyValue | None:
        if self.cut:
            raise CallError("cut off")
        return await super().get(key, **options)

    async def transact(self, conditions: list[Any], writes: list[Any], **options: Any) -> int:
        if self.cut:
            raise CallError("cut off")
        revision = await super().transact(conditions, writes, **options)
        if self.answers and self.answers.pop(0) == "cut":
            # The transaction is executed, but its answer and all later calls are lost.
            self.cut = True
            raise CallError("the answer was lost")
        return revision


class Site:
    """A leader with its own access to the state service, and another node that reads the same data.

    ``leader_requests`` and ``other_requests`` handle the requests of users at the two nodes.
    """

    def __init__(self) -> None:
        self.state = StandInState()
        put_job(self.state, job_spec(1, tasks=2))
        put_job(self.state, job_spec(2, tasks=1, needs=(JOB,)))
        self.leader_state = DisconnectableState(self.state)
        self.leader = new_leader(self.leader_state, now_us())
        node = StandInNode()
        node.leader = self.leader
        self.leader_requests, self.other_requests = desk(self.leader_state, node), desk(self.state)

    async def poll(self, requests: RequestHandler, job_id: str) -> tuple[int, str]:
        """Poll a job's status; return the HTTP status and the job's state."""
        response = await requests.poll(job_id)
        body = msgspec.json.decode(response.body)
        return response.status, body.get("status", "")


async def run_until(is_done: Callable[[], bool]) -> None:
    """Run the other tasks until a condition holds."""
    for _ in range(500):
        if is_done():
            return
        await asyncio.sleep(0)
    raise AssertionError("the condition did not come to hold")


async def cancel(site: Site) -> None:
    job = site.leader.cluster.jobs[JOB]
    assert not await site.leader.completions.cancel(job, 1_000)


async def complete(site: Site) -> None:
    job = site.leader.cluster.jobs[JOB]
    for index in range(job.spec.tasks):
        job.complete_waiting(index)
    site.leader.term.background_tasks.spawn("end", site.leader.completions._try_finish_job(job))


@pytest.mark.parametrize(
    ("change_job", "committed_states"),
    [(cancel, {JOB: "withdrawn", DEPENDENT_JOB: "withdrawn"}), (complete, {JOB: "done"})],
)
def test_isolated_leader_does_not_deny_committed_states(
    change_job: Callable[[Site], Awaitable[None]], committed_states: dict[str, str]
) -> None:
    """The leader's write was executed but not answered, and the leader reported a withdrawn job as
    ``running``.
    """
    site = Site()

    async def scenario() -> None:
        background_task = asyncio.create_task(site.leader.state_writer.run())
        for job_id in (JOB, DEPENDENT_JOB):
            assert await site.poll(site.leader_requests, job_id) == (200, "pending")
        site.leader_state.answers = ["cut"]
        await change_job(site)
        await run_until(lambda: site.leader_state.cut)
        for job_id, state in committed_states.items():
            assert await site.poll(site.other_requests, job_id) == (200, state)
            assert (await site.poll(site.leader_requests, job_id))[0] == 503
        # Once the state service serves the leader again, it learns the outcome of its write.
        site.leader_state.cut = False
        for job_id, state in committed_states.items():
            assert await site.poll(site.leader_requests, job_id) == (200, state)
        await site.leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_answered_job_end_is_not_retracted_from_memory() -> None:
    """The leader's lease lapsed and was renewed. In between, the leader read the job's end from the
    state service, of which its memory knows nothing.
    """
    site = Site()
    site.state.delete(job_key(JOB))
    site.state.put(final_key(JOB), FinalRecord("done", 2))

    async def scenario() -> None:
        lease = site.leader.term._lease
        lease_patch = pytest.MonkeyPatch()
        lease_patch.setattr(lease, "is_valid", lambda at_us: False)
        assert await site.poll(site.leader_requests, JOB) == (200, "done")
        lease_patch.undo()
        assert site.leader.status(JOB) is not None
        assert await site.poll(site.leader_requests, JOB) == (200, "done")

    asyncio.run(scenario())


def test_unanswered_write_blocks_status_answers_only_for_a_time() -> None:
    """A job whose polls are rejected throughout an outage of minutes counts as forgotten."""
    site = Site()

    async def scenario() -> None:
        background_task = asyncio.create_task(site.leader.state_writer.run())
        site.leader_state.answers = ["cut"]
        await cancel(site)
        await run_until(lambda: site.leader_state.cut)
        assert (await site.poll(site.leader_requests, JOB))[0] == 503
        site.leader.state_writer.unanswered_since_us -= MAX_STATUS_WITHHOLD_US
        assert (await site.poll(site.leader_requests, JOB))[0] == 200
        await site.leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_rejected_write_does_not_block_status_answers() -> None:
    """In an outage the state service rejects each write, so its outcome is known, and the leader
    answers polls from its memory.
    """
    site = Site()

    async def scenario() -> None:
        background_task = asyncio.create_task(site.leader.state_writer.run())
        site.leader_state.fates = ["refused"] * 1_000
        await cancel(site)
        await run_until(lambda: len(site.leader_state.fates) < 1_000)
        assert await site.poll(site.leader_requests, JOB) == (200, "pending")
        await site.leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(scenario())


def test_leader_stops_commanding_when_its_lease_expires(monkeypatch: pytest.MonkeyPatch) -> None:
    """Workers and users still reach the leader, but it must not start or kill tasks, answer
    requests, or end jobs.
    """
    state = StandInState()
    put_job(state, job_spec(1, tasks=2))
    worker = put_machine(state, "vm-000001")
    leader = new_leader(state, now_us())
    sent: list[object] = []

    async def command(*args: object, **options: object) -> tuple[bool, object]:
        sent.append(args)
        raise CallError("no answer")

    monkeypatch.setattr("weldhead.transport.worker_commands.send_commands", command)
    for _ in range(2):
        assert report(leader, worker, now_us())

    async def scenario() -> None:
        await leader.recovery.finish(lambda: None)
        machine = leader.cluster.machines["vm-000001"]
        lease = leader.term._lease
        monkeypatch.setattr(lease, "is_valid", lambda at_us: False)
        leader.scheduling_loop.place()
        assert leader.cluster.jobs[JOB].active == {}
        assert leader.handle_heartbeat(worker.report(), now_us(), relayed=False) is None
        assert leader.status(JOB) is None
        # A start that was decided before the expiry is not sent after it.
        attempt = leader.cluster.start(leader.cluster.jobs[JOB], 0, machine, now_us())
        leader._dispatcher.schedule(machine)
        await run_until(lambda: not machine.command_in_flight)
        assert sent == [] and not attempt.sent_directly
        monkeypatch.setattr(lease, "is_valid", lambda at_us: True)
        leader._dispatcher.schedule(machine)
        await run_until(lambda: not machine.command_in_flight)
        assert len(sent) == 1
        # A replaced leader does not cancel jobs either.
        state.put(LEADER_KEY, {"name": "n-1", "nonce": "y", "ttl_us": 3_000_000})
        background_task = asyncio.create_task(leader.state_writer.run())
        revision_before = state.revision
        assert not await leader.completions.cancel(leader.cluster.jobs[JOB], 100_000)
        assert state.revision == revision_before
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)
        await leader.close()

    asyncio.run(scenario())
