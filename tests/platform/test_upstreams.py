"""Decoding of heartbeats, and refusal of what is not a heartbeat."""

import json

import pytest

from ibispitch.gate.core import UpstreamState
from ibispitch.platform.http import Request
from ibispitch.platform.upstreams import decode_heartbeat
from ibispitch.platform.upstreams import upstream_id

BODY = {
    'service': 'huvo11a', 'address': '10.128.0.9:8080', 'zone': 'accra',
    'version': 'v1', 'slots': 1, 'state': 'ready', 'cold_left_ms': 1500,
    'sequence': 4, 'born': 1776110955300,
}  # fmt: skip


def test_heartbeat():
    """Guards against values that are decoded into wrong fields."""
    heartbeat = decode_heartbeat('i-1', json.dumps(BODY).encode())
    assert heartbeat.started_ms == 1776110955300
    assert heartbeat.cold_left_s == 1.5
    assert heartbeat.state is UpstreamState.READY


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 'many'}, {'state': 'asleep'}, {'sequence': None},
        {'born': 'today'}, {'service': 7},
    ],
)  # fmt: skip
def test_unreadable_heartbeats(change):
    """Guards against bodies from other programs that describe no upstream.

    They are malformed and must not be accepted as heartbeats.
    """
    with pytest.raises(ValueError, match=r'heartbeat|UpstreamState'):
        decode_heartbeat('i-1', json.dumps(BODY | change).encode())


def test_missing_fields_and_bytes():
    """Guards against other exceptions from data that is no heartbeat."""
    for body in (b'', b'\xff\x00', b'[]', b'{"service": "a"}'):
        with pytest.raises(ValueError, match='heartbeat'):
            decode_heartbeat('i-1', body)


def test_path_of_a_heartbeat():
    """Guards against other requests that are taken for heartbeats."""
    assert upstream_id(Request('PUT', '/v1/instances/i-1', b'')) == 'i-1'
    assert upstream_id(Request('PUT', '/v1/instances/', b'')) is None
    assert upstream_id(Request('GET', '/v1/readyz', b'')) is None
