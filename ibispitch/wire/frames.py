"""Data-path frames between balancers and agents.

A frame consists of, in network byte order: MAC, magic, version, kind, hops,
flags, service number, caller address, balancer address, service address,
payload. The MAC is a keyed BLAKE2s digest of all bytes after it.
"""

from collections.abc import Sequence
import enum
from hashlib import blake2s
import hmac
import struct
from typing import NamedTuple

from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.wire.errors import WireError
from ibispitch.wire.errors import WireFault

MAC_BYTES = 8
MAGIC = b'IB'
VERSION = 1
MAX_HOPS = 4
NO_ADDRESS = b'\0\0\0\0\0\0'

HEADER = struct.Struct('!2sBBBBQ6s6s6s')
FRAME_OVERHEAD_BYTES = MAC_BYTES + HEADER.size
MIN_KEY_BYTES = 16


class FrameKind(enum.IntEnum):
    """Kind of a frame: what its payload is."""

    FORWARD = 1
    REPLY = 2
    RELAY = 3
    CONTROL = 4


class FrameFlag(enum.IntFlag):
    """Flags of a frame."""

    NONE = 0
    #: The home of the flow, that is the agent to which its slot is assigned,
    #: has placed the flow at the receiver.
    ADOPT = 1


class Frame(NamedTuple):
    """A decoded frame.

    :param kind: see :class:`FrameKind`.
    :param hops: number of relays between agents so far.
    :param flags: see :class:`FrameFlag`.
    :param service: number of the service.
    :param flow: caller address, 6 bytes.
    :param balancer: data address of the balancer that received the packet,
        6 bytes in the format of a flow id.
    :param payload: datagram of the caller, or a control message.
    :param destination: service address to which the caller sent, 6 bytes. It
        is the source address of the answer, whichever balancer sends it.
    """

    kind: int
    hops: int
    flags: int
    service: ServiceNumber
    flow: FlowId
    balancer: bytes
    payload: bytes
    destination: bytes = NO_ADDRESS


class Keyring:
    """The shared keys of an installation.

    The first key signs. All keys are accepted, so that keys can be replaced
    on one host after another.

    :param keys: at least one key of 16 to 32 bytes.
    :raises ValueError: if there is no key or one has the wrong length.
    """

    def __init__(self, keys: Sequence[bytes]):
        if not keys:
            raise ValueError('there is no shared key; set shared_keys')
        if any(not MIN_KEY_BYTES <= len(key) <= 32 for key in keys):
            raise ValueError('a shared key must have 16 to 32 bytes')
        self._keys = tuple(keys)
        self.signing_key = self._keys[0]

    def mac(self, data: bytes) -> bytes:
        """Return the 8-byte MAC of ``data`` under the signing key."""
        return blake2s(
            data, key=self.signing_key, digest_size=MAC_BYTES
        ).digest()

    def accepts(self, data: bytes, mac: bytes) -> bool:
        """Return whether ``mac`` is the MAC of ``data`` under any key."""
        return any(
            hmac.compare_digest(
                blake2s(data, key=key, digest_size=MAC_BYTES).digest(), mac
            )
            for key in self._keys
        )


def encode_frame(keyring: Keyring, frame: Frame) -> bytes:
    """Encode a frame.

    :param keyring: its first key signs the frame.
    :param frame: the frame.
    :returns: the datagram.

    >>> keyring = Keyring([b'0123456789abcdef'])
    >>> frame = Frame(
    ...     FrameKind.REPLY, 0, 0, ServiceNumber(7), FlowId(NO_ADDRESS),
    ...     NO_ADDRESS, b'payload',
    ... )
    >>> decode_frame(keyring, encode_frame(keyring, frame)) == frame
    True
    """
    body = (
        HEADER.pack(
            MAGIC,
            VERSION,
            frame.kind,
            frame.hops,
            frame.flags,
            frame.service,
            frame.flow,
            frame.balancer,
            frame.destination,
        )
        + frame.payload
    )
    return keyring.mac(body) + body


def decode_frame(keyring: Keyring, datagram: bytes) -> Frame:
    """Authenticate and decode a frame.

    :param keyring: the keys that are accepted.
    :param datagram: the datagram as received.
    :returns: the frame.
    :raises WireError: if the datagram is truncated, is not signed with a
        shared key, or has an unknown version or kind.
    """
    if len(datagram) < FRAME_OVERHEAD_BYTES:
        raise WireError(
            WireFault.TRUNCATED,
            f'got {len(datagram)} of at least {FRAME_OVERHEAD_BYTES} bytes',
        )
    body = datagram[MAC_BYTES:]
    if not keyring.accepts(body, datagram[:MAC_BYTES]):
        raise WireError(
            WireFault.BAD_MAC, 'not signed with a key in shared_keys'
        )
    magic, version, kind, hops, flags, *addresses = HEADER.unpack_from(body)
    service, flow, balancer, destination = addresses
    if magic != MAGIC:
        raise WireError(WireFault.BAD_MAGIC, magic.hex())
    if version != VERSION:
        raise WireError(
            WireFault.BAD_VERSION,
            f'version {version}; run a release with version {VERSION} on all'
            ' hosts',
        )
    if not FrameKind.FORWARD <= kind <= FrameKind.CONTROL:
        raise WireError(WireFault.BAD_KIND, str(kind))
    return Frame(
        kind,
        hops,
        flags,
        service,
        flow,
        balancer,
        body[HEADER.size :],
        destination,
    )
