"""Packets of flows whose opening packet is marked.

A flow of this kind is a byte stream over datagrams: its first packet carries
``SYN``, the accepting upstream answers with ``SYN | ACK``, and each later
packet has sequence numbers. The load balancer reads headers and never
changes them. How a header looks on the wire is the adapter's matter.
"""

import socket
from typing import NamedTuple
from typing import NewType
from typing import Protocol

#: Caller address, caller port, destination address, destination port, as the
#: 12 bytes that the packets carry. The caller comes first in both directions.
FlowKey = NewType('FlowKey', bytes)
#: Destination address and port, the last 6 bytes of a flow key.
Destination = NewType('Destination', bytes)

SYN = 1
ACK = 2
FIN = 4
RST = 8
#: Set by an upstream on a packet that it hands back.
BOUNCED = 16

FLOW_KEY_BYTES = 12
#: Furthest that an acknowledgement may be from the sequence number that the
#: upstream sent last: the largest window of a sender, 64 packets of 1,200
#: bytes, which is also how close a reset has to be.
MAX_WINDOW_BYTES = 76_800
_HALF_SPACE = 1 << 31
_SEQUENCE_SPACE = 1 << 32


class Packet(NamedTuple):
    """A packet with its decoded header.

    :param raw: the datagram as received.
    :param flow: the flow, caller first.
    :param flags: ``SYN``, ``ACK``, ``FIN``, ``RST`` and ``BOUNCED``.
    :param sequence: number of the first byte of data.
    :param acknowledged: next byte expected from the other end; on a ``SYN``
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
        """Whether the packet asks to open its flow."""
        return self.flags & (SYN | ACK) == SYN


class PacketCodec(Protocol):
    """Reads and writes headers; implemented by the adapter."""

    def from_caller(self, raw: bytes) -> Packet | None:
        """Decode a packet that a caller sent, ``None`` if malformed."""

    def from_upstream(self, raw: bytes) -> Packet | None:
        """Decode a packet from an upstream, also one handed back."""

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a reset for the caller of a flow."""

    def request_id(self, packet: Packet) -> str | None:
        """Return the id of the request that a packet begins, if it shows."""


def sequence_distance(later: int, earlier: int) -> int:
    """Return how far a sequence number is ahead of another one.

    >>> sequence_distance(5, 0xFFFFFFFF)
    6
    >>> sequence_distance(0xFFFFFFFF, 5)
    -6
    """
    distance = (later - earlier) % _SEQUENCE_SPACE
    return distance if distance < _HALF_SPACE else distance - _SEQUENCE_SPACE


def flow_name(flow: FlowKey) -> str:
    """Return the text form of a flow, as log lines carry it.

    >>> flow_name(FlowKey(bytes([7, 0, 64, 100, 65, 156,
    ...                          1, 0, 18, 198, 187, 1])))
    '100.64.0.7:40001>198.18.0.1:443'
    """
    return f'{_endpoint_name(flow[:6])}>{_endpoint_name(flow[6:])}'


def caller_ip(flow: FlowKey) -> str:
    """Return the IP number of a flow's caller."""
    return _ip(flow)


def _ip(endpoint: bytes) -> str:
    return socket.inet_ntoa(endpoint[3::-1])


def _endpoint_name(endpoint: bytes) -> str:
    return f'{_ip(endpoint)}:{int.from_bytes(endpoint[4:], "little")}'
