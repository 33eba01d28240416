"""A worker as a process: reports, direct commands, and real commands run by its guard."""

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
from weldhead.site.layout import Layout, write_whole
from weldhead.site.parts import WorkerSettings
from weldhead.site.worker import (
    Action,
    Fetch,
    KillAll,
    Place,
    Remember,
    Signal,
    StartSlot,
    Work,
    Worker,
)
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, HttpClient

log = logging.getLogger(__name__)

#: The guard begins to end everything so long before the lease is over for the controllers,
#: so that nothing is left when they start the tasks elsewhere.
MARGIN_US = 300 * MILLISECOND_US
REPORT_LIMIT_US = 4 * SECOND_US
#: Changes are reported at most so often.
CHANGE_PAUSE_US = SECOND_US // 2
_KEPT_WORK = 1_000

_answers = msgspec.json.Decoder(HeartbeatAnswer)
_redirects = msgspec.json.Decoder(LeaderRedirect)
_directs = msgspec.json.Decoder(DirectCommands)
_works = msgspec.json.Decoder(Work)


class Memory(msgspec.Struct):
    """What a worker's successor on the same machine must know."""

    session: int
    token: int


class Notice(msgspec.Struct, rename={"left_s": "recall_s"}):
    """The pool says when it takes the machine."""

    left_s: float


class GuardGoneError(Exception):
    """The guard's process has ended."""


class GuardProcess:
    """The worker's end of the pipes to its guard."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        assert process.stdin is not None and process.stdout is not None
        self._to = process.stdin
        self._from = process.stdout

    @classmethod
    async def start(cls, mark: str) -> "GuardProcess":
        """Start a guard."""
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

    def say(self, *message: object) -> None:
        """Send a message; a guard that is gone is noticed by :meth:`hear`."""
        with contextlib.suppress(RuntimeError, ConnectionError):
            self._to.write(msgspec.json.encode(message) + b"\n")

    async def hear(self) -> list[object]:
        """Wait for the next message; GuardGone when there will be none."""
        line = await self._from.readline()
        if not line.endswith(b"\n"):
            await self._process.wait()
            raise GuardGoneError(f"exit code {self._process.returncode}")
        message: list[object] = msgspec.json.decode(line)
        return message

    async def close(self) -> None:
        """Have it end everything and leave."""
        self._to.close()
        await self._process.wait()


class WorkerProcess:
    """Runs one worker until it is cancelled."""

    def __init__(self, settings: WorkerSettings, listening: socket.socket) -> None:
        self._settings = settings
        self._listening = listening
        self._layout = Layout(Path(settings.root))
        self._memory = self._layout.machine(settings.machine) / "session.json"
        host, port = listening.getsockname()[:2]
        place = Place(
            settings.machine,
            f"{host}:{port}",
            settings.type,
            settings.zone,
            settings.spot,
            settings.cpus,
            settings.gpus,
            settings.memory_gb,
        )
        self._worker = Worker(place, seconds_us(settings.lease_s) - MARGIN_US, now_us())
        self._http = HttpClient(16)
        self._duties = BackgroundTasks()
        self._guard: GuardProcess | None = None
        #: Not set while the processes of an earlier session are being ended: until then
        #: nobody may hear of the next one.
        self._clear = asyncio.Event()
        self._poke = asyncio.Event()
        #: Commands that run, by their processes.
        self._running: dict[int, str] = {}
        self._works: OrderedDict[str, Work] = OrderedDict()
        self._node = random.randrange(len(settings.nodes))

    async def run(self) -> None:
        """Serve until cancelled; everything started is gone when this returns."""
        guard_program.become_reaper()
        await self._begin()
        server = SiteServer(self._handle)
        await server.start(self._listening)
        self._duties.start("guard", self._listen_guard)
        self._duties.start("lease", self._watch_lease)
        self._duties.start("reports", self._report_always)
        try:
            await asyncio.Event().wait()
        finally:
            await self._duties.close()
            if self._guard is not None:
                await self._guard.close()
            await server.close()
            await self._http.close()

    async def _begin(self) -> None:
        """Take up after an earlier life on this machine, if there was one."""
        worker, mark = self._worker, self._settings.mark
        try:
            memory = msgspec.json.decode(self._memory.read_bytes(), type=Memory)
        except FileNotFoundError:
            memory = None
        if memory is not None:
            while not await asyncio.to_thread(guard_program.sweep, mark):
                log.error("processes of an earlier life are still there")
            worker.session, worker.token = memory.session + 1, memory.token
        self._remember(worker.session, worker.token)
        self._guard = await GuardProcess.start(mark)
        worker.lease_from_us = now_us()
        self._guard.say("lease", worker.lease_ends_us)
        self._clear.set()

    def _remember(self, session: int, token: int) -> None:
        write_whole(self._memory, msgspec.json.encode(Memory(session, token)))

    # The guard

    async def _listen_guard(self) -> None:
        while True:
            guard = self._guard
            if guard is None:
                guard = self._guard = await GuardProcess.start(self._settings.mark)
                guard.say("lease", self._worker.lease_ends_us)
                self._clear.set()
            try:
                message = await guard.hear()
            except GuardGoneError as gone:
                await self._lost_guard(gone)
                continue
            self._do(self._worker.check_lease(now_us()))
            match message:
                case ["started", str(key), int(pid)]:
                    self._running[pid] = key
                case ["exited", str(key), int() | None as code]:
                    self._running = {p: k for p, k in self._running.items() if k != key}
                    session, task, attempt = key.split(":")
                    if int(session) == self._worker.session:
                        self._worker.exited(task, int(attempt), code)
                        self._poke.set()
                case ["killed"]:
                    self._clear.set()
                case _:
                    log.error("the guard says %r", message)

    async def _lost_guard(self, gone: GuardGoneError) -> None:
        log.error(
            "the guard is gone (%s): everything here is ended",
            gone,
            extra={"machine": self._settings.machine, "session": self._worker.session},
        )
        self._guard = None
        # First the processes, then the news: nobody hears of a next session before.
        self._clear.clear()
        while not await asyncio.to_thread(guard_program.sweep, self._settings.mark):
            log.error("processes of the guard are still there")
        self._inherit()
        actions = self._worker.lose_all(now_us())
        self._do([action for action in actions if isinstance(action, Remember)])
        self._poke.set()

    def _inherit(self) -> None:
        """Write down how the dead guard's commands ended: they are this process's now.

        A task that was complete when its guard was killed must not run a second time.
        """
        while True:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                break
            if pid == 0:
                break
            key = self._running.get(pid)
            if key is not None:
                _, task, attempt = key.split(":")
                place, result = self._paths(task, int(attempt))
                code = os.waitstatus_to_exitcode(status)
                guard_program.write_end(code, str(place / "exit"), str(result), None)
        self._running.clear()

    def _paths(self, task: str, attempt: int) -> tuple[Path, Path]:
        """Return an attempt's directory, and the file of its task's result."""
        job, index = split_task_name(task)
        folder = self._layout.task(job, index)
        return folder / str(attempt), self._layout.result(job, index)

    async def _watch_lease(self) -> None:
        while True:
            pause_us = max(MILLISECOND_US, self._worker.wake_us() - now_us())
            # What shortens the wait (a kill's grace) comes at any time.
            await asyncio.sleep(min(pause_us, 50 * MILLISECOND_US) / SECOND_US)
            self._do(self._worker.due(now_us()))

    # Actions

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Remember(session, token):
                    try:
                        self._remember(session, token)
                    except OSError as failed:
                        # A successor with an older token would obey a deposed leader.
                        log.error("cannot remember the token, so this ends: %s", failed)
                        os._exit(1)
                case Fetch(task, attempt):
                    self._duties.spawn(f"fetch {task}", self._fetch(task, attempt))
                case StartSlot(task, attempt, work):
                    self._start(task, attempt, work)
                case Signal(task, attempt, hard):
                    number = signal.SIGKILL if hard else signal.SIGTERM
                    self._tell("signal", self._key(task, attempt), int(number))
                case KillAll():
                    log.error(
                        "the lease is over: everything here is ended",
                        extra={"machine": self._settings.machine, "session": self._worker.session},
                    )
                    if self._guard is not None:
                        self._clear.clear()
                        self._tell("killall")
                    self._tell("lease", self._worker.lease_ends_us)
        if self._worker.changed:
            self._poke.set()

    def _tell(self, *message: object) -> None:
        if self._guard is not None:
            self._guard.say(*message)

    def _key(self, task: str, attempt: int) -> str:
        return f"{self._worker.session}:{task}:{attempt}"

    async def _fetch(self, task: str, attempt: int) -> None:
        job, index = split_task_name(task)
        pause_s = 0.1
        while True:
            slot = self._worker.slots.get((task, attempt))
            if slot is None or slot.why is not None:
                return
            try:
                work = await self._work(job)
                break
            except CallError as failed:
                log.info("%s: no description yet: %s", job, failed)
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, 5.0)
        done = self._layout.result(job, index).exists()
        self._do(self._worker.fetched(task, attempt, work, done))

    async def _work(self, job: str) -> Work | None:
        """Return what the job runs; None if nobody has uploaded it."""
        kept = self._works.get(job)
        if kept is not None:
            self._works.move_to_end(job)
            return kept
        url = f"http://{self._settings.front}/descriptions/{job}"
        status, body = await self._http.call("GET", url, None, 3 * SECOND_US)
        if status in (400, 404):
            return None
        if status != 200:
            raise CallError(f"front: {status}")
        try:
            work = _works.decode(body)
        except msgspec.DecodeError as nonsense:
            raise CallError(f"front: {nonsense}") from nonsense
        self._works[job] = work
        if len(self._works) > _KEPT_WORK:
            self._works.popitem(last=False)
        return work

    def _start(self, task: str, attempt: int, work: Work) -> None:
        job, index = split_task_name(task)
        place, result = self._paths(task, attempt)
        place.mkdir(parents=True, exist_ok=True)
        save = place.parent / "save"
        save.mkdir(exist_ok=True)
        base = {key: value for key, value in os.environ.items() if not key.startswith("WELDHEAD_")}
        environment = base | work.environment
        environment |= {
            "WELDHEAD_JOB": job,
            "WELDHEAD_TASK": str(index),
            "WELDHEAD_ATTEMPT": str(attempt),
            "WELDHEAD_SAVE": str(save),
        }
        self._tell(
            "run",
            self._key(task, attempt),
            list(work.command),
            environment,
            work.directory or str(place / "work"),
            str(place / "output"),
            str(place / "exit"),
            str(result),
        )

    # Reports

    async def _report_always(self) -> None:
        period = self._settings.report_s
        while True:
            await self._clear.wait()
            began_us = now_us()
            self._poke.clear()
            await self._report_once()
            next_us = began_us + seconds_us(period * random.uniform(0.75, 1.25))
            left_us = next_us - now_us()
            if left_us > 0 and not self._worker.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._poke.wait(), left_us / SECOND_US)
            await asyncio.sleep(max(0, began_us + CHANGE_PAUSE_US - now_us()) / SECOND_US)

    async def _report_once(self) -> None:
        worker = self._worker
        self._do(worker.check_lease(now_us()))
        if not self._clear.is_set():
            return
        names = list(self._settings.nodes)
        name = names[self._node % len(names)]
        sent_us = now_us()
        report = worker.report(sent_us)
        session = worker.session
        url = f"http://{self._settings.nodes[name]}/v1/report"
        try:
            status, body = await self._http.call(
                "POST", url, msgspec.json.encode(report), REPORT_LIMIT_US
            )
        except CallError as failed:
            log.info("report: %s", failed)
            await self._next_node()
            return
        try:
            if status == 200:
                answer = _answers.decode(body)
                actions = worker.answered(session, sent_us, answer.token, answer.commands, now_us())
                self._do(actions)
                self._tell("lease", worker.lease_ends_us)
                return
            leader = _redirects.decode(body).leader if status == 421 else None
        except msgspec.DecodeError as nonsense:
            log.error("%s answers nonsense: %s", name, nonsense)
            leader = None
        if leader in names and leader != name:
            self._node = names.index(leader)
            worker.changed = True
            await asyncio.sleep(random.uniform(0, 0.3))
        else:
            await self._next_node()

    async def _next_node(self) -> None:
        self._node = (self._node + 1) % len(self._settings.nodes)
        self._worker.changed = True
        await asyncio.sleep(1.0)

    # Direct requests

    async def _handle(self, request: web.BaseRequest, body: bytes) -> Reply:
        if not self._clear.is_set():
            return error(503, "ending an earlier session", 1)
        worker = self._worker
        call = (request.method, request.path)
        if call == ("POST", "/commands"):
            try:
                direct = _directs.decode(body)
            except msgspec.DecodeError as malformed:
                return error(400, str(malformed))
            accepted, actions = worker.direct(
                direct.session, direct.token, direct.commands, now_us()
            )
            self._do(actions)
            return self._answer_report(200 if accepted else 409)
        if call == ("GET", "/status"):
            self._do(worker.check_lease(now_us()))
            return self._answer_report(200)
        if call == ("POST", "/notice"):
            worker.notice(now_us(), seconds_us(msgspec.json.decode(body, type=Notice).left_s))
            self._poke.set()
            return reply(200, {})
        return error(404, "no such call")

    def _answer_report(self, status: int) -> Reply:
        if not self._clear.is_set():
            # The lease has just turned out to be over: nobody hears before all is ended.
            return error(503, "ending an earlier session", 1)
        # A report that is given here does not replace the next one that is due.
        changed = self._worker.changed
        made = self._worker.report(now_us())
        self._worker.changed = changed
        return reply(status, made)
