"""The guard of one worker's processes: a program of its own that uses the standard library.

The guard starts the commands of the tasks and kills every process that it started as soon as
its standard input ends (the worker has exited, for whatever reason) or the lease expires that
the worker announced last (the worker hangs). At the end of its input the guard exits as well.
If the guard itself is killed, the kernel kills the commands that the guard started
(``PR_SET_PDEATHSIG``). :func:`kill_marked_processes` finds the processes that those commands
started by a mark in their environment, before the machine is used again. The worker inherits
a command that had exited by then but whose exit was not recorded.

Each message is a line of JSON: an array that begins with the message's type. To the guard::

    ["run", KEY, ARGV, ENVIRONMENT, DIRECTORY, OUTPUT, RECORD, RESULT]
    ["signal", KEY, NUMBER]      ["killall"]      ["lease", STEADY_US]

and from the guard::

    ["started", KEY, PID]     ["exited", KEY, CODE_OR_NULL]     ["killed"]

``KEY`` identifies an attempt. Before the guard sends ``exited``, it writes the exit of the
command to the file ``RECORD``, and also to the file ``RESULT`` if the exit code is 0.
"""

import contextlib
import ctypes
import json
import os
import select
import signal
import subprocess
import sys
import time
from typing import Any

#: Environment variable that marks all processes of one machine's tasks.
MARK_VARIABLE = "WELDHEAD_MACHINE_MARK"
#: The guard ignores these signals: it exits only at the end of its input.
IGNORED_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
_PR_SET_PDEATHSIG = 1
_PR_SET_CHILD_SUBREAPER = 36


def _prctl(option: int, value: int) -> None:
    ctypes.CDLL(None, use_errno=True).prctl(option, value, 0, 0, 0)


def become_reaper() -> None:
    """Become the parent of all descendants whose own parents exit."""
    _prctl(_PR_SET_CHILD_SUBREAPER, 1)


def find_marked_processes(mark: str) -> list[int]:
    """Return the ids of all processes with the mark in their environment but the caller's."""
    assignment = f"{MARK_VARIABLE}={mark}".encode()
    pids = []
    for name in os.listdir("/proc"):
        if not name.isdecimal() or int(name) == os.getpid():
            continue
        try:
            with open(f"/proc/{name}/environ", "rb") as file:
                if assignment in file.read().split(b"\0"):
                    pids.append(int(name))
        except OSError:
            continue
    return pids


def kill_marked_processes(mark: str, timeout_s: float = 5.0) -> bool:
    """Kill every process with the mark; return False if some still exist after the timeout."""
    deadline = time.monotonic() + timeout_s
    while remaining := find_marked_processes(mark):
        for pid in remaining:
            _send_signal(pid, signal.SIGKILL)
        if time.monotonic() > deadline:
            return False
        time.sleep(0.01)
    return True


def _send_signal(pid: int, number: int) -> None:
    """Send a signal to a process, or to a whole process group if ``pid`` is negative."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.kill(pid, number)


def _write_json(path: str, value: object) -> None:
    temporary = f"{path}.new"
    with open(temporary, "w", encoding="utf-8") as file:
        json.dump(value, file)
    os.replace(temporary, path)


def record_exit(code: int, record: str, result: str, started: float | None) -> int | None:
    """Write the exit of a command to its files, and return the exit code to report.

    A negative ``code`` is the number of the signal that ended the command, as in
    ``subprocess``; its reported exit code is None.
    """
    entry: dict[str, object] = {"code": code if code >= 0 else None, "ended": time.time()}
    if started is not None:
        entry["began"] = started
    if code < 0:
        entry["reason"] = f"ended by signal {-code}"
    try:
        if code == 0:
            _write_json(result, entry)
        _write_json(record, entry)
    except OSError as error:
        # An exit that cannot be stored is reported as a failure: the task runs again elsewhere.
        sys.stderr.write(f"guard: cannot record the exit of a command: {error}\n")
        return 1
    return code if code >= 0 else None


class Guard:
    """The running commands of one machine, and the end of the worker's lease."""

    def __init__(self, mark: str) -> None:
        self.mark = mark
        self.lease_end_us: int | None = None
        self.commands: dict[int, tuple[str, str, str, float]] = {}
        self.pids: dict[str, int] = {}
        self.guard_pid = os.getpid()

    def start_command(
        self,
        key: str,
        argv: list[str],
        environment: dict[str, str],
        directory: str,
        output: str,
        record: str,
        result: str,
    ) -> None:
        """Start a command in a new session, and so in a process group of its own."""
        environment[MARK_VARIABLE] = self.mark
        started = time.time()
        try:
            os.makedirs(directory, exist_ok=True)
            with open(output, "ab") as out:
                process = subprocess.Popen(
                    argv,
                    stdin=subprocess.DEVNULL,
                    stdout=out,
                    stderr=subprocess.STDOUT,
                    cwd=directory,
                    env=environment,
                    start_new_session=True,
                    preexec_fn=self._prepare_child,
                )
        except (OSError, ValueError) as error:
            reason = f"cannot start {argv[0]!r}: {error}"
            try:
                with open(output, "a", encoding="utf-8") as out_text:
                    out_text.write(f"weldhead: {reason}\n")
                _write_json(
                    record, {"code": None, "reason": reason, "began": started, "ended": started}
                )
            except OSError:
                pass
            self._send(["exited", key, None])
            return
        # ``reap_commands`` reaps the process; the Popen object must not do so.
        process.returncode = 0
        self.commands[process.pid] = (key, record, result, started)
        self.pids[key] = process.pid
        self._send(["started", key, process.pid])

    def _prepare_child(self) -> None:
        # A command inherits ignored signals, and would ignore SIGTERM as the guard does.
        for number in IGNORED_SIGNALS:
            signal.signal(number, signal.SIG_DFL)
        _prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != self.guard_pid:
            os._exit(70)

    def reap_commands(self) -> None:
        """Record and report every command that has exited."""
        while True:
            try:
                # WNOWAIT leaves the process unreaped until its exit is recorded. If the guard
                # is killed in between, the worker inherits the process and records the exit.
                child = os.waitid(os.P_ALL, 0, os.WEXITED | os.WNOHANG | os.WNOWAIT)
            except ChildProcessError:
                return
            if child is None:
                return
            code = child.si_status if child.si_code == os.CLD_EXITED else -child.si_status
            command = self.commands.pop(child.si_pid, None)
            if command is not None:
                key, record, result, started = command
                # Processes that the command left in its group are killed.
                _send_signal(-child.si_pid, signal.SIGKILL)
                if self.pids.get(key) == child.si_pid:
                    del self.pids[key]
                reported_code = record_exit(code, record, result, started)
                self._send(["exited", key, reported_code])
            os.waitpid(child.si_pid, 0)

    def kill_all(self) -> None:
        """Kill all processes, wait until they are gone, and report the commands' exits."""
        for pid in self.commands:
            _send_signal(-pid, signal.SIGKILL)
        kill_marked_processes(self.mark)
        self.reap_commands()

    def handle_message(self, message: list[Any]) -> None:
        """Handle one message of the worker."""
        match message:
            case ["run", key, argv, environment, directory, output, record, result]:
                self.start_command(key, argv, environment, directory, output, record, result)
            case ["signal", key, number]:
                pid = self.pids.get(key)
                if pid is not None:
                    _send_signal(-pid, number)
            case ["killall"]:
                self.kill_all()
                self._send(["killed"])
            case ["lease", end_us]:
                self.lease_end_us = end_us
            case _:
                sys.stderr.write(f"guard: unknown message {message!r}\n")

    def _send(self, message: list[object]) -> None:
        data = (json.dumps(message) + "\n").encode()
        try:
            while data:
                data = data[os.write(1, data) :]
        except BrokenPipeError:
            pass

    def serve(self) -> None:
        """Handle messages until the worker closes the guard's input."""
        wake_reader, wake_writer = os.pipe()
        os.set_blocking(wake_writer, False)
        signal.set_wakeup_fd(wake_writer, warn_on_full_buffer=False)
        signal.signal(signal.SIGCHLD, lambda number, frame: None)
        partial_line = b""
        while True:
            remaining_s = 3600.0
            if self.lease_end_us is not None:
                remaining_s = max(0.0, self.lease_end_us / 1e6 - time.monotonic())
            ready, _, _ = select.select([0, wake_reader], [], [], min(remaining_s + 0.01, 3600.0))
            if wake_reader in ready:
                os.read(wake_reader, 4096)
            self.reap_commands()
            if self.lease_end_us is not None and time.monotonic() * 1e6 > self.lease_end_us:
                # The worker hangs, or no controller has answered. The worker detects by itself
                # that its lease has expired, so no message is sent here.
                self.lease_end_us = None
                self.kill_all()
            if 0 not in ready:
                continue
            data = os.read(0, 1 << 16)
            if not data:
                self.kill_all()
                return
            *lines, partial_line = (partial_line + data).split(b"\n")
            for line in lines:
                self.handle_message(json.loads(line))


def main() -> None:
    """Run the guard as a program whose only argument is the machine's mark."""
    become_reaper()
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    Guard(sys.argv[1]).serve()


if __name__ == "__main__":
    main()
