"""Heartbeats are decoded once; what names no upstream is refused."""

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
    """Guards against fields taken for others."""
    report = decode_heartbeat('i-1', json.dumps(BODY).encode())
    assert report.started_ms == 1776110955300
    assert report.cold_left_s == 1.5
    assert report.state is UpstreamState.READY


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 'many'}, {'state': 'asleep'}, {'sequence': None},
        {'born': 'today'}, {'service': 7},
    ],
)  # fmt: skip
def test_unreadable_heartbeats(change):
    """Guards against entries of other writers that name no upstream."""
    with pytest.raises(ValueError, match=r'heartbeat|UpstreamState'):
        decode_heartbeat('i-1', json.dumps(BODY | change).encode())


def test_missing_fields_and_bytes():
    """Guards against a crash by what is not even JSON."""
    for body in (b'', b'\xff\x00', b'[]', b'{"service": "a"}'):
        with pytest.raises(ValueError, match='heartbeat'):
            decode_heartbeat('i-1', body)


def test_calls():
    """Guards against other calls taken for heartbeats."""
    assert upstream_id(Request('PUT', '/v1/instances/i-1', b'')) == 'i-1'
    assert upstream_id(Request('PUT', '/v1/instances/', b'')) is None
    assert upstream_id(Request('GET', '/v1/readyz', b'')) is None
