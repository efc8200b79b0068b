"""Requests and answers of the store in the JSON format of etcd v3.

Keys and values are base64 text and 64-bit integers are decimal text. Answers
do not contain fields whose value is zero.
"""

from base64 import b64decode
from base64 import b64encode
from typing import Any
from typing import NamedTuple


class KeyValue(NamedTuple):
    """A key with its value in the store.

    :param mod_revision: store revision of the last change of the key.
    :param lease: id of the lease to which the key is attached, 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


class RangeResult(NamedTuple):
    """Keys under a prefix as of one store revision."""

    revision: int
    items: tuple[KeyValue, ...]


class Compare(NamedTuple):
    """A condition of a transaction, made by one of the class methods.

    :param expected: a ``mod_revision`` (int) or a value (bytes).
    """

    key: str
    expected: int | bytes

    @classmethod
    def on_mod_revision(cls, key: str, mod_revision: int) -> 'Compare':
        """Require that the key is at a revision, 0 if it must not exist."""
        return cls(key, mod_revision)

    @classmethod
    def on_value(cls, key: str, value: bytes) -> 'Compare':
        """Require that the key exists with this value."""
        return cls(key, value)

    def to_json(self) -> dict[str, str]:
        """Return the condition in the format of the store."""
        target = (
            {'target': 'MOD', 'mod_revision': str(self.expected)}
            if isinstance(self.expected, int)
            else {'target': 'VALUE', 'value': encode_base64(self.expected)}
        )
        return {'key': encode_base64(self.key), 'result': 'EQUAL'} | target


class Put(NamedTuple):
    """A write in a transaction."""

    key: str
    value: bytes
    lease: int = 0

    def to_json(self) -> dict[str, Any]:
        """Return the operation in the format of the store."""
        return {'request_put': self.body()}

    def body(self) -> dict[str, str]:
        """Return the body of a put outside a transaction."""
        body = {
            'key': encode_base64(self.key),
            'value': encode_base64(self.value),
        }
        return body | ({'lease': str(self.lease)} if self.lease else {})


class Read(NamedTuple):
    """A read of one key in a transaction."""

    key: str

    def to_json(self) -> dict[str, Any]:
        """Return the operation in the format of the store."""
        return {'request_range': {'key': encode_base64(self.key)}}


class TxnResult(NamedTuple):
    """Answer to a transaction.

    :param succeeded: whether all conditions were met.
    :param revision: store revision after the transaction.
    :param read: results of the ``Read`` operations that ran, by key, without
        keys that do not exist.
    """

    succeeded: bool
    revision: int
    read: dict[str, KeyValue]


class WatchEvent(NamedTuple):
    """A change of a key.

    :param value: the new value, ``None`` if the key was deleted or its
        lease lapsed.
    """

    key: str
    value: bytes | None
    mod_revision: int


class WatchBatch(NamedTuple):
    """Changes that a watch reports together.

    :param revision: store revision of the report.
    :param events: the changes in order; empty in the report of the creation
        of a watch and in progress reports.
    """

    revision: int
    events: tuple[WatchEvent, ...]


def encode_base64(data: str | bytes) -> str:
    """Return a key or value in base64."""
    raw = data.encode() if isinstance(data, str) else data
    return b64encode(raw).decode()


def prefix_end(prefix: str) -> bytes:
    """Return the lowest key after all keys with a prefix.

    >>> prefix_end('entries/')
    b'entries0'
    """
    raw = prefix.encode().rstrip(b'\xff')
    return raw[:-1] + bytes([raw[-1] + 1]) if raw else b'\0'


def parse_revision(answer: dict) -> int:
    """Return the store revision in the header of an answer."""
    return int(answer['header']['revision'])


def has_text_key(raw: dict) -> bool:
    """Return whether the key of a ``kv`` object is text.

    Another writer may use any bytes. Such a key is none of this product.

    >>> [has_text_key({'key': key}) for key in ('YQ==', '/w==')]
    [True, False]
    """
    try:
        b64decode(raw['key'], validate=True).decode()
    except UnicodeDecodeError:
        return False
    return True


def parse_key_value(raw: dict) -> KeyValue:
    """Parse a ``kv`` object.

    :raises KeyError: if a field is missing.
    :raises ValueError: if a field has the wrong format.
    """
    return KeyValue(
        b64decode(raw['key'], validate=True).decode(),
        b64decode(raw.get('value', ''), validate=True),
        int(raw['mod_revision']),
        int(raw.get('lease', 0)),
    )


def parse_range_result(answer: dict) -> RangeResult:
    """Parse the answer to a range request."""
    items = tuple(
        parse_key_value(raw)
        for raw in answer.get('kvs', ())
        if has_text_key(raw)
    )
    return RangeResult(parse_revision(answer), items)


def parse_txn_result(answer: dict) -> TxnResult:
    """Parse the answer to a transaction."""
    found = (
        parse_key_value(raw)
        for response in answer.get('responses', ())
        for raw in response.get('response_range', {}).get('kvs', ())
    )
    return TxnResult(
        bool(answer.get('succeeded', False)),
        parse_revision(answer),
        {item.key: item for item in found},
    )


def parse_watch_event(raw: dict) -> WatchEvent:
    """Parse an event of a watch."""
    item = parse_key_value(raw['kv'])
    is_deleted = raw.get('type') == 'DELETE'
    return WatchEvent(
        item.key, None if is_deleted else item.value, item.mod_revision
    )


def parse_watch_batch(result: dict) -> WatchBatch:
    """Parse a report of a watch."""
    events = tuple(
        parse_watch_event(raw)
        for raw in result.get('events', ())
        if has_text_key(raw['kv'])
    )
    return WatchBatch(parse_revision(result), events)
