"""Sockets and clocks of a host.

``testbed.flow_network`` has an in-memory implementation, in which whole
deployments run in simulated time.
"""

import asyncio
from collections.abc import Callable
import enum
import errno
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

#: Size of the kernel buffers of a datagram socket. Bytes in them count as
#: memory of the process.
BUFFER_BYTES = 1 << 20
#: Errors of a connection to a host that does not answer. Others, such as a
#: lack of descriptors, say nothing about it.
UNREACHABLE_ERRORS = frozenset(
    (errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EHOSTDOWN, errno.ETIMEDOUT)
)


class ProbeResult(enum.Enum):
    """Answer of a host to an attempt to connect."""

    ACCEPTED = 'accepted'
    #: The host runs, and no process listens at the address.
    REFUSED = 'refused'
    #: The host does not run or cannot be reached.
    NO_ANSWER = 'no answer'


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
    """Sockets and clocks that a process uses."""

    def clock(self) -> float:
        """Return the seconds since the host started, with suspension."""

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""

    def rng(self) -> random.Random:
        """Return a random number generator."""

    def bind(self, on_datagram: OnDatagram, address: Address) -> BoundSocket:
        """Open a datagram socket."""

    async def serve(
        self, address: Address, handler: Handler, on_error: OnError
    ) -> Closable:
        """Serve HTTP requests at an address."""

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

    async def probe(self, address: Address, timeout_s: float) -> ProbeResult:
        """Try to connect to an address.

        :raises OSError: if this host cannot make the attempt.
        """


class HostTransport:
    """Sockets and clocks of the real host, see :class:`Transport`."""

    def clock(self) -> float:
        """Return the seconds since the host started, with suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return round(time.time() * 1000)

    def rng(self) -> random.Random:
        """Return a random number generator."""
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
        """Serve HTTP requests at an address."""
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

    async def probe(self, address: Address, timeout_s: float) -> ProbeResult:
        """Try to connect to an address.

        :raises OSError: if this host cannot make the attempt.
        """
        try:
            async with asyncio.timeout(timeout_s):
                _, writer = await asyncio.open_connection(*address)
        except (ConnectionRefusedError, ConnectionResetError):
            return ProbeResult.REFUSED
        except TimeoutError:
            return ProbeResult.NO_ANSWER
        except OSError as error:
            if error.errno in UNREACHABLE_ERRORS:
                return ProbeResult.NO_ANSWER
            raise
        writer.transport.abort()
        return ProbeResult.ACCEPTED
