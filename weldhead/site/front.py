"""The site's front: users' requests to healthy controllers, descriptions, and outputs."""

import asyncio
import contextlib
import logging
import os
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import msgspec
from aiohttp import web

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us
from weldhead.protocol.validation import is_job_id
from weldhead.protocol.wire import MAX_TASKS
from weldhead.site.http import Reply, error, parse_count, reply
from weldhead.site.layout import Layout
from weldhead.site.parts import FrontSettings
from weldhead.site.routing import PROBE_INTERVAL_US, Backend, Balancer
from weldhead.site.worker import JobDescription
from weldhead.transport.background_tasks import BackgroundTasks
from weldhead.transport.http_client import CallError, HttpClient, NotConnectedError

log = logging.getLogger(__name__)

_CONNECT_US = 500 * MILLISECOND_US
_ANSWER_US = 5 * SECOND_US
_MOST_TRIES = 3
#: Outputs are handed out in pieces of at most so many bytes.
PIECE_BYTES = 48 * 1024
#: So many failed attempts of a job are told at most.
_MOST_FAILURES = 50

_works = msgspec.json.Decoder(JobDescription)


class AttemptRecord(msgspec.Struct, omit_defaults=True):
    """How an attempt ended: exit code, or why there is none; times are the time of day.

    ``bytes`` is how long its output is.
    """

    attempt: int
    code: int | None = None
    reason: str | None = None
    began: float | None = None
    ended: float | None = None
    bytes: int = 0


class TaskFailure(msgspec.Struct):
    """A task whose last attempts failed by themselves, and how the last one did."""

    task: int
    failures: int
    code: int | None
    reason: str | None


class JobOutcome(msgspec.Struct):
    """What the site's machines say about a job: results and failed attempts."""

    results: int
    failing: list[TaskFailure]


class Front:
    """Answers users; keeps no state of its own but files."""

    def __init__(self, settings: FrontSettings) -> None:
        self._settings = settings
        self._layout = Layout(Path(settings.root))
        self._http = HttpClient(512)
        self._probes = HttpClient(32)
        self.balancer = Balancer(Backend(name, address) for name, address in settings.nodes.items())

    def start(self, background_tasks: BackgroundTasks) -> None:
        """Start probing."""
        for backend in self.balancer.backends:
            background_tasks.start(f"probe {backend.name}", partial(self._probe, backend))

    async def close(self) -> None:
        """Close the connections to the controllers."""
        await self._http.close()
        await self._probes.close()

    async def _probe(self, backend: Backend) -> None:
        url = f"http://{backend.address}/ready"
        while True:
            began_us = now_us()
            try:
                status, _ = await self._probes.call("GET", url, None, SECOND_US)
            except CallError:
                status = 0
            backend.record_probe(status == 200, now_us())
            # A controller that has never been up is waited for: somebody starts a site.
            period_us = PROBE_INTERVAL_US if backend.was_healthy else PROBE_INTERVAL_US // 5
            await asyncio.sleep(max(0, began_us + period_us - now_us()) / SECOND_US)

    async def handle(self, request: web.BaseRequest, body: bytes) -> Reply:
        """Answer one request."""
        path = request.path
        if path == "/ready":
            ready = self.balancer.is_ready
            return reply(200 if ready else 503, {"ready": ready})
        if path == "/submissions" or path.startswith("/submissions/"):
            return await self._pass_on(request.method, path, body)
        try:
            return await asyncio.to_thread(self._file_call, request, body)
        except (msgspec.DecodeError, ValueError) as malformed:
            return error(400, str(malformed))
        except OSError as failed:
            log.error("%s %s: %s", request.method, path, failed)
            return error(503, "cannot be read or written", 1)

    async def _pass_on(self, method: str, path: str, body: bytes) -> Reply:
        """Have a controller answer; only what was surely not sent is tried with another."""
        tried: list[str] = []
        while len(tried) < _MOST_TRIES:
            backend = self.balancer.choose(now_us(), tried)
            if backend is None:
                break
            tried.append(backend.name)
            backend.in_flight += 1
            try:
                status, answer = await self._http.call(
                    method, f"http://{backend.address}{path}", body or None, _ANSWER_US, _CONNECT_US
                )
            except NotConnectedError:
                backend.record_connection(False, now_us())
                continue
            except CallError as failed:
                # It may have been carried out: the user asks again, with the same id.
                log.info("%s %s: %s", method, path, failed)
                return error(504, "no answer from the controller", 1)
            finally:
                backend.in_flight -= 1
            backend.record_connection(True, now_us())
            # The controllers say a second wherever they say when to come back.
            return Reply(status, answer, 1 if status in (429, 503) else 0)
        return error(503, "no controller takes requests", 1)

    # Files

    def _file_call(self, request: web.BaseRequest, body: bytes) -> Reply:
        method, parts = request.method, request.path.strip("/").split("/")
        match (method, parts):
            case ("GET", ["site"]):
                told = {"controllers": self._settings.nodes, "teams": self._settings.teams}
                return reply(200, told)
            case ("PUT", ["descriptions", job]) if is_job_id(job):
                return self._store(job, body)
            case ("GET", ["descriptions", job]) if is_job_id(job):
                return self._read(job)
            case ("GET", ["outcomes", job]) if is_job_id(job):
                return reply(200, self._outcome(job))
            case ("GET", ["attempts", job, task]) if is_job_id(job):
                return reply(200, list(self._attempts(job, parse_count(task))))
            case ("GET", ["output", job, task, attempt]) if is_job_id(job):
                start = parse_count(request.query.get("from", "0"))
                return self._output(job, parse_count(task), parse_count(attempt), start)
        return error(404, "no such call")

    def _store(self, job: str, body: bytes) -> Reply:
        work = _works.decode(body)
        if not work.command or not all(work.command):
            return error(400, "command: must name a program")
        if not 1 <= work.tasks <= MAX_TASKS:
            return error(400, f"tasks: must be 1 to {MAX_TASKS}")
        if work.directory is not None and not os.path.isabs(work.directory):
            return error(400, "directory: must be absolute")
        texts = [*work.command, *work.environment, *work.environment.values()]
        if any("\0" in text for text in texts) or any("=" in key for key in work.environment):
            return error(400, "command, environment: no NUL, and no = in a name")
        path = self._layout.description(job)
        path.parent.mkdir(parents=True, exist_ok=True)
        fresh = path.with_name(f".{path.name}.{os.getpid()}.{time.monotonic_ns()}")
        try:
            with fresh.open("wb") as file:
                file.write(body)
                file.flush()
                os.fsync(file.fileno())
            # A job's description never changes: the first one stays.
            os.link(fresh, path)
        except FileExistsError:
            if _works.decode(path.read_bytes()) != work:
                return error(409, "this job has another description")
            return reply(200, {})
        finally:
            fresh.unlink(missing_ok=True)
        return reply(201, {})

    def _read(self, job: str) -> Reply:
        try:
            return Reply(200, self._layout.description(job).read_bytes())
        except FileNotFoundError:
            return error(404, "no description")

    def _attempts(self, job: str, index: int) -> Iterator[AttemptRecord]:
        """Yield a task's attempts in their order."""
        folder = self._layout.task(job, index)
        try:
            numbers = sorted(int(name) for name in os.listdir(folder) if name.isdecimal())
        except FileNotFoundError:
            return
        for number in numbers:
            place = folder / str(number)
            try:
                size = (place / "output").stat().st_size
            except FileNotFoundError:
                size = 0
            values: dict[str, object] = {}
            with contextlib.suppress(FileNotFoundError):
                values = msgspec.json.decode((place / "exit").read_bytes())
            yield msgspec.convert(values | {"attempt": number, "bytes": size}, AttemptRecord)

    def _outcome(self, job: str) -> JobOutcome:
        outcome = JobOutcome(0, [])
        try:
            names = os.listdir(self._layout.job(job))
        except FileNotFoundError:
            return outcome
        for name in names:
            if not name.isdecimal():
                continue
            if self._layout.result(job, int(name)).exists():
                outcome.results += 1
                continue
            if len(outcome.failing) >= _MOST_FAILURES:
                continue
            failed = [
                record
                for record in self._attempts(job, int(name))
                # Those that were stopped ended by a signal and say nothing of the command.
                if record.ended and not (record.code is None and _stopped(record))
            ]
            if failed:
                last = failed[-1]
                outcome.failing.append(TaskFailure(int(name), len(failed), last.code, last.reason))
        return outcome

    def _output(self, job: str, index: int, attempt: int, start: int) -> Reply:
        path = self._layout.task(job, index) / str(attempt) / "output"
        try:
            with path.open("rb") as file:
                file.seek(start)
                return Reply(200, file.read(PIECE_BYTES), content_type="application/octet-stream")
        except FileNotFoundError:
            return error(404, "no such attempt")


def _stopped(record: AttemptRecord) -> bool:
    return record.reason in ("ended by signal 9", "ended by signal 15")
