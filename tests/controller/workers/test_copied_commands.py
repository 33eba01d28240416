"""Copies of direct requests that were carried out and answered."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.support.builders import add_job, add_machine, cluster, job_spec, report
from tests.support.held_network import Network
from tests.support.leaders import fixed_clock
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import MAX_RETAINED_ATTEMPTS, Machine
from weldhead.controller.workers.heartbeat_reconciler import apply_heartbeat
from weldhead.controller.workers.pending_commands import pending_commands
from weldhead.protocol.wire import Command, ReportedTask
from weldhead.reconciliation.buffered_heartbeats import MessageSource
from weldhead.site.worker import Slot, Worker

SECOND_US = 1_000_000


def finish(network: Network, worker: Worker, slot: Slot) -> None:
    worker.handle_exit(slot.task, slot.attempt, 0)
    network.done.add(slot.task)


def fail(_network: Network, worker: Worker, slot: Slot) -> None:
    worker.handle_exit(slot.task, slot.attempt, 1)


def halt(_network: Network, worker: Worker, slot: Slot) -> None:
    slot.is_stopping = True
    worker.handle_exit(slot.task, slot.attempt, None)


def play(history: Callable[[Network], Awaitable[None]], hosts: int = 3) -> None:
    async def run() -> None:
        with fixed_clock() as clock:
            network = Network(clock, hosts)
            try:
                await history(network)
            finally:
                await network.close()

    asyncio.run(run())


async def repeat_requests(network: Network, count: int | None = None) -> None:
    """Copies of the first requests, or of all, arrive."""
    for number in range(len(network.wire.requests) if count is None else count):
        await network.request(number, "again")


async def start_directly(network: Network) -> None:
    await network.take_over()
    for _ in range(2):
        network.round(heard=True)
    await network.place(network.leader)
    for number in range(len(network.wire.requests)):
        await network.request(number, "arrive")
        await network.request(number, "answer")


async def settle_ends(network: Network) -> None:
    """Workers report the ends, which are committed, and hear the answers."""
    for _ in range(4):
        network.clock.us += SECOND_US
        network.round(heard=True)
        await network.save()
        await network.look()


@pytest.mark.parametrize("end", [finish, fail, halt])
def test_copied_start_does_not_run_an_ended_attempt_again(
    end: Callable[[Network, Worker, Slot], None],
) -> None:
    async def history(network: Network) -> None:
        await start_directly(network)
        assert network.starts
        for worker in network.hosts.values():
            for slot in list(worker.slots.values()):
                end(network, worker, slot)
        await settle_ends(network)
        started = list(network.starts)
        await repeat_requests(network)
        assert network.starts == started

    play(history)


def test_copied_start_of_a_refused_attempt_does_not_run_when_there_is_room() -> None:
    async def history(network: Network) -> None:
        for worker in network.hosts.values():
            worker.machine_info.cpus = 0.0
        await start_directly(network)
        await settle_ends(network)
        assert network.wire.requests and not network.starts
        for worker in network.hosts.values():
            worker.machine_info.cpus = 4.0
        await repeat_requests(network)
        assert not network.starts

    play(history)


def test_copied_start_reaches_a_moved_task_and_leaves_one_attempt_running() -> None:
    async def history(network: Network) -> None:
        await start_directly(network)
        for worker in network.hosts.values():
            for slot in list(worker.slots.values()):
                fail(network, worker, slot)
        await settle_ends(network)
        answered = len(network.wire.requests)
        network.clock.us += 2 * SECOND_US
        await network.place(network.leader)
        for number in range(answered, len(network.wire.requests)):
            await network.request(number, "arrive")
            await network.request(number, "answer")
        assert network.live()
        await repeat_requests(network, answered)
        network.check()

    play(history)


def pending(machine: Machine, sequence: int | None) -> list[Command]:
    return pending_commands(machine, lambda task: True, may_start=True, sequence=sequence)


def start_and_end(
    cluster_state: Cluster, machine: Machine, *, directly: bool, why: str = "error"
) -> tuple[str, int]:
    job = add_job(cluster_state, job_spec())
    attempt = cluster_state.start(job, 0, machine, 0)
    sequence = machine.newest_message[1] + 1
    assert [command.op for command in pending(machine, None if directly else sequence)] == ["run"]
    attempt.sent_directly = False
    ended = [ReportedTask(attempt.task, attempt.number, "ended", why)]
    heartbeat = report(machine, sequence + 1, ended)
    apply_heartbeat(cluster_state, machine, heartbeat, 0, MessageSource.HEARTBEAT)
    return attempt.task, attempt.number


def test_attempt_started_by_an_answer_is_forgotten() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    key = start_and_end(cluster_state, machine, directly=False)
    assert pending(machine, 9) == [Command("forget", *key)]


def test_completed_attempt_is_forgotten_though_it_was_started_directly() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    key = start_and_end(cluster_state, machine, directly=True, why="done")
    assert pending(machine, 9) == [Command("forget", *key)]


def test_new_session_lets_direct_starts_begin_anew() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    key = start_and_end(cluster_state, machine, directly=True)
    assert pending(machine, 9) == [] and machine.direct_runs == {key}
    new_session = report(machine, 1, [], session=2)
    apply_heartbeat(cluster_state, machine, new_session, 0, MessageSource.HEARTBEAT)
    assert not machine.direct_runs and not machine.unacknowledged


def test_stopping_all_tasks_of_a_machine_leaves_no_more_listed_than_the_bound() -> None:
    tasks = MAX_RETAINED_ATTEMPTS + 20
    cluster_state = cluster()
    machine = add_machine(cluster_state, cpus=float(tasks), memory_gb=float(tasks))
    job = add_job(cluster_state, job_spec(tasks=tasks, cpus=1.0, memory_gb=1.0))
    attempts = [cluster_state.start(job, index, machine, 0) for index in range(tasks)]
    direct = pending(machine, None)
    assert len(direct) == MAX_RETAINED_ATTEMPTS and pending(machine, None) == []
    # The others go out in the answer to the next heartbeat.
    assert len(pending(machine, 9)) == tasks - MAX_RETAINED_ATTEMPTS
    for attempt in attempts:
        attempt.sent_directly = False
    halted = [ReportedTask(attempt.task, attempt.number, "ended", "halted") for attempt in attempts]
    heartbeat = report(machine, 10, halted)
    apply_heartbeat(cluster_state, machine, heartbeat, 0, MessageSource.HEARTBEAT)
    forgets = [command for command in pending(machine, 10) if command.op == "forget"]
    assert len(forgets) == tasks - MAX_RETAINED_ATTEMPTS


def test_ended_attempt_of_this_term_stays_listed_on_a_machine_recorded_again() -> None:
    cluster_state = cluster()
    machine = add_machine(cluster_state)
    job = add_job(cluster_state, job_spec())
    number = cluster_state.next_attempt_number(job.id, 0)
    ended = [ReportedTask(f"{job.id}/0", number, "ended", "error")]
    heartbeat = report(machine, 5, ended)
    apply_heartbeat(cluster_state, machine, heartbeat, 0, MessageSource.HEARTBEAT)
    assert pending(machine, 5) == []


def test_attempt_that_runs_again_after_its_end_is_stopped() -> None:
    cluster_state = cluster()
    machine, other = add_machine(cluster_state), add_machine(cluster_state, "vm-000002")
    task, number = start_and_end(cluster_state, machine, directly=False)
    job = next(iter(cluster_state.jobs.values()))
    cluster_state.start(job, 0, other, 0)
    running = report(machine, 4, [ReportedTask(task, number, "running")])
    effect = apply_heartbeat(cluster_state, machine, running, 0, MessageSource.HEARTBEAT)
    assert [(listed.task, listed.attempt) for listed in effect.relisted] == [(task, number)]
    assert pending(machine, 4) == [Command("kill", task, number, 0.0)]
    cluster_state.check_invariants()


def test_attempt_listed_again_after_its_end_is_warned_of(caplog: pytest.LogCaptureFixture) -> None:
    async def history(network: Network) -> None:
        await start_directly(network)
        (worker,) = network.hosts.values()
        for slot in list(worker.slots.values()):
            fail(network, worker, slot)
        await settle_ends(network)
        # As if an older controller had made the worker forget the attempts.
        listed = len(worker.slots)
        worker.slots.clear()
        network.round(heard=True)
        await network.request(0, "again")
        network.clock.us += SECOND_US
        network.round(heard=True)
        assert listed == network.leader.term.reconciliation_counts.relisted_attempts > 0

    play(history, hosts=1)
    warnings = [record for record in caplog.records if "believed gone" in record.message]
    assert warnings and all(record.levelname == "WARNING" for record in warnings)
    assert "run-000001/0 attempt" in warnings[0].message
    assert "machine vm-000000 as running: message 1/" in warnings[0].message
