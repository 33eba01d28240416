#!/usr/bin/env python3
"""Count what controllers spend their processor time on, by the size of the site.

    target/dev/bin/python tools/measure_processor.py site --machines 80,160,320,650
    target/dev/bin/python tools/measure_processor.py site --machines 320 --functions 30 --of report
    target/dev/bin/python tools/measure_processor.py transport

``site`` plays the controllers' real code on simulated machines. Each turn of the event loop is
entered under the phase of the run, the controller's role and what the turn was for. A site is
played twice: once under a profiler, for the function calls, which repeat exactly from the seed,
and once without, for the processor time, which does not. ``transport`` measures the HTTP server
and client, which the emulator replaces, on loopback.
"""

import asyncio
import cProfile
import logging
import os
import pstats
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing import Process
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / part) for part in ("target/deps", "target/extras", ".")]

import click  # noqa: E402
import msgspec  # noqa: E402
import uvloop  # noqa: E402

from weldhead.clock import MILLISECOND_US  # noqa: E402
from weldhead.controller.process import ControllerProcess  # noqa: E402
from weldhead.emulator import loop as emulated  # noqa: E402
from weldhead.emulator.experiment import Experiment  # noqa: E402
from weldhead.emulator.scenario import Fault, JobClass, Scenario, ScenarioTeam  # noqa: E402
from weldhead.protocol.wire import Command, Heartbeat, HeartbeatAnswer, ReportedTask  # noqa: E402
from weldhead.transport import worker_commands  # noqa: E402
from weldhead.transport.http_client import HttpClient  # noqa: E402
from weldhead.transport.http_server import HttpServer, Response  # noqa: E402
from weldhead.tunables.defaults import Tunables  # noqa: E402

#: When the phases of a run begin and end, in its seconds.
STEADY_S, FAULT_S, END_S = 20.0, 45.0, 60.0
#: Purposes that have a line of their own; the rest are summed up.
SHOWN = 12
#: Requests of one measurement of the transport, and connections that they come on.
REQUESTS, CONNECTIONS = 4_000, 40

#: Phase, role and purpose.
Key = tuple[str, str, str]


def site(machines: int, *, cold: bool) -> Scenario:
    """A full fleet with a backlog and many short tasks; its leader ends, or (cold) all do."""
    fault = Fault("controllers_end", FAULT_S, 2.0, count=0 if cold else 1, leader=True)
    short = JobClass(
        "short", "red", machines / 160, 30, 20.0, initial=max(1, machines // 80), priority="high"
    )
    long = JobClass("long", "blue", machines / 1_600, 20, 60.0, initial=max(1, machines // 20))
    return Scenario(
        "processor", [ScenarioTeam("red", 2.0 * machines, 1e6), ScenarioTeam("blue", 0.0, 1e6)],
        [short, long], seconds=END_S, controllers=5, machines=machines, boot_s=5.0,
        report_s=1.0, lease_s=10.0, cloud_rps=10.0, faults=[fault],
    )  # fmt: skip


class Meter:
    """Counts the turns of controllers, and what each kind takes.

    ``counts``: function calls are counted, under a profiler; else processor time is measured.
    """

    def __init__(self, fault: str, *, counts: bool) -> None:
        self._fault, self._counts = fault, counts
        self._experiment: Experiment | None = None
        self._controllers: dict[str, Any] = {}
        self._profiles: dict[Key, cProfile.Profile] = {}
        #: What is being measured, and since when.
        self._running: Key | None = None
        self._since_s = 0.0
        #: What the tasks that answer requests are for.
        self._purposes: dict[asyncio.Task[Any], str] = {}
        self.turns: Counter[Key] = Counter()
        self.requests: Counter[Key] = Counter()
        self.seconds: dict[Key, float] = {}

    def watch(self, experiment: Experiment) -> None:
        """Enter the turns of this site's controllers."""
        self._experiment = experiment
        self._controllers = {c.name: c for c in experiment.controllers}

    def _place(self) -> tuple[str, str] | None:
        """Return the present phase and role; None: no controller runs."""
        life = emulated.current_life()
        controller = self._controllers.get(life.machine) if life is not None else None
        if controller is None or self._experiment is None:
            return None
        at_s = self._experiment.loop.true_s - emulated.BEGIN_S
        phase = "start" if at_s < STEADY_S else "steady" if at_s < FAULT_S else self._fault
        leads = controller.node is not None and controller.node.leader is not None
        return phase, "leader" if leads else "follower"

    def turn(self, handle: asyncio.Handle, work: Callable[[], None]) -> None:
        """Run a turn, and enter it if it is a controller's."""
        place = handle._context.run(self._place)  # type: ignore[attr-defined]
        if place is None:
            work()
            return
        task = getattr(handle._callback, "__self__", None)  # type: ignore[attr-defined]
        purpose = "callbacks"
        if isinstance(task, asyncio.Task):
            purpose = self._purposes.get(task) or task.get_name().split(" to ")[0]
            purpose = "other tasks" if purpose.startswith("Task-") else purpose
        self.turns[(*place, purpose)] += 1
        self._begin((*place, purpose))
        try:
            work()
        finally:
            self._stop()

    def request(self, purpose: str) -> None:
        """The running task answers a request: this turn and its later ones are for that."""
        task, place = asyncio.current_task(), self._place()
        if task is None or place is None:
            return
        if task not in self._purposes:
            task.add_done_callback(lambda done: self._purposes.pop(done, None))
        self._purposes[task] = purpose
        self._stop()
        self.requests[(*place, purpose)] += 1
        self._begin((*place, purpose))

    def _begin(self, key: Key) -> None:
        self._running = key
        if not self._counts:
            self._since_s = time.process_time()
            return
        if key not in self._profiles:
            self._profiles[key] = cProfile.Profile(builtins=False)
        self._profiles[key].enable()

    def _stop(self) -> None:
        key, self._running = self._running, None
        if key is None:
            return
        if self._counts:
            self._profiles[key].disable()
        else:
            spent_s = time.process_time() - self._since_s
            self.seconds[key] = self.seconds.get(key, 0.0) + spent_s

    def calls(self) -> dict[Key, int]:
        """Return function calls by kind, without those of the emulator in controllers' turns."""
        return {
            key: sum(
                entry.callcount
                for entry in profile.getstats()
                if "/emulator/" not in _file_of(entry.code)
            )
            for key, profile in self._profiles.items()
        }

    def functions(self, purpose: str, most: int) -> None:
        """Print which functions a steady leader's turns for this spend their time in."""
        profile = self._profiles.get(("steady", "leader", purpose))
        if profile is not None:
            pstats.Stats(profile).sort_stats("tottime").print_stats(most)


def _file_of(code: Any) -> str:
    return str(getattr(code, "co_filename", code))


def _request_of(method: str, path: str) -> str:
    if path == "/v1/report":
        return "report"
    if path.startswith("/submissions"):
        return "poll" if method == "GET" else "cancel" if path.endswith("/cancel") else "submission"
    return path


@contextmanager
def metered(meter: Meter) -> Iterator[None]:
    """Have the emulator's turns and requests entered."""
    handles = (emulated._Handle, emulated._Timer)
    before = [handle._run for handle in handles]
    answer, answer_peer = ControllerProcess._handle, ControllerProcess._answer_peer

    async def handle(node: ControllerProcess, method: str, path: str, body: bytes) -> Response:
        meter.request(_request_of(method, path))
        return await answer(node, method, path, body)

    async def handle_peer(node: ControllerProcess, ask: Any) -> Response:
        meter.request(f"passed on: {ask.kind}")
        return await answer_peer(node, ask)

    def metered_run(run: Callable[[Any], None]) -> Callable[[Any], None]:
        return lambda self: meter.turn(self, lambda: run(self))

    for kind, run in zip(handles, before, strict=True):
        kind._run = metered_run(run)  # type: ignore[method-assign]
    ControllerProcess._handle, ControllerProcess._answer_peer = handle, handle_peer  # type: ignore[method-assign]
    try:
        yield
    finally:
        for kind, run in zip(handles, before, strict=True):
            kind._run = run  # type: ignore[method-assign]
        ControllerProcess._handle, ControllerProcess._answer_peer = answer, answer_peer  # type: ignore[method-assign]


@dataclass
class Measured:
    """What the two plays of a site gave, by kind of turn."""

    calls: dict[Key, int]
    seconds: dict[Key, float]
    #: How many requests, or else turns, there were.
    counts: dict[Key, int]
    #: What machines saw in the steady phase.
    seen: Counter[str]
    meter: Meter


def measure(machines: int, seed: int, tunables: Tunables, *, cold: bool) -> Measured:
    """Play a site twice."""
    counting, seen = play(machines, seed, tunables, cold=cold, counts=True)
    timing, _ = play(machines, seed, tunables, cold=cold, counts=False)
    counts = {key: counting.requests[key] or turns for key, turns in counting.turns.items()}
    counts |= counting.requests
    return Measured(counting.calls(), timing.seconds, counts, seen, counting)


def play(
    machines: int, seed: int, tunables: Tunables, *, cold: bool, counts: bool
) -> tuple[Meter, Counter[str]]:
    """Play a site once; also return what machines saw in its steady phase."""
    meter = Meter("cold start" if cold else "takeover", counts=counts)
    seen: Counter[str] = Counter()
    with emulated.simulated() as loop, metered(meter):
        experiment = Experiment(loop, site(machines, cold=cold), seed, tunables)
        meter.watch(experiment)
        counted = experiment.checker.counts
        loop.call_at(emulated.BEGIN_S + STEADY_S, lambda: seen.subtract(counted))
        loop.call_at(emulated.BEGIN_S + FAULT_S, lambda: seen.update(counted))
        loop.run_until_complete(experiment.run())
        if experiment.checker.broken:
            click.echo(f"BROKEN {dict(experiment.checker.broken)}")
    return meter, seen


def show_phases(machines: int, measured: Measured) -> None:
    """Print what each role spent in each phase, a second."""
    lasts = {"start": STEADY_S, "steady": FAULT_S - STEADY_S}
    for phase, role in sorted({key[:2] for key in measured.calls}):
        lasts_s = lasts.get(phase, END_S - FAULT_S)
        keys = [key for key in measured.calls if key[:2] == (phase, role)]
        calls = sum(measured.calls[key] for key in keys) / lasts_s
        ms = sum(1e3 * measured.seconds.get(key, 0.0) for key in keys) / lasts_s
        whose = "leader" if role == "leader" else "all followers"
        click.echo(f"{machines:5} machines | {phase:10} | {whose:13} | "
            f"{calls:9.0f} calls a second | {ms:7.1f} ms a second")  # fmt: skip


def show_purposes(machines: int, measured: Measured) -> dict[str, float]:
    """Print what a steady leader's time went into; return the calls a second by purpose."""
    lasts_s = FAULT_S - STEADY_S
    costs = {key: n for key, n in measured.calls.items() if key[:2] == ("steady", "leader")}
    all_s = sum(measured.seconds.get(key, 0.0) for key in costs)
    click.echo(f"{machines:5} machines: {measured.seen['starts'] / lasts_s:.0f} starts, "
        f"{measured.seen['direct requests'] / lasts_s:.0f} direct requests a second")  # fmt: skip
    for key in sorted(costs, key=lambda key: -measured.seconds.get(key, 0.0))[:SHOWN]:
        count, seconds = measured.counts[key], measured.seconds.get(key, 0.0)
        click.echo(
            f"  {key[2]:24} | {seconds / all_s:6.1%} | {count / lasts_s:8.1f} a second | "
            f"{costs[key] / count:8.1f} calls, {1e6 * seconds / count:8.1f} us each"
        )
    return {key[2]: calls / lasts_s for key, calls in costs.items()}


def show_slopes(by_size: dict[int, dict[str, float]]) -> None:
    """Print the calls a second as a line over the machines: a constant and a slope."""
    sizes = sorted(by_size)
    mean = sum(sizes) / len(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    purposes = by_size[sizes[-1]]
    click.echo("a steady leader's calls a second: to begin with, and for each machine")
    for purpose in sorted(purposes, key=lambda name: -purposes[name])[:SHOWN]:
        found = [by_size[size].get(purpose, 0.0) for size in sizes]
        middle = sum(found) / len(found)
        slope = sum((s - mean) * (f - middle) for s, f in zip(sizes, found, strict=True)) / spread
        click.echo(f"  {purpose:24} | {middle - slope * mean:9.1f} | {slope:8.3f}")


@click.group()
def main() -> None:
    """Measure."""


@main.command("site")
@click.option("--machines", default="80,160,320,650", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--of", default="report", help="Whose functions are listed.")
@click.option("--functions", default=0, help="How many functions are listed; 0: none.")
@click.option("--cold/--no-cold", default=True, help="Whether a cold start is played as well.")
@click.option("--pause", default=50, show_default=True, help="``placement_pause``, in ms.")
def measure_site(machines: str, seed: int, of: str, functions: int, cold: bool, pause: int) -> None:
    """Count where the controllers' time goes; a size takes up to four minutes."""
    by_size: dict[int, dict[str, float]] = {}
    tunables = Tunables(placement_pause_us=pause * MILLISECOND_US)
    for count in map(int, machines.split(",")):
        measured = measure(count, seed, tunables, cold=False)
        show_phases(count, measured)
        by_size[count] = show_purposes(count, measured)
        if functions:
            measured.meter.functions(of, functions)
        if cold:
            show_phases(count, measure(count, seed, tunables, cold=True))
    if len(by_size) > 1:
        show_slopes(by_size)


# -- the transport -------------------------------------------------------------------------


def _report() -> Heartbeat:
    tasks = [ReportedTask(f"job-{number:08}/{number}", 7 << 20, "running") for number in range(4)]
    return Heartbeat("vm-000123", "127.0.0.1:1", "m4", "a", True, 17, 1_234, 7, tasks)


def _ask(port: int, body: bytes) -> None:
    """Send reports on several connections at a time, as a child process."""
    request = (
        b"POST /v1/report HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    ) + body
    asking = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
    for _ in range(REQUESTS // CONNECTIONS):
        for each in asking:
            each.sendall(request)
        for each in asking:
            each.recv(65_536)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _serve(port: int) -> None:
    """Answer direct commands, as a child process."""
    body = msgspec.json.encode(_report())

    async def answer(method: str, path: str, asked: bytes) -> Response:
        return Response(200, body)

    async def run() -> None:
        await HttpServer(answer).start(f"127.0.0.1:{port}")
        await asyncio.sleep(120.0)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


async def serve_reports() -> float:
    """Return the processor time of an answered report, without what is decided."""
    decoder, answer = msgspec.json.Decoder(Heartbeat), msgspec.json.encode(HeartbeatAnswer(7, []))
    left, done = REQUESTS, asyncio.Event()

    async def handle(method: str, path: str, body: bytes) -> Response:
        nonlocal left
        decoder.decode(body)
        left -= 1
        if not left:
            done.set()
        return Response(200, answer)

    port, server = _free_port(), HttpServer(handle)
    await server.start(f"127.0.0.1:{port}")
    child = Process(target=_ask, args=(port, msgspec.json.encode(_report())), daemon=True)
    child.start()
    began = time.process_time()
    await asyncio.wait_for(done.wait(), 60.0)
    spent = time.process_time() - began
    child.join(10.0)
    await server.close()
    return spent / REQUESTS


async def send_commands(*, close: bool) -> float:
    """Return the processor time of a direct request."""
    port, http = _free_port(), HttpClient(CONNECTIONS)
    child = Process(target=_serve, args=(port,), daemon=True)
    child.start()
    commands = [Command("run", "job-00000001/1", 7 << 20)]

    async def send() -> None:
        await worker_commands.send_commands(
            http, f"127.0.0.1:{port}", 7, 17, commands, 5_000_000, close=close
        )

    for _ in range(200):
        try:
            await send()
            break
        except Exception:
            await asyncio.sleep(0.05)
    began = time.process_time()
    for _ in range(REQUESTS // CONNECTIONS):
        await asyncio.gather(*(send() for _ in range(CONNECTIONS)))
    spent = time.process_time() - began
    child.terminate()
    child.join(10.0)
    await http.close()
    return spent / REQUESTS


@main.command("transport")
@click.option("--runs", default=5, show_default=True)
def measure_transport(runs: int) -> None:
    """Measure the HTTP server and client on loopback; the least of several runs."""
    for what, work in (
        ("a report answered", serve_reports),
        ("a direct request", lambda: send_commands(close=False)),
        ("a direct request on a connection of its own", lambda: send_commands(close=True)),
    ):
        least = float("inf")
        for _ in range(runs):
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                least = min(least, runner.run(work()))
        click.echo(f"{what}: {1e6 * least:.0f} us of processor time")


if __name__ == "__main__":
    logging.disable()
    if "PYTHONHASHSEED" not in os.environ:
        os.execve(
            sys.executable, [sys.executable, *sys.argv], {**os.environ, "PYTHONHASHSEED": "0"}
        )
    main()
