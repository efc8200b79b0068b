"""UDP sockets on the event loop.

The datagram endpoint of asyncio receives one datagram in each iteration of
the loop and reaches about a sixth of the throughput of the socket. Here a
readable socket is read until it is empty, but at most
``MAX_DATAGRAMS_PER_READ`` times, so that timers and other sockets are not
delayed.
"""

import asyncio
from collections.abc import Callable
import socket

from ibispitch.ids import Address

MAX_DATAGRAM_BYTES = 65535
#: Maximum number of datagrams received in one iteration of the event loop.
MAX_DATAGRAMS_PER_READ = 64
#: Size of the kernel's receive and send buffers.
BUFFER_BYTES = 4 << 20

OnDatagram = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A non-blocking UDP socket that calls a function for each datagram.

    :param on_datagram: called with the datagram and the sender's address.
    :param bind: local address; port 0 selects a free port.
    :param connect: the only peer to exchange datagrams with; needed to get
        ICMP errors.
    :param on_error: called with errors of the socket, for example if the
        peer's port is closed.
    :param buffer_bytes: size of the kernel's receive and send buffers.
    :param is_takeover: whether the address is still bound by a process that
        called :meth:`allow_takeover`. Nothing is received before
        :meth:`start`.
    :raises OSError: if the address cannot be bound.
    """

    def __init__(
        self,
        on_datagram: OnDatagram,
        bind: Address,
        connect: Address | None = None,
        on_error: Callable[[OSError], None] | None = None,
        buffer_bytes: int = BUFFER_BYTES,
        is_takeover: bool = False,
    ):
        self._on_datagram = on_datagram
        self._on_error = on_error
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, buffer_bytes)
        if is_takeover:
            self.allow_takeover()
        try:
            self._socket.bind(bind)
            if connect is not None:
                self._socket.connect(connect)
        except OSError:
            self._socket.close()
            raise
        self._peer = connect
        self.sendto = self._socket.sendto
        self.dropped = 0
        self._loop = asyncio.get_running_loop()
        if not is_takeover:
            self.start()

    @property
    def address(self) -> Address:
        """The bound address."""
        return Address(*self._socket.getsockname())

    def start(self) -> None:
        """Start to receive datagrams."""
        self._loop.add_reader(self._socket.fileno(), self.receive_pending)

    def allow_takeover(self) -> None:
        """Let a successor process bind the same address."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def receive_pending(self) -> None:
        """Receive pending datagrams, at most ``MAX_DATAGRAMS_PER_READ``."""
        receive = self._socket.recvfrom
        on_datagram = self._on_datagram
        try:
            for _ in range(MAX_DATAGRAMS_PER_READ):
                on_datagram(*receive(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            return
        except OSError as error:
            self._report_error(error)

    def _report_error(self, error: OSError) -> None:
        if self._on_error is not None and self._socket.fileno() >= 0:
            self._on_error(error)

    def send(self, data: bytes, address: Address | None = None) -> None:
        """Send a datagram, or drop and count it if the kernel refuses it.

        :param data: the datagram.
        :param address: the receiver, ``None`` for the connected peer.
        """
        try:
            if address is None:
                self._socket.send(data)
            else:
                self._socket.sendto(data, address)
        except BlockingIOError:
            self.dropped += 1
        except OSError as error:
            self.dropped += 1
            self._report_error(error)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
