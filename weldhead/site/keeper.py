"""The keeper of a site: starts its parts, starts again what ends, ends all in order."""

import asyncio
import fcntl
import logging
import os
import random
import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from weldhead.clock import SECOND_US, now_us
from weldhead.site.backoff import Backoff
from weldhead.site.description import Description, UpcomingStateSection, controller_settings
from weldhead.site.http import listen
from weldhead.site.layout import Layout, write_atomically
from weldhead.site.parts import FrontSettings, PoolSettings, StateSettings
from weldhead.site.processes import KEEPER_PIPE_VARIABLE, Process, spawn, wait_for_shutdown
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, HttpClient

log = logging.getLogger(__name__)

_HOST = "127.0.0.1"
#: Below what systems hand out by themselves, so that no outgoing connection has it.
_PORTS = range(20_000, 32_000)
_ORDERLY_US = 10 * SECOND_US


class SiteError(Exception):
    """The site cannot be started."""


class Identity(msgspec.Struct):
    """What a site keeps from one start to the next."""

    site: str
    addresses: list[str]
    peer_addresses: list[str]


@dataclass
class Part:
    """A part of the site: how it is started, and its process."""

    name: str
    arguments: list[str]
    fds: list[int] = field(default_factory=list)
    environment: dict[str, str] = field(default_factory=dict)
    process: Process | None = None


class Keeper:
    """One site, from its start to its end."""

    def __init__(
        self,
        root: Path,
        description: Description,
        port: int,
        say: Callable[[str], None],
        tunables: Path | None = None,
        documents: Path | None = None,
    ) -> None:
        self._layout = Layout(root.resolve())
        self._description = description
        self._port = port
        self._say = say
        self._tunables = tunables
        self._documents = documents
        self._duties = BackgroundTasks()
        self._sockets: list[socket.socket] = []
        self._ending = asyncio.Event()
        self.parts: dict[str, Part] = {}
        self.address = ""

    async def run(self) -> None:
        """Run the site until SIGTERM or Ctrl-C."""
        with self._lock():
            line, alive = os.pipe()
            os.set_inheritable(line, True)
            try:
                self._lay_out(line)
                for part in self.parts.values():
                    self._duties.spawn(part.name, self._keep(part))
                self._duties.spawn("announce", self._announce())
                await wait_for_shutdown()
                self._say("ending the site")
            finally:
                await self._end()
                os.close(alive)
                os.close(line)

    def _lock(self) -> "_Lock":
        root = self._layout.root
        try:
            root.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise SiteError(f"{root}: {error.strerror}") from error
        return _Lock(root / "lock")

    # The parts

    def _lay_out(self, line: int) -> None:
        """Write every part's settings, and say how each is started."""
        layout, description = self._layout, self._description
        for name in ("state", "pool", "settings", "log", "machines"):
            (layout.root / name).mkdir(exist_ok=True)
        identity = self._identity()
        state, state_fd = self._listen(0)
        cloud, cloud_fd = self._listen(0)
        self.address, front_fd = self._listen(self._port)
        settings = controller_settings(
            description, identity.addresses, identity.peer_addresses, cloud, state
        )
        nodes = {one.name: one.listen for one in settings}
        limits = msgspec.structs.asdict(description.state_limits())
        coming = description.state.next
        self._write("state", StateSettings(
            record=str(layout.state),
            limits={key: float(value) for key, value in limits.items() if key != "next"},
            next_limits=_given(coming) if coming else None,
            next_after_s=coming.after_s if coming else 0.0,
        ))  # fmt: skip
        self._write("pool", PoolSettings(
            site=identity.site,
            root=str(layout.root),
            types=description.catalog(),
            at_most={m.name: m.at_most for m in description.machines if m.at_most is not None},
            cores=description.total_cores,
            rps=description.cloud.rps,
            list_lag_s=description.cloud.list_lag_s,
            report_s=description.workers.report_s,
            lease_s=description.workers.lease_s,
            nodes=nodes,
            front=self.address,
            spot=description.cloud.spot,
        ))  # fmt: skip
        teams = [team.name for team in description.teams]
        self._write("front", FrontSettings(root=str(layout.root), nodes=nodes, teams=teams))
        for name, fd in (("state", state_fd), ("pool", cloud_fd), ("front", front_fd)):
            path = str(layout.settings(name))
            arguments = [f"site-{name}", "--settings", path, "--fd", str(fd)]
            self._add(Part(name, arguments, [fd, line], {KEEPER_PIPE_VARIABLE: str(line)}))
        for one in settings:
            self._write(one.name, one)
            arguments = ["serve", "--config", str(layout.settings(one.name))]
            if self._tunables is not None:
                arguments += ["--tunables", str(self._tunables)]
            if self._documents is not None:
                arguments += ["--documents", str(self._documents)]
            self._add(Part(one.name, arguments))

    def _add(self, part: Part) -> None:
        self.parts[part.name] = part

    def _write(self, name: str, settings: object) -> None:
        write_atomically(self._layout.settings(name), msgspec.json.encode(settings))

    def _listen(self, port: int) -> tuple[str, int]:
        """Open a socket that the keeper holds, so that a part's restart refuses nobody."""
        try:
            made = listen(_HOST, port)
        except OSError as error:
            raise SiteError(f"port {port}: {error.strerror}") from error
        self._sockets.append(made)
        return f"{_HOST}:{made.getsockname()[1]}", made.fileno()

    def _identity(self) -> Identity:
        """Return the site's name and the controllers' addresses, the same at each start.

        The controllers are the production program, which opens its ports by itself: they
        get numbers that nobody has now and that systems do not hand out.
        """
        path = self._layout.root / "identity.json"
        count = self._description.controllers.count
        try:
            known = msgspec.json.decode(path.read_bytes(), type=Identity)
            if len(known.addresses) == count and all(
                _free(int(address.rpartition(":")[2]))
                for address in known.addresses + known.peer_addresses
            ):
                return known
            name = known.site
        except (FileNotFoundError, msgspec.DecodeError):
            name = secrets.token_hex(8)
        ports: list[int] = []
        for port in random.sample(_PORTS, len(_PORTS)):
            if len(ports) == 2 * count:
                break
            if _free(port):
                ports.append(port)
        addresses = [f"{_HOST}:{port}" for port in ports]
        made = Identity(name, addresses[:count], addresses[count:])
        write_atomically(path, msgspec.json.encode(made))
        return made

    async def _keep(self, part: Part) -> None:
        """Have a part run."""
        backoff = Backoff()
        while not self._ending.is_set():
            began_us = now_us()
            part.process = spawn(
                part.arguments,
                self._layout.log(part.name),
                part.fds,
                part.environment,
                ends_with_parent=True,
            )
            write_atomically(self._layout.pid(part.name), f"{part.process.pid}\n".encode())
            await part.process.wait_until_ended()
            if self._ending.is_set():
                return
            lasted_us = now_us() - began_us
            pause_us = backoff.next_pause_us(lasted_us)
            log.error(
                "%s has ended; again in %d ms",
                part.name,
                pause_us // 1000,
                extra={"part": part.name, "lasted_us": lasted_us, "pause_us": pause_us},
            )
            await asyncio.sleep(pause_us / SECOND_US)

    async def _announce(self) -> None:
        """Say where the site is as soon as it takes jobs."""
        http = HttpClient(1)
        try:
            while True:
                try:
                    url = f"http://{self.address}/ready"
                    status, _ = await http.call("GET", url, None, SECOND_US)
                    if status == 200:
                        break
                except CallError as failed:
                    log.debug("not ready: %s", failed)
                await asyncio.sleep(0.1)
        finally:
            await http.close()
        write_atomically(self._layout.address, f"{self.address}\n".encode())
        self._say(f"ready at {self.address}")
        self._say(f"  export WELDHEAD_SERVER={self.address}")

    async def _end(self) -> None:
        """End controllers first, then the machines with the pool, then the rest."""
        self._ending.set()
        self._layout.address.unlink(missing_ok=True)
        controllers = [name for name in self.parts if name.startswith("controller-")]
        for names in (controllers, ["pool"], ["front", "state"]):
            running = [self.parts[name].process for name in names if name in self.parts]
            await asyncio.gather(*(p.terminate(_ORDERLY_US) for p in running if p is not None))
        await self._duties.close()
        for made in self._sockets:
            made.close()


def _given(coming: UpcomingStateSection) -> dict[str, float]:
    values = msgspec.structs.asdict(coming)
    return {
        key: float(value) for key, value in values.items() if value is not None and key != "after_s"
    }


def _free(port: int) -> bool:
    try:
        listen(_HOST, port).close()
    except OSError:
        return False
    return True


class _Lock:
    """One keeper a directory."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._handle = -1

    def __enter__(self) -> None:
        self._handle = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._handle)
            raise SiteError(f"{self._path.parent}: a site runs here already") from error

    def __exit__(self, *_: object) -> None:
        os.close(self._handle)
