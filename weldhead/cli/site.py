"""The verbs of a site on one machine: ``local``, and the parts that it starts."""

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


def _run(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


@click.command()
@click.option(
    "--dir", "root", required=True, type=click.Path(path_type=Path), help="Where all of it lives."
)
@click.option("--port", default=0, type=click.IntRange(0, 65535), help="0: any that is free.")
@click.option("--controllers", type=click.IntRange(1, 32), help="How many; else as described.")
@click.option("--cores", type=click.FloatRange(0, min_open=True), help="CPUs that tasks may take.")
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
        _run(keeper.run())
    except SiteError as error:
        raise click.ClickException(str(error)) from error


def _settings(path: Path, kind: type[T]) -> T:
    return msgspec.json.decode(path.read_bytes(), type=kind)


async def _serve(handler: Handler, fd: int) -> SiteServer:
    server = SiteServer(handler)
    # The keeper holds the same socket, so that it stays when this process ends.
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

    settings = _settings(path, StateSettings)

    def limits(values: dict[str, float]) -> StateLimits:
        return StateLimits(
            values["rps"], values["write_rps"], values["value_kb"], int(values["txn_ops"])
        )

    async def run() -> None:
        service = StateService(limits(settings.limits), Path(settings.record))
        background_tasks = BackgroundTasks()
        service.start(background_tasks)
        if settings.next_limits is not None:
            coming = limits(settings.limits | settings.next_limits)
            asyncio.get_running_loop().call_later(settings.next_after_s, service.set_limits, coming)
        server = await _serve(service.handle, fd)
        await wait_for_shutdown()
        await background_tasks.close()
        await server.close()
        service.close()

    _run(run())


@click.command(hidden=True)
@_settings_option
@_fd_option
def site_pool(path: Path, fd: int) -> None:
    """Run a site's pool."""
    configure_structured_logging()
    from weldhead.site.parts import PoolSettings
    from weldhead.site.pool_process import PoolProcess

    async def run() -> None:
        pool = PoolProcess(_settings(path, PoolSettings))
        pool.start()
        server = await _serve(pool.handle, fd)
        await wait_for_shutdown()
        await server.close()
        await pool.close(machines=True)

    _run(run())


@click.command(hidden=True)
@_settings_option
@_fd_option
def site_front(path: Path, fd: int) -> None:
    """Run a site's front."""
    configure_structured_logging()
    from weldhead.site.front import Front
    from weldhead.site.parts import FrontSettings

    async def run() -> None:
        front = Front(_settings(path, FrontSettings))
        background_tasks = BackgroundTasks()
        front.start(background_tasks)
        server = await _serve(front.handle, fd)
        await wait_for_shutdown()
        await server.close()
        await background_tasks.close()
        await front.close()

    _run(run())


@click.command(hidden=True)
@_settings_option
@_fd_option
def site_worker(path: Path, fd: int) -> None:
    """Run the worker of one of a site's machines."""
    configure_structured_logging()
    from weldhead.site.parts import WorkerSettings
    from weldhead.site.worker_process import WorkerProcess

    async def run() -> None:
        worker = WorkerProcess(_settings(path, WorkerSettings), socket.socket(fileno=fd))
        work = asyncio.create_task(worker.run())
        told = asyncio.create_task(wait_for_shutdown())
        await asyncio.wait([work, told], return_when=asyncio.FIRST_COMPLETED)
        work.cancel()
        told.cancel()
        await asyncio.gather(work, told, return_exceptions=True)
        if not work.cancelled() and (failure := work.exception()) is not None:
            raise failure

    _run(run())
