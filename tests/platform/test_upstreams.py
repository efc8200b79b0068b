"""Decoding of heartbeats, and refusal of what is not a heartbeat."""

import json

import pytest

from ibispitch.gate.core import UpstreamState
from ibispitch.ids import Address
from ibispitch.platform.http import Request
from ibispitch.platform.upstreams import decode_heartbeat
from ibispitch.platform.upstreams import upstream_id
from ibispitch.platform.upstreams import UpstreamIdentity
from testbed.documents import BIG
from testbed.documents import nested

BODY = {
    'service': 'huvo11a', 'address': '10.128.0.9:8080', 'zone': 'accra',
    'version': 'v1', 'slots': 1, 'state': 'ready', 'cold_left_ms': 1500,
    'sequence': 4, 'born': 1776110955300,
}  # fmt: skip
EXPECTED = UpstreamIdentity('huvo11a', Address('10.128.0.9', 8080), 'accra')


def test_heartbeat():
    """Guards against values that are decoded into wrong fields."""
    heartbeat = decode_heartbeat('i-1', json.dumps(BODY).encode(), EXPECTED)
    assert heartbeat.started_ms == 1776110955300
    assert heartbeat.cold_left_s == 1.5
    assert heartbeat.state is UpstreamState.READY


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 'many'}, {'state': 'asleep'}, {'sequence': None},
        {'born': 'today'}, {'service': 7}, {'address': 7}, {'zone': ['accra']},
        {'version': 1}, {'cold_left_ms': '0'}, {'state': None},
    ],
)  # fmt: skip
def test_fields_of_another_type(change):
    """Guards against documents of other writers taken for heartbeats."""
    with pytest.raises(ValueError, match=r'document|UpstreamState'):
        decode_heartbeat('i-1', json.dumps(BODY | change).encode(), EXPECTED)


@pytest.mark.parametrize('field', BODY)
def test_heartbeat_without_a_field(field):
    """Guards against flows lost to a heartbeat that names no upstream.

    One without an address was taken for that of a new upstream, and the flows
    of the live one were reset.
    """
    body = {key: value for key, value in BODY.items() if key != field}
    with pytest.raises(ValueError, match='document'):
        decode_heartbeat('i-1', json.dumps(body).encode(), EXPECTED)


@pytest.mark.parametrize(
    'change',
    [
        {'service': 'zipo44c'}, {'zone': 'kumasi'},
        {'address': '10.128.0.10:8080'}, {'address': '10.128.0.9:8081'},
        {'address': '10.128.0.9:99999'}, {'address': '10.128.0.9'},
        {'address': 'localhost:8080'}, {'address': ''},
        {'address': f'10.128.0.9:{"9" * 5000}'},
    ],
)  # fmt: skip
def test_heartbeat_of_another_upstream(change):
    """Guards against another upstream taken for that of the agent."""
    with pytest.raises(
        ValueError, match=r'upstream|ip:port|port|octets|Exceed'
    ):
        decode_heartbeat('i-1', json.dumps(BODY | change).encode(), EXPECTED)


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 0}, {'slots': -4}, {'slots': 1 << 64}, {'slots': BIG},
        {'sequence': -1}, {'sequence': BIG}, {'sequence': 1.5},
        {'born': -1}, {'born': BIG}, {'born': 1e300},
        {'cold_left_ms': -1}, {'cold_left_ms': BIG}, {'cold_left_ms': 1e300},
    ],
)  # fmt: skip
def test_numbers_that_no_upstream_sends(change):
    """Guards against odd numbers that make an upstream look new or huge."""
    with pytest.raises(ValueError, match='document'):
        decode_heartbeat('i-1', json.dumps(BODY | change).encode(), EXPECTED)


def test_bytes_that_are_no_heartbeat():
    """Guards against other exceptions from data that is no heartbeat."""
    deep = json.dumps(BODY)[:-1].encode() + b',"more":' + nested() + b'}'
    for body in (b'', b'\xff\x00', b'[]', b'{"service": "a"}', nested(), deep):
        with pytest.raises(ValueError, match='document'):
            decode_heartbeat('i-1', body, EXPECTED)


def test_path_of_a_heartbeat():
    """Guards against other requests that are taken for heartbeats."""
    assert upstream_id(Request('PUT', '/v1/instances/i-1', b'')) == 'i-1'
    assert upstream_id(Request('PUT', '/v1/instances/', b'')) is None
    assert upstream_id(Request('GET', '/v1/readyz', b'')) is None
