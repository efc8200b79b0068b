"""Packets of the platform, as callers and upstreams write them."""

import socket
import struct
from typing import NamedTuple
import zlib

from ibispitch.ids import Address
from ibispitch.platform.packets import HEADER_BYTES

SYN, ACK, FIN, RST, BOUNCED = 16, 128, 4, 32, 1
HEADER = struct.Struct('<HIIIIHIHIBB')


class Segment(NamedTuple):
    """The parts of a packet, for its receiver.

    :ivar is_intact: whether the checksum is right.
    """

    source: Address
    destination: Address
    flags: int
    sequence: int
    acknowledged: int
    data: bytes
    is_intact: bool


def _number(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), 'big')


def _ip(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def _checksum(*fields) -> int:
    return zlib.crc32(repr(fields).encode())


def build(
    source: Address,
    destination: Address,
    flags: int,
    sequence: int,
    acknowledged: int,
    data: bytes = b'',
) -> bytes:
    """Return the datagram of a packet with its checksum."""
    fields = (
        len(data), sequence, acknowledged, _number(source.ip), source.port,
        _number(destination.ip), destination.port, flags,
    )  # fmt: skip
    return (
        HEADER.pack(
            len(data), _checksum(*fields, data), sequence, acknowledged,
            fields[3], fields[4], fields[5], fields[6], 0, flags, 0,
        )
        + data
    )  # fmt: skip


def parse(raw: bytes) -> Segment:
    """Return the parts of a datagram, and whether it is intact."""
    (size, checksum, sequence, acknowledged, source, source_port,
     destination, destination_port, _echo, flags,
     _pad) = HEADER.unpack_from(raw)  # fmt: skip
    data = raw[HEADER_BYTES:]
    original_flags = flags & ~BOUNCED
    fields = (
        size, sequence, acknowledged, source, source_port, destination,
        destination_port, original_flags,
    )  # fmt: skip
    return Segment(
        Address(_ip(source), source_port),
        Address(_ip(destination), destination_port), flags, sequence,
        acknowledged, data, checksum == _checksum(*fields, data),
    )  # fmt: skip


def bounced(raw: bytes) -> bytes:
    """Return a packet as an upstream sends it back if it has no flow."""
    return raw[:30] + bytes((raw[30] | BOUNCED, 0)) + raw[32:]
