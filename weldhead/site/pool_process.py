"""The pool's process: PROTOCOL's cloud over HTTP, and the machines' workers.

Workers outlive the pool (their tasks go on while it is started again), but not the site.
"""

import asyncio
import logging
from pathlib import Path

import msgspec
from aiohttp import web

from weldhead.clock import SECOND_US, now_us, seconds_us, wall_us
from weldhead.protocol.wire import Catalog, MachineNames, RentalRequest
from weldhead.site import guard
from weldhead.site.backoff import Backoff
from weldhead.site.http import Reply, error, integer, listen, reply
from weldhead.site.layout import Layout, write_whole
from weldhead.site.parts import PoolSettings, WorkerSettings
from weldhead.site.pool import (
    MOST_DELETED,
    Gone,
    Launched,
    Pool,
    PooledMachine,
    PoolError,
    Record,
    plan_recall,
)
from weldhead.site.processes import Process, lifeline, spawn
from weldhead.site.records import RecordFile
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.token_bucket import TokenBucket

log = logging.getLogger(__name__)

_rentals = msgspec.json.Decoder(RentalRequest)
_names = msgspec.json.Decoder(MachineNames)


class PoolProcess:
    """Rents, lists, deletes; keeps a worker running on each machine."""

    def __init__(self, settings: PoolSettings) -> None:
        self._settings = settings
        self._layout = Layout(Path(settings.root))
        self.pool = Pool(
            settings.types, settings.cores, seconds_us(settings.list_lag_s), settings.at_most
        )
        self._file: RecordFile[Record] = RecordFile(self._layout.pool, Record)
        self._budget = TokenBucket(settings.rps, 2 * settings.rps)
        self._duties = BackgroundTasks()
        self._http = HttpClient(4)
        self._keepers: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Take up the machines of an earlier life."""
        self._layout.pool.parent.mkdir(parents=True, exist_ok=True)
        self.pool.load(self._file.read())
        self._file.rewrite(self.pool.records())
        for machine in list(self.pool.machines.values()):
            self._keep(machine)

    async def close(self, *, machines: bool) -> None:
        """Stop; with the machines if the whole site ends."""
        if machines:
            await asyncio.gather(*(self._stop(m) for m in list(self.pool.machines.values())))
        await self._duties.close()
        await self._http.close()
        self._file.close()

    # The cloud's calls

    async def handle(self, request: web.BaseRequest, body: bytes) -> Reply:
        """Answer one call."""
        if not self._budget.try_take(1, now_us()):
            return error(429, "too many requests")
        try:
            return await self._route(request, body)
        except PoolError as refused:
            return error(refused.status, str(refused))
        except (msgspec.DecodeError, ValueError) as malformed:
            return error(400, str(malformed))
        except OSError as full:
            log.error("the pool's record cannot be written: %s", full)
            return error(503, "trouble")

    async def _route(self, request: web.BaseRequest, body: bytes) -> Reply:
        call = (request.method, request.path)
        if call == ("GET", "/catalog"):
            return reply(200, Catalog(self._settings.types))
        if call == ("POST", "/rentals"):
            names, record = self.pool.rent(_rentals.decode(body), wall_us())
            if record is not None:
                self._file.append([record])
                for machine in self.pool.rented(record):
                    self._keep(machine)
            return reply(200, MachineNames(names))
        if call == ("POST", "/rentals/delete"):
            wanted = _names.decode(body).machines
            if len(wanted) > MOST_DELETED:
                return error(400, f"more than {MOST_DELETED} names")
            await asyncio.gather(*(self._stop(one) for one in self.pool.leave(wanted)))
            return reply(200, {})
        if call == ("GET", "/rentals"):
            most = integer(request.query.get("most", "500"))
            page = self.pool.listing(request.query.get("from", ""), most, wall_us())
            return reply(200, page)
        return error(404, "no such call")

    # Machines

    def _mark(self, machine: PooledMachine) -> str:
        return f"{self._settings.site}/{machine.name}"

    def _keep(self, machine: PooledMachine) -> None:
        self._keepers[machine.name] = self._duties.spawn(
            f"machine {machine.name}", self._keep_running(machine)
        )
        if machine.spot:
            self._duties.spawn(f"recall {machine.name}", self._recall(machine))

    async def _keep_running(self, machine: PooledMachine) -> None:
        """Have a worker run on the machine until it is deleted."""
        backoff = Backoff()
        process = Process(machine.pid, machine.started)
        if not process.alive:
            process = self._launch(machine)
        while True:
            began_us = now_us()
            await process.ended()
            if machine.leaving:
                return
            lasted_us = now_us() - began_us
            pause_us = backoff.after(lasted_us)
            log.error(
                "the worker of %s has ended; again in %d ms",
                machine.name,
                pause_us // 1000,
                extra={"machine": machine.name, "lasted_us": lasted_us, "pause_us": pause_us},
            )
            await asyncio.sleep(pause_us / SECOND_US)
            process = self._launch(machine)

    def _launch(self, machine: PooledMachine) -> Process:
        settings = self._settings
        path = self._layout.settings(machine.name)
        told = WorkerSettings(
            machine=machine.name,
            type=machine.type.name,
            zone=machine.zone,
            spot=machine.spot,
            cpus=machine.type.cpus,
            gpus=machine.type.gpus,
            memory_gb=machine.type.memory_gb,
            report_s=settings.report_s,
            lease_s=settings.lease_s,
            nodes=settings.nodes,
            front=settings.front,
            root=settings.root,
            mark=self._mark(machine),
        )
        write_whole(path, msgspec.json.encode(told))
        try:
            listening = listen("127.0.0.1", machine.port)
        except OSError:
            # Somebody else has the port by now; reports tell the new one.
            listening = listen("127.0.0.1", 0)
        line = lifeline()
        with listening:
            fds = [listening.fileno()] + ([line] if line is not None else [])
            arguments = ["site-worker", "--settings", str(path), "--fd", str(listening.fileno())]
            process = spawn(arguments, self._layout.log(machine.name), fds)
            machine.port = listening.getsockname()[1]
        machine.pid, machine.started = process.pid, process.started
        machine.up_us = machine.up_us or wall_us()
        self._file.append([Launched(machine.name, process.pid, process.started, machine.port)])
        return process

    async def _stop(self, machine: PooledMachine) -> None:
        """End a machine: when this returns, everything on it is gone."""
        machine.leaving = True
        process = Process(machine.pid, machine.started)
        await process.end(2 * SECOND_US)
        while not await asyncio.to_thread(guard.kill_marked_processes, self._mark(machine)):
            log.error("processes of %s are still there", machine.name)
        keeper = self._keepers.pop(machine.name, None)
        if keeper is not None:
            keeper.cancel()
        if not machine.gone_us:
            self._file.append([Gone(machine.name)])
            self.pool.gone(machine.name, wall_us())
            self._layout.settings(machine.name).unlink(missing_ok=True)

    async def _recall(self, machine: PooledMachine) -> None:
        """Take a spot machine back when its time has come."""
        recall = plan_recall(self._settings.spot, machine.name, machine.rented_us)
        if recall is None:
            return
        if recall.notice_us is not None:
            await asyncio.sleep(max(0, recall.notice_us - wall_us()) / SECOND_US)
            left_s = max(0, recall.taken_us - wall_us()) / SECOND_US
            body = msgspec.json.encode({"recall_s": left_s})
            url = f"http://127.0.0.1:{machine.port}/notice"
            try:
                await self._http.call("POST", url, body, 2 * SECOND_US)
            except CallError as failed:
                log.info("%s was not told: %s", machine.name, failed)
        await asyncio.sleep(max(0, recall.taken_us - wall_us()) / SECOND_US)
        log.info("spot machine %s is taken back", machine.name, extra={"machine": machine.name})
        for found in self.pool.leave([machine.name]):
            await self._stop(found)
