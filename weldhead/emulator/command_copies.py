"""Direct commands that were carried out and answered, and arrive at their machine once more.

The machine carries a copy out if token and session still match; its answer is for nobody.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class AnsweredCommands:
    """A direct request that its machine has carried out and answered."""

    #: The controller that sent it.
    source: str
    machine: str
    address: str
    body: bytes


@dataclass(eq=False)
class CopyWindow:
    """While it is open, copies are made of a share of the answered requests.

    Each copy arrives ``least_s`` to ``most_s`` later. ``hold``: the copies are held back instead
    until :meth:`CommandCopies.release`.
    """

    share: float
    least_s: float
    most_s: float
    hold: bool = False
    held: list[AnsweredCommands] = field(default_factory=list)


class CommandCopies:
    """Makes copies of answered direct requests.

    ``deliver`` has a request of this source and body arrive at an address after so many seconds.
    """

    def __init__(
        self, rng: random.Random, deliver: Callable[[str, str, str, bytes, float], None]
    ) -> None:
        self._rng, self._deliver = rng, deliver
        self._windows: list[CopyWindow] = []
        #: How many copies were sent on their way.
        self.count = 0

    def open(self, window: CopyWindow) -> None:
        """Make copies from now on."""
        self._windows.append(window)

    def close(self, window: CopyWindow) -> None:
        """Make no more copies; those under way still arrive."""
        self._windows.remove(window)

    def answered(self, commands: AnsweredCommands) -> None:
        """Take note of a request that was carried out and whose answer has arrived."""
        for window in self._windows:
            if self._rng.random() >= window.share:
                continue
            if window.hold:
                window.held.append(commands)
            else:
                self._send(commands, window)

    def release(self, window: CopyWindow, machine: str = "") -> None:
        """Let the copies go that a closed window has held, or only those for one machine."""
        for commands in window.held:
            if machine in ("", commands.machine):
                self._send(commands, window)
        window.held.clear()

    def _send(self, commands: AnsweredCommands, window: CopyWindow) -> None:
        self.count += 1
        after_s = self._rng.uniform(window.least_s, window.most_s)
        self._deliver(commands.source, commands.address, "/commands", commands.body, after_s)
