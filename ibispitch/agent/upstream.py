"""Sockets between the agent and its upstream, one for each flow.

A socket of its own gives each flow an address of its own at the upstream,
so that the upstream tells flows apart as it would without ibispitch, and an
answer cannot reach another flow.
"""

from collections.abc import Callable
from collections.abc import Hashable

from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address

#: Socket buffers of one flow; a few datagrams of a blockwise transfer.
FLOW_BUFFER_BYTES = 1 << 17

OnDatagram = Callable[[Hashable, bytes], None]
OnRefused = Callable[[Hashable, bytes], None]


class UpstreamSockets:
    """The sockets of all flows towards the upstream.

    :param local_ip: own IP number.
    :param upstream: address of the upstream.
    :param on_datagram: called with the flow and a datagram of the upstream.
    :param on_refused: called with the flow and its last datagram when the
        upstream's host reports that nothing listens on its port.
    """

    def __init__(
        self,
        local_ip: str,
        upstream: Address,
        on_datagram: OnDatagram,
        on_refused: OnRefused,
    ):
        self._local_ip = local_ip
        self._upstream = upstream
        self._on_datagram = on_datagram
        self._on_refused = on_refused
        self._socket_by_flow: dict[Hashable, DatagramSocket] = {}
        self._last_by_flow: dict[Hashable, bytes] = {}

    def __len__(self) -> int:
        return len(self._socket_by_flow)

    def open(
        self, flow: Hashable, port: int = 0, takes_over: bool = False
    ) -> None:
        """Open the socket of a flow if there is none.

        :param flow: the flow, or another key that the gate uses.
        :param port: own port, 0 for any; a successor process passes the
            port of its predecessor, so that the upstream sees no change.
        :param takes_over: whether the predecessor still has the port; then
            nothing is read before :meth:`start`.
        :raises OSError: if no socket can be had.
        """
        if flow in self._socket_by_flow:
            return
        self._socket_by_flow[flow] = DatagramSocket(
            lambda data, _: self._on_datagram(flow, data),
            Address(self._local_ip, port),
            connect=self._upstream,
            on_error=lambda _: self._refused(flow),
            buffer_bytes=FLOW_BUFFER_BYTES,
            is_takeover=takes_over,
        )

    def send(self, flow: Hashable, datagram: bytes) -> None:
        """Send a datagram of a flow to the upstream."""
        self.open(flow)
        self._last_by_flow[flow] = datagram
        self._socket_by_flow[flow].send(datagram)

    def _refused(self, flow: Hashable) -> None:
        datagram = self._last_by_flow.pop(flow, None)
        if datagram is not None:
            self._on_refused(flow, datagram)

    def close(self, flow: Hashable) -> None:
        """Close the socket of a flow."""
        self._last_by_flow.pop(flow, None)
        socket = self._socket_by_flow.pop(flow, None)
        if socket is not None:
            socket.close()

    def port_by_flow(self) -> dict[Hashable, int]:
        """Return the own port of each flow, for a successor process."""
        return {
            flow: socket.address.port
            for flow, socket in self._socket_by_flow.items()
        }

    def start(self) -> None:
        """Read from the sockets that were opened to take over."""
        for socket in self._socket_by_flow.values():
            socket.start()

    def allow_takeover(self) -> None:
        """Let a successor process open the same sockets."""
        for socket in self._socket_by_flow.values():
            socket.allow_takeover()

    def drain(self) -> None:
        """Read what is there on all sockets."""
        for socket in list(self._socket_by_flow.values()):
            socket.receive_pending()

    def close_all(self) -> None:
        """Close all sockets."""
        for flow in list(self._socket_by_flow):
            self.close(flow)
