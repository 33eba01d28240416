"""Processes of a site: starting them, watching them, and knowing them again."""

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

#: The descriptor on which a part sees the end of the site's keeper.
LIFELINE = "WELDHEAD_LIFELINE"

PROGRAM = Path(__file__).resolve().parents[2] / "run.py"


def started_at(pid: int) -> int:
    """Return when a process began, in the kernel's ticks; 0 if it is not there (any more).

    A number is given to one process after the other; with its begin it names one.
    """
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace")
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    return 0 if fields[0] in "ZX" else int(fields[19])


@dataclass(frozen=True)
class Process:
    """A process of this or an earlier life: its number and its begin."""

    pid: int
    started: int

    @property
    def alive(self) -> bool:
        """Whether it is there."""
        return self.started != 0 and started_at(self.pid) == self.started

    def signal(self, number: int) -> None:
        """Send a signal, if it is there."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def ended(self) -> None:
        """Wait until it is gone; it need not be a child."""
        try:
            handle = os.pidfd_open(self.pid)
        except ProcessLookupError:
            return
        try:
            if not self.alive:
                return
            loop = asyncio.get_running_loop()
            over = asyncio.Event()
            loop.add_reader(handle, over.set)
            try:
                await over.wait()
            finally:
                loop.remove_reader(handle)
        finally:
            os.close(handle)
            with contextlib.suppress(ChildProcessError):
                os.waitpid(self.pid, os.WNOHANG)  # noqa: ASYNC222 - it has ended already

    async def end(self, patience_us: int) -> None:
        """Ask it to end, and make it end after the patience."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.ended(), patience_us / SECOND_US)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.ended()


def _bind() -> None:
    ctypes.CDLL(None, use_errno=True).prctl(1, signal.SIGTERM, 0, 0, 0)


def spawn(
    arguments: Sequence[str],
    log: Path,
    fds: Sequence[int] = (),
    environment: Mapping[str, str] | None = None,
    *,
    bound: bool = False,
) -> Process:
    """Start weldhead with arguments; its errors go to the log.

    ``bound``: it ends when this process does. ``fds`` are passed on under their numbers;
    ``environment`` is added to this process's own.
    """
    log.parent.mkdir(parents=True, exist_ok=True)
    with log.open("ab") as errors:
        process = subprocess.Popen(
            [sys.executable, str(PROGRAM), *arguments],
            stdin=subprocess.DEVNULL,
            stdout=errors,
            stderr=errors,
            pass_fds=tuple(fds),
            env={**os.environ, **(environment or {})},
            start_new_session=True,
            preexec_fn=_bind if bound else None,
        )
    # Process.ended() reaps it; the object must not.
    process.returncode = 0
    return Process(process.pid, started_at(process.pid))


def lifeline() -> int | None:
    """Return the descriptor that the keeper left this part."""
    text = os.environ.get(LIFELINE)
    return int(text) if text else None


async def until_told() -> None:
    """Wait for SIGTERM, SIGINT, or the keeper's end."""
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    handle = lifeline()
    if handle is not None:
        loop.add_reader(handle, told.set)
    try:
        await told.wait()
    finally:
        if handle is not None:
            loop.remove_reader(handle)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)
