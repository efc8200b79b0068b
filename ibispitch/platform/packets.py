"""Header of the platform's packets.

32 bytes, little-endian; addresses are 32-bit integers, so that their bytes
stand in reverse order. ``src``, ``sport``, ``dst`` and ``dport`` adjoin, so
that a flow key is a slice of the header.
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
#: Header field in which the platform's callers name their requests.
_REQUEST_ID = b'X-Ibispitch-Request-Id:'
MAX_REQUEST_ID_BYTES = 80
_WIRE_BIT_BY_FLAG = {SYN: 16, ACK: 128, FIN: 4, RST: 32, BOUNCED: 1}
_FLAGS_BY_WIRE = [
    sum(flag for flag, bit in _WIRE_BIT_BY_FLAG.items() if wire & bit)
    for wire in range(256)
]


class PlatformPacketCodec:
    """Codec of the platform's packets, see :class:`PacketCodec`.

    The header's checksum is keyed by the two ends; it is passed on as it is.
    """

    def from_caller(self, raw: bytes) -> Packet | None:
        """Decode a packet that a caller sent, ``None`` if malformed."""
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

        A packet that is handed back has its caller as the source.
        """
        packet = self.from_caller(raw)
        if packet is None or packet.flags & BOUNCED:
            return packet
        return packet._replace(flow=FlowKey(raw[_DESTINATION] + raw[_SOURCE]))

    def request_id(self, packet: Packet) -> str | None:
        """Return the id of the request that a packet begins, if it shows.

        It is read for log lines only; nothing is decided by it.
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
        """Return a reset for the caller of a flow.

        :param flow: the flow.
        :param sequence: the caller's last acknowledgement.
        """
        head = _LENGTH_TO_ACK.pack(0, 0, sequence, 0)
        tail = bytes((0, 0, 0, 0, _WIRE_BIT_BY_FLAG[RST], 0))
        return head + flow[6:] + flow[:6] + tail
