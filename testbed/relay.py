"""Stand-in for a network between a process and the store."""

import asyncio

from ibispitch.ids import Address

CHUNK_BYTES = 1 << 16


class TcpRelay:
    """Relays TCP connections; while it is cut, it passes nothing on.

    Connections stay open during a cut, as they do when a network loses all
    packets, and are dropped at its end.

    :param listen: own address.
    :param target: where connections go.
    """

    def __init__(self, listen: Address, target: Address):
        self.listen = listen
        self._target = target
        self._passes = asyncio.Event()
        self._passes.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._on_connection, *self.listen
        )

    def cut(self) -> None:
        """Pass nothing on from now on."""
        self._passes.clear()

    def restore(self) -> None:
        """Drop the old connections and pass new ones on."""
        self._abort()
        self._passes.set()

    def stop(self) -> None:
        """Drop all connections and stop listening."""
        self._abort()
        if self._server is not None:
            self._server.close()

    def _abort(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_connection(self, reader, writer) -> None:
        self._writers.add(writer)
        other = None
        try:
            await self._passes.wait()
            other_reader, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            await asyncio.gather(
                self._copy(reader, other), self._copy(other_reader, writer)
            )
        except OSError:
            pass
        finally:
            for opened in filter(None, (writer, other)):
                self._writers.discard(opened)
                opened.transport.abort()

    async def _copy(self, reader, writer) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._passes.wait()
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
