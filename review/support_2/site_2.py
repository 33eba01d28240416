"""A small deployment: controllers as processes of their own, and stand-ins for all else."""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

from support_2.cloud_2 import Cloud
from support_2.machines_2 import World
from support_2.record_2 import Record
from support_2.store_2 import Store
from support_2.users_2 import Users
from support_2.web_2 import HOST, faults, note_fault

ROOT = Path(__file__).resolve().parents[2]

#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be brought to the point at which the rule is checked."""


def make_facts(
    zones: list[str],
    teams: list[dict[str, Any]],
    workers: tuple[float, float, float],
    state: tuple[float, float],
    cloud: tuple[float, float],
) -> dict[str, Any]:
    """Return the facts of a deployment of three controllers.

    ``workers`` are ``report_s``, ``lease_s`` and ``cancel_s``, ``state`` requests and changes a
    second, ``cloud`` calls a second and the list's lag.
    """
    return {
        "nodes": 3, "zones": zones, "teams": teams, "objectives": [],
        "workers": {"report_s": workers[0], "lease_s": workers[1], "gang_wait_s": 45.0,
                    "gang_peer_s": 6.0, "cancel_s": workers[2]},
        "state": {"rps": state[0], "write_rps": state[1], "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": cloud[0], "list_lag_s": cloud[1]},
        "machine_limits": {"cores": 1.0, "mem_mb": 266.0, "sockets": 1200},
        "clock_error_ms": 1000.0,
    }  # fmt: skip


def free_ports(count: int) -> list[int]:
    """Return ports that nobody has, of those that systems do not hand out by themselves."""
    found: list[int] = []
    for port in random.sample(range(20_000, 32_000), 12_000):
        with socket.socket() as one, contextlib.suppress(OSError):
            one.bind((HOST, port))
            found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


class Controllers:
    """The controllers, started with the command of the deploy file."""

    def __init__(self, folder: Path, facts: dict[str, Any]) -> None:
        self._folder, self._facts = folder, facts
        ports = free_ports(2 * facts["nodes"])
        self.names = [f"welder-{number}" for number in range(facts["nodes"])]
        self.nodes = {name: f"{HOST}:{ports.pop()}" for name in self.names}
        self._peers = {name: f"{HOST}:{ports.pop()}" for name in self.names}
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        self._command = shlex.split(deploy["run"])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def _zone(self, number: int) -> str:
        zones: list[str] = self._facts["zones"]
        return zones[number % len(zones)]

    def start(self, name: str, state: str, cloud: str) -> None:
        settings = {
            "label": name, "domain": self._zone(self.names.index(name)),
            "serve_on": self.nodes[name], "internal_addr": self._peers[name],
            "seeds": [
                {"label": other, "domain": self._zone(number),
                 "endpoint": self._peers[other]}
                for number, other in enumerate(self.names)
                if other != name
            ],
            "external": {"cloud": cloud, "state": state}, "facts": self._facts,
        }  # fmt: skip
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self._command, str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": "info"},
            )

    def all_run(self) -> bool:
        return all(process.poll() is None for process in self.processes.values())

    def end(self) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()

    def copy_logs(self, record: Record, words: tuple[str, ...]) -> None:
        """Copy the lines of the controllers' logs that hold one of the words into the record."""
        for name in self.names:
            path = self._folder / f"{name}.log"
            if not path.exists():
                continue
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                if any(word in line for word in words):
                    record.write("log", node=name, line=line)


class Site:
    def __init__(self, record: Record, facts: dict[str, Any], folder: Path) -> None:
        self.record, self.facts = record, facts
        self.controllers = Controllers(folder, facts)
        self.world = World(record, facts, self.controllers.nodes)
        self.store = Store(facts["state"])
        self.users = Users(self.world)
        self.cloud: Cloud


@contextlib.asynccontextmanager
async def running_site(
    record: Record, facts: dict[str, Any], frames: list[dict[str, Any]], boot_s: float
) -> AsyncIterator[Site]:
    """Run a site; raise CannotRunError if its controllers do not become ready."""
    with tempfile.TemporaryDirectory(prefix="weldhead-case-") as folder:
        site = Site(record, facts, Path(folder))
        site.cloud = Cloud(site.world, frames, boot_s)
        state, cloud = await site.store.server.start(), await site.cloud.server.start()
        duties = [asyncio.create_task(site.store.run()), asyncio.create_task(site.users.probe())]
        for duty in duties:
            duty.add_done_callback(note_fault)
        try:
            for name in site.controllers.names:
                site.controllers.start(name, state, cloud)
            if not await site.users.wait_until_ready(20.0):
                raise CannotRunError(f"controllers not ready, last answers {site.users.answers}")
            if not site.controllers.all_run():
                raise CannotRunError("a controller has ended")
            yield site
        finally:
            site.controllers.end()
            for duty in duties:
                duty.cancel()
            site.cloud.close()
            site.store.server.stop()
            site.controllers.copy_logs(
                record, ("term ", "leadership", "election", "quarantined", "refused", "job ",
                         "rented", "returning", "lease of", "not answered", "Error", "in use",
                         "judged dead")
            )  # fmt: skip


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[int]]) -> None:
    """Run a case and exit with its code; ``TROUBLE=0`` runs it without the disruption."""
    # So that the processes are ended as well if somebody ends the case.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begin", trouble=trouble)
    try:
        code = asyncio.run(asyncio.wait_for(case(record, trouble), 118.0))
    except Exception as error:  # noqa: BLE001 - whatever it is, the rule was not checked
        record.write("the case could not run", error=repr(error))
        code = NOT_RUN
    if faults:
        record.write("a stand-in failed", faults=faults[:5])
        code = NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "could not run")
    record.write("end", code=code, verdict=verdict)
    record.close()
    print(f"{folder.name}: {verdict} (exit code {code})")
    sys.exit(code)
