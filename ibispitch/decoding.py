"""Decoding of what other programs have written.

Heartbeats, messages of other processes and values in the store may come from
any writer. The decoders of ``msgspec`` raise ``RecursionError`` for documents
that are nested too deeply, which would end the reader of a valid one.
"""

from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec
from msgspec import Meta

T = TypeVar('T')
Decoder = msgspec.json.Decoder | msgspec.msgpack.Decoder

#: Largest number that a document of another program may contain. Every
#: double-precision number up to it is exact, and sums of a few stay within
#: the 64 bits of the encodings.
MAX_NUMBER = (1 << 53) - 1
#: A count or an identifier.
Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
#: A whole number, also if negative.
Whole = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
#: A quantity that is not negative. ``NaN`` and infinity are refused.
Quantity = Annotated[float, Meta(ge=0.0, le=MAX_NUMBER)]
#: A number, also if negative. ``NaN`` and infinity are refused.
Number = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


def is_count(value: Any, most: int = MAX_NUMBER) -> bool:
    """Return whether a decoded value is a whole number from 0 to ``most``.

    >>> [is_count(7), is_count(-1), is_count(True), is_count(10**400)]
    [True, False, False, False]
    """
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and 0 <= value <= most


def is_number(value: Any) -> bool:
    """Return whether a decoded value is a number in range, also if negative.

    >>> [is_number(-1.5), is_number('1'), is_number(-(10**400))]
    [True, False, False]
    """
    is_numeric = isinstance(value, int | float) and not isinstance(value, bool)
    return is_numeric and -MAX_NUMBER <= value <= MAX_NUMBER


def decode_json(data: bytes, document_type: type[T] = Any) -> T:
    """Decode a JSON document.

    :param document_type: type of the document.
    :raises ValueError: if the document is not of this type, is nested too
        deeply or has a number out of range.

    >>> decode_json(b'[1, 2]', tuple[int, ...])
    (1, 2)
    """
    return decode_with(msgspec.json.Decoder(document_type), data)


def decode_msgpack(data: bytes, document_type: type[T]) -> T:
    """Decode a msgpack document, see :func:`decode_json`."""
    return decode_with(msgspec.msgpack.Decoder(document_type), data)


def decode_with(decoder: Decoder, data: bytes) -> Any:
    """Decode a document with a decoder of ``msgspec``.

    :raises ValueError: see :func:`decode_json`.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f'not a valid document: {error}') from error
