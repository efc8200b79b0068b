"""Codec of CoAP messages on top of ``aiocoap``."""

from hashlib import blake2s
import struct

from aiocoap import error
from aiocoap import Message
from aiocoap.message import Direction
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import OpaqueOption
from aiocoap.optiontypes import UintOption

REQUEST_ID = OptionNumber(65004)
DEADLINE_MS = OptionNumber(65008)
OUTCOME = OptionNumber(65012)

REQUESTS_PATH = ('.well-known', 'requests')

#: Methods that may run twice without a further effect (RFC 7252, RFC 8132).
IDEMPOTENT_CODES = frozenset(
    {Code.GET, Code.PUT, Code.DELETE, Code.FETCH, Code.iPATCH}
)

MAX_TOKEN_BYTES = 8
MAX_OPTION_NUMBER = 65535
MAX_UINT_BYTES = 8
#: Block size exponent that RFC 7959 reserves on UDP.
RESERVED_SIZE_EXPONENT = 7

_PER_HOP = frozenset({OptionNumber.ECHO, DEADLINE_MS})
_PER_BLOCK = _PER_HOP | {
    OptionNumber.BLOCK1,
    OptionNumber.BLOCK2,
    OptionNumber.SIZE1,
    OptionNumber.SIZE2,
    OptionNumber.OBSERVE,
}


class MalformedError(Exception):
    """A datagram that is not a CoAP message."""


def decode(datagram: bytes) -> Message:
    """Decode a datagram.

    :param datagram: the datagram as received.
    :returns: the message; it can be changed and encoded again.
    :raises MalformedError: if it is not a well-formed message.

    >>> decode(bytes.fromhex('40010007')).code
    <Request Code 1 "GET">
    """
    try:
        message = Message.decode(datagram)
    except (error.Error, ValueError, IndexError, struct.error) as reason:
        raise MalformedError(str(reason)) from reason
    token_length = datagram[0] & 0x0F
    if token_length > MAX_TOKEN_BYTES or len(datagram) < 4 + token_length:
        raise MalformedError('token length')
    for option in message.opt.option_list():
        if option.number > MAX_OPTION_NUMBER:
            raise MalformedError('option number')
        if isinstance(option, UintOption):
            if option.value >= 1 << (8 * MAX_UINT_BYTES):
                raise MalformedError('option length')
    for block in (message.opt.block1, message.opt.block2):
        if block is not None and (
            block.size_exponent == RESERVED_SIZE_EXPONENT
            or block.block_number >= 1 << 20
        ):
            raise MalformedError('block option')
    message.direction = Direction.OUTGOING
    return message


def encode(message: Message, mtype: Type, mid: int, token: bytes) -> bytes:
    """Encode a message with the given message type, id and token."""
    message.mtype = mtype
    message.mid = mid
    message.token = token
    message.direction = Direction.OUTGOING
    return message.encode()


def encode_detached(message: Message) -> bytes:
    """Encode a message without message id and token."""
    return encode(message, Type.NON, 0, b'')


def empty_message(mtype: Type, mid: int) -> bytes:
    """Return an empty acknowledgement or reset."""
    return encode(Message(code=Code.EMPTY), mtype, mid, b'')


def opaque_option(message: Message, number: OptionNumber) -> bytes | None:
    """Return the first value of an option of our own, as bytes."""
    options = message.opt.get_option(number)
    return options[0].encode() if options else None


def uint_option(message: Message, number: OptionNumber) -> int | None:
    """Return the first value of an option of our own, as a number."""
    raw = opaque_option(message, number)
    if raw is None or len(raw) > MAX_UINT_BYTES:
        return None
    return int.from_bytes(raw, 'big')


def set_uint_option(
    message: Message, number: OptionNumber, value: int | None
) -> None:
    """Set or, with ``None``, remove an option of our own."""
    message.opt.delete_option(number)
    if value is not None:
        raw = value.to_bytes((value.bit_length() + 7) // 8, 'big')
        message.opt.add_option(OpaqueOption(number, raw))


def set_opaque_option(
    message: Message, number: OptionNumber, value: bytes
) -> None:
    """Set an option of our own."""
    message.opt.delete_option(number)
    message.opt.add_option(OpaqueOption(number, value))


def _digest(message: Message, left_out: frozenset, body: bytes) -> bytes:
    hashed = blake2s(bytes([message.code]), digest_size=16)
    for option in message.opt.option_list():
        if option.number not in left_out:
            raw = option.encode()
            hashed.update(struct.pack('!II', option.number, len(raw)))
            hashed.update(raw)
    hashed.update(b'\xff' + body)
    return hashed.digest()


def request_digest(message: Message) -> bytes:
    """Return a hash that is equal for copies of one request.

    Echo and Deadline-Ms differ between a request and its repetition.
    """
    return _digest(message, _PER_HOP, message.payload)


def exchange_digest(message: Message) -> bytes:
    """Return a hash that is equal for all parts of a blockwise exchange."""
    return _digest(message, _PER_BLOCK, b'')


def part_of(message: Message) -> tuple[int, int]:
    """Return the Block1 and Block2 numbers of a request, 0 if absent."""
    block1, block2 = message.opt.block1, message.opt.block2
    return (
        block1.block_number if block1 else 0,
        block2.block_number if block2 else 0,
    )


def is_notification(message: Message) -> bool:
    """Tell whether a response belongs to an open observation."""
    return message.opt.observe is not None and message.code.is_successful()
