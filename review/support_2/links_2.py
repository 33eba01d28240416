"""A packet filter between controllers: each controller reaches each other one through a proxy."""

import asyncio
import contextlib

from support_2.web_2 import HOST


class Link:
    """The way from one controller to another one's address for controllers."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return f"{HOST}:{self._port}"

    def refuse(self) -> None:
        """Reset the connections, and refuse new ones until ``open`` is called."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        try:
            await asyncio.gather(_copy(reader, back), _copy(there, writer))
        except asyncio.CancelledError:
            # The case ends; asyncio would print a traceback for each open connection.
            pass
        finally:
            self._writers -= {writer, back}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError, asyncio.CancelledError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.transport.abort()
