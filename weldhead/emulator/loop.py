"""An event loop in simulated time, and the processes that live on it.

The loop never waits: where nothing is ready, its time jumps to the next timer. Every callback
belongs to the process in whose context it was made. One that stands still has its callbacks
kept until it goes on, while time passes for it as for all; one that has ended has its tasks
cancelled and can send nothing more. ``weldhead.clock`` shows each process its own clocks, so
the controllers' code runs as it is. Times are microseconds, loop times seconds.

A process may have a share of a core only. Then each callback takes time: what it is charged
(``VirtualLoop.spend``), divided by the share. While it lasts the process's clocks go on inside
the callback, and what becomes due for the process waits in its order. Charges are constants,
never measured, so a run still repeats from its seed.
"""

import asyncio
import selectors
import time
from collections import deque
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
#: Timers that are due within this are due now.
RESOLUTION_S = 1e-7
#: What each callback of a process with a share of a core is charged, in microseconds.
CALLBACK_US = 10.0


class ProcessInstance:
    """One life of a process: from its start to its end.

    ``rate`` is how much faster than true time its steady clock runs, ``off_us`` how far its
    time of day is off. ``share`` is its share of a core; 0: nothing takes time.
    """

    def __init__(
        self, machine: str, rate: float = 1.0, off_us: int = 0, share: float = 0.0
    ) -> None:
        self.machine = machine
        self.rate = rate
        self.off_us = off_us
        self.share = share
        self.ended = False
        self.frozen = False
        #: What is due and waits, in its order, and since when.
        self.kept: deque[tuple[float, asyncio.Handle]] = deque()
        #: Until when what it has begun keeps it busy (true time), and what it was charged.
        self.busy_s = 0.0
        self.spent_us = 0.0
        #: The longest that something due has waited for the processor, in seconds; what becomes
        #: due within a callback counts from the beginning of that.
        self.latest_s = 0.0
        self.in_callback = False
        self.wakes = False
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.context: Context = copy_context()
        self.context.run(_LIFE.set, self)

    def is_busy(self, at_s: float) -> bool:
        """Whether something that is due at a time has to wait for the processor."""
        return bool(self.share) and (bool(self.kept) or self.busy_s - at_s > RESOLUTION_S)


_LIFE: ContextVar[ProcessInstance | None] = ContextVar("life", default=None)


def current_life() -> ProcessInstance | None:
    """Return the process whose code runs now; None: the experiment itself."""
    return _LIFE.get()


class _Handle(asyncio.Handle):
    __slots__ = ()

    def _run(self) -> None:
        if self._loop.may_run(self):  # type: ignore[attr-defined]
            super()._run()
            self._loop.has_run(self)  # type: ignore[attr-defined]


class _Timer(asyncio.TimerHandle):
    __slots__ = ()

    def _run(self) -> None:
        if self._loop.may_run(self):  # type: ignore[attr-defined]
            super()._run()
            self._loop.has_run(self)  # type: ignore[attr-defined]


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
        self._clock_resolution = RESOLUTION_S
        #: Nobody's.
        self._context = copy_context()
        #: The processes that ever had to wait for the processor.
        self._waited: dict[ProcessInstance, None] = {}
        self.set_task_factory(_make_task)
        self.set_exception_handler(_unless_ended)
        #: Where streams lead; set by the network.
        self.dial: Callable[..., Coroutine[Any, Any, Any]] | None = None
        self.answer: Callable[..., Any] | None = None

    def time(self) -> float:
        """Return in seconds how far the process has come whose code runs now."""
        life = _LIFE.get()
        if life is not None and life.in_callback:
            return max(self.true_s, life.busy_s)
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
        return self.call_at(self.time() + delay, callback, *args, context=context)

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

    def spawn(
        self, life: ProcessInstance, background_task: Callable[[], Coroutine[Any, Any, T]]
    ) -> asyncio.Task[T]:
        """Run a coroutine as part of a process."""
        return life.context.run(lambda: self.create_task(background_task()))

    def freeze(self, life: ProcessInstance) -> None:
        """Let a process stand still while its clocks run on; one that has ended does not.

        Frozen, what it was still to be told by its end never came, and the run never ended.
        """
        life.frozen = not life.ended

    def thaw(self, life: ProcessInstance) -> None:
        """Let a process go on with all that was due meanwhile, in that order."""
        life.frozen = False
        self._ready.extend(handle for _, handle in life.kept)
        life.kept.clear()

    def end(self, life: ProcessInstance) -> None:
        """End a process without a signal: what it would still do reaches nobody."""
        life.ended = True
        life.share = 0.0
        if life.frozen or life.kept:
            self.thaw(life)
        self._cancel(life)

    # -- the processor ---------------------------------------------------------------------

    def spend(self, cost_us: float) -> None:
        """Charge the process whose code runs now for work that takes so long on a whole core."""
        life = _LIFE.get()
        if life is not None and life.share:
            life.spent_us += cost_us
            life.busy_s = max(self.true_s, life.busy_s) + cost_us / SECOND_US / life.share

    def may_run(self, handle: asyncio.Handle) -> bool:
        """Whether a callback's process goes on and has the processor; else the callback waits."""
        life = handle._context.get(_LIFE)  # type: ignore[attr-defined]
        if life is None:
            return True
        if not life.frozen and not life.is_busy(self.true_s):
            life.in_callback = bool(life.share)
            return True
        life.kept.append((self.true_s, handle))
        self._wake_later(life)
        return False

    def has_run(self, handle: asyncio.Handle) -> None:
        """A callback is over; its process is charged for it."""
        life = handle._context.get(_LIFE)  # type: ignore[attr-defined]
        if life is not None and life.in_callback:
            handle._context.run(self.spend, CALLBACK_US)  # type: ignore[attr-defined]
            life.in_callback = False

    def _wake_later(self, life: ProcessInstance) -> None:
        """Have a busy process go on as soon as it has the processor."""
        if life.share and not life.frozen and not life.wakes:
            life.wakes = True
            self._waited[life] = None
            self.call_at(life.busy_s, self._wake, life, context=self._context)

    def _wake(self, life: ProcessInstance) -> None:
        """Run what waits, until the process is busy again."""
        life.wakes = False
        while life.kept and not life.frozen and life.busy_s - self.true_s <= RESOLUTION_S:
            due_s, handle = life.kept.popleft()
            if not handle._cancelled:
                life.latest_s = max(life.latest_s, self.true_s - due_s)
                life.in_callback = True
                asyncio.Handle._run(handle)
                self.has_run(handle)
        if life.kept:
            self._wake_later(life)

    def forgive(self) -> None:
        """Let everybody catch up at once: the run is over."""
        for life in self._waited:
            life.share = 0.0
            self.thaw(life)

    def _cancel(self, life: ProcessInstance) -> None:
        """Cancel what is left; a task that was just being answered can miss its first one."""
        for task in list(life.tasks):
            task.cancel()
        if life.tasks:
            self.call_at(self.true_s + 1.0, self._cancel, life)


def _unless_ended(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Report what no callback may raise; connections of ended processes end as cancelled."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def _make_task(
    loop: asyncio.AbstractEventLoop, background_task: Any, **more: Any
) -> asyncio.Task[Any]:
    task: asyncio.Task[Any] = asyncio.Task(background_task, loop=loop, **more)
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
        at_us = round(self._loop.time() * SECOND_US)
        return (round(at_us * life.rate) if life is not None else at_us) * 1_000

    def time_ns(self) -> int:
        life = _LIFE.get()
        at_us = round(self._loop.time() * SECOND_US)
        return (at_us + (life.off_us if life is not None else 0)) * 1_000


@contextmanager
def simulated() -> Iterator[VirtualLoop]:
    """Give a loop in simulated time, whose clocks are all that the code sees."""
    loop = VirtualLoop()
    vars(clock)["time"] = _Clocks(loop)
    try:
        yield loop
    finally:
        loop.forgive()
        while left := asyncio.all_tasks(loop):
            for task in left:
                task.cancel()
            loop.run_until_complete(asyncio.wait(left, timeout=1.0))
        vars(clock)["time"] = time
        loop.close()
