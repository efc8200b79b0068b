"""TCP relay that simulates network faults between process and store."""

import asyncio

from ibispitch.ids import Address

CHUNK_BYTES = 1 << 16


class TcpRelay:
    """Relays TCP connections, except while it is cut.

    Connections stay open during a cut, as in a network that loses all
    packets, and are dropped at its end.

    :param listen: address to listen at.
    :param target: address to which connections are relayed.
    """

    def __init__(self, listen: Address, target: Address):
        self.listen = listen
        self._target = target
        self._is_passing = asyncio.Event()
        self._is_passing.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._on_connection, *self.listen
        )

    def cut(self) -> None:
        """Stop relaying, but keep connections open."""
        self._is_passing.clear()

    def restore(self) -> None:
        """Drop all open connections and relay new ones."""
        self._drop_connections()
        self._is_passing.set()

    def stop(self) -> None:
        """Drop all connections and stop listening."""
        self._drop_connections()
        if self._server is not None:
            self._server.close()

    def _drop_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_connection(self, reader, writer) -> None:
        self._writers.add(writer)
        other = None
        try:
            await self._is_passing.wait()
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
            await self._is_passing.wait()
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
