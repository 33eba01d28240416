"""The guard of one worker's processes: a program of its own that uses the standard library.

It starts the tasks' commands and outlives nothing: when its standard input ends (the worker
is gone, however it ended) or the lease that the worker last told it is over (the worker
hangs), it ends every process that it started and leaves. Should the guard itself be killed,
the kernel ends the commands that it started (``PR_SET_PDEATHSIG``); what those had started
is found by a mark in the environment (:func:`sweep`), before the machine is used again. A
command that had ended by then, but was not written down, is inherited by the worker.

Lines of JSON, each a tagged tuple. To the guard::

    ["run", KEY, ARGV, ENVIRONMENT, DIRECTORY, OUTPUT, RECORD, RESULT]
    ["signal", KEY, NUMBER]      ["killall"]      ["lease", STEADY_US]

and from it::

    ["started", KEY, PID]     ["exited", KEY, CODE_OR_NULL]     ["killed"]

``KEY`` names an attempt. How a command ended is written to ``RECORD``, and to ``RESULT`` if
its code is 0, before it is told.
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

MARK = "WELDHEAD_MACHINE_MARK"
#: Only the end of its input ends a guard.
IGNORED = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
_PR_SET_PDEATHSIG = 1
_PR_SET_CHILD_SUBREAPER = 36


def _prctl(option: int, value: int) -> None:
    ctypes.CDLL(None, use_errno=True).prctl(option, value, 0, 0, 0)


def become_reaper() -> None:
    """Inherit the processes whose parents below this one are gone."""
    _prctl(_PR_SET_CHILD_SUBREAPER, 1)


def marked(mark: str) -> list[int]:
    """Return the processes whose environment has the mark, other than the caller."""
    wanted = f"{MARK}={mark}".encode()
    found = []
    for name in os.listdir("/proc"):
        if not name.isdecimal() or int(name) == os.getpid():
            continue
        try:
            with open(f"/proc/{name}/environ", "rb") as file:
                if wanted in file.read().split(b"\0"):
                    found.append(int(name))
        except OSError:
            continue
    return found


def sweep(mark: str, limit_s: float = 5.0) -> bool:
    """End every process with the mark; false if some are still there after the limit."""
    end = time.monotonic() + limit_s
    while left := marked(mark):
        for pid in left:
            _kill(pid, signal.SIGKILL)
        if time.monotonic() > end:
            return False
        time.sleep(0.01)
    return True


def _kill(pid: int, number: int) -> None:
    """Signal a process; a negative number means a whole group."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.kill(pid, number)


def _write(path: str, value: object) -> None:
    fresh = f"{path}.new"
    with open(fresh, "w", encoding="utf-8") as file:
        json.dump(value, file)
    os.replace(fresh, path)


def write_end(code: int, record: str, result: str, began: float | None) -> int | None:
    """Write down how a command ended, and return the exit code to tell of it.

    ``code`` is negative for a signal, as ``subprocess`` has it; that is told as None.
    """
    entry: dict[str, object] = {"code": code if code >= 0 else None, "ended": time.time()}
    if began is not None:
        entry["began"] = began
    if code < 0:
        entry["reason"] = f"ended by signal {-code}"
    try:
        if code == 0:
            _write(result, entry)
        _write(record, entry)
    except OSError as error:
        # A result that cannot be kept is none: the task runs again elsewhere.
        sys.stderr.write(f"guard: {error}\n")
        return 1
    return code if code >= 0 else None


class Guard:
    """Commands by their keys, and when the lease is over."""

    def __init__(self, mark: str) -> None:
        self.mark = mark
        self.lease_us: int | None = None
        self.commands: dict[int, tuple[str, str, str, float]] = {}
        self.pids: dict[str, int] = {}
        self.parent = os.getpid()

    def run(
        self,
        key: str,
        argv: list[str],
        environment: dict[str, str],
        directory: str,
        output: str,
        record: str,
        result: str,
    ) -> None:
        """Start a command in a session, and so a process group, of its own."""
        environment[MARK] = self.mark
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
                    preexec_fn=self._bind,
                )
        except (OSError, ValueError) as error:
            reason = f"cannot start {argv[0]!r}: {error}"
            try:
                with open(output, "a", encoding="utf-8") as out_text:
                    out_text.write(f"weldhead: {reason}\n")
                _write(record, {"code": None, "reason": reason, "began": started, "ended": started})
            except OSError:
                pass
            self._say(["exited", key, None])
            return
        # The pid is reaped by wait() here; the object must not do it.
        process.returncode = 0
        self.commands[process.pid] = (key, record, result, started)
        self.pids[key] = process.pid
        self._say(["started", key, process.pid])

    def _bind(self) -> None:
        # What the guard ignores its commands would inherit, and never hear a SIGTERM.
        for number in IGNORED:
            signal.signal(number, signal.SIG_DFL)
        _prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != self.parent:
            os._exit(70)

    def reap(self) -> None:
        """Tell of every command that has ended."""
        while True:
            try:
                # Looked at first and reaped when all is written: should the guard be killed
                # in between, the worker inherits the ended command and writes it down.
                seen = os.waitid(os.P_ALL, 0, os.WEXITED | os.WNOHANG | os.WNOWAIT)
            except ChildProcessError:
                return
            if seen is None:
                return
            code = seen.si_status if seen.si_code == os.CLD_EXITED else -seen.si_status
            known = self.commands.pop(seen.si_pid, None)
            if known is not None:
                key, record, result, began = known
                # What a command leaves behind ends with it.
                _kill(-seen.si_pid, signal.SIGKILL)
                if self.pids.get(key) == seen.si_pid:
                    del self.pids[key]
                told = write_end(code, record, result, began)
                self._say(["exited", key, told])
            os.waitpid(seen.si_pid, 0)

    def kill_all(self) -> None:
        """End everything, and return when it is gone."""
        for pid in self.commands:
            _kill(-pid, signal.SIGKILL)
        sweep(self.mark)
        self.reap()

    def obey(self, message: list[Any]) -> None:
        """Carry out one message."""
        match message:
            case ["run", key, argv, environment, directory, output, record, result]:
                self.run(key, argv, environment, directory, output, record, result)
            case ["signal", key, number]:
                pid = self.pids.get(key)
                if pid is not None:
                    _kill(-pid, number)
            case ["killall"]:
                self.kill_all()
                self._say(["killed"])
            case ["lease", until_us]:
                self.lease_us = until_us
            case _:
                sys.stderr.write(f"guard: unknown message {message!r}\n")

    def _say(self, message: list[object]) -> None:
        data = (json.dumps(message) + "\n").encode()
        try:
            while data:
                data = data[os.write(1, data) :]
        except BrokenPipeError:
            pass

    def serve(self) -> None:
        """Obey until the worker is gone."""
        wake, waker = os.pipe()
        os.set_blocking(waker, False)
        signal.set_wakeup_fd(waker, warn_on_full_buffer=False)
        signal.signal(signal.SIGCHLD, lambda number, frame: None)
        rest = b""
        while True:
            left = 3600.0
            if self.lease_us is not None:
                left = max(0.0, self.lease_us / 1e6 - time.monotonic())
            ready, _, _ = select.select([0, wake], [], [], min(left + 0.01, 3600.0))
            if wake in ready:
                os.read(wake, 4096)
            self.reap()
            if self.lease_us is not None and time.monotonic() * 1e6 > self.lease_us:
                # The worker hangs, or has not heard of anybody: it finds out by itself.
                self.lease_us = None
                self.kill_all()
            if 0 not in ready:
                continue
            data = os.read(0, 1 << 16)
            if not data:
                self.kill_all()
                return
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.obey(json.loads(line))


def main() -> None:
    """Run as a program: the one argument is the machine's mark."""
    become_reaper()
    for number in IGNORED:
        signal.signal(number, signal.SIG_IGN)
    Guard(sys.argv[1]).serve()


if __name__ == "__main__":
    main()
