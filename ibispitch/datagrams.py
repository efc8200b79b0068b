"""UDP sockets on the event loop.

The datagram endpoint of asyncio handles one datagram a turn of the loop and
reaches about a sixth of what the socket gives. Here a readable socket is
read until it is empty or the drain limit is reached; the limit keeps timers
and other sockets on time.
"""

import asyncio
from collections.abc import Callable
import socket

from ibispitch.ids import Address

MAX_DATAGRAM_BYTES = 65535
DRAIN_LIMIT = 64
BUFFER_BYTES = 4 << 20

OnDatagram = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A non-blocking UDP socket that calls back for each datagram.

    :param on_datagram: called with the datagram and the sender's address.
    :param bind: own address, port 0 for any.
    :param connect: peer, to receive only from it and to learn of ICMP
        errors.
    :param on_error: called when the peer refuses a datagram.
    :param buffer_bytes: size of the kernel's buffers.
    :param is_takeover: whether the address is still bound by a process that
        called :meth:`allow_takeover`; nothing is read before :meth:`start`.
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
        """Call back for datagrams from now on."""
        self._loop.add_reader(self._socket.fileno(), self.receive_pending)

    def allow_takeover(self) -> None:
        """Let a successor process bind the same address."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def receive_pending(self) -> None:
        """Read what is there, up to the drain limit."""
        receive = self._socket.recvfrom
        on_datagram = self._on_datagram
        try:
            for _ in range(DRAIN_LIMIT):
                on_datagram(*receive(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            return
        except OSError as error:
            self._report(error)

    def _report(self, error: OSError) -> None:
        if self._on_error is not None and self._socket.fileno() >= 0:
            self._on_error(error)

    def send(self, data: bytes, address: Address | None = None) -> None:
        """Send a datagram; one that the kernel does not take is dropped.

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
            self._report(error)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
