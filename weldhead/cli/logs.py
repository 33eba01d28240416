"""The ``logs`` command: shows the output of a task's attempt."""

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from weldhead.client.config import ConfigProblem, client_settings
from weldhead.client.decisions import FailedCall
from weldhead.client.endpoints import Endpoints
from weldhead.client.journal import Journal, JournalError
from weldhead.client.transport import Transport
from weldhead.clock import SECOND_US, now_us, seconds_us
from weldhead.tomlfiles import FileProblemError


class _LogsError(Exception):
    """The output cannot be shown; ``code`` is the exit code."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


@click.command()
@click.argument("task", metavar="JOB/TASK")
@click.option("--attempt", type=int, help="The attempt to show [default: the last].")
@click.option("--attempts", is_flag=True, help="List the attempts instead, with exit codes.")
@click.option("--server", help="HOST:PORT of the service.")
@click.option("--journal", type=click.Path(path_type=Path), help="The journal's file.")
@click.option("--timeout", type=click.FloatRange(0, min_open=True), default=10.0)
def logs(
    task: str,
    attempt: int | None,
    attempts: bool,
    server: str | None,
    journal: Path | None,
    timeout: float,
) -> None:
    """Show a task's output; JOB is an id, or a key of the journal."""
    name, _, index = task.rpartition("/")
    if not name or not index.isdecimal():
        raise click.UsageError("JOB/TASK: as in run-000000000000000000000001/0")
    try:
        settings = client_settings(server, journal, None)
    except (ConfigProblem, FileProblemError) as problem:
        raise click.UsageError(str(problem)) from problem
    deadline_us = now_us() + seconds_us(timeout)

    opened_journal: Journal | None = None
    if settings.journal.exists():
        with contextlib.suppress(JournalError):
            opened_journal = Journal(settings.journal)

    async def run() -> None:
        job = await _find_job_id(opened_journal, name)
        transport = Transport(Endpoints(settings.servers), 4)
        try:
            attempts_json = await _get_with_retries(
                transport, f"/attempts/{job}/{index}", deadline_us
            )
            records: list[dict[str, Any]] = msgspec.json.decode(attempts_json)
            if not records:
                raise _LogsError(1, f"{task}: no attempt yet")
            if attempts:
                for record in records:
                    click.echo(msgspec.json.encode(record).decode())
                return
            chosen_attempt = attempt if attempt is not None else records[-1]["attempt"]
            offset = 0
            while True:
                path = f"/output/{job}/{index}/{chosen_attempt}?from={offset}"
                chunk = await _get_with_retries(transport, path, deadline_us)
                if not chunk:
                    return
                sys.stdout.buffer.write(chunk)
                sys.stdout.buffer.flush()
                offset += len(chunk)
        finally:
            await transport.close()

    try:
        asyncio.run(run())
    except _LogsError as failure:
        click.echo(f"weldhead: {failure}", err=True)
        sys.exit(failure.code)


async def _find_job_id(opened_journal: Journal | None, name: str) -> str:
    """Return the job id of a key of the journal; any other name is taken to be an id."""
    if opened_journal is None:
        return name
    try:
        entry = await opened_journal.find(name)
    finally:
        await asyncio.to_thread(opened_journal.close)
    if entry is None:
        return name
    return entry.answer.id if entry.answer is not None else entry.runs[-1].id


async def _get_with_retries(transport: Transport, path: str, deadline_us: int) -> bytes:
    pause_s = 0.2
    while True:
        answer = await transport.call("GET", path, None, 2 * SECOND_US)
        if not isinstance(answer, FailedCall):
            if answer[0] == 200:
                return answer[1]
            if answer[0] in (400, 404):
                raise _LogsError(1, f"{path.split('?')[0]}: not there")
        if now_us() + seconds_us(pause_s) > deadline_us:
            reason = answer.reason if isinstance(answer, FailedCall) else f"status {answer[0]}"
            raise _LogsError(4, f"no answer in time: {reason}")
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, 2.0)
