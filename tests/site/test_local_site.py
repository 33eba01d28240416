"""A whole site of real processes: jobs, chains, crashes of every part, an orderly end."""

import asyncio
import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.paths import ROOT
from tests.support.stand_in_service import CuttingProxy
from weldhead.client.answers import Outcome
from weldhead.client.client import Client, ClientSettings
from weldhead.client.job import Job
from weldhead.site import guard

DESCRIPTION = """
[controllers]
count = 3
tunables = {tunables!r}

[workers]
report_s = 0.5
lease_s = 3.0
cancel_s = 10.0

[[machines]]
name = "two"
cpus = 2.0
memory_gb = 4.0
boot_s = 1.0

[[teams]]
name = "default"
cpus = "all"
"""


class Site:
    """A local site under a temporary directory."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.root = folder, folder / "site"
        description = folder / "site.toml"
        description.write_text(DESCRIPTION.format(tunables=str(ROOT / "deploy/local.weld")))
        self.out = (folder / "out").open("wb")
        self.arguments = ["local", "--dir", str(self.root), "--cores", "4"]
        self.arguments += ["--description", str(description)]
        self.start()

    def start(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "run.py"), *self.arguments],
            stdout=self.out,
            stderr=subprocess.STDOUT,
            env={**os.environ, "LOG_LEVEL": "info"},
        )
        wait_for(lambda: (self.root / "address").exists() or self.process.poll() is not None, 30)
        assert self.process.poll() is None, (self.folder / "out").read_text()
        self.address = (self.root / "address").read_text().strip()

    def pid(self, part: str) -> int:
        return int((self.root / "pids" / part).read_text())

    def machines(self) -> list[int]:
        """The processes of the machines' workers."""
        return processes(f"site-worker --settings {self.root}")

    def marks(self) -> list[str]:
        site = json.loads((self.root / "identity.json").read_text())["site"]
        names = [path.name for path in (self.root / "machines").iterdir()]
        return [f"{site}/{name}" for name in names]

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.process.wait(30)
        self.out.close()


def processes(words: str) -> list[int]:
    found = []
    for name in os.listdir("/proc"):
        if name.isdecimal():
            with contextlib.suppress(OSError):
                line = Path(f"/proc/{name}/cmdline").read_bytes().replace(b"\0", b" ")
                if words in line.decode("utf-8", "replace"):
                    found.append(int(name))
    return found


def wait_for(condition: Any, limit_s: float) -> None:
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "not in time"
        time.sleep(0.02)


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    made = Site(tmp_path_factory.mktemp("local"))
    yield made
    made.end()


def client(site: Site, name: str, *addresses: str) -> Client:
    return Client(ClientSettings(list(addresses) or [site.address], site.folder / f"{name}.db"))


def weldhead(site: Site, *arguments: str) -> subprocess.CompletedProcess[str]:
    environment = {
        **os.environ,
        "WELDHEAD_SERVER": site.address,
        "WELDHEAD_JOURNAL": str(site.folder / "cli.db"),
        "WELDHEAD_CONFIG": os.devnull,
    }
    return subprocess.run(
        [sys.executable, str(ROOT / "run.py"), *arguments],
        capture_output=True, text=True, timeout=60, env=environment,
    )  # fmt: skip


def test_the_command_line_on_a_fresh_site(site: Site) -> None:
    done = weldhead(site, "submit", "--cpus", "1", "--memory-gb", "0.1", "--wait", "--", "true")
    assert done.returncode == 0, done.stderr
    assert done.stdout.endswith(": done\n")
    script = "echo task $WELDHEAD_TASK of $WELDHEAD_JOB; exit $((WELDHEAD_TASK * 7))"
    failed = weldhead(
        site, "submit", "--key", "k", "--tasks", "2", "--memory-gb", "0.1", "--wait", "--json",
        "--", "sh", "-c", script,
    )  # fmt: skip
    assert failed.returncode == 1
    answer = json.loads(failed.stdout.splitlines()[-1])
    assert answer["outcome"] == "withdrawn"
    told = answer["runs"][0]["failed"]
    assert re.fullmatch("task 1 failed [3-9] times, last with exit code 7", told)
    logs = weldhead(site, "logs", "k/1")
    assert logs.stdout == f"task 1 of {answer['id']}\n"
    attempts = weldhead(site, "logs", f"{answer['id']}/1", "--attempts").stdout.splitlines()
    assert [json.loads(line).get("code") for line in attempts][:3] == [7, 7, 7]
    refused = weldhead(site, "submit", "--cpus", "64", "--", "true")
    assert refused.returncode == 3
    assert "refused with 422" in refused.stdout
    other = weldhead(site, "submit", "--key", "k", "--tasks", "3", "--", "true")
    assert other.returncode == 2
    assert "tasks: 2 before, 3 now" in other.stderr


def test_a_chain_runs_in_order_and_a_service_runs_until_it_is_cancelled(site: Site) -> None:
    async def run() -> None:
        async with client(site, "chain") as one:
            log = site.folder / "chain"
            say = Job(command=("sh", "-c", f"sleep 0.3; echo $0 >> {log}", "first"), memory_gb=0.1)
            first = await one.submit(say)
            await one.accepted(first, 20)
            then = Job(
                command=("sh", "-c", f"echo $0 >> {log}", "then"),
                memory_gb=0.1,
                waits_on=(first,),
            )
            assert (await one.wait(await one.submit(then), 40)).outcome is Outcome.DONE
            assert log.read_text() == "first\nthen\n"
            # Two replicas, each with a child of its own, gone when this is answered and after.
            service = Job(
                command=("sh", "-c", "sleep 1000 & wait"),
                memory_gb=0.1,
                tasks=2,
                cpus=0.5,
                service=True,
            )
            key = await one.submit(service)
            await one.accepted(key, 20)

            def up() -> int:
                return sum(len(guard.find_marked_processes(mark)) for mark in site.marks())

            await asyncio.to_thread(wait_for, lambda: up() == 4, 20)
            assert (await one.cancel(key, 20)).outcome is Outcome.WITHDRAWN
            await asyncio.to_thread(wait_for, lambda: up() == 0, 10)

    asyncio.run(asyncio.wait_for(run(), 90))


def test_controllers_killed_between_acceptance_and_acknowledgement(site: Site) -> None:
    """Each submission's first answer is lost, together with all controllers: accepted once."""

    async def run() -> None:
        proxy = CuttingProxy(site.address)
        killed: set[int] = set()

        def on_answer(verb: str) -> bool:
            if verb != "submit" or len(killed) >= 9:
                return False
            pids = {site.pid(f"controller-{n}") for n in range(3)}
            if pids & killed:
                return False
            for pid in pids:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            killed.update(pids)
            return True

        proxy.on_answer = on_answer
        marks = site.folder / "killed"
        marks.mkdir()
        job = Job(
            command=("sh", "-c", f"echo $WELDHEAD_ATTEMPT >> {marks}/$WELDHEAD_JOB"),
            memory_gb=0.1,
            cpus=0.2,
        )
        async with proxy.serve() as address, client(site, "killed", address) as one:
            # Descriptions go another way: the proxy knows users' requests only.
            keys = []
            for number in range(12):
                keys.append(await one.submit(job, f"killed-{number}"))
                await one.accepted(keys[-1], 30)
            answers = [answer async for answer in one.wait_many(keys, 60)]
        assert len(killed) == 9
        assert Counter(answer.outcome for answer in answers) == {Outcome.DONE: 12}
        assert any(answer.runs[0].tries > 1 for answer in answers)
        ran = {path.name: path.read_text().split() for path in marks.iterdir()}
        assert set(ran) == {answer.id for answer in answers}
        assert all(len(times) == 1 for times in ran.values())

    asyncio.run(asyncio.wait_for(run(), 120))


def test_200_tasks_while_every_part_is_killed(site: Site) -> None:
    """Each task says once that it is complete: none is lost, none is doubled."""

    async def run() -> None:
        outputs = site.folder / "outputs"
        outputs.mkdir()
        # The last act of a task is to put its result in place, at once or not at all.
        script = (
            "sleep 0.2; f=$WELDHEAD_JOB-$WELDHEAD_TASK.$WELDHEAD_ATTEMPT; "
            f'echo x > "$PWD/x" && exec mv "$PWD/x" {outputs}/$f'
        )
        job = Job(command=("sh", "-c", script), memory_gb=0.02, cpus=0.1, tasks=50, estimate_s=0.3)
        async with client(site, "parts") as one:
            keys = await one.submit_many((f"parts-{number}", job) for number in range(4))
            for key in keys:
                await one.accepted(key, 30)
            for part in ("controller-0", "front", "pool", "state", "controller-1", "worker",
                         "guard", "controller-2"):  # fmt: skip
                await asyncio.sleep(0.4)
                kill(site, part)
            answers = [answer async for answer in one.wait_many(keys, 120)]
        assert Counter(answer.outcome for answer in answers) == {Outcome.DONE: 4}
        made = Counter(path.name.partition(".")[0] for path in outputs.iterdir())
        assert len(made) == 200, "lost"
        assert set(made.values()) == {1}, "doubled"

    def kill(site: Site, part: str) -> None:
        if part in ("worker", "guard"):
            name = json.loads((site.root / "identity.json").read_text())["site"]
            worker, guards = f"site-worker --settings {site.root}", f"guard.py {name}/"
            words = worker if part == "worker" else guards
            # A machine whose worker was killed a moment ago is just coming back.
            wait_for(lambda: processes(words), 10)
            pids = processes(words)[:1]
        else:
            pids = [site.pid(part)]
        for pid in pids:
            os.kill(pid, signal.SIGKILL)

    asyncio.run(asyncio.wait_for(run(), 180))


def test_a_second_site_in_the_same_directory_is_refused(site: Site) -> None:
    done = subprocess.run(
        [sys.executable, str(ROOT / "run.py"), *site.arguments],
        capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 1
    assert "a site runs here already" in done.stderr


def test_a_killed_keeper_leaves_nothing_and_the_next_site_has_its_jobs(site: Site) -> None:
    async def accepted() -> str:
        async with client(site, "keeper") as one:
            key = await one.submit(Job(command=("sleep", "3"), memory_gb=0.1), "long")
            await one.accepted(key, 20)
            await asyncio.to_thread(
                wait_for,
                lambda: any(guard.find_marked_processes(mark) for mark in site.marks()),
                20,
            )
            return key

    key = asyncio.run(asyncio.wait_for(accepted(), 60))
    site.process.kill()
    site.process.wait()
    wait_for(lambda: not processes(str(site.root)), 20)
    wait_for(lambda: not any(guard.find_marked_processes(mark) for mark in site.marks()), 20)
    (site.root / "address").unlink()
    site.start()

    async def goes_on() -> None:
        async with client(site, "keeper") as one:
            assert (await one.wait(key, 40)).outcome is Outcome.DONE

    asyncio.run(asyncio.wait_for(goes_on(), 60))


def kill_and_await_restart(site: Site, part: str) -> None:
    """Kill a part of the site; return once its keeper has started it again."""
    pid = site.pid(part)
    os.kill(pid, signal.SIGKILL)
    wait_for(lambda: (site.root / "pids" / part).exists() and site.pid(part) != pid, 30)


def test_the_end_is_orderly(site: Site) -> None:
    for part in ("controller-0", "front", "pool", "state"):
        kill_and_await_restart(site, part)
    # The pool has its machines again once a job runs.
    done = weldhead(site, "submit", "--cpus", "1", "--memory-gb", "0.1", "--wait", "--", "true")
    assert done.returncode == 0, done.stderr
    site.end()
    assert site.process.returncode == 0
    assert not (site.root / "address").exists()
    assert processes(str(site.root)) == []
    said = (site.folder / "out").read_text()
    assert "ending the site" in said
    # The keeper's log is structured: what was killed can be found by its field.
    logged = [json.loads(line) for line in said.splitlines() if line.startswith("{")]
    ended = [line for line in logged if "has ended" in line["event"]]
    assert {"controller-0", "front", "pool", "state"} <= {line["part"] for line in ended}
    assert all(line["level"] == "error" and line["pause_us"] > 0 for line in ended)
