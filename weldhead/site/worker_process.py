"""The worker's process: reports to the controllers, direct requests, and commands of tasks."""

import asyncio
import contextlib
import logging
import os
import random
import signal
import socket
import sys
from collections import OrderedDict
from pathlib import Path

import msgspec
from aiohttp import web

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, seconds_us
from weldhead.protocol.wire import DirectCommands, HeartbeatAnswer, LeaderRedirect, split_task_name
from weldhead.site import guard as guard_program
from weldhead.site.http import Reply, SiteServer, error, reply
from weldhead.site.layout import Layout, write_atomically
from weldhead.site.parts import WorkerSettings
from weldhead.site.worker import (
    Action,
    FetchDescription,
    JobDescription,
    KillAllTasks,
    MachineInfo,
    SendSignal,
    StartTask,
    StoreSession,
    Worker,
)
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, HttpClient

log = logging.getLogger(__name__)

#: The worker's lease is shorter than the controllers' by this margin, so that the guard has
#: killed all processes before the controllers start the tasks elsewhere.
LEASE_MARGIN_US = 300 * MILLISECOND_US
REPORT_TIMEOUT_US = 4 * SECOND_US
#: Shortest time between the starts of two reports.
MIN_REPORT_INTERVAL_US = SECOND_US // 2
_MAX_CACHED_DESCRIPTIONS = 1_000

_answer_decoder = msgspec.json.Decoder(HeartbeatAnswer)
_redirect_decoder = msgspec.json.Decoder(LeaderRedirect)
_commands_decoder = msgspec.json.Decoder(DirectCommands)
_description_decoder = msgspec.json.Decoder(JobDescription)


class StoredSession(msgspec.Struct):
    """Session and token that the next worker on the same machine continues from."""

    session: int
    token: int


class RemovalNotice(msgspec.Struct, rename={"remaining_s": "recall_s"}):
    """Body of the pool's request that announces the removal of the machine."""

    remaining_s: float


class GuardExitedError(Exception):
    """The guard's process has exited."""


class GuardProcess:
    """The guard's process and the worker's ends of the pipes to it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        assert process.stdin is not None and process.stdout is not None
        self._stdin = process.stdin
        self._stdout = process.stdout

    @classmethod
    async def start(cls, mark: str) -> "GuardProcess":
        """Start a guard for the machine with this mark."""
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                "-E",
                guard_program.__file__,
                mark,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
                limit=1 << 20,
            )
        )

    def send(self, *message: object) -> None:
        """Send a message; only :meth:`receive` reports that the guard has exited."""
        with contextlib.suppress(RuntimeError, ConnectionError):
            self._stdin.write(msgspec.json.encode(message) + b"\n")

    async def receive(self) -> list[object]:
        """Wait for the next message, or raise GuardExitedError if the guard has exited."""
        line = await self._stdout.readline()
        if not line.endswith(b"\n"):
            await self._process.wait()
            raise GuardExitedError(f"exit code {self._process.returncode}")
        message: list[object] = msgspec.json.decode(line)
        return message

    async def close(self) -> None:
        """Close the guard's input, so that it kills all commands and exits; wait for its exit."""
        self._stdin.close()
        await self._process.wait()


class WorkerProcess:
    """Runs one worker until its :meth:`run` is cancelled."""

    def __init__(self, settings: WorkerSettings, listening: socket.socket) -> None:
        self._settings = settings
        self._listening = listening
        self._layout = Layout(Path(settings.root))
        self._session_file = self._layout.machine(settings.machine) / "session.json"
        host, port = listening.getsockname()[:2]
        machine_info = MachineInfo(
            settings.machine,
            f"{host}:{port}",
            settings.type,
            settings.zone,
            settings.spot,
            settings.cpus,
            settings.gpus,
            settings.memory_gb,
        )
        self._worker = Worker(
            machine_info, seconds_us(settings.lease_s) - LEASE_MARGIN_US, now_us()
        )
        self._http = HttpClient(16)
        self._background_tasks = BackgroundTasks()
        self._guard: GuardProcess | None = None
        #: Cleared while the processes of an earlier session are being killed. Until they are
        #: gone, the worker neither reports the next session nor answers requests.
        self._session_ready = asyncio.Event()
        self._report_wanted = asyncio.Event()
        #: Keys of the attempts whose commands are running, by process id.
        self._attempt_keys: dict[int, str] = {}
        self._descriptions: OrderedDict[str, JobDescription] = OrderedDict()
        self._controller_index = random.randrange(len(settings.nodes))

    async def run(self) -> None:
        """Serve until cancelled; no started command is left when this method returns."""
        guard_program.become_reaper()
        await self._restore_session()
        server = SiteServer(self._handle_request)
        await server.start(self._listening)
        self._background_tasks.start("guard", self._read_guard_messages)
        self._background_tasks.start("lease", self._watch_lease)
        self._background_tasks.start("reports", self._report_periodically)
        try:
            await asyncio.Event().wait()
        finally:
            await self._background_tasks.close()
            if self._guard is not None:
                await self._guard.close()
            await server.close()
            await self._http.close()

    async def _restore_session(self) -> None:
        """Begin the session that follows the last stored session of this machine, if any."""
        worker, mark = self._worker, self._settings.mark
        try:
            stored = msgspec.json.decode(self._session_file.read_bytes(), type=StoredSession)
        except FileNotFoundError:
            stored = None
        if stored is not None:
            while not await asyncio.to_thread(guard_program.kill_marked_processes, mark):
                log.error(
                    "cannot kill processes of an earlier worker of machine %s yet: trying again",
                    self._settings.machine,
                )
            worker.session, worker.token = stored.session + 1, stored.token
        self._store_session(worker.session, worker.token)
        self._guard = await GuardProcess.start(mark)
        worker.lease_start_us = now_us()
        self._guard.send("lease", worker.lease_end_us)
        self._session_ready.set()

    def _store_session(self, session: int, token: int) -> None:
        write_atomically(self._session_file, msgspec.json.encode(StoredSession(session, token)))

    # The guard

    async def _read_guard_messages(self) -> None:
        while True:
            guard = self._guard
            if guard is None:
                guard = self._guard = await GuardProcess.start(self._settings.mark)
                guard.send("lease", self._worker.lease_end_us)
                self._session_ready.set()
            try:
                message = await guard.receive()
            except GuardExitedError as exited:
                await self._handle_guard_exit(exited)
                continue
            self._execute(self._worker.check_lease(now_us()))
            match message:
                case ["started", str(key), int(pid)]:
                    self._attempt_keys[pid] = key
                case ["exited", str(key), int() | None as code]:
                    self._attempt_keys = {
                        pid: running
                        for pid, running in self._attempt_keys.items()
                        if running != key
                    }
                    session, task, attempt = key.split(":")
                    if int(session) == self._worker.session:
                        self._worker.handle_exit(task, int(attempt), code)
                        self._report_wanted.set()
                case ["killed"]:
                    self._session_ready.set()
                case _:
                    log.error("guard sent an unknown message: %r", message)

    async def _handle_guard_exit(self, exited: GuardExitedError) -> None:
        log.error(
            "guard exited (%s): killing all tasks of the machine",
            exited,
            extra={"machine": self._settings.machine, "session": self._worker.session},
        )
        self._guard = None
        # The processes are killed before any report or answer names the next session.
        self._session_ready.clear()
        while not await asyncio.to_thread(guard_program.kill_marked_processes, self._settings.mark):
            log.error(
                "cannot kill processes left by the guard of machine %s yet: trying again",
                self._settings.machine,
            )
        self._record_inherited_exits()
        actions = self._worker.end_session(now_us())
        self._execute([action for action in actions if isinstance(action, StoreSession)])
        self._report_wanted.set()

    def _record_inherited_exits(self) -> None:
        """Record the exits of the commands that this process inherited from a dead guard.

        A task that was complete when its guard was killed must not run a second time.
        """
        while True:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                break
            if pid == 0:
                break
            key = self._attempt_keys.get(pid)
            if key is not None:
                _, task, attempt = key.split(":")
                directory, result = self._attempt_paths(task, int(attempt))
                code = os.waitstatus_to_exitcode(status)
                guard_program.record_exit(code, str(directory / "exit"), str(result), None)
        self._attempt_keys.clear()

    def _attempt_paths(self, task: str, attempt: int) -> tuple[Path, Path]:
        """Return the directory of an attempt and the result file of its task."""
        job, index = split_task_name(task)
        task_directory = self._layout.task(job, index)
        return task_directory / str(attempt), self._layout.result(job, index)

    async def _watch_lease(self) -> None:
        while True:
            pause_us = max(MILLISECOND_US, self._worker.next_wake_us() - now_us())
            # The wait is limited, because a kill command may set an earlier time at any moment.
            await asyncio.sleep(min(pause_us, 50 * MILLISECOND_US) / SECOND_US)
            self._execute(self._worker.collect_due_actions(now_us()))

    # Actions

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StoreSession(session, token):
                    try:
                        self._store_session(session, token)
                    except OSError as failure:
                        # A later worker that restores an older token would obey a deposed leader.
                        log.error("cannot store session and token, worker exits: %s", failure)
                        os._exit(1)
                case FetchDescription(task, attempt):
                    self._background_tasks.spawn(
                        f"fetch {task}", self._fetch_description(task, attempt)
                    )
                case StartTask(task, attempt, description):
                    self._start_task(task, attempt, description)
                case SendSignal(task, attempt, force):
                    number = signal.SIGKILL if force else signal.SIGTERM
                    self._send_to_guard("signal", self._attempt_key(task, attempt), int(number))
                case KillAllTasks():
                    log.error(
                        "lease expired: killing all tasks of the machine",
                        extra={"machine": self._settings.machine, "session": self._worker.session},
                    )
                    if self._guard is not None:
                        self._session_ready.clear()
                        self._send_to_guard("killall")
                    self._send_to_guard("lease", self._worker.lease_end_us)
        if self._worker.has_unreported_changes:
            self._report_wanted.set()

    def _send_to_guard(self, *message: object) -> None:
        if self._guard is not None:
            self._guard.send(*message)

    def _attempt_key(self, task: str, attempt: int) -> str:
        return f"{self._worker.session}:{task}:{attempt}"

    async def _fetch_description(self, task: str, attempt: int) -> None:
        job, index = split_task_name(task)
        pause_s = 0.1
        while True:
            slot = self._worker.slots.get((task, attempt))
            if slot is None or slot.end_reason is not None:
                return
            try:
                description = await self._load_description(job)
                break
            except CallError as failure:
                log.info("cannot fetch the description of job %s, trying again: %s", job, failure)
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, 5.0)
        has_result = self._layout.result(job, index).exists()
        self._execute(self._worker.handle_description(task, attempt, description, has_result))

    async def _load_description(self, job: str) -> JobDescription | None:
        """Return the description of a job; None if the front has none."""
        cached = self._descriptions.get(job)
        if cached is not None:
            self._descriptions.move_to_end(job)
            return cached
        url = f"http://{self._settings.front}/descriptions/{job}"
        status, body = await self._http.call("GET", url, None, 3 * SECOND_US)
        if status in (400, 404):
            return None
        if status != 200:
            raise CallError(f"front answered with HTTP status {status}")
        try:
            description = _description_decoder.decode(body)
        except msgspec.DecodeError as invalid:
            raise CallError(f"front sent a malformed description: {invalid}") from invalid
        self._descriptions[job] = description
        if len(self._descriptions) > _MAX_CACHED_DESCRIPTIONS:
            self._descriptions.popitem(last=False)
        return description

    def _start_task(self, task: str, attempt: int, description: JobDescription) -> None:
        job, index = split_task_name(task)
        directory, result = self._attempt_paths(task, attempt)
        directory.mkdir(parents=True, exist_ok=True)
        save = directory.parent / "save"
        save.mkdir(exist_ok=True)
        inherited = {
            key: value for key, value in os.environ.items() if not key.startswith("WELDHEAD_")
        }
        environment = inherited | description.environment
        environment |= {
            "WELDHEAD_JOB": job,
            "WELDHEAD_TASK": str(index),
            "WELDHEAD_ATTEMPT": str(attempt),
            "WELDHEAD_SAVE": str(save),
        }
        self._send_to_guard(
            "run",
            self._attempt_key(task, attempt),
            list(description.command),
            environment,
            description.directory or str(directory / "work"),
            str(directory / "output"),
            str(directory / "exit"),
            str(result),
        )

    # Reports

    async def _report_periodically(self) -> None:
        period = self._settings.report_s
        while True:
            await self._session_ready.wait()
            start_us = now_us()
            self._report_wanted.clear()
            await self._report_once()
            next_us = start_us + seconds_us(period * random.uniform(0.75, 1.25))
            remaining_us = next_us - now_us()
            if remaining_us > 0 and not self._worker.has_unreported_changes:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._report_wanted.wait(), remaining_us / SECOND_US)
            await asyncio.sleep(max(0, start_us + MIN_REPORT_INTERVAL_US - now_us()) / SECOND_US)

    async def _report_once(self) -> None:
        worker = self._worker
        self._execute(worker.check_lease(now_us()))
        if not self._session_ready.is_set():
            return
        controllers = list(self._settings.nodes)
        controller = controllers[self._controller_index % len(controllers)]
        sent_us = now_us()
        report = worker.build_report(sent_us)
        session = worker.session
        url = f"http://{self._settings.nodes[controller]}/v1/report"
        try:
            status, body = await self._http.call(
                "POST", url, msgspec.json.encode(report), REPORT_TIMEOUT_US
            )
        except CallError as failure:
            log.info("report to controller %s failed: %s", controller, failure)
            await self._switch_controller()
            return
        try:
            if status == 200:
                answer = _answer_decoder.decode(body)
                actions = worker.handle_answer(
                    session, sent_us, answer.token, answer.commands, now_us()
                )
                self._execute(actions)
                self._send_to_guard("lease", worker.lease_end_us)
                return
            leader = _redirect_decoder.decode(body).leader if status == 421 else None
        except msgspec.DecodeError as invalid:
            log.error("controller %s sent a malformed answer to a report: %s", controller, invalid)
            leader = None
        if leader in controllers and leader != controller:
            self._controller_index = controllers.index(leader)
            worker.has_unreported_changes = True
            await asyncio.sleep(random.uniform(0, 0.3))
        else:
            await self._switch_controller()

    async def _switch_controller(self) -> None:
        self._controller_index = (self._controller_index + 1) % len(self._settings.nodes)
        self._worker.has_unreported_changes = True
        await asyncio.sleep(1.0)

    # Direct requests

    async def _handle_request(self, request: web.BaseRequest, body: bytes) -> Reply:
        if not self._session_ready.is_set():
            return error(503, "ending an earlier session", 1)
        worker = self._worker
        method_and_path = (request.method, request.path)
        if method_and_path == ("POST", "/commands"):
            try:
                direct = _commands_decoder.decode(body)
            except msgspec.DecodeError as invalid:
                return error(400, str(invalid))
            accepted, actions = worker.handle_commands(
                direct.session, direct.token, direct.commands, now_us()
            )
            self._execute(actions)
            return self._reply_with_report(200 if accepted else 409)
        if method_and_path == ("GET", "/status"):
            self._execute(worker.check_lease(now_us()))
            return self._reply_with_report(200)
        if method_and_path == ("POST", "/notice"):
            worker.handle_notice(
                now_us(), seconds_us(msgspec.json.decode(body, type=RemovalNotice).remaining_s)
            )
            self._report_wanted.set()
            return reply(200, {})
        return error(404, "no such call")

    def _reply_with_report(self, status: int) -> Reply:
        if not self._session_ready.is_set():
            # The lease has just expired: no report is sent until the old processes are killed.
            return error(503, "ending an earlier session", 1)
        # The report in this answer does not replace the next periodic report.
        has_unreported_changes = self._worker.has_unreported_changes
        report = self._worker.build_report(now_us())
        self._worker.has_unreported_changes = has_unreported_changes
        return reply(status, report)
