"""An event loop in simulated time, and the processes that live on it.

The loop never waits: where nothing is ready, its time jumps to the next timer. Every callback
belongs to the process in whose context it was made. One that stands still has its callbacks
kept until it goes on, while time passes for it as for all; one that has ended has its tasks
cancelled and can send nothing more. ``weldhead.clock`` shows each process its own clocks, so
the controllers' code runs as it is. Times are microseconds, loop times seconds.
"""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from contextvars import Context, ContextVar, copy_context
from heapq import heappush
from typing import Any, TypeVar

from weldhead import clock
from weldhead.clock import SECOND_US

T = TypeVar("T")

#: When simulated time begins, on every clock: no clock ever shows 0.
BEGIN_S = 1_000.0


class Life:
    """One life of a process: from its start to its end.

    ``rate`` is how much faster than true time its steady clock runs, ``off_us`` how far its
    time of day is off.
    """

    def __init__(self, machine: str, rate: float = 1.0, off_us: int = 0) -> None:
        self.machine = machine
        self.rate = rate
        self.off_us = off_us
        self.ended = False
        self.frozen = False
        self.kept: list[asyncio.Handle] = []
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.context: Context = copy_context()
        self.context.run(_LIFE.set, self)


_LIFE: ContextVar[Life | None] = ContextVar("life", default=None)


def current_life() -> Life | None:
    """Return the process whose code runs now; None: the experiment itself."""
    return _LIFE.get()


def _kept(handle: asyncio.Handle) -> bool:
    life = handle._context.get(_LIFE)  # type: ignore[attr-defined]
    if life is None or not life.frozen:
        return False
    life.kept.append(handle)
    return True


class _Handle(asyncio.Handle):
    __slots__ = ()

    def _run(self) -> None:
        if not _kept(self):
            super()._run()


class _Timer(asyncio.TimerHandle):
    __slots__ = ()

    def _run(self) -> None:
        if not _kept(self):
            super()._run()


class _Jumping(selectors.SelectSelector):
    """Waits for nothing: time passes instead."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.loop.true_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs callbacks at simulated times, always in the same order."""

    _ready: Any
    _scheduled: list[Any]

    def __init__(self) -> None:
        selector = _Jumping()
        selector.loop = self
        self.true_s = BEGIN_S
        super().__init__(selector)
        self._clock_resolution = 1e-7
        self.set_task_factory(_make_task)
        self.set_exception_handler(_unless_ended)
        #: Where streams lead; set by the network.
        self.dial: Callable[..., Coroutine[Any, Any, Any]] | None = None
        self.answer: Callable[..., Any] | None = None

    def time(self) -> float:
        """Return true time in seconds."""
        return self.true_s

    @property
    def true_us(self) -> int:
        """True time in microseconds."""
        return round(self.true_s * SECOND_US)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback in its turn."""
        handle = _Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback after a delay on the calling process's clock."""
        life = _LIFE.get()
        if life is not None:
            delay /= life.rate
        return self.call_at(self.true_s + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a true time."""
        timer = _Timer(when, callback, args, self, context)
        heappush(self._scheduled, timer)
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Connect through the simulated network."""
        assert self.dial is not None
        return await self.dial(factory, f"{host}:{port}")

    async def create_server(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Listen on the simulated network."""
        assert self.answer is not None
        return self.answer(factory, f"{host}:{port}")

    # -- processes -------------------------------------------------------------------------

    def spawn(self, life: Life, duty: Callable[[], Coroutine[Any, Any, T]]) -> asyncio.Task[T]:
        """Run a coroutine as part of a process."""
        return life.context.run(lambda: self.create_task(duty()))

    def freeze(self, life: Life) -> None:
        """Let a process stand still while its clocks run on."""
        life.frozen = True

    def thaw(self, life: Life) -> None:
        """Let a process go on with all that was due meanwhile, in that order."""
        life.frozen = False
        self._ready.extend(life.kept)
        life.kept = []

    def end(self, life: Life) -> None:
        """End a process without a signal: what it would still do reaches nobody."""
        life.ended = True
        if life.frozen:
            self.thaw(life)
        self._cancel(life)

    def _cancel(self, life: Life) -> None:
        """Cancel what is left; a task that was just being answered can miss its first one."""
        for task in list(life.tasks):
            task.cancel()
        if life.tasks:
            self.call_at(self.true_s + 1.0, self._cancel, life)


def _unless_ended(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Report what no callback may raise; connections of ended processes end as cancelled."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def _make_task(loop: asyncio.AbstractEventLoop, duty: Any, **more: Any) -> asyncio.Task[Any]:
    task: asyncio.Task[Any] = asyncio.Task(duty, loop=loop, **more)
    life = _LIFE.get()
    if life is not None:
        life.tasks[task] = None
        task.add_done_callback(lambda done: life.tasks.pop(done, None))
    return task


class _Clocks:
    """What ``weldhead.clock`` reads in place of the machine's own."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def monotonic_ns(self) -> int:
        life = _LIFE.get()
        true_us = self._loop.true_us
        return (round(true_us * life.rate) if life is not None else true_us) * 1_000

    def time_ns(self) -> int:
        life = _LIFE.get()
        return (self._loop.true_us + (life.off_us if life is not None else 0)) * 1_000


@contextmanager
def simulated() -> Iterator[VirtualLoop]:
    """Give a loop in simulated time, whose clocks are all that the code sees."""
    loop = VirtualLoop()
    vars(clock)["time"] = _Clocks(loop)
    try:
        yield loop
    finally:
        while left := asyncio.all_tasks(loop):
            for task in left:
                task.cancel()
            loop.run_until_complete(asyncio.wait(left, timeout=1.0))
        vars(clock)["time"] = time
        loop.close()
