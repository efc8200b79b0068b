"""Documents of other writers: deep nesting, odd numbers, ports out of range.

Each reader has to refuse them with the error that its callers expect, or
leave out the odd entry. Otherwise the process that reads ends, or stops to
follow what it reads.
"""

from base64 import b64encode
import json
import math
import zlib

import msgspec
import pytest

from ibispitch.catalogue.documents import DocumentError
from ibispitch.catalogue.documents import parse_document
from ibispitch.checkpoint.messages import CheckpointPart
from ibispitch.decoding import decode_json
from ibispitch.decoding import decode_msgpack
from ibispitch.fleet.directory import decode_agents
from ibispitch.fleet.directory import decode_directory
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import decode_message
from ibispitch.fleet.messages import encode_message
from ibispitch.fleet.messages import unpack_entries
from ibispitch.forwarding.frames import decode_frame
from ibispitch.ids import Address
from ibispitch.membership.keys import AGENT_PREFIX
from ibispitch.membership.keys import BALANCER_PREFIX
from ibispitch.membership.keys import decode_record
from ibispitch.membership.reader import snapshot_addresses
from ibispitch.membership.records import BalancerRecord
from ibispitch.membership.records import MemberState
from ibispitch.platform.http import Response
from ibispitch.platform.routes import decode_configuration
from ibispitch.platform.routes import DEFAULT_IDLE_TIMEOUT_S
from ibispitch.platform.settings import parse_settings
from ibispitch.platform.settings import SettingsError
from ibispitch.platform.store import MetadataStore
from ibispitch.platform.store import StoreCallError
from ibispitch.routes.model import decode_table
from ibispitch.routes.model import encode_table
from ibispitch.spread import Item
from ibispitch.store.client import ANSWER_PARSE_ERRORS
from ibispitch.store.messages import parse_range_result
from ibispitch.story import read_lines
from testbed.documents import BIG
from testbed.documents import nested
from testbed.documents import nested_msgpack
from testbed.flow_platform import settings_text
from tests.fleet.test_fleet import agent
from tests.fleet.test_fleet import balancer
from tests.forwarding.test_agent_core import TABLE

ROUTE = {
    'name': 'r-1', 'hostname': '198.18.0.1', 'prefix': '/443/',
    'service': 'counter', 'type': 'safe', 'aim_ms': 100, 'timeout_ms': 1500,
    'priority': 1,
}  # fmt: skip
SERVICE = {
    'name': 'counter', 'cold_start_s': 2, 'cold_per_s': 5,
    'health_path': '/healthz',
}  # fmt: skip
CONFIGURATION = {
    'version': 3, 'routes': [ROUTE], 'services': [SERVICE],
    'limits': {'idle_timeout_ms': 15000},
}  # fmt: skip
#: Marks the place of a document that Python's encoder could not nest.
DEEP = 'deeply nested'
SHALLOW = [BIG, -BIG, 1 << 64, [], {'a': 1}, True]
ODD = [DEEP, *SHALLOW]


def encode(document) -> bytes:
    text = json.dumps(document).encode()
    return text.replace(json.dumps(DEEP).encode(), nested())


@pytest.mark.parametrize('decode', [decode_json, decode_msgpack])
def test_deep_nesting(decode):
    """Guards against the RecursionError of the decoders."""
    data = nested() if decode is decode_json else nested_msgpack()
    with pytest.raises(ValueError, match='document'):
        decode(data, list)


@pytest.mark.parametrize('odd', ODD, ids=str)
@pytest.mark.parametrize('field', [*ROUTE, 'more'])
def test_odd_field_of_a_route(field, odd):
    """Guards against a reader of routes that one odd route ends."""
    odd_route = ROUTE | {field: odd}
    routes = [odd_route, ROUTE | {'prefix': '/444/'}]
    table = decode_configuration(
        encode(CONFIGURATION | {'routes': routes}), lambda *_: None
    )
    if odd is DEEP:
        # No decoder reads the document, so that the routes in force stay.
        assert table is None
        return
    assert table.routes[-1].destination[4:] == (444).to_bytes(2, 'little')
    assert decode_table(encode_table(table)) == table


@pytest.mark.parametrize('odd', ODD, ids=str)
@pytest.mark.parametrize('field', [*SERVICE, 'more'])
def test_odd_field_of_a_service(field, odd):
    """Guards against a reader of routes that one odd service ends."""
    services = [SERVICE | {field: odd}, SERVICE | {'name': 'other'}]
    table = decode_configuration(
        encode(CONFIGURATION | {'services': services}), lambda *_: None
    )
    if odd is not DEEP:
        assert table.services[-1].name == 'other'
        assert decode_table(encode_table(table)) == table


@pytest.mark.parametrize('odd', [-15000, 0, BIG, 'long', None])
def test_odd_idle_timeout(odd):
    """Guards against flows that are all idle, and forgotten at once."""
    limits = {'idle_timeout_ms': odd}
    table = decode_configuration(
        encode(CONFIGURATION | {'limits': limits}), lambda *_: None
    )
    assert table.idle_timeout_s == DEFAULT_IDLE_TIMEOUT_S


@pytest.mark.parametrize('odd', ODD, ids=str)
@pytest.mark.parametrize('field', CONFIGURATION)
def test_odd_part_of_a_configuration(field, odd):
    """Guards against tables that can't be sent to other processes."""
    table = decode_configuration(
        encode(CONFIGURATION | {field: odd}), lambda *_: None
    )
    assert table is None or decode_table(encode_table(table)) == table


@pytest.mark.parametrize('part', [*SHALLOW, {'service': 'a', 'weight': BIG}])
def test_odd_part_of_a_weighted_route(part):
    """Guards against a route lost to one odd part of it."""
    parts = [part, {'service': 'counter', 'weight': 1}]
    route = {key: ROUTE[key] for key in ROUTE if key != 'service'}
    table = decode_configuration(
        encode(CONFIGURATION | {'routes': [route | {'backends': parts}]}),
        lambda *_: None,
    )
    assert [share.service for share in table.routes[0].shares] == ['counter']


@pytest.mark.parametrize('port', ['99999', '-1', '0', '9' * 5000, ''])
def test_port_of_a_route(port):
    """Guards against routes to a port that does not exist."""
    routes = [ROUTE | {'prefix': f'/{port}/'}, ROUTE]
    table = decode_configuration(
        encode(CONFIGURATION | {'routes': routes}), lambda *_: None
    )
    assert len(table.routes) == 1


@pytest.mark.parametrize(
    'entry',
    ['10.1.0.5:99999', '10.1.0.5:80', 'localhost', '10.1.0.256', 7, *ODD],
    ids=str,
)
def test_odd_entry_of_the_stored_list(entry):
    """Guards against processes that end by one odd entry of the list.

    An address that is none ended each round of status messages, and a name
    blocked the event loop while it was looked up.
    """
    data = encode({'balancers': [entry, '10.1.0.4']})
    if entry is DEEP:
        with pytest.raises(ValueError, match='document'):
            decode_directory(data)
    else:
        assert decode_directory(data) == ('10.1.0.4',)


@pytest.mark.parametrize(
    ('ip', 'incarnation'),
    [('10.1.0.5:80', 7), ('x', 7), *(('10.1.0.5', odd) for odd in ODD)],
    ids=str,
)
def test_odd_entry_of_the_stored_agents(ip, incarnation):
    """Guards against processes that end by one odd entry of the list."""
    data = encode({'agents': {ip: incarnation, '10.1.0.4': 7}})
    if incarnation is DEEP:
        with pytest.raises(ValueError, match='document'):
            decode_agents(data)
    else:
        assert decode_agents(data) == {'10.1.0.4': 7}


class Answers:
    """An HTTP client that gives prepared answers."""

    def __init__(self, *bodies: bytes, headers=()):
        self._responses = [
            Response(200, body, headers=headers) for body in bodies
        ]

    async def call(self, method, path, body, timeout_s):
        return self._responses.pop(0)


def store_with(*bodies, headers=()) -> MetadataStore:
    store = MetadataStore(Address('127.0.0.1', 1))
    store._http = Answers(*bodies, headers=headers)
    return store


ITEM = {
    'key': 'op/config', 'value': b64encode(b'x').decode(), 'revision': 5,
    'created': 5, 'lease': 0,
}  # fmt: skip


@pytest.mark.parametrize('odd', ODD, ids=str)
@pytest.mark.parametrize('field', ['key', 'value', 'revision'])
async def test_odd_item_of_the_store(field, odd):
    """Guards against a watch that one odd item of the store ends."""
    items = [ITEM | {field: odd}, ITEM]
    store = store_with(encode({'current_rev': 9, 'events': items}))
    if odd is DEEP:
        with pytest.raises(StoreCallError):
            await store.watch('op/', 1, 0.1)
        return
    listing = await store.watch('op/', 1, 0.1)
    assert listing.items[-1].value == b'x'
    assert all(0 <= item.revision < 1 << 48 for item in listing.items)


async def test_value_that_is_not_ascii():
    """Guards against a ValueError of the decoder of base64."""
    items = [ITEM | {'value': '\u00e9'}, ITEM]
    store = store_with(encode({'current_rev': 9, 'events': items}))
    assert len((await store.watch('op/', 1, 0.1)).items) == 1


@pytest.mark.parametrize('odd', ODD, ids=str)
async def test_odd_revision_of_the_store(odd):
    """Guards against positions of routes that no message can carry."""
    store = store_with(encode({'current_rev': odd, 'events': []}))
    with pytest.raises(StoreCallError):
        await store.watch('op/', 1, 0.1)


@pytest.mark.parametrize('text', ['9' * 5000, '99999999', '-1', 'x'])
async def test_odd_era_of_the_store(text):
    """Guards against a reader that an odd header ends."""
    body = encode({'current_rev': 9, 'events': []})
    store = store_with(body, headers=(('Store-Era', text),))
    assert (await store.watch('op/', 1, 0.1)).era == 0


@pytest.mark.parametrize('key', [None, 7, '', 'op/config'])
async def test_pages_that_do_not_go_on(key):
    """Guards against endless reading of the same page."""
    first = {'current_rev': 9, 'has_more': True, 'items': [ITEM]}
    again = first | {'items': [ITEM | {'key': key}]}
    store = store_with(encode(first), *[encode(again)] * 3)
    with pytest.raises(StoreCallError):
        await store.list('op/')


STATUSES = [agent(), balancer()]


@pytest.mark.parametrize('odd', [-1, 1 << 60, math.nan, 1e300, 'x', None])
@pytest.mark.parametrize(
    'status', STATUSES, ids=lambda one: type(one).__name__
)
def test_odd_numbers_of_a_status(status, odd):
    """Guards against a process that an odd number of a peer ends.

    What is accepted has to be fit for the next message.
    """
    fields = msgspec.to_builtins(status, builtin_types=(bytes,))
    for position in range(1, len(fields)):
        odd_fields = [*fields[:position], odd, *fields[position + 1 :]]
        decoded = decode_message(msgspec.msgpack.encode(odd_fields))
        if decoded is None:
            continue
        assert decode_message(encode_message(decoded)) == decoded
        numbers = [
            getattr(decoded, name) for name in ('interval_s', 'revision')
        ]
        assert all(0 <= number < 1 << 53 for number in numbers)
        if isinstance(decoded, BalancerStatus):
            decoded.position.pack()


def test_nested_messages():
    """Guards against the RecursionError of a message with odd further fields.

    A field behind the known ones is skipped, as one of a later version.
    """
    for status in STATUSES:
        fields = msgspec.to_builtins(status, builtin_types=(bytes,))
        head = msgspec.msgpack.encode([*fields, *[0] * (30 - len(fields)), 0])
        assert decode_message(head[:-1] + nested_msgpack()) is None
    with pytest.raises(ValueError, match='document'):
        unpack_entries(zlib.compress(nested_msgpack()[:60_000]))


def test_report_of_an_odd_address():
    """Guards against a report of which one address ends the reading."""
    entry = [b'\x0a\x01', 0, agent()]
    packed = zlib.compress(msgspec.msgpack.encode([entry]))
    with pytest.raises(ValueError, match='document'):
        unpack_entries(packed)


def test_saved_flows_of_another_length():
    """Guards against flow keys that no frame can carry."""
    part = CheckpointPart(1, 1, 0, 1, (b'short',))
    assert decode_message(encode_message(part)) is None


@pytest.mark.parametrize('kind', range(10))
def test_frames_of_any_bytes(kind):
    """Guards against exceptions from short frames and odd numbers."""
    for size in range(64):
        for byte in (b'\0', b'\xff'):
            decode_frame(bytes([kind]) + size * byte)


def test_odd_tables_of_another_process():
    """Guards against tables that are huge, nested or without services."""
    bomb = zlib.compress(bytes(64 << 20))
    empty = msgspec.structs.replace(
        TABLE,
        routes=(msgspec.structs.replace(TABLE.routes[0], shares=()),),
    )
    late = msgspec.structs.replace(TABLE, revision=1 << 60)
    for data in (
        b'', bomb, zlib.compress(nested_msgpack()), encode_table(empty),
        encode_table(late),
    ):  # fmt: skip
        with pytest.raises(ValueError, match='not a route table'):
            decode_table(data)


@pytest.mark.parametrize(
    ('key', 'text'),
    [
        ('internal_ports', '99999,99999'), ('internal_ports', '0'),
        ('heartbeat_ms', 'nan'), ('heartbeat_ms', '-1'),
        ('bounds.grace_s', 'inf'), ('bounds.cold_slack', '1e400'),
        ('limits.link_mbps', 'nan'), ('app', '10.1.0.9:99999'),
        ('platform.address', f'10.1.0.9:{"9" * 5000}'),
    ],
)  # fmt: skip
def test_odd_settings(key, text):
    """Guards against numbers of the settings file that end the process."""
    lines = settings_text('a', '10.1.0.9', 'accra', (), 'counter')
    with pytest.raises(SettingsError, match=key):
        parse_settings(f'{lines}\n{key}={text}\n')


def test_nested_documents_of_the_own_interface():
    """Guards against readers of the catalogue that a nested value ends."""
    with pytest.raises(DocumentError):
        parse_document('c/entries/bench', nested())
    for prefix in (AGENT_PREFIX, BALANCER_PREFIX):
        item = Item(f'{prefix}a', (1, 1), nested_msgpack(), False)
        assert decode_record(item) is None
    assert read_lines(['{"time": 1, "a": ' + nested().decode() + '}']) == []
    assert read_lines([f'{{"time": {BIG}, "process": "", "event": ""}}']) == []


def test_odd_keys_of_the_store():
    """Guards against a reader of the catalogue that one odd key stops."""
    kvs = [
        {'key': b64encode(key).decode(), 'value': '', 'mod_revision': '7'}
        for key in (b'entries/\xff', b'entries/bench')
    ]
    result = parse_range_result({'header': {'revision': '9'}, 'kvs': kvs})
    assert [item.key for item in result.items] == ['entries/bench']


def test_errors_of_odd_answers_are_known():
    """Guards against answers whose error no caller of the store expects."""
    for answer in ({}, {'header': 1}, {'header': {'revision': 'x'}}):
        with pytest.raises(ANSWER_PARSE_ERRORS):
            parse_range_result(answer)


def test_odd_record_of_a_snapshot():
    """Guards against balancers that are lost to one odd record beside them."""
    good = BalancerRecord(
        balancer_id='b-1', datacentre='accra',
        address=Address('10.1.0.4', 7000),
        control_address=Address('10.1.0.4', 7001),
        admin_address=Address('10.1.0.4', 7002),
        incarnation=1, sequence=1, state=MemberState.ACTIVE,
    )  # fmt: skip
    far_port = msgspec.structs.replace(
        good, control_address=Address('10.1.0.5', 99999)
    )
    records = msgspec.json.encode([far_port, 7, [[[]]], good])
    assert list(snapshot_addresses(records)) == [good.control_address]
    assert list(snapshot_addresses(nested())) == []
