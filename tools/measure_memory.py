#!/usr/bin/env python3
"""Where the memory of a controller goes: its modules, what it keeps for each thing, its terms.

    target/dev/bin/python tools/measure_memory.py modules
    target/dev/bin/python tools/measure_memory.py processes
    target/dev/bin/python tools/measure_memory.py slopes
    target/dev/bin/python tools/measure_memory.py terms

Real processes and the service's own objects on this machine; only machines, tasks and the state
service are stand-ins. "Python" is what Python's allocator was asked for (tracemalloc), "resident"
what the kernel counts for the process. Every part ends by itself within a minute or two.
docs/performance.md has what they gave.
"""

import asyncio
import gc
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, Protocol

ROOT = Path(__file__).resolve().parent.parent
PATHS = [str(ROOT / part) for part in ("target/deps", ".", "target/extras")]
sys.path[:0] = PATHS

import click  # noqa: E402

KIB = 1024
#: How long a real process is left alone before it is looked at, and a site at most to come up.
SETTLED_S = 6.0
SITE_UP_S = 60.0
#: The begin of a new leader's log line.
ELECTION_WON = "leader election won"
#: The address of connections to many hosts: every one of 127.0.0.0/8 is this machine.
LOOPBACK = "127.{}.{}.1"


class Resident(NamedTuple):
    """What the kernel counts for a process, in KiB."""

    total: int
    anonymous: int
    file: int
    peak: int

    def __str__(self) -> str:
        megabytes = (f"{part / KIB:5.1f}" for part in self)
        return "resident {} MB (own {}, of files {}), peak {}".format(*megabytes)


def resident(pid: int | str = "self") -> Resident:
    """Return what the kernel counts for a process."""
    found = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, rest = line.partition(":")
        if rest.endswith(" kB"):
            found[name] = int(rest.split()[0])
    return Resident(*(found[name] for name in ("VmRSS", "RssAnon", "RssFile", "VmHWM")))


@click.group()
def main() -> None:
    """Measure where a controller's memory goes."""


# -- modules ----------------------------------------------------------------------------------

#: Runs in a process of its own: what loading each module costs, those that it loads left out.
MODULES_PROGRAM = """
import json, sys, tracemalloc
sys.path[:0] = PATHS
PAGE_KIB = 4

def rss():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_KIB

bare = rss()
TRACE and tracemalloc.start()
stack, costs = [], {}

def measured(load, name):
    def run(*arguments):
        before = rss(), tracemalloc.get_traced_memory()[0]
        stack.append([0, 0])
        try:
            return load(*arguments)
        finally:
            nested = stack.pop()
            whole = rss() - before[0], tracemalloc.get_traced_memory()[0] - before[1]
            old = costs.get(name, (0, 0))
            costs[name] = tuple(o + w - n for o, w, n in zip(old, whole, nested))
            if stack:
                stack[-1] = [n + w for n, w in zip(stack[-1], whole)]
    return run

class Finder:
    def find_spec(self, name, path, target=None):
        for finder in sys.meta_path[1:]:
            spec = finder.find_spec(name, path, target)
            if spec is not None:
                break
        else:
            return None
        # Built-in and frozen modules have one loader for all, which is a class.
        if spec.loader is not None and not isinstance(spec.loader, type):
            for what in ("create_module", "exec_module"):
                setattr(spec.loader, what, measured(getattr(spec.loader, what), name))
        return spec

sys.meta_path.insert(0, Finder())
import weldhead.clock
from weldhead.serving import run_for_platform
run_for_platform("/nonexistent")
sys.meta_path.pop(0)
print(json.dumps([bare, rss(), len(sys.modules), costs]))
"""


def _modules(trace: bool) -> tuple[int, int, int, dict[str, tuple[int, int]]]:
    program = MODULES_PROGRAM.replace("PATHS", repr(PATHS)).replace("TRACE", repr(trace))
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=120, check=True
    )
    bare, whole, count, costs = json.loads(done.stdout)
    return bare, whole, count, costs


@main.command()
@click.option("--top", default=24, help="So many packages are named, the others summed up.")
@click.option("--single", is_flag=True, help="By module instead of by package.")
def modules(top: int, single: bool) -> None:
    """What `serve` loads before it reads its settings, by package."""
    _, _, _, traced = _modules(trace=True)
    bare, whole, count, costs = _modules(trace=False)
    rows: dict[str, list[float]] = defaultdict(lambda: [0, 0, 0])
    for name, (kib, _) in costs.items():
        row = rows[name if single else name.partition(".")[0]]
        row[0] += 1
        row[1] += traced.get(name, (0, 0))[1] / KIB
        row[2] += kib
    click.echo("package | modules | Python, KB | resident, KB")
    ordered = sorted(rows.items(), key=lambda item: -item[1][2])
    rest = [sum(column) for column in zip(*(row for _, row in ordered[top:]), strict=True)]
    named = [*ordered[:top], ("others", rest or [0, 0, 0])]
    for package, row in named:
        click.echo(f"{package:28} | {row[0]:7.0f} | {row[1]:10.0f} | {row[2]:10.0f}")
    click.echo(f"interpreter before: {bare} KB; after all {count} modules: {whole} KB")


# -- processes --------------------------------------------------------------------------------


def _free_ports(count: int) -> list[int]:
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def _idle_settings() -> dict[str, Any]:
    """Return the settings of a controller whose peer, cloud and state service are not there."""
    from tests.support.settings import SETTINGS

    document: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    addresses = [f"127.0.0.1:{port}" for port in _free_ports(5)]
    document["serve_on"], document["internal_addr"] = addresses[:2]
    document["seeds"] = [{"label": "n-1", "domain": "a", "endpoint": addresses[2]}]
    document["external"] = {"cloud": addresses[3], "state": addresses[4]}
    return document


def _idle_controller(folder: Path) -> Resident:
    config = folder / "settings.json"
    config.write_text(json.dumps(_idle_settings()))
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "run.py"), "--config", str(config)],
        stderr=subprocess.DEVNULL, env={**os.environ, "LOG_LEVEL": "error"},
    )  # fmt: skip
    try:
        time.sleep(SETTLED_S)
        if process.poll() is not None:
            raise click.ClickException("the controller has ended")
        return resident(process.pid)
    finally:
        process.kill()
        process.wait()


def _site_controllers(folder: Path) -> dict[str, Resident]:
    """Return what the controllers of a local site take, by what each is."""
    root = folder / "site"
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "run.py"), "local", "--dir", str(root), "--controllers", "3"],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        env={**os.environ, "LOG_LEVEL": "info"},
    )  # fmt: skip
    try:
        until = time.monotonic() + SITE_UP_S
        while not (led := [p for p in root.glob("log/*.log") if ELECTION_WON in p.read_text()]):
            if time.monotonic() > until or process.poll() is not None:
                raise click.ClickException("the local site does not come up")
            time.sleep(0.2)
        time.sleep(SETTLED_S)
        leader, found = led[-1].stem, {}
        for place in sorted((root / "pids").iterdir()):
            pid = place.read_text().strip()
            if b"--config" in Path(f"/proc/{pid}/cmdline").read_bytes():
                what = "leader" if place.name == leader else "follower"
                found[f"{what} {place.name}"] = resident(pid)
        return found
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(30)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@main.command()
@click.option("--repeats", default=3, help="How many idle controllers, one after another.")
@click.option("--site/--no-site", default=True, help="Also three controllers of a local site.")
def processes(repeats: int, site: bool) -> None:
    """Real controllers at rest: one that reaches nobody, and those of a local site."""
    with tempfile.TemporaryDirectory() as name:
        found = [_idle_controller(Path(name)) for _ in range(repeats)]
        middle = Resident(*(round(statistics.median(part)) for part in zip(*found, strict=True)))
        click.echo(f"idle, median of {repeats}: {middle}")
        click.echo(f"  each, resident KB: {[one.total for one in found]}")
        if site:
            for what, one in _site_controllers(Path(name)).items():
                click.echo(f"{what}: {one}")


# -- slopes -----------------------------------------------------------------------------------


class Kept(NamedTuple):
    """What building so many things has left, and the most there was, in bytes."""

    now: int
    peak: int


#: Says to a process that measures whether to trace Python's allocator, which takes memory itself.
TRACED = "WELDHEAD_TRACED"


class Meter:
    """What this process has taken since the meter was made."""

    def __init__(self) -> None:
        gc.collect()
        self._traced = bool(os.environ.get(TRACED))
        self._before = resident()
        if self._traced:
            tracemalloc.start()

    def read(self) -> Kept:
        """Return what it is, after a collection, and what it was at most."""
        if not self._traced:
            gc.collect()
            now = resident()
            taken = now.anonymous - self._before.anonymous, now.peak - self._before.peak
            return Kept(*(KIB * kib for kib in taken))
        peak = tracemalloc.get_traced_memory()[1]
        gc.collect()
        return Kept(tracemalloc.get_traced_memory()[0], peak)


def kept_by(build: Callable[[], object]) -> Kept:
    """Build something and see what it takes while it is kept."""
    meter = Meter()
    thing = build()
    found = meter.read()
    del thing
    return found


class Line(NamedTuple):
    """A straight line through what was measured, and the furthest any point is from it."""

    slope: float
    constant: float
    residual: float


def line_through(sizes: list[int], values: list[int]) -> Line:
    """Fit a line by least squares."""
    slope, constant = statistics.linear_regression(sizes, values)
    apart = (abs(v - constant - slope * s) for s, v in zip(sizes, values, strict=True))
    return Line(slope, constant, max(apart))


def _machines(count: int) -> Kept:
    """Return a leader that has loaded that many machines and answered a report of each."""
    from tests.support.leaders import leader_of, put_machine
    from tests.support.stand_ins import StandInState
    from weldhead.clock import now_us

    state = StandInState()
    workers = [put_machine(state, f"vm-{number:06}") for number in range(count)]
    leader = leader_of(state, now_us())

    def build() -> object:
        async def load() -> None:
            await leader.recovery.load()
            for worker in workers:
                leader.handle_heartbeat(worker.report(), now_us(), relayed=False)

        asyncio.run(load())
        return leader

    return kept_by(build)


def _jobs(tasks: int) -> Callable[[int], Kept]:
    """Return what measures a leader's load of that many jobs, put in order, of so many tasks."""

    def measure(count: int) -> Kept:
        from tests.support.builders import job_spec
        from tests.support.leaders import leader_of, put_job
        from tests.support.stand_ins import StandInState
        from weldhead.clock import now_us

        state = StandInState()
        for number in range(count):
            put_job(state, job_spec(number, tasks=tasks))
        leader = leader_of(state, now_us())

        def build() -> object:
            asyncio.run(_load(leader))
            return leader

        return kept_by(build)

    return measure


async def _load(leader: Any) -> None:
    """Let a new leader read the store and put what waits in order."""
    await leader.recovery.load()
    await leader.deciding.fill_scene()


def _attempts(ended: bool) -> Callable[[int], Kept]:
    """Return what measures that many started tasks; ``ended``: that have completed since."""

    def measure(count: int) -> Kept:
        from tests.support.builders import add_job, add_machine, cluster, job_spec

        into = cluster()
        machines = [add_machine(into, f"vm-{n:06}", cpus=64.0, memory_gb=512.0) for n in range(64)]
        job = add_job(into, job_spec(1, cpus=0.01, memory_gb=0.01, tasks=16_000))

        def build() -> object:
            for index in range(count):
                attempt = into.start(job, index, machines[index % 64], 1)
                if ended:
                    into.release(attempt, completed=True)
            return into

        return kept_by(build)

    return measure


def _teams(count: int) -> Kept:
    """Return what that many teams take: their limits, their use and their share of admission."""
    from weldhead.admission.team_rate_limiter import TeamRateLimiter
    from weldhead.cluster_state.cluster import Cluster
    from weldhead.protocol.settings import Team

    def build() -> object:
        into, shares = (
            Cluster([Team(f"team-{n}", 8.0, 100.0) for n in range(count)]),
            TeamRateLimiter(8.0),
        )
        for name in into.teams:
            _ = into.usage[name].units
            shares.admit(name, 10.0, 1)
        return into, shares

    return kept_by(build)


def _submissions(count: int) -> Kept:
    """Submit that many jobs to a follower; what is kept of them there."""
    import msgspec

    from tests.support.stand_ins import StandInState
    from tests.support.submissions import GOOD
    from tests.support.users import StandInNode, desk

    class Counting(StandInState):
        """Keeps nothing, so that only the front desk's memory is measured."""

        async def transact(self, *_: Any, **__: Any) -> int:
            return 7

    front = desk(Counting(), StandInNode())
    # All at once: the share of each team would be used up after some.
    front.submissions.limiter.admit = lambda *_: 0  # type: ignore[method-assign]
    bodies = [msgspec.json.encode(GOOD | {"uid": f"run-{n:06}"}) for n in range(count)]

    def build() -> object:
        async def submit() -> None:
            for body in bodies:
                answer = await front.submit(body)
                assert answer.status == 201, answer

        asyncio.run(submit())
        return front

    return kept_by(build)


async def _ready(*_: object) -> Any:
    from weldhead.transport.http_server import Response

    return Response(200, b"{}")


class Closing(Protocol):
    """Connections that somebody holds open."""

    async def close(self) -> None:
        """Close them."""


def _with_server(talk: Callable[[int], Awaitable[Closing]]) -> Kept:
    """Let ``talk`` open connections to a server of ours, and see what both ends take."""
    import uvloop

    from weldhead.transport.http_server import HttpServer

    async def run() -> Kept:
        server, port = HttpServer(_ready), _free_ports(1)[0]
        await server.start(f"0.0.0.0:{port}")
        meter = Meter()
        opened = await talk(port)
        found = meter.read()
        await opened.close()
        await server.close()
        return found

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def _incoming(count: int) -> Kept:
    """Open connections that have each asked once and are kept; the other ends are bare sockets."""

    class Sockets(list[socket.socket]):
        async def close(self) -> None:
            for one in self:
                one.close()

    async def talk(port: int) -> Closing:
        loop, opened = asyncio.get_running_loop(), Sockets()
        for _ in range(count):
            one = socket.socket()
            one.setblocking(False)
            await loop.sock_connect(one, ("127.0.0.1", port))
            await loop.sock_sendall(one, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            await loop.sock_recv(one, 1_000)
            opened.append(one)
        return opened

    return _with_server(talk)


def _both_ends(count: int) -> Kept:
    """Call that many hosts and keep the connections; what an incoming one costs is in it."""
    from weldhead.transport.http_client import HttpClient

    async def talk(port: int) -> Closing:
        client = HttpClient(8)
        for number in range(count):
            host = LOOPBACK.format(number // 250, number % 250 + 1)
            await client.call("GET", f"http://{host}:{port}/ready", None, 5_000_000)
        return client

    return _with_server(talk)


MEASURES: dict[str, tuple[Callable[[int], Kept], list[int]]] = {
    "machine, reported once": (_machines, [250, 500, 1_000, 2_000]),
    "job of 1 task, waiting": (_jobs(1), [1_000, 2_000, 4_000, 8_000]),
    "job of 100 tasks, waiting": (_jobs(100), [1_000, 2_000, 4_000, 8_000]),
    "attempt": (_attempts(ended=False), [2_000, 4_000, 8_000, 16_000]),
    "attempt that is over": (_attempts(ended=True), [2_000, 4_000, 8_000, 16_000]),
    "team": (_teams, [50, 100, 200, 400]),
    "submission, follower": (_submissions, [500, 1_000, 2_000, 4_000]),
    "connection, incoming": (_incoming, [50, 100, 200, 400]),
    "connection, both ends": (_both_ends, [50, 100, 200, 400]),
}


@main.command()
@click.option("--only", default="", help="Only what has this in its name.")
def slopes(only: str) -> None:
    """Bytes for each thing more, over four sizes, each in a process of its own."""
    click.echo("thing | Python, bytes each | constant, KB | residual, KB | peak | resident")
    for name, (_, sizes) in MEASURES.items():
        if only not in name:
            continue
        traced = [_in_process(name, size, traced="1") for size in sizes]
        kept, peak = (line_through(sizes, list(part)) for part in zip(*traced, strict=True))
        held = line_through(sizes, [_in_process(name, size, traced="").now for size in sizes])
        click.echo(
            f"{name:26} | {kept.slope:8.0f} | {kept.constant / KIB:8.0f} | "
            f"{kept.residual / KIB:7.0f} | {peak.slope:8.0f} | {held.slope:8.0f}"
        )


def _in_process(name: str, size: int, traced: str) -> Kept:
    done = subprocess.run(
        [sys.executable, __file__, "one", name, str(size)], env={**os.environ, TRACED: traced},
        capture_output=True, text=True, timeout=120, check=True,
    )  # fmt: skip
    return Kept(*json.loads(done.stdout))


@main.command(hidden=True)
@click.argument("name")
@click.argument("size", type=int)
def one(name: str, size: int) -> None:
    """Measure one thing at one size; prints what is kept and the peak."""
    measure, _ = MEASURES[name]
    click.echo(json.dumps(measure(size)))


# -- terms ------------------------------------------------------------------------------------


@main.command()
@click.option("--machines", default=1_400)
@click.option("--jobs", default=2_000)
@click.option("--tasks", default=12, help="Of each job; all of them are started.")
def terms(machines: int, jobs: int, tasks: int) -> None:
    """A leader's term from its load to its end; what of it stays when it is over."""
    done = subprocess.run(
        [sys.executable, __file__, "one-term", str(machines), str(jobs), str(tasks)],
        capture_output=True, text=True, timeout=300, check=True,
    )  # fmt: skip
    click.echo(done.stdout.rstrip())


@main.command(hidden=True)
@click.argument("machines", type=int)
@click.argument("jobs", type=int)
@click.argument("tasks", type=int)
def one_term(machines: int, jobs: int, tasks: int) -> None:
    """Print the resident memory at each stage of a term."""
    import weldhead.controller.process  # noqa: F401
    from tests.support.builders import job_spec
    from tests.support.leaders import leader_of, put_job, put_machine
    from tests.support.stand_ins import StandInState
    from weldhead.clock import now_us

    state = StandInState()
    state.page = 1_000
    for number in range(machines):
        put_machine(state, f"vm-{number:06}")
    for number in range(jobs):
        put_job(state, job_spec(number, tasks=tasks, cpus=0.01, memory_gb=0.01))
    gc.collect()
    gc.freeze()
    at_rest = resident().anonymous

    def say(stage: str) -> None:
        now = resident()
        click.echo(
            f"{stage:44} {(now.anonymous - at_rest) / KIB:7.1f} MB more than before the term, "
            f"peak {now.peak / KIB:.1f} MB of all"
        )

    leader = leader_of(state, now_us())
    say("won")
    asyncio.run(_load(leader))
    say("loaded")
    into = leader.cluster
    places = list(into.machines.values())
    for number, job in enumerate(list(into.jobs.values())):
        for index in range(tasks):
            into.start(job, index, places[(number * tasks + index) % machines], now_us())
    say(f"{jobs * tasks} tasks started")
    asyncio.run(leader.close())
    del leader, into, places, job
    say("lost, references dropped")
    began = time.perf_counter()
    gc.collect()
    took_ms = 1e3 * (time.perf_counter() - began)
    say(f"after a collection of {took_ms:.0f} ms")


if __name__ == "__main__":
    main()
