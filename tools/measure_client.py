"""Measurements of the client and the local site; docs/client.md has what they gave.

Ratios within one run, on this machine: `python3 tools/measure_client.py VERB --help`.
"""

import asyncio
import os
import random
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]
sys.path.append(str(ROOT / "target" / "extras"))

import click  # noqa: E402

from tests.support.stand_in_service import StandInService, in_a_thread  # noqa: E402
from weldhead.client.client import Client, ClientSettings  # noqa: E402
from weldhead.client.decisions import FailedCall, Step  # noqa: E402
from weldhead.client.endpoints import Endpoints  # noqa: E402
from weldhead.client.ids import new_id  # noqa: E402
from weldhead.client.job import Job  # noqa: E402
from weldhead.client.transport import Transport  # noqa: E402

JOB = Job(memory_gb=0.1, estimate_s=0.1)


@click.group()
def main() -> None:
    """Measure."""


class Site:
    """A local site of its own process."""

    def __init__(self, root: Path, cores: float | None = None) -> None:
        self.root = root
        arguments = [sys.executable, str(ROOT / "run.py"), "local", "--dir", str(root)]
        if cores:
            arguments += ["--cores", str(cores)]
        environment = {**os.environ, "LOG_LEVEL": "info"}
        with (root.parent / f"{root.name}.log").open("wb") as log:
            self.process = subprocess.Popen(
                arguments, stdout=log, stderr=subprocess.STDOUT, env=environment
            )
        end = time.monotonic() + 60
        while not (root / "address").exists():
            if time.monotonic() > end or self.process.poll() is not None:
                raise click.ClickException(f"the site did not start, see {root}.log")
            time.sleep(0.05)
        self.address = (root / "address").read_text().strip()

    def kill(self, part: str) -> bool:
        """Kill a part, as a crash does; false if it is not there."""
        try:
            os.kill(int((self.root / "pids" / part).read_text()), signal.SIGKILL)
        except ProcessLookupError:
            return False
        return True

    def end(self) -> None:
        """End the site in order."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(60)


async def _load(site: Site, count: int, window: int, kills: int, seed: int) -> dict[str, float]:
    runs = site.root.parent / f"{site.root.name}.runs"
    runs.touch()
    job = Job(
        command=("sh", "-c", f"echo $WELDHEAD_JOB >> {runs}"),
        cpus=0.004,
        memory_gb=0.004,
        estimate_s=0.1,
    )
    chance = random.Random(seed)
    settings = ClientSettings([site.address], site.root.parent / f"{site.root.name}.db")
    done = Counter[str]()

    async def kill_them() -> None:
        killed = 0
        while killed < kills:
            await asyncio.sleep(chance.uniform(1.0, 4.0))
            # One that is just being started again is killed as soon as it is there.
            while not site.kill(f"controller-{killed % 3}"):  # noqa: ASYNC110 - a process
                await asyncio.sleep(0.1)
            killed += 1
            done["kills"] = killed

    began = time.monotonic()
    async with Client(settings) as client:
        killer = asyncio.create_task(kill_them())
        ids = set()
        slots = asyncio.Semaphore(window)

        async def one() -> None:
            async with slots:
                answer = await client.wait(await client.submit(job), 600)
            done[answer.outcome.value] += 1
            ids.add(answer.id)
            if done["done"] % 2000 == 0:
                took = time.monotonic() - began
                click.echo(f"  {done['done']} done after {took:.0f} s", err=True)

        await asyncio.gather(*(one() for _ in range(count)))
        took = time.monotonic() - began
        killer.cancel()
        if not killer.cancelled() and killer.done():
            killer.result()
        counts = client.telemetry.counts
    lines = Counter(runs.read_text().split())
    return {
        "took": took,
        "done": done["done"],
        "lost": count - sum(job_id in lines for job_id in ids),
        "run twice": sum(times > 1 for times in lines.values()),
        "strangers": len(set(lines) - ids),
        "tries": sum(n for name, n in counts.items() if name.startswith("tries")),
        "failures": counts["failures"],
        "retries": counts["retries"],
        "kills": done["kills"],
    }


@main.command()
@click.option("--jobs", default=20_000)
@click.option("--kills", default=15, help="Of controllers, in turn, 1 to 4 s apart.")
@click.option("--window", default=1_000, help="How many are under way at once.")
@click.option("--seed", default=1)
def load(jobs: int, kills: int, window: int, seed: int) -> None:
    """Small jobs through three controllers, without and with kills."""
    with tempfile.TemporaryDirectory(dir=ROOT / "target") as folder:
        results = []
        for name, times in (("calm", 0), ("killed", kills)):
            site = Site(Path(folder) / name)
            try:
                results.append(asyncio.run(_load(site, jobs, window, times, seed)))
            finally:
                site.end()
            click.echo(f"{name}: {results[-1]}")
        click.echo(f"time with kills / without: {results[1]['took'] / results[0]['took']:.2f}")


@main.command()
@click.option("--jobs", default=5_000)
def journal(jobs: int) -> None:
    """What the journal costs a submission, against the same requests without one."""
    service = StandInService()
    service.done_after = -1

    async def without(address: str) -> float:
        transport = Transport(Endpoints([address]), 64)
        slots = asyncio.Semaphore(64)

        async def one() -> None:
            async with slots:
                job_id = new_id()
                reply = await transport.try_step(Step.SUBMIT, job_id, JOB.body(job_id))
                assert not isinstance(reply, FailedCall)

        began = time.monotonic()
        await asyncio.gather(*(one() for _ in range(jobs)))
        took = time.monotonic() - began
        await transport.close()
        return took

    async def with_one(address: str, path: Path) -> float:
        async with Client(ClientSettings([address], path)) as client:
            began = time.monotonic()
            keys = await client.submit_many((None, JOB) for _ in range(jobs))
            await asyncio.gather(*(client.accepted(key) for key in keys))
            return time.monotonic() - began

    async def single(address: str, path: Path) -> tuple[float, float]:
        transport = Transport(Endpoints([address]), 64)
        began = time.monotonic()
        for _ in range(200):
            job_id = new_id()
            await transport.try_step(Step.SUBMIT, job_id, JOB.body(job_id))
        plain = time.monotonic() - began
        await transport.close()
        async with Client(ClientSettings([address], path)) as client:
            began = time.monotonic()
            for _ in range(200):
                await client.accepted(await client.submit(JOB))
            return plain, time.monotonic() - began

    with in_a_thread(service) as address, tempfile.TemporaryDirectory(dir=ROOT / "target") as at:
        plain = asyncio.run(without(address))
        kept = asyncio.run(with_one(address, Path(at) / "many.db"))
        click.echo(f"{jobs} at once: time with journal / without {kept / plain:.2f}")
        plain, kept = asyncio.run(single(address, Path(at) / "one.db"))
        click.echo(f"200 one after the other: time with journal / without {kept / plain:.2f}")


@main.command()
@click.option("--jobs", default=10_000)
def memory(jobs: int) -> None:
    """What a thousand waiting submissions take in memory."""
    service = StandInService()
    service.done_after = -1

    async def run(address: str, path: Path) -> None:
        async with Client(ClientSettings([address], path)) as client:
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            keys = await client.submit_many((None, JOB) for _ in range(jobs))
            await asyncio.gather(*(client.accepted(key) for key in keys))
            after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            # The stand-in keeps each body in the same process: some 0.6 KB a job of this.
            each = (after - before) / jobs * 1000
            click.echo(f"{jobs} waiting: {each:.0f} KB a thousand, stand-in's share included")

    with in_a_thread(service) as address, tempfile.TemporaryDirectory(dir=ROOT / "target") as at:
        asyncio.run(run(address, Path(at) / "journal.db"))


@main.command()
@click.option("--jobs", default=1_000)
@click.option("--seconds", default=60.0, help="How long the service answers 503.")
def outage(jobs: int, seconds: float) -> None:
    """Tries that reach a service in an outage, with and without the retry budget."""

    async def run(address: str, path: Path, service: StandInService, rate: float | None) -> None:
        began = time.monotonic()
        last = 0.0

        def before(verb: str) -> None:
            if time.monotonic() - began < seconds:
                service.fates[:] = ["503"]

        service.before = before
        settings = ClientSettings([address], path, retries_per_s=rate)
        async with Client(settings) as client:
            keys = await client.submit_many((None, JOB) for _ in range(jobs))
            await asyncio.sleep(seconds - (time.monotonic() - began))
            during = service.calls["submit"]
            await asyncio.gather(*(client.accepted(key) for key in keys))
            last = time.monotonic() - began - seconds
        name = "without a budget" if rate is None else f"budget of {rate:g} a second"
        click.echo(
            f"{name}: {during} tries in the outage, {service.calls['submit']} for {jobs} answers"
            f" ({service.calls['submit'] / jobs:.2f} an answer), last answer {last:.1f} s after it"
        )

    for rate in (None, 5.0):
        service = StandInService()
        service.done_after = -1
        with (
            in_a_thread(service) as address,
            tempfile.TemporaryDirectory(dir=ROOT / "target") as at,
        ):
            asyncio.run(run(address, Path(at) / "journal.db", service, rate))


if __name__ == "__main__":
    main()
