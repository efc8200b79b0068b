"""Registry and codec of control messages.

A message is a msgpack array ``[tag, fields...]``. Its type is a
``msgspec.Struct`` with ``array_like=True`` that registers itself:

>>> import msgspec
>>> @control_message('example.ping')
... class ExamplePing(msgspec.Struct, array_like=True, frozen=True):
...     sequence: int
>>> decode_message(encode_message(ExamplePing(7)))
ExamplePing(sequence=7)
"""

from typing import Any
from typing import TypeVar

import msgpack
import msgspec

from ibispitch.wire.errors import WireError
from ibispitch.wire.errors import WireFault

T = TypeVar('T', bound=type)

MAX_MESSAGE_BYTES = 1 << 20

type_by_tag: dict[str, type] = {}
tag_by_type: dict[type, str] = {}


def control_message(tag: str):
    """Register a message type under a tag.

    :param tag: unique name on the wire, in the form ``package.message``.
    :returns: a class decorator.
    :raises ValueError: if the tag is already registered.
    """

    def register(message_type: T) -> T:
        if tag in type_by_tag:
            raise ValueError(f'message tag {tag!r} is already registered')
        type_by_tag[tag] = message_type
        tag_by_type[message_type] = tag
        return message_type

    return register


def message_to_fields(message: Any) -> list:
    """Convert a registered message to ``[tag, fields...]``."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return [tag_by_type[type(message)], *fields]


def fields_to_message(fields: Any) -> Any:
    """Convert ``[tag, fields...]`` to a registered message.

    :raises WireError: if the tag is unknown or a field has a wrong type.
    """
    if not isinstance(fields, list | tuple) or not fields:
        raise WireError(
            WireFault.BAD_MESSAGE, 'not an array that starts with a tag'
        )
    tag = fields[0]
    message_type = type_by_tag.get(tag) if isinstance(tag, str) else None
    if message_type is None:
        raise WireError(WireFault.UNKNOWN_TAG, repr(tag)[:60])
    try:
        return msgspec.convert(list(fields[1:]), message_type)
    except (msgspec.ValidationError, ValueError, TypeError) as error:
        raise WireError(WireFault.BAD_MESSAGE, f'{tag}: {error}') from error


def encode_message(message: Any) -> bytes:
    """Encode a registered message as msgpack."""
    return msgpack.packb(message_to_fields(message))


def decode_message(data: bytes) -> Any:
    """Decode a registered message.

    :param data: one msgpack value.
    :returns: the message.
    :raises WireError: if ``data`` is not a registered message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise WireError(
            WireFault.OVERSIZED,
            f'{len(data)} bytes, over {MAX_MESSAGE_BYTES}',
        )
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise WireError(WireFault.BAD_MESSAGE, str(error)) from error
    return fields_to_message(fields)
