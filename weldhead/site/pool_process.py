"""The machine pool's process: the cloud provider's HTTP interface, and the machines' workers.

Workers survive a restart of the pool's process, so that their tasks keep running, but end
with the site.
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
from weldhead.site.http import Reply, error, listen, parse_count, reply
from weldhead.site.layout import Layout, write_atomically
from weldhead.site.parts import PoolSettings, WorkerSettings
from weldhead.site.pool import (
    MAX_MACHINES_PER_DELETION,
    Gone,
    Launched,
    Pool,
    PooledMachine,
    PoolError,
    Record,
    plan_recall,
)
from weldhead.site.processes import Process, get_keeper_pipe_fd, spawn
from weldhead.site.records import RecordFile
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.token_bucket import TokenBucket

log = logging.getLogger(__name__)

_rental_decoder = msgspec.json.Decoder(RentalRequest)
_machine_names_decoder = msgspec.json.Decoder(MachineNames)


class PoolProcess:
    """Answers requests to rent, list and delete machines; runs a worker on each machine."""

    def __init__(self, settings: PoolSettings) -> None:
        self._settings = settings
        self._layout = Layout(Path(settings.root))
        self.pool = Pool(
            settings.types, settings.cores, seconds_us(settings.list_lag_s), settings.at_most
        )
        self._record_file: RecordFile[Record] = RecordFile(self._layout.pool, Record)
        self._request_bucket = TokenBucket(settings.rps, 2 * settings.rps)
        self._background_tasks = BackgroundTasks()
        self._http = HttpClient(4)
        self._worker_supervisors: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Load the recorded machines and supervise their workers again."""
        self._layout.pool.parent.mkdir(parents=True, exist_ok=True)
        self.pool.load(self._record_file.read())
        self._record_file.rewrite(self.pool.records())
        for machine in list(self.pool.machines.values()):
            self._supervise(machine)

    async def close(self, *, machines: bool) -> None:
        """Stop the pool; with ``machines``, delete all machines first, as the site shuts down."""
        if machines:
            await asyncio.gather(
                *(self._delete_machine(m) for m in list(self.pool.machines.values()))
            )
        await self._background_tasks.close()
        await self._http.close()
        self._record_file.close()

    # HTTP interface

    async def handle(self, request: web.BaseRequest, body: bytes) -> Reply:
        """Answer one HTTP request."""
        if not self._request_bucket.try_take(1, now_us()):
            return error(429, "too many requests")
        try:
            return await self._route(request, body)
        except PoolError as refused:
            return error(refused.status, str(refused))
        except (msgspec.DecodeError, ValueError) as malformed:
            return error(400, str(malformed))
        except OSError as failure:
            log.error("cannot write the machine pool's record file: %s", failure)
            return error(503, "trouble")

    async def _route(self, request: web.BaseRequest, body: bytes) -> Reply:
        call = (request.method, request.path)
        if call == ("GET", "/catalog"):
            return reply(200, Catalog(self._settings.types))
        if call == ("POST", "/rentals"):
            names, record = self.pool.rent(_rental_decoder.decode(body), wall_us())
            if record is not None:
                self._record_file.append([record])
                for machine in self.pool.rented(record):
                    self._supervise(machine)
            return reply(200, MachineNames(names))
        if call == ("POST", "/rentals/delete"):
            names = _machine_names_decoder.decode(body).machines
            if len(names) > MAX_MACHINES_PER_DELETION:
                return error(400, f"more than {MAX_MACHINES_PER_DELETION} names")
            await asyncio.gather(
                *(self._delete_machine(machine) for machine in self.pool.leave(names))
            )
            return reply(200, {})
        if call == ("GET", "/rentals"):
            limit = parse_count(request.query.get("most", "500"))
            page = self.pool.listing(request.query.get("from", ""), limit, wall_us())
            return reply(200, page)
        return error(404, "no such call")

    # Machines

    def _process_mark(self, machine: PooledMachine) -> str:
        return f"{self._settings.site}/{machine.name}"

    def _supervise(self, machine: PooledMachine) -> None:
        self._worker_supervisors[machine.name] = self._background_tasks.spawn(
            f"machine {machine.name}", self._keep_worker_running(machine)
        )
        if machine.spot:
            self._background_tasks.spawn(
                f"recall {machine.name}", self._recall_spot_machine(machine)
            )

    async def _keep_worker_running(self, machine: PooledMachine) -> None:
        """Restart the machine's worker whenever it ends, until the machine is deleted."""
        backoff = Backoff()
        process = Process(machine.pid, machine.started)
        if not process.is_alive:
            process = self._launch_worker(machine)
        while True:
            began_us = now_us()
            await process.wait_until_ended()
            if machine.is_being_deleted:
                return
            lasted_us = now_us() - began_us
            pause_us = backoff.next_pause_us(lasted_us)
            log.error(
                "worker of machine %s has ended; restarting it in %d ms",
                machine.name,
                pause_us // 1000,
                extra={"machine": machine.name, "lasted_us": lasted_us, "pause_us": pause_us},
            )
            await asyncio.sleep(pause_us / SECOND_US)
            process = self._launch_worker(machine)

    def _launch_worker(self, machine: PooledMachine) -> Process:
        settings = self._settings
        settings_path = self._layout.settings(machine.name)
        worker_settings = WorkerSettings(
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
            mark=self._process_mark(machine),
        )
        write_atomically(settings_path, msgspec.json.encode(worker_settings))
        try:
            listener = listen("127.0.0.1", machine.port)
        except OSError:
            # Another process has taken the worker's former port. The worker's heartbeats
            # announce the new port to the controllers.
            listener = listen("127.0.0.1", 0)
        keeper_pipe_fd = get_keeper_pipe_fd()
        with listener:
            fds = [listener.fileno()] + ([keeper_pipe_fd] if keeper_pipe_fd is not None else [])
            arguments = [
                "site-worker",
                "--settings",
                str(settings_path),
                "--fd",
                str(listener.fileno()),
            ]
            process = spawn(arguments, self._layout.log(machine.name), fds)
            machine.port = listener.getsockname()[1]
        machine.pid, machine.started = process.pid, process.start_ticks
        machine.up_us = machine.up_us or wall_us()
        self._record_file.append(
            [Launched(machine.name, process.pid, process.start_ticks, machine.port)]
        )
        return process

    async def _delete_machine(self, machine: PooledMachine) -> None:
        """Delete a machine; no process of the machine is left when this method returns."""
        machine.is_being_deleted = True
        process = Process(machine.pid, machine.started)
        await process.terminate(2 * SECOND_US)
        while not await asyncio.to_thread(guard.kill_marked_processes, self._process_mark(machine)):
            log.error("processes of machine %s are still running; killing them again", machine.name)
        supervisor = self._worker_supervisors.pop(machine.name, None)
        if supervisor is not None:
            supervisor.cancel()
        if not machine.gone_us:
            self._record_file.append([Gone(machine.name)])
            self.pool.gone(machine.name, wall_us())
            self._layout.settings(machine.name).unlink(missing_ok=True)

    async def _recall_spot_machine(self, machine: PooledMachine) -> None:
        """Notify a spot machine's worker and delete the machine at the times planned for it."""
        recall = plan_recall(self._settings.spot, machine.name, machine.rented_us)
        if recall is None:
            return
        if recall.notice_us is not None:
            await asyncio.sleep(max(0, recall.notice_us - wall_us()) / SECOND_US)
            remaining_s = max(0, recall.reclaim_us - wall_us()) / SECOND_US
            body = msgspec.json.encode({"recall_s": remaining_s})
            url = f"http://127.0.0.1:{machine.port}/notice"
            try:
                await self._http.call("POST", url, body, 2 * SECOND_US)
            except CallError as failed:
                log.info(
                    "recall notice to the worker of machine %s failed: %s", machine.name, failed
                )
        await asyncio.sleep(max(0, recall.reclaim_us - wall_us()) / SECOND_US)
        log.info("reclaiming spot machine %s", machine.name, extra={"machine": machine.name})
        for leaving_machine in self.pool.leave([machine.name]):
            await self._delete_machine(leaving_machine)
