"""Requests and answers of the store in the etcd v3 JSON form.

Keys and values are base64 text, 64-bit integers are decimal text, and
fields with a zero value are left out of answers.
"""

from base64 import b64decode
from base64 import b64encode
from typing import Any
from typing import NamedTuple


class KeyValue(NamedTuple):
    """A key as stored.

    :param mod_revision: store revision of the last change of the key.
    :param lease: lease that the key is attached to, 0 for none.
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
    """A condition of a transaction; use the two class methods.

    :param expected: a ``mod_revision`` (int) or a value (bytes).
    """

    key: str
    expected: int | bytes

    @classmethod
    def on_mod_revision(cls, key: str, mod_revision: int) -> 'Compare':
        """Require that the key is at a revision; 0: it does not exist."""
        return cls(key, mod_revision)

    @classmethod
    def on_value(cls, key: str, value: bytes) -> 'Compare':
        """Require that the key exists with this value."""
        return cls(key, value)

    def to_json(self) -> dict[str, str]:
        """Return the condition in the form of the store."""
        target = (
            {'target': 'MOD', 'mod_revision': str(self.expected)}
            if isinstance(self.expected, int)
            else {'target': 'VALUE', 'value': encode(self.expected)}
        )
        return {'key': encode(self.key), 'result': 'EQUAL'} | target


class Put(NamedTuple):
    """A write in a transaction."""

    key: str
    value: bytes
    lease: int = 0

    def to_json(self) -> dict[str, Any]:
        """Return the operation in the form of the store."""
        return {'request_put': self.body()}

    def body(self) -> dict[str, str]:
        """Return the body of a plain put."""
        body = {'key': encode(self.key), 'value': encode(self.value)}
        return body | ({'lease': str(self.lease)} if self.lease else {})


class Read(NamedTuple):
    """A read of one key in a transaction."""

    key: str

    def to_json(self) -> dict[str, Any]:
        """Return the operation in the form of the store."""
        return {'request_range': {'key': encode(self.key)}}


class TxnResult(NamedTuple):
    """Answer to a transaction.

    :param succeeded: whether all conditions held.
    :param revision: store revision after the transaction.
    :param read: what the ``Read`` operations of the branch that ran found,
        by key; missing keys are absent.
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
    :param events: the changes in order; empty when the watch was created
        and in progress reports.
    """

    revision: int
    events: tuple[WatchEvent, ...]


def encode(data: str | bytes) -> str:
    """Return the base64 form of a key or value."""
    raw = data.encode() if isinstance(data, str) else data
    return b64encode(raw).decode()


def prefix_end(prefix: str) -> bytes:
    """Return the least key above all keys with a prefix.

    >>> prefix_end('entries/')
    b'entries0'
    """
    raw = prefix.encode().rstrip(b'\xff')
    return raw[:-1] + bytes([raw[-1] + 1]) if raw else b'\0'


def revision_of(answer: dict) -> int:
    """Return the store revision in the header of an answer."""
    return int(answer['header']['revision'])


def key_value(raw: dict) -> KeyValue:
    """Return the typed form of a ``kv`` object.

    :raises KeyError: if a field is missing.
    :raises ValueError: if a field is not of its form.
    """
    return KeyValue(
        b64decode(raw['key'], validate=True).decode(),
        b64decode(raw.get('value', ''), validate=True),
        int(raw['mod_revision']),
        int(raw.get('lease', 0)),
    )


def range_result(answer: dict) -> RangeResult:
    """Return the typed form of a range answer."""
    items = tuple(key_value(raw) for raw in answer.get('kvs', ()))
    return RangeResult(revision_of(answer), items)


def txn_result(answer: dict) -> TxnResult:
    """Return the typed form of a transaction's answer."""
    found = (
        key_value(raw)
        for response in answer.get('responses', ())
        for raw in response.get('response_range', {}).get('kvs', ())
    )
    return TxnResult(
        bool(answer.get('succeeded', False)),
        revision_of(answer),
        {item.key: item for item in found},
    )


def watch_event(raw: dict) -> WatchEvent:
    """Return the typed form of a watch event."""
    item = key_value(raw['kv'])
    is_deleted = raw.get('type') == 'DELETE'
    return WatchEvent(
        item.key, None if is_deleted else item.value, item.mod_revision
    )


def watch_batch(result: dict) -> WatchBatch:
    """Return the typed form of a watch report."""
    events = tuple(watch_event(raw) for raw in result.get('events', ()))
    return WatchBatch(revision_of(result), events)
