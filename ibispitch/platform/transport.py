"""Sockets and clocks of a host.

``testbed.flow_network`` has an in-memory kin, in which whole deployments
run in simulated time.
"""

from collections.abc import Callable
import random
import time
from typing import Protocol

from ibispitch.datagrams import DatagramSocket
from ibispitch.datagrams import OnDatagram
from ibispitch.ids import Address
from ibispitch.platform.http import Handler
from ibispitch.platform.http import HttpClient
from ibispitch.platform.http import OnError
from ibispitch.platform.http import serve
from ibispitch.platform.store import MetadataStore
from ibispitch.routes.model import RouteTable
from ibispitch.routes.transfer import fetch_table
from ibispitch.routes.transfer import serve_table

#: Kernel buffers of a datagram socket; bytes in them count as memory.
BUFFER_BYTES = 1 << 20


class Closable(Protocol):
    """A server that can be closed."""

    def close(self) -> None:
        """Stop serving."""


class BoundSocket(Protocol):
    """A bound datagram socket."""

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; it may be lost."""

    def close(self) -> None:
        """Stop receiving."""


class Transport(Protocol):
    """What a process uses of its host."""

    def clock(self) -> float:
        """Return the time since the host's start, suspension included."""

    def unix_ms(self) -> int:
        """Return the time of day in milliseconds."""

    def rng(self) -> random.Random:
        """Return a source of random choices."""

    def bind(self, on_datagram: OnDatagram, address: Address) -> BoundSocket:
        """Open a datagram socket."""

    async def serve(
        self, address: Address, handler: Handler, on_error: OnError
    ) -> Closable:
        """Answer HTTP calls at an address."""

    async def serve_table(
        self,
        address: Address,
        read: Callable[[], RouteTable | None],
        on_error: OnError,
    ) -> Closable:
        """Send a route table to each process that connects."""

    async def fetch_table(self, address: Address) -> RouteTable:
        """Fetch the route table of another process."""

    def store(self, address: Address) -> MetadataStore:
        """Return a client of the store."""

    def http_client(self, address: Address) -> HttpClient:
        """Return a client of an HTTP server."""


class HostTransport:
    """The real host, see :class:`Transport`."""

    def clock(self) -> float:
        """Return the time since the host's start, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return the time of day in milliseconds."""
        return round(time.time() * 1000)

    def rng(self) -> random.Random:
        """Return a source of random choices."""
        return random.Random()

    def bind(
        self, on_datagram: OnDatagram, address: Address
    ) -> DatagramSocket:
        """Open a datagram socket.

        :raises OSError: if the address cannot be bound.
        """
        return DatagramSocket(on_datagram, address, buffer_bytes=BUFFER_BYTES)

    async def serve(
        self, address: Address, handler: Handler, on_error: OnError
    ) -> Closable:
        """Answer HTTP calls at an address."""
        return await serve(address, handler, on_error)

    async def serve_table(
        self,
        address: Address,
        read: Callable[[], RouteTable | None],
        on_error: OnError,
    ) -> Closable:
        """Send a route table to each process that connects."""
        return await serve_table(address, read, on_error)

    async def fetch_table(self, address: Address) -> RouteTable:
        """Fetch the route table of another process."""
        return await fetch_table(address)

    def store(self, address: Address) -> MetadataStore:
        """Return a client of the store."""
        return MetadataStore(address)

    def http_client(self, address: Address) -> HttpClient:
        """Return a client of an HTTP server."""
        return HttpClient(address)
