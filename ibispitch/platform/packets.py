"""Header of the platform's packets.

It has 32 bytes in little-endian order. Addresses are 32-bit integers, so
their bytes are in reverse order. ``src``, ``sport``, ``dst`` and ``dport``
are adjacent, so a flow key is a slice of the header.
"""

import struct

from ibispitch.forwarding.packets import ACK
from ibispitch.forwarding.packets import BOUNCED
from ibispitch.forwarding.packets import FIN
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.forwarding.packets import RST
from ibispitch.forwarding.packets import SYN

HEADER_BYTES = 32
#: The first fields: len, sum, seq, ack.
_LENGTH_TO_ACK = struct.Struct('<HIII')
_SOURCE = slice(14, 20)
_DESTINATION = slice(20, 26)
_FLOW = slice(14, 26)
_FLAGS_AT = 30
#: Header field with the id that the platform's callers give a request.
_REQUEST_ID = b'X-Ibispitch-Request-Id:'
MAX_REQUEST_ID_BYTES = 80
_WIRE_BIT_BY_FLAG = {SYN: 16, ACK: 128, FIN: 4, RST: 32, BOUNCED: 1}
_FLAGS_BY_WIRE = [
    sum(flag for flag, bit in _WIRE_BIT_BY_FLAG.items() if wire & bit)
    for wire in range(256)
]


class PlatformPacketCodec:
    """Codec of the platform's packets, see :class:`PacketCodec`.

    The checksum in the header is keyed by caller and upstream; it is
    forwarded unchanged.
    """

    def from_caller(self, raw: bytes) -> Packet | None:
        """Decode a packet from a caller, ``None`` if it is malformed."""
        if len(raw) < HEADER_BYTES:
            return None
        size, _sum, sequence, acknowledged = _LENGTH_TO_ACK.unpack_from(raw)
        if size != len(raw) - HEADER_BYTES:
            return None
        return Packet(
            raw,
            FlowKey(raw[_FLOW]),
            _FLAGS_BY_WIRE[raw[_FLAGS_AT]],
            sequence,
            acknowledged,
            size,
        )

    def from_upstream(self, raw: bytes) -> Packet | None:
        """Decode a packet from an upstream.

        In a packet that the upstream hands back, the source is the caller.
        """
        packet = self.from_caller(raw)
        if packet is None or packet.flags & BOUNCED:
            return packet
        return packet._replace(flow=FlowKey(raw[_DESTINATION] + raw[_SOURCE]))

    def request_id(self, packet: Packet) -> str | None:
        """Return the request id in the first packet of a request, if any.

        It is only logged; no decision depends on it.
        """
        raw = packet.raw
        start = raw.find(_REQUEST_ID, HEADER_BYTES)
        if start < 0:
            return None
        start += len(_REQUEST_ID)
        end = raw.find(b'\r', start, start + MAX_REQUEST_ID_BYTES)
        if end < 0:
            return None
        return raw[start:end].strip().decode('latin-1')

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a reset packet for the caller of a flow.

        :param flow: the flow.
        :param sequence: sequence number of the reset, the caller's last
            acknowledgement.
        """
        head = _LENGTH_TO_ACK.pack(0, 0, sequence, 0)
        tail = bytes((0, 0, 0, 0, _WIRE_BIT_BY_FLAG[RST], 0))
        return head + flow[6:] + flow[:6] + tail
