"""Tasks of one job that end far apart, across changes of leader and late writes.

Real leaders follow each other on one store. Each reads the records and receives heartbeats. A
completion that was reported to a leader and not committed must be reported to its successor again.
Guards against completions that are lost or counted twice, and tasks that run again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.builders import job_spec
from tests.support.leaders import S, fixed_clock, leader_of, put_job, put_machine
from tests.support.stand_ins import StandInState, StandInWorker
from weldhead.cluster_state.records import FINAL, decode_progress, final_key, job_key, progress_key
from weldhead.controller.leadership.leader import Leader

TASKS = 3
JOB, FOLLOWER = "run-000001", "run-000002"
WORKERS = ["vm-000001", "vm-000002"]
FATES = ["ok", "refused", "lost", "unanswered", "late"]

KINDS = ["report", "report", "complete", "complete", "save", "end", "change", "late"]
#: Events with the index of the worker concerned and the outcome of the write concerned.
EVENTS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 1), st.sampled_from(FATES)), max_size=30
)


class LeaderHistory:
    """Successive leaders, two workers, a job, and a second job that needs the first one."""

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.state = StandInState()
        put_job(self.state, job_spec(1, tasks=TASKS))
        put_job(self.state, job_spec(2, tasks=1, needs=(JOB,)))
        self.workers = {name: put_machine(self.state, name) for name in WORKERS}
        #: Names of the tasks that have completed on a worker.
        self.completed: set[str] = set()
        self.leader: Leader | None = None
        self.background_tasks: list[asyncio.Task[None]] = []

    async def replace_leader(self) -> None:
        """End the current leader's term and start the next leader."""
        await self.close()
        self.state.fates = []
        self.leader = leader_of(self.state, self.clock())
        # Commands go only into heartbeat answers, so none is in flight when a leader ends.
        self.leader._dispatcher.schedule = lambda machine: None  # type: ignore[method-assign]
        self.background_tasks = [asyncio.create_task(self.leader.state_writer.run())]
        await self.leader.recovery.load()
        self.leader._check_known()
        while self.leader.dependency_graph.unresolved:
            for name in list(self.leader.dependency_graph.unresolved):
                await self.leader.job_dependencies.resolve_dependency(name)

    async def close(self) -> None:
        if self.leader is not None:
            await self.leader.close()
        for background_task in self.background_tasks:
            background_task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)

    async def report(self, worker: StandInWorker) -> None:
        assert self.leader is not None
        self.clock.us += S
        before = set(worker.starts)
        answer = self.leader.handle_heartbeat(worker.report(), self.clock(), relayed=False)
        await self.run_ready_tasks()
        if answer is not None:
            worker.answered(answer)
        for task, _ in set(worker.starts) - before:
            assert task not in self.completed, f"{task} runs again"
            assert not task.startswith(FOLLOWER) or final_key(JOB) in self.state.keys
        if not self.leader.term.ready and self.leader.recovery.all_known.is_set():
            await self.leader.recovery.finish(lambda: None)
        self.leader.scheduling_loop.place()

    async def report_all(self) -> None:
        for worker in self.workers.values():
            await self.report(worker)
            await self.report(worker)

    def complete_task(self, worker: StandInWorker) -> None:
        for name in sorted(worker.live()):
            worker.tasks[name].state, worker.tasks[name].why = "ended", "done"
            self.completed.add(name)
            return

    def write(self, write: Callable[[Leader], Awaitable[None]], fate: str) -> None:
        assert self.leader is not None
        # A lost or delayed write fails the same way on each retry, until the next write or the
        # leader's end.
        self.state.fates = [fate] * (1 if fate == "unanswered" else 40)
        self.background_tasks.append(asyncio.create_task(self._run_write(write, self.leader)))

    async def _run_write(self, write: Callable[[Leader], Awaitable[None]], leader: Leader) -> None:
        await write(leader)

    @staticmethod
    async def save(leader: Leader) -> None:
        job = leader.cluster.jobs.get(JOB)
        if (
            job is not None
            and job.uncommitted_chunks
            and not job.has_ended
            and not job.saving
            and not job.finishing
        ):
            await leader.completions._save_progress(job)

    @staticmethod
    async def end(leader: Leader) -> None:
        for job in list(leader.cluster.jobs.values()):
            if job.has_ended and not job.finishing and not job.saving:
                await leader.completions._try_finish_job(job)

    async def run_ready_tasks(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    def check(self) -> None:
        """Check that recorded completions of tasks and jobs correspond to completed tasks."""
        keys = self.state.keys
        if progress_key(JOB, 0) in keys:
            found = decode_progress(keys[progress_key(JOB, 0)][0], TASKS)
            assert {f"{JOB}/{index}" for index in found} <= self.completed
        for key in keys:
            if key.startswith(FINAL):
                tasks = TASKS if key == final_key(JOB) else 1
                job_id = key.removeprefix(FINAL)
                assert {f"{job_id}/{index}" for index in range(tasks)} <= self.completed
                assert job_key(job_id) not in keys

    async def play(self, events: list[tuple[str, int, str]]) -> None:
        await self.replace_leader()
        for _ in range(2):
            await self.report_all()
        assert sum(len(worker.starts) for worker in self.workers.values()) == TASKS
        for event, worker_index, fate in events:
            worker = self.workers[WORKERS[worker_index]]
            match event:
                case "report":
                    # The first answer carries the leader's token, so the second report counts.
                    await self.report(worker)
                    await self.report(worker)
                case "complete":
                    self.complete_task(worker)
                case "save":
                    self.write(self.save, fate)
                case "end":
                    self.write(self.end, fate)
                case "late":
                    self.state.release_late()
                case "change":
                    await self.replace_leader()
            await self.run_ready_tasks()
            self.check()
        # After any events, all jobs end and each task has run once.
        self.state.fates = []
        for _ in range(12):
            await self.report_all()
            for worker in self.workers.values():
                self.complete_task(worker)
            self.write(self.save, "ok")
            self.write(self.end, "ok")
            await self.run_ready_tasks()
            self.check()
        self.state.release_late()
        self.check()
        keys = self.state.keys
        assert final_key(JOB) in keys and final_key(FOLLOWER) in keys
        assert progress_key(JOB, 0) not in keys
        assert all(not worker.tasks for worker in self.workers.values())
        starts = [task for worker in self.workers.values() for task, _ in worker.starts]
        assert sorted(starts) == sorted({*starts})
        await self.close()


def play(events: list[tuple[str, int, str]]) -> None:
    async def no_pause(_: float, result: Any = None) -> None:
        await original(0)

    original = asyncio.sleep
    with fixed_clock() as clock, pytest.MonkeyPatch.context() as patch:
        patch.setattr("weldhead.cluster_state.state_writer.asyncio.sleep", no_pause)
        asyncio.run(asyncio.wait_for(LeaderHistory(clock).play(events), 30))


@settings(max_examples=150)
@given(EVENTS)
def test_tasks_that_end_far_apart_count_once_across_leaders(
    events: list[tuple[str, int, str]],
) -> None:
    play(events)
