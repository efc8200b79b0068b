"""Tests of the choice of the balancer for an answer."""

from ibispitch.agent.paths import FRESH_PATH_S
from ibispitch.agent.paths import ReturnPaths
from ibispitch.ids import Address
from ibispitch.ids import flow_id

FLOW = flow_id(('127.0.0.1', 1))
BALANCERS = [Address(f'127.0.2.{index}', 7000) for index in range(3)]
DESTINATION = flow_id(('127.0.9.1', 5683))


def _paths():
    paths = ReturnPaths()
    paths.set_balancers(BALANCERS)
    paths.record_packet(FLOW, flow_id(BALANCERS[0]), DESTINATION, 10.0)
    return paths


def test_answer_to_a_recent_packet_uses_its_balancer():
    """Guards against answers through another balancer than the packet."""
    paths = _paths()
    assert paths.choose(FLOW, 10.0 + FRESH_PATH_S) == (
        BALANCERS[0],
        DESTINATION,
    )


def test_later_answers_and_retransmissions_use_all_balancers():
    """Guards against losing all answers and notifications of a flow with the
    balancer of its last packet.
    """
    paths = _paths()
    later = 10.0 + 2 * FRESH_PATH_S
    assert {paths.choose(FLOW, later)[0] for _ in range(3)} == set(BALANCERS)
    assert {paths.choose(FLOW, 10.1, tries=1)[0] for _ in range(3)} == set(
        BALANCERS
    )


def test_unknown_flow_has_no_path():
    """Guards against sending an answer to a flow without packets."""
    assert _paths().choose(flow_id(('127.0.0.1', 2)), 10.0) is None
