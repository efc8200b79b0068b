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

#: Largest number that a document of another program may contain. Every
#: double-precision number up to it is exact, and sums of a few stay within
#: the 64 bits of the encodings.
MAX_NUMBER = (1 << 53) - 1
#: A count or an identifier.
Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
#: A quantity that is not negative. ``NaN`` and infinity are refused.
Quantity = Annotated[float, Meta(ge=0.0, le=MAX_NUMBER)]


def decode_json(data: bytes, document_type: type[T] = Any) -> T:
    """Decode a JSON document.

    :param document_type: type of the document.
    :raises ValueError: if the document is not of this type, is nested too
        deeply or has a number out of range.

    >>> decode_json(b'[1, 2]', tuple[int, ...])
    (1, 2)
    """
    return _decode(msgspec.json.decode, data, document_type)


def decode_msgpack(data: bytes, document_type: type[T]) -> T:
    """Decode a msgpack document, see :func:`decode_json`."""
    return _decode(msgspec.msgpack.decode, data, document_type)


def _decode(decode, data: bytes, document_type: type[T]) -> T:
    try:
        return decode(data, type=document_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f'not a valid document: {error}') from error
