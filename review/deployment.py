"""A small deployment: three controllers as processes, and stand-ins for all that is around them.

Times and limits are those of `huaman-linea` in the brief; machines boot sooner, as the protocol
allows ("at times machines are up within a second or two").
"""

import asyncio
import contextlib
import json
import logging
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from links import PeerLink
from machines import Cloud, Ground, Times
from record import Record
from state import State
from web import HOST, ROOT, Answer, Client, free_port

ZONE = "lima-centro"
TIMES = Times(report_s=3.0, lease_s=14.0, cancel_s=44.0)
STATE_LIMITS = {"rps": 100.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12}
MACHINE = {
    "label": "maquina-chica", "cores": 4, "cards": 0, "ram_gb": 8, "cache_gb": 50,
    "fetch_gb_per_s": 0.8, "rate": 0.16, "market_price": 0.05, "boot_s": 3, "yards": [ZONE],
}  # fmt: skip
TEAMS = ("tesoreria", "riesgos", "canal-movil", "cumplimiento", "socios")
#: A case ends by itself after this time.
LIMIT_S = 117.0


class CannotRunError(Exception):
    """The case could not be brought about."""


class Deployment:
    """Everything that a case starts; used as an asynchronous context manager."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.ground = Ground(record)
        self.state = State(STATE_LIMITS)
        self.cloud = Cloud([MACHINE], 1.5, TIMES, self.ground)
        self.names = [f"welder-{number}" for number in range(3)]
        #: Users' and workers' addresses of the controllers.
        self.nodes: dict[str, str] = {}
        #: The connections that the first controller of a pair opens to the second.
        self.links: dict[tuple[str, str], PeerLink] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._settings: dict[str, Path] = {}
        self._users = Client(keep_open=False)
        self._directory = tempfile.TemporaryDirectory(prefix="weldhead-review-")

    async def __aenter__(self) -> "Deployment":
        cloud = await self.cloud.start()
        peers = {name: f"{HOST}:{free_port()}" for name in self.names}
        self.nodes.update({name: f"{HOST}:{free_port()}" for name in self.names})
        self.cloud.nodes.update(self.nodes)
        for name in self.names:
            for other in self.names:
                if other != name:
                    self.links[name, other] = PeerLink(peers[other])
                    await self.links[name, other].allow()
            settings = {
                "label": name,
                "domain": ZONE,
                "serve_on": self.nodes[name],
                "internal_addr": peers[name],
                "seeds": [
                    {"label": other, "domain": ZONE, "endpoint": self.links[name, other].address}
                    for other in self.names
                    if other != name
                ],
                "external": {"cloud": cloud, "state": await self.state.listen(name)},
                "facts": _facts(),
            }
            self._settings[name] = Path(self._directory.name) / f"{name}.json"
            self._settings[name].write_text(json.dumps(settings))
            await self.start(name)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for name in list(self._processes):
            await self.kill(name)
        if os.environ.get("KEEP_LOGS") or kind is not None:
            self._print_logs()
        for link in self.links.values():
            link.refuse()
        await self.cloud.close()
        await self.state.close()
        await self._users.close()
        self._directory.cleanup()

    def _print_logs(self) -> None:
        for name in self.names:
            log = Path(self._directory.name) / f"{name}.log"
            sys.stderr.write(f"--- {name}\n{log.read_text()}")

    # -- controllers -------------------------------------------------------------------------

    async def start(self, name: str) -> None:
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            run = shlex.split(tomllib.load(file)["run"])
        log = (Path(self._directory.name) / f"{name}.log").open("ab")
        self._processes[name] = await asyncio.create_subprocess_exec(
            *run,
            str(self._settings[name]),
            cwd=ROOT,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.add("controller started", node=name)

    async def kill(self, name: str) -> None:
        process = self._processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        self.record.add("controller killed", node=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)
        self.record.add("signal", node=name, signal=number.name)

    @property
    def leader(self) -> str:
        """The controller that renews the leader's lease."""
        extended = self.state.extended
        return max(extended, key=lambda name: extended[name]) if extended else ""

    async def ready(self) -> None:
        """Wait until all controllers are healthy and one leads."""
        ends = time.monotonic() + 30.0
        while time.monotonic() < ends:
            answers = [
                await self._users.call("GET", address, "/ready", None, 1.0)
                for address in self.nodes.values()
            ]
            if all(status == 200 for status, _ in answers) and self.leader:
                self.record.add("ready", leader=self.leader)
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the controllers did not become ready")

    async def until(self, text: str, condition: Callable[[], bool], limit_s: float) -> None:
        ends = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > ends:
                raise CannotRunError(f"not reached: {text}")
            await asyncio.sleep(0.02)

    def refuse_between(self, one: str, other: str) -> None:
        """Let a packet filter between two controllers refuse the connections of both."""
        self.record.add("connections between controllers refused", nodes=[one, other])
        for pair in ((one, other), (other, one)):
            self.links[pair].refuse()

    async def allow_all(self) -> None:
        self.record.add("connections between controllers allowed")
        for link in self.links.values():
            await link.allow()

    # -- users -------------------------------------------------------------------------------

    async def user(
        self, node: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> Answer:
        """Send one request of a user on a connection of its own."""
        self.record.add("sent", node=node, request=f"{method} {path}", body=body)
        answer = await self._users.call(method, self.nodes[node], path, body, timeout_s)
        self.record.add("answered", node=node, request=f"{method} {path}", answer=answer)
        return answer

    def upload(self, job: dict[str, Any], run_s: float) -> None:
        """Upload a job's description, which workers fetch."""
        self.ground.jobs[job["uid"]] = job
        self.ground.run_s[job["uid"]] = run_s

    async def submit(self, node: str, job: dict[str, Any], run_s: float) -> int:
        """Submit a job as users do: repeat it until it is accepted or refused, for up to 60 s."""
        self.upload(job, run_s)
        ends = time.monotonic() + 60.0
        while True:
            status, _ = await self.user(node, "POST", "/submissions", job)
            if status in (200, 201, 400, 422) or time.monotonic() > ends:
                return status
            await asyncio.sleep(1.0)

    async def accepted(self, node: str, job: dict[str, Any], run_s: float) -> None:
        """Submit a job that has to be accepted for the case to run."""
        if await self.submit(node, job, run_s) not in (200, 201):
            raise CannotRunError(f"{job['uid']} was not accepted")

    async def poll(self, node: str, uid: str) -> Answer:
        return await self.user(node, "GET", f"/submissions/{uid}", None, 2.0)

    async def cancel(self, node: str, uid: str) -> Answer:
        return await self.user(node, "POST", f"/submissions/{uid}/cancel", {})


def _facts() -> dict[str, Any]:
    return {
        "nodes": 3,
        "zones": [ZONE],
        "teams": [
            {"name": name, "cpus": 16.0, "cpus_max": 48.0, "gpus": 0.0, "gpus_max": 0.0}
            for name in TEAMS
        ],
        "objectives": [{"kind": "guarantee", "within_s": 10.0, "share": 0.85}],
        "workers": {
            "report_s": TIMES.report_s, "lease_s": TIMES.lease_s, "gang_wait_s": 50.0,
            "gang_peer_s": 6.0, "cancel_s": TIMES.cancel_s,
        },
        "state": STATE_LIMITS,
        "cloud": {"rps": 2.0, "list_lag_s": 6.0},
        "machine_limits": {"cores": 1.0, "mem_mb": 266.0, "sockets": 1200},
        "clock_error_ms": 1000.0,
    }  # fmt: skip


def make_job(number: int, **fields: object) -> dict[str, Any]:
    """A submission of one task of 2 CPUs; `fields` replace what it says."""
    job: dict[str, Any] = {
        "uid": f"run-{number:06d}", "jobclass": "posteo-intereses", "owner": "tesoreria",
        "shape": "batch", "urgency": "high", "pieces": 1, "cores": 2.0, "cards": 0.0,
        "ram_gb": 2.2, "build": "img-01", "pull_gb": 0.4, "frames": None, "yard": None,
        "same_place": False, "apart": False, "loaners": True, "expected_s": 25.0, "tack_s": 0.0,
        "weld_s": 0.0, "due_s": None,
    }  # fmt: skip
    return {**job, **fields}


Case = Callable[[Deployment, bool], Awaitable[None]]


def run_case(folder: Path, case: Case) -> None:
    """Run a case and exit with 1 if a rule was broken, 0 if all held, 2 if it could not run."""
    code = 2
    try:
        code = asyncio.run(_run(folder, case))
    except Exception:
        logging.exception("the case itself failed")
    sys.exit(code)


async def _run(folder: Path, case: Case) -> int:
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", folder=folder.name, trouble=trouble)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel if task else exit)
    code = 2
    try:
        async with asyncio.timeout(LIMIT_S - 4.0), Deployment(record) as deployment:
            await case(deployment, trouble)
            code = 1 if record.broken else 0
    except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
        record.add("could not run", error=repr(error))
        code = 1 if record.broken else 2
    record.add("end", code=code, broken=record.broken)
    record.close()
    print(f"{folder.name}: exit {code}: {record.broken or 'no rule was broken'}")
    return code
