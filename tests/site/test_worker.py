"""Tests of the site's worker: its state machine, and its guard with real processes."""

import json
import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import IO, Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from weldhead.clock import SECOND_US
from weldhead.protocol.wire import Command
from weldhead.site import guard
from weldhead.site.worker import (
    MAX_TERMINATION_GRACE_US,
    PROGRESS_SAVED_EXIT_CODE,
    Action,
    FetchDescription,
    JobDescription,
    KillAllTasks,
    MachineInfo,
    SendSignal,
    SlotPhase,
    StartTask,
    StoreSession,
    Worker,
)

LEASE_US = 10 * SECOND_US
TASKS = ["run-1/0", "run-1/1", "run-2/0"]
DESCRIPTIONS = {
    "run-1": JobDescription(("true",), 2, cpus=2.0, memory_gb=1.0),
    "run-2": JobDescription(("true",), 1, cpus=1.0, memory_gb=1.0, checkpoint_s=5.0, save_s=2.0),
}


def make_worker(**changes: Any) -> Worker:
    machine_info = MachineInfo("vm-1", "127.0.0.1:1", "one", "a", False, 3.0, 0.0, 8.0)
    return Worker(machine_info, LEASE_US, SECOND_US, **changes)


class WorkerMachine(RuleBasedStateMachine):
    """A worker in random sequences of events, with a list in place of running commands.

    Guards against attempts that run twice or beyond the machine's CPUs, attempts that run
    without a slot, sessions and tokens that go back, and leases that a refused answer renews.
    """

    @initialize()
    def begin(self) -> None:
        self.now = SECOND_US
        self.worker = make_worker()
        self.running: dict[tuple[str, int], JobDescription] = {}
        self.fetching: list[tuple[str, int]] = []
        self.stored = (1, 0)
        self.reports: list[tuple[int, int]] = []
        self.dead_from = self.now + LEASE_US

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case FetchDescription(task, attempt):
                    self.fetching.append((task, attempt))
                case StartTask(task, attempt, description):
                    assert (task, attempt) not in self.running
                    self.running[(task, attempt)] = description
                case SendSignal(task, attempt, force):
                    if force and (task, attempt) in self.running:
                        del self.running[(task, attempt)]
                        self.worker.handle_exit(task, attempt, None)
                case KillAllTasks():
                    self.running.clear()
                case StoreSession(session, token):
                    assert (session, token) > self.stored
                    assert token >= self.stored[1]
                    self.stored = (session, token)

    @rule(
        token=st.integers(0, 5),
        op=st.sampled_from(["run", "kill", "forget"]),
        task=st.sampled_from(TASKS),
        attempt=st.integers(1, 3),
        grace=st.sampled_from([0.0, 0.5, 10.0]),
        old_session=st.booleans(),
    )
    def direct(
        self, token: int, op: Any, task: str, attempt: int, grace: float, old_session: bool
    ) -> None:
        known_token = self.worker.token
        self._do(self.worker.check_lease(self.now))
        session = self.worker.session - old_session
        slots_before = dict(self.worker.slots)
        accepted, actions = self.worker.handle_commands(
            session, token, [Command(op, task, attempt, grace)], self.now
        )
        assert accepted == (token >= known_token and not old_session)
        if not accepted:
            assert self.worker.slots == slots_before
        self._do(actions)

    @rule(late=st.booleans(), token=st.one_of(st.none(), st.integers(0, 5)))
    def report(self, late: bool, token: int | None) -> None:
        self._do(self.worker.check_lease(self.now))
        sent, session = self.now, self.worker.session
        report = self.worker.build_report(self.now)
        order = (report.session, report.sequence)
        assert not self.reports or order > self.reports[-1]
        self.reports.append(order)
        if late:
            self.now += 4 * SECOND_US
        is_accepted = token is not None and token >= self.worker.token
        lease_end_us = self.worker.lease_end_us
        self._do(self.worker.handle_answer(session, sent, token, [], self.now))
        if not is_accepted:
            assert self.worker.lease_end_us == lease_end_us or self.worker.session > session

    @rule(done=st.booleans(), known=st.booleans())
    def description_comes(self, done: bool, known: bool) -> None:
        if self.fetching:
            task, attempt = self.fetching.pop(0)
            description = DESCRIPTIONS[task.partition("/")[0]] if known else None
            self._do(self.worker.handle_description(task, attempt, description, done))

    @rule(pick=st.integers(0, 5), code=st.sampled_from([0, 1, PROGRESS_SAVED_EXIT_CODE, None]))
    def command_ends(self, pick: int, code: int | None) -> None:
        self._do(self.worker.check_lease(self.now))
        if self.running:
            task, attempt = sorted(self.running)[pick % len(self.running)]
            del self.running[(task, attempt)]
            self.worker.handle_exit(task, attempt, code)
            slot = self.worker.slots[(task, attempt)]
            assert slot.phase is SlotPhase.ENDED
            assert (slot.end_reason == "done") == (code == 0)

    @rule(step=st.sampled_from([100_000, SECOND_US, 3 * SECOND_US, 12 * SECOND_US]))
    def time_passes(self, step: int) -> None:
        self.now += step
        self._do(self.worker.collect_due_actions(self.now))

    @invariant()
    def the_books_are_right(self) -> None:
        if not hasattr(self, "worker"):
            return
        slots = self.worker.slots
        running = [
            slot for slot in slots.values() if slot.phase in (SlotPhase.RUNNING, SlotPhase.SAVING)
        ]
        assert {(slot.task, slot.attempt) for slot in running} == set(self.running)
        assert sum(description.cpus for description in self.running.values()) <= 3.0
        unended_tasks = [slot.task for slot in slots.values() if slot.phase is not SlotPhase.ENDED]
        assert len(unended_tasks) == len(set(unended_tasks))
        assert self.worker.session == self.stored[0]


WorkerMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=40)
TestWorker = WorkerMachine.TestCase


def make_running_worker(task: str = "run-2/0") -> Worker:
    worker = make_worker(token=4)
    worker.handle_commands(1, 4, [Command("run", task, 1)], worker.now_us)
    worker.handle_description(task, 1, DESCRIPTIONS[task.partition("/")[0]], False)
    return worker


def test_saving_task_gets_its_grace_and_reports_if_it_saved() -> None:
    for code, saved in ((PROGRESS_SAVED_EXIT_CODE, True), (3, False), (None, False)):
        worker = make_running_worker()
        _, actions = worker.handle_commands(
            1, 4, [Command("kill", "run-2/0", 1, 5.0)], 2 * SECOND_US
        )
        assert actions == [SendSignal("run-2/0", 1, force=False)]
        assert worker.build_report(0).tasks[0].state == "saving"
        # A repeated kill changes nothing; after the grace time SIGKILL is due.
        assert (
            worker.handle_commands(1, 4, [Command("kill", "run-2/0", 1, 5.0)], 3 * SECOND_US)[1]
            == []
        )
        assert worker.collect_due_actions(7 * SECOND_US) == [SendSignal("run-2/0", 1, force=True)]
        worker.handle_exit("run-2/0", 1, code)
        reported = worker.build_report(0).tasks[0]
        assert (reported.state, reported.why, reported.saved) == ("ended", "halted", saved)


def test_second_kill_without_grace_kills_a_saving_task() -> None:
    worker = make_running_worker()
    worker.handle_commands(1, 4, [Command("kill", "run-2/0", 1, 5.0)], 2 * SECOND_US)
    _, actions = worker.handle_commands(1, 4, [Command("kill", "run-2/0", 1, 0.0)], 3 * SECOND_US)
    assert actions == [SendSignal("run-2/0", 1, force=True)]


def test_nonsaving_task_gets_short_grace_and_may_still_finish() -> None:
    worker = make_running_worker("run-1/0")
    _, actions = worker.handle_commands(1, 4, [Command("kill", "run-1/0", 1, 30.0)], 2 * SECOND_US)
    assert actions == [SendSignal("run-1/0", 1, force=False)]
    assert worker.build_report(0).tasks[0].state == "running"
    assert worker.collect_due_actions(2 * SECOND_US + MAX_TERMINATION_GRACE_US) == [
        SendSignal("run-1/0", 1, force=True)
    ]
    worker.handle_exit("run-1/0", 1, 0)
    assert worker.build_report(0).tasks[0].why == "done"


def test_refused_attempts_are_reported_until_forgotten() -> None:
    worker = make_running_worker("run-1/0")
    worker.handle_commands(
        1, 4, [Command("run", "run-1/0", 2), Command("run", "run-1/1", 1)], SECOND_US
    )
    worker.handle_description("run-1/1", 1, DESCRIPTIONS["run-1"], False)
    worker.handle_commands(
        1, 4, [Command("run", "run-1/7", 1), Command("run", "run-9/0", 1)], SECOND_US
    )
    worker.handle_description("run-1/7", 1, DESCRIPTIONS["run-1"], False)
    worker.handle_description("run-9/0", 1, None, False)
    end_reasons = {
        (reported.task, reported.attempt): reported.why for reported in worker.build_report(0).tasks
    }
    assert end_reasons == {
        ("run-1/0", 1): None,
        ("run-1/0", 2): "busy",
        ("run-1/1", 1): "no_room",
        ("run-1/7", 1): "unknown",
        ("run-9/0", 1): "unknown",
    }
    worker.handle_commands(
        1, 4, [Command("run", "run-1/0", 2), Command("forget", "run-1/0", 2)], SECOND_US
    )
    assert ("run-1/0", 2) not in worker.slots
    # The worker handles a command for a forgotten attempt as new, so it refuses this one again.
    worker.handle_commands(1, 4, [Command("run", "run-1/0", 2)], SECOND_US)
    assert worker.slots[("run-1/0", 2)].end_reason == "busy"


def test_task_with_a_stored_result_is_done_without_a_run() -> None:
    worker = make_worker()
    worker.handle_commands(1, 1, [Command("run", "run-1/0", 5)], SECOND_US)
    assert worker.handle_description("run-1/0", 5, DESCRIPTIONS["run-1"], True) == []
    assert worker.build_report(0).tasks[0].why == "done"


def test_lease_starts_when_the_answered_report_was_sent() -> None:
    worker = make_worker()
    sent = 5 * SECOND_US
    worker.handle_answer(1, sent, 1, [], 8 * SECOND_US)
    assert worker.check_lease(sent + LEASE_US) == []
    assert worker.check_lease(sent + LEASE_US + 1) == [KillAllTasks(), StoreSession(2, 1)]


# The guard, with real processes


class GuardProcess:
    """A guard's process, with the pipes that a worker would have to it."""

    def __init__(self, directory: Path, mark: str) -> None:
        self.directory, self.mark = directory, mark
        self.received = b""
        self.process = subprocess.Popen(
            [sys.executable, "-S", "-E", guard.__file__, mark],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def send(self, *message: object) -> None:
        pipe: IO[str] | None = self.process.stdin
        assert pipe is not None
        pipe.write(json.dumps(message) + "\n")
        pipe.flush()

    def run(self, key: str, *argv: str) -> None:
        attempt_directory = self.directory / key
        attempt_directory.mkdir()
        self.send(
            "run",
            key,
            list(argv),
            {"PATH": os.environ["PATH"]},
            str(attempt_directory),
            str(attempt_directory / "output"),
            str(attempt_directory / "exit"),
            str(self.directory / f"{key}.result"),
        )

    def receive(self) -> list[Any]:
        assert self.process.stdout is not None
        while b"\n" not in self.received:
            ready, _, _ = select.select([self.process.stdout], [], [], 10.0)
            assert ready, "the guard sent no message within 10 s"
            self.received += os.read(self.process.stdout.fileno(), 4096)
        line, _, self.received = self.received.partition(b"\n")
        message: list[Any] = json.loads(line)
        return message


def wait_for(condition: Any, timeout_s: float = 10.0) -> None:
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"condition not met within {timeout_s} s"
        time.sleep(0.01)


#: Shell script that starts two processes, one of them in a session of its own.
PROCESS_TREE_SCRIPT = "sleep 300 & setsid sleep 300 & echo up; wait"


@pytest.fixture
def guard_process(tmp_path: Path) -> Any:
    process = GuardProcess(tmp_path, f"test/{os.getpid()}/{tmp_path.name}")
    yield process
    process.process.kill()
    process.process.wait()
    assert guard.kill_marked_processes(process.mark)


def wait_for_processes(guard_process: GuardProcess, count: int) -> None:
    wait_for(lambda: len(guard.find_marked_processes(guard_process.mark)) >= count)


def test_exits_are_recorded_before_they_are_reported(
    guard_process: GuardProcess,
) -> None:
    guard_process.run("good", "sh", "-c", "echo out; echo err >&2")
    assert guard_process.receive()[:2] == ["started", "good"]
    assert guard_process.receive() == ["exited", "good", 0]
    assert (guard_process.directory / "good/output").read_text() == "out\nerr\n"
    assert json.loads((guard_process.directory / "good.result").read_text())["code"] == 0
    guard_process.run("bad", "sh", "-c", "exit 3")
    assert guard_process.receive()[:2] == ["started", "bad"]
    assert guard_process.receive() == ["exited", "bad", 3]
    assert not (guard_process.directory / "bad.result").exists()
    guard_process.run("none", "/no/such/program")
    assert guard_process.receive() == ["exited", "none", None]
    assert (
        "cannot start" in json.loads((guard_process.directory / "none/exit").read_text())["reason"]
    )


def test_signal_reaches_group_and_no_process_outlives_command(
    guard_process: GuardProcess,
) -> None:
    guard_process.run("tree", "sh", "-c", "sleep 300 & exec sleep 300")
    wait_for_processes(guard_process, 2)
    guard_process.send("signal", "tree", int(signal.SIGTERM))
    assert [guard_process.receive(), guard_process.receive()][1] == ["exited", "tree", None]
    wait_for(lambda: not guard.find_marked_processes(guard_process.mark))
    guard_process.run("leaves", "sh", "-c", "sleep 300 & exit 0")
    assert [guard_process.receive(), guard_process.receive()][1] == ["exited", "leaves", 0]
    wait_for(lambda: not guard.find_marked_processes(guard_process.mark))


@pytest.mark.parametrize("end", ["worker", "lease", "killall"])
def test_guard_kills_all_at_worker_exit_lease_end_or_killall(
    guard_process: GuardProcess, end: str
) -> None:
    guard_process.run("tree", "sh", "-c", PROCESS_TREE_SCRIPT)
    wait_for_processes(guard_process, 3)
    if end == "worker":
        # However the worker exits, the kernel closes the worker's end of the pipe.
        assert guard_process.process.stdin is not None
        guard_process.process.stdin.close()
        guard_process.process.wait(timeout=10)
    elif end == "lease":
        # A worker that hangs sends no further message.
        guard_process.send("lease", time.monotonic_ns() // 1000 + 300_000)
    else:
        guard_process.send("killall")
        assert [guard_process.receive()[0] for _ in range(3)] == ["started", "exited", "killed"]
        assert guard.find_marked_processes(guard_process.mark) == []
    wait_for(lambda: not guard.find_marked_processes(guard_process.mark))


def test_processes_of_a_killed_guard_are_found_and_killed(
    guard_process: GuardProcess,
) -> None:
    guard_process.run("tree", "sh", "-c", PROCESS_TREE_SCRIPT)
    wait_for_processes(guard_process, 3)
    guard_process.process.kill()
    guard_process.process.wait()
    assert guard.kill_marked_processes(guard_process.mark)
    assert guard.find_marked_processes(guard_process.mark) == []


def test_exited_command_of_a_killed_guard_is_inherited(
    tmp_path: Path,
) -> None:
    """Guards against a second run of a complete task.

    The guard is killed after the task's command exits and before the guard records the exit.
    """
    program = f"""
import os, signal, sys, time
sys.path.insert(0, {str(Path(guard.__file__).parent)!r})
import guard
guard.become_reaper()
parent = os.fork()
if parent == 0:
    # The guard, killed between the command's exit and the record of the exit.
    if os.fork() == 0:
        os._exit(0)
    time.sleep(0.3)
    os.kill(os.getpid(), signal.SIGKILL)
os.waitpid(parent, 0)
pid, status = os.waitpid(-1, 0)
code = os.waitstatus_to_exitcode(status)
print(guard.record_exit(code, {str(tmp_path / "exit")!r}, {str(tmp_path / "result")!r}, None))
"""
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=20, check=True
    )
    assert completed.stdout == "0\n"
    assert json.loads((tmp_path / "result").read_text())["code"] == 0
