"""The site's worker: a state machine of sessions, tokens and attempts, and its real guard."""

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
    POLITE_US,
    SAVED_CODE,
    Action,
    Fetch,
    KillAll,
    Place,
    Remember,
    Signal,
    SlotPhase,
    StartSlot,
    Work,
    Worker,
)

LEASE_US = 10 * SECOND_US
TASKS = ["run-1/0", "run-1/1", "run-2/0"]
WORKS = {
    "run-1": Work(("true",), 2, cpus=2.0, memory_gb=1.0),
    "run-2": Work(("true",), 1, cpus=1.0, memory_gb=1.0, checkpoint_s=5.0, save_s=2.0),
}


def worker(**changes: Any) -> Worker:
    place = Place("vm-1", "127.0.0.1:1", "one", "a", False, 3.0, 0.0, 8.0)
    return Worker(place, LEASE_US, SECOND_US, **changes)


class WorkerMachine(RuleBasedStateMachine):
    """A worker whose actions are carried out by a list of what would run."""

    @initialize()
    def begin(self) -> None:
        self.now = SECOND_US
        self.worker = worker()
        self.running: dict[tuple[str, int], Work] = {}
        self.fetching: list[tuple[str, int]] = []
        self.remembered = (1, 0)
        self.reports: list[tuple[int, int]] = []
        self.dead_from = self.now + LEASE_US

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Fetch(task, attempt):
                    self.fetching.append((task, attempt))
                case StartSlot(task, attempt, work):
                    assert (task, attempt) not in self.running
                    self.running[(task, attempt)] = work
                case Signal(task, attempt, hard):
                    if hard and (task, attempt) in self.running:
                        del self.running[(task, attempt)]
                        self.worker.exited(task, attempt, None)
                case KillAll():
                    self.running.clear()
                case Remember(session, token):
                    assert (session, token) > self.remembered
                    assert token >= self.remembered[1]
                    self.remembered = (session, token)

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
        seen = self.worker.token
        self._do(self.worker.check_lease(self.now))
        session = self.worker.session - old_session
        before = dict(self.worker.slots)
        accepted, actions = self.worker.direct(
            session, token, [Command(op, task, attempt, grace)], self.now
        )
        assert accepted == (token >= seen and not old_session)
        if not accepted:
            assert self.worker.slots == before
        self._do(actions)

    @rule(late=st.booleans(), token=st.one_of(st.none(), st.integers(0, 5)))
    def report(self, late: bool, token: int | None) -> None:
        self._do(self.worker.check_lease(self.now))
        sent, session = self.now, self.worker.session
        report = self.worker.report(self.now)
        order = (report.session, report.sequence)
        assert not self.reports or order > self.reports[-1]
        self.reports.append(order)
        if late:
            self.now += 4 * SECOND_US
        good = token is not None and token >= self.worker.token
        ends = self.worker.lease_ends_us
        self._do(self.worker.answered(session, sent, token, [], self.now))
        if not good:
            assert self.worker.lease_ends_us == ends or self.worker.session > session

    @rule(done=st.booleans(), known=st.booleans())
    def description_comes(self, done: bool, known: bool) -> None:
        if self.fetching:
            task, attempt = self.fetching.pop(0)
            work = WORKS[task.partition("/")[0]] if known else None
            self._do(self.worker.fetched(task, attempt, work, done))

    @rule(pick=st.integers(0, 5), code=st.sampled_from([0, 1, SAVED_CODE, None]))
    def command_ends(self, pick: int, code: int | None) -> None:
        self._do(self.worker.check_lease(self.now))
        if self.running:
            task, attempt = sorted(self.running)[pick % len(self.running)]
            del self.running[(task, attempt)]
            self.worker.exited(task, attempt, code)
            slot = self.worker.slots[(task, attempt)]
            assert slot.phase is SlotPhase.ENDED
            assert (slot.why == "done") == (code == 0)

    @rule(step=st.sampled_from([100_000, SECOND_US, 3 * SECOND_US, 12 * SECOND_US]))
    def time_passes(self, step: int) -> None:
        self.now += step
        self._do(self.worker.due(self.now))

    @invariant()
    def the_books_are_right(self) -> None:
        if not hasattr(self, "worker"):
            return
        slots = self.worker.slots
        live = [
            slot for slot in slots.values() if slot.phase in (SlotPhase.RUNNING, SlotPhase.SAVING)
        ]
        assert {(slot.task, slot.attempt) for slot in live} == set(self.running)
        assert sum(work.cpus for work in self.running.values()) <= 3.0
        unended = [slot.task for slot in slots.values() if slot.phase is not SlotPhase.ENDED]
        assert len(unended) == len(set(unended))
        assert self.worker.session == self.remembered[0]


WorkerMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=40)
TestWorker = WorkerMachine.TestCase


def started(task: str = "run-2/0") -> Worker:
    made = worker(token=4)
    made.direct(1, 4, [Command("run", task, 1)], made.now_us)
    made.fetched(task, 1, WORKS[task.partition("/")[0]], False)
    return made


def test_a_task_that_saves_gets_its_grace_and_says_whether_it_saved() -> None:
    for code, saved in ((SAVED_CODE, True), (3, False), (None, False)):
        made = started()
        _, actions = made.direct(1, 4, [Command("kill", "run-2/0", 1, 5.0)], 2 * SECOND_US)
        assert actions == [Signal("run-2/0", 1, hard=False)]
        assert made.report(0).tasks[0].state == "saving"
        # Repeated, nothing changes; after the grace it is ended.
        assert made.direct(1, 4, [Command("kill", "run-2/0", 1, 5.0)], 3 * SECOND_US)[1] == []
        assert made.due(7 * SECOND_US) == [Signal("run-2/0", 1, hard=True)]
        made.exited("run-2/0", 1, code)
        told = made.report(0).tasks[0]
        assert (told.state, told.why, told.saved) == ("ended", "halted", saved)


def test_a_second_kill_without_grace_ends_a_task_that_saves() -> None:
    made = started()
    made.direct(1, 4, [Command("kill", "run-2/0", 1, 5.0)], 2 * SECOND_US)
    _, actions = made.direct(1, 4, [Command("kill", "run-2/0", 1, 0.0)], 3 * SECOND_US)
    assert actions == [Signal("run-2/0", 1, hard=True)]


def test_a_task_that_cannot_save_is_gone_soon_and_one_that_finishes_is_done() -> None:
    made = started("run-1/0")
    _, actions = made.direct(1, 4, [Command("kill", "run-1/0", 1, 30.0)], 2 * SECOND_US)
    assert actions == [Signal("run-1/0", 1, hard=False)]
    assert made.report(0).tasks[0].state == "running"
    assert made.due(2 * SECOND_US + POLITE_US) == [Signal("run-1/0", 1, hard=True)]
    made.exited("run-1/0", 1, 0)
    assert made.report(0).tasks[0].why == "done"


def test_refused_starts_stay_known_until_they_are_forgotten() -> None:
    made = started("run-1/0")
    made.direct(1, 4, [Command("run", "run-1/0", 2), Command("run", "run-1/1", 1)], SECOND_US)
    made.fetched("run-1/1", 1, WORKS["run-1"], False)
    made.direct(1, 4, [Command("run", "run-1/7", 1), Command("run", "run-9/0", 1)], SECOND_US)
    made.fetched("run-1/7", 1, WORKS["run-1"], False)
    made.fetched("run-9/0", 1, None, False)
    whys = {(one.task, one.attempt): one.why for one in made.report(0).tasks}
    assert whys == {
        ("run-1/0", 1): None,
        ("run-1/0", 2): "busy",
        ("run-1/1", 1): "no_room",
        ("run-1/7", 1): "unknown",
        ("run-9/0", 1): "unknown",
    }
    made.direct(1, 4, [Command("run", "run-1/0", 2), Command("forget", "run-1/0", 2)], SECOND_US)
    assert ("run-1/0", 2) not in made.slots
    # Forgotten is unknown: the same command would begin anew, and is refused anew here.
    made.direct(1, 4, [Command("run", "run-1/0", 2)], SECOND_US)
    assert made.slots[("run-1/0", 2)].why == "busy"


def test_a_kept_result_is_done_at_once() -> None:
    made = worker()
    made.direct(1, 1, [Command("run", "run-1/0", 5)], SECOND_US)
    assert made.fetched("run-1/0", 5, WORKS["run-1"], True) == []
    assert made.report(0).tasks[0].why == "done"


def test_a_lease_counts_from_sending() -> None:
    made = worker()
    sent = 5 * SECOND_US
    made.answered(1, sent, 1, [], 8 * SECOND_US)
    assert made.check_lease(sent + LEASE_US) == []
    assert made.check_lease(sent + LEASE_US + 1) == [KillAll(), Remember(2, 1)]


# The guard, with real processes


class RealGuard:
    """A guard as its worker would have it."""

    def __init__(self, folder: Path, mark: str) -> None:
        self.folder, self.mark = folder, mark
        self.heard = b""
        self.process = subprocess.Popen(
            [sys.executable, "-S", "-E", guard.__file__, mark],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def say(self, *message: object) -> None:
        pipe: IO[str] | None = self.process.stdin
        assert pipe is not None
        pipe.write(json.dumps(message) + "\n")
        pipe.flush()

    def run(self, key: str, *argv: str) -> None:
        place = self.folder / key
        place.mkdir()
        self.say(
            "run",
            key,
            list(argv),
            {"PATH": os.environ["PATH"]},
            str(place),
            str(place / "output"),
            str(place / "exit"),
            str(self.folder / f"{key}.result"),
        )

    def hear(self) -> list[Any]:
        assert self.process.stdout is not None
        while b"\n" not in self.heard:
            ready, _, _ = select.select([self.process.stdout], [], [], 10.0)
            assert ready, "the guard says nothing"
            self.heard += os.read(self.process.stdout.fileno(), 4096)
        line, _, self.heard = self.heard.partition(b"\n")
        message: list[Any] = json.loads(line)
        return message


def wait_for(condition: Any, limit_s: float = 10.0) -> None:
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "not in time"
        time.sleep(0.01)


#: Children and grandchildren, one of them in a session of its own.
TREE = "sleep 300 & setsid sleep 300 & echo up; wait"


@pytest.fixture
def real(tmp_path: Path) -> Any:
    made = RealGuard(tmp_path, f"test/{os.getpid()}/{tmp_path.name}")
    yield made
    made.process.kill()
    made.process.wait()
    assert guard.sweep(made.mark)


def up(real: RealGuard, count: int) -> None:
    wait_for(lambda: len(guard.marked(real.mark)) >= count)


def test_exit_codes_and_results_are_recorded_before_they_are_told(real: RealGuard) -> None:
    real.run("good", "sh", "-c", "echo out; echo err >&2")
    assert real.hear()[:2] == ["started", "good"]
    assert real.hear() == ["exited", "good", 0]
    assert (real.folder / "good/output").read_text() == "out\nerr\n"
    assert json.loads((real.folder / "good.result").read_text())["code"] == 0
    real.run("bad", "sh", "-c", "exit 3")
    assert real.hear()[:2] == ["started", "bad"]
    assert real.hear() == ["exited", "bad", 3]
    assert not (real.folder / "bad.result").exists()
    real.run("none", "/no/such/program")
    assert real.hear() == ["exited", "none", None]
    assert "cannot start" in json.loads((real.folder / "none/exit").read_text())["reason"]


def test_a_signal_reaches_the_whole_group_and_nothing_outlives_its_command(
    real: RealGuard,
) -> None:
    real.run("tree", "sh", "-c", "sleep 300 & exec sleep 300")
    up(real, 2)
    real.say("signal", "tree", int(signal.SIGTERM))
    assert [real.hear(), real.hear()][1] == ["exited", "tree", None]
    wait_for(lambda: not guard.marked(real.mark))
    real.run("leaves", "sh", "-c", "sleep 300 & exit 0")
    assert [real.hear(), real.hear()][1] == ["exited", "leaves", 0]
    wait_for(lambda: not guard.marked(real.mark))


@pytest.mark.parametrize("end", ["worker", "lease", "killall"])
def test_everything_ends_with_the_worker_or_its_lease(real: RealGuard, end: str) -> None:
    real.run("tree", "sh", "-c", TREE)
    up(real, 3)
    if end == "worker":
        # However the worker ends, the kernel closes its end of the pipe.
        assert real.process.stdin is not None
        real.process.stdin.close()
        real.process.wait(timeout=10)
    elif end == "lease":
        # The worker hangs: nothing more is said.
        real.say("lease", time.monotonic_ns() // 1000 + 300_000)
    else:
        real.say("killall")
        assert [real.hear()[0] for _ in range(3)] == ["started", "exited", "killed"]
        assert guard.marked(real.mark) == []
    wait_for(lambda: not guard.marked(real.mark))


def test_a_killed_guard_takes_its_commands_along_and_the_rest_is_found(real: RealGuard) -> None:
    real.run("tree", "sh", "-c", TREE)
    up(real, 3)
    real.process.kill()
    real.process.wait()
    assert guard.sweep(real.mark)
    assert guard.marked(real.mark) == []


def test_a_command_that_had_ended_when_its_guard_was_killed_is_inherited(
    tmp_path: Path,
) -> None:
    """A complete task whose end nobody has written down yet would run a second time."""
    program = f"""
import os, signal, sys, time
sys.path.insert(0, {str(Path(guard.__file__).parent)!r})
import guard
guard.become_reaper()
parent = os.fork()
if parent == 0:
    # The guard, killed between the command's end and its notice.
    if os.fork() == 0:
        os._exit(0)
    time.sleep(0.3)
    os.kill(os.getpid(), signal.SIGKILL)
os.waitpid(parent, 0)
pid, status = os.waitpid(-1, 0)
code = os.waitstatus_to_exitcode(status)
print(guard.write_end(code, {str(tmp_path / "exit")!r}, {str(tmp_path / "result")!r}, None))
"""
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=20, check=True
    )
    assert done.stdout == "0\n"
    assert json.loads((tmp_path / "result").read_text())["code"] == 0
