"""Tests of the packet path of the balancer, over real sockets."""

import asyncio
import random
import socket

import pytest

from ibispitch.balancer.forwarder import Forwarder
from ibispitch.balancer.forwarder import MAX_PAYLOAD_BYTES
from ibispitch.catalogue.documents import Entry
from ibispitch.ids import Address
from ibispitch.ids import flow_id
from ibispitch.ids import parse_address
from ibispitch.ids import service_number
from ibispitch.settings.programs import MetricsSettings
from ibispitch.telemetry import Metrics
from ibispitch.wire import decode_frame
from ibispitch.wire import encode_frame
from ibispitch.wire import FrameKind
from ibispitch.wire import Keyring

DATA = Address('127.88.0.1', 7000)
OLD_KEY, NEW_KEY = b'o' * 16, b'n' * 16
RETURNS = Entry('returns', 'o', 'c', ['127.88.0.1:5683'])
SCANS = Entry('scans', 'o', 'c', ['127.88.0.1:5684'])


def _open_socket(ip):
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((ip, 0))
    opened.setblocking(False)
    return opened


async def _receive(opened):
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(2):
        return await loop.sock_recvfrom(opened, 70000)


@pytest.fixture
async def forwarder_agent_caller():
    """Yield a forwarder with two services, an agent and a caller."""
    agent, caller = _open_socket('127.88.0.2'), _open_socket('127.88.0.3')
    forwarder = Forwarder(
        Keyring([NEW_KEY, OLD_KEY]),
        DATA,
        lambda number, flow: agent.getsockname(),
        Metrics(MetricsSettings('none'), 'test'),
        False,
    )
    forwarder.set_entries([RETURNS, SCANS])
    yield forwarder, agent, caller
    forwarder.close()
    agent.close()
    caller.close()


async def _send_and_receive(agent, caller, entry=RETURNS):
    caller.sendto(b'question', parse_address(entry.addresses[0]))
    data, _ = await _receive(agent)
    return decode_frame(Keyring([NEW_KEY]), data)


async def test_packet_and_answer_are_forwarded(forwarder_agent_caller):
    """Guards against frames and answers with a wrong flow or service."""
    forwarder, agent, caller = forwarder_agent_caller
    frame = await _send_and_receive(agent, caller)
    assert frame.flow == flow_id(caller.getsockname())
    assert frame.service == service_number('returns')
    assert frame.payload == b'question'
    for key in (NEW_KEY, OLD_KEY):
        answer = frame._replace(kind=FrameKind.REPLY, payload=key)
        agent.sendto(encode_frame(Keyring([key]), answer), DATA)
        data, sender = await _receive(caller)
        assert (data, sender) == (key, parse_address(RETURNS.addresses[0]))
    assert (forwarder.taken_in, forwarder.sent_back) == (1, 2)


async def test_answers_that_are_not_sent_on(forwarder_agent_caller):
    """Guards against forwarding forged, truncated or wrong-service answers."""
    forwarder, agent, caller = forwarder_agent_caller
    frame = await _send_and_receive(agent, caller)
    answer = frame._replace(kind=FrameKind.REPLY)
    good = encode_frame(Keyring([NEW_KEY]), answer)
    bad = [
        encode_frame(Keyring([b'x' * 16]), answer),
        good[:20],
        b'',
        encode_frame(Keyring([NEW_KEY]), frame),
        encode_frame(
            Keyring([NEW_KEY]),
            answer._replace(service=service_number('scans')),
        ),
        encode_frame(
            Keyring([OLD_KEY]), answer._replace(destination=b'x' * 6)
        ),
        random.Random(1).randbytes(200),
    ]
    for datagram in bad:
        agent.sendto(datagram, DATA)
    agent.sendto(good, DATA)
    assert (await _receive(caller))[0] == b'question'
    await asyncio.sleep(0.05)
    with pytest.raises(BlockingIOError):
        caller.recvfrom(100)
    assert forwarder.sent_back == 1


async def test_removed_entry_and_oversized_packet(forwarder_agent_caller):
    """Guards against packets of a removed entry and oversized packets."""
    forwarder, agent, caller = forwarder_agent_caller
    caller.sendto(
        b'x' * (MAX_PAYLOAD_BYTES + 1), parse_address('127.88.0.1:5683')
    )
    forwarder.set_entries([SCANS])
    caller.sendto(b'late', parse_address('127.88.0.1:5683'))
    frame = await _send_and_receive(agent, caller, SCANS)
    assert frame.service == service_number('scans')
    assert frame.payload == b'question'
