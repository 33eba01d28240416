"""The commands for jobs: submit, wait, status, cancel, jobs.

Exit codes: 0 done (or accepted, if the command does not wait for the job's end), 1 withdrawn
or failed, 2 usage error, 3 refused, 4 no answer within the time limit, 5 journal unusable.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from weldhead.cli.progress import Reporter
from weldhead.client.answers import Answer, Outcome
from weldhead.client.client import Client, ClientSettings
from weldhead.client.config import ConfigProblem, client_settings, journal_path, read_config
from weldhead.client.job import Job, JobProblem, check_job, parse_job
from weldhead.client.journal import Journal, JournalEntry, JournalError, KeyConflict
from weldhead.protocol.validation import is_job_id
from weldhead.tomlfiles import FileProblemError, read_text

EXIT_WITHDRAWN = 1
EXIT_REFUSED = 3
EXIT_NO_ANSWER = 4
EXIT_JOURNAL = 5

#: The key of click's context under which the command of ``submit ... -- COMMAND`` is stored.
_COMMAND_KEY = "weldhead.command"

_server_option = click.option(
    "--server", help="HOST:PORT of the service; separate several with commas."
)
_journal_option = click.option(
    "--journal", type=click.Path(path_type=Path), help="The journal's file."
)
_json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object per line."
)


def _timeout_option(default: float | None) -> Callable[[Any], Any]:
    default_text = f"{default:g}" if default else "none"
    return click.option(
        "--timeout",
        type=click.FloatRange(0, min_open=True),
        default=default,
        help=f"Stop waiting after this many seconds [default: {default_text}].",
    )


def _exit_with_error(code: int, text: str) -> NoReturn:
    click.echo(f"weldhead: {text}", err=True)
    sys.exit(code)


def _load_settings(
    server: str | None, journal: Path | None, policies: Path | None
) -> ClientSettings:
    try:
        return client_settings(server, journal, policies)
    except (ConfigProblem, FileProblemError) as problem:
        _exit_with_error(2, str(problem))


def _run_and_exit(work: Awaitable[int]) -> NoReturn:
    async def run() -> int:
        return await work

    try:
        code = asyncio.run(run())
    except JournalError as error:
        _exit_with_error(EXIT_JOURNAL, f"{error}; nothing was sent because of that")
    except KeyConflict as conflict:
        _exit_with_error(2, str(conflict))
    except KeyboardInterrupt:
        _exit_with_error(130, "interrupted; `weldhead wait` goes on with what the journal has")
    sys.exit(code)


def _exit_code(answer: Answer, *, waited: bool) -> int:
    match answer.outcome:
        case Outcome.DONE:
            return 0
        case Outcome.WITHDRAWN:
            return EXIT_WITHDRAWN
        case Outcome.REFUSED:
            return EXIT_REFUSED
    return 0 if answer.accepted and not waited else EXIT_NO_ANSWER


async def _follow(
    client: Client, key: str, reporter: Reporter, timeout: float | None, *, accepted_only: bool
) -> Answer:
    """Show a submission's progress until its final answer or the timeout.

    ``accepted_only``: return as soon as the submission is accepted.
    """
    loop = asyncio.get_running_loop()
    deadline = None if timeout is None else loop.time() + timeout
    while True:
        remaining_s = 3600.0 if deadline is None else deadline - loop.time()
        if accepted_only:
            answer = await client.accepted(key, max(0.0, min(remaining_s, 1.0)))
        else:
            answer = await client.wait(key, max(0.0, min(remaining_s, 0.5)))
        if answer.final or remaining_s <= 0 or (accepted_only and answer.accepted):
            return answer
        reporter.show(answer)


class _CommandBeforeSeparator(click.Command):
    """A command that does not parse the arguments after ``--``: they are the user's command."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if "--" in args:
            separator = args.index("--")
            ctx.meta[_COMMAND_KEY] = tuple(args[separator + 1 :])
            args = args[:separator]
        return super().parse_args(ctx, args)


@click.command(cls=_CommandBeforeSeparator, options_metavar="[OPTIONS] [-- COMMAND ...]")
@click.argument("file", required=False, metavar="[JOB.toml|-]")
@click.option("--key", help="A name of your choice; repeating a key does not submit again.")
@click.option("--team")
@click.option("--class", "job_class")
@click.option("--tasks", type=int)
@click.option("--cpus", type=float, help="Per task.")
@click.option("--gpus", type=float, help="Per task.")
@click.option("--memory-gb", type=float, help="Per task.")
@click.option("--priority", type=click.Choice(["production", "high", "normal", "idle"]))
@click.option("--deadline", "deadline_s", type=float, help="Seconds from now.")
@click.option(
    "--estimate", "estimate_s", type=float, help="Approximate run time of a task, in seconds."
)
@click.option("--waits-on", multiple=True, metavar="ID", help="A job that has to be done first.")
@click.option("--env", multiple=True, metavar="NAME=VALUE", help="Environment of the tasks.")
@click.option(
    "--directory", type=click.Path(), help="Working directory of the tasks [default: their own]."
)
@click.option("--wait", "wait_for", is_flag=True, help="Wait for the final answer.")
@click.option(
    "--policies",
    type=click.Path(path_type=Path),
    help="The policies file: which job classes are repeated.",
)
@_server_option
@_journal_option
@_timeout_option(None)
@_json_option
def submit(
    file: str | None,
    key: str | None,
    wait_for: bool,
    policies: Path | None,
    server: str | None,
    journal: Path | None,
    timeout: float | None,
    as_json: bool,
    **flags: Any,
) -> None:
    """Submit a job from a file, or from flags and a command behind `--`.

    Without --wait it ends when the job is accepted, after 60 s at the latest.
    """
    job, file_key = _build_job(file, flags)
    settings = _load_settings(server, journal, policies)
    if not wait_for and timeout is None:
        timeout = 60.0

    async def run() -> int:
        async with Client(settings) as client:
            try:
                used_key = await client.submit(job, key or file_key)
            except JobProblem as problem:
                _exit_with_error(2, str(problem))
            with Reporter(as_json=as_json) as reporter:
                answer = await _follow(
                    client, used_key, reporter, timeout, accepted_only=not wait_for
                )
                reporter.close(answer, waited=wait_for)
            return _exit_code(answer, waited=wait_for)

    _run_and_exit(run())


def _build_job(file: str | None, flags: dict[str, Any]) -> tuple[Job, str | None]:
    """Build a job from a file or the config's defaults; flags and the command override them."""
    context = click.get_current_context()
    command: tuple[str, ...] = context.meta.get(_COMMAND_KEY, ())
    key: str | None = None
    try:
        if file == "-":
            job, key = parse_job("<stdin>", sys.stdin.read())
        elif file is not None:
            job, key = parse_job(file, read_text(Path(file)))
        else:
            job = msgspec.convert(read_config().defaults, Job)
    except FileProblemError as problem:
        _exit_with_error(2, str(problem))
    except msgspec.ValidationError as error:
        _exit_with_error(2, f"config file: defaults: {error}")
    changes: dict[str, Any] = {
        name: value
        for name, value in flags.items()
        if name not in ("waits_on", "env") and value is not None
    }
    if command:
        changes["command"] = command
    if flags["waits_on"]:
        changes["waits_on"] = flags["waits_on"]
    if flags["env"]:
        pairs = [pair.partition("=") for pair in flags["env"]]
        if any(not separator for _, separator, _ in pairs):
            raise click.BadParameter("must be NAME=VALUE", ctx=context, param_hint="--env")
        changes["environment"] = job.environment | {name: value for name, _, value in pairs}
    job = msgspec.structs.replace(job, **changes)
    if not job.command:
        raise click.UsageError("a job file with a command, or a command behind `--`, is needed")
    try:
        check_job(job)
    except JobProblem as problem:
        _exit_with_error(2, str(problem))
    return job, key


async def _find_key(client: Client, journal: Journal, name: str) -> str | None:
    """Return the key of a submission that is named by key or id; None if it is unknown."""
    if await journal.find(name) is not None:
        return name
    return await journal.key_of(name)


@click.command()
@click.argument("names", nargs=-1, metavar="KEY|ID...")
@_server_option
@_journal_option
@_timeout_option(None)
@_json_option
def wait(
    names: tuple[str, ...],
    server: str | None,
    journal: Path | None,
    timeout: float | None,
    as_json: bool,
) -> None:
    """Wait for the final answers of submissions of the journal; without names, of all."""
    settings = _load_settings(server, journal, None)

    async def run() -> int:
        opened_journal = Journal(settings.journal)
        code = 0
        try:
            async with Client(settings, opened_journal) as client:
                keys = [await _require_key(client, opened_journal, name) for name in names]
                if not names:
                    keys = await client.resume()
                with Reporter(as_json=as_json, many=len(keys) > 1) as reporter:
                    async for answer in client.wait_many(keys, timeout):
                        reporter.close(answer, waited=True)
                        code = max(code, _exit_code(answer, waited=True))
        finally:
            await asyncio.to_thread(opened_journal.close)
        return code

    _run_and_exit(run())


async def _require_key(client: Client, opened_journal: Journal, name: str) -> str:
    key = await _find_key(client, opened_journal, name)
    if key is None:
        _exit_with_error(2, f"{name}: not in the journal")
    return key


async def _ask_by_id(
    client: Client, name: str, *, cancel: bool, timeout: float, reporter: Reporter
) -> int:
    """Query or cancel a job that is not in the journal, by its id; return the exit code."""
    if not is_job_id(name):
        _exit_with_error(2, f"{name}: neither a key of the journal nor a job id")
    answer = await client.ask_id(name, cancel=cancel, timeout_s=timeout)
    reporter.close(answer, waited=False)
    return 0 if answer.accepted else EXIT_NO_ANSWER


def _query_or_cancel(
    names: tuple[str, ...],
    server: str | None,
    journal: Path | None,
    timeout: float,
    as_json: bool,
    *,
    cancel: bool,
) -> NoReturn:
    settings = _load_settings(server, journal, None)

    async def run() -> int:
        opened_journal = Journal(settings.journal)
        code = 0
        try:
            async with Client(settings, opened_journal) as client:
                with Reporter(as_json=as_json, many=len(names) > 1) as reporter:
                    for name in names:
                        key = await _find_key(client, opened_journal, name)
                        if key is None:
                            code = max(code, await _ask_by_id(
                                client, name, cancel=cancel, timeout=timeout, reporter=reporter
                            ))  # fmt: skip
                            continue
                        if cancel:
                            answer = await client.cancel(key, timeout)
                            failed = not answer.final
                        else:
                            answer = await client.poll(key)
                            failed = bool(client.trouble(key))
                        reporter.close(answer, waited=False)
                        code = max(code, EXIT_NO_ANSWER if failed else 0)
        finally:
            await asyncio.to_thread(opened_journal.close)
        return code

    _run_and_exit(run())


@click.command()
@click.argument("names", nargs=-1, required=True, metavar="KEY|ID...")
@_server_option
@_journal_option
@_timeout_option(10.0)
@_json_option
def status(
    names: tuple[str, ...],
    server: str | None,
    journal: Path | None,
    timeout: float,
    as_json: bool,
) -> None:
    """Show what is known about jobs now."""
    _query_or_cancel(names, server, journal, timeout, as_json, cancel=False)


@click.command()
@click.argument("names", nargs=-1, required=True, metavar="KEY|ID...")
@_server_option
@_journal_option
@_timeout_option(60.0)
@_json_option
def cancel(
    names: tuple[str, ...],
    server: str | None,
    journal: Path | None,
    timeout: float,
    as_json: bool,
) -> None:
    """Withdraw jobs; exit code 0 means that each has its final answer."""
    _query_or_cancel(names, server, journal, timeout, as_json, cancel=True)


@click.command()
@click.option(
    "--all", "everything", is_flag=True, help="Also list submissions that have a final answer."
)
@click.option(
    "--most", type=click.IntRange(1), default=200, help="List at most this many, the newest."
)
@click.option("--compact", is_flag=True, help="Delete records that old final answers do not need.")
@_journal_option
@_json_option
def jobs(everything: bool, most: int, compact: bool, journal: Path | None, as_json: bool) -> None:
    """List the journal's submissions, without a call to the service."""
    try:
        path = journal or journal_path(read_config())
    except FileProblemError as problem:
        _exit_with_error(2, str(problem))

    async def run() -> int:
        opened_journal = Journal(path)
        try:
            if compact:
                compacted = await opened_journal.compact()
                click.echo(f"{compacted} submissions compacted", err=True)
            for entry in await opened_journal.entries(unfinished=not everything, most=most):
                click.echo(_format_entry(entry, as_json))
        finally:
            await asyncio.to_thread(opened_journal.close)
        return 0

    _run_and_exit(run())


def _format_entry(entry: JournalEntry, as_json: bool) -> str:
    if as_json:
        value: dict[str, Any] = {"key": entry.key, "created_us": entry.created_us}
        if entry.runs:
            value |= {"id": entry.runs[-1].id, "phase": entry.runs[-1].phase.name.lower()}
        if entry.answer is not None:
            value["answer"] = entry.answer
        return msgspec.json.encode(value).decode()
    if entry.answer is not None:
        return f"{entry.key}  {entry.answer.id}  {entry.answer.known}"
    run = entry.runs[-1]
    return f"{entry.key}  {run.id}  {run.phase.name.lower()}, sent {run.sends} times"
