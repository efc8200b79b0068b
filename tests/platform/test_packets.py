"""Packets are read and written as the platform's page shows them."""

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


def test_opening_of_the_page():
    """Guards against fields read at wrong offsets or in wrong order."""
    packet = CODEC.from_caller(OPENING)
    assert packet.is_opening
    assert packet.flags == SYN
    assert packet.sequence == 0x11223344
    assert flow_name(packet.flow) == '100.64.0.7:40001>198.18.0.1:443'


def test_reset_of_the_page():
    """Guards against resets that callers do not take."""
    flow = CODEC.from_caller(OPENING).flow
    assert CODEC.reset(flow, 0) == RESET


def test_answers_have_the_flow_of_their_caller():
    """Guards against a flow that has a name for each direction."""
    answer = flow_packets.build(
        Address('198.18.0.1', 443), Address('100.64.0.7', 40001),
        flow_packets.SYN | flow_packets.ACK, 5, 6,
    )  # fmt: skip
    packet = CODEC.from_upstream(answer)
    assert packet.flow == CODEC.from_caller(OPENING).flow
    assert not packet.is_opening


def test_packet_handed_back_keeps_its_flow():
    """Guards against reading a packet that is handed back as an answer."""
    packet = CODEC.from_upstream(flow_packets.bounced(OPENING))
    assert packet.flow == CODEC.from_caller(OPENING).flow
    assert packet.flags & BOUNCED
    assert packet.is_opening


def test_malformed_packets():
    """Guards against a crash of the packet path by short datagrams."""
    assert CODEC.from_caller(b'') is None
    assert CODEC.from_caller(OPENING[:31]) is None
    assert CODEC.from_caller(OPENING + b'x') is None
