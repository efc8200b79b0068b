"""Flows count as long by what they carried, not by their kind of requests."""

from ibispitch.forwarding.packets import FlowKey
from ibispitch.reuse.core import FlowReuse
from ibispitch.reuse.core import MAX_DESTINATIONS
from ibispitch.reuse.core import MAX_REPORTED
from ibispitch.reuse.core import MIN_OBSERVED


def record(reuse, destination, single=0, several=0):
    for _ in range(single):
        reuse.record_flow(destination, False)
    for _ in range(several):
        reuse.record_flow(destination, True)


def test_few_flows_decide_nothing():
    """One flow that ended early must not change the placement of feeds."""
    reuse = FlowReuse()
    record(reuse, b'feeds1', single=MIN_OBSERVED - 1)
    assert reuse.is_long(b'feeds1') is None
    assert reuse.report() == ()


def test_flows_cut_after_one_request():
    """A lost data centre ends many feeds early; they still count as long."""
    reuse = FlowReuse()
    record(reuse, b'feeds1', single=20, several=20)
    record(reuse, b'cards1', single=20, several=1)
    assert reuse.is_long(b'feeds1')
    assert not reuse.is_long(b'cards1')
    assert dict(reuse.report()) == {b'feeds1': True, b'cards1': False}


def test_callers_change_their_habit():
    """Callers that reuse flows from now on must show after some flows."""
    reuse = FlowReuse()
    record(reuse, b'cards1', single=1000)
    assert reuse.is_long(b'cards1') is False
    record(reuse, b'cards1', several=32)
    assert reuse.is_long(b'cards1')


def test_state_is_bounded():
    """Many destinations must not fill the memory or the status messages."""
    reuse = FlowReuse()
    for number in range(10 * MAX_DESTINATIONS):
        record(reuse, FlowKey(b'%06d' % number), single=MIN_OBSERVED)
    assert len(reuse.report()) == MAX_REPORTED
    assert reuse.is_long(b'000000') is None
