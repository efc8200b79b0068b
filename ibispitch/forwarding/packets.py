"""Packets of flows whose opening packet is marked.

Such a flow is a byte stream over datagrams: its first packet, the opening,
carries ``SYN``, the accepting upstream answers with ``SYN | ACK``, and every
later packet has sequence numbers. The load balancer reads headers and never
changes them. The wire format of a header is defined by the adapter, see
:class:`PacketCodec`.
"""

import socket
from typing import NamedTuple
from typing import NewType
from typing import Protocol

#: Caller address, caller port, destination address and destination port, 12
#: bytes in the byte order of the packets. The caller comes first in both
#: directions.
FlowKey = NewType('FlowKey', bytes)
#: Destination address and port, the last 6 bytes of a flow key.
Destination = NewType('Destination', bytes)


def destination_of(flow: FlowKey) -> Destination:
    """Return the destination of a flow."""
    return Destination(flow[6:])


SYN = 1
ACK = 2
FIN = 4
RST = 8
#: Flag that an upstream sets on a packet that it hands back.
BOUNCED = 16

FLOW_KEY_BYTES = 12
DESTINATION_BYTES = 6
#: Largest distance between an acknowledgement and the upstream's next
#: sequence number: the largest window of a sender, 64 packets of 1,200
#: bytes. A reset has to be within the same distance.
MAX_WINDOW_BYTES = 76_800
_HALF_SEQUENCE_SPACE = 1 << 31
_SEQUENCE_SPACE = 1 << 32


class Packet(NamedTuple):
    """A packet with its decoded header.

    :param raw: the datagram as received.
    :param flow: the flow, caller first.
    :param flags: ``SYN``, ``ACK``, ``FIN``, ``RST`` and ``BOUNCED``.
    :param sequence: number of the first byte of data.
    :param acknowledged: next byte expected from the other end; in an opening
        the number of copies sent before this one.
    :param size: bytes of data.
    """

    raw: bytes
    flow: FlowKey
    flags: int
    sequence: int
    acknowledged: int
    size: int

    @property
    def is_opening(self) -> bool:
        """Whether the packet is an opening."""
        return self.flags & (SYN | ACK) == SYN


class PacketCodec(Protocol):
    """Reads packets and builds resets; implemented by the adapter."""

    def from_caller(self, raw: bytes) -> Packet | None:
        """Decode a caller's packet; return ``None`` if it is malformed."""

    def from_upstream(self, raw: bytes) -> Packet | None:
        """Decode a packet that an upstream sent or handed back."""

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a packet that resets a flow at its caller."""

    def request_id(self, packet: Packet) -> str | None:
        """Return the id of the request that begins with a packet.

        :returns: ``None`` if the packet does not show it.
        """


def sequence_distance(later: int, earlier: int) -> int:
    """Return by how many bytes one sequence number is ahead of another.

    >>> sequence_distance(5, 0xFFFFFFFF)
    6
    >>> sequence_distance(0xFFFFFFFF, 5)
    -6
    """
    distance = (later - earlier) % _SEQUENCE_SPACE
    return (
        distance
        if distance < _HALF_SEQUENCE_SPACE
        else distance - _SEQUENCE_SPACE
    )


def flow_name(flow: FlowKey) -> str:
    """Return the text form of a flow in log lines.

    >>> flow_name(FlowKey(bytes([7, 0, 64, 100, 65, 156,
    ...                          1, 0, 18, 198, 187, 1])))
    '100.64.0.7:40001>198.18.0.1:443'
    """
    return f'{_endpoint_name(flow[:6])}>{_endpoint_name(flow[6:])}'


def caller_ip(flow: FlowKey) -> str:
    """Return the IP address of a flow's caller."""
    return _ip(flow)


def _ip(endpoint: bytes) -> str:
    return socket.inet_ntoa(endpoint[3::-1])


def _endpoint_name(endpoint: bytes) -> str:
    return f'{_ip(endpoint)}:{int.from_bytes(endpoint[4:], "little")}'
