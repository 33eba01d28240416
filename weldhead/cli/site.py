"""The command ``local``, which runs a site on one machine, and those of the site's parts."""

import asyncio
import os
import socket
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec
import uvloop

from weldhead.cli.structured import configure_structured_logging
from weldhead.site.http import Handler, SiteServer
from weldhead.site.processes import wait_for_shutdown
from weldhead.transport.background_tasks import BackgroundTasks

T = TypeVar("T")

_REPOSITORY = Path(__file__).resolve().parents[2]


def _run_event_loop(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


@click.command()
@click.option(
    "--dir",
    "root",
    required=True,
    type=click.Path(path_type=Path),
    help="The directory for all files of the site.",
)
@click.option(
    "--port", default=0, type=click.IntRange(0, 65535), help="The port; 0 selects a free one."
)
@click.option(
    "--controllers",
    type=click.IntRange(1, 32),
    help="Number of controllers [default: as in the description].",
)
@click.option(
    "--cores", type=click.FloatRange(0, min_open=True), help="Number of CPUs that tasks may use."
)
@click.option(
    "--description",
    "file",
    type=click.Path(path_type=Path),
    default=_REPOSITORY / "deploy" / "local.toml",
    help="Teams, machine types, limits [default: deploy/local.toml].",
)
@click.option(
    "--documents",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Calendars and gates; an edition with a higher number takes effect at each start.",
)
def local(
    root: Path,
    port: int,
    controllers: int | None,
    cores: float | None,
    file: Path,
    documents: Path | None,
) -> None:
    """Run a whole site on this machine, until Ctrl-C or SIGTERM."""
    configure_structured_logging()
    from weldhead.site.description import read_description
    from weldhead.site.keeper import Keeper, SiteError
    from weldhead.tomlfiles import FileProblemError

    try:
        description = read_description(file)
    except FileProblemError as problem:
        raise click.ClickException(str(problem)) from problem
    if controllers is not None:
        description.controllers.count = controllers
    if cores is not None:
        description.cores = cores
        if all(machine.cpus > cores for machine in description.machines):
            raise click.UsageError(f"--cores: no machine type of {file} is as small as {cores:g}")
    tunables = description.controllers.tunables
    keeper = Keeper(
        root, description, port, click.echo, file.parent / tunables if tunables else None,
        documents.resolve() if documents is not None else None,
    )  # fmt: skip
    try:
        _run_event_loop(keeper.run())
    except SiteError as error:
        raise click.ClickException(str(error)) from error


def _read_settings(path: Path, settings_type: type[T]) -> T:
    return msgspec.json.decode(path.read_bytes(), type=settings_type)


async def _start_server(handler: Handler, fd: int) -> SiteServer:
    server = SiteServer(handler)
    # The keeper process holds the same socket, so the socket stays open if this process ends.
    await server.start(socket.socket(fileno=os.dup(fd)))
    return server


_settings_option = click.option(
    "--settings", "path", required=True, type=click.Path(path_type=Path)
)
_fd_option = click.option("--fd", required=True, type=int)


@click.command(hidden=True)
@_settings_option
@_fd_option
def site_state(path: Path, fd: int) -> None:
    """Run a site's state service."""
    configure_structured_logging()
    from weldhead.protocol.settings import StateLimits
    from weldhead.site.parts import StateSettings
    from weldhead.site.store.server import StateService

    settings = _read_settings(path, StateSettings)

    def limits(values: dict[str, float]) -> StateLimits:
        return StateLimits(
            values["rps"], values["write_rps"], values["value_kb"], int(values["txn_ops"])
        )

    async def run() -> None:
        service = StateService(limits(settings.limits), Path(settings.record))
        background_tasks = BackgroundTasks()
        service.start(background_tasks)
        if settings.next_limits is not None:
            upcoming_limits = limits(settings.limits | settings.next_limits)
            asyncio.get_running_loop().call_later(
                settings.next_after_s, service.set_limits, upcoming_limits
            )
        server = await _start_server(service.handle, fd)
        await wait_for_shutdown()
        await background_tasks.close()
        await server.close()
        service.close()

    _run_event_loop(run())


@click.command(hidden=True)
@_settings_option
@_fd_option
def site_pool(path: Path, fd: int) -> None:
    """Run a site's pool."""
    configure_structured_logging()
    from weldhead.site.parts import PoolSettings
    from weldhead.site.pool_process import PoolProcess

    async def run() -> None:
        pool = PoolProcess(_read_settings(path, PoolSettings))
        pool.start()
        server = await _start_server(pool.handle, fd)
        await wait_for_shutdown()
        await server.close()
        await pool.close(machines=True)

    _run_event_loop(run())


@click.command(hidden=True)
@_settings_option
@_fd_option
def site_front(path: Path, fd: int) -> None:
    """Run a site's front."""
    configure_structured_logging()
    from weldhead.site.front import Front
    from weldhead.site.parts import FrontSettings

    async def run() -> None:
        front = Front(_read_settings(path, FrontSettings))
        background_tasks = BackgroundTasks()
        front.start(background_tasks)
        server = await _start_server(front.handle, fd)
        await wait_for_shutdown()
        await server.close()
        await background_tasks.close()
        await front.close()

    _run_event_loop(run())


@click.command(hidden=True)
@_settings_option
@_fd_option
def site_worker(path: Path, fd: int) -> None:
    """Run the worker of one of a site's machines."""
    configure_structured_logging()
    from weldhead.site.parts import WorkerSettings
    from weldhead.site.worker_process import WorkerProcess

    async def run() -> None:
        worker = WorkerProcess(_read_settings(path, WorkerSettings), socket.socket(fileno=fd))
        worker_run = asyncio.create_task(worker.run())
        stop_signal = asyncio.create_task(wait_for_shutdown())
        await asyncio.wait([worker_run, stop_signal], return_when=asyncio.FIRST_COMPLETED)
        worker_run.cancel()
        stop_signal.cancel()
        await asyncio.gather(worker_run, stop_signal, return_exceptions=True)
        if not worker_run.cancelled() and (failure := worker_run.exception()) is not None:
            raise failure

    _run_event_loop(run())
