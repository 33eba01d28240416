"""Starts, watches and identifies the processes of a site."""

import asyncio
import contextlib
import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from weldhead.clock import SECOND_US

#: Environment variable with the number of the pipe's descriptor on which a site process
#: notices that the site's supervisor (:mod:`weldhead.site.keeper`) has ended.
KEEPER_PIPE_VARIABLE = "WELDHEAD_LIFELINE"

PROGRAM_PATH = Path(__file__).resolve().parents[2] / "run.py"


def read_start_ticks(pid: int) -> int:
    """Return the start time of a process in kernel clock ticks; 0 if the process does not run.

    The kernel reuses PIDs, so only the PID and the start time together identify a process.
    """
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace")
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    return 0 if fields[0] in "ZX" else int(fields[19])


@dataclass(frozen=True)
class Process:
    """A process, identified by its PID and start time also after a restart of its parent."""

    pid: int
    start_ticks: int

    @property
    def is_alive(self) -> bool:
        """Whether the process is running."""
        return self.start_ticks != 0 and read_start_ticks(self.pid) == self.start_ticks

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_alive:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal_number)

    async def wait_until_ended(self) -> None:
        """Wait until the process has ended; the process need not be a child of this one."""
        try:
            pidfd = os.pidfd_open(self.pid)
        except ProcessLookupError:
            return
        try:
            if not self.is_alive:
                return
            loop = asyncio.get_running_loop()
            exited = asyncio.Event()
            loop.add_reader(pidfd, exited.set)
            try:
                await exited.wait()
            finally:
                loop.remove_reader(pidfd)
        finally:
            os.close(pidfd)
            with contextlib.suppress(ChildProcessError):
                os.waitpid(self.pid, os.WNOHANG)  # noqa: ASYNC222 - it has ended already

    async def terminate(self, grace_period_us: int) -> None:
        """Send SIGTERM to the process, and SIGKILL if it runs on after the grace period."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait_until_ended(), grace_period_us / SECOND_US)
        except asyncio.TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.wait_until_ended()


def _end_with_parent() -> None:
    """Have the kernel send this process SIGTERM when its parent ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None, use_errno=True).prctl(1, signal.SIGTERM, 0, 0, 0)


def spawn(
    arguments: Sequence[str],
    log_path: Path,
    fds: Sequence[int] = (),
    environment: Mapping[str, str] | None = None,
    *,
    ends_with_parent: bool = False,
) -> Process:
    """Start weldhead with command-line arguments; its output is appended to ``log_path``.

    With ``ends_with_parent`` the new process ends when this process does. It inherits the
    descriptors ``fds`` under their numbers, and this process's environment extended by
    ``environment``.
    """
    log_path.parent.mkdir(parents=True, exist_ok=True)
    with log_path.open("ab") as log_file:
        process = subprocess.Popen(
            [sys.executable, str(PROGRAM_PATH), *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log_file,
            stderr=log_file,
            pass_fds=tuple(fds),
            env={**os.environ, **(environment or {})},
            start_new_session=True,
            preexec_fn=_end_with_parent if ends_with_parent else None,
        )
    # Process.wait_until_ended() reaps the child; with a return code set, Popen does not.
    process.returncode = 0
    return Process(process.pid, read_start_ticks(process.pid))


def get_keeper_pipe_fd() -> int | None:
    """Return the pipe descriptor inherited from the supervisor; None if there is none."""
    text = os.environ.get(KEEPER_PIPE_VARIABLE)
    return int(text) if text else None


async def wait_for_shutdown() -> None:
    """Wait for SIGTERM, SIGINT, or the end of the site's supervisor."""
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    keeper_pipe_fd = get_keeper_pipe_fd()
    if keeper_pipe_fd is not None:
        loop.add_reader(keeper_pipe_fd, shutdown_requested.set)
    try:
        await shutdown_requested.wait()
    finally:
        if keeper_pipe_fd is not None:
            loop.remove_reader(keeper_pipe_fd)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(signal_number)
