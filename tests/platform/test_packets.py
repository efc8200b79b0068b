"""Packets in the format that the platform documents."""

from ibispitch.forwarding.packets import BOUNCED
from ibispitch.forwarding.packets import flow_name
from ibispitch.forwarding.packets import SYN
from ibispitch.ids import Address
from ibispitch.platform.packets import PlatformPacketCodec
from testbed import flow_packets

OPENING = bytes.fromhex(
    '0000d5c3b2a1443322110000000007004064419c010012c6bb01000000001000'
)
RESET = bytes.fromhex(
    '00000000000000000000000000000100'
    '12c6bb0107004064419c0000000020 00'.replace(' ', '')
)
CODEC = PlatformPacketCodec()


def test_documented_opening():
    """Guards against fields with a wrong offset or byte order."""
    packet = CODEC.from_caller(OPENING)
    assert packet.is_opening
    assert packet.flags == SYN
    assert packet.sequence == 0x11223344
    assert flow_name(packet.flow) == '100.64.0.7:40001>198.18.0.1:443'


def test_documented_reset():
    """Guards against resets that callers ignore."""
    flow = CODEC.from_caller(OPENING).flow
    assert CODEC.reset(flow, 0) == RESET


def test_answer_has_the_flow_key_of_its_caller():
    """Guards against different flow keys for the two directions."""
    answer = flow_packets.build(
        Address('198.18.0.1', 443), Address('100.64.0.7', 40001),
        flow_packets.SYN | flow_packets.ACK, 5, 6,
    )  # fmt: skip
    packet = CODEC.from_upstream(answer)
    assert packet.flow == CODEC.from_caller(OPENING).flow
    assert not packet.is_opening


def test_packet_handed_back_keeps_its_flow():
    """Guards against a packet that is handed back and taken for an answer."""
    packet = CODEC.from_upstream(flow_packets.bounced(OPENING))
    assert packet.flow == CODEC.from_caller(OPENING).flow
    assert packet.flags & BOUNCED
    assert packet.is_opening


def test_malformed_packets():
    """Guards against exceptions from short datagrams."""
    assert CODEC.from_caller(b'') is None
    assert CODEC.from_caller(OPENING[:31]) is None
    assert CODEC.from_caller(OPENING + b'x') is None
