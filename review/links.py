"""A proxy for the connections that one controller opens to another."""

import asyncio
import contextlib

from web import HOST, free_port


class PeerLink:
    """Passes bytes on, or refuses connections as a packet filter between two nodes does."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._port = free_port()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = f"{HOST}:{self._port}"

    async def allow(self) -> None:
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def refuse(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        onward: asyncio.StreamWriter | None = None
        self._writers.add(writer)
        try:
            back, onward = await asyncio.open_connection(self._host, self._target_port)
            self._writers.add(onward)
            await asyncio.gather(_pump(reader, onward), _pump(back, writer))
        except OSError:
            pass
        finally:
            for end in (writer, onward):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.transport.abort()
